#pragma once

#include "marigoldyard/state/time.hpp"

#include <chrono>

namespace marigoldyard {

/// @brief Time since boot, including the time the machine was suspended
/// (CLOCK_BOOTTIME).
/// @return the current instant; never decreases
/// @complexity constant
TimePoint now();

/// @brief Wall time; for the time line, logs and incarnations only, never for
/// decisions.
/// @return time since 1970-01-01 UTC
/// @complexity constant
std::chrono::microseconds wallTime();

} // namespace marigoldyard
