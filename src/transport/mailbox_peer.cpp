#include "marigoldyard/transport/detail/mailbox_peer.hpp"

#include "marigoldyard/transport/detail/callback_registry.hpp"

#include <nng/protocol/pipeline0/push.h>
#include <type_traits>

namespace marigoldyard::detail {

namespace {

/// Fixed part of a waiting message, for the limit on the outbox.
constexpr std::size_t MessageOverheadBytes = 512;

using Registry = CallbackRegistry<MailboxPeer>;

nng_duration milliseconds(Duration Value) {
  return static_cast<nng_duration>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Value).count());
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
        if constexpr (requires { Part.Index; })
          Bytes += Part.Index.Values.size() * 128;
      },
      Content.Content);
  return Bytes;
}

} // namespace

MailboxPeer::MailboxPeer(std::shared_ptr<MailboxShared> Parts,
                         std::string PeerAddress)
    : Shared(std::move(Parts)), Address(std::move(PeerAddress)) {}

// Only here is no thread left that may still start a send.
MailboxPeer::~MailboxPeer() {
  close();
  if (SendAio)
    nng_aio_free(SendAio);
}

bool MailboxPeer::start() {
  if (nng_push0_open(&Socket) != 0)
    return false;
  const MailboxOptions &Options = Shared->Options;
  nng_socket_set_int(Socket, NNG_OPT_SENDBUF, 0);
  // nng waits a random part of the current backoff and doubles it up to the
  // highest.
  nng_socket_set_ms(Socket, NNG_OPT_RECONNMINT,
                    milliseconds(Options.ReconnectLowest));
  nng_socket_set_ms(Socket, NNG_OPT_RECONNMAXT,
                    milliseconds(Options.ReconnectHighest));
  if (nng_aio_alloc(&SendAio, &MailboxPeer::sendFinished, this) != 0)
    return false;
  Id = Registry::instance().add(weak_from_this());
  nng_pipe_notify(Socket, NNG_PIPE_EV_ADD_POST, &MailboxPeer::pipeChanged, Id);
  nng_pipe_notify(Socket, NNG_PIPE_EV_REM_POST, &MailboxPeer::pipeChanged, Id);
  return nng_dial(Socket, ("tcp://" + Address).c_str(), nullptr,
                  NNG_FLAG_NONBLOCK) == 0;
}

void MailboxPeer::close() {
  {
    std::lock_guard Lock(Mutex);
    if (Closed)
      return;
    Closed = true;
    if (!Outbox.empty())
      Shared->count(&MailboxCounters::Discarded, Outbox.size());
    Outbox.clear();
    OutboxBytes = 0;
  }
  Registry::instance().remove(Id);
  nng_close(Socket);
  if (SendAio)
    nng_aio_stop(SendAio);
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

// Without a connection nothing is handed to nng, so that all waiting messages
// can still be withdrawn.
void MailboxPeer::pump() {
  for (;;) {
    Waiting Next;
    {
      std::lock_guard Lock(Mutex);
      if (Sending || Closed || Outbox.empty() || !connected())
        return;
      Next = std::move(Outbox.front());
      Outbox.pop_front();
      OutboxBytes -= Next.Bytes;
      Sending = true;
    }
    if (handOver(std::move(Next.Content)))
      return;
    std::lock_guard Lock(Mutex);
    Sending = false;
  }
}

bool MailboxPeer::handOver(Message Content) {
  Header &Head = Content.Head;
  std::string Receiver = Head.Receiver;
  Head.Sender = Shared->Options.Name;
  Head.SenderIncarnation = Shared->Options.Number;
  Head.Receiver = Shared->wireName(Receiver);
  Head.Sequence = ++Shared->LastSequence;
  if (Shared->Handlers.Tick)
    Head.SentAt = Shared->Handlers.Tick();
  auto Bytes = encodeMessage(Content, *Shared->Keys.load());
  nng_msg *Wire = nullptr;
  if (Bytes.size() > Shared->Options.MaxMessageBytes ||
      nng_msg_alloc(&Wire, 0) != 0 ||
      nng_msg_append(Wire, Bytes.data(), Bytes.size()) != 0) {
    nng_msg_free(Wire);
    if (Shared->Handlers.Dropped)
      Shared->Handlers.Dropped({ErrorCode::InvalidMessage, Step::Send, Receiver,
                                "message of " + std::to_string(Bytes.size()) +
                                    " bytes is too large"});
    return false;
  }
  Shared->count(&MailboxCounters::Sent);
  Shared->count(&MailboxCounters::SentBytes, Bytes.size());
  nng_aio_set_msg(SendAio, Wire);
  nng_send_aio(Socket, SendAio);
  return true;
}

void MailboxPeer::sendFinished(void *Peer) {
  auto *Self = static_cast<MailboxPeer *>(Peer);
  // A send fails only when the socket is closed; the message then stays ours.
  if (nng_aio_result(Self->SendAio) != 0) {
    nng_msg_free(nng_aio_get_msg(Self->SendAio));
    nng_aio_set_msg(Self->SendAio, nullptr);
  }
  {
    std::lock_guard Lock(Self->Mutex);
    Self->Sending = false;
  }
  Self->pump();
}

void MailboxPeer::pipeChanged(nng_pipe, nng_pipe_ev Event, void *Id) {
  auto Self = Registry::instance().find(Id);
  if (!Self)
    return;
  const MailboxHandlers &Handlers = Self->Shared->Handlers;
  if (Event == NNG_PIPE_EV_ADD_POST) {
    ++Self->Connections;
    if (Handlers.ConnectionOpened)
      Handlers.ConnectionOpened(Self->Address);
    Self->pump();
  } else {
    --Self->Connections;
    if (Handlers.ConnectionLost)
      Handlers.ConnectionLost(Self->Address);
  }
}

} // namespace marigoldyard::detail
