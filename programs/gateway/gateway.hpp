#pragma once

#include "marigoldyard/coordination/catch_up.hpp"
#include "marigoldyard/coordination/crash_suspects.hpp"
#include "marigoldyard/coordination/crashing_requests.hpp"
#include "marigoldyard/coordination/dispatch_queue.hpp"
#include "marigoldyard/coordination/drain.hpp"
#include "marigoldyard/coordination/pool_facts.hpp"
#include "marigoldyard/coordination/response_memory.hpp"
#include "marigoldyard/coordination/retry_share.hpp"
#include "marigoldyard/coordination/route_table.hpp"
#include "marigoldyard/coordination/server_table.hpp"
#include "marigoldyard/coordination/startup_survey.hpp"
#include "marigoldyard/coordination/version_bound.hpp"
#include "marigoldyard/protocol/event_stream.hpp"
#include "programs/fleet/fleet_main.hpp"
#include "programs/fleet/fleet_node.hpp"
#include "programs/gateway/caller_session.hpp"
#include "programs/gateway/server_connections.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace marigoldyard {

class RequestRun;

/// @brief Entry point for callers: resolves the directory, reports readiness,
/// and admits, routes and forwards requests.
///
/// A request is handled from socket to socket on one thread, because each
/// hand-over between threads costs a wake-up on the platform. Log output,
/// messages and the operator's pages run on threads of their own.
class Gateway {
public:
  /// @param Settings validated settings
  /// @param File the settings file; reloaded while the process runs
  Gateway(GatewaySettings Settings, SettingsFile<GatewaySettings> File);

  /// @brief Opens the listening sockets and starts the periodic tasks.
  /// @return an error when a socket cannot be opened
  std::optional<Error> start();

  /// @return the services that all fleet programs share: log, messages, store
  FleetNode &node() { return Node; }
  /// @return the configuration in force; null until one is known
  std::shared_ptr<const RouteTable> routes() const { return Routes; }
  /// @return the servers known to this process, with their estimated load
  ServerTable &servers() { return Servers; }
  /// @return the idle connections to servers
  ServerConnections &connections() { return Connections; }
  /// @return the memory that incomplete responses of servers use
  ResponseMemory &responseMemory() { return Responses; }
  /// @return the drain state of this process
  DrainState &drainProgress() { return DrainProgress; }
  /// @return whether the directory may send callers to this process
  bool ready() const;

  /// @brief Chooses a server with free capacity; waits in the queue while there
  /// is none.
  /// @param Query requirements on the server
  /// @param Request the request's queue entry: priority, cost and time limits
  /// @param SetDisconnectHandler called with a handler that ends the wait when
  /// the caller disconnects, and with an empty one after the wait
  /// @return the server, on which the request already counts as started, or the
  /// reason why there is none
  boost::asio::awaitable<ServerChoice> acquireServer(
      ServerRequirements Query, WaitingRequest Request,
      const std::function<void(std::function<void()>)> &SetDisconnectHandler);
  /// @brief Chooses a server with free capacity as acquireServer() does, but
  /// never waits.
  /// @param Query requirements on the server; whether the request is late is
  /// filled in
  /// @param Request priority, cost and time limits of the request
  /// @return the server, on which the request already counts as started, or the
  /// reason why there is none
  ServerChoice acquireNow(ServerRequirements &Query,
                          const WaitingRequest &Request);
  /// @brief Chooses a server with free capacity for a stream that is to leave
  /// its server. It goes before queued requests: its server loads only when all
  /// its streams have ended.
  /// @param Query requirements on the server
  /// @param Request cost of the request and customer
  /// @return the server, on which the request already counts as started, or the
  /// reason why there is none
  ServerChoice acquireForMove(const ServerRequirements &Query,
                              const WaitingRequest &Request);
  /// @brief Moves a stream to another server as soon as one has a free slot.
  /// @param Run removed with removeRun() before it is destroyed; one that is
  /// already known has no effect
  void addLeavingStream(RequestRun &Run);
  /// @brief Records that a server finished the prefill of a prompt and
  /// dispatches queued requests.
  /// @param Id id of the server
  /// @param PromptTokens length of the prompt in tokens
  void finishPrefill(const std::string &Id, std::uint64_t PromptTokens);
  /// @brief Records that a request ended at a server and dispatches queued
  /// requests.
  /// @param Id id of the server
  void releaseServer(const std::string &Id);

