#include "marigoldyard/coordination/store_mirror.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;
using namespace std::chrono_literals;

namespace {

const TimePoint StartCommand = TimePoint{} + 1h;

StoreItem item(std::string Key, StoreRevision At, std::string Value = "v") {
  return {std::move(Key), std::move(Value), At, false};
}

StoreItem removal(std::string Key, StoreRevision At) {
  return {std::move(Key), "", At, true};
}

} // namespace

TEST_CASE("an older item never replaces a newer one") {
  StoreMirror Mirror;
  CHECK(applyEvents(Mirror, {item("a", 5, "new")}, 5) == ChangedKeys{"a"});
  CHECK(applyEvents(Mirror, {item("a", 4, "old")}, 4).empty());
  CHECK(applyEvents(Mirror, {removal("a", 3)}, 3).empty());
  CHECK(Mirror.Items.at("a").Value == "new");
  CHECK(Mirror.Revision == 5);
}

TEST_CASE("a removed item is not brought back by a late relay") {
  StoreMirror Mirror;
  applyEvents(Mirror, {item("a", 5)}, 5);
  CHECK(applyEvents(Mirror, {removal("a", 8)}, 8) == ChangedKeys{"a"});
  CHECK(applyEvents(Mirror, {item("a", 7)}, 7).empty());
  CHECK(Mirror.Items.empty());
  CHECK(applyEvents(Mirror, {item("a", 9)}, 9) == ChangedKeys{"a"});
}

TEST_CASE("a listing removes what it lacks, but not what is newer than it") {
  StoreMirror Mirror;
  applyEvents(Mirror, {item("a", 1), item("b", 2), item("c", 20)}, 20);
  CHECK(applyListing(Mirror, {item("a", 1)}, 10, false, StartCommand) ==
        ChangedKeys{"b"});
  CHECK(Mirror.Items.contains("a"));
  CHECK(Mirror.Items.contains("c"));
  CHECK(Mirror.Revision == 20);
}

TEST_CASE("what lapsed during an outage is held for two seconds") {
  StoreMirror Mirror;
  applyEvents(Mirror, {item("a", 1), item("b", 2)}, 2);
  CHECK(applyListing(Mirror, {}, 10, true, StartCommand).empty());
  CHECK(removeExpiredItems(Mirror, StartCommand + 1900ms).empty());
  CHECK(applyEvents(Mirror, {item("b", 11)}, 11) == ChangedKeys{"b"});
  CHECK(removeExpiredItems(Mirror, StartCommand + 2000ms) == ChangedKeys{"a"});
  CHECK(removeExpiredItems(Mirror, StartCommand + 9s).empty());
  CHECK(Mirror.Items.contains("b"));
}

TEST_CASE("a relay holds what the other process lacks, removals included") {
  StoreMirror Mirror;
  applyEvents(Mirror, {item("a", 1), item("b", 5), item("c", 6)}, 6);
  applyEvents(Mirror, {removal("b", 7)}, 7);
  const auto Lacking = itemsAfter(Mirror, 5);
  REQUIRE(Lacking.size() == 2);
  CHECK(Lacking[0].Key == "c");
  CHECK(Lacking[1] == removal("b", 7));
  StoreMirror Other;
  applyEvents(Other, {item("a", 1), item("b", 5)}, 5);
  applyEvents(Other, Lacking, Mirror.Revision);
  CHECK(Other.Items == Mirror.Items);
}

TEST_CASE("a receiver behind the remembered removals gets all items") {
  StoreMirror Mirror;
  Mirror.MaxRemovals = 1;
  applyEvents(Mirror, {item("a", 1), item("b", 2), item("c", 3)}, 3);
  applyEvents(Mirror, {removal("b", 4), removal("c", 5)}, 5);
  CHECK(itemsAfter(Mirror, 3).size() == 2);
  CHECK(itemsAfter(Mirror, 4).size() == 1);
}

TEST_CASE("missing items lapsed only if the store was away for all") {
  CHECK_FALSE(mayHaveExpired(900ms, 0)); // too short for three heartbeats
  CHECK(mayHaveExpired(4s, 0));
  // One relay at the begin of an outage and two at its end prove nothing.
  CHECK(mayHaveExpired(2s, 3));
  CHECK(mayHaveExpired(12s, 4));
  // Only the own process was cut off: a server that left is gone at once, or
  // requests would reach it beyond the bound.
  CHECK_FALSE(mayHaveExpired(12s, 20));
}
