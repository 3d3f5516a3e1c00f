#pragma once

#include "marigoldyard/state/time.hpp"
#include "marigoldyard/state/types.hpp"

#include <cstddef>
#include <cstdint>

namespace marigoldyard {

/// @brief Times of the search for the manifest of a version.
struct ManifestSearchSettings {
  /// Interval of questions to readers of the origin: some round trips.
  Duration AskInterval = std::chrono::milliseconds(120);
  /// The same once the readers have had time to read it.
  Duration LateAskInterval = std::chrono::milliseconds(240);
  /// Time after which a process that is no reader may read the origin itself.
  Duration PeerWait = std::chrono::milliseconds(900);
  /// Interval of its own reads. All processes of a fleet would otherwise fill
  /// the origin's link and connections as soon as it returns.
  Duration OriginInterval = std::chrono::seconds(3);
  /// Pause of a reader after a failed read; it doubles once.
  Duration ReaderPause = std::chrono::milliseconds(150);
};

/// @brief Search for the manifest of one version.
struct ManifestSearch {
  ManifestSearchSettings Settings;
  TimePoint WantedAt{};
  TimePoint NextAt{};
  TimePoint OriginAt{}; ///< earliest own read of a process that is no reader
  std::size_t Failures = 0; ///< of own reads
  bool Reading = false;     ///< a read of the origin is out
};

/// @brief Begins a search.
/// @param Settings the times
/// @param Now the time
/// @param Source spreads the own reads of processes that are no readers
ManifestSearch beginManifestSearch(const ManifestSearchSettings &Settings,
                                   TimePoint Now, Random &Source);

/// @brief What the search does next.
enum class ManifestAction : std::uint8_t {
  Wait,
  AskReader,  ///< ask a process that reads the origin
  ReadOrigin, ///< read it; the search waits for manifestReadFailed or its end
};

/// @brief Chooses the next action and notes that it is done.
/// @param Search the search
/// @param Reader whether the own process is one of the origin's readers
/// @param Now the time
/// @return the action
ManifestAction nextManifestAction(ManifestSearch &Search, bool Reader,
                                  TimePoint Now);

/// @brief A read of the origin failed.
/// @param Search the search
/// @param Now the time
void manifestReadFailed(ManifestSearch &Search, TimePoint Now);

} // namespace marigoldyard
