#pragma once

#include "marigoldyard/coordination/cold_share.hpp"
#include "marigoldyard/coordination/placement.hpp"
#include "marigoldyard/coordination/server_notice.hpp"
#include "marigoldyard/state/fleet.hpp"
#include "marigoldyard/state/time.hpp"
#include "marigoldyard/state/types.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marigoldyard {

/// @brief Parameters of server selection.
struct ServerTableSettings {
  std::string Region; ///< region of this process
  std::map<std::string, std::string, std::less<>> RegionOf; ///< by domain
  /// First backoff after a server did not answer; it doubles up to MaxBackoff.
  /// A crashed server usually restarts within some seconds.
  Duration InitialBackoff = std::chrono::milliseconds(500);
  Duration MaxBackoff = std::chrono::seconds(4);
  /// A status that arrives sooner after a refusal may be older than it.
  Duration StatusDelay = std::chrono::milliseconds(300);
  /// A server whose stager reported longer ago may not run any more.
  Duration StatusLifetime = std::chrono::seconds(1);
  /// How long a server counts as loading after its stager reported it. Loading
  /// starts only after the requests in progress have ended.
  Duration LoadingTimeout = std::chrono::seconds(6);
  /// Weight of one answer in the exponential moving average of failures.
  double FailureWeight = 0.15;
  /// Excess of the failure rate over the mean of the pool above which a server
  /// is used only when no other has capacity. It is well above the noise of the
  /// moving average.
  double FailureExcess = 0.3;
  /// Requests that may wait at a model server in addition to the running ones,
  /// so that a freed slot is filled without a round trip.
  std::uint32_t EngineQueueDepth = 1;
  /// Share of the capacity of a model server, 0 to 1, available to requests
  /// that miss their latency target anyway. The rest lets other requests start
  /// in time.
  double LateRequestShare = 0.95;
  /// Number of gateways that send to the same servers, including this one.
  /// Between two answers of a server, each of them is assumed to send as many
  /// requests as this one.
  std::uint32_t SharingGateways = 1;
  /// Number of prefill passes whose prompts may be at a model server at once.
  /// More prompts would wait there, where a more urgent request cannot overtake
  /// them.
  double PrefillPasses = 1.3;
  /// Time after the last measurement for which StartDelay is relied on.
  Duration StartDelayLifetime = std::chrono::seconds(2);
  /// Assumed start delay without a recent measurement.
  Duration UnknownStartDelay = std::chrono::milliseconds(700);
  /// Part of the time until a request must start that its way to the server and
  /// its wait there may take. The delay may still grow after it was measured.
  double StartDelayShare = 0.5;
  /// Number of servers without a record whose notices are kept. The record of a
  /// live server may be missing for a time.
  std::size_t MaxAbsentServers = 1024;
};

/// @brief Status that a stager reports about the server on its machine.
struct EngineStatusReport {
  std::string Address; ///< of the server
  std::int64_t StartedAtMs = 0;
  bool Accepting = true;  ///< false while the server prepares to load weights
  std::uint32_t Load = 0; ///< requests of all callers at the server
  std::vector<LoadedWeights> Weights;
};

/// @brief What this process knows about one server.
struct ServerState {
  ServerRecord Record;
  std::string Region;
  std::uint32_t InFlight = 0; ///< requests of this process in progress
  // Load in the last report of the server or its stager, and the number of
  // requests that this process has started less those ended since then.
  std::optional<std::uint32_t> ReportedLoad;
  std::int64_t StartedSinceReport = 0;
  std::uint64_t PrefillTokens = 0; ///< own prompts before their first event
  std::uint32_t ConsecutiveFailures = 0;
  double FailureRate = 0;
  TimePoint BackoffUntil{};
  TimePoint LoadingUntil{};
  /// Refusals that contradict what is known about the server, since its state
  /// was last reported; no request is sent to it until DoubtedUntil.
  std::uint32_t Contradictions = 0;
  TimePoint ContradictedAt{};
  TimePoint DoubtedUntil{};
  TimePoint EngineReportedAt{}; ///< latest status of its stager
  /// Send times of requests of this process that have not started there.
  std::multiset<TimePoint> UnstartedSentAt;
  /// Recent maximum of the time from sending a request to its start.
  Duration StartDelay{};
  TimePoint StartDelayAt{}; ///< of the last measurement
  /// A server that started later has the address, but the record of this one
  /// has not expired yet.
  bool Replaced = false;
  ServerAvailability Availability;
  std::vector<LoadedWeights> Weights;
  ColdServerState Cold;
};

