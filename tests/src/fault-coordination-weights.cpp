#include "tests/src/fake_engine.hpp"
#include "tests/src/weight_faults.hpp"

#include <cmath>
#include <doctest/doctest.h>

using namespace marigoldyard;
using namespace marigoldyard::test;

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

enum class EngineFault {
  FailsLoad,
  LosesWeights,
  RunsSomethingElse,
  TakesOldOrder,
  IssuerPauses,
  ConnectionLost,
  WantedBack,
  Count,
};

/// Brings a swap from version one to version two into a phase.
void reach(LoadingFixture &Test, LoadPhase Phase) {
  Test.Engine.IgnoresFence = true;
  Test.want(1, VersionOne);
  Test.steps(5);
  Test.want(2, VersionTwo, Phase != LoadPhase::WaitingForChunks);
  Test.Input.HasTurnByWeights[VersionTwo.Weights] =
      Phase != LoadPhase::WaitingForTurn;
  if (Phase == LoadPhase::Draining)
    Test.Input.RunningRequests[VersionOne.Weights] = 1;
  Test.HoldsAnswers = Phase == LoadPhase::Ordered;
  Test.Engine.FailsLoad = Phase == LoadPhase::Failed;
  for (int Step = 0; Step < 20 && Test.State.Models[0].Phase != Phase; ++Step)
    Test.step();
}

void strike(LoadingFixture &Test, EngineFault Fault) {
  switch (Fault) {
  case EngineFault::FailsLoad:
    Test.Engine.FailsLoad = true;
    Test.steps(30);
    return;
  case EngineFault::LosesWeights:
    Test.Engine.Loaded.clear();
    return;
  case EngineFault::RunsSomethingElse:
    Test.Engine.Loaded = {{"model", "9", "digest-9"}};
    return;
  case EngineFault::TakesOldOrder:
    Test.Engine.carryOut(Test.Orders.front());
    return;
  case EngineFault::IssuerPauses:
    Test.Input.Now += std::chrono::minutes(5);
    planLoading(Test.State, Test.Input);
    return;
  case EngineFault::ConnectionLost:
    handleEngineLoss(Test.State, Test.Input.Now);
    return;
  case EngineFault::WantedBack:
    Test.want(3, VersionOne);
    Test.step();
    Test.want(4, VersionTwo);
    return;
  case EngineFault::Count:
    return;
  }
}

} // namespace

TEST_CASE("an endpoint reaches the wanted weights after every engine fault in "
          "every phase") {
  for (const LoadPhase Phase : AllLoadPhases)
    for (int Fault = 0; Fault < static_cast<int>(EngineFault::Count); ++Fault)
      for (const bool Twice : {false, true}) {
        CAPTURE(std::string(loadPhaseName(Phase)));
        CAPTURE(Fault);
        CAPTURE(Twice);
        LoadingFixture Test;
        reach(Test, Phase);
        REQUIRE(Test.State.Models[0].Phase == Phase);
        strike(Test, static_cast<EngineFault>(Fault));
        if (Twice) {
          Test.steps(3);
          strike(Test, static_cast<EngineFault>(Fault));
        }
        Test.HoldsAnswers = Test.Engine.FailsLoad = false;
        Test.Input.RunningRequests.clear();
        Test.want(5, VersionTwo);
        Test.steps(300);
        CHECK(Test.Engine.Loaded == std::vector<LoadedModel>{VersionTwo});
        CHECK(Test.State.AnnouncedWeights ==
              std::set<Digest>{VersionTwo.Weights});
      }
}

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
