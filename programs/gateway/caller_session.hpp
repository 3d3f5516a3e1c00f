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

/// @brief What a session asks of its owner.
struct SessionHandlers {
  /// Answers one request; returns whether the connection may be kept.
  std::function<boost::asio::awaitable<bool>(class CallerSession &,
                                             const platform::RequestMessage &)>
      Answer;
  std::function<ClientLimits()> Limits;
  std::function<void(std::string_view)> Rejected; ///< malformed request
};

/// @brief One connection of a caller: reads requests one at a time and notices
/// when the caller leaves during a request.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
  /// @param Socket the connection
  /// @param Timeouts must outlive the session
  /// @param Handlers the owner's part
  CallerSession(boost::asio::ip::tcp::socket Socket, TimeoutList &Timeouts,
                SessionHandlers Handlers);

  /// @brief Serves the connection until it ends.
  boost::asio::awaitable<void> run();

  /// @brief Writes bytes to the caller.
  /// @param Bytes the bytes
  /// @return false when the caller is gone or does not read
  boost::asio::awaitable<bool> write(std::string_view Bytes);

  /// @brief Calls a handler when the caller leaves during the request.
  /// @param Handler called at most once, on the thread of the session
  void onGone(std::function<void()> Handler);
  /// @return whether the caller closed or reset the connection
  bool gone() const { return Gone; }

private:
  enum class ReadEnd { Request, Closed, Rejected };
  boost::asio::awaitable<ReadEnd> waitForRequest(const ClientLimits &Limits);
  boost::asio::awaitable<ReadEnd> readRequest(const ClientLimits &Limits);
  boost::asio::awaitable<void> reject(unsigned Status, std::string_view Reason);
  boost::asio::awaitable<void> closeGently();
  void watch();
  void watched();

  boost::asio::ip::tcp::socket Socket;
  boost::beast::flat_buffer Buffer;
  Timeout Limit;
  SessionHandlers Handlers;
  std::optional<platform::RequestMessage> Request;
  std::function<void()> GoneHandler;
  bool Gone = false;
  bool Serving = false;
};

} // namespace marigoldyard
