#pragma once

#include "marigoldyard/state/types.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace marigoldyard::bench {

inline constexpr std::size_t ServerCount = 15;
inline constexpr std::size_t EntryCount = 4;
inline constexpr std::size_t CallerCount = 10;
inline constexpr std::size_t LargeCallers = 2; ///< callers 0 and 1
inline constexpr std::uint32_t EngineSlots = 32;

/// @brief Times of the engine model. A full batch takes 25.2 ms a step without
/// prefill, so that tokens are less than 47 ms apart.
inline constexpr Duration StepBase = std::chrono::microseconds(22000);
inline constexpr Duration StepPerStream = std::chrono::microseconds(100);
inline constexpr Duration StepPerPromptToken = std::chrono::microseconds(100);
inline constexpr std::uint32_t PrefillChunk = 256; ///< prompt tokens a step

/// @brief Deadlines by rank.
inline constexpr std::array<Duration, RankCount> Deadlines = {
    std::chrono::seconds(10), std::chrono::seconds(30),
    std::chrono::seconds(120)};

/// @brief Offered load of a period.
struct LoadPeriod {
  Duration Until{};
  std::array<double, RankCount> Load{}; ///< by rank, in capacities of the fleet
  std::array<std::array<double, CallerCount>, RankCount>
      Share{}; ///< of each caller in the load of a rank
};

/// @brief One trace: offered load, losses and quality of reports.
struct Trace {
  std::string Name;
  std::vector<LoadPeriod> Periods;
  Duration EventFrom{}; ///< begin of the flood or loss
  Duration EventTo{};   ///< end of it
  Duration Length{};
  std::size_t ServersLost = 0; ///< at EventFrom
  Duration ReportLag = std::chrono::milliseconds(1);
  double ReportLoss = 0.0;                 ///< share of reports
  std::optional<std::size_t> PinnedCaller; ///< uses entry 0 only
  std::vector<std::size_t> Flooding;       ///< callers
};

/// @brief One request of a trace.
struct Request {
  Duration Arrival{};
  Rank Priority = Rank::Batch;
  std::size_t CallerIndex = 0;
  std::size_t Entry = 0;
  std::uint32_t PromptTokens = 0;
  std::uint32_t AnswerTokens = 0;
  std::uint32_t EstimatedAnswer = 0; ///< tokens; the mean of the rank
};

/// @brief Lengths of the parts of a trace.
struct TraceTimes {
  Duration Before = std::chrono::seconds(20);
  Duration Event = std::chrono::seconds(90);
  Duration After = std::chrono::seconds(60);
};

/// @brief The traces of the design page.
/// @param Times lengths of the parts
/// @return the traces
std::vector<Trace> pageTraces(const TraceTimes &Times);

/// @brief A trace of the page by name.
/// @param Name the name
/// @param Times lengths of the parts
/// @return the trace; std::out_of_range is thrown when there is none
Trace pageTrace(const std::string &Name, const TraceTimes &Times);

/// @brief Urgent load of the steady trace alone, the reference for the time to
/// first token.
/// @param Times lengths of the parts
/// @return the trace
Trace unloadedTrace(const TraceTimes &Times);

/// @brief Two callers flood batch equally; caller 1 uses one entry, caller 0
/// all.
/// @param Times lengths of the parts
/// @return the trace
Trace spreadTrace(const TraceTimes &Times);

/// @brief Engine time that a request takes on a full batch.
/// @param PromptTokens of the request
/// @param AnswerTokens of the request
/// @return seconds of one engine
double engineSeconds(std::uint32_t PromptTokens, std::uint32_t AnswerTokens);

/// @brief Draws the lengths of a request.
/// @param Priority its rank
/// @param Generator random numbers
/// @return a request without arrival, caller and entry
Request drawLengths(Rank Priority, Random &Generator);

/// @brief Draws the requests of a trace.
/// @param Source the trace
/// @param Seed of the random numbers
/// @return requests by arrival
/// @complexity linear in the number of requests
std::vector<Request> drawRequests(const Trace &Source, std::uint64_t Seed);

} // namespace marigoldyard::bench
