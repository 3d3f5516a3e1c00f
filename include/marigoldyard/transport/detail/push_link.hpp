#pragma once

#include "marigoldyard/protocol/link_report.hpp"
#include "marigoldyard/state/time.hpp"

#include <functional>
#include <memory>
#include <mutex>
#include <nng/nng.h>
#include <string>

namespace marigoldyard::detail {

/// @brief A PUSH socket that is used for one connection only.
///
/// nng 1.5 may keep a closed connection in a PUSH socket's list of ready ones
/// when the connection closes while a send completes. The next send on the
/// socket then loses its message or uses freed memory. Therefore nothing is
/// sent on a socket after its first connection closed, and a second connection
/// is refused; the peer opens another socket instead.
class PushLink : public std::enable_shared_from_this<PushLink> {
public:
  /// @brief Callbacks; they run on nng threads and must not block.
  struct Handlers {
    std::function<void()> Opened;
    std::function<void(bool WasOpen)> Lost;  ///< at most once
    std::function<void(bool Sent)> Finished; ///< the send in progress ended
  };

  explicit PushLink(Handlers Callbacks);
  ~PushLink();
  PushLink(const PushLink &) = delete;
  PushLink &operator=(const PushLink &) = delete;

  /// @brief Opens the socket and connects, with repeats, in the background.
  /// @param Lowest first wait between tries
  /// @param Highest longest wait between tries
  /// @return whether the address is usable
  bool dial(const std::string &Address, Duration Lowest, Duration Highest);
  /// @brief Closes the socket; waits for the end of the send in progress. Not
  /// to be called from a callback.
  void close();
  /// @brief Reserves the link for one send.
  /// @return false without a connection or while a send is in progress
  bool claim();
  /// @brief Starts the send that was reserved.
  /// @return false when the connection closed; the message stays the caller's
  bool send(nng_msg *Wire);
  /// @brief Gives up a reservation.
  void release();
  bool open() const;
  bool lost() const;

  /// Reports sent on this connection; only for who holds the reservation.
  ReportLink Reports;

private:
  enum class Phase { Connecting, Open, Lost };

  static void sendFinished(void *Link);
  static void pipeChanged(nng_pipe Pipe, nng_pipe_ev Event, void *Id);
  void refuseSecond(nng_pipe Pipe);
  void connectionOpened();
  void connectionClosed(nng_pipe Pipe);

  const Handlers Callbacks;
  void *Id = nullptr;
  nng_socket Socket = NNG_SOCKET_INITIALIZER;
  nng_aio *Aio = nullptr;
  // Held while a send starts and while a closed connection is noted, before
  // nng frees it.
  mutable std::mutex Mutex;
  Phase Current = Phase::Connecting;
  int Pipe = -1;
  bool Sending = false;
  bool Closed = false;
};

} // namespace marigoldyard::detail
