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

/// Region with the highest score for a chunk among those with members.
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

/// The two regions that a chunk visits first.
struct Path {
  RegionIndex Draw;  ///< draws it from the store
  RegionIndex First; ///< imports it from Draw and passes it on
};

Path pathOf(const TransferState &State, std::uint64_t Chunk,
            RegionIndex StoreRegion) {
  const RegionIndex Draw = StoreRegion != NoRegion
                               ? StoreRegion
                               : bestRegion(State, Chunk, NoRegion);
  // Without a first region, sourceOf makes every region import from Draw.
  return {Draw, State.Settings.DirectImport ? NoRegion
                                            : bestRegion(State, Chunk, Draw)};
}

RegionIndex sourceOf(const Path &Chunk, RegionIndex Region) {
  if (Region == Chunk.Draw)
    return NoRegion;
  return Region == Chunk.First || Chunk.First == NoRegion ? Chunk.Draw
                                                          : Chunk.First;
}

RegionIndex storeRegion(const TransferState &State) {
  for (RegionIndex Index = 0; Index < State.Regions.size(); ++Index)
    if (State.Regions[Index].Name == State.Settings.StoreRegion &&
        !State.Regions[Index].Members.empty())
      return Index;
  return NoRegion;
}

/// Position of the member among Count that carries a chunk. Neighbouring parts
/// of the hash range fall to the same pairs of members in all regions, so that
/// a member exchanges chunks with few members of other regions.
std::size_t carrierPosition(std::uint64_t Chunk, std::size_t Count) {
  return static_cast<std::size_t>(((Chunk >> 32U) * Count) >> 32U);
}

/// Members of a region that carry chunks: the first ones of the list.
std::size_t carrierCount(const TransferState &State, RegionIndex Region) {
  const std::size_t Count = State.Regions[Region].Members.size();
  const std::size_t Readers = State.Settings.MaxStoreReaders;
  return Region == State.StoreRegion && Readers > 0 ? std::min(Count, Readers)
                                                    : Count;
}

PeerIndex carrier(const TransferState &State, RegionIndex Region,
                  std::uint64_t Chunk, std::size_t Place) {
  const auto &Members = State.Regions[Region].Members;
  if (Place >= Members.size())
    return NoPeer;
  return Members[(carrierPosition(Chunk, carrierCount(State, Region)) + Place) %
                 Members.size()];
}

/// Member of Region that receives from Other. One agent at each end of a link
/// keeps the link's rate without messages between agents.
PeerIndex importer(const TransferState &State, RegionIndex Region,
                   RegionIndex Other, std::size_t Place) {
  const auto &Members = State.Regions[Region].Members;
  if (Place >= Members.size())
    return NoPeer;
  const std::size_t Position = Other > Region ? Other - 1 : Other;
  return Members[(Position + Place) % Members.size()];
}

/// Member of Region that sends to Other; not its importer where the region has
/// enough members.
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
  for (const PeerIndex Member : State.Regions[State.Home].Members) {
    PeerIndex Peer = Member;
    std::uint64_t Score = rendezvousScore(Slot.Hash, State.Peers[Peer].Hash);
    for (std::size_t Place = 0; Place < ResponsibleCount; ++Place)
      if (Slot.Responsible[Place] == NoPeer || Score > Scores[Place]) {
        std::swap(Peer, Slot.Responsible[Place]);
        std::swap(Score, Scores[Place]);
        if (Peer == NoPeer)
          break;
      }
  }
}

void assignChunk(TransferState &State, ChunkIndex Index) {
  ChunkSlot &Slot = State.Chunks[Index];
  const Path Chunk = pathOf(State, Slot.Hash, State.StoreRegion);
  Slot.Mine = false;
  Slot.Source = sourceOf(Chunk, State.Home);
  if (State.Settings.SpreadLinks)
    for (std::size_t Place = 0; Place < ResponsibleCount; ++Place)
      Slot.Responsible[Place] = carrier(State, State.Home, Slot.Hash, Place);
  else if (Slot.Source == NoRegion)
    assignOwners(State, Slot);
  else
    for (std::size_t Place = 0; Place < ResponsibleCount; ++Place)
      Slot.Responsible[Place] = importer(State, State.Home, Slot.Source, Place);
  if (exports(State, SelfPeer, Index))
    State.Exported.set(Index);
  if (State.Held.test(Index))
    return;
  if (Slot.Responsible[0] == SelfPeer)
    takeOver(State, Index);
  else if (std::find(Slot.Responsible.begin(), Slot.Responsible.end(),
                     SelfPeer) != Slot.Responsible.end())
    State.Standby.push_back(Index);
}

void addNeighbour(TransferState &State, PeerIndex Peer) {
  auto &All = State.Neighbours;
  if (Peer != NoPeer && Peer != SelfPeer &&
      std::find(All.begin(), All.end(), Peer) == All.end())
    All.push_back(Peer);
}

