#include "programs/gateway/request_run.hpp"

#include "marigoldyard/transport/clock.hpp"

#include <algorithm>
#include <boost/beast/http/status.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace marigoldyard {

namespace net = boost::asio;
namespace http = boost::beast::http;
using std::chrono::milliseconds;

namespace {

/// Time reserved before a route's timeout to send the response.
constexpr milliseconds ResponseMargin{40};
/// Longest idle time of a connection for a request that must run at most once.
/// Such a request cannot be retried when the server closes the connection while
/// it is sent, so old connections are not reused.
constexpr Duration MaxAtMostOnceIdleAge = std::chrono::seconds(1);
/// Shortest wait for the first event before a stream is retried at another
/// server; callers disconnect after two seconds or more.
constexpr milliseconds MinFirstEventTimeout{1200};
/// A silent server is given up this long before the caller abandons the stream,
/// so that the next server can still begin and the caller gets an answer.
constexpr milliseconds AbandonMargin{400};
/// Shortest wait between events before a stream resumes at another server.
constexpr milliseconds MinGapTimeout{1000};
/// A request without a response is retried after this many target latencies,
/// a silent stream after as many target gaps.
constexpr int TimeoutTargetMultiple = 3;
/// Callers abandon a stream after the longest of two seconds, four target
/// latencies and eight target gaps.
constexpr milliseconds MinCallerTimeout{2000};
constexpr int CallerTimeoutLatencies = 4;
constexpr int CallerTimeoutGaps = 8;
/// Fraction of the caller's timeout for which a request may wait in the queue.
constexpr double QueueWaitFraction = 0.4;
/// Shortest wait in the queue; a slot becomes free every few milliseconds.
constexpr milliseconds MinQueueWait{50};
/// A caller that already spent more than this is retrying its request.
constexpr milliseconds CallerRetryThreshold{100};
/// Time from the start of a request at a server to the first event, without
/// the prefill of the prompt.
constexpr milliseconds FirstEventOverhead{120};
constexpr std::uint32_t MostUrgentPriority = 0;
/// Cost of an output token relative to a prompt token, as in the customers'
/// measure of request size.
constexpr std::uint64_t OutputTokenCost = 10;
/// A stream counts as begun at its second read with events: a server may crash
/// just after its first event.
constexpr std::uint32_t EventReadsToBegin = 2;
/// Time that a caller is taken to have while no route and no value of its own
/// tell it.
constexpr milliseconds DefaultCallerTime{2000};

std::string_view toStringView(boost::beast::string_view Text) {
  return {Text.data(), Text.size()};
}

std::string_view routeKindName(const Route &SelectedRoute) {
  if (SelectedRoute.IsStreaming)
    return "stream";
  return SelectedRoute.AllowedRetries == RetryPolicy::Idempotent
             ? "idempotent"
             : "at_most_once";
}

/// Turns a response other than a stream into a failure, because it is neither
/// the rest of a stream that has begun nor its end.
void discardResponse(ExchangeResult &Result) {
  Result.Fate = AttemptStatus::Failed;
  Result.Reason = ErrorCode::EndpointFailed;
  Result.Detail = fmt::format("status {} instead of the rest of the stream",
                              Result.Response->Status);
  Result.Response.reset();
}

} // namespace

RequestRun::RequestRun(Gateway &OwningGateway, CallerSession &CallerConnection,
                       const platform::RequestMessage &ReceivedRequest)
    : Owner(OwningGateway), Session(CallerConnection), Request(ReceivedRequest),
      RequestInfo(platform::decodeCallerRequest(ReceivedRequest.base())),
      Table(OwningGateway.routes()), ArrivalTime(now()) {
  Order.Last = RequestInfo.ResumeAfter;
}

RequestRun::~RequestRun() {
  endStartWatch();
  Owner.removeRun(*this);
  if (ReservedServer)
    releaseUnsent(*ReservedServer);
  if (Admitted)
    recordWorkFinished(Owner.drainProgress());
}

net::awaitable<bool> RequestRun::run() {
  if (auto Refusal = admit())
    co_return co_await sendLocalResponse(std::move(*Refusal));
  Session.onDisconnect([this] {
    if (ActiveExchange != nullptr)
      ActiveExchange->cancel();
  });
  const bool KeepAlive = co_await serve();
  Session.onDisconnect(nullptr);
  co_return KeepAlive &&Owner.drainProgress().Stage == DrainStage::Serving;
}

