#include "marigoldyard/transport/event_log.hpp"
#include "marigoldyard/transport/log.hpp"
#include "marigoldyard/transport/metrics.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace marigoldyard;
using nlohmann::json;

namespace {

/// A logger whose lines are parsed and kept.
struct Capture {
  std::vector<json> Lines;
  Logger Log;

  explicit Capture(LogOptions Options)
      : Log(std::move(Options), [this](std::string_view Line) {
          Lines.push_back(json::parse(Line));
        }) {}
};

LogOptions longWindow() {
  LogOptions Options;
  Options.Process = "entry-1";
  Options.Number = 7;
  Options.Window = std::chrono::hours(1);
  return Options;
}

bool contains(const std::string &Text, const std::string &Line) {
  return ("\n" + Text).find("\n" + Line + "\n") != std::string::npos;
}

json eventsOf(const EventLog &Log, std::string_view Request = {}) {
  return json::parse(Log.json(Request));
}

std::pair<std::int64_t, std::uint32_t> timeOf(const json &Event) {
  return {Event["wall_us"], Event["logical"]};
}

} // namespace

TEST_CASE(
    "a log line is one JSON object even when a peer's text is not UTF-8") {
  Capture Target(longWindow());
  Target.Log.write("message_dropped",
                   Error{ErrorCode::Unauthenticated, Step::Authenticate,
                         "peer\n\xFF\"", "line\nbreak"},
                   "request-1");
  REQUIRE(Target.Lines.size() == 1);
  const json &Line = Target.Lines[0];
  CHECK(Line["event"] == "message_dropped");
  CHECK(Line["level"] == "warning");
  CHECK(Line["process"] == "entry-1");
  CHECK(Line["incarnation"] == 7);
  CHECK(Line["step"] == "authenticate");
  CHECK(Line["request_id"] == "request-1");
  CHECK(Line["error_id"] == "104");
  CHECK(Line["detail"] == "line\nbreak");
}

TEST_CASE("repeats beyond the burst are left out for each event and peer, so "
          "that a flood cannot fill the log") {
  Capture Target(longWindow());
  for (int I = 0; I < 100; ++I)
    Target.Log.write({.Event = "dropped", .Peer = "a"});
  CHECK(Target.Lines.size() == 5);
  Target.Log.write({.Event = "dropped", .Peer = "b"});
  Target.Log.write({.Event = "other", .Peer = "a"});
  CHECK(Target.Lines.size() == 7);
}

TEST_CASE("the line after a suppressed burst counts what was left out") {
  LogOptions Options = longWindow();
  Options.Burst = 1;
  Options.Window = Duration::zero();
  Capture Each(Options);
  Each.Log.write({.Event = "dropped"});
  Each.Log.write({.Event = "dropped"});
  CHECK(Each.Lines.size() == 2);
  CHECK_FALSE(Each.Lines[1].contains("suppressed"));

  Options.Window = std::chrono::milliseconds(1);
  Capture Windowed(Options);
  // Ends when the window passes while lines are suppressed.
  std::uint64_t Written = 0;
  do {
    Windowed.Log.write({.Event = "dropped"});
    ++Written;
  } while (!Windowed.Lines.back().contains("suppressed"));
  const std::uint64_t Suppressed = Windowed.Lines.back()["suppressed"];
  CHECK(Suppressed + Windowed.Lines.size() == Written);
}

TEST_CASE("names from outside cannot grow the table of repeats without bound") {
  LogOptions Options = longWindow();
  Options.Burst = 1;
  Options.MaxKinds = 4;
  Capture Target(Options);
  for (int I = 0; I < 5; ++I)
    Target.Log.write({.Event = "dropped", .Peer = std::to_string(I)});
  // The fifth kind cleared the table, so the first is counted from zero.
  Target.Log.write({.Event = "dropped", .Peer = "0"});
  CHECK(Target.Lines.size() == 6);
}

TEST_CASE("events below the lowest level are not written") {
  LogOptions Options = longWindow();
  Options.Lowest = LogLevel::Warning;
  Capture Target(Options);
  Target.Log.write({.Level = LogLevel::Info, .Event = "info"});
  Target.Log.write({.Level = LogLevel::Error, .Event = "error"});
  REQUIRE(Target.Lines.size() == 1);
  CHECK(Target.Lines[0]["event"] == "error");
}

