#include "marigoldyard/coordination/subset.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>
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

/// How the limits of one pass over the pairs are rounded.
enum class Rounding : std::uint8_t { Down, Up, NoLimit };

struct PassLimits {
  Rounding Domain;
  Rounding Endpoint;
};

/// Each pass is looser than the one before. Limits that are rounded down first
/// leave room everywhere, so that the last entries don't crowd on few
/// endpoints. The last pass gives every entry its links in any case.
constexpr PassLimits Passes[] = {
    {Rounding::Down, Rounding::Down},       {Rounding::Up, Rounding::Down},
    {Rounding::Up, Rounding::Up},           {Rounding::NoLimit, Rounding::Up},
    {Rounding::NoLimit, Rounding::NoLimit},
};

std::size_t divided(std::size_t Dividend, std::size_t Divisor, Rounding How) {
  if (How == Rounding::NoLimit)
    return std::numeric_limits<std::size_t>::max();
  return (Dividend + (How == Rounding::Up ? Divisor - 1 : 0)) / Divisor;
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

/// Links of each entry. With many entries and a small pool it is the number
/// that gives each endpoint MaxLinksPerEndpoint.
std::size_t linksPerEntry(std::size_t Entries, std::size_t Endpoints,
                          std::size_t Limit) {
  const std::size_t Shared =
      std::max(MinLinksPerPool, MaxLinksPerEndpoint * Endpoints / Entries);
  return std::min({Limit, Endpoints, Shared});
}

/// Takes pairs in the order of their hash, under the limits of each pass.
Links assignLinks(const std::vector<std::string> &Entries,
                  const std::vector<SubsetEndpoint> &Endpoints,
                  std::size_t Limit) {
  Links Result = sortedPairs(Entries, Endpoints);
  const std::size_t Count = Result.Endpoints.size();
  if (Count == 0 || Result.Entries.empty())
    return Result;
  const std::size_t PerEntry =
      linksPerEntry(Result.Entries.size(), Count, Limit);
  std::vector<std::size_t> DomainSize(Count, 0);
  for (std::uint32_t Domain : Result.DomainOf)
    ++DomainSize[Domain];
  std::vector<std::size_t> OfEntry(Result.Entries.size(), 0);
  std::vector<std::size_t> OfEndpoint(Count, 0);
  std::vector<std::size_t> OfDomain(Result.Entries.size() * Count, 0);
  for (const PassLimits &Limits : Passes) {
    const std::size_t PerEndpoint =
        divided(Result.Entries.size() * PerEntry, Count, Limits.Endpoint);
    for (Pair &Next : Result.Pairs) {
      const std::size_t Domain = Result.DomainOf[Next.Endpoint];
      std::size_t &InDomain = OfDomain[Next.Entry * Count + Domain];
      if (Next.Linked || OfEntry[Next.Entry] >= PerEntry ||
          OfEndpoint[Next.Endpoint] >= PerEndpoint ||
          InDomain >=
              divided(PerEntry * DomainSize[Domain], Count, Limits.Domain))
        continue;
      Next.Linked = true;
      ++OfEntry[Next.Entry];
      ++OfEndpoint[Next.Endpoint];
      ++InDomain;
    }
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
