#pragma once

#include <cstdlib>

namespace marigoldyard::test {

/// @brief Fixes RapidCheck's seed unless RC_PARAMS is set, so that CI repeats
/// the same cases. Include before the first property runs.
inline const int FixedSeed =
    setenv("RC_PARAMS", "seed=20240817 max_success=500", 0);

} // namespace marigoldyard::test
