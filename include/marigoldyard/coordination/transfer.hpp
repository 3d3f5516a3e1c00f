#pragma once

#include "marigoldyard/coordination/detail/transfer_state.hpp"
#include "marigoldyard/state/error.hpp"
#include "marigoldyard/state/manifest.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace marigoldyard {

/// @brief Another VM that needs the same weights.
struct TransferPeer {
  std::string Name;
  std::string Region;
  bool Leaving = false; ///< uploads held chunks, but owns and imports none

  friend bool operator==(const TransferPeer &, const TransferPeer &) = default;
};

/// @brief Fetch a chunk from the store. The daemon reports the result with
/// chunkReceived or storeFetchFailed. A descriptor is fetched like a chunk
/// whose digest is the version's digest.
struct FetchFromStore {
  Digest Chunk;
  bool IsDescriptor = false; ///< GET /versions/ instead of GET /chunks/
};

/// @brief Send a ChunkRequest to a peer.
struct RequestFromPeer {
  Digest Chunk;
  std::string Peer;
};

/// @brief Send a held chunk to a peer that requested it.
struct SendChunk {
  Digest Chunk;
  std::string Peer;
};

/// @brief Send a ChunkRefused to a peer. A RetryAfter of zero means
/// that the sender does not expect to obtain the chunk.
struct RefuseChunk {
  Digest Chunk;
  std::string Peer;
  Duration RetryAfter{};
};

/// @brief Send the local ChunkMap of a version to peers.
struct AnnounceMap {
  Digest Version;
  std::vector<bool> Held; ///< empty until the descriptor is known
  std::vector<std::string> Peers;
  bool HasDescriptor = true;  ///< false: nothing of the version is held
  bool RequestsReply = false; ///< receivers must reply with their chunk maps
};

/// @brief Release a held chunk that no wanted version contains.
struct DropChunk {
  Digest Chunk;
};

/// @brief Action that the daemon must carry out for a transfer.
using TransferAction = std::variant<FetchFromStore, RequestFromPeer, SendChunk,
                                    RefuseChunk, AnnounceMap, DropChunk>;

/// @brief Settings for weights that must reach all VMs within seconds, over
/// links of VMs that are narrower than the links between regions. Stalls are
/// detected within a fraction of that time.
/// @return settings without names and rates
TransferSettings makeNarrowLinkSettings();

/// @brief Creates the transfer state of an agent without peers or versions.
/// @param Settings names, rates and limits
/// @return state that contains only the agent itself
TransferState makeTransfer(TransferSettings Settings);

/// @brief Replaces the list of VMs that need the same weights.
/// @param State the transfers
/// @param Peers new list; may contain the agent itself
/// @param Now the time
/// @param Complete false while the VM list has not been read yet, so that Peers
/// may be incomplete
/// @complexity chunks times members of the own region
void setTransferPeers(TransferState &State,
                      const std::vector<TransferPeer> &Peers, TimePoint Now,
                      bool Complete = true);

/// @brief Replaces the set of wanted versions. Held chunks are kept and
/// reused by every version that contains them.
/// @param State the transfers
/// @param Versions digests of the descriptors; digests beyond
/// TransferSettings::MaxVersions are ignored
/// @param Now the time
/// @complexity linear in the chunks of the versions that change
void setWantedVersions(TransferState &State,
                       const std::vector<Digest> &Versions, TimePoint Now);

/// @brief Adds the verified descriptor of a wanted version.
/// @param State the transfers
/// @param Descriptor the descriptor
/// @param Now the time
/// @return an error if the version is not wanted or exceeds the limits
/// @complexity chunks times members of the own region
std::optional<Error> descriptorReceived(TransferState &State,
                                        const VersionDescriptor &Descriptor,
                                        TimePoint Now);

/// @brief Handles a ChunkMap from a peer.
/// @param State the transfers
/// @param Peer sender
/// @param Version digest of the version
/// @param Held one bit per chunk in descriptor order; empty if the sender holds
/// only the descriptor
/// @param Now the time
/// @return an error if the length of the map does not match the descriptor
/// @complexity linear in the number of chunks
std::optional<Error> chunkMapReceived(TransferState &State,
                                      const std::string &Peer,
                                      const Digest &Version,
                                      const std::vector<bool> &Held,
                                      TimePoint Now);

/// @brief Handles a ChunkMap from a peer that does not hold the descriptor.
/// @param State the transfers
/// @param Peer sender
/// @param Version digest of the version
/// @complexity linear in the number of chunks
void emptyMapReceived(TransferState &State, const std::string &Peer,
                      const Digest &Version);

/// @brief Queues a peer's request for the local chunk map of a version.
/// planTransfer answers it.
/// @param State the transfers
/// @param Peer the peer
/// @param Version digest of the version
/// @complexity linear in the queued map requests, which are bounded
void mapRequested(TransferState &State, const std::string &Peer,
                  const Digest &Version);

