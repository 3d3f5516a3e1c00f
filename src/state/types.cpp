#include "marigoldyard/state/types.hpp"

#include <iterator>

namespace marigoldyard {

std::string_view rankName(Rank Value) {
  static constexpr std::string_view Names[] = {"urgent", "standard", "batch"};
  return Names[rankIndex(Value)];
}

std::optional<Rank> parseRank(std::string_view Name) {
  for (Rank Value : AllRanks)
    if (rankName(Value) == Name)
      return Value;
  return std::nullopt;
}

std::string_view outcomeName(Outcome Value) {
  static constexpr std::string_view Names[] = {"complete", "not_run", "failed",
                                               "unknown"};
  static_assert(std::size(Names) == std::size(AllOutcomes));
  return Names[static_cast<std::size_t>(Value)];
}

} // namespace marigoldyard
