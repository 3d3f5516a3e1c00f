#include "marigoldyard/transport/http_server.hpp"

#include "marigoldyard/transport/detail/http_session.hpp"
#include "marigoldyard/transport/endpoint.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <thread>
#include <vector>

namespace marigoldyard {

namespace net = boost::asio;
using Tcp = net::ip::tcp;

namespace detail {

HttpExchange::HttpExchange(std::shared_ptr<HttpServerShared> Parts,
                           std::weak_ptr<HttpSession> Owner,
                           std::uint64_t Request)
    : Shared(std::move(Parts)), Session(std::move(Owner)), Number(Request) {}

HttpExchange::~HttpExchange() {
  if (Current == Phase::Fresh)
    send({500, {{"content-type", "text/plain"}}, "no answer\n"});
  else
    abort();
}

bool HttpExchange::advance(Phase From, Phase To) {
  return Current.compare_exchange_strong(From, To);
}

// The session is locked only on the server's thread, so that it is never
// destroyed on another one.
template <typename F> void HttpExchange::post(F Action) {
  net::post(*Shared->Context,
            [Weak = Session, Act = std::move(Action)]() mutable {
              if (auto Open = Weak.lock())
                Act(*Open);
            });
}

void HttpExchange::send(HttpResponse Response) {
  if (!advance(Phase::Fresh, Phase::Done))
    return;
  post([N = Number, R = std::move(Response)](HttpSession &Open) {
    Open.sendWhole(N, R);
  });
}

void HttpExchange::start(HttpResponse Head) {
  if (!advance(Phase::Fresh, Phase::Streaming))
    return;
  post([N = Number, R = std::move(Head)](HttpSession &Open) {
    Open.startStream(N, R);
  });
}

bool HttpExchange::write(std::string Bytes) {
  if (Current != Phase::Streaming || Gone)
    return false;
  std::size_t Count = Bytes.size();
  if (Waiting->fetch_add(Count) + Count > Shared->Options.MaxWaitingBytes) {
    ++Shared->SlowClients;
    abort();
    return false;
  }
  post([N = Number, Text = std::move(Bytes)](HttpSession &Open) {
    Open.writeStream(N, Text);
  });
  return true;
}

void HttpExchange::finish() {
  if (advance(Phase::Streaming, Phase::Done))
    post([N = Number](HttpSession &Open) { Open.finishStream(N); });
}

void HttpExchange::abort() {
  if (Current.exchange(Phase::Done) != Phase::Done)
    post([N = Number](HttpSession &Open) { Open.abortStream(N); });
}

void HttpExchange::onDisconnect(std::function<void()> New) {
  {
    std::lock_guard Lock(Mutex);
    if (!Gone) {
      Handler = std::move(New);
      return;
    }
  }
  if (New)
    New();
}

void HttpExchange::clientGone() {
  std::function<void()> Call;
  {
    std::lock_guard Lock(Mutex);
    Gone = true;
    Call = std::exchange(Handler, {});
  }
  if (Call)
    Call();
}

} // namespace detail

Responder::Responder(std::shared_ptr<detail::HttpExchange> Shared)
    : Exchange(std::move(Shared)) {}
void Responder::send(HttpResponse Response) const {
  if (Exchange)
    Exchange->send(std::move(Response));
}
void Responder::start(HttpResponse Head) const {
  if (Exchange)
    Exchange->start(std::move(Head));
}
bool Responder::write(std::string Bytes) const {
  return Exchange && Exchange->write(std::move(Bytes));
}
void Responder::finish() const {
  if (Exchange)
    Exchange->finish();
}
void Responder::abort() const {
  if (Exchange)
    Exchange->abort();
}
void Responder::onDisconnect(std::function<void()> Handler) const {
  if (Exchange)
    Exchange->onDisconnect(std::move(Handler));
}
bool Responder::disconnected() const {
  return !Exchange || Exchange->disconnected();
}

struct HttpServer::Data {
  std::shared_ptr<detail::HttpServerShared> Shared =
      std::make_shared<detail::HttpServerShared>();
  Tcp::acceptor Acceptor{*Shared->Context};
  net::steady_timer AcceptPause{*Shared->Context};
  net::executor_work_guard<net::io_context::executor_type> Guard{
      Shared->Context->get_executor()};
  std::uint16_t Port = 0;
  std::thread Thread;

