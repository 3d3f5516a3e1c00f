#pragma once

#include "marigoldyard/coordination/request_memory.hpp"
#include "marigoldyard/state/fleet.hpp"
#include "marigoldyard/transport/timeout_list.hpp"
#include "platform/request_format.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace marigoldyard {

/// @brief Sessions of a process and what they hold.
struct CallerSessions {
  RequestMemory Memory;
  std::map<std::uint64_t, class CallerSession *> Open; ///< by ticket
  /// A request or response that was given up for memory.
  std::function<void(CallerState)> OnShed;
};

/// @brief Makes room for one more connection.
/// @param Sessions sessions of the process
/// @return false when all connections are being served
bool closeForNewConnection(CallerSessions &Sessions);

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
  /// @param Sessions must outlive the session
  /// @param Handlers called on the thread of the session
  CallerSession(boost::asio::ip::tcp::socket Socket, TimeoutList &Timeouts,
                CallerSessions &Sessions, SessionHandlers Handlers);
  ~CallerSession();
  CallerSession(const CallerSession &) = delete;
  CallerSession &operator=(const CallerSession &) = delete;

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

  /// @brief Gives up a request that is being read, or a response that is being
  /// written, because the memory is needed.
  void shed();
  /// @brief Closes the connection at once, because its descriptor is needed.
  void closeAtOnce();

private:
  enum class ReadResult { Request, Idle, Closed, Rejected };
  /// Waits for the first byte of a request. The idle limit in force counts,
  /// also when it changes meanwhile.
  boost::asio::awaitable<ReadResult> waitForRequest();
  boost::asio::awaitable<ReadResult> readRequest(const ClientLimits &Limits);
  /// Reads once; fails when the buffer is full.
  boost::asio::awaitable<boost::system::error_code>
  receive(std::size_t MaxBytes);
  /// Drops a request that was not read whole, and tells the caller why if a
  /// response is possible.
  boost::asio::awaitable<void>
  rejectUnfinished(boost::system::error_code Failure, bool TimedOut);
  boost::asio::awaitable<void> reject(unsigned Status, std::string_view Reason);
  /// Records what is held, and gives up what exceeds the limits.
  void setHeldBytes(std::size_t Bytes);
  /// Drops what was read.
  void releaseRequest();
  void closeSocket();
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
  CallerSessions &Sessions;
  const std::uint64_t Ticket;
  SessionHandlers Handlers;
  std::optional<platform::RequestMessage> Request;
  std::function<void()> DisconnectHandler;
  bool Disconnected = false;
  bool Serving = false;
  bool IsShed = false;
  std::size_t RequestBytes = 0; ///< held for the request that is served
};

} // namespace marigoldyard