  /// @brief Applies what a server said in the head of a response about further
  /// requests.
  /// @param Server record of the server when the request was sent
  /// @param Notice what it said
  void handleNotice(const ServerRecord &Server, const ServerNotice &Notice);

  /// @brief Registers a request in progress, so that it is answered before the
  /// process ends.
  /// @param Run removed with removeRun() before it is destroyed
  void addRun(RequestRun &Run) { Runs.insert(&Run); }
  /// @brief Removes a request in progress.
  /// @param Run an unknown one has no effect
  void removeRun(RequestRun &Run);
  /// @return time at which requests without a response get a final one, because
  /// the process is about to end; TimePoint::max() unless it is leaving
  TimePoint lastResponseAt() const;

  /// @brief Retry budget of a pool; created at the first use.
  /// @param Pool name of the pool
  RetryBudget &retryBudget(const std::string &Pool);
  /// With which id the streams of a pool begin.
  FirstEventId &firstEventId(const std::string &Pool) {
    return FirstEventIds[Pool];
  }

  /// @brief A request that was sent to a model server and has not started, as
  /// far as is known.
  struct UnstartedRequest {
    std::string Server;
    std::string Model;
    std::uint64_t Version = 0; ///< loaded there when the request was sent
    TimePoint SentAt{};
    std::function<void()> Withdraw;
  };
  /// @brief Watches a request until endStartWatch() and withdraws it if it has
  /// not started when the version of its server goes out of use.
  /// @param Watched the request; Withdraw must be callable until
  /// endStartWatch()
  /// @return ticket for endStartWatch()
  std::uint64_t watchStart(UnstartedRequest Watched);
  /// @brief Ends the watch of a request.
  /// @param Ticket of watchStart(); an unknown one has no effect
  void endStartWatch(std::uint64_t Ticket);
  /// @brief Logs and counts a request that started on a version that had
  /// already gone out of use.
  /// @param Request id of the request
  /// @param Server id of the server
  /// @param Model name of the model
  /// @param Version version in the response of the server
  void recordStart(const std::string &Request, const std::string &Server,
                   const std::string &Model, std::uint64_t Version);

  /// @return the prompt parts that may crash servers
  const CrashSuspects &crashSuspects() const { return Suspects; }
  /// @brief Records that a server began to answer a request, and tells the
  /// other gateways about parts that this clears.
  /// @param Parts ids of the shared parts of the prompt
  void recordBegun(const std::vector<std::string> &Parts);
  /// @return the requests that may crash servers
  const CrashingRequests &crashingRequests() const { return Crashing; }
  /// @brief Records that a server completed a request.
  /// @param Request digest of the request
  void recordCompleted(const Digest &Request);

  /// @brief A request that a server had and did not complete.
  struct LostRequest {
    std::string Id;               ///< for the log
    Digest Content;               ///< see RequestRun::contentDigest()
    std::string Server;           ///< IP address and port
    std::int64_t StartedAtMs = 0; ///< of the server
    std::string ServerRun;        ///< see serverRunName()
    TimePoint SentAt{};
    std::chrono::microseconds SentTime{}; ///< time of day of SentAt
    std::vector<std::string> Parts; ///< ids of the shared parts of the prompt
  };
  /// @brief Whether a blocked request is sent once more here.
  /// @param Request digest of the request
  bool mayTryBlocked(const Digest &Request) const;
  /// @brief Records that a blocked request is sent once more.
  /// @param Request digest of the request
  void recordTrial(const Digest &Request);
  /// @brief Counts the end of a server as a crash if it starts again soon after
  /// a request was lost there. A probe does not see a crash that came after
  /// the request was withdrawn, or a server that is back before it.
  /// @param Lost the request
  void watchForRestart(LostRequest Lost);

  /// @brief Checks whether a server has crashed, after a connection to it was
  /// closed before the response was complete, and if so records the crash and
  /// tells the other gateways. Only a refused connection counts, because a lost
  /// answer or an overloaded server also closes connections.
  /// @param Lost the request
  /// @return whether the server has crashed; a second check follows when it
  /// seems to run
  boost::asio::awaitable<bool> checkForCrash(LostRequest Lost);
  /// @brief Records a request that is rejected because servers crash on it.
  /// @param RequestId id of the request, for the log
  /// @param Cause what is blocked, and how often servers crashed on it
  void recordBlockedRequest(const std::string &RequestId,
                            const std::string &Cause);

