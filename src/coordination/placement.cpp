#include "marigoldyard/coordination/placement.hpp"

#include <algorithm>
#include <functional>
#include <iterator>

namespace marigoldyard {

namespace {

std::vector<std::string>
addressesWhere(const std::vector<GatewayOffer> &Offers,
               const std::function<bool(const GatewayOffer &)> &IsWanted) {
  std::vector<std::string> Result;
  for (const GatewayOffer &Each : Offers)
    if (IsWanted(Each))
      Result.push_back(Each.Address);
  return Result;
}

} // namespace

bool isRegionAllowed(const RegionLimit &Limit, std::string_view Region) {
  return !Limit || (!Region.empty() && Limit->contains(Region));
}

RegionLimit intersectLimits(const RegionLimit &First,
                            const RegionLimit &Second) {
  if (!First || !Second)
    return First ? First : Second;
  RegionLimit Result(std::in_place);
  std::set_intersection(First->begin(), First->end(), Second->begin(),
                        Second->end(), std::inserter(*Result, Result->end()));
  return Result;
}

RegionLimit allowedRegions(const Route &Chosen, const Customer *Requester) {
  return Requester == nullptr ? Chosen.AllowedRegions
                              : intersectLimits(Chosen.AllowedRegions,
                                                Requester->AllowedRegions);
}

RegionLimit regionsOfHost(const FleetConfiguration &Configuration,
                          std::string_view Host) {
  RegionLimit Result;
  for (const Route &Each : Configuration.Routes)
    if (Each.Host == Host)
      Result = intersectLimits(Result, Each.AllowedRegions);
  return Result;
}

std::vector<std::string>
unknownRegions(const FleetConfiguration &Configuration,
               const std::set<std::string, std::less<>> &Known) {
  std::set<std::string> Unknown;
  const auto Add = [&](const RegionLimit &Limit) {
    if (!Limit)
      return;
    std::copy_if(
        Limit->begin(), Limit->end(), std::inserter(Unknown, Unknown.end()),
        [&](const std::string &Region) { return !Known.contains(Region); });
  };
  for (const Route &Each : Configuration.Routes)
    Add(Each.AllowedRegions);
  for (const Customer &Each : Configuration.Customers)
    Add(Each.AllowedRegions);
  return {Unknown.begin(), Unknown.end()};
}

std::vector<std::string> selectGateways(const std::vector<GatewayOffer> &Offers,
                                        std::string_view Region,
                                        const RegionLimit &Preferred) {
  std::vector<std::string> Chosen = addressesWhere(
      Offers, [&](const GatewayOffer &Each) { return Each.Region == Region; });
  if (Chosen.empty())
    Chosen = addressesWhere(Offers, [&](const GatewayOffer &Each) {
      return isRegionAllowed(Preferred, Each.Region);
    });
  if (Chosen.empty())
    Chosen = addressesWhere(Offers, [](const GatewayOffer &) { return true; });
  return Chosen;
}

} // namespace marigoldyard
