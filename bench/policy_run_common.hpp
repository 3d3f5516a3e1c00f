#pragma once

#include "bench/policy_trace_common.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace marigoldyard::bench {

/// @brief Order of work on an endpoint.
enum class Policy : std::uint8_t { Fifo, StrictPriority, RankedFair };

/// @brief Where requests wait.
enum class Binding : std::uint8_t {
  Push, ///< entries send at once, agents hold the queues
  Late, ///< entries hold the queues, agents grant credits by rank
};

/// @brief What is compared.
struct RunOptions {
  Policy Order = Policy::RankedFair;
  Binding Bind = Binding::Push;
  bool CanPause = true; ///< engines resume streams
  std::uint32_t UrgentReserve = 0;
  std::array<double, RankCount> Floors = {0.0, 0.2, 0.05};
  std::uint64_t Seed = 1;
};

/// @brief What became of a request.
struct RequestRecord {
  Duration FirstToken{-1}; ///< after the begin of the trace; negative: none
  Duration Started{-1};    ///< first time in an engine
  Duration Done{-1};       ///< negative: not completed
  std::uint32_t Attempts = 0;
  std::uint32_t Produced = 0;   ///< answer tokens of the present attempt
  std::uint64_t Generation = 0; ///< drops messages of earlier attempts
};

/// @brief Records of one run.
struct RunResult {
  std::vector<Request> Requests;
  std::vector<RequestRecord> Records; ///< by request
  std::uint64_t Pauses = 0;
};

/// @brief Runs a trace in virtual time.
/// @param Source the trace
/// @param Options what is compared
/// @return the records
/// @complexity linear in the tokens of the answers
RunResult runTrace(const Trace &Source, const RunOptions &Options);

/// @brief Measures of the design page for one run.
struct Measures {
  std::array<double, RankCount> FirstTokenP95{}; ///< seconds; during the event,
                                                 ///< of answered requests
  std::array<double, RankCount> StartP95{};      ///< the same to the start
  std::array<double, RankCount> InDeadline{};    ///< share of requests that
                                                 ///< arrived during the event
  std::array<double, RankCount> TokenShare{};    ///< share of served cost
  std::array<double, RankCount> SmallInDeadline{}; ///< share of requests of
                                                   ///< small callers within
                                                   ///< their fair share
  double Goodput = 0; ///< answers in time, by the capacity for their mix
  std::array<double, RankCount>
      RecoveredP95{};         ///< seconds; requests that arrived 10 s
                              ///< or more after the event
  double RecoveredServed = 0; ///< share of the same requests that got a first
                              ///< token
  std::uint64_t Pauses = 0;
};

/// @brief Work that an engine completes when all slots are always in use.
/// @param EngineTime of each rank in the work
/// @return engine seconds a second
double saturatedCapacity(const std::array<double, RankCount> &EngineTime);

/// @brief Computes the measures.
/// @param Source the trace
/// @param Result its run
/// @param Floors of the run, for the fair share of small callers
/// @return the measures
Measures measure(const Trace &Source, const RunResult &Result,
                 const std::array<double, RankCount> &Floors);

/// @brief Mean over runs with different seeds; pauses are added.
/// @param Runs measures of the runs, at least one
/// @return the mean of each measure
Measures mean(const std::vector<Measures> &Runs);

/// @brief Served cost of a caller during the event, in tokenCost.
/// @param Source the trace
/// @param Result its run
/// @param CallerIndex the caller
/// @return the cost of its answers in time
double servedCost(const Trace &Source, const RunResult &Result,
                  std::size_t CallerIndex);

/// @brief The value below which a share of the values lies.
/// @param Values in any order
/// @param Share 0 to 1
/// @return the value; 0 without values
double quantile(std::vector<double> Values, double Share);

} // namespace marigoldyard::bench
