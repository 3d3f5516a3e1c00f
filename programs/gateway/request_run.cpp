#include "programs/gateway/request_run.hpp"

#include "marigoldyard/transport/clock.hpp"

#include <algorithm>
#include <boost/beast/http/status.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace marigoldyard {

namespace net = boost::asio;
namespace http = boost::beast::http;
using std::chrono::milliseconds;

namespace {

/// Time kept before a route's timeout, in which the caller gets its answer.
constexpr milliseconds AnswerMargin{40};
/// A request that must run at most once cannot be repeated after it was sent on
/// a connection that the server just closed, so it takes young ones only.
constexpr Duration YoungConnection = std::chrono::seconds(1);
/// Silence before the first event after which a stream is sent elsewhere;
/// callers give up after two seconds or more.
constexpr milliseconds ShortestFirstEvent{1200};
/// Silence between events after which a stream continues elsewhere.
constexpr milliseconds ShortestGap{1000};
/// Answers of plain services are repeated after this many target latencies.
constexpr int SilentTargets = 3;
/// Callers leave a stream after the longest of these: two seconds, four target
/// latencies, eight longest pauses.
constexpr milliseconds ShortestPatience{2000};
constexpr int PatienceTargets = 4;
constexpr int PatienceGaps = 8;
/// Part of a caller's patience for which its request waits for a server.
constexpr double HoldShare = 0.4;
/// Requests wait at least this long: a slot becomes free every few
/// milliseconds.
constexpr milliseconds ShortestHold{50};
/// Time already spent by a caller above which its request is a second try.
constexpr milliseconds ComeBackThreshold{100};
/// Time that a server needs from the start of a request to the first event,
/// besides reading its prompt.
constexpr milliseconds FirstEventTime{120};
/// Work of an output token compared with a prompt token, as in the users'
/// measure of size.
constexpr std::uint64_t OutputTokenCost = 10;
/// Callers that are refused for another reason than load come back after this
/// time.
constexpr milliseconds ComeBackAfter{200};
/// Part of the time left after which callers that are refused for load come
/// back: a burst may be over then, and callers wait no longer than a third.
constexpr double ComeBackShare = 0.15;

std::string_view view(boost::beast::string_view Text) {
  return {Text.data(), Text.size()};
}

std::string_view repeatName(const Route &Each) {
  if (Each.Streams)
    return "stream";
  return Each.Repeats == RepeatRule::Idempotent ? "idempotent" : "at_most_once";
}

std::string seconds(Duration Value) {
  return fmt::format("{:.3f}", std::chrono::duration<double>(Value).count());
}

} // namespace

RequestRun::RequestRun(Gateway &Gate, CallerSession &Connection,
                       const platform::RequestMessage &Received)
    : Owner(Gate), Session(Connection), Request(Received),
      Facts(platform::decodeCallerRequest(Received.base())),
      Table(Gate.routes()), Arrived(now()) {
  Order.Last = Facts.ResumeAfter;
}

RequestRun::~RequestRun() {
  if (Admitted)
    noteWorkFinished(Owner.departure());
}

net::awaitable<bool> RequestRun::run() {
  if (auto Refusal = admit())
    co_return co_await answer(std::move(*Refusal));
  Session.onGone([this] {
    if (Current != nullptr)
      Current->cancel();
  });
  const bool Keep = co_await serve();
  Session.onGone(nullptr);
  co_return Keep &&Owner.departure().Stage == DrainStage::Serving;
}

