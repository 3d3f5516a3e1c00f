#include "marigoldyard/coordination/scheduler.hpp"
#include "marigoldyard/coordination/weight_history.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;

namespace {

Product productOf(std::string Name, Digest Weights) {
  Product Result;
  Result.Name = std::move(Name);
  Result.Weights = std::move(Weights);
  return Result;
}

} // namespace

TEST_CASE("during a rollout the replaced digest still serves, so that capacity "
          "does not drop to the endpoints already swapped") {
  WeightHistory History;
  const Product Old = productOf("a", "1");
  const Product New = productOf("a", "2");
  updateWeights(History, std::vector{&Old});
  CHECK(usableWeights(History, Old) == std::vector<Digest>{"1"});
  updateWeights(History, std::vector{&New});
  updateWeights(History, std::vector{&New});
  CHECK(usableWeights(History, New) == std::vector<Digest>{"2", "1"});
}

TEST_CASE("products that are gone are forgotten, so that new names over the "
          "months do not use up the memory") {
  WeightHistory History;
  for (int I = 0; I < 1000; ++I) {
    const Product One = productOf("p" + std::to_string(I), "1");
    const Product Two = productOf("p" + std::to_string(I), "2");
    updateWeights(History, std::vector{&One});
    updateWeights(History, std::vector{&Two});
  }
  CHECK(History.Current.size() == 1);
  CHECK(History.Previous.size() == 1);
}

TEST_CASE("floors of several products are combined, lowered with the manifest "
          "and never above the whole capacity") {
  Product One = productOf("a", "1");
  Product Two = productOf("b", "1");
  One.Floors = {0.0, 0.2, 0.1};
  Two.Floors = {0.0, 0.1, 0.3};
  CHECK(combinedFloors(std::vector<const Product *>{&One, &Two}) ==
        std::array<double, RankCount>{0.0, 0.2, 0.3});
  CHECK(combinedFloors(std::vector<const Product *>{&Two})[1] == 0.1);
  One.Floors = {0.0, 1.0, 0.0};
  Two.Floors = {0.0, 0.0, 1.0};
  const auto Scaled = combinedFloors(std::vector<const Product *>{&One, &Two});
  CHECK(Scaled[1] == doctest::Approx(0.5));
  CHECK(Scaled[2] == doctest::Approx(0.5));
}
