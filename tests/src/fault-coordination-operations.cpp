#include "request_world.hpp"

#include <doctest/doctest.h>
#include <set>

using namespace marigoldyard;
using namespace marigoldyard::test;

namespace {

/// How far an operation is when the fault strikes.
enum class Progress {
  OpenInOutbox,
  OpenOnLink,
  OpenedOnLink,
  Opened,
  RunInOutbox,
  RunOnLink,
  RunQueued,
  RunStarted,
  ResultOnLink,
  Answered,
};
constexpr Progress AllProgress[] = {
    Progress::OpenInOutbox, Progress::OpenOnLink,  Progress::OpenedOnLink,
    Progress::Opened,       Progress::RunInOutbox, Progress::RunOnLink,
    Progress::RunQueued,    Progress::RunStarted,  Progress::ResultOnLink,
    Progress::Answered};

enum class Fault {
  None,
  KillEntry,
  RestartAgent,
  Cut,
  Suspect,
  FreezeAndWakeLate,
  CallerLeaves,
  RepeatAtOtherEntry,
  ParallelRepeats,
  OwnFlood,   ///< the caller fills the table with fresh ids
  OtherFlood, ///< another caller fills it
};
constexpr Fault AllFaults[] = {Fault::None,
                               Fault::KillEntry,
                               Fault::RestartAgent,
                               Fault::Cut,
                               Fault::Suspect,
                               Fault::FreezeAndWakeLate,
                               Fault::CallerLeaves,
                               Fault::RepeatAtOtherEntry,
                               Fault::ParallelRepeats,
                               Fault::OwnFlood,
                               Fault::OtherFlood};

constexpr std::size_t First = 0;  ///< entry that the caller uses
constexpr std::size_t Second = 1; ///< entry that the caller uses after it
constexpr std::size_t Flood = 20;

struct Case {
  World Fleet{2, 1, {.Records = 6}};
  std::string OpenRequest;
  std::string RunRequest;
  std::string Operation;
};

/// Advances a fresh operation to the wanted point.
void advance(Case &Run, Progress Wanted) {
  World &Fleet = Run.Fleet;
  for (Progress Next : AllProgress) {
    switch (Next) {
    case Progress::OpenInOutbox:
      Run.OpenRequest = Fleet.open(First, "small");
      break;
    case Progress::OpenOnLink:
    case Progress::RunOnLink:
      REQUIRE(Fleet.leave(First, 0));
      break;
    case Progress::OpenedOnLink:
    case Progress::RunQueued:
      REQUIRE(Fleet.arrive(First, 0));
      break;
    case Progress::Opened:
      REQUIRE(Fleet.answer(First, 0));
      Run.Operation = Fleet.Requests[Run.OpenRequest].Answer;
      break;
    case Progress::RunInOutbox:
      Run.RunRequest = Fleet.run(First, "small", Run.Operation);
      break;
    case Progress::RunStarted:
    case Progress::ResultOnLink:
      REQUIRE(Fleet.work(0));
      break;
    case Progress::Answered:
      REQUIRE(Fleet.answer(First, 0));
      break;
    }
    if (Next == Wanted)
      return;
  }
}

void flood(Case &Run, const std::string &Caller) {
  for (std::size_t I = 0; I < Flood; ++I)
    CHECK(openOperation(Run.Fleet.Agents[0].Table, Caller, "ledger"));
}

void repeat(Case &Run, std::size_t Entry) {
  if (!Run.Operation.empty() && Run.Fleet.EntryAlive[Entry])
    Run.Fleet.run(Entry, "small", Run.Operation);
}

void strike(Case &Run, Fault Kind) {
  World &Fleet = Run.Fleet;
  switch (Kind) {
  case Fault::None:
    return;
  case Fault::KillEntry:
    return Fleet.killEntry(First);
  case Fault::RestartAgent:
    return Fleet.restartAgent(0);
  case Fault::Cut:
    return Fleet.cut(First, 0);
  case Fault::Suspect:
    return Fleet.suspect(First, 0);
  case Fault::FreezeAndWakeLate:
    Fleet.Agents[0].Frozen = true;
    Fleet.settle();
    Fleet.Agents[0].Frozen = false;
    return;
  case Fault::CallerLeaves:
    return Fleet.leaveCaller(Run.RunRequest.empty() ? Run.OpenRequest
                                                    : Run.RunRequest);
  case Fault::RepeatAtOtherEntry:
    return repeat(Run, Second);
  case Fault::ParallelRepeats:
    repeat(Run, First);
    repeat(Run, Second);
    return repeat(Run, Second);
  case Fault::OwnFlood:
    return flood(Run, "small");
  case Fault::OtherFlood:
    return flood(Run, "flooder");
  }
}

/// Whether the record of the operation outlives the fault at this point.
bool keepsRecord(Progress At, Fault Kind) {
  if (Kind == Fault::RestartAgent)
    return false;
  bool Running = At == Progress::RunQueued || At == Progress::RunStarted;
  return Kind != Fault::OwnFlood || Running;
}

/// Strikes the faults in turn, lets the caller repeat at another entry, and
/// checks the result of the repeat and the number of runs.
void check(Progress At, Fault FirstFault, Fault SecondFault) {
  CAPTURE(static_cast<int>(At));
  CAPTURE(static_cast<int>(FirstFault));
  CAPTURE(static_cast<int>(SecondFault));
  Case Run;
  advance(Run, At);
  strike(Run, FirstFault);
  strike(Run, SecondFault);
  Run.Fleet.settle();
  Run.Fleet.verify();
  bool Known = !Run.Operation.empty();
  bool Kept = keepsRecord(At, FirstFault) && keepsRecord(At, SecondFault);
  if (!Known) {
    std::string Opened = Run.Fleet.open(Second, "small");
    Run.Fleet.settle();
    Run.Operation = Run.Fleet.Requests[Opened].Answer;
  }
  std::string Repeat = Run.Fleet.run(Second, "small", Run.Operation);
  Run.Fleet.settle();
  Run.Fleet.verify();
  const FakeRequest &Last = Run.Fleet.Requests[Repeat];
  CHECK(Last.Answered);
  CHECK(Run.Fleet.Runs[Run.Operation] <= 1);
  if (!Known || Kept) {
    CHECK(Last.Result == Outcome::Complete);
    CHECK(Run.Fleet.Runs[Run.Operation] == 1);
  } else {
    CHECK(Last.Result == Outcome::Unknown);
  }
}

} // namespace