std::optional<RequestRun::OwnAnswer> RequestRun::admit() {
  if (!Table)
    return OwnAnswer{503,
                     "not_run",
                     Step::ConfigurationRead,
                     "store",
                     "no configuration is known yet",
                     ComeBackAfter};
  Matched = findRoute(*Table, view(Request[http::field::host]),
                      view(Request.target()));
  if (Matched == nullptr)
    return OwnAnswer{404, "not_run", Step::Routing, "", "no route", {}};
  const bool Keyed = !Table->Content.Customers.empty();
  if (Keyed && !Facts.Key.empty())
    Sender = findCustomer(*Table, Facts.Key);
  if (Keyed && Sender == nullptr && !Matched->Anonymous)
    return OwnAnswer{401, "not_run", Step::Authenticate, "", "unknown key", {}};
  if (admitWork(Owner.departure(), Arrived))
    return OwnAnswer{503, "not_run", Step::Drain,
                     "",  "leaving", milliseconds(0)};
  Admitted = true;
  Pool = choosePool(*Table, *Matched, Owner.node().Source);
  if (Pool == nullptr)
    return OwnAnswer{503,
                     "not_run",
                     Step::Routing,
                     "",
                     "the configuration does not describe the pool",
                     ComeBackAfter};
  const Duration Left =
      std::min(Facts.TimeLeft.value_or(Matched->Timeout), Matched->Timeout);
  Deadline = Arrived + Left;
  noteFirstTry(Owner.retryBudget(Pool->Name), Arrived);
  return std::nullopt;
}

net::awaitable<bool> RequestRun::serve() {
  for (;;) {
    const ServerChoice Choice = co_await acquire();
    if (Session.gone()) {
      if (Choice.Shortage == ServerShortage::None) {
        Owner.promptRead(Choice.Id, Facts.PromptTokens);
        Owner.releaseServer(Choice.Id);
      }
      log("caller_left", serverShortageName(Choice.Shortage));
      co_return false;
    }
    if (Choice.Shortage != ServerShortage::None) {
      if (HeadPassed) {
        log("stream_broken", serverShortageName(Choice.Shortage));
        co_return false;
      }
      const bool NotRun = std::all_of(Fates.begin(), Fates.end(), provesNotRun);
      OwnAnswer Refusal =
          NotRun ? shortageAnswer(Choice.Shortage) : failureAnswer({});
      co_return co_await answer(std::move(Refusal));
    }
    ExchangeResult Result = co_await sendTo(Choice.Id);
    if (Session.gone()) {
      log("caller_left", "during the send");
      co_return false;
    }
    if (!mayRepeat(Result))
      co_return co_await conclude(std::move(Result));
  }
}

bool RequestRun::resumable() const {
  return Matched->Repeats == RepeatRule::Resumable;
}

Duration RequestRun::timeLeft() const { return Deadline - now(); }

WaitingRequest RequestRun::waitingRequest() const {
  WaitingRequest Result;
  Result.Pool = Pool->Name;
  Result.Customer = Sender != nullptr ? Sender->Name : std::string();
  Result.Priority = HeadPassed ? 0 : requestPriority(*Matched, Sender);
  Result.Cost = 1 + Facts.PromptTokens + OutputTokenCost * Facts.OutputTokens;
  Result.Arrived = Arrived;
  // A caller that comes back has less time left than the route gives.
  const Duration Earlier =
      std::max(Duration::zero(),
               Matched->Timeout - Facts.TimeLeft.value_or(Matched->Timeout));
  Duration ReadingTime{};
  if (Pool->PromptTokensPerSecond > 0)
    ReadingTime =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
            static_cast<double>(Facts.PromptTokens) /
            Pool->PromptTokensPerSecond)) +
        FirstEventTime;
  Result.OnTimeUntil = Arrived + Matched->TargetLatency - Earlier - ReadingTime;
  const Duration Patience =
      Matched->Streams ? std::max({Duration(ShortestPatience),
                                   PatienceTargets * Matched->TargetLatency,
                                   PatienceGaps * Matched->TargetGap})
                       : Deadline - Arrived;
  // A first try is worth its wait only while it can be on time; a caller that
  // came back is late anyway and waits as long as it has patience.
  const bool CameBack = Earlier > ComeBackThreshold;
  const Duration Hold =
      Matched->Streams && !CameBack
          ? std::max<Duration>(ShortestHold, Result.OnTimeUntil - Arrived)
          : std::chrono::duration_cast<Duration>(Patience * HoldShare);
  Result.HoldUntil = std::min(Arrived + Hold, Deadline - AnswerMargin);
  if (HeadPassed)
    Result.HoldUntil = std::min(now() + ShortestGap, Deadline - AnswerMargin);
  return Result;
}

