#include "configuration_support.hpp"
#include "marigoldyard/coordination/membership.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;
using namespace marigoldyard::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint Start{};

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
  updateList(State, listOf(Count), Start);
  for (int I = 0; I < Count; ++I) {
    setLinked(State, agentName(I), true, Start);
    reportReceived(State, agentName(I), 1, false, Start);
  }
  return State;
}

void report(MembershipState &State, int From, int To, TimePoint Now) {
  for (int I = From; I < To; ++I)
    reportReceived(State, agentName(I), 1, false, Now);
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

TEST_CASE("a dead endpoint gets no work after 1 s although the list names it") {
  MembershipState State = linkedAgents(4);
  const TimePoint Now = Start + seconds(1);
  report(State, 1, 4, Start + milliseconds(900));
  CHECK(stateOf(State, 0, Now) == MemberState::Suspected);
  CHECK_FALSE(isRoutable(State, 0, Now));
  CHECK(routableMembers(State, "pool", Now).size() == 3);
  CHECK(nextMembershipChange(State, Start) == Start + milliseconds(950));
}

TEST_CASE("one late report does not make an endpoint suspected") {
  MembershipState State = linkedAgents(2);
  CHECK(stateOf(State, 0, Start + milliseconds(900)) == MemberState::Live);
}

TEST_CASE("a report makes a suspected or dead endpoint live at once") {
  MembershipState State = linkedAgents(2);
  const TimePoint Late = Start + seconds(90);
  CHECK(stateOf(State, 0, Late) == MemberState::Dead);
  report(State, 0, 1, Late);
  CHECK(stateOf(State, 0, Late) == MemberState::Live);
}

TEST_CASE("suspicion removes at most half of a pool, the freshest stay") {
  MembershipState State = linkedAgents(5);
  report(State, 4, 5, Start + milliseconds(10));
  const TimePoint Now = Start + seconds(2);
  const auto Routable = routableMembers(State, "pool", Now);
  REQUIRE(Routable.size() == 3);
  CHECK(Routable[0] == RoutableMember{agentName(4), true});
}

TEST_CASE("a closed connection removes an endpoint without the floor") {
  MembershipState State = linkedAgents(2);
  for (int I = 0; I < 2; ++I)
    connectionLost(State, agentName(I), 1, Start);
  CHECK(routableMembers(State, "pool", Start).empty());
  connectionOpened(State, agentName(0));
  CHECK(isRoutable(State, 0, Start));
  report(State, 1, 2, Start);
  CHECK(isRoutable(State, 1, Start));
}

TEST_CASE("a late close of an older connection does not suspect a restart") {
  MembershipState State = linkedAgents(1);
  CHECK(reportReceived(State, agentName(0), 2, false, Start) ==
        MessageEvidence::Restarted);
  connectionLost(State, agentName(0), 1, Start);
  CHECK(stateOf(State, 0, Start) == MemberState::Live);
  CHECK(reportReceived(State, agentName(0), 1, true, Start) ==
        MessageEvidence::Outdated);
  CHECK(stateOf(State, 0, Start) == MemberState::Live);
}

TEST_CASE("unanswered work outlasts reports: the link may be cut one way") {
  MembershipState State = linkedAgents(3);
  workUnanswered(State, agentName(0), Start);
  report(State, 0, 3, Start + milliseconds(450));
  CHECK_FALSE(isRoutable(State, 0, Start + milliseconds(450)));
  workAnswered(State, agentName(0), Start + milliseconds(500));
  CHECK(isRoutable(State, 0, Start + milliseconds(500)));
  workUnanswered(State, agentName(0), Start);
  report(State, 0, 3, Start + seconds(5));
  CHECK(isRoutable(State, 0, Start + seconds(5)));
  // The second try in a row waits twice as long; answered work starts anew.
  workUnanswered(State, agentName(0), Start + seconds(6));
  workUnanswered(State, agentName(0), Start + seconds(7));
  report(State, 0, 3, Start + seconds(15));
  CHECK_FALSE(isRoutable(State, 0, Start + seconds(15)));
  report(State, 0, 3, Start + seconds(16));
  CHECK(isRoutable(State, 0, Start + seconds(16)));
}

TEST_CASE("a leaving endpoint gets no work, whoever says that it leaves") {
  MembershipState State = linkedAgents(3);
  updateList(State, listOf(3, 0), Start);
  reportReceived(State, agentName(1), 1, true, Start);
  // A later report without the flag is older state of the same process.
  reportReceived(State, agentName(1), 1, false, Start);
  CHECK(stateOf(State, 0, Start) == MemberState::Leaving);
  CHECK(stateOf(State, 1, Start) == MemberState::Leaving);
  CHECK(routableMembers(State, "pool", Start).size() == 1);
  CHECK(presentMembers(State, Start).size() == 1);
}

TEST_CASE("the check of NoWorkWhileLeaving fails when the mechanism is off") {
  ThrowOnViolation Guard;
  MembershipState State = linkedAgents(3);
  reportReceived(State, agentName(1), 1, true, Start);
  ScopedFault Off(Invariant::NoWorkWhileLeaving);
  CHECK_THROWS_AS(routableMembers(State, "pool", Start), Violated);
}

TEST_CASE("after an own pause only members heard since are routable") {
  MembershipState State = linkedAgents(4);
  const TimePoint Resumed = Start + seconds(30);
  voidViews(State, Resumed);
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
  updateList(State, listOf(1), Start);
  report(State, 1, 2, Start + milliseconds(450));
  CHECK(stateOf(State, 1, Start + milliseconds(900)) == MemberState::Live);
  CHECK(isRoutable(State, 1, Start + milliseconds(900)));
  CHECK(stateOf(State, 1, Start + seconds(2)) == MemberState::Dead);
  CHECK(removeDeadMembers(State, Start + seconds(2)).empty());
  CHECK(removeDeadMembers(State, Start + seconds(61)).size() == 1);
}

TEST_CASE("names from messages and lists cannot fill the memory") {
  MembershipState State;
  State.Settings.MaxMembers = 20;
  State.Settings.MaxUnlisted = 5;
  for (int I = 0; I < 50; ++I)
    reportReceived(State, "unlisted-" + std::to_string(I), 1, false, Start);
  CHECK(State.Records.size() == 5);
  CHECK(State.Refused == 45);
  // A silent unlisted member makes room; the list makes room at once.
  CHECK(reportReceived(State, "late", 1, false, Start + seconds(1)) ==
        MessageEvidence::Joined);
  updateList(State, listOf(50), Start);
  CHECK(State.Records.size() == 20);
  CHECK(State.Records.begin()->second.InList);
}
