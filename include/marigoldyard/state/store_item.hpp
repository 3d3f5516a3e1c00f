#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace marigoldyard {

/// @brief Revision of the platform's store; it increases with each change.
using StoreRevision = std::uint64_t;

/// @brief One key of the platform's store, or a tombstone of a deleted key.
struct StoreItem {
  std::string Key;
  std::string Value;
  StoreRevision ChangedRevision = 0;
  bool Deleted = false;

  // clang-tidy 14 reports names in the code that the compiler generates here.
  // NOLINTNEXTLINE(readability-identifier-naming)
  friend bool operator==(const StoreItem &, const StoreItem &) = default;
};

/// @brief Response of the store: one page of a listing or the events of a
/// watch.
struct StoreResponse {
  std::vector<StoreItem> Items;
  bool Truncated = false; ///< more keys follow the last item
  StoreRevision Revision = 0;
  /// Why items were left out, or have no value.
  std::vector<std::string> Faults;
};

} // namespace marigoldyard
