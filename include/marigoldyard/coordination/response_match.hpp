#pragma once

#include <cstdint>
#include <string_view>

namespace marigoldyard {

/// @brief What the head of a response says, and where it came on its
/// connection.
struct ResponseFacts {
  std::string_view RequestId; ///< of the response; empty when it has none
  bool Successful = false;    ///< status 2xx
  bool Signed = false;        ///< has the server's signature
  bool NotRun = false;        ///< states that the request was not run
  /// Whether no earlier request was sent and no other response was read on the
  /// connection.
  bool FirstOnConnection = false;
};

/// @brief What a response means for the request that waits on its connection.
enum class ResponseMeaning : std::uint8_t {
  Answer,  ///< the server's response to the request
  Refusal, ///< proof that the request was not run
  Stale,   ///< may belong to another request; the response may still follow
  Invalid, ///< contradicts itself; nothing can be concluded
};

/// @brief Decides whether a response belongs to a request and what it proves. A
/// refusal without a request id is accepted only where it cannot repeat one of
/// an earlier request.
/// @param Facts the response
/// @param RequestId id of the request
/// @complexity linear in the length of the ids
ResponseMeaning matchResponse(const ResponseFacts &Facts,
                              std::string_view RequestId);

} // namespace marigoldyard
