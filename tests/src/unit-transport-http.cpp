#include "marigoldyard/transport/http_client.hpp"
#include "marigoldyard/transport/http_server.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <doctest/doctest.h>
#include <future>
#include <thread>

using namespace marigoldyard;
using namespace std::chrono_literals;

namespace {

/// A client with a thread of its own.
struct ClientThread {
  boost::asio::io_context Context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Guard{Context.get_executor()};
  HttpClient Client{Context};
  std::thread Thread{[this] { Context.run(); }};
  ~ClientThread() {
    Guard.reset();
    Context.stop();
    Thread.join();
  }
  HttpResult call(HttpCallRequest Request) {
    std::promise<HttpResult> Result;
    Client.call(std::move(Request),
                [&](HttpResult R) { Result.set_value(std::move(R)); });
    return Result.get_future().get();
  }
};

std::unique_ptr<HttpServer> serve(HttpServer::Handler Handle,
                                  HttpServerOptions Options = {}) {
  Options.Address = "127.0.0.2";
  auto Server = HttpServer::open(Options, std::move(Handle));
  REQUIRE(Server);
  return std::move(*Server);
}

std::string addressOf(const HttpServer &Server) {
  return "127.0.0.2:" + std::to_string(Server.port());
}

} // namespace

TEST_CASE("a request reaches the handler whole and its answer the caller") {
  auto Server = serve([](HttpRequest &&Request, Responder Answer) {
    Answer.send({201,
                 {{"x-seen",
                   Request.Method + " " + Request.Path + "?" + Request.Query}},
                 Request.Body});
  });
  ClientThread Client;
  HttpCallRequest Request;
  Request.Address = addressOf(*Server);
  Request.Method = "POST";
  Request.Target = "/a?b=c";
  Request.Body = std::string(200'000, 'x');
  for (int I = 0; I < 3; ++I) {
    auto Result = Client.call(Request);
    auto *Response = std::get_if<HttpResponse>(&Result);
    REQUIRE(Response);
    CHECK(Response->Status == 201);
    CHECK(Response->Headers["x-seen"] == "POST /a?b=c");
    CHECK(Response->Body == Request.Body);
  }
  // Connections are reused, so that a busy daemon does not exhaust ports.
  CHECK(Server->counters().Connections == 1);
}

TEST_CASE("a stream that breaks off is told apart from a whole one") {
  for (bool Whole : {true, false}) {
    auto Server = serve([Whole](HttpRequest &&, Responder Answer) {
      Answer.start({200, {}, {}});
      Answer.write("one\ntw");
      Answer.write("o\nthree\n");
      if (Whole)
        Answer.finish();
      else
        Answer.abort();
    });
    ClientThread Client;
    HttpCallRequest Request;
    Request.Address = addressOf(*Server);
    std::vector<std::string> Lines;
    std::promise<HttpResult> Ended;
    Client.Client.stream(
        Request,
        [&](std::string_view Line) {
          Lines.emplace_back(Line);
          return true;
        },
        [&](HttpResult R) { Ended.set_value(std::move(R)); });
    auto Result = Ended.get_future().get();
    CHECK(std::holds_alternative<HttpResponse>(Result) == Whole);
    if (Whole) {
      CHECK(Lines == std::vector<std::string>{"one", "two", "three"});
    } else {
      auto &Failure = std::get<HttpFailure>(Result);
      CHECK(Failure.RequestBytesSent);
    }
  }
}
