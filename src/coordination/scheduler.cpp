#include "marigoldyard/coordination/scheduler.hpp"

#include "marigoldyard/coordination/detail/scheduler_queue.hpp"

#include "marigoldyard/state/fault_switch.hpp"
#include "marigoldyard/state/invariant.hpp"

#include <algorithm>
#include <cmath>

namespace marigoldyard {

using namespace detail;

namespace {

/// Share of the sums of a rate that remains after each finished request; about
/// the last 50 requests count.
constexpr double RateMemory = 0.98;
/// An endpoint without work forgets its rate after this time. A rate measured
/// while it was slow would otherwise keep work away for good.
constexpr Duration RateLifetime = std::chrono::seconds(5);

/// Rank that goes next: the most underserved floor, else the most urgent.
std::optional<Rank> chooseRank(const SchedulerState &State) {
  std::optional<Rank> Result;
  double MostOwed = 0;
  for (Rank Priority : AllRanks) {
    if (Priority == Rank::Urgent || !backlogged(State, Priority))
      continue;
    const double Owed = floorDeficit(State, Priority);
    if (Owed > MostOwed) {
      MostOwed = Owed;
      Result = Priority;
    }
  }
  if (Result)
    return Result;
  for (Rank Priority : AllRanks)
    if (backlogged(State, Priority))
      return Priority;
  return std::nullopt;
}

/// Caller with the least virtual start among those that wait.
CallerFlow &chooseFlow(RankQueue &Queue) {
  CallerFlow *Best = nullptr;
  for (auto &[Name, Flow] : Queue.Flows)
    if (!Flow.Waiting.empty() &&
        (!Best || Flow.VirtualFinish < Best->VirtualFinish))
      Best = &Flow;
  return *Best;
}

/// Newest running batch stream, if batch keeps its floor without the tokens
/// that the stream has yet to produce. Otherwise the floor would resume it at
/// once.
std::optional<std::string> pausable(const SchedulerState &State) {
  const RankQueue &Batch = State.Ranks[rankIndex(Rank::Batch)];
  if (!State.Settings.CanPause || Batch.Running == 0 ||
      State.Paused.size() >= State.Settings.MaxPaused)
    return std::nullopt;
  const WorkRecord *Newest = nullptr;
  for (const auto &[Id, Record] : State.Records)
    if (Record.Phase == WorkPhase::Running &&
        Record.Work.Priority == Rank::Batch &&
        (!Newest || Record.StartOrder > Newest->StartOrder))
      Newest = &Record;
  const double Remaining = static_cast<double>(Newest->Charged) -
                           static_cast<double>(costSoFar(*Newest));
  if (floorDeficit(State, Rank::Batch) + Remaining > 0)
    return std::nullopt;
  return Newest->Work.Id;
}

/// Frees the slot of a running batch stream; tokens that it did not produce
/// are charged again when it resumes.
void pauseRunning(SchedulerState &State, const std::string &Id, TimePoint Now) {
  WorkRecord &Record = State.Records.find(Id)->second;
  RankQueue &Queue = queueOf(State, Record.Work.Priority);
  chargeTo(State, Record, costSoFar(Record));
  Queue.RunningCost -= Record.Charged;
  Record.RunTime += Now - Record.StartedAt;
  Record.Phase = WorkPhase::Paused;
  --Queue.Running;
  State.Paused.push_back(Id);
}

void beginRunning(SchedulerState &State, WorkRecord &Record, TimePoint Now) {
  RankQueue &Queue = queueOf(State, Record.Work.Priority);
  Record.Phase = WorkPhase::Running;
  Record.StartedAt = Now;
  Record.StartOrder = ++State.Starts;
  ++Queue.Running;
  Queue.RunningCost += Record.Charged;
  chargeTo(State, Record, std::max(Record.Cost, costSoFar(Record)));
}

Start resumeOldest(SchedulerState &State, TimePoint Now) {
  const std::string Id = State.Paused.front();
  State.Paused.pop_front();
  WorkRecord &Record = State.Records.find(Id)->second;
  beginRunning(State, Record, Now);
  return {Id, Record.Work.Priority, true, std::nullopt};
}

Start startWaiting(SchedulerState &State, const std::string &Id,
                   TimePoint Now) {
  checkInvariant(!State.Leaving, Invariant::NoWorkWhileLeaving, Step::Queue,
                 Id);
  WorkRecord &Record = State.Records.find(Id)->second;
  checkInvariant(Record.Phase == WorkPhase::Waiting, Invariant::AtMostOnce,
                 Step::Queue, Id);
  removeWaiting(State, Record);
  RankQueue &Queue = queueOf(State, Record.Work.Priority);
  CallerFlow &Flow = Queue.Flows.find(Record.Work.Caller)->second;
  Flow.VirtualFinish = std::max(Flow.VirtualFinish, Queue.VirtualTime);
  Queue.VirtualTime = Flow.VirtualFinish;
  ++Flow.Active;
  beginRunning(State, Record, Now);
  return {Id, Record.Work.Priority, false, std::nullopt};
}

/// Drops heads of callers' queues that are too late, so that the chosen work is
/// worth starting.
void dropLateHeads(SchedulerState &State, TimePoint Now,
                   std::vector<Refusal> &Refused) {
  for (RankQueue &Queue : State.Ranks)
    for (auto &[Name, Flow] : Queue.Flows)
      while (!Flow.Waiting.empty() &&
             !canMeetDeadline(
                 State, State.Records.find(Flow.Waiting.front())->second.Work,
                 Now, Duration::zero()))
        Refused.push_back(
            refuseWaiting(State, std::string(Flow.Waiting.front()),
                          ErrorCode::DeadlineExceeded, Duration::zero()));
}

/// Takes started work out of all tables.
void removeStarted(SchedulerState &State, const std::string &Id) {
  auto At = State.Records.find(Id);
  WorkRecord &Record = At->second;
  RankQueue &Queue = queueOf(State, Record.Work.Priority);
  if (Record.Phase == WorkPhase::Running) {
    --Queue.Running;
    Queue.RunningCost -= Record.Charged;
  } else {
    State.Paused.erase(std::find(State.Paused.begin(), State.Paused.end(), Id));
  }
  --Queue.Flows.find(Record.Work.Caller)->second.Active;
  State.Records.erase(At);
}

detail::RateSums initialRates(const SchedulerSettings &Settings) {
  const double Rate = Settings.AnswerTokensPerSecond;
  return Rate > 0 ? detail::RateSums{Rate, Rate, 1.0} : detail::RateSums{};
}

} // namespace

std::array<double, RankCount>
combinedFloors(std::span<const Product *const> Products) {
  std::array<double, RankCount> Floors{};
  for (const Product *Each : Products)
    for (std::size_t I = 0; I < RankCount; ++I)
      Floors[I] = std::max(Floors[I], Each->Floors[I]);
  double Sum = 0;
  for (const double Floor : Floors)
    Sum += Floor;
  if (Sum > 1.0)
    for (double &Floor : Floors)
      Floor /= Sum;
  return Floors;
}

SchedulerState makeScheduler(const SchedulerSettings &Settings) {
  SchedulerState State;
  State.Settings = Settings;
  State.Rates = initialRates(Settings);
  return State;
}

EnqueueResult enqueue(SchedulerState &State, QueuedWork Work, TimePoint Now) {
  EnqueueResult Result;
  auto Refuse = [&](ErrorCode Reason, Duration RetryAfter) {
    Result.Refused = Refusal{Work.Id, Reason, RetryAfter};
    return Result;
  };
  if (State.Records.contains(Work.Id)) {
    Result.Duplicate = true;
    return Result;
  }
  if (State.Leaving && !faultEnabled(Invariant::NoWorkWhileLeaving))
    return Refuse(ErrorCode::EndpointLeaving, Duration::zero());
  const std::uint64_t Cost = tokenCost(Work.PromptTokens, Work.AnswerTokens);
  const Duration Wait = estimatedWait(State, Work);
  if (!canMeetDeadline(State, Work, Now, Wait))
    return Refuse(ErrorCode::DeadlineExceeded, clampRetry(Wait));
  CallerFlow *Flow = flowFor(State, Work);
  if (!Flow || Flow->Waiting.size() >= State.Settings.MaxQueuedPerCaller)
    return Refuse(ErrorCode::QueueFull, clampRetry(Wait));
  Flow->Weight = Work.Weight;
  if (!makeRoom(State, Work, Cost, Result.Evicted))
    return Refuse(ErrorCode::QueueFull, clampRetry(Wait));
  RankQueue &Queue = queueOf(State, Work.Priority);
  Flow->Waiting.push_back(Work.Id);
  Flow->WaitingCost += Cost;
  Queue.WaitingCost += Cost;
  ++Queue.Waiting;
  WorkRecord Record;
  Record.Cost = Cost;
  Record.Work = std::move(Work);
  std::string Id = Record.Work.Id;
  State.Records.emplace(std::move(Id), std::move(Record));
  Result.Accepted = true;
  return Result;
}

NextResult next(SchedulerState &State, TimePoint Now) {
  NextResult Result;
  decayService(State, Now);
  dropLateHeads(State, Now, Result.Refused);
  const auto Chosen = chooseRank(State);
  if (!Chosen)
    return Result;
  Rank Priority = *Chosen;
  const std::uint32_t Running = runningCount(State);
  std::optional<std::string> Pause;
  if (Running >= State.Settings.Slots) {
    // A rank below its floor takes the next slot that ends; it doesn't keep
    // urgent work from the slot of a paused stream.
    if (backlogged(State, Rank::Urgent))
      Pause = pausable(State);
    if (!Pause)
      return Result;
    Priority = Rank::Urgent;
  } else if (Priority != Rank::Urgent &&
             Running - queueOf(State, Rank::Urgent).Running +
                     State.Settings.UrgentReserve >=
                 State.Settings.Slots) {
    // Only work of lower ranks counts, so that an urgent flood that holds more
    // than the reserve doesn't keep them from their floors.
    if (!backlogged(State, Rank::Urgent))
      return Result;
    Priority = Rank::Urgent;
  }
  if (Pause)
    pauseRunning(State, *Pause, Now);
  if (Priority == Rank::Batch && !State.Paused.empty()) {
    Result.Begin = resumeOldest(State, Now);
    return Result;
  }
  CallerFlow &Flow = chooseFlow(queueOf(State, Priority));
  Result.Begin = startWaiting(State, std::string(Flow.Waiting.front()), Now);
  Result.Begin->PauseFirst = Pause;
  return Result;
}

void correct(SchedulerState &State, std::string_view Id,
             std::uint64_t AnswerTokens) {
  auto At = State.Records.find(std::string(Id));
  if (At == State.Records.end() || At->second.Phase == WorkPhase::Waiting)
    return;
  WorkRecord &Record = At->second;
  Record.AnswerTokens = std::max(Record.AnswerTokens, AnswerTokens);
  if (costSoFar(Record) > Record.Charged)
    chargeTo(State, Record, costSoFar(Record));
}

bool finish(SchedulerState &State, std::string_view Id,
            std::uint64_t AnswerTokens, TimePoint Now) {
  auto At = State.Records.find(std::string(Id));
  if (At == State.Records.end() || At->second.Phase == WorkPhase::Waiting)
    return false;
  WorkRecord &Record = At->second;
  decayService(State, Now);
  Record.AnswerTokens = AnswerTokens;
  chargeTo(State, Record, costSoFar(Record));
  Duration RunTime = Record.RunTime;
  if (Record.Phase == WorkPhase::Running)
    RunTime += Now - Record.StartedAt;
  detail::RateSums &Rates = State.Rates;
  Rates.Cost = Rates.Cost * RateMemory + static_cast<double>(Record.Charged);
  Rates.Answer = Rates.Answer * RateMemory + static_cast<double>(AnswerTokens);
  Rates.Time = Rates.Time * RateMemory + toSeconds(RunTime);
  Rates.MeasuredAt = Now;
  removeStarted(State, std::string(Id));
  return true;
}

std::optional<WorkPhase> cancel(SchedulerState &State, std::string_view Id) {
  auto At = State.Records.find(std::string(Id));
  if (At == State.Records.end())
    return std::nullopt;
  const WorkPhase Phase = At->second.Phase;
  if (Phase == WorkPhase::Waiting) {
    removeWaiting(State, At->second);
    State.Records.erase(At);
    return Phase;
  }
  chargeTo(State, At->second, costSoFar(At->second));
  removeStarted(State, std::string(Id));
  return Phase;
}

void excludePause(SchedulerState &State, Duration Pause) {
  for (auto &[Id, Record] : State.Records)
    if (Record.Phase == WorkPhase::Running)
      Record.StartedAt += Pause;
}

std::vector<Refusal> expire(SchedulerState &State, TimePoint Now) {
  if (State.Records.empty() && Now - State.Rates.MeasuredAt > RateLifetime)
    State.Rates = initialRates(State.Settings);
  std::vector<std::string> Late;
  for (const auto &[Id, Record] : State.Records)
    if (Record.Phase == WorkPhase::Waiting &&
        !canMeetDeadline(State, Record.Work, Now, Duration::zero()))
      Late.push_back(Id);
  std::vector<Refusal> Refused;
  Refused.reserve(Late.size());
  for (const std::string &Id : Late)
    Refused.push_back(refuseWaiting(State, Id, ErrorCode::DeadlineExceeded,
                                    Duration::zero()));
  return Refused;
}

std::vector<Refusal> leave(SchedulerState &State) {
  State.Leaving = true;
  std::vector<std::string> Waiting;
  for (const auto &[Id, Record] : State.Records)
    if (Record.Phase == WorkPhase::Waiting)
      Waiting.push_back(Id);
  std::vector<Refusal> Refused;
  Refused.reserve(Waiting.size());
  if (faultEnabled(Invariant::NoWorkWhileLeaving))
    return Refused;
  for (const std::string &Id : Waiting)
    Refused.push_back(
        refuseWaiting(State, Id, ErrorCode::EndpointLeaving, Duration::zero()));
  return Refused;
}

void changeSettings(SchedulerState &State, const SchedulerSettings &Settings) {
  State.Settings = Settings;
}

Duration estimatedWait(const SchedulerState &State, const QueuedWork &Work) {
  const double Rate = endpointRate(State);
  if (Rate <= 0 || runningCount(State) < State.Settings.Slots)
    return Duration::zero();
  const std::size_t Index = rankIndex(Work.Priority);
  const RankQueue &Queue = State.Ranks[Index];
  const auto Own = Queue.Flows.find(Work.Caller);
  const double OwnTokens = Own == Queue.Flows.end()
                               ? 0.0
                               : static_cast<double>(Own->second.WaitingCost);
  double Ahead = 0;
  for (const auto &[Name, Flow] : Queue.Flows)
    Ahead += std::min(static_cast<double>(Flow.WaitingCost),
                      (OwnTokens + static_cast<double>(tokenCost(
                                       Work.PromptTokens, Work.AnswerTokens))) *
                          Flow.Weight / Work.Weight);
  double Higher = 0;
  for (std::size_t I = 0; I < Index; ++I)
    Higher += static_cast<double>(State.Ranks[I].WaitingCost);
  const double Floor = State.Settings.Floors[Index];
  double Tokens = Ahead + Higher;
  if (Floor > 0)
    Tokens = std::min(Tokens, Ahead / Floor);
  return fromSeconds(Tokens / Rate);
}

LoadReport loadReport(const SchedulerState &State) {
  LoadReport Report;
  for (Rank Priority : AllRanks) {
    const RankQueue &Queue = State.Ranks[rankIndex(Priority)];
    Report.QueuedTokens[rankIndex(Priority)] =
        Queue.WaitingCost + Queue.RunningCost;
  }
  Report.Running = runningCount(State);
  Report.Slots = State.Settings.Slots;
  Report.TokensPerSecond =
      static_cast<std::uint32_t>(std::lround(endpointRate(State)));
  Report.Ready = !State.Leaving;
  Report.Leaving = State.Leaving;
  return Report;
}

bool idle(const SchedulerState &State) {
  return runningCount(State) == 0 && State.Paused.empty();
}

} // namespace marigoldyard
