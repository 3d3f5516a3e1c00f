#include "marigoldyard/coordination/detail/transfer_roles.hpp"

#include "marigoldyard/coordination/detail/rendezvous.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace marigoldyard::detail {

namespace {

constexpr PeerIndex SelfPeer = 0;

Duration sendTime(std::uint64_t Bytes, double BytesPerSecond) {
  if (BytesPerSecond <= 0)
    return Duration{};
  return Duration(static_cast<Duration::rep>(static_cast<double>(Bytes) * 1e6 /
                                             BytesPerSecond));
}

/// Returns the region with the highest rendezvous score for a chunk, among
/// those that have members, without Except.
RegionIndex bestRegion(const TransferState &State, std::uint64_t Chunk,
                       RegionIndex Except) {
  RegionIndex Best = NoRegion;
  std::uint64_t BestScore = 0;
  for (RegionIndex Index = 0; Index < State.Regions.size(); ++Index) {
    if (Index == Except || State.Regions[Index].Members.empty())
      continue;
    const std::uint64_t Score =
        rendezvousScore(Chunk, State.Regions[Index].Hash);
    if (Best == NoRegion || Score > BestScore) {
      Best = Index;
      BestScore = Score;
    }
  }
  return Best;
}

/// The first two regions that receive a chunk.
struct ChunkRoute {
  RegionIndex FetchRegion; ///< fetches it from the store
  RegionIndex RelayRegion; ///< imports it from FetchRegion and forwards it
};

ChunkRoute routeOf(const TransferState &State, std::uint64_t Chunk,
                   RegionIndex StoreRegion) {
  const RegionIndex FetchRegion = StoreRegion != NoRegion
                                      ? StoreRegion
                                      : bestRegion(State, Chunk, NoRegion);
  // Without a relay region, every region imports from FetchRegion; see
  // sourceRegionOf.
  return {FetchRegion, State.Settings.DirectImport
                           ? NoRegion
                           : bestRegion(State, Chunk, FetchRegion)};
}

RegionIndex sourceRegionOf(const ChunkRoute &Chunk, RegionIndex Region) {
  if (Region == Chunk.FetchRegion)
    return NoRegion;
  return Region == Chunk.RelayRegion || Chunk.RelayRegion == NoRegion
             ? Chunk.FetchRegion
             : Chunk.RelayRegion;
}

RegionIndex findStoreRegion(const TransferState &State) {
  for (RegionIndex Index = 0; Index < State.Regions.size(); ++Index)
    if (State.Regions[Index].Name == State.Settings.StoreRegion &&
        !State.Regions[Index].Members.empty())
      return Index;
  return NoRegion;
}

/// Index of the carrier of a chunk among Count members. A carrier transfers its
/// chunks over the links between regions. Each member gets a contiguous part of
/// the hash range, in the same order in all regions, so that it exchanges
/// chunks with only a few members of other regions.
std::size_t carrierPosition(std::uint64_t Chunk, std::size_t Count) {
  return static_cast<std::size_t>(((Chunk >> 32U) * Count) >> 32U);
}

/// Number of carriers of a region: the first ones in its member list. The
/// store's region has at most MaxStoreReaders.
std::size_t carrierCount(const TransferState &State, RegionIndex Region) {
  const std::size_t Count = State.Regions[Region].Members.size();
  const std::size_t Readers = State.Settings.MaxStoreReaders;
  return Region == State.StoreRegion && Readers > 0 ? std::min(Count, Readers)
                                                    : Count;
}

PeerIndex carrier(const TransferState &State, RegionIndex Region,
                  std::uint64_t Chunk, std::size_t Rank) {
  const auto &Members = State.Regions[Region].Members;
  if (Rank >= Members.size())
    return NoPeer;
  return Members[(carrierPosition(Chunk, carrierCount(State, Region)) + Rank) %
                 Members.size()];
}

/// Member of Region that receives from Other. With one agent at each end of a
/// link, its rate is enforced without messages between agents.
PeerIndex importer(const TransferState &State, RegionIndex Region,
                   RegionIndex Other, std::size_t Rank) {
  const auto &Members = State.Regions[Region].Members;
  if (Rank >= Members.size())
    return NoPeer;
  const std::size_t Position = Other > Region ? Other - 1 : Other;
  return Members[(Position + Rank) % Members.size()];
}

/// Member of Region that sends to Other. It differs from the importer if the
/// region has enough members.
PeerIndex exporter(const TransferState &State, RegionIndex Region,
                   RegionIndex Other) {
  const auto &Members = State.Regions[Region].Members;
  if (Members.empty())
    return NoPeer;
  const std::size_t Position = Other > Region ? Other - 1 : Other;
  return Members[(State.Regions.size() - 1 + Position) % Members.size()];
}

void assignOwners(const TransferState &State, ChunkSlot &Slot) {
  std::array<std::uint64_t, ResponsibleCount> Scores{};
  Slot.Responsible.fill(NoPeer);
  for (const PeerIndex Member : State.Regions[State.LocalRegion].Members) {
    PeerIndex Peer = Member;
    std::uint64_t Score = rendezvousScore(Slot.Hash, State.Peers[Peer].Hash);
    for (std::size_t Rank = 0; Rank < ResponsibleCount; ++Rank)
      if (Slot.Responsible[Rank] == NoPeer || Score > Scores[Rank]) {
        std::swap(Peer, Slot.Responsible[Rank]);
        std::swap(Score, Scores[Rank]);
        if (Peer == NoPeer)
          break;
      }
  }
}

void assignChunk(TransferState &State, ChunkIndex Index) {
  ChunkSlot &Slot = State.Chunks[Index];
  const ChunkRoute Chunk = routeOf(State, Slot.Hash, State.StoreRegion);
  Slot.AssignedToSelf = false;
  Slot.SourceRegion = sourceRegionOf(Chunk, State.LocalRegion);
  if (State.Settings.DistributeLinks)
    for (std::size_t Rank = 0; Rank < ResponsibleCount; ++Rank)
      Slot.Responsible[Rank] =
          carrier(State, State.LocalRegion, Slot.Hash, Rank);
  else if (Slot.SourceRegion == NoRegion)
    assignOwners(State, Slot);
  else
    for (std::size_t Rank = 0; Rank < ResponsibleCount; ++Rank)
      Slot.Responsible[Rank] =
          importer(State, State.LocalRegion, Slot.SourceRegion, Rank);
  if (isExporter(State, SelfPeer, Index))
    State.ExportedChunks.set(Index);
  if (State.Held.test(Index))
    return;
  if (Slot.Responsible[0] == SelfPeer)
    assignToSelf(State, Index);
  else if (std::find(Slot.Responsible.begin(), Slot.Responsible.end(),
                     SelfPeer) != Slot.Responsible.end())
    State.StandbyChunks.push_back(Index);
}

void addNeighbour(TransferState &State, PeerIndex Peer) {
  auto &All = State.Neighbours;
  if (Peer != NoPeer && Peer != SelfPeer &&
      std::find(All.begin(), All.end(), Peer) == All.end())
    All.push_back(Peer);
}

/// Adds the members of another region that carry the same chunks as the agent.
void addCarrierNeighbours(TransferState &State, RegionIndex Other,
                          std::size_t Position) {
  const std::size_t LocalCount = carrierCount(State, State.LocalRegion);
  const auto &Members = State.Regions[Other].Members;
  const std::size_t Count = carrierCount(State, Other);
  const std::size_t First = Position * Count / LocalCount;
  const std::size_t Last = ((Position + 1) * Count - 1) / LocalCount;
  for (std::size_t Index = First; Index <= Last; ++Index)
    addNeighbour(State, Members[Index]);
}

} // namespace

