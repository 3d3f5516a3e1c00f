#include "marigoldyard/coordination/watch_plan.hpp"

#include "marigoldyard/coordination/configuration.hpp"
#include "marigoldyard/coordination/detail/rendezvous.hpp"

#include <algorithm>
#include <set>

namespace marigoldyard {
namespace {

// Lowest share of an interval that jitter leaves.
constexpr double JitterFloor = 0.5;
// Doublings of RetryMinimum that reach RetryMaximum.
constexpr std::uint32_t MaxDoublings = 4;
// Age of an offer of a process that never heard of the service.
constexpr Duration UnknownAge = std::chrono::hours(1);
// A read that is overdue by more was held up by a pause of the own process.
constexpr Duration OverdueLimit = std::chrono::seconds(2);

Duration scaled(Duration Span, double Factor) {
  return Duration(static_cast<Duration::rep>(double(Span.count()) * Factor));
}

Duration jittered(Duration Span, Random &Randomness) {
  return scaled(Span, std::uniform_real_distribution<double>(JitterFloor,
                                                             1.0)(Randomness));
}

/// Time in which each process of the region may read once.
Duration regionReadTime(const WatchState &State) {
  return scaled(std::chrono::seconds(1),
                double(State.RegionSize) / State.Settings.RegionReadsPerSecond);
}

/// Time between own reads of this process so that the reads of the region stay
/// within their budget.
Duration fallbackInterval(const WatchState &State) {
  return std::max(State.Settings.FallbackInterval, regionReadTime(State));
}

void refillTokens(WatchState &State, TimePoint Now) {
  const double Seconds =
      std::chrono::duration<double>(Now - State.TokensAt).count();
  State.Tokens =
      std::min(State.Settings.ReadTokens,
               State.Tokens + Seconds * State.Settings.ReadTokensPerSecond);
  State.TokensAt = Now;
}

TimePoint whenTokens(const WatchState &State, double Wanted, TimePoint Now) {
  if (State.Tokens >= Wanted)
    return Now;
  return Now +
         scaled(std::chrono::seconds(1),
                (Wanted - State.Tokens) / State.Settings.ReadTokensPerSecond) +
         Duration(1);
}

RelayPosition positionIn(const std::vector<std::string> &Order,
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

bool contactAllowed(WatchState &State, std::string_view Peer, TimePoint Now) {
  if (const auto It = State.LastContact.find(Peer);
      It != State.LastContact.end()) {
    if (Now - It->second < State.Settings.PeerInterval)
      return false;
    It->second = Now;
    return true;
  }
  if (State.LastContact.size() >= State.Settings.MaxPeers)
    std::erase_if(State.LastContact, [&](const auto &Entry) {
      return Now - Entry.second >= State.Settings.PeerInterval;
    });
  if (State.LastContact.size() >= State.Settings.MaxPeers)
    return false;
  State.LastContact.emplace(std::string(Peer), Now);
  return true;
}

/// Whether the process knows nothing newer than SilenceLimit of the service.
bool isSilent(const WatchState &State, TimePoint Now) {
  return !State.ConfirmedAt ||
         Now - *State.ConfirmedAt >= State.Settings.SilenceLimit;
}

Duration offerAge(const WatchState &State, TimePoint Now) {
  return State.ConfirmedAt ? std::min(Now - *State.ConfirmedAt, UnknownAge)
                           : UnknownAge;
}

/// Time of the first own read after the service was heard last.
TimePoint fallbackTime(const WatchState &State, TimePoint Heard) {
  return Heard + State.Settings.SilenceLimit +
         scaled(fallbackInterval(State), State.Phase);
}

void addReads(WatchState &State, TimePoint Now, WatchStep &Step) {
  if (State.ReadInFlight)
    return;
  // Processes of a host or region that resume together must not read together.
  if (!State.Watching && Now - State.NextRead > OverdueLimit)
    State.NextRead = Now + scaled(fallbackInterval(State), State.Phase);
  const TimePoint At = std::max(State.NextRead, whenTokens(State, 1, Now));
  if (At > Now) {
    Step.Next = std::min(Step.Next, At);
    return;
  }
  State.Tokens -= 1;
  State.ReadInFlight = true;
  const bool Watch = State.Watching && State.Retry == Duration(0);
  Step.Actions.push_back(
      {Watch ? WatchActionKind::WatchIndex : WatchActionKind::ReadIndex,
       {},
       {},
       Watch ? State.Settings.WatchWait : Duration(0),
       {}});
}

void addValueQuestions(WatchState &State, TimePoint Now, WatchStep &Step) {
  if (!State.Search || State.Search->Peer.empty())
    return;
  ValueSearch &Search = *State.Search;
  if (Search.NextQuestion <= Now) {
    Search.NextQuestion = Now + State.Settings.PeerValueInterval;
    Step.Actions.push_back(
        {WatchActionKind::AskValues, {Search.Peer}, Search.Keys, {}, {}});
  }
  Step.Next = std::min(Step.Next, Search.NextQuestion);
}

void addValueReads(WatchState &State, TimePoint Now, Random &Randomness,
                   WatchStep &Step) {
  if (!State.Search)
    return;
  ValueSearch &Search = *State.Search;
  const TimePoint At = std::max(Search.NextRead, whenTokens(State, 1, Now));
  if (At > Now) {
    Step.Next = std::min(Step.Next, At);
    return;
  }
  const auto Affordable =
      std::min(static_cast<std::size_t>(State.Tokens), Search.Keys.size());
  State.Tokens -= double(Affordable);
  // Another order on each try lets a short budget reach all keys.
  std::shuffle(Search.Keys.begin(), Search.Keys.end(), Randomness);
  Step.Actions.push_back(
      {WatchActionKind::ReadValues,
       {},
       {Search.Keys.begin(),
        Search.Keys.begin() + static_cast<std::ptrdiff_t>(Affordable)},
       {},
       {}});
  const std::uint32_t Doublings = std::min(Search.Reads++, MaxDoublings);
  Search.NextRead =
      Now + jittered(std::min(State.Settings.RetryMinimum * (1U << Doublings),
                              State.Settings.RetryMaximum),
                     Randomness);
  Step.Next = std::min(Step.Next, Search.NextRead);
}

std::vector<std::string> childrenOfAllTrees(const WatchState &State) {
  std::set<std::string> Names;
  for (const RelayPosition &Tree : State.Trees)
    Names.insert(Tree.Children.begin(), Tree.Children.end());
  return {Names.begin(), Names.end()};
}

void addRelays(WatchState &State, TimePoint Now, WatchStep &Step) {
  const bool ConfirmDue =
      State.ConfirmedAt && !isSilent(State, Now) &&
      (!State.ConfirmSent ||
       *State.ConfirmedAt - *State.ConfirmSent >= State.Settings.ConfirmStep);
  if (!State.OfferDue && !ConfirmDue)
    return;
  const WatchActionKind Kind =
      State.OfferDue ? WatchActionKind::Offer : WatchActionKind::Confirm;
  State.OfferDue = false;
  State.ConfirmSent = State.ConfirmedAt;
  std::vector<std::string> Peers = childrenOfAllTrees(State);
  if (!Peers.empty())
    Step.Actions.push_back(
        {Kind, std::move(Peers), {}, {}, offerAge(State, Now)});
}

/// Asks one peer of the own region and one of another, so that a region that is
/// cut off from the service learns from outside.
void addQuestions(WatchState &State, TimePoint Now, Random &Randomness,
                  WatchStep &Step) {
  // A search already asks the peer that announced the revision.
  const bool Behind = State.Newer && !State.Search;
  // The service may be stale, so a process that starts also asks peers.
  const bool Starting =
      Now - State.StartedAt < State.Settings.StartQuestionTime;
  if (!isSilent(State, Now) && !Behind && !Starting) {
    Step.Next =
        std::min(Step.Next, *State.ConfirmedAt + State.Settings.SilenceLimit);
    return;
  }
  if (Now < State.NextQuestion) {
    Step.Next = std::min(Step.Next, State.NextQuestion);
    return;
  }
  State.NextQuestion =
      Now + (Behind ? State.Settings.PeerInterval
                    : jittered(Starting ? State.Settings.StartQuestionInterval
                                        : State.Settings.PeerQuestionInterval,
                               Randomness));
  Step.Next = std::min(Step.Next, State.NextQuestion);
  std::vector<std::string> Peers;
  if (Behind)
    Peers.push_back(State.Newer->Peer);
  for (const auto *Candidates : {&State.RegionPeers, &State.OtherPeers})
    if (!Candidates->empty())
      Peers.push_back(pickPeer(*Candidates, Randomness));
  if (!Peers.empty())
    Step.Actions.push_back(
        {WatchActionKind::AskNewer, std::move(Peers), {}, {}, {}});
}

void settle(WatchState &State, Revision Number) {
  State.Settled = std::max(State.Settled, Number);
  if (!State.Newer || State.Newer->Number > State.Settled)
    return;
  State.Newer.reset();
  if (!State.Watching && State.ConfirmedAt)
    State.NextRead =
        std::max(State.NextRead, fallbackTime(State, *State.ConfirmedAt));
}

} // namespace

WatchState startWatch(std::string Self, std::string Region, TimePoint Now,
                      Random &Randomness, WatchSettings Settings) {
  WatchState State;
  State.Settings = Settings;
  State.Self = std::move(Self);
  State.Region = std::move(Region);
  State.StartedAt = Now;
  State.Phase = std::uniform_real_distribution<double>(0.0, 1.0)(Randomness);
  State.NextRead = Now + scaled(Settings.UnknownRegionWindow, State.Phase);
  State.NextQuestion = Now;
  State.Tokens = Settings.ReadTokens;
  State.TokensAt = Now;
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
                                  State.Phase);
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
  State.Trees[0] = positionIn(Order, State.Self, State.Settings.FanOut);
  std::reverse(Order.begin(), Order.end());
  State.Trees[1] = positionIn(Order, State.Self, State.Settings.FanOut);
}

void indexReadFinished(WatchState &State, bool Success, TimePoint Now,
                       Random &Randomness) {
  State.ReadInFlight = false;
  if (!Success) {
    State.Retry = std::clamp(State.Retry * 2, State.Settings.RetryMinimum,
                             State.Settings.RetryMaximum);
    const Duration Pause = State.Watching
                               ? State.Retry
                               : std::max(State.Retry, fallbackInterval(State));
    State.NextRead = Now + jittered(Pause, Randomness);
    return;
  }
  State.Retry = Duration(0);
  State.ConfirmedAt = Now;
  State.NextRead = State.Watching
                       ? Now
                       : Now + jittered(fallbackInterval(State), Randomness);
}

void offerReceived(WatchState &State, Duration Age, TimePoint Now) {
  const TimePoint Heard = Now - std::max(Age, Duration(0));
  if (State.ConfirmedAt && Heard <= *State.ConfirmedAt)
    return;
  State.ConfirmedAt = Heard;
  // A process that is behind keeps the read that ends its search.
  if (!State.Watching && !State.Newer)
    State.NextRead = std::max(State.NextRead, fallbackTime(State, Heard));
}

void configurationAccepted(WatchState &State, Revision Number) {
  settle(State, Number);
  State.Search.reset();
  State.OfferDue = true;
}

void configurationRefused(WatchState &State, Revision Number,
                          bool StillPending) {
  settle(State, Number);
  if (!StillPending)
    State.Search.reset();
}

void valuesNeeded(WatchState &State, std::string_view Source,
                  std::vector<std::string> Keys, TimePoint Now) {
  if (Keys.empty()) {
    State.Search.reset();
    return;
  }
  const bool FromService = Source == ServiceSource;
  if (!State.Search)
    State.Search = ValueSearch{
        {},
        "",
        Now,
        Now + (FromService ? Duration(0) : State.Settings.PeerValueWait),
        0};
  // Announcements change whom the next question goes to, not its time:
  // otherwise each one would cause another question or read.
  if (!FromService)
    State.Search->Peer = Source;
  else if (State.Search->Reads == 0)
    State.Search->NextRead = Now;
  State.Search->Keys = std::move(Keys);
}

std::optional<WatchAction>
peerRevisionSeen(WatchState &State, std::string_view Peer,
                 Revision PeerRevision, Revision OwnRevision, TimePoint Now) {
  if (PeerRevision > OwnRevision) {
    if (PeerRevision <= State.Settled)
      return std::nullopt;
    if (!State.Newer)
      State.NextRead = std::min(
          State.NextRead, Now + State.Settings.BehindWait +
                              scaled(fallbackInterval(State), State.Phase));
    if (!State.Newer || State.Newer->Number <= PeerRevision)
      State.Newer = NewerRevision{PeerRevision, std::string(Peer)};
  }
  if (PeerRevision == OwnRevision || !contactAllowed(State, Peer, Now))
    return std::nullopt;
  return WatchAction{PeerRevision < OwnRevision ? WatchActionKind::Offer
                                                : WatchActionKind::AskNewer,
                     {std::string(Peer)},
                     {},
                     {},
                     offerAge(State, Now)};
}

WatchStep nextWatchStep(WatchState &State, TimePoint Now, Random &Randomness) {
  refillTokens(State, Now);
  WatchStep Step;
  Step.Next = Now + State.Settings.WatchWait;
  addRelays(State, Now, Step);
  addValueQuestions(State, Now, Step);
  addValueReads(State, Now, Randomness, Step);
  addReads(State, Now, Step);
  addQuestions(State, Now, Randomness, Step);
  return Step;
}

} // namespace marigoldyard
