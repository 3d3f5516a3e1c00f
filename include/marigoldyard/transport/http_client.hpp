#pragma once

#include "marigoldyard/state/error.hpp"
#include "marigoldyard/state/time.hpp"
#include "marigoldyard/transport/http_message.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace marigoldyard {

namespace detail {
class HttpCall;
}

/// @brief A request to send.
struct HttpCallRequest {
  std::string Address; ///< "host:port" with an IP number
  std::string Method = "GET";
  std::string Target = "/"; ///< path and query
  HttpHeaders Headers;
  std::string Body;
  Step At = Step::Send; ///< step named in errors
  std::string Peer;     ///< peer named in errors; Address if empty
  Duration Limit = std::chrono::seconds(10); ///< for the whole call; the
                                             ///< highest value means none
  Duration SilenceLimit = Duration::max();   ///< longest time without a byte
  /// The call expires if its first byte is not sent before this time.
  TimePoint SendBefore = TimePoint::max();
  std::size_t MaxBodyBytes = 1UL << 20; ///< of a whole response, or of one line
  bool ReuseConnection = true; ///< false opens a connection, so that a request
                               ///< never fails on one that the server closed
  bool KeepConnection = true;  ///< false closes it after the response, for
                               ///< servers with few connections
};

/// @brief A failed call.
struct HttpFailure {
  Error Cause;
  bool RequestBytesSent = false; ///< false proves that the peer got nothing
  bool SendExpired = false;      ///< nothing was sent before SendBefore
};

/// @brief Result of a call: a response or a failure.
using HttpResult = std::variant<HttpResponse, HttpFailure>;

/// @brief Handle of a call in progress.
class HttpCallHandle {
public:
  HttpCallHandle() = default;
  HttpCallHandle(std::weak_ptr<detail::HttpCall> Call,
                 boost::asio::any_io_executor Executor);

  /// @brief Closes the connection of the call. Its end callback gets
  /// ErrorCode::Cancelled unless it already ran. Thread-safe while the
  /// io_context exists.
  void cancel() const;

private:
  std::weak_ptr<detail::HttpCall> Call;
  boost::asio::any_io_executor Executor;
};

/// @brief Limits of an HttpClient.
struct HttpClientOptions {
  std::size_t MaxIdlePerAddress = 4;
  std::size_t MaxIdle = 64;
  std::size_t MaxCalls =
      4096; ///< in progress; further ones fail with QueueFull
  Duration IdleTime = std::chrono::seconds(15); ///< a connection is kept
  Duration ConnectTime = std::chrono::seconds(2);
};

/// @brief Asynchronous HTTP/1.1 client on an io_context that one thread runs.
///
/// Calls may be started and cancelled from any thread; callbacks run on the
/// thread of the io_context. The client never repeats a request by itself.
class HttpClient {
public:
  using EndHandler = std::function<void(HttpResult)>;
  /// Gets each line without its end; false cancels the call.
  using LineHandler = std::function<bool(std::string_view)>;

  /// @param Context must outlive all calls
  /// @param Options limits
  explicit HttpClient(boost::asio::io_context &Context,
                      HttpClientOptions Options = {});
  /// @brief Closes idle connections; calls in progress go on.
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// @brief Sends a request and collects the whole response.
  /// @param Request the request
  /// @param Ended called once
  /// @return a handle to cancel the call
  HttpCallHandle call(HttpCallRequest Request, EndHandler Ended);

  /// @brief Sends a request and passes on the lines of the response as they
  /// arrive. For a status other than 2xx the body is collected instead.
  /// @param Request the request
  /// @param Line called for each line
  /// @param Ended called once; the body of a 2xx response is empty. A response
  /// that breaks off gives ErrorCode::StreamIncomplete.
  /// @return a handle to cancel the call
  HttpCallHandle stream(HttpCallRequest Request, LineHandler Line,
                        EndHandler Ended);

private:
  struct Data;
  std::shared_ptr<Data> Content;
};

} // namespace marigoldyard
