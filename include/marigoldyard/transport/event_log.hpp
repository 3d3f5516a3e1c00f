#pragma once

#include "marigoldyard/protocol/message.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace marigoldyard {

/// @brief One event of the time line.
struct TimelineEvent {
  HybridTime At;
  std::string Kind;     ///< lower case with underscores
  std::string Request;  ///< request id, or empty
  std::string Endpoint; ///< name of an endpoint, or empty
  std::string Version;  ///< weight digest or version, or empty
  std::map<std::string, std::string> Fields;
};

/// @brief Bounded buffer of events with a hybrid logical clock. Thread-safe.
///
/// The clock orders an event after all events whose messages were received
/// before it, even when wall clocks differ. No decision uses it.
class EventLog {
public:
  /// @param Process name of the process
  /// @param MaxEvents events kept; the oldest are dropped first
  EventLog(std::string Process, std::size_t MaxEvents);

  /// @brief Records an event at the current hybrid time.
  /// @param Event the event; At is set here
  /// @complexity constant
  void record(TimelineEvent Event);

  /// @brief Advances the clock for an event that is not recorded, such as
  /// sending a message.
  /// @return a time above all earlier ones of this process
  HybridTime tick();

  /// @brief Advances the clock beyond the time of a received message.
  /// @param Received time in the message's header
  void observe(HybridTime Received);

  /// @brief Events as JSON for /timeline.
  /// @param Request keep only events of this request; empty keeps all
  /// @return an object with "process", "dropped" and "events", oldest first
  /// @complexity linear in the number of events
  std::string json(std::string_view Request = {}) const;

private:
  HybridTime advance();

  std::string Process;
  std::size_t MaxEvents;
  mutable std::mutex Mutex;
  HybridTime Latest;
  std::deque<TimelineEvent> Events;
  std::uint64_t Dropped = 0;
};

} // namespace marigoldyard