std::optional<RequestRun::LocalResponse> RequestRun::admit() {
  if (!Table)
    return LocalResponse{
        503,
        "not_run",
        Step::ConfigurationRead,
        "store",
        "no configuration is known yet",
        returnDelay(RefusalCause::NotReady,
                    RequestInfo.TimeLeft.value_or(DefaultCallerTime))};
  MatchedRoute = findRoute(*Table, toStringView(Request[http::field::host]),
                           toStringView(Request.target()));
  if (MatchedRoute == nullptr)
    return LocalResponse{404, "not_run", Step::Routing, "", "no route", {}};
  const bool KeysConfigured = !Table->Content.Customers.empty();
  if (KeysConfigured && !RequestInfo.Key.empty())
    RequestCustomer = findCustomer(*Table, RequestInfo.Key);
  if (KeysConfigured && RequestCustomer == nullptr &&
      !MatchedRoute->AllowAnonymous)
    return LocalResponse{401, "not_run",     Step::Authenticate,
                         "",  "unknown key", {}};
  if (admitWork(Owner.drainProgress(), ArrivalTime))
    return LocalResponse{503, "not_run", Step::Drain,
                         "",  "leaving", milliseconds(0)};
  Admitted = true;
  Owner.addRun(*this);
  Pool = choosePool(*Table, *MatchedRoute, Owner.node().Generator);
  if (Pool == nullptr)
    return LocalResponse{
        503,
        "not_run",
        Step::Routing,
        "",
        "the configuration does not describe the pool",
        returnDelay(RefusalCause::Other, MatchedRoute->Timeout)};
  const Duration Remaining =
      std::min(RequestInfo.TimeLeft.value_or(MatchedRoute->Timeout),
               MatchedRoute->Timeout);
  Deadline = std::min(ArrivalTime + Remaining, Owner.lastResponseAt());
  recordFirstAttempt(Owner.retryBudget(Pool->Name), ArrivalTime);
  return std::nullopt;
}

void RequestRun::expire() {
  if (HeadForwarded || now() >= Deadline)
    return;
  Deadline = now();
  if (ActiveExchange != nullptr)
    ActiveExchange->expire();
  if (EndQueueWait)
    EndQueueWait();
}

void RequestRun::recordCut() { log("cut", "the process ends"); }

net::awaitable<bool> RequestRun::serve() {
  for (;;) {
    if (auto Blocked = findBlockedPart(Owner.crashSuspects(),
                                       RequestInfo.SharedParts, now()))
      co_return co_await rejectBlocked(*Blocked);
    ServerChoice Choice;
    if (ReservedServer)
      Choice = takeReservation();
    else
      Choice = co_await acquire();
    if (Session.disconnected()) {
      if (Choice.Shortage == ServerShortage::None)
        releaseUnsent(Choice.Id);
      log("caller_left", serverShortageName(Choice.Shortage));
      co_return false;
    }
    if (Choice.Shortage != ServerShortage::None) {
      if (HeadForwarded) {
        log("stream_broken", serverShortageName(Choice.Shortage));
        co_return false;
      }
      LocalResponse Refusal = unservedResponse(Choice.Shortage);
      co_return co_await sendLocalResponse(std::move(Refusal));
    }
    // A notice or a change of the store may have arrived since the choice.
    if (!mayReceive(Owner.servers(), Choice.Id, now())) {
      releaseUnsent(Choice.Id);
      continue;
    }
    // The process may have begun to end while the request waited.
    if (timeLeft() <= ResponseMargin && !HeadForwarded) {
      releaseUnsent(Choice.Id);
      LocalResponse Refusal = unservedResponse(ServerShortage::Full);
      co_return co_await sendLocalResponse(std::move(Refusal));
    }
    // The part may have been blocked while the request waited.
    if (auto Blocked = findBlockedPart(Owner.crashSuspects(),
                                       RequestInfo.SharedParts, now())) {
      releaseUnsent(Choice.Id);
      co_return co_await rejectBlocked(*Blocked);
    }
    ExchangeResult Result = co_await sendTo(Choice.Id);
    if (Session.disconnected()) {
      log("caller_left", "caller disconnected during the attempt");
      co_return false;
    }
    const bool HasReservation =
        ReservedServer && Result.Fate != AttemptStatus::Completed;
    if (!HasReservation && !mayRetry(Result))
      co_return co_await finish(std::move(Result));
  }
}

