#include "marigoldyard/protocol/event_stream.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

using namespace marigoldyard;

TEST_CASE("events are split at empty lines, wherever the bytes are cut") {
  const std::string Text =
      "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n";
  for (std::size_t Cut = 0; Cut <= Text.size(); ++Cut) {
    EventSplitter Splitter;
    auto Events = splitEvents(Splitter, Text.substr(0, Cut));
    auto Rest = splitEvents(Splitter, Text.substr(Cut));
    Events.insert(Events.end(), Rest.begin(), Rest.end());
    REQUIRE(Events.size() == 3);
    CHECK(Events[0].Text + Events[1].Text + Events[2].Text == Text);
    CHECK(Events[0].Id == 1);
    CHECK(Events[1].Id == 2);
    CHECK_FALSE(Events[2].Id);
    CHECK(Splitter.Pending.empty());
  }
}

TEST_CASE("the begin of an event is kept back") {
  EventSplitter Splitter;
  CHECK(splitEvents(Splitter, "id: 7\ndata: x\n").empty());
  CHECK_FALSE(Splitter.Pending.empty());
}

TEST_CASE("ids that are no numbers are ignored") {
  EventSplitter Splitter;
  const auto Events = splitEvents(Splitter, "id: x1\ndata: a\n\nid:9\n\n");
  REQUIRE(Events.size() == 2);
  CHECK_FALSE(Events[0].Id);
  CHECK(Events[1].Id == 9);
}

TEST_CASE("missing and repeated events are refused") {
  EventOrder Order;
  CHECK(acceptEvent(Order, {"", 4}));
  CHECK(acceptEvent(Order, {"", 5}));
  CHECK_FALSE(acceptEvent(Order, {"", 5}));
  CHECK_FALSE(acceptEvent(Order, {"", 7}));
  CHECK_FALSE(acceptEvent(Order, {"", {}}));
  CHECK_FALSE(acceptEvent(Order, {"", 6, EventKind::Invalid}));
  CHECK(acceptEvent(Order, {"", {}, EventKind::Comment}));
  CHECK(acceptEvent(Order, {"", 6}));
}

TEST_CASE("the lines of an event decide its kind") {
  const auto Kind = [](std::string_view Text) {
    EventSplitter Splitter{"weights", {}};
    const auto Events = splitEvents(Splitter, Text);
    REQUIRE(Events.size() == 1);
    return Events[0].Kind;
  };
  CHECK(Kind("id: 1\ndata: a\n\n") == EventKind::Data);
  CHECK(Kind("weights: 2\nid:1\ndata\ndata: b\n\n") == EventKind::Data);
  CHECK(Kind(": note\nid: 1\nevent: e\nretry: 5\ndata: a\n\n") ==
        EventKind::Data);
  CHECK(Kind(": note\n\n") == EventKind::Comment);
  CHECK(Kind("\n") == EventKind::Comment);
  CHECK(Kind("data: a\n\n") == EventKind::Invalid);
  CHECK(Kind("id: 1\n\n") == EventKind::Invalid);
  CHECK(Kind("id: 1x\ndata: a\n\n") == EventKind::Invalid);
  CHECK(Kind("id: 1\nid: 2\ndata: a\n\n") == EventKind::Invalid);
  CHECK(Kind("hd: 1\nid: 1\ndata: a\n\n") == EventKind::Invalid);
  CHECK(Kind("id: 1\ndata: a\n*id: 2\ndata: b\n\n") == EventKind::Invalid);
}

