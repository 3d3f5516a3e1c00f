#include "marigoldyard/coordination/detail/rendezvous.hpp"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace marigoldyard::detail {

std::uint64_t nameHash(std::string_view Name) {
  return XXH3_64bits(Name.data(), Name.size());
}

std::vector<std::string> rendezvousOrder(std::string_view Key,
                                         std::vector<std::string> Names) {
  const std::uint64_t KeyHash = nameHash(Key);
  std::vector<std::pair<std::uint64_t, std::string>> Weighted;
  Weighted.reserve(Names.size());
  for (std::string &Name : Names) {
    const std::uint64_t Weight = rendezvousScore(KeyHash, nameHash(Name));
    Weighted.emplace_back(Weight, std::move(Name));
  }
  std::sort(Weighted.begin(), Weighted.end(),
            [](const auto &A, const auto &B) { return B < A; });
  std::vector<std::string> Result;
  Result.reserve(Weighted.size());
  for (auto &[Weight, Name] : Weighted)
    Result.push_back(std::move(Name));
  return Result;
}

} // namespace marigoldyard::detail