bool isReachable(const PeerSlot &Peer, TimePoint Now) {
  return !Peer.Name.empty() && Peer.LostUntil <= Now && Peer.BannedUntil <= Now;
}

Duration uploadTime(const TransferState &State, std::uint64_t Bytes) {
  return sendTime(Bytes,
                  static_cast<double>(State.Settings.UploadBytesPerSecond));
}

Duration linkTime(const TransferState &State, std::uint64_t Bytes) {
  return sendTime(Bytes,
                  static_cast<double>(State.Settings.RegionLinkBytesPerSecond) *
                      (1.0 - State.Settings.LiveTrafficShare));
}

void refreshMissing(TransferState &State, ChunkIndex Index) {
  const ChunkSlot &Slot = State.Chunks[Index];
  State.Missing.set(Index, Slot.WantedBy > 0 && !Slot.InFlight &&
                               !State.Held.test(Index));
}

bool isExporter(const TransferState &State, PeerIndex Peer, ChunkIndex Index) {
  if (State.Regions.size() < 2 || State.Peers[Peer].Region != State.LocalRegion)
    return false;
  const ChunkRoute Chunk =
      routeOf(State, State.Chunks[Index].Hash, State.StoreRegion);
  for (RegionIndex Other = 0; Other < State.Regions.size(); ++Other)
    if (Other != State.LocalRegion && !State.Regions[Other].Members.empty() &&
        sourceRegionOf(Chunk, Other) == State.LocalRegion &&
        (State.Settings.DistributeLinks
             ? carrier(State, State.LocalRegion, State.Chunks[Index].Hash, 0)
             : exporter(State, State.LocalRegion, Other)) == Peer)
      return true;
  return false;
}

