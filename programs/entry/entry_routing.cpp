// Choice of endpoints, and what agents send.
#include "programs/entry/entry.hpp"

#include "marigoldyard/coordination/operation_table.hpp"
#include "marigoldyard/transport/clock.hpp"

#include <algorithm>

namespace marigoldyard {

namespace {

constexpr std::chrono::milliseconds NoEndpointRetryAfter{1000};
/// Time for adopting the newer revision of an agent that refused work; the
/// agent offers it with the refusal.
constexpr Duration AdoptionStep = std::chrono::milliseconds(20);
constexpr int AdoptionSteps = 75;
/// Other entries that an entry keeps connections to, so that it notices when
/// they end.
constexpr std::size_t MaxEntryLinks = 16;

bool contains(const std::vector<Digest> &Digests, const Digest &Wanted) {
  return std::find(Digests.begin(), Digests.end(), Wanted) != Digests.end();
}

} // namespace

std::vector<EndpointView>
Entry::viewsOf(const std::string &Pool,
               const std::vector<Digest> &Usable) const {
  std::vector<EndpointView> Result;
  for (const RoutableMember &Each :
       routableMembers(Base.Members, Pool, Base.turn())) {
    const auto Found = Views.find(Each.Name);
    if (Found == Views.end())
      continue;
    EndpointView View = Found->second;
    View.Live = true;
    View.Suspected = Each.Suspected;
    View.Linked = true;
    if (Usable.empty()) // a plain service runs no weights
      View.Load.ReadyWeights = {Digest()};
    // While a rollout runs, endpoints on either digest share the load; the
    // digest of the chosen endpoint is pinned for the try.
    for (const Digest &Weights : Usable)
      if (contains(View.Load.ReadyWeights, Weights)) {
        View.Load.ReadyWeights = {Usable.front()};
        break;
      }
    Result.push_back(std::move(View));
  }
  return Result;
}

RequestEvent Entry::choose(ActiveRequest &Active,
                           const request_action::ChooseEndpoint &Action) {
  if (Active.State.Kind == RequestKind::OperationRun)
    return chooseByOperation(Active);
  const AcceptedConfiguration *InForce = Base.configuration();
  const Product *Owner = InForce != nullptr
                             ? findProduct(InForce->Content, Active.Product)
                             : nullptr;
  if (Owner == nullptr)
    return request_event::EndpointUnavailable{ErrorCode::NoEndpoint, {}};
  RoutingRequest Request;
  Request.Priority = Active.Priority;
  Request.EstimatedTokens = Active.EstimatedTokens;
  for (const std::string &Peer : Action.Avoid)
    if (!Active.Outdated.contains(Peer))
      Request.Tried.push_back(Peer);
  std::vector<Digest> Usable;
  if (Active.State.Kind == RequestKind::Completion) {
    Usable = usableWeights(History, *Owner);
    Request.Weights = Owner->Weights;
  }
  std::vector<EndpointView> Candidates = viewsOf(Active.Pool, Usable);
  RoutingChoice Choice =
      route(Request, Candidates, RoutingSettings{}, Base.turn(), Base.Source);
  if (!Choice.Chosen) {
    // The floor on suspicion keeps these as the last resort.
    for (EndpointView &View : Candidates)
      View.Suspected = false;
    Choice =
        route(Request, Candidates, RoutingSettings{}, Base.turn(), Base.Source);
  }
  Active.Choice = explainChoice(Choice);
  if (!Choice.Chosen)
    return request_event::EndpointUnavailable{ErrorCode::NoEndpoint,
                                              NoEndpointRetryAfter};
  const std::vector<Digest> &Ready = Views[*Choice.Chosen].Load.ReadyWeights;
  for (const Digest &Weights : Usable)
    if (contains(Ready, Weights))
      return request_event::EndpointChosen{*Choice.Chosen, Weights};
  return request_event::EndpointChosen{*Choice.Chosen, {}};
}

RequestEvent Entry::chooseByOperation(const ActiveRequest &Active) const {
  const auto Id = parseOperationId(Active.State.Operation);
  const auto Found =
      Id ? Base.Members.Records.find(Id->Agent) : Base.Members.Records.end();
  if (Found == Base.Members.Records.end() || !Found->second.HasDescription)
    return request_event::EndpointUnavailable{ErrorCode::PeerUnreachable,
                                              NoEndpointRetryAfter};
  return request_event::EndpointChosen{Id->Agent, {}};
}

QueueEstimate Entry::queueEstimate(const ActiveRequest &Active,
                                   const Product &Owner) const {
  QueueEstimate Best;
  bool First = true;
  for (const EndpointView &View :
       viewsOf(Active.Pool, usableWeights(History, Owner))) {
    if (View.Load.ReadyWeights.empty() || View.Leaving)
      continue;
    QueueEstimate Current;
    Current.OwnTokens = Active.EstimatedTokens;
    Current.TokensPerSecond = View.Load.TokensPerSecond;
    for (std::size_t I = 0; I <= rankIndex(Active.Priority); ++I)
      Current.TokensAhead +=
          View.Load.QueuedTokens[I] + View.SentSinceReport[I];
    if (First || Current.TokensAhead < Best.TokensAhead)
      Best = Current;
    First = false;
  }
  return Best;
}

void Entry::receive(const Message &Incoming) {
  namespace event = request_event;
  const std::string &Peer = Incoming.Head.Sender;
  const auto Acknowledge = [&](const TryId &Id) {
    recordAnsweredWork(Base.Members, Peer, Base.turn());
    if (auto Found = Requests.find(Id.Request);
        Found != Requests.end() && Found->second.SentAttempt == Id.Attempt)
      Found->second.Acknowledged = true;
  };
  const Body &Content = Incoming.Content;
  if (const auto *Part = std::get_if<Piece>(&Content)) {
    feed(Part->Id.Request,
         event::PieceArrived{Peer, PieceView{Part->Id.Request, Part->Id.Attempt,
                                             Part->Weights, Part->Sequence,
                                             Part->Text}});
  } else if (const auto *Load = std::get_if<Report>(&Content)) {
    reportArrived(Peer, Load->Load);
  } else if (const auto *Yes = std::get_if<WorkAccepted>(&Content)) {
    Acknowledge(Yes->Id);
    feed(Yes->Id.Request, event::Accepted{Peer, Yes->Id.Attempt});
  } else if (const auto *No = std::get_if<WorkRefused>(&Content)) {
    Acknowledge(No->Id);
    refused(Peer, Incoming.Head.SenderRevision, *No);
  } else if (const auto *Broken = std::get_if<WorkFailed>(&Content)) {
    Acknowledge(Broken->Id);
    feed(Broken->Id.Request,
         event::Failed{Peer, Broken->Id.Attempt, Broken->Reason, Broken->At});
  } else if (const auto *End = std::get_if<StreamEnd>(&Content)) {
    feed(End->Id.Request,
         event::EndArrived{Peer, StreamEndView{End->Id.Request, End->Id.Attempt,
                                               End->Weights, End->Count,
                                               End->Checksum}});
  } else if (const auto *Opened = std::get_if<OperationOpened>(&Content)) {
    feed(Opened->Request,
         event::Opened{Peer, Opened->Operation, Opened->Reason});
  } else if (const auto *Result = std::get_if<OperationResult>(&Content)) {
    feed(Result->Request, event::OperationAnswered{
                              Peer, Result->Operation,
                              OperationAnswer{Result->Result, Result->Status,
                                              Result->Body, Result->Reason}});
  }
}

void Entry::reportArrived(const std::string &Peer, const LoadReport &Load) {
  const auto Known = Base.Members.Records.find(Peer);
  if (Known == Base.Members.Records.end() ||
      Known->second.Description.Kind == MemberKind::Entry)
    return;
  EndpointView &View = Views[Peer];
  View.Name = Peer;
  View.Leaving = Load.Draining;
  recordReport(View, Load, Base.turn());
}

void Entry::refused(const std::string &Peer, Revision Theirs,
                    const WorkRefused &Answer) {
  const auto Found = Requests.find(Answer.Id.Request);
  if (Found == Requests.end())
    return;
  const request_event::Refused Event{Peer, Answer.Id.Attempt, Answer.Reason,
                                     Answer.RetryAfter};
  if (Answer.Reason != ErrorCode::StaleRevision) {
    feed(Answer.Id.Request, Event);
    return;
  }
  Found->second.Outdated.insert(Peer);
  retryWhenAdopted(Answer.Id.Request, Theirs, Event, AdoptionSteps);
}

void Entry::retryWhenAdopted(const std::string &Id, Revision Theirs,
                             const request_event::Refused &Event,
                             int StepsLeft) {
  const AcceptedConfiguration *InForce = Base.configuration();
  if (StepsLeft == 0 ||
      (InForce != nullptr && InForce->Index.ConfigRevision >= Theirs)) {
    feed(Id, Event);
    return;
  }
  Base.Loop.at(now() + AdoptionStep, [this, Id, Theirs, Event, StepsLeft] {
    retryWhenAdopted(Id, Theirs, Event, StepsLeft - 1);
  });
}

void Entry::peerLost(const std::string &Peer) {
  std::vector<std::string> Affected;
  for (const auto &[Id, Active] : Requests)
    if (Active.SentTo == Peer)
      Affected.push_back(Id);
  for (const std::string &Id : Affected)
    loseTry(Id, Peer);
}

void Entry::configurationChanged() {
  const AcceptedConfiguration &InForce = *Base.configuration();
  std::vector<const Product *> Products;
  for (const Product &Owner : InForce.Content.Products) {
    Products.push_back(&Owner);
    Budgets[Owner.Name].RetryRatio = Owner.RetryBudget;
  }
  updateWeights(History, Products);
  std::erase_if(Budgets, [this](const auto &Item) {
    return !History.Current.contains(Item.first);
  });
  membersChanged();
}

void Entry::membersChanged() {
  const std::vector<std::string> Entries =
      servingEntries(Base.Members, Base.turn());
  std::map<std::string, std::vector<SubsetEndpoint>> Pools;
  for (const Member &Each : presentMembers(Base.Members, Base.turn())) {
    if (Each.Kind == MemberKind::Endpoint)
      Pools[Each.Pool].push_back({Each.Name, Each.FailureDomain});
  }
  std::erase_if(Views, [this](const auto &Each) {
    return !Base.Members.Records.contains(Each.first);
  });
  // The choice of links takes 75 ms with 390 entries and 1,100 endpoints in a
  // pool, and the VM list is read each few seconds.
  if (Entries != PresentEntries || Pools != PresentPools) {
    PresentEntries = Entries;
    PresentPools = std::move(Pools);
    relink();
  }
  std::size_t Linked = 0;
  for (const std::string &Name : Entries)
    if (Name != Settings.Process.Name && Linked++ < MaxEntryLinks) {
      Base.connect(Name);
      LoadReport Own;
      Own.Draining = Departure.Stage != DrainStage::Serving;
      Base.send(Name, Report{Own});
    }
}

void Entry::relink() {
  std::set<std::string> Wanted;
  for (const auto &[Pool, Endpoints] : PresentPools)
    for (const std::string &Name :
         linksOfEntry(Settings.Process.Name, PresentEntries, Endpoints)) {
      Wanted.insert(Name);
      Views[Name].Name = Name;
    }
  for (const std::string &Name : Links)
    if (!Wanted.contains(Name))
      setReportsExpected(Base.Members, Name, false, Base.turn());
  for (const std::string &Name : Wanted)
    if (!Links.contains(Name)) {
      setReportsExpected(Base.Members, Name, true, Base.turn());
      Base.connect(Name);
    }
  Links = std::move(Wanted);
}

void Entry::status(nlohmann::json &Page) const {
  Page["kind"] = "entry";
  Page["stage"] = static_cast<int>(Departure.Stage);
  Page["running"] = Requests.size();
  Page["cut"] = Departure.AbortedRequests;
  nlohmann::json Endpoints = nlohmann::json::array();
  for (const auto &[Name, View] : Views)
    Endpoints.push_back({{"name", Name},
                         {"ready", View.Load.Ready},
                         {"leaving", View.Leaving},
                         {"running", View.Load.Running},
                         {"slots", View.Load.Slots},
                         {"tokens_per_second", View.Load.TokensPerSecond},
                         {"weights", View.Load.ReadyWeights}});
  Page["endpoints"] = std::move(Endpoints);
}

} // namespace marigoldyard
