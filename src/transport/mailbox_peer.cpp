#include "marigoldyard/transport/detail/mailbox_peer.hpp"

#include "marigoldyard/protocol/message_frames.hpp"
#include "marigoldyard/transport/clock.hpp"
#include "marigoldyard/transport/random_source.hpp"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace marigoldyard::detail {

namespace {

/// Fixed part of a waiting message, for the limit on the outbox.
constexpr std::size_t MessageOverheadBytes = 512;

/// A random part of the shortest backoff, so that peers that lost the same
/// process do not all connect at once.
Duration reconnectDelay(Duration Lowest) {
  thread_local Random Source = makeRandom();
  return Duration(std::uniform_int_distribution<Duration::rep>(
      0, std::max<Duration::rep>(0, Lowest.count()))(Source));
}

/// Size of the parts of a message that callers or the network make large.
std::size_t estimatedBytes(const Message &Content) {
  std::size_t Bytes = MessageOverheadBytes;
  std::visit(
      [&](const auto &Part) {
        using Type = std::remove_cvref_t<decltype(Part)>;
        if constexpr (requires { Part.Prompt; })
          Bytes += Part.Prompt.size();
        if constexpr (requires { Part.Text; })
          Bytes += Part.Text.size();
        if constexpr (requires { Part.Body; })
          Bytes += Part.Body.size();
        if constexpr (requires { Part.Bytes; })
          Bytes += Part.Bytes.size();
        if constexpr (std::is_same_v<Type, ConfigurationValues>)
          for (const auto &[Name, Value] : Part.Values)
            Bytes += Name.size() + Value.size();
        if constexpr (std::is_same_v<Type, CrashedRequestReport>)
          for (const ReportedRequest &Each : Part.Requests)
            Bytes +=
                128 + 64 * (Each.Crashes.size() + Each.ClearedCrashes.size());
        if constexpr (requires { Part.Index; })
          Bytes += Part.Index.Values.size() * 128;
      },
      Content.Content);
  return Bytes;
}

} // namespace

MailboxWorker::MailboxWorker() : Thread([this] { run(); }) {}

MailboxWorker::~MailboxWorker() { end(); }

void MailboxWorker::end() {
  {
    std::lock_guard Lock(Mutex);
    if (std::exchange(Ending, true))
      return;
  }
  Changed.notify_all();
  Thread.join();
}

void MailboxWorker::schedule(std::weak_ptr<MailboxPeer> Peer, Duration Delay) {
  {
    std::lock_guard Lock(Mutex);
    Due.emplace(now() + Delay, std::move(Peer));
  }
  Changed.notify_all();
}

void MailboxWorker::run() {
  std::unique_lock Lock(Mutex);
  while (!Ending) {
    if (Due.empty()) {
      Changed.wait(Lock);
      continue;
    }
    auto First = Due.begin();
    if (auto Wait = First->first - now(); Wait > Duration::zero()) {
      Changed.wait_for(Lock, Wait);
      continue;
    }
    auto Weak = std::move(First->second);
    Due.erase(First);
    Lock.unlock();
    if (auto Peer = Weak.lock())
      Peer->service();
    Lock.lock();
  }
}

MailboxPeer::MailboxPeer(std::shared_ptr<MailboxShared> Parts,
                         std::string PeerAddress)
    : Shared(std::move(Parts)), Address(std::move(PeerAddress)) {}

MailboxPeer::~MailboxPeer() { close(); }

