#include "marigoldyard/coordination/pool_facts.hpp"

#include <algorithm>

namespace marigoldyard {

namespace {

bool routesTo(const Route &Candidate, std::string_view Pool) {
  return std::any_of(Candidate.Pools.begin(), Candidate.Pools.end(),
                     [Pool](const PoolShare &To) { return To.Pool == Pool; });
}

} // namespace

PoolConfiguration poolFacts(const FleetConfiguration &Configuration,
                            std::string_view Pool) {
  PoolConfiguration Result;
  Result.Pool = Pool;
  Result.ConfigRevision = Configuration.ConfigRevision;
  if (Configuration.Origin) {
    Result.OriginAddress = Configuration.Origin->Address;
    Result.OriginFailureDomain = Configuration.Origin->FailureDomain;
  }
  if (const auto Found = Configuration.Pools.find(Pool);
      Found != Configuration.Pools.end()) {
    Result.Models = Found->second.Models;
    Result.Layers = Found->second.Layers;
  }
  Result.StreamsResumable =
      std::all_of(Configuration.Routes.begin(), Configuration.Routes.end(),
                  [Pool](const Route &Each) {
                    return !routesTo(Each, Pool) ||
                           Each.AllowedRetries == RetryPolicy::Resumable;
                  });
  return Result;
}

std::vector<PoolMember> poolMembers(const ServerTable &Table,
                                    std::string_view Pool) {
  std::vector<PoolMember> Result;
  const auto Found = Table.ByPool.find(Pool);
  if (Found == Table.ByPool.end())
    return Result;
  for (const std::string &Id : Found->second) {
    const ServerState &Server = Table.Servers.at(Id);
    if (Server.Record.Weights && !Server.Replaced)
      Result.push_back({Server.Record.Address, Server.Region});
  }
  return Result;
}

} // namespace marigoldyard
