#include "marigoldyard/coordination/store_mirror.hpp"

#include <algorithm>
#include <set>

namespace marigoldyard {

namespace {

/// Newest change known of a key; 0 when nothing is known.
StoreRevision knownChange(const StoreMirror &Mirror, const std::string &Key) {
  if (const auto Found = Mirror.Items.find(Key); Found != Mirror.Items.end())
    return Found->second.ChangedAt;
  const auto Removed =
      std::find_if(Mirror.Removals.rbegin(), Mirror.Removals.rend(),
                   [&](const StoreItem &Each) { return Each.Key == Key; });
  return Removed == Mirror.Removals.rend() ? 0 : Removed->ChangedAt;
}

void remember(StoreMirror &Mirror, StoreItem Removal) {
  Removal.Value.clear();
  Mirror.Removals.push_back(std::move(Removal));
  if (Mirror.Removals.size() <= Mirror.MaxRemovals)
    return;
  Mirror.RemovalsFrom =
      std::max(Mirror.RemovalsFrom, Mirror.Removals.front().ChangedAt);
  Mirror.Removals.pop_front();
}

bool applyOne(StoreMirror &Mirror, const StoreItem &Event) {
  if (Event.ChangedAt <= knownChange(Mirror, Event.Key))
    return false;
  Mirror.Lapsed.erase(Event.Key);
  if (!Event.Deleted) {
    Mirror.Items[Event.Key] = Event;
    return true;
  }
  remember(Mirror, Event);
  return Mirror.Items.erase(Event.Key) > 0;
}

} // namespace

ChangedKeys applyEvents(StoreMirror &Mirror,
                        const std::vector<StoreItem> &Events,
                        StoreRevision Upto) {
  ChangedKeys Changed;
  for (const StoreItem &Event : Events)
    if (applyOne(Mirror, Event))
      Changed.push_back(Event.Key);
  Mirror.Revision = std::max(Mirror.Revision, Upto);
  return Changed;
}

bool mayHaveLapsed(Duration Silence, std::size_t Relays) {
  // Servers are removed after three missed heartbeats, but a short outage may
  // begin just before that.
  constexpr Duration LapsePossibleAfter = std::chrono::seconds(1);
  // In an outage for all, one relay tells what others read just before it, and
  // two come from those that reach the store again first.
  constexpr std::size_t RelaysOfAnOutage = 3;
  // Relays come once or twice a second while others read the store.
  constexpr Duration RelayInterval = std::chrono::milliseconds(1200);
  if (Silence <= LapsePossibleAfter)
    return false;
  const auto Count = static_cast<Duration::rep>(Relays);
  return Relays <= RelaysOfAnOutage || Count * RelayInterval < Silence;
}

ChangedKeys applyListing(StoreMirror &Mirror,
                         const std::vector<StoreItem> &Listed,
                         StoreRevision Listing, bool AfterOutage,
                         TimePoint Now) {
  ChangedKeys Changed;
  std::set<std::string_view> Present;
  for (const StoreItem &Item : Listed) {
    Present.insert(Item.Key);
    Mirror.Lapsed.erase(Item.Key);
    if (applyOne(Mirror, Item))
      Changed.push_back(Item.Key);
  }
  for (auto Item = Mirror.Items.begin(); Item != Mirror.Items.end();) {
    // An item that changed after the listing was read may be on no page.
    if (Present.contains(Item->first) || Item->second.ChangedAt > Listing) {
      ++Item;
      continue;
    }
    if (AfterOutage) {
      Mirror.Lapsed.try_emplace(Item->first, Now + Mirror.LapseHold);
      ++Item;
      continue;
    }
    Changed.push_back(Item->first);
    remember(Mirror, {Item->first, {}, Listing, true});
    Mirror.Lapsed.erase(Item->first);
    Item = Mirror.Items.erase(Item);
  }
  Mirror.Revision = std::max(Mirror.Revision, Listing);
  return Changed;
}

ChangedKeys dropLapsed(StoreMirror &Mirror, TimePoint Now) {
  ChangedKeys Changed;
  std::erase_if(Mirror.Lapsed, [&](const auto &Each) {
    if (Now < Each.second)
      return false;
    Changed.push_back(Each.first);
    return true;
  });
  for (const std::string &Key : Changed) {
    remember(Mirror, {Key, {}, Mirror.Revision, true});
    Mirror.Items.erase(Key);
  }
  return Changed;
}

std::vector<StoreItem> itemsAfter(const StoreMirror &Mirror,
                                  StoreRevision After) {
  std::vector<StoreItem> Result;
  const bool Forgotten = After < Mirror.RemovalsFrom;
  for (const auto &[Key, Item] : Mirror.Items)
    if (Forgotten || Item.ChangedAt > After)
      Result.push_back(Item);
  for (const StoreItem &Removal : Mirror.Removals)
    if (Removal.ChangedAt > After)
      Result.push_back(Removal);
  return Result;
}

} // namespace marigoldyard
