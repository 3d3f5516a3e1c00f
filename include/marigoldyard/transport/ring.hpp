#pragma once

#include "marigoldyard/state/time.hpp"

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <oneapi/tbb/concurrent_queue.h>
#include <optional>
#include <utility>

namespace marigoldyard {

/// @brief Bounded queue between threads.
///
/// tbb::concurrent_bounded_queue has no pop with a timeout, so a condition
/// variable beside it wakes consumers. A producer takes the mutex only when a
/// consumer waits.
template <typename T> class BoundedRing {
public:
  /// @param Capacity most elements held, at least 1
  explicit BoundedRing(std::size_t Capacity) {
    Queue.set_capacity(static_cast<std::ptrdiff_t>(Capacity));
  }

  /// @brief Appends an element unless the ring is full or closed.
  /// @param Value the element; unchanged when not appended
  /// @return whether it was appended
  /// @complexity constant
  bool tryPush(T &&Value) {
    if (Closed.load() || !Queue.try_push(std::move(Value)))
      return false;
    wakeConsumers();
    return true;
  }

  /// @brief Appends an element and waits for room up to a limit.
  /// @param Value the element; unchanged when not appended
  /// @param Limit longest wait
  /// @return whether it was appended; false when closed or still full
  bool push(T &&Value, Duration Limit) {
    if (tryPush(std::move(Value)))
      return true;
    std::unique_lock Lock(Mutex);
    bool Pushed = false;
    ++Waiting;
    // tryPush and try_push leave Value unchanged when the queue is full.
    // NOLINTNEXTLINE(bugprone-use-after-move)
    Changed.wait_for(Lock, Limit, [&] {
      Pushed = !Closed.load() && Queue.try_push(std::move(Value));
      return Pushed || Closed.load();
    });
    --Waiting;
    Lock.unlock();
    if (Pushed)
      wakeConsumers();
    return Pushed;
  }

  /// @brief Removes the oldest element; waits for one up to a limit.
  /// @param Limit longest wait; zero does not wait
  /// @return the element, or nothing after the limit or when the ring is closed
  /// and empty
  std::optional<T> pop(Duration Limit) {
    T Value;
    if (!Queue.try_pop(Value)) {
      if (Limit <= Duration::zero())
        return std::nullopt;
      std::unique_lock Lock(Mutex);
      bool Popped = false;
      ++Waiting;
      Changed.wait_for(Lock, Limit, [&] {
        Popped = Queue.try_pop(Value);
        return Popped || Closed.load();
      });
      --Waiting;
      if (!Popped)
        return std::nullopt;
    }
    wakeConsumers(); // a producer may wait for the room
    return Value;
  }

  /// @brief Refuses further elements and wakes all waiting threads. Elements
  /// already held can still be removed.
  void close() {
    Closed.store(true);
    std::lock_guard Lock(Mutex);
    Changed.notify_all();
  }

  /// @return whether close() was called
  bool closed() const { return Closed.load(); }

  /// @return number of elements held, as an estimate while others push or pop
  std::size_t size() const {
    auto Count = Queue.size();
    return Count > 0 ? static_cast<std::size_t>(Count) : 0;
  }

private:
  // The counter is raised under the mutex before the waiting thread looks at
  // the queue for the last time, so that either it sees the element or the
  // other side sees the counter.
  void wakeConsumers() {
    std::atomic_thread_fence(std::memory_order_seq_cst);
    if (Waiting.load() == 0)
      return;
    std::lock_guard Lock(Mutex);
    Changed.notify_all();
  }

  oneapi::tbb::concurrent_bounded_queue<T> Queue;
  std::atomic<bool> Closed{false};
  std::atomic<int> Waiting{0};
  std::mutex Mutex;
  std::condition_variable Changed;
};

} // namespace marigoldyard
