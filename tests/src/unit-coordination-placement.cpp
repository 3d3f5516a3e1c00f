#include "marigoldyard/coordination/placement.hpp"
#include "marigoldyard/coordination/server_table.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;
using namespace std::chrono_literals;

namespace {

const TimePoint Start = TimePoint{} + 1h;

RegionLimit limit(std::set<std::string, std::less<>> Regions) {
  return Regions;
}

ServerRecord record(const std::string &Id, const std::string &Domain) {
  ServerRecord Result;
  Result.Id = Id;
  Result.Address = "10.0.0." + Id + ":80";
  Result.Pool = "engines";
  Result.FailureDomain = Domain;
  Result.Slots = 1;
  return Result;
}

/// Servers "1" and "2" in region r1, "3" in r2, and "9" in a domain that no
/// setting names.
ServerTable makeTable() {
  ServerTable Table;
  Table.Settings.Region = "r1";
  Table.Settings.RegionOf = {{"d1", "r1"}, {"d2", "r2"}};
  for (const auto &[Id, Domain] :
       {std::pair("1", "d1"), {"2", "d1"}, {"3", "d2"}, {"9", "d9"}})
    putServer(Table, record(Id, Domain));
  return Table;
}

ServerRequirements requirements(RegionLimit Limit = {}) {
  ServerRequirements Result;
  Result.Pool = "engines";
  Result.AllowedRegions = std::move(Limit);
  return Result;
}

std::set<std::string> chosenUntilFull(ServerTable Table,
                                      const ServerRequirements &Wanted) {
  Random Source(1);
  std::set<std::string> Result;
  for (;;) {
    const ServerChoice Choice = chooseServer(Table, Wanted, Start, Source);
    if (Choice.Shortage != ServerShortage::None)
      return Result;
    recordRequestStart(Table, Choice.Id, 0);
    Result.insert(Choice.Id);
  }
}

} // namespace

TEST_CASE("the limits of route and customer both bind") {
  Route Chosen;
  Customer Requester;
  CHECK_FALSE(allowedRegions(Chosen, nullptr));
  Chosen.AllowedRegions = limit({"r1", "r2"});
  CHECK(allowedRegions(Chosen, &Requester) == limit({"r1", "r2"}));
  Requester.AllowedRegions = limit({"r2", "r3"});
  CHECK(allowedRegions(Chosen, &Requester) == limit({"r2"}));
  Requester.AllowedRegions = limit({"r3"});
  CHECK(allowedRegions(Chosen, &Requester) == limit({}));
}

TEST_CASE("a region that no setting names allows no server") {
  CHECK(isRegionAllowed({}, ""));
  CHECK_FALSE(isRegionAllowed(limit({""}), ""));
  CHECK_FALSE(isRegionAllowed(limit({}), "r1"));
  FleetConfiguration Configuration;
  Configuration.Routes.resize(2);
  Configuration.Routes[0].AllowedRegions = limit({"r1", "r8"});
  Configuration.Customers.resize(1);
  Configuration.Customers[0].AllowedRegions = limit({"r8", "r7"});
  CHECK(unknownRegions(Configuration, {"r1"}) ==
        std::vector<std::string>{"r7", "r8"});
}

TEST_CASE("a burst on a limited route fills its region and no other") {
  const ServerTable Table = makeTable();
  CHECK(chosenUntilFull(Table, requirements(limit({"r1"}))) ==
        std::set<std::string>{"1", "2"});
  CHECK(chosenUntilFull(Table, requirements(limit({"r2"}))) ==
        std::set<std::string>{"3"});
  CHECK(chosenUntilFull(Table, requirements(limit({"r8"}))).empty());
  CHECK(chosenUntilFull(Table, requirements()).size() == 4);
}

TEST_CASE("no request goes to an evacuated domain until it is taken back") {
  ServerTable Table = makeTable();
  CHECK(setEvacuated(Table, "d1", true, Start));
  CHECK_FALSE(setEvacuated(Table, "d1", true, Start));
  CHECK(chosenUntilFull(Table, requirements()) ==
        std::set<std::string>{"3", "9"});
  CHECK_FALSE(mayReceive(Table, "1", Start)); // chosen before the evacuation
  CHECK(mayReceive(Table, "3", Start));
  CHECK(setEvacuated(Table, "d1", false, Start));
  CHECK(chosenUntilFull(Table, requirements()).size() == 4);
  CHECK_FALSE(setEvacuated(Table, "unknown", false, Start));
}

TEST_CASE(
    "a request whose only region is evacuated is known to be unservable") {
  ServerTable Table = makeTable();
  const ServerRequirements OnlyHome = requirements(limit({"r2"}));
  CHECK_FALSE(refusedUntil(Table, OnlyHome, Start));
  setEvacuated(Table, "d2", true, Start);
  CHECK(refusedUntil(Table, OnlyHome, Start) == TimePoint::max());
  CHECK_FALSE(hasAllowedServer(Table, OnlyHome));
  CHECK_FALSE(refusedUntil(Table, requirements(), Start));
  setEvacuated(Table, "d1", true, Start);
  setEvacuated(Table, "d9", true, Start);
  CHECK(refusedUntil(Table, requirements(), Start) == TimePoint::max());
}

TEST_CASE("full servers of an allowed region are told from missing ones") {
  ServerTable Table = makeTable();
  recordRequestStart(Table, "3", 0);
  recordRequestStart(Table, "3", 0);
  Random Source(1);
  const ServerRequirements OnlyHome = requirements(limit({"r2"}));
  CHECK(chooseServer(Table, OnlyHome, Start, Source).Shortage ==
        ServerShortage::Full);
  CHECK(hasAllowedServer(Table, OnlyHome));
}

TEST_CASE("callers are sent to a home when their own region has no gateway") {
  const std::vector<GatewayOffer> Offers{
      {"a:1", "r1"}, {"b:1", "r2"}, {"c:1", "r3"}};
  CHECK(selectGateways(Offers, "r2", limit({"r3"})) ==
        std::vector<std::string>{"b:1"});
  CHECK(selectGateways(Offers, "r9", limit({"r3"})) ==
        std::vector<std::string>{"c:1"});
  CHECK(selectGateways(Offers, "r9", limit({"r8"})).size() == 3);
  CHECK(selectGateways(Offers, "r9", {}).size() == 3);
}

TEST_CASE("a host prefers the regions that all its limited routes allow") {
  FleetConfiguration Configuration;
  Configuration.Routes.resize(4);
  for (Route &Each : Configuration.Routes)
    Each.Host = "h";
  Configuration.Routes[1].AllowedRegions = limit({"r1", "r2"});
  Configuration.Routes[2].AllowedRegions = limit({"r2", "r3"});
  Configuration.Routes[3].Host = "other";
  Configuration.Routes[3].AllowedRegions = limit({"r4"});
  CHECK(regionsOfHost(Configuration, "h") == limit({"r2"}));
  CHECK_FALSE(regionsOfHost(Configuration, "unlimited"));
}
