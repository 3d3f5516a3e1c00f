#pragma once

#include "marigoldyard/state/types.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace marigoldyard {

/// @brief Links of one entry to the endpoints of one pool. 24 reports of 50
/// bytes each 450 ms are 2.7 KB/s, below the 3 KB/s that control may use.
inline constexpr std::size_t MaxLinksPerPool = 24;

/// @brief Entries that link to one endpoint, for the same bound on the reports
/// that its agent sends. Entries of a small pool get fewer links for it.
inline constexpr std::size_t MaxLinksPerEndpoint = 24;

/// @brief Links that an entry keeps in any case: two random choices and one
/// more for a try elsewhere. It goes before MaxLinksPerEndpoint.
inline constexpr std::size_t MinLinksPerPool = 3;

/// @brief An endpoint as the choice of links sees it.
struct SubsetEndpoint {
  std::string Name;
  std::string FailureDomain;

  friend bool operator==(const SubsetEndpoint &,
                         const SubsetEndpoint &) = default;
};

/// @brief Endpoints that an entry links to. Every process that knows the same
/// members computes the same links, so an agent finds its entries the same way.
///
/// Pairs of entry and endpoint are taken in the order of their hash, under a
/// limit for each entry, for each entry and failure domain, and for each
/// endpoint. The hash of a pair doesn't depend on other members, so a change of
/// members moves few links.
/// @param Entry name of the entry
/// @param Entries names of all entries, the own one included
/// @param Endpoints endpoints of the pool
/// @param Limit links of one entry
/// @return names in ascending order; all endpoints when there are at most Limit
/// and MaxLinksPerEndpoint allows it
/// @complexity P log P for P pairs of entry and endpoint
std::vector<std::string>
linksOfEntry(const std::string &Entry, const std::vector<std::string> &Entries,
             const std::vector<SubsetEndpoint> &Endpoints,
             std::size_t Limit = MaxLinksPerPool);

/// @brief Entries that link to an endpoint; the counterpart of linksOfEntry.
/// @param Endpoint name of the endpoint
/// @param Entries names of all entries
/// @param Endpoints endpoints of the pool, the own one included
/// @param Limit links of one entry
/// @return names in ascending order
/// @complexity P log P for P pairs of entry and endpoint
std::vector<std::string>
entriesOfEndpoint(const std::string &Endpoint,
                  const std::vector<std::string> &Entries,
                  const std::vector<SubsetEndpoint> &Endpoints,
                  std::size_t Limit = MaxLinksPerPool);

} // namespace marigoldyard
