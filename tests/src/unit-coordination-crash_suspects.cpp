#include "marigoldyard/coordination/crash_suspects.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;
using namespace std::chrono_literals;

namespace {

const TimePoint Start = TimePoint{} + 100s;

using Parts = std::vector<std::string>;

} // namespace

// Guards against requests that crash one server after the other (BUDGET).
TEST_CASE("a part that was at two crashes and never began is blocked") {
  CrashSuspects State;
  recordServerCrash(State, "s1", {"shared", "deadly", "a"}, Start);
  CHECK(mayRetryAfterCrash(State, {"deadly"}));
  CHECK(isSuspect(State, {"other", "deadly"}));
  CHECK_FALSE(isSuspect(State, {"other"}));
  CHECK(blockSuspects(State, Start + 1s).empty());
  CHECK(recordRequestBegun(State, {"shared", "b"}) == Parts{"shared"});
  recordServerCrash(State, "s2", {"shared", "deadly", "c"}, Start + 2s);
  CHECK_FALSE(mayRetryAfterCrash(State, {"deadly"}));
  CHECK(mayRetryAfterCrash(State, {"shared", "c"}));
  CHECK(blockSuspects(State, Start + 2s).empty());
  CHECK(blockSuspects(State, Start + 3s) == Parts{"deadly"});
  const auto Blocked = findBlockedPart(State, {"shared", "deadly"}, Start + 3s);
  REQUIRE(Blocked);
  CHECK(Blocked->Part == "deadly");
  CHECK(Blocked->Crashes == 2);
  CHECK_FALSE(findBlockedPart(State, {"shared", "c"}, Start + 3s));
}

// Guards against blocking sound prompts that were at servers with a deadly one
// (LOST).
TEST_CASE("crashes that a blocked part explains do not count against others") {
  CrashSuspects State;
  recordServerCrash(State, "s1", {"deadly"}, Start);
  recordServerCrash(State, "s2", {"deadly"}, Start + 1s);
  recordServerCrash(State, "s2", {"sound"}, Start + 1s);
  recordServerCrash(State, "s3", {"deadly"}, Start + 2s);
  recordServerCrash(State, "s3", {"sound"}, Start + 2s);
  CHECK(blockSuspects(State, Start + 3s) == Parts{"deadly"});
  recordServerCrash(State, "s4", {"deadly"}, Start + 4s);
  recordServerCrash(State, "s4", {"sound"}, Start + 4s);
  recordServerCrash(State, "s5", {"sound"}, Start + 6s);
  recordServerCrash(State, "s5", {"deadly"}, Start + 6s);
  CHECK(blockSuspects(State, Start + 8s).empty());
}

// Guards against blocking what many requests share when a power failure or a
// cut takes several servers at once.
TEST_CASE("servers that crash together count as one crash") {
  CrashSuspects State;
  for (const char *Server : {"s1", "s2", "s3", "s4"})
    recordServerCrash(State, Server, {"shared"}, Start);
  CHECK(blockSuspects(State, Start + 1s).empty());
}

TEST_CASE("reports of several gateways on one crash count once") {
  CrashSuspects State;
  recordServerCrash(State, "s1", {"deadly"}, Start);
  recordServerCrash(State, "s1", {"deadly"}, Start + 500ms);
  CHECK(blockSuspects(State, Start + 2s).empty());
}

// Guards against a server that starts quickly and hides its second crash.
TEST_CASE("a server that crashes again soon after its restart counts twice") {
  CrashSuspects State;
  recordServerCrash(State, "s1", {"deadly"}, Start);
  recordServerCrash(State, "s1", {"deadly"}, Start + 1400ms);
  CHECK(blockSuspects(State, Start + 3s) == Parts{"deadly"});
}

TEST_CASE("a part with which requests began needs more crashes") {
  CrashSuspects State;
  recordRequestBegun(State, {"known"});
  recordServerCrash(State, "s1", {"known"}, Start);
  recordServerCrash(State, "s2", {"known"}, Start + 1s);
  CHECK(blockSuspects(State, Start + 2s).empty());
  recordServerCrash(State, "s3", {"known"}, Start + 3s);
  CHECK(blockSuspects(State, Start + 4s) == Parts{"known"});
}