  /// @brief Records a response to a caller and its latency in the metrics.
  /// @param Kind kind of the route
  /// @param Result outcome, as in the log
  /// @param Latency time since the request was read
  void recordResponse(std::string_view Kind, std::string_view Result,
                      Duration Latency);

private:
  struct Waiter {
    ServerRequirements Query;
    std::optional<ServerChoice> Assignment;
    boost::asio::steady_timer *WakeTimer = nullptr;
  };

  std::optional<Error> listen(const ServerAddress &Address,
                              SessionHandlers Handlers);
  boost::asio::awaitable<void>
  acceptLoop(std::shared_ptr<boost::asio::ip::tcp::acceptor> Acceptor,
             SessionHandlers Handlers);
  SessionHandlers forwardingHandlers();
  SessionHandlers localHandlers();
  boost::asio::awaitable<bool>
  serveLocalRequest(CallerSession &Session,
                    const platform::RequestMessage &Request);
  std::string directoryBody(const std::string &Host,
                            const std::string &Region) const;

  void handleStoreChange(const ChangedKeys &Keys);
  void applyConfiguration(const StoreItem &Item);
  void updateServer(const std::string &Key);
  void updateEvacuation(const std::string &Key);
  /// Counts a request that is about to be sent to a server.
  void countSend(const ServerChoice &Choice, std::uint64_t PromptTokens);
  /// Counts a request that gets no server because a share is used up.
  void countHeld(const ServerChoice &Choice);
  void setColdSettings();
  void recordDeclaredVersion(const StoreItem &Item);
  void logReadinessChange();
  void handleMessage(const Message &Incoming);
  /// Takes over the versions that another gateway requires.
  /// @return whether that gateway has a configuration in force that reading the
  /// store did not bring
  bool handleStatus(const GatewayStatus &Status);
  void handleEngineStatus(const std::string &Stager,
                          const EngineStatus &Status);
  /// Begins to move the streams of a server that is about to load, in the order
  /// in which they arrived.
  void moveStreamsFrom(const std::string &Server);
  /// Moves streams of a pool as far as servers have free slots.
  void moveStreams(const std::string &Pool);
  void handlePoolQuery(const std::string &Stager, const PoolQuestion &Query);
  /// Checks for a crash after a pause: a process that ends may close its
  /// connections before its listening socket.
  boost::asio::awaitable<bool> probeAgain(const LostRequest &Lost);
  void handlePartReport(const std::string &Peer, const PromptPartReport &News);
  boost::asio::awaitable<bool> refusesConnections(const std::string &Address);
  void recordCrash(const LostRequest &Lost);
  /// Records crashes of which a later start of a server tells.
  void recordRestart(const std::string &Address, std::int64_t StartedAtMs);
  void handleCrashReport(const std::string &Peer,
                         const CrashedRequestReport &Report);
  CrashedRequestReport makeCrashReport(CrashReportKind Kind) const;
  /// Tells the other gateways what changed here about crashing requests.
  void sendCrashChanges();
  /// Tells the other gateways what is known here, so that they notice what one
  /// of both lacks.
  /// @param AllRegions as for sendStatus()
  void sendCrashSummary(bool AllRegions);
  void logRequestBlocked(const Digest &Request, const std::string &Source);
  /// Sends a message to the other gateways.
  /// @param AllRegions whether to include those of other regions
  void sendToGateways(const Body &Content, bool AllRegions = true);
  void blockSuspectParts();
  void logPartBlocked(const std::string &Part, const std::string &Source);
  PoolConfiguration describePool(const std::string &Pool) const;
  /// Whether this gateway sends pool descriptions to the stagers of a region:
  /// those of its own region and of regions without a live gateway.
  bool isResponsibleFor(const std::string &Region) const;
  void sendPoolDescriptions();
  void tick();
  /// @param AllRegions whether to include gateways of other regions, to which
  /// status messages go less often in a large fleet
  void sendStatus(bool AllRegions);
  GatewayStatus makeStatus() const;
  /// Time until which a request may start on a version of a model; empty while
  /// no newer one is declared.
  std::optional<TimePoint> startDeadline(const std::string &Model,
                                         std::uint64_t Version) const;
  void handleVersionQuestion(const std::string &Sender,
                             const VersionQuestion &Question);
  void handleVersionAnswer(const std::string &Sender,
                           const VersionAnswer &Answer);
  void handleOutageAnswer(const std::string &Stager,
                          const OutageAnswer &Answer);
  void recordReported(const DeclaredVersion &Declared, TimePoint At);
  void addReported(const DeclaredVersion &Declared);
  /// Asks gateways for the ages of the declarations that they know.
  void askVersions(const std::set<std::string> &Gateways);
  void askLiveGateways();
  /// Asks the other gateways which versions are out of use, after the start.
  void runSurvey();
  void enforceVersions();
  /// Requires a version whose bound has ended at another gateway.
  void requireReported(const DeclaredVersion &Required);
  void withdrawUnstarted(TimePoint Now);
  VersionBoundSettings versionBound() const;
  bool cannotBeServed(const ServerRequirements &Query,
                      TimePoint ExpiresAt) const;
  /// Why no server takes a request that cannot be served.
  ServerShortage unservableReason(const ServerRequirements &Query) const;
  void rejectUnservable();
  void dispatchQueued();
  void dispatchQueued(const std::string &Pool);
  void completeWait(std::uint64_t Ticket, ServerChoice Assignment);
  void terminate();
  /// Ends the waits of requests that have no response yet, so that each gets a
  /// final one before the process ends.
  void expireRuns();
  void reloadSettings();

