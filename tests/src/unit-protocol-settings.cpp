#include "marigoldyard/protocol/settings.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace marigoldyard;
using nlohmann::json;

namespace {

json entryJson() {
  return {{"name", "entry-1"},
          {"address", "127.0.1.1"},
          {"region", "dar"},
          {"failure_domain", "dar-a"},
          {"configuration_service", "127.0.0.2:9000"},
          {"vm_list", "127.0.0.2:9001"},
          {"keys", {{{"id", "k1"}, {"secret", "0123456789abcdef"}}}}};
}

json agentJson() {
  json Value = entryJson();
  Value["pool"] = "drafting";
  Value["endpoint"] = "127.0.2.1:7000";
  Value["store"] = "[::1]:9002";
  Value["store_region"] = "dar";
  return Value;
}

std::vector<std::string> pathsOf(const std::vector<DocumentFault> &Faults) {
  std::vector<std::string> Paths;
  Paths.reserve(Faults.size());
  for (const DocumentFault &Each : Faults)
    Paths.push_back(Each.Path);
  std::sort(Paths.begin(), Paths.end());
  return Paths;
}

} // namespace

TEST_CASE("settings of an entry are read with the default ports") {
  const auto Result = parseEntrySettings("// entry\n" + entryJson().dump());
  REQUIRE(Result.Value);
  CHECK(Result.Value->CallerPort == 8080);
  CHECK(Result.Value->Process.OperatorPort == 8081);
  CHECK(Result.Value->Process.PeerPort == 8082);
  CHECK(Result.Value->Process.BulkPort == 8083);
  CHECK(Result.Value->Process.VmList == ServerAddress{"127.0.0.2", 9001});
  CHECK(Result.Value->Process.Keys.at(0).Secret == "0123456789abcdef");
}

TEST_CASE("settings of an agent are read, with an IPv6 address") {
  json Document = agentJson();
  Document["endpoint_kind"] = "service";
  Document["slots"] = 3;
  const auto Result = parseAgentSettings(Document.dump());
  REQUIRE(Result.Value);
  CHECK(Result.Value->Kind == EndpointKind::Service);
  CHECK(Result.Value->Slots == 3);
  CHECK(Result.Value->Store == ServerAddress{"::1", 9002});
  CHECK(Result.Value->StoreRegion == "dar");
}

TEST_CASE("all faults of settings are reported at once with path and unit") {
  json Document = agentJson();
  Document.erase("name");
  Document["address"] = "entry.example";
  Document["vm_list"] = "127.0.0.1:0";
  Document["store"] = "127.0.0.1";
  Document["slots"] = 0;
  Document["bulk_port"] = 8082;
  Document["keys"].push_back({{"id", "k1"}, {"secret", "short"}});
  Document["endpoint_kind"] = "modem";
  Document["caller_port"] = 1;
  const auto Result = parseAgentSettings(Document.dump());
  CHECK_FALSE(Result.Value);
  CHECK(pathsOf(Result.Faults) ==
        std::vector<std::string>{"/address", "/bulk_port", "/caller_port",
                                 "/endpoint_kind", "/keys/1/id",
                                 "/keys/1/secret", "/name", "/slots", "/store",
                                 "/vm_list"});
  CHECK(describeFaults(Result.Faults)
            .find("/slots: is out of range (expected: integer, concurrent "
                  "requests, 1..4096)") != std::string::npos);
}

TEST_CASE("settings without a key are refused: messages would not be signed") {
  json Document = entryJson();
  Document["keys"] = json::array();
  CHECK(pathsOf(parseEntrySettings(Document.dump()).Faults) ==
        std::vector<std::string>{"/keys"});
}

TEST_CASE("text that is not an object is refused") {
  for (const char *Text : {"", "7", "[]", "{", "null"})
    CHECK_FALSE(parseEntrySettings(Text).Value);
}

TEST_CASE("the reference names all settings of both programs") {
  const std::string Page = settingsReference();
  const json Document = agentJson();
  for (const auto &[Key, Ignored] : Document.items())
    CHECK(Page.find("`" + Key + "`") != std::string::npos);
  CHECK(Page.find("`caller_port` | integer, port, 1..65535 | `8080`") !=
        std::string::npos);
}
