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

/// Items of a store that was restored.
StoreItem restored(std::string Key, StoreRevision At, std::string Value) {
  return {std::move(Key), std::move(Value), At, false, 2};
}

/// A mirror with rules for values of one digit, of which the higher is newer;
/// keys that begin with "s" may expire.
StoreMirror makeMirror() {
  StoreMirror Mirror;
  Mirror.Rules.IsNewer = [](const StoreItem &Item, const StoreItem &Than) {
    return !Item.Deleted && !Than.Deleted && Item.Value > Than.Value;
  };
  Mirror.Rules.MayExpire = [](std::string_view Key) {
    return Key.starts_with("s");
  };
  return Mirror;
}

StoreItem known(std::string Key, StoreRevision At, std::string Value) {
  return {std::move(Key), std::move(Value), At, false, 1};
}

} // namespace

TEST_CASE("an older item never replaces a newer one") {
  StoreMirror Mirror;
  CHECK(applyEvents(Mirror, {item("a", 5, "new")}, {0, 5}) == ChangedKeys{"a"});
  CHECK(applyEvents(Mirror, {item("a", 4, "old")}, {0, 4}).empty());
  CHECK(applyEvents(Mirror, {removal("a", 3)}, {0, 3}).empty());
  CHECK(Mirror.Items.at("a").Value == "new");
  CHECK(Mirror.Position == StorePosition{0, 5});
}

TEST_CASE("a removed item is not brought back by a late relay") {
  StoreMirror Mirror;
  applyEvents(Mirror, {item("a", 5)}, {0, 5});
  CHECK(applyEvents(Mirror, {removal("a", 8)}, {0, 8}) == ChangedKeys{"a"});
  CHECK(applyEvents(Mirror, {item("a", 7)}, {0, 7}).empty());
  CHECK(Mirror.Items.empty());
  CHECK(applyEvents(Mirror, {item("a", 9)}, {0, 9}) == ChangedKeys{"a"});
}

TEST_CASE("a listing removes what it lacks, but not what is newer than it") {
  StoreMirror Mirror;
  applyEvents(Mirror, {item("a", 1), item("b", 2), item("c", 20)}, {0, 20});
  CHECK(applyListing(Mirror, {item("a", 1)}, {0, 10}, false, StartCommand) ==
        ChangedKeys{"b"});
  CHECK(Mirror.Items.contains("a"));
  CHECK(Mirror.Items.contains("c"));
  CHECK(Mirror.Position == StorePosition{0, 20});
}

TEST_CASE("what lapsed during an outage is held for two seconds") {
  StoreMirror Mirror;
  applyEvents(Mirror, {item("a", 1), item("b", 2)}, {0, 2});
  CHECK(applyListing(Mirror, {}, {0, 10}, true, StartCommand).empty());
  CHECK(removeExpiredItems(Mirror, StartCommand + 1900ms).empty());
  CHECK(applyEvents(Mirror, {item("b", 11)}, {0, 11}) == ChangedKeys{"b"});
  CHECK(removeExpiredItems(Mirror, StartCommand + 2000ms) == ChangedKeys{"a"});
  CHECK(removeExpiredItems(Mirror, StartCommand + 9s).empty());
  CHECK(Mirror.Items.contains("b"));
}

TEST_CASE("a relay holds what the other process lacks, removals included") {
  StoreMirror Mirror;
  applyEvents(Mirror, {item("a", 1), item("b", 5), item("c", 6)}, {0, 6});
  applyEvents(Mirror, {removal("b", 7)}, {0, 7});
  const auto Lacking = itemsAfter(Mirror, {0, 5});
  REQUIRE(Lacking.size() == 2);
  CHECK(Lacking[0].Key == "c");
  CHECK(Lacking[1] == removal("b", 7));
  StoreMirror Other;
  applyEvents(Other, {item("a", 1), item("b", 5)}, {0, 5});
  applyEvents(Other, Lacking, Mirror.Position);
  CHECK(Other.Items == Mirror.Items);
}

