#include "marigoldyard/coordination/stream.hpp"

#include <doctest/doctest.h>
#include <xxhash.h>

using namespace marigoldyard;

namespace {

StreamState twoPieces() {
  StreamState State = makeStreamState("r", 2, "w", "agent-1");
  checkPiece(State, {"r", 2, "w", 0, "Hello "});
  checkPiece(State, {"r", 2, "w", 1, "world"});
  return State;
}

} // namespace

TEST_CASE("the checksum is XXH3-64 of the whole text, so that other "
          "implementations agree on it") {
  std::string_view Text = "Hello world";
  CHECK(streamChecksum(twoPieces()) == XXH3_64bits(Text.data(), Text.size()));
}

TEST_CASE("each fault of a piece or end is told apart, so that logs name the "
          "cause") {
  const std::pair<PieceView, StreamFault> Pieces[] = {
      {{"r", 2, "w", 2, "!"}, StreamFault::None},
      {{"r", 1, "w", 2, "!"}, StreamFault::OlderAttempt},
      {{"q", 2, "w", 2, "!"}, StreamFault::OtherRequest},
      {{"r", 3, "w", 2, "!"}, StreamFault::OtherAttempt},
      {{"r", 2, "v", 2, "!"}, StreamFault::OtherWeights},
      {{"r", 2, "w", 1, "!"}, StreamFault::Duplicate},
      {{"r", 2, "w", 3, "!"}, StreamFault::Gap}};
  for (const auto &Row : Pieces) {
    StreamState State = twoPieces();
    CHECK(checkPiece(State, Row.first).Fault == Row.second);
  }
  std::uint64_t Sum = streamChecksum(twoPieces());
  const std::pair<StreamEndView, StreamFault> Ends[] = {
      {{"r", 2, "w", 2, Sum}, StreamFault::None},
      {{"r", 2, "w", 2, std::nullopt}, StreamFault::None},
      {{"r", 2, "w", 3, Sum}, StreamFault::WrongCount},
      {{"r", 2, "w", 2, Sum + 1}, StreamFault::WrongChecksum}};
  for (const auto &Row : Ends) {
    StreamState State = twoPieces();
    CHECK(checkEnd(State, Row.first).Fault == Row.second);
  }
}

TEST_CASE("a stream that failed or ended accepts nothing more") {
  StreamState State = twoPieces();
  checkPiece(State, {"r", 2, "w", 5, "!"});
  CHECK(checkEnd(State, {"r", 2, "w", 2, {}}).Fault == StreamFault::AfterFault);
  State = twoPieces();
  checkEnd(State, {"r", 2, "w", 2, {}});
  CHECK(checkPiece(State, {"r", 2, "w", 2, ""}).Fault == StreamFault::AfterEnd);
}

TEST_CASE("an endless answer fails at the bound instead of using memory") {
  StreamState State = makeStreamState("r", 1, "w", "agent-1");
  std::string Half(MaxAnswerBytes / 2, 'x');
  CHECK(checkPiece(State, {"r", 1, "w", 0, Half}).Fault == StreamFault::None);
  CHECK(checkPiece(State, {"r", 1, "w", 1, Half}).Fault == StreamFault::None);
  CHECK(checkPiece(State, {"r", 1, "w", 2, "x"}).Fault == StreamFault::TooLong);
}
