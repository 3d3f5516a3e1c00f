// What an entry sees of its endpoints when they die, when links are cut one way
// and after its own pause, in virtual time; and the cost of the decisions.

#include "marigoldyard/coordination/membership.hpp"
#include "marigoldyard/coordination/watch_plan.hpp"

#include <fmt/core.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace {

using namespace marigoldyard;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration Tick = milliseconds(10);
constexpr Duration FaultAt = seconds(10);
constexpr Duration RunTime = seconds(40);
constexpr int Runs = 50;

std::string agentName(int I) { return "agent-" + std::to_string(I); }

enum class Fault {
  SilentDeath,   ///< the VM is gone, connections stay open
  ClosedDeath,   ///< the process ends, connections close
  OneWayCut,     ///< reports arrive, work is not answered within 1 s
  ObserverPause, ///< the entry does not run for 20 s
  ObserverCut,   ///< the entry receives nothing for 5 s
};

struct Scenario {
  std::string_view Name;
  Fault Kind;
  int Agents;
  int Affected;
};

constexpr Scenario Scenarios[] = {
    {"1 of 15 VMs dies silently", Fault::SilentDeath, 15, 1},
    {"5 of 15 VMs die silently", Fault::SilentDeath, 15, 5},
    {"2 of 3 VMs die silently", Fault::SilentDeath, 3, 2},
    {"5 of 15 processes end", Fault::ClosedDeath, 15, 5},
    {"2 of 3 processes end", Fault::ClosedDeath, 3, 2},
    {"1 of 15 links cut one way", Fault::OneWayCut, 15, 1},
    {"entry pauses for 20 s", Fault::ObserverPause, 15, 0},
    {"entry receives nothing for 5 s", Fault::ObserverCut, 15, 0},
};

struct Way {
  std::string_view Name;
  double Floor;
  bool VoidAfterPause;
  Duration UnansweredHold;
};

constexpr Way Ways[] = {
    {"as chosen", 0.5, true, seconds(5)},
    {"no floor", 0.0, true, seconds(5)},
    {"views kept after a pause", 0.5, false, seconds(5)},
    {"a report ends every suspicion", 0.5, true, Duration(0)},
};

struct Result {
  Duration LastWork{};           ///< after the fault, to an affected endpoint
  std::size_t Misrouted = 0;     ///< choices of affected endpoints
  std::size_t Choices = 0;       ///< after the fault
  std::size_t FewestUsable = 99; ///< endpoints to choose from, after the fault
};

/// One fleet of agents that report every 450 ms with random phases, and an
/// entry that chooses one endpoint every 10 ms.
class Trial {
public:
  Trial(const Scenario &Examined, const Way &How, std::uint64_t Seed)
      : Case(Examined), Chosen(How), Randomness(Seed) {
    State.Settings.MinRoutableShare = How.Floor;
    State.Settings.UnansweredBackoff = How.UnansweredHold;
    std::vector<Member> List;
    for (int I = 0; I < Case.Agents; ++I) {
      Member Each;
      Each.Name = agentName(I);
      Each.Pool = "pool";
      List.push_back(Each);
      NextReport.push_back(
          TimePoint{} +
          Duration(Randomness() % State.Settings.ReportInterval.count()));
    }
    mergeMemberList(State, List, TimePoint{});
    for (int I = 0; I < Case.Agents; ++I)
      setReportsExpected(State, agentName(I), true, TimePoint{});
  }

  Result run() {
    const TimePoint Begin = TimePoint{} + FaultAt;
    for (TimePoint Now{}; Now < TimePoint{} + RunTime; Now += Tick) {
      const Duration Since = Now - Begin;
      if (Since == Duration(0) && Case.Kind == Fault::ClosedDeath)
        for (int I = 0; I < Case.Affected; ++I)
          recordConnectionLoss(State, agentName(I), 0, Now);
      if (Case.Kind == Fault::ObserverPause && Since >= Duration(0) &&
          Since < seconds(20))
        continue;
      if (Case.Kind == Fault::ObserverPause && Since == seconds(20) &&
          Chosen.VoidAfterPause)
        invalidateMemberStates(State, Now);
      // Work is chosen before the messages of this turn are read, as after a
      // pause.
      choose(Now, Since);
      deliver(Now, Since);
    }
    return Total;
  }

private:
  void deliver(TimePoint Now, Duration Since) {
    for (int I = 0; I < Case.Agents; ++I) {
      const bool Dead =
          I < Case.Affected && Since >= Duration(0) &&
          (Case.Kind == Fault::SilentDeath || Case.Kind == Fault::ClosedDeath);
      const bool Cut = Case.Kind == Fault::ObserverCut &&
                       Since >= Duration(0) && Since < seconds(5);
      if (NextReport[std::size_t(I)] > Now)
        continue;
      while (NextReport[std::size_t(I)] <= Now)
        NextReport[std::size_t(I)] += State.Settings.ReportInterval;
      if (!Dead && !Cut)
        recordMemberReport(State, agentName(I), 1, false, Now);
    }
  }

