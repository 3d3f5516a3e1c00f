#pragma once

#include "marigoldyard/transport/http_server.hpp"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_set>

namespace marigoldyard::detail {

class HttpSession;

/// @brief Parts of a server that its connections use.
struct HttpServerShared {
  HttpServerOptions Options;
  HttpServer::Handler Handle;
  std::shared_ptr<boost::asio::io_context> Context =
      std::make_shared<boost::asio::io_context>(1);
  std::unordered_set<HttpSession *> Sessions; ///< server thread only
  bool Stopping = false;                      ///< server thread only
  std::atomic<std::uint64_t> Requests{0};
  std::atomic<std::uint64_t> BadRequests{0};
  std::atomic<std::uint64_t> Refused{0};
  std::atomic<std::uint64_t> Disconnected{0};
  std::atomic<std::uint64_t> SlowClients{0};
  std::atomic<std::size_t> Connections{0};
};

/// @brief One request and its answer; shared by the copies of a Responder.
class HttpExchange {
public:
  /// @param Session connection of the request
  /// @param Number number of the request on the connection
  HttpExchange(std::shared_ptr<HttpServerShared> Shared,
               std::weak_ptr<HttpSession> Session, std::uint64_t Number);
  ~HttpExchange();
  HttpExchange(const HttpExchange &) = delete;
  HttpExchange &operator=(const HttpExchange &) = delete;

  void send(HttpResponse Response);
  void start(HttpResponse Head);
  bool write(std::string Bytes);
  void finish();
  void abort();
  void onDisconnect(std::function<void()> Handler);
  bool disconnected() const { return Gone.load(); }

  /// @brief Called by the connection when the client is gone.
  void clientGone();
  /// @brief Bytes that wait to be written; shared with the connection.
  std::shared_ptr<std::atomic<std::size_t>> Waiting =
      std::make_shared<std::atomic<std::size_t>>(0);

private:
  enum class Phase { Fresh, Streaming, Done };

  bool advance(Phase From, Phase To);
  template <typename F> void post(F Action);

  std::shared_ptr<HttpServerShared> Shared;
  std::weak_ptr<HttpSession> Session;
  std::uint64_t Number;
  std::atomic<Phase> Current{Phase::Fresh};
  std::atomic<bool> Gone{false};
  std::mutex Mutex;
  std::function<void()> Handler;
};

/// @brief One connection of a client. Used on the server's thread only.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
  HttpSession(std::shared_ptr<HttpServerShared> Shared,
              boost::asio::ip::tcp::socket Socket);
  ~HttpSession();
  HttpSession(const HttpSession &) = delete;
  HttpSession &operator=(const HttpSession &) = delete;

  void waitForRequest();
  /// @brief Closes the connection at once.
  void close();
  /// @brief Closes the connection unless a request is in progress.
  void closeIfIdle();

  // Answers to request Number; ignored when it is no longer in progress.
  void sendWhole(std::uint64_t Number, const HttpResponse &Response);
  void startStream(std::uint64_t Number, const HttpResponse &Head);
  void writeStream(std::uint64_t Number, const std::string &Bytes);
  void finishStream(std::uint64_t Number);
  void abortStream(std::uint64_t Number);

private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  struct Output {
    std::string Bytes;
    std::size_t Counted = 0; ///< part of the exchange's waiting bytes
  };

  void readRequest();
  void readBody();
  void requestRead(boost::beast::error_code Failure);
  void handleRequest();
  void rejectRequest(boost::beast::error_code Failure);
  void watchClient();
  void clientReadable(std::uint64_t Number);
  std::string headText(const HttpResponse &Head, bool Whole);
  void queue(std::string Bytes, std::size_t Counted);
  void writeNext();
  void responseFinished();
  void closeAfterReading();

  std::shared_ptr<HttpServerShared> Shared;
  boost::beast::tcp_stream Stream;
  std::string Peer;
  boost::asio::steady_timer RequestTimer;
  boost::beast::flat_buffer Buffer;
  std::optional<Parser> Incoming;
  std::uint64_t Current = 0; ///< number of the request in progress
  bool Busy = false;         ///< a request is in progress
  bool KeepAlive = false;
  bool HeadOnly = false; ///< the request's method is HEAD
  unsigned Version = 11;
  bool LastQueued = false; ///< the response is complete in the queue
  bool Writing = false;
  bool Closed = false;
  bool TooSlow = false; ///< the request took longer than RequestTime
  std::deque<Output> Queue;
  std::weak_ptr<HttpExchange> Exchange;
  std::shared_ptr<std::atomic<std::size_t>> Waiting;
  std::size_t DiscardedBytes = 0;
};

} // namespace marigoldyard::detail
