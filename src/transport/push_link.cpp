#include "marigoldyard/transport/detail/push_link.hpp"

#include "marigoldyard/transport/detail/callback_registry.hpp"

#include <nng/protocol/pipeline0/push.h>
#include <utility>

namespace marigoldyard::detail {

namespace {

using Registry = CallbackRegistry<PushLink>;

nng_duration milliseconds(Duration Value) {
  return static_cast<nng_duration>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Value).count());
}

} // namespace

PushLink::PushLink(Handlers Functions) : Callbacks(std::move(Functions)) {}

// Only here is no thread left that may still start a send.
PushLink::~PushLink() {
  close();
  if (Aio)
    nng_aio_free(Aio);
}

bool PushLink::dial(const std::string &Address, Duration Lowest,
                    Duration Highest) {
  if (nng_push0_open(&Socket) != 0 ||
      nng_aio_alloc(&Aio, &PushLink::sendFinished, this) != 0)
    return false;
  nng_socket_set_int(Socket, NNG_OPT_SENDBUF, 0);
  // nng waits a random part of the current backoff and doubles it up to the
  // highest.
  nng_socket_set_ms(Socket, NNG_OPT_RECONNMINT, milliseconds(Lowest));
  nng_socket_set_ms(Socket, NNG_OPT_RECONNMAXT, milliseconds(Highest));
  Id = Registry::instance().add(weak_from_this());
  for (nng_pipe_ev Event :
       {NNG_PIPE_EV_ADD_PRE, NNG_PIPE_EV_ADD_POST, NNG_PIPE_EV_REM_POST})
    nng_pipe_notify(Socket, Event, &PushLink::pipeChanged, Id);
  return nng_dial(Socket, ("tcp://" + Address).c_str(), nullptr,
                  NNG_FLAG_NONBLOCK) == 0;
}

void PushLink::close() {
  {
    std::lock_guard Lock(Mutex);
    if (std::exchange(Closed, true))
      return;
    Current = Phase::Lost;
  }
  Registry::instance().remove(Id);
  nng_close(Socket);
  if (Aio)
    nng_aio_stop(Aio);
}

bool PushLink::claim() {
  std::lock_guard Lock(Mutex);
  if (Current != Phase::Open || Sending)
    return false;
  Sending = true;
  return true;
}

bool PushLink::send(nng_msg *Wire) {
  std::lock_guard Lock(Mutex);
  if (Current != Phase::Open)
    return false;
  nng_aio_set_msg(Aio, Wire);
  nng_send_aio(Socket, Aio);
  return true;
}

void PushLink::release() {
  std::lock_guard Lock(Mutex);
  Sending = false;
}

bool PushLink::open() const {
  std::lock_guard Lock(Mutex);
  return Current == Phase::Open;
}

bool PushLink::lost() const {
  std::lock_guard Lock(Mutex);
  return Current == Phase::Lost;
}

void PushLink::sendFinished(void *Link) {
  auto *Self = static_cast<PushLink *>(Link);
  // A send fails only when the socket is closed; the message then stays ours.
  bool Sent = nng_aio_result(Self->Aio) == 0;
  if (!Sent) {
    nng_msg_free(nng_aio_get_msg(Self->Aio));
    nng_aio_set_msg(Self->Aio, nullptr);
  }
  Self->release();
  Self->Callbacks.Finished(Sent);
}

void PushLink::pipeChanged(nng_pipe Pipe, nng_pipe_ev Event, void *Id) {
  auto Self = Registry::instance().find(Id);
  if (!Self)
    return;
  if (Event == NNG_PIPE_EV_ADD_PRE)
    Self->refuseSecond(Pipe);
  else if (Event == NNG_PIPE_EV_ADD_POST)
    Self->connectionOpened();
  else
    Self->connectionClosed(Pipe);
}

void PushLink::refuseSecond(nng_pipe New) {
  std::lock_guard Lock(Mutex);
  if (Pipe < 0 && Current == Phase::Connecting)
    Pipe = nng_pipe_id(New);
  else
    nng_pipe_close(New);
}

void PushLink::connectionOpened() {
  {
    std::lock_guard Lock(Mutex);
    if (Current != Phase::Connecting)
      return;
    Current = Phase::Open;
  }
  Callbacks.Opened();
}

void PushLink::connectionClosed(nng_pipe Old) {
  bool WasOpen = false;
  {
    std::lock_guard Lock(Mutex);
    if (Current == Phase::Lost || nng_pipe_id(Old) != Pipe)
      return;
    WasOpen = Current == Phase::Open;
    Current = Phase::Lost;
  }
  Callbacks.Lost(WasOpen);
}

} // namespace marigoldyard::detail
