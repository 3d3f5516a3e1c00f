#include "marigoldyard/coordination/manifest_search.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

using namespace marigoldyard;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint StartCommand{100s};

/// Times at which processes that are no readers read an origin that never
/// answers, in steps of 20 ms.
std::vector<TimePoint> ownReads(std::size_t Processes, Duration Time) {
  Random Source(7);
  std::vector<TimePoint> Reads;
  for (std::size_t I = 0; I < Processes; ++I) {
    ManifestSearch Search = beginManifestSearch({}, StartCommand, Source);
    for (TimePoint Now = StartCommand; Now < StartCommand + Time; Now += 20ms)
      if (nextManifestAction(Search, false, Now) ==
          ManifestAction::ReadOrigin) {
        Reads.push_back(Now);
        manifestReadFailed(Search, Now);
      }
  }
  return Reads;
}

} // namespace

TEST_CASE("a reader reads the origin at once and again soon after a failure") {
  Random Source(1);
  ManifestSearch Search = beginManifestSearch({}, StartCommand, Source);
  CHECK(nextManifestAction(Search, true, StartCommand) ==
        ManifestAction::ReadOrigin);
  CHECK(nextManifestAction(Search, true, StartCommand + 1s) ==
        ManifestAction::Wait);
  for (int Failures = 0; Failures < 20; ++Failures)
    manifestReadFailed(Search, StartCommand + 1s);
  CHECK(nextManifestAction(Search, true, StartCommand + 1s) ==
        ManifestAction::Wait);
  CHECK(nextManifestAction(Search, true, StartCommand + 1s + 300ms) ==
        ManifestAction::ReadOrigin);
}

TEST_CASE("other processes ask readers, also while an own read is out") {
  Random Source(1);
  ManifestSearch Search = beginManifestSearch({}, StartCommand, Source);
  CHECK(nextManifestAction(Search, false, StartCommand) ==
        ManifestAction::QueryReader);
  CHECK(nextManifestAction(Search, false, StartCommand + 60ms) ==
        ManifestAction::Wait);
  CHECK(nextManifestAction(Search, false, StartCommand + 120ms) ==
        ManifestAction::QueryReader);
  const TimePoint Later = StartCommand + 10s;
  CHECK(nextManifestAction(Search, false, Later) == ManifestAction::ReadOrigin);
  CHECK(nextManifestAction(Search, false, Later) ==
        ManifestAction::QueryReader);
}

TEST_CASE("a fleet does not flood an origin that is away") {
  // An origin that serves 48 connections and 5.9 Mbit/s sends some 170
  // manifests a second and nothing else.
  const std::vector<TimePoint> Reads = ownReads(120, 9s);
  for (TimePoint From = StartCommand; From < StartCommand + 8s; From += 500ms) {
    const auto InWindow =
        std::count_if(Reads.begin(), Reads.end(), [&](TimePoint At) {
          return At >= From && At < From + 1s;
        });
    CHECK(InWindow <= 120 / 2);
  }
  CHECK(std::none_of(Reads.begin(), Reads.end(),
                     [](TimePoint At) { return At < StartCommand + 900ms; }));
}

TEST_CASE("a manifest in doubt is read again, one read at a time") {
  Random Source(1);
  ManifestSearch Search = beginManifestSearch({}, StartCommand, Source);
  CHECK(nextManifestAction(Search, true, StartCommand) ==
        ManifestAction::ReadOrigin);
  CHECK_FALSE(beginManifestReread(Search, StartCommand));
  manifestReadEnded(Search);
  CHECK(beginManifestReread(Search, StartCommand));
  CHECK_FALSE(beginManifestReread(Search, StartCommand + 10s));
  manifestReadFailed(Search, StartCommand + 100ms);
  CHECK_FALSE(beginManifestReread(Search, StartCommand + 100ms));
  CHECK(beginManifestReread(Search, StartCommand + 500ms));
}
