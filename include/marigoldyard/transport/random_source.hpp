#pragma once

#include "marigoldyard/state/types.hpp"

#include <chrono>

namespace marigoldyard {

/// @brief A generator seeded by the operating system's random device.
/// @return the generator; two calls give independent sequences
Random makeRandom();

/// @brief Number of one start of a process: the start time in seconds in the
/// upper 32 bits, the milliseconds within the second in the next 10, random
/// bits in the lower 22. Builds that had random bits in place of the
/// milliseconds compare by their second.
/// @param Start wall time of the start since 1970-01-01 UTC
/// @param Source source of the random bits
/// @return the incarnation; a start whose wall time is in a later millisecond
/// compares higher
/// @complexity constant
Incarnation makeIncarnation(std::chrono::microseconds Start, Random &Source);

} // namespace marigoldyard
