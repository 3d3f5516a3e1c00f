#pragma once

#include "marigoldyard/coordination/dispatch_queue.hpp"
#include "marigoldyard/coordination/drain.hpp"
#include "marigoldyard/coordination/pool_facts.hpp"
#include "marigoldyard/coordination/retry.hpp"
#include "marigoldyard/coordination/route_table.hpp"
#include "marigoldyard/coordination/server_table.hpp"
#include "marigoldyard/coordination/version_bound.hpp"
#include "programs/fleet/fleet_main.hpp"
#include "programs/fleet/fleet_node.hpp"
#include "programs/gateway/caller_session.hpp"
#include "programs/gateway/server_connections.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace marigoldyard {

/// @brief Serves callers: directory, readiness, admission, routing, forwarding.
///
/// One thread carries a request from socket to socket, because each hand-over
/// between threads costs a wake-up on the platform; log output, messages and
/// the operator's pages have threads of their own.
class Gateway {
public:
  /// @param Settings checked settings
  /// @param File the settings file, read again while the process runs
  Gateway(GatewaySettings Settings, SettingsFile<GatewaySettings> File);

  /// @brief Opens the sockets and starts the duties.
  /// @return an error when a socket cannot be opened
  std::optional<Error> start();

  /// @return the shared duties
  FleetNode &node() { return Base; }
  /// @return the configuration in force, or null
  std::shared_ptr<const RouteTable> routes() const { return Routes; }
  /// @return servers as this process sees them
  ServerTable &servers() { return Servers; }
  /// @return idle connections to servers
  ServerConnections &connections() { return Connections; }
  /// @return departure of this process
  DrainState &departure() { return Departure; }
  /// @return whether callers may be sent here
  bool ready() const;

  /// @brief Waits for a server with room.
  /// @param Question what it is needed for
  /// @param Request position and limits in the queue
  /// @param Left called with a handler that ends the wait early
  /// @return the server, counted as begun, or why there is none
  boost::asio::awaitable<ServerChoice>
  acquireServer(ServerQuestion Question, WaitingRequest Request,
                const std::function<void(std::function<void()>)> &Left);
  /// @brief Counts the end of the reading of a prompt and begins waiting
  /// requests.
  /// @param Id the server
  /// @param PromptTokens tokens of the prompt
  void promptRead(const std::string &Id, std::uint64_t PromptTokens);
  /// @brief Counts the end of a request at a server and begins waiting ones.
  /// @param Id the server
  void releaseServer(const std::string &Id);

  /// @brief Retry budget of a pool.
  /// @param Pool name of the pool
  RetryBudget &retryBudget(const std::string &Pool);

  /// @brief Until when a request may begin at a server on its version.
  /// @param Id the server
  /// @param Model the model
  /// @return the time; nothing while no newer version is declared
  std::optional<TimePoint> beginUntil(const std::string &Id,
                                      const std::string &Model) const;

  /// @brief Counts an answer to a caller and its latency.
  /// @param Kind kind of route
  /// @param Result outcome for logs and metrics
  /// @param Latency since the request was read
  void countAnswer(std::string_view Kind, std::string_view Result,
                   Duration Latency);

private:
  struct Waiter {
    ServerQuestion Question;
    std::optional<ServerChoice> Grant;
    boost::asio::steady_timer *Wake = nullptr;
  };

  std::optional<Error> listen(const ServerAddress &Address,
                              SessionHandlers Handlers);
  boost::asio::awaitable<void>
  acceptLoop(std::shared_ptr<boost::asio::ip::tcp::acceptor> Acceptor,
             SessionHandlers Handlers);
  SessionHandlers callerHandlers();
  SessionHandlers ownHandlers();
  boost::asio::awaitable<bool>
  answerOwn(CallerSession &Session, const platform::RequestMessage &Request);
  std::string directoryBody(const std::string &Region) const;

  void storeChanged(const ChangedKeys &Keys);
  void configurationChanged(const StoreItem &Item);
  void serverChanged(const std::string &Key);
  void versionChanged(const StoreItem &Item);
  void noteReadiness();
  void received(const Message &Incoming);
  void engineStatus(const std::string &Stager, const EngineStatus &Status);
  void poolAsked(const std::string &Stager, const PoolQuestion &Question);
  PoolFacts factsAbout(const std::string &Pool) const;
  /// Whether stagers of a region learn from this gateway: its own region, and
  /// those without a gateway.
  bool caresFor(const std::string &Region) const;
  void tellStagers();
  void tick();
  void sendStatus();
  VersionNews versionNews() const;
  void enforceVersions();
  void beginWaiting();
  void beginWaiting(const std::string &Pool);
  void wake(std::uint64_t Ticket, ServerChoice Grant);
  void terminate();
  void rereadSettings();
  double retryReserve() const;

  GatewaySettings Settings;
  SettingsFile<GatewaySettings> File;
  FleetNode Base;
  std::shared_ptr<const RouteTable> Routes;
  ServerTable Servers;
  DispatchQueue Queue;
  std::map<std::uint64_t, Waiter> Waiters; ///< by ticket
  ServerConnections Connections;
  std::map<std::string, RetryBudget> Budgets; ///< by pool
  std::size_t OtherGateways = 0;              ///< live ones, for the budgets
  DrainState Departure;
  bool WasReady = false; ///< as last logged
  /// A stager that sent a message lately.
  struct KnownStager {
    TimePoint Heard{};
    std::string Region;
    std::string Pool; ///< empty until it asks for facts
  };
  std::map<std::string, KnownStager> Stagers;    ///< by IP address
  std::map<std::string, std::uint64_t> Declared; ///< versions, by model
  /// A declared version that servers need not have yet.
  struct PendingVersion {
    DeclaredVersion Declared;
    TimePoint RequiredAt; ///< older ones get no request from then on
    TimePoint BeginUntil; ///< no request begins on older ones from then on
  };
  std::vector<PendingVersion> Pending;
  TimePoint StatusAt{};
  TimePoint StagerStatusAt{};
  TimePoint MaintenanceAt{};
};

} // namespace marigoldyard
