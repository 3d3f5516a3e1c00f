#include "programs/gateway/caller_session.hpp"

#include "marigoldyard/transport/clock.hpp"
#include "marigoldyard/transport/request_framing.hpp"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/parser.hpp>
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

/// Size of one read of a body.
constexpr std::size_t BodyReadBytes = 16UL << 10;
/// Largest read buffer that an idle connection keeps.
constexpr std::size_t MaxIdleBuffer = ReadBufferBytes;
/// A body is held as received and in the request to a server.
constexpr std::size_t BodyCopies = 2;
/// The fields of a head are held with their names and values, and as sent to a
/// server.
constexpr std::size_t HeadCopies = 2;
/// Size of a parsed field besides its text: the links of the list and of the
/// index that contain it, and what the allocator adds.
constexpr std::size_t FieldBytes = 96;

constexpr unsigned BadRequest = 400;
constexpr unsigned RequestTimeout = 408;
constexpr unsigned TooLarge = 413;
constexpr unsigned HeaderTooLarge = 431;
constexpr unsigned Unavailable = 503;

unsigned rejectionStatus(const error_code &Failure) {
  if (Failure == http::error::header_limit ||
      Failure == http::error::buffer_overflow)
    return HeaderTooLarge;
  if (Failure == http::error::body_limit)
    return TooLarge;
  return BadRequest;
}

using RequestParser = http::request_parser<http::string_body>;

/// Memory of the fields of a head or of trailers.
std::size_t fieldsMemory(const http::fields &Fields) {
  std::size_t Bytes = 0;
  for (const auto &Each : Fields)
    Bytes += FieldBytes +
             HeadCopies * (Each.name_string().size() + Each.value().size());
  return Bytes;
}

/// What one step of a parser has taken from a buffer.
struct Parsed {
  std::size_t Bytes = 0;
  std::size_t Lines = 0; ///< of a head
  bool NeedsMore = true; ///< the rest of the buffer is incomplete
};

/// Parses what a buffer holds, as far as it is complete.
Parsed parseBuffered(RequestParser &Parser, boost::beast::flat_buffer &Buffer,
                     error_code &Failure) {
  Parsed Result;
  if (Buffer.size() == 0)
    return Result;
  const bool InHead = !Parser.is_header_done();
  Result.Bytes = Parser.put(Buffer.data(), Failure);
  const auto *const Text = static_cast<const char *>(Buffer.data().data());
  if (InHead)
    Result.Lines =
        static_cast<std::size_t>(std::count(Text, Text + Result.Bytes, '\n'));
  Buffer.consume(Result.Bytes);
  Result.NeedsMore = Result.Bytes == 0 || Failure == http::error::need_more;
  if (Failure == http::error::need_more)
    Failure = {};
  return Result;
}

} // namespace

bool closeForNewConnection(CallerSessions &Sessions) {
  const auto Ticket = connectionToClose(Sessions.Memory);
  if (!Ticket)
    return false;
  Sessions.Open.at(*Ticket)->closeAtOnce();
  return true;
}

CallerSession::CallerSession(net::ip::tcp::socket Connection,
                             TimeoutList &Timeouts, CallerSessions &AllSessions,
                             SessionHandlers Callbacks)
    : Socket(std::move(Connection)), Timer(Timeouts,
                                           [this] {
                                             error_code Ignored;
                                             Socket.cancel(Ignored);
                                           }),
      Sessions(AllSessions), Ticket(addConnection(AllSessions.Memory)),
      Handlers(std::move(Callbacks)) {
  Sessions.Open.emplace(Ticket, this);
  error_code Ignored; // the connection works without the option too
  Socket.set_option(net::ip::tcp::no_delay(true), Ignored);
}

CallerSession::~CallerSession() {
  removeConnection(Sessions.Memory, Ticket);
  Sessions.Open.erase(Ticket);
}

void CallerSession::shed() {
  IsShed = true;
  Sessions.OnShed(Serving ? CallerState::Writing : CallerState::Reading);
  error_code Ignored;
  Socket.cancel(Ignored);
}

void CallerSession::closeAtOnce() {
  Disconnected = true;
  closeSocket();
}

void CallerSession::closeSocket() {
  error_code Ignored; // the socket is closed either way
  Socket.close(Ignored);
  removeConnection(Sessions.Memory, Ticket);
}

void CallerSession::setHeldBytes(std::size_t Bytes) {
  for (const std::uint64_t Each :
       resizeConnection(Sessions.Memory, Ticket, Bytes))
    Sessions.Open.at(Each)->shed();
}

void CallerSession::releaseRequest() {
  Request.reset();
  RequestBytes = 0;
  if (Buffer.capacity() > std::max(MaxIdleBuffer, Buffer.size()))
    Buffer.shrink_to_fit();
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
    setState(Sessions.Memory, Ticket, CallerState::Serving);
    watchForClose();
    KeepAlive = co_await Handlers.HandleRequest(*this, *Request) &&
                Request->keep_alive();
    Serving = false;
    releaseRequest();
    DisconnectHandler = nullptr;
    error_code Ignored;
    Socket.cancel(Ignored);
  }
  co_await closeGracefully();
}

