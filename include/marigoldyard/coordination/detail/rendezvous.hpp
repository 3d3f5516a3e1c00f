#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldyard::detail {

/// @brief Rendezvous weight of a name for a key: every process computes the
/// same one, and a change of the fleet moves only the affected choices.
/// @param Key what is to be placed
/// @param Name candidate
/// @return the weight; the highest one is chosen first
/// @complexity linear in the length of the texts
std::uint64_t rendezvousWeight(std::string_view Key, std::string_view Name);

/// @brief Orders names by descending rendezvous weight.
/// @param Key what is to be placed
/// @param Names the candidates
/// @return the names, the preferred one first
/// @complexity O(n log n)
std::vector<std::string> rendezvousOrder(std::string_view Key,
                                         std::vector<std::string> Names);

} // namespace marigoldyard::detail
