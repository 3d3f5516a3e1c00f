#include "marigoldyard/coordination/load_plan.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;
using namespace std::chrono_literals;

namespace {

const TimePoint StartCommand = TimePoint{} + 1h;

LoadState loading() { return makeLoad({}, {"m", 2}, StartCommand); }

/// A load that has reached Waiting.
LoadState waiting() {
  LoadState State = loading();
  LoadConditions Facts;
  Facts.Complete = true;
  advanceLoad(State, Facts, StartCommand);
  Facts.Staged = true;
  advanceLoad(State, Facts, StartCommand);
  REQUIRE(State.Stage == LoadStage::Waiting);
  return State;
}

} // namespace

TEST_CASE("nothing is staged before all pieces are held") {
  LoadState State = loading();
  CHECK_FALSE(advanceLoad(State, {}, StartCommand + 5s));
  CHECK(State.Stage == LoadStage::Fetching);
}

TEST_CASE("nothing is loaded before the staged pieces were read back") {
  LoadState State = loading();
  LoadConditions Facts;
  Facts.Complete = true;
  CHECK(advanceLoad(State, Facts, StartCommand));
  CHECK(State.Stage == LoadStage::Staging);
  CHECK_FALSE(advanceLoad(State, Facts, StartCommand + 20s));
}

TEST_CASE("a server without weights loads at once") {
  LoadState State = waiting();
  LoadConditions Facts;
  Facts.NoVersionServed = Facts.ReadsRecent = true;
  CHECK(advanceLoad(State, Facts, StartCommand));
  CHECK(State.Stage == LoadStage::Loading);
}

TEST_CASE("a serving server waits for its turn and lets streams move") {
  LoadState State = waiting();
  LoadConditions Facts;
  CHECK_FALSE(advanceLoad(State, Facts, StartCommand + 1s));
  Facts.HasTurn = Facts.ReadsRecent = true;
  CHECK(advanceLoad(State, Facts, StartCommand + 1s));
  CHECK(State.Stage == LoadStage::Announced);
  Facts.StreamsCanMove = true;
  CHECK_FALSE(advanceLoad(State, Facts, StartCommand + 1s + 499ms));
  CHECK(advanceLoad(State, Facts, StartCommand + 1s + 500ms));
  CHECK(State.Stage == LoadStage::Loading);
}

TEST_CASE("the order does not wait for streams that cannot move") {
  LoadState State = waiting();
  LoadConditions Facts;
  Facts.HasTurn = Facts.ReadsRecent = true;
  advanceLoad(State, Facts, StartCommand);
  CHECK(advanceLoad(State, Facts, StartCommand + 1s));
  CHECK(State.Stage == LoadStage::Loading);
}

TEST_CASE("an idle server loads as soon as the gateways know") {
  LoadState State = waiting();
  LoadConditions Facts;
  Facts.HasTurn = Facts.StreamsCanMove = Facts.Idle = Facts.ReadsRecent = true;
  advanceLoad(State, Facts, StartCommand);
  CHECK_FALSE(advanceLoad(State, Facts, StartCommand + 39ms));
  CHECK(advanceLoad(State, Facts, StartCommand + 40ms));
}

TEST_CASE("an order without effect is given again, after a new check") {
  LoadState State = waiting();
  LoadConditions Facts;
  Facts.NoVersionServed = Facts.ReadsRecent = true;
  advanceLoad(State, Facts, StartCommand);
  Facts.Busy = true;
  CHECK_FALSE(advanceLoad(State, Facts, StartCommand + 6s));
  Facts.Busy = false;
  CHECK(advanceLoad(State, Facts, StartCommand + 6s));
  CHECK(State.Stage == LoadStage::Staging);
}