ServerChoice RequestRun::takeReservation() {
  ServerChoice Choice{std::move(*ReservedServer), ServerShortage::None};
  ReservedServer.reset();
  return Choice;
}

void RequestRun::releaseUnsent(const std::string &Id) {
  Owner.finishPrefill(Id, RequestInfo.PromptTokens);
  Owner.releaseServer(Id);
}

net::awaitable<bool> RequestRun::rejectBlocked(BlockedPart Blocked) {
  Owner.recordBlockedRequest(RequestInfo.Id, Blocked);
  const std::string Detail =
      fmt::format("servers crash on prompt part {} ({} crashes)", Blocked.Part,
                  Blocked.Crashes);
  if (HeadForwarded) {
    log("stream_broken", Detail);
    co_return false;
  }
  const bool NoneRun =
      std::all_of(AttemptOutcomes.begin(), AttemptOutcomes.end(), provesNotRun);
  LocalResponse Refusal =
      NoneRun ? LocalResponse{503, "not_run", Step::Admission,
                              "",  Detail,    Blocked.TimeLeft}
              : LocalResponse{502,        "unknown", Step::Admission,
                              LastServer, Detail,    {}};
  co_return co_await sendLocalResponse(std::move(Refusal));
}

bool RequestRun::resumable() const {
  return MatchedRoute->AllowedRetries == RetryPolicy::Resumable;
}

Duration RequestRun::timeLeft() const { return Deadline - now(); }

WaitingRequest RequestRun::waitingRequest() const {
  WaitingRequest Result;
  Result.Pool = Pool->Name;
  Result.Customer =
      RequestCustomer != nullptr ? RequestCustomer->Name : std::string();
  Result.Priority =
      HeadForwarded ? 0 : requestPriority(*MatchedRoute, RequestCustomer);
  Result.Cost =
      1 + RequestInfo.PromptTokens + OutputTokenCost * RequestInfo.OutputTokens;
  Result.ArrivalTime = ArrivalTime;
  // A retry of the caller has less time left than the route's timeout.
  const Duration TimeAlreadySpent =
      std::max(Duration::zero(),
               MatchedRoute->Timeout -
                   RequestInfo.TimeLeft.value_or(MatchedRoute->Timeout));
  Duration PrefillTime{};
  if (Pool->PromptTokensPerSecond > 0)
    PrefillTime =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
            static_cast<double>(RequestInfo.PromptTokens) /
            Pool->PromptTokensPerSecond)) +
        FirstEventOverhead;
  Result.TargetDeadline = ArrivalTime + MatchedRoute->TargetLatency -
                          TimeAlreadySpent - PrefillTime;
  const Duration CallerTimeout = callerTimeout();
  // The first request of a caller waits only while it can still meet its target
  // latency. A retry is late already and waits for a fraction of the caller's
  // timeout.
  const bool CallerRetried = TimeAlreadySpent > CallerRetryThreshold;
  const Duration QueueWait =
      MatchedRoute->IsStreaming && !CallerRetried
          ? std::max<Duration>(MinQueueWait,
                               Result.TargetDeadline - ArrivalTime)
          : std::chrono::duration_cast<Duration>(CallerTimeout *
                                                 QueueWaitFraction);
  Result.ExpiresAt =
      std::min(ArrivalTime + QueueWait, Deadline - ResponseMargin);
  if (HeadForwarded)
    Result.ExpiresAt =
        std::min(now() + MinGapTimeout, Deadline - ResponseMargin);
  return Result;
}

Duration RequestRun::callerTimeout() const {
  return MatchedRoute->IsStreaming
             ? std::max({Duration(MinCallerTimeout),
                         CallerTimeoutLatencies * MatchedRoute->TargetLatency,
                         CallerTimeoutGaps * MatchedRoute->TargetEventGap})
             : Deadline - ArrivalTime;
}

