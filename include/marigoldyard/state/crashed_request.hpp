#pragma once

#include "marigoldyard/state/types.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace marigoldyard {

/// @brief Crash of a server that had a request. Its times are ages when the
/// record was made.
struct ReportedRequestCrash {
  std::string ServerRun; ///< see serverRunName()
  std::string Server;    ///< its address
  std::chrono::milliseconds SentAge{};
  std::chrono::milliseconds Age{};
};

/// @brief Record of one process on a request that was at crashed servers.
struct ReportedRequest {
  Digest Request;
  bool Blocked = false;
  std::uint32_t Trials = 0; ///< sends since it was blocked
  std::vector<ReportedRequestCrash> Crashes;
  std::vector<std::string> ClearedCrashes; ///< before it was completed
};

} // namespace marigoldyard
