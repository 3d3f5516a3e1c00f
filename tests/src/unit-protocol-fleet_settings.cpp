#include "marigoldyard/protocol/fleet_settings.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;
using namespace std::chrono_literals;

namespace {

const std::string Process = R"({
  // comments are allowed
  "name": "front-1", "address": "10.0.0.1", "region": "r",
  "failure_domain": "d", "peer_port": 7700, "bulk_port": 7715,
  "operator_port": 9464, "store": "10.9.0.1:8007",
  "seeds": [ { "address": "10.0.0.1:8000" }, { "address": "10.0.0.2:8000" } ],
  "domains": [ { "failure_domain": "d", "region": "r" } ],
  "keys": [ { "id": "k", "secret": "0123456789abcdef" } ],
  "version_limit_ms": 8000, "drain_limit_s": 8.5, "link_mbps": 7.6)";

std::string gateway(const std::string &More = "") {
  return Process + R"(, "callers": "10.0.0.1:80", "readiness": "10.0.0.1:81",
    "directory": "10.0.0.1:82", "retry_share": 0.2, "retry_reserve": 106)" +
         More + "}";
}

} // namespace

TEST_CASE("settings of a gateway are read") {
  const auto Settings = parseGatewaySettings(gateway());
  REQUIRE(Settings.Value);
  CHECK(Settings.Value->Process.Seeds ==
        std::vector<std::string>{"10.0.0.1", "10.0.0.2"});
  CHECK(Settings.Value->Process.RegionOf.at("d") == "r");
  CHECK(Settings.Value->Process.DrainLimit == 8500ms);
  CHECK(Settings.Value->Process.LinkBitsPerSecond == doctest::Approx(7.6e6));
  CHECK(addressText(Settings.Value->Callers) == "10.0.0.1:80");
  CHECK(Settings.Value->RetryReserve == doctest::Approx(106));
  CHECK(Settings.Value->DirectoryTime == 2s);
  CHECK(Settings.Value->MemoryMegabytes == doctest::Approx(512));
  CHECK(Settings.Value->MaxDescriptors == 4096);
}

TEST_CASE("settings of a gateway give the limits of its machine") {
  const auto Settings =
      parseGatewaySettings(gateway(R"(, "memory_mb": 160, "max_fds": 4100)"));
  REQUIRE(Settings.Value);
  CHECK(Settings.Value->MemoryMegabytes == doctest::Approx(160));
  CHECK(Settings.Value->MaxDescriptors == 4100);
}

TEST_CASE("settings of a stager are read") {
  const auto Settings = parseStagerSettings(
      Process + R"(, "engine": "10.0.0.1:90", "pool": "engines"})");
  REQUIRE(Settings.Value);
  CHECK(Settings.Value->Pool == "engines");
  CHECK(addressText(Settings.Value->Engine) == "10.0.0.1:90");
}

TEST_CASE("all faults of a settings file are told at once") {
  const auto Settings = parseGatewaySettings(
      R"({"name": "front 1", "address": "here", "peer_port": 0,
          "seeds": [ { "address": "10.0.0.1" } ], "unknown": 1})");
  CHECK_FALSE(Settings.Value);
  CHECK(Settings.Faults.size() >= 5);
  CHECK_FALSE(parseGatewaySettings("{").Value);
}

TEST_CASE("the reference names each setting") {
  const std::string Text = fleetSettingsReference();
  for (const char *Key : {"version_limit_ms", "retry_reserve", "engine"})
    CHECK(Text.find(Key) != std::string::npos);
}