net::awaitable<CallerSession::ReadResult> CallerSession::waitForRequest() {
  if (Buffer.size() > 0)
    co_return ReadResult::Request;
  setState(Sessions.Memory, Ticket, CallerState::Idle);
  setHeldBytes(0);
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
    if (!Failure && !Disconnected)
      co_return ReadResult::Request;
    if (!Expired || Disconnected)
      co_return ReadResult::Closed;
    error_code Ignored; // the next read reports what is wrong
    const bool HasBytes = Socket.available(Ignored) > 0;
    if (!HasBytes && now() >= IdleUntil())
      co_return ReadResult::Idle;
  }
}

net::awaitable<CallerSession::ReadResult>
CallerSession::readRequest(const ClientLimits &Limits) {
  auto Parser = std::make_optional<RequestParser>();
  Parser->header_limit(Limits.MaxHeaderBytes);
  Parser->body_limit(Limits.MaxBodyBytes);
  Buffer.max_size(std::max<std::size_t>(
                      {Limits.MaxHeaderBytes, MaxLineBytes, Buffer.size()}) +
                  BodyReadBytes);
  setState(Sessions.Memory, Ticket, CallerState::Reading);
  error_code Failure;
  std::size_t HeadBytes = 0;
  bool InBody = false;
  Timer.expiresAt(now() + Limits.HeaderTimeout);
  while (!Failure && !IsShed && !Disconnected) {
    const Parsed Taken = parseBuffered(*Parser, Buffer, Failure);
    if (!InBody)
      HeadBytes += HeadCopies * Taken.Bytes + FieldBytes * Taken.Lines;
    if (!Failure && !InBody && Parser->is_header_done()) {
      InBody = true;
      Parser->eager(true);
      Timer.expiresAt(now() + BodyTimeout);
      if (!hasValidFraming(Parser->get()))
        Failure = http::error::bad_transfer_encoding;
      else if (Parser->get()[http::field::expect] == "100-continue")
        co_await write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (Parser->is_done() && Parser->chunked()) // trailers are fields too
      HeadBytes = std::max(HeadBytes, fieldsMemory(Parser->get().base()));
    RequestBytes = Buffer.capacity() + HeadBytes +
                   BodyCopies * Parser->get().body().size();
    setHeldBytes(RequestBytes);
    if (Failure || IsShed || Parser->is_done())
      break;
    if (Taken.NeedsMore || Buffer.size() == 0)
      Failure = co_await receive(InBody ? BodyReadBytes : ReadBufferBytes);
  }
  const bool TimedOut = Timer.expired();
  Timer.clear();
  if (Failure || IsShed || Disconnected) {
    Parser.reset(); // releases the body before the response is written
    co_await rejectUnfinished(Failure, TimedOut);
    co_return ReadResult::Rejected;
  }
  Request = Parser->release();
  co_return ReadResult::Request;
}

net::awaitable<error_code> CallerSession::receive(std::size_t MaxBytes) {
  const std::size_t Space = Buffer.max_size() - Buffer.size();
  if (Space == 0)
    co_return http::error::buffer_overflow;
  error_code Failure;
  const std::size_t Count = co_await Socket.async_read_some(
      Buffer.prepare(std::min(Space, MaxBytes)),
      net::redirect_error(net::use_awaitable, Failure));
  Buffer.commit(Count);
  co_return Failure;
}

net::awaitable<void> CallerSession::rejectUnfinished(error_code Failure,
                                                     bool TimedOut) {
  Buffer.clear();
  releaseRequest();
  setState(Sessions.Memory, Ticket, CallerState::Closing);
  if (Disconnected)
    co_return;
  if (IsShed)
    co_await reject(Unavailable, "no memory for the request");
  else if (TimedOut)
    co_await reject(RequestTimeout, "timed out while reading the request");
  else if (Failure.category() ==
           http::make_error_code(http::error::bad_method).category())
    co_await reject(rejectionStatus(Failure), Failure.message());
}

net::awaitable<void> CallerSession::reject(unsigned Status,
                                           std::string_view Reason) {
  Handlers.OnRejected(Reason);
  const std::string Text =
      fmt::format("HTTP/1.1 {} Rejected\r\nConnection: close\r\n{}"
                  "Content-Length: 0\r\n\r\n",
                  Status, Status == Unavailable ? "Retry-After: 1\r\n" : "");
  co_await write(Text);
}

net::awaitable<bool> CallerSession::write(std::string_view Bytes) {
  error_code Failure;
  const TimePoint Limit = now() + MaxWriteTime;
  const std::size_t Size = Bytes.size();
  bool Waits = false;
  while (!Bytes.empty() && !Failure && !(Serving && IsShed)) {
    Timer.expiresAt(std::min<TimePoint>(now() + WriteTimeout, Limit));
    const std::size_t Count = co_await Socket.async_write_some(
        net::buffer(Bytes.data(), Bytes.size()),
        net::redirect_error(net::use_awaitable, Failure));
    Bytes.remove_prefix(Count);
    // A response that the socket takes at once is not held for the caller.
    if (Failure || Bytes.empty() || !Serving)
      continue;
    if (!std::exchange(Waits, true))
      setState(Sessions.Memory, Ticket, CallerState::Writing);
    setHeldBytes(RequestBytes + Size);
  }
  Timer.clear();
  if (Waits) {
    setState(Sessions.Memory, Ticket, CallerState::Serving);
    setHeldBytes(RequestBytes);
  }
  if (!Failure && !(Serving && IsShed))
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
  setState(Sessions.Memory, Ticket, CallerState::Closing);
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
  closeSocket();
}

void CallerSession::closeUnread() { closeSocket(); }

} // namespace marigoldyard