net::awaitable<ServerChoice> RequestRun::acquire() {
  ServerQuestion Question;
  Question.Pool = Pool->Name;
  Question.Model = Facts.Model;
  Question.PromptTokens = Facts.PromptTokens;
  Question.TokensAtOnce = Pool->PromptTokensAtOnce;
  Question.Excluded = Tried;
  if (HeadPassed)
    Question.ExactVersion = Version;
  WaitingRequest Place = waitingRequest();
  const std::function<void(std::function<void()>)> Left =
      [this](std::function<void()> Leave) {
        Session.onGone([this, End = std::move(Leave)] {
          if (Current != nullptr)
            Current->cancel();
          if (End)
            End();
        });
      };
  co_return co_await Owner.acquireServer(std::move(Question), std::move(Place),
                                         Left);
}

ExchangeLimits RequestRun::exchangeLimits() const {
  ExchangeLimits Limits;
  Limits.Deadline = Deadline - AnswerMargin;
  Limits.MaxIdleAge = Duration::max();
  Limits.Gap =
      std::max(Duration(ShortestGap), SilentTargets * Matched->TargetGap);
  switch (Matched->Repeats) {
  case RepeatRule::AtMostOnce:
    Limits.FirstByte = Duration(std::chrono::hours(1));
    Limits.MaxIdleAge = YoungConnection;
    Limits.Gap = Limits.FirstByte;
    break;
  case RepeatRule::Idempotent:
    Limits.FirstByte = SilentTargets * Matched->TargetLatency;
    break;
  case RepeatRule::Resumable:
    Limits.FirstByte = std::max(Duration(ShortestFirstEvent),
                                SilentTargets * Matched->TargetLatency);
    break;
  }
  return Limits;
}

net::awaitable<ExchangeResult> RequestRun::sendTo(const std::string &Id) {
  const ServerRecord Record = Owner.servers().Servers.at(Id).Record;
  platform::ServerRequest Content;
  Content.ServerId = Id;
  Content.Customer = Sender != nullptr ? Sender->Name : std::string();
  Content.TimeLeft = std::max(Duration::zero(), timeLeft());
  Content.Priority = HeadPassed ? 0 : requestPriority(*Matched, Sender);
  Content.ResumeAfter = Order.Last;
  if (HeadPassed)
    Content.RequiredVersion = Version;
  Tried.insert(Id);
  LastServer = Id;
  Reading = true;
  ++Sends;
  ServerExchange Exchange(
      Owner.node().Context, Owner.node().Timeouts, Owner.connections(),
      [this, &Id](const platform::AnswerLoad &Load) {
        noteLoad(Owner.servers(), Id, Load.Running + Load.Waiting);
      });
  Current = &Exchange;
  StreamReceiver Receiver = streamReceiver();
  const platform::RequestMessage Outgoing =
      platform::buildServerRequest(Request, Content);
  ExchangeLimits Limits = exchangeLimits();
  // A request that waits at a server must not begin on an outdated version; a
  // stream that continues there begins too.
  if (auto Until = Owner.beginUntil(Id, Facts.Model))
    Limits.FirstByte =
        std::min(Limits.FirstByte, std::max(Duration::zero(), *Until - now()));
  ExchangeResult Result =
      co_await Exchange.run(Outgoing, Record.Address, Facts.Id, Limits,
                            Matched->Streams ? &Receiver : nullptr);
  Current = nullptr;
  Fates.push_back(Result.Fate);
  noteOutcome(Owner.servers(), Id, Result.Health, now());
  logSend(Id, Result);
  endReading();
  Owner.releaseServer(Id);
  co_return Result;
}

void RequestRun::endReading() {
  if (std::exchange(Reading, false))
    Owner.promptRead(LastServer, Facts.PromptTokens);
}

