#pragma once

#include "marigoldyard/state/types.hpp"

#include <chrono>
#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldyard {

/// @brief What the answering entry knows about an entry.
struct EntryView {
  std::string Name;
  std::string Address; ///< host and port that callers connect to
  std::string Region;
  std::string FailureDomain;
  bool Leaving = false;
  bool Suspected = false;
};

/// @brief An entry in the list that is sent to a caller.
struct ListedEntry {
  std::string Address;
  std::string FailureDomain;

  friend bool operator==(const ListedEntry &, const ListedEntry &) = default;
};

/// @brief List of the entries that a caller should use.
struct EntryDirectory {
  std::vector<ListedEntry> Entries;   ///< in order of preference
  std::chrono::milliseconds MaxAge{}; ///< how long callers may cache the list
};

/// @brief Maximum number of entries in one list.
inline constexpr std::size_t MaxListedEntries = 8;

/// @brief Positions of the list that are reserved for entries of other regions
/// when there are any, so that a caller can continue after its region fails.
inline constexpr std::size_t OtherRegionSlots = 2;

/// @brief How long callers may cache a list. A leaving entry keeps serving for
/// this long after its removal from the list, so it also delays every shutdown.
inline constexpr std::chrono::milliseconds DirectoryMaxAge{10'000};

/// @brief How long callers may cache a list of only suspected or leaving
/// entries.
inline constexpr std::chrono::milliseconds FallbackMaxAge{1'000};

/// @brief Lists entries for a caller. Entries of the own region come first, and
/// failure domains alternate, so that the first addresses do not fail together.
/// Suspected entries are listed only when no other entries are known, and
/// leaving ones only when there are no suspected ones either.
/// @param Known all known entries, including the answering one
/// @param OwnRegion region of the answering entry
/// @param Generator random number generator that spreads callers over
/// equivalent entries
/// @return the list; empty only when Known is empty
/// @complexity O(n log n) in the number of entries
EntryDirectory listEntries(std::span<const EntryView> Known,
                           std::string_view OwnRegion, Random &Generator);

} // namespace marigoldyard
