#include "marigoldyard/coordination/scheduler.hpp"

#include "marigoldyard/state/fault_switch.hpp"
#include "throw_on_violation.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <set>
#include <string>
#include <vector>

using namespace marigoldyard;
using namespace std::chrono_literals;

namespace {

enum class Fate { Waiting, Started, Paused, Ended, Refused, Cancelled };

/// Follows each id from the answers of the scheduler alone.
struct Model {
  std::map<std::string, Fate> Fates;

  std::size_t count(Fate Wanted) const {
    std::size_t Sum = 0;
    for (const auto &[Id, Is] : Fates)
      Sum += Is == Wanted;
    return Sum;
  }
  void refuse(const std::vector<Refusal> &Refusals) {
    for (const Refusal &Item : Refusals) {
      RC_ASSERT(Fates.at(Item.Id) == Fate::Waiting);
      Fates[Item.Id] = Fate::Refused;
    }
  }
};

struct Run {
  SchedulerState State;
  Model Known;
  TimePoint Now{1000s};
  int NextId = 0;
};

SchedulerSettings drawSettings() {
  SchedulerSettings Settings;
  Settings.Slots = *rc::gen::inRange<std::uint32_t>(1, 6);
  Settings.UrgentReserve = *rc::gen::inRange<std::uint32_t>(0, Settings.Slots);
  Settings.CanPause = *rc::gen::arbitrary<bool>();
  Settings.MaxPaused = 2;
  Settings.MaxQueuedPerRank = *rc::gen::inRange<std::uint32_t>(1, 12);
  Settings.MaxQueuedPerCaller = 4;
  Settings.MaxCallers = *rc::gen::inRange<std::uint32_t>(1, 5);
  return Settings;
}

void addWork(Run &At) {
  QueuedWork Work;
  Work.Id = "w" + std::to_string(*rc::gen::inRange(0, 10) == 0 && At.NextId > 0
                                     ? At.NextId - 1
                                     : At.NextId++);
  Work.Caller = "c" + std::to_string(*rc::gen::inRange(0, 7));
  Work.Priority = AllRanks[*rc::gen::inRange(0, 3)];
  Work.PromptTokens = *rc::gen::inRange<std::uint64_t>(0, 500);
  Work.AnswerTokens = *rc::gen::inRange<std::uint64_t>(1, 500);
  Work.Deadline =
      At.Now + std::chrono::milliseconds(*rc::gen::inRange(1, 60000));
  const std::string Id = Work.Id;
  const bool Known = At.Known.Fates.contains(Id);
  const bool Active = Known && At.Known.Fates[Id] <= Fate::Paused;
  const EnqueueResult Result = enqueue(At.State, std::move(Work), At.Now);
  RC_ASSERT(Result.Duplicate == Active);
  RC_ASSERT(Result.Accepted + Result.Duplicate + Result.Refused.has_value() ==
            1);
  At.Known.refuse(Result.Evicted);
  if (!Result.Duplicate)
    At.Known.Fates[Id] = Result.Accepted ? Fate::Waiting : Fate::Refused;
}

void startWork(Run &At) {
  const ScheduleResult Result = scheduleNext(At.State, At.Now);
  At.Known.refuse(Result.Refused);
  if (!Result.Command) {
    // Guards against idle slots: only a reserve may be kept from waiting work.
    const std::size_t Usable =
        At.State.Settings.Slots - At.State.Settings.UrgentReserve;
    RC_ASSERT(At.Known.count(Fate::Started) >= Usable ||
              At.Known.count(Fate::Waiting) + At.Known.count(Fate::Paused) ==
                  0);
    return;
  }
  if (Result.Command->PauseFirst) {
    RC_ASSERT(At.Known.Fates.at(*Result.Command->PauseFirst) == Fate::Started);
    At.Known.Fates[*Result.Command->PauseFirst] = Fate::Paused;
  }
  // Guards against work that is started twice or after its refusal.
  Fate &Is = At.Known.Fates.at(Result.Command->Id);
  RC_ASSERT(Is == (Result.Command->Resume ? Fate::Paused : Fate::Waiting));
  RC_ASSERT(Result.Command->Resume || !At.State.Draining);
  Is = Fate::Started;
}

void endWork(Run &At) {
  std::vector<std::string> Ids;
  for (const auto &[Id, Is] : At.Known.Fates)
    if (Is == Fate::Started)
      Ids.push_back(Id);
  if (Ids.empty())
    return;
  const std::string Id = *rc::gen::elementOf(Ids);
  const auto Tokens = *rc::gen::inRange<std::uint64_t>(0, 1000);
  updateProgress(At.State, Id, Tokens / 2);
  RC_ASSERT(finish(At.State, Id, Tokens, At.Now));
  At.Known.Fates[Id] = Fate::Ended;
}

void cancelWork(Run &At) {
  const std::string Id =
      "w" + std::to_string(*rc::gen::inRange(0, At.NextId + 1));
  const auto Phase = cancel(At.State, Id);
  const bool Active =
      At.Known.Fates.contains(Id) && At.Known.Fates[Id] <= Fate::Paused;
  RC_ASSERT(Phase.has_value() == Active);
  if (Active)
    At.Known.Fates[Id] = Fate::Cancelled;
}

void checkBounds(const Run &At) {
  const SchedulerSettings &Settings = At.State.Settings;
  std::size_t Running = 0;
  for (const auto &Queue : At.State.Ranks) {
    RC_ASSERT(Queue.Flows.size() <= Settings.MaxCallers);
    RC_ASSERT(Queue.Waiting <= Settings.MaxQueuedPerRank);
    Running += Queue.Running;
  }
  RC_ASSERT(Running <= Settings.Slots);
  RC_ASSERT(At.State.Paused.size() <= Settings.MaxPaused);
  // Guards against lost work: the scheduler and its answers agree.
  RC_ASSERT(At.State.Records.size() == At.Known.count(Fate::Waiting) +
                                           At.Known.count(Fate::Started) +
                                           At.Known.count(Fate::Paused));
  RC_ASSERT(Running == At.Known.count(Fate::Started));
}

void step(Run &At) {
  At.Now += std::chrono::milliseconds(*rc::gen::inRange(0, 500));
  switch (*rc::gen::inRange(0, 40)) {
  case 0:
    At.Known.refuse(startDraining(At.State));
    break;
  case 1:
    At.Known.refuse(expireWaiting(At.State, At.Now));
    break;
  case 2:
    cancelWork(At);
    break;
  default:
    switch (*rc::gen::inRange(0, 3)) {
    case 0:
      addWork(At);
      break;
    case 1:
      startWork(At);
      break;
    default:
      endWork(At);
    }
  }
  checkBounds(At);
}

/// Serves saturated ranks and returns the share of each.
std::array<double, RankCount> saturatedShares(const SchedulerSettings &Settings,
                                              std::uint64_t Seed) {
  Random Generator(Seed);
  std::uniform_int_distribution<std::uint64_t> Length(50, 400);
  SchedulerState State = makeScheduler(Settings);
  std::array<double, RankCount> Served{};
  std::map<std::string, std::pair<Rank, std::uint64_t>> Running;
  TimePoint Now{1000s};
  int Id = 0;
  for (int Round = 0; Round < 4000; ++Round) {
    for (Rank Priority : AllRanks)
      while (State.Ranks[rankIndex(Priority)].Waiting < 3)
        enqueue(State,
                {std::to_string(Id++), "c", 1.0, Priority, 0, Length(Generator),
                 Now + 3600s},
                Now);
    while (const auto Begin = scheduleNext(State, Now).Command) {
      const auto &Record = State.Records.at(Begin->Id);
      Running[Begin->Id] = {Begin->Priority, Record.Work.AnswerTokens};
      if (Begin->PauseFirst)
        Running.erase(*Begin->PauseFirst);
    }
    Now += 100ms;
    auto At = Running.begin();
    std::advance(At, Generator() % Running.size());
    Served[rankIndex(At->second.first)] +=
        static_cast<double>(At->second.second);
    finish(State, At->first, At->second.second, Now);
    Running.erase(At);
  }
  const double Sum = Served[0] + Served[1] + Served[2];
  for (double &Share : Served)
    Share /= Sum;
  return Served;
}

} // namespace

