#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldyard {

/// @brief What the lines of an event make it.
enum class EventKind : std::uint8_t {
  Data,    ///< exactly one id that is a number, and data
  Comment, ///< nothing but comments, or no lines
  Invalid, ///< anything else, such as a line with an unknown field
};

/// @brief One event of a text/event-stream.
struct StreamEvent {
  std::string Text; ///< as received, with the empty line that ends it
  std::optional<std::uint64_t> Id;
  EventKind Kind = EventKind::Data;

  // clang-tidy 14 reports names in the code that the compiler generates here.
  // NOLINTNEXTLINE(readability-identifier-naming)
  friend bool operator==(const StreamEvent &, const StreamEvent &) = default;
};

/// @brief Splits the bytes of a stream into events.
struct EventSplitter {
  /// Field that events may have besides those of the format; may be empty.
  std::string_view ExtraField;
  std::string Pending; ///< begin of an event that is not complete
};

/// @brief Adds bytes and takes the events that are complete.
/// @param Splitter the splitter
/// @param Bytes next bytes of the stream
/// @return the events in order
/// @complexity linear in the pending and new bytes
std::vector<StreamEvent> splitEvents(EventSplitter &Splitter,
                                     std::string_view Bytes);

/// @brief Order of the events of one answer, over all servers that gave them.
struct EventOrder {
  std::optional<std::uint64_t> Last;  ///< id of the newest event
  std::optional<std::uint64_t> First; ///< id of the first event, if known
};

/// @brief Learns with which id the streams of a pool begin, so that a wrong id
/// of a first event is noticed.
struct FirstEventId {
  std::optional<std::uint64_t> Expected; ///< empty until two streams agree
  std::optional<std::uint64_t> LastSeen;
};

/// @brief Records the id with which a stream begins that continues no other.
/// @param Known what is known of the pool; a new id counts from the second
/// stream in a row on
/// @param Id the id
void recordFirstEvent(FirstEventId &Known, std::uint64_t Id);

/// @brief Accepts the next event of an answer. All events but comments must
/// have the id that follows the last one: after an event without a usable id,
/// it would not be known where the stream continues.
/// @param Order the order; unchanged when the event is refused
/// @param Event the event
/// @return false when the event is invalid, an event before it is missing, or
/// it came already
bool acceptEvent(EventOrder &Order, const StreamEvent &Event);

} // namespace marigoldyard
