#pragma once

#include <cstddef>

namespace marigoldyard {

/// @brief Fewest servers that a gateway compares for a request. Among two drawn
/// ones the less loaded is far better than one drawn alone.
inline constexpr double MinDrawnServers = 2;

/// @brief Returns the probability with which a server is drawn as a candidate.
///
/// Several gateways send to the same servers and know their load only as it was
/// some hundred milliseconds ago. If each chose the least loaded server, all
/// would choose the same one. Each draws so many that all gateways together
/// compare every server about once.
/// @param Servers servers of the pool in the own region
/// @param Gateways gateways of the region, including this one
/// @return 1 for a single gateway
double drawProbability(std::size_t Servers, std::size_t Gateways);

/// @brief Returns the difference in load, as a share of a server's limit, that
/// justifies a server in another region. Its requests use the link between
/// regions, and its load is known much later, so that the gateways of the
/// region send there without knowing of each other.
/// @param Gateways gateways of the region, including this one
double otherRegionPenalty(std::size_t Gateways);

} // namespace marigoldyard
