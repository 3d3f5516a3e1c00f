#include "marigoldyard/coordination/routing.hpp"

#include <doctest/doctest.h>

#include <map>

using namespace marigoldyard;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Now{1000s};

EndpointView readyView(std::string Name) {
  EndpointView View;
  View.Name = std::move(Name);
  View.Live = View.Linked = true;
  View.ReportedAt = Now;
  View.Load.Ready = true;
  View.Load.Slots = 8;
  View.Load.TokensPerSecond = 1000;
  View.Load.ReadyWeights = {"w"};
  return View;
}

RoutingRequest request(Rank Priority = Rank::Standard) {
  RoutingRequest Result;
  Result.Priority = Priority;
  Result.Weights = "w";
  Result.EstimatedTokens = 100;
  return Result;
}

double score(const EndpointView &View, const RoutingRequest &Request) {
  return scoreEndpoint(View, Request, {}, Now).Score;
}

} // namespace

TEST_CASE("an endpoint is left out for each condition that it fails") {
  // Guards against work for endpoints that can't or must not take it.
  const std::map<Exclusion, void (*)(EndpointView &)> Changes = {
      {Exclusion::NotLive, [](EndpointView &V) { V.Live = false; }},
      {Exclusion::Suspected, [](EndpointView &V) { V.Suspected = true; }},
      {Exclusion::Leaving, [](EndpointView &V) { V.Load.Draining = true; }},
      {Exclusion::NotLinked, [](EndpointView &V) { V.Linked = false; }},
      {Exclusion::NotReady, [](EndpointView &V) { V.Load.Ready = false; }},
      {Exclusion::OtherWeights,
       [](EndpointView &V) { V.Load.ReadyWeights = {"x"}; }},
      {Exclusion::AlreadyTried, [](EndpointView &V) { V.Name = "tried"; }},
  };
  CHECK(Changes.size() + 1 == ExclusionCount);
  RoutingRequest Request = request();
  Request.Tried = {"tried"};
  Random Generator(1);
  for (const auto &[Why, Change] : Changes) {
    std::vector<EndpointView> Views = {readyView("good"), readyView("bad")};
    Change(Views[1]);
    CHECK(exclusionOf(Views[1], Request) == Why);
    const RoutingChoice Choice = route(Request, Views, {}, Now, Generator);
    CHECK(Choice.Chosen == "good");
    CHECK(Choice.Excluded[static_cast<std::size_t>(Why)] == 1);
    CHECK(explainChoice(Choice).find(exclusionName(Why)) != std::string::npos);
  }
}

TEST_CASE("no candidate gives no choice with the reasons") {
  // Guards against a choice without a candidate.
  Random Generator(1);
  std::vector<EndpointView> Views = {readyView("a")};
  Views[0].Live = false;
  const RoutingChoice Choice = route(request(), Views, {}, Now, Generator);
  CHECK_FALSE(Choice.Chosen);
  CHECK(explainChoice(Choice) == "no endpoint of 0 candidates; 1 not_live");
}

TEST_CASE("the score counts work of the own and higher ranks") {
  // Guards against urgent requests that avoid endpoints with much batch work.
  EndpointView View = readyView("a");
  View.Load.QueuedTokens[rankIndex(Rank::Batch)] = 5000;
  CHECK(score(View, request(Rank::Urgent)) == 0);
  View.Load.QueuedTokens[rankIndex(Rank::Urgent)] = 2000;
  CHECK(score(View, request(Rank::Standard)) == doctest::Approx(2.0));
  CHECK(score(View, request(Rank::Batch)) == doctest::Approx(7.0));
}

TEST_CASE("work sent after a report and the age of a report worsen the score") {
  // Guards against many requests on one endpoint between two reports.
  EndpointView View = readyView("a");
  recordSent(View, Rank::Standard, 1000);
  CHECK(score(View, request()) == doctest::Approx(1.0));
  // A late report that lacks the work doesn't hide it.
  recordReport(View, View.Load, Now);
  CHECK(score(View, request()) == doctest::Approx(1.0));
  recordEnded(View, Rank::Standard, 1000);
  CHECK(score(View, request()) == 0);
  View.ReportedAt = Now - 1450ms;
  CHECK(score(View, request()) == doctest::Approx(1.0));
}

TEST_CASE("the own rank and the own caller weigh more without a free slot") {
  // Guards against waits behind a floor that look short.
  EndpointView View = readyView("a");
  View.Load.QueuedTokens[rankIndex(Rank::Standard)] = 200;
  RoutingRequest Request = request();
  Request.Backlogs = {{"a", 100}};
  CHECK(score(View, Request) == doctest::Approx(0.2));
  View.Load.Running = View.Load.Slots;
  CHECK(score(View, Request) ==
        doctest::Approx(200 / 0.2 / 1000 + 10 * 100 / 0.2 / 1000));
}

TEST_CASE("cache benefit falls with age and with gaps in the events") {
  // Guards against routes by a cache that was probably emptied.
  const EndpointView View = readyView("a");
  RoutingRequest Request = request();
  Request.CacheHints = {{"a", 80, Now, 0}};
  CHECK(scoreEndpoint(View, Request, {}, Now).CacheSavings ==
        doctest::Approx(0.08));
  CHECK(scoreEndpoint(View, Request, {}, Now + 60s).CacheSavings ==
        doctest::Approx(0.04));
  Request.CacheHints[0].Gaps = 2;
  CHECK(scoreEndpoint(View, Request, {}, Now).CacheSavings ==
        doctest::Approx(0.02));
}

TEST_CASE("the endpoint with the cached prefix is compared, the load decides") {
  // Guards against a lost cache benefit and against a hot endpoint.
  Random Generator(1);
  std::vector<EndpointView> Views;
  Views.reserve(20);
  for (int I = 0; I < 20; ++I) {
    Views.push_back(readyView("e" + std::to_string(I)));
    Views.back().Load.QueuedTokens[rankIndex(Rank::Standard)] = 50;
  }
  RoutingRequest Request = request();
  Request.CacheHints = {{"e7", 80, Now, 0}};
  CHECK(route(Request, Views, {}, Now, Generator).Chosen == "e7");
  Views[7].Load.QueuedTokens[rankIndex(Rank::Standard)] = 1000;
  CHECK(route(Request, Views, {}, Now, Generator).Chosen != "e7");
}

TEST_CASE("equal endpoints share the requests") {
  // Guards against many entries choosing the first or the least loaded endpoint
  // at once.
  Random Generator(1);
  std::vector<EndpointView> Views;
  Views.reserve(20);
  for (int I = 0; I < 15; ++I)
    Views.push_back(readyView("e" + std::to_string(I)));
  Views[3].Load.QueuedTokens[rankIndex(Rank::Urgent)] = 10;
  std::map<std::string, int> Counts;
  for (int I = 0; I < 1500; ++I)
    ++Counts[*route(request(), Views, {}, Now, Generator).Chosen];
  CHECK(Counts["e3"] == 0);
  for (const auto &[Name, Count] : Counts)
    CHECK(Count < 200);
}
