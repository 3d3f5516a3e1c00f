// Pieces of versions: performs the actions of the transfer decision.
#include "programs/stager/stager.hpp"

#include "marigoldyard/protocol/digest.hpp"
#include "marigoldyard/transport/clock.hpp"

#include <algorithm>

namespace marigoldyard {

namespace {

constexpr unsigned StatusOk = 200;
constexpr std::uint64_t BitsPerByte = 8;
/// Wait for the maps of peers: some round trips, and longer after the start.
constexpr Duration MapWait = std::chrono::milliseconds(80);
constexpr Duration StartMapWait = std::chrono::milliseconds(350);
constexpr Duration StartTime = std::chrono::seconds(3);

/// Pieces asked for at once while the server serves: its requests and tokens
/// share the link.
constexpr std::size_t ServingInFlight = 2;
/// The same while the server is empty: nothing else needs the link, and peers
/// whose upload queues are long must not leave it idle.
constexpr std::size_t EmptyInFlight = 6;
/// Enough to use the origin's whole link, which is as narrow as that of one
/// machine, and few enough for its slots and connections.
constexpr std::size_t MaxStoreReaders = 6;

/// A version has seconds to reach all machines, so stalls are noticed within a
/// fraction of that.
TransferSettings transferSettings(const FleetProcessSettings &Process,
                                  const std::string &StoreRegion) {
  TransferSettings Result;
  Result.Self = Process.Address;
  Result.Region = Process.Region;
  Result.StoreRegion = StoreRegion;
  Result.UploadBytesPerSecond =
      static_cast<std::uint64_t>(Process.LinkBitsPerSecond) / BitsPerByte;
  // The links of side machines are narrower than those between regions.
  Result.SpreadLinks = true;
  Result.DirectImport = true;
  Result.MaxInFlight = ServingInFlight;
  Result.MaxImports = 1;
  Result.MaxPerPeer = 2;
  Result.MaxStoreReaders = MaxStoreReaders;
  Result.StallTimeout = std::chrono::milliseconds(800);
  Result.StoreTimeout = std::chrono::seconds(3);
  Result.MapWait = MapWait;
  Result.AnnounceInterval = std::chrono::milliseconds(60);
  Result.RefreshInterval = std::chrono::seconds(1);
  Result.FullRefreshInterval = std::chrono::seconds(5);
  // A fleet that restarts as a whole must not wait for its own time-outs.
  Result.MaxLostTime = std::chrono::milliseconds(1600);
  Result.BanTime = std::chrono::seconds(5);
  Result.NotYetRetry = std::chrono::milliseconds(150);
  Result.StoreBackoff = std::chrono::milliseconds(150);
  // Six readers ask a few times a second, so that an origin that returns is
  // used at once.
  Result.StoreBackoffMax = std::chrono::milliseconds(300);
  Result.StandbyInterval = std::chrono::milliseconds(150);
  return Result;
}

} // namespace

void Stager::makeTransferState(const std::string &StoreRegion) {
  Transfer = makeTransfer(transferSettings(Settings.Process, StoreRegion));
  updateTransferMembers();
}

void Stager::readManifest(VersionState &State) {
  const std::vector<std::string> Readers = storeReaders(*Transfer);
  const bool Reader =
      PeersKnown && std::find(Readers.begin(), Readers.end(),
                              Settings.Process.Address) != Readers.end();
  switch (nextManifestAction(State.Manifest, Reader, now())) {
  case ManifestAction::Wait:
    return;
  case ManifestAction::AskReader:
    if (PeersKnown && !Readers.empty())
      Base.send(Readers[Base.Source() % Readers.size()],
                DescriptorRequest{State.Load.Target.Model,
                                  State.Load.Target.Version});
    return;
  case ManifestAction::ReadOrigin:
    return readOrigin(State);
  }
}

void Stager::readOrigin(const VersionState &State) {
  const DeclaredVersion Target = State.Load.Target;
  // A peer may know what the origin does not tell now.
  if (State.Manifest.Failures > 0 && !Peers.empty()) {
    auto Peer = Peers.begin();
    std::advance(Peer,
                 static_cast<std::ptrdiff_t>(Base.Source() % Peers.size()));
    Base.send(Peer->first, DescriptorRequest{Target.Model, Target.Version});
  }
  Base.Client.call(
      platform::manifestCall(OriginAddress, Target),
      [this, Target](const HttpResult &Result) {
        const auto *Response = std::get_if<HttpResponse>(&Result);
        if (Response == nullptr)
          return manifestFailed(Target,
                                std::get<HttpFailure>(Result).Cause.message());
        if (Response->Status != StatusOk)
          return manifestFailed(Target,
                                "status " + std::to_string(Response->Status));
        auto Descriptor = platform::parseManifest(Response->Body, Target);
        if (!Descriptor)
          return manifestFailed(Target, Descriptor.error().message());
        manifestKnown(Target, std::move(*Descriptor));
      });
}

void Stager::manifestFailed(const DeclaredVersion &Target,
                            const std::string &Cause) {
  VersionState *State = findVersion(Target);
  if (State == nullptr)
    return;
  manifestReadFailed(State->Manifest, now());
  Base.Log.write({.Level = LogLevel::Warning,
                  .Event = "manifest_failed",
                  .At = Step::DescriptorFetch,
                  .Peer = "origin",
                  .Fields = {{"model", Target.Model},
                             {"version", std::to_string(Target.Version)},
                             {"cause", Cause}}});
}

void Stager::manifestKnown(const DeclaredVersion &Target,
                           VersionDescriptor Descriptor) {
  VersionState *State = findVersion(Target);
  if (State == nullptr)
    return;
  State->Manifest.Reading = false;
  if (State->Descriptor)
    return;
  dropUnpromising(State->Load);
  for (std::size_t Index = 0; Index < Descriptor.Chunks.size(); ++Index)
    Places[Descriptor.Chunks[Index].Id] = {Target, Index};
  State->Descriptor = std::move(Descriptor);
  Base.Log.write(
      {.Event = "manifest_known",
       .At = Step::DescriptorFetch,
       .Fields = {
           {"model", Target.Model},
           {"version", State->Descriptor->Version},
           {"pieces", std::to_string(State->Descriptor->Chunks.size())}}});
  readStaged(*State);
}

void Stager::wantVersion(VersionState &State) {
  std::vector<Digest> Wanted;
  for (const auto &[Other, Each] : Versions)
    if (Each.Descriptor)
      Wanted.push_back(Each.Descriptor->Id);
  const TimePoint Now = now();
  // The links to peers of a process that has just started take a while to open;
  // without their maps it would draw from the origin what they hold.
  Transfer->Settings.MapWait =
      Now - StartedAt < StartTime ? StartMapWait : MapWait;
  wantVersions(*Transfer, Wanted, Now);
  chunkReceived(*Transfer, State.Descriptor->Id, {}, true, Now);
  if (auto Failure = descriptorKnown(*Transfer, *State.Descriptor, Now))
    Base.Log.write("descriptor_refused", *Failure);
  // Pieces that were read from the staging area need no transfer.
  std::size_t Held = 0;
  for (const Chunk &Each : State.Descriptor->Chunks)
    if (Chunks.contains(Each.Id)) {
      chunkReceived(*Transfer, Each.Id, {}, true, Now);
      ++Held;
    }
  for (const Digest &Id : droppableChunks(*Transfer))
    Chunks.erase(Id);
  Base.Log.write({.Event = "version_wanted",
                  .At = Step::ChunkRequest,
                  .Fields = {{"version", State.Descriptor->Version},
                             {"held", std::to_string(Held)}}});
  PlanDue = true;
}

void Stager::descriptorMessage(const std::string &Peer, const Body &Content) {
  if (const auto *Asked = std::get_if<DescriptorRequest>(&Content)) {
    const VersionState *State = findVersion({Asked->Model, Asked->Version});
    if (State == nullptr || !State->Descriptor)
      return;
    DescriptorReply Reply{Asked->Model, Asked->Version, 0, {}};
    for (const Chunk &Each : State->Descriptor->Chunks) {
      Reply.ChunkBytes = Each.Size;
      Reply.Chunks.push_back(Each.Id);
    }
    Base.send(Peer, std::move(Reply));
    return;
  }
  const auto &Reply = std::get<DescriptorReply>(Content);
  VersionDescriptor Descriptor;
  Descriptor.Model = Reply.Model;
  Descriptor.Version = std::to_string(Reply.Version);
  for (const Digest &Id : Reply.Chunks)
    Descriptor.Chunks.push_back({Id, Reply.ChunkBytes});
  Descriptor.Id = descriptorDigest(Descriptor);
  if (Transfer && !Descriptor.Chunks.empty())
    manifestKnown({Reply.Model, Reply.Version}, std::move(Descriptor));
}

void Stager::plan() {
  if (!Transfer)
    return;
  const TimePoint Now = now();
  if (!PlanDue && Now < nextTransferPlan(*Transfer, Now))
    return;
  PlanDue = false;
  const bool Empty = !Report || Report->Weights.empty();
  Transfer->Settings.MaxInFlight = Empty ? EmptyInFlight : ServingInFlight;
  for (const TransferAction &Action : planTransfer(*Transfer, Now, Base.Source))
    perform(Action);
}

void Stager::perform(const TransferAction &Action) {
  if (const auto *Draw = std::get_if<FetchFromStore>(&Action)) {
    drawChunk(Draw->Chunk);
  } else if (const auto *Ask = std::get_if<RequestFromPeer>(&Action)) {
    if (!Base.send(Ask->Peer, ChunkRequest{Ask->Chunk}))
      chunkRefused(*Transfer, Ask->Chunk, Ask->Peer, Duration::zero(), now());
  } else if (const auto *Give = std::get_if<SendChunk>(&Action)) {
    if (const auto Found = Chunks.find(Give->Chunk); Found != Chunks.end())
      Base.sendBulk(Give->Peer,
                    ChunkData{Give->Chunk,
                              {Found->second->begin(), Found->second->end()}});
  } else if (const auto *Deny = std::get_if<RefuseChunk>(&Action)) {
    Base.send(
        Deny->Peer,
        ChunkRefused{Deny->Chunk, std::chrono::ceil<std::chrono::milliseconds>(
                                      Deny->RetryAfter)});
  } else if (const auto *Map = std::get_if<AnnounceMap>(&Action)) {
    for (const std::string &Peer : Map->Peers)
      Base.send(Peer, ChunkMap{Map->Version, Map->Held, Map->HasDescriptor,
                               Map->Asks});
  } else if (const auto *Old = std::get_if<DropChunk>(&Action)) {
    Chunks.erase(Old->Chunk);
  }
}

void Stager::drawChunk(const Digest &Chunk) {
  const auto Place = Places.find(Chunk);
  if (Place == Places.end() || OriginAddress.empty()) {
    storeFailed(*Transfer, Chunk, Duration::zero(), now());
    return;
  }
  const auto &[Version, Index] = Place->second;
  Base.Client.call(
      platform::pieceCall(OriginAddress, Version, Index),
      [this, Chunk](HttpResult Result) {
        PlanDue = true;
        auto *Response = std::get_if<HttpResponse>(&Result);
        if (Response != nullptr && Response->Status == StatusOk) {
          Base.Numbers
              .counter("marigoldyard_origin_bytes_total",
                       "Bytes drawn from the origin of weights")
              .add(Response->Body.size());
          return chunkArrived(Chunk, {}, std::move(Response->Body));
        }
        Base.Log.write(
            {.Level = LogLevel::Warning,
             .Event = "draw_failed",
             .At = Step::ChunkRequest,
             .Peer = "origin",
             .Fields = {
                 {"cause",
                  Response != nullptr
                      ? "status " + std::to_string(Response->Status)
                      : std::get<HttpFailure>(Result).Cause.message()}}});
        storeFailed(*Transfer, Chunk, Duration::zero(), now());
      });
}

void Stager::chunkArrived(const Digest &Chunk, const std::string &From,
                          std::string Bytes) {
  PlanDue = true;
  const bool Verified = sha256Hex(Bytes) == Chunk;
  if (!Verified)
    Base.Log.write("chunk_corrupt",
                   Error{ErrorCode::ChunkCorrupt, Step::ChunkVerify,
                         From.empty() ? "origin" : From, Chunk});
  if (!chunkReceived(*Transfer, Chunk, From, Verified, now()))
    return;
  Chunks[Chunk] = std::make_shared<const std::string>(std::move(Bytes));
}

} // namespace marigoldyard
