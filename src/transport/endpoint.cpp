#include "marigoldyard/transport/endpoint.hpp"

#include <charconv>
#include <string>

namespace marigoldyard {

namespace net = boost::asio;

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

} // namespace marigoldyard
