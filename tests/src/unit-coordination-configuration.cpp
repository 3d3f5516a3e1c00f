#include "configuration_support.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;
using namespace marigoldyard::test;
using fleet::makeIndex;
using fleet::makeValue;
using std::chrono::seconds;

namespace {

const TimePoint StartCommand{};

ConfigurationState stateWith(Revision Number) {
  ConfigurationState State = makeConfigurationState(StartCommand);
  acceptAll(State, makeIndex(Number, 2));
  return State;
}

Product product(std::string Name, std::string Pool) {
  Product Result;
  Result.Name = std::move(Name);
  Result.Pool = std::move(Pool);
  return Result;
}

} // namespace

TEST_CASE("a higher revision comes into force only with all of its values") {
  ConfigurationState State = makeConfigurationState(StartCommand);
  const ConfigurationIndex Index = makeIndex(4, 2);
  CHECK(receiveIndex(State, Index, ServiceSource).Needed.size() == 2);
  CHECK(activeRevision(State) == 0);
  auto Values = valuesFor(Index);
  Values.pop_back();
  CHECK(receiveValues(State, Values, ServiceSource).Action ==
        AcceptanceAction::NeedValues);
  CHECK(activeRevision(State) == 0);
  CHECK(receiveValues(State, valuesFor(Index), ServiceSource).Action ==
        AcceptanceAction::Accepted);
  CHECK(activeRevision(State) == 4);
  CHECK(State.ActiveConfiguration->Content.Products.size() == 2);
}

TEST_CASE("only changed values are requested, so that a change stays small") {
  ConfigurationState State = makeConfigurationState(StartCommand);
  acceptAll(State, makeIndex(10, 5));
  const auto Result = receiveIndex(State, makeIndex(11, 5), "peer");
  CHECK(Result.Action == AcceptanceAction::NeedValues);
  CHECK(Result.Needed.size() == 1);
}

TEST_CASE("the same revision with other digests is refused with an alarm") {
  ConfigurationState State = stateWith(4);
  ConfigurationIndex Other = makeIndex(4, 2);
  Other.Values["products/p0"] = "changed";
  const auto Result = receiveIndex(State, Other, "peer-1");
  REQUIRE(Result.Failure);
  CHECK(Result.Failure->Code == ErrorCode::ConflictingRevision);
  CHECK(Result.Failure->Peer == "peer-1");
  CHECK(State.Counters.Conflicts == 1);
  CHECK(State.ActiveConfiguration->Index == makeIndex(4, 2));
}

TEST_CASE("a lower revision never replaces the one in force") {
  ConfigurationState State = stateWith(4);
  CHECK(receiveIndex(State, makeIndex(3, 2), ServiceSource).Action ==
        AcceptanceAction::Keep);
  CHECK(
      receiveValues(State, valuesFor(makeIndex(3, 2)), ServiceSource).Action ==
      AcceptanceAction::Keep);
  CHECK(activeRevision(State) == 4);
}

TEST_CASE("the check of RevisionNeverLower fails when the mechanism is off") {
  ThrowOnViolation Guard;
  ConfigurationState State = stateWith(4);
  ScopedFault Off(Invariant::RevisionNeverLower);
  CHECK_THROWS_AS(acceptAll(State, makeIndex(3, 2)), Violated);
}

TEST_CASE("one invalid value refuses the whole revision, once") {
  ConfigurationState State = stateWith(4);
  const ConfigurationIndex Next = makeIndex(6, 2);
  receiveIndex(State, Next, ServiceSource);
  auto Values = valuesFor(Next);
  Values.back() = invalidValue(Values.back().Key, Values.back().ContentDigest);
  recordPeerRevision(State, "peer-1", 9);
  const auto Result = receiveValues(State, Values, ServiceSource);
  CHECK(Result.Action == AcceptanceAction::Refused);
  CHECK(Result.Number == 6); // Not the higher one that a peer announced.
  CHECK(activeRevision(State) == 4);
  CHECK_FALSE(State.Pending);
  // It is not read again with every watch.
  CHECK(receiveIndex(State, Next, ServiceSource).Action ==
        AcceptanceAction::Refused);
  CHECK(acceptAll(State, makeIndex(7, 2)).Action == AcceptanceAction::Accepted);
}

TEST_CASE("a value under another product's key is refused") {
  ConfigurationState State = makeConfigurationState(StartCommand);
  const ConfigurationIndex Index = makeIndex(4, 2);
  receiveIndex(State, Index, ServiceSource);
  ParsedValue Wrong = makeValue("products/p1", Index.Values.at("products/p0"));
  Wrong.Key = "products/p0";
  CHECK(receiveValues(State, {Wrong}, ServiceSource).Action ==
        AcceptanceAction::Refused);
}

TEST_CASE("a value that does not match the index yet is read again") {
  ConfigurationState State = stateWith(4);
  receiveIndex(State, makeIndex(6, 2), ServiceSource);
  const auto Result =
      receiveValues(State, valuesFor(makeIndex(4, 2)), ServiceSource);
  CHECK(Result.Action == AcceptanceAction::NeedValues);
  CHECK(State.Counters.DigestMismatches > 0);
  CHECK(receiveReadFailure(State).Action == AcceptanceAction::NeedValues);
  CHECK(activeRevision(State) == 4);
}

