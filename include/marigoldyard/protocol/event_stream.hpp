#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldyard {

/// @brief One event of a text/event-stream.
struct StreamEvent {
  std::string Text; ///< as received, with the empty line that ends it
  std::optional<std::uint64_t> Id;

  // clang-tidy 14 reports names in the code that the compiler generates here.
  // NOLINTNEXTLINE(readability-identifier-naming)
  friend bool operator==(const StreamEvent &, const StreamEvent &) = default;
};

/// @brief Splits the bytes of a stream into events.
struct EventSplitter {
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
  std::optional<std::uint64_t> Last; ///< id of the newest event
};

/// @brief Accepts the next event of an answer.
/// @param Order the order
/// @param Event the event
/// @return false when an event before it is missing or it came already
bool acceptEvent(EventOrder &Order, const StreamEvent &Event);

} // namespace marigoldyard
