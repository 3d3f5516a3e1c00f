#include "programs/node/node.hpp"

#include "marigoldyard/transport/clock.hpp"
#include "marigoldyard/transport/random_source.hpp"

#include <csignal>
#include <unistd.h>

namespace marigoldyard {

namespace {

constexpr std::size_t MaxTimelineEvents = 10'000;
constexpr Duration MemberCheckInterval = std::chrono::milliseconds(50);
constexpr Duration WatchInterval = std::chrono::milliseconds(50);
/// A bulk message holds one chunk.
constexpr std::size_t MaxBulkBytes = 16UL << 20;

Incarnation newIncarnation() {
  Random Seed = makeRandom();
  return makeIncarnation(wallTime(), Seed);
}

} // namespace

KeyRing keyRing(const ProcessSettings &Settings) {
  KeyRing Keys;
  for (const MessageKey &Each : Settings.Keys)
    Keys.Keys.push_back({Each.Id, Each.Secret});
  return Keys;
}

Member selfMember(const ProcessSettings &Settings, MemberKind Kind,
                  std::string Pool) {
  Member Self;
  Self.Name = Settings.Name;
  Self.Address = Settings.Address;
  Self.Kind = Kind;
  Self.Region = Settings.Region;
  Self.FailureDomain = Settings.FailureDomain;
  Self.Pool = std::move(Pool);
  return Self;
}

Node::Node(ProcessSettings ProcessPart, Member SelfMember)
    : Settings(std::move(ProcessPart)), Self(std::move(SelfMember)),
      Number(newIncarnation()), Loop(Lease), Output(STDOUT_FILENO),
      Log(LogOptions{.Process = Settings.Name, .Number = Number},
          [this](std::string_view Line) { Output.write(Line); }),
      Events(Settings.Name, MaxTimelineEvents), Source(makeRandom()),
      Configuration(makeConfigurationState(now())),
      Watch(makeWatch(Settings.Name, Settings.Region, now(), Source)),
      PlatformWork(boost::asio::make_work_guard(PlatformContext)),
      Platform(PlatformContext) {
  Members.Settings.MaxListDelay = Settings.ListLag;
}

Node::~Node() {
  Operator.reset();
  Messages.reset();
  Bulk.reset();
  PlatformWork.reset();
  PlatformContext.stop();
  if (PlatformThread.joinable())
    PlatformThread.join();
}

std::optional<Error> Node::start(NodeHandlers Callbacks) {
  Handlers = std::move(Callbacks);
  if (auto Failure = openMailbox(Messages, Settings.PeerPort, "messages"))
    return Failure;
  if (auto Failure = openMailbox(Bulk, Settings.BulkPort, "bulk"))
    return Failure;
  if (auto Failure = openOperatorServer())
    return Failure;
  PlatformThread = std::thread([this] { PlatformContext.run(); });
  Loop.every(MemberCheckInterval, [this] { checkMembers(); });
  Loop.every(WatchInterval, [this] { runWatch(); });
  Loop.at(now(), [this] { readMemberList(); });
  record("process_started", {}, {}, {},
         {{"incarnation", std::to_string(Number)}});
  return std::nullopt;
}

std::optional<Error> Node::openMailbox(std::unique_ptr<Mailbox> &Target,
                                       std::uint16_t Port,
                                       std::string Channel) {
  MailboxOptions Options;
  Options.Name = Settings.Name;
  Options.Number = Number;
  Options.Address = Settings.Address;
  Options.Port = Port;
  Options.Channel = std::move(Channel);
  Options.MaxMessageBytes = MaxBulkBytes;
  MailboxHandlers Callbacks;
  Callbacks.Received = [this](Message &&Incoming) {
    receiveOnThread(std::move(Incoming));
  };
  Callbacks.ConnectionLost = [this](const std::string &Address) {
    Loop.tryPost([this, Address] { lose(Address); });
  };
  Callbacks.ConnectionOpened = [this](const std::string &Address) {
    Loop.tryPost([this, Address] {
      if (auto Found = NamesByAddress.find(Address);
          Found != NamesByAddress.end()) {
        recordConnection(Members, Found->second);
        if (Found->second != Settings.Name)
          send(Found->second, Hello{Self});
      }
    });
  };
  Callbacks.Dropped = [this](const Error &Failure) {
    Log.write("message_dropped", Failure);
  };
  Callbacks.Tick = [this] { return Events.tick(); };
  Callbacks.Observe = [this](HybridTime At) { Events.observe(At); };
  auto Opened = Mailbox::open(Options, keyRing(Settings), Callbacks);
  if (!Opened)
    return Opened.error();
  Target = std::move(*Opened);
  return std::nullopt;
}

void Node::run() {
  Loop.run([this](Duration Pause) {
    invalidateMemberStates(Members, Loop.turn());
    record("pause_detected", {}, {}, {},
           {{"milliseconds", std::to_string(Pause.count() / 1000)}});
    if (Handlers.Paused)
      Handlers.Paused(Pause);
  });
  record("process_stopped");
}

void Node::signalled(int Signal, const std::function<KeyRing()> &Reread) {
  if (Signal == SIGHUP) {
    KeyRing Keys = Reread();
    if (Keys.Keys.empty())
      return;
    Messages->replaceKeys(Keys);
    Bulk->replaceKeys(Keys);
    return;
  }
  Loop.post([this] {
    if (Handlers.DrainRequested)
      Handlers.DrainRequested();
    else
      Loop.stop();
  });
}

bool Node::ready() const {
  return isConfigurationReady(Configuration, Loop.turn()) &&
         (!Handlers.Ready || Handlers.Ready());
}

std::string Node::peerAddress(const std::string &Peer,
                              std::uint16_t Port) const {
  const auto Found = Members.Records.find(Peer);
  if (Found == Members.Records.end() ||
      Found->second.Description.Address.empty())
    return {};
  return Found->second.Description.Address + ":" + std::to_string(Port);
}

bool Node::sendOn(Mailbox &Box, const std::string &Peer, std::uint16_t Port,
                  Body Content) {
  const std::string Address = peerAddress(Peer, Port);
  if (Address.empty())
    return false;
  NamesByAddress[Address] = Peer;
  Message Outgoing;
  Outgoing.Head.Receiver = Peer;
  Outgoing.Head.SenderRevision = advertisedRevision(Configuration, Loop.turn());
  Outgoing.Content = std::move(Content);
  return Box.send(Address, std::move(Outgoing));
}

bool Node::send(const std::string &Peer, Body Content) {
  return sendOn(*Messages, Peer, Settings.PeerPort, std::move(Content));
}

bool Node::sendBulk(const std::string &Peer, Body Content) {
  return sendOn(*Bulk, Peer, Settings.BulkPort, std::move(Content));
}

std::size_t
Node::withdraw(const std::string &Peer,
               const std::function<bool(const Message &)> &Matches) {
  const std::string Address = peerAddress(Peer, Settings.PeerPort);
  return Address.empty() ? 0 : Messages->withdraw(Address, Matches);
}

void Node::connect(const std::string &Peer) {
  const std::string Address = peerAddress(Peer, Settings.PeerPort);
  if (Address.empty())
    return;
  NamesByAddress[Address] = Peer;
  Messages->addPeer(Address);
}

std::size_t Node::waitingMessages() const {
  std::size_t Waiting = 0;
  for (const auto &[Address, Peer] : NamesByAddress)
    if (Messages->connected(Address))
      Waiting += Messages->outboxSize(Address);
  return Waiting;
}

void Node::record(std::string Kind, std::string Request, std::string Endpoint,
                  std::string Version,
                  std::map<std::string, std::string> Fields) {
  TimelineEvent Event;
  Event.Kind = std::move(Kind);
  Event.Request = std::move(Request);
  Event.Endpoint = std::move(Endpoint);
  Event.Version = std::move(Version);
  Event.Fields = std::move(Fields);
  Events.record(std::move(Event));
}

} // namespace marigoldyard
