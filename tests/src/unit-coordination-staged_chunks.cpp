#include "marigoldyard/coordination/staged_chunks.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Count = 3;
const TimePoint Start = TimePoint{} + 1h;

/// All chunks written at Start and read at the given time.
StagedChunks staged(TimePoint ReadAt = Start) {
  StagedChunks State = makeStagedChunks(Count);
  for (std::size_t I = 0; I < Count; ++I) {
    const auto Call = nextStagingCall(State, TimePoint::min(), Start);
    REQUIRE(Call);
    recordWrite(State, Call->Index, true, Start);
  }
  for (std::size_t I = 0; I < Count; ++I) {
    const auto Call = nextStagingCall(State, TimePoint::min(), ReadAt);
    REQUIRE(Call);
    REQUIRE(Call->Kind == StagingCallKind::Read);
    recordRead(State, Call->Index, ReadAt, ReadResult::Sound, ReadAt);
  }
  return State;
}

} // namespace

TEST_CASE("each chunk is written, then read back") {
  StagedChunks State = makeStagedChunks(Count);
  CHECK_FALSE(isStaged(State));
  CHECK(orderDeadline(State) == TimePoint::min());
  State = staged();
  CHECK(isStaged(State));
  CHECK(oldestRead(State) == Start);
  CHECK_FALSE(nextStagingCall(State, TimePoint::min(), Start + 1h));
}

// Guards against orders over chunks that became corrupt after their only read.
TEST_CASE("reads of staged chunks expire before a load order") {
  const StagedChunks State = staged();
  CHECK(orderDeadline(State) == Start + 2s);
}

TEST_CASE("the oldest read is repeated first, and only those that are old") {
  StagedChunks State = staged();
  recordRead(State, 1, Start + 1s, ReadResult::Sound, Start + 1s);
  const auto First = nextStagingCall(State, Start + 500ms, Start + 2s);
  REQUIRE(First);
  CHECK(First->Kind == StagingCallKind::Read);
  recordRead(State, First->Index, Start + 2s, ReadResult::Sound, Start + 2s);
  const auto Second = nextStagingCall(State, Start + 500ms, Start + 2s);
  REQUIRE(Second);
  CHECK(First->Index + Second->Index == 2); // chunks 0 and 2
  recordRead(State, Second->Index, Start + 2s, ReadResult::Sound, Start + 2s);
  CHECK_FALSE(nextStagingCall(State, Start + 500ms, Start + 2s));
  CHECK(orderDeadline(State) == Start + 3s);
}

TEST_CASE("a chunk that is corrupt on a later read is written and read again") {
  StagedChunks State = staged();
  const auto Read = nextStagingCall(State, Start + 1s, Start + 1s);
  REQUIRE(Read);
  CHECK(isStaged(State));
  recordRead(State, Read->Index, Start + 1s, ReadResult::Corrupt, Start + 1s);
  CHECK_FALSE(isStaged(State));
  CHECK(orderDeadline(State) == TimePoint::min());
  const auto Write = nextStagingCall(State, TimePoint::min(), Start + 1s);
  REQUIRE(Write);
  CHECK(Write->Kind == StagingCallKind::Write);
  CHECK(Write->Index == Read->Index);
  recordWrite(State, Write->Index, true, Start + 1s);
  CHECK_FALSE(isStaged(State));
  const auto Again = nextStagingCall(State, TimePoint::min(), Start + 1s);
  REQUIRE(Again);
  recordRead(State, Again->Index, Start + 1s, ReadResult::Sound, Start + 1s);
  CHECK(isStaged(State));
}

TEST_CASE("a read without a response keeps the one before") {
  StagedChunks State = staged();
  const auto Read = nextStagingCall(State, Start + 1s, Start + 1s);
  REQUIRE(Read);
  recordRead(State, Read->Index, Start + 1s, ReadResult::None, Start + 1s);
  CHECK(isStaged(State));
  CHECK(oldestRead(State) == Start);
}

TEST_CASE("a chunk without a result is not staged") {
  StagedChunks State = makeStagedChunks(1);
  recordWrite(State, nextStagingCall(State, TimePoint::min(), Start)->Index,
              false, Start);
  // A server that is down is not called without a pause.
  CHECK_FALSE(nextStagingCall(State, TimePoint::min(), Start + 49ms));
  CHECK(nextStagingCall(State, TimePoint::min(), Start + 50ms)->Kind ==
        StagingCallKind::Write);
  recordWrite(State, 0, true, Start + 50ms);
  CHECK(nextStagingCall(State, TimePoint::min(), Start + 50ms)->Kind ==
        StagingCallKind::Read);
  recordRead(State, 0, Start + 50ms, ReadResult::None, Start + 1s);
  CHECK_FALSE(isStaged(State));
  CHECK_FALSE(nextStagingCall(State, TimePoint::min(), Start + 1049ms));
  CHECK(nextStagingCall(State, TimePoint::min(), Start + 1050ms)->Kind ==
        StagingCallKind::Read);
}

// Guards against a pass over all chunks that takes longer than a read counts.
TEST_CASE("calls run side by side while they are slow, up to a limit") {
  StagedChunks State = makeStagedChunks(20);
  REQUIRE(nextStagingCall(State, TimePoint::min(), Start));
  CHECK_FALSE(nextStagingCall(State, TimePoint::min(), Start + 14ms));
  for (std::size_t I = 1; I < State.Settings.MaxCalls; ++I)
    CHECK(nextStagingCall(State, TimePoint::min(), Start + I * 15ms));
  CHECK_FALSE(nextStagingCall(State, TimePoint::min(), Start + 1h));
  CHECK(State.Pending.size() == State.Settings.MaxCalls);
}