/// @brief Notices of a server that has no record.
struct AbsentServer {
  std::string Id;
  std::int64_t StartedAtMs = 0; ///< 0 when unknown
  ServerAvailability Availability;
};

/// @brief Servers of all pools, with indexes by pool and address.
struct ServerTable {
  ServerTableSettings Settings;
  std::unordered_map<std::string, ServerState> Servers; ///< by id
  std::map<std::string, std::set<std::string>, std::less<>> ByPool;
  /// Servers whose records name an address. There are several while a server
  /// has taken over the address of one whose record has not expired.
  std::map<std::string, std::set<std::string>, std::less<>> IdsByAddress;
  /// The server that has an address.
  std::map<std::string, std::string, std::less<>> OwnerByAddress;
  std::map<std::string, std::uint64_t, std::less<>> RequiredVersions;
  /// Whether RequiredVersions can be relied on; until then no request is sent
  /// to a model server.
  bool RequiredVersionsKnown = true;
  /// By model and declared version: time until which a request may start on an
  /// older version.
  std::map<std::string, std::map<std::uint64_t, TimePoint>, std::less<>>
      StartDeadlines;
  std::deque<AbsentServer> AbsentServers; ///< oldest first
  EvacuatedDomains Evacuated;             ///< their servers get no requests
  ColdShares Shares;                      ///< of requests to cold servers
  /// By pool; pools without such a limit are left out.
  std::map<std::string, ColdLimit, std::less<>> ColdLimits;
  /// Layers of the models of a pool; pools that load whole models are left out.
  std::map<std::string, std::uint32_t, std::less<>> LayersByPool;
};

/// @brief Adds or replaces the record of a server. A restart resets its state.
/// A server that moved gives its address back.
/// @complexity logarithmic in the number of servers
void putServer(ServerTable &Table, const ServerRecord &Record);

/// @brief Removes a server and its index entries. Its notices are kept, in case
/// its record returns without a restart.
/// @param Id server id; an unknown one has no effect
/// @complexity logarithmic in the number of servers
void removeServer(ServerTable &Table, const std::string &Id);

/// @brief Applies the status reported by a stager, which is more recent than
/// the record of the server.
/// @return false when the server is unknown or the status is from before its
/// last restart
/// @complexity logarithmic in the number of servers
bool applyEngineStatus(ServerTable &Table,
                       const EngineStatusReport &EngineStatus, TimePoint Now);

/// @brief Raises the minimum version of a model that servers must have loaded.
/// @param Required model and version; a lower version has no effect
void requireVersion(ServerTable &Table, const DeclaredVersion &Required);

/// @brief Requirements of a request on the server that is selected for it.
struct ServerRequirements {
  std::string_view Pool;
  std::string_view Model;                    ///< empty when any model will do
  std::optional<std::uint64_t> ExactVersion; ///< of a resumed stream
  std::set<std::string> Excluded; ///< ids of the servers of earlier attempts
  std::uint64_t PromptTokens = 0;
  std::uint64_t TokensPerPass = 0; ///< prompt tokens that a server reads in one
                                   ///< prefill pass; 0 for no limit
  bool Late = false; ///< the request misses its latency target anyway
  /// Whether the request may wait at a model server. The places for it are left
  /// to urgent requests, which overtake there.
  bool MayQueueAtServer = true;
  RegionLimit AllowedRegions; ///< of the server
  /// Regions whose servers are left to requests that wait longer.
  std::set<std::string, std::less<>> ReservedRegions;
};

