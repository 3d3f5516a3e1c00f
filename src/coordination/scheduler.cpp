#include "marigoldyard/coordination/scheduler.hpp"

#include "marigoldyard/state/fault_switch.hpp"
#include "marigoldyard/state/invariant.hpp"

#include <algorithm>
#include <cmath>

namespace marigoldyard {

namespace {

using detail::CallerFlow;
using detail::RankQueue;
using detail::WorkRecord;

/// Weight of the newest sample in the smoothed rate of a stream.
constexpr double RateSmoothing = 0.1;
/// Limit of the credit of a floor, in seconds of the endpoint's token rate, so
/// that a rank cannot save up service for a long burst or be in debt for long.
constexpr double MaxCreditSeconds = 2.0;
/// Credit limit while the rate is unknown, in tokens.
constexpr double DefaultMaxCredit = 4000.0;
constexpr Duration MinRetryAfter = std::chrono::milliseconds(100);
constexpr Duration MaxRetryAfter = std::chrono::seconds(10);

Duration fromSeconds(double Seconds) {
  constexpr double MaxSeconds = 3600.0;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::clamp(Seconds, 0.0, MaxSeconds)));
}

double toSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

RankQueue &queueOf(SchedulerState &State, Rank Priority) {
  return State.Ranks[rankIndex(Priority)];
}

/// Tokens per second of the whole endpoint; 0 when unknown.
double endpointRate(const SchedulerState &State) {
  return State.StreamRate * State.Settings.Slots;
}

Duration serviceTime(const SchedulerState &State, std::uint64_t Tokens) {
  if (State.StreamRate <= 0)
    return Duration::zero();
  return fromSeconds(static_cast<double>(Tokens) / State.StreamRate);
}

std::uint32_t runningCount(const SchedulerState &State) {
  std::uint32_t Sum = 0;
  for (const RankQueue &Queue : State.Ranks)
    Sum += Queue.Running;
  return Sum;
}

/// Work that waits for a slot: new, or paused before its end.
bool backlogged(const SchedulerState &State, Rank Priority) {
  return State.Ranks[rankIndex(Priority)].Waiting > 0 ||
         (Priority == Rank::Batch && !State.Paused.empty());
}

/// Adjusts the credits of the floors for service of one rank. Service without
/// competition is free, so that a rank isn't punished for using idle capacity.
void chargeFloors(SchedulerState &State, Rank Served, double Tokens) {
  const double Rate = endpointRate(State);
  const double Limit = Rate > 0 ? Rate * MaxCreditSeconds : DefaultMaxCredit;
  bool Contended = false;
  for (Rank Other : AllRanks) {
    if (Other == Served || !backlogged(State, Other))
      continue;
    Contended = true;
    RankQueue &Queue = queueOf(State, Other);
    Queue.Credit = std::clamp(
        Queue.Credit + Tokens * State.Settings.Floors[rankIndex(Other)], -Limit,
        Limit);
  }
  if (!Contended)
    return;
  RankQueue &Queue = queueOf(State, Served);
  const double Own = Tokens * (State.Settings.Floors[rankIndex(Served)] - 1.0);
  Queue.Credit = std::clamp(Queue.Credit + Own, -Limit, Limit);
}

/// Charges a difference of tokens, which may be negative, to the caller and the
/// rank of a record.
void charge(SchedulerState &State, WorkRecord &Record, double Tokens) {
  RankQueue &Queue = queueOf(State, Record.Work.Priority);
  auto Flow = Queue.Flows.find(Record.Work.Caller);
  if (Flow != Queue.Flows.end())
    Flow->second.VirtualFinish += Tokens / Flow->second.Weight;
  chargeFloors(State, Record.Work.Priority, Tokens);
}

/// Sets the tokens charged for a record.
void chargeTo(SchedulerState &State, WorkRecord &Record, std::uint64_t Tokens) {
  RankQueue &Queue = queueOf(State, Record.Work.Priority);
  charge(State, Record,
         static_cast<double>(Tokens) -
             static_cast<double>(Record.ChargedTokens));
  if (Record.Phase == WorkPhase::Running)
    Queue.RunningTokens += Tokens - Record.ChargedTokens;
  Record.ChargedTokens = Tokens;
}

/// Takes a waiting id out of its caller's queue; its record stays.
void removeWaiting(SchedulerState &State, const WorkRecord &Record) {
  RankQueue &Queue = queueOf(State, Record.Work.Priority);
  CallerFlow &Flow = Queue.Flows.find(Record.Work.Caller)->second;
  auto At = std::find(Flow.Waiting.begin(), Flow.Waiting.end(), Record.Work.Id);
  Flow.Waiting.erase(At);
  Flow.WaitingTokens -= Record.Work.EstimatedTokens;
  Queue.WaitingTokens -= Record.Work.EstimatedTokens;
  --Queue.Waiting;
  if (Queue.Waiting == 0 && !backlogged(State, Record.Work.Priority))
    Queue.Credit = std::min(Queue.Credit, 0.0);
}

