#include "marigoldyard/protocol/digest.hpp"
#include "platform/engine_format.hpp"

#include <doctest/doctest.h>
#include <limits>
#include <nlohmann/json.hpp>

using namespace marigoldyard;

namespace {

const Digest One = sha256Hex(std::string_view("one"));
const Digest Two = sha256Hex(std::string_view("two"));

std::string manifest(int Version) {
  return nlohmann::json{{"model", "m"},
                        {"version", Version},
                        {"chunk_bytes", 32768},
                        {"layers", 16},
                        {"digests", {One, Two}}}
      .dump();
}

} // namespace

TEST_CASE("a server's report is decoded") {
  const auto Report = platform::parseEngineReport(
      R"({"stage":"mixed","models":[{"name":"m","version":1,"adapters":[]}],
          "busy":true,"sequence":2,"waiting":1,"running":12,"kv_used":41000,
          "kv_total":90000,"handles":0,"born":1790000000000})");
  REQUIRE(Report);
  CHECK(Report->Weights == std::vector<LoadedWeights>{{"m", 1}});
  CHECK(Report->Loading);
  CHECK(Report->Running == 12);
  CHECK(Report->Waiting == 1);
  CHECK(Report->StartedAtMs == 1'790'000'000'000);
  CHECK_FALSE(Report->Layers);
  const auto Partial = platform::parseEngineReport(
      R"({"models":[{"name":"m","version":2}],
          "layers":{"from":3,"target":5,"version":2}})");
  REQUIRE(Partial);
  CHECK(Partial->Layers == LayerRange{3, 5});
  const auto Invalid = platform::parseEngineReport(
      R"({"models":[],"layers":{"from":5,"target":3}})");
  REQUIRE(Invalid);
  CHECK_FALSE(Invalid->Layers);
  CHECK_FALSE(platform::parseEngineReport(R"({"busy":false})"));
  CHECK_FALSE(platform::parseEngineReport("<html>"));
}

TEST_CASE("a manifest gives the digests, and versions differ in theirs") {
  const auto First = platform::parseManifest(manifest(1), {"m", 1});
  REQUIRE(First);
  REQUIRE(First->Chunks.size() == 2);
  CHECK(First->Chunks[1] == Chunk{Two, 32768});
  const auto Second = platform::parseManifest(manifest(2), {"m", 2});
  REQUIRE(Second);
  CHECK(First->Id != Second->Id);
  CHECK(Second->Id == descriptorDigest(*Second));
}

TEST_CASE("a manifest of another version or with bad digests is refused") {
  CHECK_FALSE(platform::parseManifest(manifest(1), {"m", 2}));
  CHECK_FALSE(platform::parseManifest(manifest(1), {"n", 1}));
  CHECK_FALSE(platform::parseManifest(
      R"({"model":"m","version":1,"chunk_bytes":9,"digests":["12"]})",
      {"m", 1}));
}

TEST_CASE("orders let running requests end") {
  const auto Wait = platform::makeLoadCall("s:1", {"m", 2});
  CHECK(Wait.Method == "POST");
  CHECK(Wait.Target == "/marigoldyard/order");
  const auto Text = nlohmann::json::parse(Wait.Body);
  CHECK(Text["operation"] == "start");
  CHECK(Text["version"] == 2);
  CHECK(Text["start_mode"] == "queue");
  CHECK(platform::parseOrderStatus(202) == platform::OrderStatus::Started);
  CHECK(platform::parseOrderStatus(200) == platform::OrderStatus::Completed);
  CHECK(platform::parseOrderStatus(409) == platform::OrderStatus::Refused);
}

TEST_CASE("pieces are drawn, staged and read back by number") {
  CHECK(platform::makeChunkCall("o:1", {"m", 2}, 5, 32768).Target ==
        "/marigoldyard/piece/m?item_count=5&version=2");
  CHECK(platform::makeManifestCall("o:1", {"m", 2}).Target ==
        "/marigoldyard/manifest/m?version=2");
  // Idle connections of a large fleet would use up those of the origin.
  CHECK_FALSE(platform::makeManifestCall("o:1", {"m", 2}).KeepConnection);
  CHECK(platform::makeChunkCall("o:1", {"m", 2}, 5, 32768).KeepConnection);
  CHECK(platform::makeStageChunkCall("s:1", "m", 5, "bytes").Method == "PUT");
  CHECK(platform::makeReadStagedChunkCall("s:1", "m", 5, 32768).Target ==
        "/marigoldyard/stage-get/m?item_count=5");
  const auto Held = platform::parseStagedChunks(R"({"held":[0,3]})");
  REQUIRE(Held);
  CHECK(*Held == std::vector<std::size_t>{0, 3});
}

// Guards against bytes without end of a model server or the origin that fill
// the memory of the process that reads them.
TEST_CASE("responses are limited by what each can hold") {
  constexpr std::size_t MB = 1UL << 20;
  CHECK(platform::makeReportCall("s:1").MaxBodyBytes <= MB);
  CHECK(platform::makeListStagedChunksCall("s:1", "m").MaxBodyBytes <= MB);
  CHECK(platform::makeStageChunkCall("s:1", "m", 5, "bytes").MaxBodyBytes <=
        MB);
  CHECK(platform::makeLoadCall("s:1", {"m", 2}).MaxBodyBytes <= MB);
  // 65,536 digests.
  CHECK(platform::makeManifestCall("o:1", {"m", 2}).MaxBodyBytes > 65536 * 67);
  CHECK(platform::makeManifestCall("o:1", {"m", 2}).MaxBodyBytes <= 8 * MB);
  const auto ChunkLimit = [](std::uint64_t Bytes) {
    const std::size_t Limit =
        platform::makeChunkCall("o:1", {"m", 2}, 5, Bytes).MaxBodyBytes;
    CHECK(
        platform::makeReadStagedChunkCall("s:1", "m", 5, Bytes).MaxBodyBytes ==
        Limit);
    return Limit;
  };
  CHECK(ChunkLimit(32768) == MB);
  // A digit of the size in the manifest may be wrong: 1 instead of 9.
  CHECK(ChunkLimit(1 * MB) >= 9 * MB);
  CHECK(ChunkLimit(64 * MB) == 64 * MB);
  CHECK(ChunkLimit(std::numeric_limits<std::uint64_t>::max()) == 64 * MB);
}