bool RequestRun::mayRepeat(const ExchangeResult &Last) {
  if (Last.Fate == TryFate::Completed || Sends >= Matched->MaxSends)
    return false;
  if (HeadPassed && !resumable())
    return false;
  RetryQuestion Question;
  Question.LastTry = Last.Fate;
  Question.Reason = Last.Reason;
  Question.Idempotent = Matched->Repeats != RepeatRule::AtMostOnce;
  Question.MaybeRun = !std::all_of(Fates.begin(), Fates.end(), provesNotRun);
  Question.Tries = Sends;
  Question.TimeLeft = timeLeft() - AnswerMargin;
  const RetryVerdict Verdict =
      decideRetry(Owner.retryBudget(Pool->Name), Question, now());
  if (Verdict != RetryVerdict::Retry)
    Owner.node().Log.write(
        {.Event = "repeat_denied",
         .At = Step::Send,
         .Request = Facts.Id,
         .Fields = {{"reason", std::string(retryVerdictName(Verdict))}}});
  return Verdict == RetryVerdict::Retry;
}

net::awaitable<bool> RequestRun::conclude(ExchangeResult Last) {
  if (HeadPassed)
    co_return co_await concludeStream(Last);
  if (Last.Answer)
    co_return co_await passWhole(std::move(*Last.Answer));
  OwnAnswer Failure = failureAnswer(Last);
  co_return co_await answer(std::move(Failure));
}

net::awaitable<bool> RequestRun::concludeStream(const ExchangeResult &Last) {
  if (Last.Fate != TryFate::Completed) {
    // Without the last chunk the caller knows that the answer is not whole.
    log("stream_broken", Last.Detail);
    co_return false;
  }
  const bool Written = co_await Session.write("0\r\n\r\n");
  log(Written ? "complete" : "caller_left", "");
  co_return Written;
}

RequestRun::OwnAnswer
RequestRun::failureAnswer(const ExchangeResult &Last) const {
  const bool NotRun = std::all_of(Fates.begin(), Fates.end(), provesNotRun);
  const std::string Detail = fmt::format(
      "{} ({})", make_error_code(Last.Reason).message(), Last.Detail);
  if (NotRun)
    return {503, "not_run", Step::Send, LastServer, Detail, ComeBackAfter};
  const bool Late = timeLeft() <= 2 * AnswerMargin;
  return {Late ? 504U : 502U, "unknown", Step::Send, LastServer, Detail, {}};
}

RequestRun::OwnAnswer
RequestRun::shortageAnswer(ServerShortage Shortage) const {
  return {503,
          "not_run",
          Step::Admission,
          Pool->Name,
          std::string(serverShortageName(Shortage)),
          std::chrono::duration_cast<Duration>(
              std::max(Duration::zero(), timeLeft()) * ComeBackShare)};
}

StreamReceiver RequestRun::streamReceiver() {
  StreamReceiver Receiver;
  Receiver.Head = [this](const platform::Fields &Headers, unsigned Status,
                         const platform::ServerAnswer &Head) {
    return passHead(Headers, Status, Head);
  };
  Receiver.Events = [this](std::vector<StreamEvent> Events) {
    return passEvents(std::move(Events));
  };
  return Receiver;
}

std::string RequestRun::headText(unsigned Status,
                                 const platform::Fields &Headers) const {
  std::string Text = fmt::format(
      "HTTP/1.1 {} {}\r\n", Status,
      view(http::obsolete_reason(static_cast<http::status>(Status))));
  for (const auto &Each : Headers)
    if (platform::passesToCaller(view(Each.name_string())))
      fmt::format_to(std::back_inserter(Text), "{}: {}\r\n",
                     view(Each.name_string()), view(Each.value()));
  if (Owner.departure().Stage != DrainStage::Serving)
    Text += "Connection: close\r\n";
  return Text;
}

net::awaitable<bool> RequestRun::passHead(const platform::Fields &Headers,
                                          unsigned Status,
                                          const platform::ServerAnswer &Head) {
  // A stream that continues keeps the head and the weights of its first
  // server.
  if (HeadPassed)
    co_return !Head.Version || !Version || *Head.Version == *Version;
  HeadPassed = true;
  Version = Head.Version;
  FirstEventAt = now();
  const std::string Text =
      headText(Status, Headers) + "Transfer-Encoding: chunked\r\n\r\n";
  co_return co_await Session.write(Text);
}

