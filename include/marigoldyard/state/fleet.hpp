#pragma once

#include "marigoldyard/state/time.hpp"
#include "marigoldyard/state/types.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace marigoldyard {

/// @brief Whether a request without a response may be retried.
enum class RetryPolicy : std::uint8_t {
  Idempotent, ///< safe to run any number of times
  AtMostOnce, ///< retried only with proof that it has not run
  Resumable,  ///< a stream that another server can continue
};

/// @brief Share of a route's traffic that goes to one pool of servers, relative
/// to the weights of the route's other pools.
struct PoolShare {
  std::string Pool;
  std::uint32_t Weight = 1;
};

/// @brief Regions in which requests may be served, by name; empty when there is
/// no limit. A limit without regions allows none.
using RegionLimit = std::optional<std::set<std::string, std::less<>>>;

/// @brief A rule that maps requests to pools.
struct Route {
  std::string Name;
  std::string Host;       ///< lower case, without port
  std::string PathPrefix; ///< starts and ends with a slash
  RetryPolicy AllowedRetries = RetryPolicy::AtMostOnce;
  bool IsStreaming = false;    ///< the response is an event stream
  bool AllowAnonymous = false; ///< requests need no key
  Duration Timeout{};          ///< for the whole response
  Duration TargetLatency{};
  Duration TargetEventGap{};  ///< longest gap between events; zero: none
  std::uint32_t Priority = 0; ///< 0 is the most urgent
  std::uint32_t MaxAttemptsPerRequest =
      1; ///< attempts of one request, at least 1
  std::vector<PoolShare> Pools;
  RegionLimit AllowedRegions; ///< of servers
};

/// @brief A customer of the shared fleet, identified by any of its API keys.
struct Customer {
  std::string Name;
  std::vector<std::string> Keys;
  std::optional<std::uint32_t>
      Priority;               ///< overrides the priority of the route
  RegionLimit AllowedRegions; ///< of servers
};

/// @brief Consecutive layers of a model, from From up to but not including End.
struct LayerRange {
  std::uint32_t From = 0;
  std::uint32_t End = 0;

  // clang-tidy 14 reports names in the code that the compiler generates here.
  // NOLINTNEXTLINE(readability-identifier-naming)
  friend bool operator==(const LayerRange &, const LayerRange &) = default;
};

/// @brief Servers that are interchangeable for a route.
struct ServerPool {
  std::string Name;
  std::uint32_t MaxConnections = 0; ///< to one server, all processes together
  bool HasEngines = false;          ///< model servers
  std::uint32_t Slots = 0;          ///< of one model server; 0: unknown
  double PromptTokensPerSecond = 0; ///< prefill rate of one model server
  std::uint64_t PromptTokensPerPass = 0; ///< in one prefill pass
  std::vector<std::string> Models;       ///< models that its servers load
  std::uint32_t Layers = 0; ///< of a model; 0: servers load whole models only
  /// Requests a second that a cold server tolerates; 0: any number.
  double ColdRequestsPerSecond = 0;
  Duration ColdTime{}; ///< for which a server is cold after its start
};

/// @brief Server from which weights are downloaded.
struct WeightOrigin {
  std::string Address;
  std::string FailureDomain;
  std::uint32_t MaxConnections = 1; ///< of all processes together
  double BitsPerSecond = 0;
};

/// @brief Limits on the requests of one client connection.
struct ClientLimits {
  std::uint32_t MaxHeaderBytes = 16U << 10;
  std::uint64_t MaxBodyBytes = 4ULL << 20;
  Duration HeaderTimeout = std::chrono::seconds(3);
  Duration IdleTimeout = std::chrono::seconds(15);
};

/// @brief The operator's configuration of the fleet.
struct FleetConfiguration {
  Revision ConfigRevision = 0;
  std::vector<Route> Routes;
  std::map<std::string, ServerPool, std::less<>> Pools;
  std::optional<WeightOrigin> Origin;
  ClientLimits Limits;
  std::vector<Customer> Customers; ///< empty: keys are not checked
};

/// @brief Weights that a server has loaded.
struct LoadedWeights {
  std::string Model;
  std::uint64_t Version = 0;

  // clang-tidy 14 reports names in the code that the compiler generates here.
  // NOLINTNEXTLINE(readability-identifier-naming)
  friend bool operator==(const LoadedWeights &,
                         const LoadedWeights &) = default;
};

/// @brief A model server of a pool, as the stagers of the other members know
/// it.
struct PoolMember {
  std::string Address; ///< "host:port"
  std::string Region;
};

/// @brief Part of the configuration that a stager needs for its pool. It leaves
/// out the routes, which make up most of the configuration's size.
struct PoolConfiguration {
  std::string Pool;
  Revision ConfigRevision = 0; ///< of the source configuration
  std::string OriginAddress;   ///< origin of weights; empty: not configured
  std::string OriginFailureDomain;
  std::vector<std::string> Models; ///< models that the servers load
  bool StreamsResumable = false;   ///< on every route to the pool
  std::vector<PoolMember> Members; ///< empty: unknown
  std::vector<LoadedWeights>
      Declared;             ///< newest declared version of each model
  std::uint32_t Layers = 0; ///< of a model; 0: servers load whole models only
};

/// @brief Record with which a server registers itself in the store.
struct ServerRecord {
  std::string Id;      ///< of this incarnation
  std::string Address; ///< "host:port"
  std::string Pool;
  std::string FailureDomain;
  std::uint32_t Slots = 0;
  bool Draining = false;
  std::int64_t StartedAtMs = 0; ///< Unix time of its start; compared only with
                                ///< other records of the same server
  std::optional<std::vector<LoadedWeights>> Weights; ///< set for a model server
  /// Layers of Weights that are loaded; empty if the record does not tell.
  std::optional<LayerRange> Layers;
  Duration ColdFor{}; ///< how long it stayed cold when it wrote the record

  // clang-tidy 14 reports names in the code that the compiler generates here.
  // NOLINTNEXTLINE(readability-identifier-naming)
  friend bool operator==(const ServerRecord &, const ServerRecord &) = default;
};

/// @brief A declared version of a model. A newer version of the same model has
/// a higher number.
struct DeclaredVersion {
  std::string Model;
  std::uint64_t Version = 0;

  // clang-tidy 14 reports names in the code that the compiler generates here.
  // NOLINTBEGIN(modernize-use-nullptr, readability-identifier-naming)
  friend auto operator<=>(const DeclaredVersion &,
                          const DeclaredVersion &) = default;
  // NOLINTEND(modernize-use-nullptr, readability-identifier-naming)
};

} // namespace marigoldyard
