#pragma once

#include "marigoldyard/coordination/crash_suspects.hpp"
#include "marigoldyard/state/crashed_request.hpp"
#include "marigoldyard/state/time.hpp"
#include "marigoldyard/state/types.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace marigoldyard {

/// @brief Parameters of the search for requests that crash servers.
struct CrashingRequestSettings {
  /// Crashed servers that had a request after which it is blocked.
  std::size_t CrashesToBlock = 3;
  /// Crashes among these that must have come one after the other: the request
  /// was sent to the later server after the earlier one had crashed. A common
  /// cause, such as a power failure, crashes all servers that have copies of a
  /// request.
  std::size_t SuccessiveCrashesToBlock = 2;
  /// Times after the last crash or trial at which a blocked request is sent
  /// once more by one process, in case another cause ended the servers.
  std::vector<Duration> TrialDelays = {std::chrono::minutes(1),
                                       std::chrono::minutes(30)};
  /// Reports on one server within this time are about the same crash.
  Duration SameCrashTime = std::chrono::milliseconds(1000);
  /// Requests that are remembered. Those with the fewest crashes are dropped
  /// first.
  std::size_t MaxRequests = 1024;
  /// Crashes that are remembered of one request.
  std::size_t MaxCrashes = 16;
  /// Crashes that are remembered of one request because they do not count.
  std::size_t MaxClearedCrashes = 256;
  /// How long a request that was completed is remembered, so that reports of
  /// other processes on its earlier crashes have no effect.
  Duration CompletedTime = std::chrono::minutes(10);
};

/// @brief Crash of a server that had a request.
struct RequestCrash {
  std::string Server; ///< its address
  TimePoint SentAt{}; ///< when the request was sent to the server
  TimePoint At{};
};

/// @brief What is known of a request that was at crashed servers.
struct CrashedRequest {
  /// By server and its start, which no two crashes share.
  std::map<std::string, RequestCrash> Crashes;
  /// Crashes before the request was completed. They do not count.
  std::set<std::string> ClearedCrashes;
  bool Blocked = false;
  std::uint32_t Trials = 0; ///< sends since it was blocked, by all processes
  TimePoint TriedAt{};
  TimePoint ChangedAt{};
  bool Unreported = false; ///< other processes were not told of a change here
};

/// @brief Whole requests that may crash each server that runs them.
///
/// A request is named by a digest of what stays the same when it comes again. A
/// blocked one stays blocked until a copy of it is completed, apart from a few
/// trials, or the process ends. Records of several processes are merged in any
/// order, and any number of times, with the same result.
struct CrashingRequests {
  CrashingRequestSettings Settings;
  std::map<Digest, CrashedRequest> Requests;
};

/// @brief Name of one run of a server in the record.
/// @param Server id of the server
/// @param StartedAtMs time of its start
std::string serverRunName(const std::string &Server, std::int64_t StartedAtMs);

/// @brief Records that a server crashed that had a request.
/// @param Request digest of the request
/// @param ServerRun name of the run that ended, see serverRunName()
/// @param Crash address of the server, when the request was sent to it, and
/// when it was seen to have crashed
/// @return whether the request is blocked now and was not before
/// @complexity linear in the number of requests
bool recordRequestCrash(CrashingRequests &State, const Digest &Request,
                        const std::string &ServerRun,
                        const RequestCrash &Crash);

/// @brief Records that a server completed a request, which shows that it does
/// not crash servers.
/// @param Request digest of the request
/// @return whether there were crashes, which do not count any more
bool recordRequestCompleted(CrashingRequests &State, const Digest &Request,
                            TimePoint Now);

/// @brief Whether a request that was at a crashed server may be sent again
/// without being asked for: it was at no other crash.
/// @param Request digest of the request
bool mayRepeatAfterCrash(const CrashingRequests &State, const Digest &Request);

/// @brief Whether a request is not sent to servers any more.
/// @param Request digest of the request
/// @complexity logarithmic in the number of requests
bool isRequestBlocked(const CrashingRequests &State, const Digest &Request);

/// @brief Whether a blocked request may be sent once more, by one process of
/// all.
/// @param Request digest of the request
bool mayTryBlocked(const CrashingRequests &State, const Digest &Request,
                   TimePoint Now);

/// @brief Records that a blocked request is sent once more.
/// @param Request digest of the request
void recordTrial(CrashingRequests &State, const Digest &Request, TimePoint Now);

/// @brief Whether whole requests explain crashes, so that these say nothing of
/// what several requests share: blocked requests were at them, and a single one
/// at all the others.
/// @param Crashes addresses of servers, and times at which they crashed
/// @complexity product of the number of requests and that of crashes
bool areExplainedByRequests(const CrashingRequests &State,
                            const std::vector<ServerCrash> &Crashes);

/// @brief Merges the record of another process.
/// @param Reported its record on one request
/// @param Now time at which the record arrived
/// @return whether the request is blocked now and was not before
/// @complexity linear in the number of requests
bool mergeReportedRequest(CrashingRequests &State,
                          const ReportedRequest &Reported, TimePoint Now);

/// @brief Returns the records that have changed since the last call.
std::vector<ReportedRequest> takeChangedRequests(CrashingRequests &State,
                                                 TimePoint Now);

/// @brief Returns all records.
std::vector<ReportedRequest> allRequests(const CrashingRequests &State,
                                         TimePoint Now);

/// @brief Forgets requests that were completed long ago.
/// @complexity linear in the number of requests
void forgetCompletedRequests(CrashingRequests &State, TimePoint Now);

/// @brief Number that two processes have in common if they know the same
/// crashes that count.
/// @return 0 when there are none
/// @complexity linear in the number of crashes
std::uint64_t contentHash(const CrashingRequests &State);

} // namespace marigoldyard
