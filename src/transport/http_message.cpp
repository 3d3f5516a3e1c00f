#include "marigoldyard/transport/http_message.hpp"

namespace marigoldyard {

namespace {

int hexDigit(char C) {
  if (C >= '0' && C <= '9')
    return C - '0';
  if (C >= 'a' && C <= 'f')
    return C - 'a' + 10;
  if (C >= 'A' && C <= 'F')
    return C - 'A' + 10;
  return -1;
}

std::string decodePercent(std::string_view Text) {
  std::string Result;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] == '%' && I + 2 < Text.size() && hexDigit(Text[I + 1]) >= 0 &&
        hexDigit(Text[I + 2]) >= 0) {
      Result +=
          static_cast<char>(hexDigit(Text[I + 1]) * 16 + hexDigit(Text[I + 2]));
      I += 2;
    } else {
      Result += Text[I] == '+' ? ' ' : Text[I];
    }
  }
  return Result;
}

} // namespace

std::string queryParameter(std::string_view Query, std::string_view Name) {
  while (!Query.empty()) {
    auto Pair = Query.substr(0, Query.find('&'));
    Query.remove_prefix(std::min(Query.size(), Pair.size() + 1));
    auto Equals = Pair.find('=');
    if (Pair.substr(0, Equals) == Name)
      return Equals == std::string_view::npos
                 ? std::string()
                 : decodePercent(Pair.substr(Equals + 1));
  }
  return {};
}

} // namespace marigoldyard
