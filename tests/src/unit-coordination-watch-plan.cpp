#include "configuration_support.hpp"
#include "marigoldyard/coordination/watch_plan.hpp"

#include <doctest/doctest.h>
#include <set>

using namespace marigoldyard;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint StartCommand{};

std::vector<Member> region(int Count) {
  std::vector<Member> Members;
  Members.reserve(std::size_t(Count) + 1);
  for (int I = 0; I < Count; ++I)
    Members.push_back({"vm-" + std::to_string(I), "", MemberKind::Endpoint, "r",
                       "", "pool", false});
  Members.push_back({"far", "", MemberKind::Endpoint, "s", "", "pool", false});
  return Members;
}

std::map<std::string, WatchState> plans(int Count) {
  Random Randomness(1);
  std::map<std::string, WatchState> Result;
  for (const Member &Each : region(Count)) {
    if (Each.Region != "r")
      continue;
    WatchState State = makeWatch(Each.Name, "r", StartCommand, Randomness);
    updateWatchMembers(State, region(Count), StartCommand);
    Result.emplace(Each.Name, State);
  }
  return Result;
}

/// Processes that news from the watchers reaches when one process is lost.
std::set<std::string> reached(const std::map<std::string, WatchState> &Plans,
                              const std::string &Lost) {
  std::set<std::string> Result;
  std::vector<std::string> Open;
  for (const auto &[Name, State] : Plans)
    if (State.Watching)
      Open.push_back(Name);
  while (!Open.empty()) {
    const std::string Name = Open.back();
    Open.pop_back();
    if (Name == Lost || !Result.insert(Name).second)
      continue;
    for (const RelayPosition &Tree : Plans.at(Name).Trees)
      Open.insert(Open.end(), Tree.Children.begin(), Tree.Children.end());
  }
  return Result;
}

/// A process that is no watcher.
WatchState listener() {
  for (auto &[Name, State] : plans(20))
    if (!State.Watching)
      return State;
  return {};
}

bool hasAction(const WatchStep &Step, WatchActionKind Kind) {
  return std::any_of(Step.Actions.begin(), Step.Actions.end(),
                     [&](const WatchAction &A) { return A.Kind == Kind; });
}

} // namespace

TEST_CASE("two processes of a region watch, whatever its size") {
  for (const int Count : {1, 2, 3, 10, 200}) {
    int Watching = 0;
    for (const auto &[Name, State] : plans(Count))
      Watching += State.Watching ? 1 : 0;
    CHECK(Watching == std::min(Count, 2));
  }
}

TEST_CASE("the loss of any one process cuts no other from the relay trees") {
  for (const int Count : {1, 2, 3, 9, 10, 18, 19, 73, 100}) {
    const auto Plans = plans(Count);
    CHECK(reached(Plans, "").size() == Plans.size());
    for (const auto &[Lost, Ignored] : Plans)
      CHECK(reached(Plans, Lost).size() == Plans.size() - 1);
  }
}

TEST_CASE("no process relays to more than FanOut others in a larger region") {
  for (const int Count : {19, 73, 100, 300})
    for (const auto &[Name, State] : plans(Count)) {
      std::set<std::string> Children;
      for (const RelayPosition &Tree : State.Trees)
        Children.insert(Tree.Children.begin(), Tree.Children.end());
      CHECK(Children.size() <= State.Settings.FanOut);
    }
}

TEST_CASE("news that circulates never looks fresher than its first reading") {
  WatchState State = listener();
  Random Randomness(2);
  recordOffer(State, milliseconds(100), StartCommand + seconds(1));
  const TimePoint Heard = *State.ConfirmedAt;
  recordOffer(State, seconds(3), StartCommand + seconds(3));
  CHECK(*State.ConfirmedAt == Heard);
  const WatchStep Step =
      nextWatchStep(State, StartCommand + milliseconds(2900), Randomness);
  for (const WatchAction &Each : Step.Actions)
    if (Each.Kind == WatchActionKind::Confirm)
      CHECK(Each.Age == seconds(2));
  // A sender from before the field sends a negative age at worst as fresh.
  recordOffer(State, -seconds(9), StartCommand + seconds(4));
  CHECK(*State.ConfirmedAt == StartCommand + seconds(4));
}

TEST_CASE("confirmed processes do not read the service") {
  WatchState State = listener();
  Random Randomness(3);
  for (int Second = 0; Second < 100; ++Second) {
    if (Second % 4 == 0)
      recordOffer(State, milliseconds(5), StartCommand + seconds(Second));
    const WatchStep Step =
        nextWatchStep(State, StartCommand + seconds(Second), Randomness);
    CHECK_FALSE(hasAction(Step, WatchActionKind::ReadIndex));
    const bool Starting = seconds(Second) < State.Settings.StartupQueryPeriod;
    CHECK(hasAction(Step, WatchActionKind::QueryNewer) == Starting);
  }
}

TEST_CASE("a process without confirmations reads within the 17 s bound") {
  WatchState State = listener();
  Random Randomness(4);
  recordOffer(State, Duration(0), StartCommand);
  TimePoint Now = StartCommand;
  bool Asked = false;
  for (int I = 0; I < 1000; ++I) {
    const WatchStep Step = nextWatchStep(State, Now, Randomness);
    Asked = Asked || hasAction(Step, WatchActionKind::QueryNewer);
    if (hasAction(Step, WatchActionKind::ReadIndex))
      break;
    REQUIRE(Step.NextCall > Now);
    Now = Step.NextCall;
  }
  CHECK(Asked);
  CHECK(Now - StartCommand >= State.Settings.ConfirmationTimeout);
  CHECK(Now - StartCommand < seconds(16));
}

