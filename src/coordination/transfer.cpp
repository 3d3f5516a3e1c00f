#include "marigoldyard/coordination/transfer.hpp"

#include "marigoldyard/coordination/detail/rendezvous.hpp"
#include "marigoldyard/coordination/detail/transfer_roles.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace marigoldyard {

using detail::ChunkIndex;
using detail::PeerIndex;
using detail::PeerSlot;
using detail::VersionSlot;

namespace {

void setChunkSize(TransferState &State, ChunkIndex Index, std::uint64_t Size) {
  detail::ChunkSlot &Slot = State.Chunks[Index];
  if (State.Held.test(Index))
    State.HeldBytes += Size - Slot.Size;
  Slot.Size = Size;
}

ChunkIndex referenceChunk(TransferState &State, const Digest &Id,
                          std::uint64_t Size) {
  const auto Known = State.ChunkById.find(Id);
  if (Known != State.ChunkById.end()) {
    ++State.Chunks[Known->second].References;
    // A corrected manifest may correct the size.
    setChunkSize(State, Known->second, Size);
    return Known->second;
  }
  auto Index = static_cast<ChunkIndex>(State.Chunks.size());
  if (State.FreeChunks.empty()) {
    State.Chunks.emplace_back();
  } else {
    Index = State.FreeChunks.back();
    State.FreeChunks.pop_back();
  }
  detail::ChunkSlot &Slot = State.Chunks[Index];
  Slot.Id = Id;
  Slot.Hash = detail::nameHash(Id);
  Slot.Size = Size;
  Slot.References = 1;
  State.ChunkById.emplace(Id, Index);
  return Index;
}

void unreferenceChunk(TransferState &State, ChunkIndex Index) {
  if (--State.Chunks[Index].References == 0 && !State.Held.test(Index))
    detail::releaseChunk(State, Index);
}

void markWanted(TransferState &State, ChunkIndex Index, TimePoint Now) {
  detail::ChunkSlot &Slot = State.Chunks[Index];
  if (Slot.WantedBy++ == 0) {
    Slot.WantedSince = Now;
    Slot.RefusedProbes = 0;
  }
  detail::refreshMissing(State, Index);
}

void setWanted(TransferState &State, VersionSlot &Version, bool Wanted,
               TimePoint Now) {
  if (Version.Wanted == Wanted)
    return;
  Version.Wanted = Wanted;
  Version.MapChanged = true;
  if (Wanted) {
    Version.WantedAt = Now;
    detail::scheduleMapRequest(State, Version, Now);
  }
  std::vector<ChunkIndex> All = Version.Chunks;
  All.push_back(Version.Descriptor);
  for (const ChunkIndex Index : All) {
    if (Wanted) {
      markWanted(State, Index, Now);
    } else {
      --State.Chunks[Index].WantedBy;
      detail::refreshMissing(State, Index);
    }
  }
  if (!Wanted)
    Version.UnwantedSince = Now;
}

/// Removes versions, the one unwanted for the longest time first, until there
/// is room for a new one.
void evictVersions(TransferState &State) {
  while (State.Versions.size() >= State.Settings.MaxVersions) {
    auto Oldest = State.Versions.end();
    for (auto It = State.Versions.begin(); It != State.Versions.end(); ++It)
      if (!It->second.Wanted &&
          (Oldest == State.Versions.end() ||
           It->second.UnwantedSince < Oldest->second.UnwantedSince))
        Oldest = It;
    if (Oldest == State.Versions.end())
      return;
    const VersionSlot Evicted = std::move(Oldest->second);
    for (PeerSlot &Peer : State.Peers)
      std::erase(Peer.MapVersions, Oldest->first);
    State.Versions.erase(Oldest);
    for (const ChunkIndex Index : Evicted.Chunks)
      unreferenceChunk(State, Index);
    unreferenceChunk(State, Evicted.Descriptor);
  }
}

void addPeer(TransferState &State, const TransferPeer &Listed) {
  auto Index = static_cast<PeerIndex>(State.Peers.size());
  if (State.FreePeers.empty()) {
    State.Peers.emplace_back();
  } else {
    Index = State.FreePeers.back();
    State.FreePeers.pop_back();
  }
  PeerSlot &Peer = State.Peers[Index];
  Peer.Name = Listed.Name;
  Peer.RegionName = Listed.Region;
  Peer.Hash = detail::nameHash(Listed.Name);
  Peer.Leaving = Listed.Leaving;
  State.PeerByName.emplace(Listed.Name, Index);
}

void removePeer(TransferState &State, PeerIndex Index, TimePoint Now) {
  detail::markPeerLost(State, Index, Now);
  PeerSlot &Peer = State.Peers[Index];
  for (ChunkIndex Chunk = 0; Chunk < State.Chunks.size(); ++Chunk)
    detail::removeHolder(State, Index, Chunk);
  std::erase_if(State.Requesters, [&](const detail::Requester &One) {
    return One.Peer == Index;
  });
  State.PeerByName.erase(Peer.Name);
  Peer = PeerSlot{};
  State.FreePeers.push_back(Index);
}

bool isKnown(const TransferState &State, const TransferPeer &Listed) {
  const auto Known = State.PeerByName.find(Listed.Name);
  if (Known == State.PeerByName.end())
    return false;
  const PeerSlot &Peer = State.Peers[Known->second];
  return Peer.Leaving == Listed.Leaving &&
         (Known->second == 0 || Peer.RegionName == Listed.Region);
}

/// Total size in bytes of all wanted chunks, with those of Added included.
std::uint64_t wantedBytes(const TransferState &State,
                          const VersionDescriptor &Added) {
  std::uint64_t Bytes = 0;
  for (const detail::ChunkSlot &Slot : State.Chunks)
    Bytes += Slot.WantedBy > 0 ? Slot.Size : 0;
  for (const Chunk &Part : Added.Chunks) {
    const auto Known = State.ChunkById.find(Part.Id);
    if (Known == State.ChunkById.end() ||
        State.Chunks[Known->second].WantedBy == 0)
      Bytes += Part.Size;
  }
  return Bytes;
}

} // namespace

