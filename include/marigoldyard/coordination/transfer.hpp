#pragma once

#include "marigoldyard/coordination/detail/transfer_state.hpp"
#include "marigoldyard/state/error.hpp"
#include "marigoldyard/state/manifest.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace marigoldyard {

/// @brief A VM that wants the same weights.
struct TransferPeer {
  std::string Name;
  std::string Region;
  bool Leaving = false; ///< serves what it has, but owns and imports nothing

  friend bool operator==(const TransferPeer &, const TransferPeer &) = default;
};

/// @brief Draw a chunk from the store; answered by chunkReceived or
/// storeFailed. A descriptor is drawn like a chunk whose digest is the
/// version's digest.
struct FetchFromStore {
  Digest Chunk;
  bool IsDescriptor = false; ///< GET /versions/ instead of GET /chunks/
};

/// @brief Send a ChunkRequest to a peer.
struct RequestFromPeer {
  Digest Chunk;
  std::string Peer;
};

/// @brief Send a held chunk to a peer that asked for it.
struct SendChunk {
  Digest Chunk;
  std::string Peer;
};

/// @brief Send a ChunkRefused to a peer. RetryAfter zero means that the sender
/// does not expect to hold the chunk.
struct RefuseChunk {
  Digest Chunk;
  std::string Peer;
  Duration RetryAfter{};
};

/// @brief Send the own ChunkMap of a version to peers.
struct AnnounceMap {
  Digest Version;
  std::vector<bool> Held; ///< empty until the descriptor is known
  std::vector<std::string> Peers;
  bool HasDescriptor = true; ///< false: nothing of the version is held
  bool Asks = false;         ///< the receivers are to answer with their maps
};

/// @brief Release a held chunk that no wanted version contains.
struct DropChunk {
  Digest Chunk;
};

/// @brief What the daemon is to do for the transfer.
using TransferAction = std::variant<FetchFromStore, RequestFromPeer, SendChunk,
                                    RefuseChunk, AnnounceMap, DropChunk>;

/// @brief Creates the state of an agent's transfers.
/// @param Settings names, rates and limits
/// @return the state
TransferState makeTransfer(TransferSettings Settings);

/// @brief Replaces the list of VMs that want the same weights.
/// @param State the transfers
/// @param Peers the list; the agent itself may be in it
/// @param Now the time
/// @param Whole false while the VM list has not been read, so that Peers may
/// lack members
/// @complexity chunks times members of the own region
void transferMembers(TransferState &State,
                     const std::vector<TransferPeer> &Peers, TimePoint Now,
                     bool Whole = true);

/// @brief Replaces the set of wanted versions. Chunks already held stay and are
/// reused by every version that contains them.
/// @param State the transfers
/// @param Versions digests of the descriptors; those beyond the limit of
/// versions are ignored
/// @param Now the time
/// @complexity linear in the chunks of the versions that change
void wantVersions(TransferState &State, const std::vector<Digest> &Versions,
                  TimePoint Now);

/// @brief A verified descriptor of a wanted version is known.
/// @param State the transfers
/// @param Descriptor the descriptor
/// @param Now the time
/// @return an error when it is unwanted or exceeds the limits
/// @complexity chunks times members of the own region
std::optional<Error> descriptorKnown(TransferState &State,
                                     const VersionDescriptor &Descriptor,
                                     TimePoint Now);

/// @brief A ChunkMap arrived.
/// @param State the transfers
/// @param Peer sender
/// @param Version digest of the version
/// @param Held one bit a chunk in descriptor order; empty when the sender holds
/// only the descriptor
/// @param Now the time
/// @return an error when the map does not fit the descriptor
/// @complexity linear in the number of chunks
std::optional<Error> chunkMapReceived(TransferState &State,
                                      const std::string &Peer,
                                      const Digest &Version,
                                      const std::vector<bool> &Held,
                                      TimePoint Now);

/// @brief A ChunkMap arrived whose sender holds not even the descriptor.
/// @param State the transfers
/// @param Peer sender
/// @param Version digest of the version
/// @complexity linear in the number of chunks
void peerHoldsNothing(TransferState &State, const std::string &Peer,
                      const Digest &Version);

/// @brief A peer asks for the own map of a version. planTransfer answers it.
/// @param State the transfers
/// @param Peer the peer
/// @param Version digest of the version
/// @complexity linear in the questions, which are bounded
void mapAsked(TransferState &State, const std::string &Peer,
              const Digest &Version);

