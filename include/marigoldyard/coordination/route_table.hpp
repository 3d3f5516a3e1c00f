#pragma once

#include "marigoldyard/state/fleet.hpp"
#include "marigoldyard/state/types.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace marigoldyard {

/// @brief A configuration with indexes for requests. The cost of a lookup does
/// not depend on the number of routes.
struct RouteTable {
  FleetConfiguration Content;
  /// Host, a line feed and the prefix, to the index of the route.
  std::unordered_map<std::string, std::size_t> RouteByPrefix;
  /// Key to the index of the customer.
  std::unordered_map<std::string, std::size_t> CustomerByKey;
};

/// @brief Builds the indexes of a configuration.
/// @param Content the configuration
/// @return the table
/// @complexity linear in the configuration
std::shared_ptr<const RouteTable> makeRouteTable(FleetConfiguration Content);

/// @brief Finds the route with the longest prefix that begins a path.
/// @param Table the table
/// @param Host value of the Host header
/// @param Target path, with or without a query
/// @return the route, or null
/// @complexity linear in the length of the path
const Route *findRoute(const RouteTable &Table, std::string_view Host,
                       std::string_view Target);

/// @brief Finds the customer that holds a key.
/// @param Table the table
/// @param Key the key
/// @return the customer, or null
/// @complexity constant on average
const Customer *findCustomer(const RouteTable &Table, std::string_view Key);

/// @brief Chooses a pool of a route in proportion to the weights.
/// @param Table the table
/// @param Chosen the route
/// @param Source randomness
/// @return the pool, or null when the configuration does not describe it
/// @complexity linear in the pools of the route
const ServerPool *choosePool(const RouteTable &Table, const Route &Chosen,
                             Random &Source);

/// @brief Priority of a request: that of the customer, else that of the route.
/// @param Chosen the route
/// @param Sender the customer, or null
/// @return the priority, 0 first
std::uint32_t requestPriority(const Route &Chosen, const Customer *Sender);

} // namespace marigoldyard
