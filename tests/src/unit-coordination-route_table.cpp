#include "marigoldyard/coordination/route_table.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;

namespace {

Route route(std::string Name, std::string Prefix,
            std::vector<PoolShare> Pools = {{"engines", 1}}) {
  Route Result;
  Result.Name = std::move(Name);
  Result.Host = "a.example";
  Result.PathPrefix = std::move(Prefix);
  Result.Pools = std::move(Pools);
  Result.Priority = 2;
  return Result;
}

FleetConfiguration configuration() {
  FleetConfiguration Result;
  Result.ConfigRevision = 7;
  Result.Routes = {route("short", "/x/"), route("long", "/x/y/"),
                   route("split", "/s/", {{"engines", 90}, {"plain", 10}}),
                   route("lost", "/l/", {{"unknown", 1}})};
  Result.Pools = {{"engines", {.Name = "engines", .HasEngines = true}},
                  {"plain", {.Name = "plain"}}};
  Result.Customers = {{"north", {"key-1", "key-2"}, 0U},
                      {"south", {"key-3"}, {}}};
  return Result;
}

std::string found(const RouteTable &Table, std::string_view Host,
                  std::string_view Target) {
  const Route *Found = findRoute(Table, Host, Target);
  return Found == nullptr ? "none" : Found->Name;
}

} // namespace

TEST_CASE("the longest prefix of the host's routes is chosen") {
  const auto Table = makeRouteTable(configuration());
  CHECK(found(*Table, "a.example", "/x/y/z") == "long");
  CHECK(found(*Table, "a.example", "/x/y/") == "long");
  CHECK(found(*Table, "a.example", "/x/y") == "short");
  CHECK(found(*Table, "a.example", "/x/q?n=/x/y/") == "short");
  CHECK(found(*Table, "A.Example:8080", "/x/1") == "short");
  CHECK(found(*Table, "a.example", "/x") == "none");
  CHECK(found(*Table, "a.example", "/") == "none");
  CHECK(found(*Table, "a.example", "") == "none");
  CHECK(found(*Table, "b.example", "/x/1") == "none");
}

TEST_CASE("keys belong to the customer that the configuration names") {
  const auto Table = makeRouteTable(configuration());
  REQUIRE(findCustomer(*Table, "key-2") != nullptr);
  CHECK(findCustomer(*Table, "key-2")->Name == "north");
  CHECK(findCustomer(*Table, "key-4") == nullptr);
  CHECK(findCustomer(*Table, "") == nullptr);
}

TEST_CASE("a customer's priority replaces that of the route") {
  const auto Table = makeRouteTable(configuration());
  const Route &Any = Table->Content.Routes[0];
  CHECK(requestPriority(Any, findCustomer(*Table, "key-1")) == 0);
  CHECK(requestPriority(Any, findCustomer(*Table, "key-3")) == 2);
  CHECK(requestPriority(Any, nullptr) == 2);
}

TEST_CASE("traffic is split by weight, and unknown pools give none") {
  const auto Table = makeRouteTable(configuration());
  Random Source(1);
  int Plain = 0;
  constexpr int Draws = 10'000;
  for (int I = 0; I < Draws; ++I)
    Plain +=
        choosePool(*Table, Table->Content.Routes[2], Source)->Name == "plain"
            ? 1
            : 0;
  CHECK(Plain > Draws / 10 - 150);
  CHECK(Plain < Draws / 10 + 150);
  CHECK(choosePool(*Table, Table->Content.Routes[3], Source) == nullptr);
}
