#include "http_fixture.hpp"

#include <random>

using namespace marigoldyard;
using namespace marigoldyard::test;
using namespace std::chrono_literals;

namespace {

void answerOk(HttpRequest &&, const Responder &Answer) {
  Answer.send({200, {}, "ok"});
}

std::string rawExchange(const HttpServer &Server, const std::string &Bytes) {
  RawClient Client(Server);
  Client.send(Bytes);
  return Client.readAll();
}

bool hasStatus(const std::string &Text, const char *Status) {
  return Text.starts_with(std::string("HTTP/1.1 ") + Status);
}

} // namespace

TEST_CASE("bad requests get a clear status, are counted and never reach the "
          "handler") {
  HttpServerOptions Options;
  Options.MaxHeaderBytes = 1000;
  Options.MaxBodyBytes = 1000;
  bool Reached = false;
  auto Server = serve(
      [&](HttpRequest &&, const Responder &) { Reached = true; }, Options);
  CHECK(hasStatus(rawExchange(*Server, "NONSENSE\r\n\r\n"), "400"));
  CHECK(hasStatus(rawExchange(*Server, "GET / HTTP/9.9\r\n\r\n"), "400"));
  CHECK(hasStatus(rawExchange(*Server, "GET / HTTP/1.1\r\nX: " +
                                           std::string(2000, 'x') + "\r\n\r\n"),
                  "431"));
  CHECK(hasStatus(rawExchange(*Server, "GET /" + std::string(100'000, 'x')),
                  "431"));
  CHECK(hasStatus(
      rawExchange(*Server, "POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n" +
                               std::string(5000, 'x')),
      "413"));
  CHECK(hasStatus(rawExchange(*Server, "POST / HTTP/1.1\r\nTransfer-Encoding: "
                                       "chunked\r\n\r\n7D0\r\n" +
                                           std::string(2000, 'x') + "\r\n"),
                  "413"));
  CHECK(hasStatus(
      rawExchange(*Server, "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"),
      "400"));
  CHECK(Server->counters().BadRequests == 7);
  CHECK_FALSE(Reached);
}

TEST_CASE("slow and idle senders are closed") {
  HttpServerOptions Options;
  Options.IdleTime = 50ms;
  Options.RequestTime = 50ms;
  auto Server = serve(&answerOk, Options);
  CHECK(hasStatus(rawExchange(*Server, "GET / HT"), "408"));
  CHECK(rawExchange(*Server, "").empty());
  CHECK(Server->counters().BadRequests == 1);
}

TEST_CASE("truncated and mutated requests do not stop the server") {
  HttpServerOptions Options;
  Options.RequestTime = 50ms;
  auto Server = serve(&answerOk, Options);
  const std::string Valid = "POST /v1 HTTP/1.1\r\nHost: a\r\nContent-Length: "
                            "4\r\nConnection: close\r\n\r\nbody";
  std::mt19937_64 Random(20261204);
  for (int I = 0; I < 300; ++I) {
    std::string Text = Valid;
    for (auto Changes = Random() % 4; Changes > 0; --Changes)
      Text[Random() % Text.size()] = static_cast<char>(Random());
    Text.resize(1 + Random() % Text.size());
    RawClient Client(*Server);
    Client.send(Text);
    Client.Socket.close();
  }
  CHECK(hasStatus(rawExchange(*Server, Valid), "200"));
}

TEST_CASE("a client that disconnects is noticed while its answer is pending") {
  std::promise<Responder> Held;
  auto Server = serve([&](HttpRequest &&, Responder Answer) {
    Held.set_value(std::move(Answer));
  });
  auto Client = std::make_unique<RawClient>(*Server);
  Client->send("GET / HTTP/1.1\r\n\r\n");
  Responder Answer = Held.get_future().get();
  Answer.start({200, {}, {}});
  CHECK(Answer.write("piece"));
  std::promise<void> Gone;
  Answer.onDisconnect([&] { Gone.set_value(); });
  Client.reset();
  Gone.get_future().get();
  CHECK(Answer.disconnected());
  CHECK_FALSE(Answer.write("piece"));
  CHECK(Server->counters().Disconnected == 1);
}

TEST_CASE("a client that does not read is closed, so that its answer does not "
          "fill the memory") {
  HttpServerOptions Options;
  Options.MaxWaitingBytes = 100'000;
  std::promise<Responder> Held;
  auto Server =
      serve([&](HttpRequest &&,
                Responder Answer) { Held.set_value(std::move(Answer)); },
            Options);
  RawClient Client(*Server);
  Client.send("GET / HTTP/1.1\r\n\r\n");
  Responder Answer = Held.get_future().get();
  Answer.start({200, {}, {}});
  const std::string Block(50'000, 'x');
  int Blocks = 0;
  while (Blocks < 2000 && Answer.write(Block))
    ++Blocks;
  CHECK(Blocks < 2000);
  CHECK(Server->counters().SlowClients == 1);
}

TEST_CASE("connections over the limit are closed at once") {
  HttpServerOptions Options;
  Options.MaxConnections = 1;
  auto Server = serve(&answerOk, Options);
  RawClient First(*Server);
  First.send("GET / HTTP/1.1\r\n\r\n");
  char Byte = 0;
  REQUIRE(::recv(First.Socket.native_handle(), &Byte, 1, 0) == 1);
  CHECK(rawExchange(*Server, "").empty());
  CHECK(Server->counters().Refused == 1);
}

TEST_CASE("a failed call tells whether the peer may have seen the request, "
          "which decides whether it may be repeated") {
  ClientThread Client;
  auto Server = serve(&answerOk);
  auto Request = requestTo(addressOf(*Server));
  Request.At = Step::Generate;
  Request.Peer = "engine-1";
  Server.reset();
  HttpFailure Refused = failureOf(Client.call(Request));
  CHECK_FALSE(Refused.RequestBytesSent);
  CHECK(Refused.Cause.Code == ErrorCode::PeerUnreachable);
  CHECK(Refused.Cause.At == Step::Generate);
  CHECK(Refused.Cause.Peer == "engine-1");
  Request.Address = "not an address";
  CHECK_FALSE(failureOf(Client.call(Request)).RequestBytesSent);
  std::vector<Responder> Held;
  Server = serve([&](HttpRequest &&Got, Responder Answer) {
    if (Got.Path == "/abort") {
      Answer.start({200, {}, {}});
      Answer.abort();
    } else {
      Held.push_back(std::move(Answer));
    }
  });
  Request.Address = addressOf(*Server);
  Request.Limit = 50ms;
  HttpFailure Late = failureOf(Client.call(Request));
  CHECK(Late.RequestBytesSent);
  CHECK(Late.Cause.Code == ErrorCode::PeerTimeout);
  Request.Limit = Duration::max();
  Request.SilenceLimit = 50ms;
  CHECK(failureOf(Client.call(Request)).Cause.Code == ErrorCode::PeerTimeout);
  Request.Target = "/abort";
  CHECK(failureOf(Client.call(Request)).RequestBytesSent);
}

TEST_CASE("oversized bodies and lines of a peer are cut off") {
  ClientThread Client;
  auto Server = serve([](HttpRequest &&, const Responder &Answer) {
    Answer.send({200, {}, std::string(50'000, 'x')});
  });
  auto Request = requestTo(addressOf(*Server));
  Request.MaxBodyBytes = 1000;
  CHECK(failureOf(Client.call(Request)).Cause.Code ==
        ErrorCode::InvalidMessage);
  std::promise<HttpResult> Result;
  Client.Client.stream(
      Request, [](std::string_view) { return true; },
      [&](HttpResult R) { Result.set_value(std::move(R)); });
  CHECK(failureOf(Result.get_future().get()).Cause.Code ==
        ErrorCode::InvalidMessage);
}

TEST_CASE("a cancelled call ends once and closes its connection") {
  ClientThread Client;
  std::promise<void> Gone;
  std::promise<Responder> Held;
  auto Server = serve([&](HttpRequest &&, Responder Answer) {
    Answer.onDisconnect([&] { Gone.set_value(); });
    Held.set_value(std::move(Answer));
  });
  std::promise<HttpResult> Result;
  auto Handle =
      Client.Client.call(requestTo(addressOf(*Server)),
                         [&](HttpResult R) { Result.set_value(std::move(R)); });
  Responder Answer = Held.get_future().get();
  Handle.cancel();
  Handle.cancel();
  CHECK(failureOf(Result.get_future().get()).Cause.Code ==
        ErrorCode::Cancelled);
  Gone.get_future().get();
}

TEST_CASE("a connection that the server closed while idle is not used again") {
  ClientThread Client;
  HttpServerOptions Options;
  auto Server = serve(&answerOk, Options);
  auto Request = requestTo(addressOf(*Server));
  CHECK(std::holds_alternative<HttpResponse>(Client.call(Request)));
  Options.Port = Server->port();
  Server.reset();
  Server = serve(&answerOk, Options);
  CHECK(std::holds_alternative<HttpResponse>(Client.call(Request)));
}
