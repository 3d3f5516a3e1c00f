#include "marigoldyard/protocol/digest.hpp"
#include "marigoldyard/protocol/platform_api.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace marigoldyard;

namespace {
const Digest A = sha256Hex(std::string_view("a"));
const Digest B = sha256Hex(std::string_view("b"));
} // namespace

TEST_CASE("what one side writes, the other side reads back") {
  std::vector<Member> Vms{
      {"e", "127.0.0.1", MemberKind::Entry, "r", "d", "", true},
      {"a", "127.0.0.2", MemberKind::Endpoint, "r", "d", "p", false}};
  CHECK(*parseVmList(vmListJson(Vms)) == Vms);
  VersionDescriptor Version{"", "m", "v", {{A, 10}, {B, 20}}};
  std::string Text = descriptorJson(Version);
  Version.Id = sha256Hex(Text);
  CHECK(*parseDescriptor(Text, Version.Id) == Version);
  EngineOrder Order{OrderAction::Unload, "m", "v", A, {A, B}, {1, 2, 3}};
  CHECK(*parseEngineOrder(engineOrderJson(Order)) == Order);
  std::vector<LoadedModel> Loaded{{"m", "v", A}};
  CHECK(*parseEngineState(engineStateJson(Loaded)) == Loaded);
  GenerateRequest Request{"r", A, "p", 5, Rank::Standard};
  CHECK(*parseGenerateRequest(generateRequestJson(Request)) == Request);
  GenerateLine Piece{"r", A, false, 3, "text", 0}, End{"r", A, true, 0, "", 4};
  CHECK(*parseGenerateLine(generateLineJson(Piece)) == Piece);
  CHECK(*parseGenerateLine(generateLineJson(End)) == End);
  CHECK(*parseCancel(cancelJson("r")) == "r");
  EngineLoad Load{1, 2, 3};
  CHECK(*parseEngineLoad(engineLoadJson(Load)) == Load);
  for (const char *Body : {R"({"a":[1]})", "plain text", "\"quoted"}) {
    ServiceRun Run{"o", Body};
    CHECK(*parseServiceRun(serviceRunJson(Run)) == Run);
  }
}

TEST_CASE("a descriptor with another digest is refused, so that no other "
          "weights are loaded") {
  std::string Text = descriptorJson({"", "m", "v", {{A, 10}}});
  auto Parsed = parseDescriptor(Text, A);
  REQUIRE_FALSE(Parsed);
  CHECK(Parsed.error().Code == ErrorCode::ChunkCorrupt);
}

TEST_CASE("missing, mistyped and oversized members are refused by name") {
  auto Changed = [](const std::string &Text, const char *Pointer,
                    nlohmann::json Value) {
    auto Json = nlohmann::json::parse(Text);
    Json[nlohmann::json::json_pointer(Pointer)] = std::move(Value);
    return Json.dump();
  };
  std::string Vms = vmListJson(
      {{"a", "127.0.0.2", MemberKind::Endpoint, "r", "d", "p", false},
       {"b", "127.0.0.3", MemberKind::Endpoint, "r", "d", "p", false}});
  for (auto [Pointer, Value] :
       {std::pair<const char *, nlohmann::json>{"/vms/0/kind", "other"},
        {"/vms/0/state", "dead"},
        {"/vms/1/name", "a"},
        {"/vms/0/address", 1},
        {"/vms/1", 5},
        {"/vms", "none"}})
    CHECK_FALSE(parseVmList(Changed(Vms, Pointer, Value)));
  std::string Bad = Changed(descriptorJson({"", "m", "v", {{A, 10}}}),
                            "/chunks/0/size", MaxChunkBytes + 1);
  auto Parsed = parseDescriptor(Bad, sha256Hex(Bad));
  REQUIRE_FALSE(Parsed);
  CHECK(Parsed.error().Detail.starts_with("chunks[0].size:"));
  std::string Order =
      engineOrderJson({OrderAction::Load, "m", "v", A, {A}, {}});
  CHECK_FALSE(parseEngineOrder(Changed(Order, "/fence", nullptr)));
  CHECK_FALSE(parseEngineOrder(Changed(Order, "/fence/revision", -1)));
  CHECK_FALSE(parseEngineOrder(Changed(Order, "/weights", "short")));
  CHECK_FALSE(parseEngineOrder(Changed(Order, "/chunks/0", "short")));
  std::string Line = generateLineJson({"r", A, false, 3, "text", 0});
  CHECK_FALSE(parseGenerateLine(Changed(Line, "/sequence", 1.5)));
  CHECK_FALSE(parseGenerateLine(Changed(Line, "/end", true))); // no count
  CHECK_FALSE(parseGenerateLine(R"({"request_id":"r")"));
  CHECK_FALSE(parseServiceRun(R"({"operation_id":"o"})"));
}
