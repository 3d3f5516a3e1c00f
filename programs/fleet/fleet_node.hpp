#pragma once

#include "marigoldyard/coordination/membership.hpp"
#include "marigoldyard/coordination/peer_contact.hpp"
#include "marigoldyard/coordination/startup_reader.hpp"
#include "marigoldyard/protocol/fleet_settings.hpp"
#include "marigoldyard/protocol/message.hpp"
#include "marigoldyard/transport/http_client.hpp"
#include "marigoldyard/transport/http_server.hpp"
#include "marigoldyard/transport/line_writer.hpp"
#include "marigoldyard/transport/log.hpp"
#include "marigoldyard/transport/mailbox.hpp"
#include "marigoldyard/transport/metrics.hpp"
#include "marigoldyard/transport/timeout_list.hpp"
#include "programs/fleet/store_reader.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace marigoldyard {

/// @brief Removes the port from an address.
/// @param Address address of the form "host:port"
/// @return the host part
std::string hostPart(const std::string &Address);

/// @brief Which keys a program reads from the store, and how often.
struct StoreReadSettings {
  std::string Prefix; ///< of the keys to read
  /// Prefix of the keys requested from gateways while the store is unreachable.
  std::string RelayPrefix;
  std::chrono::milliseconds WatchDelay{}; ///< delay between two watch calls
  /// Maximum backoff between attempts until the first complete content.
  std::chrono::milliseconds MaxStartupBackoff{};
  /// Timeout of one watch call. Only this limit detects a connection that
  /// stalls without a reset.
  std::chrono::milliseconds WatchTimeout{};
};

/// @brief Callbacks of a program that uses a FleetNode. All are called on the
/// thread of the io_context.
struct FleetHandlers {
  std::function<void(const ChangedKeys &)> StoreChanged;
  /// Receives messages that the FleetNode does not handle itself.
  std::function<void(const Message &)> Received;
  /// Called with a gateway's IP address when the gateway is contacted for the
  /// first time or has restarted.
  std::function<void(const std::string &)> GatewayJoined;
  /// Called with the status of a gateway; returns whether that gateway knows
  /// something of the store that this process lacks.
  std::function<bool(const GatewayStatus &)> StatusReceived;
  /// Called with a peer's IP address when a connection to it closes.
  std::function<void(const std::string &)> PeerLost;
  std::function<void()> Tick;      ///< called at each tick of Timeouts
  std::function<void()> Terminate; ///< called on SIGTERM or SIGINT
  std::function<void()> SettingsChanged;
};

/// @brief Last status that a gateway reported.
struct GatewayInfo {
  std::string CallerAddress;
  bool Ready = false;
  bool Draining = false;
  StorePosition LatestPosition;
};

/// @brief Functions shared by gateways and stagers: log, metrics, messages, the
/// mirror of the store and gateway discovery.
///
/// The platform does not list the processes of this system. The seeds are some
/// of the gateways, and each gateway reports all gateways that it knows, so
/// discovery completes after two messages. Processes are identified by their IP
/// addresses.
class FleetNode {
public:
  /// @brief Interval between status messages of gateways. Three missing
  /// messages are detected well within the time for which callers keep an
  /// address.
  static constexpr std::chrono::milliseconds StatusInterval{400};
  /// @param Settings validated settings
  /// @param Kind Entry for gateways, Endpoint for stagers
  /// @param Use which keys are read from the store
  FleetNode(FleetProcessSettings Settings, MemberKind Kind,
            StoreReadSettings Use);
  ~FleetNode();
  FleetNode(const FleetNode &) = delete;
  FleetNode &operator=(const FleetNode &) = delete;

  /// @brief Opens the sockets and starts the periodic tasks.
  /// @param Callbacks callbacks of the program
  /// @return an error if a socket cannot be opened
  std::optional<Error> start(FleetHandlers Callbacks);

