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
  return static_cast<std::uint32_t>(State.Attempts.size());
}

/// Returns whether an event belongs to the current attempt and the attempt has
/// not ended.
bool isCurrent(const RequestState &State, std::string_view Peer,
               std::uint32_t Attempt) {
  if (State.Phase != RequestPhase::Queued &&
      State.Phase != RequestPhase::Sent && State.Phase != RequestPhase::Closing)
    return false;
  return Attempt == currentAttempt(State) && State.Attempts.back().Peer == Peer;
}

std::vector<AttemptStatus> attemptStatuses(const RequestState &State) {
  std::vector<AttemptStatus> Result;
  Result.reserve(State.Attempts.size());
  for (const AttemptRecord &Record : State.Attempts)
    Result.push_back(Record.CurrentStatus);
  return Result;
}

bool mayHaveRun(const RequestState &State) {
  return std::any_of(
      State.Attempts.begin(), State.Attempts.end(),
      [](const AttemptRecord &Record) { return !Record.ProvedNotRun; });
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
  std::vector<AttemptStatus> Statuses = attemptStatuses(State);
  Outcome Result = deriveOutcome(Statuses);
  bool Refused = std::find(Statuses.begin(), Statuses.end(),
                           AttemptStatus::Refused) != Statuses.end();
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
  Context.State.Attempts.back().CurrentStatus = AttemptStatus::Completed;
  Context.State.Attempts.back().MaybeSent = true;
  if (!Context.State.Abandoned)
    Context.Actions.emplace_back(
        action::FinishAnswer{std::move(Text), HttpStatus});
}

RetryInputs retryInputs(const StepContext &Context) {
  const RequestState &State = Context.State;
  RetryInputs Inputs;
  Inputs.LastAttempt = State.Attempts.back().CurrentStatus;
  Inputs.Reason = static_cast<ErrorCode>(State.LastError.Code.value());
  Inputs.Idempotent = isRepeatable(State);
  Inputs.Delivered = State.Streaming && State.DeliveredPieces > 0;
  Inputs.MayHaveRun = mayHaveRun(State);
  Inputs.Attempts = currentAttempt(State);
  Inputs.TimeLeft = State.Deadline - Context.Now;
  return Inputs;
}

void startSelection(StepContext &Context) {
  RequestState &State = Context.State;
  State.Phase = RequestPhase::Choosing;
  State.Collected.clear();
  action::ChooseEndpoint Selection;
  for (const AttemptRecord &Record : State.Attempts)
    Selection.Avoid.push_back(Record.Peer);
  Context.Actions.emplace_back(std::move(Selection));
}

/// Ends the current attempt, then retries or answers. An operation can run only
/// on the agent that issued its id, so it is never sent to another one.
void finishAttempt(StepContext &Context, AttemptStatus AttemptResult,
                   Error Reason) {
  RequestState &State = Context.State;
  State.Attempts.back().CurrentStatus = AttemptResult;
  State.LastError = std::move(Reason);
  bool IsFinal = State.Abandoned || State.Kind == RequestKind::OperationRun;
  if (!IsFinal) {
    RetryDecision Decision =
        decideRetry(Context.Budget, retryInputs(Context), Context.Now);
    if (Decision == RetryDecision::Retry) {
      startSelection(Context);
      return;
    }
    State.LastError.Detail += "; no retry: ";
    State.LastError.Detail += retryDecisionName(Decision);
  }
  answer(Context);
}

/// Records a proof that an attempt was not run. The proof may arrive after the
/// attempt was marked as lost.
void recordNotRunProof(StepContext &Context, std::uint32_t Attempt,
                       AttemptStatus AttemptResult, Error Reason) {
  RequestState &State = Context.State;
  AttemptRecord &Record = State.Attempts[Attempt - 1];
  if (isCurrent(State, Record.Peer, Attempt)) {
    Record.ProvedNotRun = true;
    finishAttempt(Context, AttemptResult, std::move(Reason));
  } else if (Record.CurrentStatus == AttemptStatus::Lost) {
    Record.ProvedNotRun = true;
    Record.CurrentStatus = AttemptResult;
  }
}

