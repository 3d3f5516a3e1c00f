#include "marigoldyard/coordination/request.hpp"

#include "marigoldyard/state/fault_switch.hpp"
#include "marigoldyard/state/invariant.hpp"

#include <algorithm>
#include <utility>

namespace marigoldyard {

namespace {

namespace event = request_event;
namespace action = request_action;

/// One call of step: the request, its surroundings and the actions so far.
struct StepContext {
  RequestState &State;
  RetryBudget &Budget;
  TimePoint Now;
  std::vector<RequestAction> Actions;
};

std::uint32_t currentAttempt(const RequestState &State) {
  return static_cast<std::uint32_t>(State.Tries.size());
}

/// Whether an event is about the current, unsettled try.
bool isCurrent(const RequestState &State, std::string_view Peer,
               std::uint32_t Attempt) {
  if (State.Phase != RequestPhase::Queued &&
      State.Phase != RequestPhase::Sent && State.Phase != RequestPhase::Closing)
    return false;
  return Attempt == currentAttempt(State) && State.Tries.back().Peer == Peer;
}

std::vector<TryFate> fates(const RequestState &State) {
  std::vector<TryFate> Result;
  Result.reserve(State.Tries.size());
  for (const TryRecord &Try : State.Tries)
    Result.push_back(Try.Fate);
  return Result;
}

bool mayHaveRun(const RequestState &State) {
  return std::any_of(State.Tries.begin(), State.Tries.end(),
                     [](const TryRecord &Try) { return !Try.Proved; });
}

/// Whether a second run does no harm. Opening an operation twice only leaves an
/// unused id behind.
bool mayRepeat(const RequestState &State) {
  return State.Kind == RequestKind::OperationOpen ||
         (State.Kind == RequestKind::Completion && State.Idempotent);
}

/// Outcome that the tries allow. That this entry did not send an operation does
/// not prove that it never ran: the caller may have asked another entry before.
/// Only the agent that issued the id can prove it.
Outcome claim(const RequestState &State) {
  std::vector<TryFate> Fates = fates(State);
  Outcome Result = claimOutcome(Fates);
  bool Refused =
      std::find(Fates.begin(), Fates.end(), TryFate::Refused) != Fates.end();
  if (State.Kind == RequestKind::OperationRun && Result == Outcome::NotRun &&
      !Refused)
    return Outcome::Unknown;
  return Result;
}

/// Answers with the outcome that the tries allow.
void answer(StepContext &Context) {
  RequestState &State = Context.State;
  State.Phase = RequestPhase::Done;
  if (State.Abandoned)
    return;
  Outcome Result = claim(State);
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

void finish(StepContext &Context, std::string Text, std::uint32_t Status) {
  Context.State.Phase = RequestPhase::Done;
  Context.State.Tries.back().Fate = TryFate::Completed;
  Context.State.Tries.back().MaySent = true;
  if (!Context.State.Abandoned)
    Context.Actions.emplace_back(action::FinishAnswer{std::move(Text), Status});
}

RetryQuestion question(const StepContext &Context) {
  const RequestState &State = Context.State;
  RetryQuestion Question;
  Question.LastTry = State.Tries.back().Fate;
  Question.Reason = static_cast<ErrorCode>(State.LastError.Code.value());
  Question.Idempotent = mayRepeat(State);
  Question.Delivered = State.Streaming && State.DeliveredPieces > 0;
  Question.MaybeRun = mayHaveRun(State);
  Question.Tries = currentAttempt(State);
  Question.TimeLeft = State.Deadline - Context.Now;
  return Question;
}

void choose(StepContext &Context) {
  RequestState &State = Context.State;
  State.Phase = RequestPhase::Choosing;
  State.Collected.clear();
  action::ChooseEndpoint Choice;
  for (const TryRecord &Try : State.Tries)
    Choice.Avoid.push_back(Try.Peer);
  Context.Actions.emplace_back(std::move(Choice));
}

/// Settles the current try, then retries or answers. An operation is bound to
/// its agent, so it is never sent elsewhere.
void settle(StepContext &Context, TryFate Fate, Error Reason) {
  RequestState &State = Context.State;
  State.Tries.back().Fate = Fate;
  State.LastError = std::move(Reason);
  bool Final = State.Abandoned || State.Kind == RequestKind::OperationRun;
  if (!Final) {
    RetryVerdict Verdict =
        decideRetry(Context.Budget, question(Context), Context.Now);
    if (Verdict == RetryVerdict::Retry) {
      choose(Context);
      return;
    }
    State.LastError.Detail += "; no retry: ";
    State.LastError.Detail += retryVerdictName(Verdict);
  }
  answer(Context);
}

/// Notes a proof that a try was not run. It may arrive after the try was given
/// up as lost.
void noteProof(StepContext &Context, std::uint32_t Attempt, TryFate Fate,
               Error Reason) {
  RequestState &State = Context.State;
  TryRecord &Try = State.Tries[Attempt - 1];
  if (isCurrent(State, Try.Peer, Attempt)) {
    Try.Proved = true;
    settle(Context, Fate, std::move(Reason));
  } else if (Try.Fate == TryFate::Lost) {
    Try.Proved = true;
    Try.Fate = Fate;
  }
}

/// Fate of a try whose end was not observed. Pieces show that it ran.
TryFate unobservedFate(const RequestState &State) {
  return State.Stream.Next > 0 ? TryFate::Failed : TryFate::Lost;
}

/// Asks the agent to stop a try. An operation runs on, so that its result is
/// recorded.
void cancel(StepContext &Context, std::uint32_t Attempt) {
  const RequestState &State = Context.State;
  if (State.Kind == RequestKind::Completion)
    Context.Actions.emplace_back(
        action::CancelTry{State.Tries[Attempt - 1].Peer, Attempt});
}

/// Waits for proof: the outbox may still withdraw the work, and the agent may
/// report that it did not start.
void close(StepContext &Context, Error Reason) {
  RequestState &State = Context.State;
  const TryRecord &Try = State.Tries.back();
  std::uint32_t Attempt = currentAttempt(State);
  State.Phase = RequestPhase::Closing;
  State.CloseBy = Context.Now + ClosingGrace;
  State.LastError = std::move(Reason);
  if (!Try.MaySent)
    Context.Actions.emplace_back(action::WithdrawWork{Try.Peer, Attempt});
  else
    cancel(Context, Attempt);
}

void handle(StepContext &Context, const event::Begun &) {
  if (Context.State.Phase != RequestPhase::Choosing ||
      !Context.State.Tries.empty())
    return;
  noteFirstTry(Context.Budget, Context.Now);
  choose(Context);
}

/// Ends a request whose deadline passed; a try in progress is closed first.
void expire(StepContext &Context) {
  RequestState &State = Context.State;
  std::string Peer = State.Tries.empty() ? "" : State.Tries.back().Peer;
  Error Reason{ErrorCode::DeadlineExceeded, Step::Routing, Peer,
               "the deadline passed"};
  if (State.Phase == RequestPhase::Choosing) {
    State.LastError = std::move(Reason);
    answer(Context);
    return;
  }
  Reason.At = State.Phase == RequestPhase::Queued ? Step::Send
              : State.Stream.Next == 0            ? Step::Queue
                                                  : Step::Generate;
  close(Context, std::move(Reason));
}

void handle(StepContext &Context, const event::EndpointChosen &Chosen) {
  RequestState &State = Context.State;
  if (State.Phase != RequestPhase::Choosing)
    return;
  if (Context.Now >= State.Deadline) {
    expire(Context);
    return;
  }
  checkInvariant(mayRepeat(State) || !mayHaveRun(State), Invariant::AtMostOnce,
                 Step::Send, Chosen.Peer);
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
  // The reason of an earlier try says more than that no other is left.
  if (State.Tries.empty())
    State.LastError = {Reason.Reason, Step::Routing, "",
                       "no endpoint can take the request"};
  State.RetryAfter = std::max(State.RetryAfter, Reason.RetryAfter);
  answer(Context);
}

void handle(StepContext &Context, const event::WorkLeft &Left) {
  RequestState &State = Context.State;
  if (Left.Attempt == 0 || Left.Attempt > State.Tries.size())
    return;
  TryRecord &Try = State.Tries[Left.Attempt - 1];
  Try.MaySent = true;
  // Work that left after it was given up is of no use to anyone.
  if (!isCurrent(State, Try.Peer, Left.Attempt)) {
    if (Try.Fate == TryFate::Lost)
      cancel(Context, Left.Attempt);
    return;
  }
  if (State.Phase == RequestPhase::Queued)
    State.Phase = RequestPhase::Sent;
  else
    cancel(Context, Left.Attempt);
}

void handle(StepContext &Context, const event::WorkWithdrawn &Withdrawn) {
  RequestState &State = Context.State;
  if (Withdrawn.Attempt == 0 || Withdrawn.Attempt > State.Tries.size())
    return;
  if (State.Tries[Withdrawn.Attempt - 1].MaySent)
    return;
  // Closing has noted its reason. Without it, LastError is that of an earlier
  // try, or none.
  Error Reason = State.LastError;
  if (State.Phase != RequestPhase::Closing)
    Reason = {ErrorCode::PeerUnreachable, Step::Send,
              State.Tries[Withdrawn.Attempt - 1].Peer,
              "the work was not sent to the agent"};
  noteProof(Context, Withdrawn.Attempt, TryFate::Withdrawn, std::move(Reason));
}

/// Notes that the agent has the work, as a message from it shows.
void noteArrived(RequestState &State) {
  State.Tries.back().MaySent = true;
  if (State.Phase == RequestPhase::Queued)
    State.Phase = RequestPhase::Sent;
}

void handle(StepContext &Context, const event::Accepted &Accepted) {
  if (isCurrent(Context.State, Accepted.Peer, Accepted.Attempt))
    noteArrived(Context.State);
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
    noteArrived(State);
    State.RetryAfter = Refused.RetryAfter;
    // A refusal after pieces contradicts them and proves nothing.
    if (State.Stream.Next > 0) {
      settle(Context, TryFate::Failed, std::move(Reason));
      return;
    }
  }
  noteProof(Context, Refused.Attempt, TryFate::Refused, std::move(Reason));
}

void handle(StepContext &Context, const event::Failed &Failed) {
  RequestState &State = Context.State;
  if (!isCurrent(State, Failed.Peer, Failed.Attempt))
    return;
  noteArrived(State);
  settle(Context, TryFate::Failed,
         {Failed.Reason, Failed.At, Failed.Peer, "the work failed"});
}

void failStream(StepContext &Context, StreamFault Fault) {
  RequestState &State = Context.State;
  cancel(Context, currentAttempt(State));
  settle(Context, TryFate::Failed, streamError(State.Stream, Fault));
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
  noteArrived(State);
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
  noteArrived(State);
  if (Check.Verdict == StreamVerdict::Fail) {
    failStream(Context, Check.Fault);
    return;
  }
  bool Whole = State.Streaming ? State.DeliveredPieces == State.Stream.Next
                               : State.Collected.size() == State.Stream.Bytes;
  checkInvariant(Whole, Invariant::WholeAnswer, Step::Deliver, Arrived.Peer);
  finish(Context, std::move(State.Collected), 0);
}

void handle(StepContext &Context, const event::Opened &Opened) {
  RequestState &State = Context.State;
  if (State.Kind != RequestKind::OperationOpen ||
      !isCurrent(State, Opened.Peer, currentAttempt(State)))
    return;
  noteArrived(State);
  if (!Opened.Operation.empty()) {
    finish(Context, Opened.Operation, 0);
    return;
  }
  noteProof(Context, currentAttempt(State), TryFate::Refused,
            {Opened.Reason, Step::OperationOpen, Opened.Peer,
             "the agent opened no operation"});
}

void handle(StepContext &Context, const event::OperationAnswered &Answered) {
  RequestState &State = Context.State;
  if (State.Kind != RequestKind::OperationRun ||
      Answered.Operation != State.Operation ||
      !isCurrent(State, Answered.Peer, currentAttempt(State)))
    return;
  noteArrived(State);
  const OperationAnswer &Answer = Answered.Answer;
  if (Answer.Result == Outcome::Complete) {
    finish(Context, Answer.Body, Answer.Status);
    return;
  }
  Error Reason{Answer.Reason, Step::OperationResult, Answered.Peer,
               "the operation has no complete result"};
  if (Answer.Result == Outcome::NotRun)
    noteProof(Context, currentAttempt(State), TryFate::Refused,
              std::move(Reason));
  else
    settle(Context,
           Answer.Result == Outcome::Failed ? TryFate::Failed : TryFate::Lost,
           std::move(Reason));
}

void handle(StepContext &Context, const event::PeerLost &Lost) {
  RequestState &State = Context.State;
  if (!isCurrent(State, Lost.Peer, currentAttempt(State)))
    return;
  Error Reason{ErrorCode::PeerUnreachable, Step::Send, Lost.Peer,
               "the connection to the agent was lost"};
  if (!State.Tries.back().MaySent) {
    if (State.Phase == RequestPhase::Queued)
      close(Context, std::move(Reason));
    return;
  }
  // The peer may only be suspected; a cancel that reaches it saves its work.
  cancel(Context, currentAttempt(State));
  settle(Context, unobservedFate(State), std::move(Reason));
}

void handle(StepContext &Context, const event::CallerLeft &) {
  RequestState &State = Context.State;
  if (State.Phase == RequestPhase::Done)
    return;
  State.Abandoned = true;
  if (State.Phase == RequestPhase::Choosing)
    answer(Context);
  else if (State.Phase != RequestPhase::Closing)
    close(Context, {ErrorCode::Cancelled, Step::Deliver, "",
                    "the caller closed its connection"});
}

void handle(StepContext &Context, const event::TimerFired &) {
  RequestState &State = Context.State;
  if (State.Phase == RequestPhase::Done || Context.Now < *nextTimer(State))
    return;
  if (State.Phase == RequestPhase::Closing) {
    settle(Context, unobservedFate(State), State.LastError);
    return;
  }
  expire(Context);
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
