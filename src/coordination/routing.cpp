#include "marigoldyard/coordination/routing.hpp"

#include <algorithm>
#include <cmath>

namespace marigoldyard {

namespace {

double toSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

bool contains(const std::vector<std::string> &Names, const std::string &Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

/// Returns the tokens of the cached prefix, discounted by the age of the hint
/// and by missed cache events.
double cachedTokens(const std::string &Endpoint, const RoutingRequest &Request,
                    const RoutingSettings &Settings, TimePoint Now) {
  for (const CacheHint &Hint : Request.CacheHints) {
    if (Hint.Endpoint != Endpoint)
      continue;
    const double HalfLives = std::max(0.0, toSeconds(Now - Hint.SeenAt)) /
                             toSeconds(Settings.CacheHalfLife);
    return static_cast<double>(std::min(Hint.Tokens, Request.EstimatedTokens)) *
           std::exp2(-HalfLives) * std::pow(Settings.GapDiscount, Hint.Gaps);
  }
  return 0;
}

bool isSaturated(const LoadReport &Load) {
  return Load.Slots > 0 && Load.Running >= Load.Slots;
}

double callerBacklog(const std::string &Endpoint,
                     const RoutingRequest &Request) {
  for (const CallerBacklog &Backlog : Request.Backlogs)
    if (Backlog.Endpoint == Endpoint)
      return static_cast<double>(Backlog.Tokens);
  return 0;
}

/// Returns the tokens of the same and higher ranks, which are served before new
/// work. On an endpoint without a free slot a lower rank may get only its
/// floor, so work of the same rank delays it longer than work of higher ranks.
double tokensAhead(const std::uint64_t *Tokens, Rank Priority,
                   const LoadReport &Load, const RoutingSettings &Settings) {
  double Sum = 0;
  for (std::size_t I = 0; I < rankIndex(Priority); ++I)
    Sum += static_cast<double>(Tokens[I]);
  const double Floor = Settings.Floors[rankIndex(Priority)];
  const double Own = static_cast<double>(Tokens[rankIndex(Priority)]);
  return Sum + (isSaturated(Load) && Floor > 0 ? Own / Floor : Own);
}

std::string formatThreeDecimals(double Value) {
  std::string Text = std::to_string(Value);
  return Text.substr(0, Text.size() - 3);
}

} // namespace

std::string_view exclusionName(Exclusion Value) {
  switch (Value) {
  case Exclusion::None:
    return "none";
  case Exclusion::NotLive:
    return "not_live";
  case Exclusion::Suspected:
    return "suspected";
  case Exclusion::Leaving:
    return "leaving";
  case Exclusion::NotLinked:
    return "not_linked";
  case Exclusion::NotReady:
    return "not_ready";
  case Exclusion::OtherWeights:
    return "other_weights";
  case Exclusion::AlreadyTried:
    return "already_tried";
  }
  return "none";
}

Exclusion exclusionOf(const EndpointView &View, const RoutingRequest &Request) {
  if (!View.Live)
    return Exclusion::NotLive;
  if (View.Leaving || View.Load.Draining)
    return Exclusion::Leaving;
  if (View.Suspected)
    return Exclusion::Suspected;
  if (!View.Linked)
    return Exclusion::NotLinked;
  if (!View.Load.Ready)
    return Exclusion::NotReady;
  if (!contains(View.Load.ReadyWeights, Request.Weights))
    return Exclusion::OtherWeights;
  if (contains(Request.Tried, View.Name))
    return Exclusion::AlreadyTried;
  return Exclusion::None;
}

CandidateScore scoreEndpoint(const EndpointView &View,
                             const RoutingRequest &Request,
                             const RoutingSettings &Settings, TimePoint Now) {
  CandidateScore Result;
  Result.Name = View.Name;
  const double Rate = View.Load.TokensPerSecond > 0
                          ? View.Load.TokensPerSecond
                          : Settings.DefaultTokensPerSecond;
  auto Ahead = [&](const std::uint64_t *Tokens) {
    return tokensAhead(Tokens, Request.Priority, View.Load, Settings);
  };
  const double Reported = Ahead(View.Load.QueuedTokens);
  const double Sent = Ahead(View.SentSinceReport.data());
  const double Own = Ahead(View.Outstanding.data());
  Result.QueueTime = Reported / Rate;
  // A delayed report may omit work of this entry that is still outstanding.
  Result.UnreportedTime = std::max(Sent, Own - Reported) / Rate;
  const Duration Age =
      View.ReportedAt ? Now - *View.ReportedAt : 4 * Settings.ReportInterval;
  Result.ReportAgeTime =
      std::max(0.0, toSeconds(Age - Settings.ReportInterval));
  Result.CacheSavings = cachedTokens(View.Name, Request, Settings, Now) / Rate;
  if (isSaturated(View.Load)) {
    const double Floor = Settings.Floors[rankIndex(Request.Priority)];
    Result.CallerBacklogTime = Settings.CallerBacklogFactor *
                               callerBacklog(View.Name, Request) /
                               (Floor > 0 ? Floor : 1.0) / Rate;
  }
  Result.Score = Result.QueueTime + Result.UnreportedTime +
                 Result.ReportAgeTime + Result.CallerBacklogTime -
                 Result.CacheSavings;
  return Result;
}

RoutingChoice route(const RoutingRequest &Request,
                    const std::vector<EndpointView> &Views,
                    const RoutingSettings &Settings, TimePoint Now,
                    Random &Generator) {
  RoutingChoice Result;
  std::vector<const EndpointView *> Candidates;
  for (const EndpointView &View : Views) {
    const Exclusion Cause = exclusionOf(View, Request);
    ++Result.Excluded[static_cast<std::size_t>(Cause)];
    if (Cause == Exclusion::None)
      Candidates.push_back(&View);
  }
  Result.Excluded[static_cast<std::size_t>(Exclusion::None)] = 0;
  Result.Candidates = static_cast<std::uint32_t>(Candidates.size());
  if (Candidates.empty())
    return Result;
  std::vector<const EndpointView *> Compared;
  std::sample(Candidates.begin(), Candidates.end(),
              std::back_inserter(Compared), 2, Generator);
  const EndpointView *Cached = nullptr;
  double MostCached = 0;
  for (const EndpointView *View : Candidates) {
    const double Tokens = cachedTokens(View->Name, Request, Settings, Now);
    if (Tokens > MostCached) {
      MostCached = Tokens;
      Cached = View;
    }
  }
  if (Cached &&
      std::find(Compared.begin(), Compared.end(), Cached) == Compared.end())
    Compared.push_back(Cached);
  std::shuffle(Compared.begin(), Compared.end(), Generator);
  for (const EndpointView *View : Compared)
    Result.Compared.push_back(scoreEndpoint(*View, Request, Settings, Now));
  std::stable_sort(Result.Compared.begin(), Result.Compared.end(),
                   [](const CandidateScore &A, const CandidateScore &B) {
                     return A.Score < B.Score;
                   });
  Result.Chosen = Result.Compared.front().Name;
  return Result;
}

std::string explainChoice(const RoutingChoice &Choice) {
  std::string Text = Choice.Chosen ? "chose " + *Choice.Chosen : "no endpoint";
  Text += " of " + std::to_string(Choice.Candidates) + " candidates";
  for (const CandidateScore &Score : Choice.Compared)
    Text += "; " + Score.Name + " score " + formatThreeDecimals(Score.Score) +
            " s (queue " + formatThreeDecimals(Score.QueueTime) + ", sent " +
            formatThreeDecimals(Score.UnreportedTime) + ", report age " +
            formatThreeDecimals(Score.ReportAgeTime) + ", cache -" +
            formatThreeDecimals(Score.CacheSavings) + ")";
  for (std::size_t I = 1; I < ExclusionCount; ++I)
    if (Choice.Excluded[I] > 0)
      Text += "; " + std::to_string(Choice.Excluded[I]) + " " +
              std::string(exclusionName(static_cast<Exclusion>(I)));
  return Text;
}

void recordSent(EndpointView &View, Rank Priority, std::uint64_t Tokens) {
  View.SentSinceReport[rankIndex(Priority)] += Tokens;
  View.Outstanding[rankIndex(Priority)] += Tokens;
}

void recordEnded(EndpointView &View, Rank Priority, std::uint64_t Tokens) {
  std::uint64_t &Outstanding = View.Outstanding[rankIndex(Priority)];
  Outstanding -= std::min(Outstanding, Tokens);
}

void recordReport(EndpointView &View, const LoadReport &Load, TimePoint Now) {
  View.Load = Load;
  View.ReportedAt = Now;
  View.SentSinceReport = {};
}

} // namespace marigoldyard