  void setCallerLimits();
  /// Counts what was refused to callers.
  /// @param Event log event
  /// @param Cause why
  void recordRefusal(std::string_view Event, std::string_view Cause);
  void reportCallers();

  GatewaySettings Settings;
  SettingsFile<GatewaySettings> File;
  /// Declared before the node, whose context destroys the sessions.
  CallerSessions Callers;
  /// Refusals since the last log line, by event and cause.
  std::map<std::pair<std::string, std::string>, std::uint64_t> Refusals;
  FleetNode Node;
  std::shared_ptr<const RouteTable> Routes;
  CatchUp ConfigurationCatchUp;
  ServerTable Servers;
  DispatchQueue Queue;
  std::map<std::uint64_t, Waiter> Waiters; ///< by ticket
  ServerConnections Connections;
  ResponseMemory Responses;
  std::map<std::string, RetryBudget> RetryBudgets;   ///< by pool
  std::map<std::string, FirstEventId> FirstEventIds; ///< by pool
  RetryShare SharedRetries; ///< part of this gateway in the retries of all
  DrainState DrainProgress;
  std::set<RequestRun *> Runs; ///< in progress
  /// Streams at servers that are about to load, oldest first.
  std::vector<RequestRun *> LeavingStreams;
  bool LoggedReady = false;  ///< readiness as last logged
  bool KnowsContent = false; ///< of the store
  /// A stager from which a message arrived recently.
  struct KnownStager {
    TimePoint LastMessageAt{};
    std::string Region;
    std::string Pool; ///< empty until it asks for a pool
  };
  std::map<std::string, KnownStager> Stagers;            ///< by IP address
  std::map<std::string, std::uint64_t> DeclaredVersions; ///< latest, by model
  /// A declared version for which older ones may still be in use.
  struct PendingVersion {
    DeclaredVersion Declared;
    DeclarationEvidence Evidence;
    /// Whether it stands for several declarations that a newer one hid. Reports
    /// on one of them say nothing about the others.
    bool CoversSeveral = false;
    /// Set if the store was unavailable before the declaration.
    std::optional<OutageInquiry> Outage;
    bool Required = false; ///< older versions get no requests
  };
  void addPending(PendingVersion Pending);
  /// Asks stagers whether they saw the outage that this gateway saw.
  void askAboutOutage(PendingVersion &Pending);
  void logDeclaration(std::string_view Event, const PendingVersion &Pending);
  std::vector<PendingVersion> PendingVersions;
  /// Lower bounds of acknowledgements in answers of other gateways, which may
  /// arrive before the declaration itself.
  std::map<DeclaredVersion, TimePoint> ReportedDeclarations;
  AgeQuestions Questions;
  StartupSurvey Survey;
  bool SurveyEnded = false;
  TimePoint LastSurveyQuestionAt{};
  std::map<std::uint64_t, UnstartedRequest> UnstartedRequests; ///< by ticket
  std::uint64_t LastStartTicket = 0;
  CrashSuspects Suspects;
  CrashingRequests Crashing;
  /// A request that was lost at a server without a sign that it crashed.
  struct UnexplainedLoss {
    LostRequest Lost;
    TimePoint At{};
  };
  std::deque<UnexplainedLoss> UnexplainedLosses; ///< oldest first
  TimePoint LastTickAt{};
  TimePoint LastStatusAt{};
  TimePoint LastRemoteStatusAt{};
  TimePoint LastStagerStatusAt{};
  TimePoint LastMaintenanceAt{};
};

} // namespace marigoldyard
