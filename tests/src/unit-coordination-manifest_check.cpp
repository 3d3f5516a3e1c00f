#include "marigoldyard/coordination/manifest_check.hpp"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace marigoldyard;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t ChunkBytes = 32768;

VersionDescriptor describe(const std::vector<Digest> &Ids) {
  VersionDescriptor Result;
  for (const Digest &Id : Ids)
    Result.Chunks.push_back({Id, ChunkBytes});
  return Result;
}

std::vector<Digest> ids(const VersionDescriptor &Descriptor) {
  std::vector<Digest> Result;
  for (const Chunk &Each : Descriptor.Chunks)
    Result.push_back(Each.Id);
  return Result;
}

} // namespace

TEST_CASE("only repeated bytes of the origin put its manifest in doubt") {
  ManifestCheck Check;
  CHECK_FALSE(recordMismatch(Check, 1, "x"));
  CHECK_FALSE(recordMismatch(Check, 1, "y"));
  CHECK_FALSE(recordMismatch(Check, 2, "y"));
  CHECK(recordMismatch(Check, 1, "y"));
  CHECK(recordMismatch(Check, 1, "y"));
}

// Guards against a manifest with a wrong digest that was never read again, so
// that no server loaded the version.
TEST_CASE("a manifest that is read again replaces digests that bytes refute") {
  ManifestCheck Check;
  VersionDescriptor Current = describe({"a", "wrong", "c"});
  recordMismatch(Check, 1, "b");
  SUBCASE("a correct one") {
    CHECK(adoptReadDigests(Check, Current, describe({"a", "b", "c"})));
    CHECK(ids(Current) == std::vector<Digest>{"a", "b", "c"});
    CHECK_FALSE(recordMismatch(Check, 1, "b"));
  }
  SUBCASE("one with another wrong digest") {
    CHECK(adoptReadDigests(Check, Current, describe({"a", "b", "other"})));
    CHECK(ids(Current) == std::vector<Digest>{"a", "b", "c"});
  }
  SUBCASE("one whose digest a peer has told meanwhile") {
    Current = describe({"a", "b", "c"});
    CHECK_FALSE(adoptReadDigests(Check, Current, describe({"a", "b", "c"})));
  }
  SUBCASE("one with the same wrong digest") {
    CHECK_FALSE(
        adoptReadDigests(Check, Current, describe({"a", "wrong", "c"})));
    CHECK(recordMismatch(Check, 1, "b"));
  }
  SUBCASE("one of another length") {
    CHECK_FALSE(adoptReadDigests(Check, Current, describe({"a", "b"})));
    CHECK(ids(Current) == std::vector<Digest>{"a", "wrong", "c"});
  }
}

TEST_CASE("a peer corrects digests of chunks that it holds and we do not") {
  VersionDescriptor Current = describe({"a", "wrong", "c", "d"});
  const VersionDescriptor Offered = describe({"x", "b", "y", "z"});
  CHECK_FALSE(adoptHeldDigests(Current, {true, false, false, false}, Offered,
                               {true, false, false, false}));
  CHECK_FALSE(
      adoptHeldDigests(Current, {true, false, false, false}, Offered, {}));
  CHECK_FALSE(adoptHeldDigests(Current, {true, false, false, false},
                               describe({"x", "b"}), {true, true}));
  CHECK(ids(Current) == std::vector<Digest>{"a", "wrong", "c", "d"});
  CHECK(adoptHeldDigests(Current, {true, false, false, true}, Offered,
                         {true, true, false, true}));
  CHECK(ids(Current) == std::vector<Digest>{"a", "b", "c", "d"});
}

TEST_CASE("a manifest is compared while no chunk arrives, ever more rarely") {
  ManifestCheck Check;
  TimePoint Now{100s};
  CHECK_FALSE(isManifestComparisonDue(Check, 5, Now));
  CHECK_FALSE(isManifestComparisonDue(Check, 5, Now + 900ms));
  CHECK_FALSE(isManifestComparisonDue(Check, 6, Now + 1100ms));
  Now += 1100ms;
  std::vector<Duration> Due;
  for (Duration Passed{}; Passed < 30s; Passed += 100ms)
    if (isManifestComparisonDue(Check, 6, Now + Passed))
      Due.push_back(Passed);
  CHECK(Due == std::vector<Duration>{1s, 3s, 7s, 15s, 23s});
}
