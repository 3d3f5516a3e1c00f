#pragma once

#include "marigoldyard/state/time.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace marigoldyard {

/// @brief Parameters of the search for prompt parts that crash servers.
struct CrashSuspectSettings {
  /// Separate crashes after which a part is blocked that never began.
  std::size_t CrashesToBlock = 2;
  /// The same for a part with which requests began recently.
  std::size_t CrashesToBlockKnown = 3;
  /// Crashes after which several parts that are equally suspect are blocked
  /// together.
  std::size_t CrashesToBlockTied = 5;
  /// Servers that crash within this time count as one crash, because a common
  /// cause such as a power failure takes several servers at once.
  Duration CommonCauseTime = std::chrono::milliseconds(250);
  /// Reports on one server within this time are about the same crash.
  Duration SameCrashTime = std::chrono::milliseconds(1000);
  /// Time for a request with a suspect part to begin after the last crash that
  /// is needed, before the part is blocked.
  Duration ClearanceTime = std::chrono::milliseconds(400);
  /// Crashes longer ago do not count.
  Duration CrashMemory = std::chrono::seconds(60);
  /// How long a part is blocked the first time; it doubles up to MaxBlockTime
  /// when the part crashes a server again afterwards.
  Duration BlockTime = std::chrono::minutes(2);
  Duration MaxBlockTime = std::chrono::minutes(30);
  std::size_t MaxSuspects = 512;
  /// Parts with which requests began; two sets of this size are kept.
  std::size_t MaxBegunParts = 4096;
};

/// @brief Crash of a server at which a request had not begun.
struct ServerCrash {
  std::string Server;
  TimePoint At{};
};

/// @brief Whether two reports are about one crash.
/// @param SameCrashTime longest time between them
bool isSameCrash(const ServerCrash &Left, const ServerCrash &Right,
                 Duration SameCrashTime);

/// @brief A prompt part that was in unbegun requests of crashed servers.
struct SuspectPart {
  std::vector<ServerCrash> Crashes; ///< in order of time
  bool BegunBefore = false;         ///< requests with it began recently
  std::optional<TimePoint> BlockedUntil;
  std::uint32_t TimesBlocked = 0;
};

/// @brief Prompt parts that may crash servers.
///
/// A server that crashes on a part does so before it writes an answer, so
/// requests with such a part never begin. A request that begins clears all of
/// its parts.
struct CrashSuspects {
  CrashSuspectSettings Settings;
  std::unordered_map<std::string, SuspectPart> Suspects; ///< by part id
  std::unordered_set<std::string> BegunParts;
  std::unordered_set<std::string> OlderBegunParts;
};

/// @brief Records that a server began to answer a request.
/// @param Parts ids of the shared parts of the prompt
/// @return parts that were suspect and are cleared
std::vector<std::string>
recordRequestBegun(CrashSuspects &State, const std::vector<std::string> &Parts);

/// @brief Clears a part with which a request began at another process.
/// @param Part id of the part; an unknown one has no effect
/// @return whether the part was suspect
bool clearPart(CrashSuspects &State, const std::string &Part);

/// @brief Records the crash of a server at which a request had not begun. A
/// crash that a blocked part explains does not count against other parts.
/// @param Server address of the server
/// @param Parts ids of the shared parts of the request's prompt
/// @param Now time of the crash
/// @complexity linear in the number of suspects
void recordServerCrash(CrashSuspects &State, const std::string &Server,
                       const std::vector<std::string> &Parts, TimePoint Now);

/// @brief Blocks the parts for which the evidence suffices.
/// @param IsExplained whether something else explains crashes, such as a whole
/// request that was at all of them; they do not block a part for the first time
/// @return ids of the parts that are blocked now and were not before
/// @complexity linear in the number of suspects for each blocked part
std::vector<std::string>
blockSuspects(CrashSuspects &State, TimePoint Now,
              const std::function<bool(const std::vector<ServerCrash> &)>
                  &IsExplained = {});

/// @brief Blocks a part that another process has blocked.
/// @param Part id of the part
/// @return whether it was not blocked before
bool blockPart(CrashSuspects &State, const std::string &Part, TimePoint Now);

/// @brief A blocked part of a prompt.
struct BlockedPart {
  std::string Part;
  Duration TimeLeft{}; ///< until requests with it are sent again
  std::size_t Crashes = 0;
};

/// @brief Finds a blocked part in a prompt.
/// @param Parts ids of the shared parts of the prompt
std::optional<BlockedPart>
findBlockedPart(const CrashSuspects &State,
                const std::vector<std::string> &Parts, TimePoint Now);

/// @brief Whether a part of a prompt was at a crash and not begun since.
/// @param Parts ids of the shared parts of the prompt
bool isSuspect(const CrashSuspects &State,
               const std::vector<std::string> &Parts);

/// @brief Whether a request that was at a crashed server may be sent again:
/// none of its parts was at several crashes without a success.
/// @param Parts ids of the shared parts of the prompt
bool mayRetryAfterCrash(const CrashSuspects &State,
                        const std::vector<std::string> &Parts);

/// @return ids of all blocked parts
std::vector<std::string> blockedParts(const CrashSuspects &State,
                                      TimePoint Now);

} // namespace marigoldyard
