#include "marigoldyard/transport/mailbox.hpp"

#include "marigoldyard/protocol/link_report.hpp"
#include "marigoldyard/protocol/message_frames.hpp"
#include "marigoldyard/protocol/replay_filter.hpp"
#include "marigoldyard/transport/detail/callback_registry.hpp"
#include "marigoldyard/transport/detail/mailbox_peer.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <boost/asio/ip/address_v4.hpp>
#include <map>
#include <mutex>
#include <nng/protocol/pipeline0/pull.h>
#include <optional>
#include <thread>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace marigoldyard {

namespace {

/// How often the receive thread looks whether the mailbox is closing.
constexpr nng_duration ReceiveCheckMilliseconds = 250;

bool usable(const KeyRing &Keys) {
  return !Keys.Keys.empty() && Keys.Keys.front().Id.size() <= MaxKeyIdBytes;
}

/// Address of the other end without its port, so that the log counts the
/// messages of one machine as repeats; empty when the connection is closed.
std::string remoteAddress(nng_pipe Origin) {
  nng_sockaddr Address{};
  if (nng_pipe_get_addr(Origin, NNG_OPT_REMADDR, &Address) != 0 ||
      Address.s_family != NNG_AF_INET)
    return {};
  const std::uint32_t Number = Address.s_in.sa_addr; // network byte order
  return boost::asio::ip::address_v4(ntohl(Number)).to_string();
}

/// Counts incoming connections and refuses those over the limit. Those on which
/// no valid message has arrived have a limit of their own, at which the oldest
/// of them is closed: a stranger that stays silent keeps no process out.
struct ConnectionGate {
  std::mutex Mutex;
  std::unordered_set<std::uint32_t> Open;
  std::uint64_t Arrivals = 0;
  /// Connections without a valid message so far, with their order of arrival.
  std::unordered_map<std::uint32_t, std::uint64_t> Unproven;
  FrameAssembly Frames;
  std::shared_ptr<detail::MailboxShared> Shared;

  static void changed(nng_pipe Pipe, nng_pipe_ev Event, void *Id) {
    auto Self = detail::CallbackRegistry<ConnectionGate>::instance().find(Id);
    if (!Self)
      return;
    const auto Number = static_cast<std::uint32_t>(nng_pipe_id(Pipe));
    if (Event == NNG_PIPE_EV_REM_POST)
      return Self->removed(Number);
    if (const auto Refused = Self->added(Number)) {
      Self->Shared->count(&MailboxCounters::ConnectionsRefused);
      nng_pipe_close(nng_pipe{*Refused});
    }
  }

  void removed(std::uint32_t Number) {
    std::lock_guard Lock(Mutex);
    Open.erase(Number);
    Unproven.erase(Number);
    dropFrames(Frames, Number);
  }

  /// @return the connection to close; empty if there is room
  std::optional<std::uint32_t> added(std::uint32_t Number) {
    std::lock_guard Lock(Mutex);
    Open.insert(Number);
    if (Open.size() > Shared->Options.MaxConnections)
      return Number;
    Unproven.emplace(Number, ++Arrivals);
    if (Unproven.size() <= Shared->Options.MaxUnprovenConnections)
      return std::nullopt;
    const auto Oldest = std::min_element(
        Unproven.begin(), Unproven.end(),
        [](const auto &A, const auto &B) { return A.second < B.second; });
    const std::uint32_t Refused = Oldest->first;
    Unproven.erase(Oldest);
    return Refused;
  }

  void recordProof(std::uint32_t Number) {
    std::lock_guard Lock(Mutex);
    Unproven.erase(Number);
  }

  Expected<std::optional<std::vector<std::uint8_t>>>
  add(std::uint32_t Number, std::span<const std::uint8_t> Frame,
      const KeyRing &Keys) {
    std::lock_guard Lock(Mutex);
    // A frame may be received after its connection was removed; nothing would
    // drop what it makes this process keep.
    if (!Open.contains(Number))
      return std::optional<std::vector<std::uint8_t>>();
    auto Result = addFrame(Frames, Number, Frame, Keys);
    if (Result)
      Unproven.erase(Number);
    return Result;
  }
};

} // namespace

struct Mailbox::Data {
  using Peers = std::map<std::string, std::shared_ptr<detail::MailboxPeer>>;

  std::shared_ptr<detail::MailboxShared> Shared;
  std::shared_ptr<ConnectionGate> Gate;
  void *GateId = nullptr;
  ReplayFilter Replays;
  ReportBases Bases;
  nng_socket Pull = NNG_SOCKET_INITIALIZER;
  std::uint16_t Port = 0;
  std::atomic<bool> Closing{false};
  std::thread Receiver;
  mutable std::mutex Mutex;
  Peers Known;