ServerRequirements RequestRun::serverRequirements() const {
  ServerRequirements Query;
  Query.Pool = Pool->Name;
  Query.Model = RequestInfo.Model;
  Query.PromptTokens = RequestInfo.PromptTokens;
  Query.TokensPerPass = Pool->PromptTokensPerPass;
  Query.Excluded = TriedServers;
  Query.MayQueueAtServer =
      requestPriority(*MatchedRoute, RequestCustomer) == MostUrgentPriority;
  if (HeadForwarded)
    Query.ExactVersion = Version;
  return Query;
}

net::awaitable<ServerChoice> RequestRun::acquire() {
  ServerRequirements Query = serverRequirements();
  WaitingRequest QueueEntry = waitingRequest();
  const std::function<void(std::function<void()>)> SetDisconnectHandler =
      [this](std::function<void()> Leave) {
        EndQueueWait = Leave;
        Session.onDisconnect([this, End = std::move(Leave)] {
          if (ActiveExchange != nullptr)
            ActiveExchange->cancel();
          if (End)
            End();
        });
      };
  co_return co_await Owner.acquireServer(
      std::move(Query), std::move(QueueEntry), SetDisconnectHandler);
}

ExchangeLimits RequestRun::exchangeLimits(const std::string &Id) {
  ExchangeLimits Limits;
  Limits.Deadline = Deadline - ResponseMargin;
  Limits.MaxIdleAge = Duration::max();
  Limits.GapTimeout =
      std::max(Duration(MinGapTimeout),
               TimeoutTargetMultiple * MatchedRoute->TargetEventGap);
  if (MatchedRoute->AllowedRetries != RetryPolicy::AtMostOnce) {
    Limits.ReserveAlternative = [this] { return reserveAlternative(); };
    Limits.OnSilence = [this] { recordSilence(); };
    // A caller that leaves is not heard by a server that stands still, which
    // would then work for nobody.
    if (MatchedRoute->IsStreaming)
      Limits.MaxSilence = callerTimeout() - AbandonMargin;
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
    Limits.IsWaiting = [this, Id] {
      return !HeadForwarded && isBusy(Owner.servers(), Id, now());
    };
    Limits.MaxWaitUntil = ArrivalTime + callerTimeout() - AbandonMargin;
    break;
  }
  return Limits;
}

platform::RequestMessage
RequestRun::buildServerRequest(const std::string &Id) const {
  platform::ServerRequest Content;
  Content.ServerId = Id;
  Content.Customer =
      RequestCustomer != nullptr ? RequestCustomer->Name : std::string();
  Content.TimeLeft = std::max(Duration::zero(), timeLeft());
  Content.Priority =
      HeadForwarded ? 0 : requestPriority(*MatchedRoute, RequestCustomer);
  Content.ResumeAfter = Order.Last;
  if (HeadForwarded)
    Content.RequiredVersion = Version;
  return platform::buildServerRequest(Request, Content);
}

void RequestRun::beginAttempt(const std::string &Id) {
  TriedServers.insert(Id);
  LastServer = Id;
  PrefillRunning = true;
  EventReads = 0;
  ServerCrashed = false;
  ServerSilent = false;
  ++Attempts;
}

net::awaitable<ExchangeResult> RequestRun::sendTo(const std::string &Id) {
  const ServerState &Server = Owner.servers().Servers.at(Id);
  const ServerRecord Record = Server.Record;
  const std::uint64_t LoadedVersion = loadedVersion(Server, RequestInfo.Model);
  const platform::RequestMessage Outgoing = buildServerRequest(Id);
  const bool StreamBegun = HeadForwarded;
  beginAttempt(Id);
  ServerExchange Exchange(
      Owner.node().Context, Owner.node().Timeouts, Owner.connections(),
      Owner.responseMemory(),
      [this, &Record](const platform::ServerResponse &Head) {
        if (Head.Load)
          recordReportedLoad(Owner.servers(), Record.Id,
                             Head.Load->Running + Head.Load->Waiting);
        Owner.handleNotice(Record, {Head.Leaving, Head.RefusesFor});
      });
  ActiveExchange = &Exchange;
  StreamReceiver Receiver = streamReceiver();
  // The start of a buffered response is not visible, and work that runs at most
  // once must not be cut off after it.
  const bool CanWithdraw =
      MatchedRoute->IsStreaming ||
      MatchedRoute->AllowedRetries != RetryPolicy::AtMostOnce;
  if (Record.Weights && CanWithdraw)
    StartTicket = Owner.watchStart({Id, RequestInfo.Model, LoadedVersion,
                                    [&Exchange] { Exchange.withdraw(); }});
  ExchangeResult Result = co_await Exchange.run(
      Outgoing, Record.Address, RequestInfo.Id, exchangeLimits(Id),
      MatchedRoute->IsStreaming ? &Receiver : nullptr);
  ActiveExchange = nullptr;
  endStartWatch();
  if (isLeaving(Owner.servers(), Id))
    Owner.connections().closeAll(Record.Address);
  if (StreamBegun && Result.Response)
    discardResponse(Result);
  recordAttempt(Id, Result);
  if (!RequestInfo.SharedParts.empty())
    co_await recordPartOutcome(Result, Record);
  co_return Result;
}

