#include "random_seed.hpp"
#include "request_world.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace marigoldyard;
using namespace marigoldyard::test;

namespace {

constexpr std::size_t EntryCount = 2;
constexpr std::size_t AgentCount = 3;

enum class Move {
  Complete,
  CompleteOnce, ///< not idempotent
  Open,
  Run,
  Leave,
  Arrive,
  Work,
  Answer,
  Pass,
  Cut,
  Suspect,
  KillEntry,
  RestartAgent,
  Freeze,
  Wake,
  Refuse,
  Swap,
  CallerLeaves,
  Count,
};

/// One move and the numbers that choose entry, agent and object.
using Choice = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;

std::string pickOperation(const World &Fleet, std::uint8_t Number) {
  std::vector<std::string> Opened;
  for (const auto &[Id, Request] : Fleet.Requests)
    if (Request.State.Kind == RequestKind::OperationOpen &&
        Request.Result == Outcome::Complete)
      Opened.push_back(Request.Answer);
  return Opened.empty() ? "" : Opened[Number % Opened.size()];
}

void begin(World &Fleet, Move Kind, std::size_t Entry, std::uint8_t Number) {
  if (!Fleet.EntryAlive[Entry])
    return;
  std::string Caller = Number % 4 == 0 ? "flooder" : "small";
  if (Kind == Move::Complete) {
    Fleet.completion(Entry, true, Number % 2 == 0);
  } else if (Kind == Move::CompleteOnce) {
    Fleet.completion(Entry, false, Number % 2 == 0);
  } else if (Kind == Move::Open) {
    Fleet.open(Entry, Caller);
  } else {
    std::string Operation = pickOperation(Fleet, Number);
    if (!Operation.empty())
      Fleet.run(Entry, Caller, Operation);
  }
}

void disturb(World &Fleet, Move Kind, std::size_t Entry, std::size_t Agent,
             std::uint8_t Number) {
  FakeAgent &Target = Fleet.Agents[Agent];
  switch (Kind) {
  case Move::Cut:
    return Fleet.cut(Entry, Agent);
  case Move::Suspect:
    return Fleet.suspect(Entry, Agent);
  case Move::KillEntry:
    // One entry always stays, so that the run keeps making progress.
    return Entry == 0 ? void() : Fleet.killEntry(Entry);
  case Move::RestartAgent:
    return Fleet.restartAgent(Agent);
  case Move::Freeze:
    Target.Frozen = true;
    return;
  case Move::Wake:
    Target.Frozen = false;
    return;
  case Move::Refuse:
    Target.Refusing = !Target.Refusing;
    return;
  case Move::Swap:
    Target.Weights = Target.Weights == "w1" ? "w2" : "w1";
    return;
  default:
    if (!Fleet.Requests.empty())
      Fleet.leaveCaller(
          std::next(Fleet.Requests.begin(),
                    static_cast<std::ptrdiff_t>(Number % Fleet.Requests.size()))
              ->first);
    return;
  }
}

/// Makes a move of the wanted kind on the first link, from a random one on,
/// that has something to move.
void progress(World &Fleet, Move Kind, std::size_t Place) {
  for (std::size_t I = 0; I < EntryCount * AgentCount; ++I, ++Place) {
    std::size_t Entry = Place % EntryCount;
    std::size_t Agent = Place / EntryCount % AgentCount;
    bool Moved = Kind == Move::Leave    ? Fleet.leave(Entry, Agent)
                 : Kind == Move::Arrive ? Fleet.arrive(Entry, Agent)
                 : Kind == Move::Work   ? Fleet.work(Agent)
                                        : Fleet.answer(Entry, Agent);
    if (Moved)
      return;
  }
}

/// Three of four moves begin or advance requests, so that most faults strike
/// work in progress.
Move kindOf(std::uint8_t Number) {
  constexpr int Regular = static_cast<int>(Move::Pass);
  if (Number % 4 != 0)
    return static_cast<Move>(Number / 4 % Regular);
  return static_cast<Move>(
      Regular + Number / 4 % (static_cast<int>(Move::Count) - Regular));
}

void apply(World &Fleet, const Choice &Wanted) {
  auto [First, Place, Number] = Wanted;
  Move Kind = kindOf(First);
  std::size_t Entry = Place % EntryCount;
  std::size_t Agent = Place / EntryCount % AgentCount;
  switch (Kind) {
  case Move::Complete:
  case Move::CompleteOnce:
  case Move::Open:
  case Move::Run:
    return begin(Fleet, Kind, Entry, Number);
  case Move::Leave:
  case Move::Arrive:
  case Move::Work:
  case Move::Answer:
    return progress(Fleet, Kind, Place);
  case Move::Pass:
    return Fleet.pass(std::chrono::milliseconds(Number));
  default:
    return disturb(Fleet, Kind, Entry, Agent, Number);
  }
}

/// Applies the moves, then lets everything that still can happen.
void play(const std::vector<Choice> &Moves) {
  OperationLimits Small;
  Small.Records = 4;
  Small.AnswerBytes = 100;
  World Fleet(EntryCount, AgentCount, Small);
  for (const Choice &Wanted : Moves) {
    apply(Fleet, Wanted);
    Fleet.verify();
  }
  for (FakeAgent &Agent : Fleet.Agents)
    Agent.Frozen = false;
  Fleet.settle();
  Fleet.verify();
  for (const auto &[Id, Request] : Fleet.Requests)
    RC_ASSERT(!Fleet.EntryAlive[Request.Entry] || Request.Answered ||
              Request.State.Abandoned);
}

rc::Gen<std::vector<Choice>> moves() {
  return rc::gen::scale(10.0, rc::gen::arbitrary<std::vector<Choice>>());
}

} // namespace

