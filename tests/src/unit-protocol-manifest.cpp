#include "marigoldyard/protocol/digest.hpp"
#include "marigoldyard/protocol/manifest_json.hpp"

#include <doctest/doctest.h>
#include <map>
#include <nlohmann/json.hpp>

using namespace marigoldyard;
using nlohmann::json;

namespace {

const std::string Sha(64, 'a');

json productJson(const std::string &Name = "tokens") {
  return {{"name", Name},
          {"model", "m-7b"},
          {"pool", "drafting"},
          {"version", "2026-12"},
          {"weights", Sha},
          {"adapters", {"refunds"}},
          {"ranks", {"urgent", "standard"}},
          {"callers",
           {{{"name", "cafe-1"},
             {"key_sha256", std::string(64, 'b')},
             {"highest_rank", "urgent"},
             {"weight", 2.5},
             {"requests_per_second", 10},
             {"burst", 20}}}},
          {"services", {{{"name", "ledger"}, {"pool", "plain"}}}}};
}

json manifestJson() { return {{"revision", 7}, {"products", {productJson()}}}; }

/// Faults of a manifest by path.
std::map<std::string, DocumentFault> faultsOf(const json &Document) {
  const auto Result = parseManifest(Document.dump());
  CHECK(Result.Faults.empty() == Result.Value.has_value());
  std::map<std::string, DocumentFault> ByPath;
  for (const DocumentFault &Each : Result.Faults)
    ByPath[Each.Path] = Each;
  return ByPath;
}

} // namespace

TEST_CASE("a manifest with comments is read with its defaults") {
  const auto Result =
      parseManifest("// release 7\n" + manifestJson().dump() + "/* end */");
  REQUIRE(Result.Value);
  const Product &Read = Result.Value->Products.at(0);
  CHECK(Result.Value->ConfigRevision == 7);
  CHECK(Read.Floors[rankIndex(Rank::Standard)] == 0.2);
  CHECK(Read.Deadlines[rankIndex(Rank::Urgent)] == std::chrono::seconds(30));
  CHECK(Read.MaxUnavailable == 1);
  CHECK(Read.Callers.at(0).HighestRank == Rank::Urgent);
  CHECK_FALSE(Read.Services.at(0).Idempotent);
}

TEST_CASE("all faults of a manifest are reported at once with path and unit") {
  json Document = manifestJson();
  json &Broken = Document["products"][0];
  Document["revision"] = 0;
  Document["colour"] = "orange";
  Broken["weights"] = "AB";
  Broken["ranks"] = {"urgent", "urgent", "immediate"};
  Broken["retry_budget"] = 2;
  Broken["max_unavailable"] = "1";
  Broken["deadline_ms"] = {{"urgent", 0.5}, {"later", 1}};
  Broken["floors"] = {{"urgent", 0.9}, {"standard", 0.9}};
  Broken["callers"].push_back(Broken["callers"][0]);
  Broken["callers"][1]["burst"] = 0;
  Broken["services"][0].erase("pool");
  Broken.erase("model");
  const auto Faults = faultsOf(Document);
  for (const char *Path :
       {"/revision", "/colour", "/products/0/weights", "/products/0/ranks/1",
        "/products/0/ranks/2", "/products/0/retry_budget",
        "/products/0/max_unavailable", "/products/0/deadline_ms/urgent",
        "/products/0/deadline_ms/later", "/products/0/floors",
        "/products/0/callers/1/name", "/products/0/callers/1/key_sha256",
        "/products/0/callers/1/burst", "/products/0/services/0/pool",
        "/products/0/model"}) {
    CAPTURE(Path);
    CHECK(Faults.contains(Path));
  }
  CHECK(Faults.size() == 15);
  CHECK(Faults.at("/products/0/deadline_ms/urgent").Unit ==
        "integer, ms, 1..3600000");
  CHECK(Faults.at("/products/0/max_unavailable").Message ==
        "has the wrong type");
}

TEST_CASE("contradictions between products are faults of the manifest") {
  json Document = manifestJson();
  Document["products"].push_back(productJson("tokens"));
  Document["products"].push_back(productJson("refunds"));
  CHECK(faultsOf(Document).contains("/products/1/name"));
  Document["products"][1]["name"] = "balance";
  Document["products"][1]["services"][0]["pool"] = "drafting";
  const auto Faults = faultsOf(Document);
  CHECK(Faults.contains("/products/1/services/0/pool"));
  CHECK(Faults.contains("/products/1/services/0"));
}

