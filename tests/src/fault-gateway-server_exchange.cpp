#include "programs/gateway/server_exchange.hpp"

#include "marigoldyard/transport/clock.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
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

} // namespace

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
  StreamReceiver Receiver;
  Receiver.TakeInOrder = [](std::vector<StreamEvent> &) {
    return std::string();
  };
  Receiver.OnHead = [&](const platform::Fields &, unsigned,
                        const platform::ServerResponse &) {
    return PartStatus::Forwarded;
  };
  Receiver.OnEvents = [&](const std::vector<StreamEvent> &Events)
      -> net::awaitable<PartStatus> {
    Forwarded += Events.size();
    co_return PartStatus::Forwarded;
  };
  ExchangeLimits Limits;
  Limits.Deadline = now() + 5s;
  Limits.FirstByteTimeout = 5s;
  Limits.GapTimeout = 5s;
  Limits.MaxIdleAge = Duration::max();
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
