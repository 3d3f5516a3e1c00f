#pragma once

#include "marigoldyard/state/types.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace marigoldyard {

/// @brief Maximum number of links from one entry to the endpoints of one pool.
/// 24 reports of 50 bytes every 450 ms are 2.7 KB/s, below the limit of 3 KB/s
/// for control traffic.
inline constexpr std::size_t MaxLinksPerPool = 24;

/// @brief Maximum number of entries that link to one endpoint. It applies the
/// same limit to the reports that its agent sends, so entries get fewer links
/// to a small pool.
inline constexpr std::size_t MaxLinksPerEndpoint = 24;

/// @brief Minimum number of links from one entry to a pool: two for the choice
/// between two random endpoints and one more for a retry on another endpoint.
/// It takes precedence over MaxLinksPerEndpoint.
inline constexpr std::size_t MinLinksPerPool = 3;

/// @brief Properties of an endpoint that determine its links.
struct SubsetEndpoint {
  std::string Name;
  std::string FailureDomain;

  friend bool operator==(const SubsetEndpoint &,
                         const SubsetEndpoint &) = default;
};

/// @brief Returns the endpoints that an entry links to. Every process that
/// knows the same members computes the same links, so an agent finds its
/// entries with entriesOfEndpoint.
///
/// Pairs of entry and endpoint are selected in the order of their hash, with a
/// limit for each entry, for each entry and failure domain, and for each
/// endpoint. The hash of a pair doesn't depend on other members, so a change of
/// members moves few links.
/// @param Entries names of all entries, including Entry
/// @param Endpoints all endpoints of the pool
/// @param Limit maximum number of links of one entry
/// @return names in ascending order; all endpoints when there are at most Limit
/// and MaxLinksPerEndpoint allows it
/// @complexity P log P for P pairs of entry and endpoint
std::vector<std::string>
linksOfEntry(const std::string &Entry, const std::vector<std::string> &Entries,
             const std::vector<SubsetEndpoint> &Endpoints,
             std::size_t Limit = MaxLinksPerPool);

/// @brief Returns the entries that link to an endpoint; the inverse of
/// linksOfEntry.
/// @param Entries names of all entries
/// @param Endpoints all endpoints of the pool, including Endpoint
/// @param Limit maximum number of links of one entry
/// @return names in ascending order
/// @complexity P log P for P pairs of entry and endpoint
std::vector<std::string>
entriesOfEndpoint(const std::string &Endpoint,
                  const std::vector<std::string> &Entries,
                  const std::vector<SubsetEndpoint> &Endpoints,
                  std::size_t Limit = MaxLinksPerPool);

} // namespace marigoldyard