  explicit Data(std::shared_ptr<detail::MailboxShared> Parts)
      : Shared(std::move(Parts)), Gate(std::make_shared<ConnectionGate>()),
        Replays(Shared->Options.MaxConnections),
        Bases(Shared->Options.MaxConnections) {
    Gate->Shared = Shared;
    Gate->Frames.MaxMessageBytes = Shared->Options.MaxMessageBytes;
    Gate->Frames.MaxBytes = 2 * Shared->Options.MaxMessageBytes;
    GateId = detail::CallbackRegistry<ConnectionGate>::instance().add(Gate);
  }
  ~Data() {
    detail::CallbackRegistry<ConnectionGate>::instance().remove(GateId);
  }

  std::shared_ptr<detail::MailboxPeer> find(const std::string &Address) const {
    std::lock_guard Lock(Mutex);
    auto Found = Known.find(Address);
    return Found == Known.end() ? nullptr : Found->second;
  }

  std::shared_ptr<detail::MailboxPeer> findOrAdd(const std::string &Address) {
    std::lock_guard Lock(Mutex);
    auto Found = Known.find(Address);
    if (Found != Known.end())
      return Found->second;
    if (Known.size() >= Shared->Options.MaxPeers)
      return nullptr;
    auto Peer = std::make_shared<detail::MailboxPeer>(Shared, Address);
    if (!Peer->start())
      return nullptr;
    return Known.emplace(Address, std::move(Peer)).first->second;
  }

  int listen();
  void receive();
  void acceptFrame(std::span<const std::uint8_t> Bytes, nng_pipe Origin);
  void accept(std::span<const std::uint8_t> Bytes, nng_pipe Origin);
  void drop(std::uint64_t MailboxCounters::*Which, const Error &Cause);
};

int Mailbox::Data::listen() {
  const MailboxOptions &Options = Shared->Options;
  if (int Status = nng_pull0_open(&Pull); Status != 0)
    return Status;
  nng_socket_set_size(Pull, NNG_OPT_RECVMAXSZ, MaxFrameBytes);
  // A receive that starts while the socket closes may wait for ever.
  nng_socket_set_ms(Pull, NNG_OPT_RECVTIMEO, ReceiveCheckMilliseconds);
  nng_pipe_notify(Pull, NNG_PIPE_EV_ADD_PRE, &ConnectionGate::changed, GateId);
  nng_pipe_notify(Pull, NNG_PIPE_EV_REM_POST, &ConnectionGate::changed, GateId);
  std::string Url =
      "tcp://" + Options.Address + ":" + std::to_string(Options.Port);
  nng_listener Listener;
  if (int Status = nng_listen(Pull, Url.c_str(), &Listener, 0); Status != 0)
    return Status;
  int Bound = 0;
  int Status = nng_listener_get_int(Listener, NNG_OPT_TCP_BOUND_PORT, &Bound);
  Port = static_cast<std::uint16_t>(Bound);
  return Status;
}

void Mailbox::Data::receive() {
  for (;;) {
    nng_msg *Wire = nullptr;
    int Status = nng_recvmsg(Pull, &Wire, 0);
    if (Status == NNG_ECLOSED || Closing.load())
      return;
    if (Status != 0)
      continue;
    const std::span Bytes(static_cast<const std::uint8_t *>(nng_msg_body(Wire)),
                          nng_msg_len(Wire));
    if (isFrame(Bytes))
      acceptFrame(Bytes, nng_msg_get_pipe(Wire));
    else
      accept(Bytes, nng_msg_get_pipe(Wire));
    nng_msg_free(Wire);
  }
}

void Mailbox::Data::drop(std::uint64_t MailboxCounters::*Which,
                         const Error &Cause) {
  Shared->count(Which);
  if (Shared->Handlers.Dropped)
    Shared->Handlers.Dropped(Cause);
}

void Mailbox::Data::acceptFrame(std::span<const std::uint8_t> Bytes,
                                nng_pipe Origin) {
  const auto Number = static_cast<std::uint32_t>(nng_pipe_id(Origin));
  const auto Whole = Gate->add(Number, Bytes, *Shared->Keys.load());
  if (!Whole) {
    Error Cause = Whole.error();
    Cause.Peer = remoteAddress(Origin);
    return drop(Cause.Code == ErrorCode::Unauthenticated
                    ? &MailboxCounters::Unauthenticated
                    : &MailboxCounters::Malformed,
                Cause);
  }
  if (*Whole)
    accept(**Whole, Origin);
}

