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
      std::chrono::milliseconds(450); ///< between two reports of an agent
  Duration CacheHalfLife =
      std::chrono::seconds(60); ///< a cache entry is worth half after this time
  double GapFactor = 0.5; ///< remaining worth of cache entries after each gap
                          ///< in the cache events
  std::array<double, RankCount> Floors = {
      0.0, 0.2, 0.05}; ///< guaranteed share of an endpoint by rank, 0 to 1
  double CallerBacklogFactor = 10.0; ///< callers that share the rank of a
                                     ///< saturated endpoint; each token of a
                                     ///< caller waits for as many of others
  double DefaultTokensPerSecond =
      1000; ///< rate of an endpoint that reported none
};

/// @brief What an entry knows of one endpoint.
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
      SentSinceReport{}; ///< own estimated tokens, by rank
  std::array<std::uint64_t, RankCount>
      Outstanding{}; ///< own estimated tokens sent and not ended, by rank
};

/// @brief Part of a prompt that an endpoint is believed to hold in its cache.
struct CacheHint {
  std::string Endpoint;
  std::uint64_t Tokens = 0;
  TimePoint SeenAt;
  std::uint32_t Gaps = 0; ///< gaps in the endpoint's cache events since then
};

/// @brief Work of one caller that an entry sent to an endpoint and that has not
/// ended. Under fair queueing it delays the caller's next request there more
/// than work of other callers does.
struct CallerBacklog {
  std::string Endpoint;
  std::uint64_t Tokens = 0; ///< estimated, of the rank of the request
};

/// @brief A request that needs an endpoint.
struct RoutingRequest {
  Rank Priority = Rank::Batch;
  Digest Weights;
  std::uint64_t EstimatedTokens = 1;
  std::vector<std::string> Tried;      ///< endpoints of earlier attempts
  std::vector<CacheHint> CacheHints;   ///< at most one an endpoint
  std::vector<CallerBacklog> Backlogs; ///< at most one an endpoint
};

/// @brief Why an endpoint is not a candidate.
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

/// @brief Name of an exclusion for logs and the operator command.
/// @param Value the exclusion
/// @return a lower-case name with underscores
std::string_view exclusionName(Exclusion Value);

/// @brief One compared candidate.
struct CandidateScore {
  std::string Name;
  double Score = 0;      ///< expected seconds to serve; lower is better
  double QueueTime = 0;  ///< seconds of work ahead by the last report
  double SentTime = 0;   ///< seconds of own work that the report lacks
  double AgeTime = 0;    ///< seconds added for the age of the report
  double CallerTime = 0; ///< seconds added for the caller's own backlog
  double CacheTime = 0;  ///< seconds saved by the prefix cache
};

/// @brief The choice and its reason.
struct RoutingChoice {
  std::optional<std::string> Chosen;    ///< empty when there is no candidate
  std::vector<CandidateScore> Compared; ///< best first, at most 3
  std::uint32_t Candidates = 0; ///< endpoints that passed all conditions
  std::array<std::uint32_t, ExclusionCount> Excluded{}; ///< endpoints by reason
};

/// @brief Why an endpoint cannot take a request.
/// @param View the endpoint
/// @param Request the request
/// @return the first condition that fails, or None
/// @complexity linear in the tries and ready digests
Exclusion exclusionOf(const EndpointView &View, const RoutingRequest &Request);

/// @brief Score of one endpoint for a request.
/// @param View the endpoint
/// @param Request the request
/// @param Settings parameters
/// @param Now the present time
/// @return the score and its parts
/// @complexity linear in the cache hints
CandidateScore scoreEndpoint(const EndpointView &View,
                             const RoutingRequest &Request,
                             const RoutingSettings &Settings, TimePoint Now);

/// @brief Chooses an endpoint: the better of two random candidates and of the
/// candidate with the largest cache benefit.
/// @param Request the request
/// @param Views all endpoints of the product's pool that the entry knows
/// @param Settings parameters
/// @param Now the present time
/// @param Generator random numbers
/// @return the choice and its reason
/// @complexity linear in the endpoints, tries and cache hints
RoutingChoice route(const RoutingRequest &Request,
                    const std::vector<EndpointView> &Views,
                    const RoutingSettings &Settings, TimePoint Now,
                    Random &Generator);

/// @brief One-line text of a choice for the operator command.
/// @param Choice the choice
/// @return candidates compared with their scores, and exclusions by reason
/// @complexity linear in the compared candidates
std::string explainChoice(const RoutingChoice &Choice);

/// @brief Notes that work was sent to an endpoint.
/// @param View the endpoint
/// @param Priority rank of the work
/// @param Tokens estimated tokens
/// @complexity constant
void recordSent(EndpointView &View, Rank Priority, std::uint64_t Tokens);

/// @brief Notes that work sent earlier has ended or was refused.
/// @param View the endpoint
/// @param Priority rank of the work
/// @param Tokens the tokens given to recordSent
/// @complexity constant
void recordEnded(EndpointView &View, Rank Priority, std::uint64_t Tokens);

/// @brief Takes over a load report.
/// @param View the endpoint
/// @param Load the report
/// @param Now the present time
/// @complexity linear in the ready digests
void recordReport(EndpointView &View, const LoadReport &Load, TimePoint Now);

} // namespace marigoldyard