void RequestRun::recordAttempt(const std::string &Id,
                               const ExchangeResult &Result) {
  AttemptOutcomes.push_back(Result.Fate);
  recordServerOutcome(Owner.servers(), Id, Result.Health, now());
  if (Result.Fate == AttemptStatus::Completed)
    recordServed(Owner.servers(), Id);
  else if (Result.Fate == AttemptStatus::Refused &&
           Result.Reason == ErrorCode::WrongWeights)
    recordContradiction(Owner.servers(), Id, now());
  logSend(Id, Result);
  endPrefill();
  Owner.releaseServer(Id);
}

net::awaitable<void> RequestRun::recordPartOutcome(const ExchangeResult &Result,
                                                   const ServerRecord &Record) {
  // A rejection by the server, such as 400, is no sign that a request began.
  const bool Served =
      EventReads > 0 || (Result.Response && Result.Response->Status / 100 == 2);
  if (Result.Fate == AttemptStatus::Completed && Served)
    Owner.recordBegun(RequestInfo.SharedParts);
  const bool ConnectionLost = Result.Fate == AttemptStatus::Lost &&
                              Result.Reason == ErrorCode::StreamIncomplete;
  // A server that leaves without a notice loses its record before it ends.
  const bool MayHaveLeft = isLeaving(Owner.servers(), Record.Id) ||
                           !Owner.servers().Servers.contains(Record.Id);
  if (ConnectionLost && EventReads < EventReadsToBegin && !MayHaveLeft)
    ServerCrashed = co_await Owner.checkForCrash(RequestInfo.Id, Record.Address,
                                                 RequestInfo.SharedParts);
}

void RequestRun::endStartWatch() {
  if (const auto Ticket = std::exchange(StartTicket, std::nullopt))
    Owner.endStartWatch(*Ticket);
}

void RequestRun::endPrefill() {
  if (std::exchange(PrefillRunning, false))
    Owner.finishPrefill(LastServer, RequestInfo.PromptTokens);
}

RetryInputs RequestRun::retryInputs(AttemptStatus LastAttempt,
                                    ErrorCode Reason) const {
  RetryInputs Query;
  Query.LastAttempt = LastAttempt;
  Query.Reason = Reason;
  Query.Idempotent = MatchedRoute->AllowedRetries != RetryPolicy::AtMostOnce;
  Query.MayHaveRun = !provesNotRun(LastAttempt) ||
                     !std::all_of(AttemptOutcomes.begin(),
                                  AttemptOutcomes.end(), provesNotRun);
  Query.Attempts = Attempts;
  Query.TimeLeft = timeLeft() - ResponseMargin;
  return Query;
}

bool RequestRun::reserveAlternative() {
  if (Attempts >= MatchedRoute->MaxAttemptsPerRequest ||
      (HeadForwarded && !resumable()) ||
      findBlockedPart(Owner.crashSuspects(), RequestInfo.SharedParts, now()))
    return false;
  RetryBudget &Budget = Owner.retryBudget(Pool->Name);
  const RetryInputs Inputs =
      retryInputs(AttemptStatus::Lost, ErrorCode::PeerTimeout);
  if (previewRetry(Budget, Inputs, now()) != RetryDecision::Retry)
    return false;
  ServerRequirements Query = serverRequirements();
  ServerChoice Choice = Owner.acquireNow(Query, waitingRequest());
  if (Choice.Shortage != ServerShortage::None)
    return false;
  decideRetry(Budget, Inputs, now());
  ReservedServer = std::move(Choice.Id);
  return true;
}

