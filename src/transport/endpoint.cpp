#include "marigoldyard/transport/endpoint.hpp"

#include <algorithm>
#include <charconv>
#include <string>

namespace marigoldyard {

namespace net = boost::asio;

namespace {

/// Bytes of a connection that the kernel holds while the process does not read.
/// It allows for 16 MB a second with a round trip of 2 ms.
constexpr int ReceiveBufferBytes = 32 << 10;

} // namespace

std::optional<net::ip::tcp::endpoint> parseEndpoint(std::string_view Address) {
  const std::size_t Colon = Address.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  std::string_view Host = Address.substr(0, Colon);
  const std::string_view Digits = Address.substr(Colon + 1);
  std::uint16_t Port = 0;
  const auto [End, Status] =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Port);
  if (Status != std::errc() || End != Digits.data() + Digits.size() ||
      Port == 0)
    return std::nullopt;
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  boost::system::error_code Failure;
  const auto Ip = net::ip::make_address(std::string(Host), Failure);
  if (Failure)
    return std::nullopt;
  return net::ip::tcp::endpoint(Ip, Port);
}

boost::system::error_code listenOn(net::ip::tcp::acceptor &Acceptor,
                                   const net::ip::tcp::endpoint &Endpoint,
                                   std::size_t MaxConnections) {
  boost::system::error_code Failure;
  Acceptor.open(Endpoint.protocol(), Failure);
  if (!Failure)
    Acceptor.set_option(net::socket_base::reuse_address(true), Failure);
  if (!Failure)
    Acceptor.bind(Endpoint, Failure);
  // Connections inherit the limit, which the kernel would raise by itself.
  if (!Failure)
    Acceptor.set_option(
        net::socket_base::receive_buffer_size(ReceiveBufferBytes), Failure);
  if (!Failure)
    Acceptor.listen(
        static_cast<int>(std::min<std::size_t>(
            MaxConnections, net::socket_base::max_listen_connections)),
        Failure);
  return Failure;
}

} // namespace marigoldyard
