#pragma once

#include "marigoldyard/transport/mailbox.hpp"

#include <atomic>
#include <deque>
#include <memory>
#include <mutex>
#include <nng/nng.h>

namespace marigoldyard::detail {

/// @brief Parts of a mailbox that its peers use.
struct MailboxShared {
  MailboxOptions Options;
  MailboxHandlers Handlers;
  std::atomic<std::shared_ptr<const KeyRing>> Keys;
  // One counter for all peers: a peer that is removed and added again must not
  // start over, or its receiver would drop the messages as repeated.
  std::atomic<std::uint64_t> LastSequence{0};
  std::mutex CountersMutex;
  MailboxCounters Counters;

  /// @brief Adds to one of the counters.
  void count(std::uint64_t MailboxCounters::*Which, std::uint64_t Amount = 1) {
    std::lock_guard Lock(CountersMutex);
    Counters.*Which += Amount;
  }
  /// @brief Name of a receiver as it is signed.
  std::string wireName(const std::string &Receiver) const {
    return Options.Channel.empty() ? Receiver
                                   : Receiver + "/" + Options.Channel;
  }
};

/// @brief PUSH socket and outbox of one peer.
class MailboxPeer : public std::enable_shared_from_this<MailboxPeer> {
public:
  MailboxPeer(std::shared_ptr<MailboxShared> Shared, std::string PeerAddress);
  ~MailboxPeer();
  MailboxPeer(const MailboxPeer &) = delete;
  MailboxPeer &operator=(const MailboxPeer &) = delete;

  /// @brief Opens the socket and starts to connect.
  /// @return whether the address is usable
  bool start();
  /// @brief Closes the socket; waits for callbacks of the send in progress.
  void close();
  bool send(Message Content);
  std::size_t withdraw(const std::function<bool(const Message &)> &Matches);
  std::size_t outboxSize() const;
  bool connected() const { return Connections.load() > 0; }

private:
  struct Waiting {
    Message Content;
    std::size_t Bytes = 0; ///< estimate for the limit
  };

  static void sendFinished(void *Peer);
  static void pipeChanged(nng_pipe Pipe, nng_pipe_ev Event, void *Id);

  void pump();
  bool handOver(Message Content);

  std::shared_ptr<MailboxShared> Shared;
  std::string Address;
  void *Id = nullptr;
  nng_socket Socket = NNG_SOCKET_INITIALIZER;
  nng_aio *SendAio = nullptr;
  std::atomic<int> Connections{0};

  mutable std::mutex Mutex;
  std::deque<Waiting> Outbox;
  std::size_t OutboxBytes = 0;
  bool Sending = false;
  bool Closed = false;
};

} // namespace marigoldyard::detail
