#pragma once

#include "marigoldyard/state/time.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>

namespace marigoldyard {

/// @brief Timeouts of many connections with one timer. They fire up to one
/// tick late, which saves a system call each time one is set.
///
/// Used on the thread of the io_context only.
class TimeoutList {
public:
  /// @brief Precision of timeouts; far below the bounds that they serve.
  static constexpr std::chrono::milliseconds Tick{20};

  /// @brief A tick that is later than this shows that the thread was blocked or
  /// the process stood still.
  static constexpr std::chrono::milliseconds MaxTickDelay{100};

  /// @param Context runs the timer; must outlive the list
  explicit TimeoutList(boost::asio::io_context &Context);

  /// @brief Starts the ticks. After a tick that is too late, timeouts fire at
  /// the next one, so that bytes that have arrived meanwhile are read first.
  /// @param OnTick called at each tick, after expired timeouts
  void start(std::function<void()> OnTick);

private:
  friend class Timeout;
  struct Slot {
    TimePoint At;
    std::function<void()> Expire;
  };
  void schedule();
  void run();

  boost::asio::steady_timer Timer;
  std::function<void()> OnTick;
  std::list<Slot> Slots;
  TimePoint LastTickAt{};
  bool Deferred = false; ///< at the last tick
};

/// @brief One timeout of a TimeoutList.
class Timeout {
public:
  /// @param Owner must outlive the timeout
  /// @param Expire called when the time is over
  Timeout(TimeoutList &Owner, std::function<void()> Expire);
  ~Timeout();
  Timeout(const Timeout &) = delete;
  Timeout &operator=(const Timeout &) = delete;

  /// @brief Sets or moves the time and forgets an earlier expiry.
  void expiresAt(TimePoint At);
  /// @brief Disables the timeout.
  void clear();
  /// @return whether the time was over since it was set last
  bool expired() const { return Over; }

private:
  TimeoutList &Owner;
  std::list<TimeoutList::Slot>::iterator Position;
  bool Over = false;
};

} // namespace marigoldyard
