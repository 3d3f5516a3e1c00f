#pragma once

#include "marigoldyard/state/time.hpp"
#include "marigoldyard/state/types.hpp"

#include <chrono>

namespace marigoldyard {

/// @brief Detects a revision that other processes know and that reading the
/// store does not bring, such as one that a restored store has lost.
struct CatchUp {
  /// Time in which reading the store brings every change that others know.
  Duration Limit = std::chrono::seconds(1);
  Revision Missing = 0; ///< oldest reported one above the own; 0 if none
  TimePoint MissingSince{};
};

/// @brief Records the revision that another process reported.
/// @param Own revision that this process knows
/// @param Reported revision that the other process knows
/// @return whether the other process knows more than this one, and this one has
/// lacked a revision for longer than the limit
/// @complexity constant
bool isLeftBehind(CatchUp &State, Revision Own, Revision Reported,
                  TimePoint Now);

} // namespace marigoldyard
