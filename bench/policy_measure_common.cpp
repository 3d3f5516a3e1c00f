#include "bench/policy_engine_common.hpp"
#include "bench/policy_run_common.hpp"

#include "marigoldyard/coordination/scheduler.hpp"

#include <algorithm>

namespace marigoldyard::bench {

namespace {

/// Service must be back to normal after this time.
constexpr Duration RecoveryTime = std::chrono::seconds(10);
/// Requests near the end of a trace could not complete within it.
constexpr Duration Tail = std::chrono::seconds(20);

double seconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

bool inTime(const Request &Source, const RequestRecord &Record) {
  return Record.Done >= Duration::zero() &&
         Record.Done - Source.Arrival <= Deadlines[rankIndex(Source.Priority)];
}

double servedOf(const Request &Source) {
  return static_cast<double>(
      tokenCost(Source.PromptTokens, Source.AnswerTokens));
}

using CallerLoads = std::array<std::array<double, CallerCount>, RankCount>;

/// Load that the callers in fact offered during the event, in capacities. The
/// drawn requests of a caller differ from its mean load by several percent.
CallerLoads offeredLoads(const Trace &Source, const RunResult &Result) {
  CallerLoads Loads{};
  for (const Request &Item : Result.Requests)
    if (Item.Arrival >= Source.EventFrom && Item.Arrival < Source.EventTo)
      Loads[rankIndex(Item.Priority)][Item.CallerIndex] +=
          engineSeconds(Item.PromptTokens, Item.AnswerTokens) /
          seconds(Source.EventTo - Source.EventFrom) / ServerCount;
  return Loads;
}

/// Share of the fleet that a rank is entitled to: its floor, or what the floors
/// of the ranks below and the load of the ranks above leave to it.
double entitledLoad(const Trace &Source, std::size_t Index,
                    const std::array<double, RankCount> &Floors) {
  const double Capacity =
      static_cast<double>(ServerCount - Source.ServersLost) / ServerCount;
  double Left = Capacity;
  for (std::size_t I = 0; I < RankCount; ++I)
    if (I != Index)
      Left -= I > Index
                  ? std::min(Floors[I] * Capacity, Source.Periods[1].Load[I])
                  : Source.Periods[1].Load[I];
  return std::max(Floors[Index] * Capacity, Left);
}

bool smallWithinShare(const Trace &Source, const Request &Item,
                      const CallerLoads &Offered,
                      const std::array<double, RankCount> &Floors) {
  const std::size_t Index = rankIndex(Item.Priority);
  return Item.CallerIndex >= LargeCallers &&
         Offered[Index][Item.CallerIndex] <=
             entitledLoad(Source, Index, Floors) / CallerCount;
}

double ratio(double Part, double Whole) { return Whole > 0 ? Part / Whole : 1; }

/// Requests that could be answered within the trace.
bool counted(const Trace &Source, const Request &Item, Duration From,
             Duration To) {
  return Item.Arrival >= From && Item.Arrival < To &&
         Item.Arrival < Source.Length - Tail;
}

/// Work completed in time within the event, by rank and in engine seconds.
void measureService(const Trace &Source, const RunResult &Result,
                    Measures &Out) {
  double Served = 0;
  std::array<double, RankCount> EngineTime{};
  for (std::size_t I = 0; I < Result.Requests.size(); ++I) {
    const Request &Item = Result.Requests[I];
    const RequestRecord &Record = Result.Records[I];
    if (!inTime(Item, Record) ||
        Record.Done < Source.EventFrom + RecoveryTime ||
        Record.Done >= Source.EventTo)
      continue;
    Out.TokenShare[rankIndex(Item.Priority)] += servedOf(Item);
    Served += servedOf(Item);
    EngineTime[rankIndex(Item.Priority)] +=
        engineSeconds(Item.PromptTokens, Item.AnswerTokens);
  }
  for (double &Share : Out.TokenShare)
    Share = ratio(Share, Served);
  const double Window =
      seconds(Source.EventTo - Source.EventFrom - RecoveryTime);
  Out.Goodput = (EngineTime[0] + EngineTime[1] + EngineTime[2]) / Window /
                static_cast<double>(ServerCount - Source.ServersLost) /
                saturatedCapacity(EngineTime);
}

void measureArrivals(const Trace &Source, const RunResult &Result,
                     const std::array<double, RankCount> &Floors,
                     Measures &Out) {
  std::array<std::vector<double>, RankCount> First;
  std::array<std::vector<double>, RankCount> Start;
  const CallerLoads Loads = offeredLoads(Source, Result);
  std::array<double, RankCount> InTime{};
  std::array<double, RankCount> Offered{};
  std::array<double, RankCount> SmallInTime{};
  std::array<double, RankCount> Small{};
  for (std::size_t I = 0; I < Result.Requests.size(); ++I) {
    const Request &Item = Result.Requests[I];
    const RequestRecord &Record = Result.Records[I];
    const std::size_t Index = rankIndex(Item.Priority);
    if (!counted(Source, Item, Source.EventFrom, Source.EventTo))
      continue;
    ++Offered[Index];
    InTime[Index] += inTime(Item, Record);
    if (Record.FirstToken >= Duration::zero())
      First[Index].push_back(seconds(Record.FirstToken - Item.Arrival));
    if (Record.Started >= Duration::zero())
      Start[Index].push_back(seconds(Record.Started - Item.Arrival));
    if (smallWithinShare(Source, Item, Loads, Floors)) {
      ++Small[Index];
      SmallInTime[Index] += inTime(Item, Record);
    }
  }
  for (std::size_t I = 0; I < RankCount; ++I) {
    Out.FirstTokenP95[I] = quantile(First[I], 0.95);
    Out.StartP95[I] = quantile(Start[I], 0.95);
    Out.InDeadline[I] = ratio(InTime[I], Offered[I]);
    Out.SmallInDeadline[I] = ratio(SmallInTime[I], Small[I]);
  }
}

void measureRecovery(const Trace &Source, const RunResult &Result,
                     Measures &Out) {
  std::array<std::vector<double>, RankCount> First;
  double InTime = 0;
  double Offered = 0;
  for (std::size_t I = 0; I < Result.Requests.size(); ++I) {
    const Request &Item = Result.Requests[I];
    const RequestRecord &Record = Result.Records[I];
    if (!counted(Source, Item, Source.EventTo + RecoveryTime, Source.Length))
      continue;
    ++Offered;
    if (Record.FirstToken >= Duration::zero()) {
      ++InTime;
      First[rankIndex(Item.Priority)].push_back(
          seconds(Record.FirstToken - Item.Arrival));
    }
  }
  for (std::size_t I = 0; I < RankCount; ++I)
    Out.RecoveredP95[I] = quantile(First[I], 0.95);
  Out.RecoveredServed = ratio(InTime, Offered);
}

} // namespace

double quantile(std::vector<double> Values, double Share) {
  if (Values.empty())
    return 0;
  const auto At =
      static_cast<std::size_t>(Share * static_cast<double>(Values.size() - 1));
  std::nth_element(Values.begin(),
                   Values.begin() + static_cast<std::ptrdiff_t>(At),
                   Values.end());
  return Values[At];
}

double saturatedCapacity(const std::array<double, RankCount> &EngineTime) {
  constexpr Duration Warmup = std::chrono::seconds(30);
  constexpr Duration Length = std::chrono::seconds(330);
  constexpr std::uint64_t Seed = 7;
  const std::array<double, RankCount> MeanTime = {engineSeconds(766, 62),
                                                  engineSeconds(766, 147),
                                                  engineSeconds(1022, 295)};
  std::array<double, RankCount> Requests{};
  for (std::size_t I = 0; I < RankCount; ++I)
    Requests[I] = EngineTime[I] / MeanTime[I];
  Random Generator(Seed);
  std::discrete_distribution<std::size_t> Mix(Requests.begin(), Requests.end());
  Engine Model;
  std::vector<Request> Drawn;
  double Done = 0;
  Duration Now{};
  while (Now < Length) {
    while (Model.Batch.size() < EngineSlots) {
      Drawn.push_back(drawLengths(AllRanks[Mix(Generator)], Generator));
      addStream(Model, Drawn.back(), Drawn.size() - 1);
    }
    Now += beginStep(Model);
    for (const StepOutput &Output : endStep(Model))
      if (Output.Ended && Now >= Warmup)
        Done += engineSeconds(Drawn[Output.RequestIndex].PromptTokens,
                              Drawn[Output.RequestIndex].AnswerTokens);
  }
  return Done / seconds(Length - Warmup);
}

Measures mean(const std::vector<Measures> &Runs) {
  Measures Out;
  const double Part = 1.0 / static_cast<double>(Runs.size());
  for (const Measures &Run : Runs) {
    for (std::size_t I = 0; I < RankCount; ++I) {
      Out.FirstTokenP95[I] += Part * Run.FirstTokenP95[I];
      Out.StartP95[I] += Part * Run.StartP95[I];
      Out.InDeadline[I] += Part * Run.InDeadline[I];
      Out.TokenShare[I] += Part * Run.TokenShare[I];
      Out.SmallInDeadline[I] += Part * Run.SmallInDeadline[I];
      Out.RecoveredP95[I] += Part * Run.RecoveredP95[I];
    }
    Out.Goodput += Part * Run.Goodput;
    Out.RecoveredServed += Part * Run.RecoveredServed;
    Out.Pauses += Run.Pauses;
  }
  return Out;
}

Measures measure(const Trace &Source, const RunResult &Result,
                 const std::array<double, RankCount> &Floors) {
  Measures Out;
  Out.Pauses = Result.Pauses;
  measureService(Source, Result, Out);
  measureArrivals(Source, Result, Floors, Out);
  measureRecovery(Source, Result, Out);
  return Out;
}

double servedCost(const Trace &Source, const RunResult &Result,
                  std::size_t CallerIndex) {
  double Sum = 0;
  for (std::size_t I = 0; I < Result.Requests.size(); ++I) {
    const RequestRecord &Record = Result.Records[I];
    if (Result.Requests[I].CallerIndex == CallerIndex &&
        inTime(Result.Requests[I], Record) &&
        Record.Done >= Source.EventFrom + RecoveryTime &&
        Record.Done < Source.EventTo)
      Sum += servedOf(Result.Requests[I]);
  }
  return Sum;
}

} // namespace marigoldyard::bench
