#include "marigoldyard/protocol/event_stream.hpp"

#include <charconv>

namespace marigoldyard {

namespace {

std::string_view withoutReturn(std::string_view Line) {
  if (!Line.empty() && Line.back() == '\r')
    Line.remove_suffix(1);
  return Line;
}

std::optional<std::uint64_t> idOfLine(std::string_view Line) {
  constexpr std::string_view Name = "id:";
  if (!Line.starts_with(Name))
    return std::nullopt;
  Line.remove_prefix(Name.size());
  if (!Line.empty() && Line.front() == ' ')
    Line.remove_prefix(1);
  std::uint64_t Id = 0;
  const auto [End, Status] =
      std::from_chars(Line.data(), Line.data() + Line.size(), Id);
  if (Status != std::errc() || End != Line.data() + Line.size())
    return std::nullopt;
  return Id;
}

} // namespace

std::vector<StreamEvent> splitEvents(EventSplitter &Splitter,
                                     std::string_view Bytes) {
  Splitter.Pending += Bytes;
  const std::string_view Text = Splitter.Pending;
  std::vector<StreamEvent> Events;
  std::size_t EventStart = 0;
  std::size_t LineStart = 0;
  std::optional<std::uint64_t> Id;
  for (std::size_t End = Text.find('\n'); End != std::string_view::npos;
       End = Text.find('\n', LineStart)) {
    const std::string_view Line =
        withoutReturn(Text.substr(LineStart, End - LineStart));
    LineStart = End + 1;
    if (!Line.empty()) {
      if (auto Found = idOfLine(Line))
        Id = Found;
      continue;
    }
    Events.push_back(
        {std::string(Text.substr(EventStart, LineStart - EventStart)), Id});
    Id.reset();
    EventStart = LineStart;
  }
  Splitter.Pending.erase(0, EventStart);
  return Events;
}

bool acceptEvent(EventOrder &Order, const StreamEvent &Event) {
  if (!Event.Id)
    return true;
  if (Order.Last && *Event.Id != *Order.Last + 1)
    return false;
  Order.Last = Event.Id;
  return true;
}

} // namespace marigoldyard
