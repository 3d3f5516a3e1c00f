#include "configuration_support.hpp"
#include "marigoldyard/coordination/membership.hpp"

#include <cstdlib>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace marigoldyard;
using namespace marigoldyard::test;
using std::chrono::milliseconds;

namespace {

const int FixedSeed =
    setenv("RC_PARAMS", "seed=20261204 max_success=300 max_size=200", 0);

constexpr int Names = 12;

std::string nameOf(int I) { return "vm-" + std::to_string(I); }

std::string anyName() { return nameOf(*rc::gen::inRange(0, Names)); }

std::vector<Member> anyList() {
  std::vector<Member> List;
  for (int I = 0; I < Names; ++I)
    if (*rc::gen::inRange(0, 4) != 0)
      List.push_back({nameOf(I), "", MemberKind::Endpoint, "r", "f",
                      I % 3 == 0 ? "b" : "a", *rc::gen::inRange(0, 9) == 0});
  return List;
}

void applyAnyEvent(MembershipState &State, TimePoint Now) {
  const std::string Name = anyName();
  switch (*rc::gen::inRange(0, 12)) {
  case 0:
    return mergeMemberList(State, anyList(), Now);
  case 1:
    return recordConnectionLoss(State, Name,
                                *rc::gen::inRange<Incarnation>(0, 4), Now);
  case 2:
    return recordConnection(State, Name);
  case 3:
    return recordUnansweredWork(State, Name, Now);
  case 4:
    return recordAnsweredWork(State, Name, Now);
  case 5:
    if (*rc::gen::inRange(0, 4) == 0)
      invalidateMemberStates(State, Now);
    return;
  case 6:
    removeDeadMembers(State, Now);
    return;
  case 7:
  case 8:
    return setReportsExpected(State, Name, *rc::gen::inRange(0, 5) != 0, Now);
  default:
    recordMemberReport(State, Name, *rc::gen::inRange<Incarnation>(1, 4),
                       *rc::gen::inRange(0, 12) == 0, Now);
  }
}

bool voided(const MembershipState &State, TimePoint Now) {
  return State.LastPauseEndedAt &&
         Now - *State.LastPauseEndedAt < State.Settings.SuspicionTimeout;
}

/// A member that is routable without suspicion was heard of in time and nothing
/// speaks against it.
void checkUnsuspected(const MembershipState &State, const MemberRecord &Record,
                      TimePoint Now) {
  const MembershipSettings &Limits = State.Settings;
  RC_ASSERT(memberState(State, Record, Now) == MemberState::Live);
  TimePoint Since = Record.ReportsExpectedSince;
  for (const auto &Heard : {Record.LastReceived, State.LastPauseEndedAt})
    Since = Heard ? std::max(Since, *Heard) : Since;
  RC_ASSERT(Now - Since < Limits.SuspicionTimeout);
  RC_ASSERT(!Record.UnansweredAt ||
            Now - *Record.UnansweredAt >= Record.CurrentBackoff);
}

void checkPool(const MembershipState &State, std::string_view Pool,
               TimePoint Now) {
  const auto Routable = routableMembers(State, Pool, Now);
  std::size_t Candidates = 0;
  for (const auto &[Name, Record] : State.Records) {
    const MemberState Current = memberState(State, Record, Now);
    if (Record.ExpectsReports && Record.Description.Pool == Pool &&
        !Record.ConnectionLostAt && Current != MemberState::Dead &&
        Current != MemberState::Draining)
      ++Candidates;
  }
  for (const RoutableMember &Each : Routable) {
    const MemberRecord &Record = State.Records.find(Each.Name)->second;
    RC_ASSERT(Record.Description.Pool == Pool);
    RC_ASSERT(!Record.ConnectionLostAt);
    RC_ASSERT(!Record.ReportedDraining);
    RC_ASSERT(!(Record.IsListed && Record.Description.Draining));
    if (voided(State, Now))
      RC_ASSERT(Record.LastReceived &&
                *Record.LastReceived >= *State.LastPauseEndedAt);
    if (!Each.Suspected)
      checkUnsuspected(State, Record, Now);
  }
  RC_ASSERT(Routable.size() <= Candidates);
  if (!voided(State, Now))
    RC_ASSERT(Routable.size() >= Candidates - Candidates / 2);
}

void anyInterleaving() {
  MembershipState State;
  State.Settings.MaxMembers = 10;
  State.Settings.MaxUnlistedMembers = 4;
  TimePoint Now{};
  std::map<std::string, Incarnation> Starts;
  const int Events = *rc::gen::inRange(0, 150);
  for (int I = 0; I < Events; ++I) {
    Now += milliseconds(*rc::gen::weightedElement<int>(
        {{6, 1}, {4, 100}, {3, 450}, {1, 2000}, {1, 61'000}}));
    applyAnyEvent(State, Now);
    RC_ASSERT(State.Records.size() <= State.Settings.MaxMembers);
    for (std::string_view Pool : {"a", "b"})
      checkPool(State, Pool, Now);
    // A recorded incarnation never goes back.
    std::map<std::string, Incarnation> Current;
    for (const auto &[Name, Record] : State.Records) {
      if (const auto It = Starts.find(Name); It != Starts.end())
        RC_ASSERT(Record.CurrentIncarnation >= It->second);
      Current[Name] = Record.CurrentIncarnation;
    }
    Starts = std::move(Current);
  }
}

} // namespace

TEST_CASE("no interleaving of evidence routes to a leaving or silent endpoint, "
          "empties a pool or grows the table") {
  ThrowOnViolation Guard;
  CHECK(rc::check(anyInterleaving));
}

TEST_CASE("the interleavings find work for a leaving endpoint") {
  ThrowOnViolation Guard;
  ScopedFault Off(Invariant::NoWorkWhileLeaving);
  MembershipState State;
  mergeMemberList(State,
                  {{"vm-0", "", MemberKind::Endpoint, "r", "f", "a", true}},
                  TimePoint{});
  setReportsExpected(State, "vm-0", true, TimePoint{});
  CHECK_THROWS_AS(checkPool(State, "a", TimePoint{}), Violated);
}
