#include "marigoldyard/coordination/loading.hpp"

#include "marigoldyard/state/fault_switch.hpp"
#include "marigoldyard/state/invariant.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace marigoldyard {

namespace {

using detail::ModelProgress;

LoadedModel asLoaded(const DesiredModel &Wanted) {
  return {Wanted.Model, Wanted.Version, Wanted.Weights};
}

bool isLoaded(const LoadingState &State, const LoadedModel &Target) {
  return State.EngineModels &&
         std::find(State.EngineModels->begin(), State.EngineModels->end(),
                   Target) != State.EngineModels->end();
}

bool isWanted(const LoadingState &State, const LoadedModel &Loaded) {
  return std::any_of(State.Models.begin(), State.Models.end(),
                     [&](const ModelProgress &Progress) {
                       return asLoaded(Progress.Desired) == Loaded;
                     });
}

void fail(LoadingState &State, ModelProgress &Progress, TimePoint Now) {
  // Limits the shift; 2^16 times the base exceeds any reasonable BackoffMax.
  constexpr std::uint32_t MaxDoublings = 16;
  const Duration Backoff =
      State.Settings.BackoffBase *
      (std::int64_t{1} << std::min(Progress.FailureCount, MaxDoublings));
  Progress.Phase = LoadPhase::Failed;
  Progress.RetryAt = Now + std::min(Backoff, State.Settings.BackoffMax);
  ++Progress.FailureCount;
}

/// Marks all models with the target of a refused or timed-out order as failed.
void failModelsOfTarget(LoadingState &State, const LoadedModel &Target,
                        TimePoint Now) {
  for (ModelProgress &Progress : State.Models)
    if (asLoaded(Progress.Desired) == Target)
      fail(State, Progress, Now);
}

/// Handles timeouts of the read-back and of the outstanding order.
void handleTimeouts(LoadingState &State, TimePoint Now) {
  if (State.ReadBackDeadline && Now >= *State.ReadBackDeadline)
    handleEngineLoss(State, Now);
  if (!State.Outstanding || Now < State.Outstanding->Deadline)
    return;
  const Order TimedOutOrder = State.Outstanding->SentOrder;
  State.Outstanding.reset();
  State.LastOrderEndedAt = Now;
  State.ReadBackNeeded = true;
  if (TimedOutOrder.Action == OrderAction::Load)
    failModelsOfTarget(State, TimedOutOrder.Target, Now);
}

/// Whether the desired model is another version of the loaded model.
bool replaces(const DesiredModel &Wanted, const LoadedModel &Loaded) {
  return Wanted.Model == Loaded.Model && !(asLoaded(Wanted) == Loaded);
}

std::uint32_t inProgress(const LoadingInput &Input, const Digest &Weights) {
  const auto Found = Input.RunningRequests.find(Weights);
  return Found == Input.RunningRequests.end() ? 0 : Found->second;
}

/// Number of requests that still run on versions replaced by this model.
std::uint32_t countRequestsToDrain(const LoadingState &State,
                                   const ModelProgress &Progress,
                                   const LoadingInput &Input) {
  std::uint32_t Count = 0;
  for (const LoadedModel &Loaded : *State.EngineModels)
    if (replaces(Progress.Desired, Loaded) && !isWanted(State, Loaded))
      Count += inProgress(Input, Loaded.Weights);
  return Count;
}

bool isComplete(const LoadingState &State, const Digest &Weights) {
  return isFaultEnabled(Invariant::UnmixedWeights) ||
         State.VerifiedChunks.contains(Weights);
}

/// Sets the phase of a model from the observations. Ordered and ReadingBack are
/// entered and left elsewhere.
void advancePhase(const LoadingState &State, ModelProgress &Progress,
                  const LoadingInput &Input) {
  if (Progress.Phase == LoadPhase::Ordered ||
      Progress.Phase == LoadPhase::ReadingBack)
    return;
  if (isLoaded(State, asLoaded(Progress.Desired))) {
    Progress.Phase = LoadPhase::Ready;
    Progress.FailureCount = 0;
    return;
  }
  if (Progress.Phase == LoadPhase::Failed && Input.Now < Progress.RetryAt)
    return;
  if (!isComplete(State, Progress.Desired.Weights)) {
    Progress.Phase = LoadPhase::WaitingForChunks;
    return;
  }
  const auto Turn = Input.HasTurnByWeights.find(Progress.Desired.Weights);
  const bool HasTurn = Turn != Input.HasTurnByWeights.end() && Turn->second;
  if (!State.EngineModels ||
      (Progress.Phase != LoadPhase::Draining && !HasTurn))
    Progress.Phase = LoadPhase::WaitingForTurn;
  else
    Progress.Phase = LoadPhase::Draining;
}

/// Whether a loaded version must accept no new requests, because its
/// replacement is in progress or no version of the model is desired.
bool mustDrain(const LoadingState &State, const LoadedModel &Loaded) {
  if (State.ConfigRevision == 0 || isWanted(State, Loaded))
    return false;
  bool Replaced = false;
  for (const ModelProgress &Progress : State.Models) {
    if (!replaces(Progress.Desired, Loaded))
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
                        return replaces(Progress.Desired, Loaded) &&
                               Progress.Phase != LoadPhase::Ready;
                      });
}

