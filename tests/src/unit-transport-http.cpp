#include "http_fixture.hpp"

#include "marigoldyard/transport/clock.hpp"

#include <atomic>

using namespace marigoldyard;
using namespace marigoldyard::test;
using namespace std::chrono_literals;

TEST_CASE("a request reaches the handler whole and its answer the caller") {
  auto Server = serve([](HttpRequest &&Request, const Responder &Answer) {
    Answer.send({201,
                 {{"x-seen",
                   Request.Method + " " + Request.Path + "?" + Request.Query}},
                 Request.Body});
  });
  ClientThread Client;
  HttpCallRequest Request = requestTo(addressOf(*Server));
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

// Guards against an order that is sent after what it depends on has expired,
// because its call waited for a connection.
TEST_CASE("a call that cannot be sent in time sends nothing") {
  std::atomic<int> Received = 0;
  auto Server = serve([&](HttpRequest &&, const Responder &Answer) {
    ++Received;
    Answer.send({200, {}, {}});
  });
  ClientThread Client;
  HttpCallRequest Request = requestTo(addressOf(*Server));
  Request.SendBefore = now() + 20s;
  CHECK(std::holds_alternative<HttpResponse>(Client.call(Request)));
  for (bool Reuse : {true, false}) {
    Request.ReuseConnection = Reuse;
    Request.SendBefore = now();
    const HttpFailure Late = failureOf(Client.call(Request));
    CHECK(Late.Cause.Code == ErrorCode::DeadlineExceeded);
    CHECK(Late.SendExpired);
    CHECK_FALSE(Late.RequestBytesSent);
  }
  CHECK(Received == 1);
}

TEST_CASE("a stream that breaks off is told apart from a whole one") {
  for (bool Whole : {true, false}) {
    auto Server = serve([Whole](HttpRequest &&, const Responder &Answer) {
      Answer.start({200, {}, {}});
      Answer.write("one\ntw");
      Answer.write("o\nthree\n");
      if (Whole)
        Answer.finish();
      else
        Answer.abort();
    });
    ClientThread Client;
    HttpCallRequest Request = requestTo(addressOf(*Server));
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

TEST_CASE("requests sent without waiting are answered in order") {
  auto Server = serve([](HttpRequest &&Request, const Responder &Answer) {
    std::thread([Answer, Path = Request.Path] {
      Answer.send({200, {}, "path=" + Path + ";"});
    }).detach();
  });
  RawClient Client(*Server);
  Client.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n"
              "GET /3 HTTP/1.1\r\nConnection: close\r\n\r\n");
  std::string Text = Client.readAll();
  auto First = Text.find("path=/1;"), Second = Text.find("path=/2;"),
       Third = Text.find("path=/3;");
  CHECK(First < Second);
  CHECK(Second < Third);
  CHECK(Third != std::string::npos);
}

TEST_CASE("a forgotten request gets an answer and a forgotten stream breaks "
          "off, so that no caller waits for ever") {
  auto Server = serve([](HttpRequest &&Request, const Responder &Answer) {
    if (Request.Path == "/stream")
      Answer.start({200, {}, {}});
  });
  ClientThread Client;
  auto Request = requestTo(addressOf(*Server));
  auto Result = Client.call(Request);
  REQUIRE(std::holds_alternative<HttpResponse>(Result));
  CHECK(std::get<HttpResponse>(Result).Status == 500);
  Request.Target = "/stream";
  CHECK(failureOf(Client.call(Request)).Cause.Code ==
        ErrorCode::StreamIncomplete);
}

TEST_CASE("a request in progress is finished after the server stops accepting, "
          "so that shutdown cuts off nobody") {
  std::promise<Responder> Held;
  auto Server = serve(
      [&](HttpRequest &&, const Responder &Answer) { Held.set_value(Answer); });
  ClientThread Client;
  std::promise<HttpResult> Result;
  auto Request = requestTo(addressOf(*Server));
  Client.Client.call(Request,
                     [&](HttpResult R) { Result.set_value(std::move(R)); });
  Responder Answer = Held.get_future().get();
  Server->stopAccepting();
  Request.ReuseConnection = false;
  // Refused from now on; a first try may still race with the stop.
  HttpResult Refused = Client.call(Request);
  CHECK(std::holds_alternative<HttpFailure>(Refused));
  Answer.send({200, {}, "whole"});
  auto Final = Result.get_future().get();
  REQUIRE(std::holds_alternative<HttpResponse>(Final));
  CHECK(std::get<HttpResponse>(Final).Body == "whole");
}

TEST_CASE("query parameters are decoded") {
  CHECK(queryParameter("a=1&b=x%20y+z&c", "b") == "x y z");
  CHECK(queryParameter("a=1&b=2", "c").empty());
  CHECK(queryParameter("a=%4", "a") == "%4");
}

TEST_CASE("a connection that is not to be kept is closed after its response") {
  const auto Server = serve([](const HttpRequest &, const Responder &Response) {
    Response.send({200, {}, "whole"});
  });
  ClientThread Caller;
  HttpCallRequest Request = requestTo(addressOf(*Server));
  Request.KeepConnection = false;
  for (int I = 0; I < 2; ++I) {
    const HttpResult Result = Caller.call(Request);
    REQUIRE(std::holds_alternative<HttpResponse>(Result));
    CHECK(std::get<HttpResponse>(Result).Body == "whole");
  }
  // A connection that is kept stays open for seconds.
  for (int I = 0; I < 100 && Server->counters().Connections > 0; ++I)
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  CHECK(Server->counters().Connections == 0);
}
