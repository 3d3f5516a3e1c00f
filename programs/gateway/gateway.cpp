#include "programs/gateway/gateway.hpp"

#include "marigoldyard/transport/clock.hpp"
#include "platform/store_format.hpp"
#include "programs/gateway/request_run.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>
#include <utility>

namespace marigoldyard {

namespace net = boost::asio;
using Tcp = net::ip::tcp;
using boost::system::error_code;

namespace {

/// Pause between two watches of all keys: servers change theirs all the time.
/// It grows with the number of gateways, so that the calls of all stay few, up
/// to a limit far below the bounds in which changes must be in force.
constexpr std::chrono::milliseconds StorePace{300};
constexpr std::chrono::milliseconds StorePaceOfEach{75};
constexpr std::chrono::milliseconds LongestStorePace{500};
/// Longest wait of one watch; servers change something before it ends.
constexpr std::chrono::milliseconds StoreWait{1500};
/// Longest pause between tries of a gateway that knows no configuration, and
/// so serves nothing.
constexpr std::chrono::milliseconds FirstReadPause{100};
/// Status messages to stagers: they need the list of gateways only.
constexpr std::chrono::seconds StagerStatusInterval{2};
/// A stager that is silent for this long gets no more status messages.
constexpr std::chrono::seconds StagerForgetAfter{15};
/// Interval of checks that may be late: idle connections, settings.
constexpr std::chrono::seconds MaintenanceInterval{2};
/// How long new work is accepted after SIGTERM: callers keep the directory's
/// answer, and what began then still ends before the process must exit.
constexpr double LingerShare = 0.3;
/// Time kept between the last end of a request and the platform's SIGKILL.
constexpr std::chrono::milliseconds ExitMargin{600};
/// Time kept before the bound in which a request that has not begun is
/// withdrawn from its server: the pause between watches and the way of the news
/// pass before the declaration is known.
constexpr std::chrono::milliseconds VersionMargin =
    LongestStorePace + std::chrono::milliseconds(250);
/// Part of the shared retry budget that is used: a restarted process begins
/// with a full reserve again.
constexpr double BudgetShare = 0.7;

} // namespace

Gateway::Gateway(GatewaySettings Given, SettingsFile<GatewaySettings> Source)
    : Settings(std::move(Given)), File(std::move(Source)),
      Base(Settings.Process, MemberKind::Entry,
           {"", "", StorePace, FirstReadPause, StoreWait}) {
  Servers.Settings.Region = Settings.Process.Region;
  Servers.Settings.RegionOf = Settings.Process.RegionOf;
  Departure.Process = Settings.Process.Name;
}

std::optional<Error> Gateway::start() {
  FleetHandlers Handlers;
  Handlers.StoreChanged = [this](const ChangedKeys &Keys) {
    storeChanged(Keys);
  };
  Handlers.Received = [this](const Message &Incoming) { received(Incoming); };
  Handlers.Tick = [this] { tick(); };
  Handlers.Terminate = [this] { terminate(); };
  Handlers.SettingsChanged = [this] { rereadSettings(); };
  if (auto Failure = Base.start(std::move(Handlers)))
    return Failure;
  if (auto Failure = listen(Settings.Callers, callerHandlers()))
    return Failure;
  if (auto Failure = listen(Settings.Readiness, ownHandlers()))
    return Failure;
  return listen(Settings.Directory, ownHandlers());
}

std::optional<Error> Gateway::listen(const ServerAddress &Address,
                                     SessionHandlers Handlers) {
  error_code Failure;
  const Tcp::endpoint Endpoint(net::ip::make_address(Address.Host, Failure),
                               Address.Port);
  auto Acceptor = std::make_shared<Tcp::acceptor>(Base.Context);
  if (!Failure)
    Acceptor->open(Endpoint.protocol(), Failure);
  if (!Failure)
    Acceptor->set_option(Tcp::acceptor::reuse_address(true), Failure);
  if (!Failure)
    Acceptor->bind(Endpoint, Failure);
  if (!Failure)
    Acceptor->listen(net::socket_base::max_listen_connections, Failure);
  if (Failure)
    return Error{ErrorCode::InvalidSettings, Step::Settings,
                 addressText(Address), Failure.message()};
  net::co_spawn(Base.Context, acceptLoop(Acceptor, std::move(Handlers)),
                net::detached);
  return std::nullopt;
}

net::awaitable<void>
Gateway::acceptLoop(std::shared_ptr<Tcp::acceptor> Acceptor,
                    SessionHandlers Handlers) {
  /// Pause after a failed accept, such as for lack of descriptors.
  constexpr std::chrono::milliseconds AcceptPause{20};
  for (;;) {
    error_code Failure;
    Tcp::socket Socket = co_await Acceptor->async_accept(
        net::redirect_error(net::use_awaitable, Failure));
    if (Failure) {
      Base.Log.write({.Level = LogLevel::Warning,
                      .Event = "accept_failed",
                      .Fields = {{"cause", Failure.message()}}});
      net::steady_timer Pause(Base.Context, AcceptPause);
      co_await Pause.async_wait(
          net::redirect_error(net::use_awaitable, Failure));
      continue;
    }
    auto Session = std::make_shared<CallerSession>(std::move(Socket),
                                                   Base.Timeouts, Handlers);
    net::co_spawn(
        Base.Context, [Session] { return Session->run(); },
        [this](const std::exception_ptr &Thrown) {
          try {
            if (Thrown)
              std::rethrow_exception(Thrown);
          } catch (const std::exception &Cause) {
            Base.Log.write({.Level = LogLevel::Error,
                            .Event = "session_failed",
                            .Fields = {{"cause", Cause.what()}}});
          }
        });
  }
}

SessionHandlers Gateway::callerHandlers() {
  SessionHandlers Handlers = ownHandlers();
  Handlers.Answer =
      [this](CallerSession &Session,
             const platform::RequestMessage &Request) -> net::awaitable<bool> {
    RequestRun Run(*this, Session, Request);
    co_return co_await Run.run();
  };
  return Handlers;
}

SessionHandlers Gateway::ownHandlers() {
  SessionHandlers Handlers;
  Handlers.Answer = [this](CallerSession &Session,
                           const platform::RequestMessage &Request) {
    return answerOwn(Session, Request);
  };
  Handlers.Limits = [this] {
    return Routes ? Routes->Content.Limits : ClientLimits{};
  };
  Handlers.Rejected = [this](std::string_view Reason) {
    Base.Log.write({.Event = "request_rejected",
                    .At = Step::Admission,
                    .Fields = {{"reason", std::string(Reason)}}});
  };
  return Handlers;
}

net::awaitable<bool>
Gateway::answerOwn(CallerSession &Session,
                   const platform::RequestMessage &Request) {
  const std::string_view Target(Request.target().data(),
                                Request.target().size());
  unsigned Status = 404;
  std::string Text = "{}";
  if (platform::isReadinessCheck(Target)) {
    Status = ready() ? 200 : 503;
  } else if (const auto Question = platform::parseDirectoryQuestion(Target)) {
    Text = directoryBody(Question->Region);
    Status = Text.empty() ? 503 : 200;
  }
  const std::string Whole =
      fmt::format("HTTP/1.1 {} Answer\r\nContent-Type: application/json\r\n"
                  "Content-Length: {}\r\n\r\n{}",
                  Status, Text.size(), Text);
  co_return co_await Session.write(Whole);
}

std::string Gateway::directoryBody(const std::string &Region) const {
  std::vector<std::string> Near;
  std::vector<std::string> Far;
  auto Add = [&](const std::string &Address, const std::string &At) {
    (At == Region ? Near : Far).push_back(Address);
  };
  if (ready())
    Add(addressText(Settings.Callers), Settings.Process.Region);
  for (const auto &[Address, Other] : Base.liveGateways())
    if (Other.Ready && !Other.Leaving)
      Add(Other.CallerAddress, Base.Gateways.Records.at(Address).Listed.Region);
  const std::vector<std::string> &Chosen = Near.empty() ? Far : Near;
  return Chosen.empty()
             ? std::string()
             : platform::directoryAnswer(Chosen, Settings.DirectoryTime);
}

bool Gateway::ready() const {
  return Base.Store.known() && Routes && Departure.Stage == DrainStage::Serving;
}

void Gateway::storeChanged(const ChangedKeys &Keys) {
  const auto &Items = Base.Store.mirror().Items;
  for (const std::string &Key : Keys) {
    const auto Found = Items.find(Key);
    switch (platform::itemKind(Key)) {
    case platform::ItemKind::Configuration:
      if (Found != Items.end())
        configurationChanged(Found->second);
      break;
    case platform::ItemKind::ModelVersion:
      if (Found != Items.end())
        versionChanged(Found->second);
      break;
    case platform::ItemKind::Server:
      serverChanged(Key);
      break;
    case platform::ItemKind::Other:
      break;
    }
  }
  noteReadiness();
  beginWaiting();
}

void Gateway::noteReadiness() {
  if (std::exchange(WasReady, ready()) == ready())
    return;
  Base.Log.write(
      {.Event = ready() ? "ready" : "not_ready",
       .At = Step::Admission,
       .Number = Routes ? std::optional(Routes->Content.Number) : std::nullopt,
       .Fields = {
           {"store_revision", std::to_string(Base.Store.mirror().Revision)},
           {"servers", std::to_string(Servers.Servers.size())},
           {"leaving",
            Departure.Stage == DrainStage::Serving ? "false" : "true"}}});
}

void Gateway::configurationChanged(const StoreItem &Item) {
  auto Parsed = platform::parseFleetConfiguration(Item.Value);
  if (!Parsed) {
    Base.Log.write("configuration_refused", Parsed.error());
    return;
  }
  const Revision InForce = Routes ? Routes->Content.Number : 0;
  if (Parsed->Number <= InForce) {
    Base.Log.write({.Level = LogLevel::Warning,
                    .Event = "configuration_outdated",
                    .At = Step::ConfigurationAccept,
                    .Number = Parsed->Number});
    return;
  }
  Base.Log.write(
      {.Event = "configuration_in_force",
       .At = Step::ConfigurationAccept,
       .Number = Parsed->Number,
       .Fields = {{"before", std::to_string(InForce)},
                  {"routes", std::to_string(Parsed->Routes.size())},
                  {"customers", std::to_string(Parsed->Customers.size())},
                  {"store_revision", std::to_string(Item.ChangedAt)}}});
  Routes = makeRouteTable(std::move(*Parsed));
}

void Gateway::serverChanged(const std::string &Key) {
  const auto &Items = Base.Store.mirror().Items;
  const auto Found = Items.find(Key);
  const std::string Id = Key.substr(platform::serverKeys().size());
  if (Found == Items.end()) {
    if (const auto Known = Servers.Servers.find(Id);
        Known != Servers.Servers.end()) {
      Base.Log.write({.Event = "server_gone",
                      .At = Step::MemberList,
                      .Peer = Known->second.Record.Address,
                      .Fields = {{"server", Id}}});
      Connections.drop(Known->second.Record.Address);
    }
    return removeServer(Servers, Id);
  }
  const auto Record = platform::parseServerRecord(Key, Found->second.Value);
  if (!Record) {
    // Another writer's item names no server to use; a known server keeps its
    // last valid record.
    Base.Log.write("server_record_refused", Record.error());
    return;
  }
  const auto Known = Servers.Servers.find(Id);
  if (Known == Servers.Servers.end() ||
      Known->second.Record.Draining != Record->Draining)
    Base.Log.write(
        {.Event = Record->Draining ? "server_draining" : "server_joined",
         .At = Step::MemberList,
         .Peer = Record->Address,
         .Fields = {{"server", Id}, {"pool", Record->Pool}}});
  putServer(Servers, *Record);
}

void Gateway::versionChanged(const StoreItem &Item) {
  const auto Version = platform::parseDeclaredVersion(Item.Value);
  if (!Version) {
    Base.Log.write("version_refused", Version.error());
    return;
  }
  const TimePoint Now = now();
  const Duration Limit = Settings.Process.VersionLimit;
  Declared[Version->Model] =
      std::max(Declared[Version->Model], Version->Version);
  tellStagers();
  VersionBoundSettings Bound;
  Bound.Limit = Limit;
  const VersionNews News = versionNews();
  Pending.push_back({*Version, Now + requireVersionAfter(Bound, News),
                     News == VersionNews::Watched ? Now + Limit - VersionMargin
                                                  : TimePoint::max()});
  Base.Log.write({.Event = "version_declared",
                  .At = Step::ConfigurationAccept,
                  .Fields = {{"model", Version->Model},
                             {"version", std::to_string(Version->Version)}}});
}

VersionNews Gateway::versionNews() const {
  const TimePoint Now = now();
  if (Base.Store.justKnown(Now))
    return VersionNews::Unknown;
  if (Base.Store.cutOff(Now))
    return VersionNews::Relayed;
  if (!Base.Store.catchingUp(Now))
    return VersionNews::Watched;
  return Base.liveGateways().empty() ? VersionNews::Unknown
                                     : VersionNews::Returned;
}

void Gateway::enforceVersions() {
  const TimePoint Now = now();
  std::erase_if(Pending, [&](const PendingVersion &Each) {
    if (Now < Each.RequiredAt)
      return false;
    requireVersion(Servers, Each.Declared);
    Base.Log.write(
        {.Event = "version_required",
         .At = Step::Routing,
         .Fields = {{"model", Each.Declared.Model},
                    {"version", std::to_string(Each.Declared.Version)}}});
    return true;
  });
}

std::optional<TimePoint> Gateway::beginUntil(const std::string &Id,
                                             const std::string &Model) const {
  const auto Server = Servers.Servers.find(Id);
  if (Server == Servers.Servers.end())
    return std::nullopt;
  const std::uint64_t Loaded = loadedVersion(Server->second, Model);
  std::optional<TimePoint> Result;
  for (const PendingVersion &Each : Pending)
    if (Each.Declared.Model == Model && Each.Declared.Version > Loaded)
      Result = std::min(Result.value_or(Each.BeginUntil), Each.BeginUntil);
  return Result;
}

void Gateway::received(const Message &Incoming) {
  if (const auto *Status = std::get_if<EngineStatus>(&Incoming.Content))
    engineStatus(Incoming.Head.Sender, *Status);
  else if (const auto *Question = std::get_if<PoolQuestion>(&Incoming.Content))
    poolAsked(Incoming.Head.Sender, *Question);
}

void Gateway::engineStatus(const std::string &Stager,
                           const EngineStatus &Status) {
  const auto [Known, New] = Stagers.try_emplace(Stager);
  Known->second.Heard = now();
  Known->second.Region = Status.Sender.Region;
  if (New)
    StagerStatusAt = {}; // it learns the list of gateways at once
  const EngineNews News{Status.Server, Status.StartedAtMs, Status.Accepting,
                        Status.Load, Status.Weights};
  if (!noteEngineNews(Servers, News, now()))
    return;
  beginWaiting();
}

void Gateway::poolAsked(const std::string &Stager,
                        const PoolQuestion &Question) {
  Stagers[Stager] = {now(), Question.Sender.Region, Question.Pool};
  if (!Base.Store.known() || !Routes)
    return; // it asks again, or the store
  PoolFacts Facts = factsAbout(Question.Pool);
  Facts.Members = poolMembers(Servers, Question.Pool);
  Base.send(Stager, PoolAnswer{std::move(Facts)});
}

PoolFacts Gateway::factsAbout(const std::string &Pool) const {
  PoolFacts Facts = poolFacts(Routes->Content, Pool);
  for (const auto &[Model, Version] : Declared)
    Facts.Declared.push_back({Model, Version});
  return Facts;
}

bool Gateway::caresFor(const std::string &Region) const {
  if (Region == Settings.Process.Region)
    return true;
  const auto Live = Base.liveGateways();
  return std::none_of(Live.begin(), Live.end(), [&](const auto &Each) {
    return Base.Gateways.Records.at(Each.first).Listed.Region == Region;
  });
}

void Gateway::tellStagers() {
  if (!Routes)
    return;
  for (const auto &[Address, Stager] : Stagers)
    if (!Stager.Pool.empty() && caresFor(Stager.Region))
      Base.send(Address, PoolAnswer{factsAbout(Stager.Pool)});
}

double Gateway::retryReserve() const {
  return BudgetShare * Settings.RetryReserve /
         static_cast<double>(1 + OtherGateways);
}

RetryBudget &Gateway::retryBudget(const std::string &Pool) {
  const auto [Found, New] = Budgets.try_emplace(Pool);
  RetryBudget &Budget = Found->second;
  if (New) {
    Budget.Share = BudgetShare * Settings.RetryShare;
    Budget.ChargeRefusals = true;
    Budget.Tokens = retryReserve();
  }
  Budget.Reserve = retryReserve();
  return Budget;
}

net::awaitable<ServerChoice>
Gateway::acquireServer(ServerQuestion Question, WaitingRequest Request,
                       const std::function<void(std::function<void()>)> &Left) {
  const std::string Customer = Request.Customer;
  const std::uint64_t Cost = Request.Cost;
  ServerChoice Choice{{}, ServerShortage::Full};
  Question.Late = now() > Request.OnTimeUntil;
  if (!mustWait(Queue, Question.Pool, Request.Priority))
    Choice = chooseServer(Servers, Question, now(), Base.Source);
  if (Choice.Shortage == ServerShortage::None) {
    noteBegun(Servers, Choice.Id, Question.PromptTokens);
    noteUsage(Queue, Customer, Cost, now());
    co_return Choice;
  }
  const auto Ticket = enqueue(Queue, std::move(Request));
  if (!Ticket)
    co_return Choice;
  net::steady_timer Wake(Base.Context, net::steady_timer::time_point::max());
  Waiters[*Ticket] = {std::move(Question), std::nullopt, &Wake};
  Left([this, Ticket = *Ticket] {
    dequeue(Queue, Ticket);
    wake(Ticket, {{}, ServerShortage::Absent});
  });
  error_code Ignored; // the timer is only ever cancelled
  co_await Wake.async_wait(net::redirect_error(net::use_awaitable, Ignored));
  Left(nullptr);
  const auto Found = Waiters.find(*Ticket);
  const ServerChoice Grant = Found->second.Grant.value_or(Choice);
  Waiters.erase(Found);
  if (Grant.Shortage == ServerShortage::None)
    noteUsage(Queue, Customer, Cost, now());
  co_return Grant;
}

void Gateway::promptRead(const std::string &Id, std::uint64_t PromptTokens) {
  noteRead(Servers, Id, PromptTokens);
  const auto Found = Servers.Servers.find(Id);
  if (Found != Servers.Servers.end())
    beginWaiting(Found->second.Record.Pool);
}

void Gateway::releaseServer(const std::string &Id) {
  noteEnded(Servers, Id);
  const auto Found = Servers.Servers.find(Id);
  if (Found != Servers.Servers.end())
    beginWaiting(Found->second.Record.Pool);
}

void Gateway::wake(std::uint64_t Ticket, ServerChoice Grant) {
  const auto Found = Waiters.find(Ticket);
  if (Found == Waiters.end() || Found->second.Grant)
    return;
  Found->second.Grant = std::move(Grant);
  Found->second.Wake->cancel();
}

void Gateway::beginWaiting() {
  std::set<std::string> Pools;
  for (const auto &[Ticket, Request] : Queue.Waiting)
    Pools.insert(Request.Pool);
  for (const std::string &Pool : Pools)
    beginWaiting(Pool);
}

void Gateway::beginWaiting(const std::string &Pool) {
  const TimePoint Now = now();
  while (const WaitingRequest *Next = nextRequest(Queue, Pool, Now)) {
    const std::uint64_t Ticket = Next->Ticket;
    ServerQuestion &Question = Waiters.at(Ticket).Question;
    Question.Late = Now > Next->OnTimeUntil;
    ServerChoice Choice = chooseServer(Servers, Question, Now, Base.Source);
    if (Choice.Shortage != ServerShortage::None)
      return;
    dequeue(Queue, Ticket);
    noteBegun(Servers, Choice.Id, Question.PromptTokens);
    wake(Ticket, std::move(Choice));
  }
}

void Gateway::tick() {
  const TimePoint Now = now();
  enforceVersions();
  for (const std::uint64_t Ticket : expireRequests(Queue, Now))
    wake(Ticket, {{}, ServerShortage::Full});
  beginWaiting();
  if (Now - StatusAt >= FleetNode::StatusInterval)
    sendStatus();
  if (Now - MaintenanceAt >= MaintenanceInterval) {
    MaintenanceAt = Now;
    Connections.closeExpired(Now);
    rereadSettings();
  }
  if (Departure.Stage != DrainStage::Serving &&
      drainStep(Departure, Now) == DrainStage::Done) {
    Base.Log.write({.Event = "stopped",
                    .At = Step::Drain,
                    .Fields = {{"cut", std::to_string(Departure.Cut)}}});
    Base.stop();
  }
}

void Gateway::sendStatus() {
  const TimePoint Now = now();
  StatusAt = Now;
  GatewayStatus Status;
  Status.Sender = Base.self();
  Status.CallerAddress = addressText(Settings.Callers);
  Status.Ready = ready();
  Status.Leaving = Departure.Stage != DrainStage::Serving;
  Status.KnownUpto = Base.Store.known() ? Base.Store.mirror().Revision : 0;
  for (const auto &[Address, Other] : Base.liveGateways())
    Status.Gateways.push_back(Address);
  OtherGateways = Status.Gateways.size();
  Base.Store.usePace(
      std::clamp(StorePaceOfEach * static_cast<int>(1 + OtherGateways),
                 StorePace, LongestStorePace));
  Servers.Settings.Sharers = 1;
  for (const std::string &Address : Status.Gateways)
    if (Base.Gateways.Records.at(Address).Listed.Region ==
        Settings.Process.Region)
      ++Servers.Settings.Sharers;
  for (const std::string &Address : Base.gatewayAddresses())
    Base.send(Address, Status);
  if (Now - StagerStatusAt < StagerStatusInterval)
    return;
  StagerStatusAt = Now;
  std::erase_if(Stagers, [&](const auto &Each) {
    return Now - Each.second.Heard > StagerForgetAfter;
  });
  for (const auto &[Address, Stager] : Stagers)
    if (caresFor(Stager.Region))
      Base.send(Address, Status);
}

void Gateway::terminate() {
  if (Departure.Stage != DrainStage::Serving)
    return;
  const Duration Limit = Settings.Process.DrainLimit - ExitMargin;
  beginDrain(Departure,
             std::chrono::duration_cast<Duration>(Settings.Process.DrainLimit *
                                                  LingerShare),
             Limit, now());
  noteReadiness();
  sendStatus();
}

void Gateway::rereadSettings() {
  if (auto Fresh = File.readIfChanged()) {
    Settings.Process.Seeds = Fresh->Process.Seeds;
    Settings.RetryShare = Fresh->RetryShare;
    Settings.RetryReserve = Fresh->RetryReserve;
    Settings.DirectoryTime = Fresh->DirectoryTime;
    Base.useSettings(Fresh->Process);
    Base.Log.write({.Event = "settings_reloaded", .At = Step::Settings});
  }
}

void Gateway::countAnswer(std::string_view Kind, std::string_view Result,
                          Duration Latency) {
  const MetricLabels Labels{{"kind", std::string(Kind)},
                            {"outcome", std::string(Result)}};
  Base.Numbers
      .counter("marigoldyard_requests_total", "Requests of callers", Labels)
      .add();
  Base.Numbers
      .histogram("marigoldyard_request_seconds",
                 "Time from the whole request to the end of its answer", Labels)
      .record(Latency);
}

} // namespace marigoldyard
