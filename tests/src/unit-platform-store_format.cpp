#include "platform/store_format.hpp"

#include <algorithm>
#include <doctest/doctest.h>

using namespace marigoldyard;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view Configuration = R"({"version":7,"routes":[
 {"name":"r-1","host":"A.example","path_prefix":"/x/","kind":"streaming",
  "timeout_ms":6000,"target_latency_ms":800,"priority":2,"service":"engines",
  "max_attempts":2,"resume_streams":true,"target_gap_ms":300},
 {"name":"r-2","host":"b.example","path_prefix":"/y/","kind":"streaming",
  "timeout_ms":6000,"service":"engines","max_attempts":2},
 {"name":"r-3","host":"c.example","path_prefix":"/z/","kind":"non_idempotent",
  "timeout_ms":600,"allow_anonymous":true,
  "traffic_split":[{"service":"engines","weight":90},
                   {"service":"plain","weight":10}]}],
 "services":[
 {"name":"engines","max_connections":434,"engine":{"slots":16,"chunk":2048,
  "read_per_s":31900.0,"models":[{"name":"m","pace":1.0}]}},
 {"name":"store","origin":"172.20.0.3:8006","zone":"z1","link_mbps":9.9,
  "max_connections":48},
 {"name":"plain","max_connections":110}],
 "limits":{"max_header_bytes":100,"max_body_bytes":200,
  "header_timeout_ms":300,"idle_timeout_ms":400},
 "tenants":[{"name":"t","api_keys":["k1","k2"],"priority":1}],
 "a field of later":[1]})";

constexpr std::string_view Server =
    R"({"service":"engines","address":"10.0.0.9:80","zone":"z1",
 "version":"v1","slots":16,"state":"ready","cold_remaining_ms":0,
 "stage":"mixed","models":[{"name":"m","version":3,"adapters":[]}],
 "sequence":4,"born":1790000000000})";

} // namespace

TEST_CASE("a configuration is translated into the product's own types") {
  const auto Parsed = platform::parseFleetConfiguration(Configuration);
  REQUIRE(Parsed);
  CHECK(Parsed->ConfigRevision == 7);
  REQUIRE(Parsed->Routes.size() == 3);
  const Route &Stream = Parsed->Routes[0];
  CHECK(Stream.Host == "a.example");
  CHECK(Stream.AllowedRetries == RetryPolicy::Resumable);
  CHECK(Stream.IsStreaming);
  CHECK(Stream.Timeout == 6s);
  CHECK(Stream.TargetLatency == 800ms);
  CHECK(Stream.TargetEventGap == 300ms);
  CHECK(Stream.MaxAttemptsPerRequest == 2);
  CHECK(Parsed->Routes[1].AllowedRetries == RetryPolicy::AtMostOnce);
  CHECK(Parsed->Routes[2].AllowedRetries == RetryPolicy::AtMostOnce);
  CHECK_FALSE(Parsed->Routes[2].IsStreaming);
  CHECK(Parsed->Routes[2].MaxAttemptsPerRequest == 1);
  CHECK(Parsed->Routes[2].AllowAnonymous);
  CHECK(Parsed->Routes[2].Pools[1].Weight == 10);
  const ServerPool &Engines = Parsed->Pools.at("engines");
  CHECK(Engines.HasEngines);
  CHECK(Engines.Slots == 16);
  CHECK(Engines.PromptTokensPerPass == 2048);
  CHECK(Engines.Models == std::vector<std::string>{"m"});
  CHECK_FALSE(Parsed->Pools.at("plain").HasEngines);
  REQUIRE(Parsed->Origin);
  CHECK(Parsed->Origin->Address == "172.20.0.3:8006");
  CHECK_FALSE(Parsed->Pools.contains("store"));
  CHECK(Parsed->Limits.MaxHeaderBytes == 100);
  CHECK(Parsed->Limits.IdleTimeout == 400ms);
  CHECK(Parsed->Customers[0].Keys.size() == 2);
  CHECK(Parsed->Customers[0].Priority == 1U);
}

TEST_CASE("a faulty configuration is refused whole, with the place") {
  for (std::string_view Text :
       {R"([])", R"({"version":0,"routes":[],"services":[]})",
        R"({"version":1,"routes":[{"host":"a"}],"services":[]})",
        R"({"version":1,"routes":[{"host":"a","path_prefix":"/",
            "kind":"magic","service":"s"}],"services":[]})",
        R"({"version":1,"routes":"none","services":[]})", R"({"version":1)"}) {
    CAPTURE(Text);
    const auto Parsed = platform::parseFleetConfiguration(Text);
    REQUIRE_FALSE(Parsed);
    CHECK_FALSE(Parsed.error().Detail.empty());
  }
}

