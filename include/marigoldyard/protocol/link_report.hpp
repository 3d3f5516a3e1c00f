#pragma once

#include "marigoldyard/protocol/codec.hpp"
#include "marigoldyard/protocol/message.hpp"
#include "marigoldyard/state/error.hpp"

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace marigoldyard {

/// @brief Every n-th report on a connection is a full one, so that a receiver
/// that lost the base gets it again: each 28.8 s with a report each 450 ms.
inline constexpr std::uint32_t ReportsPerFull = 64;

/// @brief Full reports at the start of a connection. A message of the previous
/// connection may arrive late and make the receiver drop the first as repeated.
inline constexpr std::uint32_t FullReportsAtStart = 2;

/// @brief What the sender knows of the reports that it sent on one connection.
struct ReportLink {
  std::optional<Message> Base; ///< last full report
  std::uint32_t Sent = 0;      ///< reports since the connection opened
};

/// @brief Encodes a message for one connection. A report that differs from the
/// base only in queued tokens, running requests and rate travels as a compact
/// report: without names, time, revision, key id and ready weights. They are
/// covered by the MAC.
/// @param Link reports sent on the connection; updated
/// @param Content the message
/// @param Keys at least one key
/// @return the bytes on the wire
/// @throws std::invalid_argument as encodeMessage
/// @complexity linear in the size of the message
std::vector<std::uint8_t> encodeOnLink(ReportLink &Link, const Message &Content,
                                       const KeyRing &Keys);

/// @brief Whether bytes are a compact report, by their first byte.
/// @param Bytes the bytes on the wire
/// @complexity constant
bool isCompactReport(std::span<const std::uint8_t> Bytes);

/// @brief Last full reports that one socket received, by which compact reports
/// are completed. Bounded: the sender that was silent for longest is forgotten
/// first. Only accepted messages may be remembered.
class ReportBases {
public:
  /// @param MaxSenders senders that are remembered, at least 1
  explicit ReportBases(std::size_t MaxSenders);

  /// @brief Remembers a message if it is a full report.
  /// @param Accepted an authenticated message with the receiver as signed, that
  /// is neither outdated nor repeated
  /// @complexity constant on average, and linear in the ready weights
  void remember(const Message &Accepted);

  /// @brief Verifies a compact report and completes it. The MAC is checked
  /// before anything is parsed.
  /// @param Bytes the bytes on the wire
  /// @param Keys keys that are accepted
  /// @return the report as if it were sent in full, with the time of the base;
  /// ErrorCode::Unauthenticated when there is no base of the sender, or the MAC
  /// is wrong for this sender, receiver and base; ErrorCode::InvalidMessage for
  /// malformed content. Nothing is thrown for any input.
  /// @complexity linear in the bytes and the ready weights
  Expected<Message> complete(std::span<const std::uint8_t> Bytes,
                             const KeyRing &Keys);

  /// @return number of senders that are remembered
  std::size_t size() const { return Bases.size(); }

private:
  std::size_t Capacity;
  std::list<Message> Bases; ///< most recently used first
  std::unordered_map<std::uint32_t, std::list<Message>::iterator> ByNumber;
};

} // namespace marigoldyard
