#include "platform/request_format.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

namespace {

platform::RequestMessage callersRequest() {
  platform::RequestMessage Request(http::verb::post, "/x/1?q=2", 11);
  Request.set(http::field::host, "a.example");
  Request.set("Attempt-Id", "id-1");
  Request.set("Model", "m");
  Request.set("Token-Counts", "1460, 80");
  Request.set("Prompt-Prefix", "5c:800,91:410");
  Request.set("Deadline-Ms", "6000");
  Request.set("Authorization", "Bearer key-1");
  Request.set("Tenant", "somebody else");
  Request.set("Expect-Instance", "i-0");
  Request.set("Request-Priority", "0");
  Request.set("Connection", "keep-alive, X-Hop");
  Request.set("X-Hop", "1");
  Request.set("X-End", "2");
  Request.body() = "body";
  Request.prepare_payload();
  return Request;
}

} // namespace

TEST_CASE("the parts of a prompt that requests share are all but the last") {
  auto Shared = [](const char *Value) {
    platform::Fields Headers;
    Headers.set("Prompt-Prefix", Value);
    return platform::decodeCallerRequest(Headers).SharedParts;
  };
  using Parts = std::vector<std::string>;
  CHECK(Shared("5c1e07a2:800, 91bd3f06:410,e4402b7d:250") ==
        Parts{"5c1e07a2", "91bd3f06"});
  CHECK(Shared("e4402b7d:250").empty());
  CHECK(Shared("").empty());
  CHECK(Shared(",,x").empty());
  CHECK(Shared("a,b:1,c") == Parts{"a", "b"});
  std::string Long;
  for (int I = 0; I < 1000; ++I)
    Long += "ab:1,";
  CHECK(Shared(Long.c_str()).size() == 32);
  CHECK(Shared((std::string(65, 'a') + ":1,b:1").c_str()).empty());
}

TEST_CASE("a caller's request is decoded") {
  const auto Facts = platform::decodeCallerRequest(callersRequest().base());
  CHECK(Facts.Id == "id-1");
  CHECK(Facts.Key == "key-1");
  CHECK(Facts.Model == "m");
  CHECK(Facts.TimeLeft == Duration(6s));
  CHECK(Facts.PromptTokens == 1460);
  CHECK(Facts.OutputTokens == 80);
  CHECK_FALSE(Facts.ResumeAfter);
  platform::Fields Odd;
  Odd.set("Deadline-Ms", "soon");
  Odd.set("Token-Counts", "x,");
  Odd.set("Last-Event-Id", "12");
  const auto Fallback = platform::decodeCallerRequest(Odd);
  CHECK_FALSE(Fallback.TimeLeft);
  CHECK(Fallback.PromptTokens == 0);
  CHECK(Fallback.ResumeAfter == 12U);
}

TEST_CASE("a server gets the request unchanged, and no key") {
  platform::ServerRequest Content;
  Content.ServerId = "i-7";
  Content.Customer = "north";
  Content.TimeLeft = 1234567us;
  Content.Priority = 12;
  const auto Sent = platform::buildServerRequest(callersRequest(), Content);
  CHECK(Sent.method() == http::verb::post);
  CHECK(Sent.target() == "/x/1?q=2");
  CHECK(Sent.body() == "body");
  CHECK(Sent["Attempt-Id"] == "id-1");
  CHECK(Sent["Prompt-Prefix"] == "5c:800,91:410");
  CHECK(Sent["Deadline-Ms"] == "1234");
  CHECK(Sent["Expect-Instance"] == "i-7");
  CHECK(Sent["Tenant"] == "north");
  CHECK(Sent["Request-Priority"] == "9");
  CHECK(Sent["X-End"] == "2");
  CHECK(Sent["Content-Length"] == "4");
  CHECK(Sent.count("Authorization") == 0);
  CHECK(Sent.count("X-Hop") == 0);
  CHECK(Sent.count("Connection") == 0);
  CHECK(Sent.count("Expect-Version") == 0);
}

TEST_CASE("an anonymous request carries no customer that its sender chose") {
  const auto Sent = platform::buildServerRequest(callersRequest(), {});
  CHECK(Sent.count("Tenant") == 0);
}

TEST_CASE("a chunked body is sent with its length") {
  auto Received = callersRequest();
  Received.erase(http::field::content_length);
  Received.set(http::field::transfer_encoding, "chunked");
  const auto Sent = platform::buildServerRequest(Received, {});
  CHECK(Sent.count("Transfer-Encoding") == 0);
  CHECK(Sent["Content-Length"] == "4");
}

TEST_CASE("a server's answer is decoded") {
  platform::Fields Headers;
  Headers.set("Attempt-Id", "id-1");
  Headers.set("Response-Signature", "s");
  Headers.set("Server-Load", "3,1,8");
  Headers.set("Weight-Versions", "2");
  const auto Good = platform::decodeServerResponse(200, Headers);
  CHECK(Good.RequestId == "id-1");
  CHECK(Good.Signed);
  CHECK_FALSE(Good.NotRun);
  CHECK(Good.Load->Running == 3);
  CHECK(Good.Load->Waiting == 1);
  CHECK(Good.Version == 2U);
  CHECK_FALSE(platform::decodeServerResponse(503, {}).NotRun);
  CHECK(platform::decodeServerResponse(421, {}).NotRun);
  CHECK(platform::decodeServerResponse(421, {}).WrongServer);
  platform::Fields Shed;
  Shed.set("Not-Executed", "1");
  CHECK(platform::decodeServerResponse(503, Shed).NotRun);
}

