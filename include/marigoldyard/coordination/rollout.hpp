#pragma once

#include "marigoldyard/state/types.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace marigoldyard {

/// @brief Limits of a rollout over one pool.
struct RolloutSettings {
  /// A member without a report for this long is not counted in the pool. It is
  /// far above the 1 s in which a death is detected, so that a paused member
  /// does not let the others exceed max_unavailable.
  Duration DeadAfter = std::chrono::seconds(10);
  /// A member that had its turn for this long without a change is passed over.
  Duration TurnTimeout = std::chrono::seconds(60);
};

/// @brief One member of the pool as the agent observes it.
struct RolloutMember {
  std::string Name;
  bool Leaving = false;
  TimePoint LastReport; ///< arrival of its newest report, or the time at which
                        ///< it was first listed
  std::vector<Digest> ReadyWeights; ///< from its newest report
};

/// @brief What the agent remembers of a rollout; bounded by the pool's size.
struct RolloutState {
  RolloutSettings Settings;
  std::string Self;
  Digest Target; ///< digest the observations below belong to
  std::map<std::string, TimePoint> TurnSince; ///< members whose turn it is
};

/// @brief What the agent may do in the rollout.
struct RolloutDecision {
  bool MayBeUnready = false;        ///< it is the agent's turn
  std::size_t NotReady = 0;         ///< other members observed not ready
  std::size_t Ahead = 0;            ///< members whose turn comes before
  std::vector<std::string> Lagging; ///< live members without the target digest
};

/// @brief Creates the state of a rollout.
/// @param Self own name
/// @param Settings the limits
/// @return the state
RolloutState makeRollout(std::string Self, RolloutSettings Settings = {});

/// @brief Decides whether the agent may stop serving the old weights of a
/// product in order to load the target.
///
/// A member counts as ready when it reports the target or the previous digest.
/// The order is that of rendezvous hashing of the target over the members, so
/// that all agents compute the same order without messages.
/// @param State what is remembered of the rollout
/// @param Target digest to be loaded
/// @param Usable digests that serve the product: the target and those it
/// replaces
/// @param Pool observed members of the pool, including the agent itself
/// @param MaxUnavailable endpoints that may be not ready at once; 0 counts as 1
/// @param Now the time
/// @return the decision
/// @complexity linear in the pool's size times its logarithm
RolloutDecision decideRollout(RolloutState &State, const Digest &Target,
                              const std::vector<Digest> &Usable,
                              const std::vector<RolloutMember> &Pool,
                              std::uint32_t MaxUnavailable, TimePoint Now);

} // namespace marigoldyard
