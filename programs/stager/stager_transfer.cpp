// Fetches manifests and chunks and performs the planned transfer actions.
#include "programs/stager/stager.hpp"

#include "marigoldyard/protocol/digest.hpp"
#include "marigoldyard/transport/clock.hpp"

#include <algorithm>
#include <utility>

namespace marigoldyard {

namespace {

constexpr unsigned StatusOk = 200;
constexpr std::uint64_t BitsPerByte = 8;
/// Readings of a manifest in immediate succession until two agree; further ones
/// wait as after a failed read.
constexpr std::size_t MaxImmediateReads = 4;
/// Time to wait for the chunk maps of peers after startup.
constexpr Duration StartupMapWait = std::chrono::milliseconds(350);
constexpr Duration StartupPeriod = std::chrono::seconds(3);

/// The same maximum while the server has no weights loaded. Nothing else needs
/// the link then, and it must not stay idle when peers have long upload queues.
constexpr std::size_t UnloadedInFlight = 6;
TransferSettings transferSettings(const FleetProcessSettings &Process,
                                  const std::string &StoreRegion) {
  TransferSettings Result = makeNarrowLinkSettings();
  Result.Self = Process.Address;
  Result.Region = Process.Region;
  Result.StoreRegion = StoreRegion;
  Result.UploadBytesPerSecond =
      static_cast<std::uint64_t>(Process.LinkBitsPerSecond) / BitsPerByte;
  return Result;
}

} // namespace

void Stager::makeTransferState(const std::string &StoreRegion) {
  Transfer = makeTransfer(transferSettings(Settings.Process, StoreRegion));
  updateTransferMembers();
}

void Stager::requestManifest(VersionState &State) {
  const std::vector<std::string> Readers = storeReaders(*Transfer);
  const bool IsReader =
      PeersKnown && std::find(Readers.begin(), Readers.end(),
                              Settings.Process.Address) != Readers.end();
  switch (nextManifestAction(State.Manifest, IsReader, now())) {
  case ManifestAction::Wait:
    return;
  case ManifestAction::QueryReader:
    if (PeersKnown && !Readers.empty())
      Node.send(Readers[Node.Generator() % Readers.size()],
                DescriptorRequest{State.Load.Target.Model,
                                  State.Load.Target.Version});
    return;
  case ManifestAction::ReadOrigin:
    return fetchManifest(State);
  }
}

void Stager::fetchManifest(const VersionState &State) {
  const DeclaredVersion Target = State.Load.Target;
  // A peer may already have the manifest that the origin failed to return.
  if (State.Manifest.Failures > 0 && !Peers.empty()) {
    auto Peer = Peers.begin();
    std::advance(Peer,
                 static_cast<std::ptrdiff_t>(Node.Generator() % Peers.size()));
    Node.send(Peer->first, DescriptorRequest{Target.Model, Target.Version});
  }
  Node.Client.call(
      platform::makeManifestCall(OriginAddress, Target),
      [this, Target](const HttpResult &Result) {
        const auto *Response = std::get_if<HttpResponse>(&Result);
        if (Response == nullptr)
          return handleManifestFailure(
              Target, std::get<HttpFailure>(Result).Cause.message());
        if (Response->Status != StatusOk)
          return handleManifestFailure(
              Target, "status " + std::to_string(Response->Status));
        auto Descriptor = platform::parseManifest(Response->Body, Target);
        if (!Descriptor)
          return handleManifestFailure(Target, Descriptor.error().message());
        VersionState *Known = findVersion(Target);
        if (Known == nullptr)
          return;
        const bool Agreed = recordReading(Known->Check, *Descriptor);
        if (!Known->Descriptor && !Agreed) {
          if (Known->Check.Reads % MaxImmediateReads != 0)
            return fetchManifest(*Known);
          return handleManifestFailure(Target, "readings differ");
        }
        manifestReadEnded(Known->Manifest);
        if (Known->Descriptor)
          return handleManifestReread(*Known, *Descriptor, Agreed);
        handleManifest(Target, std::move(*Descriptor));
      });
}

void Stager::handleManifestFailure(const DeclaredVersion &Target,
                                   const std::string &Cause) {
  VersionState *State = findVersion(Target);
  if (State == nullptr)
    return;
  manifestReadFailed(State->Manifest, now());
  Node.Log.write({.Level = LogLevel::Warning,
                  .Event = "manifest_failed",
                  .At = Step::DescriptorFetch,
                  .Peer = "origin",
                  .Fields = {{"model", Target.Model},
                             {"version", std::to_string(Target.Version)},
                             {"cause", Cause}}});
}

void Stager::handleManifest(const DeclaredVersion &Target,
                            VersionDescriptor Descriptor) {
  VersionState *State = findVersion(Target);
  if (State == nullptr || State->Descriptor)
    return;
  skipOutdatedVersions(State->Load);
  recordChunkLocations(Target, Descriptor);
  State->Descriptor = std::move(Descriptor);
  Node.Log.write(
      {.Event = "manifest_known",
       .At = Step::DescriptorFetch,
       .Fields = {
           {"model", Target.Model},
           {"version", State->Descriptor->Version},
           {"pieces", std::to_string(State->Descriptor->Chunks.size())}}});
  readStagedChunks(*State);
}

void Stager::recordChunkLocations(const DeclaredVersion &Target,
                                  const VersionDescriptor &Descriptor) {
  for (std::size_t Index = 0; Index < Descriptor.Chunks.size(); ++Index)
    ChunkLocations[Descriptor.Chunks[Index].Id] = {Target, Index};
}

void Stager::handleManifestReread(VersionState &State,
                                  const VersionDescriptor &Read, bool Agreed) {
  // A version whose chunks are all held may be in the staging area already.
  if (State.Load.Stage != LoadStage::Fetching)
    return;
  if (Agreed && differsAsWhole(*State.Descriptor, Read)) {
    replaceManifest(State, Read, "origin");
    return offerCorrectedManifest(State);
  }
  if (Agreed)
    State.Check.Doubted = false;
  if (!adoptReadDigests(State.Check, *State.Descriptor, Read))
    return;
  if (const ChunkBytes Bytes = std::exchange(State.RepeatedBytes, nullptr)) {
    const Digest Id = sha256Hex(*Bytes);
    const auto &All = State.Descriptor->Chunks;
    if (std::any_of(All.begin(), All.end(),
                    [&](const Chunk &Each) { return Each.Id == Id; }))
      Chunks[Id] = Bytes;
  }
  applyCorrectedManifest(State, "origin");
  offerCorrectedManifest(State);
}

void Stager::replaceManifest(VersionState &State,
                             const VersionDescriptor &Replacement,
                             const std::string &Source) {
  State.Check.Mismatches.clear();
  State.Check.Doubted = false;
  State.RepeatedBytes = nullptr;
  // Positions of the replaced manifest may lie beyond the end of the new one.
  std::erase_if(ChunkLocations, [&](const auto &Each) {
    return Each.second.first == State.Load.Target;
  });
  State.Descriptor->Chunks = Replacement.Chunks;
  applyCorrectedManifest(State, Source);
}

void Stager::offerCorrectedManifest(const VersionState &State) {
  // Peers that took the wrong manifest over would notice only after a while.
  for (const auto &[Address, Peer] : Peers)
    offerManifest(State, Address);
}

void Stager::offerManifest(const VersionState &State, const std::string &Peer) {
  const DeclaredVersion &Target = State.Load.Target;
  DescriptorReply Reply{Target.Model, Target.Version, 0, {}};
  for (const Chunk &Each : State.Descriptor->Chunks) {
    Reply.ChunkBytes = Each.Size;
    Reply.Chunks.push_back(Each.Id);
  }
  Node.send(Peer, std::move(Reply));
}

void Stager::compareManifest(VersionState &State) {
  if (!State.Descriptor || !Transfer ||
      versionComplete(*Transfer, State.Descriptor->Id))
    return;
  const TransferProgress Progress =
      transferProgress(*Transfer, State.Descriptor->Id);
  std::vector<std::string> Readers = storeReaders(*Transfer);
  const bool Due = isManifestComparisonDue(State.Check, Progress.Held, now());
  const bool IsReader = std::erase(Readers, Settings.Process.Address) > 0;
  // Only readers read the origin again when nothing arrives, so that a whole
  // fleet does not do so while the origin is slow.
  State.Check.Doubted |= Due && IsReader;
  if (State.Check.Doubted && !OriginAddress.empty() &&
      beginManifestReread(State.Manifest, now()))
    fetchManifest(State);
  if (!Due)
    return;
  if (!Readers.empty())
    Node.send(
        Readers[Node.Generator() % Readers.size()],
        DescriptorRequest{State.Load.Target.Model, State.Load.Target.Version});
}

void Stager::handleOfferedManifest(VersionState &State, const std::string &Peer,
                                   VersionDescriptor Offered) {
  if (Offered.Id == State.Descriptor->Id)
    return;
  // Chunk by chunk, only manifests of the same length can be compared.
  if (differsAsWhole(*State.Descriptor, Offered))
    State.Check.Doubted = true;
  // The map of the peer shows which of its digests are proven.
  Node.send(Peer, ChunkMap{Offered.Id, {}, true, true});
  State.Check.Offered = std::move(Offered);
  State.Check.OfferedBy = Peer;
}

void Stager::adoptOfferedManifest(const std::string &Peer,
                                  const ChunkMap &Map) {
  for (auto &[Target, State] : Versions) {
    if (!State.Descriptor || State.Check.OfferedBy != Peer ||
        State.Check.Offered.Id != Map.Version ||
        State.Load.Stage != LoadStage::Fetching)
      continue;
    const VersionDescriptor &Offered = State.Check.Offered;
    if (adoptHeldDigests(*State.Descriptor, heldChunks(*State.Descriptor),
                         Offered, Map.Held))
      applyCorrectedManifest(State, Peer);
    else if (isProvenByPeer(*State.Descriptor, Offered, Map.Held))
      replaceManifest(State, Offered, Peer);
  }
}

std::vector<bool>
Stager::heldChunks(const VersionDescriptor &Descriptor) const {
  std::vector<bool> Held;
  Held.reserve(Descriptor.Chunks.size());
  for (const Chunk &Each : Descriptor.Chunks)
    Held.push_back(Chunks.contains(Each.Id));
  return Held;
}

void Stager::applyCorrectedManifest(VersionState &State,
                                    const std::string &Source) {
  VersionDescriptor &Descriptor = *State.Descriptor;
  const Digest Replaced = std::exchange(Descriptor.Id, Digest());
  Descriptor.Id = descriptorDigest(Descriptor);
  recordChunkLocations(State.Load.Target, Descriptor);
  Node.Log.write({.Level = LogLevel::Warning,
                  .Event = "manifest_corrected",
                  .At = Step::DescriptorFetch,
                  .Peer = Source,
                  .Fields = {{"model", State.Load.Target.Model},
                             {"version", Descriptor.Version},
                             {"digest", Descriptor.Id},
                             {"replaced", Replaced}}});
  if (State.Part && !State.Part->Ordered)
    State.Part.reset(); // staged by the replaced manifest
  startTransfer(State);
}

std::vector<Digest> Stager::wantedVersions() const {
  std::vector<Digest> Wanted;
  for (const auto &[Version, State] : Versions)
    if (State.Descriptor)
      Wanted.push_back(State.Descriptor->Id);
  return Wanted;
}

void Stager::startTransfer(VersionState &State) {
  const TimePoint Now = now();
  // After startup, connections to peers take some time to open. Without the
  // peers' chunk maps the stager would fetch from the origin what they hold.
  Transfer->Settings.MapWait = Now - StartedAt < StartupPeriod
                                   ? StartupMapWait
                                   : makeNarrowLinkSettings().MapWait;
  setWantedVersions(*Transfer, wantedVersions(), Now);
  chunkReceived(*Transfer, State.Descriptor->Id, {}, true, Now);
  if (auto Failure = descriptorReceived(*Transfer, *State.Descriptor, Now))
    Node.Log.write("descriptor_refused", *Failure);
  // Chunks read from the staging area need no transfer.
  std::size_t Held = 0;
  for (const Chunk &Each : State.Descriptor->Chunks)
    if (Chunks.contains(Each.Id)) {
      chunkReceived(*Transfer, Each.Id, {}, true, Now);
      ++Held;
    }
  for (const Digest &Id : droppableChunks(*Transfer))
    Chunks.erase(Id);
  Node.Log.write({.Event = "version_wanted",
                  .At = Step::ChunkRequest,
                  .Fields = {{"version", State.Descriptor->Version},
                             {"held", std::to_string(Held)}}});
  PlanDue = true;
}

void Stager::handleDescriptorMessage(const std::string &Peer,
                                     const Body &Content) {
  if (const auto *Request = std::get_if<DescriptorRequest>(&Content)) {
    const VersionState *State = findVersion({Request->Model, Request->Version});
    if (State != nullptr && State->Descriptor)
      offerManifest(*State, Peer);
    return;
  }
  const auto &Reply = std::get<DescriptorReply>(Content);
  VersionDescriptor Descriptor;
  Descriptor.Model = Reply.Model;
  Descriptor.Version = std::to_string(Reply.Version);
  for (const Digest &Id : Reply.Chunks)
    Descriptor.Chunks.push_back({Id, Reply.ChunkBytes});
  Descriptor.Id = descriptorDigest(Descriptor);
  if (!Transfer || Descriptor.Chunks.empty())
    return;
  const DeclaredVersion Target{Reply.Model, Reply.Version};
  VersionState *State = findVersion(Target);
  if (State != nullptr && State->Descriptor)
    return handleOfferedManifest(*State, Peer, std::move(Descriptor));
  handleManifest(Target, std::move(Descriptor));
}

void Stager::runTransferPlan() {
  if (!Transfer)
    return;
  const TimePoint Now = now();
  if (!PlanDue && Now < NextPlanAt)
    return;
  PlanDue = false;
  const bool Empty = !Report || Report->Weights.empty();
  Transfer->Settings.MaxInFlight =
      Empty ? UnloadedInFlight : makeNarrowLinkSettings().MaxInFlight;
  for (const TransferAction &Action :
       planTransfer(*Transfer, Now, Node.Generator))
    performAction(Action);
  NextPlanAt = nextTransferPlanTime(*Transfer, Now);
}

void Stager::performAction(const TransferAction &Action) {
  if (const auto *Fetch = std::get_if<FetchFromStore>(&Action)) {
    fetchChunk(Fetch->Chunk);
  } else if (const auto *Request = std::get_if<RequestFromPeer>(&Action)) {
    if (!Node.send(Request->Peer, ChunkRequest{Request->Chunk}))
      chunkRefused(*Transfer, Request->Chunk, Request->Peer, Duration::zero(),
                   now());
  } else if (const auto *Upload = std::get_if<SendChunk>(&Action)) {
    if (const auto Found = Chunks.find(Upload->Chunk); Found != Chunks.end())
      Node.sendBulk(Upload->Peer,
                    ChunkData{Upload->Chunk,
                              {Found->second->begin(), Found->second->end()}});
  } else if (const auto *Refusal = std::get_if<RefuseChunk>(&Action)) {
    Node.send(Refusal->Peer,
              ChunkRefused{Refusal->Chunk,
                           std::chrono::ceil<std::chrono::milliseconds>(
                               Refusal->RetryAfter)});
  } else if (const auto *Map = std::get_if<AnnounceMap>(&Action)) {
    for (const std::string &Peer : Map->Peers)
      Node.send(Peer, ChunkMap{Map->Version, Map->Held, Map->HasDescriptor,
                               Map->RequestsReply});
  } else if (const auto *Drop = std::get_if<DropChunk>(&Action)) {
    Chunks.erase(Drop->Chunk);
  }
}

void Stager::fetchChunk(const Digest &Chunk) {
  const auto Location = ChunkLocations.find(Chunk);
  const VersionState *State = Location == ChunkLocations.end()
                                  ? nullptr
                                  : findVersion(Location->second.first);
  if (State == nullptr || !State->Descriptor || OriginAddress.empty()) {
    storeFetchFailed(*Transfer, Chunk, Duration::zero(), now());
    return;
  }
  const auto &[Version, Index] = Location->second;
  Node.Client.call(
      platform::makeChunkCall(OriginAddress, Version, Index,
                              State->Descriptor->Chunks[Index].Size),
      [this, Chunk](HttpResult Result) {
        PlanDue = true;
        auto *Response = std::get_if<HttpResponse>(&Result);
        if (Response != nullptr && Response->Status == StatusOk) {
          Node.ProcessMetrics
              .counter("marigoldyard_origin_bytes_total",
                       "Bytes drawn from the origin of weights")
              .add(Response->Body.size());
          return handleChunk(Chunk, {}, std::move(Response->Body));
        }
        Node.Log.write(
            {.Level = LogLevel::Warning,
             .Event = "draw_failed",
             .At = Step::ChunkRequest,
             .Peer = "origin",
             .Fields = {
                 {"cause",
                  Response != nullptr
                      ? "status " + std::to_string(Response->Status)
                      : std::get<HttpFailure>(Result).Cause.message()}}});
        storeFetchFailed(*Transfer, Chunk, Duration::zero(), now());
      });
}

void Stager::handleChunk(const Digest &Chunk, const std::string &From,
                         std::string Bytes) {
  PlanDue = true;
  const Digest Received = sha256Hex(Bytes);
  const bool Verified = Received == Chunk;
  if (!Verified)
    Node.Log.write("chunk_corrupt",
                   Error{ErrorCode::ChunkCorrupt, Step::ChunkVerify,
                         From.empty() ? "origin" : From, Chunk});
  const bool Kept = chunkReceived(*Transfer, Chunk, From, Verified, now());
  if (!Verified && From.empty())
    return handleOriginMismatch(Chunk, Received, std::move(Bytes));
  if (!Kept)
    return;
  const std::size_t Size = Bytes.size();
  Chunks[Chunk] = std::make_shared<const std::string>(std::move(Bytes));
  if (const auto Location = ChunkLocations.find(Chunk);
      Location != ChunkLocations.end())
    if (VersionState *State = findVersion(Location->second.first);
        State != nullptr && State->Descriptor &&
        adoptVerifiedSize(*State->Descriptor, Location->second.second, Size))
      applyCorrectedManifest(*State, From.empty() ? "origin" : From);
}

void Stager::handleOriginMismatch(const Digest &Chunk, const Digest &Received,
                                  std::string Bytes) {
  const auto Location = ChunkLocations.find(Chunk);
  if (Location == ChunkLocations.end())
    return;
  const auto &[Target, Index] = Location->second;
  VersionState *State = findVersion(Target);
  if (State == nullptr || !State->Descriptor ||
      !recordMismatch(State->Check, Index, Received))
    return;
  State->Check.Doubted = true;
  if (!beginManifestReread(State->Manifest, now()))
    return;
  State->RepeatedBytes = std::make_shared<const std::string>(std::move(Bytes));
  Node.Log.write({.Level = LogLevel::Warning,
                  .Event = "manifest_doubted",
                  .At = Step::ChunkVerify,
                  .Peer = "origin",
                  .Fields = {{"model", Target.Model},
                             {"version", std::to_string(Target.Version)},
                             {"piece", std::to_string(Index)},
                             {"expected", Chunk},
                             {"received", Received}}});
  fetchManifest(*State);
}

} // namespace marigoldyard
