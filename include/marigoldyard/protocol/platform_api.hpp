#pragma once

#include "marigoldyard/state/error.hpp"
#include "marigoldyard/state/manifest.hpp"
#include "marigoldyard/state/types.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldyard {

// All parsers return ErrorCode::InvalidMessage with the member and what it must
// be, ignore members they do not know, throw nothing, and are linear in the
// length of the text.

/// @brief Most VMs in the platform's list.
inline constexpr std::size_t MaxVms = 16'384;
/// @brief Most chunks of a version.
inline constexpr std::size_t MaxChunks = 65'536;
/// @brief Largest chunk in bytes.
inline constexpr std::uint64_t MaxChunkBytes = 64UL << 20;
/// @brief Most models that an engine may report as loaded.
inline constexpr std::size_t MaxLoadedModels = 1024;

/// @brief Parses the answer to GET /vms.
/// @param Text the body
/// @return the members; names are unique
Expected<std::vector<Member>> parseVmList(std::string_view Text);
/// @brief Text of the answer to GET /vms.
std::string vmListJson(const std::vector<Member> &Members);

/// @brief Parses a version descriptor and checks its digest.
/// @param Text the body as received
/// @param Id expected SHA-256 of the text
/// @return the descriptor; ErrorCode::ChunkCorrupt when the digest differs
Expected<VersionDescriptor> parseDescriptor(std::string_view Text,
                                            const Digest &Id);
/// @brief Text of a descriptor; its SHA-256 is the descriptor's digest. The
/// member Id is not part of it.
std::string descriptorJson(const VersionDescriptor &Descriptor);

/// @brief What an order tells an engine to do.
enum class OrderAction : std::uint8_t { Load, Unload };

/// @brief Body of POST /orders.
struct EngineOrder {
  OrderAction Action = OrderAction::Load;
  std::string Model;
  std::string Version;
  Digest Weights;
  std::vector<Digest> Chunks; ///< in the order of the descriptor
  Fence Number;

  friend bool operator==(const EngineOrder &, const EngineOrder &) = default;
};

/// @brief Text of an order.
std::string engineOrderJson(const EngineOrder &Order);
/// @brief Parses an order.
Expected<EngineOrder> parseEngineOrder(std::string_view Text);

/// @brief One model that an engine runs.
struct LoadedModel {
  std::string Model;
  std::string Version;
  Digest Weights;

  friend bool operator==(const LoadedModel &, const LoadedModel &) = default;
};

/// @brief Parses the answer to GET /state of an engine.
Expected<std::vector<LoadedModel>> parseEngineState(std::string_view Text);
/// @brief Text of the answer to GET /state with only the member "loaded".
std::string engineStateJson(const std::vector<LoadedModel> &Loaded);

/// @brief Body of POST /generate.
struct GenerateRequest {
  std::string Request;
  Digest Weights;
  std::string Prompt;
  std::uint32_t MaxTokens = 0;
  Rank Priority = Rank::Batch; ///< on the wire 0 is the most urgent

  friend bool operator==(const GenerateRequest &,
                         const GenerateRequest &) = default;
};

/// @brief Text of a generate request.
std::string generateRequestJson(const GenerateRequest &Request);
/// @brief Parses a generate request.
Expected<GenerateRequest> parseGenerateRequest(std::string_view Text);

/// @brief One line of the answer to POST /generate.
struct GenerateLine {
  std::string Request;
  Digest Weights;
  bool End = false;           ///< the last line
  std::uint64_t Sequence = 0; ///< of a piece: 0, 1, 2, ...
  std::string Text;           ///< of a piece
  std::uint64_t Count = 0;    ///< of the last line: number of pieces

  friend bool operator==(const GenerateLine &, const GenerateLine &) = default;
};

/// @brief Text of a line without its end.
std::string generateLineJson(const GenerateLine &Line);
/// @brief Parses a line.
Expected<GenerateLine> parseGenerateLine(std::string_view Text);

/// @brief Body of POST /cancel of an engine.
std::string cancelJson(std::string_view Request);
/// @brief Parses the body of POST /cancel.
/// @return the request id
Expected<std::string> parseCancel(std::string_view Text);

/// @brief Answer to GET /load of an engine.
struct EngineLoad {
  std::uint32_t Running = 0;
  std::uint32_t Slots = 0;
  std::uint32_t TokensPerSecond = 0;

  friend bool operator==(const EngineLoad &, const EngineLoad &) = default;
};

/// @brief Text of an engine's load.
std::string engineLoadJson(const EngineLoad &Load);
/// @brief Parses an engine's load; absent members are 0.
Expected<EngineLoad> parseEngineLoad(std::string_view Text);

/// @brief Body of POST /run of a plain service.
struct ServiceRun {
  std::string Operation;
  std::string Body;

  friend bool operator==(const ServiceRun &, const ServiceRun &) = default;
};

/// @brief Text of a run. A body that is JSON is passed on as JSON, any other as
/// a text.
std::string serviceRunJson(const ServiceRun &Run);
/// @brief Parses a run. A body that is JSON comes back in compact form.
Expected<ServiceRun> parseServiceRun(std::string_view Text);

} // namespace marigoldyard