void RequestRun::recordSilence() {
  ServerSilent = true;
  recordServerOutcome(Owner.servers(), LastServer, ServerOutcome::AnswerTimeout,
                      now());
  Owner.node().Log.write(
      {.Event = "server_silent",
       .At = Step::Send,
       .Request = RequestInfo.Id,
       .Fields = {{"server", LastServer},
                  {"begun", HeadForwarded ? "true" : "false"},
                  {"waited_s", formatSeconds(now() - ArrivalTime)}}});
}

bool RequestRun::mayRetry(const ExchangeResult &Last) {
  if (Last.Fate == AttemptStatus::Completed ||
      Attempts >= MatchedRoute->MaxAttemptsPerRequest)
    return false;
  if (HeadForwarded && !resumable())
    return false;
  if (ServerCrashed &&
      !mayRetryAfterCrash(Owner.crashSuspects(), RequestInfo.SharedParts))
    return false;
  const RetryDecision Verdict =
      decideRetry(Owner.retryBudget(Pool->Name),
                  retryInputs(Last.Fate, Last.Reason), now());
  if (Verdict != RetryDecision::Retry)
    Owner.node().Log.write(
        {.Event = "repeat_denied",
         .At = Step::Send,
         .Request = RequestInfo.Id,
         .Fields = {{"reason", std::string(retryDecisionName(Verdict))}}});
  return Verdict == RetryDecision::Retry;
}

net::awaitable<bool> RequestRun::finish(ExchangeResult Last) {
  if (HeadForwarded)
    co_return co_await finishStream(Last);
  if (Last.Response)
    co_return co_await forwardResponse(std::move(*Last.Response));
  LocalResponse Failure = failureResponse(Last);
  co_return co_await sendLocalResponse(std::move(Failure));
}

net::awaitable<bool> RequestRun::finishStream(const ExchangeResult &Last) {
  if (Last.Fate != AttemptStatus::Completed) {
    // The missing last chunk shows the caller that the response is incomplete.
    log("stream_broken", Last.Detail);
    co_return false;
  }
  const bool Written = co_await Session.write("0\r\n\r\n");
  log(Written ? "complete" : "caller_left", "");
  co_return Written;
}

RequestRun::LocalResponse
RequestRun::failureResponse(const ExchangeResult &Last) const {
  const bool NoneRun =
      std::all_of(AttemptOutcomes.begin(), AttemptOutcomes.end(), provesNotRun);
  const std::string Detail = fmt::format(
      "{} ({})", make_error_code(Last.Reason).message(), Last.Detail);
  if (NoneRun)
    return {503,
            "not_run",
            Step::Send,
            LastServer,
            Detail,
            retryAfter(Last.Reason == ErrorCode::WrongWeights
                           ? RefusalCause::NotReady
                           : RefusalCause::Other)};
  const bool NearDeadline = timeLeft() <= 2 * ResponseMargin;
  return {NearDeadline ? 504U : 502U,
          "unknown",
          Step::Send,
          LastServer,
          Detail,
          {}};
}

RequestRun::LocalResponse
RequestRun::unservedResponse(ServerShortage Shortage) const {
  const bool NoneRun =
      std::all_of(AttemptOutcomes.begin(), AttemptOutcomes.end(), provesNotRun);
  return NoneRun ? shortageResponse(Shortage) : failureResponse({});
}

RequestRun::LocalResponse
RequestRun::shortageResponse(ServerShortage Shortage) const {
  return {503,
          "not_run",
          Step::Admission,
          Pool->Name,
          std::string(serverShortageName(Shortage)),
          retryAfter(Shortage == ServerShortage::Loading ||
                             Shortage == ServerShortage::Absent
                         ? RefusalCause::NotReady
                         : RefusalCause::Overload)};
}

