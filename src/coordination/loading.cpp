#include "marigoldyard/coordination/loading.hpp"

#include "marigoldyard/state/fault_switch.hpp"
#include "marigoldyard/state/invariant.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace marigoldyard {

namespace {

using detail::ModelProgress;

LoadedModel asLoaded(const WantedModel &Wanted) {
  return {Wanted.Model, Wanted.Version, Wanted.Weights};
}

bool isLoaded(const LoadingState &State, const LoadedModel &Target) {
  return State.Engine && std::find(State.Engine->begin(), State.Engine->end(),
                                   Target) != State.Engine->end();
}

bool isWanted(const LoadingState &State, const LoadedModel &Loaded) {
  return std::any_of(State.Models.begin(), State.Models.end(),
                     [&](const ModelProgress &Progress) {
                       return asLoaded(Progress.Wanted) == Loaded;
                     });
}

void fail(LoadingState &State, ModelProgress &Progress, TimePoint Now) {
  // Limits the shift; 2^16 times the base exceeds any reasonable BackoffMax.
  constexpr std::uint32_t MaxDoublings = 16;
  const Duration Backoff =
      State.Settings.BackoffBase *
      (std::int64_t{1} << std::min(Progress.Failures, MaxDoublings));
  Progress.Phase = LoadPhase::Failed;
  Progress.RetryAt = Now + std::min(Backoff, State.Settings.BackoffMax);
  ++Progress.Failures;
}

/// Marks all models with the target of a refused or timed-out order as failed.
void failModelsOfTarget(LoadingState &State, const LoadedModel &Target,
                        TimePoint Now) {
  for (ModelProgress &Progress : State.Models)
    if (asLoaded(Progress.Wanted) == Target)
      fail(State, Progress, Now);
}

/// Handles timeouts of the read-back and of the outstanding order.
void handleTimeouts(LoadingState &State, TimePoint Now) {
  if (State.ReadBackDeadline && Now >= *State.ReadBackDeadline)
    engineLost(State, Now);
  if (!State.Outstanding || Now < State.Outstanding->Deadline)
    return;
  const Order TimedOutOrder = State.Outstanding->Content;
  State.Outstanding.reset();
  State.LastOrderEndedAt = Now;
  State.ReadBackNeeded = true;
  if (TimedOutOrder.Action == OrderAction::Load)
    failModelsOfTarget(State, TimedOutOrder.Target, Now);
}

/// Whether the desired model is another version of the loaded model.
bool replaces(const WantedModel &Wanted, const LoadedModel &Loaded) {
  return Wanted.Model == Loaded.Model && !(asLoaded(Wanted) == Loaded);
}

std::uint32_t inProgress(const LoadingInput &Input, const Digest &Weights) {
  const auto Found = Input.InProgress.find(Weights);
  return Found == Input.InProgress.end() ? 0 : Found->second;
}

/// Number of requests that still run on versions replaced by this model.
std::uint32_t countRequestsToDrain(const LoadingState &State,
                                   const ModelProgress &Progress,
                                   const LoadingInput &Input) {
  std::uint32_t Count = 0;
  for (const LoadedModel &Loaded : *State.Engine)
    if (replaces(Progress.Wanted, Loaded) && !isWanted(State, Loaded))
      Count += inProgress(Input, Loaded.Weights);
  return Count;
}

bool isComplete(const LoadingState &State, const Digest &Weights) {
  return faultEnabled(Invariant::UnmixedWeights) ||
         State.Complete.contains(Weights);
}

/// Sets the phase of a model from the observations. Ordered and ReadingBack are
/// entered and left elsewhere.
void advancePhase(const LoadingState &State, ModelProgress &Progress,
                  const LoadingInput &Input) {
  if (Progress.Phase == LoadPhase::Ordered ||
      Progress.Phase == LoadPhase::ReadingBack)
    return;
  if (isLoaded(State, asLoaded(Progress.Wanted))) {
    Progress.Phase = LoadPhase::Ready;
    Progress.Failures = 0;
    return;
  }
  if (Progress.Phase == LoadPhase::Failed && Input.Now < Progress.RetryAt)
    return;
  if (!isComplete(State, Progress.Wanted.Weights)) {
    Progress.Phase = LoadPhase::WaitingForChunks;
    return;
  }
  const auto Turn = Input.Turn.find(Progress.Wanted.Weights);
  const bool HasTurn = Turn != Input.Turn.end() && Turn->second;
  if (!State.Engine || (Progress.Phase != LoadPhase::Draining && !HasTurn))
    Progress.Phase = LoadPhase::WaitingForTurn;
  else
    Progress.Phase = LoadPhase::Draining;
}

/// Whether a loaded version must accept no new requests, because its
/// replacement is in progress or no version of the model is desired.
bool mustDrain(const LoadingState &State, const LoadedModel &Loaded) {
  if (State.Number == 0 || isWanted(State, Loaded))
    return false;
  bool Replaced = false;
  for (const ModelProgress &Progress : State.Models) {
    if (!replaces(Progress.Wanted, Loaded))
      continue;
    Replaced = true;
    if (Progress.Phase == LoadPhase::Draining ||
        Progress.Phase == LoadPhase::Ordered ||
        Progress.Phase == LoadPhase::ReadingBack ||
        Progress.Phase == LoadPhase::Ready)
      return true;
  }
  return !Replaced;
}

/// Whether an undesired version may be unloaded: it runs no requests and all
/// versions that replace it are ready.
bool mayUnload(const LoadingState &State, const LoadedModel &Loaded,
               const LoadingInput &Input) {
  return mustDrain(State, Loaded) && inProgress(Input, Loaded.Weights) == 0 &&
         std::none_of(State.Models.begin(), State.Models.end(),
                      [&](const ModelProgress &Progress) {
                        return replaces(Progress.Wanted, Loaded) &&
                               Progress.Phase != LoadPhase::Ready;
                      });
}

Order makeOrder(LoadingState &State, OrderAction Action, LoadedModel Target,
                const LoadingInput &Input) {
  Order Result;
  Result.Action = Action;
  Result.Target = std::move(Target);
  Result.Number = {State.Number, State.Issuer, ++State.Sequence};
  Result.ValidUntil = Input.LastConfirmed + State.Settings.PauseLimit;
  if (Action == OrderAction::Load) {
    const auto Found = State.Complete.find(Result.Target.Weights);
    checkInvariant(Found != State.Complete.end(), Invariant::UnmixedWeights,
                   Step::Order, State.Endpoint);
    Result.Chunks = Found->second;
  }
  State.Outstanding = {Result, Input.Now + State.Settings.OrderTimeout};
  return Result;
}

/// Creates the next order if one is due. Only one order is outstanding at a
/// time, so that the engine's state after its response is known.
std::optional<Order> nextOrder(LoadingState &State, const LoadingInput &Input) {
  if (State.Outstanding || !State.Engine || State.Number == 0 ||
      State.ReadBackDeadline || State.ReadBackNeeded)
    return std::nullopt;
  for (ModelProgress &Progress : State.Models)
    if (Progress.Phase == LoadPhase::Draining &&
        countRequestsToDrain(State, Progress, Input) == 0) {
      const LoadedModel Target = asLoaded(Progress.Wanted);
      for (ModelProgress &SameTarget : State.Models)
        if (asLoaded(SameTarget.Wanted) == Target)
          SameTarget.Phase = LoadPhase::Ordered;
      return makeOrder(State, OrderAction::Load, Target, Input);
    }
  for (const LoadedModel &Loaded : *State.Engine)
    if (mayUnload(State, Loaded, Input))
      return makeOrder(State, OrderAction::Unload, Loaded, Input);
  return std::nullopt;
}

/// Weights that the engine reported and that are not being replaced.
std::set<Digest> announceableWeights(const LoadingState &State) {
  std::set<Digest> Result;
  if (State.Engine)
    for (const LoadedModel &Loaded : *State.Engine)
      if (!State.Draining.contains(Loaded.Weights))
        Result.insert(Loaded.Weights);
  if (faultEnabled(Invariant::UnmixedWeights))
    for (const ModelProgress &Progress : State.Models)
      if (Progress.Phase == LoadPhase::ReadingBack)
        Result.insert(Progress.Wanted.Weights);
  return Result;
}

void updateDraining(LoadingState &State) {
  State.Draining.clear();
  if (State.Engine)
    for (const LoadedModel &Loaded : *State.Engine)
      if (mustDrain(State, Loaded))
        State.Draining.insert(Loaded.Weights);
}

void announceChanges(LoadingState &State, std::vector<LoadingAction> &Actions) {
  std::set<Digest> Ready = announceableWeights(State);
  if (Ready == State.Announced)
    return;
  for (const Digest &Weights : Ready)
    checkInvariant(State.Engine &&
                       std::any_of(State.Engine->begin(), State.Engine->end(),
                                   [&](const LoadedModel &Loaded) {
                                     return Loaded.Weights == Weights;
                                   }),
                   Invariant::UnmixedWeights, Step::Announce, State.Endpoint);
  State.Announced = std::move(Ready);
  Actions.emplace_back(
      AnnounceReady{{State.Announced.begin(), State.Announced.end()}});
}

} // namespace

