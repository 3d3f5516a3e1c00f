#include "marigoldyard/coordination/rollout.hpp"

#include "marigoldyard/coordination/detail/rendezvous.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace marigoldyard {

namespace {

struct Candidate {
  bool TurnExpired;
  std::uint64_t Score;
  std::string_view Name;
};

bool reportsWeights(const RolloutMember &Member, const Digest &Weights) {
  return std::find(Member.ReadyWeights.begin(), Member.ReadyWeights.end(),
                   Weights) != Member.ReadyWeights.end();
}

bool reportsAny(const RolloutMember &Member,
                const std::vector<Digest> &UsableWeights) {
  return std::any_of(
      UsableWeights.begin(), UsableWeights.end(),
      [&](const Digest &Weights) { return reportsWeights(Member, Weights); });
}

/// Whether a member's turn timed out. The own turn ends after half of the
/// timeout, but others end it only after the whole timeout, so that two members
/// never have the same turn at once.
bool turnExpired(const RolloutState &State, std::string_view Name,
                 TimePoint Now) {
  const auto Found = State.TurnStartedAt.find(std::string(Name));
  if (Found == State.TurnStartedAt.end())
    return false;
  const Duration Limit = Name == State.SelfName ? State.Settings.TurnTimeout / 2
                                                : State.Settings.TurnTimeout;
  return Now - Found->second >= Limit;
}

} // namespace

RolloutState makeRollout(std::string SelfName, RolloutSettings Settings) {
  RolloutState State;
  State.Settings = Settings;
  State.SelfName = std::move(SelfName);
  return State;
}

RolloutDecision decideRollout(RolloutState &State, const Digest &Target,
                              const std::vector<Digest> &UsableWeights,
                              const std::vector<RolloutMember> &Pool,
                              std::uint32_t MaxUnavailable, TimePoint Now) {
  if (State.Target != Target) {
    State.Target = Target;
    State.TurnStartedAt.clear();
  }
  RolloutDecision Decision;
  std::vector<Candidate> Pending;
  bool SelfReady = false;
  const std::uint64_t Key = detail::nameHash(Target);
  for (const RolloutMember &Member : Pool) {
    const bool IsSelf = Member.Name == State.SelfName;
    if (!IsSelf && (Member.Draining ||
                    Now - Member.LastReport > State.Settings.ReportTimeout))
      continue;
    if (reportsWeights(Member, Target)) {
      SelfReady |= IsSelf;
      continue;
    }
    Decision.OutdatedMembers.push_back(Member.Name);
    if (reportsAny(Member, UsableWeights)) {
      SelfReady |= IsSelf;
      Pending.push_back(
          {turnExpired(State, Member.Name, Now),
           detail::rendezvousScore(Key, detail::nameHash(Member.Name)),
           Member.Name});
    } else if (!IsSelf) {
      ++Decision.OthersNotReady;
    }
  }
  std::sort(Pending.begin(), Pending.end(),
            [](const Candidate &Left, const Candidate &Right) {
              return std::tie(Left.TurnExpired, Right.Score, Left.Name) <
                     std::tie(Right.TurnExpired, Left.Score, Right.Name);
            });
  const std::size_t Limit = std::max<std::uint32_t>(MaxUnavailable, 1);
  const std::size_t FreeTurns =
      Limit > Decision.OthersNotReady ? Limit - Decision.OthersNotReady : 0;
  std::map<std::string, TimePoint> Turns;
  for (std::size_t Index = 0; Index < Pending.size(); ++Index) {
    const std::string Name(Pending[Index].Name);
    const auto Known = State.TurnStartedAt.find(Name);
    if (Known != State.TurnStartedAt.end())
      Turns.insert(*Known);
    else if (Index < FreeTurns)
      Turns.emplace(Name, Now);
    if (Name == State.SelfName) {
      Decision.MembersAhead = Index;
      Decision.HasTurn = Index < FreeTurns;
    }
  }
  State.TurnStartedAt = std::move(Turns);
  // Loading on an endpoint that serves nothing does not reduce capacity.
  if (!SelfReady)
    Decision.HasTurn = true;
  return Decision;
}

} // namespace marigoldyard
