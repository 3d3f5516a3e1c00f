#include "marigoldyard/coordination/server_table.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;
using namespace std::chrono_literals;

namespace {

const TimePoint StartCommand = TimePoint{} + 1h;

ServerRecord record(const std::string &Id, const std::string &Domain = "d1") {
  ServerRecord Result;
  Result.Id = Id;
  Result.Address = "10.0.0." + Id + ":80";
  Result.Pool = "engines";
  Result.FailureDomain = Domain;
  Result.Slots = 4;
  Result.Weights = {{"m", 1}};
  return Result;
}

ServerTable tableWith(const std::vector<ServerRecord> &Records) {
  ServerTable Table;
  Table.Settings.Region = "r1";
  Table.Settings.RegionOf = {{"d1", "r1"}, {"d2", "r2"}};
  for (const ServerRecord &Each : Records)
    putServer(Table, Each);
  return Table;
}

ServerChoice choose(const ServerTable &Table, ServerRequirements Question = {},
                    TimePoint Now = StartCommand) {
  Random Source(1);
  Question.Pool = "engines";
  Question.Model = "m";
  return chooseServer(Table, Question, Now, Source);
}

void fill(ServerTable &Table, const std::string &Id, int Count) {
  for (int I = 0; I < Count; ++I)
    recordRequestStart(Table, Id, 0);
}

} // namespace

TEST_CASE("the least loaded server of the own region is chosen") {
  ServerTable Table = tableWith({record("1"), record("2"), record("3", "d2")});
  fill(Table, "1", 2);
  CHECK(choose(Table).Id == "2");
  fill(Table, "2", 4);
  CHECK(choose(Table).Id == "3"); // the load is worth the link
}

TEST_CASE("full servers get nothing, and the reason is told") {
  ServerTable Table = tableWith({record("1")});
  fill(Table, "1", 5);
  CHECK(choose(Table).Shortage == ServerShortage::Full);
  recordRequestEnd(Table, "1");
  CHECK(choose(Table).Shortage == ServerShortage::None);
  CHECK(choose(tableWith({})).Shortage == ServerShortage::Absent);
}

TEST_CASE("load that others cause is learned from answers") {
  ServerTable Table = tableWith({record("1"), record("2")});
  recordReportedLoad(Table, "1", 4);
  CHECK(choose(Table).Id == "2");
  recordRequestStart(Table, "1", 0);
  CHECK(estimatedLoad(Table, Table.Servers.at("1")) == 5);
  recordRequestEnd(Table, "1");
  recordRequestEnd(Table, "1");
  CHECK(estimatedLoad(Table, Table.Servers.at("1")) == 4);
}

TEST_CASE("gateways that share servers count sends of the others") {
  ServerTable Table = tableWith({record("1")});
  Table.Settings.SharingGateways = 3;
  recordReportedLoad(Table, "1", 1);
  recordRequestStart(Table, "1", 0);
  CHECK(estimatedLoad(Table, Table.Servers.at("1")) == 4);
  recordRequestEnd(Table, "1");
  CHECK(estimatedLoad(Table, Table.Servers.at("1")) == 1);
}

TEST_CASE("the load that a stager tells replaces older views") {
  ServerTable Table = tableWith({record("1")});
  recordReportedLoad(Table, "1", 4);
  recordRequestStart(Table, "1", 0);
  REQUIRE(applyEngineStatus(Table, {record("1").Address, 0, true, 2, {}},
                            StartCommand));
  CHECK(estimatedLoad(Table, Table.Servers.at("1")) == 2);
}

TEST_CASE("a draining server and one that left get no request") {
  ServerTable Table = tableWith({record("1"), record("2")});
  ServerRecord Leaving = record("1");
  Leaving.Draining = true;
  putServer(Table, Leaving);
  for (int I = 0; I < 4; ++I)
    CHECK(choose(Table).Id == "2");
  removeServer(Table, "2");
  CHECK(choose(Table).Shortage == ServerShortage::Absent);
}

