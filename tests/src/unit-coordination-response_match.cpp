#include "marigoldyard/coordination/response_match.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;

namespace {

constexpr std::string_view Id = "request-2";

ResponseFacts refusal(std::string_view RequestId, bool FirstOnConnection) {
  ResponseFacts Facts;
  Facts.RequestId = RequestId;
  Facts.NotRun = true;
  Facts.FirstOnConnection = FirstOnConnection;
  return Facts;
}

} // namespace

// Guards against an earlier refusal that a server repeats on a kept connection:
// requests that ran were reported as not run.
TEST_CASE("a refusal proves nothing when it may belong to an earlier request") {
  CHECK(matchResponse(refusal(Id, true), Id) == ResponseMeaning::Refusal);
  CHECK(matchResponse(refusal(Id, false), Id) == ResponseMeaning::Refusal);
  CHECK(matchResponse(refusal("", true), Id) == ResponseMeaning::Refusal);
  CHECK(matchResponse(refusal("", false), Id) == ResponseMeaning::Stale);
  CHECK(matchResponse(refusal("request-1", true), Id) ==
        ResponseMeaning::Stale);
  CHECK(matchResponse(refusal("request-1", false), Id) ==
        ResponseMeaning::Stale);
}

TEST_CASE("a response without id that states no refusal is never an answer") {
  for (const bool First : {true, false})
    for (const bool Successful : {true, false})
      for (const bool Signed : {true, false})
        CHECK(matchResponse({"", Successful, Signed, false, First}, Id) ==
              ResponseMeaning::Stale);
}

TEST_CASE("a success that states that the request was not run, or that is not "
          "signed, is invalid") {
  CHECK(matchResponse({Id, true, true, true, true}, Id) ==
        ResponseMeaning::Invalid);
  CHECK(matchResponse({Id, true, false, false, true}, Id) ==
        ResponseMeaning::Invalid);
  CHECK(matchResponse({"", true, true, true, true}, Id) ==
        ResponseMeaning::Stale);
  CHECK(matchResponse({Id, true, true, false, false}, Id) ==
        ResponseMeaning::Answer);
  CHECK(matchResponse({Id, false, true, false, false}, Id) ==
        ResponseMeaning::Answer);
}
