#include "programs/gateway/caller_session.hpp"

#include "marigoldyard/transport/clock.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <fmt/format.h>
#include <sys/socket.h>

namespace marigoldyard {

namespace net = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Longest wait for a caller that does not read its answer.
constexpr std::chrono::seconds WriteLimit{3};
/// Longest wait for the rest of a body after the header.
constexpr std::chrono::seconds BodyLimit{10};
/// Time in which a rejected caller can read the answer before the close.
constexpr std::chrono::milliseconds CloseLimit{500};
constexpr std::size_t ReadBytes = 8192;

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
    : Socket(std::move(Connection)), Limit(Timeouts,
                                           [this] {
                                             error_code Ignored;
                                             Socket.cancel(Ignored);
                                           }),
      Handlers(std::move(Callbacks)) {
  error_code Ignored; // a connection without the option still works
  Socket.set_option(net::ip::tcp::no_delay(true), Ignored);
}

net::awaitable<void> CallerSession::run() {
  const auto Self = shared_from_this();
  for (bool Keep = true; Keep && !Gone;) {
    const ClientLimits Limits = Handlers.Limits();
    ReadEnd End = co_await waitForRequest(Limits);
    if (End == ReadEnd::Request)
      End = co_await readRequest(Limits);
    if (End != ReadEnd::Request)
      break;
    Serving = true;
    watch();
    Keep = co_await Handlers.Answer(*this, *Request) && Request->keep_alive();
    Serving = false;
    GoneHandler = nullptr;
    error_code Ignored;
    Socket.cancel(Ignored);
  }
  co_await closeGently();
}

net::awaitable<CallerSession::ReadEnd>
CallerSession::waitForRequest(const ClientLimits &Limits) {
  if (Buffer.size() > 0)
    co_return ReadEnd::Request;
  Limit.expiresAt(now() + Limits.IdleTimeout);
  error_code Failure;
  const std::size_t Count = co_await Socket.async_read_some(
      Buffer.prepare(ReadBytes),
      net::redirect_error(net::use_awaitable, Failure));
  Limit.clear();
  Buffer.commit(Count);
  co_return Failure ? ReadEnd::Closed : ReadEnd::Request;
}

net::awaitable<CallerSession::ReadEnd>
CallerSession::readRequest(const ClientLimits &Limits) {
  http::request_parser<http::string_body> Parser;
  Parser.header_limit(Limits.MaxHeaderBytes);
  Parser.body_limit(Limits.MaxBodyBytes);
  error_code Failure;
  Limit.expiresAt(now() + Limits.HeaderTimeout);
  co_await http::async_read_header(
      Socket, Buffer, Parser, net::redirect_error(net::use_awaitable, Failure));
  if (!Failure) {
    Limit.expiresAt(now() + BodyLimit);
    if (Parser.get()[http::field::expect] == "100-continue")
      co_await write("HTTP/1.1 100 Continue\r\n\r\n");
    co_await http::async_read(Socket, Buffer, Parser,
                              net::redirect_error(net::use_awaitable, Failure));
  }
  const bool TimedOut = Limit.expired();
  Limit.clear();
  if (!Failure) {
    Request = Parser.release();
    co_return ReadEnd::Request;
  }
  if (TimedOut)
    co_await reject(RequestTimeout, "request was not received in time");
  else if (Failure.category() ==
               http::make_error_code(http::error::bad_method).category() &&
           Failure != http::error::end_of_stream &&
           Failure != http::error::partial_message)
    co_await reject(rejectionStatus(Failure), Failure.message());
  co_return ReadEnd::Rejected;
}

net::awaitable<void> CallerSession::reject(unsigned Status,
                                           std::string_view Reason) {
  Handlers.Rejected(Reason);
  const std::string Text =
      fmt::format("HTTP/1.1 {} Rejected\r\nConnection: close\r\n"
                  "Content-Length: 0\r\n\r\n",
                  Status);
  co_await write(Text);
}

net::awaitable<bool> CallerSession::write(std::string_view Bytes) {
  error_code Failure;
  Limit.expiresAt(now() + WriteLimit);
  co_await net::async_write(Socket, net::buffer(Bytes.data(), Bytes.size()),
                            net::redirect_error(net::use_awaitable, Failure));
  Limit.clear();
  if (!Failure)
    co_return true;
  Gone = true;
  co_return false;
}

void CallerSession::onGone(std::function<void()> Handler) {
  GoneHandler = std::move(Handler);
  if (Gone && GoneHandler)
    std::exchange(GoneHandler, nullptr)();
}

void CallerSession::watch() {
  Socket.async_wait(net::ip::tcp::socket::wait_read,
                    [Self = shared_from_this()](const error_code &Failure) {
                      if (!Failure && Self->Serving)
                        Self->watched();
                    });
}

void CallerSession::watched() {
  char Byte = 0;
  const auto Count =
      ::recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (Count > 0)
    return; // the next request of a caller that does not wait for answers
  if (Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
    return watch();
  Gone = true;
  if (GoneHandler)
    std::exchange(GoneHandler, nullptr)();
}

// A close with unread bytes resets the connection, and the caller would lose
// the last answer.
net::awaitable<void> CallerSession::closeGently() {
  error_code Ignored;
  Socket.shutdown(net::ip::tcp::socket::shutdown_send, Ignored);
  if (!Gone && !Ignored) {
    Limit.expiresAt(now() + CloseLimit);
    error_code Failure;
    std::array<char, ReadBytes> Rest{};
    while (!Failure)
      co_await Socket.async_read_some(
          net::buffer(Rest), net::redirect_error(net::use_awaitable, Failure));
    Limit.clear();
  }
  Socket.close(Ignored);
}

} // namespace marigoldyard
