#include "programs/fleet/fleet_node.hpp"

#include "marigoldyard/transport/clock.hpp"
#include "marigoldyard/transport/random_source.hpp"

#include <boost/asio/post.hpp>
#include <csignal>
#include <unistd.h>

namespace marigoldyard {

namespace {

/// Lines of one kind of event in ten seconds. A gateway that serves a hundred
/// requests a second logs each; a flood beyond that is summed up.
constexpr std::size_t LogBurst = 2500;
/// Removed gateways are forgotten after this silence.
constexpr std::chrono::seconds ForgetAfter{10};
/// A relay of all items is bounded by the size of the store's listings.
constexpr std::size_t MaxMessageBytes = 16UL << 20;
constexpr std::size_t MaxHeard = 1024;

Member selfOf(const FleetProcessSettings &Settings, MemberKind Kind) {
  Member Self;
  Self.Name = Settings.Address;
  Self.Address = Settings.Address;
  Self.Kind = Kind;
  Self.Region = Settings.Region;
  Self.FailureDomain = Settings.FailureDomain;
  return Self;
}

LogOptions logOptions(const FleetProcessSettings &Settings,
                      Incarnation Number) {
  LogOptions Options;
  Options.Process = Settings.Name;
  Options.Number = Number;
  Options.Burst = LogBurst;
  return Options;
}

MembershipSettings gatewayMembership() {
  MembershipSettings Settings;
  Settings.ReportInterval = FleetNode::StatusInterval;
  // Three intervals: one status may be lost and one may be late.
  Settings.SuspectAfter = 3 * FleetNode::StatusInterval;
  Settings.ListLag = ForgetAfter;
  return Settings;
}

KeyRing keysOf(const FleetProcessSettings &Settings) {
  KeyRing Ring;
  for (const MessageKey &Key : Settings.Keys)
    Ring.Keys.push_back({Key.Id, Key.Secret});
  return Ring;
}

} // namespace

std::string hostOf(const std::string &Address) {
  return Address.substr(0, Address.rfind(':'));
}

FleetNode::FleetNode(FleetProcessSettings Given, MemberKind Kind, StoreUse Use)
    : Settings(std::move(Given)), Source(makeRandom()),
      Number(makeIncarnation(wallTime(), Source)), Output(STDOUT_FILENO),
      Log(logOptions(Settings, Number),
          [this](std::string_view Line) { Output.write(Line); }),
      Timeouts(Context), Client(Context),
      Store({addressText(Settings.Store), std::move(Use.Prefix), Use.Pace,
             Use.FirstReadPause, Use.Wait},
            Context, Client, Log,
            [this](const ChangedKeys &Keys) { Handlers.StoreChanged(Keys); }),
      Self(selfOf(Settings, Kind)), RelayPrefix(std::move(Use.RelayPrefix)) {
  Gateways.Settings = gatewayMembership();
}

FleetNode::~FleetNode() {
  Operator.reset();
  Bulk.reset();
  Messages.reset();
}

std::optional<Error> FleetNode::start(FleetHandlers Callbacks) {
  Handlers = std::move(Callbacks);
  Log.write({.Event = "started",
             .At = Step::Settings,
             .Fields = {{"address", Settings.Address},
                        {"region", Settings.Region},
                        {"seeds", std::to_string(Settings.Seeds.size())}}});
  if (auto Failure = openMailbox(Messages, Settings.PeerPort, "peer"))
    return Failure;
  if (auto Failure = openMailbox(Bulk, Settings.BulkPort, "bulk"))
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
  Options.Number = Number;
  Options.Address = Settings.Address;
  Options.Port = Port;
  Options.Channel = std::move(Channel);
  Options.MaxMessageBytes = MaxMessageBytes;
  MailboxHandlers Callbacks;
  Callbacks.Received = [this](Message &&Incoming) {
    boost::asio::post(Context,
                      [this, Shared = std::make_shared<Message>(
                                 std::move(Incoming))] { receive(*Shared); });
  };
  Callbacks.ConnectionLost = [this](const std::string &Peer) {
    boost::asio::post(Context, [this, Host = hostOf(Peer)] {
      if (Handlers.PeerLost)
        Handlers.PeerLost(Host);
    });
  };
  Callbacks.Dropped = [this](const Error &Cause) {
    Log.write("message_dropped", Cause);
  };
  auto Box =
      Mailbox::open(std::move(Options), keysOf(Settings), std::move(Callbacks));
  if (!Box)
    return Box.error();
  Target = std::move(*Box);
  return std::nullopt;
}

std::optional<Error> FleetNode::openOperatorServer() {
  HttpServerOptions Options;
  Options.Address = Settings.Address;
  Options.Port = Settings.OperatorPort;
  auto Server = HttpServer::open(
      Options, [this](const HttpRequest &Request, const Responder &Answer) {
        if (Request.Path == "/metrics")
          return Answer.send(
              {200, {{"content-type", "text/plain"}}, Numbers.render()});
        Answer.send({404, {}, "not found\n"});
      });
  if (!Server)
    return Server.error();
  Operator = std::move(*Server);
  return std::nullopt;
}

void FleetNode::run() { Context.run(); }

void FleetNode::stop() { Context.stop(); }

bool FleetNode::sendOn(Mailbox &Box, std::uint16_t Port,
                       const std::string &Peer, Body Content) {
  Message Outgoing;
  Outgoing.Head.Receiver = Peer;
  Outgoing.Content = std::move(Content);
  return Box.send(Peer + ":" + std::to_string(Port), std::move(Outgoing));
}

bool FleetNode::send(const std::string &Peer, Body Content) {
  return sendOn(*Messages, Settings.PeerPort, Peer, std::move(Content));
}

bool FleetNode::sendBulk(const std::string &Peer, Body Content) {
  return sendOn(*Bulk, Settings.BulkPort, Peer, std::move(Content));
}

std::map<std::string, KnownGateway> FleetNode::liveGateways() const {
  std::map<std::string, KnownGateway> Result;
  const TimePoint Now = now();
  for (const auto &[Address, Gateway] : Known) {
    const auto Record = Gateways.Records.find(Address);
    if (Record != Gateways.Records.end() &&
        memberState(Gateways, Record->second, Now) == MemberState::Live)
      Result.emplace(Address, Gateway);
  }
  return Result;
}

std::set<std::string> FleetNode::gatewayAddresses() const {
  std::set<std::string> Result(Settings.Seeds.begin(), Settings.Seeds.end());
  Result.insert(Heard.begin(), Heard.end());
  for (const auto &[Address, Gateway] : Known)
    Result.insert(Address);
  Result.erase(Settings.Address);
  return Result;
}

void FleetNode::useSettings(const FleetProcessSettings &Fresh) {
  Settings.Seeds = Fresh.Seeds;
  Settings.Store = Fresh.Store;
  Store.useAddress(addressText(Fresh.Store));
}

void FleetNode::receive(const Message &Incoming) {
  const std::string &Peer = Incoming.Head.Sender;
  if (const auto *Status = std::get_if<GatewayStatus>(&Incoming.Content)) {
    gatewayStatus(Peer, Incoming, *Status);
  } else if (const auto *Asked =
                 std::get_if<StoreRelayRequest>(&Incoming.Content)) {
    relayRequested(Peer, *Asked);
  } else if (const auto *Relay = std::get_if<StoreRelay>(&Incoming.Content)) {
    Store.relayed(Relay->Items, Relay->Upto);
  } else {
    Handlers.Received(Incoming);
  }
}

void FleetNode::gatewayStatus(const std::string &Peer, const Message &Incoming,
                              const GatewayStatus &Status) {
  const MessageEvidence Evidence = reportReceived(
      Gateways, Peer, Incoming.Head.SenderIncarnation, Status.Leaving, now());
  if (Evidence == MessageEvidence::Outdated ||
      Evidence == MessageEvidence::Refused)
    return;
  setLinked(Gateways, Peer, true, now());
  if (Evidence != MessageEvidence::Known)
    listGateway(Status.Sender);
  if (Evidence != MessageEvidence::Known)
    Log.write({.Event = Evidence == MessageEvidence::Joined
                            ? "gateway_joined"
                            : "gateway_restarted",
               .At = Step::MemberList,
               .Peer = Peer});
  if (Evidence != MessageEvidence::Known && Handlers.GatewayJoined)
    Handlers.GatewayJoined(Peer);
  Known[Peer] = {Status.CallerAddress, Status.Ready, Status.Leaving,
                 Status.KnownUpto};
  Heard.erase(Peer);
  for (const std::string &Named : Status.Gateways)
    if (!Known.contains(Named) && Named != Settings.Address &&
        Heard.size() < MaxHeard)
      Heard.insert(Named);
}

// Membership forgets members that no list names soon, so the gateways that
// were heard make up the list.
void FleetNode::listGateway(const Member &Gateway) {
  std::vector<Member> List{Gateway};
  for (const auto &[Address, Record] : Gateways.Records)
    if (Record.Described && Address != Gateway.Name)
      List.push_back(Record.Listed);
  updateList(Gateways, List, now());
}

void FleetNode::relayRequested(const std::string &Peer,
                               const StoreRelayRequest &Request) {
  if (!Store.known() || Store.mirror().Revision <= Request.After)
    return;
  StoreRelay Relay;
  Relay.Upto = Store.mirror().Revision;
  for (StoreItem &Item : itemsAfter(Store.mirror(), Request.After))
    if (Item.Key.starts_with(Request.Prefix))
      Relay.Items.push_back(std::move(Item));
  Log.write({.Event = "store_relayed",
             .At = Step::ConfigurationRelay,
             .Peer = Peer,
             .Number = Relay.Upto,
             .Fields = {{"after", std::to_string(Request.After)},
                        {"items", std::to_string(Relay.Items.size())}}});
  send(Peer, std::move(Relay));
}

void FleetNode::askForRelay() {
  const TimePoint Now = now();
  // A process that has just started does not wait for the store's time-out.
  const bool Needed = !Store.known() || Store.cutOff(Now);
  if (!Needed || Now - RelayAskedAt < RelayInterval)
    return;
  RelayAskedAt = Now;
  std::string Best;
  StoreRevision Newest = Store.mirror().Revision;
  for (const auto &[Address, Gateway] : liveGateways())
    if (Gateway.KnownUpto > Newest) {
      Newest = Gateway.KnownUpto;
      Best = Address;
    }
  if (!Best.empty())
    send(Best, StoreRelayRequest{Store.mirror().Revision, RelayPrefix});
}

void FleetNode::tick() {
  Store.dropLapsedItems();
  askForRelay();
  for (const std::string &Gone : removeDeadMembers(Gateways, now())) {
    Known.erase(Gone);
    Log.write(
        {.Event = "gateway_forgotten", .At = Step::MemberList, .Peer = Gone});
    Messages->removePeer(Gone + ":" + std::to_string(Settings.PeerPort));
  }
  if (Handlers.Tick)
    Handlers.Tick();
}

void FleetNode::signalled(int Signal) {
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
