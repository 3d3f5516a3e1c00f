#include "http_fixture.hpp"

#include <atomic>

using namespace marigoldyard;
using namespace marigoldyard::test;
using namespace std::chrono_literals;

namespace {

/// Accepts one connection and writes bytes without end until the peer closes.
class EndlessServer {
public:
  EndlessServer(std::string Begin, std::string Piece)
      : Thread([this, Begin = std::move(Begin), Piece = std::move(Piece)] {
          boost::system::error_code Failure;
          auto Socket = Acceptor.accept(Failure);
          boost::asio::write(Socket, boost::asio::buffer(Begin), Failure);
          while (!Failure)
            BytesSent +=
                boost::asio::write(Socket, boost::asio::buffer(Piece), Failure);
        }) {}
  ~EndlessServer() { Thread.join(); }
  EndlessServer(const EndlessServer &) = delete;
  EndlessServer &operator=(const EndlessServer &) = delete;

  std::string address() const {
    return "127.0.0.2:" + std::to_string(Acceptor.local_endpoint().port());
  }
  std::size_t bytesSent() const { return BytesSent; }

private:
  boost::asio::io_context Context;
  boost::asio::ip::tcp::acceptor Acceptor{
      Context, {boost::asio::ip::make_address("127.0.0.2"), 0}};
  std::atomic<std::size_t> BytesSent = 0;
  std::thread Thread;
};

} // namespace

// Guards against a call that reads bytes without end until its time limit and
// stores them.
TEST_CASE("a call ends soon when its peer sends bytes without end that are no "
          "response") {
  const std::string Fill(8192, 'x');
  const std::string Chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::string Interim;
  for (int I = 0; I < 50; ++I)
    Interim += "HTTP/1.1 102 Processing\r\n\r\n";
  const std::pair<std::string, std::string> Cases[] = {
      {"", Fill},
      {"HTTP/1.1 200 OK\r\nX-More: ", Fill},
      {"HTTP/1.1 200 OK\r\n", "X-More: y\r\n"},
      {"", Interim},
      {Chunked + "5;x=", Fill},
      {Chunked + "0\r\nX-More: ", Fill},
      {Chunked, "2000\r\n" + Fill + "\r\n"},
      {"HTTP/1.1 500 Internal Server Error\r\n\r\n", Fill},
  };
  for (const auto &Case : Cases) {
    CAPTURE(Case.first);
    EndlessServer Server(Case.first, Case.second);
    ClientThread Client;
    HttpCallRequest Request = requestTo(Server.address());
    Request.Limit = 10s;
    const auto StartedAt = std::chrono::steady_clock::now();
    const HttpFailure Failure = failureOf(Client.call(Request));
    CHECK(Failure.Cause.Code != ErrorCode::PeerTimeout);
    CHECK(std::chrono::steady_clock::now() - StartedAt < 5s);
    // The socket buffers of both sides hold a few MB.
    CHECK(Server.bytesSent() < Request.MaxBodyBytes + (16UL << 20));
  }
}