TransferSettings makeNarrowLinkSettings() {
  using std::chrono::milliseconds;
  TransferSettings Result;
  // The links of VMs are narrower than the links between regions.
  Result.DistributeLinks = true;
  Result.DirectImport = true;
  // While a server serves, its requests and tokens share the link.
  Result.MaxInFlight = 2;
  Result.MaxImports = 1;
  Result.MaxPerPeer = 2;
  // Enough to saturate the origin's link, which is as narrow as that of one VM,
  // and few enough for its slots and connections.
  Result.MaxStoreReaders = 6;
  Result.StallTimeout = milliseconds(800);
  Result.StoreTimeout = std::chrono::seconds(3);
  // A few round trips.
  Result.MapWait = milliseconds(80);
  Result.AnnounceInterval = milliseconds(120);
  Result.RefreshInterval = std::chrono::seconds(1);
  Result.FullRefreshInterval = std::chrono::seconds(5);
  // When the whole fleet restarts, it must not wait for its own timeouts.
  Result.MaxLostTime = milliseconds(1600);
  Result.BanTime = std::chrono::seconds(5);
  Result.InFlightRetryDelay = milliseconds(150);
  Result.StoreBackoff = milliseconds(150);
  // Six readers retry a few times per second, so that the origin is used as
  // soon as it recovers.
  Result.StoreBackoffMax = milliseconds(300);
  Result.StandbyInterval = milliseconds(150);
  return Result;
}

TransferState makeTransfer(TransferSettings Settings) {
  TransferState State;
  State.Settings = std::move(Settings);
  addPeer(State, {State.Settings.Self, State.Settings.Region});
  detail::assignRegions(State, TimePoint{});
  return State;
}

void setTransferPeers(TransferState &State,
                      const std::vector<TransferPeer> &Peers, TimePoint Now,
                      bool Complete) {
  State.MembersKnown |= Complete;
  std::set<std::string> Listed{State.Settings.Self};
  for (const TransferPeer &Peer : Peers)
    Listed.insert(Peer.Name);
  // The list is read often and seldom changes. An unchanged list must not reset
  // the stall timers.
  if (Listed.size() == State.PeerByName.size() &&
      std::all_of(Peers.begin(), Peers.end(), [&](const TransferPeer &Peer) {
        return isKnown(State, Peer);
      }))
    return;
  for (PeerIndex Index = 0; Index < State.Peers.size(); ++Index)
    if (!State.Peers[Index].Name.empty() &&
        !Listed.contains(State.Peers[Index].Name))
      removePeer(State, Index, Now);
  for (const TransferPeer &Peer : Peers) {
    const auto Known = State.PeerByName.find(Peer.Name);
    if (Known == State.PeerByName.end()) {
      addPeer(State, Peer);
      continue;
    }
    PeerSlot &Slot = State.Peers[Known->second];
    Slot.Leaving = Peer.Leaving;
    if (Known->second != 0)
      Slot.RegionName = Peer.Region;
  }
  detail::assignRegions(State, Now);
  detail::assignChunks(State, Now);
}