TEST_CASE("an index without values announces a revision and changes nothing") {
  ConfigurationState State = stateWith(4);
  CHECK(receiveIndex(State, {9, {}}, "peer").Action == AcceptanceAction::Keep);
  CHECK(State.HighestKnownRevision == 9);
  CHECK(receiveIndex(State, {0, {{"products/a", "x"}}}, "peer").Action ==
        AcceptanceAction::Refused);
}

TEST_CASE("a start is not ready before service and peers spoke or timed out") {
  ConfigurationState State = makeConfigurationState(StartCommand);
  CHECK_FALSE(isConfigurationReady(State, StartCommand + seconds(100)));
  acceptAll(State, makeIndex(4, 2));
  CHECK_FALSE(isConfigurationReady(State, StartCommand));
  CHECK(isConfigurationReady(State, StartCommand + State.Timeouts.Peers));
  recordPeerRevision(State, "peer-1", 4);
  CHECK(isConfigurationReady(State, StartCommand));
  // A peer that is ahead is caught up with first, for a bounded time.
  recordPeerRevision(State, "peer-2", 5);
  CHECK_FALSE(isConfigurationReady(State, StartCommand + State.Timeouts.Peers));
  CHECK(isConfigurationReady(State, StartCommand + State.Timeouts.CatchUp));
}

TEST_CASE("a refused revision does not keep a starting process from serving") {
  ConfigurationState State = makeConfigurationState(StartCommand);
  acceptAll(State, makeIndex(4, 2));
  recordPeerRevision(State, "peer-1", 4);
  const ConfigurationIndex Next = makeIndex(6, 2);
  receiveIndex(State, Next, ServiceSource);
  CHECK_FALSE(isConfigurationReady(State, StartCommand));
  auto Values = valuesFor(Next);
  Values.back() = invalidValue(Values.back().Key, Values.back().ContentDigest);
  receiveValues(State, Values, ServiceSource);
  CHECK(isConfigurationReady(State, StartCommand));
  // A higher one that may still come into force is awaited again.
  recordPeerRevision(State, "peer-1", 7);
  CHECK_FALSE(isConfigurationReady(State, StartCommand));
}

TEST_CASE("several peers stand for the service at the start") {
  ConfigurationState State = makeConfigurationState(StartCommand);
  acceptAll(State, makeIndex(4, 2), "peer-1");
  recordPeerRevision(State, "peer-2", 4);
  CHECK_FALSE(isConfigurationReady(State, StartCommand));
  for (int I = 3; I < 100; ++I)
    recordPeerRevision(State, "peer-" + std::to_string(I), 4);
  CHECK(isConfigurationReady(State, StartCommand));
  CHECK(State.PeersContacted.size() == SufficientPeers);
}

TEST_CASE("peers receive the published texts of known keys only") {
  ConfigurationState State = stateWith(4);
  CHECK_FALSE(valuesForPeer(State, 5, {"products/p0"}));
  const auto Texts = valuesForPeer(State, 4, {"products/p0", "products/none"});
  REQUIRE(Texts);
  CHECK(Texts->size() == 1);
}

TEST_CASE("contradictions between products are all reported") {
  Manifest Content;
  Content.Products = {product("a", "x"), product("a", "y"), product("b", "z")};
  Content.Products[0].Services = {{"billing", "x", false}};
  Content.Products[2].Services = {{"billing", "other", true}};
  const auto Conflicts = manifestConflicts(Content);
  REQUIRE(Conflicts.size() == 3);
  CHECK(Conflicts[0].Path == "/name");
  CHECK(Conflicts[1].Path == "/services/0/pool");
  CHECK(Conflicts[2].Path == "/services/0");
}

TEST_CASE("a bearer key finds its caller only in the products that list it") {
  ConfigurationState State = makeConfigurationState(StartCommand);
  const ConfigurationIndex Index{1, {{"products/a", "d"}, {"products/b", "e"}}};
  receiveIndex(State, Index, ServiceSource);
  auto Values = valuesFor(Index);
  Values[0].Content->Callers = {{"cafe", "k1", Rank::Standard, 1, 0, 0}};
  Values[0].Content->Ranks = {Rank::Urgent, Rank::Batch};
  receiveValues(State, Values, ServiceSource);
  REQUIRE(State.ActiveConfiguration);
  const Caller *Found = findCaller(*State.ActiveConfiguration, "a", "k1");
  REQUIRE(Found);
  CHECK(findCaller(*State.ActiveConfiguration, "b", "k1") == nullptr);
  CHECK(productsOfCaller(*State.ActiveConfiguration, "k1").size() == 1);
  CHECK(productsOfPool(State.ActiveConfiguration->Content, "pool").size() == 2);
  const Product &Owner = *findProduct(State.ActiveConfiguration->Content, "a");
  CHECK_FALSE(isRankAllowed(Owner, *Found, Rank::Urgent));
  CHECK_FALSE(isRankAllowed(Owner, *Found, Rank::Standard));
  CHECK(isRankAllowed(Owner, *Found, Rank::Batch));
}
