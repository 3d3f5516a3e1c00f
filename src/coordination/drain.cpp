#include "marigoldyard/coordination/drain.hpp"

#include "marigoldyard/state/fault_switch.hpp"
#include "marigoldyard/state/invariant.hpp"

#include <algorithm>

namespace marigoldyard {

void beginDrain(DrainState &State, Duration Linger, Duration Limit,
                TimePoint Now) {
  if (State.Stage != DrainStage::Serving)
    return;
  State.Deadline = Now + std::max(Limit, Duration::zero());
  State.LingerUntil =
      std::min(Now + std::max(Linger, Duration::zero()), State.Deadline);
  State.Stage = DrainStage::Lingering;
  updateDrain(State, Now);
}

void restartDeadline(DrainState &State, Duration Limit, TimePoint Now) {
  if (State.Stage == DrainStage::Serving || State.Stage == DrainStage::Done)
    return;
  State.Deadline = Now + std::max(Limit, Duration::zero());
  State.LingerUntil = std::min(State.LingerUntil, State.Deadline);
}

std::optional<Error> admitWork(DrainState &State, TimePoint Now) {
  updateDrain(State, Now);
  bool RefusesWork =
      State.Stage == DrainStage::Finishing || State.Stage == DrainStage::Done;
  if (RefusesWork && !isFaultEnabled(Invariant::NoWorkWhileLeaving)) {
    ++State.Refused;
    return Error{ErrorCode::EndpointLeaving, Step::Drain, State.Process,
                 "the process is leaving"};
  }
  checkInvariant(State.Stage == DrainStage::Serving || Now < State.LingerUntil,
                 Invariant::NoWorkWhileLeaving, Step::Drain, State.Process);
  ++State.Running;
  return std::nullopt;
}

void recordWorkFinished(DrainState &State) {
  if (State.Running > 0)
    --State.Running;
}

DrainStage updateDrain(DrainState &State, TimePoint Now) {
  if (State.Stage == DrainStage::Lingering && Now >= State.LingerUntil)
    State.Stage = DrainStage::Finishing;
  if (State.Stage != DrainStage::Finishing)
    return State.Stage;
  bool NoRunningWork =
      State.Running == 0 || isFaultEnabled(Invariant::NoCutOnShutdown);
  if (!NoRunningWork && Now < State.Deadline)
    return State.Stage;
  State.Stage = DrainStage::Done;
  State.AbortedRequests = State.Running;
  checkInvariant(State.AbortedRequests == 0 || Now >= State.Deadline,
                 Invariant::NoCutOnShutdown, Step::Drain, State.Process);
  return State.Stage;
}

std::optional<TimePoint> nextDrainUpdate(const DrainState &State) {
  if (State.Stage == DrainStage::Lingering)
    return State.LingerUntil;
  if (State.Stage == DrainStage::Finishing)
    return State.Deadline;
  return std::nullopt;
}

} // namespace marigoldyard
