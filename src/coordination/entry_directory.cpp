#include "marigoldyard/coordination/entry_directory.hpp"

#include <algorithm>
#include <map>

namespace marigoldyard {

namespace {

/// 0 for entries that serve, 1 for suspected ones, 2 for leaving ones.
int tier(const EntryView &Entry) {
  if (Entry.Leaving)
    return 2;
  return Entry.Suspected ? 1 : 0;
}

/// Appends entries up to a length of the list, so that failure domains take
/// turns.
void appendInTurn(std::vector<const EntryView *> Entries, Random &Source,
                  std::size_t Limit, std::vector<ListedEntry> &List) {
  std::shuffle(Entries.begin(), Entries.end(), Source);
  std::map<std::string_view, std::size_t> Seen;
  std::vector<std::pair<std::size_t, const EntryView *>> Turns;
  Turns.reserve(Entries.size());
  for (const EntryView *Entry : Entries)
    Turns.emplace_back(Seen[Entry->FailureDomain]++, Entry);
  std::stable_sort(Turns.begin(), Turns.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.first < Right.first;
                   });
  for (const auto &[Turn, Entry] : Turns)
    if (List.size() < Limit)
      List.push_back({Entry->Address, Entry->FailureDomain});
}

} // namespace

EntryDirectory listEntries(std::span<const EntryView> Known,
                           std::string_view OwnRegion, Random &Source) {
  EntryDirectory Directory;
  int Best = 2;
  for (const EntryView &Entry : Known)
    Best = std::min(Best, tier(Entry));
  std::vector<const EntryView *> Near;
  std::vector<const EntryView *> Far;
  for (const EntryView &Entry : Known)
    if (tier(Entry) == Best)
      (Entry.Region == OwnRegion ? Near : Far).push_back(&Entry);
  std::size_t Kept = std::min(OtherRegionPlaces, Far.size());
  appendInTurn(std::move(Near), Source, MaxListedEntries - Kept,
               Directory.Entries);
  appendInTurn(std::move(Far), Source, MaxListedEntries, Directory.Entries);
  Directory.MaxAge = Best == 0 ? DirectoryMaxAge : FallbackMaxAge;
  return Directory;
}

} // namespace marigoldyard
