#include "tests/src/weight_faults.hpp"

#include <cmath>
#include <doctest/doctest.h>

using namespace marigoldyard;
using namespace marigoldyard::testing;

namespace {

constexpr double MaxTimeRatio = 1.3;
constexpr double MaxOriginCopies = 1.2;
constexpr double MaxOriginCopiesWithFault = 4.0;
/// Shares of the run at which a fault strikes: descriptor, first chunks,
/// exchange, last chunks.
constexpr double FaultShares[] = {0.0005, 0.1, 0.5, 0.95};

NetworkOptions small(std::size_t Replicas, std::size_t Regions) {
  NetworkOptions Options;
  Options.Replicas = Replicas;
  Options.Regions = Regions;
  Options.Chunks = 400;
  return Options;
}

} // namespace

TEST_CASE("without faults the time and the origin stay within the bounds") {
  for (const std::size_t Regions : {1, 3, 7})
    for (const std::size_t Replicas : {3, 9, 15, 32}) {
      CAPTURE(Regions);
      CAPTURE(Replicas);
      WeightNetwork Net(small(Replicas, Regions));
      Net.publishMembers();
      Net.publish(Net.makeVersion("one", 0));
      const TimePoint Start = Net.Now;
      REQUIRE(Net.run(Start + std::chrono::hours(1)));
      const double Seconds =
          std::chrono::duration<double>(Net.Now - Start).count();
      CHECK(Seconds <= MaxTimeRatio * Net.physicalLimit());
      CHECK(Net.originCopies() <= MaxOriginCopies);
      // Hashing places each chunk on a path at random: four standard
      // deviations above the mean.
      const auto Chunks = static_cast<double>(Net.Options.Chunks);
      const double Part =
          1.0 / static_cast<double>(
                    std::max<std::size_t>(std::min(Regions, Replicas), 2) - 1);
      const double Most =
          Chunks * Part + 4 * std::sqrt(Chunks * Part * (1 - Part));
      for (const auto &Row : Net.LinkBytes)
        for (const std::uint64_t Bytes : Row)
          CHECK(static_cast<double>(Bytes) <=
                (Most + 1) * static_cast<double>(Net.Options.CopyBytes) /
                    Chunks);
    }
}

TEST_CASE("no fault keeps a live agent incomplete or floods the origin") {
  for (const std::size_t Regions : {1, 3})
    for (const NamedFault &Fault : AllWeightFaults)
      for (const double Share : FaultShares)
        for (const bool Twice : {false, true}) {
          CAPTURE(Regions);
          CAPTURE(std::string(Fault.Name));
          CAPTURE(Share);
          CAPTURE(Twice);
          const FaultResult Result =
              runWithFault(small(9, Regions), Fault.Fault, Share, Twice);
          CHECK(Result.Complete);
          CHECK(Result.OriginCopies <= MaxOriginCopiesWithFault);
        }
}
