#include "marigoldyard/coordination/store_mirror.hpp"

#include <algorithm>
#include <set>

namespace marigoldyard {

namespace {

/// The newest known item or removal of a key; null for an unknown key.
const StoreItem *findKnown(const StoreMirror &Mirror, const std::string &Key) {
  if (const auto Found = Mirror.Items.find(Key); Found != Mirror.Items.end())
    return &Found->second;
  const auto Removed =
      std::find_if(Mirror.Removals.rbegin(), Mirror.Removals.rend(),
                   [&](const StoreItem &Each) { return Each.Key == Key; });
  return Removed == Mirror.Removals.rend() ? nullptr : &*Removed;
}

/// Whether an item was certainly written in the era of its revision, and not
/// taken over from the copy from which the store was restored.
bool wasWrittenInEra(const StoreMirror &Mirror, const StoreItem &Item) {
  const auto Copied = Mirror.CopiedUpTo.find(Item.Era);
  return Copied != Mirror.CopiedUpTo.end() &&
         Item.ChangedRevision > Copied->second;
}

/// Whether an item replaces the known one of its key.
bool supersedes(const StoreMirror &Mirror, const StoreItem &Item,
                const StoreItem &Known) {
  if (Item.Era == Known.Era)
    return Item.ChangedRevision > Known.ChangedRevision;
  const bool IsOfLaterEra = Item.Era > Known.Era;
  const StoreItem &Later = IsOfLaterEra ? Item : Known;
  const StoreItem &Earlier = IsOfLaterEra ? Known : Item;
  const bool LaterIsNewer =
      wasWrittenInEra(Mirror, Later) ||
      (Mirror.Rules.IsNewer != nullptr && Mirror.Rules.IsNewer(Later, Earlier));
  return LaterIsNewer == IsOfLaterEra;
}

void recordRemoval(StoreMirror &Mirror, StoreItem Removal) {
  Removal.Value.clear();
  Mirror.Removals.push_back(std::move(Removal));
  if (Mirror.Removals.size() <= Mirror.MaxRemovals)
    return;
  Mirror.RemovalsCompleteAfter = std::max(Mirror.RemovalsCompleteAfter,
                                          positionOf(Mirror.Removals.front()));
  Mirror.Removals.pop_front();
}

bool applyItem(StoreMirror &Mirror, const StoreItem &Event) {
  const StoreItem *Known = findKnown(Mirror, Event.Key);
  if (Known != nullptr && !supersedes(Mirror, Event, *Known))
    return false;
  Mirror.PendingRemovals.erase(Event.Key);
  if (!Event.Deleted) {
    Mirror.Items[Event.Key] = Event;
    return true;
  }
  recordRemoval(Mirror, Event);
  return Mirror.Items.erase(Event.Key) > 0;
}

/// Records content of an era that may be new.
void recordEra(StoreMirror &Mirror, StoreEra Era, StoreRevision CopiedUpTo) {
  const auto [Known, New] = Mirror.CopiedUpTo.emplace(Era, CopiedUpTo);
  Known->second = std::min(Known->second, CopiedUpTo);
}

} // namespace

ChangedKeys applyEvents(StoreMirror &Mirror,
                        const std::vector<StoreItem> &Events,
                        StorePosition CompleteUpTo, StoreRevision CopiedUpTo) {
  recordEra(Mirror, CompleteUpTo.Era,
            CopiedUpTo != 0 ? CopiedUpTo : CompleteUpTo.Revision);
  ChangedKeys Changed;
  for (const StoreItem &Event : Events)
    if (applyItem(Mirror, Event))
      Changed.push_back(Event.Key);
  Mirror.Position = std::max(Mirror.Position, CompleteUpTo);
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
                         StorePosition ListedAt, bool AfterOutage,
                         TimePoint Now) {
  const bool Restored = ListedAt.Era > Mirror.Position.Era;
  recordEra(Mirror, ListedAt.Era, ListedAt.Revision);
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
    // One that the copy lacks is written again, unless it may expire.
    const bool IsLostWrite = Item->second.Era < ListedAt.Era &&
                             (Mirror.Rules.MayExpire == nullptr ||
                              !Mirror.Rules.MayExpire(Item->first));
    if (Present.contains(Item->first) || positionOf(Item->second) > ListedAt ||
        IsLostWrite) {
      ++Item;
      continue;
    }
    if (AfterOutage || Restored ||
        Mirror.PendingRemovals.contains(Item->first)) {
      Mirror.PendingRemovals.try_emplace(Item->first,
                                         Now + Mirror.ExpiryGracePeriod);
      ++Item;
      continue;
    }
    Changed.push_back(Item->first);
    recordRemoval(Mirror,
                  {Item->first, {}, ListedAt.Revision, true, ListedAt.Era});
    Mirror.PendingRemovals.erase(Item->first);
    Item = Mirror.Items.erase(Item);
  }
  Mirror.Position = std::max(Mirror.Position, ListedAt);
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
    recordRemoval(
        Mirror, {Key, {}, Mirror.Position.Revision, true, Mirror.Position.Era});
    Mirror.Items.erase(Key);
  }
  return Changed;
}

std::vector<StoreItem> itemsAfter(const StoreMirror &Mirror,
                                  StorePosition After) {
  std::vector<StoreItem> Result;
  const bool RemovalsIncomplete = After < Mirror.RemovalsCompleteAfter;
  for (const auto &[Key, Item] : Mirror.Items)
    if (RemovalsIncomplete || positionOf(Item) > After)
      Result.push_back(Item);
  for (const StoreItem &Removal : Mirror.Removals)
    if (positionOf(Removal) > After)
      Result.push_back(Removal);
  return Result;
}

StoreRevision copiedUpTo(const StoreMirror &Mirror) {
  const auto Found = Mirror.CopiedUpTo.find(Mirror.Position.Era);
  return Found == Mirror.CopiedUpTo.end() ? 0 : Found->second;
}

} // namespace marigoldyard
