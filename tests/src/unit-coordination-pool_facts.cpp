#include "marigoldyard/coordination/pool_facts.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;

namespace {

Route routeTo(const std::string &Pool, RetryPolicy Repeats) {
  Route Result;
  Result.Pools = {{Pool, 1}};
  Result.AllowedRetries = Repeats;
  return Result;
}

FleetConfiguration configuration() {
  FleetConfiguration Result;
  Result.ConfigRevision = 19;
  Result.Origin = WeightOrigin{"10.0.0.9:80", "dar-a", 4, 1e6};
  ServerPool Engines;
  Engines.Name = "engines";
  Engines.Models = {"m"};
  Result.Pools.emplace("engines", Engines);
  Result.Routes = {routeTo("engines", RetryPolicy::Resumable),
                   routeTo("plain", RetryPolicy::AtMostOnce)};
  return Result;
}

ServerRecord record(const std::string &Id, const std::string &Pool) {
  ServerRecord Result;
  Result.Id = Id;
  Result.Address = Id + ":90";
  Result.Pool = Pool;
  Result.FailureDomain = "dar-a";
  return Result;
}

} // namespace

TEST_CASE("the facts about a pool hold what a stager needs") {
  const PoolConfiguration Facts = poolFacts(configuration(), "engines");
  CHECK(Facts.Pool == "engines");
  CHECK(Facts.ConfigRevision == 19);
  CHECK(Facts.OriginAddress == "10.0.0.9:80");
  CHECK(Facts.OriginFailureDomain == "dar-a");
  CHECK(Facts.Models == std::vector<std::string>{"m"});
  CHECK(Facts.StreamsResumable);
}

TEST_CASE("one route that may not resume forbids cutting streams of its pool") {
  FleetConfiguration Changed = configuration();
  Changed.Routes.push_back(routeTo("engines", RetryPolicy::AtMostOnce));
  CHECK_FALSE(poolFacts(Changed, "engines").StreamsResumable);
}

TEST_CASE("an unknown pool and a missing origin give empty facts") {
  FleetConfiguration Changed = configuration();
  Changed.Origin.reset();
  const PoolConfiguration Facts = poolFacts(Changed, "other");
  CHECK(Facts.OriginAddress.empty());
  CHECK(Facts.Models.empty());
}

TEST_CASE("members of a pool are its model servers, with their regions") {
  ServerTable Table;
  Table.Settings.RegionOf = {{"dar-a", "dar"}};
  ServerRecord Engine = record("a", "engines");
  Engine.Weights.emplace();
  putServer(Table, Engine);
  putServer(Table, record("b", "engines"));
  ServerRecord Other = record("c", "others");
  Other.Weights.emplace();
  putServer(Table, Other);
  const auto Members = poolMembers(Table, "engines");
  REQUIRE(Members.size() == 1);
  CHECK(Members[0].Address == "a:90");
  CHECK(Members[0].Region == "dar");
  CHECK(poolMembers(Table, "none").empty());
}

TEST_CASE("a server whose address another one took is no member") {
  ServerTable Table;
  ServerRecord Old = record("a", "engines");
  Old.Weights.emplace();
  Old.StartedAtMs = 1;
  ServerRecord New = record("b", "engines");
  New.Address = Old.Address;
  New.Weights.emplace();
  New.StartedAtMs = 2;
  putServer(Table, Old);
  putServer(Table, New);
  CHECK(poolMembers(Table, "engines").size() == 1);
}
