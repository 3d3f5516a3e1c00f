#pragma once

#include "marigoldyard/coordination/membership.hpp"
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

/// @brief Host of "host:port".
/// @param Address the address
std::string hostOf(const std::string &Address);

/// @brief What a program reads from the store.
struct StoreUse {
  std::string Prefix; ///< keys that are read
  /// Keys that are asked of gateways while the store is out of reach.
  std::string RelayPrefix;
  std::chrono::milliseconds Pace{}; ///< pause between two watches
  /// Longest pause between tries while nothing is known yet.
  std::chrono::milliseconds FirstReadPause{};
  /// Longest wait of one watch. A connection may fall silent without a reset,
  /// which only this limit shows.
  std::chrono::milliseconds Wait{};
};

/// @brief What a program adds to a FleetNode. All are called on the thread of
/// the io_context.
struct FleetHandlers {
  std::function<void(const ChangedKeys &)> StoreChanged;
  /// Messages other than those about gateways and the store.
  std::function<void(const Message &)> Received;
  /// A gateway was heard for the first time or restarted; gets its IP address.
  std::function<void(const std::string &)> GatewayJoined;
  /// A connection to a peer closed; gets its IP address.
  std::function<void(const std::string &)> PeerLost;
  std::function<void()> Tick;      ///< at each tick of Timeouts
  std::function<void()> Terminate; ///< SIGTERM or SIGINT
  std::function<void()> SettingsChanged;
};

/// @brief Gateway as other processes see it.
struct KnownGateway {
  std::string CallerAddress;
  bool Ready = false;
  bool Leaving = false;
  StoreRevision KnownUpto = 0;
};

/// @brief The duties that gateways and stagers share: log, metrics, messages,
/// the copy of the store and the list of gateways.
///
/// The platform lists no processes of ours. Seeds name some gateways, and each
/// gateway names all that it knows, so that the list is complete after two
/// messages. Processes are named by their IP addresses.
class FleetNode {
public:
  /// @brief Interval of status messages between gateways; three missing ones
  /// are noticed well within the time that callers keep an address.
  static constexpr std::chrono::milliseconds StatusInterval{400};
  /// @brief Interval of questions to a gateway while the store is out of reach.
  static constexpr std::chrono::milliseconds RelayInterval{300};

  /// @param Settings checked settings
  /// @param Kind Entry for gateways, Endpoint for stagers
  /// @param Use what is read from the store
  FleetNode(FleetProcessSettings Settings, MemberKind Kind, StoreUse Use);
  ~FleetNode();
  FleetNode(const FleetNode &) = delete;
  FleetNode &operator=(const FleetNode &) = delete;

  /// @brief Opens the sockets and starts the duties.
  /// @param Callbacks the program's part
  /// @return an error when a socket cannot be opened
  std::optional<Error> start(FleetHandlers Callbacks);

  /// @brief Runs the io_context until stop().
  void run();
  /// @brief Ends run(). Thread-safe.
  void stop();
  /// @brief Reacts to a signal. Thread-safe.
  /// @param Signal SIGHUP, SIGTERM or SIGINT
  void signalled(int Signal);

  /// @brief Sends a message on the peer socket.
  /// @param Peer IP address
  /// @param Content body
  /// @return whether it was queued
  bool send(const std::string &Peer, Body Content);
  /// @brief Sends a message on the bulk socket.
  /// @copydoc send
  bool sendBulk(const std::string &Peer, Body Content);

  /// @brief Live gateways other than the own process, by IP address.
  std::map<std::string, KnownGateway> liveGateways() const;
  /// @brief Gateways that may exist, and seeds.
  std::set<std::string> gatewayAddresses() const;

  /// @brief Takes changed settings: seeds and the store's address.
  void useSettings(const FleetProcessSettings &Fresh);

  /// @return description of the own process
  const Member &self() const { return Self; }

  FleetProcessSettings Settings;
  Random Source;
  const Incarnation Number;
  boost::asio::io_context Context{1};
  LineWriter Output;
  Logger Log;
  Metrics Numbers;
  TimeoutList Timeouts;
  HttpClient Client;
  StoreReader Store;
  MembershipState Gateways;

private:
  std::optional<Error> openMailbox(std::unique_ptr<Mailbox> &Target,
                                   std::uint16_t Port, std::string Channel);
  std::optional<Error> openOperatorServer();
  bool sendOn(Mailbox &Box, std::uint16_t Port, const std::string &Peer,
              Body Content);
  void receive(const Message &Incoming);
  void gatewayStatus(const std::string &Peer, const Message &Incoming,
                     const GatewayStatus &Status);
  void listGateway(const Member &Gateway);
  void relayRequested(const std::string &Peer,
                      const StoreRelayRequest &Request);
  void tick();
  void askForRelay();

  const Member Self;
  const std::string RelayPrefix;
  FleetHandlers Handlers;
  std::map<std::string, KnownGateway> Known; ///< by IP address
  std::set<std::string> Heard; ///< named by others, not heard themselves
  std::unique_ptr<Mailbox> Messages;
  std::unique_ptr<Mailbox> Bulk;
  std::unique_ptr<HttpServer> Operator;
  TimePoint RelayAskedAt{};
};

} // namespace marigoldyard
