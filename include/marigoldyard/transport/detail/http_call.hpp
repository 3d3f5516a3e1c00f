#pragma once

#include "marigoldyard/transport/http_client.hpp"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <deque>
#include <map>
#include <optional>

namespace marigoldyard::detail {

/// @brief An open connection of a client.
struct HttpConnection {
  /// @brief Maximum size of Buffer. A line of a chunked body must fit into it,
  /// so it bounds chunk extensions and trailers.
  static constexpr std::size_t MaxBufferBytes = 64UL << 10;

  explicit HttpConnection(boost::asio::io_context &Context) : Stream(Context) {}

  boost::beast::tcp_stream Stream;
  boost::beast::flat_buffer Buffer{MaxBufferBytes};
  std::chrono::steady_clock::time_point IdleSince;
};

/// @brief Idle connections of a client. Used on the context's thread only.
class HttpConnectionPool {
public:
  explicit HttpConnectionPool(HttpClientOptions Limits) : Options(Limits) {}

  /// @brief Takes an open connection that the peer has not closed.
  /// @return the connection, or null
  std::unique_ptr<HttpConnection> take(const std::string &Address);
  /// @brief Keeps a connection for reuse, within the limits.
  void keep(const std::string &Address, std::unique_ptr<HttpConnection> Idle);

private:
  using Connections = std::deque<std::unique_ptr<HttpConnection>>;

  void removeExpired();

  HttpClientOptions Options;
  std::map<std::string, Connections> ByAddress;
  std::size_t Count = 0;
};

/// @brief Parts of a client that its calls use.
struct HttpClientShared {
  HttpClientShared(boost::asio::io_context &Service, HttpClientOptions Limits)
      : Context(Service), Options(Limits), Pool(Limits) {}

  boost::asio::io_context &Context;
  HttpClientOptions Options;
  HttpConnectionPool Pool;
  std::size_t CallsInProgress = 0;
};

/// @brief One call. Exactly one operation is in progress at a time; a deadline
/// or cancel() closes the connection, and the end of that operation ends the
/// call. So the number of sent bytes is known when the call ends.
class HttpCall : public std::enable_shared_from_this<HttpCall> {
public:
  HttpCall(std::shared_ptr<HttpClientShared> Shared, HttpCallRequest Request,
           HttpClient::LineHandler Line, HttpClient::EndHandler Ended);

  /// @brief Starts the call; on the context's thread.
  void start();
  /// @brief Ends the call with an error once its operation in progress ended.
  void stop(ErrorCode Code, std::string Detail);

private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;
  using Failure = boost::beast::error_code;

  void connect();
  void write();
  void written(Failure Cause, std::size_t Count);
  void readHeader();
  void headerRead(Failure Cause, std::size_t Count);
  void readBody();
  void bodyRead(Failure Cause);
  bool takeBytes(std::string_view Bytes);
  bool takeLines(std::string_view Bytes);
  void limitSilence();
  void succeed();
  void fail(ErrorCode Code, const std::string &Detail);
  void failRead(Failure Cause);
  void end(HttpResult Result);
  bool isLines() const;

  std::shared_ptr<HttpClientShared> Shared;
  HttpCallRequest Request;
  HttpClient::LineHandler Line;
  HttpClient::EndHandler Ended;
  boost::asio::steady_timer Deadline;
  std::unique_ptr<HttpConnection> Connection;
  std::string Outgoing;
  std::optional<Parser> Incoming;
  std::array<char, 16UL << 10> Block{};
  std::string PartialLine;
  std::size_t HeaderBytes = 0; ///< of the response and those before it
  HttpResponse Response;
  bool Started = false;
  bool BytesSent = false;
  bool SendExpired = false; ///< by Request.SendBefore
  std::optional<std::pair<ErrorCode, std::string>> Stopped;
};

} // namespace marigoldyard::detail
