#pragma once

#include "marigoldyard/coordination/detail/transfer_state.hpp"

namespace marigoldyard::detail {

/// @brief Checks whether a peer is usable as a source or owner of chunks.
/// @param Peer the peer
/// @param Now the time
/// @return false if it is lost, banned or not listed
bool isReachable(const PeerSlot &Peer, TimePoint Now);

/// @brief Computes the time to send data at the upload rate of the agent.
/// @param State the transfers
/// @param Bytes size in bytes
/// @return the time; zero if the rate is unlimited
Duration uploadTime(const TransferState &State, std::uint64_t Bytes);

/// @brief Computes the time to send data over a link between regions, excluding
/// the share that is reserved for live requests.
/// @param State the transfers
/// @param Bytes size in bytes
/// @return the time; zero if the rate is unlimited
Duration linkTime(const TransferState &State, std::uint64_t Bytes);

/// @brief Updates the membership of a chunk in the set of missing chunks: those
/// that are wanted, not held and not in flight.
/// @param State the transfers
/// @param Index the chunk
void refreshMissing(TransferState &State, ChunkIndex Index);

/// @brief Recomputes the members of the regions and the agent's neighbours
/// after a change of the member list.
/// @param State the transfers
/// @param Now the time
/// @complexity O(n log n) in the number of members
void assignRegions(TransferState &State, TimePoint Now);

/// @brief Checks whether a member of the local region sends a chunk to another
/// region.
/// @param State the transfers
/// @param Peer the member
/// @param Index the chunk
/// @return true if it is the exporter of a link over which the chunk is sent
/// @complexity linear in the number of regions
bool isExporter(const TransferState &State, PeerIndex Peer, ChunkIndex Index);

/// @brief Selects the peers that receive the local chunk maps.
/// @param State the transfers
/// @param Now the time
/// @complexity linear in the neighbours
void assignNeighbours(TransferState &State, TimePoint Now);

/// @brief Recomputes the source and the owners or importers of each wanted
/// chunk, and the chunks that the agent itself fetches, imports and exports.
/// @param State the transfers
/// @param Now the time
/// @complexity chunks times members of the local region
void assignChunks(TransferState &State, TimePoint Now);

/// @brief Makes the next planTransfer request the neighbours' maps of a
/// version. Until they have replied or MapWait has passed, nothing is fetched
/// from the store, because a peer may already hold it.
/// @param State the transfers
/// @param Version the version
/// @param Now the time
void scheduleMapRequest(TransferState &State, VersionSlot &Version,
                        TimePoint Now);

/// @brief Checks whether replies to map requests are outstanding.
/// @param State the transfers
/// @param Now the time
/// @return true while fetches from the store must wait
/// @complexity linear in the versions
bool isAwaitingMaps(const TransferState &State, TimePoint Now);

/// @brief Removes a peer from those whose map is awaited.
/// @param Version the version
/// @param Peer the peer
/// @complexity linear in the neighbours
void stopAwaitingPeer(VersionSlot &Version, PeerIndex Peer);

/// @brief Checks whether a reachable peer of the local region holds a chunk.
/// @param State the transfers
/// @param Index the chunk
/// @param Now the time
/// @return true if the chunk need not be fetched from the store
/// @complexity linear in the members of the local region
bool isHeldInRegion(const TransferState &State, ChunkIndex Index,
                    TimePoint Now);

/// @brief Makes the agent itself fetch or import a chunk.
/// @param State the transfers
/// @param Index the chunk
void assignToSelf(TransferState &State, ChunkIndex Index);

/// @brief Whether the preferred owner of a chunk obtains chunks, so that it is
/// not stuck. Its uploads may be too slow to answer requests all the same.
/// @param State the transfers
/// @param Index the chunk
/// @param Now the time
/// @return whether the owner's map recently showed a new chunk
bool isOwnerProgressing(const TransferState &State, ChunkIndex Index,
                        TimePoint Now);

/// @brief Returns a chunk that the agent took over from the preferred owner in
/// the local region, so that the agent requests it from the owner again.
/// @param State the transfers
/// @param Index chunk to fetch from the store; one that the agent owns stays
/// assigned, and so does one whose owner neither answers nor obtains chunks
/// @param Now the time
/// @return whether the chunk was returned
bool returnToOwner(TransferState &State, ChunkIndex Index, TimePoint Now);

/// @brief Removes the pending request for a chunk to a peer or the store, if
/// any. The chunk becomes missing again unless it is held.
/// @param State the transfers
/// @param Index the chunk
/// @param Peer the peer; NoPeer for the store
/// @return true if there was a pending request
/// @complexity linear in the pending requests, which are bounded
bool endRequest(TransferState &State, ChunkIndex Index, PeerIndex Peer);

/// @brief Ends all requests to a peer and its uploads, and does not use the
/// peer for a time that doubles with each consecutive loss.
/// @param State the transfers
/// @param Peer the peer
/// @param Now the time
/// @complexity linear in the pending requests, which are bounded
void markPeerLost(TransferState &State, PeerIndex Peer, TimePoint Now);

/// @brief Removes a chunk from the set of chunks that a peer holds.
/// @param State the transfers
/// @param Peer the peer
/// @param Index the chunk
void removeHolder(TransferState &State, PeerIndex Peer, ChunkIndex Index);

/// @brief Marks a chunk as not held and frees its slot if no known version
/// contains it and no request for it is pending.
/// @param State the transfers
/// @param Index the chunk
/// @complexity linear in the number of peers
void releaseChunk(TransferState &State, ChunkIndex Index);

} // namespace marigoldyard::detail
