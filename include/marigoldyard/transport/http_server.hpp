#pragma once

#include "marigoldyard/state/error.hpp"
#include "marigoldyard/state/time.hpp"
#include "marigoldyard/transport/http_message.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace marigoldyard {

namespace detail {
class HttpExchange;
}

/// @brief Limits of an HttpServer.
struct HttpServerOptions {
  std::string Address;    ///< IP number to listen on
  std::uint16_t Port = 0; ///< 0 lets the kernel choose
  std::size_t MaxHeaderBytes = 8UL << 10;
  std::size_t MaxBodyBytes = 1UL << 20;
  std::size_t MaxConnections = 1024;
  std::size_t MaxWaitingBytes = 256UL << 10; ///< response bytes that one slow
                                             ///< client may leave unread
  Duration IdleTime = std::chrono::seconds(30);    ///< between requests
  Duration RequestTime = std::chrono::seconds(10); ///< for a whole request
  Duration WriteTime = std::chrono::seconds(10);   ///< for one write
};

/// @brief Numbers since the start of an HttpServer.
struct HttpServerCounters {
  std::uint64_t Requests = 0;     ///< given to the handler
  std::uint64_t BadRequests = 0;  ///< malformed, oversized or too slow
  std::uint64_t Refused = 0;      ///< connections over the limit
  std::uint64_t Disconnected = 0; ///< clients that left during a request
  std::uint64_t SlowClients = 0;  ///< closed over MaxWaitingBytes or WriteTime
  std::size_t Connections = 0;    ///< open now
};

/// @brief Answers one request. Copies share the same answer and may be used
/// from any thread. When all copies are gone without an answer, the client gets
/// status 500; an unfinished stream is aborted.
class Responder {
public:
  Responder() = default;
  explicit Responder(std::shared_ptr<detail::HttpExchange> Exchange);

  /// @brief Sends a whole response; later answers to the request are ignored.
  /// @param Response the response
  void send(HttpResponse Response) const;

  /// @brief Starts a chunked response.
  /// @param Head status and header fields; the body is ignored
  void start(HttpResponse Head) const;

  /// @brief Appends to a started response.
  /// @param Bytes what to append
  /// @return false when the client is gone or leaves too many bytes unread; the
  /// connection is then closed
  bool write(std::string Bytes) const;

  /// @brief Ends a started response normally.
  void finish() const;

  /// @brief Closes the connection without the final chunk, so that the client
  /// knows the response is not whole.
  void abort() const;

  /// @brief Sets a callback for the case that the client disconnects before the
  /// response is finished. It runs on the server's thread, at most once, and at
  /// once when the client is already gone.
  /// @param Handler must not block
  void onDisconnect(std::function<void()> Handler) const;

  /// @return whether the client is known to be gone
  bool disconnected() const;

private:
  std::shared_ptr<detail::HttpExchange> Exchange;
};

/// @brief HTTP/1.1 server with one thread.
class HttpServer {
public:
  /// @brief Gets each valid request on the server's thread; must not block.
  using Handler = std::function<void(HttpRequest &&, Responder)>;

  /// @brief Listens and starts the thread.
  /// @param Options address and limits
  /// @param Handle handler of requests
  /// @return the server; ErrorCode::InvalidSettings when it cannot listen
  static Expected<std::unique_ptr<HttpServer>> open(HttpServerOptions Options,
                                                    Handler Handle);

  /// @brief Closes all connections and ends the thread.
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// @brief Refuses new connections and closes idle ones; requests in progress
  /// go on.
  void stopAccepting();

  /// @return the port the server listens on
  std::uint16_t port() const;

  /// @return numbers since the start
  HttpServerCounters counters() const;

private:
  struct Data;
  explicit HttpServer(std::unique_ptr<Data> Content);
  std::unique_ptr<Data> Content;
};

} // namespace marigoldyard