/// @brief Handles received chunk bytes that were compared with their digest.
/// @param State the transfers
/// @param Chunk requested digest
/// @param From sender; empty for the store
/// @param Verified whether the bytes match
/// @param Now the time
/// @return true if the daemon must keep the bytes; false if they are corrupt,
/// unwanted or already held
/// @complexity constant on average
bool chunkReceived(TransferState &State, const Digest &Chunk,
                   const std::string &From, bool Verified, TimePoint Now);

/// @brief Handles a ChunkRefused from a peer.
/// @param State the transfers
/// @param Chunk the chunk
/// @param Peer sender
/// @param RetryAfter zero if the sender does not expect to obtain the chunk
/// @param Now the time
/// @complexity linear in the pending requests, which are bounded
void chunkRefused(TransferState &State, const Digest &Chunk,
                  const std::string &Peer, Duration RetryAfter, TimePoint Now);

/// @brief Ends a fetch that the store refused, that failed or that stalled, and
/// backs off.
/// @param State the transfers
/// @param Chunk the chunk
/// @param RetryAfter delay requested by the store; zero if it gave none
/// @param Now the time
/// @complexity linear in the pending requests, which are bounded
void storeFetchFailed(TransferState &State, const Digest &Chunk,
                      Duration RetryAfter, TimePoint Now);

/// @brief Extends the deadline of a fetch because bytes of the chunk arrived
/// from the store.
/// @param State the transfers
/// @param Chunk the chunk
/// @param Now the time
/// @complexity linear in the pending requests, which are bounded
void storeFetchProgressed(TransferState &State, const Digest &Chunk,
                          TimePoint Now);

/// @brief Handles the loss of a peer: its connection closed, or membership
/// declared it dead.
/// @param State the transfers
/// @param Peer the peer
/// @param Now the time
/// @complexity linear in the pending requests, which are bounded
void transferPeerLost(TransferState &State, const std::string &Peer,
                      TimePoint Now);

/// @brief Queues a peer's request for a chunk. planTransfer answers it.
/// @param State the transfers
/// @param Peer the peer
/// @param Chunk the chunk
/// @param Now the time
/// @complexity linear in the queued uploads, which are bounded
void uploadRequested(TransferState &State, const std::string &Peer,
                     const Digest &Chunk, TimePoint Now);

/// @brief Decides which chunks to send, request and drop.
/// @param State the transfers
/// @param Now the time
/// @param Source random generator for the choice among peers
/// @return actions in the order in which they must be carried out
/// @complexity bounded by the limits of pending requests and neighbours; each
/// step makes at most one pass over a bit set of the chunks
std::vector<TransferAction> planTransfer(TransferState &State, TimePoint Now,
                                         Random &Source);

/// @brief Returns the time of the next call of planTransfer if no event causes
/// an earlier one.
/// @param State the transfers
/// @param Now the time
/// @return a time not before Now
TimePoint nextTransferPlanTime(const TransferState &State, TimePoint Now);

/// @brief Checks whether all chunks of a version are held and verified.
/// @param State the transfers
/// @param Version digest of the version
/// @return true if complete; false if the descriptor is not known
/// @complexity constant on average
bool versionComplete(const TransferState &State, const Digest &Version);

/// @brief Returns the members that fetch from the store.
/// @param State the transfers
/// @return their names; empty while no member of the store's region is known
/// @complexity linear in the members of the store's region
std::vector<std::string> storeReaders(const TransferState &State);

/// @brief Download progress of a version.
struct TransferProgress {
  std::size_t Held = 0;   ///< chunks held and verified
  std::size_t Chunks = 0; ///< in the version; 0 until its descriptor is known
  /// Chunks held by this agent or by a peer, according to its map.
  std::size_t HeldOrAvailable = 0;
};

/// @brief Returns the download progress of a version.
/// @param State the transfers
/// @param Version digest of the version
/// @complexity linear in the chunks
TransferProgress transferProgress(const TransferState &State,
                                  const Digest &Version);

/// @brief Returns the chunks of a version in descriptor order.
/// @param State the transfers
/// @param Version digest of the version
/// @return the digests; empty if the descriptor is not known
/// @complexity linear in the number of chunks
std::vector<Digest> versionChunks(const TransferState &State,
                                  const Digest &Version);

/// @brief Returns held chunks and descriptors that no wanted version contains.
/// They may be dropped at any time. planTransfer drops them only when the
/// buffer needs the space, so that a rollback can reuse them.
/// @param State the transfers
/// @return the digests
/// @complexity linear in the number of chunks
std::vector<Digest> droppableChunks(const TransferState &State);

} // namespace marigoldyard
