#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string_view>

namespace marigoldyard {

/// @brief Parses a socket address with an IP number.
/// @param Address "IP:PORT"; an IPv6 number may be in brackets
/// @return the endpoint; nothing for a host name, and for a port that is not a
/// decimal number from 1 to 65535
std::optional<boost::asio::ip::tcp::endpoint>
parseEndpoint(std::string_view Address);

} // namespace marigoldyard