  void choose(TimePoint Now, Duration Since) {
    while (!Unanswered.empty() && Unanswered.front() <= Now) {
      recordUnansweredWork(State, agentName(0), Now);
      Unanswered.erase(Unanswered.begin());
    }
    if (Since < Duration(0))
      return;
    const auto Routable = routableMembers(State, "pool", Now);
    const auto Usable = std::size_t(std::count_if(
        Routable.begin(), Routable.end(),
        [&](const RoutableMember &Each) { return !isAffected(Each.Name); }));
    Total.FewestUsable = std::min(Total.FewestUsable, Usable);
    ++Total.Choices;
    if (Routable.empty())
      return;
    // Endpoints that only the floor keeps are chosen last.
    const auto Live = std::size_t(std::count_if(
        Routable.begin(), Routable.end(),
        [](const RoutableMember &Each) { return !Each.Suspected; }));
    const auto &Picked =
        Routable[Randomness() % (Live > 0 ? Live : Routable.size())];
    if (!isAffected(Picked.Name))
      return;
    ++Total.Misrouted;
    Total.LastWork = std::max(Total.LastWork, Since);
    if (Case.Kind == Fault::OneWayCut)
      Unanswered.push_back(Now + seconds(1));
  }

  bool isAffected(const std::string &Name) const {
    for (int I = 0; I < Case.Affected; ++I)
      if (agentName(I) == Name)
        return true;
    return false;
  }

  Scenario Case;
  Way Chosen;
  Random Randomness;
  MembershipState State;
  std::vector<TimePoint> NextReport;
  std::vector<TimePoint> Unanswered;
  Result Total;
};

void printScenarios() {
  fmt::print("| way | case | last work to an affected endpoint, s | share of "
             "choices | fewest usable endpoints |\n|---|---|---|---|---|\n");
  for (const Way &How : Ways)
    for (const Scenario &Each : Scenarios) {
      Result Sum;
      for (int Seed = 1; Seed <= Runs; ++Seed) {
        const Result One = Trial(Each, How, std::uint64_t(Seed)).run();
        Sum.LastWork = std::max(Sum.LastWork, One.LastWork);
        Sum.Misrouted += One.Misrouted;
        Sum.Choices += One.Choices;
        Sum.FewestUsable = std::min(Sum.FewestUsable, One.FewestUsable);
      }
      fmt::print("| {} | {} | {:.2f} | {:.2f} % | {} of {} |\n", How.Name,
                 Each.Name, std::chrono::duration<double>(Sum.LastWork).count(),
                 100.0 * double(Sum.Misrouted) / double(Sum.Choices),
                 Sum.FewestUsable, Each.Agents - Each.Affected);
    }
}

template <typename Work> double microseconds(int Repeats, Work &&Do) {
  const auto Begin = std::chrono::steady_clock::now();
  for (int I = 0; I < Repeats; ++I)
    Do(I);
  const std::chrono::duration<double, std::micro> Span =
      std::chrono::steady_clock::now() - Begin;
  return Span.count() / Repeats;
}

void printCosts() {
  constexpr int Members = 1490;
  constexpr int Links = 24;
  constexpr int Repeats = 2000;
  MembershipState State;
  std::vector<Member> List;
  for (int I = 0; I < Members; ++I) {
    Member Each;
    Each.Name = agentName(I);
    Each.Region = "region-" + std::to_string(I % 7);
    Each.Pool = "pool-" + std::to_string(I % 15);
    List.push_back(Each);
  }
  Random Randomness(1);
  WatchState Watch = makeWatch(agentName(0), "region-0", {}, Randomness);
  std::size_t Sum = 0;
  fmt::print("\n| decision, {} members | microseconds |\n|---|---|\n", Members);
  fmt::print("| updateList | {:.1f} |\n", microseconds(100, [&](int) {
               mergeMemberList(State, List, TimePoint{});
             }));
  for (int I = 0; I < Links; ++I)
    setReportsExpected(State, agentName(15 * I), true, TimePoint{});
  fmt::print("| reportReceived | {:.2f} |\n", microseconds(Repeats, [&](int I) {
               recordMemberReport(State, agentName(15 * (I % Links)), 1, false,
                                  TimePoint{});
             }));
  fmt::print("| routableMembers | {:.1f} |\n", microseconds(Repeats, [&](int) {
               Sum += routableMembers(State, "pool-0", TimePoint{}).size();
             }));
  fmt::print("| updateWatchMembers | {:.1f} |\n", microseconds(100, [&](int) {
               updateWatchMembers(Watch, List, TimePoint{});
             }));
  fmt::print("\n{} endpoints chosen in all\n", Sum);
}

} // namespace

int main() {
  printScenarios();
  printCosts();
}
