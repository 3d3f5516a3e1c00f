#include "configuration_support.hpp"
#include "marigoldyard/coordination/membership.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;
using namespace marigoldyard::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint StartCommand{};

std::string agentName(int I) { return "agent-" + std::to_string(I); }

std::vector<Member> listOf(int Count, int Leaving = -1) {
  std::vector<Member> List;
  List.reserve(std::size_t(Count));
  for (int I = 0; I < Count; ++I)
    List.push_back({agentName(I), "127.0.2." + std::to_string(I),
                    MemberKind::Endpoint, "r", "f", "pool", I == Leaving});
  return List;
}

/// Linked agents that all reported at the start.
MembershipState linkedAgents(int Count) {
  MembershipState State;
  mergeMemberList(State, listOf(Count), StartCommand);
  for (int I = 0; I < Count; ++I) {
    setReportsExpected(State, agentName(I), true, StartCommand);
    recordMemberReport(State, agentName(I), 1, false, StartCommand);
  }
  return State;
}

void report(MembershipState &State, int From, int To, TimePoint Now) {
  for (int I = From; I < To; ++I)
    recordMemberReport(State, agentName(I), 1, false, Now);
}

MemberState stateOf(const MembershipState &State, int I, TimePoint Now) {
  return memberState(State, State.Records.at(agentName(I)), Now);
}

bool isRoutable(const MembershipState &State, int I, TimePoint Now) {
  for (const RoutableMember &Each : routableMembers(State, "pool", Now))
    if (Each.Name == agentName(I))
      return true;
  return false;
}

} // namespace

// Guards against an entry that leaves without reports of endpoints, and so
// without service for the callers that were told of it.
TEST_CASE("a leaving entry keeps its links until it is gone") {
  MembershipState State;
  mergeMemberList(
      State,
      {{"entry-1", "127.0.1.1", MemberKind::Entry, "r", "f", "", true},
       {"entry-2", "127.0.1.2", MemberKind::Entry, "r", "f", "", false},
       {"agent-1", "127.0.2.1", MemberKind::Endpoint, "r", "f", "pool", false}},
      StartCommand);
  CHECK(servingEntries(State, StartCommand) ==
        std::vector<std::string>{"entry-1", "entry-2"});
  CHECK(presentMembers(State, StartCommand).size() == 2);
  mergeMemberList(State, {}, StartCommand);
  CHECK(servingEntries(State, StartCommand + State.Settings.MaxListDelay * 2)
            .empty());
}

TEST_CASE("a dead endpoint gets no work after 1 s although the list names it") {
  MembershipState State = linkedAgents(4);
  const TimePoint Now = StartCommand + seconds(1);
  report(State, 1, 4, StartCommand + milliseconds(900));
  CHECK(stateOf(State, 0, Now) == MemberState::Suspected);
  CHECK_FALSE(isRoutable(State, 0, Now));
  CHECK(routableMembers(State, "pool", Now).size() == 3);
  CHECK(nextMembershipChange(State, StartCommand) ==
        StartCommand + milliseconds(950));
}

TEST_CASE("one late report does not make an endpoint suspected") {
  MembershipState State = linkedAgents(2);
  CHECK(stateOf(State, 0, StartCommand + milliseconds(900)) ==
        MemberState::Live);
}

TEST_CASE("a report makes a suspected or dead endpoint live at once") {
  MembershipState State = linkedAgents(2);
  const TimePoint Late = StartCommand + seconds(90);
  CHECK(stateOf(State, 0, Late) == MemberState::Dead);
  report(State, 0, 1, Late);
  CHECK(stateOf(State, 0, Late) == MemberState::Live);
}

TEST_CASE("suspicion removes at most half of a pool, the freshest stay") {
  MembershipState State = linkedAgents(5);
  report(State, 4, 5, StartCommand + milliseconds(10));
  const TimePoint Now = StartCommand + seconds(2);
  const auto Routable = routableMembers(State, "pool", Now);
  REQUIRE(Routable.size() == 3);
  CHECK(Routable[0] == RoutableMember{agentName(4), true});
}

TEST_CASE("a closed connection removes an endpoint without the floor") {
  MembershipState State = linkedAgents(2);
  for (int I = 0; I < 2; ++I)
    recordConnectionLoss(State, agentName(I), 1, StartCommand);
  CHECK(routableMembers(State, "pool", StartCommand).empty());
  recordConnection(State, agentName(0));
  CHECK(isRoutable(State, 0, StartCommand));
  report(State, 1, 2, StartCommand);
  CHECK(isRoutable(State, 1, StartCommand));
}

TEST_CASE("a late close of an older connection does not suspect a restart") {
  MembershipState State = linkedAgents(1);
  CHECK(recordMemberReport(State, agentName(0), 2, false, StartCommand) ==
        MessageOutcome::Restarted);
  recordConnectionLoss(State, agentName(0), 1, StartCommand);
  CHECK(stateOf(State, 0, StartCommand) == MemberState::Live);
  CHECK(recordMemberReport(State, agentName(0), 1, true, StartCommand) ==
        MessageOutcome::StaleIncarnation);
  CHECK(stateOf(State, 0, StartCommand) == MemberState::Live);
}

