#pragma once

#include "marigoldyard/state/time.hpp"
#include "marigoldyard/state/types.hpp"

#include <cstddef>
#include <cstdint>

namespace marigoldyard {

/// @brief Intervals of the search for the manifest of a version. A reader is a
/// process that reads the origin directly.
struct ManifestSearchSettings {
  /// Interval of queries to readers of the origin; several round trips.
  Duration QueryInterval = std::chrono::milliseconds(120);
  /// Interval of queries after PeerSearchTime, when the readers have had time
  /// to read the manifest.
  Duration LateQueryInterval = std::chrono::milliseconds(240);
  /// Time after which a process that is not a reader may read the origin
  /// itself.
  Duration PeerSearchTime = std::chrono::milliseconds(900);
  /// Interval of the own reads of a process that is not a reader. Without it,
  /// all processes of a fleet would saturate the origin's link and connections
  /// as soon as the origin recovers.
  Duration OriginInterval = std::chrono::seconds(3);
  /// Delay of a reader after its first failed read; twice as long after further
  /// ones.
  Duration ReaderBackoff = std::chrono::milliseconds(150);
  /// Shortest interval between reads of a manifest that is known but in doubt.
  Duration RereadInterval = std::chrono::milliseconds(500);
};

/// @brief State of the search for the manifest of one version.
struct ManifestSearch {
  ManifestSearchSettings Settings;
  TimePoint WantedAt{};
  TimePoint NextActionAt{};
  /// Earliest read of the origin by a process that is not a reader.
  TimePoint NextOwnReadAt{};
  std::size_t Failures = 0;    ///< failed reads of the origin by this process
  bool ReadInProgress = false; ///< a read of the origin is in progress
  TimePoint NextRereadAt{};    ///< earliest read of a manifest in doubt
};

/// @brief Starts a search.
/// @param Settings intervals of the search
/// @param Now the time
/// @param Source random generator that spreads the reads of processes that are
/// not readers over OriginInterval
/// @return search whose first action is due at once
ManifestSearch beginManifestSearch(const ManifestSearchSettings &Settings,
                                   TimePoint Now, Random &Source);

/// @brief Next step of a search.
enum class ManifestAction : std::uint8_t {
  Wait,
  QueryReader, ///< query a process that reads the origin
  ReadOrigin,  ///< read the origin; a read stays in progress until
               ///< manifestReadFailed or manifestReadEnded
};

/// @brief Returns the next action and records it as carried out.
/// @param Search search to advance
/// @param Reader true if this process is one of the origin's readers
/// @param Now the time
/// @return the action; Wait if none is due
ManifestAction nextManifestAction(ManifestSearch &Search, bool Reader,
                                  TimePoint Now);

/// @brief Begins another read of the origin after the search has ended, because
/// the manifest is in doubt.
/// @param Search search to update
/// @param Now the time
/// @return false if a read is in progress or the last one was too recent
bool beginManifestReread(ManifestSearch &Search, TimePoint Now);

/// @brief Records that a read of the origin returned a manifest.
/// @param Search search to update
void manifestReadEnded(ManifestSearch &Search);

/// @brief Records a failed read of the origin and schedules the next attempt.
/// @param Search search to update
/// @param Now the time
void manifestReadFailed(ManifestSearch &Search, TimePoint Now);

} // namespace marigoldyard
