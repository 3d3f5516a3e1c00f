#include "marigoldyard/coordination/pause.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;
using std::chrono::milliseconds;

TEST_CASE("a gap longer than the lease is reported once, with its length") {
  const TimePoint Start{};
  PauseDetector Detector{milliseconds(500), {}};
  CHECK_FALSE(recordLoopIteration(Detector, Start));
  CHECK_FALSE(recordLoopIteration(Detector, Start + milliseconds(500)));
  CHECK(recordLoopIteration(Detector, Start + milliseconds(1001)) ==
        milliseconds(501));
  CHECK_FALSE(recordLoopIteration(Detector, Start + milliseconds(1002)));
}

TEST_CASE("no order is sent between a pause and the turn that notices it") {
  const TimePoint Start{};
  PauseDetector Detector{milliseconds(500), {}};
  CHECK_FALSE(isLeaseValid(Detector, Start));
  recordLoopIteration(Detector, Start);
  CHECK(isLeaseValid(Detector, Start + milliseconds(500)));
  CHECK_FALSE(isLeaseValid(Detector, Start + milliseconds(501)));
}