TEST_CASE("a server's record is translated") {
  const auto Record = platform::parseServerRecord("servers/i-1", Server);
  REQUIRE(Record);
  CHECK(Record->Id == "i-1");
  CHECK(Record->Slots == 16);
  CHECK_FALSE(Record->Draining);
  CHECK(Record->StartedAtMs == 1'790'000'000'000);
  REQUIRE(Record->Weights);
  CHECK(Record->Weights->at(0) == LoadedWeights{"m", 3});
}

TEST_CASE("records of another writer name no server") {
  std::string Text(Server);
  auto With = [&](std::string_view From, std::string_view To) {
    std::string Changed = Text;
    Changed.replace(Changed.find(From), From.size(), To);
    return platform::parseServerRecord("servers/i-1", Changed);
  };
  CHECK_FALSE(With("\"ready\"", "\"asleep\""));
  CHECK_FALSE(With("\"10.0.0.9:80\"", "17"));
  CHECK_FALSE(With("\"10.0.0.9:80\"", "\"10.0.0.9\""));
  for (std::string_view Address :
       {"10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:99999", "10.0.0.9:-1",
        "10.0.0.9:8x", "10.0.0.9: 80", "10.0.0.9:", ":80", "server.example:80",
        "10.0.0.999:80", ""}) {
    CAPTURE(Address);
    CHECK_FALSE(With("\"10.0.0.9:80\"", "\"" + std::string(Address) + "\""));
  }
  CHECK(With("\"10.0.0.9:80\"", "\"10.0.0.9:65535\""));
  CHECK_FALSE(With("\"service\"", "\"servant\""));
  CHECK_FALSE(With("\"slots\":16", "\"slots\":" + std::string(400, '9')));
  CHECK_FALSE(With("\"slots\":16", "\"slots\":-16"));
  CHECK_FALSE(With("\"slots\":16", "\"slots\":1.5"));
  CHECK_FALSE(With("\"born\":1790000000000", "\"born\":1e300"));
  CHECK_FALSE(With("\"version\":3", "\"version\":-3"));
  constexpr std::size_t Depth = 100'000;
  CHECK_FALSE(With("\"m\"", std::string(Depth, '[') + std::string(Depth, ']')));
  CHECK_FALSE(With("\"sequence\":4",
                   "\"sequence\":4,\"x\":" + std::string(Depth, '[')));
  CHECK_FALSE(With("\"slots\":16", "\"slots\":\"16\""));
  CHECK_FALSE(With("\"sequence\":4", "\"sequence\":-4"));
  CHECK_FALSE(platform::parseServerRecord("servers/i-1", "\xFF\xFE"));
  CHECK_FALSE(platform::parseServerRecord("servers/", Server));
  CHECK(With("\"ready\"", "\"draining\"")->Draining);
}

TEST_CASE("listings and watches are parsed, removals included") {
  const auto Listed = platform::parseStoreResponse(
      R"({"items":[{"key":"a","value":"aGk=","revision":4,"created":1,
          "lease":0}],"truncated":true,"store_revision":9})");
  REQUIRE(Listed);
  CHECK(Listed->Items[0] == StoreItem{"a", "hi", 4, false});
  CHECK(Listed->Truncated);
  CHECK(Listed->Position == StorePosition{0, 9});
  const auto Watched = platform::parseStoreResponse(
      R"({"events":[{"key":"a","revision":5,"deleted":true}],
          "store_revision":10})");
  REQUIRE(Watched);
  CHECK(Watched->Items[0].Deleted);
  CHECK_FALSE(platform::parseStoreResponse(
      R"({"items":{"key":"a"},"store_revision":9})"));
  CHECK_FALSE(platform::parseStoreResponse(R"({"items":[]})"));
  CHECK_FALSE(platform::parseStoreResponse(""));
}

