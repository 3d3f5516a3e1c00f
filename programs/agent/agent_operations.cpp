// Operations: calls of a plain service that run at most once.
#include "programs/agent/agent.hpp"

#include "marigoldyard/protocol/platform_api.hpp"
#include "marigoldyard/state/invariant.hpp"
#include "marigoldyard/transport/clock.hpp"

#include <algorithm>

namespace marigoldyard {

namespace {

constexpr std::uint64_t TokensPerRun = 1;
/// A service that refuses a call before it runs it answers 503 with this header
/// field.
constexpr const char *NotRunField = "x-not-run";

bool provedNotRun(const HttpResponse &Response) {
  constexpr unsigned Unavailable = 503;
  return Response.Status == Unavailable &&
         Response.Headers.contains(NotRunField);
}

} // namespace

void Agent::operationOpen(const Message &Incoming,
                          const OperationOpen &Content) {
  const AcceptedConfiguration *InForce = Base.configuration();
  const auto Refuse = [&](ErrorCode Reason) {
    Base.send(Incoming.Head.Sender,
              OperationOpened{Content.Request, {}, Reason});
  };
  if (leaving())
    return Refuse(ErrorCode::EndpointLeaving);
  if (InForce == nullptr || Settings.Kind != EndpointKind::Service)
    return Refuse(ErrorCode::NotReady);
  const auto Offered = servicesOfPool(InForce->Content, Settings.Pool);
  const bool Known =
      std::any_of(Offered.begin(), Offered.end(), [&](const auto &Each) {
        return Each.second->Name == Content.Service;
      });
  if (!Known)
    return Refuse(ErrorCode::NoEndpoint);
  const auto Opened =
      openOperation(Operations, Content.Caller, Content.Service);
  if (!Opened)
    return Refuse(ErrorCode::QueueFull);
  Base.record("operation_opened", Content.Request, Settings.Process.Name, {},
              {{"operation", *Opened}});
  Base.send(Incoming.Head.Sender,
            OperationOpened{Content.Request, *Opened, ErrorCode::NotReady});
}

void Agent::operationRun(const Message &Incoming, const OperationRun &Content) {
  const OperationWaiter Waiter{Incoming.Head.Sender, Content.Request};
  std::optional<ErrorCode> RefuseStart;
  if (leaving())
    RefuseStart = ErrorCode::EndpointLeaving;
  const RunDecision Decision = runOperation(
      Operations, Content.Operation, Content.Caller, Waiter, RefuseStart);
  if (Decision.Action == RunAction::Answer)
    return answerRun(Waiter, Content.Operation, Decision.Answer);
  if (Decision.Action == RunAction::Wait)
    return;
  const std::string Key = "operation " + Content.Operation;
  QueuedWork Item;
  Item.Id = Key;
  Item.Caller = Content.Caller;
  Item.Priority = Rank::Urgent;
  Item.AnswerTokens = TokensPerRun;
  Item.Deadline = now() + Content.TimeLeft;
  const EnqueueResult Queued = enqueue(Scheduler, Item, now());
  if (!Queued.Accepted) {
    finishRun(Content.Operation,
              {Outcome::NotRun,
               0,
               {},
               Queued.Refused ? Queued.Refused->Reason : ErrorCode::QueueFull});
    return;
  }
  Runs.emplace(Key, AgentRun{Content.Operation, Decision.Service, Content.Body,
                             Item.Deadline});
  refuseAll(Queued.Evicted);
  pump();
}

void Agent::startRun(const std::string &Key) {
  const AgentRun &Run = Runs.at(Key);
  checkInvariant(!leaving(), Invariant::NoWorkWhileLeaving, Step::OperationRun,
                 Settings.Process.Name);
  admitWork(Departure, now());
  Base.record("operation_started", {}, Settings.Process.Name, {},
              {{"operation", Run.Operation}});
  HttpCallRequest Call =
      endpointRequest("POST", "/run", serviceRunJson({Run.Operation, Run.Body}),
                      Step::OperationRun);
  Call.Limit = std::max<Duration>(Run.Deadline - now(), Duration(1));
  callEndpoint(std::move(Call), [this, Key](const HttpResult &Result) {
    runEnded(Key, Result);
  });
}

void Agent::runEnded(const std::string &Key, const HttpResult &Result) {
  const auto Found = Runs.find(Key);
  const std::string Operation = Found->second.Operation;
  Runs.erase(Found);
  finish(Scheduler, Key, TokensPerRun, now());
  recordWorkFinished(Departure);
  OperationAnswer Answer;
  if (const auto *Response = std::get_if<HttpResponse>(&Result)) {
    if (provedNotRun(*Response))
      Answer = {Outcome::NotRun, 0, {}, ErrorCode::NotReady};
    else
      Answer = {Outcome::Complete, Response->Status, Response->Body,
                ErrorCode::OperationUnknown};
  } else {
    const auto &Failure = std::get<HttpFailure>(Result);
    Answer.Result =
        Failure.RequestBytesSent ? Outcome::Unknown : Outcome::NotRun;
    Answer.Reason = Failure.RequestBytesSent ? ErrorCode::OperationUnknown
                                             : ErrorCode::PeerUnreachable;
    Base.Log.write("operation_call_failed", Failure.Cause);
  }
  finishRun(Operation, Answer);
  pump();
}

void Agent::finishRun(const std::string &Operation,
                      const OperationAnswer &Answer) {
  Base.record("operation_finished", {}, Settings.Process.Name, {},
              {{"operation", Operation},
               {"outcome", std::string(outcomeName(Answer.Result))}});
  for (const OperationWaiter &Waiter :
       finishOperation(Operations, Operation, Answer))
    answerRun(Waiter, Operation, Answer);
}

void Agent::answerRun(const OperationWaiter &Waiter,
                      const std::string &Operation,
                      const OperationAnswer &Answer) {
  Base.send(Waiter.Entry,
            OperationResult{Waiter.Request, Operation, Answer.Result,
                            Answer.Status, Answer.Body, Answer.Reason});
}

} // namespace marigoldyard