TEST_CASE("a server is used only with weights that are allowed") {
  ServerTable Table = tableWith({record("1")});
  requireVersion(Table, {"m", 2});
  CHECK(choose(Table).Shortage == ServerShortage::Loading);
  CHECK(applyEngineStatus(Table, {"10.0.0.1:80", 0, true, 0, {{"m", 2}}},
                          StartCommand));
  CHECK(choose(Table).Id == "1");
  // A record that was written before the load does not hide it.
  putServer(Table, record("1"));
  CHECK(choose(Table).Id == "1");
  requireVersion(Table, {"m", 1}); // a requirement never falls
  CHECK(Table.RequiredVersions.at("m") == 2);
}

// Guards against requests on old weights after another writer replaced the
// record of a model server by one without the field of the weights.
TEST_CASE("a model server whose record lacks the weights keeps known ones") {
  ServerTable Table = tableWith({record("1")});
  requireVersion(Table, {"m", 2});
  ServerRecord Incomplete = record("1");
  Incomplete.Weights.reset();
  putServer(Table, Incomplete);
  CHECK(choose(Table).Shortage == ServerShortage::Loading);
  ServerRecord Loaded = record("1");
  Loaded.Weights = {{"m", 2}};
  putServer(Table, Loaded);
  putServer(Table, Incomplete);
  CHECK(choose(Table).Id == "1");
}

TEST_CASE("a stream continues only on the version that it began with") {
  ServerTable Table = tableWith({record("1"), record("2")});
  applyEngineStatus(Table, {"10.0.0.1:80", 0, true, 0, {{"m", 2}}},
                    StartCommand);
  ServerRequirements Question;
  Question.ExactVersion = 1;
  CHECK(choose(Table, Question).Id == "2");
  Question.Excluded = {"2"};
  CHECK(choose(Table, Question).Shortage == ServerShortage::Loading);
}

TEST_CASE("a server that is about to load gets nothing for a bounded time") {
  ServerTable Table = tableWith({record("1")});
  applyEngineStatus(Table, {"10.0.0.1:80", 0, false, 0, {{"m", 1}}},
                    StartCommand);
  CHECK(choose(Table).Shortage == ServerShortage::Loading);
  CHECK(choose(Table, {}, StartCommand + Table.Settings.LoadingTimeout).Id ==
        "1");
}

TEST_CASE("a restart under the same id forgets what was loaded") {
  ServerRecord First = record("1");
  First.StartedAtMs = 1000;
  ServerTable Table = tableWith({First});
  ServerRecord Second = First;
  Second.StartedAtMs = 2000;
  Second.Weights = std::vector<LoadedWeights>{};
  putServer(Table, Second);
  CHECK(choose(Table).Shortage == ServerShortage::Loading);
  putServer(Table, First); // a late record of the first start
  CHECK(choose(Table).Shortage == ServerShortage::Loading);
  CHECK_FALSE(applyEngineStatus(
      Table, {"10.0.0.1:80", 1000, true, 0, {{"m", 1}}}, StartCommand));
}

// Guards against a restarted server that gets no requests until the backoff
// from before its crash ends (LOST).
TEST_CASE("a restart that the stager reports first ends the backoff") {
  ServerRecord First = record("1");
  First.StartedAtMs = 1000;
  ServerTable Table = tableWith({First});
  for (int I = 0; I < 4; ++I)
    recordServerOutcome(Table, "1", ServerOutcome::Unreachable, StartCommand);
  CHECK(choose(Table).Shortage == ServerShortage::Absent);
  CHECK(applyEngineStatus(Table, {"10.0.0.1:80", 2000, true, 0, {{"m", 1}}},
                          StartCommand));
  CHECK(choose(Table).Id == "1");
}

