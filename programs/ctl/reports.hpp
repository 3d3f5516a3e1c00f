#pragma once

#include "programs/ctl/fleet_client.hpp"

#include <string>
#include <vector>

namespace marigoldyard {

/// @brief Which events of the time line to show; empty members match all.
struct TimelineFilter {
  std::string Request;
  std::string Endpoint;
  std::string Version; ///< start of a weight digest
};

/// @brief Member of a page or event as text.
/// @param Source an object
/// @param Key name of the member
/// @return its text, other values as JSON; empty when it is absent or null
std::string memberText(const nlohmann::json &Source, const char *Key);

/// @brief Table of the fleet, one line a daemon, with the progress of rollouts.
/// @param Pages status pages
/// @return the text
std::string statusTable(const std::vector<OperatorPage> &Pages);

/// @brief Events of all daemons in causal order.
/// @param Pages time line pages
/// @param Filter which events to keep
/// @return the events, each with its process
std::vector<nlohmann::json>
mergeTimeline(const std::vector<OperatorPage> &Pages,
              const TimelineFilter &Filter);

/// @brief One line of the time line.
/// @param Event a merged event
/// @return the text without a line end
std::string timelineLine(const nlohmann::json &Event);

/// @brief Why a request went where it did.
/// @param Events merged events of the request
/// @return the text
std::string explainRequest(const std::vector<nlohmann::json> &Events);

/// @brief Why an endpoint runs what it runs.
/// @param Page status page of its agent
/// @return the text
std::string explainEndpoint(const OperatorPage &Page);

} // namespace marigoldyard
