#include "marigoldyard/protocol/codec.hpp"
#include "marigoldyard/protocol/detail/message_mac.hpp"
#include "marigoldyard/protocol/digest.hpp"
#include "marigoldyard/protocol/replay_filter.hpp"

#include <doctest/doctest.h>
#include <iterator>
#include <random>

using namespace marigoldyard;
using namespace std::chrono_literals;

namespace {

const KeyRing Ring{{{"k1", "first secret"}}};
const Digest Weights = sha256Hex(std::string_view("weights"));

Header typicalHead() {
  return {"agent-127", 0x6A5B4C3D12345678,        "entry-3", 123'456,
          5'300,       {1'790'000'000'000'000, 3}};
}

LoadReport typicalLoad() {
  LoadReport Load;
  Load.QueuedTokens[0] = 120;
  Load.QueuedTokens[1] = 4'000;
  Load.QueuedTokens[2] = 70'000;
  Load.Running = 7;
  Load.Slots = 8;
  Load.TokensPerSecond = 3'900;
  Load.Ready = true;
  Load.ReadyWeights = {Weights};
  return Load;
}

/// Messages between processes on the users' platform.
std::vector<Body> platformBodies() {
  return {GatewayStatus{{"10.0.0.1", "10.0.0.1", MemberKind::Entry, "dar",
                         "dar-a", "", false},
                        "10.0.0.1:80",
                        true,
                        false,
                        {2, 412},
                        17,
                        {{"model", 3}},
                        {"10.0.0.2", "10.0.0.3"}},
          EngineStatus{{"10.0.0.4", "10.0.0.4", MemberKind::Endpoint, "dar",
                        "dar-a", "", false},
                       "10.0.0.4:90",
                       1'790'000'000'000,
                       false,
                       17,
                       {{"model", 3}, {"other", 1}}},
          StoreRelayRequest{{2, 411}, "op/"},
          StoreRelay{{{"op/a", std::string("\x00\xFF{}", 4), 412, false},
                      {"servers/i", "", 413, true, 2}},
                     {2, 413},
                     {{1, 3}, {2, 400}}},
          DescriptorRequest{"model", 2},
          DescriptorReply{"model", 2, 32768, {Weights, Weights}},
          PoolQuestion{{"10.0.0.4", "10.0.0.4", MemberKind::Endpoint, "dar",
                        "dar-a", "", false},
                       "drafting"},
          PoolAnswer{{"drafting",
                      19,
                      "10.0.0.9:8006",
                      "dar-a",
                      {"model", "other"},
                      true,
                      {{"10.0.0.4:90", "dar"}, {"10.0.0.5:90", "arusha"}},
                      {{"model", 3}}}},
          VersionDeclarations{{{"model", 3, std::chrono::milliseconds(250)}}},
          PromptPartReport{"10.0.0.4:90",
                           {"5c1e07a2", "91bd3f06"},
                           {"e4402b7d"},
                           {"0000000a", "0000000b"}},
          VersionQuestion{0xFEDCBA9876543210},
          VersionAnswer{0xFEDCBA9876543210,
                        true,
                        {{"model", 3, std::chrono::milliseconds(250)}},
                        {{"model", 2}}},
          OutageQuestion{0xFEDCBA9876543210, "model", 3},
          OutageAnswer{0xFEDCBA9876543210, std::chrono::milliseconds(250)},
          CrashedRequestReport{CrashReportKind::Answer,
                               0xFEDCBA9876543210,
                               {{Weights,
                                 true,
                                 1,
                                 {{"i-1@17", "10.0.0.4:90", 350ms, 250ms}},
                                 {"i-2@18"}}}}};
}

/// One message of each type, with every member set.
std::vector<Message> allMessages() {
  TryId Id{"request-1", 2};
  ConfigurationIndex Index{5, {{"products/a", Weights}}};
  std::vector<Body> Bodies{
      Work{Id, "product", "caller", Rank::Standard, Weights, "prompt", 64, 80,
           1500ms},
      WorkAccepted{Id},
      WorkRefused{Id, ErrorCode::QueueFull, 250ms},
      Piece{Id, Weights, 17, "text \xC3\xA9"},
      StreamEnd{Id, Weights, 18, 0xFEDCBA9876543210},
      WorkFailed{Id, ErrorCode::EndpointFailed, Step::Generate},
      CancelWork{Id},
      OperationOpen{"request-2", "service", "caller"},
      OperationOpened{"request-2", "agent.1.2", ErrorCode::NotReady},
      OperationRun{"request-2", "agent.1.2", "caller", "body", 900ms},
      OperationResult{"request-2", "agent.1.2", Outcome::Complete, 200, "{}",
                      ErrorCode::OperationUnknown},
      Report{typicalLoad()},
      ConfigurationOffer{Index, 250ms},
      ConfigurationRequest{5, {"products/a", "products/b"}},
      ConfigurationValues{Index, {{"products/a", "{}"}}},
      ChunkMap{Weights,
               {true, false, true, true, false, false, true, true, true},
               false,
               true},
      ChunkRequest{Weights},
      ChunkData{Weights, {0, 1, 255}},
      ChunkRefused{Weights, 40ms},
      Hello{{"agent-127", "127.0.2.7", MemberKind::Endpoint, "dar", "dar-a",
             "drafting", true}}};
  for (Body &Content : platformBodies())
    Bodies.push_back(std::move(Content));
  std::vector<Message> Messages;
  Messages.reserve(Bodies.size());
  for (Body &Content : Bodies)
    Messages.push_back({typicalHead(), std::move(Content)});
  return Messages;
}

