#include "marigoldyard/coordination/route_table.hpp"

#include <algorithm>
#include <cctype>
#include <numeric>

namespace marigoldyard {

namespace {

std::string routeKey(std::string_view Host, std::string_view Prefix) {
  std::string Key(Host);
  Key += '\n';
  Key += Prefix;
  return Key;
}

/// Returns the host name of a Host header in lower case, without the port.
std::string normalizedHostName(std::string_view Header) {
  std::string Name(Header.substr(0, Header.find(':')));
  std::transform(Name.begin(), Name.end(), Name.begin(), [](unsigned char C) {
    return static_cast<char>(std::tolower(C));
  });
  return Name;
}

} // namespace

std::shared_ptr<const RouteTable>
makeRouteTable(FleetConfiguration Configuration) {
  auto Table = std::make_shared<RouteTable>();
  Table->Content = std::move(Configuration);
  const auto &Routes = Table->Content.Routes;
  for (std::size_t I = 0; I < Routes.size(); ++I)
    Table->RouteByPrefix.emplace(routeKey(Routes[I].Host, Routes[I].PathPrefix),
                                 I);
  const auto &Customers = Table->Content.Customers;
  for (std::size_t I = 0; I < Customers.size(); ++I)
    for (const std::string &Key : Customers[I].Keys)
      Table->CustomerByKey.emplace(Key, I);
  return Table;
}

const Route *findRoute(const RouteTable &Table, std::string_view Host,
                       std::string_view Target) {
  std::string_view Path = Target.substr(0, Target.find('?'));
  std::string Key = routeKey(normalizedHostName(Host), Path);
  const std::size_t PathStart = Key.size() - Path.size();
  // Every prefix ends with a slash, so only paths cut after a slash can match.
  for (std::size_t Slash = Key.rfind('/');
       Slash != std::string::npos && Slash >= PathStart;
       Slash = Slash == 0 ? std::string::npos : Key.rfind('/', Slash - 1)) {
    Key.resize(Slash + 1);
    if (const auto Found = Table.RouteByPrefix.find(Key);
        Found != Table.RouteByPrefix.end())
      return &Table.Content.Routes[Found->second];
  }
  return nullptr;
}

const Customer *findCustomer(const RouteTable &Table, std::string_view Key) {
  const auto Found = Table.CustomerByKey.find(std::string(Key));
  return Found == Table.CustomerByKey.end()
             ? nullptr
             : &Table.Content.Customers[Found->second];
}

const ServerPool *choosePool(const RouteTable &Table, const Route &Chosen,
                             Random &Generator) {
  const std::uint64_t Total = std::accumulate(
      Chosen.Pools.begin(), Chosen.Pools.end(), std::uint64_t{0},
      [](std::uint64_t Sum, const PoolShare &Each) {
        return Sum + Each.Weight;
      });
  if (Total == 0)
    return nullptr;
  std::uint64_t Remaining =
      std::uniform_int_distribution<std::uint64_t>(0, Total - 1)(Generator);
  for (const PoolShare &Share : Chosen.Pools) {
    if (Remaining < Share.Weight) {
      const auto Found = Table.Content.Pools.find(Share.Pool);
      return Found == Table.Content.Pools.end() ? nullptr : &Found->second;
    }
    Remaining -= Share.Weight;
  }
  return nullptr;
}

std::uint32_t requestPriority(const Route &Chosen, const Customer *Requester) {
  return Requester != nullptr && Requester->Priority ? *Requester->Priority
                                                     : Chosen.Priority;
}

} // namespace marigoldyard
