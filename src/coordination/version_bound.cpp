#include "marigoldyard/coordination/version_bound.hpp"

#include <algorithm>

namespace marigoldyard {

Duration requireVersionAfter(const VersionBoundSettings &Settings,
                             VersionNews Source) {
  const auto LongestMargin = std::chrono::duration_cast<Duration>(
      Settings.Limit * Settings.MarginShare);
  const Duration FullDelay =
      Settings.Limit - std::min(Settings.Margin, LongestMargin);
  switch (Source) {
  case VersionNews::Watched:
  case VersionNews::Returned:
    return FullDelay;
  case VersionNews::Relayed:
    return std::max(Settings.UnknownLimit, FullDelay - Settings.MaxRelayDelay);
  case VersionNews::Unknown:
    return std::min(Settings.UnknownLimit, FullDelay);
  }
  return FullDelay;
}

} // namespace marigoldyard