/// Members of other regions that carry the same chunks as the agent.
void addCarriers(TransferState &State, RegionIndex Other,
                 std::size_t Position) {
  const std::size_t Home = carrierCount(State, State.Home);
  const auto &Members = State.Regions[Other].Members;
  const std::size_t Count = carrierCount(State, Other);
  const std::size_t First = Position * Count / Home;
  const std::size_t Last = ((Position + 1) * Count - 1) / Home;
  for (std::size_t Index = First; Index <= Last; ++Index)
    addNeighbour(State, Members[Index]);
}

} // namespace

bool reachable(const PeerSlot &Peer, TimePoint Now) {
  return !Peer.Name.empty() && Peer.LostUntil <= Now && Peer.BannedUntil <= Now;
}

Duration uploadTime(const TransferState &State, std::uint64_t Bytes) {
  return sendTime(Bytes,
                  static_cast<double>(State.Settings.UploadBytesPerSecond));
}

Duration linkTime(const TransferState &State, std::uint64_t Bytes) {
  return sendTime(Bytes,
                  static_cast<double>(State.Settings.RegionLinkBytesPerSecond) *
                      (1.0 - State.Settings.LiveShare));
}

void refreshMissing(TransferState &State, ChunkIndex Index) {
  const ChunkSlot &Slot = State.Chunks[Index];
  State.Missing.set(Index, Slot.WantedBy > 0 && !Slot.InFlight &&
                               !State.Held.test(Index));
}

bool exports(const TransferState &State, PeerIndex Peer, ChunkIndex Index) {
  if (State.Regions.size() < 2 || State.Peers[Peer].Region != State.Home)
    return false;
  const Path Chunk = pathOf(State, State.Chunks[Index].Hash, State.StoreRegion);
  for (RegionIndex Other = 0; Other < State.Regions.size(); ++Other)
    if (Other != State.Home && !State.Regions[Other].Members.empty() &&
        sourceOf(Chunk, Other) == State.Home &&
        (State.Settings.SpreadLinks
             ? carrier(State, State.Home, State.Chunks[Index].Hash, 0)
             : exporter(State, State.Home, Other)) == Peer)
      return true;
  return false;
}

void assignRegions(TransferState &State, TimePoint Now) {
  std::map<std::string, RegionSlot> ByName;
  for (RegionSlot &Region : State.Regions) {
    Region.Members.clear();
    Region.Sources.clear();
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
      Region.Progress = Now;
    Region.Name = Name;
    Region.Hash = nameHash(Name);
    const auto Number = static_cast<RegionIndex>(State.Regions.size());
    for (const PeerIndex Index : Indices) {
      PeerSlot &Peer = State.Peers[Index];
      Peer.Region = Number;
      Region.InFlight += Peer.InFlight;
      if (!Peer.Leaving)
        Region.Members.push_back(Index);
      if (Peer.HasMap)
        Region.Sources.push_back(Index);
    }
    std::sort(
        Region.Members.begin(), Region.Members.end(),
        [&](PeerIndex Left, PeerIndex Right) {
          return std::tie(State.Peers[Left].Hash, State.Peers[Left].Name) <
                 std::tie(State.Peers[Right].Hash, State.Peers[Right].Name);
        });
    State.Regions.push_back(std::move(Region));
  }
  State.Home = State.Peers[SelfPeer].Region;
  State.StoreRegion = storeRegion(State);
  assignNeighbours(State, Now);
}

void assignNeighbours(TransferState &State, TimePoint Now) {
  State.Neighbours.clear();
  const auto &Members = State.Regions[State.Home].Members;
  const std::size_t Count = Members.size();
  const auto Self = std::find(Members.begin(), Members.end(), SelfPeer);
  const auto Position = static_cast<std::size_t>(Self - Members.begin());
  // Offsets of powers of two in both directions make a graph of logarithmic
  // diameter, which is symmetric, so that map and request follow one link.
  for (std::size_t Offset = 1;
       Offset < Count && State.Neighbours.size() < State.Settings.MaxNeighbours;
       Offset *= 2) {
    addNeighbour(State, Members[(Position + Offset) % Count]);
    addNeighbour(State, Members[(Position + Count - Offset) % Count]);
  }
  for (RegionIndex Other = 0; Other < State.Regions.size(); ++Other) {
    if (Other == State.Home || State.Regions[Other].Members.empty())
      continue;
    if (State.Settings.SpreadLinks) {
      if (Position < carrierCount(State, State.Home))
        addCarriers(State, Other, Position);
      continue;
    }
    addNeighbour(State, importer(State, State.Home, Other, 0));
    const PeerIndex Sender = exporter(State, State.Home, Other);
    addNeighbour(State, Sender);
    if (Sender != SelfPeer)
      continue;
    std::size_t Place = 0;
    PeerIndex Receiver = importer(State, Other, State.Home, Place);
    while (Receiver != NoPeer && !reachable(State.Peers[Receiver], Now))
      Receiver = importer(State, Other, State.Home, ++Place);
    addNeighbour(State, Receiver);
  }
}

void assignChunks(TransferState &State, TimePoint Now) {
  State.Draws.clear();
  State.Standby.clear();
  State.StandbyCursor = 0;
  State.Exported.Words.clear();
  for (RegionSlot &Region : State.Regions) {
    Region.Imports.Words.clear();
    Region.Progress = Now;
  }
  for (ChunkIndex Index = 0; Index < State.Chunks.size(); ++Index)
    if (State.Chunks[Index].WantedBy > 0)
      assignChunk(State, Index);
}

