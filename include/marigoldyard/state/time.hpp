#pragma once

#include <chrono>

namespace marigoldyard {

/// @brief Monotonic clock that counts the time a machine is suspended.
///
/// It has no now(): decisions receive the time as an argument. The transport
/// layer reads the system's boot-time clock.
struct BootClock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock, duration>;
};

/// @brief Span of time; resolution one microsecond.
using Duration = BootClock::duration;

/// @brief Instant on the own machine's boot-time clock. Never compared between
/// machines.
using TimePoint = BootClock::time_point;

} // namespace marigoldyard
