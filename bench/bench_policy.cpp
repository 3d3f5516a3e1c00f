// Compares scheduling policies on the traces of the design page in virtual
// time and prints a table of measures against bounds.

#include "bench/policy_run_common.hpp"

#include <fmt/format.h>

#include <string>
#include <vector>

using namespace marigoldyard;
using namespace marigoldyard::bench;

namespace {

constexpr std::uint64_t SeedCount = 5;

struct Variant {
  std::string Name;
  RunOptions Options;
};

std::vector<Variant> variants() {
  std::vector<Variant> Result;
  for (Binding Bind : {Binding::Push, Binding::Late}) {
    const std::string Suffix = Bind == Binding::Push ? "push" : "late";
    RunOptions Options;
    Options.Bind = Bind;
    Options.Order = Policy::Fifo;
    Result.push_back({"fifo/" + Suffix, Options});
    Options.Order = Policy::StrictPriority;
    Result.push_back({"strict/" + Suffix, Options});
    Options.Order = Policy::RankedFair;
    Result.push_back({"ranked/" + Suffix, Options});
    Options.CanPause = false;
    Result.push_back({"ranked-nopause/" + Suffix, Options});
    Options.UrgentReserve = 8;
    Result.push_back({"ranked-reserve/" + Suffix, Options});
  }
  return Result;
}

void printRow(const std::string &Name, const Trace &Source,
              const Measures &Of) {
  fmt::print(
      "{:<24} {:<20} {:6.3f} {:6.3f} {:6.3f} | {:6.3f} {:6.3f} {:6.3f} "
      "| {:5.3f} {:5.3f} {:5.3f} "
      "| {:5.3f} {:5.3f} {:5.3f} | {:6.4f} {:6.4f} {:6.4f} | {:5.3f} | {:6.3f} "
      "{:6.3f} {:6.3f} {:5.3f} | {:6}\n",
      Source.Name, Name, Of.FirstTokenP95[0], Of.FirstTokenP95[1],
      Of.FirstTokenP95[2], Of.StartP95[0], Of.StartP95[1], Of.StartP95[2],
      Of.InDeadline[0], Of.InDeadline[1], Of.InDeadline[2], Of.TokenShare[0],
      Of.TokenShare[1], Of.TokenShare[2], Of.SmallInDeadline[0],
      Of.SmallInDeadline[1], Of.SmallInDeadline[2], Of.Goodput,
      Of.RecoveredP95[0], Of.RecoveredP95[1], Of.RecoveredP95[2],
      Of.RecoveredServed, Of.Pauses);
}

Measures measureSeeds(const Trace &Source, RunOptions Options) {
  std::vector<Measures> Runs;
  for (Options.Seed = 1; Options.Seed <= SeedCount; ++Options.Seed)
    Runs.push_back(measure(Source, runTrace(Source, Options), Options.Floors));
  return mean(Runs);
}

double fairnessError(RunOptions Options, const TraceTimes &Times) {
  const Trace Source = spreadTrace(Times);
  double Sum = 0;
  for (Options.Seed = 1; Options.Seed <= SeedCount; ++Options.Seed) {
    const RunResult Result = runTrace(Source, Options);
    Sum += servedCost(Source, Result, 0) / servedCost(Source, Result, 1) - 1;
  }
  return Sum / SeedCount;
}

} // namespace

int main(int Argc, char **Argv) {
  const std::string Only = Argc > 1 ? Argv[1] : "";
  const TraceTimes Times;
  std::vector<Trace> Traces = pageTraces(Times);
  Traces.insert(Traces.begin(), unloadedTrace(Times));
  fmt::print(
      "{:<24} {:<20} {:^20} | {:^20} | {:^17} | {:^17} | {:^20} | {:^5} | "
      "{:^26} | pauses\n",
      "trace", "policy", "first token p95 s", "start p95 s", "in deadline",
      "share of tokens", "small in time", "good", "10 s after: p95 s, served");
  for (const Variant &Each : variants()) {
    if (Each.Name.find(Only) == std::string::npos)
      continue;
    for (const Trace &Source : Traces)
      printRow(Each.Name, Source, measureSeeds(Source, Each.Options));
    fmt::print("fairness error of a caller on four entries against one on one "
               "entry, {}: {:+.3f}\n",
               Each.Name, fairnessError(Each.Options, Times));
  }
  return 0;
}
