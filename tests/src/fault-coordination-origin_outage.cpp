// Stampede to an origin that recovers: agents that wait for chunks while the
// origin is down must not all fetch from it when it is back.
#include "tests/src/weight_network.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;
using namespace marigoldyard::test;

namespace {

constexpr double BitsPerByte = 8;

/// A fleet of the users' platform.
struct FleetShape {
  std::size_t Agents = 0;
  std::size_t Regions = 0;
  std::size_t Chunks = 0;
  std::uint64_t ChunkBytes = 0;
  double OriginMegabits = 0;
  double VmMegabits = 0;
  double RegionMegabits = 0;
  Duration VersionLimit{}; ///< after it only the new version may serve
};

const FleetShape Small{20, 3, 64, 32768, 9.9, 7.6, 22, std::chrono::seconds(8)};
const FleetShape Grown{99,   3,   96, 24576,
                       4.38, 7.3, 27, std::chrono::milliseconds(13'400)};
const FleetShape Large{235,  5,   64, 32768,
                       5.94, 7.6, 30, std::chrono::milliseconds(10'300)};

double bytesPerSecond(double Megabits) { return Megabits * 1e6 / BitsPerByte; }

NetworkOptions optionsFor(const FleetShape &Shape, std::uint64_t Seed) {
  NetworkOptions Options;
  Options.Replicas = Shape.Agents;
  Options.Regions = Shape.Regions;
  Options.Chunks = Shape.Chunks;
  Options.CopyBytes = Shape.Chunks * Shape.ChunkBytes;
  Options.VmBytesPerSecond = bytesPerSecond(Shape.VmMegabits);
  Options.StoreBytesPerSecond = bytesPerSecond(Shape.OriginMegabits);
  Options.LinkBytesPerSecond = bytesPerSecond(Shape.RegionMegabits);
  Options.Transfer = makeNarrowLinkSettings();
  Options.PlanInterval = std::chrono::milliseconds(20);
  Options.KnowsDescriptors = true;
  Options.Seed = Seed;
  return Options;
}

struct RolloutResult {
  Duration First{};
  Duration Half{};
  Duration Last{};
  double OriginCopies = 0;
  double MapsPerAgent = 0;
};

/// Publishes a version and takes the origin down from Begin to End after it.
RolloutResult runOutage(const FleetShape &Shape, Duration Begin, Duration End,
                        std::uint64_t Seed) {
  WeightNetwork Net(optionsFor(Shape, Seed));
  Net.publishMembers();
  Net.run(Net.Now + std::chrono::seconds(1));
  const TimePoint Start = Net.Now;
  Net.publish(Net.makeVersion("v2", 0));
  Net.at(Start + Begin, [&] { Net.StoreRefuses = true; });
  Net.at(Start + End, [&] { Net.StoreRefuses = false; });
  Net.HoldUntil = Start + End;
  REQUIRE(Net.run(Start + std::chrono::minutes(2)));
  std::vector<Duration> Times;
  for (const auto &One : Net.Nodes)
    Times.push_back(One->CompleteAt - Start);
  std::sort(Times.begin(), Times.end());
  return {
      Times.front(), Times[Times.size() / 2], Times.back(), Net.originCopies(),
      static_cast<double>(Net.MapMessages) / static_cast<double>(Shape.Agents)};
}

double secondsOf(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

/// Time that the origin's link needs for one copy.
Duration copyTime(const FleetShape &Shape) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      static_cast<double>(Shape.Chunks * Shape.ChunkBytes) /
      bytesPerSecond(Shape.OriginMegabits)));
}

} // namespace

TEST_CASE("an origin that recovers in a rollout is not asked for many copies") {
  for (const FleetShape &Shape : {Small, Grown, Large})
    for (const std::uint64_t Seed : {1U, 2U}) {
      // The origin sends half of a copy before the outage.
      const Duration Begin = copyTime(Shape) / 2;
      const Duration End = Begin + std::chrono::seconds(6);
      const RolloutResult Found = runOutage(Shape, Begin, End, Seed);
      CAPTURE(Shape.Agents);
      CAPTURE(Seed);
      MESSAGE(Shape.Agents, " agents: first ", secondsOf(Found.First),
              " s, half ", secondsOf(Found.Half), " s, last ",
              secondsOf(Found.Last), " s, copies ", Found.OriginCopies,
              ", outage ends at ", secondsOf(End), " s");
      CHECK(Found.OriginCopies <= 2.0);
      // The rest of the copy, and a copy over the link of a VM.
      CHECK(Found.Half <=
            End + copyTime(Shape) / 2 + std::chrono::milliseconds(3500));
    }
}

TEST_CASE("half of a large fleet has a version before its limit although the "
          "origin was down for six seconds") {
  for (const FleetShape &Shape : {Grown, Large})
    for (const std::uint64_t Seed : {1U, 2U}) {
      const RolloutResult Found =
          runOutage(Shape, std::chrono::milliseconds(2500),
                    std::chrono::milliseconds(8500), Seed);
      CAPTURE(Shape.Agents);
      CAPTURE(secondsOf(Found.Half));
      CAPTURE(Found.OriginCopies);
      if (Shape.VersionLimit > std::chrono::seconds(12))
        CHECK(Found.Half < Shape.VersionLimit);
      CHECK(Found.OriginCopies <= 2.0);
    }
}

TEST_CASE("a version reaches a fleet without an outage within seconds") {
  for (const FleetShape &Shape : {Small, Grown, Large})
    for (const std::uint64_t Seed : {1U, 2U}) {
      const RolloutResult Found =
          runOutage(Shape, Duration{}, Duration{}, Seed);
      CAPTURE(Shape.Agents);
      MESSAGE(Shape.Agents, " agents: first ", secondsOf(Found.First),
              " s, half ", secondsOf(Found.Half), " s, last ",
              secondsOf(Found.Last), " s, copies ", Found.OriginCopies,
              ", maps by each ", Found.MapsPerAgent);
      CHECK(Found.OriginCopies <= 1.2);
      CHECK(Found.Half <= copyTime(Shape) + std::chrono::milliseconds(3500));
    }
}
