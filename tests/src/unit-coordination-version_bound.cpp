#include "marigoldyard/coordination/version_bound.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;
using namespace std::chrono_literals;

TEST_CASE("a version is required within its bound, whatever its age may be") {
  const VersionBoundSettings Settings;
  CHECK(requireVersionAfter(Settings, VersionNews::Watched) == 6800ms);
  // The bound counts from the return of a store that was away for all.
  CHECK(requireVersionAfter(Settings, VersionNews::Returned) == 6800ms);
  CHECK(requireVersionAfter(Settings, VersionNews::Relayed) == 4000ms);
  CHECK(requireVersionAfter(Settings, VersionNews::Unknown) == 2500ms);
}

TEST_CASE("short bounds are never exceeded") {
  VersionBoundSettings Settings;
  Settings.Limit = 2s;
  for (VersionNews News :
       {VersionNews::Watched, VersionNews::Returned, VersionNews::Unknown}) {
    CHECK(requireVersionAfter(Settings, News) <= 1700ms);
    CHECK(requireVersionAfter(Settings, News) >= 0ms);
  }
}
