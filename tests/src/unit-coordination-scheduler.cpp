#include "marigoldyard/coordination/scheduler.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Origin{1000s};

QueuedWork work(std::string Id, std::string Caller, Rank Priority,
                std::uint64_t Tokens = 100, Duration TimeLeft = 60s) {
  return {std::move(Id), std::move(Caller), 1.0, Priority, 0,
          Tokens,        Origin + TimeLeft};
}

} // namespace

TEST_CASE("urgent work that arrives later starts before waiting batch work") {
  // Guards against an order of arrival that ignores rank.
  SchedulerState State = makeScheduler({.Slots = 1});
  CHECK(enqueue(State, work("b", "x", Rank::Batch), Origin).Accepted);
  CHECK(enqueue(State, work("u", "x", Rank::Urgent), Origin).Accepted);
  CHECK(scheduleNext(State, Origin).Command->Id == "u");
  CHECK_FALSE(scheduleNext(State, Origin).Command);
  CHECK(finish(State, "u", 100, Origin + 1s));
  CHECK(scheduleNext(State, Origin + 1s).Command->Id == "b");
}

TEST_CASE("callers of a rank are served in turn by weight") {
  // Guards against a caller that floods the urgent rank.
  SchedulerState State = makeScheduler({.Slots = 1});
  for (int I = 0; I < 30; ++I)
    enqueue(State, work("f" + std::to_string(I), "flood", Rank::Urgent),
            Origin);
  QueuedWork Heavy = work("h0", "heavy", Rank::Urgent);
  Heavy.Weight = 2.0;
  for (int I = 0; I < 10; ++I) {
    Heavy.Id = "h" + std::to_string(I);
    enqueue(State, Heavy, Origin);
  }
  int HeavyStarts = 0;
  for (int I = 0; I < 15; ++I) {
    const std::string Id = scheduleNext(State, Origin).Command->Id;
    HeavyStarts += Id[0] == 'h';
    finish(State, Id, 100, Origin);
  }
  CHECK(HeavyStarts == 10);
}

TEST_CASE("actual tokens correct the estimate") {
  // Guards against callers that gain by low estimates.
  SchedulerState State = makeScheduler({.Slots = 1});
  for (int I = 0; I < 6; ++I) {
    enqueue(State, work("l" + std::to_string(I), "liar", Rank::Urgent, 1),
            Origin);
    enqueue(State, work("t" + std::to_string(I), "true", Rank::Urgent), Origin);
  }
  int LiarStarts = 0;
  for (int I = 0; I < 6; ++I) {
    const std::string Id = scheduleNext(State, Origin).Command->Id;
    LiarStarts += Id[0] == 'l';
    updateProgress(State, Id, Id[0] == 'l' ? 250 : 50);
    finish(State, Id, Id[0] == 'l' ? 500 : 100, Origin);
  }
  CHECK(LiarStarts == 1);
}

TEST_CASE("a full rank drops the newest work of the flood") {
  // Guards against queues that a flood closes to small callers.
  SchedulerState State = makeScheduler({.Slots = 1, .MaxQueuedPerRank = 4});
  for (int I = 0; I < 4; ++I)
    CHECK(enqueue(State, work("f" + std::to_string(I), "flood", Rank::Batch),
                  Origin)
              .Accepted);
  const EnqueueResult Flood =
      enqueue(State, work("f4", "flood", Rank::Batch), Origin);
  REQUIRE(Flood.Refused);
  CHECK(Flood.Refused->Reason == ErrorCode::QueueFull);
  CHECK(Flood.Refused->RetryAfter > 0s);
  const EnqueueResult Small =
      enqueue(State, work("s", "small", Rank::Batch), Origin);
  CHECK(Small.Accepted);
  REQUIRE(Small.Evicted.size() == 1);
  CHECK(Small.Evicted[0].Id == "f3");
}

TEST_CASE("a repeated id changes nothing") {
  // Guards against a refusal for work that runs.
  SchedulerState State = makeScheduler({.Slots = 1});
  enqueue(State, work("a", "x", Rank::Urgent), Origin);
  scheduleNext(State, Origin);
  const EnqueueResult Again =
      enqueue(State, work("a", "x", Rank::Urgent), Origin);
  CHECK(Again.Duplicate);
  CHECK_FALSE(Again.Refused);
  CHECK(loadReport(State).Running == 1);
}

TEST_CASE("work that cannot meet its deadline is refused early") {
  // Guards against engine time for answers that nobody waits for.
  SchedulerState State =
      makeScheduler({.Slots = 1, .AnswerTokensPerSecond = 100});
  const EnqueueResult Late =
      enqueue(State, work("l", "x", Rank::Urgent, 200, 1s), Origin);
  REQUIRE(Late.Refused);
  CHECK(Late.Refused->Reason == ErrorCode::DeadlineExceeded);
  CHECK(enqueue(State, work("a", "x", Rank::Urgent, 200, 3s), Origin).Accepted);
  CHECK(expireWaiting(State, Origin + 900ms).empty());
  const auto Expired = expireWaiting(State, Origin + 1100ms);
  REQUIRE(Expired.size() == 1);
  CHECK(Expired[0].Id == "a");
  CHECK_FALSE(scheduleNext(State, Origin + 1100ms).Command);
}

