#pragma once

#include "marigoldyard/protocol/codec.hpp"
#include "marigoldyard/protocol/message.hpp"
#include "marigoldyard/state/error.hpp"
#include "marigoldyard/state/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace marigoldyard {

/// @brief Names and limits of a Mailbox.
struct MailboxOptions {
  std::string Name;       ///< own name, the receiver in messages to it
  Incarnation Number = 0; ///< of this process
  std::string Address;    ///< IP number to listen on
  std::uint16_t Port = 0; ///< 0 lets the kernel choose
  std::string Channel;    ///< tells several mailboxes of one process apart, so
                          ///< that a message for one is refused by the other;
                          ///< equal on both sides
  std::size_t MaxMessageBytes = 4UL << 20; ///< larger ones are refused
  std::size_t MaxPeers = 2048;             ///< outgoing connections
  std::size_t MaxConnections = 2048;       ///< incoming connections
  /// Incoming connections without a valid message so far. More processes than
  /// that connect at once only when a fleet starts, and then connect again.
  std::size_t MaxUnprovenConnections = 1024;
  std::size_t OutboxMessages = 4096;    ///< waiting for one peer
  std::size_t OutboxBytes = 16UL << 20; ///< waiting for one peer
  Duration ReconnectLowest = std::chrono::milliseconds(50);
  Duration ReconnectHighest = std::chrono::seconds(2);
};

/// @brief Callbacks of a Mailbox. Empty ones are skipped.
struct MailboxHandlers {
  /// Accepted messages, on the receive thread. It may block; senders are then
  /// held back by TCP.
  std::function<void(Message &&)> Received;
  /// A connection to a peer opened; gets the peer's address. Must not block or
  /// call the Mailbox; push into a ring.
  std::function<void(const std::string &)> ConnectionOpened;
  /// A connection to a peer closed; gets the peer's address. As above.
  std::function<void(const std::string &)> ConnectionLost;
  /// A message was dropped; runs on the receive thread or an nng thread.
  std::function<void(const Error &)> Dropped;
  /// Time to put on a sent message, see EventLog::tick.
  std::function<HybridTime()> Tick;
  /// Time of an accepted message, see EventLog::observe.
  std::function<void(HybridTime)> Observe;
};

/// @brief Numbers since the start of a Mailbox.
struct MailboxCounters {
  std::uint64_t Sent = 0; ///< messages handed to nng
  std::uint64_t SentBytes = 0;
  std::uint64_t Received = 0;        ///< accepted messages
  std::uint64_t ReceivedBytes = 0;   ///< of all messages
  std::uint64_t Refused = 0;         ///< send() that returned false
  std::uint64_t Unauthenticated = 0; ///< unknown key or wrong MAC
  std::uint64_t Malformed = 0;
  std::uint64_t WrongReceiver = 0;
  std::uint64_t Replayed = 0;  ///< older incarnation or repeated sequence
  std::uint64_t Discarded = 0; ///< still waiting when a peer was removed
  std::uint64_t ConnectionsRefused = 0; ///< over MaxConnections
};

/// @brief One-way messages between processes over nng PUSH and PULL.
///
/// It owns one PULL socket and a PUSH socket with a bounded outbox for each
/// peer. Messages to one peer are delivered in order, at most once. nng buffers
/// nothing on the sending side and one send is in progress at a time, so a
/// message that is still in the outbox is known not to be sent.
///
/// All functions are thread-safe.
class Mailbox {
public:
  /// @brief Opens the PULL socket and starts the receive thread.
  /// @param Options names and limits
  /// @param Keys at least one key
  /// @param Handlers callbacks
  /// @return the mailbox; ErrorCode::InvalidSettings when it cannot listen or
  /// there is no usable key
  static Expected<std::unique_ptr<Mailbox>>
  open(MailboxOptions Options, KeyRing Keys, MailboxHandlers Handlers);

  /// @brief Closes all sockets; waiting messages are discarded.
  ~Mailbox();
  Mailbox(const Mailbox &) = delete;
  Mailbox &operator=(const Mailbox &) = delete;

  /// @brief Connects to a peer and keeps reconnecting until it is removed.
  /// @param PeerAddress "host:port" of the peer's PULL socket
  /// @return whether the peer is known; false beyond MaxPeers or for an invalid
  /// address
  bool addPeer(const std::string &PeerAddress);

  /// @brief Closes the connection to a peer and discards its outbox.
  /// @param PeerAddress address given to addPeer or send
  void removePeer(const std::string &PeerAddress);

  /// @brief Replaces the connection to a peer, which may be silent without
  /// being closed. The outbox is kept; messages under way may be lost.
  /// @param PeerAddress address given to addPeer or send; others are ignored
  void reconnect(const std::string &PeerAddress);

  /// @brief Queues a message. Sender, incarnation, sequence and time are set
  /// here; the caller sets Receiver and SenderRevision.
  /// @param PeerAddress "host:port"; the peer is added when unknown
  /// @param Content the message
  /// @return whether it was queued; false when the outbox or the table of peers
  /// is full, or the message exceeds MaxMessageBytes
  bool send(const std::string &PeerAddress, Message Content);

  /// @brief Removes messages that were never handed to nng.
  /// @param PeerAddress address of the peer
  /// @param Matches chooses messages; must not call the Mailbox
  /// @return number of removed messages; each of them is proved never sent
  /// @complexity linear in the length of the outbox
  std::size_t withdraw(const std::string &PeerAddress,
                       const std::function<bool(const Message &)> &Matches);

  /// @brief Whether a connection to a peer is open.
  /// @param PeerAddress address of the peer
  bool connected(const std::string &PeerAddress) const;

  /// @brief Messages that wait for a peer.
  /// @param PeerAddress address of the peer
  /// @return the number, 0 for unknown peers
  std::size_t outboxSize(const std::string &PeerAddress) const;

  /// @brief Replaces the keys from the next message on.
  /// @param Keys at least one key; others are ignored
  void replaceKeys(KeyRing Keys);

  /// @return the port the PULL socket listens on
  std::uint16_t port() const;

  /// @return numbers since the start
  MailboxCounters counters() const;

private:
  struct Data;
  explicit Mailbox(std::unique_ptr<Data> Content);
  std::unique_ptr<Data> Content;
};

} // namespace marigoldyard
