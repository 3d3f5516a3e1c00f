#include "programs/gateway/server_exchange.hpp"

#include "marigoldyard/transport/clock.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>

namespace marigoldyard {

namespace net = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using Tcp = net::ip::tcp;

namespace {

/// A connection opens within a few milliseconds between regions; a lost
/// opening packet is repeated only after a second.
constexpr std::chrono::milliseconds ConnectLimit{400};
/// Longer bodies are written while the answer is read, because a server may
/// answer before it has read them.
constexpr std::size_t ParallelBodyBytes = 16UL << 10;
constexpr std::size_t PartBytes = 16UL << 10;
constexpr std::size_t MaxAnswerBytes = 16UL << 20;
constexpr std::size_t MaxEventBytes = 1UL << 20;
constexpr unsigned FirstServerError = 500;

std::optional<Tcp::endpoint> endpointOf(const std::string &Address) {
  const std::size_t Colon = Address.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  error_code Failure;
  const auto Host = net::ip::make_address(Address.substr(0, Colon), Failure);
  std::uint16_t Port = 0;
  const std::string_view Digits = std::string_view(Address).substr(Colon + 1);
  const auto Parsed =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Port);
  if (Failure || Parsed.ec != std::errc())
    return std::nullopt;
  return Tcp::endpoint(Host, Port);
}

bool succeeded(unsigned Status) { return Status / 100 == 2; }

/// "timeout=N" of a Keep-Alive header.
Duration keepTime(const platform::Fields &Headers) {
  constexpr std::string_view Name = "timeout=";
  const auto Value = Headers[http::field::keep_alive];
  const std::string_view Text(Value.data(), Value.size());
  const std::size_t Start = Text.find(Name);
  unsigned Seconds = 0;
  if (Start == std::string_view::npos)
    return ServerConnections::DefaultKeep;
  const std::string_view Digits = Text.substr(Start + Name.size());
  std::from_chars(Digits.data(), Digits.data() + Digits.size(), Seconds);
  return std::chrono::seconds(Seconds);
}

} // namespace

ServerExchange::ServerExchange(
    net::io_context &Executor, TimeoutList &Timeouts, ServerConnections &Idle,
    std::function<void(const platform::AnswerLoad &)> Told)
    : Context(Executor), Connections(Idle), LoadTold(std::move(Told)),
      Timer(Timeouts, [this] {
        error_code Ignored;
        if (Connection)
          Connection->Socket.cancel(Ignored);
      }) {}

void ServerExchange::cancel() {
  Cancelled = true;
  error_code Ignored;
  if (Connection)
    Connection->Socket.close(Ignored);
}

net::awaitable<ExchangeResult>
ServerExchange::run(const platform::RequestMessage &Request,
                    const std::string &Address, const std::string &RequestId,
                    const ExchangeLimits &Times, StreamReceiver *Receiver) {
  Limits = Times;
  Connection = Connections.take(Address, now(), Limits.MaxIdleAge);
  ExchangeResult Result;
  if (!Connection) {
    const bool Connected = co_await connect(Address);
    if (!Connected || Cancelled) {
      Result.Fate = TryFate::NeverSent;
      Result.Reason =
          Cancelled ? ErrorCode::Cancelled : ErrorCode::PeerUnreachable;
      Result.Health =
          Cancelled ? ServerOutcome::Answered : ServerOutcome::Unreachable;
      Result.Detail = "no connection";
      co_return Result;
    }
  }
  const Duration FirstByte =
      std::min(Limits.FirstByte, Limits.Deadline - now());
  Timer.expiresAt(now() + FirstByte);
  const bool Written = co_await send(Request);
  if (!Written) {
    Result.Reason = ErrorCode::PeerUnreachable;
    Result.Health =
        Timer.expired() ? ServerOutcome::Silent : ServerOutcome::Broken;
    Result.Detail = "request was not written";
    Timer.clear();
    co_return Result;
  }
  Result = co_await receive(RequestId, Receiver);
  Timer.clear();
  if (Reusable && *Sent && !Cancelled) {
    Connections.keep(Address, std::move(Connection), now());
  } else {
    error_code Ignored;
    Connection->Socket.close(Ignored);
  }
  co_return Result;
}

