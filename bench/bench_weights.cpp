#include "tests/src/weight_faults.hpp"

#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <fmt/core.h>

using namespace marigoldyard;
using namespace marigoldyard::test;

namespace {

struct RunResult {
  double Seconds = 0;
  double Origin = 0;
  double LargestLink = 0; ///< copies over the most used link between regions
  double SmallestLink = 0;
  double MapBytesPerSecond = 0; ///< by VM
  double PlanMicroseconds = 0;  ///< computing time of one event with its plan
};

RunResult runPlain(const NetworkOptions &Options) {
  WeightNetwork Net(Options);
  Net.publishMembers();
  Net.publish(Net.makeVersion("one", 0));
  const TimePoint Start = Net.Now;
  const auto Wall = std::chrono::steady_clock::now();
  Net.run(Start + std::chrono::hours(1));
  const double Computed = std::chrono::duration<double, std::micro>(
                              std::chrono::steady_clock::now() - Wall)
                              .count();
  RunResult Result;
  Result.Seconds = Net.allComplete()
                       ? std::chrono::duration<double>(Net.Now - Start).count()
                       : -1;
  Result.Origin = Net.originCopies();
  std::uint64_t Largest = 0;
  std::uint64_t Smallest = 0;
  for (const auto &Row : Net.LinkBytes)
    for (const std::uint64_t Bytes : Row)
      if (Bytes > 0) {
        Largest = std::max(Largest, Bytes);
        Smallest = Smallest == 0 ? Bytes : std::min(Smallest, Bytes);
      }
  const auto Copy = static_cast<double>(Options.CopyBytes);
  Result.LargestLink = static_cast<double>(Largest) / Copy;
  Result.SmallestLink = static_cast<double>(Smallest) / Copy;
  Result.MapBytesPerSecond = static_cast<double>(Net.MapBytes) /
                             Result.Seconds /
                             static_cast<double>(Options.Replicas);
  Result.PlanMicroseconds = Computed / static_cast<double>(Net.Plans);
  return Result;
}

/// Every replica draws from the store; computed from the rates.
double storeSeconds(const WeightNetwork &Net) {
  const auto Copy = static_cast<double>(Net.Options.CopyBytes);
  const std::size_t Replicas = Net.Options.Replicas;
  const std::size_t Regions = Net.Options.Regions;
  double Seconds = std::max(
      Copy * static_cast<double>(Replicas) / Net.StoreRate, Copy / Net.VmRate);
  for (std::size_t Region = 1; Region < Regions; ++Region) {
    const std::size_t Members = (Replicas + Regions - 1 - Region) / Regions;
    Seconds =
        std::max(Seconds, Copy * static_cast<double>(Members) / Net.linkRate());
  }
  return Seconds;
}

/// Each replica passes chunks to the next one, region after region; computed.
double chainSeconds(const WeightNetwork &Net) {
  const auto Copy = static_cast<double>(Net.Options.CopyBytes);
  const double Slowest = std::min(Net.Options.Regions, Net.Options.Replicas) > 1
                             ? std::min(Net.VmRate, Net.linkRate())
                             : Net.VmRate;
  const double Hop = Copy / static_cast<double>(Net.Options.Chunks) / Slowest;
  return Copy / Slowest + Hop * static_cast<double>(Net.Options.Replicas - 1);
}

void printPlain(const NetworkOptions &Options) {
  const WeightNetwork Empty(Options);
  const double Limit = Empty.physicalLimit();
  const RunResult Result = runPlain(Options);
  NetworkOptions Direct = Options;
  Direct.DirectImport = true;
  const double DirectSeconds =
      Options.Regions > 1 ? runPlain(Direct).Seconds : Result.Seconds;
  fmt::print("{:8} {:7} {:7.1f} {:7.1f} {:6.2f} {:7.2f} {:6.2f} {:6.2f} {:9.1f}"
             " {:9.1f} {:9.1f} {:8.0f} {:7.1f}\n",
             Options.Replicas, Options.Regions, Limit, Result.Seconds,
             Result.Seconds / Limit, Result.Origin, Result.SmallestLink,
             Result.LargestLink, DirectSeconds, storeSeconds(Empty),
             chainSeconds(Empty), Result.MapBytesPerSecond,
             Result.PlanMicroseconds);
  std::fflush(stdout);
}

void printFaults(const NetworkOptions &Options) {
  const double Limit = WeightNetwork(Options).physicalLimit();
  fmt::print("\nfaults at half of the limit, {} replicas in {} regions\n"
             "{:18} {:>9} {:>6} {:>7}\n",
             Options.Replicas, Options.Regions, "fault", "time s", "ratio",
             "origin");
  constexpr double Half = 0.5;
  for (const NamedFault &Fault : AllWeightFaults) {
    const FaultResult Result = runWithFault(Options, Fault.Fault, Half, false);
    fmt::print("{:18} {:9.1f} {:6.2f} {:7.2f}{}\n", Fault.Name, Result.Seconds,
               Result.Seconds / Limit, Result.OriginCopies,
               Result.Complete ? "" : "  incomplete");
  }
}

} // namespace

int main(int Argc, char **Argv) {
  CLI::App App{"Weight transfer in virtual time against its physical limit"};
  NetworkOptions Options;
  std::size_t Largest = 290;
  App.add_option("--chunks", Options.Chunks, "chunks of the version");
  App.add_option("--seed", Options.Seed, "seed");
  App.add_option("--largest", Largest, "largest number of replicas");
  CLI11_PARSE(App, Argc, Argv);
  fmt::print(
      "copy {} MB in {} chunks, {:.0f} s allowed; links: store {:.2f}, "
      "VM {:.2f}, regions {:.2f} MB/s of which 70 % for chunks; seed "
      "{}\nlinks in copies; store and chain are computed\n\n"
      "replicas regions limit s  time s  ratio  origin link min    max "
      "direct s   store s   chain s map B/s us/plan\n",
      Options.CopyBytes / 1'000'000, Options.Chunks, Options.AllowedSeconds,
      4e-6 * static_cast<double>(Options.CopyBytes) / Options.AllowedSeconds,
      2e-6 * static_cast<double>(Options.CopyBytes) / Options.AllowedSeconds,
      Options.LinkBytesPerSecond * 1e-6, Options.Seed);
  for (const std::size_t Replicas : {3, 9, 15, 64, 290})
    for (const std::size_t Regions : {1, 3, 7}) {
      Options.Replicas = Replicas;
      Options.Regions = Regions;
      if (Replicas <= Largest)
        printPlain(Options);
    }
  Options.Replicas = 15;
  Options.Regions = 3;
  printFaults(Options);
  return 0;
}
