#pragma once

#include "marigoldyard/coordination/staged_chunks.hpp"
#include "marigoldyard/coordination/version_bound.hpp"
#include "marigoldyard/state/fleet.hpp"
#include "marigoldyard/state/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace marigoldyard {

/// @brief Chunks that a server needs in order to load some layers. A chunk that
/// lies across two layers belongs to both.
/// @param Range layers to load
/// @param Layers number of layers of the model, at least 1
/// @param Chunks number of chunks of the version
ChunkRange chunksOfLayers(const LayerRange &Range, std::uint32_t Layers,
                          std::size_t Chunks);

/// @brief Whether a server that reports some layers has the whole model.
/// @param Reported what it reports; empty if it reports none
/// @param Layers number of layers of the model; 0 if unknown
bool isWholeModel(const std::optional<LayerRange> &Reported,
                  std::uint32_t Layers);

/// @brief Chooses a layer whose chunks are all held. One is enough to close a
/// server, and is staged and read back fastest.
/// @param Held whether each chunk of the version is held
/// @param Layers number of layers of the model; 0 if unknown
/// @return the first such layer; empty if there is none
/// @complexity linear in the number of chunks
std::optional<LayerRange> firstHeldLayer(const std::vector<bool> &Held,
                                         std::uint32_t Layers);

/// @brief Evidence on the declarations that a stager has seen, by version. It
/// outlives the transfer of a version that is skipped for a newer one.
using DeclarationHistory = std::map<DeclaredVersion, DeclarationEvidence>;

/// @brief Records a declaration. The oldest ones are dropped.
void recordDeclaration(DeclarationHistory &History,
                       const DeclaredVersion &Version, TimePoint Now);

/// @brief Records a lower bound of the acknowledgement, which another process
/// reported. Later bounds replace earlier ones.
/// @param Version an unknown one is recorded if a newer one hid it; otherwise
/// it has no effect
void recordAcknowledgedAfter(DeclarationHistory &History,
                             const DeclaredVersion &Version, TimePoint Bound,
                             TimePoint Now);

/// @brief Time from which a server may start no requests on its version, and is
/// closed by a load of any newer one.
///
/// The process that orders the loads runs on the server's machine, so that no
/// link delays the order, as it may delay requests and their withdrawal.
/// @param Settings times of the bound
/// @param Model model that the server has loaded
/// @param Version its version
/// @return the earliest time of all newer versions; empty if there is none.
/// Without a report of the age of a declaration it counts from when the
/// declaration was learned, so that a server is not closed early.
std::optional<TimePoint> closingTime(const VersionBoundSettings &Settings,
                                     const DeclarationHistory &History,
                                     std::string_view Model,
                                     std::uint64_t Version);

} // namespace marigoldyard
