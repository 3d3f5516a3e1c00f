#include "marigoldyard/transport/detail/http_session.hpp"

#include "marigoldyard/transport/request_framing.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <sstream>
#include <sys/socket.h>

namespace marigoldyard::detail {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

/// Bytes read before the parser looks at them.
constexpr std::size_t FirstReadBytes = 4096;
/// After a refused request the rest of it is read and dropped up to this
/// amount, because closing with unread bytes may reset the connection before
/// the client has read the answer.
constexpr std::size_t MaxDiscardedBytes = 256UL << 10;
constexpr std::chrono::seconds DiscardTime{1};

std::string peerName(const net::ip::tcp::socket &Socket) {
  beast::error_code Failure;
  auto Remote = Socket.remote_endpoint(Failure);
  return Failure ? std::string()
                 : Remote.address().to_string() + ":" +
                       std::to_string(Remote.port());
}

/// Status for a request that could not be read; nothing when the connection is
/// broken and no answer is possible.
std::optional<http::status> statusOf(beast::error_code Failure) {
  if (Failure == http::error::body_limit)
    return http::status::payload_too_large;
  if (Failure == http::error::header_limit ||
      Failure == http::error::buffer_overflow)
    return http::status::request_header_fields_too_large;
  if (Failure == beast::error::timeout)
    return http::status::request_timeout;
  if (Failure == http::error::end_of_stream ||
      Failure == http::error::partial_message)
    return std::nullopt;
  if (Failure.category() == make_error_code(http::error::bad_method).category())
    return http::status::bad_request;
  return std::nullopt;
}

HttpResponse problem(http::status Status) {
  std::ostringstream Text;
  Text << R"({"type":"about:blank","title":")" << http::obsolete_reason(Status)
       << R"(","status":)" << static_cast<unsigned>(Status)
       << R"(,"outcome":"not_run"})";
  return {static_cast<unsigned>(Status),
          {{"content-type", "application/problem+json"}},
          Text.str()};
}

} // namespace

HttpSession::HttpSession(std::shared_ptr<HttpServerShared> Parts,
                         net::ip::tcp::socket Socket)
    : Shared(std::move(Parts)), Stream(std::move(Socket)),
      Peer(peerName(Stream.socket())), RequestTimer(Stream.get_executor()),
      Buffer(Shared->Options.MaxHeaderBytes + FirstReadBytes) {
  beast::error_code Ignored;
  Stream.socket().set_option(net::ip::tcp::no_delay(true), Ignored);
  Shared->Sessions.insert(this);
  ++Shared->Connections;
}

HttpSession::~HttpSession() {
  Shared->Sessions.erase(this);
  --Shared->Connections;
}

void HttpSession::waitForRequest() {
  Busy = false;
  if (Shared->Stopping)
    return close();
  if (Buffer.size() > 0)
    return readRequest();
  Stream.expires_after(Shared->Options.IdleTime);
  Stream.async_read_some(Buffer.prepare(FirstReadBytes),
                         [Self = shared_from_this()](beast::error_code Failure,
                                                     std::size_t Count) {
                           if (Failure)
                             return Self->close();
                           Self->Buffer.commit(Count);
                           Self->readRequest();
                         });
}

void HttpSession::readRequest() {
  Busy = true;
  Incoming.emplace();
  Incoming->header_limit(
      static_cast<std::uint32_t>(Shared->Options.MaxHeaderBytes));
  Incoming->body_limit(Shared->Options.MaxBodyBytes);
  // The stream's own timer would close the socket, so that no answer could be
  // sent.
  Stream.expires_never();
  RequestTimer.expires_after(Shared->Options.RequestTime);
  RequestTimer.async_wait(
      [Weak = weak_from_this(), Number = Current](beast::error_code Failure) {
        auto Self = Weak.lock();
        if (Failure || !Self || Self->Closed || Self->Current != Number)
          return;
        Self->TooSlow = true;
        beast::error_code Ignored;
        Self->Stream.socket().cancel(Ignored);
      });
  http::async_read_header(
      Stream, Buffer, *Incoming,
      [Self = shared_from_this()](beast::error_code Failure, std::size_t) {
        if (!Failure && !hasValidFraming(Self->Incoming->get()))
          Failure = http::error::bad_transfer_encoding;
        if (Failure)
          return Self->requestRead(Failure);
        Self->readBody();
      });
}

void HttpSession::readBody() {
  // A cancellation between the two reads has no effect on the second one.
  if (TooSlow)
    return requestRead(beast::error::timeout);
  http::async_read(
      Stream, Buffer, *Incoming,
      [Self = shared_from_this()](beast::error_code Failure, std::size_t) {
        Self->requestRead(Failure);
      });
}

void HttpSession::requestRead(beast::error_code Failure) {
  ++Current;
  LastQueued = false;
  RequestTimer.cancel();
  if (Failure)
    return rejectRequest(TooSlow ? beast::error::timeout : Failure);
  handleRequest();
}

void HttpSession::rejectRequest(beast::error_code Failure) {
  ++Shared->BadRequests;
  auto Status = statusOf(Failure);
  if (!Status)
    return close();
  KeepAlive = false;
  HeadOnly = false;
  Version = 11;
  sendWhole(Current, problem(*Status));
}