TEST_CASE("no interleaving of faults gives a false not_run, a second run or a "
          "wrong answer") {
  ThrowOnViolation Handler;
  CHECK(rc::check([] { play(*moves()); }));
}

TEST_CASE("the random moves reach each outcome and each run action, so that "
          "the property is not vacuous") {
  ThrowOnViolation Handler;
  std::set<Outcome> Seen;
  std::uint64_t Runs = 0;
  std::uint64_t Retried = 0;
  Random Source(20240817);
  for (int Round = 0; Round < 300; ++Round) {
    World Fleet(EntryCount, AgentCount);
    for (int I = 0; I < 200; ++I)
      apply(Fleet, {static_cast<std::uint8_t>(Source()),
                    static_cast<std::uint8_t>(Source()),
                    static_cast<std::uint8_t>(Source())});
    Fleet.settle();
    Fleet.verify();
    for (const auto &[Id, Request] : Fleet.Requests) {
      if (Request.Answered)
        Seen.insert(Request.Result);
      Retried += Request.State.Attempts.size() > 1 ? 1 : 0;
    }
    Runs += Fleet.Runs.size();
  }
  CHECK(Seen.size() == std::size(AllOutcomes));
  CHECK(Runs > 0);
  CHECK(Retried > 0);
}

TEST_CASE("without its mechanism each invariant of requests is reported as "
          "violated") {
  ThrowOnViolation Handler;
  for (Invariant Target : {Invariant::NotRunProof, Invariant::AtMostOnce,
                           Invariant::UnmixedWeights}) {
    CAPTURE(invariantName(Target));
    ScopedFault Fault(Target);
    Random Source(20240817);
    std::set<Invariant> Seen;
    for (int Round = 0; Round < 100; ++Round) {
      World Fleet(EntryCount, AgentCount);
      try {
        for (int I = 0; I < 200; ++I)
          apply(Fleet, {static_cast<std::uint8_t>(Source()),
                        static_cast<std::uint8_t>(Source()),
                        static_cast<std::uint8_t>(Source())});
        Fleet.settle();
      } catch (const Violated &Violation) {
        Seen.insert(Violation.Which);
      }
    }
    CHECK(Seen == std::set<Invariant>{Target});
  }
}