/// @brief Chunk bytes arrived and were compared with their digest.
/// @param State the transfers
/// @param Chunk digest that was asked for
/// @param From sender; empty for the store
/// @param Verified whether the bytes match
/// @param Now the time
/// @return true when the daemon is to keep the bytes; false when they are
/// corrupt, unwanted or already held
/// @complexity constant on average
bool chunkReceived(TransferState &State, const Digest &Chunk,
                   const std::string &From, bool Verified, TimePoint Now);

/// @brief A ChunkRefused arrived.
/// @param State the transfers
/// @param Chunk the chunk
/// @param Peer sender
/// @param RetryAfter zero when the sender does not expect to hold the chunk
/// @param Now the time
/// @complexity linear in the requests in flight, which are bounded
void chunkRefused(TransferState &State, const Digest &Chunk,
                  const std::string &Peer, Duration RetryAfter, TimePoint Now);

/// @brief The store refused, failed or stalled.
/// @param State the transfers
/// @param Chunk the chunk
/// @param RetryAfter time the store asked for; zero when it named none
/// @param Now the time
/// @complexity linear in the requests in flight, which are bounded
void storeFailed(TransferState &State, const Digest &Chunk, Duration RetryAfter,
                 TimePoint Now);

/// @brief Bytes of a chunk arrived from the store, so the fetch is not stalled.
/// @param State the transfers
/// @param Chunk the chunk
/// @param Now the time
/// @complexity linear in the requests in flight, which are bounded
void storeProgressed(TransferState &State, const Digest &Chunk, TimePoint Now);

/// @brief The connection to a peer closed or membership declares it dead.
/// @param State the transfers
/// @param Peer the peer
/// @param Now the time
/// @complexity linear in the requests in flight, which are bounded
void transferPeerLost(TransferState &State, const std::string &Peer,
                      TimePoint Now);

/// @brief A peer asks for a chunk. planTransfer answers it.
/// @param State the transfers
/// @param Peer the peer
/// @param Chunk the chunk
/// @param Now the time
/// @complexity linear in the queued uploads, which are bounded
void uploadAsked(TransferState &State, const std::string &Peer,
                 const Digest &Chunk, TimePoint Now);

/// @brief Decides what to send, ask for and drop.
/// @param State the transfers
/// @param Now the time
/// @param Source randomness for the choice among peers
/// @return the actions
/// @complexity bounded by the limits of requests in flight and neighbours, each
/// step at most one pass over a bit set of the chunks
std::vector<TransferAction> planTransfer(TransferState &State, TimePoint Now,
                                         Random &Source);

/// @brief Time at which planTransfer is to be called if nothing happens before.
/// @param State the transfers
/// @param Now the time
/// @return the time
TimePoint nextTransferPlan(const TransferState &State, TimePoint Now);

/// @brief Whether all chunks of a version are held and verified.
/// @param State the transfers
/// @param Version digest of the version
/// @return true when complete
/// @complexity constant on average
bool versionComplete(const TransferState &State, const Digest &Version);

/// @brief Members that draw from the store.
/// @param State the transfers
/// @return their names; empty while no member of the store's region is known
/// @complexity linear in the members of the store's region
std::vector<std::string> storeReaders(const TransferState &State);

/// @brief How far a version is.
struct TransferProgress {
  std::size_t Held = 0;   ///< chunks held and verified
  std::size_t Chunks = 0; ///< of the version; 0 while it isn't described
  std::size_t Near = 0;   ///< chunks held here or at a peer whose map is known
};

/// @brief How far a version is.
/// @param State the transfers
/// @param Version digest of the version
/// @complexity linear in the chunks
TransferProgress transferProgress(const TransferState &State,
                                  const Digest &Version);

/// @brief Chunks of a version in descriptor order.
/// @param State the transfers
/// @param Version digest of the version
/// @return the digests; empty when the descriptor is not known
/// @complexity linear in the number of chunks
std::vector<Digest> versionChunks(const TransferState &State,
                                  const Digest &Version);

/// @brief Held chunks and descriptors that no wanted version contains. They may
/// be dropped at any time; planTransfer does so only when the buffer needs the
/// space, so that a change back reuses them.
/// @param State the transfers
/// @return the digests
/// @complexity linear in the number of chunks
std::vector<Digest> droppableChunks(const TransferState &State);

} // namespace marigoldyard
