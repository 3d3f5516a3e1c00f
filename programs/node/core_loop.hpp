#pragma once

#include "marigoldyard/coordination/pause.hpp"
#include "marigoldyard/state/time.hpp"
#include "marigoldyard/transport/ring.hpp"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>

namespace marigoldyard {

/// @brief Executor of the core thread, which owns all decision state of a
/// daemon. Other threads hand it tasks through a bounded ring.
class CoreLoop {
public:
  using Task = std::function<void()>;

  /// @brief Tasks that may wait for the core thread.
  static constexpr std::size_t RingCapacity = 65536;
  /// @brief Longest time for which post() waits for room.
  static constexpr Duration PostLimit = std::chrono::seconds(1);
  /// @brief Longest sleep, so that a pause of the process is noticed.
  static constexpr Duration LongestSleep = std::chrono::milliseconds(100);

  /// @param Lease longest gap between turns after which cached views still hold
  explicit CoreLoop(Duration Lease);

  /// @brief Hands over a task; waits up to PostLimit while the ring is full.
  /// @param Work the task
  /// @return false when the loop has stopped or has no room
  bool post(Task Work);

  /// @brief Hands over a task without waiting, for threads that must not block.
  /// @param Work the task
  /// @return false when the loop has stopped or has no room
  bool tryPost(Task Work);

  /// @brief Runs a task once. Core thread only, or before run().
  /// @param When earliest time
  /// @param Work the task
  void at(TimePoint When, Task Work);

  /// @brief Runs a task repeatedly. Core thread only, or before run().
  /// @param Interval time between two runs
  /// @param Work the task
  void every(Duration Interval, Task Work);

  /// @brief Runs tasks until stop().
  /// @param Paused called with the length of a pause longer than the lease,
  /// before any other task
  void run(const std::function<void(Duration)> &Paused);

  /// @brief Ends run(). Thread-safe.
  void stop();

  /// @return start of the current turn of the loop
  TimePoint turn() const { return Turn; }

  /// @return the pause detector of this loop
  const PauseDetector &pauses() const { return Pauses; }

private:
  void runTimers();
  Duration sleepTime() const;

  BoundedRing<Task> Tasks;
  std::multimap<TimePoint, Task> Timers;
  std::atomic<bool> Stopped{false};
  PauseDetector Pauses;
  TimePoint Turn{};
};

} // namespace marigoldyard
