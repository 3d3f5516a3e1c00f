#include "marigoldyard/coordination/crashing_requests.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;
using namespace std::chrono_literals;

namespace {

const TimePoint Start = TimePoint{} + 100s;
const Digest Deadly(64, 'a');
const Digest Sound(64, 'b');

/// Records that a request was sent to a server 100 ms before its crash.
bool crash(CrashingRequests &State, const Digest &Request,
           const std::string &Server, TimePoint At) {
  return recordRequestCrash(State, Request, serverRunName(Server, 17),
                            {Server + ":80", At - 100ms, At});
}

/// Sends all that one process knows to another one, as two messages would.
void synchronize(const CrashingRequests &From, CrashingRequests &To,
                 TimePoint Now) {
  for (const ReportedRequest &Each : allRequests(From, Now))
    mergeReportedRequest(To, Each, Now);
}

CrashingRequests withCrashes(const Digest &Request, int Count,
                             TimePoint At = Start) {
  CrashingRequests State;
  for (int Number = 0; Number < Count; ++Number)
    crash(State, Request, "s" + std::to_string(Number), At + Number * 1s);
  return State;
}

} // namespace

// Guards against a request that crashes one server after the other (BUDGET).
TEST_CASE("a request that was at three crashes is blocked") {
  CrashingRequests State;
  CHECK_FALSE(crash(State, Deadly, "s1", Start));
  CHECK(mayRepeatAfterCrash(State, Deadly));
  CHECK_FALSE(crash(State, Deadly, "s2", Start + 1s));
  CHECK_FALSE(mayRepeatAfterCrash(State, Deadly));
  CHECK_FALSE(isRequestBlocked(State, Deadly));
  CHECK(crash(State, Deadly, "s3", Start + 2s));
  CHECK(isRequestBlocked(State, Deadly));
  CHECK_FALSE(isRequestBlocked(State, Sound));
}

// Guards against evidence and blocks that end with time.
TEST_CASE("crashes count however long ago they were") {
  CrashingRequests State;
  crash(State, Deadly, "s1", Start);
  crash(State, Deadly, "s2", Start + 24h);
  forgetCompletedRequests(State, Start + 48h);
  CHECK(crash(State, Deadly, "s3", Start + 48h));
  forgetCompletedRequests(State, Start + 480h);
  CHECK(isRequestBlocked(State, Deadly));
}

TEST_CASE("a completed request is not suspect") {
  CrashingRequests State = withCrashes(Deadly, 2);
  CHECK(recordRequestCompleted(State, Deadly, Start + 5s));
  CHECK_FALSE(recordRequestCompleted(State, Deadly, Start + 5s));
  CHECK(mayRepeatAfterCrash(State, Deadly));
  CHECK_FALSE(crash(State, Deadly, "s8", Start + 6s));
  CHECK_FALSE(crash(State, Deadly, "s9", Start + 7s));
}

TEST_CASE("the completion of a copy ends a block") {
  CrashingRequests State = withCrashes(Deadly, 3);
  REQUIRE(isRequestBlocked(State, Deadly));
  recordRequestCompleted(State, Deadly, Start + 5s);
  CHECK_FALSE(isRequestBlocked(State, Deadly));
}

// Guards against blocking a request of which many copies run when a power
// failure takes several servers at once.
TEST_CASE("crashes of servers that had copies at the same time do not block") {
  CrashingRequests State;
  for (const char *Server : {"s1", "s2", "s3", "s4", "s5"})
    CHECK_FALSE(crash(State, Sound, Server, Start));
  CHECK(crash(State, Sound, "s6", Start + 1s));
}

TEST_CASE("several reports on one crash count once") {
  CrashingRequests State;
  const std::string Run = serverRunName("s1", 17);
  // Copies that were sent before the crash may be seen to be lost long after.
  for (const Duration Seen : {0ms, 500ms, 2500ms})
    recordRequestCrash(State, Deadly, Run,
                       {"s1:80", Start - 100ms, Start + Seen});
  CHECK(State.Requests.at(Deadly).Crashes.size() == 1);
  crash(State, Deadly, "s2", Start + 2s);
  CHECK_FALSE(isRequestBlocked(State, Deadly));
}