TEST_CASE("scheduler answers agree with its state in any order of calls") {
  // Guards against lost, doubled or wrongly refused work, idle slots and tables
  // that grow.
  const test::ThrowOnViolation Handler;
  CHECK(rc::check([] {
    Run At;
    At.State = makeScheduler(drawSettings());
    const int Steps = *rc::gen::inRange(1, 150);
    for (int I = 0; I < Steps; ++I)
      step(At);
  }));
}

TEST_CASE("leaving check fails when its mechanism is off") {
  // Guards against a check that can't fail: without the refusal of waiting work
  // a leaving endpoint would start it.
  const test::ThrowOnViolation Handler;
  const ScopedFault Fault(Invariant::NoWorkWhileLeaving);
  SchedulerState State = makeScheduler({});
  const TimePoint Now{1000s};
  CHECK(enqueue(State, {"a", "c", 1.0, Rank::Urgent, 0, 10, Now + 10s}, Now)
            .Accepted);
  startDraining(State);
  CHECK_THROWS_WITH(
      scheduleNext(State, Now),
      std::string(invariantName(Invariant::NoWorkWhileLeaving)).c_str());
}

TEST_CASE("saturated ranks keep their floors") {
  // Guards against starvation of lower ranks by an endless urgent queue.
  for (bool CanPause : {false, true})
    for (std::uint64_t Seed : {1, 2, 3}) {
      SchedulerSettings Settings;
      Settings.Slots = 8;
      Settings.CanPause = CanPause;
      const auto Shares = saturatedShares(Settings, Seed);
      CHECK(Shares[1] >= 0.95 * Settings.Floors[1]);
      CHECK(Shares[2] >= 0.95 * Settings.Floors[2]);
    }
}
