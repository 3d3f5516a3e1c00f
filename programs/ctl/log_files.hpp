#pragma once

#include "programs/ctl/fleet_client.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace marigoldyard {

/// @brief Collected logs of several processes.
struct CollectedLogs {
  /// One page a process, as its operator port would give it.
  std::vector<OperatorPage> Pages;
  std::size_t Skipped = 0; ///< lines that are no log lines
};

/// @brief Reads collected logs: JSON lines, each after an optional prefix such
/// as the name of a machine.
/// @param Paths files with the lines of one process or of many
/// @return the pages in the order in which the processes appear, or an error
/// with the path of a file that cannot be read
Expected<CollectedLogs> readLogs(const std::vector<std::string> &Paths);

/// @brief Why a request went where it did: its own events, then what its
/// processes learned shortly before, and what others say of its servers.
/// @param Logs the collected logs
/// @param Request request id
/// @return the text; empty when no line has the id
std::string explainFromLogs(const CollectedLogs &Logs,
                            const std::string &Request);

} // namespace marigoldyard
