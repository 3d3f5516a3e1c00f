#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace marigoldyard {

/// @brief Position in the history of the platform's store.
using StoreRevision = std::uint64_t;

/// @brief One key of the platform's store, or the trace of its removal.
struct StoreItem {
  std::string Key;
  std::string Value;
  StoreRevision ChangedAt = 0;
  bool Deleted = false;

  // clang-tidy 14 reports names in the code that the compiler generates here.
  // NOLINTNEXTLINE(readability-identifier-naming)
  friend bool operator==(const StoreItem &, const StoreItem &) = default;
};

/// @brief One page of a listing, or the events of a watch.
struct StoreAnswer {
  std::vector<StoreItem> Items;
  bool Truncated = false; ///< a listing continues after the last key
  StoreRevision Revision = 0;
};

} // namespace marigoldyard
