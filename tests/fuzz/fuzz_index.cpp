// The index from the configuration service, and settings files.
#include "marigoldyard/protocol/manifest_json.hpp"
#include "marigoldyard/protocol/settings.hpp"

#include <cstdint>
#include <cstdlib>

using namespace marigoldyard;

// The name is given by libFuzzer.
extern "C" int // NOLINTNEXTLINE(readability-identifier-naming)
LLVMFuzzerTestOneInput(const std::uint8_t *Data, std::size_t Size) {
  const std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  const auto Index = parseIndex(Text, "service");
  if (Index && Index->ConfigRevision == 0)
    std::abort(); // 0 means that no configuration is in force
  (void)parseEntrySettings(Text);
  (void)parseAgentSettings(Text);
  return 0;
}
