#include "marigoldyard/coordination/pause.hpp"

namespace marigoldyard {

std::optional<Duration> recordTurn(PauseDetector &Detector, TimePoint Now) {
  const std::optional<TimePoint> Last = Detector.LastTurn;
  Detector.LastTurn = Now;
  if (!Last || Now - *Last <= Detector.Lease)
    return std::nullopt;
  return Now - *Last;
}

bool leaseHolds(const PauseDetector &Detector, TimePoint Now) {
  return Detector.LastTurn && Now - *Detector.LastTurn <= Detector.Lease;
}

} // namespace marigoldyard