TEST_CASE("values come from the announcing peer first, then the service") {
  WatchState State = listener();
  Random Randomness(5);
  recordOffer(State, Duration(0), StartCommand);
  updateMissingValues(State, "vm-9", {"products/a"}, StartCommand);
  CHECK(hasAction(nextWatchStep(State, StartCommand, Randomness),
                  WatchActionKind::RequestValues));
  // Another announcement is no reason for another question or read.
  updateMissingValues(State, "vm-8", {"products/a"},
                      StartCommand + milliseconds(1));
  const WatchStep Again =
      nextWatchStep(State, StartCommand + milliseconds(1), Randomness);
  CHECK_FALSE(hasAction(Again, WatchActionKind::RequestValues));
  CHECK_FALSE(hasAction(Again, WatchActionKind::ReadValues));
  CHECK(hasAction(nextWatchStep(State,
                                StartCommand + State.Settings.PeerValueTimeout,
                                Randomness),
                  WatchActionKind::ReadValues));
}

TEST_CASE("a refused offer does not end the search for a pending revision") {
  WatchState State = listener();
  updateMissingValues(State, "vm-9", {"products/a"}, StartCommand);
  recordRefusedConfiguration(State, 8, true);
  CHECK(State.MissingValues);
  recordRefusedConfiguration(State, 9, false);
  CHECK_FALSE(State.MissingValues);
}

TEST_CASE("reads of one process stay within its token bucket") {
  WatchState State = listener();
  Random Randomness(6);
  std::vector<std::string> Keys;
  Keys.reserve(100);
  for (int I = 0; I < 100; ++I)
    Keys.push_back("products/" + std::to_string(I));
  updateMissingValues(State, ServiceSource, Keys, StartCommand);
  std::size_t Reads = 0;
  for (int Ms = 0; Ms <= 10'000; Ms += 10) {
    const TimePoint Now = StartCommand + milliseconds(Ms);
    for (const WatchAction &Each :
         nextWatchStep(State, Now, Randomness).Actions) {
      Reads += Each.Kind == WatchActionKind::ReadIndex ? 1 : 0;
      Reads += Each.Kind == WatchActionKind::ReadValues ? Each.Keys.size() : 0;
    }
  }
  CHECK(double(Reads) <=
        State.Settings.ReadBurst + 10 * State.Settings.ReadTokensPerSecond + 1);
}

TEST_CASE("a process that caught up with a peer does not read the service") {
  WatchState State = listener();
  Random Randomness(8);
  recordOffer(State, Duration(0), StartCommand);
  comparePeerRevision(State, "vm-1", 9, 8, StartCommand);
  CHECK(State.NextRead < StartCommand + State.Settings.ConfirmationTimeout);
  recordAcceptedConfiguration(State, 9);
  CHECK(State.NextRead >= StartCommand + State.Settings.ConfirmationTimeout);
}

TEST_CASE("a refused revision is not sought again") {
  WatchState State = listener();
  Random Randomness(7);
  recordOffer(State, Duration(0), StartCommand);
  CHECK(comparePeerRevision(State, "vm-1", 9, 8, StartCommand)->Kind ==
        WatchActionKind::QueryNewer);
  CHECK(hasAction(nextWatchStep(State, StartCommand, Randomness),
                  WatchActionKind::QueryNewer));
  recordRefusedConfiguration(State, 9, false);
  CHECK_FALSE(comparePeerRevision(State, "vm-2", 9, 8, StartCommand));
  CHECK_FALSE(
      hasAction(nextWatchStep(State, StartCommand + seconds(4), Randomness),
                WatchActionKind::QueryNewer));
}

TEST_CASE("contacts of peers are limited in rate and in memory") {
  WatchState State = listener();
  State.Settings.MaxPeers = 10;
  CHECK(comparePeerRevision(State, "vm-1", 7, 8, StartCommand)->Kind ==
        WatchActionKind::Offer);
  CHECK_FALSE(
      comparePeerRevision(State, "vm-1", 7, 8, StartCommand + milliseconds(9)));
  for (int I = 0; I < 100; ++I)
    comparePeerRevision(State, "peer-" + std::to_string(I), 7, 8, StartCommand);
  CHECK(State.LastContact.size() == 10);
  CHECK(comparePeerRevision(State, "late", 7, 8, StartCommand + seconds(1)));
}

TEST_CASE("a fleet that starts at once stays within the service's limit") {
  constexpr std::int64_t ServiceLimit = 2000;
  for (const std::size_t Processes : {4U, 19U, 390U, 1490U}) {
    fleet::Options Chosen;
    Chosen.Processes = Processes;
    Chosen.Regions = 7;
    fleet::Fleet Run(Chosen);
    Run.publish(5);
    Run.runUntil(StartCommand + seconds(12));
    CHECK(Run.peakCalls(StartCommand, Run.Now) < ServiceLimit);
    const TimePoint Change = Run.Now;
    Run.publish(6);
    Run.runUntil(Change + seconds(2));
    CHECK(Run.peakCalls(Change, Run.Now) < ServiceLimit);
    CHECK(Run.timeToAll(6, Change));
  }
}
