#include "marigoldyard/coordination/response_match.hpp"

namespace marigoldyard {

ResponseMeaning matchResponse(const ResponseFacts &Facts,
                              std::string_view RequestId) {
  if (Facts.RequestId != RequestId) {
    const bool CannotBeRepeated =
        Facts.RequestId.empty() && Facts.FirstOnConnection;
    if (!CannotBeRepeated || Facts.Successful || !Facts.NotRun)
      return ResponseMeaning::Stale;
    return ResponseMeaning::Refusal;
  }
  if (Facts.Successful && (Facts.NotRun || !Facts.Signed))
    return ResponseMeaning::Invalid;
  return Facts.NotRun ? ResponseMeaning::Refusal : ResponseMeaning::Answer;
}

} // namespace marigoldyard
