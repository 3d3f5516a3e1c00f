#include "marigoldyard/coordination/return_delay.hpp"

#include <algorithm>

namespace marigoldyard {

namespace {

/// Fractions of the time left. A burst of load may be over after the first one;
/// the second one is just below the longest time that callers wait.
constexpr double OverloadFraction = 0.15;
constexpr double NotReadyFraction = 0.32;
/// Delay after refusals for reasons that say nothing about the time.
constexpr std::chrono::milliseconds DefaultDelay{200};

Duration fraction(Duration Value, double Share) {
  return std::chrono::duration_cast<Duration>(Value * Share);
}

} // namespace

Duration returnDelay(RefusalCause Cause, Duration TimeLeft) {
  const Duration Left = std::max(Duration::zero(), TimeLeft);
  switch (Cause) {
  case RefusalCause::Overload:
    return fraction(Left, OverloadFraction);
  case RefusalCause::NotReady:
    return fraction(Left, NotReadyFraction);
  case RefusalCause::Other:
    break;
  }
  return std::min<Duration>(DefaultDelay, fraction(Left, NotReadyFraction));
}

} // namespace marigoldyard
