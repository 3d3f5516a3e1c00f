#include "marigoldyard/coordination/catch_up.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;
using namespace std::chrono_literals;

namespace {
const TimePoint Start = TimePoint{} + 1h;
} // namespace

TEST_CASE("a process is left behind when it lacks a revision for long") {
  CatchUp State;
  CHECK_FALSE(isLeftBehind(State, 4, 4, Start));
  CHECK_FALSE(isLeftBehind(State, 4, 6, Start));
  CHECK_FALSE(isLeftBehind(State, 4, 7, Start + 900ms));
  CHECK_FALSE(isLeftBehind(State, 4, 4, Start + 1s)); // knows no more itself
  CHECK(isLeftBehind(State, 4, 6, Start + 1s));
  CHECK_FALSE(isLeftBehind(State, 6, 6, Start + 1s));
}

// Guards against relays of everything at each change of the configuration.
TEST_CASE("a process that follows a series of changes is not left behind") {
  CatchUp State;
  Revision Own = 1;
  for (int Step = 0; Step < 100; ++Step) {
    CHECK_FALSE(isLeftBehind(State, Own, Own + 2, Start + Step * 400ms));
    Own += 2;
  }
}
