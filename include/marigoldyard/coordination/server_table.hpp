#pragma once

#include "marigoldyard/state/fleet.hpp"
#include "marigoldyard/state/time.hpp"
#include "marigoldyard/state/types.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marigoldyard {

/// @brief Times and limits of the choice of servers.
struct ServerTableSettings {
  std::string Region; ///< of the own process
  std::map<std::string, std::string, std::less<>> RegionOf; ///< by domain
  /// First pause of sends to a server that did not answer; it doubles up to
  /// LongestPause. A crashed server is back after some seconds.
  Duration FirstPause = std::chrono::milliseconds(500);
  Duration LongestPause = std::chrono::seconds(4);
  /// How long a server counts as loading after its stager said so: loading
  /// waits for the requests in progress.
  Duration LoadingHold = std::chrono::seconds(6);
  /// Weight of one answer in the moving average of failures.
  double FailureWeight = 0.15;
  /// Failure rate above that of the pool at which a server is used only when
  /// no other has room: well above the scatter of a moving average.
  double FailureExcess = 0.3;
  /// Requests that may wait at a model server besides those that run, so that
  /// a freed slot is filled without a round trip.
  std::uint32_t WaitingAtEngine = 1;
  /// Part of a model server's slots that requests may take that miss their
  /// target anyway; the rest lets others begin in time.
  double LateShare = 0.95;
  /// Gateways that send to the same servers, the own one included. Between two
  /// answers of a server the others send to it as often as this one.
  std::uint32_t Sharers = 1;
  /// Passes of reading whose prompts may be at a model server at once. More
  /// would only wait there, where a more urgent request cannot overtake them.
  double ReadingPasses = 1.3;
};

/// @brief What a stager says about the server on its machine.
struct EngineNews {
  std::string Address; ///< of the server
  std::int64_t StartedAtMs = 0;
  bool Accepting = true;  ///< false while it is about to load
  std::uint32_t Load = 0; ///< requests of all callers there
  std::vector<LoadedWeights> Weights;
};

/// @brief One server as the own process sees it.
struct ServerState {
  ServerRecord Record;
  std::string Region;
  std::uint32_t InFlight = 0; ///< own requests
  // Load as an answer told it, and own requests begun and ended since.
  std::optional<std::uint32_t> ToldLoad;
  std::int64_t BegunSince = 0;
  std::uint64_t ReadingTokens = 0; ///< own prompts without a first event
  std::uint32_t FailuresInRow = 0;
  double FailureRate = 0;
  TimePoint PausedUntil{};
  TimePoint LoadingUntil{};
  /// A later server has the address; the record has not lapsed yet.
  bool Replaced = false;
  std::vector<LoadedWeights> Weights;
};

/// @brief Servers of all pools.
struct ServerTable {
  ServerTableSettings Settings;
  std::unordered_map<std::string, ServerState> Servers; ///< by id
  std::map<std::string, std::set<std::string>, std::less<>> ByPool;
  std::map<std::string, std::string, std::less<>> IdByAddress;
  std::map<std::string, std::uint64_t, std::less<>> RequiredVersions;
};

/// @brief Adds or replaces the record of a server.
/// @param Table the servers
/// @param Record the record
/// @complexity logarithmic in the number of servers
void putServer(ServerTable &Table, const ServerRecord &Record);

/// @brief Removes a server.
/// @param Table the servers
/// @param Id the server
/// @complexity logarithmic in the number of servers
void removeServer(ServerTable &Table, const std::string &Id);

/// @brief Takes news of a stager, which is fresher than the record.
/// @param Table the servers
/// @param News the news
/// @param Now the time
/// @return false for an unknown server or an earlier start of it
/// @complexity logarithmic in the number of servers
bool noteEngineNews(ServerTable &Table, const EngineNews &News, TimePoint Now);

/// @brief Lowest version of a model that may serve from now on.
/// @param Table the servers
/// @param Required model and version; lower than before changes nothing
void requireVersion(ServerTable &Table, const DeclaredVersion &Required);

/// @brief What a server is needed for.
struct ServerQuestion {
  std::string_view Pool;
  std::string_view Model;                    ///< empty: any
  std::optional<std::uint64_t> ExactVersion; ///< of a stream in progress
  std::set<std::string> Excluded;            ///< ids that were tried
  std::uint64_t PromptTokens = 0;
  std::uint64_t TokensAtOnce = 0; ///< read by a server in one pass; 0: any
  bool Late = false;              ///< it misses its target anyway
};

/// @brief Why there is no server.
enum class ServerShortage : std::uint8_t {
  None,    ///< one was found
  Full,    ///< servers exist, none has room
  Loading, ///< servers exist, none has the weights or they are about to load
  Absent,  ///< the pool has no usable server
};

/// @brief Name of a shortage for logs.
/// @param Value the shortage
/// @return a lower-case name
std::string_view serverShortageName(ServerShortage Value);

/// @brief A server, or why there is none.
struct ServerChoice {
  std::string Id;
  ServerShortage Shortage = ServerShortage::Absent;
};

/// @brief Chooses the least loaded server with room, in the own region first.
/// @param Table the servers
/// @param Question what it is needed for
/// @param Now the time
/// @param Source randomness for equal loads
/// @return the server, or why there is none
/// @complexity linear in the servers of the pool
ServerChoice chooseServer(const ServerTable &Table,
                          const ServerQuestion &Question, TimePoint Now,
                          Random &Source);

/// @brief Counts a request that is sent to a server.
/// @param Table the servers
/// @param Id the server
/// @param PromptTokens tokens that the server reads before the first event
void noteBegun(ServerTable &Table, const std::string &Id,
               std::uint64_t PromptTokens);

/// @brief Counts the end of the reading of a prompt.
/// @param Table the servers
/// @param Id the server
/// @param PromptTokens the same as for noteBegun
void noteRead(ServerTable &Table, const std::string &Id,
              std::uint64_t PromptTokens);

/// @brief Counts the end of a request.
/// @param Table the servers
/// @param Id the server
void noteEnded(ServerTable &Table, const std::string &Id);

/// @brief Records the load that an answer told.
/// @param Table the servers
/// @param Id the server
/// @param Load running and waiting requests, of all callers
void noteLoad(ServerTable &Table, const std::string &Id, std::uint32_t Load);

/// @brief How a request to a server ended, for the view of its health.
enum class ServerOutcome : std::uint8_t {
  Answered,    ///< whole answer, or a refusal that says not run
  Erred,       ///< its own failure
  Broken,      ///< broke off or sent something else
  Silent,      ///< no answer in time
  Unreachable, ///< no connection
};

/// @brief Records the end of a request for the view of the server's health.
/// @param Table the servers
/// @param Id the server
/// @param Outcome how it ended
/// @param Now the time
void noteOutcome(ServerTable &Table, const std::string &Id,
                 ServerOutcome Outcome, TimePoint Now);

/// @brief Newest version of a model that a server is known to have.
/// @param Server the server
/// @param Model the model
/// @return the version; 0 when it has none
std::uint64_t loadedVersion(const ServerState &Server, std::string_view Model);

/// @brief Estimated requests at a server, of all callers.
/// @param Table the servers
/// @param Server the server
/// @return the estimate
std::uint32_t estimatedLoad(const ServerTable &Table,
                            const ServerState &Server);

/// @brief Requests that may be at a server at once.
/// @param Table the servers, for the settings
/// @param Server the server
/// @return the limit
std::uint32_t loadLimit(const ServerTable &Table, const ServerState &Server);

} // namespace marigoldyard
