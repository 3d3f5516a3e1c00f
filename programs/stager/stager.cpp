// Members, configuration and messages of a stager.
#include "programs/stager/stager.hpp"

#include "marigoldyard/protocol/digest.hpp"
#include "marigoldyard/transport/clock.hpp"
#include "platform/store_format.hpp"

#include <algorithm>

namespace marigoldyard {

namespace {

/// Keys that a gateway relays: versions and the configuration.
constexpr std::string_view RelayPrefix = "op/";
/// Pause between two watches: versions change rarely and are wanted at once.
constexpr std::chrono::milliseconds StorePace{20};
/// Longest pause between tries of a stager that knows no version; its server
/// serves on meanwhile.
constexpr std::chrono::milliseconds FirstReadPause{600};
/// Interval of status messages without a change.
constexpr std::chrono::seconds StatusInterval{2};
/// Interval of listings of the pool's servers; changes are also told by status
/// messages of the servers' stagers.
constexpr std::chrono::seconds PeersInterval{5};
/// Longest wait of one watch, which bounds the delay of the news when a
/// connection falls silent without a reset.
constexpr std::chrono::milliseconds StoreWait{1500};
/// Interval of tries to read the configuration until it is known.
constexpr std::chrono::milliseconds ConfigurationInterval{500};
/// Interval of checks of the settings file.
constexpr std::chrono::seconds MaintenanceInterval{2};
/// A member of a rollout without a report for this long is not counted: a few
/// status intervals, and well below the bound of a version.
constexpr std::chrono::seconds RolloutDeadAfter{3};
/// A member whose turn lasts this long is passed over: a drain and a load.
constexpr std::chrono::milliseconds TurnTimeout{2500};
/// A stager that is silent for this long is no source of pieces.
constexpr std::chrono::seconds PeerForgetAfter{10};
constexpr unsigned StatusOk = 200;
constexpr std::uint64_t FirstVersion = 1;

} // namespace

Stager::Stager(StagerSettings Given, SettingsFile<StagerSettings> Source)
    : Settings(std::move(Given)), File(std::move(Source)),
      Base(Settings.Process, MemberKind::Endpoint,
           {std::string(platform::versionKeys()), std::string(RelayPrefix),
            StorePace, FirstReadPause, StoreWait}),
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
    const platform::ItemKind Kind = platform::itemKind(Key);
    if (Kind == platform::ItemKind::Configuration) {
      configurationRead(Found->second.Value);
    } else if (Kind == platform::ItemKind::ModelVersion) {
      if (auto Version = platform::parseDeclaredVersion(Found->second.Value))
        versionDeclared(*Version);
      else
        Base.Log.write("version_refused", Version.error());
    }
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
  dropUnpromising(State.Load); // ends the use of Newest
  Versions.insert_or_assign(Version, std::move(State));
  readPeers();
  if (Origin)
    readManifest(Versions.at(Version));
}

