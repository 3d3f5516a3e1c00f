#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <optional>
#include <string_view>

namespace marigoldyard {

/// @brief Parses a socket address with an IP number.
/// @param Address "IP:PORT"; an IPv6 number may be in brackets
/// @return the endpoint; nothing for a host name, and for a port that is not a
/// decimal number from 1 to 65535
std::optional<boost::asio::ip::tcp::endpoint>
parseEndpoint(std::string_view Address);

/// @brief Opens a listening socket. What the kernel holds of a connection that
/// is not read is bounded, and so are connections that are not accepted yet.
/// @param Acceptor a closed acceptor
/// @param Endpoint address to listen on
/// @param MaxConnections connections that the process accepts
/// @return the error of the first call that failed, if any
boost::system::error_code
listenOn(boost::asio::ip::tcp::acceptor &Acceptor,
         const boost::asio::ip::tcp::endpoint &Endpoint,
         std::size_t MaxConnections);

} // namespace marigoldyard
