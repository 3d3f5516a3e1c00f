#include "marigoldyard/coordination/request.hpp"

#include "marigoldyard/state/fault_switch.hpp"
#include "marigoldyard/state/invariant.hpp"

#include <algorithm>
#include <utility>

namespace marigoldyard {

namespace {

namespace event = request_event;
namespace action = request_action;

/// Arguments of one call of step and the actions that it has produced so far.
struct StepContext {
  RequestState &State;
  RetryBudget &Budget;
  TimePoint Now;
  std::vector<RequestAction> Actions;
};

std::uint32_t currentAttempt(const RequestState &State) {
  return static_cast<std::uint32_t>(State.Tries.size());
}

/// Returns whether an event belongs to the current attempt and the attempt has
/// not ended.
bool isCurrent(const RequestState &State, std::string_view Peer,
               std::uint32_t Attempt) {
  if (State.Phase != RequestPhase::Queued &&
      State.Phase != RequestPhase::Sent && State.Phase != RequestPhase::Closing)
    return false;
  return Attempt == currentAttempt(State) && State.Tries.back().Peer == Peer;
}

std::vector<TryFate> attemptStatuses(const RequestState &State) {
  std::vector<TryFate> Result;
  Result.reserve(State.Tries.size());
  for (const AttemptRecord &Record : State.Tries)
    Result.push_back(Record.Fate);
  return Result;
}

bool mayHaveRun(const RequestState &State) {
  return std::any_of(
      State.Tries.begin(), State.Tries.end(),
      [](const AttemptRecord &Record) { return !Record.Proved; });
}

/// Returns whether the request can safely run more than once. Opening an
/// operation twice only leaves an unused id.
bool isRepeatable(const RequestState &State) {
  return State.Kind == RequestKind::OperationOpen ||
         (State.Kind == RequestKind::Completion && State.Idempotent);
}

/// Returns the outcome that the attempts allow. An operation that this entry
/// did not send may still have run: the caller may have sent it through another
/// entry before. Only the agent that issued the id can prove that it did not
/// run.
Outcome requestOutcome(const RequestState &State) {
  std::vector<TryFate> Statuses = attemptStatuses(State);
  Outcome Result = claimOutcome(Statuses);
  bool Refused = std::find(Statuses.begin(), Statuses.end(),
                           TryFate::Refused) != Statuses.end();
  if (State.Kind == RequestKind::OperationRun && Result == Outcome::NotRun &&
      !Refused)
    return Outcome::Unknown;
  return Result;
}

/// Ends the request with the outcome that its attempts allow.
void answer(StepContext &Context) {
  RequestState &State = Context.State;
  State.Phase = RequestPhase::Done;
  if (State.Abandoned)
    return;
  Outcome Result = requestOutcome(State);
  checkInvariant(Result != Outcome::NotRun || !mayHaveRun(State),
                 Invariant::NotRunProof, State.LastError.At,
                 State.LastError.Peer);
  if (State.Streaming && State.DeliveredPieces > 0) {
    Context.Actions.emplace_back(action::AbortStream{Result, State.LastError});
    return;
  }
  auto RetryAfter = Result == Outcome::NotRun ? State.RetryAfter
                                              : std::chrono::milliseconds(0);
  Context.Actions.emplace_back(
      action::AnswerOutcome{Result, State.LastError, RetryAfter});
}

void finish(StepContext &Context, std::string Text, std::uint32_t HttpStatus) {
  Context.State.Phase = RequestPhase::Done;
  Context.State.Tries.back().Fate = TryFate::Completed;
  Context.State.Tries.back().MaybeSent = true;
  if (!Context.State.Abandoned)
    Context.Actions.emplace_back(
        action::FinishAnswer{std::move(Text), HttpStatus});
}

RetryQuestion retryInputs(const StepContext &Context) {
  const RequestState &State = Context.State;
  RetryQuestion Inputs;
  Inputs.LastTry = State.Tries.back().Fate;
  Inputs.Reason = static_cast<ErrorCode>(State.LastError.Code.value());
  Inputs.Idempotent = isRepeatable(State);
  Inputs.Delivered = State.Streaming && State.DeliveredPieces > 0;
  Inputs.MaybeRun = mayHaveRun(State);
  Inputs.Tries = currentAttempt(State);
  Inputs.TimeLeft = State.Deadline - Context.Now;
  return Inputs;
}

void startSelection(StepContext &Context) {
  RequestState &State = Context.State;
  State.Phase = RequestPhase::Choosing;
  State.Collected.clear();
  action::ChooseEndpoint Selection;
  for (const AttemptRecord &Record : State.Tries)
    Selection.Avoid.push_back(Record.Peer);
  Context.Actions.emplace_back(std::move(Selection));
}

/// Ends the current attempt, then retries or answers. An operation can run only
/// on the agent that issued its id, so it is never sent to another one.
void finishAttempt(StepContext &Context, TryFate AttemptResult, Error Reason) {
  RequestState &State = Context.State;
  State.Tries.back().Fate = AttemptResult;
  State.LastError = std::move(Reason);
  bool IsFinal = State.Abandoned || State.Kind == RequestKind::OperationRun;
  if (!IsFinal) {
    RetryVerdict Decision =
        decideRetry(Context.Budget, retryInputs(Context), Context.Now);
    if (Decision == RetryVerdict::Retry) {
      startSelection(Context);
      return;
    }
    State.LastError.Detail += "; no retry: ";
    State.LastError.Detail += retryVerdictName(Decision);
  }
  answer(Context);
}

/// Records a proof that an attempt was not run. The proof may arrive after the
/// attempt was marked as lost.
void recordNotRunProof(StepContext &Context, std::uint32_t Attempt,
                       TryFate AttemptResult, Error Reason) {
  RequestState &State = Context.State;
  AttemptRecord &Record = State.Tries[Attempt - 1];
  if (isCurrent(State, Record.Peer, Attempt)) {
    Record.Proved = true;
    finishAttempt(Context, AttemptResult, std::move(Reason));
  } else if (Record.Fate == TryFate::Lost) {
    Record.Proved = true;
    Record.Fate = AttemptResult;
  }
}

/// Returns the status of an attempt whose end was not observed. Received pieces
/// prove that it ran.
TryFate unobservedStatus(const RequestState &State) {
  return State.Stream.Next > 0 ? TryFate::Failed : TryFate::Lost;
}

/// Asks the agent to cancel an attempt. Operations are not cancelled, so that
/// the agent records their result.
void cancelAttempt(StepContext &Context, std::uint32_t Attempt) {
  const RequestState &State = Context.State;
  if (State.Kind == RequestKind::Completion)
    Context.Actions.emplace_back(
        action::CancelTry{State.Tries[Attempt - 1].Peer, Attempt});
}

/// Enters the Closing phase and waits for proof that the work was not run: the
/// outbox may still withdraw it, or the agent may report that it did not start.
void startClosing(StepContext &Context, Error Reason) {
  RequestState &State = Context.State;
  const AttemptRecord &Record = State.Tries.back();
  std::uint32_t Attempt = currentAttempt(State);
  State.Phase = RequestPhase::Closing;
  State.CloseBy = Context.Now + ClosingGrace;
  State.LastError = std::move(Reason);
  if (!Record.MaybeSent)
    Context.Actions.emplace_back(action::WithdrawWork{Record.Peer, Attempt});
  else
    cancelAttempt(Context, Attempt);
}

void handle(StepContext &Context, const event::Begun &) {
  if (Context.State.Phase != RequestPhase::Choosing ||
      !Context.State.Tries.empty())
    return;
  noteFirstTry(Context.Budget, Context.Now);
  startSelection(Context);
}

/// Ends a request whose deadline has passed. An attempt in progress goes
/// through the Closing phase first.
void handleDeadline(StepContext &Context) {
  RequestState &State = Context.State;
  std::string Peer = State.Tries.empty() ? "" : State.Tries.back().Peer;
  Error Reason{ErrorCode::DeadlineExceeded, Step::Routing, Peer,
               "the deadline of the request has passed"};
  if (State.Phase == RequestPhase::Choosing) {
    State.LastError = std::move(Reason);
    answer(Context);
    return;
  }
  Reason.At = State.Phase == RequestPhase::Queued ? Step::Send
              : State.Stream.Next == 0            ? Step::Queue
                                                  : Step::Generate;
  startClosing(Context, std::move(Reason));
}

void handle(StepContext &Context, const event::EndpointChosen &Chosen) {
  RequestState &State = Context.State;
  if (State.Phase != RequestPhase::Choosing)
    return;
  if (Context.Now >= State.Deadline) {
    handleDeadline(Context);
    return;
  }
  checkInvariant(isRepeatable(State) || !mayHaveRun(State),
                 Invariant::AtMostOnce, Step::Send, Chosen.Peer);
  State.Weights = Chosen.Weights;
  State.Tries.push_back({Chosen.Peer, TryFate::Running, false, false});
  State.Stream =
      beginStream(State.Id, currentAttempt(State), State.Weights, Chosen.Peer);
  State.Phase = RequestPhase::Queued;
  Context.Actions.emplace_back(
      action::SendWork{Chosen.Peer, currentAttempt(State), State.Weights,
                       State.Deadline - Context.Now});
}

void handle(StepContext &Context, const event::EndpointUnavailable &Reason) {
  RequestState &State = Context.State;
  if (State.Phase != RequestPhase::Choosing)
    return;
  // The error of an earlier attempt is more specific than "no endpoint".
  if (State.Tries.empty())
    State.LastError = {Reason.Reason, Step::Routing, "",
                       "no endpoint can accept the request"};
  State.RetryAfter = std::max(State.RetryAfter, Reason.RetryAfter);
  answer(Context);
}

void handle(StepContext &Context, const event::WorkLeft &Left) {
  RequestState &State = Context.State;
  if (Left.Attempt == 0 || Left.Attempt > State.Tries.size())
    return;
  AttemptRecord &Record = State.Tries[Left.Attempt - 1];
  Record.MaybeSent = true;
  // Work that was sent after its attempt was marked as lost is cancelled, since
  // its answer would not be used.
  if (!isCurrent(State, Record.Peer, Left.Attempt)) {
    if (Record.Fate == TryFate::Lost)
      cancelAttempt(Context, Left.Attempt);
    return;
  }
  if (State.Phase == RequestPhase::Queued)
    State.Phase = RequestPhase::Sent;
  else
    cancelAttempt(Context, Left.Attempt);
}

void handle(StepContext &Context, const event::WorkWithdrawn &Withdrawn) {
  RequestState &State = Context.State;
  if (Withdrawn.Attempt == 0 || Withdrawn.Attempt > State.Tries.size())
    return;
  if (State.Tries[Withdrawn.Attempt - 1].MaybeSent)
    return;
  // In the Closing phase the error that caused it is kept. Otherwise the daemon
  // withdrew the work because it could not reach the agent.
  Error Reason = State.LastError;
  if (State.Phase != RequestPhase::Closing)
    Reason = Error{ErrorCode::PeerUnreachable, Step::Send,
                   State.Tries[Withdrawn.Attempt - 1].Peer,
                   "the work was withdrawn before it was sent"};
  recordNotRunProof(Context, Withdrawn.Attempt, TryFate::Withdrawn,
                    std::move(Reason));
}

/// Records that the agent has received the work, which any message about the
/// attempt proves.
void markReceived(RequestState &State) {
  State.Tries.back().MaybeSent = true;
  if (State.Phase == RequestPhase::Queued)
    State.Phase = RequestPhase::Sent;
}

void handle(StepContext &Context, const event::Accepted &Accepted) {
  if (isCurrent(Context.State, Accepted.Peer, Accepted.Attempt))
    markReceived(Context.State);
}

void handle(StepContext &Context, const event::Refused &Refused) {
  RequestState &State = Context.State;
  if (Refused.Attempt == 0 || Refused.Attempt > State.Tries.size())
    return;
  if (State.Tries[Refused.Attempt - 1].Peer != Refused.Peer)
    return;
  Error Reason{Refused.Reason, Step::Queue, Refused.Peer,
               "the agent refused the work"};
  if (isCurrent(State, Refused.Peer, Refused.Attempt)) {
    markReceived(State);
    State.RetryAfter = Refused.RetryAfter;
    // A refusal after pieces contradicts them, so it does not prove that the
    // work was not run.
    if (State.Stream.Next > 0) {
      finishAttempt(Context, TryFate::Failed, std::move(Reason));
      return;
    }
  }
  recordNotRunProof(Context, Refused.Attempt, TryFate::Refused,
                    std::move(Reason));
}

void handle(StepContext &Context, const event::Failed &Failed) {
  RequestState &State = Context.State;
  if (!isCurrent(State, Failed.Peer, Failed.Attempt))
    return;
  markReceived(State);
  finishAttempt(Context, TryFate::Failed,
                {Failed.Reason, Failed.At, Failed.Peer,
                 "the agent reported that the work failed"});
}

void failStream(StepContext &Context, StreamFault Fault) {
  RequestState &State = Context.State;
  cancelAttempt(Context, currentAttempt(State));
  finishAttempt(Context, TryFate::Failed, streamError(State.Stream, Fault));
}

void deliver(StepContext &Context, std::string_view Text) {
  RequestState &State = Context.State;
  if (!State.Streaming) {
    State.Collected += Text;
    return;
  }
  if (State.DeliveredPieces++ == 0) {
    State.DeliveredWeights = State.Weights;
    State.DeliveredAttempt = State.Stream.Attempt;
  }
  checkInvariant(State.DeliveredWeights == State.Weights,
                 Invariant::UnmixedWeights, Step::Deliver, State.Stream.Peer);
  checkInvariant(State.DeliveredAttempt == State.Stream.Attempt,
                 Invariant::WholeAnswer, Step::Deliver, State.Stream.Peer);
  if (!State.Abandoned)
    Context.Actions.emplace_back(action::DeliverPiece{std::string(Text)});
}

void handle(StepContext &Context, const event::PieceArrived &Arrived) {
  RequestState &State = Context.State;
  if (State.Kind != RequestKind::Completion ||
      !isCurrent(State, Arrived.Peer, currentAttempt(State)))
    return;
  StreamStep Check = checkPiece(State.Stream, Arrived.Piece);
  if (Check.Verdict == StreamVerdict::Ignore)
    return;
  markReceived(State);
  if (Check.Verdict == StreamVerdict::Fail)
    failStream(Context, Check.Fault);
  else
    deliver(Context, Arrived.Piece.Text);
}

void handle(StepContext &Context, const event::EndArrived &Arrived) {
  RequestState &State = Context.State;
  if (State.Kind != RequestKind::Completion ||
      !isCurrent(State, Arrived.Peer, currentAttempt(State)))
    return;
  StreamStep Check = checkEnd(State.Stream, Arrived.End);
  if (Check.Verdict == StreamVerdict::Ignore)
    return;
  markReceived(State);
  if (Check.Verdict == StreamVerdict::Fail) {
    failStream(Context, Check.Fault);
    return;
  }
  bool IsComplete = State.Streaming
                        ? State.DeliveredPieces == State.Stream.Next
                        : State.Collected.size() == State.Stream.Bytes;
  checkInvariant(IsComplete, Invariant::WholeAnswer, Step::Deliver,
                 Arrived.Peer);
  finish(Context, std::move(State.Collected), 0);
}

void handle(StepContext &Context, const event::Opened &Opened) {
  RequestState &State = Context.State;
  if (State.Kind != RequestKind::OperationOpen ||
      !isCurrent(State, Opened.Peer, currentAttempt(State)))
    return;
  markReceived(State);
  if (!Opened.Operation.empty()) {
    finish(Context, Opened.Operation, 0);
    return;
  }
  recordNotRunProof(Context, currentAttempt(State), TryFate::Refused,
                    {Opened.Reason, Step::OperationOpen, Opened.Peer,
                     "the agent refused to open an operation"});
}

void handle(StepContext &Context, const event::OperationAnswered &Answered) {
  RequestState &State = Context.State;
  if (State.Kind != RequestKind::OperationRun ||
      Answered.Operation != State.Operation ||
      !isCurrent(State, Answered.Peer, currentAttempt(State)))
    return;
  markReceived(State);
  const OperationAnswer &Answer = Answered.Answer;
  if (Answer.Result == Outcome::Complete) {
    finish(Context, Answer.Body, Answer.Status);
    return;
  }
  Error Reason{Answer.Reason, Step::OperationResult, Answered.Peer,
               "the agent reported no complete result of the operation"};
  if (Answer.Result == Outcome::NotRun)
    recordNotRunProof(Context, currentAttempt(State), TryFate::Refused,
                      std::move(Reason));
  else
    finishAttempt(Context,
                  Answer.Result == Outcome::Failed ? TryFate::Failed
                                                   : TryFate::Lost,
                  std::move(Reason));
}

void handle(StepContext &Context, const event::PeerLost &Lost) {
  RequestState &State = Context.State;
  if (!isCurrent(State, Lost.Peer, currentAttempt(State)))
    return;
  Error Reason{ErrorCode::PeerUnreachable, Step::Send, Lost.Peer,
               "the connection to the agent was lost"};
  if (!State.Tries.back().MaybeSent) {
    if (State.Phase == RequestPhase::Queued)
      startClosing(Context, std::move(Reason));
    return;
  }
  // A suspected peer may still be alive; cancelling frees its capacity.
  cancelAttempt(Context, currentAttempt(State));
  finishAttempt(Context, unobservedStatus(State), std::move(Reason));
}

void handle(StepContext &Context, const event::CallerLeft &) {
  RequestState &State = Context.State;
  if (State.Phase == RequestPhase::Done)
    return;
  State.Abandoned = true;
  if (State.Phase == RequestPhase::Choosing)
    answer(Context);
  else if (State.Phase != RequestPhase::Closing)
    startClosing(Context, {ErrorCode::Cancelled, Step::Deliver, "",
                           "the caller closed its connection"});
}

void handle(StepContext &Context, const event::TimerFired &) {
  RequestState &State = Context.State;
  if (State.Phase == RequestPhase::Done || Context.Now < *nextTimer(State))
    return;
  if (State.Phase == RequestPhase::Closing) {
    finishAttempt(Context, unobservedStatus(State), State.LastError);
    return;
  }
  handleDeadline(Context);
}

} // namespace

std::string_view requestPhaseName(RequestPhase Phase) {
  switch (Phase) {
  case RequestPhase::Choosing:
    return "choosing";
  case RequestPhase::Queued:
    return "queued";
  case RequestPhase::Sent:
    return "sent";
  case RequestPhase::Closing:
    return "closing";
  case RequestPhase::Done:
    return "done";
  }
  return "";
}

std::vector<RequestAction> step(RequestState &State, const RequestEvent &Event,
                                RetryBudget &Budget, TimePoint Now) {
  StepContext Context{State, Budget, Now, {}};
  std::visit([&](const auto &Content) { handle(Context, Content); }, Event);
  return std::move(Context.Actions);
}

std::optional<TimePoint> nextTimer(const RequestState &State) {
  switch (State.Phase) {
  case RequestPhase::Done:
    return std::nullopt;
  case RequestPhase::Closing:
    return State.CloseBy;
  default:
    return State.Deadline;
  }
}

} // namespace marigoldyard
