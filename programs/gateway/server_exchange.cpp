#include "programs/gateway/server_exchange.hpp"

#include "marigoldyard/coordination/response_match.hpp"
#include "marigoldyard/transport/clock.hpp"
#include "marigoldyard/transport/endpoint.hpp"
#include "marigoldyard/transport/http_message.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>
#include <utility>

namespace marigoldyard {

namespace net = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using Tcp = net::ip::tcp;

namespace {

/// Connections between regions open within a few milliseconds. A lost SYN is
/// sent again only after a second.
constexpr std::chrono::milliseconds ConnectTimeout{400};
/// Longer bodies are written while the response is read, because a server may
/// respond before it has read the body.
constexpr std::size_t ParallelBodyBytes = 16UL << 10;
constexpr std::size_t BodyBlockBytes = 64UL << 10;
constexpr std::size_t ReadChunkBytes = 16UL << 10;
constexpr std::size_t MaxResponseBytes = 16UL << 20;
/// Maximum size of a response that is no success.
constexpr std::size_t MaxErrorBytes = 1UL << 20;
constexpr std::size_t MaxEventBytes = 1UL << 20;
/// Maximum size of interim and stale responses before the response.
constexpr std::size_t MaxSkippedBytes = 64UL << 10;
/// Interval of checks whether a request still waits at a busy server, or can
/// leave a silent one.
constexpr std::chrono::milliseconds WaitCheckInterval{200};
/// Longest time for which the first events of a stream are held. A server that
/// fails at the first event does so sooner.
constexpr std::chrono::milliseconds MaxHoldTime{200};
/// Longest wait for the body of a refusal, and its maximum size. Refusals carry
/// a line of text, and a longer read would only serve to keep the connection.
constexpr std::chrono::milliseconds RefusalBodyTimeout{50};
constexpr std::size_t MaxRefusalBytes = 64UL << 10;
constexpr unsigned FirstServerError = 500;

bool succeeded(unsigned Status) { return Status / 100 == 2; }

void appendBody(BufferedResponse &Response, std::string_view Bytes) {
  auto &Blocks = Response.Body;
  Response.BodySize += Bytes.size();
  if (!Blocks.empty() &&
      Blocks.back().capacity() - Blocks.back().size() >= Bytes.size()) {
    Blocks.back() += Bytes;
    return;
  }
  Blocks.emplace_back(Bytes);
  if (Blocks.size() > 1)
    Blocks.back().reserve(BodyBlockBytes);
}

bool isEventStream(const platform::Fields &Headers) {
  return Headers[http::field::content_type].starts_with("text/event-stream");
}

/// Value of "timeout=N" in the Keep-Alive header.
Duration keepAliveTimeout(const platform::Fields &Headers) {
  constexpr std::string_view Name = "timeout=";
  const auto Value = Headers[http::field::keep_alive];
  const std::string_view Text(Value.data(), Value.size());
  const std::size_t Start = Text.find(Name);
  unsigned Seconds = 0;
  if (Start == std::string_view::npos)
    return ServerConnections::DefaultIdleTimeout;
  const std::string_view Digits = Text.substr(Start + Name.size());
  std::from_chars(Digits.data(), Digits.data() + Digits.size(), Seconds);
  return std::chrono::seconds(Seconds);
}

/// Whether a write failed because the server reset the connection. After the
/// server's orderly end, a reset fails a write with broken_pipe.
bool isReset(const error_code &Failure) {
  return Failure == net::error::connection_reset;
}

/// Result of a stream that was read to its end.
ExchangeResult completedResult() {
  ExchangeResult Result;
  Result.Fate = AttemptStatus::Completed;
  Result.Health = ServerOutcome::Answered;
  return Result;
}

} // namespace

ServerExchange::ServerExchange(
    net::io_context &IoContext, TimeoutList &Timeouts,
    ServerConnections &IdleConnections, ResponseMemory &SharedMemory,
    std::function<void(const platform::ServerResponse &)> HeadHandler)
    : Context(IoContext), Connections(IdleConnections), Memory(SharedMemory),
      OnResponseHead(std::move(HeadHandler)),
      Timer(Timeouts, [this] { handleTimeout(); }) {}

void ServerExchange::stop(StopCause Cause) {
  if (!wasStopped())
    Stopped = Cause;
  abortConnection();
}

void ServerExchange::release() {
  if (Holding)
    Timer.expiresAt(now());
}

void ServerExchange::handleTimeout() {
  if (Holding && !wasStopped() && now() < Limits.Deadline) {
    // Cancelling the read would also cancel the rest of a long request body.
    if (!Written->Complete)
      return Timer.expiresAt(now() + WaitCheckInterval);
    Holding = false;
    ReleaseDue = true;
    error_code Ignored; // without a pending read, the next one releases them
    Connection->Socket.cancel(Ignored);
    return;
  }
  // Cancelling has no effect on a read that never has to wait for bytes.
  if (!prolongWait())
    abortConnection();
}

void ServerExchange::abortConnection() {
  if (!Connection)
    return;
  error_code Ignored; // the socket is closed either way
  // After a graceful close, a slow link would still deliver the request, and
  // the server would run it although nobody waits for it.
  Connection->Socket.set_option(net::socket_base::linger(true, 0), Ignored);
  Connection->Socket.close(Ignored);
}

TimePoint ServerExchange::firstByteTimeout() const {
  const TimePoint End = Limits.SilentUntil
                            ? std::min(Limits.Deadline, Limits.SilentUntil())
                            : Limits.Deadline;
  return std::min(End, now() + Limits.FirstByteTimeout);
}

TimePoint ServerExchange::nextTimeout() const {
  return Holding ? std::min(now() + MaxHoldTime, Limits.SilentUntil())
                 : now() + Limits.GapTimeout;
}

bool ServerExchange::isWaitingAtServer() const {
  return AwaitsFirstEvent && Limits.IsWaiting && now() < Limits.MaxWaitUntil &&
         Limits.IsWaiting();
}

bool ServerExchange::prolongWait() {
  const TimePoint Now = now();
  if (wasStopped())
    return false;
  if (!AwaitsResponse || Now >= Limits.Deadline) {
    EndedBy = Now >= Limits.Deadline ? "deadline" : "time_limit";
    return false;
  }
  TimePoint Until = std::min(Now + WaitCheckInterval, Limits.Deadline);
  if (isWaitingAtServer()) {
    Until = std::min(Until, Limits.MaxWaitUntil);
  } else if (!Limits.OnSilence) {
    EndedBy = "time_limit";
    return false;
  } else if (Now >= Limits.SilentUntil()) {
    EndedBy = "silence";
    return false;
  } else {
    Limits.OnSilence(!std::exchange(Silent, true));
    Until = std::min(Until, Limits.SilentUntil());
  }
  Timer.expiresAt(Until);
  return true;
}

net::awaitable<ExchangeResult>
ServerExchange::run(const platform::RequestMessage &Request,
                    const std::string &Address, const std::string &RequestId,
                    const ExchangeLimits &RequestedLimits,
                    StreamReceiver *Receiver) {
  Limits = RequestedLimits;
  // Without an id, a late response to another request could not be recognized.
  const bool HasId = !RequestId.empty();
  if (HasId && !wasStopped())
    Connection = Connections.take(Address, now(), Limits.MaxIdleAge);
  ExchangeResult Result;
  bool Connected = Connection != nullptr;
  if (!Connected && !wasStopped())
    Connected = co_await connect(Address);
  if (!Connected || wasStopped()) {
    Result = failureResult({});
    Result.Fate = AttemptStatus::NeverSent;
    if (!wasStopped()) {
      Result.Reason = ErrorCode::PeerUnreachable;
      Result.Health = ServerOutcome::Unreachable;
    }
    Result.Detail = "no connection";
    co_return Result;
  }
  Timer.expiresAt(firstByteTimeout());
  if (!co_await send(Request)) {
    Result = failureResult({});
    if (!wasStopped())
      Result.Reason = ErrorCode::PeerUnreachable;
    Result.Detail = "request was not written";
    Timer.clear();
    co_return Result;
  }
  AwaitsFirstEvent = true;
  AwaitsResponse = true;
  Result = co_await receive(RequestId, Receiver);
  Result.ConnectTime = ConnectTime;
  Timer.clear();
  if (Reusable && HasId && Written->Complete && !wasStopped()) {
    Connections.putBack(Address, std::move(Connection), now());
  } else {
    error_code Ignored;
    Connection->Socket.close(Ignored);
  }
  co_return Result;
}

net::awaitable<bool> ServerExchange::connect(const std::string &Address) {
  Connection = std::make_shared<ServerConnection>(Context);
  const auto Endpoint = parseEndpoint(Address);
  if (!Endpoint)
    co_return false;
  const TimePoint StartedAt = now();
  Timer.expiresAt(std::min(Limits.Deadline, StartedAt + ConnectTimeout));
  error_code Failure;
  co_await Connection->Socket.async_connect(
      *Endpoint, net::redirect_error(net::use_awaitable, Failure));
  const bool TimedOut = Timer.expired();
  Timer.clear();
  if (Failure || TimedOut)
    co_return false;
  ConnectTime = now() - StartedAt;
  error_code Ignored; // the connection works without the option too
  Connection->Socket.set_option(Tcp::no_delay(true), Ignored);
  co_return true;
}

net::awaitable<bool>
ServerExchange::send(const platform::RequestMessage &Request) {
  if (Request.body().size() > ParallelBodyBytes) {
    net::co_spawn(
        Context,
        [Link = Connection, Write = Written,
         Copy = Request]() -> net::awaitable<void> {
          co_await http::async_write(
              Link->Socket, Copy,
              net::redirect_error(net::use_awaitable, Write->Failure));
          Write->Complete = !Write->Failure;
        },
        net::detached);
    co_return true;
  }
  co_await http::async_write(
      Connection->Socket, Request,
      net::redirect_error(net::use_awaitable, Written->Failure));
  Written->Complete = !Written->Failure;
  co_return Written->Complete;
}

net::awaitable<error_code> ServerExchange::readHead(Parser &ResponseParser,
                                                    std::size_t &BytesRead) {
  error_code Failure;
  ResponseParser.body_limit(MaxResponseBytes);
  BytesRead += co_await http::async_read_header(
      Connection->Socket, Connection->Buffer, ResponseParser,
      net::redirect_error(net::use_awaitable, Failure));
  co_return Failure;
}

net::awaitable<error_code> ServerExchange::readChunk(Parser &ResponseParser,
                                                     std::string &Chunk) {
  Chunk.resize(ReadChunkBytes);
  auto &Body = ResponseParser.get().body();
  Body.data = Chunk.data();
  Body.size = Chunk.size();
  error_code Failure;
  co_await http::async_read_some(
      Connection->Socket, Connection->Buffer, ResponseParser,
      net::redirect_error(net::use_awaitable, Failure));
  if (Failure == http::error::need_buffer)
    Failure = {};
  Chunk.resize(Chunk.size() - Body.size);
  if (!Failure && ResponseParser.need_eof() && ResponseParser.is_done() &&
      !Written->Complete) {
    // The result of a write that failed before this read is already queued.
    co_await net::post(Context, net::use_awaitable);
    if (isReset(Written->Failure))
      Failure = Written->Failure;
  }
  co_return Failure;
}

ExchangeResult ServerExchange::failureResult(const error_code &Cause) const {
  ExchangeResult Result;
  Result.Detail = Cause.message();
  switch (Stopped) {
  case StopCause::CallerLeft:
    Result.Reason = ErrorCode::Cancelled;
    Result.Health = ServerOutcome::Answered;
    return Result;
  case StopCause::OtherServerAnswers:
    // A silence was recorded when it began.
    Result.Reason = Silent ? ErrorCode::PeerTimeout : ErrorCode::Cancelled;
    Result.Health.reset();
    Result.Detail = Silent ? "timed out" : "another server answers";
    Result.EndedBy = "other_server_answers";
    return Result;
  case StopCause::VersionOutOfUse:
    Result.Reason = ErrorCode::WrongWeights;
    Result.Health = ServerOutcome::Answered;
    Result.Detail = "not started before the version went out of use";
    return Result;
  case StopCause::EndOfProcess:
  case StopCause::None:
    break;
  }
  if (wasStopped() || Timer.expired()) {
    Result.Reason = ErrorCode::PeerTimeout;
    Result.Health = ServerOutcome::AnswerTimeout;
    Result.Detail = "timed out";
    Result.EndedBy = wasStopped() ? "end_of_process" : EndedBy;
  } else {
    Result.Reason = ErrorCode::StreamIncomplete;
  }
  return Result;
}

ExchangeResult ServerExchange::stoppedResult(PartStatus Status) const {
  if (Status == PartStatus::Invalid)
    return corruptResult("does not continue the stream");
  ExchangeResult Result = failureResult({});
  if (wasStopped())
    return Result;
  Result.Reason = ErrorCode::Cancelled;
  Result.Health = ServerOutcome::Answered;
  return Result;
}

ExchangeResult ServerExchange::corruptResult(std::string Detail) const {
  ExchangeResult Result = failureResult({});
  if (wasStopped())
    return Result;
  Result.Reason = ErrorCode::StreamCorrupt;
  Result.Detail = std::move(Detail);
  return Result;
}

ExchangeResult ServerExchange::endlessResult() const {
  ExchangeResult Result =
      failureResult(http::make_error_code(http::error::body_limit));
  if (!wasStopped())
    Result.Health = ServerOutcome::EndlessAnswer;
  return Result;
}

net::awaitable<ExchangeResult>
ServerExchange::receive(const std::string &RequestId,
                        StreamReceiver *Receiver) {
  bool FirstOnConnection = !Connection->Reused;
  std::size_t SkippedBytes = 0;
  for (;;) {
    Parser ResponseParser;
    const error_code Failure = co_await readHead(ResponseParser, SkippedBytes);
    if (Failure)
      co_return failureResult(Failure);
    if (SkippedBytes > MaxSkippedBytes)
      co_return endlessResult();
    const unsigned Status = ResponseParser.get().result_int();
    // Nothing in such a head is believed, not even that it was not run.
    if (!isValidStatus(Status))
      co_return corruptResult("invalid status " + std::to_string(Status));
    if (Status / 100 == 1)
      continue;
    const platform::ServerResponse Head =
        platform::decodeServerResponse(Status, ResponseParser.get().base());
    OnResponseHead(Head);
    const ResponseMeaning Meaning =
        matchResponse({Head.RequestId, succeeded(Status), Head.Signed,
                       Head.NotRun, FirstOnConnection},
                      RequestId);
    if (Meaning == ResponseMeaning::Stale) {
      // A late response to an earlier request precedes the response to this
      // one.
      FirstOnConnection = false;
      const error_code SkipFailure =
          co_await skipBody(ResponseParser, SkippedBytes, MaxSkippedBytes);
      if (SkipFailure == http::error::body_limit)
        co_return endlessResult();
      if (SkipFailure || ResponseParser.get().need_eof())
        co_return failureResult(http::make_error_code(http::error::bad_value));
      continue;
    }
    if (Meaning == ResponseMeaning::Invalid) {
      co_return corruptResult(Head.Signed
                                  ? "success that states that it did not run"
                                  : "success without the server's signature");
    }
    Connection->IdleTimeout = keepAliveTimeout(ResponseParser.get().base());
    if (Meaning == ResponseMeaning::Refusal)
      co_return co_await readRefusal(ResponseParser, Head);
    if (Receiver != nullptr && succeeded(Status) &&
        isEventStream(ResponseParser.get().base()))
      co_return co_await readStream(ResponseParser, Head, *Receiver);
    co_return co_await readBuffered(ResponseParser);
  }
}

net::awaitable<error_code> ServerExchange::skipBody(Parser &ResponseParser,
                                                    std::size_t &BytesRead,
                                                    std::size_t MaxBytes) {
  std::string Chunk;
  while (!ResponseParser.is_done()) {
    const error_code Failure = co_await readChunk(ResponseParser, Chunk);
    if (Failure)
      co_return Failure;
    BytesRead += Chunk.size();
    if (BytesRead > MaxBytes)
      co_return http::make_error_code(http::error::body_limit);
  }
  co_return error_code();
}

// The head proves that the request was not run. The body is only read so that
// the connection can be reused.
net::awaitable<ExchangeResult>
ServerExchange::readRefusal(Parser &ResponseParser,
                            const platform::ServerResponse &Head) {
  AwaitsFirstEvent = false;
  AwaitsResponse = false;
  const TimePoint BodyLimit = now() + RefusalBodyTimeout;
  Timer.expiresAt(std::min(Limits.Deadline, BodyLimit));
  std::size_t BytesRead = 0;
  const error_code Failure =
      co_await skipBody(ResponseParser, BytesRead, MaxRefusalBytes);
  Reusable = !Failure && mayReuse(ResponseParser);
  // A body that is cut short by the deadline, by a stop or by the server's
  // close says nothing about its length.
  const bool TooLong = Failure == http::error::body_limit;
  const bool TooSlow = Failure && !wasStopped() && Timer.expired() &&
                       BodyLimit <= Limits.Deadline;
  ExchangeResult Result;
  Result.Fate = AttemptStatus::Refused;
  Result.Health = ServerOutcome::Answered;
  if (TooLong || TooSlow) {
    Result.Health = ServerOutcome::EndlessAnswer;
    Result.Detail = "refusal without end";
  }
  Result.Reason =
      Head.WrongServer ? ErrorCode::WrongWeights : ErrorCode::QueueFull;
  co_return Result;
}

bool ServerExchange::mayReuse(const Parser &ResponseParser) const {
  return ResponseParser.get().keep_alive() &&
         !ResponseParser.get().need_eof() && Connection->Buffer.size() == 0;
}

net::awaitable<ExchangeResult>
ServerExchange::readBuffered(Parser &ResponseParser) {
  BufferedResponse Response{ResponseParser.get().result_int(),
                            {},
                            {},
                            0,
                            ResponseReservation(Memory)};
  AwaitsFirstEvent = false;
  Timer.expiresAt(Limits.Deadline);
  const std::size_t MaxBytes =
      succeeded(Response.Status) ? MaxResponseBytes : MaxErrorBytes;
  const bool ServerError = Response.Status >= FirstServerError;
  bool TooLarge = ResponseParser.content_length().value_or(0) > MaxBytes;
  while (!TooLarge && !ResponseParser.is_done()) {
    std::string Chunk;
    const error_code Failure = co_await readChunk(ResponseParser, Chunk);
    appendBody(Response, Chunk);
    if (Failure)
      co_return failureResult(Failure);
    TooLarge = Response.BodySize > MaxBytes ||
               !Response.Memory.resize(Response.BodySize);
  }
  // A caller can ask for a success that is too large of each server in turn,
  // and the memory of the gateway may be short; neither is the server's fault.
  if (TooLarge && ServerError && Response.BodySize > MaxBytes)
    co_return endlessResult();
  if (TooLarge)
    co_return failureResult(http::make_error_code(http::error::body_limit));
  Reusable = mayReuse(ResponseParser);
  Response.Headers = ResponseParser.get().base();
  ExchangeResult Result;
  Result.Fate = ServerError ? AttemptStatus::Failed : AttemptStatus::Completed;
  Result.Health =
      ServerError ? ServerOutcome::ServerError : ServerOutcome::Answered;
  Result.Response = std::move(Response);
  co_return Result;
}

net::awaitable<ExchangeResult>
ServerExchange::readStream(Parser &ResponseParser,
                           const platform::ServerResponse &Head,
                           StreamReceiver &Receiver) {
  EventSplitter Splitter;
  Splitter.ExtraField = platform::weightVersionEventField();
  ResponseReservation PendingMemory(Memory);
  bool HeadForwarded = false;
  Timer.expiresAt(firstByteTimeout());
  while (!ResponseParser.is_done()) {
    std::string Chunk;
    error_code Failure = co_await readChunk(ResponseParser, Chunk);
    if (std::exchange(ReleaseDue, false) && !wasStopped() &&
        (!Failure || Failure == net::error::operation_aborted)) {
      Failure = {};
      Timer.clear();
      const PartStatus Status = co_await Receiver.OnRelease();
      if (Status != PartStatus::Forwarded)
        co_return stoppedResult(Status);
      Timer.expiresAt(std::min(Limits.Deadline, now() + Limits.GapTimeout));
    }
    // What was read in the moment of a stop does not count as begun.
    if (wasStopped())
      co_return failureResult(Failure);
    std::vector<StreamEvent> Events = splitEvents(Splitter, Chunk);
    const std::string Disorder = Receiver.TakeInOrder(Events);
    if (!Events.empty()) {
      AwaitsFirstEvent = false;
      Timer.clear(); // the caller's connection has a write timeout
      if (!std::exchange(HeadForwarded, true)) {
        const PartStatus Status =
            Receiver.OnHead(ResponseParser.get().base(),
                            ResponseParser.get().result_int(), Head);
        if (Status != PartStatus::Forwarded)
          co_return stoppedResult(Status);
      }
      const PartStatus Status = co_await Receiver.OnEvents(Events);
      Holding = Status == PartStatus::Held;
      if (!Holding && Status != PartStatus::Forwarded)
        co_return stoppedResult(Status);
      Silent = false;
      Timer.expiresAt(std::min(Limits.Deadline, nextTimeout()));
    }
    if (!Disorder.empty())
      co_return corruptResult(Disorder);
    if (Failure)
      co_return failureResult(Failure);
    if (Splitter.Pending.size() > MaxEventBytes ||
        !PendingMemory.resize(Splitter.Pending.size()))
      co_return failureResult(http::make_error_code(http::error::body_limit));
  }
  if (!Splitter.Pending.empty())
    co_return failureResult(
        http::make_error_code(http::error::partial_message));
  if (!HeadForwarded) {
    const PartStatus Status = Receiver.OnHead(
        ResponseParser.get().base(), ResponseParser.get().result_int(), Head);
    if (Status != PartStatus::Forwarded)
      co_return stoppedResult(Status);
  }
  Reusable = mayReuse(ResponseParser);
  co_return completedResult();
}

} // namespace marigoldyard