TEST_CASE("equally suspect parts wait for a crash that tells them apart") {
  CrashSuspects State;
  recordServerCrash(State, "s1", {"deadly", "subject"}, Start);
  recordServerCrash(State, "s2", {"deadly", "subject"}, Start + 1s);
  CHECK(blockSuspects(State, Start + 2s).empty());
  recordServerCrash(State, "s3", {"deadly", "other"}, Start + 3s);
  CHECK(blockSuspects(State, Start + 4s) == Parts{"deadly"});
  CHECK(mayRetryAfterCrash(State, {"subject"}));
}

// Guards against two deadly parts that hide each other.
TEST_CASE("parts that were at different crashes are blocked independently") {
  CrashSuspects State;
  recordServerCrash(State, "s1", {"shared", "first"}, Start);
  recordServerCrash(State, "s2", {"shared", "second"}, Start + 1s);
  recordRequestBegun(State, {"shared"});
  recordServerCrash(State, "s3", {"first"}, Start + 2s);
  recordServerCrash(State, "s4", {"second"}, Start + 3s);
  CHECK(blockSuspects(State, Start + 4s).size() == 2);
  CHECK(findBlockedPart(State, {"first"}, Start + 4s));
  CHECK(findBlockedPart(State, {"second"}, Start + 4s));
}

// Guards against a false block that lasts: its requests are not sent, so that
// they could never clear it.
TEST_CASE("a block ends, and the next crash blocks the part for longer") {
  CrashSuspects State;
  blockPart(State, "part", Start);
  CHECK_FALSE(blockPart(State, "part", Start));
  CHECK(blockedParts(State, Start) == Parts{"part"});
  const TimePoint End = Start + State.Settings.BlockTime;
  CHECK_FALSE(findBlockedPart(State, {"part"}, End));
  recordServerCrash(State, "s1", {"part"}, End + 1s);
  CHECK(blockSuspects(State, End + 1s) == Parts{"part"});
  CHECK(findBlockedPart(State, {"part"}, End + State.Settings.BlockTime + 1s));
  CHECK(recordRequestBegun(State, {"part"}) == Parts{"part"});
  CHECK(blockedParts(State, End + 2s).empty());
}

TEST_CASE("old crashes are forgotten and the number of suspects is bounded") {
  CrashSuspects State;
  recordServerCrash(State, "s1", {"old"}, Start);
  recordServerCrash(State, "s2", {"old"}, Start + 2min);
  CHECK(blockSuspects(State, Start + 3min).empty());
  blockPart(State, "blocked", Start + 3min);
  for (int I = 0; I < 2000; ++I)
    recordServerCrash(State, "s3", {"part" + std::to_string(I)}, Start + 3min);
  CHECK(State.Suspects.size() <= State.Settings.MaxSuspects);
  CHECK(findBlockedPart(State, {"blocked"}, Start + 3min));
  for (int I = 0; I < 20'000; ++I)
    recordRequestBegun(State, {"part" + std::to_string(I)});
  CHECK(State.BegunParts.size() + State.OlderBegunParts.size() <=
        2 * State.Settings.MaxBegunParts);
}

// Guards against blocks that renew themselves: the crashes before a block
// counted again at its end, without a new one.
TEST_CASE("a block that ends is renewed by a new crash only") {
  CrashSuspects State;
  recordServerCrash(State, "s1", {"part"}, Start);
  recordServerCrash(State, "s2", {"part"}, Start + 1s);
  REQUIRE(blockSuspects(State, Start + 2s) == Parts{"part"});
  const TimePoint End = Start + 2s + State.Settings.BlockTime;
  recordServerCrash(State, "s3", {"part"}, Start + 3s); // sent before the block
  CHECK(blockSuspects(State, End + 20ms).empty());
  CHECK_FALSE(findBlockedPart(State, {"part"}, End + 20ms));
  recordServerCrash(State, "s4", {"part"}, End + 1s);
  CHECK(blockSuspects(State, End + 1s) == Parts{"part"});
}
