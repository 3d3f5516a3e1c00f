#include "bench/policy_trace_common.hpp"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace marigoldyard::bench {

namespace {

using Shares = std::array<double, CallerCount>;
using Loads = std::array<double, RankCount>;

/// Lengths of requests by rank; log-normal with these medians and spreads.
struct Lengths {
  double PromptMedian;
  double AnswerMedian;
  double MaxAnswer; ///< the deadline of the rank leaves time for it
};
constexpr std::array<Lengths, RankCount> LengthsOf = {
    Lengths{600, 55, 150}, Lengths{600, 130, 400}, Lengths{800, 260, 1000}};
constexpr double PromptSpread = 0.7;
constexpr double AnswerSpread = 0.5;
constexpr double MaxPrompt = 8000;

constexpr Loads SteadyLoad = {0.2, 0.3, 0.2};
constexpr Loads PeakLoad = {0.25, 0.4, 0.25};
constexpr double FloodLoad = 5.0;

double mean(double Median, double Spread) {
  return Median * std::exp(Spread * Spread / 2);
}

/// Two large callers with a given share in total; the others share the rest.
Shares largeShares(double Large) {
  Shares Result{};
  for (std::size_t I = 0; I < CallerCount; ++I)
    Result[I] = I < LargeCallers ? Large / LargeCallers
                                 : (1.0 - Large) / (CallerCount - LargeCallers);
  return Result;
}

constexpr double UsualLargeShare = 0.5;

LoadPeriod steadyPeriod(Duration Until, const Loads &Load) {
  LoadPeriod Result{Until, Load, {}};
  Result.Share.fill(largeShares(UsualLargeShare));
  return Result;
}

/// Adds a flood to a rank; the steady load of the others stays.
LoadPeriod floodPeriod(Duration Until, Rank Flooded,
                       const std::vector<std::size_t> &Callers) {
  LoadPeriod Result = steadyPeriod(Until, SteadyLoad);
  const std::size_t Index = rankIndex(Flooded);
  const double Before = Result.Load[Index];
  Result.Load[Index] = Before + FloodLoad;
  for (double &Share : Result.Share[Index])
    Share *= Before / Result.Load[Index];
  for (std::size_t CallerIndex : Callers)
    Result.Share[Index][CallerIndex] +=
        FloodLoad / Result.Load[Index] / static_cast<double>(Callers.size());
  return Result;
}

Trace eventTrace(std::string Name, const TraceTimes &Times, LoadPeriod During,
                 const Loads &Around) {
  Trace Result;
  Result.Name = std::move(Name);
  Result.EventFrom = Times.Before;
  Result.EventTo = Times.Before + Times.Event;
  Result.Length = Result.EventTo + Times.After;
  During.Until = Result.EventTo;
  Result.Periods = {steadyPeriod(Times.Before, Around), During,
                    steadyPeriod(Result.Length, Around)};
  return Result;
}

Trace floodTrace(std::string Name, const TraceTimes &Times, Rank Flooded,
                 std::vector<std::size_t> Callers) {
  Trace Result = eventTrace(std::move(Name), Times,
                            floodPeriod({}, Flooded, Callers), SteadyLoad);
  Result.Flooding = std::move(Callers);
  return Result;
}

/// Two of ten callers offer 80 % of a load of twice the capacity.
Trace largeCallersTrace(const TraceTimes &Times) {
  constexpr double LargeShare = 0.8;
  constexpr double Overload = 2.0;
  LoadPeriod During = steadyPeriod({}, SteadyLoad);
  const double Sum = SteadyLoad[0] + SteadyLoad[1] + SteadyLoad[2];
  for (double &Load : During.Load)
    Load *= Overload / Sum;
  During.Share.fill(largeShares(LargeShare));
  Trace Result = eventTrace("two-large-callers", Times, During, SteadyLoad);
  Result.Flooding = {0, 1};
  return Result;
}

Trace lossTrace(std::string Name, const TraceTimes &Times, std::size_t Lost) {
  Trace Result =
      eventTrace(std::move(Name), Times, steadyPeriod({}, PeakLoad), PeakLoad);
  Result.ServersLost = Lost;
  return Result;
}

Trace reportTrace(std::string Name, const TraceTimes &Times, Duration Lag,
                  double Loss) {
  Trace Result = eventTrace(std::move(Name), Times,
                            steadyPeriod({}, SteadyLoad), SteadyLoad);
  Result.ReportLag = Lag;
  Result.ReportLoss = Loss;
  return Result;
}

std::uint32_t drawLength(double Median, double Spread, double Max,
                         Random &Generator) {
  std::lognormal_distribution<double> Length(std::log(Median), Spread);
  return static_cast<std::uint32_t>(std::clamp(Length(Generator), 1.0, Max));
}

/// Requests a second of a rank at a load of one capacity.
double requestsPerSecond(Rank Priority) {
  const Lengths &Of = LengthsOf[rankIndex(Priority)];
  const double Cost = engineSeconds(
      static_cast<std::uint32_t>(mean(Of.PromptMedian, PromptSpread)),
      static_cast<std::uint32_t>(mean(Of.AnswerMedian, AnswerSpread)));
  return static_cast<double>(ServerCount) / Cost;
}

Request drawRequest(const Trace &Source, const LoadPeriod &Period,
                    Rank Priority, Duration Arrival, Random &Generator) {
  const Shares &Share = Period.Share[rankIndex(Priority)];
  Request Result = drawLengths(Priority, Generator);
  Result.Arrival = Arrival;
  Result.CallerIndex = std::discrete_distribution<std::size_t>(
      Share.begin(), Share.end())(Generator);
  Result.Entry =
      std::uniform_int_distribution<std::size_t>(0, EntryCount - 1)(Generator);
  if (Source.PinnedCaller == Result.CallerIndex)
    Result.Entry = 0;
  return Result;
}

} // namespace