TEST_CASE("unanswered work outlasts reports: the link may be cut one way") {
  MembershipState State = linkedAgents(3);
  recordUnansweredWork(State, agentName(0), StartCommand);
  report(State, 0, 3, StartCommand + milliseconds(450));
  CHECK_FALSE(isRoutable(State, 0, StartCommand + milliseconds(450)));
  recordAnsweredWork(State, agentName(0), StartCommand + milliseconds(500));
  CHECK(isRoutable(State, 0, StartCommand + milliseconds(500)));
  recordUnansweredWork(State, agentName(0), StartCommand);
  report(State, 0, 3, StartCommand + seconds(5));
  CHECK(isRoutable(State, 0, StartCommand + seconds(5)));
  // The second try in a row waits twice as long; answered work starts anew.
  recordUnansweredWork(State, agentName(0), StartCommand + seconds(6));
  recordUnansweredWork(State, agentName(0), StartCommand + seconds(7));
  report(State, 0, 3, StartCommand + seconds(15));
  CHECK_FALSE(isRoutable(State, 0, StartCommand + seconds(15)));
  report(State, 0, 3, StartCommand + seconds(16));
  CHECK(isRoutable(State, 0, StartCommand + seconds(16)));
}

TEST_CASE("a leaving endpoint gets no work, whoever says that it leaves") {
  MembershipState State = linkedAgents(3);
  mergeMemberList(State, listOf(3, 0), StartCommand);
  recordMemberReport(State, agentName(1), 1, true, StartCommand);
  // A later report without the flag is older state of the same process.
  recordMemberReport(State, agentName(1), 1, false, StartCommand);
  CHECK(stateOf(State, 0, StartCommand) == MemberState::Draining);
  CHECK(stateOf(State, 1, StartCommand) == MemberState::Draining);
  CHECK(routableMembers(State, "pool", StartCommand).size() == 1);
  CHECK(presentMembers(State, StartCommand).size() == 1);
}

TEST_CASE("the check of NoWorkWhileLeaving fails when the mechanism is off") {
  ThrowOnViolation Guard;
  MembershipState State = linkedAgents(3);
  recordMemberReport(State, agentName(1), 1, true, StartCommand);
  ScopedFault Off(Invariant::NoWorkWhileLeaving);
  CHECK_THROWS_AS(routableMembers(State, "pool", StartCommand), Violated);
}

TEST_CASE("after an own pause only members heard since are routable") {
  MembershipState State = linkedAgents(4);
  const TimePoint Resumed = StartCommand + seconds(30);
  invalidateMemberStates(State, Resumed);
  CHECK(routableMembers(State, "pool", Resumed).empty());
  report(State, 0, 1, Resumed + milliseconds(10));
  CHECK(routableMembers(State, "pool", Resumed + milliseconds(10)).size() == 1);
  // Then the floor holds again.
  report(State, 0, 1, Resumed + milliseconds(900));
  CHECK(routableMembers(State, "pool", Resumed + milliseconds(960)).size() ==
        2);
}

TEST_CASE("a member that the list lost is kept while it reports") {
  MembershipState State = linkedAgents(2);
  mergeMemberList(State, listOf(1), StartCommand);
  report(State, 1, 2, StartCommand + milliseconds(450));
  CHECK(stateOf(State, 1, StartCommand + milliseconds(900)) ==
        MemberState::Live);
  CHECK(isRoutable(State, 1, StartCommand + milliseconds(900)));
  CHECK(stateOf(State, 1, StartCommand + seconds(2)) == MemberState::Dead);
  CHECK(removeDeadMembers(State, StartCommand + seconds(2)).empty());
  CHECK(removeDeadMembers(State, StartCommand + seconds(61)).size() == 1);
}

TEST_CASE("names from messages and lists cannot fill the memory") {
  MembershipState State;
  State.Settings.MaxMembers = 20;
  State.Settings.MaxUnlistedMembers = 5;
  for (int I = 0; I < 50; ++I)
    recordMemberReport(State, "unlisted-" + std::to_string(I), 1, false,
                       StartCommand);
  CHECK(State.Records.size() == 5);
  CHECK(State.RejectedCount == 45);
  // A silent unlisted member makes room; the list makes room at once.
  CHECK(
      recordMemberReport(State, "late", 1, false, StartCommand + seconds(1)) ==
      MessageOutcome::Joined);
  mergeMemberList(State, listOf(50), StartCommand);
  CHECK(State.Records.size() == 20);
  CHECK(State.Records.begin()->second.IsListed);
}

TEST_CASE(
    "members of other regions report less often in a large fleet, and are "
    "suspected later") {
  using std::chrono::milliseconds;
  CHECK(remoteReportInterval(milliseconds(400), 4) == milliseconds(400));
  CHECK(remoteReportInterval(milliseconds(400), 24) == milliseconds(800));
  CHECK(remoteReportInterval(milliseconds(400), 1000) == milliseconds(1200));
  MembershipState State;
  State.Settings.Region = "r1";
  State.Settings.SuspicionTimeout = milliseconds(1200);
  State.Settings.RemoteSuspicionTimeout = milliseconds(3600);
  State.Settings.MaxListDelay = std::chrono::seconds(10);
  Member Near;
  Near.Name = "near";
  Near.Region = "r1";
  Member Far;
  Far.Name = "far";
  Far.Region = "r2";
  const TimePoint Start = TimePoint{} + std::chrono::hours(1);
  mergeMemberList(State, {Near, Far}, Start);
  for (const char *Name : {"near", "far"}) {
    recordMemberReport(State, Name, 1, false, Start);
    setReportsExpected(State, Name, true, Start);
  }
  const auto StateOf = [&](const char *Name, milliseconds Later) {
    return memberState(State, State.Records.at(Name), Start + Later);
  };
  CHECK(StateOf("near", milliseconds(1100)) == MemberState::Live);
  CHECK(StateOf("near", milliseconds(1300)) == MemberState::Suspected);
  CHECK(StateOf("far", milliseconds(3500)) == MemberState::Live);
  CHECK(StateOf("far", milliseconds(3700)) == MemberState::Suspected);
}
