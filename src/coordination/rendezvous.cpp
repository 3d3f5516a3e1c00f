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
  std::vector<std::pair<std::uint64_t, std::string>> Scored;
  Scored.reserve(Names.size());
  for (std::string &Name : Names) {
    const std::uint64_t Score = rendezvousScore(KeyHash, nameHash(Name));
    Scored.emplace_back(Score, std::move(Name));
  }
  std::sort(Scored.begin(), Scored.end(),
            [](const auto &A, const auto &B) { return B < A; });
  std::vector<std::string> Result;
  Result.reserve(Scored.size());
  for (auto &[Score, Name] : Scored)
    Result.push_back(std::move(Name));
  return Result;
}

} // namespace marigoldyard::detail