void setWantedVersions(TransferState &State,
                       const std::vector<Digest> &Versions, TimePoint Now) {
  for (auto &[Id, Version] : State.Versions)
    if (std::find(Versions.begin(), Versions.end(), Id) == Versions.end())
      setWanted(State, Version, false, Now);
  for (const Digest &Id : Versions) {
    if (!State.Versions.contains(Id)) {
      evictVersions(State);
      if (State.Versions.size() >= State.Settings.MaxVersions)
        continue;
      VersionSlot Added;
      Added.Descriptor = referenceChunk(State, Id, 0);
      State.Chunks[Added.Descriptor].IsDescriptor = true;
      State.Versions.emplace(Id, std::move(Added));
    }
    setWanted(State, State.Versions[Id], true, Now);
  }
  detail::assignChunks(State, Now);
}

std::optional<Error> descriptorReceived(TransferState &State,
                                        const VersionDescriptor &Descriptor,
                                        TimePoint Now) {
  const auto Found = State.Versions.find(Descriptor.Id);
  if (Found == State.Versions.end())
    return Error{ErrorCode::ChunkUnavailable, Step::DescriptorFetch, "",
                 "descriptor " + Descriptor.Id + " is not wanted"};
  VersionSlot &Version = Found->second;
  if (Version.Described) {
    // The digest of a descriptor does not cover the sizes, which may have been
    // corrected.
    for (std::size_t Part = 0; Part < Version.Chunks.size(); ++Part)
      setChunkSize(State, Version.Chunks[Part], Descriptor.Chunks[Part].Size);
    return std::nullopt;
  }
  const std::uint64_t Bytes = wantedBytes(State, Descriptor);
  if (State.ChunkById.size() + Descriptor.Chunks.size() >
          State.Settings.MaxChunks ||
      (State.Settings.BufferBytes > 0 && Bytes > State.Settings.BufferBytes))
    return Error{ErrorCode::ChunkUnavailable, Step::DescriptorFetch, "",
                 "version " + Descriptor.Id + " needs " +
                     std::to_string(Bytes) +
                     " bytes with the other wanted versions and exceeds "
                     "weights_buffer_bytes or the chunk limit"};
  Version.Described = true;
  Version.MapChanged = true;
  // Maps that arrive before the descriptor cannot be interpreted, so they are
  // requested again. In a new rollout there are none, and the first fetches
  // start without a second exchange of maps.
  if (std::exchange(Version.HasUnreadMaps, false))
    detail::scheduleMapRequest(State, Version, Now);
  for (const Chunk &Part : Descriptor.Chunks) {
    const ChunkIndex Index = referenceChunk(State, Part.Id, Part.Size);
    Version.Chunks.push_back(Index);
    if (!Version.ChunkSet.test(Index) && !State.Held.test(Index))
      ++Version.MissingCount;
    Version.ChunkSet.set(Index);
    if (Version.Wanted)
      markWanted(State, Index, Now);
  }
  detail::assignChunks(State, Now);
  return std::nullopt;
}

bool versionComplete(const TransferState &State, const Digest &Version) {
  const auto Found = State.Versions.find(Version);
  return Found != State.Versions.end() && Found->second.Described &&
         Found->second.MissingCount == 0;
}

std::vector<std::string> storeReaders(const TransferState &State) {
  std::vector<std::string> Result;
  if (State.StoreRegion == detail::NoRegion)
    return Result;
  const auto &Members = State.Regions[State.StoreRegion].Members;
  const std::size_t Readers = State.Settings.MaxStoreReaders;
  for (const PeerIndex Index : Members)
    if (Readers == 0 || Result.size() < Readers)
      Result.push_back(State.Peers[Index].Name);
  return Result;
}

TransferProgress transferProgress(const TransferState &State,
                                  const Digest &Version) {
  TransferProgress Result;
  const auto Found = State.Versions.find(Version);
  if (Found == State.Versions.end() || !Found->second.Described)
    return Result;
  for (const ChunkIndex Index : Found->second.Chunks) {
    const bool Held = State.Held.test(Index);
    ++Result.Chunks;
    Result.Held += Held ? 1 : 0;
    Result.HeldOrAvailable +=
        Held || State.Chunks[Index].HolderCount > 0 ? 1 : 0;
  }
  return Result;
}

std::vector<Digest> versionChunks(const TransferState &State,
                                  const Digest &Version) {
  std::vector<Digest> Result;
  const auto Found = State.Versions.find(Version);
  if (Found != State.Versions.end())
    for (const ChunkIndex Index : Found->second.Chunks)
      Result.push_back(State.Chunks[Index].Id);
  return Result;
}

std::vector<Digest> droppableChunks(const TransferState &State) {
  std::vector<Digest> Result;
  for (ChunkIndex Index = 0; Index < State.Chunks.size(); ++Index)
    if (State.Held.test(Index) && State.Chunks[Index].WantedBy == 0)
      Result.push_back(State.Chunks[Index].Id);
  return Result;
}

} // namespace marigoldyard