// Guards against a server whose new start is not known yet, which would hide
// its second crash.
TEST_CASE("later crashes of what looks like one run count") {
  CrashingRequests State;
  crash(State, Deadly, "s1", Start);
  crash(State, Deadly, "s1", Start + 2s);
  CHECK(crash(State, Deadly, "s1", Start + 4s));
}

// Guards against blocking sound requests that were at servers with one that
// crashes them.
TEST_CASE("crashes at which a blocked request was do not count for others") {
  CrashingRequests State = withCrashes(Deadly, 3);
  crash(State, Sound, "s0", Start);
  crash(State, Sound, "s1", Start + 1s);
  crash(State, Sound, "s4", Start + 3s);
  crash(State, Sound, "s5", Start + 4s);
  CHECK_FALSE(isRequestBlocked(State, Sound));
  CHECK(crash(State, Sound, "s6", Start + 5s));
}

// Guards against a request that is not found because one that was beside it at
// the same servers was blocked first.
TEST_CASE("requests that were at the same crashes do not excuse each other") {
  CrashingRequests State = withCrashes(Sound, 3);
  REQUIRE(isRequestBlocked(State, Sound));
  crash(State, Deadly, "s0", Start);
  crash(State, Deadly, "s1", Start + 1s);
  CHECK(crash(State, Deadly, "s2", Start + 2s));
}

// Guards against a sound request that is refused for good after another cause
// has ended its servers.
TEST_CASE("a blocked request is tried a few times, ever more rarely") {
  CrashingRequests State = withCrashes(Deadly, 3);
  const TimePoint LastCrash = Start + 2s;
  CHECK_FALSE(mayTryBlocked(State, Deadly, LastCrash + 59s));
  CHECK_FALSE(mayTryBlocked(State, Sound, LastCrash + 60s));
  CHECK(mayTryBlocked(State, Deadly, LastCrash + 60s));
  const TimePoint Trial = LastCrash + 60s;
  recordTrial(State, Deadly, Trial);
  CHECK_FALSE(mayTryBlocked(State, Deadly, Trial + 29min));
  CrashingRequests Other;
  synchronize(State, Other, Trial);
  CHECK(contentHash(State) == contentHash(Other));
  CHECK_FALSE(mayTryBlocked(Other, Deadly, Trial + 29min));
  CHECK(mayTryBlocked(Other, Deadly, Trial + 30min));
  recordTrial(Other, Deadly, Trial + 30min);
  CHECK_FALSE(mayTryBlocked(Other, Deadly, Trial + 30 * 24h));
  recordRequestCompleted(Other, Deadly, Trial + 31min);
  CHECK_FALSE(isRequestBlocked(Other, Deadly));
}

// Guards against processes that exchange their records without end.
TEST_CASE("processes with too many crashes of a request keep the same ones") {
  CrashingRequests Left = withCrashes(Deadly, 30);
  CrashingRequests Right;
  for (int Number = 30; Number < 60; ++Number)
    crash(Right, Deadly, "t" + std::to_string(Number), Start + Number * 1s);
  synchronize(Left, Right, Start + 100s);
  synchronize(Right, Left, Start + 100s);
  CHECK(contentHash(Left) == contentHash(Right));
}

TEST_CASE("processes add up their crashes, in any order and repeatedly") {
  CrashingRequests Left;
  CrashingRequests Right;
  crash(Left, Deadly, "s1", Start);
  crash(Left, Deadly, "s2", Start + 1s);
  crash(Right, Deadly, "s2", Start + 1s);
  crash(Right, Deadly, "s3", Start + 2s);
  CHECK(contentHash(Left) != contentHash(Right));
  const TimePoint Now = Start + 3s;
  for (int Round = 0; Round < 2; ++Round) {
    synchronize(Left, Right, Now);
    synchronize(Right, Left, Now);
  }
  CHECK(isRequestBlocked(Left, Deadly));
  CHECK(isRequestBlocked(Right, Deadly));
  CHECK(contentHash(Left) == contentHash(Right));
  CHECK(contentHash(CrashingRequests{}) == 0);
}

