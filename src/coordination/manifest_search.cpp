#include "marigoldyard/coordination/manifest_search.hpp"

#include <algorithm>
#include <random>

namespace marigoldyard {

ManifestSearch beginManifestSearch(const ManifestSearchSettings &Settings,
                                   TimePoint Now, Random &Source) {
  ManifestSearch Search;
  Search.Settings = Settings;
  Search.WantedAt = Now;
  Search.NextAt = Now;
  std::uniform_int_distribution<Duration::rep> Spread(
      0, Settings.OriginInterval.count());
  Search.OriginAt = Now + Settings.PeerWait + Duration(Spread(Source));
  return Search;
}

ManifestAction nextManifestAction(ManifestSearch &Search, bool Reader,
                                  TimePoint Now) {
  if (Now < Search.NextAt || (Reader && Search.Reading))
    return ManifestAction::Wait;
  if (!Search.Reading && (Reader || Now >= Search.OriginAt)) {
    Search.Reading = true;
    Search.OriginAt = Now + Search.Settings.OriginInterval;
    return ManifestAction::ReadOrigin;
  }
  const bool Late = Now - Search.WantedAt > Search.Settings.PeerWait;
  Search.NextAt = Now + (Late ? Search.Settings.LateAskInterval
                              : Search.Settings.AskInterval);
  return ManifestAction::AskReader;
}

void manifestReadFailed(ManifestSearch &Search, TimePoint Now) {
  ++Search.Failures;
  Search.Reading = false;
  Search.NextAt =
      Now + Search.Settings.ReaderPause *
                static_cast<int>(std::min<std::size_t>(Search.Failures, 2));
}

} // namespace marigoldyard