TEST_CASE("a response of the store tells its era") {
  const std::string Body =
      R"({"items":[{"key":"a","value":"aGk=","revision":4}],
          "store_revision":9})";
  const auto Read = [&](HttpHeaders Headers) {
    return platform::readStoreResponse({200, std::move(Headers), Body});
  };
  const auto Restored = Read({{"store-era", "3"}});
  REQUIRE(Restored);
  CHECK(Restored->Position == StorePosition{3, 9});
  CHECK(positionOf(Restored->Items[0]) == StorePosition{3, 4});
  REQUIRE(Read({}));
  CHECK(Read({})->Position == StorePosition{0, 9});
  for (const char *Invalid :
       {"", "x", "-1", "2x", "1.5", "99999999999999999999"}) {
    CAPTURE(Invalid);
    CHECK_FALSE(Read({{"store-era", Invalid}}));
  }
}

TEST_CASE("values tell which of two was written later") {
  const auto IsLater = [](const std::string &Key, std::string Value,
                          std::string Than) {
    return platform::isWrittenLater({Key, std::move(Value), 1, false},
                                    {Key, std::move(Than), 9, false});
  };
  const auto ConfigurationOf = [](int Version) {
    return R"({"version":)" + std::to_string(Version) + "}";
  };
  CHECK(IsLater("op/config", ConfigurationOf(3), ConfigurationOf(2)));
  CHECK_FALSE(IsLater("op/config", ConfigurationOf(2), ConfigurationOf(2)));
  CHECK_FALSE(IsLater("op/config", ConfigurationOf(1), ConfigurationOf(2)));
  CHECK_FALSE(IsLater("op/config", "{", ConfigurationOf(2)));
  const auto Version = [](int Number) {
    return R"({"model":"m","version":)" + std::to_string(Number) + "}";
  };
  CHECK(IsLater("op/version/m", Version(3), Version(2)));
  CHECK_FALSE(IsLater("op/version/m", Version(2), Version(3)));
  const auto ServerWith = [](const std::string &State, int Born) {
    return R"({"service":"s","address":"10.0.0.1:1","zone":"z","slots":4,
               "state":")" +
           State + R"(","sequence":1,"born":)" + std::to_string(Born) + "}";
  };
  CHECK(IsLater("servers/i", ServerWith("ready", 6), ServerWith("ready", 5)));
  CHECK(
      IsLater("servers/i", ServerWith("ready", 6), ServerWith("draining", 5)));
  CHECK(
      IsLater("servers/i", ServerWith("draining", 5), ServerWith("ready", 5)));
  CHECK_FALSE(
      IsLater("servers/i", ServerWith("ready", 5), ServerWith("draining", 5)));
  CHECK_FALSE(
      IsLater("servers/i", ServerWith("draining", 4), ServerWith("ready", 5)));
  CHECK_FALSE(platform::isWrittenLater({"op/config", ConfigurationOf(3), 1},
                                       {"op/config", "", 9, true}));
  CHECK(platform::mayExpire("servers/i"));
  CHECK_FALSE(platform::mayExpire("op/config"));
}

TEST_CASE("an odd item hides no other item of a listing") {
  for (std::string_view Odd :
       {R"({"key":"b","value":"?","revision":4})",
        R"({"key":"b","value":"YQ=","revision":4})",
        R"({"key":"b","value":17,"revision":4})",
        R"({"key":"b","value":"aGk=","revision":-4})",
        R"({"key":"b","value":"aGk=","revision":1.5})",
        R"({"key":"b","value":"aGk=","revision":4,"deleted":"no"})",
        R"({"key":["b"],"value":"aGk=","revision":4})", R"(["b"])", "null"}) {
    CAPTURE(Odd);
    const std::string Body =
        R"({"items":[{"key":"a","value":"aGk=","revision":3},)" +
        std::string(Odd) +
        R"(,{"key":"c","value":"aGk=","revision":5}],"store_revision":9})";
    const auto Listed = platform::parseStoreResponse(Body);
    REQUIRE(Listed);
    CHECK(Listed->Items.front() == StoreItem{"a", "hi", 3, false});
    CHECK(Listed->Items.back() == StoreItem{"c", "hi", 5, false});
    // An item that keeps its key has no value that could be taken for one.
    for (const StoreItem &Each : Listed->Items)
      CHECK((Each.Key != "b" || Each.Value.empty()));
    CHECK(Listed->Items.size() + Listed->Faults.size() >= 3);
  }
}

TEST_CASE("calls to the store carry escaped keys") {
  CHECK(platform::makeListCall("s:1", "op/", "op/a b&c", true).Target ==
        "/marigoldyard/kv-range?path_prefix=op/&after=op/a%20b%26c"
        "&allow_stale=1");
  CHECK(platform::makeWatchCall("s:1", "", 12, 1500ms).Target ==
        "/marigoldyard/kv-watch?path_prefix=&after=12&wait_ms=1500");
  CHECK(platform::isHistoryLost(410));
  CHECK_FALSE(platform::isHistoryLost(200));
}

