#pragma once

#include "marigoldyard/coordination/detail/transfer_state.hpp"

namespace marigoldyard::detail {

/// @brief Whether a peer may be asked for chunks or relied on.
/// @param Peer the peer
/// @param Now the time
/// @return false when it is unlisted, lost or banned
bool reachable(const PeerSlot &Peer, TimePoint Now);

/// @brief Time that bytes take at the upload rate of the agent.
/// @param State the transfers
/// @param Bytes the bytes
/// @return the time; zero without a limit
Duration uploadTime(const TransferState &State, std::uint64_t Bytes);

/// @brief Time that bytes take on a link between regions beside live requests.
/// @param State the transfers
/// @param Bytes the bytes
/// @return the time; zero without a limit
Duration linkTime(const TransferState &State, std::uint64_t Bytes);

/// @brief Whether a chunk is wanted, not held and not in flight; updates the
/// set of missing chunks.
/// @param State the transfers
/// @param Index the chunk
void refreshMissing(TransferState &State, ChunkIndex Index);

/// @brief Computes the regions' members and the own neighbours after a change
/// of the member list.
/// @param State the transfers
/// @param Now the time
/// @complexity linear in the members times their logarithm
void assignRegions(TransferState &State, TimePoint Now);

/// @brief Whether a member of the own region sends a chunk to another region.
/// @param State the transfers
/// @param Peer the member
/// @param Index the chunk
/// @return true when it is the exporter of a link that the chunk takes
/// @complexity linear in the number of regions
bool exports(const TransferState &State, PeerIndex Peer, ChunkIndex Index);

/// @brief Chooses the peers that receive the own maps.
/// @param State the transfers
/// @param Now the time
/// @complexity linear in the neighbours
void assignNeighbours(TransferState &State, TimePoint Now);

/// @brief Computes for each wanted chunk its source, owners or importers, and
/// the agent's part in that.
/// @param State the transfers
/// @param Now the time
/// @complexity chunks times members of the own region
void assignChunks(TransferState &State, TimePoint Now);

/// @brief Makes the next decision ask the neighbours for their maps of a
/// version. Until they answered or MapWait has passed, nothing is drawn from
/// the store, because a peer may hold it already.
/// @param State the transfers
/// @param Version the version
/// @param Now the time
void startAsking(TransferState &State, VersionSlot &Version, TimePoint Now);

/// @brief Whether the answers of neighbours are awaited.
/// @param State the transfers
/// @param Now the time
/// @return true while drawing from the store is to wait
/// @complexity linear in the versions
bool awaitsMaps(const TransferState &State, TimePoint Now);

/// @brief Notes that a peer needs not be waited for any longer.
/// @param Version the version
/// @param Peer the peer
/// @complexity linear in the neighbours
void stopAwaiting(VersionSlot &Version, PeerIndex Peer);

/// @brief Whether a peer of the own region that can be asked holds a chunk.
/// @param State the transfers
/// @param Index the chunk
/// @param Now the time
/// @return true when the chunk need not come from the store
/// @complexity linear in the members of the own region
bool heldNearby(const TransferState &State, ChunkIndex Index, TimePoint Now);

/// @brief Makes the agent itself draw or import a chunk.
/// @param State the transfers
/// @param Index the chunk
void takeOver(TransferState &State, ChunkIndex Index);

/// @brief Ends a request or draw, if there is one. The chunk is missing again
/// unless it is held.
/// @param State the transfers
/// @param Index the chunk
/// @param Peer the peer; NoPeer for the store
/// @return whether there was one
/// @complexity linear in the requests in flight, which are bounded
bool endFlight(TransferState &State, ChunkIndex Index, PeerIndex Peer);

/// @brief Ends all requests to a peer and does not use it for a time that
/// doubles with each loss in a row.
/// @param State the transfers
/// @param Peer the peer
/// @param Now the time
/// @complexity linear in the requests in flight, which are bounded
void losePeer(TransferState &State, PeerIndex Peer, TimePoint Now);

/// @brief Forgets that a peer holds a chunk.
/// @param State the transfers
/// @param Peer the peer
/// @param Index the chunk
void forgetHolder(TransferState &State, PeerIndex Peer, ChunkIndex Index);

/// @brief Marks a chunk as not held and frees its slot when no known version
/// contains it.
/// @param State the transfers
/// @param Index the chunk
/// @complexity linear in the number of peers
void releaseChunk(TransferState &State, ChunkIndex Index);

} // namespace marigoldyard::detail
