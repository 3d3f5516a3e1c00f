#include "marigoldyard/coordination/configuration.hpp"

#include <algorithm>

namespace marigoldyard {
namespace {

template <typename T>
const T *findByName(const std::vector<T> &Items, std::string_view Name) {
  const auto It = std::find_if(Items.begin(), Items.end(), [&](const T &Item) {
    return Item.Name == Name;
  });
  return It == Items.end() ? nullptr : &*It;
}

} // namespace

std::vector<ManifestConflict> manifestConflicts(const Manifest &Content) {
  std::vector<ManifestConflict> Result;
  std::map<std::string_view, std::size_t> Names;
  std::map<std::string_view, std::string_view> EnginePools;
  std::map<std::string_view, const Service *> Services;
  for (std::size_t P = 0; P < Content.Products.size(); ++P) {
    const Product &Owner = Content.Products[P];
    if (!Names.emplace(Owner.Name, P).second)
      Result.push_back(
          {P, "/name", "product '" + Owner.Name + "' is defined twice"});
    EnginePools.emplace(Owner.Pool, Owner.Name);
  }
  for (std::size_t P = 0; P < Content.Products.size(); ++P) {
    const Product &Owner = Content.Products[P];
    for (std::size_t S = 0; S < Owner.Services.size(); ++S) {
      const Service &OfferedService = Owner.Services[S];
      const std::string Path = "/services/" + std::to_string(S);
      if (const auto It = EnginePools.find(OfferedService.Pool);
          It != EnginePools.end())
        Result.push_back({P, Path + "/pool",
                          "pool '" + OfferedService.Pool +
                              "' is used for the model endpoints of product '" +
                              std::string(It->second) + "'"});
      const auto [It, New] =
          Services.emplace(OfferedService.Name, &OfferedService);
      if (!New && *It->second != OfferedService)
        Result.push_back(
            {P, Path,
             "service '" + OfferedService.Name +
                 "' is defined with a different pool or idempotence "
                 "elsewhere"});
    }
  }
  return Result;
}

const Product *findProduct(const Manifest &Content, std::string_view Name) {
  return findByName(Content.Products, Name);
}

std::vector<const Product *> productsOfPool(const Manifest &Content,
                                            std::string_view Pool) {
  std::vector<const Product *> Result;
  for (const Product &Candidate : Content.Products)
    if (Candidate.Pool == Pool)
      Result.push_back(&Candidate);
  return Result;
}

const Service *findService(const Product &Owner, std::string_view Name) {
  return findByName(Owner.Services, Name);
}

std::vector<std::pair<const Product *, const Service *>>
servicesOfPool(const Manifest &Content, std::string_view Pool) {
  std::vector<std::pair<const Product *, const Service *>> Result;
  for (const Product &Owner : Content.Products)
    for (const Service &Candidate : Owner.Services)
      if (Candidate.Pool == Pool)
        Result.emplace_back(&Owner, &Candidate);
  return Result;
}

const Caller *findCaller(const AcceptedConfiguration &Accepted,
                         std::string_view ProductName,
                         std::string_view KeySha256) {
  const auto It = Accepted.CallersByKey.find(std::string(ProductName) + "/" +
                                             std::string(KeySha256));
  if (It == Accepted.CallersByKey.end())
    return nullptr;
  return &Accepted.Content.Products[It->second.ProductIndex]
              .Callers[It->second.CallerIndex];
}

std::vector<const Product *>
productsOfCaller(const AcceptedConfiguration &Accepted,
                 std::string_view KeySha256) {
  std::vector<const Product *> Result;
  for (const Product &Owner : Accepted.Content.Products)
    if (findCaller(Accepted, Owner.Name, KeySha256))
      Result.push_back(&Owner);
  return Result;
}

bool isRankAllowed(const Product &Owner, const Caller &Customer, Rank Wanted) {
  return rankIndex(Wanted) >= rankIndex(Customer.HighestRank) &&
         std::find(Owner.Ranks.begin(), Owner.Ranks.end(), Wanted) !=
             Owner.Ranks.end();
}

} // namespace marigoldyard