void assignRegions(TransferState &State, TimePoint Now) {
  std::map<std::string, RegionSlot> ByName;
  for (RegionSlot &Region : State.Regions) {
    Region.Members.clear();
    Region.MapSenders.clear();
    Region.InFlight = 0;
    ByName[Region.Name] = std::move(Region);
  }
  std::map<std::string, std::vector<PeerIndex>> Listed;
  for (PeerIndex Index = 0; Index < State.Peers.size(); ++Index)
    if (!State.Peers[Index].Name.empty())
      Listed[State.Peers[Index].RegionName].push_back(Index);
  State.Regions.clear();
  for (auto &[Name, Indices] : Listed) {
    RegionSlot Region;
    if (const auto Known = ByName.find(Name); Known != ByName.end())
      Region = std::move(Known->second);
    else
      Region.LastProgressAt = Now;
    Region.Name = Name;
    Region.Hash = nameHash(Name);
    const auto Number = static_cast<RegionIndex>(State.Regions.size());
    for (const PeerIndex Index : Indices) {
      PeerSlot &Peer = State.Peers[Index];
      Peer.Region = Number;
      Region.InFlight += Peer.InFlight;
      if (!Peer.Leaving)
        Region.Members.push_back(Index);
      if (Peer.HasSentMap)
        Region.MapSenders.push_back(Index);
    }
    std::sort(
        Region.Members.begin(), Region.Members.end(),
        [&](PeerIndex Left, PeerIndex Right) {
          return std::tie(State.Peers[Left].Hash, State.Peers[Left].Name) <
                 std::tie(State.Peers[Right].Hash, State.Peers[Right].Name);
        });
    State.Regions.push_back(std::move(Region));
  }
  State.LocalRegion = State.Peers[SelfPeer].Region;
  State.StoreRegion = findStoreRegion(State);
  assignNeighbours(State, Now);
}

