#pragma once

#include "marigoldyard/state/fleet.hpp"
#include "marigoldyard/state/types.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace marigoldyard {

/// @brief A configuration with hash indexes for request routing. The cost of a
/// lookup does not depend on the number of routes.
struct RouteTable {
  FleetConfiguration Content;
  /// Maps host, line feed and path prefix to the index of the route.
  std::unordered_map<std::string, std::size_t> RouteByPrefix;
  /// Maps an API key to the index of the customer.
  std::unordered_map<std::string, std::size_t> CustomerByKey;
};

/// @brief Builds the indexes of a configuration.
/// @param Configuration moved into the table
/// @return the table; never null
/// @complexity linear in the number of routes and keys
std::shared_ptr<const RouteTable>
makeRouteTable(FleetConfiguration Configuration);

/// @brief Finds the route with the longest matching path prefix.
/// @param Host value of the Host header, with or without a port
/// @param Target path, with or without a query
/// @return the route, owned by the table; null when none matches
/// @complexity linear in the length of the path
const Route *findRoute(const RouteTable &Table, std::string_view Host,
                       std::string_view Target);

/// @brief Finds the customer that an API key belongs to.
/// @return the customer, owned by the table; null for an unknown key
/// @complexity constant on average
const Customer *findCustomer(const RouteTable &Table, std::string_view Key);

/// @brief Chooses a pool of a route at random, in proportion to the weights.
/// @param Chosen route that the request matched
/// @return the pool, owned by the table; null when the total weight is zero or
/// the configuration does not define the pool
/// @complexity linear in the number of pools of the route
const ServerPool *choosePool(const RouteTable &Table, const Route &Chosen,
                             Random &Generator);

/// @brief Returns the priority of a request: that of the customer if it has
/// one, otherwise that of the route.
/// @param Chosen route that the request matched
/// @param Requester customer that sent the request; null when unknown
/// @return the priority; 0 is the most urgent
std::uint32_t requestPriority(const Route &Chosen, const Customer *Requester);

} // namespace marigoldyard