// Guards against orders over chunks that became corrupt while the server waited
// for its turn or for its streams to end.
TEST_CASE("no order is given while the read-back is old") {
  LoadConditions Facts;
  Facts.NoVersionServed = true;
  LoadState State = waiting();
  CHECK_FALSE(advanceLoad(State, Facts, StartCommand + 20s));
  Facts.ReadsRecent = true;
  CHECK(advanceLoad(State, Facts, StartCommand + 20s));

  Facts = {};
  Facts.HasTurn = Facts.Idle = true;
  State = waiting();
  CHECK(advanceLoad(State, Facts, StartCommand));
  CHECK_FALSE(advanceLoad(State, Facts, StartCommand + 20s));
  CHECK(State.Stage == LoadStage::Announced);
  Facts.ReadsRecent = true;
  CHECK(advanceLoad(State, Facts, StartCommand + 20s));
  CHECK(State.Stage == LoadStage::Loading);
  returnToAnnounced(State, StartCommand + 21s);
  CHECK_FALSE(advanceLoad(State, Facts, StartCommand + 21s));
  CHECK(advanceLoad(State, Facts, StartCommand + 21s + 40ms));
}

TEST_CASE("a version that may be corrupt does not serve") {
  LoadState State = waiting();
  LoadConditions Facts;
  Facts.NoVersionServed = Facts.ReadsRecent = true;
  advanceLoad(State, Facts, StartCommand);
  Facts.Loaded = Facts.LoadDoubtful = true;
  CHECK_FALSE(advanceLoad(State, Facts, StartCommand + 20s));
  Facts.LoadDoubtful = false;
  CHECK(advanceLoad(State, Facts, StartCommand + 20s));
  CHECK(State.Stage == LoadStage::Serving);
}

TEST_CASE("a loaded version serves, whatever the stage was") {
  for (LoadState State : {loading(), waiting()}) {
    LoadConditions Facts;
    Facts.Loaded = true;
    CHECK(advanceLoad(State, Facts, StartCommand));
    CHECK(State.Stage == LoadStage::Serving);
  }
}

TEST_CASE("turns take a third of the servers, and all when time runs out") {
  const LoadState State = loading();
  CHECK(maxUnavailableServers(State, 9, StartCommand) == 3);
  CHECK(maxUnavailableServers(State, 2, StartCommand) == 1);
  CHECK(maxUnavailableServers(State, 9, StartCommand + 6799ms) == 3);
  CHECK(maxUnavailableServers(State, 9, StartCommand + 6800ms) == 9);
}

TEST_CASE("a version that has just begun gives way to a newer one") {
  const LoadState Older = loading();
  // Both would share the links: two versions take twice the time of one.
  CHECK_FALSE(shouldFinishLoad(Older, {}, StartCommand + 1s));
  CHECK_FALSE(shouldFinishLoad(Older, {10, 64, 38}, StartCommand + 1s));
  // Peers that hold the rest give it in the time of one link, also while the
  // origin of the newer one is away.
  CHECK(shouldFinishLoad(Older, {10, 64, 39}, StartCommand + 1s));
}

TEST_CASE("declarations in quick succession cannot skip every version") {
  LoadState Older = loading();
  Older.OutdatedSince = StartCommand - 2s;
  CHECK_FALSE(shouldFinishLoad(Older, {0, 64, 0}, StartCommand + 500ms));
  CHECK(shouldFinishLoad(Older, {0, 64, 0}, StartCommand + 1s));
}

// Guards against a load that waits for a turn, or for streams to move, beyond
// the bound of the version that the server has.
TEST_CASE("a server whose version went out of use loads at once") {
  LoadState State = waiting();
  LoadConditions Facts;
  Facts.ServedOutOfUse = true;
  CHECK_FALSE(advanceLoad(State, Facts, StartCommand));
  Facts.ReadsRecent = true;
  CHECK(advanceLoad(State, Facts, StartCommand));
  CHECK(State.Stage == LoadStage::Loading);

  State = waiting();
  Facts = {};
  Facts.HasTurn = Facts.ReadsRecent = Facts.StreamsCanMove = true;
  CHECK(advanceLoad(State, Facts, StartCommand));
  CHECK(State.Stage == LoadStage::Announced);
  CHECK_FALSE(advanceLoad(State, Facts, StartCommand + 100ms));
  Facts.ServedOutOfUse = true;
  CHECK(advanceLoad(State, Facts, StartCommand + 100ms));
  CHECK(State.Stage == LoadStage::Loading);
}
