#pragma once

#include "marigoldyard/coordination/server_table.hpp"
#include "marigoldyard/state/fleet.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace marigoldyard {

/// @brief Facts about a pool that follow from the configuration.
/// @param Configuration the configuration
/// @param Pool name of the pool
/// @return the facts, without members and declared versions
/// @complexity linear in the routes
PoolFacts poolFacts(const FleetConfiguration &Configuration,
                    std::string_view Pool);

/// @brief Model servers of a pool.
/// @param Table the servers
/// @param Pool name of the pool
/// @return the servers that are known, also draining ones
/// @complexity linear in the servers of the pool
std::vector<PoolMember> poolMembers(const ServerTable &Table,
                                    std::string_view Pool);

} // namespace marigoldyard