TEST_CASE("urgent work pauses the newest batch stream, which resumes first") {
  // Guards against urgent work behind long streams, and against lost streams.
  SchedulerState State = makeScheduler({.Slots = 2, .CanPause = true});
  for (const std::string Id : {"b0", "b1", "b2"})
    enqueue(State, work(Id, "x", Rank::Batch, 1000), Origin);
  scheduleNext(State, Origin);
  scheduleNext(State, Origin);
  enqueue(State, work("u", "y", Rank::Urgent, 10), Origin);
  const auto Urgent = scheduleNext(State, Origin).Command;
  REQUIRE(Urgent);
  CHECK(Urgent->Id == "u");
  CHECK(Urgent->PauseFirst == "b1");
  finish(State, "u", 10, Origin + 1s);
  const auto Resumed = scheduleNext(State, Origin + 1s).Command;
  REQUIRE(Resumed);
  CHECK(Resumed->Id == "b1");
  CHECK(Resumed->Resume);
}

TEST_CASE("a reserved slot is kept for urgent work") {
  // Guards against engines that can't pause and are full of batch work.
  SchedulerState State = makeScheduler({.Slots = 2, .UrgentReserve = 1});
  enqueue(State, work("b0", "x", Rank::Batch), Origin);
  enqueue(State, work("b1", "x", Rank::Batch), Origin);
  CHECK(scheduleNext(State, Origin).Command->Id == "b0");
  CHECK_FALSE(scheduleNext(State, Origin).Command);
  enqueue(State, work("u", "x", Rank::Urgent), Origin);
  CHECK(scheduleNext(State, Origin).Command->Id == "u");
}

TEST_CASE("an urgent flood beyond the reserve leaves the floors their slots") {
  // Guards against a reserve that an urgent flood uses to keep all slots.
  SchedulerState State = makeScheduler({.Slots = 3, .UrgentReserve = 1});
  for (int I = 0; I < 9; ++I)
    enqueue(State, work("u" + std::to_string(I), "x", Rank::Urgent), Origin);
  for (int I = 0; I < 3; ++I)
    scheduleNext(State, Origin);
  enqueue(State, work("s", "y", Rank::Standard), Origin);
  finish(State, "u0", 100, Origin);
  CHECK(scheduleNext(State, Origin).Command->Id == "s");
}

TEST_CASE("leaving refuses waiting work and keeps running work") {
  // Guards against new work on a leaving endpoint and against cut streams.
  SchedulerState State = makeScheduler({.Slots = 1});
  enqueue(State, work("a", "x", Rank::Urgent), Origin);
  scheduleNext(State, Origin);
  enqueue(State, work("b", "x", Rank::Urgent), Origin);
  const auto Refused = startDraining(State);
  REQUIRE(Refused.size() == 1);
  CHECK(Refused[0].Id == "b");
  CHECK(Refused[0].Reason == ErrorCode::EndpointLeaving);
  CHECK(enqueue(State, work("c", "x", Rank::Urgent), Origin).Refused->Reason ==
        ErrorCode::EndpointLeaving);
  CHECK_FALSE(isIdle(State));
  CHECK(loadReport(State).Draining);
  CHECK(finish(State, "a", 100, Origin));
  CHECK(isIdle(State));
}

TEST_CASE("a caller's record survives a flood of new names") {
  // Guards against callers that lose their debt by new names: the table forgets
  // idle callers with the least service first.
  SchedulerState State = makeScheduler({.Slots = 1, .MaxCallers = 4});
  enqueue(State, work("a", "large", Rank::Urgent, 1000), Origin);
  scheduleNext(State, Origin);
  finish(State, "a", 1000, Origin);
  for (int I = 0; I < 100; ++I) {
    const std::string Id = "n" + std::to_string(I);
    enqueue(State, work(Id, Id, Rank::Urgent, 1), Origin);
    cancel(State, Id);
  }
  CHECK(State.Ranks[0].Flows.size() == 4);
  CHECK(State.Ranks[0].Flows.contains("large"));
}

TEST_CASE("the load report counts waiting and running cost by rank") {
  // Guards against entries that don't see work that already runs.
  SchedulerState State = makeScheduler({.Slots = 1});
  enqueue(State, work("a", "x", Rank::Standard, 100), Origin);
  enqueue(State, work("b", "x", Rank::Standard, 50), Origin);
  scheduleNext(State, Origin);
  CHECK(loadReport(State).QueuedTokens[rankIndex(Rank::Standard)] == 150);
  finish(State, "a", 100, Origin + 2s);
  CHECK(loadReport(State).QueuedTokens[rankIndex(Rank::Standard)] == 50);
  CHECK(loadReport(State).TokensPerSecond == 50);
}

TEST_CASE("a pause of the process does not lower the measured rate") {
  // Guards against an endpoint that gets no work after its agent was frozen:
  // it reported 1 token per second and was never measured again.
  SchedulerState State = makeScheduler({.Slots = 1});
  enqueue(State, work("a", "x", Rank::Urgent), Origin);
  REQUIRE(scheduleNext(State, Origin).Command);
  excludePause(State, 20s);
  finish(State, "a", 100, Origin + 21s);
  CHECK(loadReport(State).TokensPerSecond == 100);
}

TEST_CASE("an endpoint without work forgets a rate that was measured while it "
          "was slow") {
  // Guards against a slow measurement that keeps work away for good.
  SchedulerState State = makeScheduler({.Slots = 1});
  enqueue(State, work("a", "x", Rank::Urgent), Origin);
  REQUIRE(scheduleNext(State, Origin).Command);
  finish(State, "a", 100, Origin + 50s);
  expireWaiting(State, Origin + 51s);
  CHECK(loadReport(State).TokensPerSecond == 2);
  expireWaiting(State, Origin + 56s);
  CHECK(loadReport(State).TokensPerSecond == 0);
}
