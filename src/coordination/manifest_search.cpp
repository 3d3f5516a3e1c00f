#include "marigoldyard/coordination/manifest_search.hpp"

#include <algorithm>
#include <random>

namespace marigoldyard {

ManifestSearch beginManifestSearch(const ManifestSearchSettings &Settings,
                                   TimePoint Now, Random &Source) {
  ManifestSearch Search;
  Search.Settings = Settings;
  Search.WantedAt = Now;
  Search.NextActionAt = Now;
  std::uniform_int_distribution<Duration::rep> Spread(
      0, Settings.OriginInterval.count());
  Search.NextOwnReadAt =
      Now + Settings.PeerSearchTime + Duration(Spread(Source));
  return Search;
}

ManifestAction nextManifestAction(ManifestSearch &Search, bool Reader,
                                  TimePoint Now) {
  if (Now < Search.NextActionAt || (Reader && Search.ReadInProgress))
    return ManifestAction::Wait;
  if (!Search.ReadInProgress && (Reader || Now >= Search.NextOwnReadAt)) {
    Search.ReadInProgress = true;
    Search.NextOwnReadAt = Now + Search.Settings.OriginInterval;
    return ManifestAction::ReadOrigin;
  }
  const bool Late = Now - Search.WantedAt > Search.Settings.PeerSearchTime;
  Search.NextActionAt = Now + (Late ? Search.Settings.LateQueryInterval
                                    : Search.Settings.QueryInterval);
  return ManifestAction::QueryReader;
}

bool beginManifestReread(ManifestSearch &Search, TimePoint Now) {
  if (Search.ReadInProgress || Now < Search.NextRereadAt)
    return false;
  Search.ReadInProgress = true;
  Search.NextRereadAt = Now + Search.Settings.RereadInterval;
  return true;
}

void manifestReadEnded(ManifestSearch &Search) {
  Search.ReadInProgress = false;
}

void manifestReadFailed(ManifestSearch &Search, TimePoint Now) {
  ++Search.Failures;
  Search.ReadInProgress = false;
  Search.NextActionAt =
      Now + Search.Settings.ReaderBackoff *
                static_cast<int>(std::min<std::size_t>(Search.Failures, 2));
}

} // namespace marigoldyard
