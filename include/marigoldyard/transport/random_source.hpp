#pragma once

#include "marigoldyard/state/types.hpp"

#include <chrono>

namespace marigoldyard {

/// @brief A generator seeded by the operating system's random device.
/// @return the generator; two calls give independent sequences
Random makeRandom();

/// @brief Number of one start of a process: the start time in seconds in the
/// upper 32 bits, random bits in the lower 32.
/// @param Start wall time of the start since 1970-01-01 UTC
/// @param Source source of the lower bits
/// @return the incarnation; a later start of the same VM compares higher when
/// at least a second lies between them
/// @complexity constant
Incarnation makeIncarnation(std::chrono::microseconds Start, Random &Source);

} // namespace marigoldyard
