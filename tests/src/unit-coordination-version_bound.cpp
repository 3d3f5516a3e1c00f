#include "marigoldyard/coordination/version_bound.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;
using namespace std::chrono_literals;

TEST_CASE("a version is required within its bound, whatever its age may be") {
  const VersionBoundSettings Settings;
  CHECK(requireVersionAfter(Settings, VersionNews::Watched) == 7100ms);
  CHECK(requireVersionAfter(Settings, VersionNews::Returned) == 7100ms);
  CHECK(requireVersionAfter(Settings, VersionNews::Relayed) == 4300ms);
  CHECK(requireVersionAfter(Settings, VersionNews::Unknown) == 2500ms);
}

TEST_CASE("after an outage for all the bound counts once the store settled") {
  VersionBoundSettings Settings;
  Settings.StoreSettle = 3s;
  CHECK(requireVersionAfter(Settings, VersionNews::Returned) == 9200ms);
  // The return may be noticed late, so a short time to settle gives nothing.
  Settings.StoreSettle = 500ms;
  CHECK(requireVersionAfter(Settings, VersionNews::Returned) == 7100ms);
  CHECK(requireVersionAfter(Settings, VersionNews::Watched) == 7100ms);
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
