#include "configuration_support.hpp"

#include <doctest/doctest.h>
#include <memory>
#include <string_view>

using namespace marigoldyard;
using namespace marigoldyard::test;
using namespace marigoldyard::fleet;

namespace {

/// Ways in which the distribution of a configuration fails.
enum class ServiceFault {
  Stale,
  Down,
  Slow,
  FlappingOldNew,
  ConflictingDigest,
  InvalidValue,
  IndexAheadOfKeys,
  HalfPartitioned,
  RestartWhileStale,
};
constexpr ServiceFault AllServiceFaults[] = {
    ServiceFault::Stale,
    ServiceFault::Down,
    ServiceFault::Slow,
    ServiceFault::FlappingOldNew,
    ServiceFault::ConflictingDigest,
    ServiceFault::InvalidValue,
    ServiceFault::IndexAheadOfKeys,
    ServiceFault::HalfPartitioned,
    ServiceFault::RestartWhileStale,
};
static_assert(std::size(AllServiceFaults) ==
              std::size_t(ServiceFault::RestartWhileStale) + 1);

/// Step of a configuration change at which the fault begins.
enum class Moment { AtStart, BeforeChange, DuringChange, AfterChange };
constexpr Moment AllMoments[] = {Moment::AtStart, Moment::BeforeChange,
                                 Moment::DuringChange, Moment::AfterChange};

constexpr Revision First = 10;
constexpr Revision Second = 11;
constexpr Revision Last = 12;
constexpr std::uint64_t Seeds = 5;
constexpr Duration InForceBound = seconds(17);
constexpr Duration FlapPeriod = milliseconds(700);
constexpr Duration FaultLength = seconds(20);
constexpr TimePoint Change{seconds(30)};

TimePoint beginOf(Moment When) {
  switch (When) {
  case Moment::AtStart:
    return TimePoint{} + milliseconds(1);
  case Moment::BeforeChange:
    return Change - seconds(10);
  case Moment::DuringChange:
    return Change + milliseconds(1);
  case Moment::AfterChange:
    return Change + seconds(5);
  }
  return {};
}

bool inSecondHalf(std::size_t I) { return I % 2 == 1; }

ConfigurationIndex conflicting(ConfigurationIndex Index) {
  Index.Values.begin()->second = "conflict";
  return Index;
}

/// A fleet in which faults can be switched on and off. Faults that change what
/// the service serves are looked up at each read, so that two can overlap.
struct Scenario {
  Fleet Run;
  std::map<ServiceFault, int> Active;
  std::map<std::size_t, Revision> Highest; ///< by process, since its start
  ConfigurationIndex Older;

  explicit Scenario(std::uint64_t Seed)
      : Run([&] {
          Options Chosen;
          Chosen.Processes = 24;
          Chosen.Products = 3;
          Chosen.Seed = Seed;
          return Chosen;
        }()) {
    Run.Served = [this](std::size_t I) { return served(I); };
    Run.ServedValue = [this](const std::string &Key, const Digest &Id) {
      if (on(ServiceFault::InvalidValue) && Id == "p0@11")
        return invalidValue(Key, Id);
      if (on(ServiceFault::IndexAheadOfKeys))
        return makeValue(Key, "earlier");
      return makeValue(Key, Id);
    };
    Run.ReachesService = [this](std::size_t I) {
      return !on(ServiceFault::HalfPartitioned) || !inSecondHalf(I);
    };
    Run.Reach = [this](std::size_t A, std::size_t B) {
      return !on(ServiceFault::HalfPartitioned) ||
             inSecondHalf(A) == inSecondHalf(B);
    };
  }

  bool on(ServiceFault Which) const {
    const auto It = Active.find(Which);
    return It != Active.end() && It->second > 0;
  }

  ConfigurationIndex served(std::size_t I) const {
    // The period is no divisor of the wait of a watch, so that watches end at
    // both values.
    const bool Odd = Run.Now.time_since_epoch() / FlapPeriod % 2 == 1;
    if (Older.ConfigRevision != 0 &&
        (on(ServiceFault::Stale) || on(ServiceFault::RestartWhileStale) ||
         (on(ServiceFault::FlappingOldNew) && Odd)))
      return Older;
    if (on(ServiceFault::ConflictingDigest) && inSecondHalf(I))
      return conflicting(Run.Published);
    return Run.Published;
  }

  void publish(Revision Number) {
    Older = Run.Published;
    Run.publish(Number);
  }

  void begin(ServiceFault Which) {
    ++Active[Which];
    if (Which == ServiceFault::Down)
      Run.setServiceUp(false);
    if (Which == ServiceFault::Slow)
      Run.ServiceDelay = milliseconds(1500);
    if (Which == ServiceFault::RestartWhileStale)
      for (std::size_t I = 0; I < Run.Processes.size(); I += 2) {
        Run.restart(I);
        Highest.erase(I);
      }
  }

  void end(ServiceFault Which) {
    --Active[Which];
    if (Which == ServiceFault::Down && !on(Which))
      Run.setServiceUp(true);
    if (Which == ServiceFault::Slow && !on(Which))
      Run.ServiceDelay = Duration(0);
  }

