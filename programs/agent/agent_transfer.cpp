// Chunks: performs the actions of the transfer decision.
#include "programs/agent/agent.hpp"

#include "marigoldyard/protocol/digest.hpp"
#include "marigoldyard/protocol/platform_api.hpp"
#include "marigoldyard/transport/clock.hpp"

#include <charconv>

namespace marigoldyard {

namespace {

std::chrono::milliseconds milliseconds(Duration Value) {
  return std::chrono::ceil<std::chrono::milliseconds>(Value);
}

Duration retryAfter(const HttpResponse &Response) {
  const auto Field = Response.Headers.find("retry-after");
  unsigned Seconds = 0;
  if (Field != Response.Headers.end())
    std::from_chars(Field->second.data(),
                    Field->second.data() + Field->second.size(), Seconds);
  return std::chrono::seconds(Seconds);
}

std::vector<std::uint8_t> bytesOf(const std::string &Text) {
  return {Text.begin(), Text.end()};
}

} // namespace

void Agent::wakeTransfers() {
  if (Settings.Kind != EndpointKind::Engine || TransferDue)
    return;
  TransferDue = true;
  Base.Loop.at(Base.turn(), [this] { planTransfers(); });
}

void Agent::planTransfers() {
  TransferDue = false;
  for (const TransferAction &Action :
       planTransfer(Transfer, Base.turn(), Base.Source))
    perform(Action);
  const TimePoint Next = nextTransferPlanTime(Transfer, Base.turn());
  if (Next == TransferAt)
    return;
  TransferAt = Next;
  Base.Loop.at(Next, [this, Next] {
    if (TransferAt == Next)
      wakeTransfers();
  });
}

void Agent::perform(const TransferAction &Action) {
  if (const auto *Draw = std::get_if<FetchFromStore>(&Action)) {
    fetch(*Draw);
  } else if (const auto *Ask = std::get_if<RequestFromPeer>(&Action)) {
    if (!Base.send(Ask->Peer, ChunkRequest{Ask->Chunk}))
      chunkRefused(Transfer, Ask->Chunk, Ask->Peer, Duration::zero(),
                   Base.turn());
  } else if (const auto *Give = std::get_if<SendChunk>(&Action)) {
    if (const auto Found = Chunks.find(Give->Chunk); Found != Chunks.end())
      Base.sendBulk(Give->Peer, ChunkData{Give->Chunk, *Found->second});
  } else if (const auto *Deny = std::get_if<RefuseChunk>(&Action)) {
    Base.send(Deny->Peer,
              ChunkRefused{Deny->Chunk, milliseconds(Deny->RetryAfter)});
  } else if (const auto *Map = std::get_if<AnnounceMap>(&Action)) {
    for (const std::string &Peer : Map->Peers)
      Base.send(Peer, ChunkMap{Map->Version, Map->Held, Map->HasDescriptor,
                               Map->RequestsReply});
  } else if (const auto *Old = std::get_if<DropChunk>(&Action)) {
    Chunks.erase(Old->Chunk);
  }
}

void Agent::fetch(const FetchFromStore &Action) {
  HttpCallRequest Request;
  Request.Address =
      Settings.Store.Host + ":" + std::to_string(Settings.Store.Port);
  Request.Target =
      (Action.IsDescriptor ? "/versions/" : "/chunks/") + Action.Chunk;
  Request.At = Action.IsDescriptor ? Step::DescriptorFetch : Step::ChunkRequest;
  Request.Peer = "store";
  Request.Limit = Transfer.Settings.StoreTimeout;
  Request.SilenceLimit = Transfer.Settings.StallTimeout;
  Request.MaxBodyBytes = MaxChunkBytes;
  Store.call(std::move(Request), [this, Action](HttpResult Result) {
    // Hashing on the store's thread keeps the core thread free.
    const auto *Response = std::get_if<HttpResponse>(&Result);
    const bool Verified = Response != nullptr && Response->Status == 200 &&
                          sha256Hex(Response->Body) == Action.Chunk;
    Base.Loop.post([this, Action, Verified, Result = std::move(Result)] {
      fetched(Action, Result, Verified);
    });
  });
}

void Agent::fetched(const FetchFromStore &Action, const HttpResult &Result,
                    bool Verified) {
  wakeTransfers();
  const auto *Response = std::get_if<HttpResponse>(&Result);
  if (Response == nullptr || Response->Status != 200) {
    storeFetchFailed(Transfer, Action.Chunk,
                     Response != nullptr ? retryAfter(*Response)
                                         : Duration::zero(),
                     Base.turn());
    Base.Log.write({.Level = LogLevel::Warning,
                    .Event = "store_failed",
                    .At = Step::ChunkRequest,
                    .Peer = "store"});
    return;
  }
  if (!Verified)
    Base.Log.write("chunk_corrupt",
                   Error{ErrorCode::ChunkCorrupt, Step::ChunkVerify, "store",
                         Action.Chunk});
  if (!chunkReceived(Transfer, Action.Chunk, {}, Verified, Base.turn()))
    return;
  Base.Numbers
      .counter("marigoldyard_chunk_bytes_total", "Chunk bytes received",
               {{"from", "store"}})
      .add(Response->Body.size());
  auto Bytes =
      std::make_shared<std::vector<std::uint8_t>>(bytesOf(Response->Body));
  keepChunk(Action.Chunk, Bytes);
}

void Agent::chunkMapArrived(const std::string &Peer, const ChunkMap &Map) {
  if (!Map.HasDescriptor)
    emptyMapReceived(Transfer, Peer, Map.Version);
  else if (auto Failure = chunkMapReceived(Transfer, Peer, Map.Version,
                                           Map.Held, Base.turn()))
    Base.Log.write("chunk_map_refused", *Failure);
  if (Map.Asks)
    mapRequested(Transfer, Peer, Map.Version);
}

void Agent::chunkArrived(const std::string &Peer, ChunkData &&Chunk,
                         bool Verified) {
  wakeTransfers();
  if (!Verified)
    Base.Log.write(
        "chunk_corrupt",
        Error{ErrorCode::ChunkCorrupt, Step::ChunkVerify, Peer, Chunk.Chunk});
  if (!chunkReceived(Transfer, Chunk.Chunk, Peer, Verified, Base.turn()))
    return;
  Base.Numbers
      .counter("marigoldyard_chunk_bytes_total", "Chunk bytes received",
               {{"from", "peer"}})
      .add(Chunk.Bytes.size());
  keepChunk(Chunk.Chunk, std::make_shared<std::vector<std::uint8_t>>(
                             std::move(Chunk.Bytes)));
}

void Agent::keepChunk(const Digest &Id, const ChunkBytes &Bytes) {
  Chunks[Id] = Bytes;
  const bool IsDescriptor = Transfer.Versions.contains(Id);
  if (IsDescriptor)
    describeVersion(Id, *Bytes);
  checkComplete();
}

void Agent::describeVersion(const Digest &Id,
                            const std::vector<std::uint8_t> &Text) {
  const auto Descriptor =
      parseDescriptor(std::string(Text.begin(), Text.end()), Id);
  if (!Descriptor) {
    Base.Log.write("descriptor_invalid", Descriptor.error());
    return;
  }
  if (auto Failure = descriptorReceived(Transfer, *Descriptor, Base.turn()))
    Base.Log.write("descriptor_refused", *Failure);
}

void Agent::checkComplete() {
  for (const auto &Each : Loading.Models) {
    const Digest &Version = Each.Desired.Weights;
    if (!versionComplete(Transfer, Version) || Stagings.contains(Version) ||
        Loading.VerifiedChunks.contains(Version))
      continue;
    Base.record("version_complete", {}, Settings.Process.Name, Version);
    Stagings[Version] = {versionChunks(Transfer, Version), 0, false};
    stageNext(Version);
  }
}

} // namespace marigoldyard
