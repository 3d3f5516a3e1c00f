#include "marigoldyard/coordination/pause.hpp"

namespace marigoldyard {

std::optional<Duration> recordLoopIteration(PauseDetector &Detector,
                                            TimePoint Now) {
  const std::optional<TimePoint> Previous = Detector.LastIteration;
  Detector.LastIteration = Now;
  if (!Previous || Now - *Previous <= Detector.Lease)
    return std::nullopt;
  return Now - *Previous;
}

bool isLeaseValid(const PauseDetector &Detector, TimePoint Now) {
  return Detector.LastIteration &&
         Now - *Detector.LastIteration <= Detector.Lease;
}

} // namespace marigoldyard