TEST_CASE("of two servers at one address the later start is used") {
  ServerRecord Old = record("1");
  Old.StartedAtMs = 1000;
  ServerRecord New = record("2");
  New.Address = Old.Address;
  New.StartedAtMs = 2000;
  New.Weights = std::vector<LoadedWeights>{};
  for (const auto &Order : {std::vector{Old, New}, std::vector{New, Old}}) {
    ServerTable Table = tableWith(Order);
    CHECK(choose(Table).Shortage == ServerShortage::Loading);
    CHECK(applyEngineStatus(Table, {Old.Address, 2000, true, 0, {{"m", 1}}},
                            StartCommand));
    CHECK(choose(Table).Id == "2");
    removeServer(Table, "1");
    CHECK(applyEngineStatus(Table, {Old.Address, 2000, true, 0, {{"m", 1}}},
                            StartCommand));
  }
}

// Guards against gateways that end when the first address of a server that
// moved is given to another one.
TEST_CASE("a server that moves and leaves gives its first address back") {
  ServerTable Table = tableWith({record("1"), record("2")});
  ServerRecord Moved = record("1");
  Moved.Address = "10.0.0.9:80";
  Moved.StartedAtMs = 2000;
  putServer(Table, Moved);
  removeServer(Table, "1");
  removeServer(Table, "2");
  ServerRecord Next = record("3");
  Next.Address = record("1").Address;
  putServer(Table, Next);
  CHECK(choose(Table).Id == "3");
}

// Guards against a sound server that gets nothing, since a server that moved is
// still taken for the one at its address.
TEST_CASE("a server at the first address of one that moved is used beside it") {
  ServerRecord Stays = record("2");
  Stays.Address = record("1").Address;
  Stays.StartedAtMs = 500;
  ServerRecord First = record("1");
  First.StartedAtMs = 1000;
  ServerRecord Moved = First;
  Moved.Address = "10.0.0.9:80";
  Moved.StartedAtMs = 2000;
  for (const auto &Order :
       {std::vector{First, Stays, Moved}, std::vector{First, Moved, Stays}}) {
    ServerTable Table = tableWith(Order);
    CHECK_FALSE(Table.Servers.at("1").Replaced);
    CHECK_FALSE(Table.Servers.at("2").Replaced);
  }
}

TEST_CASE("a server is used again when the one that had its address left") {
  ServerRecord Old = record("1");
  ServerRecord New = record("2");
  New.Address = Old.Address;
  New.StartedAtMs = 2000;
  ServerTable Table = tableWith({Old, New});
  CHECK(Table.Servers.at("1").Replaced);
  removeServer(Table, "2");
  CHECK_FALSE(Table.Servers.at("1").Replaced);
}

// Guards against a server that refuses without end and draws request after
// request: its failure rate alone lets it be chosen while others have load.
TEST_CASE("a server whose answer has no end gets no request at once") {
  ServerTable Table = tableWith({record("1"), record("2")});
  recordRequestStart(Table, "2", 0);
  recordServerOutcome(Table, "1", ServerOutcome::EndlessAnswer, StartCommand);
  CHECK(choose(Table).Id == "2");
  CHECK(choose(Table, {}, StartCommand + 499ms).Id == "2");
  CHECK(choose(Table, {}, StartCommand + 500ms).Id == "1");
}

TEST_CASE("an unreachable server is paused for longer each time") {
  ServerTable Table = tableWith({record("1")});
  recordServerOutcome(Table, "1", ServerOutcome::Unreachable, StartCommand);
  CHECK(choose(Table, {}, StartCommand + 499ms).Shortage ==
        ServerShortage::Absent);
  CHECK(choose(Table, {}, StartCommand + 500ms).Id == "1");
  recordServerOutcome(Table, "1", ServerOutcome::AnswerTimeout,
                      StartCommand + 500ms);
  CHECK(choose(Table, {}, StartCommand + 1400ms).Shortage ==
        ServerShortage::Absent);
  // One request tests it; an answer ends the pauses.
  recordRequestStart(Table, "1", 0);
  CHECK(choose(Table, {}, StartCommand + 1500ms).Shortage ==
        ServerShortage::Full);
  recordServerOutcome(Table, "1", ServerOutcome::Answered,
                      StartCommand + 1600ms);
  CHECK(choose(Table, {}, StartCommand + 1600ms).Id == "1");
}

