#include "marigoldyard/state/fault_switch.hpp"
#include "tests/src/fake_engine.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;
using namespace marigoldyard::test;

TEST_CASE("an incomplete set is never ordered, so that no partial weights "
          "answer a caller") {
  LoadingFixture Test;
  Test.want(1, VersionOne, false);
  Test.steps(20);
  CHECK(Test.Orders.empty());
  CHECK(Test.State.Models[0].Phase == LoadPhase::WaitingForChunks);
  addVerifiedWeights(Test.State, VersionOne.Weights, {"chunk-1"});
  Test.steps(5);
  REQUIRE(Test.Orders.size() == 1);
  CHECK(Test.Orders[0].Chunks == std::vector<Digest>{"chunk-1"});
  CHECK(Test.Announcements.back() == std::vector<Digest>{VersionOne.Weights});
}

TEST_CASE("weights are announced only after the read-back, so that an order "
          "without effect attracts no requests") {
  LoadingFixture Test;
  Test.want(1, VersionOne);
  Test.steps(2);
  REQUIRE(Test.Orders.size() == 1);
  Test.Engine.Loaded.clear();
  Test.steps(1);
  CHECK(Test.State.Models[0].Phase == LoadPhase::Failed);
  CHECK_FALSE(acceptsRequests(Test.State, VersionOne.Weights));
}

TEST_CASE("a swap waits for requests on the old digest and unloads it, so that "
          "no stream changes its weights") {
  LoadingFixture Test;
  Test.want(1, VersionOne);
  Test.steps(5);
  Test.Input.RunningRequests[VersionOne.Weights] = 1;
  Test.want(2, VersionTwo);
  Test.steps(10);
  CHECK(Test.State.Models[0].Phase == LoadPhase::Draining);
  CHECK_FALSE(acceptsRequests(Test.State, VersionOne.Weights));
  CHECK(Test.Orders.size() == 1);
  Test.Input.RunningRequests.clear();
  Test.steps(10);
  REQUIRE(Test.Orders.size() == 3);
  CHECK(Test.Orders[2].Action == OrderAction::Unload);
  CHECK(Test.Engine.Loaded == std::vector<LoadedModel>{VersionTwo});
  CHECK(acceptsRequests(Test.State, VersionTwo.Weights));
}

TEST_CASE("an agent without its turn keeps serving the old digest, so that a "
          "rollout keeps capacity") {
  LoadingFixture Test;
  Test.want(1, VersionOne);
  Test.steps(5);
  Test.want(2, VersionTwo);
  Test.Input.HasTurnByWeights.clear();
  Test.steps(10);
  CHECK(Test.State.Models[0].Phase == LoadPhase::WaitingForTurn);
  CHECK(acceptsRequests(Test.State, VersionOne.Weights));
}

TEST_CASE("a change back while draining serves the old digest again without "
          "an order") {
  LoadingFixture Test;
  Test.want(1, VersionOne);
  Test.steps(5);
  Test.Input.RunningRequests[VersionOne.Weights] = 1;
  Test.want(2, VersionTwo);
  Test.steps(3);
  Test.want(3, VersionOne);
  Test.steps(3);
  CHECK(acceptsRequests(Test.State, VersionOne.Weights));
  CHECK(Test.Orders.size() == 1);
}

TEST_CASE("a pause right before sending voids the order, so that a late issuer "
          "gives no outdated order") {
  LoadingFixture Test;
  Test.want(1, VersionOne);
  Test.step();
  Test.Input.LastPauseCheck = Test.Input.Now;
  const auto Actions = planLoading(Test.State, Test.Input);
  REQUIRE_FALSE(Actions.empty());
  const Order Late = std::get<Order>(Actions[0]);
  CHECK(isOrderValid(Late, Test.Input.Now));
  CHECK_FALSE(isOrderValid(Late, Test.Input.Now + std::chrono::seconds(1)));
  handleExpiredOrder(Test.State, Late.FencingToken);
  CHECK_FALSE(Test.State.EngineModels.has_value());
  Test.steps(5);
  CHECK(Test.Orders[0].FencingToken > Late.FencingToken);
  CHECK(acceptsRequests(Test.State, VersionOne.Weights));
}

TEST_CASE("a paused process announces nothing until the engine is read again") {
  LoadingFixture Test;
  Test.want(1, VersionOne);
  Test.steps(5);
  Test.Input.Now += std::chrono::seconds(30);
  const auto Actions = planLoading(Test.State, Test.Input);
  REQUIRE(Actions.size() == 2);
  CHECK(std::get<AnnounceReady>(Actions[0]).ReadyWeights.empty());
  CHECK(std::holds_alternative<ReadBack>(Actions[1]));
}

TEST_CASE("a read-back sent before an order ended does not confirm it") {
  LoadingFixture Test;
  Test.want(1, VersionOne);
  Test.steps(2);
  const TimePoint Now = Test.Input.Now;
  handleEngineReport(Test.State, {VersionOne}, Now - std::chrono::seconds(1),
                     Now);
  CHECK(Test.State.Models[0].Phase == LoadPhase::ReadingBack);
}

TEST_CASE("with the mechanism disabled the invariant check finds an order of "
          "an incomplete set and an early announcement") {
  LoadingFixture Incomplete;
  Incomplete.want(1, VersionOne, false);
  LoadingFixture Early;
  Early.want(1, VersionOne);
  Early.steps(2);
  REQUIRE(Early.State.Models[0].Phase == LoadPhase::ReadingBack);
  const ScopedFault Disabled(Invariant::UnmixedWeights);
  const auto Order = violationOf([&] { Incomplete.steps(3); });
  REQUIRE(Order.has_value());
  CHECK(Order->Which == Invariant::UnmixedWeights);
  CHECK(Order->At == Step::Order);
  CHECK(Order->Peer == "engine-1");
  const auto Announced = violationOf([&] { Early.steps(1); });
  REQUIRE(Announced.has_value());
  CHECK(Announced->At == Step::Announce);
}