void assignNeighbours(TransferState &State, TimePoint Now) {
  State.Neighbours.clear();
  const auto &Members = State.Regions[State.LocalRegion].Members;
  const std::size_t Count = Members.size();
  const auto Self = std::find(Members.begin(), Members.end(), SelfPeer);
  const auto Position = static_cast<std::size_t>(Self - Members.begin());
  // Power-of-two offsets in both directions form a graph of logarithmic
  // diameter. It is symmetric, so that a map and the requests that follow it
  // use the same link.
  for (std::size_t Offset = 1;
       Offset < Count && State.Neighbours.size() < State.Settings.MaxNeighbours;
       Offset *= 2) {
    addNeighbour(State, Members[(Position + Offset) % Count]);
    addNeighbour(State, Members[(Position + Count - Offset) % Count]);
  }
  for (RegionIndex Other = 0; Other < State.Regions.size(); ++Other) {
    if (Other == State.LocalRegion || State.Regions[Other].Members.empty())
      continue;
    if (State.Settings.DistributeLinks) {
      if (Position < carrierCount(State, State.LocalRegion))
        addCarrierNeighbours(State, Other, Position);
      continue;
    }
    addNeighbour(State, importer(State, State.LocalRegion, Other, 0));
    const PeerIndex Sender = exporter(State, State.LocalRegion, Other);
    addNeighbour(State, Sender);
    if (Sender != SelfPeer)
      continue;
    std::size_t Rank = 0;
    PeerIndex Receiver = importer(State, Other, State.LocalRegion, Rank);
    while (Receiver != NoPeer && !isReachable(State.Peers[Receiver], Now))
      Receiver = importer(State, Other, State.LocalRegion, ++Rank);
    addNeighbour(State, Receiver);
  }
}

void assignChunks(TransferState &State, TimePoint Now) {
  State.StoreQueue.clear();
  State.StandbyChunks.clear();
  State.StandbyCursor = 0;
  State.ExportedChunks.Words.clear();
  for (RegionSlot &Region : State.Regions) {
    Region.ImportedChunks.Words.clear();
    Region.LastProgressAt = Now;
  }
  for (ChunkIndex Index = 0; Index < State.Chunks.size(); ++Index)
    if (State.Chunks[Index].WantedBy > 0)
      assignChunk(State, Index);
}

void scheduleMapRequest(TransferState &State, VersionSlot &Version,
                        TimePoint Now) {
  Version.MapRequestDue = true;
  Version.AwaitedPeers.clear();
  Version.MapWaitUntil = Now + State.Settings.MapWait;
}

bool isAwaitingMaps(const TransferState &State, TimePoint Now) {
  return std::any_of(
      State.Versions.begin(), State.Versions.end(), [&](const auto &Item) {
        const VersionSlot &Version = Item.second;
        return Version.Wanted && Now < Version.MapWaitUntil &&
               (Version.MapRequestDue || !Version.AwaitedPeers.empty());
      });
}

void stopAwaitingPeer(VersionSlot &Version, PeerIndex Peer) {
  std::erase(Version.AwaitedPeers, Peer);
}

bool isHeldInRegion(const TransferState &State, ChunkIndex Index,
                    TimePoint Now) {
  if (State.Chunks[Index].HolderCount == 0)
    return false;
  const auto &Sources = State.Regions[State.LocalRegion].MapSenders;
  return std::any_of(Sources.begin(), Sources.end(), [&](PeerIndex Peer) {
    return State.Peers[Peer].HeldChunks.test(Index) &&
           isReachable(State.Peers[Peer], Now);
  });
}

void assignToSelf(TransferState &State, ChunkIndex Index) {
  ChunkSlot &Slot = State.Chunks[Index];
  if (std::exchange(Slot.AssignedToSelf, true))
    return;
  if (Slot.SourceRegion != NoRegion)
    State.Regions[Slot.SourceRegion].ImportedChunks.set(Index);
  else if (Slot.IsDescriptor)
    State.StoreQueue.push_front(Index);
  else
    State.StoreQueue.push_back(Index);
}

bool isOwnerProgressing(const TransferState &State, ChunkIndex Index,
                        TimePoint Now) {
  const PeerIndex Owner = State.Chunks[Index].Responsible[0];
  return Owner != NoPeer &&
         Now - State.Peers[Owner].LastGainAt < State.Settings.StallTimeout;
}

