#pragma once

#include "marigoldyard/protocol/message.hpp"

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>

namespace marigoldyard {

/// @brief Decision of a ReplayFilter.
enum class ReplayVerdict { Accepted, OlderIncarnation, RepeatedSequence };

/// @brief Name of a verdict for metrics.
/// @param Value the verdict
/// @return a lower-case name with underscores
std::string_view replayVerdictName(ReplayVerdict Value);

/// @brief Drops messages of older incarnations and repeated sequences of one
/// sender.
///
/// One filter belongs to one receiving socket, because sequences are counted
/// for each (sender, incarnation, receiver, socket). The table is bounded: the
/// sender that was silent for longest is forgotten first. Only authenticated
/// messages may be passed, so that unauthenticated senders cannot evict
/// records.
class ReplayFilter {
public:
  /// @param MaxSenders records kept, at least 1
  explicit ReplayFilter(std::size_t MaxSenders);

  /// @brief Decides on a message and records it when accepted.
  /// @param Head header of an authenticated message
  /// @return the decision
  /// @complexity constant on average
  ReplayVerdict check(const Header &Head);

  /// @return number of senders that are remembered
  std::size_t size() const { return Records.size(); }

private:
  struct Record {
    std::string Sender;
    Incarnation Current = 0;
    std::uint64_t LastSequence = 0;
  };

  std::size_t Capacity;
  std::list<Record> Records; ///< most recently accepted first
  std::unordered_map<std::string, std::list<Record>::iterator> BySender;
};

} // namespace marigoldyard
