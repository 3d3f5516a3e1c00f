#include "programs/gateway/server_exchange.hpp"

#include "marigoldyard/transport/clock.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace marigoldyard;
using namespace std::chrono_literals;

namespace {

namespace net = boost::asio;
using Tcp = net::ip::tcp;

constexpr std::string_view Id = "request-1";

/// Head and first events of a stream, in one segment.
std::string streamBegin() {
  const std::string Events = "id: 1\ndata: a\n\n";
  return fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\n"
                     "Response-Signature: s\r\n"
                     "Content-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n",
                     Id, Events.size(), Events);
}

/// Answers one request with the beginning of a stream and goes on silently.
net::awaitable<void> answer(Tcp::acceptor &Acceptor) {
  Tcp::socket Socket = co_await Acceptor.async_accept(net::use_awaitable);
  std::string Received;
  co_await net::async_read_until(Socket, net::dynamic_buffer(Received),
                                 "\r\n\r\n", net::use_awaitable);
  const std::string Sent = streamBegin();
  co_await net::async_write(Socket, net::buffer(Sent), net::use_awaitable);
  boost::system::error_code Ignored; // the exchange closes
  char Byte = 0;
  co_await Socket.async_read_some(
      net::buffer(&Byte, 1), net::redirect_error(net::use_awaitable, Ignored));
}

/// Takes all parts of a stream and counts its events.
StreamReceiver countingReceiver(std::size_t &Events) {
  StreamReceiver Receiver;
  Receiver.TakeInOrder = [](std::vector<StreamEvent> &) {
    return std::string();
  };
  Receiver.OnHead = [](const platform::Fields &, unsigned,
                       const platform::ServerResponse &) {
    return PartStatus::Forwarded;
  };
  Receiver.OnEvents = [&Events](const std::vector<StreamEvent> &Received)
      -> net::awaitable<PartStatus> {
    Events += Received.size();
    co_return PartStatus::Forwarded;
  };
  return Receiver;
}

ExchangeLimits generousLimits() {
  ExchangeLimits Limits;
  Limits.Deadline = now() + 5s;
  Limits.FirstByteTimeout = 5s;
  Limits.GapTimeout = 5s;
  Limits.MaxIdleAge = Duration::max();
  return Limits;
}

/// How a server ends a response without length.
enum class EndKind : std::uint8_t {
  Reset,         ///< with a reset
  CloseUnread,   ///< closes with unread bytes of the request, which resets too
  Orderly,       ///< ends its side, and reads the rest of the request
  OrderlyUnread, ///< ends its side, and closes with unread bytes later
};

struct EarlyResponse {
  std::string ContentType;
  std::string Body;
  EndKind End = EndKind::Reset;
  std::chrono::milliseconds EndDelay{}; ///< after the body
};

net::awaitable<void> wait(std::chrono::milliseconds Time) {
  net::steady_timer Timer(co_await net::this_coro::executor, Time);
  co_await Timer.async_wait(net::use_awaitable);
}

/// Answers before it has read the request, without a length.
net::awaitable<void> answerEarly(Tcp::acceptor &Acceptor,
                                 const EarlyResponse &Response) {
  Tcp::socket Socket = co_await Acceptor.async_accept(net::use_awaitable);
  std::string Received;
  co_await net::async_read_until(Socket, net::dynamic_buffer(Received),
                                 "\r\n\r\n", net::use_awaitable);
  const std::string Text =
      fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\n"
                  "Response-Signature: s\r\nContent-Type: {}\r\n"
                  "Connection: close\r\n\r\n{}",
                  Id, Response.ContentType, Response.Body);
  co_await net::async_write(Socket, net::buffer(Text), net::use_awaitable);
  co_await wait(Response.EndDelay);
  boost::system::error_code Ignored; // the exchange may have closed
  switch (Response.End) {
  case EndKind::Reset:
    Socket.set_option(net::socket_base::linger(true, 0));
    co_return;
  case EndKind::CloseUnread:
    co_return;
  case EndKind::OrderlyUnread:
    Socket.shutdown(Tcp::socket::shutdown_send, Ignored);
    co_await wait(5ms);
    co_return;
  case EndKind::Orderly:
    Socket.shutdown(Tcp::socket::shutdown_send, Ignored);
    std::string Block(64UL << 10, ' ');
    while (!Ignored)
      co_await Socket.async_read_some(
          net::buffer(Block), net::redirect_error(net::use_awaitable, Ignored));
  }
}

/// What the gateway makes of a response to an upload that is still written.
struct UploadResult {
  ExchangeResult Exchange;
  std::size_t Events = 0; ///< forwarded
};