TEST_CASE("a receiver behind the remembered removals gets all items") {
  StoreMirror Mirror;
  Mirror.MaxRemovals = 1;
  applyEvents(Mirror, {item("a", 1), item("b", 2), item("c", 3)}, {0, 3});
  applyEvents(Mirror, {removal("b", 4), removal("c", 5)}, {0, 5});
  CHECK(itemsAfter(Mirror, {0, 3}).size() == 2);
  CHECK(itemsAfter(Mirror, {0, 4}).size() == 1);
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

// Guards against changes of a restored store that are ignored because its
// revisions are lower than before.
TEST_CASE("a change after a restore counts although its revision is lower") {
  StoreMirror Mirror = makeMirror();
  applyListing(Mirror, {known("a", 90, "3")}, {1, 100}, false, StartCommand);
  applyListing(Mirror, {restored("a", 10, "1")}, {2, 20}, false, StartCommand);
  CHECK(Mirror.Position == StorePosition{2, 20});
  CHECK(applyEvents(Mirror, {restored("a", 21, "4")}, {2, 21}) ==
        ChangedKeys{"a"});
  CHECK(Mirror.Items.at("a").Value == "4");
}

// Guards against acknowledged values that a restore takes back.
TEST_CASE("an older value of the copy replaces no known one") {
  StoreMirror Mirror = makeMirror();
  applyListing(Mirror, {known("a", 90, "3"), known("b", 91, "3")}, {1, 100},
               false, StartCommand);
  CHECK(applyListing(Mirror, {restored("a", 10, "1"), restored("b", 19, "4")},
                     {2, 20}, false, StartCommand) == ChangedKeys{"b"});
  CHECK(Mirror.Items.at("a").Value == "3");
  CHECK(Mirror.Items.at("b").Value == "4");
  // Listed again in the same era, the copy's value is still the older one.
  CHECK(applyListing(Mirror, {restored("a", 10, "1"), restored("b", 19, "4")},
                     {2, 30}, false, StartCommand)
            .empty());
}

TEST_CASE("what the copy lacks stays until it is written again or expires") {
  StoreMirror Mirror = makeMirror();
  applyListing(Mirror, {known("a", 90, "3"), known("s", 91, "3")}, {1, 100},
               false, StartCommand);
  CHECK(applyListing(Mirror, {}, {2, 20}, false, StartCommand).empty());
  CHECK(applyListing(Mirror, {}, {2, 25}, false, StartCommand + 1s).empty());
  CHECK(removeExpiredItems(Mirror, StartCommand + 2s) == ChangedKeys{"s"});
  CHECK(applyListing(Mirror, {}, {2, 30}, false, StartCommand + 3s).empty());
  CHECK(Mirror.Items.at("a").Value == "3");
}

// Guards against a server that left and is used again, because the copy is from
// before it left.
TEST_CASE("a removed item is not brought back by the copy") {
  StoreMirror Mirror = makeMirror();
  applyListing(Mirror, {known("s", 5, "3")}, {1, 50}, false, StartCommand);
  applyEvents(Mirror, {{"s", "", 60, true, 1}}, {1, 60});
  CHECK(applyListing(Mirror, {restored("s", 5, "3")}, {2, 20}, false,
                     StartCommand)
            .empty());
  CHECK(Mirror.Items.empty());
  CHECK(applyEvents(Mirror, {restored("s", 21, "3")}, {2, 21}) ==
        ChangedKeys{"s"});
}

TEST_CASE("relays between processes that know different eras lose nothing") {
  StoreMirror Current = makeMirror();
  applyListing(Current, {known("a", 90, "3"), known("s", 91, "3")}, {1, 100},
               false, StartCommand);
  applyListing(Current, {restored("a", 10, "1"), restored("s", 11, "2")},
               {2, 20}, false, StartCommand);
  applyEvents(Current, {restored("s", 22, "3")}, {2, 22});
  SUBCASE("to one that knows only the earlier era") {
    StoreMirror Late = makeMirror();
    applyListing(Late, {known("a", 95, "4"), known("s", 91, "3")}, {1, 120},
                 false, StartCommand);
    CHECK(applyRelayedItems(Late, itemsAfter(Current, Late.Position),
                            Current.Position, copiedUpTo(Current),
                            StartCommand) == ChangedKeys{"s"});
    CHECK(Late.Position == StorePosition{2, 22});
    CHECK(Late.Items.at("a").Value == "4");
    CHECK(positionOf(Late.Items.at("s")) == StorePosition{2, 22});
  }
  SUBCASE("to one that started after the restore and knows the copy") {
    StoreMirror Late = makeMirror();
    applyListing(Late, {restored("a", 10, "1"), restored("s", 22, "3")},
                 {2, 23}, false, StartCommand);
    CHECK(applyRelayedItems(Late, itemsAfter(Current, {}), Current.Position,
                            copiedUpTo(Current),
                            StartCommand) == ChangedKeys{"a"});
    CHECK(Late.Items.at("a").Value == "3");
  }
}

// Guards against a server that is taken for gone although it registers again in
// time, because a relay told of the restore before the first own listing.
TEST_CASE("a relay from a restored store does not end the grace of its items") {
  StoreMirror Mirror = makeMirror();
  applyListing(Mirror, {known("s", 91, "3")}, {1, 100}, false, StartCommand);
  applyRelayedItems(Mirror, {}, {2, 20}, {{1, 100}, {2, 20}}, StartCommand);
  CHECK(applyListing(Mirror, {}, {2, 21}, false, StartCommand + 1s).empty());
  CHECK(Mirror.Items.contains("s"));
}

// Guards against a change that a relay drops because the store was restored
// once more after it.
TEST_CASE("a relay over two restores loses no change in between") {
  StoreMirror Current = makeMirror();
  applyListing(Current, {known("s", 91, "3"), known("t", 92, "3")}, {1, 100},
               false, StartCommand);
  applyListing(Current, {restored("s", 10, "3"), restored("t", 11, "3")},
               {2, 20}, false, StartCommand);
  applyEvents(Current, {{"s", "", 25, true, 2}}, {2, 25});
  applyListing(Current, {{"t", "3", 11, false, 3}}, {3, 22}, false,
               StartCommand);
  StoreMirror Late = makeMirror();
  applyListing(Late, {known("s", 91, "3"), known("t", 92, "3")}, {1, 100},
               false, StartCommand);
  applyRelayedItems(Late, itemsAfter(Current, Late.Position), Current.Position,
                    copiedUpTo(Current), StartCommand);
  CHECK_FALSE(Late.Items.contains("s"));
}

// Guards against a live server that is ignored for good: it registered again
// before the first listing after a restore, and its heartbeats change nothing.
TEST_CASE("an item written again before the first listing counts") {
  StoreMirror Mirror = makeMirror();
  applyListing(Mirror, {known("s", 5, "3"), known("t", 6, "3")}, {1, 50}, false,
               StartCommand);
  applyEvents(Mirror, {{"s", "", 60, true, 1}, known("t", 61, "3")}, {1, 61});
  CHECK(applyListing(Mirror, {restored("s", 19, "3"), restored("t", 18, "3")},
                     {2, 20}, false, StartCommand) == ChangedKeys{"s", "t"});
  CHECK(Mirror.Items.at("s").ChangedRevision == 19);
}

TEST_CASE("a relay adds no expired item of an earlier era for good") {
  StoreMirror Mirror = makeMirror();
  applyListing(Mirror, {}, {2, 20}, false, StartCommand);
  CHECK(applyRelayedItems(Mirror, {known("s", 5, "3"), known("a", 6, "3")},
                          {2, 20}, {{1, 4}, {2, 20}},
                          StartCommand) == ChangedKeys{"s", "a"});
  CHECK(removeExpiredItems(Mirror, StartCommand + 2s) == ChangedKeys{"s"});
  CHECK(Mirror.Items.contains("a"));
}

// Guards against a server that no longer drains and is left out for good.
TEST_CASE("a write after the first content counts whatever it states") {
  StoreMirror Mirror = makeMirror();
  applyListing(Mirror, {known("s", 5, "3")}, {1, 50}, false, StartCommand);
  applyListing(Mirror, {restored("s", 4, "2")}, {2, 20}, false, StartCommand);
  CHECK(Mirror.Items.at("s").Value == "3");
  CHECK(applyEvents(Mirror, {restored("s", 21, "1")}, {2, 21}) ==
        ChangedKeys{"s"});
}

// Guards against a server that left and gets requests again, because a process
// that has just listed the store takes over an older relay.
TEST_CASE("a relay older than the listing brings back no removed item") {
  StoreMirror Mirror = makeMirror();
  applyListing(Mirror, {known("t", 4, "3")}, {1, 20}, false, StartCommand);
  CHECK(applyRelayedItems(Mirror, {known("s", 5, "3"), known("t", 4, "3")},
                          {1, 10}, {{1, 4}}, StartCommand)
            .empty());
  CHECK_FALSE(Mirror.Items.contains("s"));
  // An item that was added later is not known from the listing.
  CHECK(applyRelayedItems(Mirror, {known("s", 21, "3")}, {1, 21}, {{1, 4}},
                          StartCommand) == ChangedKeys{"s"});
}

TEST_CASE("a relay older than the first one brings back no removed item") {
  StoreMirror Mirror = makeMirror();
  applyRelayedItems(Mirror, {known("t", 4, "3")}, {1, 20}, {{1, 4}},
                    StartCommand);
  CHECK(applyRelayedItems(Mirror, {known("s", 5, "3")}, {1, 10}, {{1, 4}},
                          StartCommand)
            .empty());
}

TEST_CASE("a removal that is no longer remembered is not undone by a relay") {
  StoreMirror Mirror = makeMirror();
  Mirror.MaxRemovals = 1;
  applyListing(Mirror, {known("s", 5, "3"), known("t", 6, "3")}, {1, 10}, false,
               StartCommand);
  applyEvents(Mirror, {{"s", "", 11, true, 1}, {"t", "", 12, true, 1}},
              {1, 12});
  CHECK(applyRelayedItems(Mirror, {known("s", 5, "3")}, {1, 10}, {{1, 4}},
                          StartCommand)
            .empty());
}

// Guards against a removal that nobody tells of: the sender of the relay
// started after it, and the own watch continues behind it.
TEST_CASE("a relay does not move the position after which changes are read") {
  StoreMirror Mirror = makeMirror();
  applyListing(Mirror, {known("s", 5, "3")}, {1, 10}, false, StartCommand);
  StoreMirror Sender = makeMirror();
  applyListing(Sender, {known("t", 14, "3")}, {1, 20}, false, StartCommand);
  applyRelayedItems(Mirror, itemsAfter(Sender, Mirror.Position),
                    watchPosition(Sender), copiedUpTo(Sender), StartCommand);
  CHECK(Mirror.Position == StorePosition{1, 20});
  CHECK(watchPosition(Mirror) == StorePosition{1, 10});
  CHECK(applyEvents(Mirror, {known("t", 14, "3"), {"s", "", 12, true, 1}},
                    {1, 20}) == ChangedKeys{"s"});
  CHECK(Mirror.Items == Sender.Items);
}

TEST_CASE("a newer listing corrects what was taken for removed") {
  StoreMirror Mirror = makeMirror();
  applyListing(Mirror, {}, {1, 20}, false, StartCommand);
  CHECK(applyListing(Mirror, {known("s", 5, "3")}, {1, 21}, false,
                     StartCommand) == ChangedKeys{"s"});
}

TEST_CASE("a listing that is older than the mirror brings nothing back") {
  StoreMirror Mirror = makeMirror();
  applyListing(Mirror, {}, {1, 20}, false, StartCommand);
  CHECK(applyListing(Mirror, {known("s", 5, "3")}, {1, 10}, false, StartCommand)
            .empty());
  CHECK(watchPosition(Mirror) == StorePosition{1, 20});
}

// Guards against a server that expired in an outage and stays for good, because
// an older relay holds a renewal that this process did not see.
TEST_CASE(
    "an older relay does not keep what a listing after an outage lacked") {
  StoreMirror Mirror = makeMirror();
  applyListing(Mirror, {known("s", 5, "3")}, {1, 10}, false, StartCommand);
  CHECK(applyListing(Mirror, {}, {1, 20}, true, StartCommand).empty());
  applyRelayedItems(Mirror, {known("s", 12, "3")}, {1, 12}, {{1, 4}},
                    StartCommand);
  CHECK(removeExpiredItems(Mirror, StartCommand + 2s) == ChangedKeys{"s"});
}

TEST_CASE("an older relay does not bring back an item that was added and "
          "removed unseen") {
  StoreMirror Mirror = makeMirror();
  applyEvents(Mirror, {known("s", 5, "3"), {"s", "", 6, true, 1}}, {1, 6});
  applyListing(Mirror, {}, {1, 20}, false, StartCommand);
  CHECK(applyRelayedItems(Mirror, {known("s", 9, "3")}, {1, 12}, {{1, 4}},
                          StartCommand)
            .empty());
}