/// A message with a valid MAC around any payload, as a faulty peer with the key
/// could send it.
std::vector<std::uint8_t>
signedPayload(const std::vector<std::uint8_t> &Payload) {
  std::vector<std::uint8_t> Bytes{1, 2, 'k', '1'};
  Bytes.reserve(Payload.size() + Bytes.size() + MacBytes);
  Bytes.insert(Bytes.end(), Payload.begin(), Payload.end());
  auto Code = detail::messageMac("first secret", Bytes);
  Bytes.insert(Bytes.end(), Code.begin(), Code.begin() + MacBytes);
  return Bytes;
}

std::vector<std::uint8_t> payloadOf(const Message &Content) {
  auto Bytes = encodeMessage(Content, Ring);
  return {Bytes.begin() + 4, Bytes.end() - MacBytes};
}

bool isError(std::span<const std::uint8_t> Bytes, ErrorCode Code) {
  auto Decoded = decodeMessage(Bytes, Ring);
  return !Decoded && Decoded.error().Code == Code;
}

} // namespace

TEST_CASE("every message type survives the wire, so that no field is lost") {
  auto Messages = allMessages();
  REQUIRE(Messages.size() == std::variant_size_v<Body>);
  for (std::size_t I = 0; I < Messages.size(); ++I) {
    REQUIRE(Messages[I].Content.index() == I);
    auto Bytes = encodeMessage(Messages[I], Ring);
    auto Decoded = decodeMessage(Bytes, Ring);
    REQUIRE_MESSAGE(Decoded, "type " << I);
    CHECK(Decoded->Head.Sender == "agent-127");
    CHECK(Decoded->Head.Receiver == "entry-3");
    CHECK(Decoded->Head.SenderIncarnation == 0x6A5B4C3D12345678);
    // Equal bytes show equal fields, since each field is written.
    CHECK(encodeMessage(*Decoded, Ring) == Bytes);
  }
}

TEST_CASE("a report stays within 120 bytes, so that control traffic stays "
          "within its budget") {
  auto Bytes = encodeMessage({typicalHead(), Report{typicalLoad()}}, Ring);
  CHECK(Bytes.size() <= 120);
}

TEST_CASE("HMAC-SHA-256 matches RFC 4231, so that other releases agree") {
  std::string Secret(20, '\x0b'), Text = "Hi There";
  auto Code = detail::messageMac(
      Secret, {reinterpret_cast<const std::uint8_t *>(Text.data()), 8});
  const std::uint8_t Expected[] = {0xb0, 0x34, 0x4c, 0x61};
  CHECK(std::equal(std::begin(Expected), std::end(Expected), Code.begin()));
  CHECK(sha256Hex(std::string_view("abc")).substr(0, 16) == "ba7816bf8f01cfea");
}

TEST_CASE("any changed bit is refused, so that nobody alters a message") {
  auto Bytes = encodeMessage(allMessages()[0], Ring);
  for (std::size_t Bit = 0; Bit < Bytes.size() * 8; ++Bit) {
    auto Changed = Bytes;
    Changed[Bit / 8] ^= static_cast<std::uint8_t>(1U << (Bit % 8));
    CHECK_FALSE(decodeMessage(Changed, Ring));
  }
}

TEST_CASE("only known keys verify, and all of them, so that keys rotate") {
  Message Content = allMessages()[0];
  KeyRing Old = Ring, Both{{{"k2", "second"}, {"k1", "first secret"}}},
          New{{{"k2", "second"}}}, Wrong{{{"k1", "other"}}};
  CHECK(decodeMessage(encodeMessage(Content, Old), Both));
  CHECK(decodeMessage(encodeMessage(Content, Both), New));
  CHECK(isError(encodeMessage(Content, New), ErrorCode::Unauthenticated));
  CHECK(isError(encodeMessage(Content, Wrong), ErrorCode::Unauthenticated));
  CHECK_FALSE(decodeMessage(encodeMessage(Content, Old), KeyRing{}));
  CHECK_THROWS(encodeMessage(Content, KeyRing{}));
}

