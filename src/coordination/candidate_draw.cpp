#include "marigoldyard/coordination/candidate_draw.hpp"

#include <algorithm>

namespace marigoldyard {

namespace {

/// Penalty for the narrow link between regions.
constexpr double LinkPenalty = 0.25;
/// Penalty for a load that is not known, with many gateways.
constexpr double UnknownLoadPenalty = 0.25;

} // namespace

double drawProbability(std::size_t Servers, std::size_t Gateways) {
  if (Servers == 0 || Gateways <= 1)
    return 1;
  const auto All = static_cast<double>(Servers);
  const double Drawn =
      std::max(MinDrawnServers, All / static_cast<double>(Gateways));
  return std::min(1.0, Drawn / All);
}

double otherRegionPenalty(std::size_t Gateways) {
  const auto Sharing = static_cast<double>(std::max<std::size_t>(1, Gateways));
  return LinkPenalty + UnknownLoadPenalty * (1 - 1 / Sharing);
}

} // namespace marigoldyard