/// @brief Reason why no server was selected.
enum class ServerShortage : std::uint8_t {
  None,     ///< a server was selected
  Full,     ///< usable servers have no capacity
  Loading,  ///< no usable server has the weights, or they are about to load
  Refusing, ///< every server leaves, or refuses requests until too late
  Absent,   ///< the pool has no usable server
  /// every server of the pool is in a region that the request may not use, or
  /// in an evacuated domain
  NotAllowed,
};

/// @brief Returns the name of a shortage for logs.
/// @return the name in lower case
std::string_view serverShortageName(ServerShortage Value);

/// @brief The selected server, or the reason why there is none.
struct ServerChoice {
  std::string Id; ///< empty when no server was selected
  ServerShortage Shortage = ServerShortage::Absent;
  /// Whether a server had room, but this process has used up its share of the
  /// requests that the server tolerates while it is cold.
  bool HeldByShare = false;
};

/// @brief Selects the server with the lowest load score among those that have
/// capacity. Servers of other regions and servers that fail get a penalty.
/// @param Generator random number generator for ties
/// @return the server, or the reason why there is none
/// @complexity linear in the number of servers of the pool
ServerChoice chooseServer(const ServerTable &Table,
                          const ServerRequirements &Requirements, TimePoint Now,
                          Random &Generator);

/// @brief Applies what a server said in the head of a response.
/// @param Id server id; one without a record is remembered
/// @param StartedAtMs start of the server that was known when the request was
/// sent; that it leaves has no effect after a restart
/// @param Now time at which the head was read
/// @return what the notice changed
NoticeChange recordNotice(ServerTable &Table, const std::string &Id,
                          std::int64_t StartedAtMs, const ServerNotice &Notice,
                          TimePoint Now);

/// @brief Whether a server that was chosen may still get the request: it has a
/// record, is not evacuated, does not leave and does not refuse requests.
bool mayReceive(const ServerTable &Table, const std::string &Id, TimePoint Now);

/// @brief Whether a pool has a server to which a request may go at all: in an
/// allowed region, and not in an evacuated domain.
/// @param Requirements pool and allowed regions
/// @return true for a pool without servers, which may get some
/// @complexity linear in the number of servers of the pool
bool hasAllowedServer(const ServerTable &Table,
                      const ServerRequirements &Requirements);

/// @brief Begins or ends the evacuation of a failure domain. Its servers may be
/// cold before and after it.
/// @return whether the domain was not evacuated before, or was
/// @complexity linear in the number of servers
bool setEvacuated(ServerTable &Table, const std::string &Domain,
                  bool IsEvacuated, TimePoint Now);

/// @brief Applies what the record of a server says about being cold. It has no
/// effect when the server started later.
/// @param Record after putServer()
void recordServerColdness(ServerTable &Table, const ServerRecord &Record,
                          TimePoint Now);

/// @brief Whether a server is cold, as far as is known.
/// @param Id server id; an unknown one is not
bool isCold(const ServerTable &Table, const std::string &Id, TimePoint Now);

/// @brief Records a request that is sent to a server of a pool with a limit for
/// cold servers.
/// @param Id server id; an unknown one has no effect
void recordSend(ServerTable &Table, const std::string &Id, TimePoint Now);

/// @brief Whether a server leaves, by its record or by its own responses.
/// @param Id server id; an unknown one does not leave
bool isLeaving(const ServerTable &Table, const std::string &Id);

/// @brief Returns when a pool, in which every server leaves, is not allowed or
/// refuses requests for a time, takes a request.
/// @param Requirements pool, allowed regions, and servers that cannot be used
/// for the request
/// @return the earliest end of a refusal; TimePoint::max() when there is none;
/// nothing when a server neither leaves nor refuses, or the pool is empty
/// @complexity linear in the number of servers of the pool
std::optional<TimePoint> refusedUntil(const ServerTable &Table,
                                      const ServerRequirements &Requirements,
                                      TimePoint Now);

/// @brief Counts a request that is sent to a server.
/// @param Id server id; an unknown one has no effect
/// @param PromptTokens tokens that the server reads before the first event
void recordRequestStart(ServerTable &Table, const std::string &Id,
                        std::uint64_t PromptTokens);