Order makeOrder(LoadingState &State, OrderAction Action, LoadedModel Target,
                const LoadingInput &Input) {
  Order Result;
  Result.Action = Action;
  Result.Target = std::move(Target);
  Result.FencingToken = {State.ConfigRevision, State.AgentIncarnation,
                         ++State.LastOrderSequence};
  Result.ValidUntil = Input.LastPauseCheck + State.Settings.MaxPauseCheckAge;
  if (Action == OrderAction::Load) {
    const auto Found = State.VerifiedChunks.find(Result.Target.Weights);
    checkInvariant(Found != State.VerifiedChunks.end(),
                   Invariant::UnmixedWeights, Step::Order, State.Endpoint);
    Result.Chunks = Found->second;
  }
  State.Outstanding = {Result, Input.Now + State.Settings.OrderTimeout};
  return Result;
}

/// Creates the next order if one is due. Only one order is outstanding at a
/// time, so that the engine's state after its response is known.
std::optional<Order> nextOrder(LoadingState &State, const LoadingInput &Input) {
  if (State.Outstanding || !State.EngineModels || State.ConfigRevision == 0 ||
      State.ReadBackDeadline || State.ReadBackNeeded)
    return std::nullopt;
  for (ModelProgress &Progress : State.Models)
    if (Progress.Phase == LoadPhase::Draining &&
        countRequestsToDrain(State, Progress, Input) == 0) {
      const LoadedModel Target = asLoaded(Progress.Desired);
      for (ModelProgress &SameTarget : State.Models)
        if (asLoaded(SameTarget.Desired) == Target)
          SameTarget.Phase = LoadPhase::Ordered;
      return makeOrder(State, OrderAction::Load, Target, Input);
    }
  for (const LoadedModel &Loaded : *State.EngineModels)
    if (mayUnload(State, Loaded, Input))
      return makeOrder(State, OrderAction::Unload, Loaded, Input);
  return std::nullopt;
}

/// Weights that the engine reported and that are not being replaced.
std::set<Digest> announceableWeights(const LoadingState &State) {
  std::set<Digest> Result;
  if (State.EngineModels)
    for (const LoadedModel &Loaded : *State.EngineModels)
      if (!State.DrainingWeights.contains(Loaded.Weights))
        Result.insert(Loaded.Weights);
  if (isFaultEnabled(Invariant::UnmixedWeights))
    for (const ModelProgress &Progress : State.Models)
      if (Progress.Phase == LoadPhase::ReadingBack)
        Result.insert(Progress.Desired.Weights);
  return Result;
}

void updateDraining(LoadingState &State) {
  State.DrainingWeights.clear();
  if (State.EngineModels)
    for (const LoadedModel &Loaded : *State.EngineModels)
      if (mustDrain(State, Loaded))
        State.DrainingWeights.insert(Loaded.Weights);
}

