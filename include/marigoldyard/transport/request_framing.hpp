#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

namespace marigoldyard {

/// @brief Whether it is certain where the body of a request ends (RFC 9112, 6.1
/// and 6.3). The parser takes a transfer coding other than chunked for no
/// framing, so that the bytes of the body would be the next request. A request
/// without certain framing gets 400 and its connection is closed.
/// @param Head head of a request as parsed; the parser has already refused
/// lengths that differ or are no number
/// @return false for a transfer coding that is not "chunked" alone, for several
/// Transfer-Encoding fields, for one beside a length, and for one in HTTP/1.0
/// @complexity linear in the number of fields
bool hasValidFraming(const boost::beast::http::request_header<> &Head);

} // namespace marigoldyard