Duration RequestRun::retryAfter(RefusalCause Cause) const {
  const TimePoint Now = now();
  const Duration Default = returnDelay(Cause, timeLeft());
  const auto Until = refusedUntil(Owner.servers(), {.Pool = Pool->Name}, Now);
  if (!Until || *Until == TimePoint::max())
    return Default;
  // A server takes one request at first, so callers come back spread over the
  // usual pause.
  std::uniform_int_distribution<Duration::rep> Spread(0, Default.count());
  return *Until - Now + Duration(Spread(Owner.node().Generator));
}

StreamReceiver RequestRun::streamReceiver() {
  StreamReceiver Receiver;
  Receiver.TakeInOrder = [this](std::vector<StreamEvent> &Events) {
    return takeInOrder(Events);
  };
  Receiver.OnHead = [this](const platform::Fields &Headers, unsigned Status,
                           const platform::ServerResponse &Head) {
    return forwardHead(Headers, Status, Head);
  };
  Receiver.OnEvents = [this](std::vector<StreamEvent> Events) {
    return forwardEvents(std::move(Events));
  };
  return Receiver;
}

std::string RequestRun::takeInOrder(std::vector<StreamEvent> &Events) {
  if (!Order.Last)
    checkFirstEvent(Events);
  const auto Wrong = std::find_if(
      Events.begin(), Events.end(),
      [this](const StreamEvent &Each) { return !acceptEvent(Order, Each); });
  if (Wrong == Events.end())
    return {};
  const auto Name = [](const std::optional<std::uint64_t> &Id) {
    return Id ? std::to_string(*Id) : "none";
  };
  std::string Detail =
      fmt::format("{} event with id {} after id {}",
                  Wrong->Kind == EventKind::Invalid ? "invalid" : "unexpected",
                  Name(Wrong->Id), Name(Order.Last));
  Events.erase(Wrong, Events.end());
  return Detail;
}

void RequestRun::checkFirstEvent(const std::vector<StreamEvent> &Events) {
  const auto First =
      std::find_if(Events.begin(), Events.end(), [](const StreamEvent &Each) {
        return Each.Kind != EventKind::Comment;
      });
  FirstEventId &Known = Owner.firstEventId(Pool->Name);
  Order.First = Known.Expected;
  if (First != Events.end() && First->Kind == EventKind::Data && First->Id)
    recordFirstEvent(Known, *First->Id);
}

std::string RequestRun::formatHead(unsigned Status,
                                   const platform::Fields &Headers) const {
  std::string Text = fmt::format(
      "HTTP/1.1 {} {}\r\n", Status,
      toStringView(http::obsolete_reason(static_cast<http::status>(Status))));
  for (const auto &Each : Headers)
    if (platform::isForwardedToCaller(toStringView(Each.name_string())))
      fmt::format_to(std::back_inserter(Text), "{}: {}\r\n",
                     toStringView(Each.name_string()),
                     toStringView(Each.value()));
  if (Owner.drainProgress().Stage != DrainStage::Serving)
    Text += "Connection: close\r\n";
  return Text;
}

net::awaitable<PartStatus>
RequestRun::forwardHead(const platform::Fields &Headers, unsigned Status,
                        const platform::ServerResponse &Head) {
  // The head is forwarded together with the first event.
  endStartWatch();
  if (Head.Version)
    Owner.recordStart(RequestInfo.Id, LastServer, RequestInfo.Model,
                      *Head.Version);
  // A resumed stream keeps the head of its first server and must have the same
  // version of the weights.
  if (HeadForwarded)
    co_return !Head.Version || !Version || *Head.Version == *Version
        ? PartStatus::Forwarded
        : PartStatus::Invalid;
  HeadForwarded = true;
  Version = Head.Version;
  FirstEventAt = now();
  const std::string Text =
      formatHead(Status, Headers) + "Transfer-Encoding: chunked\r\n\r\n";
  const bool Written = co_await Session.write(Text);
  co_return Written ? PartStatus::Forwarded : PartStatus::CallerLeft;
}

void RequestRun::recordProgress() {
  if (++EventReads == EventReadsToBegin)
    Owner.recordBegun(RequestInfo.SharedParts);
}

