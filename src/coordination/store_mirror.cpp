#include "marigoldyard/coordination/store_mirror.hpp"

#include <algorithm>
#include <set>

namespace marigoldyard {

namespace {

/// Revision of the newest known change of a key; 0 for an unknown key.
StoreRevision lastKnownChange(const StoreMirror &Mirror,
                              const std::string &Key) {
  if (const auto Found = Mirror.Items.find(Key); Found != Mirror.Items.end())
    return Found->second.ChangedRevision;
  const auto Removed =
      std::find_if(Mirror.Removals.rbegin(), Mirror.Removals.rend(),
                   [&](const StoreItem &Each) { return Each.Key == Key; });
  return Removed == Mirror.Removals.rend() ? 0 : Removed->ChangedRevision;
}

void recordRemoval(StoreMirror &Mirror, StoreItem Removal) {
  Removal.Value.clear();
  Mirror.Removals.push_back(std::move(Removal));
  if (Mirror.Removals.size() <= Mirror.MaxRemovals)
    return;
  Mirror.RemovalsCompleteAfter = std::max(
      Mirror.RemovalsCompleteAfter, Mirror.Removals.front().ChangedRevision);
  Mirror.Removals.pop_front();
}

bool applyItem(StoreMirror &Mirror, const StoreItem &Event) {
  if (Event.ChangedRevision <= lastKnownChange(Mirror, Event.Key))
    return false;
  Mirror.PendingRemovals.erase(Event.Key);
  if (!Event.Deleted) {
    Mirror.Items[Event.Key] = Event;
    return true;
  }
  recordRemoval(Mirror, Event);
  return Mirror.Items.erase(Event.Key) > 0;
}

} // namespace

ChangedKeys applyEvents(StoreMirror &Mirror,
                        const std::vector<StoreItem> &Events,
                        StoreRevision CompleteUpTo) {
  ChangedKeys Changed;
  for (const StoreItem &Event : Events)
    if (applyItem(Mirror, Event))
      Changed.push_back(Event.Key);
  Mirror.Revision = std::max(Mirror.Revision, CompleteUpTo);
  return Changed;
}

bool mayHaveExpired(Duration TimeSinceResponse, std::size_t RelayCount) {
  // The store removes servers after three missed heartbeats, but a short outage
  // may begin just before the removal.
  constexpr Duration MinExpiryOutage = std::chrono::seconds(1);
  // When all processes lose the store, one relay may carry changes read just
  // before the outage, and two may come from the first processes that reach the
  // store again.
  constexpr std::size_t MaxRelaysInOutage = 3;
  // Relays arrive once or twice per second while other processes read the
  // store.
  constexpr Duration RelayInterval = std::chrono::milliseconds(1200);
  if (TimeSinceResponse <= MinExpiryOutage)
    return false;
  const auto Count = static_cast<Duration::rep>(RelayCount);
  return RelayCount <= MaxRelaysInOutage ||
         Count * RelayInterval < TimeSinceResponse;
}

ChangedKeys applyListing(StoreMirror &Mirror,
                         const std::vector<StoreItem> &Listed,
                         StoreRevision ListingRevision, bool AfterOutage,
                         TimePoint Now) {
  ChangedKeys Changed;
  std::set<std::string_view> Present;
  for (const StoreItem &Item : Listed) {
    Present.insert(Item.Key);
    Mirror.PendingRemovals.erase(Item.Key);
    if (applyItem(Mirror, Item))
      Changed.push_back(Item.Key);
  }
  for (auto Item = Mirror.Items.begin(); Item != Mirror.Items.end();) {
    // An item that changed while the listing was read may be on no page.
    if (Present.contains(Item->first) ||
        Item->second.ChangedRevision > ListingRevision) {
      ++Item;
      continue;
    }
    if (AfterOutage) {
      Mirror.PendingRemovals.try_emplace(Item->first,
                                         Now + Mirror.ExpiryGracePeriod);
      ++Item;
      continue;
    }
    Changed.push_back(Item->first);
    recordRemoval(Mirror, {Item->first, {}, ListingRevision, true});
    Mirror.PendingRemovals.erase(Item->first);
    Item = Mirror.Items.erase(Item);
  }
  Mirror.Revision = std::max(Mirror.Revision, ListingRevision);
  return Changed;
}

ChangedKeys removeExpiredItems(StoreMirror &Mirror, TimePoint Now) {
  ChangedKeys Changed;
  std::erase_if(Mirror.PendingRemovals, [&](const auto &Each) {
    if (Now < Each.second)
      return false;
    Changed.push_back(Each.first);
    return true;
  });
  for (const std::string &Key : Changed) {
    recordRemoval(Mirror, {Key, {}, Mirror.Revision, true});
    Mirror.Items.erase(Key);
  }
  return Changed;
}

std::vector<StoreItem> itemsAfter(const StoreMirror &Mirror,
                                  StoreRevision After) {
  std::vector<StoreItem> Result;
  const bool RemovalsIncomplete = After < Mirror.RemovalsCompleteAfter;
  for (const auto &[Key, Item] : Mirror.Items)
    if (RemovalsIncomplete || Item.ChangedRevision > After)
      Result.push_back(Item);
  for (const StoreItem &Removal : Mirror.Removals)
    if (Removal.ChangedRevision > After)
      Result.push_back(Removal);
  return Result;
}

} // namespace marigoldyard
