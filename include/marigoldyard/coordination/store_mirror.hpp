#pragma once

#include "marigoldyard/state/store_item.hpp"
#include "marigoldyard/state/time.hpp"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace marigoldyard {

/// @brief Copy of a part of the platform's store.
///
/// An item replaces a known one only with a higher revision, so that neither a
/// stale read nor a delayed relay reverts anything.
struct StoreMirror {
  /// How long an item that is missing from a listing after an outage is still
  /// held: servers that lapsed meanwhile register again within this time.
  Duration LapseHold = std::chrono::seconds(2);
  /// Removals that are remembered for relays; a receiver that is further behind
  /// gets all items.
  std::size_t MaxRemovals = 4096;

  std::map<std::string, StoreItem, std::less<>> Items;
  std::deque<StoreItem> Removals; ///< oldest first
  StoreRevision Revision = 0;     ///< everything up to here is known
  /// Every removal after this revision is in Removals.
  StoreRevision RemovalsFrom = 0;
  std::map<std::string, TimePoint, std::less<>> Lapsed; ///< key, held until
};

/// @brief Keys whose items changed.
using ChangedKeys = std::vector<std::string>;

/// @brief Applies events of a watch or items of a relay.
/// @param Mirror the copy
/// @param Events items and removals, in any order
/// @param Upto revision up to which the events are complete
/// @return the keys that changed
/// @complexity logarithmic in the number of items, for each event
ChangedKeys applyEvents(StoreMirror &Mirror,
                        const std::vector<StoreItem> &Events,
                        StoreRevision Upto);

/// @brief Whether items that a listing lacks may have lapsed because the store
/// was away. When others passed its changes on meanwhile, only the own process
/// was out of reach, and what is missing was removed.
/// @param Silence time since the store's last answer
/// @param Relays messages of others with newer changes since then
bool mayHaveLapsed(Duration Silence, std::size_t Relays);

/// @brief Applies a complete listing.
/// @param Mirror the copy
/// @param Listed all items
/// @param Listing revision of the first page: later changes may be missing
/// @param AfterOutage whether the store was out of reach before, so that
/// missing items are held for a while
/// @param Now the time
/// @return the keys that changed
/// @complexity O(n log n) in the number of items
ChangedKeys applyListing(StoreMirror &Mirror,
                         const std::vector<StoreItem> &Listed,
                         StoreRevision Listing, bool AfterOutage,
                         TimePoint Now);

/// @brief Removes items that lapsed during an outage and did not come back.
/// @param Mirror the copy
/// @param Now the time
/// @return the removed keys
/// @complexity linear in the lapsed items
ChangedKeys dropLapsed(StoreMirror &Mirror, TimePoint Now);

/// @brief Items and removals that a process which knows everything up to a
/// revision lacks.
/// @param Mirror the copy
/// @param After the revision of the other process
/// @return the items; all of them when removals since then are forgotten
/// @complexity linear in the number of items
std::vector<StoreItem> itemsAfter(const StoreMirror &Mirror,
                                  StoreRevision After);

} // namespace marigoldyard
