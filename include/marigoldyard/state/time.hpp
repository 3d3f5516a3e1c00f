#pragma once

#include <chrono>

namespace marigoldyard {

/// @brief Monotonic clock that includes the time in which the VM is suspended.
///
/// It has no now(): decision functions receive the time as an argument. The
/// transport layer reads the system's boot-time clock.
struct BootClock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock, duration>;
};

/// @brief Time span with a resolution of one microsecond.
using Duration = BootClock::duration;

/// @brief Time point on this VM's boot-time clock. Time points of different VMs
/// are not comparable.
using TimePoint = BootClock::time_point;

} // namespace marigoldyard