/// @brief Records that a server has finished the prefill of a prompt.
/// @param Id server id; an unknown one has no effect
/// @param PromptTokens the value that was passed to recordRequestStart
void recordPrefillEnd(ServerTable &Table, const std::string &Id,
                      std::uint64_t PromptTokens);

/// @brief Counts the end of a request that was sent to a server.
/// @param Id server id; an unknown one has no effect
void recordRequestEnd(ServerTable &Table, const std::string &Id);

/// @brief Records the load that a server reported in an answer.
/// @param Id server id; an unknown one has no effect
/// @param Load running and waiting requests of all callers
void recordReportedLoad(ServerTable &Table, const std::string &Id,
                        std::uint32_t Load);

/// @brief Result of a request to a server, as an input of its health.
enum class ServerOutcome : std::uint8_t {
  Answered,      ///< complete answer, or a refusal that states not run
  ServerError,   ///< the server answered with a failure of its own
  InvalidAnswer, ///< the answer was truncated or malformed
  AnswerTimeout, ///< no answer in time
  Unreachable,   ///< the connection failed
  /// a refusal, a server error or a late response that does not end; the server
  /// looks idle, so that it would draw one request after the other
  EndlessAnswer,
};

/// @brief Updates the failure rate and the backoff of a server after a request.
/// @param Id server id; an unknown one has no effect
/// @param Now start of a backoff
void recordServerOutcome(ServerTable &Table, const std::string &Id,
                         ServerOutcome Outcome, TimePoint Now);

/// @brief Records that a server refused a request because it is not the server,
/// or does not have the weights, that its record and its stager told of. Such a
/// server answers at once and looks idle, so that it would attract one request
/// after the other. It gets none until its state is reported anew, except for
/// probes after a backoff.
/// @param Id server id; an unknown one has no effect
/// @param Now start of the backoff
void recordContradiction(ServerTable &Table, const std::string &Id,
                         TimePoint Now);

/// @brief Records that a server served a request, which ends the doubts about
/// it.
/// @param Id server id; an unknown one has no effect
void recordServed(ServerTable &Table, const std::string &Id);

/// @brief Records a request that is sent to a server and must start there
/// before the version of the server goes out of use.
/// @param Id server id; an unknown one has no effect
void recordUnstarted(ServerTable &Table, const std::string &Id,
                     TimePoint SentAt);

/// @brief Records that a request has started, or that the wait for it ended.
/// @param Id server id; an unknown one has no effect
/// @param SentAt the value that was passed to recordUnstarted
void recordStarted(ServerTable &Table, const std::string &Id, TimePoint SentAt,
                   TimePoint Now);

/// @brief Returns how long a request that is sent to a server now is expected
/// to take until it starts: the time for which the oldest unstarted request has
/// waited, or the recent maximum.
/// @return the delay; at least UnknownStartDelay without a recent measurement
Duration expectedStartDelay(const ServerTable &Table, const ServerState &Server,
                            TimePoint Now);

/// @brief Whether a model server runs and all its slots are taken, so that a
/// request which has not started there is waiting and not lost.
/// @param Id server id; an unknown one is not busy
bool isBusy(const ServerTable &Table, const std::string &Id, TimePoint Now);

/// @brief Whether a server is about to load weights or loads them, by the last
/// status of its stager.
/// @param Id server id; an unknown one is not
bool isAboutToLoad(const ServerTable &Table, const std::string &Id,
                   TimePoint Now);

/// @brief Returns the newest version of a model that a server is known to have
/// loaded.
/// @return the version; 0 when the model is not loaded
std::uint64_t loadedVersion(const ServerState &Server, std::string_view Model);

/// @brief Estimates the number of requests of all callers at a server.
/// @param Table provides the settings
/// @return the estimate; at least the requests of this process in progress
std::uint32_t estimatedLoad(const ServerTable &Table,
                            const ServerState &Server);

/// @brief Returns the maximum number of requests at a server at once, running
/// and waiting.
/// @param Table provides the settings
std::uint32_t loadLimit(const ServerTable &Table, const ServerState &Server);

} // namespace marigoldyard
