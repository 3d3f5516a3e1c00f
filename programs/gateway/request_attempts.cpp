#include "marigoldyard/transport/clock.hpp"
#include "programs/gateway/request_run.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>
#include <utility>

namespace marigoldyard {

namespace net = boost::asio;
using std::chrono::milliseconds;

namespace {

/// Longest idle time of a connection for a request that must run at most once.
/// Such a request cannot be retried when the server closes the connection while
/// it is sent, so old connections are not reused.
constexpr Duration MaxAtMostOnceIdleAge = std::chrono::seconds(1);
/// Shortest wait for the first event before a stream is sent to another server
/// too; callers disconnect after two seconds or more.
constexpr milliseconds MinFirstEventTimeout{1200};
/// Shortest wait between events before a stream is sent to another server too.
constexpr milliseconds MinGapTimeout{1000};
/// A request that waits at a busy server is sent to another one too this long
/// before its caller leaves, so that the other one can still begin.
constexpr milliseconds AbandonMargin{400};
/// Shortest time without an event after which a stream stays at its server
/// because the other one has not begun. The prefill at a busy server takes most
/// of it, and callers disconnect after two seconds or more.
constexpr milliseconds MinMoveTime{600};
/// A request without a response is sent to another server after this many
/// target latencies, a silent stream after as many target gaps.
constexpr int TimeoutTargetMultiple = 3;

/// Turns a response other than a stream into a failure, because it is neither
/// the rest of a stream that has begun nor its end.
void discardResponse(ExchangeResult &Result) {
  Result.Fate = AttemptStatus::Failed;
  Result.Reason = ErrorCode::EndpointFailed;
  Result.Detail = fmt::format("status {} instead of the rest of the stream",
                              Result.Response->Status);
  Result.Response.reset();
}

/// Counts a check while it runs.
class CountedCheck {
public:
  explicit CountedCheck(std::uint32_t &Number) : Running(Number) { ++Running; }
  ~CountedCheck() { --Running; }
  CountedCheck(const CountedCheck &) = delete;
  CountedCheck &operator=(const CountedCheck &) = delete;

private:
  std::uint32_t &Running;
};

} // namespace

ExchangeLimits RequestRun::exchangeLimits(RequestAttempt &Attempt) {
  ExchangeLimits Limits;
  Limits.Deadline = Deadline - ResponseMargin;
  Limits.MaxIdleAge = Duration::max();
  Limits.GapTimeout =
      std::max(Duration(MinGapTimeout),
               TimeoutTargetMultiple * MatchedRoute->TargetEventGap);
  if (MatchedRoute->AllowedRetries != RetryPolicy::AtMostOnce) {
    Limits.OnSilence = [this, &Attempt](bool New) {
      handleSilence(Attempt, New);
    };
    Limits.SilentUntil = [this] { return answerBy(); };
  }
  switch (MatchedRoute->AllowedRetries) {
  case RetryPolicy::AtMostOnce:
    Limits.FirstByteTimeout = Duration(std::chrono::hours(1));
    Limits.MaxIdleAge = MaxAtMostOnceIdleAge;
    Limits.GapTimeout = Limits.FirstByteTimeout;
    break;
  case RetryPolicy::Idempotent:
    Limits.FirstByteTimeout =
        TimeoutTargetMultiple * MatchedRoute->TargetLatency;
    break;
  case RetryPolicy::Resumable:
    Limits.FirstByteTimeout =
        std::max(Duration(MinFirstEventTimeout),
                 TimeoutTargetMultiple * MatchedRoute->TargetLatency);
    // Another busy server would let the request wait from the start again.
    Limits.IsWaiting = [this, &Attempt] {
      return !HeadForwarded &&
             isBusy(Owner.servers(), Attempt.Server.Id, now());
    };
    Limits.MaxWaitUntil = ArrivalTime + callerTimeout() - AbandonMargin;
    break;
  }
  return Limits;
}

platform::RequestMessage
RequestRun::buildServerRequest(const RequestAttempt &Attempt) const {
  platform::ServerRequest Content;
  Content.ServerId = Attempt.Server.Id;
  Content.Customer =
      RequestCustomer != nullptr ? RequestCustomer->Name : std::string();
  Content.TimeLeft = std::max(Duration::zero(), timeLeft());
  Content.Priority =
      HeadForwarded ? 0 : requestPriority(*MatchedRoute, RequestCustomer);
  Content.ResumeAfter = Attempt.Order.Last;
  // A server that has other weights than it is believed to have refuses.
  if (HeadForwarded)
    Content.RequiredVersion = Version;
  else if (Attempt.LoadedVersion != 0)
    Content.RequiredVersion = Attempt.LoadedVersion;
  return platform::buildServerRequest(Request, Content);
}

RequestAttempt &RequestRun::beginAttempt(const std::string &Id) {
  const ServerState &Server = Owner.servers().Servers.at(Id);
  TriedServers.insert(Id);
  LastServer = Id;
  addAttempt(Concurrent, ++Attempts);
  auto OnResponseHead =
      [this, Record = Server.Record](const platform::ServerResponse &Head) {
        if (Head.Load)
          recordReportedLoad(Owner.servers(), Record.Id,
                             Head.Load->Running + Head.Load->Waiting);
        Owner.handleNotice(Record, {Head.Leaving, Head.RefusesFor});
      };
  return Running.emplace_back(
      Attempts, Server.Record, loadedVersion(Server, RequestInfo.Model), Order,
      Owner.node().Context, Owner.node().Timeouts, Owner.connections(),
      Owner.responseMemory(), std::move(OnResponseHead));
}

net::awaitable<void> RequestRun::runAttempt(RequestAttempt &Attempt) {
  try {
    co_await completeAttempt(Attempt);
  } catch (const std::exception &Cause) {
    Owner.node().Log.write(
        {.Level = LogLevel::Error,
         .Event = "attempt_failed",
         .At = Step::Send,
         .Request = RequestInfo.Id,
         .Fields = {{"server", Attempt.Server.Id}, {"cause", Cause.what()}}});
  }
  endAttempt(Attempt);
}

net::awaitable<void> RequestRun::completeAttempt(RequestAttempt &Attempt) {
  ExchangeResult Result = co_await sendTo(Attempt);
  endStartWatch(Attempt);
  if (isLeaving(Owner.servers(), Attempt.Server.Id))
    Owner.connections().closeAll(Attempt.Server.Address);
  if (HeadForwarded && Result.Response)
    discardResponse(Result);
  const bool Counts = isCandidate(Concurrent, Attempt.Number);
  const bool Decides = Counts && decidesRequest(Result);
  if (Decides) {
    chooseAttempt(Concurrent, Attempt.Number);
    stopSuperseded();
  } else {
    removeAttempt(Concurrent, Attempt.Number);
    releaseLastCandidate();
  }
  recordAttempt(Attempt, Result);
  co_await recordCrashOutcome(Attempt, Result);
  if (Decides)
    co_await forwardHeld(Attempt); // a failed write ends the session
  if (Counts)
    keepResult(std::move(Result));
}

bool RequestRun::decidesRequest(const ExchangeResult &Result) const {
  if (Result.Fate != AttemptStatus::Completed)
    return false;
  // The other server may still serve what this one rejected.
  const bool Succeeded = !Result.Response || Result.Response->Status / 100 == 2;
  return Succeeded || Concurrent.Candidates.size() == 1;
}

void RequestRun::releaseLastCandidate() {
  if (Concurrent.Candidates.size() != 1)
    return;
  for (RequestAttempt &Each : Running)
    if (isCandidate(Concurrent, Each.Number))
      Each.Exchange.release();
}

net::awaitable<ExchangeResult> RequestRun::sendTo(RequestAttempt &Attempt) {
  const ServerRecord &Server = Attempt.Server;
  const platform::RequestMessage Outgoing = buildServerRequest(Attempt);
  StreamReceiver Receiver = streamReceiver(Attempt);
  // The start of a buffered response is not visible, and work that runs at most
  // once must not be cut off after it.
  const bool CanWithdraw =
      MatchedRoute->IsStreaming ||
      MatchedRoute->AllowedRetries != RetryPolicy::AtMostOnce;
  if (Server.Weights && CanWithdraw)
    Attempt.StartTicket = Owner.watchStart(
        {Server.Id, RequestInfo.Model, Attempt.LoadedVersion, Attempt.SentAt,
         [&Attempt] { Attempt.Exchange.stop(StopCause::VersionOutOfUse); }});
  const ExchangeLimits Limits = exchangeLimits(Attempt);
  ExchangeResult Result = co_await Attempt.Exchange.run(
      Outgoing, Server.Address, RequestInfo.Id, Limits,
      MatchedRoute->IsStreaming ? &Receiver : nullptr);
  co_return Result;
}

void RequestRun::keepResult(ExchangeResult Result) {
  // A check for a crash may let an attempt that failed end last. What a server
  // answered tells the caller more than a lost connection.
  const bool Better = Result.Fate == AttemptStatus::Completed ||
                      (LastResult.Fate != AttemptStatus::Completed &&
                       (!LastResult.Response || Result.Response));
  if (Better)
    LastResult = std::move(Result);
}

void RequestRun::endAttempt(RequestAttempt &Attempt) {
  // These have an effect only after an exception.
  endStartWatch(Attempt);
  releasePlace(Attempt);
  removeAttempt(Concurrent, Attempt.Number);
  std::erase_if(Running, [&Attempt](const RequestAttempt &Each) {
    return Each.Number == Attempt.Number;
  });
  if (Running.empty() && AttemptsEnded != nullptr)
    AttemptsEnded->cancel();
}

net::awaitable<void> RequestRun::runAttempts(const std::string &Id) {
  LastResult = {};
  ServerCrashed = false;
  RequestAttempt &First = beginAttempt(Id);
  co_await runAttempt(First);
  co_await awaitAttempts();
}

net::awaitable<void> RequestRun::awaitAttempts() {
  if (Running.empty())
    co_return;
  net::steady_timer Ended(Owner.node().Context,
                          net::steady_timer::time_point::max());
  AttemptsEnded = &Ended;
  boost::system::error_code Ignored; // the wait ends only by cancellation
  co_await Ended.async_wait(net::redirect_error(net::use_awaitable, Ignored));
  AttemptsEnded = nullptr;
}

void RequestRun::stopSuperseded() {
  for (RequestAttempt &Each : Running)
    if (!isCandidate(Concurrent, Each.Number))
      Each.Exchange.stop(StopCause::OtherServerAnswers);
}

void RequestRun::stopAttempts(StopCause Cause) {
  for (RequestAttempt &Each : Running)
    Each.Exchange.stop(Cause);
}

void RequestRun::recordAttempt(RequestAttempt &Attempt,
                               const ExchangeResult &Result) {
  const std::string &Id = Attempt.Server.Id;
  AttemptOutcomes.push_back(Result.Fate);
  if (Result.Health)
    recordServerOutcome(Owner.servers(), Id, *Result.Health, now());
  if (Result.Fate == AttemptStatus::Completed)
    recordServed(Owner.servers(), Id);
  else if (Result.Fate == AttemptStatus::Refused &&
           Result.Reason == ErrorCode::WrongWeights)
    recordContradiction(Owner.servers(), Id, now());
  logSend(Attempt, Result);
  releasePlace(Attempt);
}

net::awaitable<void>
RequestRun::recordCrashOutcome(RequestAttempt &Attempt,
                               const ExchangeResult &Result) {
  // A rejection by the server, such as 400, is no sign that a request began.
  const bool Served = Attempt.EventReads > 0 ||
                      (Result.Response && Result.Response->Status / 100 == 2);
  if (Result.Fate == AttemptStatus::Completed && Served) {
    Owner.recordBegun(RequestInfo.SharedParts);
    if (!Owner.crashingRequests().Requests.empty())
      Owner.recordCompleted(contentDigest());
  }
  // A server that leaves without a notice loses its record before it ends.
  const ServerRecord &Server = Attempt.Server;
  const bool MayHaveLeft = isLeaving(Owner.servers(), Server.Id) ||
                           !Owner.servers().Servers.contains(Server.Id);
  const bool WasSent = Result.Fate == AttemptStatus::Lost &&
                       Result.Reason != ErrorCode::PeerUnreachable;
  if (!WasSent || MayHaveLeft)
    co_return;
  Gateway::LostRequest Lost;
  Lost.Id = RequestInfo.Id;
  Lost.Content = contentDigest();
  Lost.Server = Server.Address;
  Lost.StartedAtMs = Server.StartedAtMs;
  Lost.ServerRun = serverRunName(Server.Id, Server.StartedAtMs);
  Lost.SentAt = Attempt.SentAt;
  Lost.SentTime =
      wallTime() - std::chrono::duration_cast<std::chrono::microseconds>(
                       now() - Attempt.SentAt);
  const bool HasBegun = Attempt.EventReads >= EventReadsToBegin;
  // A server that crashes on a part of a prompt does so before it answers.
  if (!HasBegun)
    Lost.Parts = RequestInfo.SharedParts;
  if (Result.Reason != ErrorCode::StreamIncomplete) {
    if (!HasBegun)
      Owner.watchForRestart(std::move(Lost));
    co_return;
  }
  if (HasBegun) {
    net::co_spawn(Owner.node().Context, Owner.checkForCrash(std::move(Lost)),
                  net::detached);
    co_return;
  }
  const CountedCheck Check(CrashChecks);
  const bool Crashed = co_await Owner.checkForCrash(std::move(Lost));
  ServerCrashed = ServerCrashed || Crashed;
}

void RequestRun::endStartWatch(RequestAttempt &Attempt) {
  if (const auto Ticket = std::exchange(Attempt.StartTicket, std::nullopt))
    Owner.endStartWatch(*Ticket);
}

void RequestRun::releasePlace(RequestAttempt &Attempt) {
  if (!std::exchange(Attempt.PlaceTaken, false))
    return;
  endPrefill(Attempt);
  Owner.releaseServer(Attempt.Server.Id);
}

void RequestRun::endPrefill(RequestAttempt &Attempt) {
  if (std::exchange(Attempt.PrefillRunning, false))
    Owner.finishPrefill(Attempt.Server.Id, RequestInfo.PromptTokens);
}

void RequestRun::handleSilence(RequestAttempt &Attempt, bool New) {
  if (New)
    recordSilence(Attempt);
  if (!mayAddAlternative())
    return;
  const ServerChoice Choice = reserveAlternative(false);
  if (Choice.Shortage == ServerShortage::None)
    beginAlternative(Choice.Id);
}

void RequestRun::beginAlternative(const std::string &Server) {
  RequestAttempt &Alternative = beginAttempt(Server);
  net::co_spawn(Owner.node().Context, runAttempt(Alternative), net::detached);
}

bool RequestRun::mayAddAlternative() {
  return mayAddAttempt(Concurrent) &&
         Attempts < MatchedRoute->MaxAttemptsPerRequest &&
         (!HeadForwarded || resumable()) && !crashForbidsAttempt() &&
         !findBlock();
}

ServerChoice RequestRun::reserveAlternative(bool IsMove) {
  RetryBudget &Budget = Owner.retryBudget(Pool->Name);
  const RetryInputs Inputs =
      retryInputs(AttemptStatus::Lost, ErrorCode::PeerTimeout);
  if (previewRetry(Budget, Inputs, now()) != RetryDecision::Retry)
    return {};
  ServerRequirements Query = serverRequirements();
  Query.MayQueueAtServer |= IsMove;
  ServerChoice Choice = IsMove ? Owner.acquireForMove(Query, waitingRequest())
                               : Owner.acquireNow(Query, waitingRequest());
  if (Choice.Shortage == ServerShortage::None)
    decideRetry(Budget, Inputs, now());
  return Choice;
}

const RequestAttempt *RequestRun::onlyCandidate() const {
  if (Concurrent.Candidates.size() != 1)
    return nullptr;
  const auto Found = std::find_if(Running.begin(), Running.end(),
                                  [this](const RequestAttempt &Each) {
                                    return isCandidate(Concurrent, Each.Number);
                                  });
  return Found == Running.end() ? nullptr : &*Found;
}

bool RequestRun::mayMoveFrom(const std::string &Server) {
  const RequestAttempt *Attempt = onlyCandidate();
  return Attempt != nullptr && Attempt->Server.Id == Server && HeadForwarded &&
         mayAddAlternative() && !Session.disconnected();
}

MoveStatus RequestRun::moveStream() {
  const RequestAttempt *Leaving = onlyCandidate();
  if (Leaving == nullptr || !mayMoveFrom(Leaving->Server.Id) ||
      !isAboutToLoad(Owner.servers(), Leaving->Server.Id, now()))
    return MoveStatus::Denied;
  const ServerChoice Choice = reserveAlternative(true);
  if (Choice.Shortage == ServerShortage::Full)
    return MoveStatus::Waiting;
  if (Choice.Shortage != ServerShortage::None)
    return MoveStatus::Denied;
  Owner.node().Log.write(
      {.Event = "stream_moves",
       .At = Step::Send,
       .Request = RequestInfo.Id,
       .Fields = {{"from", Leaving->Server.Id}, {"to", Choice.Id}}});
  beginMove(Concurrent,
            LastForwardedAt +
                std::max(Duration(MinMoveTime), MatchedRoute->TargetEventGap));
  beginAlternative(Choice.Id);
  return MoveStatus::Begun;
}

bool RequestRun::crashForbidsAttempt() {
  if (CrashChecks > 0)
    return true;
  return ServerCrashed &&
         (!mayRetryAfterCrash(Owner.crashSuspects(), RequestInfo.SharedParts) ||
          !mayRepeatAfterCrash(Owner.crashingRequests(), contentDigest()));
}

void RequestRun::recordSilence(const RequestAttempt &Attempt) {
  recordServerOutcome(Owner.servers(), Attempt.Server.Id,
                      ServerOutcome::AnswerTimeout, now());
  Owner.node().Log.write(
      {.Event = "server_silent",
       .At = Step::Send,
       .Request = RequestInfo.Id,
       .Fields = {{"server", Attempt.Server.Id},
                  {"begun", HeadForwarded ? "true" : "false"},
                  {"waited_s", formatSeconds(now() - ArrivalTime)}}});
}

StreamReceiver RequestRun::streamReceiver(RequestAttempt &Attempt) {
  StreamReceiver Receiver;
  Receiver.TakeInOrder = [this, &Attempt](std::vector<StreamEvent> &Events) {
    return takeInOrder(Attempt, Events);
  };
  Receiver.OnHead = [this, &Attempt](const platform::Fields &Headers,
                                     unsigned Status,
                                     const platform::ServerResponse &Head) {
    return acceptHead(Attempt, Headers, Status, Head);
  };
  Receiver.OnEvents = [this, &Attempt](const std::vector<StreamEvent> &Events) {
    return handleEvents(Attempt, Events);
  };
  Receiver.OnRelease = [this, &Attempt] { return releaseHeld(Attempt); };
  return Receiver;
}

std::string RequestRun::takeInOrder(RequestAttempt &Attempt,
                                    std::vector<StreamEvent> &Events) {
  if (!Attempt.Order.Last)
    checkFirstEvent(Attempt, Events);
  const auto Wrong = std::find_if(Events.begin(), Events.end(),
                                  [&Attempt](const StreamEvent &Each) {
                                    return !acceptEvent(Attempt.Order, Each);
                                  });
  if (Wrong == Events.end())
    return {};
  const auto Name = [](const std::optional<std::uint64_t> &Id) {
    return Id ? std::to_string(*Id) : "none";
  };
  std::string Detail =
      fmt::format("{} event with id {} after id {}",
                  Wrong->Kind == EventKind::Invalid ? "invalid" : "unexpected",
                  Name(Wrong->Id), Name(Attempt.Order.Last));
  Events.erase(Wrong, Events.end());
  return Detail;
}

void RequestRun::checkFirstEvent(RequestAttempt &Attempt,
                                 const std::vector<StreamEvent> &Events) {
  const auto First =
      std::find_if(Events.begin(), Events.end(), [](const StreamEvent &Each) {
        return Each.Kind != EventKind::Comment;
      });
  FirstEventId &Known = Owner.firstEventId(Pool->Name);
  Attempt.Order.First = Known.Expected;
  if (First != Events.end() && First->Kind == EventKind::Data && First->Id)
    recordFirstEvent(Known, *First->Id);
}

PartStatus RequestRun::acceptHead(RequestAttempt &Attempt,
                                  const platform::Fields &Headers,
                                  unsigned Status,
                                  const platform::ServerResponse &Head) {
  endStartWatch(Attempt);
  if (Head.Version)
    Owner.recordStart(RequestInfo.Id, Attempt.Server.Id, RequestInfo.Model,
                      *Head.Version);
  // A resumed stream keeps the head of its first server and must have the same
  // version of the weights.
  if (HeadForwarded)
    return !Head.Version || !Version || *Head.Version == *Version
               ? PartStatus::Forwarded
               : PartStatus::Invalid;
  Attempt.HeldHead = {formatHead(Status, Headers) +
                          "Transfer-Encoding: chunked\r\n\r\n",
                      Head.Version, closesConnections()};
  return PartStatus::Forwarded;
}

net::awaitable<PartStatus>
RequestRun::handleEvents(RequestAttempt &Attempt,
                         const std::vector<StreamEvent> &Events) {
  endPrefill(Attempt);
  if (++Attempt.EventReads == EventReadsToBegin)
    Owner.recordBegun(RequestInfo.SharedParts);
  // A sound server that only paused is in use again at once.
  if (Attempt.Exchange.silent())
    recordServerOutcome(Owner.servers(), Attempt.Server.Id,
                        ServerOutcome::Answered, now());
  for (const StreamEvent &Event : Events)
    Attempt.HeldEvents += Event.Text;
  switch (useEvents(Concurrent, Attempt.Number, Attempt.EventReads, now())) {
  case EventUse::Discard:
    co_return PartStatus::Superseded;
  case EventUse::Hold:
    co_return PartStatus::Held;
  case EventUse::Forward:
    break;
  }
  const PartStatus Status = co_await releaseHeld(Attempt);
  co_return Status;
}

net::awaitable<PartStatus> RequestRun::releaseHeld(RequestAttempt &Attempt) {
  if (!chooseAttempt(Concurrent, Attempt.Number))
    co_return PartStatus::Superseded;
  stopSuperseded();
  // What another attempt left does not answer a stream that has begun.
  if (LastResult.Response)
    LastResult = {};
  const bool Written = co_await forwardHeld(Attempt);
  co_return Written ? PartStatus::Forwarded : PartStatus::CallerLeft;
}

net::awaitable<bool> RequestRun::forwardHeld(RequestAttempt &Attempt) {
  std::string Text;
  if (Attempt.HeldHead) {
    HeadForwarded = true;
    Version = Attempt.HeldHead->Version;
    CloseAnnounced = Attempt.HeldHead->ClosesConnection;
    FirstEventAt = now();
    if (isAboutToLoad(Owner.servers(), Attempt.Server.Id, now()))
      Owner.addLeavingStream(*this);
    Text = std::move(Attempt.HeldHead->Text);
    Attempt.HeldHead.reset();
  }
  if (!Attempt.HeldEvents.empty())
    Text += fmt::format("{:x}\r\n{}\r\n", Attempt.HeldEvents.size(),
                        Attempt.HeldEvents);
  Attempt.HeldEvents.clear();
  Order = Attempt.Order;
  LastServer = Attempt.Server.Id;
  if (Text.empty())
    co_return true;
  const bool Written = co_await Session.write(Text);
  LastForwardedAt = now();
  co_return Written;
}

void RequestRun::logSend(const RequestAttempt &Attempt,
                         const ExchangeResult &Result) {
  if (Result.Fate == AttemptStatus::Completed)
    return; // the log event of the request covers it
  const std::string &Id = Attempt.Server.Id;
  const auto Found = Owner.servers().Servers.find(Id);
  Owner.node().Log.write(
      {.Event = "send_failed",
       .At = Step::Send,
       .Request = RequestInfo.Id,
       .Fields = {
           {"server", Id},
           {"fate", std::string(attemptStatusName(Result.Fate))},
           {"reason", make_error_code(Result.Reason).message()},
           {"connect_s", Result.ConnectTime ? formatSeconds(*Result.ConnectTime)
                                            : std::string()},
           {"detail", Result.Detail},
           {"ended_by", std::string(Result.EndedBy)},
           {"event_reads", std::to_string(Attempt.EventReads)},
           {"estimated_load", Found == Owner.servers().Servers.end()
                                  ? "gone"
                                  : std::to_string(estimatedLoad(
                                        Owner.servers(), Found->second))},
           {"waited_s", formatSeconds(now() - ArrivalTime)}}});
}

} // namespace marigoldyard
