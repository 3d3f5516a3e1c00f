#pragma once

#include "marigoldyard/state/types.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace marigoldyard {

/// @brief Timeouts of a rollout over one pool.
struct RolloutSettings {
  /// A member without a report for longer than this is not counted in the pool.
  /// The value is far above the 1 s in which a dead process is detected, so
  /// that the others do not exceed max_unavailable while a member is only
  /// paused.
  Duration ReportTimeout = std::chrono::seconds(10);
  /// A member that does not load the target within this time of getting its
  /// turn moves behind the others.
  Duration TurnTimeout = std::chrono::seconds(60);
};

/// @brief Observed state of one pool member.
struct RolloutMember {
  std::string Name;
  bool Draining = false;
  TimePoint LastReport; ///< arrival of its newest report; before the first one
                        ///< the time at which it was first listed
  std::vector<Digest> ReadyWeights; ///< ready weights in its newest report
};

/// @brief State of a rollout in one agent; its size is bounded by the pool's.
struct RolloutState {
  RolloutSettings Settings;
  std::string SelfName;
  Digest Target; ///< weights to which the turns below belong
  std::map<std::string, TimePoint>
      TurnStartedAt; ///< start of the turn by member
};

/// @brief Whether the agent may load the target, and the observed progress.
struct RolloutDecision {
  bool HasTurn = false; ///< the agent may become not ready to load
  std::size_t OthersNotReady =
      0;                        ///< number of other members that are not ready
  std::size_t MembersAhead = 0; ///< number of members before the agent
  std::vector<std::string> OutdatedMembers; ///< live members without the target
};

/// @brief Creates the state of a rollout.
/// @param SelfName name of the own member
/// @return state without a target
RolloutState makeRollout(std::string SelfName, RolloutSettings Settings = {});

/// @brief Decides whether the agent may stop serving the old weights of a
/// product in order to load the target.
///
/// A member counts as ready when it reports the target or the weights that the
/// target replaces. Rendezvous hashing of the target over the members
/// determines the sequence of turns, so that all agents compute the same
/// sequence without messages.
/// @param State updated with the turns of this call
/// @param Target digest of the weights to load
/// @param UsableWeights weights that can serve the product: the target and
/// those it replaces
/// @param Pool observed members of the pool, including the agent itself
/// @param MaxUnavailable endpoints that may be not ready at once; 0 counts as 1
/// @complexity O(n log n) in the pool's size
RolloutDecision decideRollout(RolloutState &State, const Digest &Target,
                              const std::vector<Digest> &UsableWeights,
                              const std::vector<RolloutMember> &Pool,
                              std::uint32_t MaxUnavailable, TimePoint Now);

} // namespace marigoldyard
