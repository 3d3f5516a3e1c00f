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
  std::uint64_t UploadBytesPerSecond = 0;     ///< 0 means no limit
  std::uint64_t RegionLinkBytesPerSecond = 0; ///< whole link; 0 means no limit
  double LiveShare = 0.3; ///< share of a region link kept for live requests
  /// Every region imports from the store's region, so that its links carry a
  /// whole copy each; kept for comparison.
  bool DirectImport = false;
  /// Every member owns and carries a part of the chunks over the links between
  /// regions, for fleets whose VM links are narrower than those; otherwise one
  /// agent at each end of a link keeps the link's rate.
  bool SpreadLinks = false;
  std::uint64_t BufferBytes = 0; ///< for chunks; 0 means no limit
  /// Time without progress after which the next owner, importer or source is
  /// used.
  Duration StallTimeout = std::chrono::seconds(10);
  /// A draw from the store without progress is given up after this time. It
  /// exceeds StallTimeout because owners share the store's rate.
  Duration StoreTimeout = std::chrono::seconds(60);
  /// Longest wait for the members and for the maps of neighbours before the
  /// store is drawn. Answers take a round trip, and longer when a link to a
  /// process that has just restarted is not connected again yet.
  Duration MapWait = std::chrono::seconds(1);
  Duration AnnounceInterval = std::chrono::milliseconds(250);
  Duration RefreshInterval = std::chrono::seconds(5); ///< of unchanged maps
  Duration FullRefreshInterval =
      std::chrono::seconds(60); ///< of maps to peers that claim to be complete
  /// Longest time for which a peer that did not answer is not asked; it doubles
  /// with each time-out in a row, from StallTimeout on.
  Duration MaxLostTime = std::chrono::minutes(10);
  Duration BanTime = std::chrono::seconds(60); ///< doubles with each ban
  /// Answer to a request for a chunk that is on its way.
  Duration NotYetRetry = std::chrono::seconds(1);
  /// First pause after a failed draw; it doubles up to StoreBackoffMax.
  Duration StoreBackoff = std::chrono::seconds(1);
  Duration StoreBackoffMax = std::chrono::seconds(30);
  /// Interval of the checks of later owners and importers, and of questions
  /// for another source after a stall.
  Duration StandbyInterval = std::chrono::seconds(1);
  std::size_t MaxInFlight = 8; ///< requests to peers of the own region
  std::size_t MaxImports = 8;  ///< requests to peers of one other region
  std::size_t MaxPerPeer = 4;
  std::size_t MaxStoreFetches = 2;
  /// Members of the store's region that draw from it, with SpreadLinks; 0 means
  /// all. A store that serves many at once serves each too slowly, and limits
  /// their connections.
  std::size_t MaxStoreReaders = 0;
  std::size_t MaxUploadQueue = 6;
  std::size_t MaxNeighbours = 16; ///< that receive the own map
  std::size_t MaxVersions = 8;
  std::size_t MaxChunks = 65536;  ///< over all versions
  std::uint32_t CorruptLimit = 2; ///< bad chunks from a peer before a ban
};

