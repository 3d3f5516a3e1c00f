#include "programs/gateway/gateway.hpp"

#include "marigoldyard/transport/clock.hpp"
#include "marigoldyard/transport/endpoint.hpp"
#include "platform/store_format.hpp"
#include "programs/gateway/request_run.hpp"

#include <algorithm>
#include <boost/algorithm/string/case_conv.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>
#include <sys/resource.h>
#include <utility>

namespace marigoldyard {

namespace net = boost::asio;
using Tcp = net::ip::tcp;
using boost::system::error_code;

namespace {

/// Pause between two watches of all keys; without it a gateway would watch
/// without a break, since servers update their keys all the time. It grows with
/// the number of gateways to limit their total calls, and its maximum is far
/// below the bounds within which changes must be in force.
constexpr std::chrono::milliseconds MinWatchPause{300};
constexpr std::chrono::milliseconds WatchPausePerGateway{75};
constexpr std::chrono::milliseconds MaxWatchPause{500};
/// Longest wait of one watch. While nothing changes, the last contact is up to
/// this long ago when a version is declared, and older versions go out of use
/// that much earlier than they have to.
constexpr std::chrono::milliseconds WatchTimeout{750};
/// Longest pause between retries of the first read; a gateway without a
/// configuration serves nothing.
constexpr std::chrono::milliseconds MaxFirstReadPause{100};
/// Interval of status messages to stagers, which take only the list of
/// gateways from them.
constexpr std::chrono::seconds StagerStatusInterval{2};
/// A stager that sent nothing for this long gets no more status messages.
constexpr std::chrono::seconds StagerTimeout{15};
/// A longer time between two ticks is a pause of the process, in which servers
/// may have changed.
constexpr std::chrono::seconds MaxTickInterval{1};
/// Interval of checks that tolerate delay: idle connections and settings.
constexpr std::chrono::seconds MaintenanceInterval{2};
/// Fraction of the drain limit in which new requests are still accepted after
/// SIGTERM. Callers cache the directory's response, and requests that start in
/// this time still end before the process must exit.
constexpr double DrainAcceptFraction = 0.3;
/// Time between the last end of a request and the platform's SIGKILL.
constexpr std::chrono::milliseconds ExitMargin{600};
/// Time before the end of the process at which requests without a response get
/// a final one; it is for writing the responses.
constexpr std::chrono::milliseconds LastResponseMargin{300};
constexpr double BytesPerMegabyte = 1UL << 20;
/// Part of the machine's memory for incomplete responses of servers. Machines
/// of 160 MB and more get the whole default.
constexpr std::size_t ResponseMemoryParts = 5;

} // namespace

Gateway::Gateway(GatewaySettings InitialSettings,
                 SettingsFile<GatewaySettings> SettingsSource)
    : Settings(std::move(InitialSettings)), File(std::move(SettingsSource)),
      Node(Settings.Process, MemberKind::Entry,
           {"", "", MinWatchPause, MaxFirstReadPause, WatchTimeout}) {
  Servers.Settings.Region = Settings.Process.Region;
  Servers.Settings.RegionOf = Settings.Process.RegionOf;
  Servers.Shares.Self = Settings.Process.Address;
  Servers.Shares.Region = Settings.Process.Region;
  Servers.Shares.StartedAt = now();
  std::set<std::string> Regions;
  for (const auto &[Domain, Region] : Settings.Process.RegionOf)
    Regions.insert(Region);
  Servers.Shares.Settings.Regions = Regions.size();
  const auto &Seeds = Settings.Process.Seeds;
  if (std::all_of(Seeds.begin(), Seeds.end(), [this](const std::string &Each) {
        return Each == Settings.Process.Address;
      }))
    Servers.Shares.Settings.UnknownGateways = 1;
  setColdSettings();
  setCallerLimits();
  Callers.OnShed = [this](CallerState State) {
    recordRefusal("request_shed",
                  State == CallerState::Writing ? "response" : "request");
  };
  SharedRetries.Limit = {Settings.RetryShare, Settings.RetryReserve};
  SharedRetries.StartedAt = now();
  DrainProgress.Process = Settings.Process.Name;
  Survey.StartedAt = now();
  Servers.RequiredVersionsKnown = false;
}

std::optional<Error> Gateway::start() {
  FleetHandlers Handlers;
  Handlers.StoreChanged = [this](const ChangedKeys &Keys) {
    handleStoreChange(Keys);
  };
  Handlers.Received = [this](const Message &Incoming) {
    handleMessage(Incoming);
  };
  Handlers.StatusReceived = [this](const GatewayStatus &Status) {
    return handleStatus(Status);
  };
  Handlers.GatewayJoined = [this](const std::string &Peer) {
    Node.send(Peer, makeStatus());
    PromptPartReport News;
    News.Blocked = blockedParts(Suspects, now());
    if (!News.Blocked.empty())
      Node.send(Peer, std::move(News));
    if (!Crashing.Requests.empty())
      Node.send(Peer, makeCrashReport(CrashReportKind::Answer));
  };
  Handlers.Tick = [this] { tick(); };
  Handlers.Terminate = [this] { terminate(); };
  Handlers.SettingsChanged = [this] { reloadSettings(); };
  if (auto Failure = Node.start(std::move(Handlers)))
    return Failure;
  if (auto Failure = listen(Settings.Callers, forwardingHandlers()))
    return Failure;
  if (auto Failure = listen(Settings.Readiness, localHandlers()))
    return Failure;
  return listen(Settings.Directory, localHandlers());
}

std::optional<Error> Gateway::listen(const ServerAddress &Address,
                                     SessionHandlers Handlers) {
  error_code Failure;
  const Tcp::endpoint Endpoint(net::ip::make_address(Address.Host, Failure),
                               Address.Port);
  auto Acceptor = std::make_shared<Tcp::acceptor>(Node.Context);
  if (!Failure)
    Failure = listenOn(*Acceptor, Endpoint, Callers.Memory.Limits.Connections);
  if (Failure)
    return Error{ErrorCode::InvalidSettings, Step::Settings,
                 addressText(Address), Failure.message()};
  net::co_spawn(Node.Context, acceptLoop(Acceptor, std::move(Handlers)),
                net::detached);
  return std::nullopt;
}

net::awaitable<void>
Gateway::acceptLoop(std::shared_ptr<Tcp::acceptor> Acceptor,
                    SessionHandlers Handlers) {
  /// Pause after a failed accept, for example without free descriptors.
  constexpr std::chrono::milliseconds AcceptPause{20};
  for (;;) {
    error_code Failure;
    Tcp::socket Socket = co_await Acceptor->async_accept(
        net::redirect_error(net::use_awaitable, Failure));
    if (Failure) {
      Node.Log.write({.Level = LogLevel::Warning,
                      .Event = "accept_failed",
                      .Fields = {{"cause", Failure.message()}}});
      net::steady_timer Pause(Node.Context, AcceptPause);
      co_await Pause.async_wait(
          net::redirect_error(net::use_awaitable, Failure));
      continue;
    }
    if (isFull(Callers.Memory)) {
      const bool HasRoom = closeForNewConnection(Callers);
      recordRefusal("connection_refused", HasRoom ? "closed" : "full");
      if (!HasRoom)
        continue; // the socket closes here
    }
    auto Session = std::make_shared<CallerSession>(
        std::move(Socket), Node.Timeouts, Callers, Handlers);
    net::co_spawn(
        Node.Context, [Session] { return Session->run(); },
        [this](const std::exception_ptr &Thrown) {
          try {
            if (Thrown)
              std::rethrow_exception(Thrown);
          } catch (const std::exception &Cause) {
            Node.Log.write({.Level = LogLevel::Error,
                            .Event = "session_failed",
                            .Fields = {{"cause", Cause.what()}}});
          }
        });
  }
}

SessionHandlers Gateway::forwardingHandlers() {
  SessionHandlers Handlers = localHandlers();
  Handlers.HandleRequest =
      [this](CallerSession &Session,
             const platform::RequestMessage &Request) -> net::awaitable<bool> {
    RequestRun Run(*this, Session, Request);
    co_return co_await Run.run();
  };
  return Handlers;
}

SessionHandlers Gateway::localHandlers() {
  SessionHandlers Handlers;
  Handlers.HandleRequest = [this](CallerSession &Session,
                                  const platform::RequestMessage &Request) {
    return serveLocalRequest(Session, Request);
  };
  Handlers.Limits = [this] {
    return Routes ? Routes->Content.Limits : ClientLimits{};
  };
  Handlers.OnRejected = [this](std::string_view Reason) {
    Node.Log.write({.Event = "request_rejected",
                    .At = Step::Admission,
                    .Fields = {{"reason", std::string(Reason)}}});
  };
  return Handlers;
}

net::awaitable<bool>
Gateway::serveLocalRequest(CallerSession &Session,
                           const platform::RequestMessage &Request) {
  const std::string_view Target(Request.target().data(),
                                Request.target().size());
  unsigned Status = 404;
  std::string ResponseBody = "{}";
  if (platform::isReadinessCheck(Target)) {
    Status = ready() ? 200 : 503;
  } else if (const auto Query = platform::parseDirectoryQuery(Target)) {
    ResponseBody = directoryBody(boost::algorithm::to_lower_copy(Query->Name),
                                 Query->Region);
    Status = ResponseBody.empty() ? 503 : 200;
  }
  const std::string ResponseText =
      fmt::format("HTTP/1.1 {} Answer\r\nContent-Type: application/json\r\n"
                  "Content-Length: {}\r\n\r\n{}",
                  Status, ResponseBody.size(), ResponseBody);
  co_return co_await Session.write(ResponseText);
}

std::string Gateway::directoryBody(const std::string &Host,
                                   const std::string &Region) const {
  std::vector<GatewayOffer> Offers;
  if (ready())
    Offers.push_back({addressText(Settings.Callers), Settings.Process.Region});
  for (const auto &[Address, Other] : Node.liveGateways())
    if (Other.Ready && !Other.Draining)
      Offers.push_back({Other.CallerAddress,
                        Node.Gateways.Records.at(Address).Description.Region});
  const bool HasOwnRegion =
      std::any_of(Offers.begin(), Offers.end(), [&](const GatewayOffer &Each) {
        return Each.Region == Region;
      });
  const RegionLimit Preferred =
      HasOwnRegion || !Routes
          ? RegionLimit()
          : regionsOfHost(Routes->Content, Host.substr(0, Host.find(':')));
  const std::vector<std::string> Chosen =
      selectGateways(Offers, Region, Preferred);
  return Chosen.empty()
             ? std::string()
             : platform::makeDirectoryResponse(Chosen, Settings.DirectoryTime);
}

bool Gateway::ready() const {
  return Node.Store.isInitialized() && Routes && Survey.Complete &&
         DrainProgress.Stage == DrainStage::Serving;
}

void Gateway::handleStoreChange(const ChangedKeys &Keys) {
  // Neighbours that wait for the content ask as soon as they know of it.
  if (!std::exchange(KnowsContent, true))
    LastStatusAt = {};
  const auto &Items = Node.Store.mirror().Items;
  for (const std::string &Key : Keys) {
    const auto Found = Items.find(Key);
    switch (platform::itemKind(Key)) {
    case platform::ItemKind::Configuration:
      if (Found != Items.end())
        applyConfiguration(Found->second);
      break;
    case platform::ItemKind::ModelVersion:
      if (Found != Items.end())
        recordDeclaredVersion(Found->second);
      break;
    case platform::ItemKind::Evacuation:
      updateEvacuation(Key);
      break;
    case platform::ItemKind::Server:
      updateServer(Key);
      break;
    case platform::ItemKind::Other:
      break;
    }
  }
  logReadinessChange();
  dispatchQueued();
}

void Gateway::logReadinessChange() {
  if (std::exchange(LoggedReady, ready()) == ready())
    return;
  LastRemoteStatusAt = {};
  Node.Log.write(
      {.Event = ready() ? "ready" : "not_ready",
       .At = Step::Admission,
       .Number = Routes ? std::optional(Routes->Content.ConfigRevision)
                        : std::nullopt,
       .Fields = {{"store_revision",
                   std::to_string(Node.Store.mirror().Position.Revision)},
                  {"servers", std::to_string(Servers.Servers.size())},
                  {"leaving", DrainProgress.Stage == DrainStage::Serving
                                  ? "false"
                                  : "true"}}});
}

void Gateway::applyConfiguration(const StoreItem &Item) {
  auto Parsed = platform::parseFleetConfiguration(Item.Value);
  if (!Parsed) {
    Node.Log.write("configuration_refused", Parsed.error());
    return;
  }
  const Revision InForce = Routes ? Routes->Content.ConfigRevision : 0;
  if (Parsed->ConfigRevision <= InForce) {
    Node.Log.write({.Level = LogLevel::Warning,
                    .Event = "configuration_outdated",
                    .At = Step::ConfigurationAccept,
                    .Number = Parsed->ConfigRevision});
    return;
  }
  Node.Log.write(
      {.Event = "configuration_in_force",
       .At = Step::ConfigurationAccept,
       .Number = Parsed->ConfigRevision,
       .Fields = {{"before", std::to_string(InForce)},
                  {"routes", std::to_string(Parsed->Routes.size())},
                  {"customers", std::to_string(Parsed->Customers.size())},
                  {"store_era", std::to_string(Item.Era)},
                  {"store_revision", std::to_string(Item.ChangedRevision)}}});
  std::set<std::string, std::less<>> Regions;
  for (const auto &[Domain, Region] : Settings.Process.RegionOf)
    Regions.insert(Region);
  for (const std::string &Region : unknownRegions(*Parsed, Regions))
    Node.Log.write({.Level = LogLevel::Warning,
                    .Event = "region_limit_invalid",
                    .At = Step::ConfigurationAccept,
                    .Number = Parsed->ConfigRevision,
                    .Fields = {{"region", Region}}});
  Servers.ColdLimits.clear();
  Servers.LayersByPool.clear();
  for (const auto &[Name, Pool] : Parsed->Pools) {
    if (Pool.ColdRequestsPerSecond > 0)
      Servers.ColdLimits[Name] = {Pool.ColdRequestsPerSecond, Pool.ColdTime};
    if (Pool.Layers > 0)
      Servers.LayersByPool[Name] = Pool.Layers;
  }
  Routes = makeRouteTable(std::move(*Parsed));
}

void Gateway::updateEvacuation(const std::string &Key) {
  const std::string Domain(platform::evacuatedDomain(Key));
  const auto &Items = Node.Store.mirror().Items;
  const auto Found = Items.find(Key);
  const bool IsEvacuated = Found != Items.end();
  if (!setEvacuated(Servers, Domain, IsEvacuated, now()))
    return;
  const auto Region = Settings.Process.RegionOf.find(Domain);
  const bool IsKnown = Region != Settings.Process.RegionOf.end();
  Node.Log.write(
      {.Level = IsKnown ? LogLevel::Info : LogLevel::Warning,
       .Event = IsEvacuated ? "evacuation_started" : "evacuation_ended",
       .At = Step::MemberList,
       .Number = IsEvacuated ? std::optional(Found->second.ChangedRevision)
                             : std::nullopt,
       .Fields = {{"failure_domain", Domain},
                  {"region", IsKnown ? Region->second : "unknown"}}});
  Node.ProcessMetrics
      .gauge("marigoldyard_evacuated_domains",
             "Failure domains whose servers get no requests")
      .set(static_cast<double>(Servers.Evacuated.size()));
  rejectUnservable();
}

void Gateway::updateServer(const std::string &Key) {
  const auto &Items = Node.Store.mirror().Items;
  const auto Found = Items.find(Key);
  const std::string Id = Key.substr(platform::serverKeyPrefix().size());
  if (Found == Items.end()) {
    if (const auto Known = Servers.Servers.find(Id);
        Known != Servers.Servers.end()) {
      Node.Log.write({.Event = "server_gone",
                      .At = Step::MemberList,
                      .Peer = Known->second.Record.Address,
                      .Fields = {{"server", Id}}});
      Connections.closeAll(Known->second.Record.Address);
    }
    return removeServer(Servers, Id);
  }
  const auto Record = platform::parseServerRecord(Key, Found->second.Value);
  if (!Record) {
    // An invalid item, such as one of another writer, adds no server; a known
    // server keeps its last valid record.
    Node.Log.write("server_record_refused", Record.error());
    return;
  }
  const auto Known = Servers.Servers.find(Id);
  if (Known == Servers.Servers.end() ||
      Known->second.Record.Draining != Record->Draining)
    Node.Log.write(
        {.Event = Record->Draining ? "server_draining" : "server_joined",
         .At = Step::MemberList,
         .Peer = Record->Address,
         .Fields = {{"server", Id}, {"pool", Record->Pool}}});
  if (Known != Servers.Servers.end() &&
      Known->second.Record.Address != Record->Address) {
    Node.Log.write(
        {.Event = "server_moved",
         .At = Step::MemberList,
         .Peer = Record->Address,
         .Fields = {{"server", Id}, {"from", Known->second.Record.Address}}});
    Connections.closeAll(Known->second.Record.Address);
  }
  const bool WasCold = isCold(Servers, Id, now());
  putServer(Servers, *Record);
  recordServerColdness(Servers, *Record, now());
  const bool IsCold = isCold(Servers, Id, now());
  if (WasCold != IsCold && Servers.ColdLimits.contains(Record->Pool))
    Node.Log.write(
        {.Event = IsCold ? "server_cold" : "server_warm",
         .At = Step::MemberList,
         .Peer = Record->Address,
         .Fields = {{"server", Id},
                    {"remaining_s", formatSeconds(Record->ColdFor)}}});
  recordRestart(Record->Address, Record->StartedAtMs);
}

void Gateway::handleMessage(const Message &Incoming) {
  if (const auto *Status = std::get_if<EngineStatus>(&Incoming.Content))
    handleEngineStatus(Incoming.Head.Sender, *Status);
  else if (const auto *Query = std::get_if<PoolQuestion>(&Incoming.Content))
    handlePoolQuery(Incoming.Head.Sender, *Query);
  else if (const auto *Question =
               std::get_if<VersionQuestion>(&Incoming.Content))
    handleVersionQuestion(Incoming.Head.Sender, *Question);
  else if (const auto *Answer = std::get_if<VersionAnswer>(&Incoming.Content))
    handleVersionAnswer(Incoming.Head.Sender, *Answer);
  else if (const auto *Seen = std::get_if<OutageAnswer>(&Incoming.Content))
    handleOutageAnswer(Incoming.Head.Sender, *Seen);
  else if (const auto *News = std::get_if<PromptPartReport>(&Incoming.Content))
    handlePartReport(Incoming.Head.Sender, *News);
  else if (const auto *Report =
               std::get_if<CrashedRequestReport>(&Incoming.Content))
    handleCrashReport(Incoming.Head.Sender, *Report);
}

bool Gateway::handleStatus(const GatewayStatus &Status) {
  for (const LoadedWeights &Each : Status.Required)
    requireReported({Each.Model, Each.Version});
  recordGateway(Servers.Shares, Status.Sender.Name, Status.Sender.Region,
                now());
  for (const std::string &Each : Status.Gateways)
    recordGateway(Servers.Shares, Each, "", now());
  const Revision InForce = Routes ? Routes->Content.ConfigRevision : 0;
  return isLeftBehind(ConfigurationCatchUp, InForce, Status.ConfigRevision,
                      now());
}

void Gateway::handleEngineStatus(const std::string &Stager,
                                 const EngineStatus &Status) {
  const auto [Known, New] = Stagers.try_emplace(Stager);
  Known->second.LastMessageAt = now();
  Known->second.Region = Status.Sender.Region;
  if (New)
    LastStagerStatusAt = {}; // send it the list of gateways at once
  const EngineStatusReport News{Status.Server, Status.StartedAtMs,
                                Status.Accepting, Status.Load, Status.Weights};
  recordRestart(Status.Server, Status.StartedAtMs);
  if (!applyEngineStatus(Servers, News, now()))
    return;
  if (!Status.Accepting)
    moveStreamsFrom(Servers.OwnerByAddress.at(Status.Server));
  dispatchQueued();
}

void Gateway::moveStreamsFrom(const std::string &Server) {
  std::vector<RequestRun *> Leaving;
  for (RequestRun *Run : Runs)
    if (Run->mayMoveFrom(Server))
      Leaving.push_back(Run);
  std::sort(Leaving.begin(), Leaving.end(),
            [](const RequestRun *Left, const RequestRun *Right) {
              return Left->arrivalTime() < Right->arrivalTime();
            });
  for (RequestRun *Run : Leaving)
    addLeavingStream(*Run);
}

void Gateway::addLeavingStream(RequestRun &Run) {
  if (std::find(LeavingStreams.begin(), LeavingStreams.end(), &Run) ==
      LeavingStreams.end())
    LeavingStreams.push_back(&Run);
}

void Gateway::removeRun(RequestRun &Run) {
  Runs.erase(&Run);
  std::erase(LeavingStreams, &Run);
}

void Gateway::moveStreams(const std::string &Pool) {
  std::set<const RequestRun *> Waiting;
  const auto Next = [&] {
    return std::find_if(LeavingStreams.begin(), LeavingStreams.end(),
                        [&](const RequestRun *Run) {
                          return Run->poolName() == Pool &&
                                 !Waiting.contains(Run);
                        });
  };
  for (auto First = Next(); First != LeavingStreams.end(); First = Next()) {
    // A move that fails at once releases its slot, which calls this function.
    RequestRun *Run = *First;
    const auto Place = First - LeavingStreams.begin();
    LeavingStreams.erase(First);
    if (Run->moveStream() != MoveStatus::Waiting)
      continue;
    LeavingStreams.insert(
        LeavingStreams.begin() +
            std::min<std::ptrdiff_t>(Place, std::ssize(LeavingStreams)),
        Run);
    // Streams that may go to other regions do not wait for this one.
    if (!Run->isLimitedToRegions())
      return;
    Waiting.insert(Run);
  }
}

void Gateway::handlePoolQuery(const std::string &Stager,
                              const PoolQuestion &Query) {
  Stagers[Stager] = {now(), Query.Sender.Region, Query.Pool};
  if (!Node.Store.isInitialized() || !Routes)
    return; // the stager asks again, or reads the store
  PoolConfiguration Facts = describePool(Query.Pool);
  Facts.Members = poolMembers(Servers, Query.Pool);
  Node.send(Stager, PoolAnswer{std::move(Facts)});
}

PoolConfiguration Gateway::describePool(const std::string &Pool) const {
  PoolConfiguration Facts = poolFacts(Routes->Content, Pool);
  for (const auto &[Model, Version] : DeclaredVersions)
    Facts.Declared.push_back({Model, Version});
  return Facts;
}

bool Gateway::isResponsibleFor(const std::string &Region) const {
  if (Region == Settings.Process.Region)
    return true;
  const auto Live = Node.liveGateways();
  return std::none_of(Live.begin(), Live.end(), [&](const auto &Each) {
    return Node.Gateways.Records.at(Each.first).Description.Region == Region;
  });
}

void Gateway::sendPoolDescriptions() {
  if (!Routes)
    return;
  for (const auto &[Address, Stager] : Stagers)
    if (!Stager.Pool.empty() && isResponsibleFor(Stager.Region))
      Node.send(Address, PoolAnswer{describePool(Stager.Pool)});
}

RetryBudget &Gateway::retryBudget(const std::string &Pool) {
  const auto [Found, New] = RetryBudgets.try_emplace(Pool);
  if (New)
    Found->second = makeRetryBudget(SharedRetries, now());
  else
    updateRetryBudget(SharedRetries, Found->second, now());
  return Found->second;
}

ServerChoice Gateway::acquireNow(ServerRequirements &Query,
                                 const WaitingRequest &Request) {
  Query.Late = now() > Request.TargetDeadline;
  if (mustWait(Queue, Query.Pool, Request.Priority))
    return {{}, ServerShortage::Full};
  Query.ReservedRegions = reservedRegions(Queue, Query.Pool, Request.Priority);
  return acquireForMove(Query, Request);
}

void Gateway::countSend(const ServerChoice &Choice,
                        std::uint64_t PromptTokens) {
  recordRequestStart(Servers, Choice.Id, PromptTokens);
  recordSend(Servers, Choice.Id, now());
  if (isCold(Servers, Choice.Id, now()))
    Node.ProcessMetrics
        .counter("marigoldyard_cold_requests_total",
                 "Requests that were sent to cold servers")
        .add();
}

void Gateway::countHeld(const ServerChoice &Choice) {
  if (Choice.HeldByShare)
    Node.ProcessMetrics
        .counter("marigoldyard_cold_waits_total",
                 "Times that a request got no server because this gateway had "
                 "used up its share of the requests to cold servers")
        .add();
}

ServerChoice Gateway::acquireForMove(const ServerRequirements &Query,
                                     const WaitingRequest &Request) {
  ServerChoice Choice = chooseServer(Servers, Query, now(), Node.Generator);
  if (Choice.Shortage == ServerShortage::None) {
    countSend(Choice, Query.PromptTokens);
    recordUsage(Queue, Request.Customer, Request.Cost, now());
  } else {
    countHeld(Choice);
  }
  return Choice;
}

net::awaitable<ServerChoice> Gateway::acquireServer(
    ServerRequirements Query, WaitingRequest Request,
    const std::function<void(std::function<void()>)> &SetDisconnectHandler) {
  const std::string Customer = Request.Customer;
  const std::uint64_t Cost = Request.Cost;
  const ServerChoice Choice = acquireNow(Query, Request);
  if (Choice.Shortage == ServerShortage::None)
    co_return Choice;
  if (cannotBeServed(Query, Request.ExpiresAt))
    co_return ServerChoice{{}, unservableReason(Query)};
  const auto Ticket = enqueue(Queue, std::move(Request));
  if (!Ticket)
    co_return Choice;
  net::steady_timer WakeTimer(Node.Context,
                              net::steady_timer::time_point::max());
  Waiters[*Ticket] = {std::move(Query), std::nullopt, &WakeTimer};
  SetDisconnectHandler([this, Ticket = *Ticket] {
    dequeue(Queue, Ticket);
    completeWait(Ticket, {{}, ServerShortage::Absent});
  });
  error_code Ignored; // the wait ends only by cancellation
  co_await WakeTimer.async_wait(
      net::redirect_error(net::use_awaitable, Ignored));
  SetDisconnectHandler(nullptr);
  const auto Found = Waiters.find(*Ticket);
  const ServerChoice Assignment = Found->second.Assignment.value_or(Choice);
  Waiters.erase(Found);
  if (Assignment.Shortage == ServerShortage::None)
    recordUsage(Queue, Customer, Cost, now());
  co_return Assignment;
}

void Gateway::finishPrefill(const std::string &Id, std::uint64_t PromptTokens) {
  recordPrefillEnd(Servers, Id, PromptTokens);
  const auto Found = Servers.Servers.find(Id);
  if (Found != Servers.Servers.end())
    dispatchQueued(Found->second.Record.Pool);
}

void Gateway::releaseServer(const std::string &Id) {
  recordRequestEnd(Servers, Id);
  const auto Found = Servers.Servers.find(Id);
  if (Found != Servers.Servers.end())
    dispatchQueued(Found->second.Record.Pool);
}

void Gateway::completeWait(std::uint64_t Ticket, ServerChoice Assignment) {
  const auto Found = Waiters.find(Ticket);
  if (Found == Waiters.end() || Found->second.Assignment)
    return;
  Found->second.Assignment = std::move(Assignment);
  Found->second.WakeTimer->cancel();
}

void Gateway::handleNotice(const ServerRecord &Server,
                           const ServerNotice &Notice) {
  const NoticeChange Change =
      recordNotice(Servers, Server.Id, Server.StartedAtMs, Notice, now());
  if (Change == NoticeChange::None)
    return;
  LogEvent Line;
  Line.Event =
      Change == NoticeChange::Leaving ? "server_leaving" : "server_refusing";
  Line.At = Step::MemberList;
  Line.Peer = Server.Address;
  Line.Fields = {{"server", Server.Id}, {"pool", Server.Pool}};
  if (Notice.RefusesFor)
    Line.Fields.emplace_back("refuses_s", formatSeconds(*Notice.RefusesFor));
  Node.Log.write(Line);
  Node.ProcessMetrics
      .counter("marigoldyard_server_notices_total",
               "Responses of servers that asked for no further requests",
               {{"notice", std::string(noticeChangeName(Change))}})
      .add();
  if (Change == NoticeChange::Leaving)
    Connections.closeAll(Server.Address);
  rejectUnservable();
}

bool Gateway::cannotBeServed(const ServerRequirements &Query,
                             TimePoint ExpiresAt) const {
  if (Query.AllowedRegions && Query.AllowedRegions->empty())
    return true;
  const auto Until = refusedUntil(Servers, Query, now());
  return Until && *Until >= ExpiresAt;
}

ServerShortage
Gateway::unservableReason(const ServerRequirements &Query) const {
  return hasAllowedServer(Servers, Query) ? ServerShortage::Refusing
                                          : ServerShortage::NotAllowed;
}

void Gateway::rejectUnservable() {
  std::vector<std::uint64_t> Tickets;
  for (const auto &[Ticket, Request] : Queue.Waiting)
    if (cannotBeServed(Waiters.at(Ticket).Query, Request.ExpiresAt))
      Tickets.push_back(Ticket);
  for (const std::uint64_t Ticket : Tickets) {
    dequeue(Queue, Ticket);
    completeWait(Ticket, {{}, unservableReason(Waiters.at(Ticket).Query)});
  }
}

void Gateway::dispatchQueued() {
  std::set<std::string> Pools;
  for (const auto &[Ticket, Request] : Queue.Waiting)
    Pools.insert(Request.Pool);
  for (const RequestRun *Run : LeavingStreams)
    Pools.insert(Run->poolName());
  for (const std::string &Pool : Pools)
    dispatchQueued(Pool);
}

void Gateway::dispatchQueued(const std::string &Pool) {
  moveStreams(Pool);
  const TimePoint Now = now();
  ReservedRegions Reserved;
  while (const WaitingRequest *Next = nextRequest(Queue, Pool, Now, Reserved)) {
    const std::uint64_t Ticket = Next->Ticket;
    ServerRequirements &Query = Waiters.at(Ticket).Query;
    Query.Late = Now > Next->TargetDeadline;
    Query.ReservedRegions = Reserved;
    ServerChoice Choice = chooseServer(Servers, Query, Now, Node.Generator);
    if (Choice.Shortage != ServerShortage::None) {
      if (!Next->AllowedRegions)
        return;
      // Requests that may use other regions do not wait for this one.
      Reserved.insert(Next->AllowedRegions->begin(),
                      Next->AllowedRegions->end());
      continue;
    }
    dequeue(Queue, Ticket);
    countSend(Choice, Query.PromptTokens);
    completeWait(Ticket, std::move(Choice));
  }
}

void Gateway::tick() {
  const TimePoint Now = now();
  if (LastTickAt != TimePoint{} && Now - LastTickAt > MaxTickInterval)
    recordPause(Servers.Shares, Now);
  LastTickAt = Now;
  runSurvey();
  enforceVersions();
  blockSuspectParts();
  for (const std::uint64_t Ticket : expireRequests(Queue, Now))
    completeWait(Ticket, {{}, ServerShortage::Full});
  rejectUnservable();
  dispatchQueued();
  Node.replaceSilentConnections(DrainProgress.Stage != DrainStage::Serving);
  if (Now - LastStatusAt >= FleetNode::StatusInterval)
    sendStatus(Now - LastRemoteStatusAt >= Node.remoteStatusInterval());
  if (Now - LastMaintenanceAt >= MaintenanceInterval) {
    LastMaintenanceAt = Now;
    Connections.closeExpired(Now);
    reportCallers();
    forgetCompletedRequests(Crashing, Now);
    forgetGateways(Servers.Shares);
    reloadSettings();
  }
  if (Now >= lastResponseAt())
    expireRuns();
  if (DrainProgress.Stage != DrainStage::Serving &&
      updateDrain(DrainProgress, Now) == DrainStage::Done) {
    for (RequestRun *Run : Runs)
      Run->recordCut();
    Node.Log.write(
        {.Event = "stopped",
         .At = Step::Drain,
         .Fields = {{"cut", std::to_string(DrainProgress.AbortedRequests)}}});
    Node.stop();
  }
}

GatewayStatus Gateway::makeStatus() const {
  GatewayStatus Status;
  Status.Sender = Node.self();
  Status.CallerAddress = addressText(Settings.Callers);
  Status.Ready = ready();
  Status.Leaving = DrainProgress.Stage != DrainStage::Serving;
  Status.KnownUpto = Node.Store.isInitialized() ? Node.Store.mirror().Position
                                                : StorePosition{};
  Status.ConfigRevision = Routes ? Routes->Content.ConfigRevision : 0;
  for (const auto &[Model, Version] : Servers.RequiredVersions)
    Status.Required.push_back({Model, Version});
  for (const auto &[Address, Other] : Node.liveGateways())
    Status.Gateways.push_back(Address);
  return Status;
}

void Gateway::sendStatus(bool AllRegions) {
  const TimePoint Now = now();
  LastStatusAt = Now;
  const GatewayStatus Status = makeStatus();
  const std::size_t OtherGateways = Status.Gateways.size();
  recordPeers(SharedRetries, OtherGateways);
  Node.Store.setWatchDelay(
      std::clamp(WatchPausePerGateway * static_cast<int>(1 + OtherGateways),
                 MinWatchPause, MaxWatchPause));
  Servers.Settings.SharingGateways = 1;
  for (const std::string &Address : Status.Gateways)
    if (Node.Gateways.Records.at(Address).Description.Region ==
        Settings.Process.Region)
      ++Servers.Settings.SharingGateways;
  sendToGateways(Status, AllRegions);
  sendCrashSummary(AllRegions);
  if (AllRegions) {
    LastRemoteStatusAt = Now;
    askLiveGateways();
  }
  if (Now - LastStagerStatusAt < StagerStatusInterval)
    return;
  LastStagerStatusAt = Now;
  std::erase_if(Stagers, [&](const auto &Each) {
    return Now - Each.second.LastMessageAt > StagerTimeout;
  });
  for (const auto &[Address, Stager] : Stagers)
    if (isResponsibleFor(Stager.Region))
      Node.send(Address, Status);
}

void Gateway::sendToGateways(const Body &Content, bool AllRegions) {
  for (const std::string &Address : Node.gatewayAddresses())
    if (AllRegions || !Node.isInOtherRegion(Address))
      Node.send(Address, Content);
}

void Gateway::terminate() {
  if (DrainProgress.Stage != DrainStage::Serving)
    return;
  const Duration Limit = Settings.Process.DrainLimit - ExitMargin;
  beginDrain(DrainProgress,
             std::chrono::duration_cast<Duration>(Settings.Process.DrainLimit *
                                                  DrainAcceptFraction),
             Limit, now());
  logReadinessChange();
  sendStatus(true);
}

TimePoint Gateway::lastResponseAt() const {
  return DrainProgress.Stage == DrainStage::Serving
             ? TimePoint::max()
             : DrainProgress.Deadline - LastResponseMargin;
}

void Gateway::expireRuns() {
  for (RequestRun *Run : Runs)
    Run->expire();
}

void Gateway::setColdSettings() {
  Servers.Shares.Settings.Overshoot = Settings.ColdOvershoot;
  Servers.Shares.Settings.Reserve = Settings.ColdReserve;
}

void Gateway::setCallerLimits() {
  std::size_t Descriptors = Settings.MaxDescriptors;
  rlimit OfProcess{};
  if (::getrlimit(RLIMIT_NOFILE, &OfProcess) == 0)
    Descriptors = std::min<std::size_t>(Descriptors, OfProcess.rlim_cur);
  const auto MemoryBytes =
      static_cast<std::size_t>(Settings.MemoryMegabytes * BytesPerMegabyte);
  Callers.Memory.Limits = callerLimits(MemoryBytes, Descriptors);
  Responses.Limit =
      std::min(ResponseMemory{}.Limit, MemoryBytes / ResponseMemoryParts);
}

void Gateway::recordRefusal(std::string_view Event, std::string_view Cause) {
  ++Refusals[{std::string(Event), std::string(Cause)}];
  Node.ProcessMetrics
      .counter("marigoldyard_caller_refusals_total",
               "Requests, responses and connections given up for memory or "
               "descriptors",
               {{"event", std::string(Event)}, {"cause", std::string(Cause)}})
      .add();
}

void Gateway::reportCallers() {
  for (const auto &[Refused, Count] : std::exchange(Refusals, {}))
    Node.Log.write({.Level = LogLevel::Warning,
                    .Event = Refused.first,
                    .At = Step::Admission,
                    .Fields = {{"cause", Refused.second},
                               {"count", std::to_string(Count)}}});
  Node.ProcessMetrics
      .gauge("marigoldyard_caller_bytes", "Bytes held for callers")
      .set(static_cast<double>(Callers.Memory.Used));
  Node.ProcessMetrics
      .gauge("marigoldyard_caller_connections", "Connections of callers")
      .set(static_cast<double>(Callers.Memory.Connections.size()));
}

void Gateway::reloadSettings() {
  if (auto Reloaded = File.readIfChanged()) {
    Settings.Process.Seeds = Reloaded->Process.Seeds;
    SharedRetries.Limit = {Reloaded->RetryShare, Reloaded->RetryReserve};
    Settings.ColdOvershoot = Reloaded->ColdOvershoot;
    Settings.ColdReserve = Reloaded->ColdReserve;
    setColdSettings();
    Settings.MemoryMegabytes = Reloaded->MemoryMegabytes;
    Settings.MaxDescriptors = Reloaded->MaxDescriptors;
    setCallerLimits();
    Settings.DirectoryTime = Reloaded->DirectoryTime;
    Node.applySettings(Reloaded->Process);
    Node.Log.write({.Event = "settings_reloaded", .At = Step::Settings});
  }
}

void Gateway::recordResponse(std::string_view Kind, std::string_view Result,
                             Duration Latency) {
  const MetricLabels Labels{{"kind", std::string(Kind)},
                            {"outcome", std::string(Result)}};
  Node.ProcessMetrics
      .counter("marigoldyard_requests_total", "Requests of callers", Labels)
      .add();
  Node.ProcessMetrics
      .histogram("marigoldyard_request_seconds",
                 "Time from the whole request to the end of its answer", Labels)
      .record(Latency);
}

} // namespace marigoldyard
