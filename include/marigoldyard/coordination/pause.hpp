#pragma once

#include "marigoldyard/state/time.hpp"

#include <optional>

namespace marigoldyard {

/// @brief Detects that the own process did not run for longer than a lease,
/// from gaps between turns of its core loop.
struct PauseDetector {
  Duration Lease{}; ///< longest gap after which cached views still hold
  std::optional<TimePoint> LastTurn;
};

/// @brief Records one turn of the core loop.
/// @param Detector the detector
/// @param Now current time; the boot-time clock counts suspended time
/// @return the length of the pause when it exceeded the lease; all leases and
/// cached views are void then
/// @complexity constant
std::optional<Duration> recordTurn(PauseDetector &Detector, TimePoint Now);

/// @brief Whether the process may act on its leases now; asked right before an
/// order is sent.
/// @param Detector the detector
/// @param Now current time
/// @return false when the last turn is longer ago than the lease, or there was
/// none
/// @complexity constant
bool leaseHolds(const PauseDetector &Detector, TimePoint Now);

} // namespace marigoldyard