/// Returns the status of an attempt whose end was not observed. Received pieces
/// prove that it ran.
AttemptStatus unobservedStatus(const RequestState &State) {
  return State.Stream.NextSequence > 0 ? AttemptStatus::Failed
                                       : AttemptStatus::Lost;
}

/// Asks the agent to cancel an attempt. Operations are not cancelled, so that
/// the agent records their result.
void cancelAttempt(StepContext &Context, std::uint32_t Attempt) {
  const RequestState &State = Context.State;
  if (State.Kind == RequestKind::Completion)
    Context.Actions.emplace_back(
        action::CancelAttempt{State.Attempts[Attempt - 1].Peer, Attempt});
}

/// Enters the Closing phase and waits for proof that the work was not run: the
/// outbox may still withdraw it, or the agent may report that it did not start.
void startClosing(StepContext &Context, Error Reason) {
  RequestState &State = Context.State;
  const AttemptRecord &Record = State.Attempts.back();
  std::uint32_t Attempt = currentAttempt(State);
  State.Phase = RequestPhase::Closing;
  State.ClosingDeadline = Context.Now + ClosingGrace;
  State.LastError = std::move(Reason);
  if (!Record.MaybeSent)
    Context.Actions.emplace_back(action::WithdrawWork{Record.Peer, Attempt});
  else
    cancelAttempt(Context, Attempt);
}

void handle(StepContext &Context, const event::RequestAdmitted &) {
  if (Context.State.Phase != RequestPhase::Choosing ||
      !Context.State.Attempts.empty())
    return;
  recordFirstAttempt(Context.Budget, Context.Now);
  startSelection(Context);
}

/// Ends a request whose deadline has passed. An attempt in progress goes
/// through the Closing phase first.
void handleDeadline(StepContext &Context) {
  RequestState &State = Context.State;
  std::string Peer = State.Attempts.empty() ? "" : State.Attempts.back().Peer;
  Error Reason{ErrorCode::DeadlineExceeded, Step::Routing, Peer,
               "the deadline passed"};
  if (State.Phase == RequestPhase::Choosing) {
    State.LastError = std::move(Reason);
    answer(Context);
    return;
  }
  Reason.At = State.Phase == RequestPhase::Queued ? Step::Send
              : State.Stream.NextSequence == 0    ? Step::Queue
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
  State.Attempts.push_back({Chosen.Peer, AttemptStatus::Running, false, false});
  State.Stream = makeStreamState(State.Id, currentAttempt(State), State.Weights,
                                 Chosen.Peer);
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
  if (State.Attempts.empty())
    State.LastError = {Reason.Reason, Step::Routing, "",
                       "no endpoint can take the request"};
  State.RetryAfter = std::max(State.RetryAfter, Reason.RetryAfter);
  answer(Context);
}

