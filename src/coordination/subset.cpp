#include "marigoldyard/coordination/subset.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <tuple>
#include <xxhash.h>

namespace marigoldyard {

namespace {

struct Pair {
  std::uint64_t Hash = 0;
  std::uint32_t Entry = 0;
  std::uint32_t Endpoint = 0;
  bool Linked = false;
};

struct Links {
  std::vector<std::string> Entries;
  std::vector<SubsetEndpoint> Endpoints;
  std::vector<std::uint32_t> DomainOf; ///< by endpoint
  std::vector<Pair> Pairs;             ///< by hash
};

std::uint64_t pairHash(const std::string &Entry, const std::string &Endpoint) {
  return XXH3_64bits_withSeed(Endpoint.data(), Endpoint.size(),
                              XXH3_64bits(Entry.data(), Entry.size()));
}

std::size_t dividedUp(std::size_t Dividend, std::size_t Divisor) {
  return (Dividend + Divisor - 1) / Divisor;
}

/// Order and duplicates of the arguments must not change the links.
Links sortedPairs(std::vector<std::string> Entries,
                  std::vector<SubsetEndpoint> Endpoints) {
  std::sort(Entries.begin(), Entries.end());
  Entries.erase(std::unique(Entries.begin(), Entries.end()), Entries.end());
  std::sort(Endpoints.begin(), Endpoints.end(),
            [](const auto &A, const auto &B) { return A.Name < B.Name; });
  Endpoints.erase(std::unique(Endpoints.begin(), Endpoints.end(),
                              [](const auto &A, const auto &B) {
                                return A.Name == B.Name;
                              }),
                  Endpoints.end());
  Links Result{std::move(Entries), std::move(Endpoints), {}, {}};
  std::map<std::string, std::uint32_t> Domains;
  for (const SubsetEndpoint &Endpoint : Result.Endpoints)
    Result.DomainOf.push_back(
        Domains
            .emplace(Endpoint.FailureDomain,
                     static_cast<std::uint32_t>(Domains.size()))
            .first->second);
  Result.Pairs.reserve(Result.Entries.size() * Result.Endpoints.size());
  for (std::uint32_t I = 0; I < Result.Entries.size(); ++I)
    for (std::uint32_t J = 0; J < Result.Endpoints.size(); ++J)
      Result.Pairs.push_back(
          {pairHash(Result.Entries[I], Result.Endpoints[J].Name), I, J, false});
  std::sort(Result.Pairs.begin(), Result.Pairs.end(),
            [](const Pair &A, const Pair &B) {
              return std::tie(A.Hash, A.Entry, A.Endpoint) <
                     std::tie(B.Hash, B.Entry, B.Endpoint);
            });
  return Result;
}

/// Takes pairs in the order of their hash. The first pass keeps all limits; the
/// second lets an entry exceed its limit for a failure domain, the third lets
/// an endpoint exceed its limit, so that every entry gets its links.
Links assignLinks(const std::vector<std::string> &Entries,
                  const std::vector<SubsetEndpoint> &Endpoints,
                  std::size_t Limit) {
  Links Result = sortedPairs(Entries, Endpoints);
  const std::size_t Count = Result.Endpoints.size();
  if (Count == 0 || Result.Entries.empty())
    return Result;
  std::vector<std::size_t> DomainSize(Count, 0);
  for (std::uint32_t Domain : Result.DomainOf)
    ++DomainSize[Domain];
  const std::size_t PerEndpoint =
      dividedUp(Result.Entries.size() * std::min(Limit, Count), Count);
  std::vector<std::size_t> OfEntry(Result.Entries.size(), 0);
  std::vector<std::size_t> OfEndpoint(Count, 0);
  std::vector<std::size_t> OfDomain(Result.Entries.size() * Count, 0);
  for (int Pass = 0; Pass < 3; ++Pass)
    for (Pair &Next : Result.Pairs) {
      const std::size_t Domain = Result.DomainOf[Next.Endpoint];
      std::size_t &InDomain = OfDomain[Next.Entry * Count + Domain];
      const std::size_t PerDomain =
          dividedUp(std::min(Limit, Count) * DomainSize[Domain], Count);
      if (Next.Linked || OfEntry[Next.Entry] >= Limit ||
          (Pass < 1 && InDomain >= PerDomain) ||
          (Pass < 2 && OfEndpoint[Next.Endpoint] >= PerEndpoint))
        continue;
      Next.Linked = true;
      ++OfEntry[Next.Entry];
      ++OfEndpoint[Next.Endpoint];
      ++InDomain;
    }
  return Result;
}

} // namespace

std::vector<std::string>
linksOfEntry(const std::string &Entry, const std::vector<std::string> &Entries,
             const std::vector<SubsetEndpoint> &Endpoints, std::size_t Limit) {
  const Links All = assignLinks(Entries, Endpoints, Limit);
  std::vector<std::string> Result;
  for (const Pair &Link : All.Pairs)
    if (Link.Linked && All.Entries[Link.Entry] == Entry)
      Result.push_back(All.Endpoints[Link.Endpoint].Name);
  std::sort(Result.begin(), Result.end());
  return Result;
}

std::vector<std::string> entriesOfEndpoint(
    const std::string &Endpoint, const std::vector<std::string> &Entries,
    const std::vector<SubsetEndpoint> &Endpoints, std::size_t Limit) {
  const Links All = assignLinks(Entries, Endpoints, Limit);
  std::vector<std::string> Result;
  for (const Pair &Link : All.Pairs)
    if (Link.Linked && All.Endpoints[Link.Endpoint].Name == Endpoint)
      Result.push_back(All.Entries[Link.Entry]);
  std::sort(Result.begin(), Result.end());
  return Result;
}

} // namespace marigoldyard
