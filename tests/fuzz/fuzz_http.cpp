// Bodies and headers of callers' requests.
#include "marigoldyard/protocol/http_api.hpp"

#include <cstdint>
#include <cstdlib>

using namespace marigoldyard;

// The name is given by libFuzzer.
extern "C" int // NOLINTNEXTLINE(readability-identifier-naming)
LLVMFuzzerTestOneInput(const std::uint8_t *Data, std::size_t Size) {
  const std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  for (CompletionKind Kind : {CompletionKind::Text, CompletionKind::Chat}) {
    const auto Request = parseCompletionRequest(Kind, Text);
    if (Request &&
        (Request->MaxTokens == 0 || Request->MaxTokens > MaxTokensLimit))
      std::abort();
  }
  (void)parseOperationRequest(Text);
  (void)parseBearer(Text);
  (void)parseRankHeader(Text);
  // A caller's text must not break the frame of a streamed event: exactly one
  // empty line, at the end.
  const std::string Event = sseChunk({}, Text);
  if (Event.find("\n\n") != Event.size() - 2)
    std::abort();
  return 0;
}
