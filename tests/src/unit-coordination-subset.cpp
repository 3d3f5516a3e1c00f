#include "marigoldyard/coordination/subset.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

using namespace marigoldyard;

namespace {

std::vector<std::string> entries(std::size_t Count) {
  std::vector<std::string> Result;
  for (std::size_t I = 0; I < Count; ++I)
    Result.push_back("entry-" + std::to_string(I));
  return Result;
}

std::vector<SubsetEndpoint> endpoints(std::size_t Count, std::size_t Domains) {
  std::vector<SubsetEndpoint> Result;
  for (std::size_t I = 0; I < Count; ++I)
    Result.push_back({"endpoint-" + std::to_string(I),
                      "domain-" + std::to_string(I % Domains)});
  return Result;
}

using LinkSet = std::set<std::pair<std::string, std::string>>;

LinkSet allLinks(const std::vector<std::string> &Entries,
                 const std::vector<SubsetEndpoint> &Endpoints) {
  LinkSet Result;
  for (const std::string &Entry : Entries)
    for (const std::string &Endpoint : linksOfEntry(Entry, Entries, Endpoints))
      Result.emplace(Entry, Endpoint);
  return Result;
}

/// Links of members that exist in both cases and that differ.
std::size_t moved(const LinkSet &Before, const LinkSet &After,
                  const std::string &Changed) {
  std::size_t Sum = 0;
  for (const auto &Link : Before)
    Sum += Link.first != Changed && Link.second != Changed &&
           !After.contains(Link);
  return Sum;
}

} // namespace

TEST_CASE("a small pool is linked whole") {
  // Guards against endpoints without work in today's fleets.
  for (const std::string &Entry : entries(4))
    CHECK(linksOfEntry(Entry, entries(4), endpoints(15, 3)).size() == 15);
  CHECK(linksOfEntry("entry-0", entries(4), {}).empty());
  CHECK(linksOfEntry("unknown", entries(4), endpoints(15, 3)).empty());
}

TEST_CASE("links are limited, balanced and spread over failure domains") {
  // Guards against reports beyond 3 KB/s, idle or hot endpoints, and an entry
  // that loses most of its links with one failure domain.
  const auto Entries = entries(40);
  const auto Endpoints = endpoints(110, 10);
  std::map<std::string, std::size_t> OfEndpoint;
  for (const std::string &Entry : Entries) {
    const auto Links = linksOfEntry(Entry, Entries, Endpoints);
    CHECK(Links.size() == MaxLinksPerPool);
    std::map<std::string, std::size_t> OfDomain;
    for (const std::string &Link : Links) {
      ++OfEndpoint[Link];
      const auto At = std::find_if(
          Endpoints.begin(), Endpoints.end(),
          [&](const SubsetEndpoint &Each) { return Each.Name == Link; });
      ++OfDomain[At->FailureDomain];
    }
    CHECK(OfDomain.size() >= 9);
    for (const auto &[Domain, Count] : OfDomain)
      CHECK(Count <= 4);
  }
  // The mean is 40 * 24 / 110 = 8.7 entries an endpoint.
  CHECK(OfEndpoint.size() == Endpoints.size());
  for (const auto &[Endpoint, Count] : OfEndpoint) {
    CHECK(Count <= 10);
    CHECK(Count >= 6);
  }
}

TEST_CASE("many entries share a small pool without flooding its agents") {
  // Guards against an agent that reports to 129 entries, 11 KB/s, because all
  // 390 entries take 24 links in its pool of 73.
  const auto Entries = entries(390);
  const auto Endpoints = endpoints(73, 22);
  for (std::size_t I = 0; I < Endpoints.size(); I += 9) {
    const auto Count =
        entriesOfEndpoint(Endpoints[I].Name, Entries, Endpoints).size();
    CHECK(Count > 0);
    CHECK(Count <= MaxLinksPerEndpoint);
  }
  for (std::size_t I = 0; I < Entries.size(); I += 40)
    CHECK(linksOfEntry(Entries[I], Entries, Endpoints).size() >=
          MinLinksPerPool);
  // A choice between endpoints remains where the pool is too small for that.
  CHECK(linksOfEntry(Entries[0], Entries, endpoints(15, 3)).size() ==
        MinLinksPerPool);
}

TEST_CASE("both sides of a link agree, in any order of members") {
  // Guards against an agent that sends reports to other entries than those
  // that link to it.
  const auto Entries = entries(8);
  const auto Endpoints = endpoints(60, 5);
  auto OtherEntries = Entries;
  auto OtherEndpoints = Endpoints;
  std::reverse(OtherEntries.begin(), OtherEntries.end());
  std::reverse(OtherEndpoints.begin(), OtherEndpoints.end());
  for (const SubsetEndpoint &Endpoint : Endpoints)
    for (const std::string &Entry :
         entriesOfEndpoint(Endpoint.Name, OtherEntries, OtherEndpoints)) {
      const auto Links = linksOfEntry(Entry, Entries, Endpoints);
      CHECK(std::binary_search(Links.begin(), Links.end(), Endpoint.Name));
    }
}

TEST_CASE("a change of members moves few links of the others") {
  // Guards against a storm of reconnects after one VM is replaced.
  const auto Entries = entries(40);
  const auto Endpoints = endpoints(110, 10);
  const LinkSet Before = allLinks(Entries, Endpoints);
  auto FewerEndpoints = Endpoints;
  FewerEndpoints.pop_back();
  auto FewerEntries = Entries;
  FewerEntries.pop_back();
  const std::size_t Limit = Before.size() / 10;
  CHECK(moved(Before, allLinks(Entries, FewerEndpoints),
              Endpoints.back().Name) <= Limit);
  CHECK(moved(Before, allLinks(FewerEntries, Endpoints), Entries.back()) <=
        Limit);
}
