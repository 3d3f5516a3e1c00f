#pragma once

#include "marigoldyard/coordination/transfer.hpp"
#include "marigoldyard/state/fleet.hpp"
#include "marigoldyard/state/time.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace marigoldyard {

/// @brief Timing and thresholds for loading versions on one server.
struct LoadPlanSettings {
  /// Time from the declaration of a version until no request may start on an
  /// older one.
  Duration OldVersionDeadline = std::chrono::seconds(8);
  /// Share of OldVersionDeadline, 0 to 1, in which the servers of a region load
  /// in turns. Afterwards each server loads as soon as it can, because a server
  /// that misses the deadline may serve nothing.
  double StaggeredShare = 0.85;
  /// Share of a region's servers, 0 to 1, that may be unavailable at once.
  double MaxUnavailableShare = 0.34;
  /// Least time between the announcement and the order. Gateways stop sending
  /// in this time, so that the server refuses fewer requests.
  Duration AnnounceLeadTime = std::chrono::milliseconds(40);
  /// Longest time in which gateways move running streams to other servers
  /// before the order is sent. The server loads when the remaining ones have
  /// moved or ended, and accepts nothing meanwhile.
  Duration DrainTimeout = std::chrono::milliseconds(500);
  /// Least share of a version's chunks, 0 to 1, held here or by peers for the
  /// version to be completed although a newer one is declared. From this share
  /// on it serves for longer than it delays the newer one.
  double MinHeldShare = 0.6;
  /// Share of OldVersionDeadline, 0 to 1, in which versions may be skipped.
  /// Afterwards a version is always completed; otherwise declarations in quick
  /// succession would leave servers without a version that they may serve.
  double SkipPeriodShare = 0.35;
  /// Longest wait for an order to take effect before it is sent again. It
  /// includes the time in which the server ends its running streams.
  Duration OrderTimeout = std::chrono::seconds(5);
};

/// @brief Stage of loading one version.
enum class LoadStage : std::uint8_t {
  Serving,   ///< the version is loaded
  Fetching,  ///< chunks are missing
  Staging,   ///< chunks are written to the server and read back
  Waiting,   ///< staged; waits for its turn among the region's servers
  Announced, ///< gateways are notified and move running streams
  Loading,   ///< the load order was sent; the server loads once it is idle
};

/// @brief Name of a stage for logs, in lower case.
std::string_view loadStageName(LoadStage StageToName);

/// @brief Observations from which the next stage is derived.
struct LoadConditions {
  bool Complete = false;        ///< all chunks are held and verified
  bool Staged = false;          ///< all chunks were read back from the server
  bool ReadsRecent = false;     ///< recently enough for an order
  bool LoadDoubtful = false;    ///< what was loaded is not known to be sound
  bool Loaded = false;          ///< the server reports the version as loaded
  bool Busy = false;            ///< the server is executing an order
  bool NoVersionServed = false; ///< the server serves no version of the model
  bool ServedOutOfUse = false;  ///< what it serves may start nothing any more
  bool HasTurn = false;         ///< it is the server's turn
  bool Idle = false;            ///< the server runs no requests
  bool StreamsCanMove = false;  ///< running streams can continue elsewhere
};

/// @brief State of loading one version on one server.
struct LoadState {
  LoadPlanSettings Settings;
  DeclaredVersion Target;
  TimePoint DeclaredAt{};
  LoadStage Stage = LoadStage::Fetching;
  /// Time since which the server lacks the newest version: the declaration of
  /// the first version that was skipped or is not loaded yet.
  TimePoint OutdatedSince{};
  TimePoint StageEnteredAt{}; ///< time at which Stage was entered
};

/// @brief Starts to load a version.
/// @param Now used as the time of the declaration
/// @return state in stage Fetching
LoadState makeLoad(LoadPlanSettings Settings, DeclaredVersion Target,
                   TimePoint Now);

/// @brief Moves to the next stage if the observations allow it. When a stage is
/// entered, the caller must write the chunks and read them back (Staging),
/// notify the gateways and repeat old reads (Announced) or send the order
/// (Loading).
/// @return true when the stage changed
bool advanceLoad(LoadState &State, const LoadConditions &Conditions,
                 TimePoint Now);

/// @brief Returns to Announced after an order that was not sent because the
/// reads of the staged chunks had become too old.
void returnToAnnounced(LoadState &State, TimePoint Now);

/// @brief Returns to Fetching, so that the chunks are staged again after a
/// refused order or corrupt staged chunks.
void restartStaging(LoadState &State, TimePoint Now);

/// @brief Whether to complete an incomplete version when the manifest of a
/// newer one is known. Both share the network links, so completing it delays
/// the newer version.
/// @param State state of the older version
/// @param Progress transfer of the older version's chunks
/// @param NewerDeclaredAt time at which the newer version was declared
bool shouldFinishLoad(const LoadState &State, const TransferProgress &Progress,
                      TimePoint NewerDeclaredAt);

/// @brief Number of servers of a region that may be unavailable at once.
/// @param ServerCount number of servers in the region
/// @return at least 1; all servers after the period in which they load in turns
std::uint32_t maxUnavailableServers(const LoadState &State,
                                    std::size_t ServerCount, TimePoint Now);

} // namespace marigoldyard
