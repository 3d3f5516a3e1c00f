#include "marigoldyard/coordination/entry_directory.hpp"

#include <algorithm>
#include <map>

namespace marigoldyard {

namespace {

/// Returns 0 for serving entries, 1 for suspected ones and 2 for leaving ones.
int preferenceTier(const EntryView &Entry) {
  if (Entry.Leaving)
    return 2;
  return Entry.Suspected ? 1 : 0;
}

/// Appends entries in round-robin order of their failure domains until the list
/// has Limit entries.
void appendRoundRobin(std::vector<const EntryView *> Entries, Random &Generator,
                      std::size_t Limit, std::vector<ListedEntry> &List) {
  std::shuffle(Entries.begin(), Entries.end(), Generator);
  std::map<std::string_view, std::size_t> DomainCounts;
  std::vector<std::pair<std::size_t, const EntryView *>> Rounds;
  Rounds.reserve(Entries.size());
  for (const EntryView *Entry : Entries)
    Rounds.emplace_back(DomainCounts[Entry->FailureDomain]++, Entry);
  std::stable_sort(Rounds.begin(), Rounds.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.first < Right.first;
                   });
  for (const auto &[Round, Entry] : Rounds)
    if (List.size() < Limit)
      List.push_back({Entry->Address, Entry->FailureDomain});
}

} // namespace

EntryDirectory listEntries(std::span<const EntryView> Known,
                           std::string_view OwnRegion, Random &Generator) {
  EntryDirectory Directory;
  int BestTier = 2;
  for (const EntryView &Entry : Known)
    BestTier = std::min(BestTier, preferenceTier(Entry));
  std::vector<const EntryView *> SameRegion;
  std::vector<const EntryView *> OtherRegions;
  for (const EntryView &Entry : Known)
    if (preferenceTier(Entry) == BestTier)
      (Entry.Region == OwnRegion ? SameRegion : OtherRegions).push_back(&Entry);
  std::size_t Reserved = std::min(OtherRegionSlots, OtherRegions.size());
  appendRoundRobin(std::move(SameRegion), Generator,
                   MaxListedEntries - Reserved, Directory.Entries);
  appendRoundRobin(std::move(OtherRegions), Generator, MaxListedEntries,
                   Directory.Entries);
  Directory.MaxAge = BestTier == 0 ? DirectoryMaxAge : FallbackMaxAge;
  return Directory;
}

} // namespace marigoldyard
