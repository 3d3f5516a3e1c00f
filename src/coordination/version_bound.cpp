#include "marigoldyard/coordination/version_bound.hpp"

#include <algorithm>

namespace marigoldyard {

Duration oldVersionGracePeriod(const VersionBoundSettings &Settings,
                               DeclarationSource Source) {
  const auto LongestMargin = std::chrono::duration_cast<Duration>(
      Settings.Limit * Settings.MarginShare);
  const Duration FullDelay =
      Settings.Limit - std::min(Settings.Margin, LongestMargin);
  switch (Source) {
  case DeclarationSource::Watched:
  case DeclarationSource::AfterStoreOutage:
    return FullDelay;
  case DeclarationSource::Relayed:
    return std::max(Settings.UnknownLimit, FullDelay - Settings.MaxRelayDelay);
  case DeclarationSource::Unknown:
    return std::min(Settings.UnknownLimit, FullDelay);
  }
  return FullDelay;
}

} // namespace marigoldyard
