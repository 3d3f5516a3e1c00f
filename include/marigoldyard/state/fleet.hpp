#pragma once

#include "marigoldyard/state/time.hpp"
#include "marigoldyard/state/types.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marigoldyard {

/// @brief What may be done with a request whose answer is missing.
enum class RepeatRule : std::uint8_t {
  Idempotent, ///< may run any number of times
  AtMostOnce, ///< may be repeated only with proof that it has not run
  Resumable,  ///< a stream that continues at another server
};

/// @brief Part of a route's traffic that goes to one pool of servers.
struct PoolShare {
  std::string Pool;
  std::uint32_t Weight = 1;
};

/// @brief A rule that maps requests to pools.
struct Route {
  std::string Name;
  std::string Host;       ///< lower case, without port
  std::string PathPrefix; ///< begins and ends with a slash
  RepeatRule Repeats = RepeatRule::AtMostOnce;
  bool Streams = false;   ///< the answer is an event stream
  bool Anonymous = false; ///< needs no key
  Duration Timeout{};     ///< a caller is answered within this time
  Duration TargetLatency{};
  Duration TargetGap{};       ///< longest pause between events; zero: none
  std::uint32_t Priority = 0; ///< 0 is the most urgent
  std::uint32_t MaxSends = 1; ///< servers that one request may be sent to
  std::vector<PoolShare> Pools;
};

/// @brief A customer of the shared fleet.
struct Customer {
  std::string Name;
  std::vector<std::string> Keys;
  std::optional<std::uint32_t> Priority; ///< replaces that of the route
};

/// @brief Servers that are interchangeable for a route.
struct ServerPool {
  std::string Name;
  std::uint32_t MaxConnections = 0;     ///< of one server, from all processes
  bool Engines = false;                 ///< model servers
  std::uint32_t Slots = 0;              ///< of one model server; 0: not told
  double PromptTokensPerSecond = 0;     ///< reading speed of one model server
  std::uint64_t PromptTokensAtOnce = 0; ///< read by a model server in one pass
  std::vector<std::string> Models;      ///< that its model servers load
};

/// @brief Where weights are drawn from.
struct WeightOrigin {
  std::string Address;
  std::string FailureDomain;
  std::uint32_t MaxConnections = 1; ///< from all processes
  double BitsPerSecond = 0;
};

/// @brief Limits on what a client of an entry point may send.
struct ClientLimits {
  std::uint32_t MaxHeaderBytes = 16U << 10;
  std::uint64_t MaxBodyBytes = 4ULL << 20;
  Duration HeaderTimeout = std::chrono::seconds(3);
  Duration IdleTimeout = std::chrono::seconds(15);
};

/// @brief The operator's configuration of the fleet.
struct FleetConfiguration {
  Revision Number = 0;
  std::vector<Route> Routes;
  std::map<std::string, ServerPool, std::less<>> Pools;
  std::optional<WeightOrigin> Origin;
  ClientLimits Limits;
  std::vector<Customer> Customers; ///< empty: no key is asked for
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

/// @brief A model server of a pool as the stagers of the others see it.
struct PoolMember {
  std::string Address; ///< "host:port"
  std::string Region;
};

/// @brief What a stager needs to know of the configuration and of its pool: far
/// less than the configuration with its routes.
struct PoolFacts {
  std::string Pool;
  Revision Number = 0;       ///< of the configuration
  std::string OriginAddress; ///< of the weights; empty: none is configured
  std::string OriginFailureDomain;
  std::vector<std::string> Models;     ///< that the servers load
  bool StreamsResume = false;          ///< on all routes to the pool
  std::vector<PoolMember> Members;     ///< empty: not told
  std::vector<LoadedWeights> Declared; ///< newest declared versions
};

/// @brief A server as it registered itself.
struct ServerRecord {
  std::string Id;      ///< of this incarnation
  std::string Address; ///< "host:port"
  std::string Pool;
  std::string FailureDomain;
  std::uint32_t Slots = 0;
  bool Draining = false;
  std::int64_t StartedAtMs = 0; ///< wall time of its start; compared only with
                                ///< other records of the same server
  std::optional<std::vector<LoadedWeights>> Weights; ///< of a model server

  // clang-tidy 14 reports names in the code that the compiler generates here.
  // NOLINTNEXTLINE(readability-identifier-naming)
  friend bool operator==(const ServerRecord &, const ServerRecord &) = default;
};

/// @brief A declared version of a model; versions of one model increase.
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