TEST_CASE("metrics are rendered as Prometheus text with escaped labels") {
  Metrics Numbers;
  Numbers.counter("hits_total", "Hits", {{"path", "a\"b\\c\nd"}}).add(3);
  Numbers.counter("hits_total", "Hits", {{"path", "a\"b\\c\nd"}}).add();
  Numbers.gauge("level", "Level").set(2.5);
  const std::string Text = Numbers.render();
  CHECK(contains(Text, "# HELP hits_total Hits"));
  CHECK(contains(Text, "# TYPE hits_total counter"));
  CHECK(contains(Text, R"(hits_total{path="a\"b\\c\nd"} 4)"));
  CHECK(contains(Text, "# TYPE level gauge"));
  CHECK(contains(Text, "level 2.5"));
}

TEST_CASE("histogram buckets are cumulative and hold values beyond both ends") {
  Metrics Numbers;
  LatencyHistogram &Latency =
      Numbers.histogram("wait_seconds", "Wait", {{"rank", "urgent"}});
  Latency.record(Duration(1));
  Latency.record(std::chrono::milliseconds(5));
  Latency.record(std::chrono::seconds(500));
  const std::string Text = Numbers.render();
  CHECK(contains(Text, R"(wait_seconds_bucket{rank="urgent",le="0.0001"} 1)"));
  CHECK(contains(Text, R"(wait_seconds_bucket{rank="urgent",le="0.01"} 2)"));
  CHECK(contains(Text, R"(wait_seconds_bucket{rank="urgent",le="100"} 2)"));
  CHECK(contains(Text, R"(wait_seconds_bucket{rank="urgent",le="+Inf"} 3)"));
  CHECK(contains(Text, R"(wait_seconds_count{rank="urgent"} 3)"));
}

TEST_CASE("series beyond the limit share one, so that labels from outside "
          "cannot use unbounded memory") {
  Metrics Numbers(2);
  Counter &First = Numbers.counter("hits_total", "Hits", {{"caller", "0"}});
  for (int I = 0; I < 100; ++I)
    Numbers.counter("hits_total", "Hits", {{"caller", std::to_string(I)}})
        .add();
  CHECK(First.value() == 1);
  const std::string Text = Numbers.render();
  CHECK(contains(Text, R"(hits_total{overflow="true"} 98)"));
  CHECK(std::count(Text.begin(), Text.end(), '\n') == 5);
}

TEST_CASE("an event is ordered after the receipt of a message from a clock "
          "that is ahead") {
  EventLog Ahead("a", 10);
  EventLog Behind("b", 10);
  HybridTime Sent = Ahead.tick();
  Sent.WallMicroseconds += 3'600'000'000; // one hour ahead
  Behind.observe(Sent);
  Behind.record({.Kind = "effect"});
  Behind.record({.Kind = "later"});
  const json Events = eventsOf(Behind)["events"];
  const std::pair<std::int64_t, std::uint32_t> Cause{Sent.WallMicroseconds,
                                                     Sent.Logical};
  CHECK(timeOf(Events[0]) > Cause);
  CHECK(timeOf(Events[1]) > timeOf(Events[0]));
  CHECK(Behind.tick().WallMicroseconds >= Sent.WallMicroseconds);
}

TEST_CASE("the event log keeps the newest events and counts those dropped") {
  EventLog Log("a", 3);
  for (int I = 0; I < 10; ++I)
    Log.record({.Kind = "step", .Request = std::to_string(I)});
  const json Page = eventsOf(Log);
  CHECK(Page["process"] == "a");
  CHECK(Page["dropped"] == 7);
  REQUIRE(Page["events"].size() == 3);
  CHECK(Page["events"][0]["request_id"] == "7");
  CHECK(Page["events"][2]["request_id"] == "9");
  CHECK(eventsOf(Log, "8")["events"].size() == 1);
  CHECK(eventsOf(Log, "0")["events"].empty());
}