Refusal refuseWaiting(SchedulerState &State, const std::string &Id,
                      ErrorCode Reason, Duration RetryAfter) {
  auto At = State.Records.find(Id);
  checkInvariant(At->second.Phase == WorkPhase::Waiting, Invariant::NotRunProof,
                 Step::Queue, Id);
  removeWaiting(State, At->second);
  Refusal Result{Id, Reason, RetryAfter};
  State.Records.erase(At);
  return Result;
}

Duration clampRetry(Duration Value) {
  return std::clamp(Value, MinRetryAfter, MaxRetryAfter);
}

/// Caller record of a rank; makes room by forgetting an idle caller with the
/// least service, so that a caller that used much keeps its record.
CallerFlow *flowFor(SchedulerState &State, const QueuedWork &Work) {
  RankQueue &Queue = queueOf(State, Work.Priority);
  auto Found = Queue.Flows.find(Work.Caller);
  if (Found != Queue.Flows.end())
    return &Found->second;
  if (Queue.Flows.size() >= State.Settings.MaxCallers) {
    auto Victim = Queue.Flows.end();
    for (auto At = Queue.Flows.begin(); At != Queue.Flows.end(); ++At)
      if (At->second.Waiting.empty() && At->second.Active == 0 &&
          (Victim == Queue.Flows.end() ||
           At->second.VirtualFinish < Victim->second.VirtualFinish))
        Victim = At;
    if (Victim == Queue.Flows.end())
      return nullptr;
    Queue.Flows.erase(Victim);
  }
  CallerFlow &Flow = Queue.Flows[Work.Caller];
  Flow.VirtualFinish = Queue.VirtualTime;
  return &Flow;
}

bool rankFull(const SchedulerState &State, Rank Priority, std::uint64_t Added) {
  const RankQueue &Queue = State.Ranks[rankIndex(Priority)];
  if (Queue.Waiting >= State.Settings.MaxQueuedPerRank)
    return true;
  const double Rate = endpointRate(State);
  const double Limit =
      Rate * toSeconds(State.Settings.MaxQueueTime[rankIndex(Priority)]);
  return Rate > 0 && Queue.Waiting > 0 &&
         static_cast<double>(Queue.WaitingTokens + Added) > Limit;
}

/// Caller with the longest queue for its weight.
CallerFlow &longestFlow(RankQueue &Queue) {
  auto Less = [](const auto &A, const auto &B) {
    return static_cast<double>(A.second.WaitingTokens) / A.second.Weight <
           static_cast<double>(B.second.WaitingTokens) / B.second.Weight;
  };
  return std::max_element(Queue.Flows.begin(), Queue.Flows.end(), Less)->second;
}

/// Evicts newest work of longer queues until the rank has room.
bool makeRoom(SchedulerState &State, const QueuedWork &Work,
              std::vector<Refusal> &Evicted) {
  RankQueue &Queue = queueOf(State, Work.Priority);
  while (rankFull(State, Work.Priority, Work.EstimatedTokens)) {
    CallerFlow &Own = Queue.Flows.find(Work.Caller)->second;
    CallerFlow &Longest = longestFlow(Queue);
    const double Mine =
        static_cast<double>(Own.WaitingTokens + Work.EstimatedTokens) /
        Own.Weight;
    const double Theirs =
        static_cast<double>(Longest.WaitingTokens) / Longest.Weight;
    if (&Longest == &Own || Longest.Waiting.empty() || Theirs <= Mine)
      return false;
    Evicted.push_back(refuseWaiting(
        State, Longest.Waiting.back(), ErrorCode::QueueFull,
        clampRetry(State.Settings.MaxQueueTime[rankIndex(Work.Priority)])));
  }
  return true;
}

bool canMeetDeadline(const SchedulerState &State, const QueuedWork &Work,
                     TimePoint Now, Duration Wait) {
  return Now + Wait + serviceTime(State, Work.EstimatedTokens) <= Work.Deadline;
}

/// Rank that goes next: the most underserved floor, else the most urgent.
std::optional<Rank> chooseRank(const SchedulerState &State) {
  std::optional<Rank> Result;
  double MostOwed = 0;
  for (Rank Priority : AllRanks) {
    if (Priority == Rank::Urgent || !backlogged(State, Priority))
      continue;
    const double Owed = State.Ranks[rankIndex(Priority)].Credit;
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

/// Newest running batch stream, if batch holds more slots than its floor.
std::optional<std::string> pausable(const SchedulerState &State) {
  const RankQueue &Batch = State.Ranks[rankIndex(Rank::Batch)];
  const double Kept =
      State.Settings.Floors[rankIndex(Rank::Batch)] * State.Settings.Slots;
  if (!State.Settings.CanPause || Batch.Running == 0 ||
      Batch.Running - 1 < Kept || State.Paused.size() >= State.Settings.Slots)
    return std::nullopt;
  const WorkRecord *Newest = nullptr;
  for (const auto &[Id, Record] : State.Records)
    if (Record.Phase == WorkPhase::Running &&
        Record.Work.Priority == Rank::Batch &&
        (!Newest || Record.StartOrder > Newest->StartOrder))
      Newest = &Record;
  return Newest->Work.Id;
}

/// Frees the slot of a running batch stream; tokens that it did not produce
/// are charged again when it resumes.
void pauseRunning(SchedulerState &State, const std::string &Id, TimePoint Now) {
  WorkRecord &Record = State.Records.find(Id)->second;
  RankQueue &Queue = queueOf(State, Record.Work.Priority);
  chargeTo(State, Record, Record.ProducedTokens);
  Queue.RunningTokens -= Record.ChargedTokens;
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
  Queue.RunningTokens += Record.ChargedTokens;
  chargeTo(State, Record,
           std::max(Record.Work.EstimatedTokens, Record.ProducedTokens));
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
    Queue.RunningTokens -= Record.ChargedTokens;
  } else {
    State.Paused.erase(std::find(State.Paused.begin(), State.Paused.end(), Id));
  }
  --Queue.Flows.find(Record.Work.Caller)->second.Active;
  State.Records.erase(At);
}

} // namespace

