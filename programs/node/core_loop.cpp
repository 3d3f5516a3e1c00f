#include "programs/node/core_loop.hpp"

#include "marigoldyard/transport/clock.hpp"

#include <algorithm>

namespace marigoldyard {

CoreLoop::CoreLoop(Duration Lease) : Tasks(RingCapacity), Pauses{Lease, {}} {}

bool CoreLoop::post(Task Work) {
  return Tasks.push(std::move(Work), PostLimit);
}

bool CoreLoop::tryPost(Task Work) { return Tasks.tryPush(std::move(Work)); }

void CoreLoop::at(TimePoint When, Task Work) {
  Timers.emplace(When, std::move(Work));
}

void CoreLoop::every(Duration Interval, Task Work) {
  at(now() + Interval, [this, Interval, Work = std::move(Work)] {
    Work();
    every(Interval, Work);
  });
}

void CoreLoop::run(const std::function<void(Duration)> &Paused) {
  while (!Stopped.load()) {
    Turn = now();
    if (const auto Pause = recordLoopIteration(Pauses, Turn))
      Paused(*Pause);
    runTimers();
    if (auto Work = Tasks.pop(sleepTime()))
      (*Work)();
  }
  Tasks.close();
}

void CoreLoop::stop() { Stopped.store(true); }

void CoreLoop::runTimers() {
  while (!Timers.empty() && Timers.begin()->first <= Turn) {
    const Task Work = std::move(Timers.begin()->second);
    Timers.erase(Timers.begin());
    Work();
  }
}

Duration CoreLoop::sleepTime() const {
  if (Timers.empty())
    return LongestSleep;
  return std::clamp(Timers.begin()->first - now(), Duration::zero(),
                    LongestSleep);
}

} // namespace marigoldyard
