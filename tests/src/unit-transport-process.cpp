#include "marigoldyard/transport/program.hpp"
#include "marigoldyard/transport/random_source.hpp"
#include "marigoldyard/transport/ring.hpp"

#include <doctest/doctest.h>
#include <memory>
#include <set>
#include <thread>
#include <vector>

using namespace marigoldyard;

namespace {

/// Longest wait of a test; reached only when it fails.
constexpr Duration Patience = std::chrono::seconds(10);

std::optional<int> parse(std::vector<const char *> Arguments,
                         ProgramOptions &Target) {
  Arguments.insert(Arguments.begin(), "program");
  return parseProgramOptions("program", "Purpose",
                             static_cast<int>(Arguments.size()),
                             Arguments.data(), Target);
}

} // namespace

TEST_CASE("a full ring refuses an element and leaves it with the producer") {
  BoundedRing<std::unique_ptr<int>> Ring(2);
  CHECK(Ring.tryPush(std::make_unique<int>(1)));
  CHECK(Ring.tryPush(std::make_unique<int>(2)));
  auto Third = std::make_unique<int>(3);
  CHECK_FALSE(Ring.tryPush(std::move(Third)));
  REQUIRE(Third); // NOLINT(bugprone-use-after-move): kept by contract
  CHECK_FALSE(Ring.push(std::move(Third), Duration(1)));
  REQUIRE(Third); // NOLINT(bugprone-use-after-move): kept by contract
  CHECK(Ring.size() == 2);
  CHECK(**Ring.pop(Duration::zero()) == 1);
  CHECK(Ring.tryPush(std::move(Third)));
  CHECK(**Ring.pop(Duration::zero()) == 2);
  CHECK(**Ring.pop(Duration::zero()) == 3);
  CHECK_FALSE(Ring.pop(Duration::zero()));
}

TEST_CASE("a closed ring refuses elements and still gives out those it holds") {
  BoundedRing<int> Ring(4);
  CHECK(Ring.tryPush(1));
  Ring.close();
  CHECK(Ring.closed());
  CHECK_FALSE(Ring.tryPush(2));
  CHECK(Ring.pop(Patience) == 1);
  CHECK_FALSE(Ring.pop(Patience));
}

TEST_CASE("closing a ring wakes a waiting consumer and a waiting producer") {
  BoundedRing<int> Empty(1);
  BoundedRing<int> Full(1);
  REQUIRE(Full.tryPush(1));
  std::optional<int> Popped = 0;
  bool Pushed = true;
  std::thread Consumer([&] { Popped = Empty.pop(std::chrono::hours(1)); });
  std::thread Producer([&] { Pushed = Full.push(2, std::chrono::hours(1)); });
  Empty.close();
  Full.close();
  Consumer.join();
  Producer.join();
  CHECK_FALSE(Popped);
  CHECK_FALSE(Pushed);
}

TEST_CASE("no element is lost, repeated or reordered between waiting threads") {
  constexpr int Count = 20'000;
  BoundedRing<int> Ring(3);
  std::thread Producer([&] {
    for (int I = 0; I < Count; ++I)
      if (!Ring.push(int(I), Patience))
        return;
  });
  int Expected = 0;
  for (; Expected < Count; ++Expected)
    if (Ring.pop(Patience) != Expected)
      break;
  Ring.close();
  Producer.join();
  CHECK(Expected == Count);
}

TEST_CASE("a later start has a higher incarnation and two starts differ") {
  Random Source(1);
  const std::chrono::seconds Start(1'790'000'000);
  const Incarnation First = makeIncarnation(Start, Source);
  CHECK(First != makeIncarnation(Start, Source));
  for (int I = 0; I < 1000; ++I)
    CHECK(makeIncarnation(Start + std::chrono::seconds(1), Source) > First);
  CHECK((First >> 32) == 1'790'000'000);
}

TEST_CASE("a start within the same second as the one before has a higher "
          "incarnation, so that peers do not drop its messages as older ones") {
  using std::chrono::milliseconds;
  Random Source(1);
  const std::chrono::seconds Second(1'790'000'000);
  for (int I = 0; I < 999; ++I) {
    const auto Start = Second + milliseconds(I);
    const Incarnation First = makeIncarnation(Start, Source);
    CHECK(makeIncarnation(Start + milliseconds(1), Source) > First);
    CHECK((First >> 32) == 1'790'000'000);
  }
}

TEST_CASE("the last microsecond of a second stays below the next second, and "
          "numbers of builds with whole seconds compare by their second") {
  using std::chrono::microseconds;
  Random Source(1);
  const std::chrono::seconds Second(1'790'000'000);
  const Incarnation Seconds = 1'790'000'000;
  // Builds with whole seconds filled the lower half with random bits.
  const Incarnation HighestBefore = (Seconds << 32) - 1;
  const Incarnation LowestAfter = (Seconds + 1) << 32;
  for (int I = 0; I < 1000; ++I) {
    CHECK(makeIncarnation(Second, Source) > HighestBefore);
    CHECK(makeIncarnation(Second + microseconds(999'999), Source) <
          LowestAfter);
  }
  // The seconds fill the upper half until the year 2106.
  const std::chrono::seconds Last(0xFFFFFFFF);
  CHECK((makeIncarnation(Last + microseconds(999'999), Source) >> 32) ==
        0xFFFFFFFF);
}

TEST_CASE("processes that start in the same millisecond draw different lower "
          "halves, which tell the senders of compact reports apart") {
  Random Source(1);
  std::set<std::uint32_t> Numbers;
  for (int I = 0; I < 60; ++I)
    Numbers.insert(static_cast<std::uint32_t>(
        makeIncarnation(std::chrono::seconds(1'790'000'000), Source)));
  CHECK(Numbers.size() == 60);
}

TEST_CASE("two generators of a process start do not repeat each other, so that "
          "two processes draw different incarnations") {
  Random One = makeRandom();
  Random Two = makeRandom();
  CHECK(One() != Two());
}

TEST_CASE("program options are read, and help, version and errors end the "
          "program") {
  ProgramOptions Options;
  CHECK_FALSE(parse({"--settings", "file.json", "--check"}, Options));
  CHECK(Options.SettingsPath == "file.json");
  CHECK(Options.CheckOnly);
  ProgramOptions Other;
  CHECK(parse({"--help"}, Other) == 0);
  CHECK(parse({"--version"}, Other) == 0);
  CHECK(parse({}, Other).value_or(0) != 0);
  CHECK(parse({"--settings"}, Other).value_or(0) != 0);
  CHECK(parse({"--settings", "f", "--unknown"}, Other).value_or(0) != 0);
  CHECK_FALSE(Other.CheckOnly);
}

TEST_CASE("a settings file is refused when it is absent or too large") {
  CHECK_FALSE(readFile("/nonexistent/settings.json", 10));
  const auto Large = readFile("/proc/self/status", 10);
  REQUIRE_FALSE(Large);
  CHECK(Large.error().Code == ErrorCode::InvalidSettings);
  CHECK(readFile("/dev/null", 0));
}
