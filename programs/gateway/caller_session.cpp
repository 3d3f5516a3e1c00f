#include "programs/gateway/caller_session.hpp"

#include "marigoldyard/transport/clock.hpp"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <fmt/format.h>
#include <sys/socket.h>

namespace marigoldyard {

namespace net = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Longest time without progress of a write, for callers that do not read their
/// response.
constexpr std::chrono::seconds WriteTimeout{3};
/// Longest time of one write, which holds the memory of a whole response.
constexpr std::chrono::seconds MaxWriteTime{60};
/// Timeout for the body, from the end of the header.
constexpr std::chrono::seconds BodyTimeout{10};
/// Time for the caller to read the last response before the connection is
/// closed.
constexpr std::chrono::milliseconds CloseTimeout{500};
/// Time beyond the idle limit for which a connection stays open. A caller may
/// know a raised limit first, and its request may be under way.
constexpr std::chrono::seconds IdleMargin{2};
constexpr std::size_t ReadBufferBytes = 8192;
/// Maximum size of a chunk extension or of a trailer.
constexpr std::size_t MaxLineBytes = 16UL << 10;

constexpr unsigned BadRequest = 400;
constexpr unsigned RequestTimeout = 408;
constexpr unsigned TooLarge = 413;
constexpr unsigned HeaderTooLarge = 431;

unsigned rejectionStatus(const error_code &Failure) {
  if (Failure == http::error::header_limit ||
      Failure == http::error::buffer_overflow)
    return HeaderTooLarge;
  if (Failure == http::error::body_limit)
    return TooLarge;
  return BadRequest;
}

} // namespace

CallerSession::CallerSession(net::ip::tcp::socket Connection,
                             TimeoutList &Timeouts, SessionHandlers Callbacks)
    : Socket(std::move(Connection)), Timer(Timeouts,
                                           [this] {
                                             error_code Ignored;
                                             Socket.cancel(Ignored);
                                           }),
      Handlers(std::move(Callbacks)) {
  error_code Ignored; // the connection works without the option too
  Socket.set_option(net::ip::tcp::no_delay(true), Ignored);
}

net::awaitable<void> CallerSession::run() {
  const auto Self = shared_from_this();
  for (bool KeepAlive = true; KeepAlive && !Disconnected;) {
    ReadResult Result = co_await waitForRequest();
    if (Result == ReadResult::Idle)
      co_return closeUnread();
    if (Result == ReadResult::Request)
      Result = co_await readRequest(Handlers.Limits());
    if (Result != ReadResult::Request)
      break;
    Serving = true;
    watchForClose();
    KeepAlive = co_await Handlers.HandleRequest(*this, *Request) &&
                Request->keep_alive();
    Serving = false;
    DisconnectHandler = nullptr;
    error_code Ignored;
    Socket.cancel(Ignored);
  }
  co_await closeGracefully();
}

net::awaitable<CallerSession::ReadResult> CallerSession::waitForRequest() {
  if (Buffer.size() > 0)
    co_return ReadResult::Request;
  const TimePoint IdleSince = now();
  const auto IdleUntil = [this, IdleSince] {
    return IdleSince + Handlers.Limits().IdleTimeout + IdleMargin;
  };
  for (;;) {
    Timer.expiresAt(IdleUntil());
    error_code Failure;
    const std::size_t Count = co_await Socket.async_read_some(
        Buffer.prepare(ReadBufferBytes),
        net::redirect_error(net::use_awaitable, Failure));
    const bool Expired = Timer.expired();
    Timer.clear();
    Buffer.commit(Count);
    if (!Failure)
      co_return ReadResult::Request;
    if (!Expired)
      co_return ReadResult::Closed;
    error_code Ignored; // the next read reports what is wrong
    const bool HasBytes = Socket.available(Ignored) > 0;
    if (!HasBytes && now() >= IdleUntil())
      co_return ReadResult::Idle;
  }
}

