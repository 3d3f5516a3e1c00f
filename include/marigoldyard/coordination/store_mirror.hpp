#pragma once

#include "marigoldyard/state/store_item.hpp"
#include "marigoldyard/state/time.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marigoldyard {

/// @brief How items are treated when the store was restored from a copy.
struct RestoreRules {
  /// Whether the writer of an item wrote it after another one of the same key,
  /// by what the values state. Revisions do not order items of two eras.
  bool (*IsNewer)(const StoreItem &Item, const StoreItem &Than) = nullptr;
  /// Whether the store may remove the items of a key that are not renewed. All
  /// others are written again after a restore.
  bool (*MayExpire)(std::string_view Key) = nullptr;
};

/// @brief Local copy of a part of the platform's store.
///
/// Within an era, an item is replaced only by one with a higher revision, so
/// that stale reads and delayed relays revert nothing. An unknown key whose
/// item is not newer than what was read of its era was removed. After a
/// restore, the store may hold older items than this copy, which are not taken
/// over: what was known stays until it is written again. Between eras, an item
/// of the later one counts if it was written after its era's first content. One
/// of that content counts if its writer states that it is newer, or if it is no
/// change of an earlier era and the writer does not state that it is older.
struct StoreMirror {
  RestoreRules Rules;
  /// Time for which an item that is missing from a listing after an outage is
  /// kept. Servers whose items expired during the outage register again within
  /// this time.
  Duration ExpiryGracePeriod = std::chrono::seconds(2);
  /// Limit for the removals kept for relays. A receiver that lacks older ones
  /// gets all items.
  std::size_t MaxRemovals = 4096;
  /// Limit for the changes that are remembered to recognize those of a copy.
  std::size_t MaxSeenChanges = 8192;

  std::map<std::string, StoreItem, std::less<>> Items;
  std::deque<StoreItem> Removals; ///< oldest first
  /// All items up to it are known. A relay may not tell of every removal.
  StorePosition Position;
  /// Revision up to which all changes of an era are applied, removals included,
  /// by era.
  std::map<StoreEra, StoreRevision> CompleteUpTo;
  std::optional<StoreEra> FirstEra;  ///< of the first content
  std::optional<StoreEra> ListedEra; ///< of the last listing
  /// Lowest known revision of an era at which its content was received, by era.
  /// An item of the era up to this revision may be one of the copy.
  std::map<StoreEra, StoreRevision> CopiedUpTo;
  /// Hashes of the items that were received, by position.
  std::map<StorePosition, std::size_t> SeenChanges;
  /// Every removal after this position is in Removals.
  StorePosition RemovalsCompleteAfter;
  std::map<std::string, TimePoint, std::less<>>
      PendingRemovals; ///< time of the removal of expired items, by key
};

/// @brief Keys whose items were added, replaced or removed.
using ChangedKeys = std::vector<std::string>;

/// @brief Applies events of a watch.
/// @param Events items and removals, in any sequence
/// @param CompleteUpTo position up to which the events are complete
/// @complexity logarithmic in the number of items, for each event
ChangedKeys applyEvents(StoreMirror &Mirror,
                        const std::vector<StoreItem> &Events,
                        StorePosition CompleteUpTo);

/// @brief Returns the position after which the store's changes are still to be
/// read. Only own reads and the first content move it: the sender of a relay
/// may have started after a removal, and then does not know of it.
StorePosition watchPosition(const StoreMirror &Mirror);

/// @brief Applies items that another process relayed.
/// @param Items items and removals, in any sequence; all items if the mirror is
/// empty
/// @param CompleteUpTo watchPosition() of the sender
/// @param CopiedUpTo copiedUpTo() of the sender
/// @param Now an item that may expire and that a listing of a later era lacked
/// is kept for ExpiryGracePeriod from now on
/// @complexity logarithmic in the number of items, for each item
ChangedKeys applyRelayedItems(StoreMirror &Mirror,
                              const std::vector<StoreItem> &Items,
                              StorePosition CompleteUpTo,
                              const std::vector<StorePosition> &CopiedUpTo,
                              TimePoint Now);

/// @brief Whether items that a listing lacks may have expired because the store
/// was unavailable. When other processes relayed its changes meanwhile, only
/// this process could not reach it, and missing items were removed.
/// @param TimeSinceResponse time since the store's last response
/// @param RelayCount number of messages from other processes with newer changes
/// since that response
bool mayHaveExpired(Duration TimeSinceResponse, std::size_t RelayCount);

/// @brief Applies a complete listing.
/// @param Listed items of all pages
/// @param ListedAt position of the first page; later changes may be missing. A
/// new era means that the store was restored.
/// @param AfterOutage whether the store was unavailable before, so that missing
/// items are kept for ExpiryGracePeriod, as after a restore
/// @complexity O(n log n) in the number of items
ChangedKeys applyListing(StoreMirror &Mirror,
                         const std::vector<StoreItem> &Listed,
                         StorePosition ListedAt, bool AfterOutage,
                         TimePoint Now);

/// @brief Removes items that expired during an outage and were not registered
/// again within ExpiryGracePeriod.
/// @return keys of the removed items
/// @complexity linear in the number of pending removals
ChangedKeys removeExpiredItems(StoreMirror &Mirror, TimePoint Now);

/// @brief Items and removals after a position, for a relay to another process.
/// @param After position up to which the other process has all changes
/// @return items and removals; includes all items when removals after the
/// position were discarded
/// @complexity linear in the number of items
std::vector<StoreItem> itemsAfter(const StoreMirror &Mirror,
                                  StorePosition After);

/// @brief Returns for each known era the position up to which its items may be
/// from a copy, for a relay to another process.
std::vector<StorePosition> copiedUpTo(const StoreMirror &Mirror);

} // namespace marigoldyard