TEST_CASE("a server that fails part of its requests is used last") {
  ServerTable Table = tableWith({record("1"), record("2")});
  for (int I = 0; I < 6; ++I)
    recordServerOutcome(Table, "1", ServerOutcome::ServerError, StartCommand);
  fill(Table, "2", 4);
  CHECK(choose(Table).Id == "2");
  fill(Table, "2", 1);
  CHECK(choose(Table).Id == "1");
}

TEST_CASE("late requests leave room, and prompts at a server are bounded") {
  ServerTable Table = tableWith({record("1")});
  fill(Table, "1", 4);
  ServerRequirements Question;
  Question.Late = true;
  CHECK(choose(Table, Question).Shortage == ServerShortage::Full);
  Question.Late = false;
  CHECK(choose(Table, Question).Id == "1");
  ServerTable Reading = tableWith({record("1")});
  Question.TokensPerPass = 1000;
  Question.PromptTokens = 5000;
  CHECK(choose(Reading, Question).Id == "1"); // alone, any prompt may go
  recordRequestStart(Reading, "1", 1000);
  Question.PromptTokens = 301;
  CHECK(choose(Reading, Question).Shortage == ServerShortage::Full);
  Question.PromptTokens = 300;
  CHECK(choose(Reading, Question).Id == "1");
  recordPrefillEnd(Reading, "1", 1000);
  Question.PromptTokens = 5000;
  CHECK(choose(Reading, Question).Id == "1");
}

// Guards against requests to a server that said that it leaves, while a record
// from before says that it is ready.
TEST_CASE("a server that says that it leaves gets nothing until it restarts") {
  ServerRecord First = record("1");
  First.StartedAtMs = 100;
  ServerTable Table = tableWith({First, record("2")});
  CHECK(recordNotice(Table, "1", 100, {.Leaving = true}, StartCommand) ==
        NoticeChange::Leaving);
  CHECK(recordNotice(Table, "1", 100, {.Leaving = true}, StartCommand) ==
        NoticeChange::None);
  CHECK(isLeaving(Table, "1"));
  CHECK_FALSE(mayReceive(Table, "1", StartCommand));
  fill(Table, "2", 4);
  CHECK(choose(Table).Id == "2");
  putServer(Table, First);
  CHECK(choose(Table).Id == "2");
  recordServerOutcome(Table, "1", ServerOutcome::Answered, StartCommand);
  CHECK(applyEngineStatus(Table, {First.Address, 100, true, 0, {}},
                          StartCommand));
  CHECK(choose(Table).Id == "2");
  First.StartedAtMs = 0; // a record that does not tell the start
  putServer(Table, First);
  CHECK(choose(Table).Id == "2");
  First.StartedAtMs = 200;
  putServer(Table, First);
  CHECK(choose(Table).Id == "1");
  CHECK(mayReceive(Table, "1", StartCommand));
}

