#include "marigoldyard/coordination/weight_history.hpp"

#include <set>

namespace marigoldyard {

void updateWeights(WeightHistory &History,
                   std::span<const Product *const> Products) {
  std::set<std::string> Names;
  for (const Product *Entry : Products) {
    Names.insert(Entry->Name);
    Digest &Current = History.Current[Entry->Name];
    if (!Current.empty() && Current != Entry->Weights)
      History.Previous[Entry->Name] = Current;
    Current = Entry->Weights;
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
