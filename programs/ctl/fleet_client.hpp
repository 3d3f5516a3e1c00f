#pragma once

#include "marigoldyard/state/error.hpp"
#include "marigoldyard/state/types.hpp"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace marigoldyard {

/// @brief A daemon whose operator pages are read.
struct OperatorAddress {
  std::string Name;    ///< empty until known
  std::string Address; ///< "host:port"
};

/// @brief Page of one daemon, or why it could not be read.
struct OperatorPage {
  OperatorAddress From;
  nlohmann::json Content; ///< null when Failure is set
  std::string Failure;
};

/// @brief Reads the list of VMs from the platform.
/// @param VmList "host:port" of the VM list
/// @return the members
Expected<std::vector<Member>> readMembers(const std::string &VmList);

/// @brief Operator addresses of all members.
/// @param Members the members
/// @param Port operator port of the fleet
/// @return the addresses in the order of the list
std::vector<OperatorAddress>
operatorAddresses(const std::vector<Member> &Members, std::uint16_t Port);

/// @brief Reads one page of several daemons at the same time.
/// @param Daemons the daemons
/// @param Target path and query
/// @return a page for each daemon, in the same order
std::vector<OperatorPage> readPages(const std::vector<OperatorAddress> &Daemons,
                                    const std::string &Target);

} // namespace marigoldyard
