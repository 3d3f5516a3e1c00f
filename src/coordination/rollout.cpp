#include "marigoldyard/coordination/rollout.hpp"

#include "marigoldyard/coordination/detail/rendezvous.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace marigoldyard {

namespace {

struct Candidate {
  bool PassedOver;
  std::uint64_t Score;
  std::string_view Name;
};

bool reports(const RolloutMember &Member, const Digest &Weights) {
  return std::find(Member.ReadyWeights.begin(), Member.ReadyWeights.end(),
                   Weights) != Member.ReadyWeights.end();
}

bool usable(const RolloutMember &Member, const std::vector<Digest> &Usable) {
  return std::any_of(Usable.begin(), Usable.end(), [&](const Digest &Weights) {
    return reports(Member, Weights);
  });
}

/// A member passes itself over after half the time, so that the others, which
/// do so after the whole time, never take a turn together with it.
bool passedOver(const RolloutState &State, std::string_view Name,
                TimePoint Now) {
  const auto Found = State.TurnSince.find(std::string(Name));
  if (Found == State.TurnSince.end())
    return false;
  const Duration Limit = Name == State.Self ? State.Settings.TurnTimeout / 2
                                            : State.Settings.TurnTimeout;
  return Now - Found->second >= Limit;
}

} // namespace

RolloutState makeRollout(std::string Self, RolloutSettings Settings) {
  RolloutState State;
  State.Settings = Settings;
  State.Self = std::move(Self);
  return State;
}

RolloutDecision decideRollout(RolloutState &State, const Digest &Target,
                              const std::vector<Digest> &Usable,
                              const std::vector<RolloutMember> &Pool,
                              std::uint32_t MaxUnavailable, TimePoint Now) {
  if (State.Target != Target) {
    State.Target = Target;
    State.TurnSince.clear();
  }
  RolloutDecision Decision;
  std::vector<Candidate> Pending;
  bool SelfReady = false;
  const std::uint64_t Key = detail::nameHash(Target);
  for (const RolloutMember &Member : Pool) {
    const bool IsSelf = Member.Name == State.Self;
    if (!IsSelf &&
        (Member.Leaving || Now - Member.LastReport > State.Settings.DeadAfter))
      continue;
    if (reports(Member, Target)) {
      SelfReady |= IsSelf;
      continue;
    }
    Decision.Lagging.push_back(Member.Name);
    if (usable(Member, Usable)) {
      SelfReady |= IsSelf;
      Pending.push_back(
          {passedOver(State, Member.Name, Now),
           detail::rendezvousScore(Key, detail::nameHash(Member.Name)),
           Member.Name});
    } else if (!IsSelf) {
      ++Decision.NotReady;
    }
  }
  std::sort(Pending.begin(), Pending.end(),
            [](const Candidate &Left, const Candidate &Right) {
              return std::tie(Left.PassedOver, Right.Score, Left.Name) <
                     std::tie(Right.PassedOver, Left.Score, Right.Name);
            });
  const std::size_t Limit = std::max<std::uint32_t>(MaxUnavailable, 1);
  const std::size_t Free =
      Limit > Decision.NotReady ? Limit - Decision.NotReady : 0;
  std::map<std::string, TimePoint> Turns;
  for (std::size_t Index = 0; Index < Pending.size(); ++Index) {
    const std::string Name(Pending[Index].Name);
    const auto Known = State.TurnSince.find(Name);
    if (Known != State.TurnSince.end())
      Turns.insert(*Known);
    else if (Index < Free)
      Turns.emplace(Name, Now);
    if (Name == State.Self) {
      Decision.Ahead = Index;
      Decision.MayBeUnready = Index < Free;
    }
  }
  State.TurnSince = std::move(Turns);
  // An endpoint that serves nothing reduces no capacity by loading.
  if (!SelfReady)
    Decision.MayBeUnready = true;
  return Decision;
}

} // namespace marigoldyard
