#pragma once

#include "marigoldyard/transport/http_client.hpp"
#include "marigoldyard/transport/http_server.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <future>
#include <sys/socket.h>
#include <thread>

namespace marigoldyard::test {

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

inline std::unique_ptr<HttpServer> serve(HttpServer::Handler Handle,
                                         HttpServerOptions Options = {}) {
  Options.Address = "127.0.0.2";
  auto Server = HttpServer::open(Options, std::move(Handle));
  REQUIRE(Server);
  return std::move(*Server);
}

inline std::string addressOf(const HttpServer &Server) {
  return "127.0.0.2:" + std::to_string(Server.port());
}

inline HttpCallRequest requestTo(const std::string &Address) {
  HttpCallRequest Request;
  Request.Address = Address;
  return Request;
}

/// Failure of a call; the test ends when the call succeeded.
inline HttpFailure failureOf(const HttpResult &Result) {
  REQUIRE(std::holds_alternative<HttpFailure>(Result));
  return std::get<HttpFailure>(Result);
}

/// A blocking connection that sends any bytes.
struct RawClient {
  boost::asio::io_context Context;
  boost::asio::ip::tcp::socket Socket{Context};

  explicit RawClient(const HttpServer &Server) {
    Socket.connect({boost::asio::ip::make_address("127.0.0.2"), Server.port()});
    timeval Limit{20, 0}; // only bounds a test that would hang
    ::setsockopt(Socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &Limit,
                 sizeof Limit);
  }
  void send(const std::string &Bytes) {
    boost::system::error_code Ignored;
    boost::asio::write(Socket, boost::asio::buffer(Bytes), Ignored);
  }
  /// Reads until the server closes the connection.
  std::string readAll() {
    std::string Text;
    char Block[4096];
    for (;;) {
      auto Count = ::recv(Socket.native_handle(), Block, sizeof Block, 0);
      if (Count <= 0)
        return Text;
      Text.append(Block, static_cast<std::size_t>(Count));
    }
  }
};

} // namespace marigoldyard::test