  /// @brief Runs the io_context until stop().
  void run();
  /// @brief Makes run() return. Thread-safe.
  void stop();
  /// @brief Handles a signal on the thread of the io_context. Thread-safe.
  /// @param Signal SIGHUP, SIGTERM or SIGINT
  void handleSignal(int Signal);

  /// @brief Sends a message on the peer socket.
  /// @param Peer IP address of the receiver
  /// @param Content message body
  /// @return whether the message was queued
  bool send(const std::string &Peer, Body Content);
  /// @brief Sends a message on the bulk socket.
  /// @copydoc send
  bool sendBulk(const std::string &Peer, Body Content);

  /// @return live gateways other than this process, by IP address
  std::map<std::string, GatewayInfo> liveGateways() const;
  /// @return IP addresses of the seeds and of all known gateways, without this
  /// process; some may not be running
  std::set<std::string> gatewayAddresses() const;
  /// @param Address IP address of a gateway
  /// @return whether the gateway is known to be in another region
  bool isInOtherRegion(const std::string &Address) const;
  /// @return interval between status messages of a gateway to those of other
  /// regions
  Duration remoteStatusInterval() const;

  /// @brief Replaces connections to gateways that went silent. Called at each
  /// tick by gateways, which report to each other; stagers get reports too
  /// seldom.
  /// @param Leaving whether this process has reported that it leaves
  void replaceSilentConnections(bool Leaving);

  /// @brief Applies the settings that may change at run time: the seeds and the
  /// store's address.
  void applySettings(const FleetProcessSettings &NewSettings);

  /// @return description of this process
  const Member &self() const { return Self; }

  FleetProcessSettings Settings;
  Random Generator;
  const Incarnation ProcessIncarnation;
  boost::asio::io_context Context{1};
  LineWriter Output;
  Logger Log;
  Metrics ProcessMetrics;
  TimeoutList Timeouts;
  HttpClient Client;
  StoreReader Store;
  MembershipState Gateways;

private:
  std::optional<Error> openMailbox(std::unique_ptr<Mailbox> &Target,
                                   std::uint16_t Port, std::string Channel);
  std::optional<Error> openOperatorServer();
  bool sendThrough(Mailbox &SendingMailbox, std::uint16_t Port,
                   const std::string &Peer, Body Content);
  void handleMessage(const Message &Incoming);
  /// Connects at once to a process that has sent a message, so that the answer
  /// does not wait for the end of a backoff.
  void connectToSender(const std::string &Peer);
  void handleGatewayStatus(const std::string &Peer, const Message &Incoming,
                           const GatewayStatus &Status);
  void addGatewayToList(const Member &Gateway);
  void handleRelayRequest(const std::string &Peer,
                          const StoreRelayRequest &Request);
  void tick();
  /// Requests what a gateway knows while the store is unreachable, or once
  /// when a gateway knows what this process lacks.
  void requestRelay();
  /// Whether this process uses the link between regions for content that a
  /// neighbour could read.
  bool mayUseLink(Duration SinceNeeded) const;

  const Member Self;
  const std::string RelayPrefix;
  FleetHandlers Handlers;
  std::map<std::string, GatewayInfo> ContactedGateways; ///< by IP address
  std::set<std::string>
      UncontactedGateways; ///< reported by others, not contacted yet
  PeerContacts Contacts;   ///< with gateways, if this process is one
  std::map<std::string, TimePoint> ConnectingSince; ///< by IP address
  std::unique_ptr<Mailbox> PeerMailbox;
  std::unique_ptr<Mailbox> BulkMailbox;
  std::unique_ptr<HttpServer> OperatorServer;
  const TimePoint StartedAt;
  RelayRequests Relays;
  SentRelays RelaysToOthers;
  std::optional<TimePoint> LacksContentSince; ///< content that others know
  std::string AheadGateway; ///< that knows more of the store; empty if none
};

} // namespace marigoldyard