TEST_CASE("keys are classified, and versions are parsed") {
  CHECK(platform::itemKind("op/config") == platform::ItemKind::Configuration);
  CHECK(platform::itemKind("op/version/m") == platform::ItemKind::ModelVersion);
  CHECK(platform::itemKind("servers/i") == platform::ItemKind::Server);
  CHECK(platform::itemKind("my/leader") == platform::ItemKind::Other);
  CHECK(
      platform::parseDeclaredVersion(R"({"model":"m","version":2})")->Version ==
      2);
  CHECK_FALSE(platform::parseDeclaredVersion(R"({"model":"m"})"));
  CHECK_FALSE(platform::parseDeclaredVersion("2"));
}

TEST_CASE("regions and cold servers are translated") {
  const auto Parsed = platform::parseFleetConfiguration(
      R"({"version":7,"routes":[
 {"host":"a","path_prefix":"/x/","kind":"idempotent","service":"s",
  "allowed_regions":["north","south"]},
 {"host":"a","path_prefix":"/y/","kind":"idempotent","service":"s",
  "allowed_regions":[]},
 {"host":"a","path_prefix":"/z/","kind":"idempotent","service":"s"}],
 "services":[{"name":"s","cold_start_s":3.0,"cold_per_s":17.0},
             {"name":"odd","cold_start_s":-1e300,"cold_per_s":"many"}],
 "tenants":[{"name":"t","api_keys":[],"allowed_regions":["south"]}]})");
  REQUIRE(Parsed);
  const auto Regions = [](std::set<std::string, std::less<>> Names) {
    return RegionLimit(std::move(Names));
  };
  CHECK(Parsed->Routes[0].AllowedRegions == Regions({"north", "south"}));
  CHECK_FALSE(Parsed->Routes[1].AllowedRegions);
  CHECK_FALSE(Parsed->Routes[2].AllowedRegions);
  CHECK(Parsed->Customers[0].AllowedRegions == Regions({"south"}));
  CHECK(Parsed->Pools.at("s").ColdTime == 3s);
  CHECK(Parsed->Pools.at("s").ColdRequestsPerSecond == 17);
  CHECK(Parsed->Pools.at("odd").ColdTime == 0s);
  CHECK(Parsed->Pools.at("odd").ColdRequestsPerSecond == 0);
}

TEST_CASE("what is no list of regions allows none") {
  for (const std::string_view Text :
       {R"("north")", "7", "null", "{}", R"([7,null])", R"([""])", "[[]]"}) {
    CAPTURE(Text);
    const auto Parsed = platform::parseFleetConfiguration(
        R"({"version":7,"services":[],"routes":[{"host":"a",
"path_prefix":"/x/","kind":"idempotent","service":"s","allowed_regions":)" +
        std::string(Text) + "}]}");
    REQUIRE(Parsed);
    REQUIRE(Parsed->Routes[0].AllowedRegions);
    CHECK(std::none_of(Parsed->Routes[0].AllowedRegions->begin(),
                       Parsed->Routes[0].AllowedRegions->end(),
                       [](const std::string &Region) {
                         return Region.empty() || Region == "7";
                       }));
  }
  // Valid elements still count beside invalid ones.
  const auto Mixed = platform::parseFleetConfiguration(
      R"({"version":7,"services":[],"routes":[{"host":"a","path_prefix":"/x/",
"kind":"idempotent","service":"s","allowed_regions":["north",7]}]})");
  REQUIRE(Mixed);
  CHECK(Mixed->Routes[0].AllowedRegions->contains("north"));
}

TEST_CASE("an evacuation names its domain") {
  CHECK(platform::itemKind("op/evacuate/d1") == platform::ItemKind::Evacuation);
  CHECK(platform::evacuatedDomain("op/evacuate/d1") == "d1");
  CHECK_FALSE(platform::mayExpire("op/evacuate/d1"));
}

TEST_CASE("a record tells for how long its server stays cold") {
  std::string Text(Server);
  Text.replace(Text.find("\"cold_remaining_ms\":0"), 21,
               "\"cold_remaining_ms\":2500");
  const auto Record = platform::parseServerRecord("servers/i-1", Text);
  REQUIRE(Record);
  CHECK(Record->ColdFor == 2500ms);
}
