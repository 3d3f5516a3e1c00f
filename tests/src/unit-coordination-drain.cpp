#include "throw_on_violation.hpp"

#include "marigoldyard/coordination/drain.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;
using namespace marigoldyard::test;

namespace {

TimePoint at(int Seconds) { return TimePoint(std::chrono::seconds(Seconds)); }

DrainState busy(Duration Linger) {
  DrainState State;
  CHECK_FALSE(admitWork(State, at(0)));
  beginDrain(State, Linger, std::chrono::seconds(30), at(0));
  return State;
}

} // namespace

TEST_CASE("a leaving agent refuses at once and exits when its work is done") {
  DrainState State = busy(Duration(0));
  CHECK(admitWork(State, at(0))->Code == ErrorCode::EndpointLeaving);
  CHECK(updateDrain(State, at(29)) == DrainStage::Finishing);
  recordWorkFinished(State);
  CHECK(updateDrain(State, at(29)) == DrainStage::Done);
  CHECK(State.AbortedRequests == 0);
}

TEST_CASE("a leaving entry serves callers that still hold its address") {
  DrainState State = busy(std::chrono::seconds(10));
  recordWorkFinished(State);
  CHECK(updateDrain(State, at(9)) == DrainStage::Lingering);
  CHECK_FALSE(admitWork(State, at(9)));
  CHECK(admitWork(State, at(10)));
  CHECK(nextDrainUpdate(State) == at(30));
  CHECK(State.Running == 1);
}

TEST_CASE("the deadline bounds a departure and reports what it cut off") {
  DrainState State = busy(std::chrono::seconds(60));
  CHECK(updateDrain(State, at(30)) == DrainStage::Done);
  CHECK(State.AbortedRequests == 1);
}

// Guards against a departure without exit that uses up the time until exit.
TEST_CASE("the deadline starts again when a leaving process is told to exit") {
  DrainState State = busy(Duration(0));
  restartDeadline(State, std::chrono::seconds(30), at(100));
  CHECK(updateDrain(State, at(129)) == DrainStage::Finishing);
  CHECK(updateDrain(State, at(130)) == DrainStage::Done);
  DrainState Serving;
  restartDeadline(Serving, std::chrono::seconds(30), at(100));
  CHECK(Serving.Stage == DrainStage::Serving);
  CHECK_FALSE(nextDrainUpdate(Serving));
}

TEST_CASE("without their mechanisms the invariants of leaving are reported as "
          "violated") {
  ThrowOnViolation Handler;
  {
    ScopedFault Fault(Invariant::NoWorkWhileLeaving);
    DrainState State = busy(Duration(0));
    CHECK_THROWS_AS(admitWork(State, at(1)), Violated);
  }
  ScopedFault Fault(Invariant::NoCutOnShutdown);
  CHECK_THROWS_AS(busy(Duration(0)), Violated);
}