// Guards against requests to a leaving server whose record expired and was
// written again, as after an outage of the store.
TEST_CASE("a notice is kept while the server has no record") {
  ServerRecord First = record("1");
  First.StartedAtMs = 100;
  ServerTable Table = tableWith({First, record("2")});
  recordNotice(Table, "1", 100, {.Leaving = true}, StartCommand);
  removeServer(Table, "1");
  CHECK_FALSE(mayReceive(Table, "1", StartCommand));
  recordNotice(Table, "2", 0, {.RefusesFor = 5s}, StartCommand);
  removeServer(Table, "2");
  recordNotice(Table, "3", 100, {.Leaving = true}, StartCommand); // no record
  CHECK(Table.AbsentServers.size() == 3);
  putServer(Table, First);
  putServer(Table, record("2"));
  ServerRecord Third = record("3");
  Third.StartedAtMs = 100;
  putServer(Table, Third);
  CHECK(Table.AbsentServers.empty());
  CHECK(choose(Table).Id.empty());
  CHECK(choose(Table, {}, StartCommand + 6s).Id == "2");
  removeServer(Table, "1");
  First.StartedAtMs = 200;
  putServer(Table, First);
  CHECK(choose(Table).Id == "1");
  Table.Settings.MaxAbsentServers = 2;
  for (int I = 0; I < 4; ++I)
    recordNotice(Table, "x" + std::to_string(I), 1, {.Leaving = true},
                 StartCommand);
  CHECK(Table.AbsentServers.size() == 2);
}

// Guards against an answer from before a restart that takes the restarted
// server out of use.
TEST_CASE("leaving before a restart has no effect after it") {
  ServerRecord First = record("1");
  First.StartedAtMs = 200;
  ServerTable Table = tableWith({First});
  CHECK(recordNotice(Table, "1", 100, {.Leaving = true, .RefusesFor = 5s},
                     StartCommand) == NoticeChange::Refusing);
  CHECK(choose(Table, {}, StartCommand + 5s).Id == "1");
  recordNotice(Table, "1", 200, {.Leaving = true}, StartCommand);
  // A stager learns of the restart before the store.
  CHECK(applyEngineStatus(Table, {First.Address, 300, true, 0, {{"m", 1}}},
                          StartCommand));
  CHECK(choose(Table, {}, StartCommand + 5s).Id == "1");
}

// Guards against requests to a server that restarted and asked for none before
// its restart was known here.
TEST_CASE("a refusal with a time holds beside a restart") {
  ServerRecord First = record("1");
  First.StartedAtMs = 100;
  ServerTable Table = tableWith({First});
  recordNotice(Table, "1", 100, {.RefusesFor = 4s}, StartCommand);
  First.StartedAtMs = 200;
  putServer(Table, First);
  CHECK(choose(Table, {}, StartCommand + 3s).Id.empty());
  First.StartedAtMs = 300;
  removeServer(Table, "1");
  putServer(Table, First);
  CHECK(choose(Table, {}, StartCommand + 3s).Id.empty());
  CHECK(applyEngineStatus(Table, {First.Address, 400, true, 0, {{"m", 1}}},
                          StartCommand + 3s));
  CHECK(choose(Table, {}, StartCommand + 3s).Id.empty());
  CHECK(choose(Table, {}, StartCommand + 4s).Id == "1");
}

// Guards against requests within the time for which a server asked for none:
// answers to other requests end a backoff.
TEST_CASE("a refusal with a time holds beside answers to other requests") {
  ServerTable Table = tableWith({record("1")});
  CHECK(recordNotice(Table, "1", 0, {.RefusesFor = 4s}, StartCommand) ==
        NoticeChange::Refusing);
  CHECK(recordNotice(Table, "1", 0, {.RefusesFor = 1s}, StartCommand + 1s) ==
        NoticeChange::None);
  CHECK(recordNotice(Table, "1", 0, {}, StartCommand + 2s) ==
        NoticeChange::None);
  recordServerOutcome(Table, "1", ServerOutcome::Answered, StartCommand + 2s);
  CHECK(choose(Table, {}, StartCommand + 3999ms).Id.empty());
  CHECK_FALSE(mayReceive(Table, "1", StartCommand + 3999ms));
  CHECK(choose(Table, {}, StartCommand + 4s).Id == "1");
  CHECK(recordNotice(Table, "1", 0, {.RefusesFor = 0s}, StartCommand + 5s) ==
        NoticeChange::None);
  CHECK(choose(Table, {}, StartCommand + 5s).Id == "1");
}

