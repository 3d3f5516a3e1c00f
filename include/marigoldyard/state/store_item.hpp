#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace marigoldyard {

/// @brief Revision of the platform's store; within an era it increases with
/// each change.
using StoreRevision = std::uint64_t;

/// @brief Number of the store's history. It increases when the store comes back
/// from a copy, which lacks the latest changes, so that revisions are given out
/// again.
using StoreEra = std::uint64_t;

/// @brief A revision of the store with the history that it belongs to.
struct StorePosition {
  StoreEra Era = 0;
  StoreRevision Revision = 0;

  // clang-tidy 14 checks the code that the compiler generates here.
  // NOLINTBEGIN(readability-identifier-naming, modernize-use-nullptr)
  friend auto operator<=>(const StorePosition &,
                          const StorePosition &) = default;
  // NOLINTEND(readability-identifier-naming, modernize-use-nullptr)
};

/// @brief One key of the platform's store, or a tombstone of a deleted key.
struct StoreItem {
  std::string Key;
  std::string Value;
  StoreRevision ChangedRevision = 0;
  bool Deleted = false;
  StoreEra Era = 0; ///< of the response in which ChangedRevision was read

  // clang-tidy 14 reports names in the code that the compiler generates here.
  // NOLINTNEXTLINE(readability-identifier-naming)
  friend bool operator==(const StoreItem &, const StoreItem &) = default;
};

/// @brief Returns the position of the last change of an item.
inline StorePosition positionOf(const StoreItem &Item) {
  return {Item.Era, Item.ChangedRevision};
}

/// @brief Response of the store: one page of a listing or the events of a
/// watch.
struct StoreResponse {
  std::vector<StoreItem> Items;
  bool Truncated = false; ///< more keys follow the last item
  StorePosition Position;
  /// Why items were left out, or have no value.
  std::vector<std::string> Faults;
};

} // namespace marigoldyard
