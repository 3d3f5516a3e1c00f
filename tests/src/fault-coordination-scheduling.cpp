#include "bench/policy_run_common.hpp"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

using namespace marigoldyard;
using namespace marigoldyard::bench;
using namespace std::chrono_literals;

namespace {

constexpr TraceTimes ShortTimes = {10s, 50s, 50s};
constexpr std::uint64_t ShortSeeds = 3;
/// The waiting work of a rank at its floor builds up over more than a minute,
/// so small callers in an urgent flood are checked on the traces of
/// bench_policy.
constexpr TraceTimes FullTimes = {};
constexpr std::uint64_t FullSeeds = 5;

/// Bounds of the design page.
constexpr double MaxUrgentSlowdown = 1.25;
constexpr double FloorTolerance = 0.05;
constexpr double MinSmallInDeadline = 0.99;
constexpr double MinGoodput = 0.95;
/// "Back to normal" means the same limit as for urgent work.
constexpr double MaxRecoveredSlowdown = 1.25;

Measures measureSeeds(const Trace &Source, std::uint64_t Seeds) {
  std::vector<Measures> Runs;
  RunOptions Options;
  for (Options.Seed = 1; Options.Seed <= Seeds; ++Options.Seed)
    Runs.push_back(measure(Source, runTrace(Source, Options), Options.Floors));
  return mean(Runs);
}

const Measures &measured(const std::string &Name) {
  static std::map<std::string, Measures> Known;
  auto Found = Known.find(Name);
  if (Found == Known.end())
    Found = Known
                .emplace(Name,
                         measureSeeds(pageTrace(Name, ShortTimes), ShortSeeds))
                .first;
  return Found->second;
}

void checkSmallCallers(const Measures &Of) {
  for (double Share : Of.SmallInDeadline)
    CHECK(Share >= MinSmallInDeadline);
}

const std::vector<std::string> Floods = {"batch-flood-5x", "urgent-flood-5x",
                                         "one-caller-floods-urgent"};

} // namespace

TEST_CASE("urgent first token during a batch flood is near its unloaded time") {
  // Guards against urgent work that waits for slots held by batch streams.
  CHECK(
      measured("batch-flood-5x").FirstTokenP95[0] <=
      MaxUrgentSlowdown *
          measureSeeds(unloadedTrace(ShortTimes), ShortSeeds).FirstTokenP95[0]);
}

TEST_CASE("lower ranks keep their floors during an urgent flood") {
  // Guards against starvation of standard and batch work.
  const RunOptions Options;
  for (const std::string Name : {"urgent-flood-5x", "one-caller-floods-urgent"})
    for (Rank Priority : {Rank::Standard, Rank::Batch}) {
      CAPTURE(Name);
      const std::size_t Index = rankIndex(Priority);
      CHECK(measured(Name).TokenShare[Index] >=
            (1 - FloorTolerance) * Options.Floors[Index]);
    }
}

TEST_CASE("small callers are served in time during a batch flood") {
  // Guards against queues that a large caller fills.
  checkSmallCallers(measured("batch-flood-5x"));
}

TEST_CASE("small callers are served in time beside two large callers") {
  // Guards against shares by offered load.
  checkSmallCallers(measured("two-large-callers"));
}

TEST_CASE("small callers are served in time during an urgent flood") {
  // Guards against floors whose service goes to large callers.
  checkSmallCallers(
      measureSeeds(pageTrace("urgent-flood-5x", FullTimes), FullSeeds));
}

TEST_CASE("small callers are served in time while one caller floods urgent") {
  // Guards against a rank that one caller takes for itself.
  checkSmallCallers(measureSeeds(
      pageTrace("one-caller-floods-urgent", FullTimes), FullSeeds));
}

TEST_CASE("goodput during floods is near the capacity") {
  // Guards against engine time spent on work that ends too late.
  for (const std::string &Name : Floods) {
    CAPTURE(Name);
    CHECK(measured(Name).Goodput >= MinGoodput);
  }
}

TEST_CASE("service is back to normal ten seconds after a flood") {
  // Guards against queues and paused streams that outlast a flood.
  for (const std::string &Name : Floods)
    for (std::size_t I = 0; I < RankCount; ++I) {
      CAPTURE(Name);
      CAPTURE(I);
      CHECK(measured(Name).RecoveredP95[I] <=
            MaxRecoveredSlowdown * measured("steady-70").FirstTokenP95[I]);
      CHECK(measured(Name).RecoveredServed >= MinSmallInDeadline);
    }
}

TEST_CASE("late and missing reports do not harm service at steady load") {
  // Guards against many requests on the endpoint with the oldest report.
  for (const std::string Name : {"reports-lag-2s", "reports-lost-30"})
    checkSmallCallers(measured(Name));
}

TEST_CASE("urgent work is served in time after a loss at peak") {
  // Guards against work that keeps going to lost endpoints.
  for (const std::string Name : {"loss-1-of-15", "loss-failure-domain"}) {
    CAPTURE(Name);
    CHECK(measured(Name).SmallInDeadline[0] >= MinSmallInDeadline);
  }
}