TEST_CASE(
    "an operation runs at most once and keeps its result under each fault "
    "at each point") {
  ThrowOnViolation Handler;
  for (Progress At : AllProgress)
    for (Fault Kind : AllFaults)
      check(At, Kind, Fault::None);
}

TEST_CASE("an operation runs at most once under each pair of faults, the same "
          "fault twice included") {
  ThrowOnViolation Handler;
  for (Progress At : AllProgress)
    for (Fault Former : AllFaults)
      for (Fault Latter : AllFaults)
        check(At, Former, Latter);
}

TEST_CASE(
    "a run that was withdrawn before sending is not_run, and one that may "
    "have been sent is not") {
  ThrowOnViolation Handler;
  const std::pair<Progress, Outcome> Expected[] = {
      {Progress::RunInOutbox, Outcome::Unknown},
      {Progress::RunOnLink, Outcome::Unknown},
      {Progress::RunQueued, Outcome::Unknown},
      {Progress::RunStarted, Outcome::Unknown},
      {Progress::ResultOnLink, Outcome::Unknown},
      {Progress::Answered, Outcome::Complete}};
  for (const auto &Row : Expected) {
    Progress At = Row.first;
    CAPTURE(static_cast<int>(At));
    Case Run;
    advance(Run, At);
    Run.Fleet.cut(First, 0);
    CHECK(Run.Fleet.Requests[Run.RunRequest].Answered);
    CHECK(Run.Fleet.Requests[Run.RunRequest].Result == Row.second);
  }
}

TEST_CASE("requests that wait for a running operation all get its result") {
  ThrowOnViolation Handler;
  Case Run;
  advance(Run, Progress::RunStarted);
  std::vector<std::string> Waiting;
  for (std::size_t I = 0; I < 8; ++I)
    Waiting.push_back(Run.Fleet.run(I % 2, "small", Run.Operation));
  Run.Fleet.settle();
  for (const std::string &Id : Waiting)
    CHECK(Run.Fleet.Requests[Id].Answer == "result of " + Run.Operation);
  CHECK(Run.Fleet.Runs[Run.Operation] == 1);
}

TEST_CASE(
    "an id of an earlier incarnation never runs, even when the counter is "
    "in use again") {
  ThrowOnViolation Handler;
  Case Run;
  advance(Run, Progress::Opened);
  Run.Fleet.restartAgent(0);
  Run.Fleet.open(Second, "small");
  Run.Fleet.settle();
  std::string Repeat = Run.Fleet.run(Second, "small", Run.Operation);
  Run.Fleet.settle();
  CHECK(Run.Fleet.Requests[Repeat].Result == Outcome::Unknown);
  CHECK(Run.Fleet.Runs.empty());
}

TEST_CASE("without its mechanism a repeat violates AtMostOnce at each point "
          "after the start") {
  ThrowOnViolation Handler;
  ScopedFault Switched(Invariant::AtMostOnce);
  for (Progress At :
       {Progress::RunStarted, Progress::ResultOnLink, Progress::Answered}) {
    Case Run;
    advance(Run, At);
    std::set<Invariant> Seen;
    try {
      repeat(Run, Second);
      Run.Fleet.settle();
    } catch (const Violated &Violation) {
      Seen.insert(Violation.Which);
    }
    CHECK(Seen == std::set<Invariant>{Invariant::AtMostOnce});
  }
}
