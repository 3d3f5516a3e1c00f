#include "programs/gateway/request_run.hpp"

#include "marigoldyard/protocol/digest.hpp"
#include "marigoldyard/transport/clock.hpp"

#include <algorithm>
#include <boost/algorithm/string/case_conv.hpp>
#include <boost/beast/http/status.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace marigoldyard {

namespace net = boost::asio;
namespace http = boost::beast::http;
using std::chrono::milliseconds;

namespace {

/// Longest wait in the queue for a server that continues a stream.
constexpr milliseconds MaxResumeWait{1000};
/// A stream that no server continues ends this long before its caller abandons
/// it, so that the caller gets an answer if the stream has not begun.
constexpr milliseconds CallerMargin{100};
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
/// Retry-After of a request on which servers crash.
constexpr std::chrono::minutes BlockedRequestDelay{1};
constexpr std::uint32_t MostUrgentPriority = 0;
/// Cost of an output token relative to a prompt token, as in the customers'
/// measure of request size.
constexpr std::uint64_t OutputTokenCost = 10;
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

} // namespace

RequestRun::RequestRun(Gateway &OwningGateway, CallerSession &CallerConnection,
                       const platform::RequestMessage &ReceivedRequest)
    : Owner(OwningGateway), Session(CallerConnection), Request(ReceivedRequest),
      RequestInfo(platform::decodeCallerRequest(ReceivedRequest.base())),
      Table(OwningGateway.routes()), ArrivalTime(now()),
      LastForwardedAt(ArrivalTime) {
  Order.Last = RequestInfo.ResumeAfter;
}

RequestRun::~RequestRun() {
  Owner.removeRun(*this);
  if (Admitted)
    recordWorkFinished(Owner.drainProgress());
}

net::awaitable<bool> RequestRun::run() {
  std::optional<std::string> Cause;
  bool Written = false;
  try {
    Written = co_await handle();
  } catch (const std::exception &Thrown) {
    Cause = Thrown.what();
  }
  Session.onDisconnect(nullptr);
  if (Cause) {
    Owner.node().Log.write({.Level = LogLevel::Error,
                            .Event = "request_failed",
                            .At = Step::Send,
                            .Request = RequestInfo.Id,
                            .Fields = {{"cause", *Cause}}});
    stopAttempts(StopCause::EndOfProcess);
    co_await awaitAttempts();
    if (!HeadForwarded && !ResponseBegun) {
      LocalResponse Failure{502, "unknown", Step::Send, LastServer, *Cause, {}};
      Written = co_await sendLocalResponse(std::move(Failure));
    }
  }
  // Until a response has announced the close, the caller may send more requests
  // on the connection.
  co_return Written && !CloseAnnounced;
}

net::awaitable<bool> RequestRun::handle() {
  if (auto Refusal = admit())
    co_return co_await sendLocalResponse(std::move(*Refusal));
  Session.onDisconnect([this] { stopAttempts(StopCause::CallerLeft); });
  const bool Written = co_await serve();
  co_return Written;
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
  AllowedRegions = allowedRegions(*MatchedRoute, RequestCustomer);
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
  stopAttempts(StopCause::EndOfProcess);
  if (EndQueueWait)
    EndQueueWait();
}

void RequestRun::recordCut() { log("cut", "the process ends"); }

net::awaitable<bool> RequestRun::serve() {
  for (;;) {
    if (const auto Blocked = findBlock())
      co_return co_await rejectBlocked(*Blocked);
    const ServerChoice Choice = co_await acquire();
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
    // It may have been blocked while it waited.
    if (const auto Blocked = findBlock()) {
      releaseUnsent(Choice.Id);
      co_return co_await rejectBlocked(*Blocked);
    }
    if (isContentBlocked()) {
      IsTrial = true;
      Owner.recordTrial(contentDigest());
    }
    co_await runAttempts(Choice.Id);
    if (Session.disconnected()) {
      log("caller_left", "caller disconnected during the attempt");
      co_return false;
    }
    if (!mayRetry(LastResult))
      co_return co_await finish(std::move(LastResult));
  }
}

void RequestRun::releaseUnsent(const std::string &Id) {
  Owner.finishPrefill(Id, RequestInfo.PromptTokens);
  Owner.releaseServer(Id);
}

const Digest &RequestRun::contentDigest() {
  if (!KnownDigest) {
    const std::string Customer =
        RequestCustomer != nullptr ? RequestCustomer->Name : std::string();
    const std::string_view Method = toStringView(Request.method_string());
    std::string Host(toStringView(Request[http::field::host]));
    boost::algorithm::to_lower(Host);
    const std::string_view Target = toStringView(Request.target());
    KnownDigest = sha256Hex(fmt::format(
        "{} {} {} {}\n{}{}{}{}{}", Method.size(), Host.size(), Target.size(),
        Customer.size(), Method, Host, Target, Customer, Request.body()));
  }
  return *KnownDigest;
}