void announceChanges(LoadingState &State, std::vector<LoadingAction> &Actions) {
  std::set<Digest> Ready = announceableWeights(State);
  if (Ready == State.AnnouncedWeights)
    return;
  for (const Digest &Weights : Ready)
    checkInvariant(State.EngineModels &&
                       std::any_of(State.EngineModels->begin(),
                                   State.EngineModels->end(),
                                   [&](const LoadedModel &Loaded) {
                                     return Loaded.Weights == Weights;
                                   }),
                   Invariant::UnmixedWeights, Step::Announce, State.Endpoint);
  State.AnnouncedWeights = std::move(Ready);
  Actions.emplace_back(AnnounceReady{
      {State.AnnouncedWeights.begin(), State.AnnouncedWeights.end()}});
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
  State.AgentIncarnation = Issuer;
  return State;
}

void setDesiredModels(LoadingState &State, Revision NewRevision,
                      std::vector<DesiredModel> Wanted) {
  if (NewRevision < State.ConfigRevision)
    return;
  State.ConfigRevision = NewRevision;
  std::vector<ModelProgress> Models;
  for (DesiredModel &Model : Wanted) {
    const auto Known = std::find_if(State.Models.begin(), State.Models.end(),
                                    [&](const ModelProgress &Progress) {
                                      return Progress.Desired == Model;
                                    });
    if (Known != State.Models.end())
      Models.push_back(*Known);
    else
      Models.push_back({std::move(Model)});
  }
  State.Models = std::move(Models);
}

void addVerifiedWeights(LoadingState &State, const Digest &Weights,
                        std::vector<Digest> Chunks) {
  State.VerifiedChunks[Weights] = std::move(Chunks);
}

void removeVerifiedWeights(LoadingState &State, const Digest &Weights) {
  State.VerifiedChunks.erase(Weights);
}

void handleEngineReport(LoadingState &State, std::vector<LoadedModel> Loaded,
                        TimePoint ReadAt, TimePoint Now) {
  State.ReadBackDeadline.reset();
  if (ReadAt < State.LastOrderEndedAt || State.Outstanding) {
    State.ReadBackNeeded = true;
    return;
  }
  State.ReadBackNeeded = false;
  State.EngineModelsReadAt = Now;
  State.EngineModels = std::move(Loaded);
  for (ModelProgress &Progress : State.Models) {
    if (Progress.Phase == LoadPhase::ReadingBack) {
      Progress.Phase = LoadPhase::Ready;
      if (!isLoaded(State, asLoaded(Progress.Desired)))
        fail(State, Progress, Now);
    } else if (Progress.Phase == LoadPhase::Ready &&
               !isLoaded(State, asLoaded(Progress.Desired))) {
      // The engine restarted or another process sent it an order.
      Progress.Phase = LoadPhase::WaitingForChunks;
    }
  }
}

void handleEngineLoss(LoadingState &State, TimePoint Now) {
  invalidateEngineState(State);
  State.ReadBackDeadline.reset();
  State.NextReadBackAt = Now + State.Settings.BackoffBase;
}

std::optional<Error> handleOrderResponse(LoadingState &State,
                                         const Fence &Token, bool Accepted,
                                         TimePoint Now) {
  if (!State.Outstanding || State.Outstanding->SentOrder.FencingToken != Token)
    return std::nullopt;
  const Order Answered = State.Outstanding->SentOrder;
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

void handleExpiredOrder(LoadingState &State, const Fence &Token) {
  if (!State.Outstanding || State.Outstanding->SentOrder.FencingToken != Token)
    return;
  State.Outstanding.reset();
  invalidateEngineState(State);
}

void invalidateEngineState(LoadingState &State) {
  State.EngineModels.reset();
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
  if (Input.Now - Input.LastPauseCheck >= State.Settings.MaxPauseCheckAge)
    invalidateEngineState(State);
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

bool isOrderValid(const Order &ToSend, TimePoint Now) {
  return Now < ToSend.ValidUntil;
}

bool acceptsRequests(const LoadingState &State, const Digest &Weights) {
  return State.AnnouncedWeights.contains(Weights);
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
