#pragma once

#include "marigoldyard/coordination/configuration.hpp"
#include "marigoldyard/coordination/membership.hpp"
#include "marigoldyard/coordination/watch_plan.hpp"
#include "marigoldyard/protocol/message.hpp"
#include "marigoldyard/protocol/settings.hpp"
#include "marigoldyard/transport/event_log.hpp"
#include "marigoldyard/transport/http_client.hpp"
#include "marigoldyard/transport/http_server.hpp"
#include "marigoldyard/transport/line_writer.hpp"
#include "marigoldyard/transport/log.hpp"
#include "marigoldyard/transport/mailbox.hpp"
#include "marigoldyard/transport/metrics.hpp"
#include "programs/node/core_loop.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace marigoldyard {

/// @brief What a daemon adds to a node. All are called on the core thread;
/// empty ones are skipped.
struct NodeHandlers {
  /// A message of a current incarnation; configuration messages are handled by
  /// the node.
  std::function<void(const Message &)> Received;
  /// A chunk of a peer, and whether its bytes match its digest. They are
  /// compared on the receive thread, so that the core thread does not wait.
  std::function<void(const std::string &, ChunkData &&, bool)> ChunkArrived;
  /// A connection closed, or the peer restarted or is suspected.
  std::function<void(const std::string &)> PeerLost;
  std::function<void()> ConfigurationChanged;
  std::function<void()> MembersChanged;
  std::function<void(Duration)> Paused;
  std::function<void()> DrainRequested;
  /// Adds to the status page.
  std::function<void(nlohmann::json &)> Status;
  /// Readiness beyond that of the configuration.
  std::function<bool()> Ready;
};

/// @brief The duties that every daemon has: links to peers, configuration,
/// membership, platform watch, operator pages.
class Node {
public:
  /// @brief Longest gap between turns of the core loop after which cached views
  /// still hold; a death is detected within the same time.
  static constexpr Duration Lease = std::chrono::seconds(1);

  /// @param Settings checked settings
  /// @param Self own entry in the VM list, for peers whose list lags
  Node(ProcessSettings Settings, Member Self);
  ~Node();
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  /// @brief Opens the sockets and starts the threads of the duties.
  /// @param Callbacks the daemon's part
  /// @return an error when a socket cannot be opened
  std::optional<Error> start(NodeHandlers Callbacks);

  /// @brief Runs the core loop until stop().
  void run();
  /// @brief Ends run(). Thread-safe.
  void stop() { Loop.stop(); }
  /// @brief Reacts to SIGINT and SIGTERM (drain) and SIGHUP (reread keys).
  /// Thread-safe.
  /// @param Signal the signal number
  /// @param Reread reads the keys again
  void signalled(int Signal, const std::function<KeyRing()> &Reread);

  /// @brief Sends a message to a peer by name. Core thread only.
  /// @param Peer name of the peer
  /// @param Content body of the message
  /// @return whether it was queued
  bool send(const std::string &Peer, Body Content);
  /// @brief Sends a message on the bulk socket. Core thread only.
  /// @copydoc send
  bool sendBulk(const std::string &Peer, Body Content);
  /// @brief Removes waiting messages to a peer that were never sent.
  /// @param Peer name of the peer
  /// @param Matches chooses messages
  /// @return number of removed messages
  std::size_t withdraw(const std::string &Peer,
                       const std::function<bool(const Message &)> &Matches);
  /// @brief Opens a connection to a peer before the first message.
  /// @param Peer name of the peer
  void connect(const std::string &Peer);

  /// @return messages that wait in the outboxes of current peers
  std::size_t waitingMessages() const;

  /// @brief Records an event of the time line.
  /// @param Kind kind of event
  /// @param Request request id, or empty
  /// @param Endpoint name of an endpoint, or empty
  /// @param Version weight digest, or empty
  /// @param Fields further fields
  void record(std::string Kind, std::string Request = {},
              std::string Endpoint = {}, std::string Version = {},
              std::map<std::string, std::string> Fields = {});

  /// @return configuration in force, or null
  const AcceptedConfiguration *configuration() const {
    return Configuration.ActiveConfiguration.get();
  }
  /// @return whether the process may serve
  bool ready() const;
  /// @return start of the current turn of the core loop
  TimePoint turn() const { return Loop.turn(); }

  const ProcessSettings Settings;
  const Member Self;
  const Incarnation Number;
  CoreLoop Loop;
  LineWriter Output;
  Logger Log;
  Metrics Numbers;
  EventLog Events;
  Random Source;
  MembershipState Members;
  bool MemberListKnown = false; ///< the VM list was read at least once

private:
  std::string peerAddress(const std::string &Peer, std::uint16_t Port) const;
  bool sendOn(Mailbox &Box, const std::string &Peer, std::uint16_t Port,
              Body Content);
  std::optional<Error> openMailbox(std::unique_ptr<Mailbox> &Target,
                                   std::uint16_t Port, std::string Channel);
  std::optional<Error> openOperatorServer();

  bool admitMessage(const Message &Incoming);
  void receive(const Message &Incoming);
  void receiveOnThread(Message &&Incoming);
  void lose(const std::string &Address);
  void forgetPeer(const std::string &Peer);
  void checkMembers();
  void readMemberList();
  void memberListRead(const HttpResult &Result);

  void handleConfiguration(const Message &Incoming);
  void settle(const AcceptanceResult &Result, const std::string &From);
  void runWatch();
  void perform(const WatchAction &Action);
  void sendToAll(const std::vector<std::string> &Peers, const Body &Content);
  void readIndex(Duration Wait);
  void indexRead(const HttpResult &Result);
  void readValue(const std::string &Key);
  void valueRead(const std::string &Key, const HttpResult &Result);

  void answerOperator(HttpRequest &&Request, const Responder &Answer);
  std::string statusText();

  NodeHandlers Handlers;
  ConfigurationState Configuration;
  WatchState Watch;
  std::string IndexVersion;
  std::set<std::string> ValuesInFlight;
  std::map<std::string, MemberState> LastStates;
  std::map<std::string, std::string> NamesByAddress;
  std::atomic<bool> ReadyNow{false};

  boost::asio::io_context PlatformContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      PlatformWork;
  HttpClient Platform;
  std::thread PlatformThread;
  std::unique_ptr<Mailbox> Messages;
  std::unique_ptr<Mailbox> Bulk;
  std::unique_ptr<HttpServer> Operator;
};

/// @brief How a process describes itself to peers whose VM list lags.
/// @param Settings checked settings
/// @param Kind kind of VM
/// @param Pool pool of the endpoint; empty for entries
/// @return the own entry of the VM list
Member selfMember(const ProcessSettings &Settings, MemberKind Kind,
                  std::string Pool = {});

/// @brief Key ring of the settings.
/// @param Settings checked settings
/// @return the keys in the order of the settings
KeyRing keyRing(const ProcessSettings &Settings);

} // namespace marigoldyard
