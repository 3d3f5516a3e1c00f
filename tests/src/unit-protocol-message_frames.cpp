#include "marigoldyard/protocol/message_frames.hpp"

#include <doctest/doctest.h>
#include <numeric>

using namespace marigoldyard;

namespace {

const KeyRing Ring{{{"k1", "secret"}, {"k2", "other"}}};

std::vector<std::uint8_t> messageOf(std::size_t Size) {
  std::vector<std::uint8_t> Bytes(Size);
  std::iota(Bytes.begin(), Bytes.end(), 1); // the first byte is no frame's
  return Bytes;
}

FrameAssembly assembly() {
  FrameAssembly State;
  State.MaxMessageBytes = 100'000;
  State.MaxBytes = 200'000;
  return State;
}

/// Adds all frames; returns what the last one makes.
std::optional<std::vector<std::uint8_t>>
addAll(FrameAssembly &State, std::uint32_t Connection,
       const std::vector<std::vector<std::uint8_t>> &Frames) {
  std::optional<std::vector<std::uint8_t>> Whole;
  for (const auto &Frame : Frames) {
    REQUIRE_FALSE(Whole);
    auto Result = addFrame(State, Connection, Frame, Ring);
    REQUIRE(Result);
    Whole = std::move(*Result);
  }
  return Whole;
}

} // namespace

TEST_CASE("a message that fits into a frame stays as it is") {
  const auto Frames = splitMessage(messageOf(MaxFrameBytes), Ring);
  REQUIRE(Frames.size() == 1);
  CHECK(Frames.front() == messageOf(MaxFrameBytes));
  CHECK_FALSE(isFrame(Frames.front()));
}

TEST_CASE("frames of several connections make their messages again") {
  for (const std::size_t Size :
       {MaxFrameBytes + 1, 2 * MaxFrameBytes, std::size_t{99'999}}) {
    FrameAssembly State = assembly();
    const auto Frames = splitMessage(messageOf(Size), Ring);
    for (const auto &Frame : Frames) {
      CHECK(Frame.size() <= MaxFrameBytes);
      CHECK(isFrame(Frame));
    }
    REQUIRE(addFrame(State, 9, Frames.front(), Ring));
    CHECK(addAll(State, 1, Frames) == messageOf(Size));
    CHECK(State.Messages.size() == 1);
    dropFrames(State, 9);
    CHECK(State.Bytes == 0);
  }
}

// Guards against memory that a process without a key makes the receiver keep.
TEST_CASE("nothing is kept of frames that no key has signed") {
  FrameAssembly State = assembly();
  auto Frames = splitMessage(messageOf(50'000), {{{"k1", "wrong"}}});
  const auto Unsigned = addFrame(State, 1, Frames[0], Ring);
  REQUIRE_FALSE(Unsigned);
  CHECK(Unsigned.error().Code == ErrorCode::Unauthenticated);
  const auto Alone = addFrame(State, 1, Frames[1], Ring);
  REQUIRE_FALSE(Alone);
  CHECK(Alone.error().Code == ErrorCode::InvalidMessage);
  Frames = splitMessage(messageOf(50'000), Ring);
  Frames[0][2] ^= 1; // the size of the message
  CHECK_FALSE(addFrame(State, 1, Frames[0], Ring));
  CHECK_FALSE(addFrame(State, 1, std::vector<std::uint8_t>{3}, Ring));
  CHECK(State.Messages.empty());
  CHECK(State.Bytes == 0);
}

TEST_CASE("frames beyond the limits are refused") {
  FrameAssembly State = assembly();
  CHECK_FALSE(
      addFrame(State, 1, splitMessage(messageOf(100'001), Ring)[0], Ring));
  const auto Frames = splitMessage(messageOf(90'000), Ring);
  CHECK(addFrame(State, 1, Frames[0], Ring));
  CHECK(addFrame(State, 2, Frames[0], Ring));
  CHECK_FALSE(addFrame(State, 3, Frames[0], Ring));
  // A message that begins anew replaces the one before.
  CHECK(addFrame(State, 1, Frames[0], Ring));
  CHECK(State.Bytes == 180'000);
  std::vector<std::uint8_t> Long(90'000, 4);
  CHECK_FALSE(addFrame(State, 1, Long, Ring));
  CHECK(State.Bytes == 90'000);
}
