#include "marigoldyard/coordination/store_mirror.hpp"

#include <algorithm>
#include <functional>
#include <set>
#include <string_view>

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

std::size_t hashOf(const StoreItem &Item) {
  const std::hash<std::string_view> Hash;
  const std::size_t Shift = 1;
  return Hash(Item.Key) ^ (Hash(Item.Value) << Shift) ^
         static_cast<std::size_t>(Item.Deleted);
}

/// Remembers a change, so that it is recognized in a copy.
void recordSeen(StoreMirror &Mirror, const StoreItem &Item) {
  Mirror.SeenChanges.insert_or_assign(positionOf(Item), hashOf(Item));
  if (Mirror.SeenChanges.size() > Mirror.MaxSeenChanges)
    Mirror.SeenChanges.erase(Mirror.SeenChanges.begin());
}

/// Whether the same change was received in an era before that of the item.
bool wasSeenInEarlierEra(const StoreMirror &Mirror, const StoreItem &Item) {
  return std::any_of(
      Mirror.CopiedUpTo.begin(), Mirror.CopiedUpTo.lower_bound(Item.Era),
      [&](const auto &Each) {
        const auto Seen =
            Mirror.SeenChanges.find({Each.first, Item.ChangedRevision});
        return Seen != Mirror.SeenChanges.end() && Seen->second == hashOf(Item);
      });
}

/// Whether an item was written after the copy from which the store was restored
/// in the era of its revision.
bool isAfterCopy(const StoreMirror &Mirror, const StoreItem &Item) {
  const auto Copied = Mirror.CopiedUpTo.find(Item.Era);
  return Copied != Mirror.CopiedUpTo.end() &&
         Item.ChangedRevision > Copied->second;
}

/// Whether an item of the first content of its era is not one of the copy, as
/// far as is known. A process that knows no earlier era cannot tell.
bool isUnknownToEarlierEras(const StoreMirror &Mirror, const StoreItem &Item) {
  return Mirror.FirstEra && *Mirror.FirstEra < Item.Era &&
         !wasSeenInEarlierEra(Mirror, Item);
}

bool isNewer(const StoreMirror &Mirror, const StoreItem &Item,
             const StoreItem &Than) {
  return Mirror.Rules.IsNewer != nullptr && Mirror.Rules.IsNewer(Item, Than);
}

bool mayExpire(const StoreMirror &Mirror, std::string_view Key) {
  return Mirror.Rules.MayExpire != nullptr && Mirror.Rules.MayExpire(Key);
}

/// Whether an item replaces the known one of its key.
bool supersedes(const StoreMirror &Mirror, const StoreItem &Item,
                const StoreItem &Known) {
  if (Item.Era == Known.Era)
    return Item.ChangedRevision > Known.ChangedRevision;
  const bool IsOfLaterEra = Item.Era > Known.Era;
  const StoreItem &Later = IsOfLaterEra ? Item : Known;
  const StoreItem &Earlier = IsOfLaterEra ? Known : Item;
  const bool LaterIsNewer = isAfterCopy(Mirror, Later) ||
                            isNewer(Mirror, Later, Earlier) ||
                            (isUnknownToEarlierEras(Mirror, Later) &&
                             !isNewer(Mirror, Earlier, Later));
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

/// Whether all changes of the era of an item are applied up to its revision.
bool isCovered(const StoreMirror &Mirror, const StoreItem &Item) {
  const auto Complete = Mirror.CompleteUpTo.find(Item.Era);
  return Complete != Mirror.CompleteUpTo.end() &&
         Item.ChangedRevision <= Complete->second;
}

void recordCompleteUpTo(StoreMirror &Mirror, StorePosition Position) {
  StoreRevision &Complete = Mirror.CompleteUpTo[Position.Era];
  Complete = std::max(Complete, Position.Revision);
  Mirror.Position = std::max(Mirror.Position, Position);
}

bool applyItem(StoreMirror &Mirror, const StoreItem &Event) {
  const StoreItem *Known = findKnown(Mirror, Event.Key);
  const bool WasRemoved = !Event.Deleted && isCovered(Mirror, Event) &&
                          !Mirror.Items.contains(Event.Key);
  const bool IsNew =
      !WasRemoved && (Known == nullptr || supersedes(Mirror, Event, *Known));
  recordSeen(Mirror, Event);
  if (!IsNew)
    return false;
  // An older write does not end the removal of an item that a listing lacked.
  if (Event.Deleted || !isCovered(Mirror, Event))
    Mirror.PendingRemovals.erase(Event.Key);
  if (!Event.Deleted) {
    Mirror.Items[Event.Key] = Event;
    return true;
  }
  recordRemoval(Mirror, Event);
  return Mirror.Items.erase(Event.Key) > 0;
}

/// Records that content of an era was received at a position. The lowest
/// revision is closest to the copy.
void recordContentAt(StoreMirror &Mirror, StorePosition At) {
  if (!Mirror.FirstEra)
    Mirror.FirstEra = At.Era;
  const auto [Known, New] = Mirror.CopiedUpTo.emplace(At.Era, At.Revision);
  Known->second = std::min(Known->second, At.Revision);
}

ChangedKeys applyItems(StoreMirror &Mirror,
                       const std::vector<StoreItem> &Items) {
  ChangedKeys Changed;
  for (const StoreItem &Item : Items)
    if (applyItem(Mirror, Item))
      Changed.push_back(Item.Key);
  return Changed;
}

} // namespace