// Guards against all waiting requests going to a server at the end of the time
// for which it refused them.
TEST_CASE(
    "after a refusal one request at a time is sent until it is answered") {
  ServerTable Table = tableWith({record("1")});
  fill(Table, "1", 2); // in progress all the while
  recordNotice(Table, "1", 0, {.RefusesFor = 1s}, StartCommand);
  const TimePoint End = StartCommand + 1s;
  CHECK(choose(Table, {}, End).Id == "1");
  recordRequestStart(Table, "1", 0);
  CHECK(choose(Table, {}, End).Shortage == ServerShortage::Full);
  recordRequestEnd(Table, "1"); // without a response
  CHECK(choose(Table, {}, End).Id == "1");
  recordRequestStart(Table, "1", 0);
  recordNotice(Table, "1", 0, {.RefusesFor = 2s}, End);
  recordRequestEnd(Table, "1");
  CHECK(choose(Table, {}, End + 1s).Id.empty());
  recordRequestStart(Table, "1", 0);
  recordNotice(Table, "1", 0, {}, End + 2s); // its response starts
  CHECK(choose(Table, {}, End + 2s).Id == "1");
  recordRequestStart(Table, "1", 0);
  CHECK(choose(Table, {}, End + 2s).Id == "1");
}

// Guards against requests that wait for servers that take none, and against a
// rejection while a server may take them.
TEST_CASE("the end of refusals is known when every server leaves or refuses") {
  ServerTable Table = tableWith({record("1"), record("2"), record("3")});
  const ServerRequirements Any{.Pool = "engines"};
  auto Until = [&](const ServerRequirements &Requirements) {
    return refusedUntil(Table, Requirements, StartCommand);
  };
  CHECK_FALSE(refusedUntil(tableWith({}), Any, StartCommand));
  recordNotice(Table, "1", 0, {.RefusesFor = 4s}, StartCommand);
  recordNotice(Table, "2", 0, {.RefusesFor = 2s}, StartCommand);
  CHECK_FALSE(Until(Any));
  ServerRequirements Retried = Any;
  Retried.Excluded = {"3"};
  CHECK(Until(Retried) == StartCommand + 2s);
  Retried.Excluded = {"2", "3"};
  CHECK(Until(Retried) == StartCommand + 4s);
  Retried.Excluded = {"1", "2", "3"};
  CHECK(Until(Retried) == TimePoint::max());
  ServerRecord Third = record("3");
  Third.Draining = true;
  putServer(Table, Third);
  CHECK(Until(Any) == StartCommand + 2s);
  recordNotice(Table, "1", 0, {.Leaving = true}, StartCommand);
  recordNotice(Table, "2", 0, {.Leaving = true}, StartCommand);
  CHECK(Until(Any) == TimePoint::max());
  // A server in a backoff may take requests soon.
  putServer(Table, record("4"));
  recordServerOutcome(Table, "4", ServerOutcome::Unreachable, StartCommand);
  CHECK_FALSE(Until(Any));
  CHECK(choose(Table).Shortage == ServerShortage::Absent);
}

TEST_CASE("a server that refuses for its weights attracts no further requests "
          "until its state is reported anew") {
  // Guards against a black hole: a server without the weights refuses at once,
  // looks idle and is chosen again.
  ServerTable Table = tableWith({record("1"), record("2")});
  fill(Table, "2", 3);
  TimePoint Now = StartCommand;
  int Refused = 0;
  for (; Now < StartCommand + 10s; Now += 10ms) {
    const ServerChoice Choice = choose(Table, {}, Now);
    REQUIRE(Choice.Shortage == ServerShortage::None);
    recordRequestStart(Table, Choice.Id, 0);
    if (Choice.Id == "1") {
      ++Refused;
      recordContradiction(Table, "1", Now + 2ms);
    }
    recordRequestEnd(Table, Choice.Id);
  }
  CHECK(Refused <= 5);
  CHECK(choose(Table, {}, Now).Id == "2");
  // A status that was sent before the refusal changes nothing.
  recordContradiction(Table, "1", Now);
  applyEngineStatus(Table, {record("1").Address, 0, true, 0, {{"m", 1}}},
                    Now + 50ms);
  CHECK(choose(Table, {}, Now + 50ms).Id == "2");
  applyEngineStatus(Table, {record("1").Address, 0, true, 0, {{"m", 1}}},
                    Now + 400ms);
  CHECK(choose(Table, {}, Now + 400ms).Id == "1");
}

