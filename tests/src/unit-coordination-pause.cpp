#include "marigoldyard/coordination/pause.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;
using std::chrono::milliseconds;

TEST_CASE("a gap longer than the lease is reported once, with its length") {
  const TimePoint Start{};
  PauseDetector Detector{milliseconds(500), {}};
  CHECK_FALSE(recordTurn(Detector, Start));
  CHECK_FALSE(recordTurn(Detector, Start + milliseconds(500)));
  CHECK(recordTurn(Detector, Start + milliseconds(1001)) == milliseconds(501));
  CHECK_FALSE(recordTurn(Detector, Start + milliseconds(1002)));
}

TEST_CASE("no order is sent between a pause and the turn that notices it") {
  const TimePoint Start{};
  PauseDetector Detector{milliseconds(500), {}};
  CHECK_FALSE(leaseHolds(Detector, Start));
  recordTurn(Detector, Start);
  CHECK(leaseHolds(Detector, Start + milliseconds(500)));
  CHECK_FALSE(leaseHolds(Detector, Start + milliseconds(501)));
}