ChangedKeys applyEvents(StoreMirror &Mirror,
                        const std::vector<StoreItem> &Events,
                        StorePosition CompleteUpTo) {
  recordContentAt(Mirror, CompleteUpTo);
  ChangedKeys Changed = applyItems(Mirror, Events);
  recordCompleteUpTo(Mirror, CompleteUpTo);
  return Changed;
}

StorePosition watchPosition(const StoreMirror &Mirror) {
  if (Mirror.CompleteUpTo.empty())
    return {};
  const auto &[Era, Revision] = *Mirror.CompleteUpTo.rbegin();
  return {Era, Revision};
}

ChangedKeys applyRelayedItems(StoreMirror &Mirror,
                              const std::vector<StoreItem> &Items,
                              StorePosition CompleteUpTo,
                              const std::vector<StorePosition> &CopiedUpTo,
                              TimePoint Now) {
  recordContentAt(Mirror, CompleteUpTo);
  for (const StorePosition &Each : CopiedUpTo)
    recordContentAt(Mirror, Each);
  ChangedKeys Changed = applyItems(Mirror, Items);
  if (Mirror.CompleteUpTo.empty())
    recordCompleteUpTo(Mirror, CompleteUpTo);
  Mirror.Position = std::max(Mirror.Position, CompleteUpTo);
  // The store sends no event for a key that its copy lacks.
  for (const std::string &Key : Changed) {
    const auto Item = Mirror.Items.find(Key);
    if (Item != Mirror.Items.end() && Mirror.ListedEra &&
        Item->second.Era < *Mirror.ListedEra && mayExpire(Mirror, Key))
      Mirror.PendingRemovals.try_emplace(Key, Now + Mirror.ExpiryGracePeriod);
  }
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
  // A relay may have told of the restore before.
  const bool Restored = Mirror.ListedEra && ListedAt.Era > *Mirror.ListedEra;
  recordContentAt(Mirror, ListedAt);
  Mirror.ListedEra = ListedAt.Era;
  // A newer listing decides which items exist.
  if (ListedAt >= watchPosition(Mirror))
    Mirror.CompleteUpTo.erase(ListedAt.Era);
  ChangedKeys Changed;
  std::set<std::string_view> Present;
  for (const StoreItem &Item : Listed) {
    Present.insert(Item.Key);
    Mirror.PendingRemovals.erase(Item.Key);
    if (applyItem(Mirror, Item))
      Changed.push_back(Item.Key);
  }
  for (auto Item = Mirror.Items.begin(); Item != Mirror.Items.end();) {
    // What the copy lacks is written again, unless it may expire.
    const bool IsLostWrite =
        Item->second.Era < ListedAt.Era && !mayExpire(Mirror, Item->first);
    // An item that changed while the listing was read may be on no page.
    if (Present.contains(Item->first) || positionOf(Item->second) > ListedAt ||
        IsLostWrite) {
      ++Item;
      continue;
    }
    const bool IsHeld =
        (AfterOutage || Restored) &&
        (Mirror.Rules.MayExpire == nullptr || mayExpire(Mirror, Item->first));
    if (IsHeld || Mirror.PendingRemovals.contains(Item->first)) {
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
  recordCompleteUpTo(Mirror, ListedAt);
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
  const StorePosition At = watchPosition(Mirror);
  for (const std::string &Key : Changed) {
    recordRemoval(Mirror, {Key, {}, At.Revision, true, At.Era});
    Mirror.Items.erase(Key);
  }
  return Changed;
}

std::vector<StoreItem> itemsAfter(const StoreMirror &Mirror,
                                  StorePosition After) {
  std::vector<StoreItem> Result;
  const bool RemovalsIncomplete = After < Mirror.RemovalsCompleteAfter;
  // A process without content would not learn of the end of an item that is
  // only held here, since the store has no event for it any more.
  const bool IsWholeContent = After == StorePosition{};
  for (const auto &[Key, Item] : Mirror.Items)
    if ((RemovalsIncomplete || positionOf(Item) > After) &&
        !(IsWholeContent && Mirror.PendingRemovals.contains(Key)))
      Result.push_back(Item);
  for (const StoreItem &Removal : Mirror.Removals)
    if (positionOf(Removal) > After && !Mirror.Items.contains(Removal.Key))
      Result.push_back(Removal);
  return Result;
}

std::vector<StorePosition> copiedUpTo(const StoreMirror &Mirror) {
  std::vector<StorePosition> Result;
  for (const auto &[Era, Copied] : Mirror.CopiedUpTo)
    Result.push_back({Era, Copied});
  return Result;
}

} // namespace marigoldyard
