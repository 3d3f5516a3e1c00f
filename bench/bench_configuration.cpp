// Calls on the configuration service and time until a change is in force, in
// virtual time. Reports of agents, which also carry revisions, are left out, so
// the figures are upper bounds.

#include "bench/configuration_fleet.hpp"

#include <fmt/core.h>

#include <string>
#include <string_view>
#include <vector>

namespace {

using namespace marigoldyard;
using namespace marigoldyard::fleet;

constexpr Duration WarmUp = seconds(40);
constexpr Duration ChangeInterval = milliseconds(16'300); // 5,300 a day
constexpr int Changes = 8;
constexpr Revision FirstRevision = 100;

struct Fault {
  std::string_view Name;
  double Loss = 0;
  void (*Apply)(Fleet &, TimePoint Change) = nullptr;
  /// Time from the change after which the fault is over.
  Duration End{};
};

bool inSecondHalf(std::size_t I) { return I % 4 >= 2; }

/// Half of the processes reach neither the service nor the other half.
void partition(Fleet &Run, TimePoint Change) {
  Run.at(Change - seconds(5), [&Run] {
    Run.ReachesService = [](std::size_t I) { return !inSecondHalf(I); };
    Run.Reach = [](std::size_t A, std::size_t B) {
      return inSecondHalf(A) == inSecondHalf(B);
    };
  });
  Run.at(Change + seconds(60), [&Run] {
    Run.ReachesService = [](std::size_t) { return true; };
    Run.Reach = [](std::size_t, std::size_t) { return true; };
  });
}

/// Half of the processes reach the other half but not the service.
void cutFromService(Fleet &Run, TimePoint Change) {
  Run.at(Change - seconds(5), [&Run] {
    Run.ReachesService = [](std::size_t I) { return !inSecondHalf(I); };
  });
}

void serviceDown(Fleet &Run, TimePoint Change) {
  Run.at(Change - seconds(30), [&Run] { Run.setServiceUp(false); });
  Run.at(Change + seconds(60), [&Run] { Run.setServiceUp(true); });
}

void serviceFlapping(Fleet &Run, TimePoint Change) {
  for (int I = 0; I < 20; ++I) {
    Run.at(Change + seconds(3 * I) - seconds(30),
           [&Run, I] { Run.setServiceUp(I % 2 == 1); });
  }
}

/// Both watchers of every region die; the VM list still names them.
void watchersDead(Fleet &Run, TimePoint Change) {
  Run.at(Change - seconds(1), [&Run] {
    for (Process &Each : Run.Processes)
      Each.Dead = Each.Watch.Watching;
  });
}

const Fault Faults[] = {
    {"none", 0, nullptr, {}},
    {"5 % of messages lost", 0.05, nullptr, {}},
    {"20 % of messages lost", 0.2, nullptr, {}},
    {"half partitioned for 65 s", 0, partition, seconds(60)},
    {"half cut from service", 0, cutFromService, {}},
    {"service down for 90 s", 0, serviceDown, seconds(60)},
    {"service flapping, 3 s", 0, serviceFlapping, {}},
    {"all watchers dead", 0, watchersDead, {}},
};

struct Plan {
  std::string_view Name;
  void (*Change)(Options &);
};

const Plan Plans[] = {
    {"two per region", [](Options &) {}},
    {"everyone watches",
     [](Options &O) {
       O.Watch.WatchersPerRegion = O.Processes;
       O.Watch.FanOut = 0;
     }},
    {"single watcher",
     [](Options &O) {
       O.Watch.WatchersPerRegion = 1;
       O.OneRegionPlan = true;
     }},
};

std::string secondsText(std::optional<Duration> Span) {
  return Span ? fmt::format("{:.3f}",
                            std::chrono::duration<double>(*Span).count())
              : std::string("never");
}

struct Load {
  std::int64_t Idle = 0;
  std::int64_t Peak = 0;
  double MeanBytes = 0;
  double LargestBytes = 0;
  std::optional<Duration> Longest = Duration(0);
};

/// Start, idle span and regular changes without faults.
Load measureLoad(const Options &Chosen) {
  Fleet Run(Chosen);
  Run.publish(FirstRevision);
  const TimePoint Start{};
  Run.runUntil(Start + WarmUp);
  Load Result;
  Result.Idle = Run.peakCalls(Start + WarmUp / 2, Start + WarmUp);
  for (Process &Each : Run.Processes)
    Each.BytesSent = Each.BytesReceived = 0;
  for (int I = 1; I <= Changes; ++I) {
    const TimePoint At = Run.Now;
    const Revision Number = FirstRevision + Revision(I);
    Run.publish(Number);
    Run.runUntil(At + ChangeInterval);
    const auto Took = Run.timeToAll(Number, At);
    Result.Longest =
        Took && Result.Longest ? std::max(*Result.Longest, *Took) : Took;
  }
  Result.Peak = Run.peakCalls(Start + WarmUp, Run.Now);
  const double Span =
      std::chrono::duration<double>(ChangeInterval * Changes).count();
  for (const Process &Each : Run.Processes) {
    const double Bytes =
        double(std::max(Each.BytesSent, Each.BytesReceived)) / Span;
    Result.MeanBytes += Bytes / double(Run.Processes.size());
    Result.LargestBytes = std::max(Result.LargestBytes, Bytes);
  }
  return Result;
}

void printLoads() {
  fmt::print("| plan | processes | regions | calls/s at start | idle calls/s | "
             "calls/s after a change | longest time to all, s | control B/s, "
             "mean | control B/s, largest |\n|---|---|---|---|---|---|---|---|"
             "---|\n");
  for (const Plan &Each : Plans) {
    for (const std::size_t Regions : {3U, 7U}) {
      for (const std::size_t Processes : {4U, 19U, 390U, 1490U}) {
        Options Chosen;
        Chosen.Processes = Processes;
        Chosen.Regions = Regions;
        Each.Change(Chosen);
        Fleet Start(Chosen);
        Start.publish(FirstRevision);
        Start.runUntil(TimePoint{} + seconds(20));
        const Load Result = measureLoad(Chosen);
        fmt::print("| {} | {} | {} | {} | {} | {} | {} | {:.0f} | {:.0f} |\n",
                   Each.Name, Processes, Regions,
                   Start.peakCalls(TimePoint{}, Start.Now), Result.Idle,
                   Result.Peak, secondsText(Result.Longest), Result.MeanBytes,
                   Result.LargestBytes);
      }
    }
  }
}

void printFault(const Plan &Chosen, const Fault &Each, std::size_t Processes,
                std::size_t Regions) {
  Options Settings;
  Settings.Processes = Processes;
  Settings.Regions = Regions;
  Settings.Loss = Each.Loss;
  Chosen.Change(Settings);
  Fleet Run(Settings);
  Run.publish(FirstRevision);
  const TimePoint Change = TimePoint{} + WarmUp;
  if (Each.Apply)
    Each.Apply(Run, Change);
  Run.runUntil(Change);
  Run.publish(FirstRevision + 1);
  Run.runUntil(Change + seconds(150));
  const auto Reached =
      Each.Apply == partition
          ? Run.timeToAll(FirstRevision + 1, Change,
                          [](std::size_t I) { return !inSecondHalf(I); })
          : std::optional<Duration>();
  fmt::print("| {} | {} | {} | {} | {} | {} | {} |\n", Chosen.Name, Each.Name,
             Processes, Regions, Run.peakCalls(Change - seconds(30), Run.Now),
             secondsText(Run.timeToAll(FirstRevision + 1, Change + Each.End)),
             Reached ? secondsText(Reached) : "");
}

} // namespace

int main() {
  printLoads();
  fmt::print("\n| plan | fault | processes | regions | peak calls/s | time to "
             "all after the fault, s | time to the reachable half, s |\n"
             "|---|---|---|---|---|---|---|\n");
  for (const Fault &Each : Faults)
    for (const std::size_t Processes : {4U, 19U, 390U, 1490U})
      for (const std::size_t Regions : {3U, 7U})
        printFault(Plans[0], Each, Processes, Regions);
  for (const Plan &Chosen : {Plans[1], Plans[2]})
    for (const Fault &Each : Faults)
      if (Each.Apply != watchersDead || Chosen.Change != Plans[1].Change)
        printFault(Chosen, Each, 390, 7);
}