net::awaitable<bool> RequestRun::passEvents(std::vector<StreamEvent> Events) {
  endReading();
  std::string Text;
  bool InOrder = true;
  for (const StreamEvent &Event : Events) {
    InOrder = acceptEvent(Order, Event);
    if (!InOrder)
      break;
    Text += Event.Text;
  }
  if (Text.empty())
    co_return InOrder;
  const std::string Part = fmt::format("{:x}\r\n{}\r\n", Text.size(), Text);
  const bool Written = co_await Session.write(Part);
  co_return Written &&InOrder;
}

net::awaitable<bool> RequestRun::passWhole(WholeAnswer Answer) {
  const std::string Text =
      headText(Answer.Status, Answer.Headers) +
      fmt::format("Content-Length: {}\r\n\r\n", Answer.Body.size()) +
      Answer.Body;
  const bool Written = co_await Session.write(Text);
  log(Written ? "complete" : "caller_left",
      fmt::format("status {}", Answer.Status));
  co_return Written;
}

net::awaitable<bool> RequestRun::answer(OwnAnswer Content) {
  const nlohmann::json Problem = {
      {"type", "about:blank"},      {"status", Content.Status},
      {"outcome", Content.Outcome}, {"step", stepName(Content.At)},
      {"peer", Content.Peer},       {"detail", Content.Detail}};
  const std::string Text =
      Problem.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  platform::Fields Headers;
  platform::setRequestId(Headers, Facts.Id);
  Headers.set(http::field::content_type, "application/problem+json");
  if (Content.RetryAfter)
    Headers.set(http::field::retry_after, seconds(*Content.RetryAfter));
  const std::string Whole =
      headText(Content.Status, Headers) +
      fmt::format("Content-Length: {}\r\n\r\n{}", Text.size(), Text);
  const bool Written = co_await Session.write(Whole);
  log(Content.Outcome, fmt::format("status {} at {}: {}", Content.Status,
                                   stepName(Content.At), Content.Detail));
  co_return Written;
}

void RequestRun::log(std::string_view Outcome, std::string_view Detail) {
  const Duration Total = now() - Arrived;
  LogEvent Line;
  Line.Event = "request";
  Line.Request = Facts.Id;
  Line.Number = Table ? std::optional(Table->Content.Number) : std::nullopt;
  Line.Fields = {{"outcome", std::string(Outcome)},
                 {"detail", std::string(Detail)},
                 {"route", Matched != nullptr ? Matched->Name : ""},
                 {"customer", Sender != nullptr ? Sender->Name : ""},
                 {"server", LastServer},
                 {"sends", std::to_string(Sends)},
                 {"seconds", seconds(Total)}};
  if (FirstEventAt)
    Line.Fields.emplace_back("first_event_s", seconds(*FirstEventAt - Arrived));
  if (Version)
    Line.Fields.emplace_back("weights", std::to_string(*Version));
  Owner.node().Log.write(Line);
  Owner.countAnswer(Matched != nullptr ? repeatName(*Matched) : "none", Outcome,
                    Total);
}

void RequestRun::logSend(const std::string &Id, const ExchangeResult &Result) {
  if (Result.Fate == TryFate::Completed)
    return; // the line of the request says all
  const auto Found = Owner.servers().Servers.find(Id);
  Owner.node().Log.write(
      {.Event = "send_failed",
       .At = Step::Send,
       .Request = Facts.Id,
       .Fields = {{"server", Id},
                  {"fate", std::string(tryFateName(Result.Fate))},
                  {"reason", make_error_code(Result.Reason).message()},
                  {"detail", Result.Detail},
                  {"estimated_load",
                   Found == Owner.servers().Servers.end()
                       ? "gone"
                       : std::to_string(
                             estimatedLoad(Owner.servers(), Found->second))},
                  {"waited_s", seconds(now() - Arrived)}}});
}

} // namespace marigoldyard
