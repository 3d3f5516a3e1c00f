#include "marigoldyard/coordination/scheduler.hpp"

#include "marigoldyard/coordination/detail/scheduler_queue.hpp"

#include "marigoldyard/state/fault_switch.hpp"
#include "marigoldyard/state/invariant.hpp"

#include <algorithm>
#include <cmath>

namespace marigoldyard {

using namespace detail;

namespace {

/// Decay factor that each finished request applies to the rate sums; the
/// estimate covers about the last 50 requests.
constexpr double RateDecayFactor = 0.98;
/// Time after which the measured rate of an endpoint without work is reset. A
/// rate measured while the endpoint was slow would otherwise keep work away
/// permanently.
constexpr Duration IdleRateLifetime = std::chrono::seconds(5);

/// Returns the rank with the largest deficit to its guaranteed share, otherwise
/// the most urgent rank with a backlog.
std::optional<Rank> chooseRank(const SchedulerState &State) {
  std::optional<Rank> Result;
  double LargestDeficit = 0;
  for (Rank Priority : AllRanks) {
    if (Priority == Rank::Urgent || !hasBacklog(State, Priority))
      continue;
    const double Deficit = floorDeficit(State, Priority);
    if (Deficit > LargestDeficit) {
      LargestDeficit = Deficit;
      Result = Priority;
    }
  }
  if (Result)
    return Result;
  for (Rank Priority : AllRanks)
    if (hasBacklog(State, Priority))
      return Priority;
  return std::nullopt;
}

/// Returns the flow with the lowest virtual finish time among those with
/// waiting work. At least one flow must have some.
CallerFlow &leastServedFlow(RankQueue &Queue) {
  CallerFlow *Best = nullptr;
  for (auto &[Name, Flow] : Queue.Flows)
    if (!Flow.Waiting.empty() &&
        (!Best || Flow.VirtualFinish < Best->VirtualFinish))
      Best = &Flow;
  return *Best;
}

/// Returns the most recently started batch stream, if batch keeps its
/// guaranteed share without the tokens that the stream has yet to produce.
/// Otherwise batch would be below its share and the stream would be resumed
/// immediately.
std::optional<std::string> findPauseCandidate(const SchedulerState &State) {
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
  const double Remaining = static_cast<double>(Newest->ChargedCost) -
                           static_cast<double>(currentCost(*Newest));
  if (floorDeficit(State, Rank::Batch) + Remaining > 0)
    return std::nullopt;
  return Newest->Work.Id;
}

/// Pauses a running batch stream and frees its slot. Only the tokens produced
/// so far stay charged; the rest is charged again on resume.
void pauseStream(SchedulerState &State, const std::string &Id, TimePoint Now) {
  WorkRecord &Record = State.Records.find(Id)->second;
  RankQueue &Queue = queueForRank(State, Record.Work.Priority);
  setChargedCost(State, Record, currentCost(Record));
  Queue.RunningCost -= Record.ChargedCost;
  Record.RunTime += Now - Record.StartedAt;
  Record.Phase = WorkPhase::Paused;
  --Queue.Running;
  State.Paused.push_back(Id);
}

void markRunning(SchedulerState &State, WorkRecord &Record, TimePoint Now) {
  RankQueue &Queue = queueForRank(State, Record.Work.Priority);
  Record.Phase = WorkPhase::Running;
  Record.StartedAt = Now;
  Record.StartOrder = ++State.Starts;
  ++Queue.Running;
  Queue.RunningCost += Record.ChargedCost;
  setChargedCost(State, Record, std::max(Record.Cost, currentCost(Record)));
}

StartCommand resumeOldest(SchedulerState &State, TimePoint Now) {
  const std::string Id = State.Paused.front();
  State.Paused.pop_front();
  WorkRecord &Record = State.Records.find(Id)->second;
  markRunning(State, Record, Now);
  return {Id, Record.Work.Priority, true, std::nullopt};
}

StartCommand startWaiting(SchedulerState &State, const std::string &Id,
                          TimePoint Now) {
  checkInvariant(!State.Draining, Invariant::NoWorkWhileLeaving, Step::Queue,
                 Id);
  WorkRecord &Record = State.Records.find(Id)->second;
  checkInvariant(Record.Phase == WorkPhase::Waiting, Invariant::AtMostOnce,
                 Step::Queue, Id);
  removeWaiting(State, Record);
  RankQueue &Queue = queueForRank(State, Record.Work.Priority);
  CallerFlow &Flow = Queue.Flows.find(Record.Work.Caller)->second;
  Flow.VirtualFinish = std::max(Flow.VirtualFinish, Queue.VirtualTime);
  Queue.VirtualTime = Flow.VirtualFinish;
  ++Flow.Active;
  markRunning(State, Record, Now);
  return {Id, Record.Work.Priority, false, std::nullopt};
}

/// Drops work at the head of each caller's queue while its deadline cannot be
/// met, so that the work selected afterwards can finish in time.
void dropExpiredHeads(SchedulerState &State, TimePoint Now,
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

/// Removes running or paused work from all tables.
void removeStarted(SchedulerState &State, const std::string &Id) {
  auto It = State.Records.find(Id);
  WorkRecord &Record = It->second;
  RankQueue &Queue = queueForRank(State, Record.Work.Priority);
  if (Record.Phase == WorkPhase::Running) {
    --Queue.Running;
    Queue.RunningCost -= Record.ChargedCost;
  } else {
    State.Paused.erase(std::find(State.Paused.begin(), State.Paused.end(), Id));
  }
  --Queue.Flows.find(Record.Work.Caller)->second.Active;
  State.Records.erase(It);
}

detail::RateSums initialRates(const SchedulerSettings &Settings) {
  const double Rate = Settings.AnswerTokensPerSecond;
  return Rate > 0 ? detail::RateSums{Rate, Rate, 1.0} : detail::RateSums{};
}

} // namespace

std::array<double, RankCount>
combinedFloors(std::span<const Product *const> Products) {
  std::array<double, RankCount> Floors{};
  for (const Product *ServedProduct : Products)
    for (std::size_t I = 0; I < RankCount; ++I)
      Floors[I] = std::max(Floors[I], ServedProduct->Floors[I]);
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
  if (State.Draining && !isFaultEnabled(Invariant::NoWorkWhileLeaving))
    return Refuse(ErrorCode::EndpointLeaving, Duration::zero());
  const std::uint64_t Cost = tokenCost(Work.PromptTokens, Work.AnswerTokens);
  const Duration Wait = estimatedWait(State, Work);
  if (!canMeetDeadline(State, Work, Now, Wait))
    return Refuse(ErrorCode::DeadlineExceeded, clampRetryAfter(Wait));
  CallerFlow *Flow = findOrAddFlow(State, Work);
  if (!Flow || Flow->Waiting.size() >= State.Settings.MaxQueuedPerCaller)
    return Refuse(ErrorCode::QueueFull, clampRetryAfter(Wait));
  Flow->Weight = Work.Weight;
  if (!evictForNewWork(State, Work, Cost, Result.Evicted))
    return Refuse(ErrorCode::QueueFull, clampRetryAfter(Wait));
  RankQueue &Queue = queueForRank(State, Work.Priority);
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

ScheduleResult scheduleNext(SchedulerState &State, TimePoint Now) {
  ScheduleResult Result;
  decayService(State, Now);
  dropExpiredHeads(State, Now, Result.Refused);
  const auto Chosen = chooseRank(State);
  if (!Chosen)
    return Result;
  Rank Priority = *Chosen;
  const std::uint32_t Running = runningCount(State);
  std::optional<std::string> Pause;
  if (Running >= State.Settings.Slots) {
    // A rank below its guaranteed share waits for the next slot to become free.
    // It does not block urgent work from taking the slot of a paused stream.
    if (hasBacklog(State, Rank::Urgent))
      Pause = findPauseCandidate(State);
    if (!Pause)
      return Result;
    Priority = Rank::Urgent;
  } else if (Priority != Rank::Urgent &&
             Running - queueForRank(State, Rank::Urgent).Running +
                     State.Settings.UrgentReserve >=
                 State.Settings.Slots) {
    // The check counts only running work of the lower ranks: urgent work that
    // occupies more than the reserve must not cost them their guaranteed share.
    if (!hasBacklog(State, Rank::Urgent))
      return Result;
    Priority = Rank::Urgent;
  }
  if (Pause)
    pauseStream(State, *Pause, Now);
  if (Priority == Rank::Batch && !State.Paused.empty()) {
    Result.Command = resumeOldest(State, Now);
    return Result;
  }
  CallerFlow &Flow = leastServedFlow(queueForRank(State, Priority));
  Result.Command = startWaiting(State, std::string(Flow.Waiting.front()), Now);
  Result.Command->PauseFirst = Pause;
  return Result;
}

void updateProgress(SchedulerState &State, std::string_view Id,
                    std::uint64_t AnswerTokens) {
  auto It = State.Records.find(std::string(Id));
  if (It == State.Records.end() || It->second.Phase == WorkPhase::Waiting)
    return;
  WorkRecord &Record = It->second;
  Record.AnswerTokens = std::max(Record.AnswerTokens, AnswerTokens);
  if (currentCost(Record) > Record.ChargedCost)
    setChargedCost(State, Record, currentCost(Record));
}

bool finish(SchedulerState &State, std::string_view Id,
            std::uint64_t AnswerTokens, TimePoint Now) {
  auto It = State.Records.find(std::string(Id));
  if (It == State.Records.end() || It->second.Phase == WorkPhase::Waiting)
    return false;
  WorkRecord &Record = It->second;
  decayService(State, Now);
  Record.AnswerTokens = AnswerTokens;
  setChargedCost(State, Record, currentCost(Record));
  Duration RunTime = Record.RunTime;
  if (Record.Phase == WorkPhase::Running)
    RunTime += Now - Record.StartedAt;
  detail::RateSums &Rates = State.Rates;
  Rates.Cost =
      Rates.Cost * RateDecayFactor + static_cast<double>(Record.ChargedCost);
  Rates.ProducedTokens = Rates.ProducedTokens * RateDecayFactor +
                         static_cast<double>(AnswerTokens);
  Rates.RunSeconds = Rates.RunSeconds * RateDecayFactor + toSeconds(RunTime);
  Rates.MeasuredAt = Now;
  removeStarted(State, std::string(Id));
  return true;
}

std::optional<WorkPhase> cancel(SchedulerState &State, std::string_view Id) {
  auto It = State.Records.find(std::string(Id));
  if (It == State.Records.end())
    return std::nullopt;
  const WorkPhase Phase = It->second.Phase;
  if (Phase == WorkPhase::Waiting) {
    removeWaiting(State, It->second);
    State.Records.erase(It);
    return Phase;
  }
  setChargedCost(State, It->second, currentCost(It->second));
  removeStarted(State, std::string(Id));
  return Phase;
}

void excludePause(SchedulerState &State, Duration Pause) {
  for (auto &[Id, Record] : State.Records)
    if (Record.Phase == WorkPhase::Running)
      Record.StartedAt += Pause;
}

std::vector<Refusal> expireWaiting(SchedulerState &State, TimePoint Now) {
  if (State.Records.empty() && Now - State.Rates.MeasuredAt > IdleRateLifetime)
    State.Rates = initialRates(State.Settings);
  std::vector<std::string> Expired;
  for (const auto &[Id, Record] : State.Records)
    if (Record.Phase == WorkPhase::Waiting &&
        !canMeetDeadline(State, Record.Work, Now, Duration::zero()))
      Expired.push_back(Id);
  std::vector<Refusal> Refused;
  Refused.reserve(Expired.size());
  for (const std::string &Id : Expired)
    Refused.push_back(refuseWaiting(State, Id, ErrorCode::DeadlineExceeded,
                                    Duration::zero()));
  return Refused;
}

std::vector<Refusal> startDraining(SchedulerState &State) {
  State.Draining = true;
  std::vector<std::string> Waiting;
  for (const auto &[Id, Record] : State.Records)
    if (Record.Phase == WorkPhase::Waiting)
      Waiting.push_back(Id);
  std::vector<Refusal> Refused;
  Refused.reserve(Waiting.size());
  if (isFaultEnabled(Invariant::NoWorkWhileLeaving))
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
  const auto OwnFlow = Queue.Flows.find(Work.Caller);
  const double OwnTokens =
      OwnFlow == Queue.Flows.end()
          ? 0.0
          : static_cast<double>(OwnFlow->second.WaitingCost);
  double SameRankTokens = 0;
  for (const auto &[Name, Flow] : Queue.Flows)
    SameRankTokens += std::min(
        static_cast<double>(Flow.WaitingCost),
        (OwnTokens +
         static_cast<double>(tokenCost(Work.PromptTokens, Work.AnswerTokens))) *
            Flow.Weight / Work.Weight);
  double HigherRankTokens = 0;
  for (std::size_t I = 0; I < Index; ++I)
    HigherRankTokens += static_cast<double>(State.Ranks[I].WaitingCost);
  const double Floor = State.Settings.Floors[Index];
  double Tokens = SameRankTokens + HigherRankTokens;
  if (Floor > 0)
    Tokens = std::min(Tokens, SameRankTokens / Floor);
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
  Report.Ready = !State.Draining;
  Report.Draining = State.Draining;
  return Report;
}

bool isIdle(const SchedulerState &State) {
  return runningCount(State) == 0 && State.Paused.empty();
}

} // namespace marigoldyard
