#include "marigoldyard/transport/http_client.hpp"

#include "marigoldyard/transport/clock.hpp"
#include "marigoldyard/transport/detail/http_call.hpp"
#include "marigoldyard/transport/endpoint.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <sstream>
#include <sys/socket.h>

namespace marigoldyard {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = net::ip::tcp;

namespace detail {

namespace {

/// Maximum size of the header of a response and of the interim responses before
/// it.
constexpr std::size_t MaxHeaderBytes = 64UL << 10;

/// An idle connection must have nothing to read: a close or stray bytes make it
/// unusable.
bool usable(HttpConnection &Idle) {
  char Byte = 0;
  auto Count = ::recv(Idle.Stream.socket().native_handle(), &Byte, 1,
                      MSG_PEEK | MSG_DONTWAIT);
  return Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::string requestText(const HttpCallRequest &Request) {
  http::request<http::empty_body> Head;
  Head.method_string(Request.Method);
  Head.target(Request.Target);
  Head.version(11);
  Head.set(http::field::host, Request.Address);
  for (const auto &[Name, Value] : Request.Headers)
    Head.set(Name, Value);
  if (!Request.Body.empty() || Request.Method != "GET")
    Head.content_length(Request.Body.size());
  std::ostringstream Text;
  Text << Head.base();
  return Text.str() + Request.Body;
}

std::string lowerCase(std::string_view Text) {
  std::string Result(Text);
  for (char &C : Result)
    C = C >= 'A' && C <= 'Z' ? static_cast<char>(C - 'A' + 'a') : C;
  return Result;
}

} // namespace

std::unique_ptr<HttpConnection>
HttpConnectionPool::take(const std::string &Address) {
  removeExpired();
  auto Found = ByAddress.find(Address);
  while (Found != ByAddress.end() && !Found->second.empty()) {
    auto Idle = std::move(Found->second.back());
    Found->second.pop_back();
    --Count;
    if (Found->second.empty()) {
      ByAddress.erase(Found);
      Found = ByAddress.end();
    }
    if (usable(*Idle))
      return Idle;
  }
  return nullptr;
}

void HttpConnectionPool::keep(const std::string &Address,
                              std::unique_ptr<HttpConnection> Idle) {
  removeExpired();
  if (Count >= Options.MaxIdle)
    return;
  Connections &Known = ByAddress[Address];
  if (Known.size() >= Options.MaxIdlePerAddress)
    return;
  Idle->IdleSince = std::chrono::steady_clock::now();
  Idle->Stream.expires_never();
  Known.push_back(std::move(Idle));
  ++Count;
}

void HttpConnectionPool::removeExpired() {
  auto Oldest = std::chrono::steady_clock::now() - Options.IdleTime;
  for (auto Entry = ByAddress.begin(); Entry != ByAddress.end();) {
    Count -= std::erase_if(Entry->second, [&](const auto &Idle) {
      return Idle->IdleSince < Oldest;
    });
    Entry = Entry->second.empty() ? ByAddress.erase(Entry) : std::next(Entry);
  }
}

HttpCall::HttpCall(std::shared_ptr<HttpClientShared> Parts,
                   HttpCallRequest Content, HttpClient::LineHandler OnLine,
                   HttpClient::EndHandler OnEnd)
    : Shared(std::move(Parts)), Request(std::move(Content)),
      Line(std::move(OnLine)), Ended(std::move(OnEnd)),
      Deadline(Shared->Context) {}

void HttpCall::start() {
  Started = true;
  ++Shared->CallsInProgress;
  if (Stopped)
    return fail(Stopped->first, Stopped->second);
  if (Shared->CallsInProgress > Shared->Options.MaxCalls)
    return fail(ErrorCode::QueueFull, "too many calls in progress");
  if (Request.Limit != Duration::max()) {
    Deadline.expires_after(Request.Limit);
    Deadline.async_wait([Weak = weak_from_this()](Failure Cause) {
      auto Self = Weak.lock();
      if (Self && !Cause)
        Self->stop(ErrorCode::PeerTimeout, "no whole answer in time");
    });
  }
  Outgoing = requestText(Request);
  if (Request.ReuseConnection)
    Connection = Shared->Pool.take(Request.Address);
  if (Connection)
    return write();
  connect();
}

void HttpCall::stop(ErrorCode Code, std::string Detail) {
  if (Stopped || !Ended)
    return;
  Stopped.emplace(Code, std::move(Detail));
  if (Connection)
    Connection->Stream.close();
}

void HttpCall::connect() {
  auto Target = parseEndpoint(Request.Address);
  if (!Target)
    return fail(ErrorCode::PeerUnreachable, "address is not IP:PORT");
  Connection = std::make_unique<HttpConnection>(Shared->Context);
  Connection->Stream.expires_after(Shared->Options.ConnectTime);
  Connection->Stream.async_connect(*Target, [Self = shared_from_this()](
                                                Failure Cause) {
    if (Cause == beast::error::timeout)
      return Self->fail(ErrorCode::PeerTimeout, "connect: timed out");
    if (Cause)
      return Self->fail(ErrorCode::PeerUnreachable,
                        "connect: " + Cause.message());
    Failure Ignored;
    Self->Connection->Stream.socket().set_option(Tcp::no_delay(true), Ignored);
    Self->write();
  });
}

void HttpCall::write() {
  if (Stopped) // its connection is closed
    return fail(Stopped->first, Stopped->second);
  if (now() >= Request.SendBefore) {
    SendExpired = true;
    return fail(ErrorCode::DeadlineExceeded, "not sent in time");
  }
  limitSilence();
  BytesSent = true;
  net::async_write(
      Connection->Stream, net::buffer(Outgoing),
      [Self = shared_from_this()](Failure Cause, std::size_t Count) {
        Self->written(Cause, Count);
      });
}

void HttpCall::written(Failure Cause, std::size_t Count) {
  BytesSent = Count > 0;
  if (Cause)
    return failRead(Cause);
  Outgoing.clear();
  Outgoing.shrink_to_fit();
  readHeader();
}

void HttpCall::readHeader() {
  Incoming.emplace();
  Incoming->body_limit(boost::none);
  if (Request.Method == "HEAD")
    Incoming->skip(true);
  limitSilence();
  http::async_read_header(
      Connection->Stream, Connection->Buffer, *Incoming,
      [Self = shared_from_this()](Failure Cause, std::size_t Count) {
        Self->headerRead(Cause, Count);
      });
}

void HttpCall::headerRead(Failure Cause, std::size_t Count) {
  if (Cause)
    return failRead(Cause);
  HeaderBytes += Count;
  if (HeaderBytes > MaxHeaderBytes)
    return fail(ErrorCode::InvalidMessage, "too many interim responses");
  const auto &Head = Incoming->get();
  Response.Status = Head.result_int();
  if (!isValidStatus(Response.Status))
    return fail(ErrorCode::InvalidMessage,
                "invalid status " + std::to_string(Response.Status));
  if (Response.Status < 200)
    return readHeader();
  for (const auto &Field : Head)
    Response.Headers.emplace(lowerCase(Field.name_string()), Field.value());
  readBody();
}

bool HttpCall::isLines() const {
  return Line && Response.Status >= 200 && Response.Status < 300;
}

void HttpCall::readBody() {
  if (Stopped)
    return fail(Stopped->first, Stopped->second);
  if (Incoming->is_done())
    return succeed();
  Incoming->get().body().data = Block.data();
  Incoming->get().body().size = Block.size();
  limitSilence();
  http::async_read_some(
      Connection->Stream, Connection->Buffer, *Incoming,
      [Self = shared_from_this()](Failure Cause, std::size_t) {
        Self->bodyRead(Cause);
      });
}

void HttpCall::bodyRead(Failure Cause) {
  if (Cause == http::error::need_buffer)
    Cause = {};
  std::size_t Count = Block.size() - Incoming->get().body().size;
  if (!takeBytes({Block.data(), Count}))
    return;
  if (Cause)
    return failRead(Cause);
  readBody();
}

bool HttpCall::takeBytes(std::string_view Bytes) {
  if (isLines())
    return takeLines(Bytes);
  if (Response.Body.size() + Bytes.size() > Request.MaxBodyBytes) {
    fail(ErrorCode::InvalidMessage, "response body is too large");
    return false;
  }
  Response.Body += Bytes;
  return true;
}

bool HttpCall::takeLines(std::string_view Bytes) {
  while (!Bytes.empty()) {
    auto End = Bytes.find('\n');
    PartialLine += Bytes.substr(0, End);
    if (PartialLine.size() > Request.MaxBodyBytes) {
      fail(ErrorCode::InvalidMessage, "line of the response is too long");
      return false;
    }
    if (End == std::string_view::npos)
      return true;
    Bytes.remove_prefix(End + 1);
    if (!PartialLine.empty() && PartialLine.back() == '\r')
      PartialLine.pop_back();
    bool GoOn = Line(PartialLine);
    PartialLine.clear();
    if (!GoOn) {
      fail(ErrorCode::Cancelled, "receiver of the lines gave up");
      return false;
    }
  }
  return true;
}

void HttpCall::limitSilence() {
  if (Request.SilenceLimit == Duration::max())
    Connection->Stream.expires_never();
  else
    Connection->Stream.expires_after(Request.SilenceLimit);
}

void HttpCall::succeed() {
  if (isLines() && !PartialLine.empty() && !Line(PartialLine))
    return fail(ErrorCode::Cancelled, "receiver of the lines gave up");
  if (Request.KeepConnection && Incoming->keep_alive() &&
      Connection->Buffer.size() == 0)
    Shared->Pool.keep(Request.Address, std::move(Connection));
  end(std::move(Response));
}

void HttpCall::failRead(Failure Cause) {
  if (Cause == beast::error::timeout)
    return fail(ErrorCode::PeerTimeout, "peer was silent for too long");
  if (Response.Status != 0 && Incoming && Incoming->is_header_done())
    return fail(ErrorCode::StreamIncomplete,
                "response broke off: " + Cause.message());
  bool Malformed = Cause.category() ==
                       make_error_code(http::error::bad_version).category() &&
                   Cause != http::error::end_of_stream &&
                   Cause != http::error::partial_message;
  fail(Malformed ? ErrorCode::InvalidMessage : ErrorCode::PeerUnreachable,
       Cause.message());
}

void HttpCall::fail(ErrorCode Code, const std::string &Detail) {
  HttpFailure Result;
  Result.Cause = {Stopped ? Stopped->first : Code, Request.At,
                  Request.Peer.empty() ? Request.Address : Request.Peer,
                  Stopped ? Stopped->second : Detail};
  Result.RequestBytesSent = BytesSent;
  Result.SendExpired = SendExpired;
  end(std::move(Result));
}

void HttpCall::end(HttpResult Result) {
  if (!Ended)
    return;
  Deadline.cancel();
  if (Connection)
    Connection->Stream.close();
  Connection.reset();
  --Shared->CallsInProgress;
  Line = {};
  std::exchange(Ended, {})(std::move(Result));
}

} // namespace detail

struct HttpClient::Data {
  std::shared_ptr<detail::HttpClientShared> Shared;
};

HttpCallHandle::HttpCallHandle(std::weak_ptr<detail::HttpCall> Target,
                               net::any_io_executor On)
    : Call(std::move(Target)), Executor(std::move(On)) {}

// The call is locked only on the context's thread, so that it is never
// destroyed on another one.
void HttpCallHandle::cancel() const {
  if (Executor)
    net::post(Executor, [Weak = Call] {
      if (auto Open = Weak.lock())
        Open->stop(ErrorCode::Cancelled, "cancelled");
    });
}

HttpClient::HttpClient(net::io_context &Context, HttpClientOptions Options)
    : Content(std::make_shared<Data>()) {
  Content->Shared =
      std::make_shared<detail::HttpClientShared>(Context, Options);
}

HttpClient::~HttpClient() = default;

HttpCallHandle HttpClient::call(HttpCallRequest Request, EndHandler Ended) {
  return stream(std::move(Request), {}, std::move(Ended));
}

HttpCallHandle HttpClient::stream(HttpCallRequest Request, LineHandler Line,
                                  EndHandler Ended) {
  net::io_context &Context = Content->Shared->Context;
  auto Call = std::make_shared<detail::HttpCall>(
      Content->Shared, std::move(Request), std::move(Line), std::move(Ended));
  std::weak_ptr<detail::HttpCall> Weak = Call;
  net::post(Context, [Started = std::move(Call)] { Started->start(); });
  return HttpCallHandle(std::move(Weak), Context.get_executor());
}

} // namespace marigoldyard
