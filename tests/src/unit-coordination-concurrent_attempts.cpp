#include "marigoldyard/coordination/concurrent_attempts.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;

namespace {

ConcurrentAttempts makeAttempts(std::uint32_t Count) {
  ConcurrentAttempts Attempts;
  for (std::uint32_t Number = 1; Number <= Count; ++Number)
    addAttempt(Attempts, Number);
  return Attempts;
}

} // namespace

TEST_CASE("events of a single attempt are forwarded from the first one on") {
  ConcurrentAttempts Attempts = makeAttempts(1);
  CHECK(useEvents(Attempts, 1, 1) == EventUse::Forward);
  CHECK(useEvents(Attempts, 1, 2) == EventUse::Forward);
}

TEST_CASE("a server that is asked for a silent one takes the stream over at "
          "its second read, and the silent one is superseded") {
  ConcurrentAttempts Attempts = makeAttempts(2);
  CHECK(useEvents(Attempts, 2, 1) == EventUse::Hold);
  CHECK(isCandidate(Attempts, 1));
  CHECK(useEvents(Attempts, 2, 2) == EventUse::Forward);
  CHECK_FALSE(isCandidate(Attempts, 1));
  CHECK(useEvents(Attempts, 1, 4) == EventUse::Discard);
}

TEST_CASE("a silent server that goes on keeps its stream, and held events of "
          "the other one are discarded") {
  ConcurrentAttempts Attempts = makeAttempts(2);
  CHECK(useEvents(Attempts, 2, 1) == EventUse::Hold);
  CHECK(useEvents(Attempts, 1, 4) == EventUse::Forward);
  CHECK(useEvents(Attempts, 2, 2) == EventUse::Discard);
  CHECK_FALSE(chooseAttempt(Attempts, 2));
}

TEST_CASE("an attempt that ends leaves the request to the other one") {
  ConcurrentAttempts Attempts = makeAttempts(2);
  CHECK_FALSE(mayAddAttempt(Attempts));
  removeAttempt(Attempts, 2);
  CHECK(mayAddAttempt(Attempts));
  CHECK(useEvents(Attempts, 1, 1) == EventUse::Forward);
  removeAttempt(Attempts, 1);
  CHECK(useEvents(Attempts, 1, 2) == EventUse::Discard);
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
  CHECK(useEvents(Attempts, 2, 5) == EventUse::Discard);
  CHECK(useEvents(Attempts, 3, 1) == EventUse::Hold);
  CHECK(useEvents(Attempts, 3, 2) == EventUse::Forward);
  CHECK_FALSE(isCandidate(Attempts, 1));
}
