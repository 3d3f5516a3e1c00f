// Orders to the engine: staging, load, read-back, announcement.
#include "programs/agent/agent.hpp"

#include "marigoldyard/protocol/platform_api.hpp"
#include "marigoldyard/transport/clock.hpp"

namespace marigoldyard {

namespace {

constexpr Duration StagingRetry = std::chrono::seconds(1);
constexpr Duration StagingLimit = std::chrono::seconds(30);
constexpr Duration OrderLimit = std::chrono::seconds(120);

bool succeeded(const HttpResult &Result) {
  const auto *Response = std::get_if<HttpResponse>(&Result);
  return Response != nullptr && Response->Status / 100 == 2;
}

} // namespace

void Agent::stageNext(const Digest &Version) {
  const auto Found = Stagings.find(Version);
  if (Found == Stagings.end() || Found->second.Busy)
    return;
  Staging &Progress = Found->second;
  if (Progress.Next == Progress.Chunks.size()) {
    addVerifiedWeights(Loading, Version, Progress.Chunks);
    Stagings.erase(Found);
    return;
  }
  const Digest &Id = Progress.Chunks[Progress.Next];
  const auto Bytes = Chunks.find(Id);
  if (Bytes == Chunks.end()) {
    Stagings.erase(Found);
    return;
  }
  Progress.Busy = true;
  HttpCallRequest Request = endpointRequest(
      "PUT", "/staging/" + Id,
      std::string(Bytes->second->begin(), Bytes->second->end()), Step::Order);
  Request.Limit = StagingLimit;
  Request.ReuseConnection = true;
  callEndpoint(std::move(Request), [this, Version](const HttpResult &Result) {
    staged(Version, succeeded(Result));
  });
}

void Agent::staged(const Digest &Version, bool Success) {
  const auto Found = Stagings.find(Version);
  if (Found == Stagings.end())
    return;
  Found->second.Busy = false;
  if (Success) {
    ++Found->second.Next;
    stageNext(Version);
    return;
  }
  Base.Loop.at(now() + StagingRetry, [this, Version] { stageNext(Version); });
}

std::vector<RolloutMember> Agent::poolMembers() const {
  std::vector<RolloutMember> Pool;
  Pool.push_back({Settings.Process.Name, leaving(), Base.turn(), ReadyWeights});
  for (const auto &[Name, Record] : Base.Members.Records) {
    if (Record.Description.Pool != Settings.Pool ||
        Name == Settings.Process.Name)
      continue;
    const MemberState Current = memberState(Base.Members, Record, Base.turn());
    if (Current == MemberState::Dead)
      continue;
    RolloutMember Each{Name,
                       Current == MemberState::Draining,
                       Record.ReportsExpectedSince,
                       {}};
    if (const auto Found = PoolReports.find(Name); Found != PoolReports.end()) {
      Each.LastReport = Found->second.At;
      Each.ReadyWeights = Found->second.ReadyWeights;
    }
    Pool.push_back(std::move(Each));
  }
  return Pool;
}

std::map<Digest, bool> Agent::turns() {
  std::map<Digest, bool> Result;
  const AcceptedConfiguration *InForce = Base.configuration();
  if (InForce == nullptr)
    return Result;
  const std::vector<RolloutMember> Pool = poolMembers();
  for (const Product *Each : productsOfPool(InForce->Content, Settings.Pool)) {
    auto [Rollout, Created] = Rollouts.try_emplace(Each->Name);
    if (Created)
      Rollout->second = makeRollout(Settings.Process.Name);
    const bool May = decideRollout(Rollout->second, Each->Weights,
                                   usableWeights(History, *Each), Pool,
                                   Each->MaxUnavailable, Base.turn())
                         .HasTurn;
    // Products that share weights also share the engine, so all must agree.
    auto [Turn, First] = Result.try_emplace(Each->Weights, May);
    if (!First)
      Turn->second = Turn->second && May;
  }
  return Result;
}

std::map<Digest, std::uint32_t> Agent::inProgress() const {
  std::map<Digest, std::uint32_t> Result;
  for (const auto &[Key, Task] : Works)
    ++Result[Task.Content.Weights];
  return Result;
}

void Agent::planOrders() {
  if (Base.configuration() == nullptr)
    return;
  LoadingInput Input;
  Input.Now = Base.turn();
  Input.LastPauseCheck = Base.Loop.pauses().LastIteration.value_or(TimePoint{});
  Input.HasTurnByWeights = turns();
  Input.RunningRequests = inProgress();
  for (const LoadingAction &Action : planLoading(Loading, Input)) {
    if (const auto *Content = std::get_if<Order>(&Action)) {
      sendOrder(*Content);
    } else if (std::get_if<ReadBack>(&Action) != nullptr) {
      readBack();
    } else if (const auto *Ready = std::get_if<AnnounceReady>(&Action)) {
      ReadyWeights = Ready->ReadyWeights;
      for (const Digest &Weights : ReadyWeights)
        Base.record("weights_ready", {}, Settings.Process.Name, Weights);
      reportToEntries();
      PoolReportedAt = TimePoint{};
    }
  }
}

void Agent::sendOrder(const Order &Content) {
  if (!isOrderValid(Content, now())) {
    handleExpiredOrder(Loading, Content.FencingToken);
    return;
  }
  const bool IsLoad = Content.Action == OrderAction::Load;
  Base.record(IsLoad ? "load_ordered" : "unload_ordered", {},
              Settings.Process.Name, Content.Target.Weights,
              {{"sequence", std::to_string(Content.FencingToken.Sequence)}});
  HttpCallRequest Request = endpointRequest(
      "POST", "/orders",
      engineOrderJson({Content.Action, Content.Target.Model,
                       Content.Target.Version, Content.Target.Weights,
                       Content.Chunks, Content.FencingToken}),
      Step::Order);
  Request.Limit = OrderLimit;
  callEndpoint(std::move(Request), [this, Content](const HttpResult &Result) {
    const bool Accepted = succeeded(Result);
    if (auto Failure = handleOrderResponse(Loading, Content.FencingToken,
                                           Accepted, now())) {
      Base.Log.write("order_failed", *Failure);
      // The engine may have lost its staged chunks, so they are sent again.
      removeVerifiedWeights(Loading, Content.Target.Weights);
      checkComplete();
    }
  });
}

void Agent::readBack() {
  const TimePoint AskedAt = now();
  callEndpoint(endpointRequest("GET", "/state", {}, Step::ReadBack),
               [this, AskedAt](const HttpResult &Result) {
                 const auto *Response = std::get_if<HttpResponse>(&Result);
                 if (Response == nullptr || Response->Status != 200) {
                   handleEngineLoss(Loading, now());
                   return;
                 }
                 auto Loaded = parseEngineState(Response->Body);
                 if (!Loaded) {
                   Base.Log.write("read_back_invalid", Loaded.error());
                   handleEngineLoss(Loading, now());
                   return;
                 }
                 handleEngineReport(Loading, std::move(*Loaded), AskedAt,
                                    now());
               });
}

} // namespace marigoldyard
