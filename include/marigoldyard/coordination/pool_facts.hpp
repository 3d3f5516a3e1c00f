#pragma once

#include "marigoldyard/coordination/server_table.hpp"
#include "marigoldyard/state/fleet.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace marigoldyard {

/// @brief Derives the facts about a pool from the configuration.
/// @param Pool name of the pool; an unknown pool has no models
/// @return the facts; members and declared versions are left empty
/// @complexity linear in the number of routes
PoolConfiguration poolFacts(const FleetConfiguration &Configuration,
                            std::string_view Pool);

/// @brief Returns the model servers of a pool.
/// @param Pool name of the pool
/// @return the known servers, including draining ones but not replaced ones
/// @complexity linear in the number of servers of the pool
std::vector<PoolMember> poolMembers(const ServerTable &Table,
                                    std::string_view Pool);

} // namespace marigoldyard
