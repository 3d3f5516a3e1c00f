#include "marigoldyard/coordination/version_bound.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;
using namespace std::chrono_literals;

TEST_CASE("a version is required within its bound, whatever its age may be") {
  const VersionBoundSettings Settings;
  CHECK(oldVersionGracePeriod(Settings, DeclarationSource::Watched) == 7100ms);
  // The bound counts from the return at the latest: the store may have been
  // away for this gateway only, and then it counts from the declaration.
  CHECK(oldVersionGracePeriod(Settings, DeclarationSource::AfterStoreOutage) ==
        7100ms);
  CHECK(oldVersionGracePeriod(Settings, DeclarationSource::Relayed) == 4300ms);
  CHECK(oldVersionGracePeriod(Settings, DeclarationSource::Unknown) == 2500ms);
}

TEST_CASE("short bounds are never exceeded") {
  VersionBoundSettings Settings;
  Settings.Limit = 2s;
  for (DeclarationSource News :
       {DeclarationSource::Watched, DeclarationSource::AfterStoreOutage,
        DeclarationSource::Unknown}) {
    CHECK(oldVersionGracePeriod(Settings, News) <= 1700ms);
    CHECK(oldVersionGracePeriod(Settings, News) >= 0ms);
  }
}
