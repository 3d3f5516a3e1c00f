#pragma once

#include "marigoldyard/state/time.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

namespace marigoldyard {

/// @brief A connection to a server.
struct ServerConnection {
  explicit ServerConnection(boost::asio::io_context &Context)
      : Socket(Context) {}

  boost::asio::ip::tcp::socket Socket;
  boost::beast::flat_buffer Buffer;
  bool Reused = false;
  TimePoint IdleSince{};
  Duration KeepFor{}; ///< idle time after which the server may close it
};

/// @brief Idle connections to servers, the newest used first.
class ServerConnections {
public:
  /// @brief Idle time assumed when a server tells none.
  static constexpr Duration DefaultKeep = std::chrono::seconds(4);
  /// @brief Idle connections kept to one server; more than its slots are never
  /// in use at once.
  static constexpr std::size_t MaxIdle = 32;

  /// @brief Takes an idle connection that may still be open.
  /// @param Address address of the server
  /// @param Now the time
  /// @param MaxAge longest idle time that is accepted
  /// @return the connection, or null
  std::shared_ptr<ServerConnection> take(const std::string &Address,
                                         TimePoint Now, Duration MaxAge);
  /// @brief Keeps a connection on which a whole answer was read.
  /// @param Address address of the server
  /// @param Idle the connection
  /// @param Now the time
  void keep(const std::string &Address, std::shared_ptr<ServerConnection> Idle,
            TimePoint Now);
  /// @brief Closes connections that are idle for too long.
  /// @param Now the time
  void closeExpired(TimePoint Now);
  /// @brief Closes all connections to a server.
  /// @param Address address of the server
  void drop(const std::string &Address) { Idle.erase(Address); }

private:
  std::unordered_map<std::string, std::deque<std::shared_ptr<ServerConnection>>>
      Idle;
};

} // namespace marigoldyard