net::awaitable<bool> ServerExchange::connect(const std::string &Address) {
  Connection = std::make_shared<ServerConnection>(Context);
  const auto Endpoint = endpointOf(Address);
  if (!Endpoint)
    co_return false;
  Timer.expiresAt(std::min(Limits.Deadline, now() + ConnectLimit));
  error_code Failure;
  co_await Connection->Socket.async_connect(
      *Endpoint, net::redirect_error(net::use_awaitable, Failure));
  Timer.clear();
  if (Failure)
    co_return false;
  error_code Ignored; // a connection without the option still works
  Connection->Socket.set_option(Tcp::no_delay(true), Ignored);
  co_return true;
}

net::awaitable<bool>
ServerExchange::send(const platform::RequestMessage &Request) {
  if (Request.body().size() > ParallelBodyBytes) {
    net::co_spawn(
        Context,
        [Link = Connection, Done = Sent,
         Copy = Request]() -> net::awaitable<void> {
          error_code Failure;
          co_await http::async_write(
              Link->Socket, Copy,
              net::redirect_error(net::use_awaitable, Failure));
          *Done = !Failure;
        },
        net::detached);
    co_return true;
  }
  error_code Failure;
  co_await http::async_write(Connection->Socket, Request,
                             net::redirect_error(net::use_awaitable, Failure));
  *Sent = !Failure;
  co_return !Failure;
}

net::awaitable<error_code> ServerExchange::readHead(Parser &Source) {
  error_code Failure;
  Source.body_limit(MaxAnswerBytes);
  co_await http::async_read_header(
      Connection->Socket, Connection->Buffer, Source,
      net::redirect_error(net::use_awaitable, Failure));
  co_return Failure;
}

net::awaitable<error_code> ServerExchange::readPart(Parser &Source,
                                                    std::string &Part) {
  Part.resize(PartBytes);
  auto &Body = Source.get().body();
  Body.data = Part.data();
  Body.size = Part.size();
  error_code Failure;
  co_await http::async_read_some(
      Connection->Socket, Connection->Buffer, Source,
      net::redirect_error(net::use_awaitable, Failure));
  if (Failure == http::error::need_buffer)
    Failure = {};
  Part.resize(Part.size() - Body.size);
  co_return Failure;
}

ExchangeResult ServerExchange::failure(const error_code &Cause) const {
  ExchangeResult Result;
  Result.Detail = Cause.message();
  if (Cancelled) {
    Result.Reason = ErrorCode::Cancelled;
    Result.Health = ServerOutcome::Answered;
  } else if (Timer.expired()) {
    Result.Reason = ErrorCode::PeerTimeout;
    Result.Health = ServerOutcome::Silent;
  } else {
    Result.Reason = ErrorCode::StreamIncomplete;
  }
  return Result;
}

net::awaitable<ExchangeResult>
ServerExchange::receive(const std::string &RequestId,
                        StreamReceiver *Receiver) {
  for (;;) {
    Parser Source;
    const error_code Failure = co_await readHead(Source);
    if (Failure)
      co_return failure(Failure);
    const unsigned Status = Source.get().result_int();
    if (Status / 100 == 1)
      continue;
    const platform::ServerAnswer Head =
        platform::decodeServerAnswer(Status, Source.get().base());
    if (Head.Load)
      LoadTold(*Head.Load);
    const bool Ours =
        Head.RequestId == RequestId || (Head.RequestId.empty() && Head.NotRun);
    if (!Ours) {
      // A late second answer to an earlier request precedes the own one.
      const ExchangeResult Stray = co_await readWhole(Source, Head);
      if (!Stray.Answer || Source.get().need_eof())
        co_return failure(http::make_error_code(http::error::bad_value));
      continue;
    }
    Connection->KeepFor = keepTime(Source.get().base());
    if (Receiver != nullptr && succeeded(Status) && Head.Signed)
      co_return co_await readStream(Source, Head, *Receiver);
    co_return co_await readWhole(Source, Head);
  }
}

