#include "marigoldyard/coordination/watch_plan.hpp"

#include "marigoldyard/coordination/configuration.hpp"
#include "marigoldyard/coordination/detail/rendezvous.hpp"

#include <algorithm>
#include <set>

namespace marigoldyard {
namespace {

// Jitter shortens an interval to no less than this share.
constexpr double MinJitterFactor = 0.5;
// Number of doublings of MinRetryDelay that reach MaxRetryDelay.
constexpr std::uint32_t MaxDoublings = 4;
// Offer age sent by a process without any confirmation; also the upper limit.
constexpr Duration UnconfirmedAge = std::chrono::hours(1);
// A read that is overdue by more was delayed by a pause of this process.
constexpr Duration MaxReadOverdue = std::chrono::seconds(2);

Duration scaled(Duration Span, double Factor) {
  return Duration(static_cast<Duration::rep>(double(Span.count()) * Factor));
}

Duration jittered(Duration Span, Random &Randomness) {
  return scaled(Span, std::uniform_real_distribution<double>(MinJitterFactor,
                                                             1.0)(Randomness));
}

/// Time in which each process of the region may read once at
/// RegionReadsPerSecond.
Duration regionReadTime(const WatchState &State) {
  return scaled(std::chrono::seconds(1),
                double(State.RegionSize) / State.Settings.RegionReadsPerSecond);
}

/// Interval between the fallback reads of this process at which the region
/// stays within RegionReadsPerSecond.
Duration fallbackInterval(const WatchState &State) {
  return std::max(State.Settings.FallbackReadInterval, regionReadTime(State));
}

void refillTokens(WatchState &State, TimePoint Now) {
  const double Seconds =
      std::chrono::duration<double>(Now - State.TokensRefilledAt).count();
  State.Tokens =
      std::min(State.Settings.ReadBurst,
               State.Tokens + Seconds * State.Settings.ReadTokensPerSecond);
  State.TokensRefilledAt = Now;
}

TimePoint timeOfTokens(const WatchState &State, double Required,
                       TimePoint Now) {
  if (State.Tokens >= Required)
    return Now;
  return Now +
         scaled(std::chrono::seconds(1),
                (Required - State.Tokens) /
                    State.Settings.ReadTokensPerSecond) +
         Duration(1);
}

RelayPosition relayPosition(const std::vector<std::string> &Order,
                            std::string_view Self, std::size_t FanOut) {
  const auto It = std::find(Order.begin(), Order.end(), Self);
  if (It == Order.end() || FanOut == 0)
    return {};
  const auto Index = static_cast<std::size_t>(It - Order.begin());
  RelayPosition Result;
  if (Index > 0)
    Result.Parent = Order[(Index - 1) / FanOut];
  for (std::size_t I = Index * FanOut + 1;
       I <= Index * FanOut + FanOut && I < Order.size(); ++I)
    Result.Children.push_back(Order[I]);
  return Result;
}

std::string pickPeer(const std::vector<std::string> &Peers,
                     Random &Randomness) {
  return Peers[std::uniform_int_distribution<std::size_t>(0, Peers.size() - 1)(
      Randomness)];
}

bool tryContact(WatchState &State, std::string_view Peer, TimePoint Now) {
  if (const auto It = State.LastContact.find(Peer);
      It != State.LastContact.end()) {
    if (Now - It->second < State.Settings.MinPeerContactInterval)
      return false;
    It->second = Now;
    return true;
  }
  if (State.LastContact.size() >= State.Settings.MaxPeers)
    std::erase_if(State.LastContact, [&](const auto &Entry) {
      return Now - Entry.second >= State.Settings.MinPeerContactInterval;
    });
  if (State.LastContact.size() >= State.Settings.MaxPeers)
    return false;
  State.LastContact.emplace(std::string(Peer), Now);
  return true;
}

/// Whether the newest confirmation is missing or as old as ConfirmationTimeout.
bool lacksConfirmation(const WatchState &State, TimePoint Now) {
  return !State.ConfirmedAt ||
         Now - *State.ConfirmedAt >= State.Settings.ConfirmationTimeout;
}

Duration offerAge(const WatchState &State, TimePoint Now) {
  return State.ConfirmedAt ? std::min(Now - *State.ConfirmedAt, UnconfirmedAge)
                           : UnconfirmedAge;
}

/// Time of the first fallback read after the last confirmation.
TimePoint firstFallbackRead(const WatchState &State,
                            TimePoint LastConfirmation) {
  return LastConfirmation + State.Settings.ConfirmationTimeout +
         scaled(fallbackInterval(State), State.JitterFraction);
}

void addReads(WatchState &State, TimePoint Now, WatchStep &Step) {
  if (State.ReadInFlight)
    return;
  // Spreads the reads of processes of a host or region that resume at the same
  // time.
  if (!State.Watching && Now - State.NextRead > MaxReadOverdue)
    State.NextRead =
        Now + scaled(fallbackInterval(State), State.JitterFraction);
  const TimePoint At = std::max(State.NextRead, timeOfTokens(State, 1, Now));
  if (At > Now) {
    Step.NextCall = std::min(Step.NextCall, At);
    return;
  }
  State.Tokens -= 1;
  State.ReadInFlight = true;
  const bool Watch = State.Watching && State.RetryDelay == Duration(0);
  Step.Actions.push_back(
      {Watch ? WatchActionKind::WatchIndex : WatchActionKind::ReadIndex,
       {},
       {},
       Watch ? State.Settings.WatchTimeout : Duration(0),
       {}});
}

void addValueRequests(WatchState &State, TimePoint Now, WatchStep &Step) {
  if (!State.MissingValues || State.MissingValues->Peer.empty())
    return;
  ValueFetch &Fetch = *State.MissingValues;
  if (Fetch.NextRequest <= Now) {
    Fetch.NextRequest = Now + State.Settings.PeerValueRequestInterval;
    Step.Actions.push_back(
        {WatchActionKind::RequestValues, {Fetch.Peer}, Fetch.Keys, {}, {}});
  }
  Step.NextCall = std::min(Step.NextCall, Fetch.NextRequest);
}

void addValueReads(WatchState &State, TimePoint Now, Random &Randomness,
                   WatchStep &Step) {
  if (!State.MissingValues)
    return;
  ValueFetch &Fetch = *State.MissingValues;
  const TimePoint At = std::max(Fetch.NextRead, timeOfTokens(State, 1, Now));
  if (At > Now) {
    Step.NextCall = std::min(Step.NextCall, At);
    return;
  }
  const auto Affordable =
      std::min(static_cast<std::size_t>(State.Tokens), Fetch.Keys.size());
  State.Tokens -= double(Affordable);
  // With few tokens, shuffling lets repeated reads reach all keys.
  std::shuffle(Fetch.Keys.begin(), Fetch.Keys.end(), Randomness);
  Step.Actions.push_back(
      {WatchActionKind::ReadValues,
       {},
       {Fetch.Keys.begin(),
        Fetch.Keys.begin() + static_cast<std::ptrdiff_t>(Affordable)},
       {},
       {}});
  const std::uint32_t Doublings = std::min(Fetch.Reads++, MaxDoublings);
  Fetch.NextRead =
      Now + jittered(std::min(State.Settings.MinRetryDelay * (1U << Doublings),
                              State.Settings.MaxRetryDelay),
                     Randomness);
  Step.NextCall = std::min(Step.NextCall, Fetch.NextRead);
}

std::vector<std::string> childrenOfAllTrees(const WatchState &State) {
  std::set<std::string> Names;
  for (const RelayPosition &Tree : State.Trees)
    Names.insert(Tree.Children.begin(), Tree.Children.end());
  return {Names.begin(), Names.end()};
}

void addRelays(WatchState &State, TimePoint Now, WatchStep &Step) {
  const bool ConfirmationDue =
      State.ConfirmedAt && !lacksConfirmation(State, Now) &&
      (!State.LastConfirmationSent ||
       *State.ConfirmedAt - *State.LastConfirmationSent >=
           State.Settings.ConfirmationInterval);
  if (!State.OfferDue && !ConfirmationDue)
    return;
  const WatchActionKind Kind =
      State.OfferDue ? WatchActionKind::Offer : WatchActionKind::Confirm;
  State.OfferDue = false;
  State.LastConfirmationSent = State.ConfirmedAt;
  std::vector<std::string> Peers = childrenOfAllTrees(State);
  if (!Peers.empty())
    Step.Actions.push_back(
        {Kind, std::move(Peers), {}, {}, offerAge(State, Now)});
}

/// Queries one peer of the own region and one of another, so that a region
/// without a connection to the service gets revisions from other regions.
void addPeerQueries(WatchState &State, TimePoint Now, Random &Randomness,
                    WatchStep &Step) {
  // A running value fetch already contacts the peer that announced the
  // revision.
  const bool Outdated = State.NewerOnPeer && !State.MissingValues;
  // The service may return an outdated revision, so a starting process also
  // queries peers.
  const bool Starting =
      Now - State.StartedAt < State.Settings.StartupQueryPeriod;
  if (!lacksConfirmation(State, Now) && !Outdated && !Starting) {
    Step.NextCall = std::min(
        Step.NextCall, *State.ConfirmedAt + State.Settings.ConfirmationTimeout);
    return;
  }
  if (Now < State.NextPeerQuery) {
    Step.NextCall = std::min(Step.NextCall, State.NextPeerQuery);
    return;
  }
  State.NextPeerQuery =
      Now + (Outdated ? State.Settings.MinPeerContactInterval
                      : jittered(Starting ? State.Settings.StartupQueryInterval
                                          : State.Settings.PeerQueryInterval,
                                 Randomness));
  Step.NextCall = std::min(Step.NextCall, State.NextPeerQuery);
  std::vector<std::string> Peers;
  if (Outdated)
    Peers.push_back(State.NewerOnPeer->Peer);
  for (const auto *Candidates : {&State.RegionPeers, &State.OtherPeers})
    if (!Candidates->empty())
      Peers.push_back(pickPeer(*Candidates, Randomness));
  if (!Peers.empty())
    Step.Actions.push_back(
        {WatchActionKind::QueryNewer, std::move(Peers), {}, {}, {}});
}

void recordDecidedRevision(WatchState &State, Revision Number) {
  State.LastDecidedRevision = std::max(State.LastDecidedRevision, Number);
  if (!State.NewerOnPeer ||
      State.NewerOnPeer->Number > State.LastDecidedRevision)
    return;
  State.NewerOnPeer.reset();
  if (!State.Watching && State.ConfirmedAt)
    State.NextRead =
        std::max(State.NextRead, firstFallbackRead(State, *State.ConfirmedAt));
}

} // namespace

WatchState makeWatch(std::string Self, std::string Region, TimePoint Now,
                     Random &Randomness, WatchSettings Settings) {
  WatchState State;
  State.Settings = Settings;
  State.Self = std::move(Self);
  State.Region = std::move(Region);
  State.StartedAt = Now;
  State.JitterFraction =
      std::uniform_real_distribution<double>(0.0, 1.0)(Randomness);
  State.NextRead =
      Now + scaled(Settings.UnknownRegionWindow, State.JitterFraction);
  State.NextPeerQuery = Now;
  State.Tokens = Settings.ReadBurst;
  State.TokensRefilledAt = Now;
  return State;
}

std::vector<std::string> watchersOfRegion(std::string_view Region,
                                          std::vector<std::string> Names,
                                          std::size_t Count) {
  std::vector<std::string> Order =
      detail::rendezvousOrder(Region, std::move(Names));
  Order.resize(std::min(Count, Order.size()));
  return Order;
}

void updateWatchMembers(WatchState &State, const std::vector<Member> &Present,
                        TimePoint Now) {
  std::set<std::string> Region{State.Self};
  State.OtherPeers.clear();
  for (const Member &Each : Present) {
    if (Each.Region == State.Region)
      Region.insert(Each.Name);
    else
      State.OtherPeers.push_back(Each.Name);
  }
  std::sort(State.OtherPeers.begin(), State.OtherPeers.end());
  const std::vector<std::string> Names(Region.begin(), Region.end());
  State.RegionPeers = Names;
  std::erase(State.RegionPeers, State.Self);
  State.RegionSize = Names.size();
  const std::vector<std::string> Watchers =
      watchersOfRegion(State.Region, Names, State.Settings.WatchersPerRegion);
  const bool Watching =
      std::find(Watchers.begin(), Watchers.end(), State.Self) != Watchers.end();
  if (Watching && !State.Watching)
    State.NextRead = std::min(State.NextRead, Now);
  else if (!State.RegionKnown && !State.ConfirmedAt)
    State.NextRead = Now + scaled(std::max(State.Settings.FirstReadWindow,
                                           regionReadTime(State)),
                                  State.JitterFraction);
  State.RegionKnown = true;
  State.Watching = Watching;
  std::vector<std::string> Order =
      detail::rendezvousOrder(State.Region + "/tree", Names);
  std::erase_if(Order, [&](const std::string &Name) {
    return std::find(Watchers.begin(), Watchers.end(), Name) != Watchers.end();
  });
  Order.insert(Order.begin(), Watchers.front());
  if (Watchers.size() > 1)
    Order.insert(Order.end(), Watchers.begin() + 1, Watchers.end());
  State.Trees[0] = relayPosition(Order, State.Self, State.Settings.FanOut);
  std::reverse(Order.begin(), Order.end());
  State.Trees[1] = relayPosition(Order, State.Self, State.Settings.FanOut);
}

void recordIndexRead(WatchState &State, bool Success, TimePoint Now,
                     Random &Randomness) {
  State.ReadInFlight = false;
  if (!Success) {
    State.RetryDelay =
        std::clamp(State.RetryDelay * 2, State.Settings.MinRetryDelay,
                   State.Settings.MaxRetryDelay);
    const Duration Delay =
        State.Watching ? State.RetryDelay
                       : std::max(State.RetryDelay, fallbackInterval(State));
    State.NextRead = Now + jittered(Delay, Randomness);
    return;
  }
  State.RetryDelay = Duration(0);
  State.ConfirmedAt = Now;
  State.NextRead = State.Watching
                       ? Now
                       : Now + jittered(fallbackInterval(State), Randomness);
}

void recordOffer(WatchState &State, Duration Age, TimePoint Now) {
  const TimePoint HeardAt = Now - std::max(Age, Duration(0));
  if (State.ConfirmedAt && HeardAt <= *State.ConfirmedAt)
    return;
  State.ConfirmedAt = HeardAt;
  // A process that knows of a newer revision must not postpone its read, which
  // may be the only way to get that revision.
  if (!State.Watching && !State.NewerOnPeer)
    State.NextRead =
        std::max(State.NextRead, firstFallbackRead(State, HeardAt));
}

void recordAcceptedConfiguration(WatchState &State, Revision Number) {
  recordDecidedRevision(State, Number);
  State.MissingValues.reset();
  State.OfferDue = true;
}

void recordRefusedConfiguration(WatchState &State, Revision Number,
                                bool StillPending) {
  recordDecidedRevision(State, Number);
  if (!StillPending)
    State.MissingValues.reset();
}

void updateMissingValues(WatchState &State, std::string_view Source,
                         std::vector<std::string> Keys, TimePoint Now) {
  if (Keys.empty()) {
    State.MissingValues.reset();
    return;
  }
  const bool FromService = Source == ServiceSource;
  if (!State.MissingValues)
    State.MissingValues = ValueFetch{
        {},
        "",
        Now,
        Now + (FromService ? Duration(0) : State.Settings.PeerValueTimeout),
        0};
  // An announcement changes the peer of the next request but not its time;
  // otherwise each announcement would cause another request or read.
  if (!FromService)
    State.MissingValues->Peer = Source;
  else if (State.MissingValues->Reads == 0)
    State.MissingValues->NextRead = Now;
  State.MissingValues->Keys = std::move(Keys);
}

std::optional<WatchAction> comparePeerRevision(WatchState &State,
                                               std::string_view Peer,
                                               Revision PeerRevision,
                                               Revision OwnRevision,
                                               TimePoint Now) {
  if (PeerRevision > OwnRevision) {
    if (PeerRevision <= State.LastDecidedRevision)
      return std::nullopt;
    if (!State.NewerOnPeer)
      State.NextRead =
          std::min(State.NextRead,
                   Now + State.Settings.OutdatedReadDelay +
                       scaled(fallbackInterval(State), State.JitterFraction));
    if (!State.NewerOnPeer || State.NewerOnPeer->Number <= PeerRevision)
      State.NewerOnPeer = NewerRevision{PeerRevision, std::string(Peer)};
  }
  if (PeerRevision == OwnRevision || !tryContact(State, Peer, Now))
    return std::nullopt;
  return WatchAction{PeerRevision < OwnRevision ? WatchActionKind::Offer
                                                : WatchActionKind::QueryNewer,
                     {std::string(Peer)},
                     {},
                     {},
                     offerAge(State, Now)};
}

WatchStep nextWatchStep(WatchState &State, TimePoint Now, Random &Randomness) {
  refillTokens(State, Now);
  WatchStep Step;
  Step.NextCall = Now + State.Settings.WatchTimeout;
  addRelays(State, Now, Step);
  addValueRequests(State, Now, Step);
  addValueReads(State, Now, Randomness, Step);
  addReads(State, Now, Step);
  addPeerQueries(State, Now, Randomness, Step);
  return Step;
}

} // namespace marigoldyard
