#pragma once

#include "marigoldyard/state/time.hpp"

#include <optional>

namespace marigoldyard {

/// @brief Detects pauses of this process that exceed a lease, from the
/// time between iterations of the event loop.
struct PauseDetector {
  Duration Lease{}; ///< longest gap after which cached state is still valid
  std::optional<TimePoint> LastIteration;
};

/// @brief Records one iteration of the event loop.
/// @param Detector the detector
/// @param Now current time of the boot-time clock, which includes suspended
/// time
/// @return the length of the pause if it exceeded the lease, in which case all
/// leases and cached state are invalid; otherwise nothing
/// @complexity constant
std::optional<Duration> recordLoopIteration(PauseDetector &Detector,
                                            TimePoint Now);

/// @brief Whether the process may act on its leases. To be checked immediately
/// before a command is sent.
/// @param Detector the detector
/// @param Now current time of the boot-time clock
/// @return false when the latest iteration is longer ago than the lease, or
/// when there was none
/// @complexity constant
bool isLeaseValid(const PauseDetector &Detector, TimePoint Now);

} // namespace marigoldyard