TEST_CASE("truncated messages are refused at every length") {
  for (const Message &Content : allMessages()) {
    auto Bytes = encodeMessage(Content, Ring);
    auto Payload = payloadOf(Content);
    for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
      CHECK_FALSE(decodeMessage(std::span(Bytes).first(Size), Ring));
    for (std::size_t Size = 0; Size < Payload.size(); ++Size)
      CHECK(isError(signedPayload({Payload.begin(),
                                   Payload.begin() + std::ptrdiff_t(Size)}),
                    ErrorCode::InvalidMessage));
    Payload.push_back(0xC0);
    CHECK(isError(signedPayload(Payload), ErrorCode::InvalidMessage));
  }
}

TEST_CASE("hostile sizes and nesting neither exhaust memory nor the stack") {
  using Bytes = std::vector<std::uint8_t>;
  for (const Bytes &Payload :
       {Bytes(5'000'000, 0x91),                 // nested arrays
        Bytes{0xDD, 0xFF, 0xFF, 0xFF, 0xFF},    // array of 2^32-1 elements
        Bytes{0xC6, 0xFF, 0xFF, 0xFF, 0xFF, 1}, // 4 GiB of bytes
        Bytes{0xDB, 0xFF, 0xFF, 0xFF, 0xFF, 1}, // text of 4 GiB
        Bytes{0xDF, 0xFF, 0xFF, 0xFF, 0xFF},    // map
        Bytes{0x91, 0xCC, 200},                 // unknown type
        Bytes{0x91, 0xFF},                      // negative type
        Bytes{0x90}, Bytes{0xC0}, Bytes{}, Bytes{0x05}})
    CHECK(isError(signedPayload(Payload), ErrorCode::InvalidMessage));
}

TEST_CASE("values outside an enumeration or a digest's form are refused") {
  Message Content{typicalHead(), Work{}};
  auto &Part = std::get<Work>(Content.Content);
  CHECK(decodeMessage(encodeMessage(Content, Ring), Ring));
  Part.Priority = static_cast<Rank>(RankCount);
  CHECK(isError(encodeMessage(Content, Ring), ErrorCode::InvalidMessage));
  Part.Priority = Rank::Urgent;
  Part.Weights = "not a digest";
  CHECK(isError(encodeMessage(Content, Ring), ErrorCode::InvalidMessage));
  Part.Weights.clear();
  Part.TimeLeft = std::chrono::milliseconds::max();
  CHECK(isError(encodeMessage(Content, Ring), ErrorCode::InvalidMessage));
}

TEST_CASE("random changes to signed payloads are errors, never exceptions") {
  std::mt19937_64 Random(20261204);
  auto Messages = allMessages();
  std::size_t Refused = 0;
  for (int I = 0; I < 20'000; ++I) {
    auto Payload = payloadOf(Messages[Random() % Messages.size()]);
    for (auto Changes = 1 + Random() % 4; Changes > 0; --Changes)
      Payload[Random() % Payload.size()] = static_cast<std::uint8_t>(Random());
    auto Decoded = decodeMessage(signedPayload(Payload), Ring);
    Refused += Decoded ? 0 : 1;
  }
  CHECK(Refused > 0);
}

TEST_CASE("replays, late and outdated messages are dropped") {
  ReplayFilter Filter(2);
  auto Check = [&](const char *Sender, Incarnation Number,
                   std::uint64_t Sequence) {
    Header Head;
    Head.Sender = Sender;
    Head.SenderIncarnation = Number;
    Head.Sequence = Sequence;
    return Filter.check(Head);
  };
  CHECK(Check("a", 5, 10) == ReplayVerdict::Accepted);
  CHECK(Check("a", 5, 10) == ReplayVerdict::RepeatedSequence);
  CHECK(Check("a", 5, 9) == ReplayVerdict::RepeatedSequence);
  CHECK(Check("a", 5, 12) == ReplayVerdict::Accepted);
  // A restarted process begins at 1 again; its earlier self is refused.
  CHECK(Check("a", 6, 1) == ReplayVerdict::Accepted);
  CHECK(Check("a", 5, 13) == ReplayVerdict::OlderIncarnation);
  CHECK(Check("b", 1, 1) == ReplayVerdict::Accepted);
  CHECK(Check("a", 6, 2) == ReplayVerdict::Accepted);
  // The table is bounded and forgets the sender that was silent for longest.
  CHECK(Check("c", 1, 1) == ReplayVerdict::Accepted);
  CHECK(Filter.size() == 2);
  CHECK(Check("a", 6, 2) == ReplayVerdict::RepeatedSequence);
}
