#pragma once

#include "marigoldyard/coordination/transfer.hpp"
#include "marigoldyard/state/fleet.hpp"
#include "marigoldyard/state/time.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace marigoldyard {

/// @brief Times of the loading of versions on one server.
struct LoadPlanSettings {
  /// Time from a declaration until no request may begin on an older version.
  Duration VersionLimit = std::chrono::seconds(8);
  /// Part of the limit in which servers load in turns; after it each loads as
  /// soon as it can, because a server that is late serves nothing.
  double TurnShare = 0.85;
  /// Part of a region's servers that may be out of service at once.
  double UnavailableShare = 0.34;
  /// Time between the announcement and the order, in which gateways stop
  /// sending, so that fewer requests are refused by the server.
  Duration AnnounceLead = std::chrono::milliseconds(40);
  /// Time in which many of the running streams end; those that are left
  /// continue at other servers, at the cost of reading their prompts once more.
  Duration DrainLimit = std::chrono::milliseconds(500);
  /// Share of a version's pieces held here or by peers from which it is
  /// completed although a newer one is declared: it then serves for longer than
  /// the newer one is delayed.
  double FinishShare = 0.6;
  /// Part of the limit after which a version is completed in any case:
  /// otherwise declarations in quick succession would leave servers with none
  /// that may serve.
  double SkipShare = 0.35;
  /// Longest wait for an order to take effect before it is given again. A
  /// server ends its running streams first.
  Duration OrderLimit = std::chrono::seconds(5);
};

/// @brief Stage of the loading of one version.
enum class LoadStage : std::uint8_t {
  Serving,   ///< nothing to load
  Fetching,  ///< pieces are missing
  Staging,   ///< pieces are written to the server and read back
  Waiting,   ///< staged; others have their turn
  Announced, ///< gateways are told; running streams end
  Loading,   ///< the order was given
};

/// @brief Name of a stage for logs.
/// @param Value the stage
/// @return a lower-case name
std::string_view loadStageName(LoadStage Value);

/// @brief What is known when the next step is decided.
struct LoadFacts {
  bool Complete = false;     ///< all pieces are held and verified
  bool Staged = false;       ///< all pieces were read back from the server
  bool Loaded = false;       ///< the server reports the version
  bool Busy = false;         ///< the server carries out an order
  bool Empty = false;        ///< the server serves no version of the model
  bool MayBeUnready = false; ///< it is the server's turn
  bool Idle = false;         ///< the server runs no request
  bool MayCut = false;       ///< cut streams can continue at other servers
};

/// @brief Loading of one version on one server.
struct LoadState {
  LoadPlanSettings Settings;
  DeclaredVersion Target;
  TimePoint DeclaredAt{};
  LoadStage Stage = LoadStage::Fetching;
  /// Since when servers lack the newest version: the first declaration of
  /// those that were skipped or are not loaded yet.
  TimePoint NewestSince{};
  TimePoint Since{}; ///< of the stage
  /// Valid at Loading: the order ends what still runs; otherwise the server
  /// waits for it.
  bool CutRunning = false;
};

/// @brief Begins the loading of a version.
/// @param Settings the times
/// @param Target the version
/// @param Now the time
LoadState beginLoad(LoadPlanSettings Settings, DeclaredVersion Target,
                    TimePoint Now);

/// @brief Moves on to the stage that the facts call for. On entry to Staging
/// the pieces are to be written and read back, on entry to Announced the
/// gateways are to be told, on entry to Loading the order is to be given.
/// @param State the loading
/// @param Facts what is known
/// @param Now the time
/// @return true when the stage changed
bool stepLoad(LoadState &State, const LoadFacts &Facts, TimePoint Now);

/// @brief An order was refused or staged pieces were spoilt: they are staged
/// again.
/// @param State the loading
/// @param Now the time
void restage(LoadState &State, TimePoint Now);

/// @brief Whether an incomplete version is worth completing when the manifest
/// of a newer one is known. Both share the links, so that the newer one would
/// come later.
/// @param State the loading of the older version
/// @param Progress of its pieces
/// @param NewerDeclaredAt when the newer version was declared
bool worthFinishing(const LoadState &State, const TransferProgress &Progress,
                    TimePoint NewerDeclaredAt);

/// @brief How many servers of a region may be out of service at once.
/// @param State the loading
/// @param Servers servers of the region
/// @param Now the time
std::uint32_t unavailableLimit(const LoadState &State, std::size_t Servers,
                               TimePoint Now);

} // namespace marigoldyard
