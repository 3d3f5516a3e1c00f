#include "programs/fleet/fleet_node.hpp"

#include "marigoldyard/transport/clock.hpp"
#include "marigoldyard/transport/random_source.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <csignal>
#include <unistd.h>
#include <utility>

namespace marigoldyard {

namespace {

/// Log lines of one event kind per ten seconds. A gateway that serves a hundred
/// requests per second logs each of them; lines beyond that are suppressed and
/// counted.
constexpr std::size_t LogBurst = 2500;
/// Removed gateways are forgotten after this long without a message.
constexpr std::chrono::seconds RemovedGatewayTimeout{10};
/// A relay may contain all items, so it can be as large as the store's
/// listings.
constexpr std::size_t MaxMessageBytes = 16UL << 20;
constexpr std::size_t MaxUncontactedGateways = 1024;
/// A gateway is suspected after this many intervals, since one status may be
/// lost and another may be late.
constexpr int MissedReports = 3;
/// Interval of checks for silent gateways.
constexpr std::chrono::milliseconds ContactCheckInterval{100};
/// Time for a connection to open before it is opened anew because its peer
/// sends.
constexpr std::chrono::milliseconds ConnectPause{200};
/// Operators read metrics over few connections. More would take descriptors
/// from callers.
constexpr std::size_t MaxOperatorConnections = 64;
/// A request for metrics has no body.
constexpr std::size_t MaxOperatorBody = 4UL << 10;

Member describeSelf(const FleetProcessSettings &Settings, MemberKind Kind) {
  Member Self;
  Self.Name = Settings.Address;
  Self.Address = Settings.Address;
  Self.Kind = Kind;
  Self.Region = Settings.Region;
  Self.FailureDomain = Settings.FailureDomain;
  return Self;
}

LogOptions logOptions(const FleetProcessSettings &Settings,
                      Incarnation ProcessIncarnation) {
  LogOptions Options;
  Options.Process = Settings.Name;
  Options.Number = ProcessIncarnation;
  Options.Burst = LogBurst;
  return Options;
}

MembershipSettings gatewayMembershipSettings() {
  MembershipSettings Settings;
  Settings.ReportInterval = FleetNode::StatusInterval;
  Settings.SuspicionTimeout = MissedReports * FleetNode::StatusInterval;
  Settings.MaxListDelay = RemovedGatewayTimeout;
  return Settings;
}

KeyRing makeKeyRing(const FleetProcessSettings &Settings) {
  KeyRing Ring;
  for (const MessageKey &Key : Settings.Keys)
    Ring.Keys.push_back({Key.Id, Key.Secret});
  return Ring;
}

} // namespace

std::string hostPart(const std::string &Address) {
  return Address.substr(0, Address.rfind(':'));
}

FleetNode::FleetNode(FleetProcessSettings InitialSettings, MemberKind Kind,
                     StoreReadSettings Use)
    : Settings(std::move(InitialSettings)), Generator(makeRandom()),
      ProcessIncarnation(makeIncarnation(wallTime(), Generator)),
      Output(STDOUT_FILENO),
      Log(logOptions(Settings, ProcessIncarnation),
          [this](std::string_view Line) { Output.write(Line); }),
      Timeouts(Context), Client(Context),
      Store({addressText(Settings.Store), std::move(Use.Prefix), Use.WatchDelay,
             Use.MaxStartupBackoff, Use.WatchTimeout},
            Context, Client, Log,
            [this](const ChangedKeys &Keys) { Handlers.StoreChanged(Keys); }),
      Self(describeSelf(Settings, Kind)),
      RelayPrefix(std::move(Use.RelayPrefix)), StartedAt(now()) {
  Gateways.Settings = gatewayMembershipSettings();
  Gateways.Settings.Region = Settings.Region;
}

FleetNode::~FleetNode() {
  OperatorServer.reset();
  BulkMailbox.reset();
  PeerMailbox.reset();
}

std::optional<Error> FleetNode::start(FleetHandlers Callbacks) {
  Handlers = std::move(Callbacks);
  Log.write({.Event = "started",
             .At = Step::Settings,
             .Fields = {{"address", Settings.Address},
                        {"region", Settings.Region},
                        {"seeds", std::to_string(Settings.Seeds.size())}}});
  if (auto Failure = openMailbox(PeerMailbox, Settings.PeerPort, "peer"))
    return Failure;
  if (auto Failure = openMailbox(BulkMailbox, Settings.BulkPort, "bulk"))
    return Failure;
  if (auto Failure = openOperatorServer())
    return Failure;
  Timeouts.start([this] { tick(); });
  Store.start();
  return std::nullopt;
}

std::optional<Error> FleetNode::openMailbox(std::unique_ptr<Mailbox> &Target,
                                            std::uint16_t Port,
                                            std::string Channel) {
  MailboxOptions Options;
  Options.Name = Settings.Address;
  Options.Number = ProcessIncarnation;
  Options.Address = Settings.Address;
  Options.Port = Port;
  Options.Channel = std::move(Channel);
  Options.MaxMessageBytes = MaxMessageBytes;
  MailboxHandlers Callbacks;
  Callbacks.Received = [this](Message &&Incoming) {
    boost::asio::post(
        Context, [this, Shared = std::make_shared<Message>(
                            std::move(Incoming))] { handleMessage(*Shared); });
  };
  Callbacks.ConnectionLost = [this](const std::string &Peer) {
    boost::asio::post(Context, [this, Host = hostPart(Peer)] {
      if (Handlers.PeerLost)
        Handlers.PeerLost(Host);
    });
  };
  Callbacks.Dropped = [this](const Error &Cause) {
    Log.write("message_dropped", Cause);
  };
  auto OpenedMailbox = Mailbox::open(std::move(Options), makeKeyRing(Settings),
                                     std::move(Callbacks));
  if (!OpenedMailbox)
    return OpenedMailbox.error();
  Target = std::move(*OpenedMailbox);
  return std::nullopt;
}

std::optional<Error> FleetNode::openOperatorServer() {
  HttpServerOptions Options;
  Options.Address = Settings.Address;
  Options.Port = Settings.OperatorPort;
  Options.MaxConnections = MaxOperatorConnections;
  Options.MaxBodyBytes = MaxOperatorBody;
  auto Server = HttpServer::open(
      Options, [this](const HttpRequest &Request, const Responder &Response) {
        if (Request.Path == "/metrics")
          return Response.send(
              {200, {{"content-type", "text/plain"}}, ProcessMetrics.render()});
        Response.send({404, {}, "not found\n"});
      });
  if (!Server)
    return Server.error();
  OperatorServer = std::move(*Server);
  return std::nullopt;
}

void FleetNode::run() { Context.run(); }

void FleetNode::stop() { Context.stop(); }

bool FleetNode::sendThrough(Mailbox &SendingMailbox, std::uint16_t Port,
                            const std::string &Peer, Body Content) {
  Message Outgoing;
  Outgoing.Head.Receiver = Peer;
  Outgoing.Content = std::move(Content);
  return SendingMailbox.send(Peer + ":" + std::to_string(Port),
                             std::move(Outgoing));
}

bool FleetNode::send(const std::string &Peer, Body Content) {
  return sendThrough(*PeerMailbox, Settings.PeerPort, Peer, std::move(Content));
}

bool FleetNode::sendBulk(const std::string &Peer, Body Content) {
  return sendThrough(*BulkMailbox, Settings.BulkPort, Peer, std::move(Content));
}

std::map<std::string, GatewayInfo> FleetNode::liveGateways() const {
  std::map<std::string, GatewayInfo> Result;
  const TimePoint Now = now();
  for (const auto &[Address, Gateway] : ContactedGateways) {
    const auto Record = Gateways.Records.find(Address);
    if (Record != Gateways.Records.end() &&
        memberState(Gateways, Record->second, Now) == MemberState::Live)
      Result.emplace(Address, Gateway);
  }
  return Result;
}

std::set<std::string> FleetNode::gatewayAddresses() const {
  std::set<std::string> Result(Settings.Seeds.begin(), Settings.Seeds.end());
  Result.insert(UncontactedGateways.begin(), UncontactedGateways.end());
  for (const auto &[Address, Gateway] : ContactedGateways)
    Result.insert(Address);
  Result.erase(Settings.Address);
  return Result;
}

bool FleetNode::isInOtherRegion(const std::string &Address) const {
  const auto Found = Gateways.Records.find(Address);
  return Found != Gateways.Records.end() && Found->second.HasDescription &&
         Found->second.Description.Region != Settings.Region;
}

Duration FleetNode::remoteStatusInterval() const {
  return remoteReportInterval(StatusInterval, 1 + gatewayAddresses().size());
}

void FleetNode::replaceSilentConnections(bool Leaving) {
  if (now() - Contacts.CheckedAt < ContactCheckInterval)
    return;
  std::map<std::string, Duration> Expected;
  for (const std::string &Address : gatewayAddresses())
    Expected[Address] =
        isInOtherRegion(Address)
            ? Gateways.Settings.RemoteSuspicionTimeout / MissedReports
            : Duration(StatusInterval);
  for (const LostContact &Lost :
       takeLostContacts(Contacts, Expected, Leaving, now())) {
    if (Lost.IsNew)
      Log.write({.Level = LogLevel::Warning,
                 .Event = "silent_connection_replaced",
                 .At = Step::MemberList,
                 .Peer = Lost.Peer,
                 .Fields = {{"cause", contactLossName(Lost.Loss)}}});
    PeerMailbox->reconnect(Lost.Peer + ":" + std::to_string(Settings.PeerPort));
  }
}

void FleetNode::applySettings(const FleetProcessSettings &NewSettings) {
  Settings.Seeds = NewSettings.Seeds;
  Settings.Store = NewSettings.Store;
  Store.setAddress(addressText(NewSettings.Store));
}

void FleetNode::connectToSender(const std::string &Peer) {
  const std::string Address = Peer + ":" + std::to_string(Settings.PeerPort);
  if (PeerMailbox->connected(Address)) {
    ConnectingSince.erase(Peer);
    return;
  }
  const TimePoint Now = now();
  const auto [Found, New] = ConnectingSince.try_emplace(Peer, Now);
  if (!New && Now - Found->second < ConnectPause)
    return;
  Found->second = Now;
  PeerMailbox->reconnect(Address); // ignores peers that it does not know
}

void FleetNode::handleMessage(const Message &Incoming) {
  const std::string &Peer = Incoming.Head.Sender;
  connectToSender(Peer);
  if (const auto *Status = std::get_if<GatewayStatus>(&Incoming.Content)) {
    handleGatewayStatus(Peer, Incoming, *Status);
  } else if (const auto *RelayRequest =
                 std::get_if<StoreRelayRequest>(&Incoming.Content)) {
    handleRelayRequest(Peer, *RelayRequest);
  } else if (const auto *Relay = std::get_if<StoreRelay>(&Incoming.Content)) {
    // One that was asked for before a restart is not the whole content.
    if (!Store.isInitialized() && Relays.Pending != Peer &&
        Relays.Failed != Peer)
      return;
    recordRelayArrived(Relays, Peer);
    Store.applyRelay(*Relay);
  } else {
    Handlers.Received(Incoming);
  }
}

void FleetNode::handleGatewayStatus(const std::string &Peer,
                                    const Message &Incoming,
                                    const GatewayStatus &Status) {
  const MessageOutcome Outcome = recordMemberReport(
      Gateways, Peer, Incoming.Head.SenderIncarnation, Status.Leaving, now());
  if (Outcome == MessageOutcome::StaleIncarnation ||
      Outcome == MessageOutcome::TableFull)
    return;
  setReportsExpected(Gateways, Peer, true, now());
  if (Self.Kind == MemberKind::Entry)
    recordPeerReport(Contacts, Peer,
                     std::find(Status.Gateways.begin(), Status.Gateways.end(),
                               Settings.Address) != Status.Gateways.end(),
                     now());
  if (Outcome != MessageOutcome::Known)
    addGatewayToList(Status.Sender);
  if (Outcome != MessageOutcome::Known)
    Log.write({.Event = Outcome == MessageOutcome::Joined ? "gateway_joined"
                                                          : "gateway_restarted",
               .At = Step::MemberList,
               .Peer = Peer});
  if (Outcome != MessageOutcome::Known && Handlers.GatewayJoined)
    Handlers.GatewayJoined(Peer);
  ContactedGateways[Peer] = {Status.CallerAddress, Status.Ready, Status.Leaving,
                             Status.KnownUpto};
  UncontactedGateways.erase(Peer);
  if (Handlers.StatusReceived && Handlers.StatusReceived(Status)) {
    if (AheadGateway.empty() || isInOtherRegion(AheadGateway))
      AheadGateway = Peer;
  } else if (AheadGateway == Peer) {
    AheadGateway.clear(); // this process has caught up
  }
  // The sender may know more gateways than this process does yet.
  Gateways.Settings.RemoteSuspicionTimeout =
      MissedReports *
      std::max(remoteStatusInterval(),
               remoteReportInterval(StatusInterval, Status.Gateways.size()));
  for (const std::string &ListedGateway : Status.Gateways)
    if (!ContactedGateways.contains(ListedGateway) &&
        ListedGateway != Settings.Address &&
        UncontactedGateways.size() < MaxUncontactedGateways)
      UncontactedGateways.insert(ListedGateway);
}

// Membership soon removes members that are missing from the list, so the list
// consists of the gateways that have sent a status.
void FleetNode::addGatewayToList(const Member &Gateway) {
  std::vector<Member> List{Gateway};
  for (const auto &[Address, Record] : Gateways.Records)
    if (Record.HasDescription && Address != Gateway.Name)
      List.push_back(Record.Description);
  mergeMemberList(Gateways, List, now());
}

void FleetNode::handleRelayRequest(const std::string &Peer,
                                   const StoreRelayRequest &Request) {
  if (!Store.isInitialized() || Store.mirror().Position <= Request.After)
    return;
  StoreRelay Relay;
  Relay.Upto = watchPosition(Store.mirror());
  Relay.CopiedUpTo = copiedUpTo(Store.mirror());
  for (StoreItem &Item : itemsAfter(Store.mirror(), Request.After))
    if (Item.Key.starts_with(Request.Prefix))
      Relay.Items.push_back(std::move(Item));
  std::size_t Bytes = 0;
  for (const StoreItem &Item : Relay.Items)
    Bytes += Item.Key.size() + Item.Value.size();
  if (!maySendRelay(RelaysToOthers, Peer, Bytes, now()))
    return;
  Log.write({.Event = "store_relayed",
             .At = Step::ConfigurationRelay,
             .Peer = Peer,
             .Number = Relay.Upto.Revision,
             .Fields = {{"era", std::to_string(Relay.Upto.Era)},
                        {"after", std::to_string(Request.After.Revision)},
                        {"after_era", std::to_string(Request.After.Era)},
                        {"items", std::to_string(Relay.Items.size())}}});
  send(Peer, std::move(Relay));
}

bool FleetNode::mayUseLink(Duration SinceNeeded) const {
  // What a stager reads is small.
  if (Self.Kind != MemberKind::Entry)
    return true;
  std::vector<StartupNeighbour> Neighbours;
  for (const auto &[Address, Gateway] : liveGateways())
    if (!isInOtherRegion(Address))
      Neighbours.push_back(
          {Address, Gateway.LatestPosition > Store.mirror().Position});
  return mayReadAll({}, Settings.Region, Settings.Address, Neighbours,
                    SinceNeeded);
}

void FleetNode::requestRelay() {
  const TimePoint Now = now();
  // A process that has just started does not wait for the store's timeout.
  const bool Needed = !Store.isInitialized() || Store.isUnreachable(Now);
  const bool IsBehind = Store.isInitialized() && !AheadGateway.empty();
  if (!Needed && !IsBehind) {
    LacksContentSince.reset();
    return;
  }
  if (!LacksContentSince)
    LacksContentSince = Now;
  std::vector<RelaySource> Sources;
  for (const auto &[Address, Gateway] : liveGateways())
    if (Needed || Address == AheadGateway)
      Sources.push_back(
          {Address, Gateway.LatestPosition, !isInOtherRegion(Address)});
  if (!Needed && Sources.empty()) {
    AheadGateway.clear(); // it has ended
    return;
  }
  // What it lacks may be older than its position: a store that was restored
  // no longer has it.
  const StorePosition Known =
      Needed ? Store.mirror().Position : StorePosition{};
  const auto Source = requestRelayFrom(
      Relays, Sources, Known,
      mayUseLink(std::max<Duration>(Now - *LacksContentSince,
                                    StartupReaderSettings().Patience)),
      Settings.Address, Now);
  if (!Source)
    return;
  if (!Needed)
    AheadGateway.clear();
  send(*Source, StoreRelayRequest{Known, RelayPrefix});
}

void FleetNode::tick() {
  Store.expireItems();
  if (!Store.isInitialized())
    Store.setReading(mayUseLink(now() - StartedAt));
  requestRelay();
  for (const std::string &RemovedGateway : removeDeadMembers(Gateways, now())) {
    ContactedGateways.erase(RemovedGateway);
    ConnectingSince.erase(RemovedGateway);
    Log.write({.Event = "gateway_forgotten",
               .At = Step::MemberList,
               .Peer = RemovedGateway});
    PeerMailbox->removePeer(RemovedGateway + ":" +
                            std::to_string(Settings.PeerPort));
  }
  if (Handlers.Tick)
    Handlers.Tick();
}

void FleetNode::handleSignal(int Signal) {
  boost::asio::post(Context, [this, Signal] {
    Log.write({.Event = Signal == SIGHUP ? "reload" : "terminate",
               .At = Step::Settings});
    if (Signal == SIGHUP)
      Handlers.SettingsChanged();
    else
      Handlers.Terminate();
  });
}

} // namespace marigoldyard
