#include "marigoldyard/coordination/entry_directory.hpp"

#include <doctest/doctest.h>
#include <set>

using namespace marigoldyard;

namespace {

EntryView entry(const char *Name, const char *Region, const char *Domain) {
  return {Name, std::string(Name) + ":8080", Region, Domain, false, false};
}

} // namespace

TEST_CASE("the first addresses are near and do not fail together") {
  Random Source(1);
  std::vector<EntryView> Known{entry("a", "dar", "d1"), entry("b", "dar", "d1"),
                               entry("c", "dar", "d2"),
                               entry("d", "mbeya", "m1")};
  for (int I = 0; I < 50; ++I) {
    EntryDirectory Answer = listEntries(Known, "dar", Source);
    REQUIRE(Answer.Entries.size() == 4);
    CHECK(Answer.Entries[0].FailureDomain != Answer.Entries[1].FailureDomain);
    CHECK(Answer.Entries[3].Address == "d:8080");
    CHECK(Answer.MaxAge == DirectoryMaxAge);
  }
}

TEST_CASE("a long list keeps places for other regions") {
  Random Source(1);
  std::vector<EntryView> Known(20, entry("a", "dar", "d1"));
  Known.push_back(entry("b", "mbeya", "m1"));
  EntryDirectory Answer = listEntries(Known, "dar", Source);
  CHECK(Answer.Entries.size() == MaxListedEntries);
  CHECK(Answer.Entries.back().Address == "b:8080");
}

TEST_CASE("suspected and leaving entries are listed only when no others are "
          "known, and the list is never empty") {
  Random Source(1);
  std::vector<EntryView> Known{entry("a", "dar", "d1"), entry("b", "dar", "d2"),
                               entry("c", "dar", "d3")};
  Known[0].Suspected = true;
  Known[1].Leaving = true;
  CHECK(listEntries(Known, "dar", Source).Entries.front().Address == "c:8080");
  Known[2].Leaving = true;
  EntryDirectory Answer = listEntries(Known, "dar", Source);
  CHECK(Answer.Entries == std::vector<ListedEntry>{{"a:8080", "d1"}});
  CHECK(Answer.MaxAge == FallbackMaxAge);
  Known[0].Leaving = true;
  CHECK(listEntries(Known, "dar", Source).Entries.size() == 3);
  CHECK(listEntries({}, "dar", Source).Entries.empty());
}