double engineSeconds(std::uint32_t PromptTokens, std::uint32_t AnswerTokens) {
  const Duration FullStep = StepBase + EngineSlots * StepPerStream;
  const std::chrono::duration<double> Prompt =
      StepPerPromptToken * PromptTokens;
  const std::chrono::duration<double> Token = FullStep;
  return Prompt.count() + Token.count() / EngineSlots * AnswerTokens;
}

std::vector<Trace> pageTraces(const TraceTimes &Times) {
  constexpr std::size_t FailureDomainServers = ServerCount / 3;
  std::vector<Trace> Result;
  Result.push_back(
      eventTrace("steady-70", Times, steadyPeriod({}, SteadyLoad), SteadyLoad));
  Result.push_back(floodTrace("batch-flood-5x", Times, Rank::Batch, {0, 1}));
  Result.push_back(floodTrace("urgent-flood-5x", Times, Rank::Urgent, {0, 1}));
  Result.push_back(largeCallersTrace(Times));
  Result.push_back(
      floodTrace("one-caller-floods-urgent", Times, Rank::Urgent, {0}));
  Result.push_back(lossTrace("loss-1-of-15", Times, 1));
  Result.push_back(
      lossTrace("loss-failure-domain", Times, FailureDomainServers));
  Result.push_back(
      reportTrace("reports-lag-2s", Times, std::chrono::seconds(2), 0.0));
  Result.push_back(
      reportTrace("reports-lost-30", Times, std::chrono::milliseconds(1), 0.3));
  return Result;
}

Trace pageTrace(const std::string &Name, const TraceTimes &Times) {
  for (Trace &Candidate : pageTraces(Times))
    if (Candidate.Name == Name)
      return Candidate;
  throw std::out_of_range("no trace " + Name);
}

Trace unloadedTrace(const TraceTimes &Times) {
  const Loads UrgentOnly = {SteadyLoad[0], 0, 0};
  return eventTrace("urgent-alone", Times, steadyPeriod({}, UrgentOnly),
                    UrgentOnly);
}

Trace spreadTrace(const TraceTimes &Times) {
  Trace Result = floodTrace("spread", Times, Rank::Batch, {0, 1});
  Result.PinnedCaller = 1;
  return Result;
}

Request drawLengths(Rank Priority, Random &Generator) {
  const Lengths &Of = LengthsOf[rankIndex(Priority)];
  Request Result;
  Result.Priority = Priority;
  Result.PromptTokens =
      drawLength(Of.PromptMedian, PromptSpread, MaxPrompt, Generator);
  Result.AnswerTokens =
      drawLength(Of.AnswerMedian, AnswerSpread, Of.MaxAnswer, Generator);
  Result.EstimatedAnswer =
      static_cast<std::uint32_t>(mean(Of.AnswerMedian, AnswerSpread));
  return Result;
}

std::vector<Request> drawRequests(const Trace &Source, std::uint64_t Seed) {
  Random Generator(Seed);
  std::vector<Request> Result;
  for (Rank Priority : AllRanks) {
    double At = 0;
    for (const LoadPeriod &Period : Source.Periods) {
      const double Rate =
          Period.Load[rankIndex(Priority)] * requestsPerSecond(Priority);
      const double End = std::chrono::duration<double>(Period.Until).count();
      while (Rate > 0) {
        At += std::exponential_distribution<double>(Rate)(Generator);
        if (At >= End)
          break;
        const auto Arrival = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(At));
        Result.push_back(
            drawRequest(Source, Period, Priority, Arrival, Generator));
      }
      At = End;
    }
  }
  std::stable_sort(
      Result.begin(), Result.end(),
      [](const Request &A, const Request &B) { return A.Arrival < B.Arrival; });
  return Result;
}

} // namespace marigoldyard::bench