std::string_view loadPhaseName(LoadPhase Phase) {
  static constexpr std::string_view Names[] = {"waiting_for_chunks",
                                               "waiting_for_turn",
                                               "draining",
                                               "ordered",
                                               "reading_back",
                                               "ready",
                                               "failed"};
  static_assert(std::size(Names) == std::size(AllLoadPhases));
  return Names[static_cast<std::size_t>(Phase)];
}

LoadingState makeLoading(std::string Endpoint, Incarnation Issuer,
                         LoadingSettings Settings) {
  LoadingState State;
  State.Settings = Settings;
  State.Endpoint = std::move(Endpoint);
  State.Issuer = Issuer;
  return State;
}

void wantModels(LoadingState &State, Revision NewRevision,
                std::vector<WantedModel> Wanted) {
  if (NewRevision < State.Number)
    return;
  State.Number = NewRevision;
  std::vector<ModelProgress> Models;
  for (WantedModel &Model : Wanted) {
    const auto Known = std::find_if(State.Models.begin(), State.Models.end(),
                                    [&](const ModelProgress &Progress) {
                                      return Progress.Wanted == Model;
                                    });
    if (Known != State.Models.end())
      Models.push_back(*Known);
    else
      Models.push_back({std::move(Model)});
  }
  State.Models = std::move(Models);
}

