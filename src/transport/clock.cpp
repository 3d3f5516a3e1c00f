#include "marigoldyard/transport/clock.hpp"

#include <ctime>

namespace marigoldyard {

TimePoint now() {
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(Time.tv_sec) +
      std::chrono::nanoseconds(Time.tv_nsec)));
}

std::chrono::microseconds wallTime() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

} // namespace marigoldyard
