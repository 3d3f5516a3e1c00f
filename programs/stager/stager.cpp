// Stager startup, version declarations, messages and status reports.
#include "programs/stager/stager.hpp"

#include "marigoldyard/protocol/digest.hpp"
#include "marigoldyard/transport/clock.hpp"
#include "platform/store_format.hpp"

#include <algorithm>

namespace marigoldyard {

namespace {

/// Delay between two watch calls. It is short because versions change rarely
/// and must be noticed immediately.
constexpr std::chrono::milliseconds StoreWatchInterval{20};
/// Maximum backoff between store reads while the stager knows no version; its
/// server continues to serve meanwhile.
constexpr std::chrono::milliseconds MaxStartupBackoff{600};
/// Interval between status messages while nothing changes.
constexpr std::chrono::seconds StatusInterval{2};
/// The same interval for gateways of other regions. It is longer because the
/// links between regions are narrow and shared, and changes are sent
/// immediately.
constexpr std::chrono::seconds RemoteStatusInterval{6};
/// Timeout of one watch call. It is long because each call of each stager costs
/// money, and because gateways also report declared versions, so a connection
/// that stalls without a reset delays nothing.
constexpr std::chrono::milliseconds StoreWatchTimeout{8000};
/// Interval between status messages to stagers of the local region while no
/// version is being rolled out. They then only show that the stager runs.
constexpr std::chrono::seconds IdlePeerStatusInterval{4};
/// Gateways that get the load after one report of the server. With more of them
/// each gets it less often, so that the messages do not grow with their number,
/// and not all at the same time, so that they do not all choose this server.
constexpr std::size_t MaxLoadReceivers = 3;
/// Interval between checks of the settings file.
constexpr std::chrono::seconds MaintenanceInterval{2};
/// No status is sent when the server has not answered for this long.
constexpr std::chrono::milliseconds ReportLifetime{900};
/// A rollout member that has not reported for this long is not counted. This
/// exceeds a status interval and is well below the deadline of a version.
constexpr std::chrono::seconds RolloutReportTimeout{3};
/// A member whose turn takes longer than this is skipped: the time of a drain
/// and a load.
constexpr std::chrono::milliseconds TurnTimeout{2500};
/// Questions to gateways about the age of a declaration. A gateway may learn of
/// it, or of its age, after the first one.
constexpr std::size_t MaxAgeQuestions = 3;
/// Declarations for which the contact before them is kept.
constexpr std::size_t MaxKnownContacts = 64;

} // namespace

Stager::Stager(StagerSettings InitialSettings,
               SettingsFile<StagerSettings> SettingsSource)
    : Settings(std::move(InitialSettings)), File(std::move(SettingsSource)),
      Node(Settings.Process, MemberKind::Endpoint,
           {std::string(platform::versionKeyPrefix()),
            std::string(platform::versionKeyPrefix()), StoreWatchInterval,
            MaxStartupBackoff, StoreWatchTimeout}),
      EngineClient(Node.Context) {}

std::optional<Error> Stager::start() {
  FleetHandlers Handlers;
  Handlers.StoreChanged = [this](const ChangedKeys &Keys) {
    handleStoreChange(Keys);
  };
  Handlers.Received = [this](const Message &Incoming) {
    handleMessage(Incoming);
  };
  Handlers.PeerLost = [this](const std::string &Peer) {
    if (Transfer)
      transferPeerLost(*Transfer, Peer, now());
  };
  Handlers.GatewayJoined = [this](const std::string &Gateway) {
    if (Report)
      Node.send(Gateway, localStatus());
  };
  Handlers.Tick = [this] { tick(); };
  Handlers.Terminate = [this] {
    // The server continues to serve without its stager, so nothing needs to
    // drain.
    Node.Log.write({.Event = "stopped", .At = Step::Drain});
    Node.stop();
  };
  Handlers.SettingsChanged = [this] { reloadSettings(); };
  StartedAt = now();
  return Node.start(std::move(Handlers));
}

void Stager::handleStoreChange(const ChangedKeys &Keys) {
  const auto &Items = Node.Store.mirror().Items;
  for (const std::string &Key : Keys) {
    const auto Found = Items.find(Key);
    if (Found == Items.end())
      continue;
    if (platform::itemKind(Key) != platform::ItemKind::ModelVersion)
      continue;
    if (auto Version = platform::parseDeclaredVersion(Found->second.Value))
      handleVersionDeclaration(*Version);
    else
      Node.Log.write("version_refused", Version.error());
  }
}

void Stager::handleVersionDeclaration(const DeclaredVersion &Version) {
  const auto Newest =
      std::find_if(Versions.rbegin(), Versions.rend(), [&](const auto &Each) {
        return Each.first.Model == Version.Model;
      });
  const bool First = Newest == Versions.rend();
  if (!First && Newest->first.Version >= Version.Version)
    return;
  Node.Log.write({.Event = "version_declared",
                  .At = Step::ConfigurationAccept,
                  .Fields = {{"model", Version.Model},
                             {"version", std::to_string(Version.Version)}}});
  recordDeclaration(Declarations, Version, now());
  AgeQuestionsLeft = MaxAgeQuestions;
  NextAgeQuestionAt = {};
  ContactBefore[Version] = {Node.Store.confirmedAt(),
                            Node.Store.unavailableAt()};
  if (ContactBefore.size() > MaxKnownContacts)
    ContactBefore.erase(ContactBefore.begin());
  VersionState State;
  LoadPlanSettings PlanSettings;
  PlanSettings.OldVersionDeadline = Settings.Process.VersionLimit;
  State.Load = makeLoad(PlanSettings, Version, now());
  State.Rollout = makeRollout(
      Settings.Process.Address,
      {.ReportTimeout = RolloutReportTimeout, .TurnTimeout = TurnTimeout});
  // The chunks of an earlier version are already in memory.
  State.StagingAreaRead = !First && Newest->second.StagingAreaRead;
  State.Manifest = beginManifestSearch({}, now(), Node.Generator);
  Versions.insert_or_assign(Version, std::move(State));
  // The rollout counts only stagers of which it has a recent report.
  NextStatusAt = {};
  if (!OriginAddress.empty())
    requestManifest(Versions.at(Version));
}

void Stager::handleOutageQuestion(const std::string &Gateway,
                                  const OutageQuestion &Question) {
  // A version that a newer one hid was unknown when the newer one was learned.
  const auto Known =
      ContactBefore.lower_bound({Question.Model, Question.Version});
  const bool IsKnown =
      Known != ContactBefore.end() && Known->first.Model == Question.Model;
  const StoreContact Contact =
      IsKnown
          ? Known->second
          : StoreContact{Node.Store.confirmedAt(), Node.Store.unavailableAt()};
  if (!Contact.ConfirmedAt)
    return; // nothing is known of the time before the start
  const TimePoint Until =
      sawOutage(Contact) ? *Contact.UnavailableAt : *Contact.ConfirmedAt;
  Node.send(Gateway, OutageAnswer{Question.Number,
                                  std::chrono::ceil<std::chrono::milliseconds>(
                                      now() - Until)});
}

void Stager::skipOutdatedVersions(LoadState &Newer) {
  std::erase_if(Versions, [&](const auto &Each) {
    const auto &[Older, State] = Each;
    if (Older.Model != Newer.Target.Model ||
        Older.Version >= Newer.Target.Version ||
        State.Load.Stage != LoadStage::Fetching)
      return false;
    Newer.OutdatedSince =
        std::min(Newer.OutdatedSince, State.Load.OutdatedSince);
    TransferProgress Progress;
    if (State.Descriptor && Transfer)
      Progress = transferProgress(*Transfer, State.Descriptor->Id);
    if (shouldFinishLoad(State.Load, Progress, Newer.DeclaredAt))
      return false;
    Node.Log.write(
        {.Event = "version_skipped",
         .At = Step::ChunkRequest,
         .Fields = {{"model", Older.Model},
                    {"version", std::to_string(Older.Version)},
                    {"newer", std::to_string(Newer.Target.Version)},
                    {"held", std::to_string(Progress.Held)},
                    {"near", std::to_string(Progress.HeldOrAvailable)},
                    {"pieces", std::to_string(Progress.Chunks)}}});
    return true;
  });
}

void Stager::handleMessage(const Message &Incoming) {
  const std::string &Peer = Incoming.Head.Sender;
  const Body &Content = Incoming.Content;
  if (const auto *Status = std::get_if<EngineStatus>(&Content))
    return handleEngineStatus(Peer, *Status);
  if (std::holds_alternative<DescriptorRequest>(Content) ||
      std::holds_alternative<DescriptorReply>(Content))
    return handleDescriptorMessage(Peer, Content);
  if (const auto *Question = std::get_if<OutageQuestion>(&Content))
    return handleOutageQuestion(Peer, *Question);
  if (const auto *Answer = std::get_if<VersionAnswer>(&Content))
    return handleVersionAnswer(*Answer);
  if (const auto *Response = std::get_if<PoolAnswer>(&Content))
    return applyPoolFacts(Response->Facts);
  if (const auto *HelloMessage = std::get_if<Hello>(&Content))
    return recordPeerContact(Peer, HelloMessage->Sender.Region);
  if (!Transfer)
    return;
  PlanDue = true;
  if (const auto *Map = std::get_if<ChunkMap>(&Content)) {
    if (!Map->HasDescriptor)
      emptyMapReceived(*Transfer, Peer, Map->Version);
    else if (auto Failure = chunkMapReceived(*Transfer, Peer, Map->Version,
                                             Map->Held, now()))
      Node.Log.write("chunk_map_refused", *Failure);
    adoptOfferedManifest(Peer, *Map);
    if (Map->Asks)
      mapRequested(*Transfer, Peer, Map->Version);
  } else if (const auto *Request = std::get_if<ChunkRequest>(&Content)) {
    uploadRequested(*Transfer, Peer, Request->Chunk, now());
  } else if (const auto *Refusal = std::get_if<ChunkRefused>(&Content)) {
    chunkRefused(*Transfer, Refusal->Chunk, Peer, Refusal->RetryAfter, now());
  } else if (const auto *Data = std::get_if<ChunkData>(&Content)) {
    handleChunk(Data->Chunk, Peer,
                std::string(Data->Bytes.begin(), Data->Bytes.end()));
  }
}

void Stager::handleEngineStatus(const std::string &Peer,
                                const EngineStatus &Status) {
  recordPeerContact(Peer, Status.Sender.Region);
  PeerState &Known = Peers[Peer];
  Known.Weights = Status.Weights;
  Known.Accepting = Status.Accepting;
}

void Stager::recordPeerContact(const std::string &Peer,
                               const std::string &Region) {
  const bool New = !Peers.contains(Peer);
  PeerState &Known = Peers[Peer];
  Known.Region = Region;
  Known.LastReceivedAt = now();
  if (New)
    updateTransferMembers();
}

EngineStatus Stager::localStatus() const {
  EngineStatus Status;
  Status.Sender = Node.self();
  Status.Server = addressText(Settings.Engine);
  Status.StartedAtMs = Report->StartedAtMs;
  Status.Accepting = Accepting;
  Status.Load = Report->Running + Report->Waiting;
  Status.Weights = Report->Weights;
  return Status;
}

void Stager::announceStatus(bool AllRegions) {
  const TimePoint Now = now();
  // Gateways take a status as a sign that the server runs.
  if (!Report || Now - ReportReceivedAt > ReportLifetime)
    return;
  NextStatusAt = Now + StatusInterval;
  if (AllRegions)
    NextRemoteStatusAt = Now + RemoteStatusInterval;
  const EngineStatus Status = localStatus();
  std::set<std::string> Gateways = localRegionGateways();
  if (AllRegions || Gateways.empty())
    Gateways = Node.gatewayAddresses();
  for (const std::string &Gateway : Gateways)
    Node.send(Gateway, Status);
  // Only servers of the same region take turns in a rollout, so stagers of
  // other regions need no status.
  if (!AllRegions && !isRolloutPending() && Now < NextPeerStatusAt)
    return;
  NextPeerStatusAt = Now + IdlePeerStatusInterval;
  for (const auto &[Address, Peer] : Peers)
    if (Peer.Region == Settings.Process.Region)
      Node.send(Address, Status);
}

bool Stager::isRolloutPending() const {
  return std::any_of(Versions.begin(), Versions.end(), [](const auto &Each) {
    return Each.second.Load.Stage != LoadStage::Serving;
  });
}

void Stager::announceLoad() {
  const EngineStatus Status = localStatus();
  const std::set<std::string> Known = localRegionGateways();
  std::erase_if(ReportedLoads,
                [&](const auto &Each) { return !Known.contains(Each.first); });
  std::vector<std::string> Receivers(Known.upper_bound(LastLoadReceiver),
                                     Known.end());
  Receivers.insert(Receivers.end(), Known.begin(),
                   Known.upper_bound(LastLoadReceiver));
  std::size_t Sent = 0;
  for (const std::string &Gateway : Receivers) {
    const auto [Reported, New] = ReportedLoads.try_emplace(Gateway);
    if (!New && Reported->second == Status.Load)
      continue;
    Reported->second = Status.Load;
    LastLoadReceiver = Gateway;
    Node.send(Gateway, Status);
    if (++Sent == MaxLoadReceivers)
      return;
  }
}

std::set<std::string> Stager::localRegionGateways() const {
  std::set<std::string> Result;
  for (const auto &[Address, Gateway] : Node.Gateways.Records)
    if (Gateway.HasDescription &&
        Gateway.Description.Region == Settings.Process.Region)
      Result.insert(Address);
  return Result;
}

Stager::VersionState *Stager::findVersion(const DeclaredVersion &Target) {
  const auto Found = Versions.find(Target);
  return Found == Versions.end() ? nullptr : &Found->second;
}

void Stager::tick() {
  const TimePoint Now = now();
  fetchReport();
  refreshPoolFacts();
  if (Now >= NextStatusAt)
    announceStatus(Now >= NextRemoteStatusAt);
  removeSupersededVersions();
  removeVersionsOutOfUse();
  for (auto &[Version, State] : Versions)
    if (!OriginAddress.empty() && !State.Descriptor)
      requestManifest(State);
    else
      compareManifest(State);
  askDeclarationAges();
  runTransferPlan();
  advanceVersions();
  closeOutdatedServer();
  if (Now >= NextMaintenanceAt) {
    NextMaintenanceAt = Now + MaintenanceInterval;
    reloadSettings();
  }
}

void Stager::reloadSettings() {
  if (auto NewSettings = File.readIfChanged()) {
    Settings.Process.Seeds = NewSettings->Process.Seeds;
    Node.applySettings(NewSettings->Process);
    Node.Log.write({.Event = "settings_reloaded", .At = Step::Settings});
  }
}

} // namespace marigoldyard
