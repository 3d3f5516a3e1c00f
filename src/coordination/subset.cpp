#include "marigoldyard/coordination/subset.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <tuple>
#include <xxhash.h>

namespace marigoldyard {

namespace {

struct CandidateLink {
  std::uint64_t Hash = 0;
  std::uint32_t Entry = 0;
  std::uint32_t Endpoint = 0;
  bool Linked = false;
};

struct LinkAssignment {
  std::vector<std::string> Entries;
  std::vector<SubsetEndpoint> Endpoints;
  std::vector<std::uint32_t> DomainOf;   ///< failure domain, by endpoint
  std::vector<CandidateLink> Candidates; ///< sorted by hash
};

std::uint64_t linkHash(const std::string &Entry, const std::string &Endpoint) {
  return XXH3_64bits_withSeed(Endpoint.data(), Endpoint.size(),
                              XXH3_64bits(Entry.data(), Entry.size()));
}

/// How the limits of one pass over the candidates are rounded.
enum class Rounding : std::uint8_t { Down, Up, NoLimit };

struct PassRounding {
  Rounding Domain;
  Rounding Endpoint;
};

/// Each pass has looser limits than the previous one. The first limits are
/// rounded down and leave capacity on every endpoint, so that the last entries
/// are not concentrated on few endpoints. The last pass has no limits by domain
/// or endpoint, so that every entry gets its number of links.
constexpr PassRounding Passes[] = {
    {Rounding::Down, Rounding::Down},       {Rounding::Up, Rounding::Down},
    {Rounding::Up, Rounding::Up},           {Rounding::NoLimit, Rounding::Up},
    {Rounding::NoLimit, Rounding::NoLimit},
};

std::size_t divideRounded(std::size_t Dividend, std::size_t Divisor,
                          Rounding Mode) {
  if (Mode == Rounding::NoLimit)
    return std::numeric_limits<std::size_t>::max();
  return (Dividend + (Mode == Rounding::Up ? Divisor - 1 : 0)) / Divisor;
}

/// Sorts and deduplicates the arguments, because their order and duplicates
/// must not change the links, and returns all pairs sorted by hash.
LinkAssignment sortedCandidates(std::vector<std::string> Entries,
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
  LinkAssignment Result{std::move(Entries), std::move(Endpoints), {}, {}};
  std::map<std::string, std::uint32_t> Domains;
  for (const SubsetEndpoint &Endpoint : Result.Endpoints)
    Result.DomainOf.push_back(
        Domains
            .emplace(Endpoint.FailureDomain,
                     static_cast<std::uint32_t>(Domains.size()))
            .first->second);
  Result.Candidates.reserve(Result.Entries.size() * Result.Endpoints.size());
  for (std::uint32_t I = 0; I < Result.Entries.size(); ++I)
    for (std::uint32_t J = 0; J < Result.Endpoints.size(); ++J)
      Result.Candidates.push_back(
          {linkHash(Result.Entries[I], Result.Endpoints[J].Name), I, J, false});
  std::sort(Result.Candidates.begin(), Result.Candidates.end(),
            [](const CandidateLink &A, const CandidateLink &B) {
              return std::tie(A.Hash, A.Entry, A.Endpoint) <
                     std::tie(B.Hash, B.Entry, B.Endpoint);
            });
  return Result;
}

/// Returns the number of links of each entry. With many entries and a small
/// pool it is the number at which each endpoint has MaxLinksPerEndpoint links.
std::size_t linksPerEntry(std::size_t Entries, std::size_t Endpoints,
                          std::size_t Limit) {
  const std::size_t FairShare =
      std::max(MinLinksPerPool, MaxLinksPerEndpoint * Endpoints / Entries);
  return std::min({Limit, Endpoints, FairShare});
}

/// Selects links in the order of their hash, within the limits of each pass.
LinkAssignment assignLinks(const std::vector<std::string> &Entries,
                           const std::vector<SubsetEndpoint> &Endpoints,
                           std::size_t Limit) {
  LinkAssignment Result = sortedCandidates(Entries, Endpoints);
  const std::size_t Count = Result.Endpoints.size();
  if (Count == 0 || Result.Entries.empty())
    return Result;
  const std::size_t PerEntry =
      linksPerEntry(Result.Entries.size(), Count, Limit);
  std::vector<std::size_t> DomainSizes(Count, 0);
  for (std::uint32_t Domain : Result.DomainOf)
    ++DomainSizes[Domain];
  std::vector<std::size_t> EntryLinkCounts(Result.Entries.size(), 0);
  std::vector<std::size_t> EndpointLinkCounts(Count, 0);
  std::vector<std::size_t> DomainLinkCounts(Result.Entries.size() * Count, 0);
  for (const PassRounding &Pass : Passes) {
    const std::size_t PerEndpoint =
        divideRounded(Result.Entries.size() * PerEntry, Count, Pass.Endpoint);
    for (CandidateLink &Candidate : Result.Candidates) {
      const std::size_t Domain = Result.DomainOf[Candidate.Endpoint];
      std::size_t &DomainLinks =
          DomainLinkCounts[Candidate.Entry * Count + Domain];
      if (Candidate.Linked || EntryLinkCounts[Candidate.Entry] >= PerEntry ||
          EndpointLinkCounts[Candidate.Endpoint] >= PerEndpoint ||
          DomainLinks >=
              divideRounded(PerEntry * DomainSizes[Domain], Count, Pass.Domain))
        continue;
      Candidate.Linked = true;
      ++EntryLinkCounts[Candidate.Entry];
      ++EndpointLinkCounts[Candidate.Endpoint];
      ++DomainLinks;
    }
  }
  return Result;
}

} // namespace

std::vector<std::string>
linksOfEntry(const std::string &Entry, const std::vector<std::string> &Entries,
             const std::vector<SubsetEndpoint> &Endpoints, std::size_t Limit) {
  const LinkAssignment All = assignLinks(Entries, Endpoints, Limit);
  std::vector<std::string> Result;
  for (const CandidateLink &Link : All.Candidates)
    if (Link.Linked && All.Entries[Link.Entry] == Entry)
      Result.push_back(All.Endpoints[Link.Endpoint].Name);
  std::sort(Result.begin(), Result.end());
  return Result;
}

std::vector<std::string> entriesOfEndpoint(
    const std::string &Endpoint, const std::vector<std::string> &Entries,
    const std::vector<SubsetEndpoint> &Endpoints, std::size_t Limit) {
  const LinkAssignment All = assignLinks(Entries, Endpoints, Limit);
  std::vector<std::string> Result;
  for (const CandidateLink &Link : All.Candidates)
    if (Link.Linked && All.Endpoints[Link.Endpoint].Name == Endpoint)
      Result.push_back(All.Entries[Link.Entry]);
  std::sort(Result.begin(), Result.end());
  return Result;
}

} // namespace marigoldyard
