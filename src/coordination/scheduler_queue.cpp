#include "marigoldyard/coordination/detail/scheduler_queue.hpp"

#include "marigoldyard/state/invariant.hpp"

#include <algorithm>
#include <cmath>

namespace marigoldyard::detail {

namespace {

/// Service counts for the floors with a weight that falls to 1/e after this
/// time: long enough for several requests of a rank with a small floor, short
/// enough that a floor holds soon after a flood begins.
constexpr double FloorWindowSeconds = 10.0;
/// Part of its floor that a rank is given. A rank is chosen only once it lacks
/// service, so without a margin it gets 2 to 3 in 100 less than its floor, and
/// a caller that needs its whole share falls behind. The design page allows
/// floors a tolerance of 5 in 100.
constexpr double FloorMargin = 1.05;
constexpr Duration MinRetryAfter = std::chrono::milliseconds(100);
constexpr Duration MaxRetryAfter = std::chrono::seconds(10);

} // namespace

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

double endpointRate(const SchedulerState &State) {
  if (State.Rates.Time <= 0)
    return 0;
  return State.Rates.Cost / State.Rates.Time * State.Settings.Slots;
}

Duration serviceTime(const SchedulerState &State, const QueuedWork &Work) {
  if (State.Rates.Answer <= 0)
    return Duration::zero();
  return fromSeconds(static_cast<double>(Work.AnswerTokens) * State.Rates.Time /
                     State.Rates.Answer);
}

std::uint64_t costSoFar(const WorkRecord &Record) {
  return tokenCost(Record.Work.PromptTokens, Record.AnswerTokens);
}

std::uint32_t runningCount(const SchedulerState &State) {
  std::uint32_t Sum = 0;
  for (const RankQueue &Queue : State.Ranks)
    Sum += Queue.Running;
  return Sum;
}

bool backlogged(const SchedulerState &State, Rank Priority) {
  return State.Ranks[rankIndex(Priority)].Waiting > 0 ||
         (Priority == Rank::Batch && !State.Paused.empty());
}

namespace {

double servedByAll(const SchedulerState &State) {
  double Sum = 0;
  for (const RankQueue &Queue : State.Ranks)
    Sum += Queue.Served;
  return Sum;
}

} // namespace

double floorDeficit(const SchedulerState &State, Rank Priority) {
  return FloorMargin * State.Settings.Floors[rankIndex(Priority)] *
             servedByAll(State) -
         State.Ranks[rankIndex(Priority)].Served;
}

void decayService(SchedulerState &State, TimePoint Now) {
  if (Now <= State.DecayedAt)
    return;
  const double Factor =
      std::exp(-toSeconds(Now - State.DecayedAt) / FloorWindowSeconds);
  for (RankQueue &Queue : State.Ranks)
    Queue.Served *= Factor;
  State.DecayedAt = Now;
}

void chargeTo(SchedulerState &State, WorkRecord &Record, std::uint64_t Cost) {
  RankQueue &Queue = queueOf(State, Record.Work.Priority);
  const double Difference =
      static_cast<double>(Cost) - static_cast<double>(Record.Charged);
  CallerFlow &Flow = Queue.Flows.find(Record.Work.Caller)->second;
  Flow.VirtualFinish += Difference / Flow.Weight;
  Queue.Served = std::max(0.0, Queue.Served + Difference);
  if (Record.Phase == WorkPhase::Running)
    Queue.RunningCost += Cost - Record.Charged;
  Record.Charged = Cost;
}

void removeWaiting(SchedulerState &State, const WorkRecord &Record) {
  RankQueue &Queue = queueOf(State, Record.Work.Priority);
  CallerFlow &Flow = Queue.Flows.find(Record.Work.Caller)->second;
  auto At = std::find(Flow.Waiting.begin(), Flow.Waiting.end(), Record.Work.Id);
  Flow.Waiting.erase(At);
  Flow.WaitingCost -= Record.Cost;
  Queue.WaitingCost -= Record.Cost;
  --Queue.Waiting;
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

namespace {

bool rankFull(const SchedulerState &State, Rank Priority, std::uint64_t Added) {
  const RankQueue &Queue = State.Ranks[rankIndex(Priority)];
  if (Queue.Waiting >= State.Settings.MaxQueuedPerRank)
    return true;
  const double Rate = endpointRate(State);
  const double Limit =
      Rate * toSeconds(State.Settings.MaxQueueTime[rankIndex(Priority)]);
  return Rate > 0 && Queue.Waiting > 0 &&
         static_cast<double>(Queue.WaitingCost + Added) > Limit;
}

/// Virtual time at which the last waiting work of a caller would start after
/// work of a given cost was added.
double lastVirtualStart(const RankQueue &Queue, const CallerFlow &Flow,
                        std::uint64_t Added) {
  return std::max(Flow.VirtualFinish, Queue.VirtualTime) +
         static_cast<double>(Flow.WaitingCost + Added) / Flow.Weight;
}

/// Caller whose newest waiting work would be served last, among those with more
/// than a count of waiting requests; nothing if there is none.
CallerFlow *lastServedFlow(RankQueue &Queue, std::uint32_t Guaranteed) {
  CallerFlow *Last = nullptr;
  for (auto &[Name, Flow] : Queue.Flows)
    if (Flow.Waiting.size() > Guaranteed &&
        (!Last ||
         lastVirtualStart(Queue, Flow, 0) > lastVirtualStart(Queue, *Last, 0)))
      Last = &Flow;
  return Last;
}

} // namespace

bool makeRoom(SchedulerState &State, const QueuedWork &Work, std::uint64_t Cost,
              std::vector<Refusal> &Evicted) {
  RankQueue &Queue = queueOf(State, Work.Priority);
  const std::uint32_t Guaranteed =
      State.Settings.GuaranteedPerCaller[rankIndex(Work.Priority)];
  while (rankFull(State, Work.Priority, Cost)) {
    CallerFlow &Own = Queue.Flows.find(Work.Caller)->second;
    CallerFlow *Last = lastServedFlow(Queue, Guaranteed);
    const bool Entitled = Own.Waiting.size() < Guaranteed;
    if (Entitled && !Last)
      return Queue.Waiting < State.Settings.MaxQueuedPerRank;
    if (!Entitled && (!Last || Last == &Own ||
                      lastVirtualStart(Queue, *Last, 0) <=
                          lastVirtualStart(Queue, Own, Cost)))
      return false;
    Evicted.push_back(refuseWaiting(
        State, std::string(Last->Waiting.back()), ErrorCode::QueueFull,
        clampRetry(State.Settings.MaxQueueTime[rankIndex(Work.Priority)])));
  }
  return true;
}

bool canMeetDeadline(const SchedulerState &State, const QueuedWork &Work,
                     TimePoint Now, Duration Wait) {
  return Now + Wait + serviceTime(State, Work) <= Work.Deadline;
}

} // namespace marigoldyard::detail
