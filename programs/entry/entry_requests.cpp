// Progress of requests: performs the actions of the request decision.
#include "programs/entry/entry.hpp"

#include "marigoldyard/transport/clock.hpp"
#include "programs/entry/answers.hpp"

namespace marigoldyard {

namespace {

/// Time after which work without an acknowledgement counts as unanswered. An
/// agent acknowledges on arrival, so a healthy one needs a round trip.
constexpr Duration AcknowledgementLimit = std::chrono::milliseconds(400);

bool matchesTry(const Message &Waiting, const std::string &Id,
                std::uint32_t Attempt) {
  if (const auto *Content = std::get_if<Work>(&Waiting.Content))
    return Content->Id.Request == Id && Content->Id.Attempt == Attempt;
  if (const auto *Content = std::get_if<OperationOpen>(&Waiting.Content))
    return Content->Request == Id;
  if (const auto *Content = std::get_if<OperationRun>(&Waiting.Content))
    return Content->Request == Id;
  return false;
}

AnswerHead headOf(const ActiveRequest &Active) {
  return {Active.Completion.Kind, Active.State.Id, Active.Product,
          std::chrono::duration_cast<std::chrono::seconds>(wallTime())};
}

Body bodyOf(const ActiveRequest &Active, const request_action::SendWork &Try) {
  const RequestState &State = Active.State;
  const auto Left =
      std::chrono::duration_cast<std::chrono::milliseconds>(Try.TimeLeft);
  if (State.Kind == RequestKind::OperationOpen)
    return OperationOpen{State.Id, Active.Service, Active.Caller};
  if (State.Kind == RequestKind::OperationRun)
    return OperationRun{State.Id, State.Operation, Active.Caller,
                        Active.RunBody, Left};
  Work Content;
  Content.Id = {State.Id, Try.Attempt};
  Content.Product = Active.Product;
  Content.Caller = Active.Caller;
  Content.Priority = Active.Priority;
  Content.Weights = Try.Weights;
  Content.Prompt = Active.Completion.Prompt;
  Content.MaxTokens = Active.Completion.MaxTokens;
  Content.EstimatedTokens = Active.EstimatedTokens;
  Content.TimeLeft = Left;
  return Content;
}

} // namespace

void Entry::begin(ActiveRequest Active) {
  const std::string Id = Active.State.Id;
  Base.record("request_admitted", Id, {}, {},
              {{"product", Active.Product},
               {"caller", Active.Caller},
               {"rank", std::string(rankName(Active.Priority))}});
  Active.Answer.onDisconnect([this, Id] {
    Base.Loop.tryPost(
        [this, Id] { feed(Id, request_event::CallerDisconnected{}); });
  });
  Requests.emplace(Id, std::move(Active));
  feed(Id, request_event::RequestAdmitted{});
}

void Entry::feed(const std::string &Id, RequestEvent Event) {
  const auto Found = Requests.find(Id);
  if (Found == Requests.end())
    return;
  ActiveRequest &Active = Found->second;
  std::vector<RequestEvent> Pending{std::move(Event)};
  for (std::size_t I = 0; I < Pending.size(); ++I) {
    const RequestEvent Current = std::move(Pending[I]);
    RetryBudget &Budget = Budgets[Active.Product];
    for (const RequestAction &Action :
         step(Active.State, Current, Budget, now()))
      perform(Active, Action, Pending);
  }
  if (Active.State.Phase == RequestPhase::Done)
    finished(Found);
  else
    armTimer(Id, Active);
}

void Entry::finished(RequestIterator Found) {
  settleTry(Found->second);
  recordWorkFinished(Departure);
  Requests.erase(Found);
}

void Entry::armTimer(const std::string &Id, ActiveRequest &Active) {
  const auto Due = nextTimer(Active.State);
  if (!Due || *Due == Active.TimerAt)
    return;
  Active.TimerAt = *Due;
  Base.Loop.at(*Due, [this, Id, At = *Due] {
    const auto Found = Requests.find(Id);
    if (Found != Requests.end() && Found->second.TimerAt == At)
      feed(Id, request_event::TimerFired{});
  });
}

void Entry::perform(ActiveRequest &Active, const RequestAction &Action,
                    std::vector<RequestEvent> &Next) {
  namespace action = request_action;
  if (const auto *Choice = std::get_if<action::ChooseEndpoint>(&Action)) {
    Next.push_back(choose(Active, *Choice));
  } else if (const auto *Try = std::get_if<action::SendWork>(&Action)) {
    sendTry(Active, *Try, Next);
  } else if (const auto *Back = std::get_if<action::WithdrawWork>(&Action)) {
    withdrawTry(Active, *Back, Next);
  } else if (const auto *Stop = std::get_if<action::CancelAttempt>(&Action)) {
    if (Active.State.Kind == RequestKind::Completion)
      Base.send(Stop->Peer, CancelWork{{Active.State.Id, Stop->Attempt}});
  } else if (const auto *Part = std::get_if<action::DeliverPiece>(&Action)) {
    deliver(Active, Part->Text, Next);
  } else if (const auto *Whole = std::get_if<action::FinishAnswer>(&Action)) {
    finishAnswer(Active, *Whole);
  } else if (const auto *Cut = std::get_if<action::AbortStream>(&Action)) {
    Active.Answer.write(sseProblem(makeProblem(Cut->Reason, Cut->Result)));
    Active.Answer.abort();
    countOutcome(Active, Cut->Result);
  } else if (const auto *Told = std::get_if<action::AnswerOutcome>(&Action)) {
    answerOutcome(Active, Told->Result, Told->Reason, Told->RetryAfter);
  }
}

void Entry::settleTry(ActiveRequest &Active) {
  if (Active.SentTo.empty())
    return;
  if (auto View = Views.find(Active.SentTo); View != Views.end())
    recordEnded(View->second, Active.Priority, Active.EstimatedTokens);
  Active.SentTo.clear();
}

void Entry::sendTry(ActiveRequest &Active, const request_action::SendWork &Try,
                    std::vector<RequestEvent> &Next) {
  settleTry(Active);
  const std::string &Id = Active.State.Id;
  // Recorded before the message takes its time, so that the time line shows
  // the cause first.
  Base.record(
      "work_sent", Id, Try.Peer, Try.Weights,
      {{"attempt", std::to_string(Try.Attempt)}, {"choice", Active.Choice}});
  if (!Base.send(Try.Peer, bodyOf(Active, Try))) {
    Next.emplace_back(request_event::WorkWithdrawn{Try.Attempt});
    return;
  }
  Active.SentTo = Try.Peer;
  Active.SentAttempt = Try.Attempt;
  Active.Acknowledged = false;
  if (auto View = Views.find(Try.Peer); View != Views.end())
    recordSent(View->second, Active.Priority, Active.EstimatedTokens);
  if (Active.State.Kind == RequestKind::Completion)
    watchAcknowledgement(Id, Try.Attempt);
}

void Entry::watchAcknowledgement(const std::string &Id, std::uint32_t Attempt) {
  Base.Loop.at(now() + AcknowledgementLimit, [this, Id, Attempt] {
    const auto Found = Requests.find(Id);
    if (Found == Requests.end() || Found->second.Acknowledged ||
        Found->second.SentAttempt != Attempt || Found->second.SentTo.empty())
      return;
    const std::string Peer = Found->second.SentTo;
    recordUnansweredWork(Base.Members, Peer, now());
    Base.record("work_unanswered", Id, Peer);
    loseTry(Id, Peer);
  });
}

// Withdraws the current try first, because only work that left may have run.
void Entry::loseTry(const std::string &Id, const std::string &Peer) {
  const auto Found = Requests.find(Id);
  if (Found == Requests.end())
    return;
  std::vector<RequestEvent> Proof;
  withdrawTry(Found->second, {Peer, Found->second.SentAttempt}, Proof);
  for (RequestEvent &Event : Proof)
    feed(Id, std::move(Event));
  feed(Id, request_event::PeerLost{Peer});
}

void Entry::withdrawTry(ActiveRequest &Active,
                        const request_action::WithdrawWork &Try,
                        std::vector<RequestEvent> &Next) {
  const std::size_t Removed =
      Base.withdraw(Try.Peer, [&](const Message &Waiting) {
        return matchesTry(Waiting, Active.State.Id, Try.Attempt);
      });
  if (Removed > 0)
    Next.emplace_back(request_event::WorkWithdrawn{Try.Attempt});
  else
    Next.emplace_back(request_event::WorkSent{Try.Attempt});
}

void Entry::deliver(ActiveRequest &Active, const std::string &Text,
                    std::vector<RequestEvent> &Next) {
  if (!Active.Started) {
    Active.Started = true;
    Active.Answer.start(sseHead(Active.Priority));
    Base.Numbers
        .histogram("marigoldyard_first_token_seconds",
                   "Time from arrival to the first token, by rank",
                   {{"rank", std::string(rankName(Active.Priority))}})
        .record(now() - Active.ArrivedAt);
  }
  if (!Active.Answer.write(sseChunk(headOf(Active), Text)))
    Next.emplace_back(request_event::CallerDisconnected{});
}

void Entry::finishAnswer(ActiveRequest &Active,
                         const request_action::FinishAnswer &Action) {
  const RequestState &State = Active.State;
  countOutcome(Active, Outcome::Complete);
  Base.record("request_complete", State.Id, Active.SentTo, State.Weights);
  if (State.Kind == RequestKind::OperationOpen) {
    Active.Answer.send(operationOpenedAnswer(Action.Text));
  } else if (State.Kind == RequestKind::OperationRun) {
    Active.Answer.send(operationAnswer(Action.HttpStatus, Action.Text));
  } else if (State.Streaming) {
    if (!Active.Started)
      Active.Answer.start(sseHead(Active.Priority));
    Active.Answer.write(sseChunk(headOf(Active), {}, "stop"));
    Active.Answer.write(std::string(SseDone));
    Active.Answer.finish();
  } else {
    Active.Answer.send(completionAnswer(headOf(Active), Action.Text,
                                        State.Stream.Weights, Active.Priority));
  }
}

void Entry::answerOutcome(ActiveRequest &Active, Outcome Result,
                          const Error &Reason,
                          std::chrono::milliseconds RetryAfter) {
  countOutcome(Active, Result);
  Base.record("request_" + std::string(outcomeName(Result)), Active.State.Id,
              Reason.Peer, {}, {{"reason", Reason.message()}});
  Active.Answer.send(
      problemAnswer(Result, Reason, RetryAfter, Active.State.Id));
}

void Entry::countOutcome(const ActiveRequest &Active, Outcome Result) {
  Base.Numbers
      .counter("marigoldyard_requests_total", "Requests by outcome",
               {{"product", Active.Product},
                {"rank", std::string(rankName(Active.Priority))},
                {"outcome", std::string(outcomeName(Result))}})
      .add();
}

} // namespace marigoldyard