net::awaitable<PartStatus>
RequestRun::forwardEvents(std::vector<StreamEvent> Events) {
  endPrefill();
  recordProgress();
  // A sound server that only paused is in use again at once.
  if (std::exchange(ServerSilent, false))
    recordServerOutcome(Owner.servers(), LastServer, ServerOutcome::Answered,
                        now());
  std::string Text;
  for (const StreamEvent &Event : Events)
    Text += Event.Text;
  const std::string Chunk = fmt::format("{:x}\r\n{}\r\n", Text.size(), Text);
  const bool Written = co_await Session.write(Chunk);
  co_return Written ? PartStatus::Forwarded : PartStatus::CallerLeft;
}

net::awaitable<bool> RequestRun::forwardResponse(BufferedResponse Response) {
  platform::removeRefusalTime(Response.Status, Response.Headers);
  std::string Text =
      formatHead(Response.Status, Response.Headers) +
      fmt::format("Content-Length: {}\r\n\r\n", Response.BodySize);
  Text.reserve(Text.size() + Response.BodySize);
  for (; !Response.Body.empty(); Response.Body.pop_front())
    Text += Response.Body.front();
  const bool Written = co_await Session.write(Text);
  log(Written ? "complete" : "caller_left",
      fmt::format("status {}", Response.Status));
  co_return Written;
}

net::awaitable<bool> RequestRun::sendLocalResponse(LocalResponse Content) {
  const nlohmann::json Problem = {
      {"type", "about:blank"},      {"status", Content.Status},
      {"outcome", Content.Outcome}, {"step", stepName(Content.FailedStep)},
      {"peer", Content.Peer},       {"detail", Content.Detail}};
  const std::string ProblemText =
      Problem.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  platform::Fields Headers;
  platform::setRequestId(Headers, RequestInfo.Id);
  Headers.set(http::field::content_type, "application/problem+json");
  if (Content.RetryAfter)
    Headers.set(http::field::retry_after, formatSeconds(*Content.RetryAfter));
  const std::string ResponseText = formatHead(Content.Status, Headers) +
                                   fmt::format("Content-Length: {}\r\n\r\n{}",
                                               ProblemText.size(), ProblemText);
  const bool Written = co_await Session.write(ResponseText);
  log(Content.Outcome,
      fmt::format("status {} at {}: {}", Content.Status,
                  stepName(Content.FailedStep), Content.Detail));
  co_return Written;
}

void RequestRun::log(std::string_view Outcome, std::string_view Detail) {
  const Duration Total = now() - ArrivalTime;
  LogEvent Line;
  Line.Event = "request";
  Line.Request = RequestInfo.Id;
  Line.Number =
      Table ? std::optional(Table->Content.ConfigRevision) : std::nullopt;
  Line.Fields = {
      {"outcome", std::string(Outcome)},
      {"detail", std::string(Detail)},
      {"route", MatchedRoute != nullptr ? MatchedRoute->Name : ""},
      {"customer", RequestCustomer != nullptr ? RequestCustomer->Name : ""},
      {"server", LastServer},
      {"sends", std::to_string(Attempts)},
      {"seconds", formatSeconds(Total)}};
  if (FirstEventAt)
    Line.Fields.emplace_back("first_event_s",
                             formatSeconds(*FirstEventAt - ArrivalTime));
  if (Version)
    Line.Fields.emplace_back("weights", std::to_string(*Version));
  Owner.node().Log.write(Line);
  Owner.recordResponse(MatchedRoute != nullptr ? routeKindName(*MatchedRoute)
                                               : "none",
                       Outcome, Total);
}

void RequestRun::logSend(const std::string &Id, const ExchangeResult &Result) {
  if (Result.Fate == AttemptStatus::Completed)
    return; // the log event of the request covers it
  const auto Found = Owner.servers().Servers.find(Id);
  Owner.node().Log.write(
      {.Event = "send_failed",
       .At = Step::Send,
       .Request = RequestInfo.Id,
       .Fields = {{"server", Id},
                  {"fate", std::string(attemptStatusName(Result.Fate))},
                  {"reason", make_error_code(Result.Reason).message()},
                  {"detail", Result.Detail},
                  {"ended_by", std::string(Result.EndedBy)},
                  {"event_reads", std::to_string(EventReads)},
                  {"estimated_load",
                   Found == Owner.servers().Servers.end()
                       ? "gone"
                       : std::to_string(
                             estimatedLoad(Owner.servers(), Found->second))},
                  {"waited_s", formatSeconds(now() - ArrivalTime)}}});
}

} // namespace marigoldyard
