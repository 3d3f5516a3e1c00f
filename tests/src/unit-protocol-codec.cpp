#include "marigoldyard/protocol/codec.hpp"
#include "marigoldyard/protocol/digest.hpp"
#include "marigoldyard/protocol/replay_filter.hpp"

#include <chrono>
#include <doctest/doctest.h>
#include <iterator>

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
      ConfigurationOffer{Index},
      ConfigurationRequest{5, {"products/a", "products/b"}},
      ConfigurationValues{Index, {{"products/a", "{}"}}},
      ChunkMap{Weights,
               {true, false, true, true, false, false, true, true, true}},
      ChunkRequest{Weights},
      ChunkData{Weights, {0, 1, 255}},
      ChunkRefused{Weights, 40ms}};
  std::vector<Message> Messages;
  for (Body &Content : Bodies)
    Messages.push_back({typicalHead(), std::move(Content)});
  return Messages;
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
