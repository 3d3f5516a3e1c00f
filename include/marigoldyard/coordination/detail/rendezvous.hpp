#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldyard::detail {

/// @brief Computes a stable 64-bit hash of a name, the same in every process of
/// the fleet.
/// @param Name any bytes
/// @return XXH3-64 of the name
/// @complexity linear in the length of the name
std::uint64_t nameHash(std::string_view Name);

/// @brief Computes the score of a member for a key in rendezvous hashing. The
/// member with the highest score is chosen.
/// @param Key hash of the key
/// @param Member hash of the member's name
/// @return score in the full 64-bit range
/// @complexity constant
constexpr std::uint64_t rendezvousScore(std::uint64_t Key,
                                        std::uint64_t Member) {
  // Finalizer of SplitMix64, in which every input bit affects the whole output.
  std::uint64_t Mixed = Key ^ (Member * 0x9e3779b97f4a7c15ULL);
  Mixed = (Mixed ^ (Mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  Mixed = (Mixed ^ (Mixed >> 27)) * 0x94d049bb133111ebULL;
  return Mixed ^ (Mixed >> 31);
}

/// @brief Sorts names by descending rendezvous score for a key.
/// @param Key name of the item to be placed
/// @param Names candidates
/// @return the candidates, the preferred one first
/// @complexity O(n log n)
std::vector<std::string> rendezvousOrder(std::string_view Key,
                                         std::vector<std::string> Names);

} // namespace marigoldyard::detail
