#include "marigoldyard/coordination/detail/transfer_roles.hpp"
#include "marigoldyard/coordination/transfer.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace marigoldyard {

using detail::ChunkBits;
using detail::ChunkIndex;
using detail::ChunkSlot;
using detail::NoPeer;
using detail::PeerIndex;
using detail::PeerSlot;
using detail::RegionIndex;
using detail::RegionSlot;
using detail::VersionSlot;

namespace {

using Actions = std::vector<TransferAction>;

/// Chunks compared for rarity in one choice. A larger sample gains little and
/// makes the pass over the bit set longer.
constexpr std::size_t RaritySample = 32;
constexpr std::size_t QueueChecksPerPlan = 64;
constexpr std::size_t StandbyChecksPerPlan = 256;
constexpr Duration RequesterLifetime = std::chrono::seconds(30);
/// Largest unused upload time that a later burst may use.
constexpr Duration UploadBurst = std::chrono::milliseconds(50);

/// Returns the local chunk map of a version, with an empty list of receivers.
AnnounceMap localMap(const TransferState &State, const Digest &Id) {
  AnnounceMap Map{.Version = Id};
  const auto Found = State.Versions.find(Id);
  Map.HasDescriptor = Found != State.Versions.end() &&
                      State.Held.test(Found->second.Descriptor);
  if (!Map.HasDescriptor)
    return Map;
  Map.Held.reserve(Found->second.Chunks.size());
  for (const ChunkIndex Index : Found->second.Chunks)
    Map.Held.push_back(State.Held.test(Index));
  return Map;
}

void expireRequests(TransferState &State, TimePoint Now) {
  for (std::size_t Index = 0; Index < State.PendingRequests.size();) {
    const detail::PendingRequest Request = State.PendingRequests[Index];
    if (Now < Request.Deadline) {
      ++Index;
      continue;
    }
    if (Request.Peer == NoPeer)
      storeFetchFailed(State, State.Chunks[Request.Chunk].Id, Duration{}, Now);
    else
      detail::markPeerLost(State, Request.Peer, Now);
    Index = 0;
  }
}

/// Selects the next upload among those to other regions (Remote) or to the
/// local region. Chunks that the peer forwards to another region come first,
/// then uploads that would soon time out at the requester, then the peer that
/// holds the fewest chunks, so that all peers finish at about the same time.
std::deque<detail::Upload>::iterator nextUpload(TransferState &State,
                                                bool Remote, TimePoint Now) {
  const TimePoint Overdue = Now - State.Settings.StallTimeout / 4;
  const auto Urgency = [&](const detail::Upload &Queued) {
    const bool Late = Queued.AskedAt <= Overdue;
    return std::tuple(!Queued.IsExport, !Late,
                      Late ? 0 : State.Peers[Queued.Peer].HeldCount);
  };
  auto Best = State.Uploads.end();
  for (auto It = State.Uploads.begin(); It != State.Uploads.end(); ++It) {
    const RegionIndex Region = State.Peers[It->Peer].Region;
    if ((Region != State.LocalRegion) != Remote ||
        (Remote && State.Regions[Region].NextSendAt > Now))
      continue;
    if (Best == State.Uploads.end() || Urgency(*It) < Urgency(*Best))
      Best = It;
  }
  return Best;
}

void serveQueue(TransferState &State, bool Remote, TimePoint Now,
                Actions &Result) {
  while (State.NextUploadAt <= Now) {
    const auto Next = nextUpload(State, Remote, Now);
    if (Next == State.Uploads.end())
      return;
    const PeerSlot &Peer = State.Peers[Next->Peer];
    ChunkSlot &Slot = State.Chunks[Next->Chunk];
    State.NextUploadAt = std::max(State.NextUploadAt, Now - UploadBurst) +
                         detail::uploadTime(State, Slot.Size);
    if (Remote) {
      TimePoint &SendAt = State.Regions[Peer.Region].NextSendAt;
      SendAt = std::max(SendAt, Now - UploadBurst) +
               detail::linkTime(State, Slot.Size);
    } else {
      Slot.LastLocalUploadAt = Now;
    }
    Result.emplace_back(SendChunk{Slot.Id, Peer.Name});
    State.Uploads.erase(Next);
  }
}

void serveUploads(TransferState &State, TimePoint Now, Actions &Result) {
  for (detail::Refusal &Answer : State.Refusals)
    Result.emplace_back(RefuseChunk{std::move(Answer.Chunk),
                                    std::move(Answer.Peer), Answer.RetryAfter});
  State.Refusals.clear();
  // Links between regions are the scarcest resource, so their uploads come
  // first.
  serveQueue(State, true, Now, Result);
  serveQueue(State, false, Now, Result);
}

void requestChunk(TransferState &State, ChunkIndex Index, PeerIndex Peer,
                  TimePoint Now, Actions &Result) {
  State.PendingRequests.push_back(
      {Index, Peer,
       Now + State.Settings.StallTimeout +
           detail::linkTime(State, State.Chunks[Index].Size)});
  State.Chunks[Index].InFlight = true;
  detail::refreshMissing(State, Index);
  ++State.Peers[Peer].InFlight;
  ++State.Regions[State.Peers[Peer].Region].InFlight;
  Result.emplace_back(
      RequestFromPeer{State.Chunks[Index].Id, State.Peers[Peer].Name});
}

void fetchChunk(TransferState &State, ChunkIndex Index, TimePoint Now,
                Actions &Result) {
  State.PendingRequests.push_back(
      {Index, NoPeer, Now + State.Settings.StoreTimeout});
  State.Chunks[Index].InFlight = true;
  detail::refreshMissing(State, Index);
  ++State.PendingStoreFetches;
  Result.emplace_back(
      FetchFromStore{State.Chunks[Index].Id, State.Chunks[Index].IsDescriptor});
}

/// Returns the rarest chunk in a sample of the intersection of all sets. A
/// descriptor takes precedence over chunks.
template <typename... Sets>
std::optional<ChunkIndex> rarestChunk(const TransferState &State,
                                      Random &Source, const ChunkBits &First,
                                      const Sets &...Others) {
  std::optional<ChunkIndex> Best;
  std::size_t Seen = 0;
  detail::visitIntersection(
      Source(),
      [&](ChunkIndex Index) {
        const ChunkSlot &Slot = State.Chunks[Index];
        if (Slot.IsDescriptor) {
          Best = Index;
          return false;
        }
        if (!Best || Slot.HolderCount < State.Chunks[*Best].HolderCount)
          Best = Index;
        return ++Seen < RaritySample;
      },
      First, Others...);
  return Best;
}

bool canRequest(const TransferState &State, const PeerSlot &Peer,
                TimePoint Now) {
  return detail::isReachable(Peer, Now) && Peer.BusyUntil <= Now &&
         Peer.InFlight < State.Settings.MaxPerPeer;
}

/// Requests chunks from the peers of a region in turn, from a random one on,
/// until the pending requests to the region reach Limit or Choose, which
/// selects a chunk of a peer, returns none for every peer.
template <typename Chooser>
void requestFromRegion(TransferState &State, RegionIndex RegionNumber,
                       std::size_t Limit, TimePoint Now, Random &Source,
                       Actions &Result, Chooser Choose) {
  const RegionSlot &Region = State.Regions[RegionNumber];
  const std::size_t Count = Region.MapSenders.size();
  if (Count == 0)
    return;
  std::size_t PeersSkipped = 0;
  for (std::size_t Step = Source();
       PeersSkipped < Count && Region.InFlight < Limit; ++Step) {
    const PeerIndex Index = Region.MapSenders[Step % Count];
    const PeerSlot &Peer = State.Peers[Index];
    ++PeersSkipped;
    if (!canRequest(State, Peer, Now))
      continue;
    if (const std::optional<ChunkIndex> Chunk = Choose(Peer)) {
      requestChunk(State, *Chunk, Index, Now, Result);
      PeersSkipped = 0;
    }
  }
}

/// Returns the order in which the chunks of versions are obtained: that of the
/// wanted versions with missing chunks, the one wanted for the longest time
/// first. Empty if there are fewer than two, which need no order.
std::vector<const VersionSlot *> versionOrder(const TransferState &State) {
  std::vector<const VersionSlot *> Result;
  for (const auto &[Id, Version] : State.Versions)
    if (Version.Wanted && Version.Described && Version.MissingCount > 0)
      Result.push_back(&Version);
  if (Result.size() < 2)
    return {};
  std::stable_sort(Result.begin(), Result.end(),
                   [](const VersionSlot *Left, const VersionSlot *Right) {
                     return Left->WantedAt < Right->WantedAt;
                   });
  return Result;
}

void requestInRegion(TransferState &State, TimePoint Now, Random &Source,
                     Actions &Result) {
  const auto Versions = versionOrder(State);
  requestFromRegion(State, State.LocalRegion, State.Settings.MaxInFlight, Now,
                    Source, Result, [&](const PeerSlot &Peer) {
                      std::optional<ChunkIndex> Chunk =
                          rarestChunk(State, Source, Peer.HeldChunks,
                                      State.Missing, State.ExportedChunks);
                      // A version that came later must not delay an earlier
                      // one.
                      for (const VersionSlot *Version : Versions)
                        if (!Chunk)
                          Chunk = rarestChunk(State, Source, Peer.HeldChunks,
                                              State.Missing, Version->ChunkSet);
                      if (!Chunk)
                        Chunk = rarestChunk(State, Source, Peer.HeldChunks,
                                            State.Missing);
                      return Chunk;
                    });
}

/// Requests the chunk maps of new versions from the neighbours in the local
/// region, once the members are known or the wait for them has expired.
void requestMaps(TransferState &State, TimePoint Now, Actions &Result) {
  for (auto &[Id, Version] : State.Versions) {
    if (!Version.MapRequestDue || !Version.Wanted ||
        (!State.MembersKnown && Now < Version.MapWaitUntil))
      continue;
    Version.MapRequestDue = false;
    // Agents outside the store's region do not fetch from the store.
    if (State.StoreRegion != detail::NoRegion &&
        State.StoreRegion != State.LocalRegion)
      continue;
    Version.MapWaitUntil = Now + State.Settings.MapWait;
    AnnounceMap Announcement = localMap(State, Id);
    Announcement.RequestsReply = true;
    for (const PeerIndex Index : State.Neighbours) {
      const PeerSlot &Peer = State.Peers[Index];
      if (Peer.Region != State.LocalRegion || !detail::isReachable(Peer, Now))
        continue;
      Version.AwaitedPeers.push_back(Index);
      Announcement.Peers.push_back(Peer.Name);
    }
    if (!Announcement.Peers.empty())
      Result.emplace_back(std::move(Announcement));
  }
}

void answerMapRequests(TransferState &State, Actions &Result) {
  for (detail::MapRequest &Pending : State.MapRequests) {
    AnnounceMap Answer = localMap(State, Pending.Version);
    Answer.Peers.push_back(std::move(Pending.Peer));
    Result.emplace_back(std::move(Answer));
  }
  State.MapRequests.clear();
}

/// Orders the queue of fetches by version, the one wanted for the longest time
/// first, since it goes out of use when a later one arrives.
void orderQueue(TransferState &State) {
  const auto Versions = versionOrder(State);
  if (Versions.empty())
    return;
  const auto RankOf = [&](ChunkIndex Index) {
    if (State.Chunks[Index].IsDescriptor)
      return std::ptrdiff_t{-1};
    return std::find_if(Versions.begin(), Versions.end(),
                        [&](const VersionSlot *Version) {
                          return Version->ChunkSet.test(Index);
                        }) -
           Versions.begin();
  };
  std::stable_sort(State.StoreQueue.begin(), State.StoreQueue.end(),
                   [&](ChunkIndex Left, ChunkIndex Right) {
                     return RankOf(Left) < RankOf(Right);
                   });
}

/// Fetches queued chunks that no reachable peer of the local region holds,
/// within the limits of store fetches. Waits while chunk maps are outstanding.
void fetchFromQueue(TransferState &State, TimePoint Now, Actions &Result) {
  if (detail::isAwaitingMaps(State, Now))
    return;
  orderQueue(State);
  for (std::size_t Step = 0;
       Step < QueueChecksPerPlan && !State.StoreQueue.empty() &&
       State.PendingStoreFetches < State.Settings.MaxStoreFetches &&
       State.StoreRetryAt <= Now;
       ++Step) {
    const ChunkIndex Index = State.StoreQueue.front();
    State.StoreQueue.pop_front();
    const bool Missing = State.Missing.test(Index);
    if (Missing && detail::isOwnerProgressing(State, Index, Now) &&
        detail::returnToOwner(State, Index, Now))
      continue;
    if (Missing && State.Chunks[Index].BusyUntil <= Now &&
        !detail::isHeldInRegion(State, Index, Now))
      fetchChunk(State, Index, Now, Result);
    else if (Missing || State.Chunks[Index].InFlight)
      State.StoreQueue.push_back(Index);
  }
}

/// Returns a member of a region that can accept a request, whether or not its
/// map is known; NoPeer if there is none. The search starts at a random member.
PeerIndex anyMember(const TransferState &State, RegionIndex Region,
                    TimePoint Now, Random &Source) {
  const auto &Members = State.Regions[Region].Members;
  const std::size_t Start = Source();
  for (std::size_t Step = 0; Step < Members.size(); ++Step) {
    const PeerIndex Peer = Members[(Start + Step) % Members.size()];
    if (Peer != 0 && canRequest(State, State.Peers[Peer], Now))
      return Peer;
  }
  return NoPeer;
}

/// Tries another source of imports after a stall: first any member of the
/// source region, then any member of a random region, finally the store.
void probeStalledImport(TransferState &State, RegionIndex RegionNumber,
                        TimePoint Now, Random &Source, Actions &Result) {
  RegionSlot &Region = State.Regions[RegionNumber];
  const Duration Stalled = Now - Region.LastProgressAt;
  if (Stalled < State.Settings.StallTimeout || Region.NextProbeAt > Now)
    return;
  const std::optional<ChunkIndex> Chunk =
      rarestChunk(State, Source, State.Missing, Region.ImportedChunks);
  if (!Chunk) {
    Region.LastProgressAt = Now;
    return;
  }
  Region.NextProbeAt = Now + State.Settings.StandbyInterval;
  RegionIndex From = RegionNumber;
  if (Stalled >= 2 * State.Settings.StallTimeout)
    From = static_cast<RegionIndex>(Source() % State.Regions.size());
  // While the source region answers, it lacks the chunk only because the store
  // has not sent it, and would not send it sooner to this agent.
  const bool SourceSilent =
      Now - Region.LastAnswerAt >= 3 * State.Settings.StallTimeout;
  if (Stalled >= 3 * State.Settings.StallTimeout && SourceSilent &&
      State.PendingStoreFetches == 0 && State.StoreRetryAt <= Now) {
    fetchChunk(State, *Chunk, Now, Result);
    return;
  }
  const PeerIndex Peer = anyMember(State, From, Now, Source);
  if (Peer != NoPeer)
    requestChunk(State, *Chunk, Peer, Now, Result);
}

void importChunks(TransferState &State, TimePoint Now, Random &Source,
                  Actions &Result) {
  const auto Versions = versionOrder(State);
  for (RegionIndex RegionNumber = 0; RegionNumber < State.Regions.size();
       ++RegionNumber) {
    RegionSlot &Region = State.Regions[RegionNumber];
    if (RegionNumber == State.LocalRegion ||
        Region.ImportedChunks.Words.empty())
      continue;
    requestFromRegion(
        State, RegionNumber, State.Settings.MaxImports, Now, Source, Result,
        [&](const PeerSlot &Peer) {
          std::optional<ChunkIndex> Chunk;
          for (const VersionSlot *Version : Versions)
            if (!Chunk)
              Chunk = rarestChunk(State, Source, Peer.HeldChunks, State.Missing,
                                  Region.ImportedChunks, Version->ChunkSet);
          if (!Chunk)
            Chunk = rarestChunk(State, Source, Peer.HeldChunks, State.Missing,
                                Region.ImportedChunks);
          return Chunk;
        });
    if (Region.InFlight == 0)
      probeStalledImport(State, RegionNumber, Now, Source, Result);
  }
}

/// Checks a chunk for which the agent is a standby owner or importer: requests
/// it from the preferred one, or takes over if that one cannot deliver it.
void checkStandby(TransferState &State, ChunkIndex Index, TimePoint Now,
                  Actions &Result) {
  ChunkSlot &Slot = State.Chunks[Index];
  if (!State.Missing.test(Index) || Slot.RetryAt > Now)
    return;
  std::size_t Rank = 0;
  while (Slot.Responsible[Rank] != 0 &&
         (Slot.Responsible[Rank] == NoPeer ||
          !detail::isReachable(State.Peers[Slot.Responsible[Rank]], Now)))
    ++Rank;
  const PeerIndex Preferred = Slot.Responsible[Rank];
  if (Preferred == 0 || Slot.RefusedProbes >= detail::MaxProbes) {
    detail::assignToSelf(State, Index);
    Slot.RetryAt = Now + State.Settings.StallTimeout;
    return;
  }
  const Duration Waited = Now - Slot.WantedSince;
  // A peer whose map contains the chunk delays the check but does not prevent
  // it, because the map may be wrong.
  const int StallTimeouts = Slot.HolderCount > 0 ? 6 : 1;
  if (Waited < StallTimeouts * State.Settings.StallTimeout ||
      !canRequest(State, State.Peers[Preferred], Now))
    return;
  Slot.RetryAt = Now + State.Settings.StallTimeout;
  requestChunk(State, Index, Preferred, Now, Result);
}

void checkStandbys(TransferState &State, TimePoint Now, Actions &Result) {
  if (State.StandbyChunks.empty() || Now < State.NextStandbyCheckAt)
    return;
  State.NextStandbyCheckAt = Now + State.Settings.StandbyInterval;
  const std::size_t Count =
      std::min(StandbyChecksPerPlan, State.StandbyChunks.size());
  for (std::size_t Step = 0; Step < Count; ++Step) {
    State.StandbyCursor =
        (State.StandbyCursor + 1) % State.StandbyChunks.size();
    checkStandby(State, State.StandbyChunks[State.StandbyCursor], Now, Result);
  }
}

/// Checks whether a peer's map contains all chunks of a version whose
/// descriptor is known.
bool holdsAll(const PeerSlot &Peer, const VersionSlot &Version) {
  return Version.Described && !Version.Chunks.empty() &&
         std::all_of(
             Version.ChunkSet.Words.begin(), Version.ChunkSet.Words.end(),
             [&, Word = std::size_t{0}](std::uint64_t Bits) mutable {
               const std::uint64_t Has = Word < Peer.HeldChunks.Words.size()
                                             ? Peer.HeldChunks.Words[Word]
                                             : 0;
               ++Word;
               return (Bits & ~Has) == 0;
             });
}

std::vector<std::string> mapReceivers(TransferState &State,
                                      VersionSlot &Version, TimePoint Now) {
  std::erase_if(State.Requesters, [&](const detail::Requester &One) {
    return Now - One.AskedAt > RequesterLifetime;
  });
  std::vector<PeerIndex> All = State.Neighbours;
  for (const detail::Requester &One : State.Requesters)
    if (std::find(All.begin(), All.end(), One.Peer) == All.end())
      All.push_back(One.Peer);
  // Peers whose map is complete seldom need announcements, but they still get
  // some because the map may be wrong.
  const bool IncludeComplete =
      Now - Version.AnnouncedToAllAt >= State.Settings.FullRefreshInterval;
  if (IncludeComplete)
    Version.AnnouncedToAllAt = Now;
  std::vector<std::string> Names;
  for (const PeerIndex Index : All) {
    const PeerSlot &Peer = State.Peers[Index];
    if (IncludeComplete || !holdsAll(Peer, Version))
      Names.push_back(Peer.Name);
  }
  return Names;
}

void announce(TransferState &State, TimePoint Now, Actions &Result) {
  for (auto &[Id, Version] : State.Versions) {
    const Duration Interval = Version.MapChanged
                                  ? State.Settings.AnnounceInterval
                                  : State.Settings.RefreshInterval;
    if (!Version.Wanted || !State.Held.test(Version.Descriptor) ||
        Now - Version.AnnouncedAt < Interval)
      continue;
    if (!Version.MapChanged)
      detail::assignNeighbours(State, Now);
    Version.MapChanged = false;
    Version.AnnouncedAt = Now;
    AnnounceMap Map = localMap(State, Id);
    Map.Peers = mapReceivers(State, Version, Now);
    if (!Map.Peers.empty())
      Result.emplace_back(std::move(Map));
  }
}

/// Drops unwanted chunks while the held chunks exceed the buffer size.
void dropForSpace(TransferState &State, Actions &Result) {
  const std::uint64_t Buffer = State.Settings.BufferBytes;
  if (Buffer == 0 || State.HeldBytes <= Buffer)
    return;
  for (const Digest &Id : droppableChunks(State)) {
    if (State.HeldBytes <= Buffer)
      return;
    detail::releaseChunk(State, State.ChunkById.at(Id));
    Result.emplace_back(DropChunk{Id});
  }
}

} // namespace

std::vector<TransferAction> planTransfer(TransferState &State, TimePoint Now,
                                         Random &Source) {
  Actions Result;
  expireRequests(State, Now);
  serveUploads(State, Now, Result);
  answerMapRequests(State, Result);
  requestMaps(State, Now, Result);
  fetchFromQueue(State, Now, Result);
  importChunks(State, Now, Source, Result);
  requestInRegion(State, Now, Source, Result);
  checkStandbys(State, Now, Result);
  announce(State, Now, Result);
  dropForSpace(State, Result);
  return Result;
}

TimePoint nextTransferPlanTime(const TransferState &State, TimePoint Now) {
  // Retries, probes and announcements need no finer resolution.
  constexpr Duration Tick = std::chrono::milliseconds(250);
  TimePoint Next = Now + Tick;
  for (const detail::Upload &Queued : State.Uploads) {
    const RegionIndex Region = State.Peers[Queued.Peer].Region;
    const TimePoint Link = Region == State.LocalRegion
                               ? TimePoint{}
                               : State.Regions[Region].NextSendAt;
    Next = std::min(Next, std::max(State.NextUploadAt, Link));
  }
  return std::max(Next, Now);
}

} // namespace marigoldyard
