#pragma once

#include "marigoldyard/state/error.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace marigoldyard {

/// @brief Header fields; names are lower case.
using HttpHeaders = std::map<std::string, std::string, std::less<>>;

/// @brief A request as received.
struct HttpRequest {
  std::string Method; ///< upper case
  std::string Path;   ///< target without the query
  std::string Query;  ///< after "?", or empty; not decoded
  HttpHeaders Headers;
  std::string Body;
  std::string Peer; ///< "host:port" of the client

  /// @brief A header field.
  /// @param Name lower-case name
  /// @return the value, or empty
  std::string_view header(std::string_view Name) const {
    auto Found = Headers.find(Name);
    return Found == Headers.end() ? std::string_view() : Found->second;
  }
};

/// @brief Whether a number is the status of a response. Parsers take any three
/// digits; with others a server in trouble has sent no response.
/// @param Status number of the status line
inline constexpr bool isValidStatus(unsigned Status) {
  constexpr unsigned Lowest = 100;
  constexpr unsigned Highest = 599;
  return Status >= Lowest && Status <= Highest;
}

/// @brief A whole response.
struct HttpResponse {
  unsigned Status = 200;
  HttpHeaders Headers;
  std::string Body;
};

/// @brief Parameter of a query.
/// @param Query text after "?"
/// @param Name name of the parameter
/// @return the decoded value, or empty when it is absent
/// @complexity linear in the length of the query
std::string queryParameter(std::string_view Query, std::string_view Name);

} // namespace marigoldyard
