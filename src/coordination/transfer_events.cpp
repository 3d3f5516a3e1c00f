#include "marigoldyard/coordination/detail/transfer_roles.hpp"
#include "marigoldyard/coordination/transfer.hpp"

#include <algorithm>
#include <utility>

namespace marigoldyard {

using detail::ChunkIndex;
using detail::ChunkSlot;
using detail::NoPeer;
using detail::NoRegion;
using detail::PeerIndex;
using detail::PeerSlot;
using detail::RegionIndex;
using detail::VersionSlot;

namespace {

constexpr std::size_t MaxRequesters = 8;
constexpr std::size_t MaxRefusals = 64;
constexpr std::size_t MaxMapRequests = 64;
/// RetryAfter in the refusal of a sender whose upload queue is full.
constexpr Duration BusyRetry = std::chrono::milliseconds(50);

PeerIndex findPeer(const TransferState &State, const std::string &Name) {
  const auto Found = State.PeerByName.find(Name);
  return Found == State.PeerByName.end() ? NoPeer : Found->second;
}

void backOffStore(TransferState &State, Duration Least, TimePoint Now) {
  constexpr std::uint32_t MaxDoublings = 5;
  const Duration Backoff =
      std::min(State.Settings.StoreBackoff *
                   (1 << std::min(State.StoreFailures, MaxDoublings)),
               State.Settings.StoreBackoffMax);
  ++State.StoreFailures;
  State.StoreRetryAt = Now + std::max(Backoff, Least);
}

void banPeer(TransferState &State, PeerIndex Peer, TimePoint Now) {
  constexpr std::uint32_t MaxDoublings = 6;
  PeerSlot &Slot = State.Peers[Peer];
  Slot.Corrupt = 0;
  Slot.RefusedSince = TimePoint{};
  Slot.BannedUntil =
      Now + State.Settings.BanTime * (1 << std::min(Slot.Bans, MaxDoublings));
  ++Slot.Bans;
}

void recordCorruptChunk(TransferState &State, PeerIndex Peer, ChunkIndex Index,
                        TimePoint Now) {
  PeerSlot &Slot = State.Peers[Peer];
  detail::removeHolder(State, Peer, Index);
  if (++Slot.Corrupt >= State.Settings.CorruptLimit)
    banPeer(State, Peer, Now);
}

void markHeld(TransferState &State, ChunkIndex Index) {
  State.Held.set(Index);
  State.HeldBytes += State.Chunks[Index].Size;
  detail::refreshMissing(State, Index);
  for (auto &[Id, Version] : State.Versions)
    if (Version.ChunkSet.test(Index)) {
      --Version.MissingCount;
      Version.MapChanged = true;
    } else if (Version.Descriptor == Index) {
      Version.MapChanged = true;
    }
}

/// Checks whether the source of a chunk fails: the last store fetch failed, or
/// imports from the source region have stalled.
bool isSourceFailing(const TransferState &State, const ChunkSlot &Slot,
                     TimePoint Now) {
  if (Slot.SourceRegion == NoRegion)
    return State.StoreFailures > 0;
  return Now - State.Regions[Slot.SourceRegion].LastProgressAt >=
         State.Settings.StallTimeout;
}

Duration retryDelayForMissing(const TransferState &State, const Digest &Chunk,
                              TimePoint Now) {
  const auto Found = State.ChunkById.find(Chunk);
  if (Found == State.ChunkById.end())
    return Duration{};
  const ChunkSlot &Slot = State.Chunks[Found->second];
  if (Slot.WantedBy == 0)
    return Duration{};
  if (Slot.Responsible[0] == 0 && isSourceFailing(State, Slot, Now))
    return Duration{};
  return State.Settings.InFlightRetryDelay;
}

void queueRefusal(TransferState &State, const std::string &Peer,
                  const Digest &Chunk, Duration RetryAfter) {
  if (State.Refusals.size() < MaxRefusals)
    State.Refusals.push_back({Chunk, Peer, RetryAfter});
}

/// Records a peer of another region that requested a chunk. It then receives
/// chunk maps, so that an importer that lost its exporter finds another one.
void recordRequester(TransferState &State, PeerIndex Peer, TimePoint Now) {
  if (State.Peers[Peer].Region == State.LocalRegion)
    return;
  auto &All = State.Requesters;
  std::erase_if(All,
                [&](const detail::Requester &One) { return One.Peer == Peer; });
  if (All.size() >= MaxRequesters)
    All.erase(All.begin());
  All.push_back({Peer, Now});
}

/// Checks whether an upload of the chunk to a peer of the local region is
/// queued or recent. That peer can forward it, so a busy sender uses its rate
/// for chunks that nobody else in the region has.
bool isUploadedInRegion(const TransferState &State, ChunkIndex Chunk,
                        TimePoint Now) {
  const bool Queued =
      std::any_of(State.Uploads.begin(), State.Uploads.end(),
                  [&](const detail::Upload &Other) {
                    return Other.Chunk == Chunk &&
                           State.Peers[Other.Peer].Region == State.LocalRegion;
                  });
  return Queued || Now - State.Chunks[Chunk].LastLocalUploadAt <
                       State.Settings.AnnounceInterval;
}

/// Checks whether another upload is accepted. It must be expected to be sent
/// well before its requester times out.
bool acceptsUpload(const TransferState &State, PeerIndex Peer, ChunkIndex Chunk,
                   bool Exports, TimePoint Now) {
  const RegionIndex Region = State.Peers[Peer].Region;
  const bool Remote = Region != State.LocalRegion;
  std::size_t Count = 0;
  std::uint64_t Bytes = State.Chunks[Chunk].Size;
  // Uploads to other regions come first, and all share the agent's own rate.
  std::uint64_t BytesAhead = Bytes;
  for (const detail::Upload &Other : State.Uploads) {
    const RegionIndex OtherRegion = State.Peers[Other.Peer].Region;
    const std::uint64_t Size = State.Chunks[Other.Chunk].Size;
    if (!Remote || OtherRegion != State.LocalRegion)
      BytesAhead += Size;
    if (OtherRegion == Region) {
      Bytes += Size;
      ++Count;
    }
  }
  const std::size_t Limit = State.Settings.MaxUploadQueue * (Exports ? 2 : 1);
  if (Count == 0)
    return true;
  const Duration Wait =
      std::max(detail::uploadTime(State, BytesAhead),
               Remote ? detail::linkTime(State, Bytes) : Duration{});
  return Count < Limit && Wait <= State.Settings.StallTimeout / 2 &&
         (Remote || Exports || !isUploadedInRegion(State, Chunk, Now));
}

} // namespace

std::optional<Error> chunkMapReceived(TransferState &State,
                                      const std::string &Peer,
                                      const Digest &Version,
                                      const std::vector<bool> &Held,
                                      TimePoint Now) {
  const PeerIndex From = findPeer(State, Peer);
  const auto Found = State.Versions.find(Version);
  if (From == NoPeer || From == 0 || Found == State.Versions.end())
    return std::nullopt;
  VersionSlot &Slot = Found->second;
  PeerSlot &Sender = State.Peers[From];
  if (Slot.Described && !Held.empty() && Held.size() != Slot.Chunks.size())
    return Error{ErrorCode::InvalidMessage, Step::ChunkRequest, Peer,
                 "chunk map of " + std::to_string(Held.size()) +
                     " bits for a version of " +
                     std::to_string(Slot.Chunks.size()) + " chunks"};
  detail::stopAwaitingPeer(Slot, From);
  State.Regions[Sender.Region].LastAnswerAt = Now;
  if (!Sender.HasSentMap) {
    Sender.HasSentMap = true;
    State.Regions[Sender.Region].MapSenders.push_back(From);
  }
  const auto Note = [&](ChunkIndex Index, bool Has) {
    if (Has && !Sender.HeldChunks.test(Index)) {
      Sender.HeldChunks.set(Index);
      Sender.LastGainAt = Now;
      ++Sender.HeldCount;
      ++State.Chunks[Index].HolderCount;
    } else if (!Has) {
      detail::removeHolder(State, From, Index);
    }
  };
  Note(Slot.Descriptor, true);
  if (!Slot.Described &&
      std::find(Held.begin(), Held.end(), true) != Held.end())
    Slot.HasUnreadMaps = true;
  if (!Slot.Described || Held.empty())
    return std::nullopt;
  for (std::size_t Index = 0; Index < Held.size(); ++Index)
    Note(Slot.Chunks[Index], Held[Index]);
  // On the first map of a version from a peer, announce the local map without
  // waiting for the next refresh.
  if (std::find(Sender.MapVersions.begin(), Sender.MapVersions.end(),
                Version) == Sender.MapVersions.end()) {
    Sender.MapVersions.push_back(Version);
    Slot.MapChanged = true;
  }
  return std::nullopt;
}

void emptyMapReceived(TransferState &State, const std::string &Peer,
                      const Digest &Version) {
  const auto Found = State.Versions.find(Version);
  const PeerIndex From = findPeer(State, Peer);
  if (Found == State.Versions.end() || From == NoPeer)
    return;
  detail::stopAwaitingPeer(Found->second, From);
  PeerSlot &Sender = State.Peers[From];
  // The peer has just started. If it stayed marked as lost, the next owner
  // would fetch its chunks a second time.
  Sender.LostUntil = TimePoint{};
  Sender.Timeouts = 0;
  if (!Sender.HeldChunks.test(Found->second.Descriptor))
    return;
  // The peer held the descriptor before, so it has restarted and holds nothing.
  Sender.MapVersions.clear();
  for (ChunkIndex Index = 0; Index < State.Chunks.size(); ++Index)
    detail::removeHolder(State, From, Index);
}

void mapRequested(TransferState &State, const std::string &Peer,
                  const Digest &Version) {
  auto &All = State.MapRequests;
  const bool Known =
      std::any_of(All.begin(), All.end(), [&](const detail::MapRequest &One) {
        return One.Peer == Peer && One.Version == Version;
      });
  if (!Known && All.size() < MaxMapRequests)
    All.push_back({Version, Peer});
}

bool chunkReceived(TransferState &State, const Digest &Chunk,
                   const std::string &From, bool Verified, TimePoint Now) {
  const auto Found = State.ChunkById.find(Chunk);
  const PeerIndex Peer = From.empty() ? NoPeer : findPeer(State, From);
  if (Found == State.ChunkById.end())
    return false;
  const ChunkIndex Index = Found->second;
  const bool New =
      Verified && !State.Held.test(Index) && State.Chunks[Index].References > 0;
  if (New)
    markHeld(State, Index);
  const bool Asked = (From.empty() || Peer != NoPeer) &&
                     detail::endRequest(State, Index, Peer);
  if (!Verified) {
    if (From.empty())
      backOffStore(State, Duration{}, Now);
    else if (Asked)
      recordCorruptChunk(State, Peer, Index, Now);
    return false;
  }
  if (From.empty()) {
    State.StoreFailures = 0;
  } else if (Peer != NoPeer) {
    PeerSlot &Sender = State.Peers[Peer];
    Sender.Timeouts = 0;
    Sender.RefusedSince = TimePoint{};
    State.Regions[Sender.Region].LastProgressAt = Now;
    State.Regions[Sender.Region].LastAnswerAt = Now;
    // The peer sends in the order of requests, so later requests to it are not
    // stalled either.
    for (detail::PendingRequest &Request : State.PendingRequests)
      if (Request.Peer == Peer)
        Request.Deadline =
            std::max(Request.Deadline, Now + State.Settings.StallTimeout);
  }
  return New;
}

void chunkRefused(TransferState &State, const Digest &Chunk,
                  const std::string &Peer, Duration RetryAfter, TimePoint Now) {
  const auto Found = State.ChunkById.find(Chunk);
  const PeerIndex From = findPeer(State, Peer);
  if (Found == State.ChunkById.end() || From == NoPeer)
    return;
  const ChunkIndex Index = Found->second;
  if (!detail::endRequest(State, Index, From) ||
      !State.ChunkById.contains(Chunk))
    return;
  ChunkSlot &Slot = State.Chunks[Index];
  PeerSlot &Sender = State.Peers[From];
  State.Regions[Sender.Region].LastAnswerAt = Now;
  Sender.Timeouts = 0;
  if (Sender.RefusedSince == TimePoint{} ||
      Now - Sender.BusyUntil > State.Settings.StallTimeout)
    Sender.RefusedSince = Now;
  // Do not request this chunk from the peer again until its next map.
  const bool Claimed = Sender.HeldChunks.test(Index);
  detail::removeHolder(State, From, Index);
  if (Claimed) {
    // A busy holder repeats its map well before this timeout. A peer that does
    // not hold what its map claims gets banned.
    if (RetryAfter > Duration::zero())
      Slot.BusyUntil = Now + State.Settings.StallTimeout;
    Sender.BusyUntil = Now + std::min(RetryAfter, State.Settings.StallTimeout);
    // A peer that is merely busy sends at least one chunk within this time.
    if (Now - Sender.RefusedSince >= 2 * State.Settings.StallTimeout)
      banPeer(State, From, Now);
  }
  if (Slot.Responsible[0] != From && Slot.Responsible[1] != From)
    return;
  // A busy owner that holds the chunk needs no replacement.
  if (Claimed && RetryAfter > Duration::zero())
    return;
  if (!Claimed && RetryAfter == Duration::zero())
    Slot.RefusedProbes = detail::MaxProbes;
  if (Slot.RefusedProbes < detail::MaxProbes)
    ++Slot.RefusedProbes;
  Slot.RetryAt = Now + std::max(RetryAfter, State.Settings.StallTimeout);
}

void storeFetchFailed(TransferState &State, const Digest &Chunk,
                      Duration RetryAfter, TimePoint Now) {
  const auto Found = State.ChunkById.find(Chunk);
  if (Found == State.ChunkById.end() ||
      !detail::endRequest(State, Found->second, NoPeer))
    return;
  backOffStore(State, RetryAfter, Now);
  // A store that fails here too may be down for all. The preferred owner keeps
  // trying; if all standby owners did so, the store would be asked for several
  // copies when it is back.
  if (State.ChunkById.contains(Chunk))
    detail::returnToOwner(State, Found->second, Now);
}

void storeFetchProgressed(TransferState &State, const Digest &Chunk,
                          TimePoint Now) {
  const auto Found = State.ChunkById.find(Chunk);
  if (Found == State.ChunkById.end())
    return;
  for (detail::PendingRequest &Request : State.PendingRequests)
    if (Request.Chunk == Found->second && Request.Peer == NoPeer)
      Request.Deadline = Now + State.Settings.StoreTimeout;
}

void transferPeerLost(TransferState &State, const std::string &Peer,
                      TimePoint Now) {
  const PeerIndex Index = findPeer(State, Peer);
  if (Index != NoPeer && Index != 0)
    detail::markPeerLost(State, Index, Now);
}

void uploadRequested(TransferState &State, const std::string &Peer,
                     const Digest &Chunk, TimePoint Now) {
  const PeerIndex From = findPeer(State, Peer);
  if (From == NoPeer || From == 0) {
    queueRefusal(State, Peer, Chunk, State.Settings.StallTimeout);
    return;
  }
  recordRequester(State, From, Now);
  const auto Found = State.ChunkById.find(Chunk);
  if (Found == State.ChunkById.end() || !State.Held.test(Found->second)) {
    queueRefusal(State, Peer, Chunk, retryDelayForMissing(State, Chunk, Now));
    return;
  }
  for (const detail::Upload &Queued : State.Uploads)
    if (Queued.Chunk == Found->second && Queued.Peer == From)
      return;
  // The region that fetches a chunk from the store holds it long before its
  // links have capacity to export it, so such uploads get no priority.
  const bool Exports = State.Chunks[Found->second].SourceRegion != NoRegion &&
                       detail::isExporter(State, From, Found->second);
  if (!acceptsUpload(State, From, Found->second, Exports, Now)) {
    queueRefusal(State, Peer, Chunk, BusyRetry);
    return;
  }
  State.Uploads.push_back({Found->second, From, Now, Exports});
}

} // namespace marigoldyard