bool RequestRun::isContentBlocked() {
  // The digest is needed only while some request is suspect.
  return !IsTrial && !Owner.crashingRequests().Requests.empty() &&
         isRequestBlocked(Owner.crashingRequests(), contentDigest());
}

std::optional<RequestRun::Block> RequestRun::findBlock() {
  if (isContentBlocked() && !Owner.mayTryBlocked(contentDigest()))
    return Block{fmt::format("servers crash on request {}", contentDigest()),
                 BlockedRequestDelay};
  const auto Part =
      findBlockedPart(Owner.crashSuspects(), RequestInfo.SharedParts, now());
  if (!Part)
    return std::nullopt;
  return Block{fmt::format("servers crash on prompt part {} ({} crashes)",
                           Part->Part, Part->Crashes),
               Part->TimeLeft};
}

net::awaitable<bool> RequestRun::rejectBlocked(const Block &Blocked) {
  Owner.recordBlockedRequest(RequestInfo.Id, Blocked.Cause);
  const std::string &Detail = Blocked.Cause;
  if (HeadForwarded) {
    log("stream_broken", Detail);
    co_return false;
  }
  const bool NoneRun =
      std::all_of(AttemptOutcomes.begin(), AttemptOutcomes.end(), provesNotRun);
  LocalResponse Refusal =
      NoneRun ? LocalResponse{503, "not_run", Step::Admission,
                              "",  Detail,    Blocked.RetryAfter}
              : LocalResponse{502,        "unknown", Step::Admission,
                              LastServer, Detail,    {}};
  co_return co_await sendLocalResponse(std::move(Refusal));
}

bool RequestRun::resumable() const {
  return MatchedRoute->AllowedRetries == RetryPolicy::Resumable;
}

Duration RequestRun::timeLeft() const { return Deadline - now(); }

TimePoint RequestRun::answerBy() const {
  return MatchedRoute->IsStreaming
             ? std::min(Deadline,
                        LastForwardedAt + callerTimeout() - CallerMargin)
             : Deadline;
}

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
  Result.AllowedRegions = AllowedRegions;
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
        std::min(now() + MaxResumeWait, answerBy() - ResponseMargin);
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
  Query.AllowedRegions = AllowedRegions;
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
          stopAttempts(StopCause::CallerLeft);
          if (End)
            End();
        });
      };
  co_return co_await Owner.acquireServer(
      std::move(Query), std::move(QueueEntry), SetDisconnectHandler);
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
  Query.TimeLeft = answerBy() - now() - ResponseMargin;
  return Query;
}

bool RequestRun::mayRetry(const ExchangeResult &Last) {
  if (Last.Fate == AttemptStatus::Completed ||
      Attempts >= MatchedRoute->MaxAttemptsPerRequest)
    return false;
  if (HeadForwarded && !resumable())
    return false;
  if (crashForbidsAttempt())
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
                             Shortage == ServerShortage::Absent ||
                             Shortage == ServerShortage::NotAllowed
                         ? RefusalCause::NotReady
                         : RefusalCause::Overload)};
}

Duration RequestRun::retryAfter(RefusalCause Cause) const {
  const TimePoint Now = now();
  const Duration Default = returnDelay(Cause, timeLeft());
  ServerRequirements Query;
  Query.Pool = Pool->Name;
  Query.AllowedRegions = AllowedRegions;
  const auto Until = refusedUntil(Owner.servers(), Query, Now);
  if (!Until || *Until == TimePoint::max())
    return Default;
  // A server takes one request at first, so callers come back spread over the
  // usual pause.
  std::uniform_int_distribution<Duration::rep> Spread(0, Default.count());
  return *Until - Now + Duration(Spread(Owner.node().Generator));
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
  if (closesConnections())
    Text += "Connection: close\r\n";
  return Text;
}

bool RequestRun::closesConnections() const {
  return Owner.drainProgress().Stage != DrainStage::Serving;
}

net::awaitable<bool> RequestRun::writeResponse(std::string Text) {
  ResponseBegun = true;
  CloseAnnounced = closesConnections();
  const bool Written = co_await Session.write(Text);
  co_return Written;
}

net::awaitable<bool> RequestRun::forwardResponse(BufferedResponse Response) {
  platform::removeRefusalTime(Response.Status, Response.Headers);
  std::string Text =
      formatHead(Response.Status, Response.Headers) +
      fmt::format("Content-Length: {}\r\n\r\n", Response.BodySize);
  Text.reserve(Text.size() + Response.BodySize);
  for (; !Response.Body.empty(); Response.Body.pop_front())
    Text += Response.Body.front();
  const bool Written = co_await writeResponse(std::move(Text));
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
  std::string ResponseText = formatHead(Content.Status, Headers) +
                             fmt::format("Content-Length: {}\r\n\r\n{}",
                                         ProblemText.size(), ProblemText);
  const bool Written = co_await writeResponse(std::move(ResponseText));
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

} // namespace marigoldyard
