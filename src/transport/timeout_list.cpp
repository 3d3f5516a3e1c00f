#include "marigoldyard/transport/timeout_list.hpp"

#include "marigoldyard/transport/clock.hpp"

#include <utility>
#include <vector>

namespace marigoldyard {

TimeoutList::TimeoutList(boost::asio::io_context &Context) : Timer(Context) {}

void TimeoutList::start(std::function<void()> Callback) {
  OnTick = std::move(Callback);
  LastTickAt = now();
  schedule();
}

void TimeoutList::schedule() {
  Timer.expires_after(Tick);
  Timer.async_wait([this](const boost::system::error_code &Failure) {
    if (Failure)
      return;
    run();
    schedule();
  });
}

void TimeoutList::run() {
  const TimePoint Now = now();
  const bool WasBlocked =
      Now - std::exchange(LastTickAt, Now) > Tick + MaxTickDelay;
  // Under constant overload every other tick still runs.
  Deferred = WasBlocked && !Deferred;
  if (Deferred)
    return;
  // A callback may add and remove timeouts, so they are collected first.
  std::vector<std::function<void()>> Due;
  for (Slot &Each : Slots) {
    if (Now < Each.At)
      continue;
    Each.At = TimePoint::max();
    Due.push_back(Each.Expire);
  }
  for (const auto &Expire : Due)
    Expire();
  if (OnTick)
    OnTick();
}

Timeout::Timeout(TimeoutList &List, std::function<void()> Expire)
    : Owner(List) {
  Position = Owner.Slots.insert(
      Owner.Slots.end(),
      {TimePoint::max(), [this, Callback = std::move(Expire)] {
         Over = true;
         Callback();
       }});
}

Timeout::~Timeout() { Owner.Slots.erase(Position); }

void Timeout::expiresAt(TimePoint At) {
  Over = false;
  Position->At = At;
}

void Timeout::clear() { expiresAt(TimePoint::max()); }

} // namespace marigoldyard
