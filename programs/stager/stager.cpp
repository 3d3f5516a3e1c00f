// Members, configuration and messages of a stager.
#include "programs/stager/stager.hpp"

#include "marigoldyard/protocol/digest.hpp"
#include "marigoldyard/transport/clock.hpp"
#include "platform/store_format.hpp"

#include <algorithm>

namespace marigoldyard {

namespace {

/// Pause between two watches: versions change rarely and are wanted at once.
constexpr std::chrono::milliseconds StorePace{20};
/// Longest pause between tries of a stager that knows no version; its server
/// serves on meanwhile.
constexpr std::chrono::milliseconds FirstReadPause{600};
/// Interval of status messages without a change.
constexpr std::chrono::seconds StatusInterval{2};
/// The same to gateways of other regions: the links between regions are narrow
/// and shared, and changes are told at once.
constexpr std::chrono::seconds FarStatusInterval{6};
/// Longest wait of one watch. Gateways tell a declared version too, so a
/// connection that falls silent without a reset delays nothing, and each call
/// of each stager is priced.
constexpr std::chrono::milliseconds StoreWait{8000};
/// Interval of checks of the settings file.
constexpr std::chrono::seconds MaintenanceInterval{2};
/// A member of a rollout without a report for this long is not counted: a few
/// status intervals, and well below the bound of a version.
constexpr std::chrono::seconds RolloutDeadAfter{3};
/// A member whose turn lasts this long is passed over: a drain and a load.
constexpr std::chrono::milliseconds TurnTimeout{2500};

} // namespace

Stager::Stager(StagerSettings Given, SettingsFile<StagerSettings> Source)
    : Settings(std::move(Given)), File(std::move(Source)),
      Base(Settings.Process, MemberKind::Endpoint,
           {std::string(platform::versionKeys()),
            std::string(platform::versionKeys()), StorePace, FirstReadPause,
            StoreWait}),
      EngineClient(Base.Context) {}

std::optional<Error> Stager::start() {
  FleetHandlers Handlers;
  Handlers.StoreChanged = [this](const ChangedKeys &Keys) {
    storeChanged(Keys);
  };
  Handlers.Received = [this](const Message &Incoming) { received(Incoming); };
  Handlers.PeerLost = [this](const std::string &Peer) {
    if (Transfer)
      transferPeerLost(*Transfer, Peer, now());
  };
  Handlers.GatewayJoined = [this](const std::string &Gateway) {
    if (Report)
      Base.send(Gateway, ownStatus());
  };
  Handlers.Tick = [this] { tick(); };
  Handlers.Terminate = [this] {
    // The server serves on without its stager, so there is nothing to wait for.
    Base.Log.write({.Event = "stopped", .At = Step::Drain});
    Base.stop();
  };
  Handlers.SettingsChanged = [this] { rereadSettings(); };
  StartedAt = now();
  return Base.start(std::move(Handlers));
}

void Stager::storeChanged(const ChangedKeys &Keys) {
  const auto &Items = Base.Store.mirror().Items;
  for (const std::string &Key : Keys) {
    const auto Found = Items.find(Key);
    if (Found == Items.end())
      continue;
    if (platform::itemKind(Key) != platform::ItemKind::ModelVersion)
      continue;
    if (auto Version = platform::parseDeclaredVersion(Found->second.Value))
      versionDeclared(*Version);
    else
      Base.Log.write("version_refused", Version.error());
  }
}

void Stager::versionDeclared(const DeclaredVersion &Version) {
  const auto Newest =
      std::find_if(Versions.rbegin(), Versions.rend(), [&](const auto &Each) {
        return Each.first.Model == Version.Model;
      });
  const bool First = Newest == Versions.rend();
  if (!First && Newest->first.Version >= Version.Version)
    return;
  Base.Log.write({.Event = "version_declared",
                  .At = Step::ConfigurationAccept,
                  .Fields = {{"model", Version.Model},
                             {"version", std::to_string(Version.Version)}}});
  VersionState State;
  LoadPlanSettings Times;
  Times.VersionLimit = Settings.Process.VersionLimit;
  State.Load = beginLoad(Times, Version, now());
  State.Rollout =
      makeRollout(Settings.Process.Address,
                  {.DeadAfter = RolloutDeadAfter, .TurnTimeout = TurnTimeout});
  // The pieces of an earlier version are in memory already.
  State.SeededFromStage = !First && Newest->second.SeededFromStage;
  State.Manifest = beginManifestSearch({}, now(), Base.Source);
  Versions.insert_or_assign(Version, std::move(State));
  if (!OriginAddress.empty())
    readManifest(Versions.at(Version));
}

void Stager::dropUnpromising(LoadState &Newer) {
  std::erase_if(Versions, [&](const auto &Each) {
    const auto &[Older, State] = Each;
    if (Older.Model != Newer.Target.Model ||
        Older.Version >= Newer.Target.Version ||
        State.Load.Stage != LoadStage::Fetching)
      return false;
    Newer.NewestSince = std::min(Newer.NewestSince, State.Load.NewestSince);
    TransferProgress Progress;
    if (State.Descriptor && Transfer)
      Progress = transferProgress(*Transfer, State.Descriptor->Id);
    if (worthFinishing(State.Load, Progress, Newer.DeclaredAt))
      return false;
    Base.Log.write({.Event = "version_skipped",
                    .At = Step::ChunkRequest,
                    .Fields = {{"model", Older.Model},
                               {"version", std::to_string(Older.Version)},
                               {"newer", std::to_string(Newer.Target.Version)},
                               {"held", std::to_string(Progress.Held)},
                               {"near", std::to_string(Progress.Near)},
                               {"pieces", std::to_string(Progress.Chunks)}}});
    return true;
  });
}

void Stager::received(const Message &Incoming) {
  const std::string &Peer = Incoming.Head.Sender;
  const Body &Content = Incoming.Content;
  if (const auto *Status = std::get_if<EngineStatus>(&Content))
    return engineStatus(Peer, *Status);
  if (std::holds_alternative<DescriptorRequest>(Content) ||
      std::holds_alternative<DescriptorReply>(Content))
    return descriptorMessage(Peer, Content);
  if (const auto *Answer = std::get_if<PoolAnswer>(&Content))
    return useFacts(Answer->Facts);
  if (const auto *Greeting = std::get_if<Hello>(&Content))
    return peerHeard(Peer, Greeting->Sender.Region);
  if (!Transfer)
    return;
  PlanDue = true;
  if (const auto *Map = std::get_if<ChunkMap>(&Content)) {
    if (!Map->HasDescriptor)
      peerHoldsNothing(*Transfer, Peer, Map->Version);
    else if (auto Failure = chunkMapReceived(*Transfer, Peer, Map->Version,
                                             Map->Held, now()))
      Base.Log.write("chunk_map_refused", *Failure);
    if (Map->Asks)
      mapAsked(*Transfer, Peer, Map->Version);
  } else if (const auto *Asked = std::get_if<ChunkRequest>(&Content)) {
    uploadAsked(*Transfer, Peer, Asked->Chunk, now());
  } else if (const auto *Denied = std::get_if<ChunkRefused>(&Content)) {
    chunkRefused(*Transfer, Denied->Chunk, Peer, Denied->RetryAfter, now());
  } else if (const auto *Data = std::get_if<ChunkData>(&Content)) {
    chunkArrived(Data->Chunk, Peer,
                 std::string(Data->Bytes.begin(), Data->Bytes.end()));
  }
}

void Stager::engineStatus(const std::string &Peer, const EngineStatus &Status) {
  peerHeard(Peer, Status.Sender.Region);
  PeerState &Known = Peers[Peer];
  Known.Weights = Status.Weights;
  Known.Accepting = Status.Accepting;
}

void Stager::peerHeard(const std::string &Peer, const std::string &Region) {
  const bool New = !Peers.contains(Peer);
  PeerState &Known = Peers[Peer];
  Known.Region = Region;
  Known.Heard = now();
  if (New)
    updateTransferMembers();
}

EngineStatus Stager::ownStatus() const {
  EngineStatus Status;
  Status.Sender = Base.self();
  Status.Server = addressText(Settings.Engine);
  Status.StartedAtMs = Report->StartedAtMs;
  Status.Accepting = Accepting;
  Status.Load = Report->Running + Report->Waiting;
  Status.Weights = Report->Weights;
  return Status;
}

void Stager::announceStatus(bool Everywhere) {
  if (!Report)
    return;
  const TimePoint Now = now();
  StatusAt = Now + StatusInterval;
  if (Everywhere)
    FarStatusAt = Now + FarStatusInterval;
  const EngineStatus Status = ownStatus();
  std::set<std::string> Gateways = gatewaysOfRegion();
  if (Everywhere || Gateways.empty())
    Gateways = Base.gatewayAddresses();
  for (const std::string &Gateway : Gateways)
    Base.send(Gateway, Status);
  // Servers of one region take turns, so others need no status.
  for (const auto &[Address, Peer] : Peers)
    if (Peer.Region == Settings.Process.Region)
      Base.send(Address, Status);
}

void Stager::announceLoad() {
  const std::uint32_t Load = Report->Running + Report->Waiting;
  if (Load == LoadTold)
    return;
  LoadTold = Load;
  const EngineStatus Status = ownStatus();
  for (const std::string &Gateway : gatewaysOfRegion())
    Base.send(Gateway, Status);
}

std::set<std::string> Stager::gatewaysOfRegion() const {
  std::set<std::string> Result;
  for (const auto &[Address, Gateway] : Base.Gateways.Records)
    if (Gateway.Described && Gateway.Listed.Region == Settings.Process.Region)
      Result.insert(Address);
  return Result;
}

Stager::VersionState *Stager::findVersion(const DeclaredVersion &Target) {
  const auto Found = Versions.find(Target);
  return Found == Versions.end() ? nullptr : &Found->second;
}

void Stager::tick() {
  const TimePoint Now = now();
  readReport();
  learnFacts();
  if (Now >= StatusAt)
    announceStatus(Now >= FarStatusAt);
  dropSuperseded();
  for (auto &[Version, State] : Versions)
    if (!OriginAddress.empty() && !State.Descriptor)
      readManifest(State);
  plan();
  stepVersions();
  if (Now >= MaintenanceAt) {
    MaintenanceAt = Now + MaintenanceInterval;
    rereadSettings();
  }
}

void Stager::rereadSettings() {
  if (auto Fresh = File.readIfChanged()) {
    Settings.Process.Seeds = Fresh->Process.Seeds;
    Base.useSettings(Fresh->Process);
    Base.Log.write({.Event = "settings_reloaded", .At = Step::Settings});
  }
}

} // namespace marigoldyard
