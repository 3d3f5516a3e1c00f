#pragma once

#include "marigoldyard/coordination/retry.hpp"

#include <cstddef>

namespace marigoldyard {

/// @brief Limit of the retries of all processes together: a fraction of the
/// requests and a number of retries besides.
struct FleetRetryLimit {
  double Ratio = 0;   ///< retries per first attempt
  double Reserve = 0; ///< retries in addition to those
};

/// @brief Share of one process in the retries of the fleet.
///
/// Answers the retry storm after restarts: processes that do not tell each
/// other about their retries must keep the sum of them under a limit, whether
/// they start together, restart one after the other or lose sight of each
/// other. A process therefore starts without a reserve, gets its part when it
/// has had time to find the others, and never enlarges the part again.
struct RetryShare {
  FleetRetryLimit Limit;
  TimePoint StartedAt{};     ///< start of this process
  std::size_t MostPeers = 0; ///< most other processes that were live at once
};

/// @brief Time after the start of a process in which it finds the others.
inline constexpr Duration PeerSearchTime = std::chrono::milliseconds(1500);

/// @brief Records the number of other processes that share the limit.
/// @param LivePeers number of live ones, without this process
void recordPeers(RetryShare &Share, std::size_t LivePeers);

/// @brief Makes the budget of a pool.
/// @param Now without a reserve until PeerSearchTime after the start
RetryBudget makeRetryBudget(const RetryShare &Share, TimePoint Now);

/// @brief Adapts a budget to the current share.
/// @param Budget made by makeRetryBudget()
/// @param Now adds the reserve once PeerSearchTime is over
void updateRetryBudget(const RetryShare &Share, RetryBudget &Budget,
                       TimePoint Now);

} // namespace marigoldyard