TEST_CASE("refusals of requests that were on the way do not prolong the doubts "
          "about a server") {
  ServerTable Table = tableWith({record("1")});
  for (int I = 0; I < 4; ++I)
    recordContradiction(Table, "1", StartCommand);
  CHECK(choose(Table).Shortage == ServerShortage::Loading);
  CHECK(choose(Table, {}, StartCommand + 500ms).Id == "1");
  recordRequestStart(Table, "1", 0);
  CHECK(choose(Table, {}, StartCommand + 500ms).Shortage ==
        ServerShortage::Full); // one probe at a time
  recordRequestEnd(Table, "1");
  recordServed(Table, "1");
  fill(Table, "1", 2);
  CHECK(choose(Table, {}, StartCommand + 500ms).Id == "1");
}

TEST_CASE("the places to wait at a server are left to urgent requests") {
  // Guards against urgent requests that wait behind less urgent ones in a
  // flood.
  ServerTable Table = tableWith({record("1")});
  ServerRequirements Patient;
  Patient.MayQueueAtServer = false;
  fill(Table, "1", 3);
  CHECK(choose(Table, Patient).Id == "1");
  fill(Table, "1", 1);
  CHECK(choose(Table, Patient).Shortage == ServerShortage::Full);
  CHECK(choose(Table).Id == "1");
}

TEST_CASE("a request waits at a server that runs and is full, and not at one "
          "that is silent") {
  ServerTable Table = tableWith({record("1")});
  const auto Report = [&](std::uint32_t Load, TimePoint Now) {
    applyEngineStatus(Table, {record("1").Address, 0, true, Load, {{"m", 1}}},
                      Now);
  };
  CHECK_FALSE(isBusy(Table, "1", StartCommand));
  Report(4, StartCommand);
  CHECK(isBusy(Table, "1", StartCommand + 900ms));
  CHECK_FALSE(isBusy(Table, "1", StartCommand + 1s));
  Report(3, StartCommand);
  CHECK_FALSE(isBusy(Table, "1", StartCommand)); // it has a free slot
  CHECK_FALSE(isBusy(Table, "unknown", StartCommand));
}

// Guards against gateways that all send to the server that was the least loaded
// in the last report.
TEST_CASE("thirty gateways with the same picture do not all choose the least "
          "loaded server") {
  constexpr int Servers = 13;
  constexpr int Gateways = 30;
  std::vector<ServerRecord> Records;
  Records.reserve(Servers);
  for (int I = 0; I < Servers; ++I)
    Records.push_back(record(std::to_string(I)));
  ServerTable Table = tableWith(Records);
  for (const ServerRecord &Each : Records)
    recordReportedLoad(Table, Each.Id, Each.Id == "7" ? 0 : 2);
  const auto SendsToLeastLoaded = [&] {
    ServerRequirements Wanted;
    Wanted.Pool = "engines";
    Wanted.Model = "m";
    Random Source(1);
    int Sends = 0;
    for (int I = 0; I < Gateways; ++I)
      Sends +=
          chooseServer(Table, Wanted, StartCommand, Source).Id == "7" ? 1 : 0;
    return Sends;
  };
  CHECK(SendsToLeastLoaded() == Gateways); // a single gateway knows its sends
  Table.Settings.SharingGateways = Gateways;
  CHECK(SendsToLeastLoaded() < Gateways / 3);
  CHECK(SendsToLeastLoaded() > 0);
}

