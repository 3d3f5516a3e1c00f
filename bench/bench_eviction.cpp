/// Compares rules of eviction in the bounded tables of limits and operations.
/// Virtual time, fixed seed, no arguments.

#include "marigoldyard/coordination/admission.hpp"
#include "marigoldyard/coordination/operation_table.hpp"

#include <cstdio>
#include <deque>
#include <string>

using namespace marigoldyard;

namespace {

constexpr std::uint64_t Seed = 20240817;
constexpr std::size_t Capacity = 4096;
constexpr Duration Length = std::chrono::seconds(60);

const char *ruleName(EvictionPolicy Rule) {
  switch (Rule) {
  case EvictionPolicy::OldestInsertion:
    return "oldest insertion";
  case EvictionPolicy::OldestAdmittedUse:
    return "oldest admitted use";
  case EvictionPolicy::OldestUse:
    return "oldest use";
  case EvictionPolicy::EarliestRefill:
    return "earliest recovery";
  }
  return "";
}

/// Failed authentications of one address, beside a flood of fresh addresses. An
/// offender that rests tries again once the flood filled the table anew.
void failedAuthentications(EvictionPolicy Rule, double FreshPerSecond,
                           Duration Rest) {
  FailedAuthentications Failures;
  Failures.Table = makeBucketTable(Capacity, Rule);
  std::uint64_t Admitted = 0;
  std::uint64_t Tries = 0;
  std::uint64_t Fresh = 0;
  constexpr Duration Tick = std::chrono::milliseconds(10);
  TimePoint NextTry{};
  double Due = 0.0;
  for (TimePoint Now{}; Now < TimePoint(Length); Now += Tick) {
    Due += FreshPerSecond * std::chrono::duration<double>(Tick).count();
    for (; Due >= 1.0; Due -= 1.0)
      recordFailedAuthentication(Failures, "fresh-" + std::to_string(Fresh++),
                                 Now);
    if (Now < NextTry)
      continue;
    ++Tries;
    if (admitAuthentication(Failures, "offender", Now).Admitted) {
      ++Admitted;
      recordFailedAuthentication(Failures, "offender", Now);
    } else {
      NextTry = Now + Rest;
    }
  }
  double Allowed = FailedAuthenticationLimit.Burst +
                   FailedAuthenticationLimit.PerSecond *
                       std::chrono::duration<double>(Length).count();
  std::printf("authentication  %-20s fresh %6.0f/s rest %4.1f s: %4llu of "
              "%llu tries admitted, limit %.0f\n",
              ruleName(Rule), FreshPerSecond,
              std::chrono::duration<double>(Rest).count(),
              static_cast<unsigned long long>(Admitted),
              static_cast<unsigned long long>(Tries), Allowed);
}

/// An offender among the callers of manifests. Caller names come from the
/// manifests, so fresh names end with them.
void callers(EvictionPolicy Rule, std::size_t Names) {
  BucketTable Table = makeBucketTable(Capacity, Rule);
  Random Source(Seed);
  Caller Customer;
  Customer.RequestsPerSecond = 1.0;
  Customer.Burst = 10.0;
  std::uint64_t Admitted = 0;
  for (TimePoint Now{}; Now < TimePoint(Length);
       Now += std::chrono::milliseconds(1)) {
    Customer.Name = "offender";
    Admitted += admitCaller(Table, "p", Customer, Now).Admitted ? 1 : 0;
    for (int I = 0; I < 5; ++I) {
      Customer.Name = std::to_string(Source() % Names);
      admitCaller(Table, "p", Customer, Now);
    }
  }
  std::printf("callers         %-20s %5zu callers: %4llu admitted, limit 70, "
              "evicted %llu\n",
              ruleName(Rule), Names, static_cast<unsigned long long>(Admitted),
              static_cast<unsigned long long>(Table.Evicted));
}

/// One caller opens and finishes operations and asks again for an old one now
/// and then; a second caller does so at a tenth of the rate.
void operations(bool Refresh, std::uint64_t FreshBetweenRepeats) {
  OperationLimits Limits;
  Limits.Records = Capacity;
  Limits.RefreshOnRepeat = Refresh;
  OperationTable Table = makeOperationTable("agent", 1, Limits);
  auto Run = [&](const char *Caller) {
    std::string Id = *openOperation(Table, Caller, "ledger");
    runOperation(Table, Id, Caller, {"entry", Id});
    finishOperation(Table, Id, {Outcome::Complete, 200, "ok"});
    return Id;
  };
  std::string Flooder = Run("flooder");
  std::string Small = Run("small");
  std::uint64_t Repeats = 0;
  std::uint64_t FlooderKept = 0;
  std::uint64_t SmallKept = 0;
  std::uint64_t RanAgain = 0;
  for (std::uint64_t I = 1; I <= 100'000; ++I) {
    Run("flooder");
    if (I % 100 == 0)
      Run("small");
    if (I % FreshBetweenRepeats != 0)
      continue;
    ++Repeats;
    RunDecision Own = runOperation(Table, Flooder, "flooder", {"e", "r"});
    RunDecision Other = runOperation(Table, Small, "small", {"e", "r"});
    FlooderKept += Own.Answer.Result == Outcome::Complete ? 1 : 0;
    SmallKept += Other.Answer.Result == Outcome::Complete ? 1 : 0;
    RanAgain += Own.Action == RunAction::Start ? 1 : 0;
  }
  std::printf("operations      refresh %-3s repeat each %5llu: of %llu repeats "
              "flooder kept %llu, small kept %llu, ran again %llu\n",
              Refresh ? "yes" : "no",
              static_cast<unsigned long long>(FreshBetweenRepeats),
              static_cast<unsigned long long>(Repeats),
              static_cast<unsigned long long>(FlooderKept),
              static_cast<unsigned long long>(SmallKept),
              static_cast<unsigned long long>(RanAgain));
}

} // namespace

int main() {
  for (double Fresh : {0.0, 1000.0, 10000.0})
    for (Duration Rest : {Duration(0), Duration(std::chrono::milliseconds(500)),
                          Duration(std::chrono::seconds(5))})
      for (EvictionPolicy Rule : AllEvictionPolicies)
        failedAuthentications(Rule, Fresh, Rest);
  for (std::size_t Names : {1000, 8192})
    for (EvictionPolicy Rule : AllEvictionPolicies)
      callers(Rule, Names);
  for (std::uint64_t Between : {100, 1000, 10000})
    for (bool Refresh : {false, true})
      operations(Refresh, Between);
  return 0;
}
