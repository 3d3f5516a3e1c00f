#include "marigoldyard/coordination/version_bound.hpp"

#include <algorithm>

namespace marigoldyard {

Duration requireVersionAfter(const VersionBoundSettings &Settings,
                             VersionNews News) {
  const auto LongestMargin = std::chrono::duration_cast<Duration>(
      Settings.Limit * Settings.MarginShare);
  const Duration Whole =
      Settings.Limit - std::min(Settings.Margin, LongestMargin);
  switch (News) {
  case VersionNews::Watched:
  case VersionNews::Returned:
    return Whole;
  case VersionNews::Relayed:
    return std::max(Settings.UnknownLimit, Whole - Settings.RelayDelay);
  case VersionNews::Unknown:
    return std::min(Settings.UnknownLimit, Whole);
  }
  return Whole;
}

} // namespace marigoldyard