void HttpSession::handleRequest() {
  auto Message = Incoming->release();
  Incoming.reset();
  KeepAlive = Message.keep_alive() && !Shared->Stopping;
  HeadOnly = Message.method() == http::verb::head;
  Version = Message.version();
  HttpRequest Request;
  Request.Method = std::string(Message.method_string());
  std::string Target(Message.target());
  auto Mark = Target.find('?');
  Request.Path = Target.substr(0, Mark);
  if (Mark != std::string::npos)
    Request.Query = Target.substr(Mark + 1);
  for (const auto &Field : Message) {
    std::string Name(Field.name_string());
    for (char &C : Name)
      C = C >= 'A' && C <= 'Z' ? static_cast<char>(C - 'A' + 'a') : C;
    Request.Headers.emplace(std::move(Name), Field.value());
  }
  Request.Body = std::move(Message.body());
  Request.Peer = Peer;
  ++Shared->Requests;
  auto New = std::make_shared<HttpExchange>(Shared, weak_from_this(), Current);
  Exchange = New;
  Waiting = New->Waiting;
  watchClient();
  Shared->Handle(std::move(Request), Responder(std::move(New)));
}

// The socket becomes readable when the client closes, and also when it sends
// the next request early; only the first ends the request.
void HttpSession::watchClient() {
  Stream.socket().async_wait(
      net::ip::tcp::socket::wait_read,
      [Self = shared_from_this(), Number = Current](beast::error_code Failure) {
        if (!Failure)
          Self->clientReadable(Number);
      });
}

void HttpSession::clientReadable(std::uint64_t Number) {
  if (Closed || !Busy || Number != Current)
    return;
  char Byte = 0;
  auto Count = ::recv(Stream.socket().native_handle(), &Byte, 1,
                      MSG_PEEK | MSG_DONTWAIT);
  bool Open = Count > 0 || (Count < 0 && (errno == EAGAIN || errno == EINTR));
  if (!Open)
    close();
}

void HttpSession::close() {
  if (Closed)
    return;
  Closed = true;
  beast::error_code Ignored;
  Stream.socket().shutdown(net::ip::tcp::socket::shutdown_both, Ignored);
  Stream.close();
  if (auto Open = Exchange.lock(); Open && Busy) {
    ++Shared->Disconnected;
    Open->clientGone();
  }
}

void HttpSession::closeIfIdle() {
  KeepAlive = false;
  if (!Busy)
    close();
}

std::string HttpSession::headText(const HttpResponse &Head, bool Whole) {
  http::response<http::empty_body> Message;
  Message.result(Head.Status);
  Message.version(Version);
  for (const auto &[Name, Value] : Head.Headers)
    Message.set(Name, Value);
  if (Whole)
    Message.content_length(Head.Body.size());
  else if (Version >= 11)
    Message.chunked(true);
  else
    KeepAlive = false;
  Message.keep_alive(KeepAlive);
  std::ostringstream Text;
  Text << Message.base();
  return Text.str();
}

void HttpSession::sendWhole(std::uint64_t Number,
                            const HttpResponse &Response) {
  if (Closed || Number != Current)
    return;
  std::string Text = headText(Response, true);
  if (!HeadOnly)
    Text += Response.Body;
  LastQueued = true;
  queue(std::move(Text), 0);
}

void HttpSession::startStream(std::uint64_t Number, const HttpResponse &Head) {
  if (Closed || Number != Current)
    return;
  queue(headText(Head, false), 0);
}

void HttpSession::writeStream(std::uint64_t Number, const std::string &Bytes) {
  if (Closed || Number != Current)
    return;
  if (Bytes.empty() || HeadOnly) { // an empty chunk would end the response
    *Waiting -= Bytes.size();
    return;
  }
  if (Version < 11)
    return queue(Bytes, Bytes.size());
  std::ostringstream Size;
  Size << std::hex << Bytes.size() << "\r\n";
  queue(Size.str() + Bytes + "\r\n", Bytes.size());
}

void HttpSession::finishStream(std::uint64_t Number) {
  if (Closed || Number != Current)
    return;
  LastQueued = true;
  queue(Version < 11 || HeadOnly ? "" : "0\r\n\r\n", 0);
}

void HttpSession::abortStream(std::uint64_t Number) {
  if (Number != Current)
    return;
  Exchange.reset();
  close();
}

void HttpSession::queue(std::string Bytes, std::size_t Counted) {
  Queue.push_back({std::move(Bytes), Counted});
  if (!Writing)
    writeNext();
}

void HttpSession::writeNext() {
  Writing = true;
  Stream.expires_after(Shared->Options.WriteTime);
  net::async_write(
      Stream, net::buffer(Queue.front().Bytes),
      [Self = shared_from_this()](beast::error_code Failure, std::size_t) {
        Self->Writing = false;
        if (Failure == beast::error::timeout)
          ++Self->Shared->SlowClients;
        if (Failure || Self->Closed)
          return Self->close();
        Self->Stream.expires_never();
        if (Self->Waiting)
          *Self->Waiting -= Self->Queue.front().Counted;
        Self->Queue.pop_front();
        if (!Self->Queue.empty())
          Self->writeNext();
        else if (Self->LastQueued)
          Self->responseFinished();
      });
}

void HttpSession::responseFinished() {
  Exchange.reset();
  if (KeepAlive && !Shared->Stopping)
    return waitForRequest();
  beast::error_code Ignored;
  Stream.socket().shutdown(net::ip::tcp::socket::shutdown_send, Ignored);
  Buffer.clear();
  closeAfterReading();
}

void HttpSession::closeAfterReading() {
  Stream.expires_after(DiscardTime);
  Stream.async_read_some(Buffer.prepare(FirstReadBytes),
                         [Self = shared_from_this()](beast::error_code Failure,
                                                     std::size_t Count) {
                           Self->DiscardedBytes += Count;
                           if (Failure ||
                               Self->DiscardedBytes > MaxDiscardedBytes)
                             return Self->close();
                           Self->closeAfterReading();
                         });
}

} // namespace marigoldyard::detail