std::shared_ptr<PushLink> MailboxPeer::makeLink() {
  PushLink::Handlers Callbacks;
  auto Weak = weak_from_this();
  Callbacks.Opened = [Weak] {
    auto Self = Weak.lock();
    if (!Self)
      return;
    if (Self->Shared->Handlers.ConnectionOpened)
      Self->Shared->Handlers.ConnectionOpened(Self->Address);
    Self->Shared->Worker->schedule(Weak, Duration::zero());
  };
  Callbacks.Lost = [Weak](bool WasOpen) {
    auto Self = Weak.lock();
    if (!Self)
      return;
    if (WasOpen && Self->Shared->Handlers.ConnectionLost)
      Self->Shared->Handlers.ConnectionLost(Self->Address);
    Self->Shared->Worker->schedule(
        Weak, reconnectDelay(Self->Shared->Options.ReconnectLowest));
  };
  Callbacks.Finished = [Weak](bool Sent) {
    auto Self = Weak.lock();
    if (!Self)
      return;
    if (!Sent)
      Self->Shared->count(&MailboxCounters::Discarded);
    Self->pump();
  };
  auto New = std::make_shared<PushLink>(std::move(Callbacks));
  const MailboxOptions &Options = Shared->Options;
  if (!New->dial(Address, Options.ReconnectLowest, Options.ReconnectHighest))
    return nullptr;
  return New;
}

// A connection may open before its link is stored; service() must not see the
// gap and open a second one.
bool MailboxPeer::start() {
  std::lock_guard Replacing(LinkMutex);
  return openLink();
}

bool MailboxPeer::openLink() {
  auto New = makeLink();
  std::lock_guard Lock(Mutex);
  Link = std::move(New);
  return Link != nullptr;
}

void MailboxPeer::service() {
  {
    std::lock_guard Replacing(LinkMutex);
    std::shared_ptr<PushLink> Old;
    bool Missing = false;
    {
      std::lock_guard Lock(Mutex);
      if (Closed)
        return;
      const bool Replace = std::exchange(ReplaceLink, false);
      if (Link && (Replace || Link->lost())) {
        Old = std::exchange(Link, nullptr);
        discardFrames();
      }
      Missing = Link == nullptr;
    }
    if (Old)
      Old->close();
    if (Missing && !openLink()) // such as no file descriptors
      Shared->Worker->schedule(weak_from_this(),
                               Shared->Options.ReconnectHighest);
  }
  pump();
}

void MailboxPeer::close() {
  std::lock_guard Replacing(LinkMutex);
  std::shared_ptr<PushLink> Old;
  {
    std::lock_guard Lock(Mutex);
    if (std::exchange(Closed, true))
      return;
    if (!Outbox.empty())
      Shared->count(&MailboxCounters::Discarded, Outbox.size());
    Outbox.clear();
    OutboxBytes = 0;
    discardFrames();
    Old = std::exchange(Link, nullptr);
  }
  if (Old)
    Old->close();
}

void MailboxPeer::reconnect() {
  {
    std::lock_guard Lock(Mutex);
    ReplaceLink = true;
  }
  Shared->Worker->schedule(weak_from_this(), Duration::zero());
}

bool MailboxPeer::send(Message Content) {
  std::size_t Bytes = estimatedBytes(Content);
  const MailboxOptions &Options = Shared->Options;
  {
    std::lock_guard Lock(Mutex);
    if (Closed || Bytes > Options.MaxMessageBytes + MessageOverheadBytes ||
        Outbox.size() >= Options.OutboxMessages ||
        OutboxBytes + Bytes > Options.OutboxBytes)
      return false;
    Outbox.push_back({std::move(Content), Bytes});
    OutboxBytes += Bytes;
  }
  pump();
  return true;
}

std::size_t
MailboxPeer::withdraw(const std::function<bool(const Message &)> &Matches) {
  std::lock_guard Lock(Mutex);
  return std::erase_if(Outbox, [&](const Waiting &Entry) {
    if (!Matches(Entry.Content))
      return false;
    OutboxBytes -= Entry.Bytes;
    return true;
  });
}

std::size_t MailboxPeer::outboxSize() const {
  std::lock_guard Lock(Mutex);
  return Outbox.size();
}

bool MailboxPeer::connected() const {
  std::lock_guard Lock(Mutex);
  return Link && Link->open();
}

void MailboxPeer::discardFrames() {
  if (!Frames.empty())
    Shared->count(&MailboxCounters::Discarded);
  Frames.clear();
}