TEST_CASE("a server that was not drawn is used when no drawn one has room") {
  ServerTable Table = tableWith({record("1"), record("2"), record("3"),
                                 record("4"), record("5"), record("6")});
  Table.Settings.SharingGateways = 30;
  for (const char *Id : {"1", "2", "3", "4", "5"})
    fill(Table, Id, 5);
  for (int I = 0; I < 20; ++I)
    CHECK(choose(Table).Id == "6");
}

// Guards against requests that start on an older version after its bound,
// because they and their withdrawal take a slow way to the server.
TEST_CASE("a version that goes out of use gets only requests that start in "
          "time") {
  ServerTable Table = tableWith({record("1")});
  Table.StartDeadlines["m"][2] = StartCommand + 4s;
  const TimePoint Sent = StartCommand;
  recordUnstarted(Table, "1", Sent);
  SUBCASE("a quick start") {
    recordStarted(Table, "1", Sent, Sent + 100ms);
    CHECK(choose(Table, {}, StartCommand + 1s).Id == "1");
    CHECK(choose(Table, {}, StartCommand + 4s).Id.empty());
  }
  SUBCASE("a slow start") {
    recordStarted(Table, "1", Sent, Sent + 1500ms);
    CHECK(choose(Table, {}, StartCommand + 1500ms).Id.empty());
    CHECK(choose(Table, {}, StartCommand + 1500ms).Shortage ==
          ServerShortage::Loading);
  }
  SUBCASE("a request that has not started") {
    CHECK(choose(Table, {}, StartCommand + 900ms).Id.empty());
    // It started at once on the version that was declared.
    Table.Servers.at("1").Weights = {{"m", 2}};
    CHECK(choose(Table, {}, StartCommand + 900ms).Id == "1");
  }
  SUBCASE("many requests that wait behind each other") {
    recordStarted(Table, "1", Sent, Sent + 200ms);
    for (int I = 0; I < 4; ++I)
      recordUnstarted(Table, "1", StartCommand + 1800ms);
    CHECK(choose(Table, {}, StartCommand + 1900ms).Id == "1");
    recordUnstarted(Table, "1", StartCommand + 1800ms);
    CHECK(choose(Table, {}, StartCommand + 1900ms).Id.empty());
  }
  SUBCASE("a measurement that is too old") {
    recordStarted(Table, "1", Sent, Sent + 10ms);
    CHECK(choose(Table, {}, StartCommand + 1900ms).Id == "1");
    CHECK(choose(Table, {}, StartCommand + 3s).Id.empty());
  }
}

TEST_CASE("a slow start is forgotten gradually") {
  ServerTable Table = tableWith({record("1")});
  const auto Measure = [&](Duration Delay) {
    recordUnstarted(Table, "1", StartCommand);
    recordStarted(Table, "1", StartCommand, StartCommand + Delay);
    return expectedStartDelay(Table, Table.Servers.at("1"), StartCommand + 1s);
  };
  CHECK(Measure(800ms) == 800ms);
  CHECK(Measure(100ms) == 400ms);
  CHECK(Measure(100ms) == 200ms);
  CHECK(Measure(300ms) == 300ms);
}

// Guards against requests to a server that has some layers of a version only.
TEST_CASE("a record with some layers of a version does not make it loaded") {
  ServerTable Table;
  Table.LayersByPool["engines"] = 4;
  putServer(Table, record("1"));
  ServerRecord Partial = record("1");
  Partial.Weights = {{"m", 2}};
  Partial.Layers = LayerRange{1, 3};
  putServer(Table, Partial);
  CHECK(loadedVersion(Table.Servers.at("1"), "m") == 1);
  Partial.Layers = LayerRange{0, 4};
  putServer(Table, Partial);
  CHECK(loadedVersion(Table.Servers.at("1"), "m") == 2);
}