void weightsComplete(LoadingState &State, const Digest &Weights,
                     std::vector<Digest> Chunks) {
  State.Complete[Weights] = std::move(Chunks);
}

void weightsIncomplete(LoadingState &State, const Digest &Weights) {
  State.Complete.erase(Weights);
}

void engineReported(LoadingState &State, std::vector<LoadedModel> Loaded,
                    TimePoint ReadAt, TimePoint Now) {
  State.ReadBackDeadline.reset();
  if (ReadAt < State.LastOrderEndedAt || State.Outstanding) {
    State.ReadBackNeeded = true;
    return;
  }
  State.ReadBackNeeded = false;
  State.EngineModelsReadAt = Now;
  State.Engine = std::move(Loaded);
  for (ModelProgress &Progress : State.Models) {
    if (Progress.Phase == LoadPhase::ReadingBack) {
      Progress.Phase = LoadPhase::Ready;
      if (!isLoaded(State, asLoaded(Progress.Wanted)))
        fail(State, Progress, Now);
    } else if (Progress.Phase == LoadPhase::Ready &&
               !isLoaded(State, asLoaded(Progress.Wanted))) {
      // The engine restarted or another process sent it an order.
      Progress.Phase = LoadPhase::WaitingForChunks;
    }
  }
}

void engineLost(LoadingState &State, TimePoint Now) {
  pauseDetected(State);
  State.ReadBackDeadline.reset();
  State.NextReadBackAt = Now + State.Settings.BackoffBase;
}

