// Callers that return before anything has changed: each of them returns once,
// and is refused for good if the weights are still being loaded then.
#include "marigoldyard/coordination/return_delay.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;
using namespace std::chrono_literals;

TEST_CASE("callers refused while nothing serves return when the weights are "
          "there") {
  // Callers with six seconds arrive over a gap of two seconds in which no
  // server has the required weights.
  constexpr Duration Gap = 2s;
  constexpr Duration TimeLeft = 6s;
  int Served = 0;
  int Callers = 0;
  for (Duration Arrival{}; Arrival < Gap; Arrival += 20ms) {
    ++Callers;
    Served += Arrival + returnDelay(RefusalCause::NotReady, TimeLeft) >= Gap;
  }
  CHECK(Served * 10 >= Callers * 9);
}

TEST_CASE("callers refused in an overload return sooner, and none is told to "
          "wait longer than it would") {
  for (const Duration Left : {Duration(-1s), Duration{}, Duration(300ms),
                              Duration(1500ms), Duration(6s)})
    for (const RefusalCause Cause :
         {RefusalCause::Overload, RefusalCause::NotReady,
          RefusalCause::Other}) {
      CHECK(returnDelay(Cause, Left) >= Duration::zero());
      CHECK(returnDelay(Cause, Left) <= std::max(Duration{}, Left) / 3);
    }
  CHECK(returnDelay(RefusalCause::Overload, 6s) <
        returnDelay(RefusalCause::NotReady, 6s) / 2);
}
