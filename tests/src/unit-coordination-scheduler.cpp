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
  CHECK(next(State, Origin).Begin->Id == "u");
  CHECK_FALSE(next(State, Origin).Begin);
  CHECK(finish(State, "u", 100, Origin + 1s));
  CHECK(next(State, Origin + 1s).Begin->Id == "b");
}