net::awaitable<ExchangeResult>
ServerExchange::readWhole(Parser &Source, const platform::ServerAnswer &Head) {
  WholeAnswer Answer;
  Answer.Status = Source.get().result_int();
  Timer.expiresAt(Limits.Deadline);
  while (!Source.is_done()) {
    std::string Part;
    const error_code Failure = co_await readPart(Source, Part);
    Answer.Body += Part;
    if (Failure)
      co_return failure(Failure);
  }
  Reusable = Source.get().keep_alive() && !Source.get().need_eof() &&
             Connection->Buffer.size() == 0;
  Answer.Headers = Source.get().base();
  ExchangeResult Result;
  Result.Health = ServerOutcome::Answered;
  if (Head.NotRun) {
    Result.Fate = TryFate::Refused;
    Result.Reason =
        Head.WrongServer ? ErrorCode::WrongWeights : ErrorCode::QueueFull;
    co_return Result;
  }
  if (succeeded(Answer.Status) && !Head.Signed) {
    Result.Health = ServerOutcome::Broken;
    Result.Reason = ErrorCode::StreamCorrupt;
    Result.Detail = "success without the server's signature";
    co_return Result;
  }
  const bool Erred = Answer.Status >= FirstServerError;
  Result.Fate = Erred ? TryFate::Failed : TryFate::Completed;
  Result.Health = Erred ? ServerOutcome::Erred : ServerOutcome::Answered;
  Result.Answer = std::move(Answer);
  co_return Result;
}

net::awaitable<ExchangeResult>
ServerExchange::readStream(Parser &Source, const platform::ServerAnswer &Head,
                           StreamReceiver &Receiver) {
  EventSplitter Splitter;
  bool HeadPassed = false;
  auto Stopped = [this] {
    ExchangeResult Result = failure({});
    Result.Reason = ErrorCode::Cancelled;
    Result.Health = ServerOutcome::Answered;
    return Result;
  };
  while (!Source.is_done()) {
    Timer.expiresAt(std::min(
        Limits.Deadline, now() + (HeadPassed ? Limits.Gap : Limits.FirstByte)));
    std::string Part;
    const error_code Failure = co_await readPart(Source, Part);
    std::vector<StreamEvent> Events = splitEvents(Splitter, Part);
    if (!Events.empty()) {
      if (!HeadPassed) {
        HeadPassed = co_await Receiver.Head(Source.get().base(),
                                            Source.get().result_int(), Head);
        if (!HeadPassed)
          co_return Stopped();
      }
      const bool Passed = co_await Receiver.Events(std::move(Events));
      if (!Passed)
        co_return Stopped();
    }
    if (Failure)
      co_return failure(Failure);
    if (Splitter.Pending.size() > MaxEventBytes)
      co_return failure(http::make_error_code(http::error::body_limit));
  }
  if (!Splitter.Pending.empty())
    co_return failure(http::make_error_code(http::error::partial_message));
  if (!HeadPassed) {
    HeadPassed = co_await Receiver.Head(Source.get().base(),
                                        Source.get().result_int(), Head);
    if (!HeadPassed)
      co_return Stopped();
  }
  Reusable = Source.get().keep_alive() && !Source.get().need_eof() &&
             Connection->Buffer.size() == 0;
  ExchangeResult Result;
  Result.Fate = TryFate::Completed;
  Result.Health = ServerOutcome::Answered;
  co_return Result;
}

} // namespace marigoldyard
