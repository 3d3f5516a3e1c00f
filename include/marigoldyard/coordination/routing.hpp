#pragma once

#include "marigoldyard/state/error.hpp"
#include "marigoldyard/state/types.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldyard {

/// @brief Parameters of the routing score.
struct RoutingSettings {
  Duration ReportInterval =
      std::chrono::milliseconds(450); ///< between two load reports of an agent
  Duration CacheHalfLife =
      std::chrono::seconds(60); ///< time after which a cache hint counts half
  double GapDiscount = 0.5;     ///< factor applied to a cache hint for each gap
                                ///< in the cache events
  std::array<double, RankCount> Floors = {
      0.0, 0.2, 0.05}; ///< guaranteed share of an endpoint by rank, 0 to 1
  double CallerBacklogFactor = 10.0; ///< assumed number of callers that share a
                                     ///< rank of a saturated endpoint; each
                                     ///< token of a caller waits for one token
                                     ///< of each other caller
  double DefaultTokensPerSecond = 1000; ///< assumed rate of an endpoint that
                                        ///< has reported none
};

/// @brief Routing state that an entry keeps for one endpoint.
struct EndpointView {
  std::string Name;
  std::string FailureDomain;
  bool Live = false;
  bool Suspected = false;
  bool Leaving = false;
  bool Linked = false;                 ///< in the entry's subset and connected
  std::optional<TimePoint> ReportedAt; ///< arrival of the last report
  LoadReport Load;
  std::array<std::uint64_t, RankCount>
      SentSinceReport{}; ///< estimated tokens that this entry sent, by rank
  std::array<std::uint64_t, RankCount>
      Outstanding{}; ///< estimated tokens of unfinished work of this entry, by
                     ///< rank
};

/// @brief Prefix of a prompt that is probably in the cache of an endpoint.
struct CacheHint {
  std::string Endpoint;
  std::uint64_t Tokens = 0;
  TimePoint SeenAt;
  std::uint32_t Gaps = 0; ///< gaps in the endpoint's cache events since SeenAt
};

/// @brief Unfinished work of one caller that an entry sent to an endpoint.
/// Under fair queueing it delays the caller's next request on that endpoint
/// more than work of other callers does.
struct CallerBacklog {
  std::string Endpoint;
  std::uint64_t Tokens = 0; ///< estimated; only work of the rank of the request
};

/// @brief Inputs of a routing decision.
struct RoutingRequest {
  Rank Priority = Rank::Batch;
  Digest Weights;
  std::uint64_t EstimatedTokens = 1;
  std::vector<std::string> Tried;      ///< endpoints of earlier attempts
  std::vector<CacheHint> CacheHints;   ///< at most one per endpoint
  std::vector<CallerBacklog> Backlogs; ///< at most one per endpoint
};

/// @brief Reason why an endpoint is not a candidate.
enum class Exclusion : std::uint8_t {
  None,
  NotLive,
  Suspected,
  Leaving,
  NotLinked,
  NotReady,
  OtherWeights,
  AlreadyTried,
};
inline constexpr std::size_t ExclusionCount = 8;

/// @brief Returns the name of an exclusion for logs and the operator command.
/// @return the name in snake case
std::string_view exclusionName(Exclusion Value);

/// @brief Score of one candidate and the parts that it is made of.
struct CandidateScore {
  std::string Name;
  double Score = 0;             ///< expected seconds to serve; lower is better
  double QueueTime = 0;         ///< seconds of queued work in the last report
  double UnreportedTime = 0;    ///< seconds of own work that the report omits
  double ReportAgeTime = 0;     ///< seconds added for the age of the report
  double CallerBacklogTime = 0; ///< seconds added for the caller's own backlog
  double CacheSavings = 0;      ///< seconds saved by the prefix cache
};

/// @brief Result of a routing decision, with the data that explains it.
struct RoutingChoice {
  std::optional<std::string> Chosen;    ///< empty when there is no candidate
  std::vector<CandidateScore> Compared; ///< best first, at most 3
  std::uint32_t Candidates = 0; ///< endpoints that passed all conditions
  std::array<std::uint32_t, ExclusionCount>
      Excluded{}; ///< endpoint count by reason
};

/// @brief Returns why an endpoint cannot accept a request.
/// @return the first condition that fails, or None
/// @complexity linear in the number of earlier attempts and ready digests
Exclusion exclusionOf(const EndpointView &View, const RoutingRequest &Request);

/// @brief Computes the score of one endpoint for a request.
/// @return the score and its parts, in seconds
/// @complexity linear in the number of cache hints
CandidateScore scoreEndpoint(const EndpointView &View,
                             const RoutingRequest &Request,
                             const RoutingSettings &Settings, TimePoint Now);

/// @brief Chooses the endpoint with the lowest score among two random
/// candidates and the candidate with the largest cache benefit.
/// @param Views all endpoints of the product's pool that the entry knows
/// @param Generator random number generator for sampling and for ties
/// @return the chosen endpoint, if any, and the compared candidates
/// @complexity linear in the number of endpoints, earlier attempts and cache
/// hints
RoutingChoice route(const RoutingRequest &Request,
                    const std::vector<EndpointView> &Views,
                    const RoutingSettings &Settings, TimePoint Now,
                    Random &Generator);

/// @brief Formats a routing decision as one line for the operator command.
/// @return the compared candidates with their scores, and exclusions by reason
/// @complexity linear in the number of compared candidates
std::string explainChoice(const RoutingChoice &Choice);

/// @brief Records that work was sent to an endpoint.
/// @param Priority rank of the work
/// @param Tokens estimated size of the work
/// @complexity constant
void recordSent(EndpointView &View, Rank Priority, std::uint64_t Tokens);

/// @brief Records that work sent earlier has ended or was refused.
/// @param Priority rank of the work
/// @param Tokens the value that was passed to recordSent
/// @complexity constant
void recordEnded(EndpointView &View, Rank Priority, std::uint64_t Tokens);

/// @brief Stores a load report and clears the work counted since the last one.
/// @param Now time at which the report was received
/// @complexity linear in the number of ready digests
void recordReport(EndpointView &View, const LoadReport &Load, TimePoint Now);

} // namespace marigoldyard
