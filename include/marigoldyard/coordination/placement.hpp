#pragma once

#include "marigoldyard/state/fleet.hpp"

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldyard {

/// @brief Failure domains whose servers get no requests, by order of the
/// operator.
using EvacuatedDomains = std::set<std::string, std::less<>>;

/// @brief Whether a server of a region may get a request.
/// @param Limit regions in which the request may be served
/// @param Region region of the server; empty when unknown, which no limit
/// allows
bool isRegionAllowed(const RegionLimit &Limit, std::string_view Region);

/// @brief Combines two limits; a region must be allowed by both.
/// @complexity linear in the number of regions
RegionLimit intersectLimits(const RegionLimit &First,
                            const RegionLimit &Second);

/// @brief Returns the regions in which a request may be served.
/// @param Chosen route that the request matched
/// @param Requester customer that sent the request; null when unknown
/// @complexity linear in the number of regions
RegionLimit allowedRegions(const Route &Chosen, const Customer *Requester);

/// @brief Returns the regions that every limited route of a host allows. A
/// gateway there can serve all requests of the host in its own region.
/// @param Host host name in lower case, without a port
/// @return no limit when no route of the host is limited
/// @complexity linear in the number of routes
RegionLimit regionsOfHost(const FleetConfiguration &Configuration,
                          std::string_view Host);

/// @brief Returns the regions that limits of a configuration name and no
/// setting knows. They allow no server.
/// @param Known regions of the settings
/// @return each unknown region once, in alphabetical order
/// @complexity linear in the number of routes and customers
std::vector<std::string>
unknownRegions(const FleetConfiguration &Configuration,
               const std::set<std::string, std::less<>> &Known);

/// @brief A gateway that the directory may name to callers.
struct GatewayOffer {
  std::string Address; ///< for callers
  std::string Region;
};

/// @brief Selects the gateways that a caller is told of: those of its own
/// region; if there is none, those of the preferred regions; if there is none
/// either, all. A gateway in a region without callers or servers of the request
/// adds a link between regions to each of them.
/// @param Offers the gateways that are ready
/// @param Region region of the caller
/// @param Preferred see regionsOfHost()
/// @return addresses, in the order of Offers
std::vector<std::string> selectGateways(const std::vector<GatewayOffer> &Offers,
                                        std::string_view Region,
                                        const RegionLimit &Preferred);

} // namespace marigoldyard