void Mailbox::Data::accept(std::span<const std::uint8_t> Bytes,
                           nng_pipe Origin) {
  const MailboxOptions &Options = Shared->Options;
  Shared->count(&MailboxCounters::ReceivedBytes, Bytes.size());
  const auto Keys = Shared->Keys.load();
  const bool Compact = isCompactReport(Bytes);
  auto Decoded =
      Compact ? Bases.complete(Bytes, *Keys) : decodeMessage(Bytes, *Keys);
  if (!Decoded) {
    // Such a message proves no sender, so only its address can be named.
    Error Cause = Decoded.error();
    Cause.Peer = remoteAddress(Origin);
    return drop(Cause.Code == ErrorCode::Unauthenticated
                    ? &MailboxCounters::Unauthenticated
                    : &MailboxCounters::Malformed,
                Cause);
  }
  Gate->recordProof(static_cast<std::uint32_t>(nng_pipe_id(Origin)));
  Header &Head = Decoded->Head;
  if (Head.Receiver != Shared->wireName(Options.Name))
    return drop(&MailboxCounters::WrongReceiver,
                {ErrorCode::InvalidMessage, Step::Authenticate, Head.Sender,
                 "message is for " + Head.Receiver});
  ReplayVerdict Verdict = Replays.check(Head);
  if (Verdict != ReplayVerdict::Accepted)
    return drop(&MailboxCounters::Replayed,
                {ErrorCode::InvalidMessage, Step::Authenticate, Head.Sender,
                 std::string(replayVerdictName(Verdict))});
  if (!Compact)
    Bases.remember(*Decoded);
  Head.Receiver = Options.Name;
  Shared->count(&MailboxCounters::Received);
  if (Shared->Handlers.Observe)
    Shared->Handlers.Observe(Head.SentAt);
  if (Shared->Handlers.Received)
    Shared->Handlers.Received(std::move(*Decoded));
}

Expected<std::unique_ptr<Mailbox>>
Mailbox::open(MailboxOptions Options, KeyRing Keys, MailboxHandlers Handlers) {
  auto Failed = [&](std::string Detail) {
    return Error{ErrorCode::InvalidSettings, Step::Settings,
                 Options.Address + ":" + std::to_string(Options.Port),
                 std::move(Detail)};
  };
  if (!usable(Keys))
    return Failed("no usable key");
  auto Shared = std::make_shared<detail::MailboxShared>();
  Shared->Options = Options;
  Shared->Handlers = std::move(Handlers);
  Shared->Keys.store(std::make_shared<const KeyRing>(std::move(Keys)));
  auto Content = std::make_unique<Data>(std::move(Shared));
  if (int Status = Content->listen(); Status != 0) {
    nng_close(Content->Pull);
    return Failed(std::string("cannot listen: ") + nng_strerror(Status));
  }
  Content->Receiver =
      std::thread([Parts = Content.get()] { Parts->receive(); });
  return std::unique_ptr<Mailbox>(new Mailbox(std::move(Content)));
}

Mailbox::Mailbox(std::unique_ptr<Data> Parts) : Content(std::move(Parts)) {}

Mailbox::~Mailbox() {
  Content->Closing = true;
  nng_close(Content->Pull);
  Content->Receiver.join();
  Data::Peers Closing;
  {
    std::lock_guard Lock(Content->Mutex);
    Closing.swap(Content->Known);
  }
  for (auto &[Address, Peer] : Closing)
    Peer->close();
  // nng threads may still hold the shared parts; the worker must end here.
  Content->Shared->Worker->end();
}

bool Mailbox::addPeer(const std::string &PeerAddress) {
  return Content->findOrAdd(PeerAddress) != nullptr;
}

void Mailbox::removePeer(const std::string &PeerAddress) {
  std::shared_ptr<detail::MailboxPeer> Peer;
  {
    std::lock_guard Lock(Content->Mutex);
    auto Found = Content->Known.find(PeerAddress);
    if (Found == Content->Known.end())
      return;
    Peer = std::move(Found->second);
    Content->Known.erase(Found);
  }
  Peer->close();
}

void Mailbox::reconnect(const std::string &PeerAddress) {
  if (auto Peer = Content->find(PeerAddress))
    Peer->reconnect();
}

bool Mailbox::send(const std::string &PeerAddress, Message Message) {
  auto Peer = Content->findOrAdd(PeerAddress);
  if (Peer && Peer->send(std::move(Message)))
    return true;
  Content->Shared->count(&MailboxCounters::Refused);
  return false;
}

std::size_t
Mailbox::withdraw(const std::string &PeerAddress,
                  const std::function<bool(const Message &)> &Matches) {
  auto Peer = Content->find(PeerAddress);
  return Peer ? Peer->withdraw(Matches) : 0;
}

bool Mailbox::connected(const std::string &PeerAddress) const {
  auto Peer = Content->find(PeerAddress);
  return Peer && Peer->connected();
}

std::size_t Mailbox::outboxSize(const std::string &PeerAddress) const {
  auto Peer = Content->find(PeerAddress);
  return Peer ? Peer->outboxSize() : 0;
}

void Mailbox::replaceKeys(KeyRing Keys) {
  if (usable(Keys))
    Content->Shared->Keys.store(
        std::make_shared<const KeyRing>(std::move(Keys)));
}

std::uint16_t Mailbox::port() const { return Content->Port; }

MailboxCounters Mailbox::counters() const {
  std::lock_guard Lock(Content->Shared->CountersMutex);
  return Content->Shared->Counters;
}

} // namespace marigoldyard
