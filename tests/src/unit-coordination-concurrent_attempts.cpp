#include "marigoldyard/coordination/concurrent_attempts.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{100s};

ConcurrentAttempts makeAttempts(std::uint32_t Count) {
  ConcurrentAttempts Attempts;
  for (std::uint32_t Number = 1; Number <= Count; ++Number)
    addAttempt(Attempts, Number);
  return Attempts;
}

} // namespace

TEST_CASE("events of a single attempt are forwarded from the first one on") {
  ConcurrentAttempts Attempts = makeAttempts(1);
  CHECK(useEvents(Attempts, 1, 1, Start) == EventUse::Forward);
  CHECK(useEvents(Attempts, 1, 2, Start) == EventUse::Forward);
}

TEST_CASE("a server that is asked for a silent one takes the stream over at "
          "its second read, and the silent one is superseded") {
  ConcurrentAttempts Attempts = makeAttempts(2);
  CHECK(useEvents(Attempts, 2, 1, Start) == EventUse::Hold);
  CHECK(isCandidate(Attempts, 1));
  CHECK(useEvents(Attempts, 2, 2, Start) == EventUse::Forward);
  CHECK_FALSE(isCandidate(Attempts, 1));
  CHECK(useEvents(Attempts, 1, 4, Start) == EventUse::Discard);
}

TEST_CASE("a silent server that goes on keeps its stream, and held events of "
          "the other one are discarded") {
  ConcurrentAttempts Attempts = makeAttempts(2);
  CHECK(useEvents(Attempts, 2, 1, Start) == EventUse::Hold);
  CHECK(useEvents(Attempts, 1, 4, Start) == EventUse::Forward);
  CHECK(useEvents(Attempts, 2, 2, Start) == EventUse::Discard);
  CHECK_FALSE(chooseAttempt(Attempts, 2));
}

TEST_CASE("an attempt that ends leaves the request to the other one") {
  ConcurrentAttempts Attempts = makeAttempts(2);
  CHECK_FALSE(mayAddAttempt(Attempts));
  removeAttempt(Attempts, 2);
  CHECK(mayAddAttempt(Attempts));
  CHECK(useEvents(Attempts, 1, 1, Start) == EventUse::Forward);
  removeAttempt(Attempts, 1);
  CHECK(useEvents(Attempts, 1, 2, Start) == EventUse::Discard);
}

TEST_CASE("only one of two complete answers is chosen") {
  ConcurrentAttempts Attempts = makeAttempts(2);
  CHECK(chooseAttempt(Attempts, 1));
  CHECK_FALSE(chooseAttempt(Attempts, 2));
}

TEST_CASE("a superseded attempt does not return when a new one begins") {
  ConcurrentAttempts Attempts = makeAttempts(2);
  CHECK(chooseAttempt(Attempts, 1));
  addAttempt(Attempts, 3);
  CHECK(useEvents(Attempts, 2, 5, Start) == EventUse::Discard);
  CHECK(useEvents(Attempts, 3, 1, Start) == EventUse::Hold);
  CHECK(useEvents(Attempts, 3, 2, Start) == EventUse::Forward);
  CHECK_FALSE(isCandidate(Attempts, 1));
}

// Guards against a pause in a stream whose server goes on, and against events
// of two servers in one stream, while it moves to another server.
TEST_CASE("a stream that moves is held until the other server has begun, and "
          "goes on there") {
  ConcurrentAttempts Attempts = makeAttempts(1);
  beginMove(Attempts, Start + 300ms);
  addAttempt(Attempts, 2);
  CHECK(useEvents(Attempts, 1, 9, Start) == EventUse::Hold);
  CHECK(useEvents(Attempts, 2, 1, Start + 200ms) == EventUse::Hold);
  CHECK(useEvents(Attempts, 1, 10, Start + 200ms) == EventUse::Hold);
  CHECK(useEvents(Attempts, 2, 2, Start + 299ms) == EventUse::Forward);
  CHECK(useEvents(Attempts, 1, 11, Start + 299ms) == EventUse::Discard);
}

TEST_CASE("a stream stays at its server when the other one has not begun in "
          "time, or ends") {
  ConcurrentAttempts Attempts = makeAttempts(1);
  beginMove(Attempts, Start + 300ms);
  addAttempt(Attempts, 2);
  CHECK(useEvents(Attempts, 2, 1, Start + 290ms) == EventUse::Hold);
  CHECK(useEvents(Attempts, 1, 9, Start + 300ms) == EventUse::Forward);
  CHECK(useEvents(Attempts, 2, 2, Start + 301ms) == EventUse::Discard);

  Attempts = makeAttempts(1);
  beginMove(Attempts, Start + 300ms);
  addAttempt(Attempts, 2);
  CHECK(useEvents(Attempts, 1, 9, Start) == EventUse::Hold);
  removeAttempt(Attempts, 2);
  CHECK(useEvents(Attempts, 1, 10, Start) == EventUse::Forward);
}

TEST_CASE("a stream whose server fails while it moves is left to the other "
          "one") {
  ConcurrentAttempts Attempts = makeAttempts(1);
  beginMove(Attempts, Start + 300ms);
  addAttempt(Attempts, 2);
  removeAttempt(Attempts, 1);
  CHECK(useEvents(Attempts, 2, 1, Start + 1s) == EventUse::Forward);
}

TEST_CASE("a silence after a move is no move") {
  ConcurrentAttempts Attempts = makeAttempts(1);
  beginMove(Attempts, Start);
  addAttempt(Attempts, 2);
  CHECK(chooseAttempt(Attempts, 1));
  addAttempt(Attempts, 3);
  CHECK(useEvents(Attempts, 1, 9, Start - 1s) == EventUse::Forward);
}
