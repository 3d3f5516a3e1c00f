// Answers of the platform: VM list, store, engine and plain service.
#include "marigoldyard/protocol/digest.hpp"
#include "marigoldyard/protocol/platform_api.hpp"

#include <cstdlib>

using namespace marigoldyard;

// The name is given by libFuzzer.
extern "C" int // NOLINTNEXTLINE(readability-identifier-naming)
LLVMFuzzerTestOneInput(const std::uint8_t *Data, std::size_t Size) {
  const std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  const auto Members = parseVmList(Text);
  if (Members &&
      (Members->size() > MaxVms || !parseVmList(vmListJson(*Members))))
    std::abort();
  const auto Descriptor = parseDescriptor(Text, sha256Hex(Text));
  if (Descriptor && Descriptor->Chunks.size() > MaxChunks)
    std::abort();
  const auto Order = parseEngineOrder(Text);
  if (Order && !parseEngineOrder(engineOrderJson(*Order)))
    std::abort();
  const auto Line = parseGenerateLine(Text);
  if (Line && !parseGenerateLine(generateLineJson(*Line)))
    std::abort();
  (void)parseEngineState(Text);
  (void)parseGenerateRequest(Text);
  (void)parseCancel(Text);
  (void)parseEngineLoad(Text);
  (void)parseServiceRun(Text);
  return 0;
}