// Without a connection nothing is handed to nng, so that all waiting messages
// can still be withdrawn.
void MailboxPeer::pump() {
  for (;;) {
    Waiting Next;
    WireMessage Frame;
    std::shared_ptr<PushLink> Target;
    {
      std::lock_guard Lock(Mutex);
      if (Closed || (Frames.empty() && Outbox.empty()) || !Link ||
          !Link->claim())
        return;
      Target = Link;
      if (!Frames.empty()) {
        Frame = std::move(Frames.front());
        Frames.pop_front();
      } else {
        Next = std::move(Outbox.front());
        Outbox.pop_front();
        OutboxBytes -= Next.Bytes;
      }
    }
    if (Frame) {
      if (sendOn(*Target, Frame))
        return;
      // The connection closed; service() discards the other frames.
      Target->release();
      return;
    }
    std::string Receiver = Next.Content.Head.Receiver;
    std::deque<WireMessage> Encoded = encode(Next.Content, Target->Reports);
    if (Encoded.empty()) {
      Target->release();
      continue;
    }
    Frame = std::move(Encoded.front());
    Encoded.pop_front();
    bool IsCurrent = false;
    {
      // Before the first one is sent, since its end starts the next send.
      std::lock_guard Lock(Mutex);
      IsCurrent = !Closed && Link == Target;
      if (IsCurrent)
        Frames = std::move(Encoded);
    }
    if (IsCurrent && sendOn(*Target, Frame))
      return;
    Target->release();
    // The connection closed before the message was handed over.
    Next.Content.Head.Receiver = std::move(Receiver);
    std::lock_guard Lock(Mutex);
    if (IsCurrent && Link == Target)
      Frames.clear();
    if (Closed)
      return;
    OutboxBytes += Next.Bytes;
    Outbox.push_front(std::move(Next));
    return;
  }
}

bool MailboxPeer::sendOn(PushLink &Target, WireMessage &Frame) {
  if (!Target.send(Frame.get()))
    return false;
  // nng owns it from now on.
  static_cast<void>(Frame.release()); // NOLINT(bugprone-unused-return-value)
  return true;
}

std::deque<MailboxPeer::WireMessage> MailboxPeer::encode(Message &Content,
                                                         ReportLink &Reports) {
  Header &Head = Content.Head;
  std::string Receiver = Head.Receiver;
  Head.Sender = Shared->Options.Name;
  Head.SenderIncarnation = Shared->Options.Number;
  Head.Receiver = Shared->wireName(Receiver);
  Head.Sequence = ++Shared->LastSequence;
  if (Shared->Handlers.Tick)
    Head.SentAt = Shared->Handlers.Tick();
  const auto Keys = Shared->Keys.load();
  auto Bytes = encodeOnLink(Reports, Content, *Keys);
  const std::size_t Size = Bytes.size();
  std::deque<WireMessage> Wire;
  if (Size <= Shared->Options.MaxMessageBytes)
    for (const auto &Frame : splitMessage(std::move(Bytes), *Keys))
      Wire.push_back(makeWireMessage(Frame));
  if (Wire.empty() ||
      std::find(Wire.begin(), Wire.end(), nullptr) != Wire.end()) {
    Shared->count(&MailboxCounters::Discarded);
    if (Shared->Handlers.Dropped)
      Shared->Handlers.Dropped(
          {ErrorCode::InvalidMessage, Step::Send, Receiver,
           "message of " + std::to_string(Size) + " bytes is too large"});
    return {};
  }
  Shared->count(&MailboxCounters::Sent);
  Shared->count(&MailboxCounters::SentBytes, Size);
  return Wire;
}

MailboxPeer::WireMessage
MailboxPeer::makeWireMessage(std::span<const std::uint8_t> Bytes) {
  nng_msg *Wire = nullptr;
  if (nng_msg_alloc(&Wire, 0) != 0)
    return nullptr;
  WireMessage Result(Wire);
  return nng_msg_append(Wire, Bytes.data(), Bytes.size()) == 0
             ? std::move(Result)
             : nullptr;
}

} // namespace marigoldyard::detail
