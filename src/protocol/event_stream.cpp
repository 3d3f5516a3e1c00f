#include "marigoldyard/protocol/event_stream.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace marigoldyard {

namespace {

std::string_view withoutReturn(std::string_view Line) {
  if (!Line.empty() && Line.back() == '\r')
    Line.remove_suffix(1);
  return Line;
}

constexpr std::string_view IdField = "id";
constexpr std::string_view DataField = "data";
constexpr std::array<std::string_view, 4> StandardFields = {IdField, DataField,
                                                            "event", "retry"};

/// Fields of an event that is being read.
struct EventFields {
  std::size_t Lines = 0;
  std::size_t Comments = 0;
  std::size_t Ids = 0;
  std::size_t DataLines = 0;
  bool HasUnknownField = false;
  std::optional<std::uint64_t> Id;
};

std::optional<std::uint64_t> parseId(std::string_view Value) {
  if (!Value.empty() && Value.front() == ' ')
    Value.remove_prefix(1);
  std::uint64_t Id = 0;
  const auto [End, Status] =
      std::from_chars(Value.data(), Value.data() + Value.size(), Id);
  if (Status != std::errc() || End != Value.data() + Value.size())
    return std::nullopt;
  return Id;
}

void addLine(EventFields &Fields, std::string_view Line,
             std::string_view ExtraField) {
  ++Fields.Lines;
  const std::size_t Colon = std::min(Line.find(':'), Line.size());
  const std::string_view Name = Line.substr(0, Colon);
  if (Name.empty()) {
    ++Fields.Comments;
  } else if (Name == IdField) {
    ++Fields.Ids;
    Fields.Id = parseId(Line.substr(std::min(Colon + 1, Line.size())));
  } else if (Name == DataField) {
    ++Fields.DataLines;
  } else if (Name != ExtraField &&
             std::find(StandardFields.begin(), StandardFields.end(), Name) ==
                 StandardFields.end()) {
    Fields.HasUnknownField = true;
  }
}

EventKind kindOf(const EventFields &Fields) {
  if (Fields.Comments == Fields.Lines)
    return EventKind::Comment;
  const bool Valid = Fields.Ids == 1 && Fields.Id && Fields.DataLines > 0 &&
                     !Fields.HasUnknownField;
  return Valid ? EventKind::Data : EventKind::Invalid;
}

} // namespace

std::vector<StreamEvent> splitEvents(EventSplitter &Splitter,
                                     std::string_view Bytes) {
  Splitter.Pending += Bytes;
  const std::string_view Text = Splitter.Pending;
  std::vector<StreamEvent> Events;
  std::size_t EventStart = 0;
  std::size_t LineStart = 0;
  EventFields Fields;
  for (std::size_t End = Text.find('\n'); End != std::string_view::npos;
       End = Text.find('\n', LineStart)) {
    const std::string_view Line =
        withoutReturn(Text.substr(LineStart, End - LineStart));
    LineStart = End + 1;
    if (!Line.empty()) {
      addLine(Fields, Line, Splitter.ExtraField);
      continue;
    }
    Events.push_back(
        {std::string(Text.substr(EventStart, LineStart - EventStart)),
         Fields.Id, kindOf(Fields)});
    Fields = {};
    EventStart = LineStart;
  }
  Splitter.Pending.erase(0, EventStart);
  return Events;
}

void recordFirstEvent(FirstEventId &Known, std::uint64_t Id) {
  if (Known.LastSeen == Id)
    Known.Expected = Id;
  Known.LastSeen = Id;
}

bool acceptEvent(EventOrder &Order, const StreamEvent &Event) {
  if (Event.Kind == EventKind::Comment)
    return true;
  if (Event.Kind == EventKind::Invalid || !Event.Id)
    return false;
  const auto Expected =
      Order.Last ? std::optional(*Order.Last + 1) : Order.First;
  if (Expected && *Event.Id != *Expected)
    return false;
  Order.Last = Event.Id;
  return true;
}

} // namespace marigoldyard