TEST_CASE("a caller that no rank admits is a fault") {
  json Document = manifestJson();
  Document["products"][0]["callers"][0]["highest_rank"] = "batch";
  CHECK(faultsOf(Document).contains("/products/0/callers/0/highest_rank"));
}

TEST_CASE("text that is not JSON or repeats a key is refused") {
  CHECK(parseManifest("{\"revision\":").Faults.size() == 1);
  CHECK(parseManifest("").Faults.size() == 1);
  CHECK(parseManifest("[]").Faults.size() == 1);
  const std::string Twice =
      "{\"revision\":1," + manifestJson().dump().substr(1);
  const auto Result = parseManifest(Twice);
  REQUIRE(Result.Faults.size() == 1);
  CHECK(Result.Faults[0].Message.find("occurs twice") != std::string::npos);
}

TEST_CASE("every value of every type in every place is refused or read, never "
          "a crash") {
  const json Values[] = {json(),
                         json(true),
                         json(-1),
                         json(1e300),
                         json("x"),
                         json::array(),
                         json::array({json::object()}),
                         json::object(),
                         json(18446744073709551615ULL)};
  const json Flat = manifestJson().flatten();
  for (const auto &[Path, Ignored] : Flat.items()) {
    json::json_pointer Place(Path);
    while (!Place.empty()) {
      for (const json &Value : Values) {
        json Document = manifestJson();
        Document[Place] = Value;
        faultsOf(Document);
        parseProduct(Document.dump());
        CHECK_FALSE(parseIndex(Document.dump(), ""));
      }
      Place.pop_back();
    }
  }
}

TEST_CASE("a published manifest is read back unchanged") {
  const Manifest Content = *parseManifest(manifestJson().dump()).Value;
  CHECK(parseManifest(manifestText(Content)).Value == Content);
  const PublishedManifest Published = splitManifest(Content);
  const auto Index = parseIndex(Published.Index, "configuration");
  REQUIRE(Index);
  CHECK(Index->ConfigRevision == 7);
  REQUIRE(Published.Values.size() == 1);
  const auto &[Key, Text] = *Published.Values.begin();
  CHECK(Key == "products/tokens");
  CHECK(Index->Values.at(Key) == sha256Hex(Text));
  const ParsedValue Value = checkValue(Key, Text, "configuration");
  REQUIRE(Value.Content);
  CHECK(*Value.Content == Content.Products[0]);
  CHECK(Value.ContentDigest == Index->Values.at(Key));
}

TEST_CASE("an invalid value or index names its source, step and all faults") {
  const ParsedValue Value = checkValue("products/a", "{}", "peer-3");
  REQUIRE_FALSE(Value.Content);
  CHECK(Value.Content.error().Code == ErrorCode::InvalidManifest);
  CHECK(Value.Content.error().Peer == "peer-3");
  CHECK(Value.Content.error().Detail.find("/weights: is missing") !=
        std::string::npos);
  const auto Index = parseIndex(
      R"({"revision":-1,"values":{"other/a":"zz","products/":1}})", "peer-3");
  REQUIRE_FALSE(Index);
  for (const char *Part : {"/revision", "/values/other~1a/name",
                           "/values/other~1a/digest", "/values/products~1"})
    CHECK(Index.error().Detail.find(Part) != std::string::npos);
}

TEST_CASE("digests are those of SHA-256") {
  CHECK(sha256Hex("abc") ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST_CASE("the reference of the manifest names keys, units and defaults") {
  const std::string Page = manifestReference();
  for (const char *Part : {"`key_sha256`", "integer, ms, 1..3600000",
                           "`max_unavailable`", "`0.2`", "required"})
    CHECK(Page.find(Part) != std::string::npos);
}

TEST_CASE("a document with a number that is too large or with deep nesting is "
          "refused and ends no process") {
  constexpr std::size_t Depth = 100'000;
  const std::string Digits(400, '9');
  for (const std::string &Text : std::initializer_list<std::string>{
           std::string("1e999"), "-1e999", Digits, "[" + Digits + "]",
           R"({"revision":1e999,"products":[]})",
           R"({"revision":)" + Digits + R"(,"values":{}})",
           std::string(Depth, '['),
           std::string(Depth, '[') + std::string(Depth, ']')}) {
    CAPTURE(Text.substr(0, 40));
    CHECK_FALSE(parseIndex(Text, "service"));
    CHECK_FALSE(parseManifest(Text).Faults.empty());
  }
}