void startAsking(TransferState &State, VersionSlot &Version, TimePoint Now) {
  Version.AskDue = true;
  Version.Awaited.clear();
  Version.AskUntil = Now + State.Settings.MapWait;
}

bool awaitsMaps(const TransferState &State, TimePoint Now) {
  return std::any_of(State.Versions.begin(), State.Versions.end(),
                     [&](const auto &Item) {
                       const VersionSlot &Version = Item.second;
                       return Version.Wanted && Now < Version.AskUntil &&
                              (Version.AskDue || !Version.Awaited.empty());
                     });
}

void stopAwaiting(VersionSlot &Version, PeerIndex Peer) {
  std::erase(Version.Awaited, Peer);
}

bool heldNearby(const TransferState &State, ChunkIndex Index, TimePoint Now) {
  if (State.Chunks[Index].Available == 0)
    return false;
  const auto &Sources = State.Regions[State.Home].Sources;
  return std::any_of(Sources.begin(), Sources.end(), [&](PeerIndex Peer) {
    return State.Peers[Peer].Has.test(Index) &&
           reachable(State.Peers[Peer], Now);
  });
}

void takeOver(TransferState &State, ChunkIndex Index) {
  ChunkSlot &Slot = State.Chunks[Index];
  if (std::exchange(Slot.Mine, true))
    return;
  if (Slot.Source != NoRegion)
    State.Regions[Slot.Source].Imports.set(Index);
  else if (Slot.IsDescriptor)
    State.Draws.push_front(Index);
  else
    State.Draws.push_back(Index);
}

bool endFlight(TransferState &State, ChunkIndex Index, PeerIndex Peer) {
  const auto Found = std::find_if(
      State.Flights.begin(), State.Flights.end(), [&](const Flight &Request) {
        return Request.Chunk == Index && Request.Peer == Peer;
      });
  if (Found == State.Flights.end())
    return false;
  *Found = State.Flights.back();
  State.Flights.pop_back();
  if (Peer == NoPeer) {
    --State.StoreFlights;
    if (!State.Held.test(Index) && State.Chunks[Index].WantedBy > 0 &&
        State.Chunks[Index].Source == NoRegion)
      State.Draws.push_back(Index);
  } else {
    --State.Peers[Peer].InFlight;
    --State.Regions[State.Peers[Peer].Region].InFlight;
  }
  State.Chunks[Index].InFlight = std::any_of(
      State.Flights.begin(), State.Flights.end(),
      [&](const Flight &Request) { return Request.Chunk == Index; });
  refreshMissing(State, Index);
  if (State.Chunks[Index].References == 0 && !State.Held.test(Index))
    releaseChunk(State, Index);
  return true;
}

void losePeer(TransferState &State, PeerIndex Peer, TimePoint Now) {
  constexpr std::uint32_t MaxDoublings = 16; // keeps the product small
  PeerSlot &Slot = State.Peers[Peer];
  Slot.LostUntil =
      Now + std::min(State.Settings.MaxLostTime,
                     State.Settings.StallTimeout *
                         (1 << std::min(Slot.Timeouts, MaxDoublings)));
  ++Slot.Timeouts;
  for (auto &[Id, Version] : State.Versions)
    stopAwaiting(Version, Peer);
  std::vector<ChunkIndex> Ended;
  for (const Flight &Request : State.Flights)
    if (Request.Peer == Peer)
      Ended.push_back(Request.Chunk);
  for (const ChunkIndex Index : Ended)
    endFlight(State, Index, Peer);
  std::erase_if(State.Uploads,
                [&](const Upload &Queued) { return Queued.Peer == Peer; });
  assignNeighbours(State, Now);
}

void forgetHolder(TransferState &State, PeerIndex Peer, ChunkIndex Index) {
  if (!State.Peers[Peer].Has.test(Index))
    return;
  State.Peers[Peer].Has.set(Index, false);
  --State.Peers[Peer].HasCount;
  --State.Chunks[Index].Available;
}

void releaseChunk(TransferState &State, ChunkIndex Index) {
  ChunkSlot &Slot = State.Chunks[Index];
  if (State.Held.test(Index)) {
    State.Held.set(Index, false);
    State.HeldBytes -= Slot.Size;
    for (auto &[Id, Version] : State.Versions)
      if (Version.Content.test(Index)) {
        ++Version.Missing;
        Version.Changed = true;
      }
  }
  refreshMissing(State, Index);
  if (Slot.References > 0 || Slot.InFlight)
    return;
  for (PeerIndex Peer = 0; Peer < State.Peers.size(); ++Peer)
    forgetHolder(State, Peer, Index);
  std::erase_if(State.Uploads,
                [&](const Upload &Queued) { return Queued.Chunk == Index; });
  State.ChunkById.erase(Slot.Id);
  Slot = ChunkSlot{};
  State.FreeChunks.push_back(Index);
}

} // namespace marigoldyard::detail
