#include "marigoldyard/coordination/detail/scheduler_queue.hpp"

#include "marigoldyard/state/invariant.hpp"

#include <algorithm>
#include <cmath>

namespace marigoldyard::detail {

namespace {

/// Time constant of the exponential decay of the served cost: long enough for
/// several requests of a rank with a small guaranteed share, short enough to
/// restore the share soon after a burst of other work begins.
constexpr double ServiceDecaySeconds = 10.0;
/// Factor applied to the guaranteed share. A rank is selected only once it is
/// below its share, so without this margin it receives 2 to 3 % less than the
/// share, and a caller that needs all of it falls behind. The design allows a
/// tolerance of 5 %.
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

RankQueue &queueForRank(SchedulerState &State, Rank Priority) {
  return State.Ranks[rankIndex(Priority)];
}

double endpointRate(const SchedulerState &State) {
  if (State.Rates.RunSeconds <= 0)
    return 0;
  return State.Rates.Cost / State.Rates.RunSeconds * State.Settings.Slots;
}

Duration serviceTime(const SchedulerState &State, const QueuedWork &Work) {
  if (State.Rates.ProducedTokens <= 0)
    return Duration::zero();
  return fromSeconds(static_cast<double>(Work.AnswerTokens) *
                     State.Rates.RunSeconds / State.Rates.ProducedTokens);
}

std::uint64_t currentCost(const WorkRecord &Record) {
  return tokenCost(Record.Work.PromptTokens, Record.AnswerTokens);
}

std::uint32_t runningCount(const SchedulerState &State) {
  std::uint32_t Sum = 0;
  for (const RankQueue &Queue : State.Ranks)
    Sum += Queue.Running;
  return Sum;
}

bool hasBacklog(const SchedulerState &State, Rank Priority) {
  return State.Ranks[rankIndex(Priority)].Waiting > 0 ||
         (Priority == Rank::Batch && !State.Paused.empty());
}

namespace {

double totalServedCost(const SchedulerState &State) {
  double Sum = 0;
  for (const RankQueue &Queue : State.Ranks)
    Sum += Queue.ServedCost;
  return Sum;
}

} // namespace

double floorDeficit(const SchedulerState &State, Rank Priority) {
  return FloorMargin * State.Settings.Floors[rankIndex(Priority)] *
             totalServedCost(State) -
         State.Ranks[rankIndex(Priority)].ServedCost;
}

void decayService(SchedulerState &State, TimePoint Now) {
  if (Now <= State.DecayedAt)
    return;
  const double Factor =
      std::exp(-toSeconds(Now - State.DecayedAt) / ServiceDecaySeconds);
  for (RankQueue &Queue : State.Ranks)
    Queue.ServedCost *= Factor;
  State.DecayedAt = Now;
}

void setChargedCost(SchedulerState &State, WorkRecord &Record,
                    std::uint64_t Cost) {
  RankQueue &Queue = queueForRank(State, Record.Work.Priority);
  const double Difference =
      static_cast<double>(Cost) - static_cast<double>(Record.ChargedCost);
  CallerFlow &Flow = Queue.Flows.find(Record.Work.Caller)->second;
  Flow.VirtualFinish += Difference / Flow.Weight;
  Queue.ServedCost = std::max(0.0, Queue.ServedCost + Difference);
  if (Record.Phase == WorkPhase::Running)
    Queue.RunningCost += Cost - Record.ChargedCost;
  Record.ChargedCost = Cost;
}

void removeWaiting(SchedulerState &State, const WorkRecord &Record) {
  RankQueue &Queue = queueForRank(State, Record.Work.Priority);
  CallerFlow &Flow = Queue.Flows.find(Record.Work.Caller)->second;
  auto It = std::find(Flow.Waiting.begin(), Flow.Waiting.end(), Record.Work.Id);
  Flow.Waiting.erase(It);
  Flow.WaitingCost -= Record.Cost;
  Queue.WaitingCost -= Record.Cost;
  --Queue.Waiting;
}

Refusal refuseWaiting(SchedulerState &State, const std::string &Id,
                      ErrorCode Reason, Duration RetryAfter) {
  auto It = State.Records.find(Id);
  checkInvariant(It->second.Phase == WorkPhase::Waiting, Invariant::NotRunProof,
                 Step::Queue, Id);
  removeWaiting(State, It->second);
  Refusal Result{Id, Reason, RetryAfter};
  State.Records.erase(It);
  return Result;
}

Duration clampRetryAfter(Duration Value) {
  return std::clamp(Value, MinRetryAfter, MaxRetryAfter);
}

CallerFlow *findOrAddFlow(SchedulerState &State, const QueuedWork &Work) {
  RankQueue &Queue = queueForRank(State, Work.Priority);
  auto Found = Queue.Flows.find(Work.Caller);
  if (Found != Queue.Flows.end())
    return &Found->second;
  if (Queue.Flows.size() >= State.Settings.MaxCallers) {
    auto Victim = Queue.Flows.end();
    for (auto It = Queue.Flows.begin(); It != Queue.Flows.end(); ++It)
      if (It->second.Waiting.empty() && It->second.Active == 0 &&
          (Victim == Queue.Flows.end() ||
           It->second.VirtualFinish < Victim->second.VirtualFinish))
        Victim = It;
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

/// Virtual time at which the last waiting work of a caller starts once work of
/// the given cost is added to the queue.
double lastVirtualStart(const RankQueue &Queue, const CallerFlow &Flow,
                        std::uint64_t Added) {
  return std::max(Flow.VirtualFinish, Queue.VirtualTime) +
         static_cast<double>(Flow.WaitingCost + Added) / Flow.Weight;
}

/// Returns the flow whose newest waiting work would be served last, among those
/// with more waiting requests than guaranteed; null if there is none.
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

bool evictForNewWork(SchedulerState &State, const QueuedWork &Work,
                     std::uint64_t Cost, std::vector<Refusal> &Evicted) {
  RankQueue &Queue = queueForRank(State, Work.Priority);
  const std::uint32_t Guaranteed =
      State.Settings.GuaranteedPerCaller[rankIndex(Work.Priority)];
  while (rankFull(State, Work.Priority, Cost)) {
    CallerFlow &Own = Queue.Flows.find(Work.Caller)->second;
    CallerFlow *Last = lastServedFlow(Queue, Guaranteed);
    const bool WithinGuarantee = Own.Waiting.size() < Guaranteed;
    if (WithinGuarantee && !Last)
      return Queue.Waiting < State.Settings.MaxQueuedPerRank;
    if (!WithinGuarantee && (!Last || Last == &Own ||
                             lastVirtualStart(Queue, *Last, 0) <=
                                 lastVirtualStart(Queue, Own, Cost)))
      return false;
    Evicted.push_back(refuseWaiting(
        State, std::string(Last->Waiting.back()), ErrorCode::QueueFull,
        clampRetryAfter(
            State.Settings.MaxQueueTime[rankIndex(Work.Priority)])));
  }
  return true;
}

bool canMeetDeadline(const SchedulerState &State, const QueuedWork &Work,
                     TimePoint Now, Duration Wait) {
  return Now + Wait + serviceTime(State, Work) <= Work.Deadline;
}

} // namespace marigoldyard::detail
