#include "marigoldyard/coordination/weight_history.hpp"

#include <set>

namespace marigoldyard {

void updateWeights(WeightHistory &History,
                   std::span<const Product *const> Products) {
  std::set<std::string> Names;
  for (const Product *Each : Products) {
    Names.insert(Each->Name);
    Digest &Current = History.Current[Each->Name];
    if (!Current.empty() && Current != Each->Weights)
      History.Previous[Each->Name] = Current;
    Current = Each->Weights;
  }
  const auto IsGone = [&](const auto &Item) {
    return !Names.contains(Item.first);
  };
  std::erase_if(History.Current, IsGone);
  std::erase_if(History.Previous, IsGone);
}

std::vector<Digest> usableWeights(const WeightHistory &History,
                                  const Product &Owner) {
  std::vector<Digest> Usable{Owner.Weights};
  if (const auto Found = History.Previous.find(Owner.Name);
      Found != History.Previous.end())
    Usable.push_back(Found->second);
  return Usable;
}

} // namespace marigoldyard