SchedulerState makeScheduler(const SchedulerSettings &Settings) {
  SchedulerState State;
  State.Settings = Settings;
  State.StreamRate = Settings.StreamTokensPerSecond;
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
  Work.EstimatedTokens = std::max<std::uint64_t>(Work.EstimatedTokens, 1);
  const Duration Wait = estimatedWait(State, Work);
  if (!canMeetDeadline(State, Work, Now, Wait))
    return Refuse(ErrorCode::DeadlineExceeded, clampRetry(Wait));
  CallerFlow *Flow = flowFor(State, Work);
  if (!Flow || Flow->Waiting.size() >= State.Settings.MaxQueuedPerCaller)
    return Refuse(ErrorCode::QueueFull, clampRetry(Wait));
  Flow->Weight = Work.Weight;
  if (!makeRoom(State, Work, Result.Evicted))
    return Refuse(ErrorCode::QueueFull, clampRetry(Wait));
  RankQueue &Queue = queueOf(State, Work.Priority);
  Flow->Waiting.push_back(Work.Id);
  Flow->WaitingTokens += Work.EstimatedTokens;
  Queue.WaitingTokens += Work.EstimatedTokens;
  ++Queue.Waiting;
  WorkRecord Record;
  Record.Work = std::move(Work);
  std::string Id = Record.Work.Id;
  State.Records.emplace(std::move(Id), std::move(Record));
  Result.Accepted = true;
  return Result;
}

NextResult next(SchedulerState &State, TimePoint Now) {
  NextResult Result;
  dropLateHeads(State, Now, Result.Refused);
  const auto Chosen = chooseRank(State);
  if (!Chosen)
    return Result;
  Rank Priority = *Chosen;
  const std::uint32_t Running = runningCount(State);
  std::optional<std::string> Pause;
  if (Running >= State.Settings.Slots) {
    if (Priority == Rank::Urgent)
      Pause = pausable(State);
    if (!Pause)
      return Result;
  } else if (Priority != Rank::Urgent &&
             Running + State.Settings.UrgentReserve >= State.Settings.Slots) {
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
             std::uint64_t ActualTokens) {
  auto At = State.Records.find(std::string(Id));
  if (At == State.Records.end() || At->second.Phase == WorkPhase::Waiting)
    return;
  WorkRecord &Record = At->second;
  Record.ProducedTokens = std::max(Record.ProducedTokens, ActualTokens);
  if (Record.ProducedTokens > Record.ChargedTokens)
    chargeTo(State, Record, Record.ProducedTokens);
}

bool finish(SchedulerState &State, std::string_view Id,
            std::uint64_t ActualTokens, TimePoint Now) {
  auto At = State.Records.find(std::string(Id));
  if (At == State.Records.end() || At->second.Phase == WorkPhase::Waiting)
    return false;
  WorkRecord &Record = At->second;
  chargeTo(State, Record, ActualTokens);
  const Duration RunTime = Record.RunTime + (Record.Phase == WorkPhase::Running
                                                 ? Now - Record.StartedAt
                                                 : Duration::zero());
  if (RunTime > Duration::zero() && ActualTokens > 0) {
    const double Sample =
        static_cast<double>(ActualTokens) / toSeconds(RunTime);
    State.StreamRate =
        State.StreamRate <= 0
            ? Sample
            : State.StreamRate + RateSmoothing * (Sample - State.StreamRate);
  }
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
  chargeTo(State, At->second, At->second.ProducedTokens);
  removeStarted(State, std::string(Id));
  return Phase;
}

std::vector<Refusal> expire(SchedulerState &State, TimePoint Now) {
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
                               : static_cast<double>(Own->second.WaitingTokens);
  double Ahead = 0;
  for (const auto &[Name, Flow] : Queue.Flows)
    Ahead += std::min(static_cast<double>(Flow.WaitingTokens),
                      (OwnTokens + static_cast<double>(Work.EstimatedTokens)) *
                          Flow.Weight / Work.Weight);
  double Higher = 0;
  for (std::size_t I = 0; I < Index; ++I)
    Higher += static_cast<double>(State.Ranks[I].WaitingTokens);
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
        Queue.WaitingTokens + Queue.RunningTokens;
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
