#pragma once

#include "marigoldyard/transport/detail/push_link.hpp"
#include "marigoldyard/transport/mailbox.hpp"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <thread>

namespace marigoldyard::detail {

class MailboxPeer;

/// @brief Thread that opens sockets and starts sends after a connection opened,
/// which nng callbacks must not do.
class MailboxWorker {
public:
  MailboxWorker();
  ~MailboxWorker();
  MailboxWorker(const MailboxWorker &) = delete;
  MailboxWorker &operator=(const MailboxWorker &) = delete;

  /// @brief Calls service() of a peer after a delay.
  void schedule(std::weak_ptr<MailboxPeer> Peer, Duration Delay);
  /// @brief Ends the thread; nothing is serviced from then on.
  void end();

private:
  void run();

  std::mutex Mutex;
  std::condition_variable Changed;
  std::multimap<TimePoint, std::weak_ptr<MailboxPeer>> Due;
  bool Ending = false;
  std::thread Thread;
};

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
  std::unique_ptr<MailboxWorker> Worker = std::make_unique<MailboxWorker>();

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

/// @brief Outbox of one peer, and its connection, which is opened again when it
/// is lost.
class MailboxPeer : public std::enable_shared_from_this<MailboxPeer> {
public:
  MailboxPeer(std::shared_ptr<MailboxShared> Shared, std::string PeerAddress);
  ~MailboxPeer();
  MailboxPeer(const MailboxPeer &) = delete;
  MailboxPeer &operator=(const MailboxPeer &) = delete;

  /// @brief Starts to connect.
  /// @return whether the address is usable
  bool start();
  /// @brief Closes the connection and discards the outbox.
  void close();
  /// @brief Replaces the connection soon, on the worker thread.
  void reconnect();
  bool send(Message Content);
  std::size_t withdraw(const std::function<bool(const Message &)> &Matches);
  std::size_t outboxSize() const;
  bool connected() const;
  /// @brief Replaces a lost connection and starts a send; on the worker thread.
  void service();

private:
  struct Waiting {
    Message Content;
    std::size_t Bytes = 0; ///< estimate for the limit
  };

  std::shared_ptr<PushLink> makeLink();
  bool openLink();
  struct FreeWireMessage {
    void operator()(nng_msg *Wire) const { nng_msg_free(Wire); }
  };
  using WireMessage = std::unique_ptr<nng_msg, FreeWireMessage>;

  void pump();
  /// @return whether nng has taken the frame over
  static bool sendOn(PushLink &Target, WireMessage &Frame);
  /// Drops the rest of a message of which a part was sent; under Mutex.
  void discardFrames();
  /// @return the frames of the message; empty if it is too large
  std::deque<WireMessage> encode(Message &Content, ReportLink &Reports);
  static WireMessage makeWireMessage(std::span<const std::uint8_t> Bytes);

  std::shared_ptr<MailboxShared> Shared;
  std::string Address;
  std::mutex LinkMutex; ///< held while the link is replaced or closed
  mutable std::mutex Mutex;
  std::shared_ptr<PushLink> Link;
  std::deque<Waiting> Outbox;
  std::size_t OutboxBytes = 0;
  /// Frames of the message that is being sent on Link.
  std::deque<WireMessage> Frames;
  bool Closed = false;
  bool ReplaceLink = false;
};

} // namespace marigoldyard::detail