std::optional<Error> orderAnswered(LoadingState &State, const Fence &Token,
                                   bool Accepted, TimePoint Now) {
  if (!State.Outstanding || State.Outstanding->Content.Number != Token)
    return std::nullopt;
  const Order Answered = State.Outstanding->Content;
  State.Outstanding.reset();
  State.LastOrderEndedAt = Now;
  State.ReadBackNeeded = true;
  if (!Accepted) {
    if (Answered.Action == OrderAction::Load)
      failModelsOfTarget(State, Answered.Target, Now);
    return Error{ErrorCode::OrderRefused, Step::Order, State.Endpoint,
                 "weights " + Answered.Target.Weights};
  }
  for (ModelProgress &Progress : State.Models)
    if (Progress.Phase == LoadPhase::Ordered)
      Progress.Phase = LoadPhase::ReadingBack;
  return std::nullopt;
}

void orderNotSent(LoadingState &State, const Fence &Token) {
  if (!State.Outstanding || State.Outstanding->Content.Number != Token)
    return;
  State.Outstanding.reset();
  pauseDetected(State);
}

void pauseDetected(LoadingState &State) {
  State.Engine.reset();
  State.ReadBackNeeded = true;
  for (ModelProgress &Progress : State.Models)
    if (Progress.Phase != LoadPhase::Failed &&
        !(Progress.Phase == LoadPhase::Ordered && State.Outstanding))
      Progress.Phase = LoadPhase::WaitingForChunks;
}

std::vector<LoadingAction> planLoading(LoadingState &State,
                                       const LoadingInput &Input) {
  std::vector<LoadingAction> Actions;
  handleTimeouts(State, Input.Now);
  if (Input.Now - Input.LastConfirmed >= State.Settings.PauseLimit)
    pauseDetected(State);
  for (ModelProgress &Progress : State.Models)
    advancePhase(State, Progress, Input);
  updateDraining(State);
  // The announcement must come first: weights are withdrawn before the order
  // that replaces them.
  announceChanges(State, Actions);
  if (std::optional<Order> Next = nextOrder(State, Input))
    Actions.emplace_back(std::move(*Next));
  const bool ReadBackDue =
      State.ReadBackNeeded ||
      Input.Now - State.EngineModelsReadAt >= State.Settings.ReconcileInterval;
  if (ReadBackDue && !State.Outstanding && !State.ReadBackDeadline &&
      Input.Now >= State.NextReadBackAt) {
    State.ReadBackDeadline = Input.Now + State.Settings.ReadBackTimeout;
    Actions.emplace_back(ReadBack{});
  }
  return Actions;
}

bool maySend(const Order &ToSend, TimePoint Now) {
  return Now < ToSend.ValidUntil;
}

bool acceptsWork(const LoadingState &State, const Digest &Weights) {
  return State.Announced.contains(Weights);
}

TimePoint nextLoadingPlanTime(const LoadingState &State, TimePoint Now) {
  TimePoint Next = State.EngineModelsReadAt + State.Settings.ReconcileInterval;
  if (State.ReadBackDeadline)
    Next = *State.ReadBackDeadline;
  else if (State.ReadBackNeeded)
    Next = State.NextReadBackAt;
  if (State.Outstanding)
    Next = State.Outstanding->Deadline;
  for (const ModelProgress &Progress : State.Models)
    if (Progress.Phase == LoadPhase::Failed)
      Next = std::min(Next, Progress.RetryAt);
  return std::max(Next, Now);
}

} // namespace marigoldyard
