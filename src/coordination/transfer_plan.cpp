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

/// Chunks compared for rarity in one decision; more gain little and cost a
/// longer pass.
constexpr std::size_t RaritySample = 32;
constexpr std::size_t DrawsPerPlan = 64;
constexpr std::size_t StandbyPerPlan = 256;
constexpr Duration RequesterTime = std::chrono::seconds(30);
/// Unused upload time that may be caught up on.
constexpr Duration UploadBurst = std::chrono::milliseconds(50);

/// The own map of a version, for no peer yet.
AnnounceMap ownMap(const TransferState &State, const Digest &Id) {
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

void expireFlights(TransferState &State, TimePoint Now) {
  for (std::size_t Index = 0; Index < State.Flights.size();) {
    const detail::Flight Request = State.Flights[Index];
    if (Now < Request.Deadline) {
      ++Index;
      continue;
    }
    if (Request.Peer == NoPeer)
      storeFailed(State, State.Chunks[Request.Chunk].Id, Duration{}, Now);
    else
      detail::losePeer(State, Request.Peer, Now);
    Index = 0;
  }
}

/// The upload that comes next among those to other regions or to the own one.
/// Chunks that the peer passes on to another region come first, then the peer
/// that lags most, so that all finish together, but no upload waits until its
/// requester gives up.
std::deque<detail::Upload>::iterator nextUpload(TransferState &State,
                                                bool Remote, TimePoint Now) {
  const TimePoint Overdue = Now - State.Settings.StallTimeout / 4;
  const auto Urgency = [&](const detail::Upload &Queued) {
    const bool Late = Queued.AskedAt <= Overdue;
    return std::tuple(!Queued.Exports, !Late,
                      Late ? 0 : State.Peers[Queued.Peer].HasCount);
  };
  auto Best = State.Uploads.end();
  for (auto It = State.Uploads.begin(); It != State.Uploads.end(); ++It) {
    const RegionIndex Region = State.Peers[It->Peer].Region;
    if ((Region != State.Home) != Remote ||
        (Remote && State.Regions[Region].SendAt > Now))
      continue;
    if (Best == State.Uploads.end() || Urgency(*It) < Urgency(*Best))
      Best = It;
  }
  return Best;
}

void serveQueue(TransferState &State, bool Remote, TimePoint Now,
                Actions &Result) {
  while (State.UploadAt <= Now) {
    const auto Next = nextUpload(State, Remote, Now);
    if (Next == State.Uploads.end())
      return;
    const PeerSlot &Peer = State.Peers[Next->Peer];
    ChunkSlot &Slot = State.Chunks[Next->Chunk];
    State.UploadAt = std::max(State.UploadAt, Now - UploadBurst) +
                     detail::uploadTime(State, Slot.Size);
    if (Remote) {
      TimePoint &SendAt = State.Regions[Peer.Region].SendAt;
      SendAt = std::max(SendAt, Now - UploadBurst) +
               detail::linkTime(State, Slot.Size);
    } else {
      Slot.SentAt = Now;
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
  // Links between regions are the scarcest, so their uploads come first.
  serveQueue(State, true, Now, Result);
  serveQueue(State, false, Now, Result);
}

void request(TransferState &State, ChunkIndex Index, PeerIndex Peer,
             TimePoint Now, Actions &Result) {
  State.Flights.push_back(
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

void draw(TransferState &State, ChunkIndex Index, TimePoint Now,
          Actions &Result) {
  State.Flights.push_back({Index, NoPeer, Now + State.Settings.StoreTimeout});
  State.Chunks[Index].InFlight = true;
  detail::refreshMissing(State, Index);
  ++State.StoreFlights;
  Result.emplace_back(
      FetchFromStore{State.Chunks[Index].Id, State.Chunks[Index].IsDescriptor});
}

/// The rarest of a sample of the chunks in all sets; a descriptor comes first.
template <typename... Sets>
std::optional<ChunkIndex> rarest(const TransferState &State, Random &Source,
                                 const ChunkBits &First,
                                 const Sets &...Others) {
  std::optional<ChunkIndex> Best;
  std::size_t Seen = 0;
  detail::visitCommon(
      Source(),
      [&](ChunkIndex Index) {
        const ChunkSlot &Slot = State.Chunks[Index];
        if (Slot.IsDescriptor) {
          Best = Index;
          return false;
        }
        if (!Best || Slot.Available < State.Chunks[*Best].Available)
          Best = Index;
        return ++Seen < RaritySample;
      },
      First, Others...);
  return Best;
}

bool canAsk(const TransferState &State, const PeerSlot &Peer, TimePoint Now) {
  return detail::reachable(Peer, Now) && Peer.BusyUntil <= Now &&
         Peer.InFlight < State.Settings.MaxPerPeer;
}

/// Asks random peers of a region for chunks until its requests in flight reach
/// a limit or no peer has anything. Choose picks a chunk of a peer.
template <typename Chooser>
void requestFrom(TransferState &State, RegionIndex Number, std::size_t Limit,
                 TimePoint Now, Random &Source, Actions &Result,
                 Chooser Choose) {
  const RegionSlot &Region = State.Regions[Number];
  const std::size_t Count = Region.Sources.size();
  if (Count == 0)
    return;
  std::size_t Fruitless = 0;
  for (std::size_t Step = Source();
       Fruitless < Count && Region.InFlight < Limit; ++Step) {
    const PeerIndex Index = Region.Sources[Step % Count];
    const PeerSlot &Peer = State.Peers[Index];
    ++Fruitless;
    if (!canAsk(State, Peer, Now))
      continue;
    if (const std::optional<ChunkIndex> Chunk = Choose(Peer)) {
      request(State, *Chunk, Index, Now, Result);
      Fruitless = 0;
    }
  }
}

/// Wanted versions that lack chunks, the one that is wanted for longest first.
std::vector<const VersionSlot *>
incompleteVersions(const TransferState &State) {
  std::vector<const VersionSlot *> Result;
  for (const auto &[Id, Version] : State.Versions)
    if (Version.Wanted && Version.Described && Version.Missing > 0)
      Result.push_back(&Version);
  std::stable_sort(Result.begin(), Result.end(),
                   [](const VersionSlot *Left, const VersionSlot *Right) {
                     return Left->WantedAt < Right->WantedAt;
                   });
  return Result;
}

void requestAtHome(TransferState &State, TimePoint Now, Random &Source,
                   Actions &Result) {
  auto Versions = incompleteVersions(State);
  if (Versions.size() == 1)
    Versions.clear(); // there is no order to keep
  requestFrom(State, State.Home, State.Settings.MaxInFlight, Now, Source,
              Result, [&](const PeerSlot &Peer) {
                std::optional<ChunkIndex> Chunk = rarest(
                    State, Source, Peer.Has, State.Missing, State.Exported);
                // A version that came later must not delay an earlier one.
                for (const VersionSlot *Version : Versions)
                  if (!Chunk)
                    Chunk = rarest(State, Source, Peer.Has, State.Missing,
                                   Version->Content);
                if (!Chunk)
                  Chunk = rarest(State, Source, Peer.Has, State.Missing);
                return Chunk;
              });
}

/// Asks the neighbours of the own region for the maps of new versions, once
/// the members are known or did not arrive in time.
void askMaps(TransferState &State, TimePoint Now, Actions &Result) {
  for (auto &[Id, Version] : State.Versions) {
    if (!Version.AskDue || !Version.Wanted ||
        (!State.MembersKnown && Now < Version.AskUntil))
      continue;
    Version.AskDue = false;
    // Agents outside the store's region draw nothing.
    if (State.StoreRegion != detail::NoRegion &&
        State.StoreRegion != State.Home)
      continue;
    Version.AskUntil = Now + State.Settings.MapWait;
    AnnounceMap Question = ownMap(State, Id);
    Question.Asks = true;
    for (const PeerIndex Index : State.Neighbours) {
      const PeerSlot &Peer = State.Peers[Index];
      if (Peer.Region != State.Home || !detail::reachable(Peer, Now))
        continue;
      Version.Awaited.push_back(Index);
      Question.Peers.push_back(Peer.Name);
    }
    if (!Question.Peers.empty())
      Result.emplace_back(std::move(Question));
  }
}

void answerMaps(TransferState &State, Actions &Result) {
  for (detail::MapQuestion &Question : State.MapQuestions) {
    AnnounceMap Answer = ownMap(State, Question.Version);
    Answer.Peers.push_back(std::move(Question.Peer));
    Result.emplace_back(std::move(Answer));
  }
  State.MapQuestions.clear();
}

/// Draws chunks that no neighbour holds, if the store may be asked.
void drawDue(TransferState &State, TimePoint Now, Actions &Result) {
  if (detail::awaitsMaps(State, Now))
    return;
  for (std::size_t Step = 0;
       Step < DrawsPerPlan && !State.Draws.empty() &&
       State.StoreFlights < State.Settings.MaxStoreFetches &&
       State.StoreRetryAt <= Now;
       ++Step) {
    const ChunkIndex Index = State.Draws.front();
    State.Draws.pop_front();
    const bool Missing = State.Missing.test(Index);
    if (Missing && State.Chunks[Index].BusyUntil <= Now &&
        !detail::heldNearby(State, Index, Now))
      draw(State, Index, Now, Result);
    else if (Missing || State.Chunks[Index].InFlight)
      State.Draws.push_back(Index);
  }
}

/// A member of a region that can be asked without knowing its map.
PeerIndex anyMember(const TransferState &State, RegionIndex Region,
                    TimePoint Now, Random &Source) {
  const auto &Members = State.Regions[Region].Members;
  const std::size_t Start = Source();
  for (std::size_t Step = 0; Step < Members.size(); ++Step) {
    const PeerIndex Peer = Members[(Start + Step) % Members.size()];
    if (Peer != 0 && canAsk(State, State.Peers[Peer], Now))
      return Peer;
  }
  return NoPeer;
}

/// Looks for another source of imports after a stall: first any member of the
/// source region, then of any region, at last the store.
void probe(TransferState &State, RegionIndex Number, TimePoint Now,
           Random &Source, Actions &Result) {
  RegionSlot &Region = State.Regions[Number];
  const Duration Stalled = Now - Region.Progress;
  if (Stalled < State.Settings.StallTimeout || Region.ProbeAt > Now)
    return;
  const std::optional<ChunkIndex> Chunk =
      rarest(State, Source, State.Missing, Region.Imports);
  if (!Chunk) {
    Region.Progress = Now;
    return;
  }
  Region.ProbeAt = Now + State.Settings.StandbyInterval;
  RegionIndex From = Number;
  if (Stalled >= 2 * State.Settings.StallTimeout)
    From = static_cast<RegionIndex>(Source() % State.Regions.size());
  if (Stalled >= 3 * State.Settings.StallTimeout && State.StoreFlights == 0 &&
      State.StoreRetryAt <= Now) {
    draw(State, *Chunk, Now, Result);
    return;
  }
  const PeerIndex Peer = anyMember(State, From, Now, Source);
  if (Peer != NoPeer)
    request(State, *Chunk, Peer, Now, Result);
}

void import(TransferState &State, TimePoint Now, Random &Source,
            Actions &Result) {
  for (RegionIndex Number = 0; Number < State.Regions.size(); ++Number) {
    RegionSlot &Region = State.Regions[Number];
    if (Number == State.Home || Region.Imports.Words.empty())
      continue;
    requestFrom(State, Number, State.Settings.MaxImports, Now, Source, Result,
                [&](const PeerSlot &Peer) {
                  return rarest(State, Source, Peer.Has, State.Missing,
                                Region.Imports);
                });
    if (Region.InFlight == 0)
      probe(State, Number, Now, Source, Result);
  }
}

/// Checks a chunk for which the agent is a later owner or importer.
void checkStandby(TransferState &State, ChunkIndex Index, TimePoint Now,
                  Actions &Result) {
  ChunkSlot &Slot = State.Chunks[Index];
  if (!State.Missing.test(Index) || Slot.RetryAt > Now)
    return;
  std::size_t Place = 0;
  while (Slot.Responsible[Place] != 0 &&
         (Slot.Responsible[Place] == NoPeer ||
          !detail::reachable(State.Peers[Slot.Responsible[Place]], Now)))
    ++Place;
  const PeerIndex Ahead = Slot.Responsible[Place];
  if (Ahead == 0 || Slot.Probes >= detail::MaxProbes) {
    detail::takeOver(State, Index);
    Slot.RetryAt = Now + State.Settings.StallTimeout;
    return;
  }
  const Duration Waited = Now - Slot.WantedSince;
  // A map that claims the chunk delays the check, not prevents it: the claim
  // may be wrong.
  const int Patience = Slot.Available > 0 ? 6 : 1;
  if (Waited < Patience * State.Settings.StallTimeout ||
      !canAsk(State, State.Peers[Ahead], Now))
    return;
  Slot.RetryAt = Now + State.Settings.StallTimeout;
  request(State, Index, Ahead, Now, Result);
}

void checkStandbys(TransferState &State, TimePoint Now, Actions &Result) {
  if (State.Standby.empty() || Now < State.StandbyAt)
    return;
  State.StandbyAt = Now + State.Settings.StandbyInterval;
  const std::size_t Count = std::min(StandbyPerPlan, State.Standby.size());
  for (std::size_t Step = 0; Step < Count; ++Step) {
    State.StandbyCursor = (State.StandbyCursor + 1) % State.Standby.size();
    checkStandby(State, State.Standby[State.StandbyCursor], Now, Result);
  }
}

/// Whether the map of a peer names all chunks of a described version.
bool holdsAll(const PeerSlot &Peer, const VersionSlot &Version) {
  return Version.Described && !Version.Chunks.empty() &&
         std::all_of(Version.Content.Words.begin(), Version.Content.Words.end(),
                     [&, Word = std::size_t{0}](std::uint64_t Bits) mutable {
                       const std::uint64_t Has = Word < Peer.Has.Words.size()
                                                     ? Peer.Has.Words[Word]
                                                     : 0;
                       ++Word;
                       return (Bits & ~Has) == 0;
                     });
}

std::vector<std::string> mapReceivers(TransferState &State,
                                      VersionSlot &Version, TimePoint Now) {
  std::erase_if(State.Requesters, [&](const detail::Requester &One) {
    return Now - One.AskedAt > RequesterTime;
  });
  std::vector<PeerIndex> All = State.Neighbours;
  for (const detail::Requester &One : State.Requesters)
    if (std::find(All.begin(), All.end(), One.Peer) == All.end())
      All.push_back(One.Peer);
  // Peers that claim to be complete are told rarely; the claim may be wrong.
  const bool Everyone =
      Now - Version.ToAllAt >= State.Settings.FullRefreshInterval;
  if (Everyone)
    Version.ToAllAt = Now;
  std::vector<std::string> Names;
  for (const PeerIndex Index : All) {
    const PeerSlot &Peer = State.Peers[Index];
    if (Everyone || !holdsAll(Peer, Version))
      Names.push_back(Peer.Name);
  }
  return Names;
}

void announce(TransferState &State, TimePoint Now, Actions &Result) {
  for (auto &[Id, Version] : State.Versions) {
    const Duration Interval = Version.Changed ? State.Settings.AnnounceInterval
                                              : State.Settings.RefreshInterval;
    if (!Version.Wanted || !State.Held.test(Version.Descriptor) ||
        Now - Version.AnnouncedAt < Interval)
      continue;
    if (!Version.Changed)
      detail::assignNeighbours(State, Now);
    Version.Changed = false;
    Version.AnnouncedAt = Now;
    AnnounceMap Map = ownMap(State, Id);
    Map.Peers = mapReceivers(State, Version, Now);
    if (!Map.Peers.empty())
      Result.emplace_back(std::move(Map));
  }
}

/// Drops unwanted chunks when the held and the wanted ones exceed the buffer.
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
  expireFlights(State, Now);
  serveUploads(State, Now, Result);
  answerMaps(State, Result);
  askMaps(State, Now, Result);
  drawDue(State, Now, Result);
  import(State, Now, Source, Result);
  requestAtHome(State, Now, Source, Result);
  checkStandbys(State, Now, Result);
  announce(State, Now, Result);
  dropForSpace(State, Result);
  return Result;
}

TimePoint nextTransferPlan(const TransferState &State, TimePoint Now) {
  // Retries, probes and announcements need no finer time than this.
  constexpr Duration Tick = std::chrono::milliseconds(250);
  TimePoint Next = Now + Tick;
  for (const detail::Upload &Queued : State.Uploads) {
    const RegionIndex Region = State.Peers[Queued.Peer].Region;
    const TimePoint Link =
        Region == State.Home ? TimePoint{} : State.Regions[Region].SendAt;
    Next = std::min(Next, std::max(State.UploadAt, Link));
  }
  return std::max(Next, Now);
}

} // namespace marigoldyard
