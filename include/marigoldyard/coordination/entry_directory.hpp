#pragma once

#include "marigoldyard/state/types.hpp"

#include <chrono>
#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldyard {

/// @brief An entry as the answering entry sees it.
struct EntryView {
  std::string Name;
  std::string Address; ///< as told to callers, with port
  std::string Region;
  std::string FailureDomain;
  bool Leaving = false;
  bool Suspected = false;
};

/// @brief An entry told to a caller.
struct ListedEntry {
  std::string Address;
  std::string FailureDomain;

  friend bool operator==(const ListedEntry &, const ListedEntry &) = default;
};

/// @brief Answer to the question which entries to use.
struct EntryDirectory {
  std::vector<ListedEntry> Entries; ///< in order of preference
  std::chrono::milliseconds MaxAge{};
};

/// @brief Entries in one answer at most.
inline constexpr std::size_t MaxListedEntries = 8;

/// @brief Places that are kept for other regions when entries there are known,
/// so that a caller outlives the loss of its region.
inline constexpr std::size_t OtherRegionPlaces = 2;

/// @brief How long callers may keep an answer. A leaving entry serves for this
/// long after it left the list, so it also delays each departure.
inline constexpr std::chrono::milliseconds DirectoryMaxAge{10'000};

/// @brief How long callers may keep an answer that lists suspected or leaving
/// entries only.
inline constexpr std::chrono::milliseconds FallbackMaxAge{1'000};

/// @brief Lists entries for a caller: own region first, and failure domains in
/// turn, so that the first addresses do not fail together. Suspected entries
/// are listed only when no others are known, and leaving ones only after those.
/// @param Known all known entries, the answering one included
/// @param OwnRegion region of the answering entry
/// @param Source randomness that spreads callers over equal entries
/// @return the list; empty only when Known is empty
/// @complexity O(n log n) in the number of entries
EntryDirectory listEntries(std::span<const EntryView> Known,
                           std::string_view OwnRegion, Random &Source);

} // namespace marigoldyard