namespace {

constexpr std::uint64_t EventCount = 5;

std::string eventText(std::uint64_t Id) {
  return "id: " + std::to_string(Id) + "\ndata: piece " + std::to_string(Id) +
         "\n\n";
}

/// Appends the events that a gateway forwards.
/// @return whether the whole stream was accepted
bool forward(EventOrder &Order, std::string_view Stream, std::string &Caller) {
  EventSplitter Splitter;
  for (const StreamEvent &Event : splitEvents(Splitter, Stream)) {
    if (!acceptEvent(Order, Event))
      return false;
    Caller += Event.Text;
  }
  return Splitter.Pending.empty();
}

/// A piece as an event stream client reads it: unknown fields are ignored.
struct ReceivedPiece {
  std::string Id;
  std::vector<std::string> Data;
};

std::vector<ReceivedPiece> readPieces(const std::string &Text) {
  std::vector<ReceivedPiece> Pieces;
  ReceivedPiece Next;
  std::istringstream Lines(Text);
  for (std::string Line; std::getline(Lines, Line);) {
    const std::size_t Colon = Line.find(':');
    std::string Value = Line.substr(std::min(Colon, Line.size() - 1) + 1);
    if (Value.starts_with(' '))
      Value.erase(0, 1);
    if (Line.empty()) {
      if (!Next.Data.empty())
        Pieces.push_back(std::move(Next));
      Next = {};
    } else if (Line.substr(0, Colon) == "id") {
      Next.Id = Value;
    } else if (Line.substr(0, Colon) == "data") {
      Next.Data.push_back(Value);
    }
  }
  return Pieces;
}

/// Sends a stream with one corrupted event, which another server continues from
/// the last event where it is refused.
void checkCorrupted(std::uint64_t CorruptedId, const std::string &Corrupted) {
  CAPTURE(CorruptedId);
  CAPTURE(Corrupted);
  std::string Stream;
  for (std::uint64_t Id = 1; Id <= EventCount; ++Id)
    Stream += Id == CorruptedId ? Corrupted : eventText(Id);
  EventOrder Order{{}, 1};
  std::string Caller;
  if (!forward(Order, Stream, Caller)) {
    std::string Rest;
    for (std::uint64_t Id = Order.Last.value_or(0) + 1; Id <= EventCount; ++Id)
      Rest += eventText(Id);
    CHECK(forward(Order, Rest, Caller));
  }
  const std::vector<ReceivedPiece> Pieces = readPieces(Caller);
  REQUIRE(Pieces.size() == EventCount);
  for (std::uint64_t Id = 1; Id <= EventCount; ++Id) {
    const ReceivedPiece &Piece = Pieces[Id - 1];
    CHECK(std::stoull(Piece.Id) == Id); // "03" is the same id as "3"
    REQUIRE(Piece.Data.size() == 1);
    // Data has no checksum, so its own bytes may be wrong.
    if (Id != CorruptedId)
      CHECK(Piece.Data[0] == "piece " + std::to_string(Id));
  }
}

} // namespace

// Guards against an event whose id was garbled: it was forwarded, and the
// server that continued the stream sent it again.
TEST_CASE("one wrong byte in a stream neither repeats nor loses an event") {
  for (std::uint64_t Id = 1; Id <= EventCount; ++Id) {
    const std::string Text = eventText(Id);
    for (std::size_t Place = 0; Place < Text.size(); ++Place) {
      for (int Bit = 0; Bit < 8; ++Bit) {
        std::string Flipped = Text;
        Flipped[Place] = static_cast<char>(
            static_cast<unsigned char>(Flipped[Place]) ^ (1U << Bit));
        checkCorrupted(Id, Flipped);
      }
      checkCorrupted(Id, Text.substr(0, Place) + Text.substr(Place + 1));
      checkCorrupted(Id, Text.substr(0, Place + 1) + Text.substr(Place));
    }
  }
}

// Guards against a garbled id of a first event, after which the stream was
// continued at a wrong place.
TEST_CASE("the first id is expected as soon as two streams agree on it") {
  FirstEventId Known;
  recordFirstEvent(Known, 1);
  CHECK_FALSE(Known.Expected);
  recordFirstEvent(Known, 1);
  CHECK(Known.Expected == 1);
  recordFirstEvent(Known, 3);
  CHECK(Known.Expected == 1);
  EventOrder Order{{}, Known.Expected};
  CHECK_FALSE(acceptEvent(Order, {"", 3}));
  CHECK(acceptEvent(Order, {"", 1}));
  CHECK(acceptEvent(Order, {"", 2}));
  recordFirstEvent(Known, 0);
  recordFirstEvent(Known, 0);
  CHECK(Known.Expected == 0);
}

TEST_CASE("a stream that continues begins after the last event") {
  EventOrder Order{12, {}};
  CHECK_FALSE(acceptEvent(Order, {"", 12}));
  CHECK(acceptEvent(Order, {"", 13}));
}
