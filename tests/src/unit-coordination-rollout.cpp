#include "marigoldyard/coordination/rollout.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;

namespace {

const TimePoint StartCommand = TimePoint{} + std::chrono::hours(1);

std::vector<RolloutMember> pool(std::size_t Count) {
  std::vector<RolloutMember> Members;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Members.push_back(
        {"agent-" + std::to_string(Index), false, StartCommand, {"old"}});
  return Members;
}

RolloutDecision decide(RolloutState &State,
                       const std::vector<RolloutMember> &Pool, TimePoint Now,
                       std::uint32_t MaxUnavailable = 1) {
  return decideRollout(State, "new", {"new", "old"}, Pool, MaxUnavailable, Now);
}

/// Member whose turn it is in the view of Pool at the start.
std::size_t firstOf(const std::vector<RolloutMember> &Pool) {
  for (std::size_t Index = 0; Index < Pool.size(); ++Index) {
    RolloutState State = makeRollout(Pool[Index].Name);
    if (decide(State, Pool, StartCommand).HasTurn)
      return Index;
  }
  return Pool.size();
}

} // namespace

TEST_CASE("exactly max_unavailable members have a turn, so that a rollout "
          "keeps the rest of the pool ready") {
  const auto Pool = pool(9);
  for (const std::uint32_t MaxUnavailable : {1, 2, 4}) {
    std::size_t Turns = 0;
    for (const RolloutMember &Member : Pool) {
      RolloutState State = makeRollout(Member.Name);
      Turns +=
          decide(State, Pool, StartCommand, MaxUnavailable).HasTurn ? 1 : 0;
    }
    CHECK(Turns == MaxUnavailable);
  }
}

TEST_CASE("nobody has a turn while another member is not ready") {
  auto Pool = pool(5);
  Pool[firstOf(Pool)].ReadyWeights.clear();
  CHECK(firstOf(Pool) < Pool.size());
  std::size_t Turns = 0;
  for (const RolloutMember &Member : Pool) {
    RolloutState State = makeRollout(Member.Name);
    const bool Ready = !Member.ReadyWeights.empty();
    Turns += Ready && decide(State, Pool, StartCommand).HasTurn ? 1 : 0;
  }
  CHECK(Turns == 0);
}

TEST_CASE("a dead predecessor is skipped after its timeout, so that a rollout "
          "does not stop") {
  auto Pool = pool(5);
  const std::size_t First = firstOf(Pool);
  const TimePoint Later = StartCommand + std::chrono::seconds(11);
  for (std::size_t Index = 0; Index < Pool.size(); ++Index)
    if (Index != First)
      Pool[Index].LastReport = Later;
  std::size_t Turns = 0;
  for (std::size_t Index = 0; Index < Pool.size(); ++Index) {
    if (Index == First)
      continue;
    RolloutState State = makeRollout(Pool[Index].Name);
    Turns += decide(State, Pool, Later).HasTurn ? 1 : 0;
  }
  CHECK(Turns == 1);
}

TEST_CASE("a member that does not use its turn is passed over, and has passed "
          "itself over before, so that two never swap at once") {
  auto Pool = pool(5);
  const std::size_t First = firstOf(Pool);
  std::vector<RolloutState> States;
  States.reserve(Pool.size());
  for (const RolloutMember &Member : Pool)
    States.push_back(makeRollout(Member.Name));
  std::size_t Successors = 0;
  for (int Second = 0; Second <= 70; ++Second) {
    const TimePoint Now = StartCommand + std::chrono::seconds(Second);
    std::size_t Turns = 0;
    for (RolloutMember &Member : Pool)
      Member.LastReport = Now;
    for (std::size_t Index = 0; Index < Pool.size(); ++Index) {
      const bool Turn = decide(States[Index], Pool, Now).HasTurn;
      Turns += Turn ? 1 : 0;
      Successors += Turn && Index != First ? 1 : 0;
    }
    CHECK(Turns <= 1);
  }
  CHECK(Successors > 0);
}

TEST_CASE("an endpoint that serves nothing loads at once, and lagging members "
          "are listed") {
  auto Pool = pool(3);
  Pool[0].ReadyWeights = {"new"};
  Pool[1].ReadyWeights.clear();
  RolloutState State = makeRollout("agent-1");
  const RolloutDecision Decision = decide(State, Pool, StartCommand);
  CHECK(Decision.HasTurn);
  CHECK(Decision.OutdatedMembers ==
        std::vector<std::string>{"agent-1", "agent-2"});
}