// Guards against a notice that is missed, or taken from a malformed header.
TEST_CASE("what a server says about further requests is decoded") {
  const auto RefusesFor = [](const char *Text, unsigned Status = 503) {
    platform::Fields Headers;
    Headers.set("Retry-After", Text);
    return platform::decodeServerResponse(Status, Headers).RefusesFor;
  };
  CHECK(RefusesFor("3") == 3s);
  CHECK(RefusesFor("0.25") == 250ms);
  CHECK(RefusesFor("0") == 0s);
  CHECK(RefusesFor("1000000000000") == 1h);
  CHECK(RefusesFor(std::string(400, '9').c_str()) == 1h);
  CHECK(RefusesFor(("0." + std::string(400, '0') + "1").c_str()) == 0s);
  for (const char *Malformed :
       {"", "-1", "nan", "inf", "-inf", "1e3", "3s", "0x10", "1,5", "+2",
        "Fri, 31 Dec 1999 23:59:59 GMT"})
    CHECK_FALSE(RefusesFor(Malformed));
  CHECK_FALSE(RefusesFor("3", 200));
  CHECK_FALSE(RefusesFor("3", 429)); // addressed to the caller
  platform::Fields Leaving;
  CHECK_FALSE(platform::decodeServerResponse(200, Leaving).Leaving);
  Leaving.set("server-leaving", "1");
  for (const unsigned Status : {200U, 421U, 500U, 503U})
    CHECK(platform::decodeServerResponse(Status, Leaving).Leaving);
  Leaving.set("Server-Leaving", "0");
  CHECK_FALSE(platform::decodeServerResponse(200, Leaving).Leaving);
}

// Guards against callers that wait because one of several servers refuses.
TEST_CASE("only the gateway gets the time for which a server refuses") {
  platform::Fields Headers;
  Headers.set("Retry-After", "3");
  platform::removeRefusalTime(429, Headers);
  CHECK(Headers.count("Retry-After") == 1);
  platform::removeRefusalTime(503, Headers);
  CHECK(Headers.count("Retry-After") == 0);
}

TEST_CASE("headers of the connection and of the load stay inside") {
  CHECK(platform::isForwardedToCaller("Response-Signature"));
  CHECK(platform::isForwardedToCaller("Weight-Versions"));
  CHECK_FALSE(platform::isForwardedToCaller("transfer-encoding"));
  CHECK_FALSE(platform::isForwardedToCaller("Server-Load"));
  CHECK_FALSE(platform::isForwardedToCaller("Server-Leaving"));
  CHECK(platform::isForwardedToCaller("Retry-After"));
}

TEST_CASE("the directory speaks the platform's format") {
  const auto Question = platform::parseDirectoryQuery(
      "/marigoldyard/resolve?name=a.example&region=r%201&zone=z");
  REQUIRE(Question);
  CHECK(Question->Region == "r 1");
  CHECK_FALSE(platform::parseDirectoryQuery("/marigoldyard/ready"));
  CHECK(platform::makeDirectoryResponse({"10.0.0.1:80"}, 2s) ==
        R"({"addresses":["10.0.0.1:80"],"ttl_s":2})");
  CHECK(platform::isReadinessCheck("/marigoldyard/ready"));
  CHECK_FALSE(platform::isReadinessCheck("/marigoldyard/resolve"));
}

// Guards against a server whose odd numbers make it look idle, so that it draws
// one request after the other.
TEST_CASE("a load with a number that cannot be is no report") {
  for (const std::string_view Text :
       {"-1,0,4", "4294967296,0,4", "4294967295,4294967295,4", "1,0", "a,b,c",
        "1,,4", "18446744073709551616,0,4", "1 2,0,4", ","}) {
    CAPTURE(Text);
    platform::Fields Headers;
    Headers.set("Server-Load", {Text.data(), Text.size()});
    CHECK_FALSE(platform::decodeServerResponse(200, Headers).Load);
  }
}

TEST_CASE("the fourth figure of a load tells how slow the server is") {
  const auto SlownessOf = [](std::string_view Text) {
    platform::Fields Headers;
    Headers.set("Server-Load", {Text.data(), Text.size()});
    const auto Load = platform::decodeServerResponse(200, Headers).Load;
    REQUIRE(Load);
    CHECK(Load->Running == 3);
    return Load->Slowness;
  };
  CHECK(SlownessOf("3,1,8,250") == 2.5);
  CHECK(SlownessOf("3, 1, 8, 100") == 1.0);
  CHECK_FALSE(SlownessOf("3,1,8"));
  for (const std::string_view Odd : {"3,1,8,0", "3,1,8,-5", "3,1,8,1e9",
                                     "3,1,8,99999999", "3,1,8,", "3,1,8,x"})
    CHECK_FALSE(SlownessOf(Odd));
}

// Guards against sums of token counts that overflow.
TEST_CASE("huge token counts of a caller are limited") {
  platform::Fields Headers;
  Headers.set("Token-Counts", "18446744073709551615,-1");
  const auto Request = platform::decodeCallerRequest(Headers);
  CHECK(Request.PromptTokens == 1UL << 30);
  CHECK(Request.OutputTokens == 0);
}