  boost::system::error_code listen();
  void accept();
  void accepted(boost::system::error_code Failure, Tcp::socket Socket);
  void stop(bool CloseAll);
};

boost::system::error_code HttpServer::Data::listen() {
  boost::system::error_code Failure;
  const HttpServerOptions &Options = Shared->Options;
  auto Address = net::ip::make_address(Options.Address, Failure);
  if (Failure)
    return Failure;
  Tcp::endpoint Endpoint(Address, Options.Port);
  Failure = listenOn(Acceptor, Endpoint, Options.MaxConnections);
  if (!Failure)
    Port = Acceptor.local_endpoint(Failure).port();
  return Failure;
}

void HttpServer::Data::accept() {
  Acceptor.async_accept(
      [this](boost::system::error_code Failure, Tcp::socket Socket) {
        accepted(Failure, std::move(Socket));
      });
}

void HttpServer::Data::accepted(boost::system::error_code Failure,
                                Tcp::socket Socket) {
  if (Shared->Stopping || Failure == net::error::operation_aborted)
    return;
  if (Failure) {
    // Without file descriptors accept fails at once again.
    AcceptPause.expires_after(std::chrono::milliseconds(100));
    AcceptPause.async_wait([this](boost::system::error_code Stopped) {
      if (!Stopped)
        accept();
    });
    return;
  }
  if (Shared->Connections >= Shared->Options.MaxConnections)
    ++Shared->Refused; // the socket closes here
  else
    std::make_shared<detail::HttpSession>(Shared, std::move(Socket))
        ->waitForRequest();
  accept();
}

void HttpServer::Data::stop(bool CloseAll) {
  Shared->Stopping = true;
  boost::system::error_code Ignored;
  Acceptor.close(Ignored);
  AcceptPause.cancel();
  // A session leaves the set when its last reference goes, so hold all.
  std::vector<std::shared_ptr<detail::HttpSession>> Open;
  for (detail::HttpSession *Session : Shared->Sessions)
    if (auto Held = Session->weak_from_this().lock())
      Open.push_back(std::move(Held));
  for (auto &Session : Open)
    CloseAll ? Session->close() : Session->closeIfIdle();
}

Expected<std::unique_ptr<HttpServer>>
HttpServer::open(HttpServerOptions Options, Handler Handle) {
  auto Content = std::make_unique<Data>();
  Content->Shared->Options = std::move(Options);
  Content->Shared->Handle = std::move(Handle);
  if (auto Failure = Content->listen())
    return Error{ErrorCode::InvalidSettings, Step::Settings,
                 Content->Shared->Options.Address + ":" +
                     std::to_string(Content->Shared->Options.Port),
                 "cannot listen: " + Failure.message()};
  Content->accept();
  Content->Thread =
      std::thread([Context = Content->Shared->Context] { Context->run(); });
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(Content)));
}

HttpServer::HttpServer(std::unique_ptr<Data> Parts)
    : Content(std::move(Parts)) {}

// Waiting operations hold the connections, which hold the context. Closing them
// lets the thread run out of work and so releases all of them.
HttpServer::~HttpServer() {
  net::post(*Content->Shared->Context, [Parts = Content.get()] {
    Parts->stop(true);
    Parts->Guard.reset();
  });
  Content->Thread.join();
}

void HttpServer::stopAccepting() {
  net::post(*Content->Shared->Context,
            [Parts = Content.get()] { Parts->stop(false); });
}

std::uint16_t HttpServer::port() const { return Content->Port; }

HttpServerCounters HttpServer::counters() const {
  const detail::HttpServerShared &Shared = *Content->Shared;
  HttpServerCounters Result;
  Result.Requests = Shared.Requests;
  Result.BadRequests = Shared.BadRequests;
  Result.Refused = Shared.Refused;
  Result.Disconnected = Shared.Disconnected;
  Result.SlowClients = Shared.SlowClients;
  Result.Connections = Shared.Connections;
  return Result;
}

} // namespace marigoldyard
