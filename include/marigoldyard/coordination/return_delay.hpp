#pragma once

#include "marigoldyard/state/time.hpp"

#include <cstdint>

namespace marigoldyard {

/// @brief Why a request is refused without having run.
enum class RefusalCause : std::uint8_t {
  Overload, ///< servers are full; places become free all the time
  NotReady, ///< nothing serves yet: weights or the configuration are missing
  Other,
};

/// @brief Chooses when a caller is to come back after a refusal.
///
/// Answers callers that return before anything has changed: a caller returns
/// once, so it is refused for good if it comes back while weights are still
/// being loaded or processes still start.
/// @param Cause why the request was refused
/// @param TimeLeft until the deadline of the caller; callers wait for at most a
/// third of it
/// @return the delay; shorter than a third of TimeLeft
Duration returnDelay(RefusalCause Cause, Duration TimeLeft);

} // namespace marigoldyard