void handle(StepContext &Context, const event::WorkSent &Left) {
  RequestState &State = Context.State;
  if (Left.Attempt == 0 || Left.Attempt > State.Attempts.size())
    return;
  AttemptRecord &Record = State.Attempts[Left.Attempt - 1];
  Record.MaybeSent = true;
  // Work that was sent after its attempt was marked as lost is cancelled, since
  // its answer would not be used.
  if (!isCurrent(State, Record.Peer, Left.Attempt)) {
    if (Record.CurrentStatus == AttemptStatus::Lost)
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
  if (Withdrawn.Attempt == 0 || Withdrawn.Attempt > State.Attempts.size())
    return;
  if (State.Attempts[Withdrawn.Attempt - 1].MaybeSent)
    return;
  // In the Closing phase the error that caused it is kept. Otherwise the daemon
  // withdrew the work because it could not reach the agent.
  Error Reason = State.LastError;
  if (State.Phase != RequestPhase::Closing)
    Reason = Error{ErrorCode::PeerUnreachable, Step::Send,
                   State.Attempts[Withdrawn.Attempt - 1].Peer,
                   "the work was withdrawn before it was sent"};
  recordNotRunProof(Context, Withdrawn.Attempt, AttemptStatus::Withdrawn,
                    std::move(Reason));
}

/// Records that the agent has received the work, which any message about the
/// attempt proves.
void markReceived(RequestState &State) {
  State.Attempts.back().MaybeSent = true;
  if (State.Phase == RequestPhase::Queued)
    State.Phase = RequestPhase::Sent;
}

void handle(StepContext &Context, const event::Accepted &Accepted) {
  if (isCurrent(Context.State, Accepted.Peer, Accepted.Attempt))
    markReceived(Context.State);
}

void handle(StepContext &Context, const event::Refused &Refused) {
  RequestState &State = Context.State;
  if (Refused.Attempt == 0 || Refused.Attempt > State.Attempts.size())
    return;
  if (State.Attempts[Refused.Attempt - 1].Peer != Refused.Peer)
    return;
  Error Reason{Refused.Reason, Step::Queue, Refused.Peer,
               "the agent refused the work"};
  if (isCurrent(State, Refused.Peer, Refused.Attempt)) {
    markReceived(State);
    State.RetryAfter = Refused.RetryAfter;
    // A refusal after pieces contradicts them, so it does not prove that the
    // work was not run.
    if (State.Stream.NextSequence > 0) {
      finishAttempt(Context, AttemptStatus::Failed, std::move(Reason));
      return;
    }
  }
  recordNotRunProof(Context, Refused.Attempt, AttemptStatus::Refused,
                    std::move(Reason));
}

void handle(StepContext &Context, const event::Failed &Failed) {
  RequestState &State = Context.State;
  if (!isCurrent(State, Failed.Peer, Failed.Attempt))
    return;
  markReceived(State);
  finishAttempt(Context, AttemptStatus::Failed,
                {Failed.Reason, Failed.At, Failed.Peer, "the work failed"});
}

void failStream(StepContext &Context, StreamFault Fault) {
  RequestState &State = Context.State;
  cancelAttempt(Context, currentAttempt(State));
  finishAttempt(Context, AttemptStatus::Failed,
                streamError(State.Stream, Fault));
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
  StreamCheckResult Check = checkPiece(State.Stream, Arrived.Piece);
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
  StreamCheckResult Check = checkEnd(State.Stream, Arrived.End);
  if (Check.Verdict == StreamVerdict::Ignore)
    return;
  markReceived(State);
  if (Check.Verdict == StreamVerdict::Fail) {
    failStream(Context, Check.Fault);
    return;
  }
  bool IsComplete = State.Streaming
                        ? State.DeliveredPieces == State.Stream.NextSequence
                        : State.Collected.size() == State.Stream.AcceptedBytes;
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
  recordNotRunProof(Context, currentAttempt(State), AttemptStatus::Refused,
                    {Opened.Reason, Step::OperationOpen, Opened.Peer,
                     "the agent opened no operation"});
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
               "the operation has no complete result"};
  if (Answer.Result == Outcome::NotRun)
    recordNotRunProof(Context, currentAttempt(State), AttemptStatus::Refused,
                      std::move(Reason));
  else
    finishAttempt(Context,
                  Answer.Result == Outcome::Failed ? AttemptStatus::Failed
                                                   : AttemptStatus::Lost,
                  std::move(Reason));
}

void handle(StepContext &Context, const event::PeerLost &Lost) {
  RequestState &State = Context.State;
  if (!isCurrent(State, Lost.Peer, currentAttempt(State)))
    return;
  Error Reason{ErrorCode::PeerUnreachable, Step::Send, Lost.Peer,
               "the connection to the agent was lost"};
  if (!State.Attempts.back().MaybeSent) {
    if (State.Phase == RequestPhase::Queued)
      startClosing(Context, std::move(Reason));
    return;
  }
  // A suspected peer may still be alive; cancelling frees its capacity.
  cancelAttempt(Context, currentAttempt(State));
  finishAttempt(Context, unobservedStatus(State), std::move(Reason));
}

void handle(StepContext &Context, const event::CallerDisconnected &) {
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
    return State.ClosingDeadline;
  default:
    return State.Deadline;
  }
}

} // namespace marigoldyard