void Stager::dropUnpromising(LoadState &Newer) {
  const TimePoint Now = now();
  std::erase_if(Versions, [&](const auto &Each) {
    const auto &[Older, State] = Each;
    if (Older.Model != Newer.Target.Model ||
        State.Load.Stage != LoadStage::Fetching)
      return false;
    Newer.NewestSince = std::min(Newer.NewestSince, State.Load.NewestSince);
    TransferProgress Progress;
    if (State.Descriptor && Transfer)
      Progress = transferProgress(*Transfer, State.Descriptor->Id);
    if (worthFinishing(State.Load, Progress, Now))
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

void Stager::readConfiguration() {
  ConfigurationAt = now() + ConfigurationInterval;
  Base.Client.call(platform::listCall(addressText(Base.Settings.Store),
                                      platform::configurationKey(), {}, true),
                   [this](const HttpResult &Result) {
                     const auto *Response = std::get_if<HttpResponse>(&Result);
                     if (Response == nullptr || Response->Status != StatusOk)
                       return;
                     const auto Answer =
                         platform::parseStoreAnswer(Response->Body);
                     if (Answer && !Answer->Items.empty())
                       configurationRead(Answer->Items.front().Value);
                   });
}

void Stager::configurationRead(const std::string &Text) {
  auto Parsed = platform::parseFleetConfiguration(Text);
  if (!Parsed) {
    Base.Log.write("configuration_refused", Parsed.error());
    return;
  }
  if (!Parsed->Origin)
    return;
  Origin = std::move(Parsed->Origin);
  const auto Region = Settings.Process.RegionOf.find(Origin->FailureDomain);
  if (!Transfer)
    makeTransferState(
        Region == Settings.Process.RegionOf.end() ? "" : Region->second);
  StreamsResume = std::all_of(
      Parsed->Routes.begin(), Parsed->Routes.end(), [this](const Route &Each) {
        const bool Here = std::any_of(
            Each.Pools.begin(), Each.Pools.end(),
            [this](const PoolShare &To) { return To.Pool == Settings.Pool; });
        return !Here || Each.Repeats == RepeatRule::Resumable;
      });
  // Versions begin at 1; only later ones are declared.
  if (const auto Pool = Parsed->Pools.find(Settings.Pool);
      Pool != Parsed->Pools.end())
    for (const std::string &Model : Pool->second.Models)
      versionDeclared({Model, FirstVersion});
  for (auto &[Version, State] : Versions)
    if (!State.Descriptor)
      readManifest(State);
}

void Stager::readPeers() {
  PeersAt = now() + PeersInterval;
  Base.Client.call(
      platform::listCall(addressText(Base.Settings.Store),
                         platform::serverKeys(), {}, true),
      [this](const HttpResult &Result) {
        const auto *Response = std::get_if<HttpResponse>(&Result);
        if (Response == nullptr || Response->Status != StatusOk)
          return;
        const auto Answer = platform::parseStoreAnswer(Response->Body);
        if (!Answer)
          return Base.Log.write("store_answer_invalid", Answer.error());
        PeersKnown = true;
        for (const StoreItem &Item : Answer->Items) {
          const auto Record = platform::parseServerRecord(Item.Key, Item.Value);
          if (!Record || !Record->Weights ||
              hostOf(Record->Address) == Settings.Process.Address)
            continue;
          const auto Region =
              Settings.Process.RegionOf.find(Record->FailureDomain);
          const std::string Host = hostOf(Record->Address);
          // A peer refuses requests of processes that it does not know.
          if (!Peers.contains(Host))
            Base.send(Host, Hello{Base.self()});
          PeerState &Peer = Peers[Host];
          Peer.Heard = now();
          if (Region != Settings.Process.RegionOf.end())
            Peer.Region = Region->second;
        }
        updateTransferMembers();
      });
}

void Stager::updateTransferMembers() {
  std::erase_if(Peers, [](const auto &Each) {
    return now() - Each.second.Heard > PeerForgetAfter;
  });
  if (!Transfer)
    return;
  std::vector<TransferPeer> Members{
      {Settings.Process.Address, Settings.Process.Region, false}};
  for (const auto &[Address, Peer] : Peers)
    Members.push_back({Address, Peer.Region, false});
  transferMembers(*Transfer, Members, now(), PeersKnown);
  PlanDue = true;
}

void Stager::received(const Message &Incoming) {
  const std::string &Peer = Incoming.Head.Sender;
  const Body &Content = Incoming.Content;
  if (const auto *Status = std::get_if<EngineStatus>(&Content))
    return engineStatus(Peer, *Status);
  if (std::holds_alternative<DescriptorRequest>(Content) ||
      std::holds_alternative<DescriptorReply>(Content))
    return descriptorMessage(Peer, Content);
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

void Stager::announceStatus() {
  if (!Report)
    return;
  StatusAt = now() + StatusInterval;
  const EngineStatus Status = ownStatus();
  for (const std::string &Gateway : Base.gatewayAddresses())
    Base.send(Gateway, Status);
  for (const auto &[Address, Peer] : Peers)
    Base.send(Address, Status);
}

void Stager::announceLoad() {
  const std::uint32_t Load = Report->Running + Report->Waiting;
  if (Load == LoadTold)
    return;
  LoadTold = Load;
  const EngineStatus Status = ownStatus();
  for (const auto &[Address, Gateway] : Base.Gateways.Records)
    if (Gateway.Described && Gateway.Listed.Region == Settings.Process.Region)
      Base.send(Address, Status);
}

Stager::VersionState *Stager::findVersion(const DeclaredVersion &Target) {
  const auto Found = Versions.find(Target);
  return Found == Versions.end() ? nullptr : &Found->second;
}

void Stager::tick() {
  const TimePoint Now = now();
  readReport();
  if (!Origin && Now >= ConfigurationAt)
    readConfiguration();
  if (Now >= PeersAt)
    readPeers();
  if (Now >= StatusAt)
    announceStatus();
  dropSuperseded();
  for (auto &[Version, State] : Versions)
    if (Origin && !State.Descriptor && Now >= State.ManifestAt)
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
