#pragma once

#include "marigoldyard/state/fleet.hpp"
#include "marigoldyard/transport/timeout_list.hpp"
#include "platform/request_format.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace marigoldyard {

/// @brief Callbacks of a session.
struct SessionHandlers {
  /// Serves one request; returns whether the connection may be kept open.
  std::function<boost::asio::awaitable<bool>(class CallerSession &,
                                             const platform::RequestMessage &)>
      HandleRequest;
  std::function<ClientLimits()> Limits;
  std::function<void(std::string_view)>
      OnRejected; ///< malformed or late request
};

/// @brief Connection of a caller. Reads one request at a time and detects when
/// the caller disconnects while a request is served.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
  /// @param Socket the accepted connection
  /// @param Timeouts must outlive the session
  /// @param Handlers called on the thread of the session
  CallerSession(boost::asio::ip::tcp::socket Socket, TimeoutList &Timeouts,
                SessionHandlers Handlers);

  /// @brief Serves requests until the connection ends.
  boost::asio::awaitable<void> run();

  /// @brief Writes bytes to the caller.
  /// @param Bytes must stay valid until the write ends
  /// @return false when the caller has disconnected or does not read
  boost::asio::awaitable<bool> write(std::string_view Bytes);

  /// @brief Sets the handler for a disconnect of the caller during the request.
  /// @param Handler called at most once, on the thread of the session; at once
  /// when the caller has already disconnected; empty removes the handler
  void onDisconnect(std::function<void()> Handler);
  /// @return whether the caller closed or reset the connection
  bool disconnected() const { return Disconnected; }

private:
  enum class ReadResult { Request, Idle, Closed, Rejected };
  /// Waits for the first byte of a request. The idle limit in force counts,
  /// also when it changes meanwhile.
  boost::asio::awaitable<ReadResult> waitForRequest();
  boost::asio::awaitable<ReadResult> readRequest(const ClientLimits &Limits);
  boost::asio::awaitable<void> reject(unsigned Status, std::string_view Reason);
  /// Closes the connection after a last response, which the caller can read.
  boost::asio::awaitable<void> closeGracefully();
  /// Closes the connection without reading. A request that is under way gets a
  /// reset, which shows the caller that it was not read.
  void closeUnread();
  void watchForClose();
  void handleReadable();

  boost::asio::ip::tcp::socket Socket;
  boost::beast::flat_buffer Buffer;
  Timeout Timer;
  SessionHandlers Handlers;
  std::optional<platform::RequestMessage> Request;
  std::function<void()> DisconnectHandler;
  bool Disconnected = false;
  bool Serving = false;
};

} // namespace marigoldyard