bool returnToOwner(TransferState &State, ChunkIndex Index, TimePoint Now) {
  ChunkSlot &Slot = State.Chunks[Index];
  const PeerIndex Owner = Slot.Responsible[0];
  if (Owner == SelfPeer || Owner == NoPeer || Slot.SourceRegion != NoRegion ||
      (!isReachable(State.Peers[Owner], Now) &&
       !isOwnerProgressing(State, Index, Now)))
    return false;
  Slot.AssignedToSelf = false;
  Slot.RefusedProbes = 0;
  Slot.RetryAt = Now + State.Settings.StallTimeout;
  std::erase(State.StoreQueue, Index);
  return true;
}

bool endRequest(TransferState &State, ChunkIndex Index, PeerIndex Peer) {
  const auto Found =
      std::find_if(State.PendingRequests.begin(), State.PendingRequests.end(),
                   [&](const PendingRequest &Request) {
                     return Request.Chunk == Index && Request.Peer == Peer;
                   });
  if (Found == State.PendingRequests.end())
    return false;
  *Found = State.PendingRequests.back();
  State.PendingRequests.pop_back();
  if (Peer == NoPeer) {
    --State.PendingStoreFetches;
    if (!State.Held.test(Index) && State.Chunks[Index].WantedBy > 0 &&
        State.Chunks[Index].SourceRegion == NoRegion)
      State.StoreQueue.push_back(Index);
  } else {
    --State.Peers[Peer].InFlight;
    --State.Regions[State.Peers[Peer].Region].InFlight;
  }
  State.Chunks[Index].InFlight = std::any_of(
      State.PendingRequests.begin(), State.PendingRequests.end(),
      [&](const PendingRequest &Request) { return Request.Chunk == Index; });
  refreshMissing(State, Index);
  if (State.Chunks[Index].References == 0 && !State.Held.test(Index))
    releaseChunk(State, Index);
  return true;
}

void markPeerLost(TransferState &State, PeerIndex Peer, TimePoint Now) {
  constexpr std::uint32_t MaxDoublings =
      16; // keeps the product far from overflow
  PeerSlot &Slot = State.Peers[Peer];
  Slot.LostUntil =
      Now + std::min(State.Settings.MaxLostTime,
                     State.Settings.StallTimeout *
                         (1 << std::min(Slot.Timeouts, MaxDoublings)));
  ++Slot.Timeouts;
  for (auto &[Id, Version] : State.Versions)
    stopAwaitingPeer(Version, Peer);
  std::vector<ChunkIndex> Ended;
  for (const PendingRequest &Request : State.PendingRequests)
    if (Request.Peer == Peer)
      Ended.push_back(Request.Chunk);
  for (const ChunkIndex Index : Ended)
    endRequest(State, Index, Peer);
  std::erase_if(State.Uploads,
                [&](const Upload &Queued) { return Queued.Peer == Peer; });
  assignNeighbours(State, Now);
}

void removeHolder(TransferState &State, PeerIndex Peer, ChunkIndex Index) {
  if (!State.Peers[Peer].HeldChunks.test(Index))
    return;
  State.Peers[Peer].HeldChunks.set(Index, false);
  --State.Peers[Peer].HeldCount;
  --State.Chunks[Index].HolderCount;
}

void releaseChunk(TransferState &State, ChunkIndex Index) {
  ChunkSlot &Slot = State.Chunks[Index];
  if (State.Held.test(Index)) {
    State.Held.set(Index, false);
    State.HeldBytes -= Slot.Size;
    for (auto &[Id, Version] : State.Versions)
      if (Version.ChunkSet.test(Index)) {
        ++Version.MissingCount;
        Version.MapChanged = true;
      }
  }
  refreshMissing(State, Index);
  if (Slot.References > 0 || Slot.InFlight)
    return;
  for (PeerIndex Peer = 0; Peer < State.Peers.size(); ++Peer)
    removeHolder(State, Peer, Index);
  std::erase_if(State.Uploads,
                [&](const Upload &Queued) { return Queued.Chunk == Index; });
  State.ChunkById.erase(Slot.Id);
  Slot = ChunkSlot{};
  State.FreeChunks.push_back(Index);
}

} // namespace marigoldyard::detail
