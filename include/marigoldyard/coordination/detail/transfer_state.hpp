#pragma once

#include "marigoldyard/coordination/detail/chunk_bits.hpp"
#include "marigoldyard/state/types.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace marigoldyard {

/// @brief Names, rates and limits of one agent's transfers.
struct TransferSettings {
  std::string Self;
  std::string Region;
  std::string StoreRegion;
  std::uint64_t UploadBytesPerSecond = 0; ///< 0 means unlimited
  /// Capacity of the whole link; 0 means unlimited.
  std::uint64_t RegionLinkBytesPerSecond = 0;
  /// Fraction of a region link reserved for live requests.
  double LiveTrafficShare = 0.3;
  /// Every region imports directly from the store's region, so that each of the
  /// links of that region carries a whole copy. Kept as a baseline for
  /// comparison.
  bool DirectImport = false;
  /// Every member owns a part of the chunks and transfers it over the links
  /// between regions, for fleets whose VM links are slower than the region
  /// links. Otherwise one agent at each end of a region link enforces its rate.
  bool DistributeLinks = false;
  std::uint64_t BufferBytes = 0; ///< for chunks; 0 means unlimited
  /// Time without progress after which the next owner, importer or source is
  /// used.
  Duration StallTimeout = std::chrono::seconds(10);
  /// A fetch from the store without progress is abandoned after this time. It
  /// exceeds StallTimeout because owners share the store's rate.
  Duration StoreTimeout = std::chrono::seconds(60);
  /// Longest wait for the member list and for the maps of neighbours before
  /// chunks are fetched from the store. Replies take a round trip, and longer
  /// if the connection to a process that has just restarted is not yet
  /// reestablished.
  Duration MapWait = std::chrono::seconds(1);
  Duration AnnounceInterval = std::chrono::milliseconds(250);
  Duration RefreshInterval = std::chrono::seconds(5); ///< of unchanged maps
  /// Of maps to peers whose map is complete.
  Duration FullRefreshInterval = std::chrono::seconds(60);
  /// Longest time for which no requests go to a peer that did not answer. The
  /// time starts at StallTimeout and doubles with each consecutive timeout.
  Duration MaxLostTime = std::chrono::minutes(10);
  Duration BanTime = std::chrono::seconds(60); ///< doubles with each ban
  /// RetryAfter in the reply to a request for a chunk that is wanted but not
  /// held yet.
  Duration InFlightRetryDelay = std::chrono::seconds(1);
  /// Delay after the first failed fetch; doubles up to StoreBackoffMax.
  Duration StoreBackoff = std::chrono::seconds(1);
  Duration StoreBackoffMax = std::chrono::seconds(30);
  /// Interval of the checks by standby owners and importers, and of probes for
  /// another source after a stall.
  Duration StandbyInterval = std::chrono::seconds(1);
  /// Pending requests to peers of the local region.
  std::size_t MaxInFlight = 8;
  std::size_t MaxImports = 8; ///< pending requests to peers of one other region
  std::size_t MaxPerPeer = 4;
  std::size_t MaxStoreFetches = 2;
  /// Members of the store's region that fetch from it, with DistributeLinks; 0
  /// means all. A store that serves many clients at once serves each of them
  /// too slowly, and limits their connections.
  std::size_t MaxStoreReaders = 0;
  std::size_t MaxUploadQueue = 6;
  std::size_t MaxNeighbours = 16; ///< peers that receive the local chunk map
  std::size_t MaxVersions = 8;
  std::size_t MaxChunks = 65536; ///< in total over all versions
  /// Corrupt chunks from a peer that cause a ban.
  std::uint32_t CorruptLimit = 2;
};

