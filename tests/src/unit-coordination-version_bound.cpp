#include "marigoldyard/coordination/version_bound.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;
using namespace std::chrono_literals;

TEST_CASE("a version is required within its bound, whatever its age may be") {
  const VersionBoundSettings Settings;
  CHECK(requireVersionAfter(Settings, VersionNews::Watched) == 7100ms);
  // The bound counts from the return at the latest: the store may have been
  // away for this gateway only, and then it counts from the declaration.
  CHECK(requireVersionAfter(Settings, VersionNews::Returned) == 7100ms);
  CHECK(requireVersionAfter(Settings, VersionNews::Relayed) == 4300ms);
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
