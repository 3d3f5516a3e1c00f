#include "marigoldyard/coordination/candidate_draw.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;

TEST_CASE("a single gateway compares all servers") {
  CHECK(drawProbability(14, 1) == 1);
  CHECK(drawProbability(0, 5) == 1);
  CHECK(otherRegionPenalty(1) == 0.25);
}

TEST_CASE("many gateways together compare every server about once") {
  CHECK(drawProbability(100, 20) * 100 == doctest::Approx(5));
  // Two are compared at least.
  CHECK(drawProbability(13, 11) * 13 == doctest::Approx(2));
  CHECK(drawProbability(2, 11) == 1);
  CHECK(drawProbability(1, 11) == 1);
  CHECK(otherRegionPenalty(390) < 0.5);
  CHECK(otherRegionPenalty(2) < otherRegionPenalty(3));
}