namespace detail {

using PeerIndex = std::uint32_t;
using RegionIndex = std::uint32_t;
inline constexpr PeerIndex NoPeer = std::numeric_limits<PeerIndex>::max();
inline constexpr RegionIndex NoRegion = std::numeric_limits<RegionIndex>::max();
/// Number of owners or importers of a chunk in the local region, in order of
/// preference.
inline constexpr std::size_t ResponsibleCount = 3;

/// Refused requests to the preferred owner or importer before the next one
/// takes over. Bounds the delay caused by a peer that answers but makes no
/// progress.
inline constexpr std::uint8_t MaxProbes = 12;

struct ChunkSlot {
  Digest Id;
  std::uint64_t Hash = 0;
  std::uint64_t Size = 0;       ///< bytes; 0 for a descriptor
  std::uint32_t References = 0; ///< known versions that contain it
  std::uint32_t WantedBy = 0;   ///< wanted versions that contain it
  bool IsDescriptor = false;
  bool InFlight = false;
  bool AssignedToSelf = false;    ///< the agent itself fetches or imports it
  std::uint8_t RefusedProbes = 0; ///< refused requests to a responsible peer
  /// Region it is imported from; NoRegion: the store.
  RegionIndex SourceRegion = NoRegion;
  std::array<PeerIndex, ResponsibleCount> Responsible{NoPeer, NoPeer, NoPeer};
  std::uint16_t HolderCount = 0; ///< peers that hold it according to their maps
  TimePoint WantedSince;
  TimePoint RetryAt;
  TimePoint BusyUntil;         ///< no fetch before; a busy peer holds it
  TimePoint LastLocalUploadAt; ///< latest upload within the local region
};

struct VersionSlot {
  ChunkIndex Descriptor = 0;
  bool Wanted = false;
  bool Described = false;
  /// Local chunk map changed since the last announcement.
  bool MapChanged = true;
  std::vector<ChunkIndex> Chunks;
  ChunkBits ChunkSet;           ///< the same chunks as a bit set
  std::size_t MissingCount = 0; ///< distinct chunks not held
  TimePoint WantedAt;
  TimePoint AnnouncedAt;
  /// Latest announcement that included complete peers.
  TimePoint AnnouncedToAllAt;
  TimePoint UnwantedSince;
  bool MapRequestDue = false; ///< neighbours' maps must be requested
  /// Peers that have not replied to the map request.
  std::vector<PeerIndex> AwaitedPeers;
  /// A map with chunks arrived before the descriptor.
  bool HasUnreadMaps = false;
  TimePoint MapWaitUntil; ///< end of the wait for members and maps (MapWait)
};

struct PeerSlot {
  std::string Name; ///< empty when the slot is free
  std::string RegionName;
  RegionIndex Region = NoRegion;
  std::uint64_t Hash = 0;
  bool Leaving = false;
  bool HasSentMap = false; ///< listed in MapSenders of its region
  std::uint32_t InFlight = 0;
  std::uint32_t Corrupt = 0;
  std::uint32_t Timeouts = 0;
  std::uint32_t Bans = 0;
  TimePoint LastGainAt;   ///< its map last showed a chunk that it lacked
  TimePoint RefusedSince; ///< first refusal since it last sent a chunk
  TimePoint BusyUntil;
  TimePoint LostUntil;
  TimePoint BannedUntil;
  ChunkBits HeldChunks;
  std::size_t HeldCount = 0;       ///< number of chunks in HeldChunks
  std::vector<Digest> MapVersions; ///< versions whose map arrived
};

struct RegionSlot {
  std::string Name;
  std::uint64_t Hash = 0;
  /// Members that are not leaving, by hash of name.
  std::vector<PeerIndex> Members;
  std::vector<PeerIndex> MapSenders; ///< peers that sent a chunk map
  ChunkBits ImportedChunks; ///< chunks that the agent imports from this region
  std::size_t InFlight = 0;
  TimePoint NextProbeAt;  ///< earliest next request to a peer without a map
  TimePoint LastAnswerAt; ///< latest map, refusal or chunk from this region
  TimePoint
      LastProgressAt;   ///< latest chunk from this region, or start of the wait
  TimePoint NextSendAt; ///< when the link's rate limit allows the next chunk
};

struct PendingRequest {
  ChunkIndex Chunk = 0;
  PeerIndex Peer = NoPeer; ///< NoPeer: the store
  TimePoint Deadline;
};

struct Upload {
  ChunkIndex Chunk = 0;
  PeerIndex Peer = NoPeer;
  TimePoint AskedAt;
  bool IsExport = false; ///< the peer forwards the chunk to another region
};

/// A peer of another region that recently requested a chunk. It receives chunk
/// maps like a neighbour.
struct Requester {
  PeerIndex Peer = NoPeer;
  TimePoint AskedAt;
};

/// A peer's request for the local chunk map of a version.
struct MapRequest {
  Digest Version;
  std::string Peer;
};

struct Refusal {
  Digest Chunk;
  std::string Peer;
  Duration RetryAfter{};
};

} // namespace detail

/// @brief Transfer state of an agent. Its size is bounded by the limits in the
/// settings and by the length of the member list.
struct TransferState {
  TransferSettings Settings;
  std::vector<detail::ChunkSlot> Chunks;
  std::vector<detail::ChunkIndex> FreeChunks;
  std::unordered_map<Digest, detail::ChunkIndex> ChunkById;
  std::map<Digest, detail::VersionSlot> Versions;
  std::vector<detail::PeerSlot> Peers; ///< index 0 is the agent itself
  std::vector<detail::PeerIndex> FreePeers;
  std::unordered_map<std::string, detail::PeerIndex> PeerByName;
  std::vector<detail::RegionSlot> Regions; ///< sorted by name
  detail::RegionIndex LocalRegion = detail::NoRegion;
  /// NoRegion if it has no members.
  detail::RegionIndex StoreRegion = detail::NoRegion;
  detail::ChunkBits Held;
  detail::ChunkBits Missing; ///< wanted, not held, not in flight
  /// Chunks that the agent sends to other regions.
  detail::ChunkBits ExportedChunks;
  /// Peers that receive the local chunk maps.
  std::vector<detail::PeerIndex> Neighbours;
  std::vector<detail::Requester> Requesters;
  std::deque<detail::ChunkIndex> StoreQueue; ///< chunks to fetch from the store
  /// Chunks of which the agent is a standby owner or importer.
  std::vector<detail::ChunkIndex> StandbyChunks;
  std::size_t StandbyCursor = 0;
  TimePoint NextStandbyCheckAt;
  std::vector<detail::PendingRequest> PendingRequests;
  std::deque<detail::Upload> Uploads;
  std::vector<detail::Refusal> Refusals;
  std::vector<detail::MapRequest> MapRequests;
  bool MembersKnown = false; ///< the whole member list was received
  std::size_t PendingStoreFetches = 0;
  std::uint32_t StoreFailures = 0;
  TimePoint StoreRetryAt;
  TimePoint NextUploadAt; ///< when the upload rate limit allows the next chunk
  std::uint64_t HeldBytes = 0;
};

} // namespace marigoldyard
