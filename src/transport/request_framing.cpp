#include "marigoldyard/transport/request_framing.hpp"

#include <boost/beast/core/string.hpp>

namespace marigoldyard {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr unsigned FirstVersionWithCodings = 11;

beast::string_view trim(beast::string_view Text) {
  constexpr const char *Whitespace = " \t";
  const std::size_t First = Text.find_first_not_of(Whitespace);
  if (First == beast::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Whitespace) - First + 1);
}

} // namespace

bool hasValidFraming(const http::request_header<> &Head) {
  const std::size_t Codings = Head.count(http::field::transfer_encoding);
  if (Codings == 0)
    return true;
  return Codings == 1 && Head.version() >= FirstVersionWithCodings &&
         Head.count(http::field::content_length) == 0 &&
         beast::iequals(trim(Head[http::field::transfer_encoding]), "chunked");
}

} // namespace marigoldyard