net::awaitable<CallerSession::ReadResult>
CallerSession::readRequest(const ClientLimits &Limits) {
  http::request_parser<http::string_body> Parser;
  Parser.header_limit(Limits.MaxHeaderBytes);
  Parser.body_limit(Limits.MaxBodyBytes);
  Buffer.max_size(std::max<std::size_t>(
                      {Limits.MaxHeaderBytes, MaxLineBytes, Buffer.size()}) +
                  ReadBufferBytes);
  error_code Failure;
  Timer.expiresAt(now() + Limits.HeaderTimeout);
  co_await http::async_read_header(
      Socket, Buffer, Parser, net::redirect_error(net::use_awaitable, Failure));
  if (!Failure) {
    Timer.expiresAt(now() + BodyTimeout);
    if (Parser.get()[http::field::expect] == "100-continue")
      co_await write("HTTP/1.1 100 Continue\r\n\r\n");
    co_await http::async_read(Socket, Buffer, Parser,
                              net::redirect_error(net::use_awaitable, Failure));
  }
  const bool TimedOut = Timer.expired();
  Timer.clear();
  if (!Failure) {
    Request = Parser.release();
    co_return ReadResult::Request;
  }
  if (TimedOut)
    co_await reject(RequestTimeout, "timed out while reading the request");
  else if (Failure.category() ==
               http::make_error_code(http::error::bad_method).category() &&
           Failure != http::error::end_of_stream &&
           Failure != http::error::partial_message)
    co_await reject(rejectionStatus(Failure), Failure.message());
  co_return ReadResult::Rejected;
}

net::awaitable<void> CallerSession::reject(unsigned Status,
                                           std::string_view Reason) {
  Handlers.OnRejected(Reason);
  const std::string Text =
      fmt::format("HTTP/1.1 {} Rejected\r\nConnection: close\r\n"
                  "Content-Length: 0\r\n\r\n",
                  Status);
  co_await write(Text);
}

net::awaitable<bool> CallerSession::write(std::string_view Bytes) {
  error_code Failure;
  const TimePoint Limit = now() + MaxWriteTime;
  while (!Bytes.empty() && !Failure) {
    Timer.expiresAt(std::min<TimePoint>(now() + WriteTimeout, Limit));
    const std::size_t Count = co_await Socket.async_write_some(
        net::buffer(Bytes.data(), Bytes.size()),
        net::redirect_error(net::use_awaitable, Failure));
    Bytes.remove_prefix(Count);
  }
  Timer.clear();
  if (!Failure)
    co_return true;
  Disconnected = true;
  co_return false;
}

void CallerSession::onDisconnect(std::function<void()> Handler) {
  DisconnectHandler = std::move(Handler);
  if (Disconnected && DisconnectHandler)
    std::exchange(DisconnectHandler, nullptr)();
}

void CallerSession::watchForClose() {
  Socket.async_wait(net::ip::tcp::socket::wait_read,
                    [Self = shared_from_this()](const error_code &Failure) {
                      if (!Failure && Self->Serving)
                        Self->handleReadable();
                    });
}

void CallerSession::handleReadable() {
  char Byte = 0;
  const auto Count =
      ::recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (Count > 0)
    return; // pipelined request; it is read after this one
  if (Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
    return watchForClose();
  Disconnected = true;
  if (DisconnectHandler)
    std::exchange(DisconnectHandler, nullptr)();
}

// Closing a socket with unread bytes resets the connection, and the caller
// would lose the last response, so input is read until the caller closes.
net::awaitable<void> CallerSession::closeGracefully() {
  error_code Ignored;
  Socket.shutdown(net::ip::tcp::socket::shutdown_send, Ignored);
  if (!Disconnected && !Ignored) {
    Timer.expiresAt(now() + CloseTimeout);
    error_code Failure;
    std::array<char, ReadBufferBytes> Discarded{};
    // Cancelling has no effect on a read that never has to wait for bytes.
    while (!Failure && !Timer.expired())
      co_await Socket.async_read_some(
          net::buffer(Discarded),
          net::redirect_error(net::use_awaitable, Failure));
    Timer.clear();
  }
  Socket.close(Ignored);
}

void CallerSession::closeUnread() {
  error_code Ignored; // the socket is closed either way
  Socket.close(Ignored);
}

} // namespace marigoldyard
