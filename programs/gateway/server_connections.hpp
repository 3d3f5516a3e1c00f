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

/// @brief A TCP connection to a server, with its read buffer.
struct ServerConnection {
  /// @brief Maximum size of Buffer. A line of a chunked body must fit into it,
  /// so it bounds chunk extensions and trailers.
  static constexpr std::size_t MaxBufferBytes = 64UL << 10;

  explicit ServerConnection(boost::asio::io_context &Context)
      : Socket(Context) {}

  boost::asio::ip::tcp::socket Socket;
  boost::beast::flat_buffer Buffer{MaxBufferBytes};
  bool Reused = false;
  TimePoint IdleSince{};
  Duration IdleTimeout{}; ///< after it the server may close the connection
};

/// @brief Idle connections to servers; the most recent one is reused first.
class ServerConnections {
public:
  /// @brief Idle timeout of servers that send no Keep-Alive header.
  static constexpr Duration DefaultIdleTimeout = std::chrono::seconds(4);
  /// @brief Maximum number of idle connections to one server; a server never
  /// uses more than its slots at once.
  static constexpr std::size_t MaxIdlePerServer = 32;

  /// @brief Takes an idle connection that the server has probably not closed.
  /// @param Address IP address and port of the server
  /// @param Now current time
  /// @param MaxIdleAge longest idle time that is accepted
  /// @return the connection, or null when there is none
  std::shared_ptr<ServerConnection> take(const std::string &Address,
                                         TimePoint Now, Duration MaxIdleAge);
  /// @brief Stores a connection for reuse.
  /// @param Address IP address and port of the server
  /// @param Connection must have been read to the end of a response
  /// @param Now current time
  void putBack(const std::string &Address,
               std::shared_ptr<ServerConnection> Connection, TimePoint Now);
  /// @brief Closes connections whose idle timeout is over.
  /// @param Now current time
  void closeExpired(TimePoint Now);
  /// @brief Closes all idle connections to a server.
  /// @param Address IP address and port of the server
  void closeAll(const std::string &Address) { IdleByAddress.erase(Address); }

private:
  std::unordered_map<std::string, std::deque<std::shared_ptr<ServerConnection>>>
      IdleByAddress;
};

} // namespace marigoldyard