UploadResult uploadTo(const EarlyResponse &Response) {
  net::io_context Context;
  Tcp::acceptor Acceptor(Context);
  const Tcp::endpoint Any(net::ip::make_address("127.0.0.2"), 0);
  Acceptor.open(Any.protocol());
  // The server must not take the whole request at once.
  Acceptor.set_option(net::socket_base::receive_buffer_size(16 << 10));
  Acceptor.bind(Any);
  Acceptor.listen();
  TimeoutList Timeouts(Context);
  ServerConnections Connections;
  ResponseMemory Memory;
  ServerExchange Exchange(Context, Timeouts, Connections, Memory,
                          [](const platform::ServerResponse &) {});
  UploadResult Result;
  StreamReceiver Receiver = countingReceiver(Result.Events);
  const ExchangeLimits Limits = generousLimits();
  platform::RequestMessage Request;
  Request.method(boost::beast::http::verb::post);
  Request.target("/once/1");
  // More than a socket takes at once.
  Request.body() = std::string(16UL << 20, 'u');
  Request.prepare_payload();
  const std::string Address =
      "127.0.0.2:" + std::to_string(Acceptor.local_endpoint().port());
  net::co_spawn(Context, answerEarly(Acceptor, Response), net::detached);
  net::co_spawn(
      Context,
      [&]() -> net::awaitable<void> {
        Result.Exchange = co_await Exchange.run(
            Request, Address, std::string(Id), Limits, &Receiver);
        Context.stop();
      },
      net::detached);
  Context.run_for(10s);
  return Result;
}

} // namespace

// Guards against a part of a body that callers get as a complete one: the write
// of the request took the reset, and the read saw an orderly end.
TEST_CASE("a response without length that is reset during an upload is lost") {
  for (const EndKind End : {EndKind::Reset, EndKind::CloseUnread})
    for (const auto Delay : {0ms, 2ms, 50ms})
      for (const std::string Type : {"text/plain", "text/event-stream"}) {
        CAPTURE(static_cast<int>(End));
        CAPTURE(Delay.count());
        CAPTURE(Type);
        const UploadResult Result =
            uploadTo({Type, "id: 1\ndata: a\n\n", End, Delay});
        CHECK(Result.Exchange.Fate == AttemptStatus::Lost);
        CHECK_FALSE(Result.Exchange.Response);
      }
}

// Guards against a whole response that is taken for a broken one.
TEST_CASE("a response without length that ends in order during an upload is "
          "complete") {
  for (const EndKind End : {EndKind::Orderly, EndKind::OrderlyUnread})
    for (const auto Delay : {0ms, 2ms, 50ms}) {
      CAPTURE(static_cast<int>(End));
      CAPTURE(Delay.count());
      const std::string Body(1000, 'b');
      const UploadResult Result = uploadTo({"text/plain", Body, End, Delay});
      CHECK(Result.Exchange.Fate == AttemptStatus::Completed);
      REQUIRE(Result.Exchange.Response);
      CHECK(Result.Exchange.Response->BodySize == Body.size());
      const UploadResult Stream =
          uploadTo({"text/event-stream", "id: 1\ndata: a\n\n", End, Delay});
      CHECK(Stream.Exchange.Fate == AttemptStatus::Completed);
      CHECK(Stream.Events == 1);
    }
}

// Guards against events that are forwarded although the request was withdrawn
// in the moment in which they were read, so that nothing may continue it.
TEST_CASE("events that are read after a withdrawal are dropped") {
  net::io_context Context;
  Tcp::acceptor Acceptor(Context, {net::ip::make_address("127.0.0.2"), 0});
  TimeoutList Timeouts(Context);
  ServerConnections Connections;
  ResponseMemory Memory;
  ServerExchange *Running = nullptr;
  ServerExchange Exchange(
      Context, Timeouts, Connections, Memory,
      [&](const platform::ServerResponse &) {
        // Runs after the events have been read and before they are handled.
        net::post(Context, [&] { Running->stop(StopCause::VersionOutOfUse); });
      });
  Running = &Exchange;
  std::size_t Forwarded = 0;
  StreamReceiver Receiver = countingReceiver(Forwarded);
  const ExchangeLimits Limits = generousLimits();
  platform::RequestMessage Request;
  Request.method(boost::beast::http::verb::post);
  Request.target("/stream/1");
  Request.prepare_payload();
  const std::string Address =
      "127.0.0.2:" + std::to_string(Acceptor.local_endpoint().port());
  std::optional<ExchangeResult> Result;
  net::co_spawn(Context, answer(Acceptor), net::detached);
  net::co_spawn(
      Context,
      [&]() -> net::awaitable<void> {
        Result = co_await Exchange.run(Request, Address, std::string(Id),
                                       Limits, &Receiver);
        Context.stop();
      },
      net::detached);
  Context.run_for(10s);
  REQUIRE(Result);
  CHECK(Forwarded == 0);
  CHECK(Result->Reason == ErrorCode::WrongWeights);
}
