#include "programs/agent/agent.hpp"

#include "marigoldyard/transport/clock.hpp"

#include <algorithm>

namespace marigoldyard {

namespace {

constexpr Duration EntryReportInterval = std::chrono::milliseconds(450);
constexpr Duration PoolReportLowest = std::chrono::seconds(1);
/// A process of a pool sends and receives one report in this time on average:
/// 0.5 KB/s in each direction with 38 bytes a report, see
/// docs/decisions/control-traffic.md.
constexpr Duration PoolReportPerMember = std::chrono::milliseconds(80);
constexpr Duration PlanInterval = std::chrono::milliseconds(10);
constexpr Duration OrderInterval = std::chrono::milliseconds(50);
constexpr Duration DrainCheckInterval = std::chrono::milliseconds(20);
/// Time for the last messages to leave the sockets before the process exits.
constexpr Duration FlushTime = std::chrono::milliseconds(100);

SchedulerSettings schedulerSettings(const AgentSettings &Settings) {
  SchedulerSettings Result;
  Result.Slots = Settings.Slots;
  Result.CanPause = Settings.ResumeStreams;
  return Result;
}

TransferSettings transferSettings(const AgentSettings &Settings) {
  TransferSettings Result;
  Result.Self = Settings.Process.Name;
  Result.Region = Settings.Process.Region;
  Result.StoreRegion = Settings.StoreRegion;
  Result.UploadBytesPerSecond = Settings.UploadBytesPerSecond;
  Result.RegionLinkBytesPerSecond = Settings.RegionLinkBytesPerSecond;
  Result.BufferBytes = Settings.WeightsBufferBytes;
  return Result;
}

} // namespace

Agent::Agent(AgentSettings Checked)
    : Settings(std::move(Checked)),
      Base(Settings.Process,
           selfMember(Settings.Process, MemberKind::Endpoint, Settings.Pool)),
      Scheduler(makeScheduler(schedulerSettings(Settings))),
      Operations(makeOperationTable(Settings.Process.Name, Base.Number)),
      Transfer(makeTransfer(transferSettings(Settings))),
      Loading(makeLoading(Settings.Process.Name, Base.Number)),
      EndpointWork(boost::asio::make_work_guard(EndpointContext)),
      Endpoint(EndpointContext),
      StoreWork(boost::asio::make_work_guard(StoreContext)),
      Store(StoreContext) {
  Departure.Process = Settings.Process.Name;
}

Agent::~Agent() {
  EndpointWork.reset();
  StoreWork.reset();
  EndpointContext.stop();
  StoreContext.stop();
  if (EndpointThread.joinable())
    EndpointThread.join();
  if (StoreThread.joinable())
    StoreThread.join();
}

std::optional<Error> Agent::start() {
  NodeHandlers Handlers;
  Handlers.Received = [this](const Message &Incoming) { receive(Incoming); };
  Handlers.ChunkArrived = [this](const std::string &Peer, ChunkData &&Chunk,
                                 bool Verified) {
    chunkArrived(Peer, std::move(Chunk), Verified);
  };
  Handlers.PeerLost = [this](const std::string &Peer) { peerLost(Peer); };
  Handlers.ConfigurationChanged = [this] { configurationChanged(); };
  Handlers.MembersChanged = [this] { membersChanged(); };
  Handlers.Paused = [this](Duration Pause) {
    invalidateEngineState(Loading);
    excludePause(Scheduler, Pause);
    for (auto &[Key, Task] : Works)
      Task.HeardAt += Pause;
  };
  Handlers.DrainRequested = [this] { beginLeaving(true); };
  Handlers.Status = [this](nlohmann::json &Page) { status(Page); };
  Handlers.Ready = [this] { return currentReport().Ready; };
  if (auto Failure = Base.start(std::move(Handlers)))
    return Failure;
  EndpointThread = std::thread([this] { EndpointContext.run(); });
  StoreThread = std::thread([this] { StoreContext.run(); });
  Base.Loop.every(EntryReportInterval, [this] { reportToEntries(); });
  Base.Loop.every(PlanInterval, [this] {
    refuseAll(expireWaiting(Scheduler, now()));
    failSilentWork();
    pump();
    if (Settings.Kind == EndpointKind::Engine) {
      reportToPool();
    }
  });
  if (Settings.Kind == EndpointKind::Engine)
    Base.Loop.every(OrderInterval, [this] { planOrders(); });
  return std::nullopt;
}

int Agent::run() {
  Base.run();
  return Departure.AbortedRequests == 0 ? 0 : 1;
}

void Agent::receive(const Message &Incoming) {
  const std::string &Peer = Incoming.Head.Sender;
  const Body &Content = Incoming.Content;
  if (const auto *Task = std::get_if<Work>(&Content)) {
    workArrived(Incoming, *Task);
  } else if (const auto *Stop = std::get_if<CancelWork>(&Content)) {
    cancelWork(Stop->Id.Request + "#" + std::to_string(Stop->Id.Attempt));
  } else if (const auto *Opening = std::get_if<OperationOpen>(&Content)) {
    operationOpen(Incoming, *Opening);
  } else if (const auto *Running = std::get_if<OperationRun>(&Content)) {
    operationRun(Incoming, *Running);
  } else if (const auto *Load = std::get_if<Report>(&Content)) {
    const auto Known = Base.Members.Records.find(Peer);
    if (Known != Base.Members.Records.end() &&
        Known->second.Description.Pool == Settings.Pool)
      PoolReports[Peer] = {Base.turn(), Load->Load.ReadyWeights};
  } else {
    receiveChunkMessage(Peer, Content);
  }
}

void Agent::receiveChunkMessage(const std::string &Peer, const Body &Content) {
  wakeTransfers();
  if (const auto *Map = std::get_if<ChunkMap>(&Content)) {
    chunkMapArrived(Peer, *Map);
  } else if (const auto *Asked = std::get_if<ChunkRequest>(&Content)) {
    uploadRequested(Transfer, Peer, Asked->Chunk, Base.turn());
  } else if (const auto *Denied = std::get_if<ChunkRefused>(&Content)) {
    chunkRefused(Transfer, Denied->Chunk, Peer, Denied->RetryAfter,
                 Base.turn());
  }
}

void Agent::peerLost(const std::string &Peer) {
  transferPeerLost(Transfer, Peer, Base.turn());
  wakeTransfers();
  std::vector<std::string> Affected;
  for (const auto &[Key, Task] : Works)
    if (Task.Entry == Peer)
      Affected.push_back(Key);
  for (const std::string &Key : Affected)
    cancelWork(Key);
}

// The choice of links takes 75 ms with 390 entries and 1,100 endpoints, so it
// is made only when members came or went.
void Agent::refreshLinks() {
  std::vector<std::string> Entries = servingEntries(Base.Members, Base.turn());
  std::vector<SubsetEndpoint> Endpoints;
  for (const Member &Each : presentMembers(Base.Members, Base.turn()))
    if (Each.Kind == MemberKind::Endpoint && Each.Pool == Settings.Pool &&
        Each.Name != Settings.Process.Name)
      Endpoints.push_back({Each.Name, Each.FailureDomain});
  // The own VM may be missing from the list, or leaving.
  Endpoints.push_back({Settings.Process.Name, Settings.Process.FailureDomain});
  if (Entries == PresentEntries && Endpoints == PresentEndpoints)
    return;
  LinkedEntries = entriesOfEndpoint(Settings.Process.Name, Entries, Endpoints);
  PresentEntries = std::move(Entries);
  PresentEndpoints = std::move(Endpoints);
}

LoadReport Agent::currentReport() const {
  LoadReport Result = loadReport(Scheduler);
  Result.Draining = Result.Draining || leaving();
  Result.ReadyWeights = ReadyWeights;
  const bool HasWeights =
      Settings.Kind == EndpointKind::Service || !ReadyWeights.empty();
  Result.Ready = HasWeights && !Result.Draining;
  return Result;
}

void Agent::reportToEntries() {
  refreshLinks();
  const Report Content{currentReport()};
  for (const std::string &Name : LinkedEntries)
    Base.send(Name, Content);
}

void Agent::reportToPool() {
  const Duration Interval = std::max<Duration>(
      PoolReportLowest, PoolReportPerMember * PresentEndpoints.size());
  if (Base.turn() - PoolReportedAt < Interval)
    return;
  PoolReportedAt = Base.turn();
  const Report Content{currentReport()};
  for (const SubsetEndpoint &Each : PresentEndpoints)
    if (Each.Name != Settings.Process.Name)
      Base.send(Each.Name, Content);
}

void Agent::membersChanged() {
  refreshLinks();
  std::vector<TransferPeer> Peers;
  for (const auto &[Name, Record] : Base.Members.Records) {
    if (Record.Description.Pool != Settings.Pool || !Record.HasDescription)
      continue;
    const MemberState Current = memberState(Base.Members, Record, Base.turn());
    if (Current != MemberState::Dead)
      Peers.push_back(
          {Name, Record.Description.Region, Current == MemberState::Draining});
  }
  if (Settings.Kind == EndpointKind::Engine)
    setTransferPeers(Transfer, Peers, Base.turn(), Base.MemberListKnown);
  wakeTransfers();
  std::erase_if(PoolReports, [this](const auto &Each) {
    return !Base.Members.Records.contains(Each.first);
  });
  const auto Own = Base.Members.Records.find(Settings.Process.Name);
  if (Own != Base.Members.Records.end() && Own->second.Description.Draining)
    beginLeaving(false);
}

void Agent::configurationChanged() {
  const AcceptedConfiguration &InForce = *Base.configuration();
  const std::vector<const Product *> Products =
      productsOfPool(InForce.Content, Settings.Pool);
  SchedulerSettings Fresh = Scheduler.Settings;
  Fresh.Floors = combinedFloors(Products);
  changeSettings(Scheduler, Fresh);
  updateWeights(History, Products);
  std::erase_if(Rollouts, [this](const auto &Item) {
    return !History.Current.contains(Item.first);
  });
  std::vector<DesiredModel> Models;
  std::vector<Digest> Versions;
  for (const Product *Each : Products) {
    Models.push_back({Each->Name, Each->Model, Each->Version, Each->Weights});
    if (std::find(Versions.begin(), Versions.end(), Each->Weights) ==
        Versions.end())
      Versions.push_back(Each->Weights);
  }
  if (Settings.Kind != EndpointKind::Engine)
    return;
  setWantedVersions(Transfer, Versions, Base.turn());
  setDesiredModels(Loading, InForce.Index.ConfigRevision, std::move(Models));
  checkComplete();
  wakeTransfers();
}

void Agent::beginLeaving(bool Exit) {
  if (leaving()) {
    if (Exit && !ExitWhenDrained)
      restartDeadline(Departure, Settings.Process.DrainDeadline, now());
    ExitWhenDrained = ExitWhenDrained || Exit;
    return;
  }
  ExitWhenDrained = Exit;
  beginDrain(Departure, Duration::zero(), Settings.Process.DrainDeadline,
             now());
  Base.record("leaving", {}, Settings.Process.Name);
  refuseAll(startDraining(Scheduler));
  reportToEntries();
  Base.Loop.every(DrainCheckInterval, [this] { drainTurn(); });
}

void Agent::drainTurn() {
  pump();
  // The deadline bounds the time until exit. A departure that only the VM list
  // announces has none, and its work runs on.
  if (!ExitWhenDrained || updateDrain(Departure, now()) != DrainStage::Done)
    return;
  if (Base.waitingMessages() > 0 && now() < Departure.Deadline)
    return;
  Base.record("left", {}, Settings.Process.Name, {},
              {{"cut", std::to_string(Departure.AbortedRequests)}});
  Base.Log.write(
      {.Event = "left",
       .At = Step::Drain,
       .Fields = {{"cut", std::to_string(Departure.AbortedRequests)}}});
  ExitWhenDrained = false;
  Base.Loop.at(now() + FlushTime, [this] { Base.stop(); });
}

HttpCallRequest Agent::endpointRequest(std::string Method, std::string Target,
                                       std::string Content, Step At) const {
  HttpCallRequest Request;
  Request.Address =
      Settings.Endpoint.Host + ":" + std::to_string(Settings.Endpoint.Port);
  Request.Method = std::move(Method);
  Request.Target = std::move(Target);
  Request.Body = std::move(Content);
  Request.At = At;
  Request.Peer = Settings.Process.Name + "-endpoint";
  Request.ReuseConnection = false;
  return Request;
}

void Agent::callEndpoint(HttpCallRequest Request,
                         std::function<void(const HttpResult &)> Ended) {
  Endpoint.call(
      std::move(Request), [this, Ended = std::move(Ended)](HttpResult Result) {
        Base.Loop.post([Ended, Result = std::move(Result)] { Ended(Result); });
      });
}

void Agent::status(nlohmann::json &Page) const {
  Page["kind"] = "agent";
  Page["pool"] = Settings.Pool;
  Page["stage"] = static_cast<int>(Departure.Stage);
  Page["cut"] = Departure.AbortedRequests;
  const LoadReport Load = currentReport();
  Page["running"] = Load.Running;
  Page["slots"] = Load.Slots;
  Page["tokens_per_second"] = Load.TokensPerSecond;
  Page["queued_tokens"] = Load.QueuedTokens;
  Page["ready_weights"] = ReadyWeights;
  Page["operations"] = {{"records", Operations.Records.size()},
                        {"running", Operations.Running},
                        {"evicted", Operations.Evicted}};
  Page["chunks"] = {{"held", Chunks.size()}, {"bytes", Transfer.HeldBytes}};
  nlohmann::json Models = nlohmann::json::array();
  for (const auto &Each : Loading.Models) {
    const std::vector<Digest> Needed =
        versionChunks(Transfer, Each.Desired.Weights);
    const auto Held =
        std::count_if(Needed.begin(), Needed.end(),
                      [this](const Digest &Id) { return Chunks.contains(Id); });
    Models.push_back({{"product", Each.Desired.Product},
                      {"model", Each.Desired.Model},
                      {"version", Each.Desired.Version},
                      {"weights", Each.Desired.Weights},
                      {"phase", loadPhaseName(Each.Phase)},
                      {"chunks", Needed.size()},
                      {"held", Held},
                      {"failures", Each.FailureCount}});
  }
  Page["models"] = std::move(Models);
}

} // namespace marigoldyard