  /// No process ever goes back, whatever happens.
  void checkNeverLower() {
    for (std::size_t I = 0; I < Run.Processes.size(); ++I) {
      const Revision Now = activeRevision(Run.Processes[I].State);
      CHECK(Now >= Highest[I]);
      Highest[I] = std::max(Highest[I], Now);
    }
  }

  void runChecked(TimePoint End) {
    while (Run.Now < End) {
      Run.runUntil(std::min(End, Run.Now + milliseconds(500)));
      checkNeverLower();
    }
  }
};

/// Revision that must be in force everywhere 17 s after the fault is over and
/// before anything else is published.
Revision expectedAfter(ServiceFault Which) {
  switch (Which) {
  case ServiceFault::InvalidValue:
  case ServiceFault::ConflictingDigest:
    return First; // Refused until the operator publishes a higher revision.
  case ServiceFault::Stale:
  case ServiceFault::Down:
  case ServiceFault::Slow:
  case ServiceFault::FlappingOldNew:
  case ServiceFault::IndexAheadOfKeys:
  case ServiceFault::HalfPartitioned:
  case ServiceFault::RestartWhileStale:
    return Second;
  }
  return 0;
}

void runCase(const std::vector<std::pair<ServiceFault, Moment>> &Faults,
             std::uint64_t Seed) {
  ThrowOnViolation Guard;
  Scenario Test(Seed);
  Test.publish(First);
  TimePoint Over = Change;
  Revision Expected = Second;
  for (const auto &[Which, When] : Faults) {
    const TimePoint Begin = beginOf(When);
    Test.Run.at(Begin, [&Test, F = Which] { Test.begin(F); });
    Test.Run.at(Begin + FaultLength, [&Test, F = Which] { Test.end(F); });
    Over = std::max(Over, Begin + FaultLength);
    Expected = std::min(Expected, expectedAfter(Which));
  }
  Test.Run.at(Change, [&Test] { Test.publish(Second); });
  Test.runChecked(Over + InForceBound);
  CHECK(Test.Run.timeToAll(Expected, Over));
  const TimePoint Published = Test.Run.Now;
  Test.publish(Last);
  Test.runChecked(Published + InForceBound);
  CHECK(Test.Run.timeToAll(Last, Published));
  for (const Process &Each : Test.Run.Processes)
    CHECK(Each.State.ActiveConfiguration->Index == Test.Run.Published);
}

} // namespace

TEST_CASE("a change is in force within 17 s of each fault at each moment") {
  for (const ServiceFault Which : AllServiceFaults)
    for (const Moment When : AllMoments) {
      CAPTURE(int(Which));
      CAPTURE(int(When));
      for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
        runCase({{Which, When}}, Seed);
    }
}

TEST_CASE("a change is in force within 17 s of each pair of faults") {
  for (const ServiceFault One : AllServiceFaults)
    for (const ServiceFault Two : AllServiceFaults) {
      CAPTURE(int(One));
      CAPTURE(int(Two));
      for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
        runCase({{One, Moment::BeforeChange}, {Two, Moment::DuringChange}},
                Seed);
    }
}

TEST_CASE("a process that restarts while the service is stale takes the "
          "highest revision before it is ready") {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    Scenario Test(Seed);
    Test.publish(First);
    Test.Run.at(Change, [&] { Test.publish(Second); });
    Test.runChecked(Change + seconds(5));
    Test.begin(ServiceFault::RestartWhileStale);
    const TimePoint End = Test.Run.Now + seconds(30);
    while (Test.Run.Now < End) {
      Test.Run.runUntil(Test.Run.Now + milliseconds(20));
      for (const Process &Each : Test.Run.Processes)
        if (isConfigurationReady(Each.State, Test.Run.Now))
          CHECK(activeRevision(Each.State) == Second);
    }
    for (const Process &Each : Test.Run.Processes)
      CHECK(isConfigurationReady(Each.State, Test.Run.Now));
  }
}

TEST_CASE("the half that reaches the service is served during a partition") {
  Scenario Test(9);
  Test.publish(First);
  Test.Run.at(Change - seconds(1),
              [&] { Test.begin(ServiceFault::HalfPartitioned); });
  Test.Run.at(Change, [&] { Test.publish(Second); });
  Test.runChecked(Change + InForceBound);
  CHECK(Test.Run.timeToAll(Second, Change,
                           [](std::size_t I) { return !inSecondHalf(I); }));
  for (std::size_t I = 1; I < Test.Run.Processes.size(); I += 2)
    CHECK(activeRevision(Test.Run.Processes[I].State) == First);
}

TEST_CASE("a service that flaps lowers the revision when the mechanism that "
          "prevents it is off, and the check shows it") {
  ScopedFault Off(Invariant::RevisionNeverLower);
  CHECK_THROWS_AS(
      runCase({{ServiceFault::FlappingOldNew, Moment::DuringChange}}, 1),
      Violated);
}