namespace detail {

using PeerIndex = std::uint32_t;
using RegionIndex = std::uint32_t;
inline constexpr PeerIndex NoPeer = std::numeric_limits<PeerIndex>::max();
inline constexpr RegionIndex NoRegion = std::numeric_limits<RegionIndex>::max();
/// Owners or importers of a chunk in the own region, in order of preference.
inline constexpr std::size_t ResponsibleCount = 3;

/// Refused requests to the peer ahead before an owner or importer takes over,
/// so that a peer that answers without progress delays a chunk only for a
/// bounded time.
inline constexpr std::uint8_t MaxProbes = 12;

struct ChunkSlot {
  Digest Id;
  std::uint64_t Hash = 0;
  std::uint64_t Size = 0;       ///< bytes; 0 for a descriptor
  std::uint32_t References = 0; ///< known versions that contain it
  std::uint32_t WantedBy = 0;   ///< wanted versions that contain it
  bool IsDescriptor = false;
  bool InFlight = false;
  bool Mine = false;             ///< the agent draws or imports it
  std::uint8_t Probes = 0;       ///< requests to the responsible peer refused
  RegionIndex Source = NoRegion; ///< region it comes from; NoRegion: the store
  std::array<PeerIndex, ResponsibleCount> Responsible{NoPeer, NoPeer, NoPeer};
  std::uint16_t Available = 0; ///< peers whose map contains it
  TimePoint WantedSince;
  TimePoint RetryAt;
  TimePoint BusyUntil; ///< a busy peer that holds it is waited for
  TimePoint SentAt;    ///< newest upload within the region
};

struct VersionSlot {
  ChunkIndex Descriptor = 0;
  bool Wanted = false;
  bool Described = false;
  bool Changed = true; ///< own map changed since the last announcement
  std::vector<ChunkIndex> Chunks;
  ChunkBits Content;       ///< the same chunks
  std::size_t Missing = 0; ///< distinct chunks not held
  TimePoint WantedAt;
  TimePoint AnnouncedAt;
  TimePoint ToAllAt; ///< newest announcement to complete peers too
  TimePoint UnwantedSince;
  bool AskDue = false; ///< the neighbours are to be asked for their maps
  std::vector<PeerIndex> Awaited; ///< asked and not heard yet
  bool UnreadMaps =
      false;          ///< a peer held chunks before the descriptor was known
  TimePoint AskUntil; ///< end of the wait for members and maps
};

struct PeerSlot {
  std::string Name; ///< empty when the slot is free
  std::string RegionName;
  RegionIndex Region = NoRegion;
  std::uint64_t Hash = 0;
  bool Leaving = false;
  bool HasMap = false; ///< listed in the sources of its region
  std::uint32_t InFlight = 0;
  std::uint32_t Corrupt = 0;
  std::uint32_t Timeouts = 0;
  std::uint32_t Bans = 0;
  TimePoint RefusedSince; ///< first refusal since it last sent a chunk
  TimePoint BusyUntil;
  TimePoint LostUntil;
  TimePoint BannedUntil;
  ChunkBits Has;
  std::size_t HasCount = 0;   ///< members of Has
  std::vector<Digest> MapsOf; ///< versions of which a map arrived
};

struct RegionSlot {
  std::string Name;
  std::uint64_t Hash = 0;
  std::vector<PeerIndex> Members; ///< live members by hash of their name
  std::vector<PeerIndex> Sources; ///< peers that sent a map
  ChunkBits Imports;              ///< chunks the agent imports from there
  std::size_t InFlight = 0;
  TimePoint ProbeAt;  ///< when a request without a map is allowed
  TimePoint Progress; ///< newest chunk from there, or start of the wait
  TimePoint SendAt;   ///< when the link's rate allows the next chunk
};

struct Flight {
  ChunkIndex Chunk = 0;
  PeerIndex Peer = NoPeer; ///< NoPeer: the store
  TimePoint Deadline;
};

struct Upload {
  ChunkIndex Chunk = 0;
  PeerIndex Peer = NoPeer;
  TimePoint AskedAt;
  bool Exports = false; ///< the peer passes the chunk on to another region
};

/// A peer outside the neighbours that asked lately; it receives maps.
struct Requester {
  PeerIndex Peer = NoPeer;
  TimePoint AskedAt;
};

/// A peer that asked for the map of a version.
struct MapQuestion {
  Digest Version;
  std::string Peer;
};

struct Refusal {
  Digest Chunk;
  std::string Peer;
  Duration RetryAfter{};
};

} // namespace detail

/// @brief What an agent remembers of its transfers. Bounded by the limits of
/// its settings and the length of the member list.
struct TransferState {
  TransferSettings Settings;
  std::vector<detail::ChunkSlot> Chunks;
  std::vector<detail::ChunkIndex> FreeChunks;
  std::unordered_map<Digest, detail::ChunkIndex> ChunkById;
  std::map<Digest, detail::VersionSlot> Versions;
  std::vector<detail::PeerSlot> Peers; ///< 0 is the agent itself
  std::vector<detail::PeerIndex> FreePeers;
  std::unordered_map<std::string, detail::PeerIndex> PeerByName;
  std::vector<detail::RegionSlot> Regions; ///< by name
  detail::RegionIndex Home = detail::NoRegion;
  detail::RegionIndex StoreRegion = detail::NoRegion; ///< if it has members
  detail::ChunkBits Held;
  detail::ChunkBits Missing;  ///< wanted, not held, not in flight
  detail::ChunkBits Exported; ///< chunks the agent sends to another region
  std::vector<detail::PeerIndex> Neighbours; ///< receive the own maps
  std::vector<detail::Requester> Requesters;
  std::deque<detail::ChunkIndex> Draws;    ///< chunks to draw from the store
  std::vector<detail::ChunkIndex> Standby; ///< chunks with a later claim
  std::size_t StandbyCursor = 0;
  TimePoint StandbyAt;
  std::vector<detail::Flight> Flights;
  std::deque<detail::Upload> Uploads;
  std::vector<detail::Refusal> Refusals;
  std::vector<detail::MapQuestion> MapQuestions;
  bool MembersKnown = false; ///< the whole member list was received
  std::size_t StoreFlights = 0;
  std::uint32_t StoreFailures = 0;
  TimePoint StoreRetryAt;
  TimePoint UploadAt; ///< when the upload rate allows the next chunk
  std::uint64_t HeldBytes = 0;
};

} // namespace marigoldyard