// Guards against a process that missed a completion and makes the others
// suspect the request again.
TEST_CASE("crashes before a completion do not return with a late report") {
  CrashingRequests Left = withCrashes(Deadly, 3);
  CrashingRequests Right;
  synchronize(Left, Right, Start + 4s);
  REQUIRE(isRequestBlocked(Right, Deadly));
  recordRequestCompleted(Left, Deadly, Start + 5s);
  synchronize(Right, Left, Start + 6s);
  CHECK_FALSE(isRequestBlocked(Left, Deadly));
  synchronize(Left, Right, Start + 7s);
  CHECK_FALSE(isRequestBlocked(Right, Deadly));
  CHECK(contentHash(Left) == contentHash(Right));
}

TEST_CASE("a block is taken over with the crashes that led to it") {
  const CrashingRequests Blocked = withCrashes(Deadly, 3);
  CrashingRequests Joined;
  synchronize(Blocked, Joined, Start + 1h);
  CHECK(isRequestBlocked(Joined, Deadly));
}

TEST_CASE("only changes of this process are reported, once") {
  CrashingRequests State = withCrashes(Deadly, 1);
  CHECK(takeChangedRequests(State, Start).size() == 1);
  CHECK(takeChangedRequests(State, Start).empty());
  CrashingRequests Other;
  synchronize(State, Other, Start);
  CHECK(takeChangedRequests(Other, Start).empty());
  recordRequestCompleted(Other, Deadly, Start + 1s);
  const auto Changed = takeChangedRequests(Other, Start + 1s);
  REQUIRE(Changed.size() == 1);
  CHECK(Changed[0].Crashes.empty());
  CHECK(Changed[0].ClearedCrashes.size() == 1);
}

TEST_CASE("the table keeps blocked requests and those with most crashes") {
  CrashingRequests State = withCrashes(Deadly, 3);
  State.Settings.MaxRequests = 3;
  crash(State, Sound, "s1", Start);
  crash(State, Sound, "s2", Start + 1s);
  for (char Name : {'c', 'd', 'e'})
    crash(State, Digest(64, Name), "s9", Start + 10s);
  CHECK(State.Requests.size() == 3);
  CHECK(isRequestBlocked(State, Deadly));
  CHECK(State.Requests.contains(Sound));
}

TEST_CASE("a completed request is forgotten after some time") {
  CrashingRequests State = withCrashes(Sound, 1);
  recordRequestCompleted(State, Sound, Start);
  forgetCompletedRequests(State, Start + State.Settings.CompletedTime);
  CHECK(State.Requests.size() == 1);
  forgetCompletedRequests(State, Start + State.Settings.CompletedTime + 1s);
  CHECK(State.Requests.empty());
}

// Guards against blocking a prompt part that sound requests share, because one
// request with it crashes servers.
TEST_CASE("crashes of one request do not block a part of its prompt") {
  CrashingRequests Requests;
  CrashSuspects Parts;
  const auto IsExplained = [&](const std::vector<ServerCrash> &Crashes) {
    return areExplainedByRequests(Requests, Crashes);
  };
  for (int Number = 0; Number < 3; ++Number) {
    const std::string Server = "s" + std::to_string(Number);
    crash(Requests, Deadly, Server, Start + Number * 1s);
    recordServerCrash(Parts, Server + ":80", {"shared"}, Start + Number * 1s);
  }
  CHECK(blockSuspects(Parts, Start + 10s, IsExplained).empty());
  crash(Requests, Sound, "s9", Start + 5s);
  recordServerCrash(Parts, "s9:80", {"shared"}, Start + 5s);
  CHECK(blockSuspects(Parts, Start + 10s, IsExplained).empty());
  crash(Requests, Digest(64, 'c'), "s10", Start + 7s);
  recordServerCrash(Parts, "s10:80", {"shared"}, Start + 7s);
  CHECK(blockSuspects(Parts, Start + 10s, IsExplained).size() == 1);
}
