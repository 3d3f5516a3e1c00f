#include "bench/policy_run_common.hpp"

#include "marigoldyard/coordination/scheduler.hpp"

#include <algorithm>

namespace marigoldyard::bench {

namespace {

/// Service must be back to normal after this time.
constexpr Duration RecoveryTime = std::chrono::seconds(10);
/// Requests near the end of a trace could not complete within it.
constexpr Duration Tail = std::chrono::seconds(20);

bool inTime(const Request &Source, const RequestRecord &Record) {
  return Record.Done >= Duration::zero() &&
         Record.Done - Source.Arrival <= Deadlines[rankIndex(Source.Priority)];
}

double seconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

double servedOf(const Request &Source) {
  return static_cast<double>(
      tokenCost(Source.PromptTokens, Source.AnswerTokens));
}

/// Offered load of a caller in a rank during the event, in capacities.
double offeredLoad(const Trace &Source, std::size_t Index,
                   std::size_t CallerIndex) {
  const LoadPeriod &During = Source.Periods[1];
  return During.Load[Index] * During.Share[Index][CallerIndex];
}

/// Share of the fleet that a rank is entitled to: its floor, or what the floors
/// of the ranks below and the load of the ranks above leave to it.
double entitledLoad(const Trace &Source, std::size_t Index,
                    const std::array<double, RankCount> &Floors) {
  double Left = 1.0;
  for (std::size_t I = 0; I < RankCount; ++I)
    if (I != Index)
      Left -= I > Index ? std::min(Floors[I], Source.Periods[1].Load[I])
                        : Source.Periods[1].Load[I];
  return std::max(Floors[Index], Left);
}

bool smallWithinShare(const Trace &Source, const Request &Item,
                      const std::array<double, RankCount> &Floors) {
  const std::size_t Index = rankIndex(Item.Priority);
  return Item.CallerIndex >= LargeCallers &&
         offeredLoad(Source, Index, Item.CallerIndex) <=
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
  double EngineTime = 0;
  for (std::size_t I = 0; I < Result.Requests.size(); ++I) {
    const Request &Item = Result.Requests[I];
    const RequestRecord &Record = Result.Records[I];
    if (!inTime(Item, Record) ||
        Record.Done < Source.EventFrom + RecoveryTime ||
        Record.Done >= Source.EventTo)
      continue;
    Out.TokenShare[rankIndex(Item.Priority)] += servedOf(Item);
    Served += servedOf(Item);
    EngineTime += engineSeconds(Item.PromptTokens, Item.AnswerTokens);
  }
  for (double &Share : Out.TokenShare)
    Share = ratio(Share, Served);
  const double Window =
      seconds(Source.EventTo - Source.EventFrom - RecoveryTime);
  Out.Goodput = EngineTime / Window /
                static_cast<double>(ServerCount - Source.ServersLost);
}

void measureArrivals(const Trace &Source, const RunResult &Result,
                     const std::array<double, RankCount> &Floors,
                     Measures &Out) {
  std::array<std::vector<double>, RankCount> First;
  std::array<double, RankCount> InTime{};
  std::array<double, RankCount> Offered{};
  double SmallInTime = 0;
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
    if (smallWithinShare(Source, Item, Floors)) {
      ++Out.SmallRequests;
      SmallInTime += inTime(Item, Record);
    }
  }
  for (std::size_t I = 0; I < RankCount; ++I) {
    Out.FirstTokenP95[I] = quantile(First[I], 0.95);
    Out.InDeadline[I] = ratio(InTime[I], Offered[I]);
  }
  Out.SmallInDeadline =
      ratio(SmallInTime, static_cast<double>(Out.SmallRequests));
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
