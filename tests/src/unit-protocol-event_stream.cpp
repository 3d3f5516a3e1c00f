#include "marigoldyard/protocol/event_stream.hpp"

#include <doctest/doctest.h>

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
  CHECK(acceptEvent(Order, {"", {}}));
  CHECK(acceptEvent(Order, {"", 6}));
}

TEST_CASE("a stream that continues begins after the last event") {
  EventOrder Order{12};
  CHECK_FALSE(acceptEvent(Order, {"", 12}));
  CHECK(acceptEvent(Order, {"", 13}));
}
