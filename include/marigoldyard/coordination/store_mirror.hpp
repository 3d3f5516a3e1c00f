#pragma once

#include "marigoldyard/state/store_item.hpp"
#include "marigoldyard/state/time.hpp"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace marigoldyard {

/// @brief Local copy of a part of the platform's store.
///
/// An item is replaced only by one with a higher revision, so that stale reads
/// and delayed relays revert nothing.
struct StoreMirror {
  /// Time for which an item that is missing from a listing after an outage is
  /// kept. Servers whose items expired during the outage register again within
  /// this time.
  Duration ExpiryGracePeriod = std::chrono::seconds(2);
  /// Limit for the removals kept for relays. A receiver that lacks older ones
  /// gets all items.
  std::size_t MaxRemovals = 4096;

  std::map<std::string, StoreItem, std::less<>> Items;
  std::deque<StoreItem> Removals; ///< oldest first
  StoreRevision Revision = 0;     ///< all changes up to it are applied
  /// Every removal after this revision is in Removals.
  StoreRevision RemovalsCompleteAfter = 0;
  std::map<std::string, TimePoint, std::less<>>
      PendingRemovals; ///< time of the removal of expired items, by key
};

/// @brief Keys whose items were added, replaced or removed.
using ChangedKeys = std::vector<std::string>;

/// @brief Applies events of a watch or items of a relay.
/// @param Events items and removals, in any sequence
/// @param CompleteUpTo revision up to which the events are complete
/// @complexity logarithmic in the number of items, for each event
ChangedKeys applyEvents(StoreMirror &Mirror,
                        const std::vector<StoreItem> &Events,
                        StoreRevision CompleteUpTo);

/// @brief Whether items that a listing lacks may have expired because the store
/// was unavailable. When other processes relayed its changes meanwhile, only
/// this process could not reach it, and missing items were removed.
/// @param TimeSinceResponse time since the store's last response
/// @param RelayCount number of messages from other processes with newer changes
/// since that response
bool mayHaveExpired(Duration TimeSinceResponse, std::size_t RelayCount);

/// @brief Applies a complete listing.
/// @param Listed items of all pages
/// @param ListingRevision revision of the first page; later changes may be
/// missing
/// @param AfterOutage whether the store was unavailable before, so that missing
/// items are kept for ExpiryGracePeriod
/// @complexity O(n log n) in the number of items
ChangedKeys applyListing(StoreMirror &Mirror,
                         const std::vector<StoreItem> &Listed,
                         StoreRevision ListingRevision, bool AfterOutage,
                         TimePoint Now);

/// @brief Removes items that expired during an outage and were not registered
/// again within ExpiryGracePeriod.
/// @return keys of the removed items
/// @complexity linear in the number of pending removals
ChangedKeys removeExpiredItems(StoreMirror &Mirror, TimePoint Now);

/// @brief Items and removals after a revision, for a relay to another process.
/// @param After revision up to which the other process has all changes
/// @return items and removals; includes all items when removals after the
/// revision were discarded
/// @complexity linear in the number of items
std::vector<StoreItem> itemsAfter(const StoreMirror &Mirror,
                                  StoreRevision After);

} // namespace marigoldyard
