#include "http_fixture.hpp"

#include "marigoldyard/transport/request_framing.hpp"

#include <atomic>
#include <string>
#include <utility>
#include <vector>

using namespace marigoldyard;
using namespace marigoldyard::test;
namespace http = boost::beast::http;

namespace {

using FieldList = std::vector<std::pair<http::field, std::string>>;

bool isValid(const FieldList &Fields, unsigned Version = 11) {
  http::request_header<> Head;
  Head.version(Version);
  for (const auto &[Name, Value] : Fields)
    Head.insert(Name, Value);
  return hasValidFraming(Head);
}

constexpr auto Coding = http::field::transfer_encoding;
constexpr auto Length = http::field::content_length;

} // namespace

// Guards against a check that rejects requests whose body ends at a known byte.
TEST_CASE("a length, chunks and no body are valid framing") {
  CHECK(isValid({}));
  CHECK(isValid({}, 10));
  CHECK(isValid({{Length, "10"}}));
  CHECK(isValid({{Length, "10"}}, 10));
  for (const char *const Value :
       {"chunked", "Chunked", "CHUNKED", " chunked\t"}) {
    CAPTURE(Value);
    CHECK(isValid({{Coding, Value}}));
  }
}

// Guards against a body that is taken for the next request.
TEST_CASE("a coding that is not chunked alone is no valid framing") {
  for (const char *const Value :
       {"", "identity", "x-chunked", "chunkedx", "chunked, identity",
        "identity, chunked", "gzip, chunked", "chunked, chunked", "chunked,",
        ",chunked", "chunked;a=b", "\"chunked\"", "chunked identity"}) {
    CAPTURE(Value);
    CHECK_FALSE(isValid({{Coding, Value}}));
  }
  CHECK_FALSE(isValid({{Coding, "chunked"}, {Coding, "chunked"}}));
  CHECK_FALSE(isValid({{Coding, "identity"}, {Coding, "chunked"}}));
  CHECK_FALSE(isValid({{Coding, "chunked"}, {Coding, ""}}));
}

// Guards against two ends of a body, of which another program may take the
// other one.
TEST_CASE("a coding beside a length, or in HTTP/1.0, is no valid framing") {
  CHECK_FALSE(isValid({{Coding, "chunked"}, {Length, "10"}}));
  CHECK_FALSE(isValid({{Length, "10"}, {Coding, "chunked"}}));
  CHECK_FALSE(isValid({{Coding, "identity"}, {Length, "0"}}));
  CHECK_FALSE(isValid({{Coding, "chunked"}}, 10));
}

// Guards against a server that answers such a request, or what follows it.
TEST_CASE("a request without valid framing gets 400 and the server closes") {
  std::atomic<int> Handled = 0;
  const auto Server =
      serve([&](const HttpRequest &, const Responder &Response) {
        ++Handled;
        Response.send({200, {}, "answer"});
      });
  const std::vector<std::string> Framings = {
      "Transfer-Encoding: identity",
      "Transfer-Encoding: chunked, identity",
      "Transfer-Encoding: identity\r\nContent-Length: 500",
      "Transfer-Encoding: chunked\r\nContent-Length: 5",
      "Content-Length: 5\r\nTransfer-Encoding: chunked",
      "Content-Length: 5\r\nContent-Length: 6",
      "Content-Length: x"};
  for (const std::string &Framing : Framings) {
    CAPTURE(Framing);
    RawClient Client(*Server);
    Client.send("POST /outer HTTP/1.1\r\n" + Framing +
                "\r\n\r\nGET /inner HTTP/1.1\r\n\r\n");
    const std::string Text = Client.readAll();
    CHECK(Text.starts_with("HTTP/1.1 400 "));
    CHECK(Text.find("Connection: close\r\n") != std::string::npos);
    CHECK(Text.find("HTTP/1.1", 1) == std::string::npos);
  }
  CHECK(Handled == 0);
}
