#include "http_fixture.hpp"

#include <boost/asio/read_until.hpp>

using namespace marigoldyard;
using namespace marigoldyard::test;
using namespace std::chrono_literals;

namespace {

/// Answers one request with a fixed text and closes.
class FixedServer {
public:
  explicit FixedServer(std::string Text)
      : Thread([this, Text = std::move(Text)] {
          boost::system::error_code Failure;
          auto Socket = Acceptor.accept(Failure);
          std::string Received;
          boost::asio::read_until(Socket, boost::asio::dynamic_buffer(Received),
                                  "\r\n\r\n", Failure);
          boost::asio::write(Socket, boost::asio::buffer(Text), Failure);
        }) {}
  ~FixedServer() { Thread.join(); }
  FixedServer(const FixedServer &) = delete;
  FixedServer &operator=(const FixedServer &) = delete;

  std::string address() const {
    return "127.0.0.2:" + std::to_string(Acceptor.local_endpoint().port());
  }

private:
  boost::asio::io_context Context;
  boost::asio::ip::tcp::acceptor Acceptor{
      Context, {boost::asio::ip::make_address("127.0.0.2"), 0}};
  std::thread Thread;
};

HttpResult resultOf(std::string_view Status) {
  FixedServer Server("HTTP/1.1 " + std::string(Status) +
                     " Text\r\nContent-Length: 2\r\n\r\nok");
  ClientThread Client;
  HttpCallRequest Request = requestTo(Server.address());
  Request.Limit = 5s;
  return Client.call(Request);
}

} // namespace

// Guards against an answer of the store, the origin or a model server that has
// no status and is taken for one: an order that may have been accepted would
// count as refused.
TEST_CASE("a call fails when the status of the answer is none") {
  for (const std::string_view Status :
       {"000", "001", "099", "600", "700", "999"}) {
    CAPTURE(Status);
    const HttpFailure Failure = failureOf(resultOf(Status));
    CHECK(Failure.Cause.Code == ErrorCode::InvalidMessage);
    CHECK(Failure.RequestBytesSent);
  }
}

TEST_CASE("statuses at the ends of the range are answers") {
  for (const std::string_view Status : {"200", "599", "451"}) {
    CAPTURE(Status);
    const HttpResult Result = resultOf(Status);
    REQUIRE(std::holds_alternative<HttpResponse>(Result));
    CHECK(std::to_string(std::get<HttpResponse>(Result).Status) == Status);
  }
}
