// Manifest and product values from the configuration service.
#include "marigoldyard/protocol/manifest_json.hpp"

#include <cstdint>
#include <cstdlib>

using namespace marigoldyard;

// The name is given by libFuzzer.
extern "C" int // NOLINTNEXTLINE(readability-identifier-naming)
LLVMFuzzerTestOneInput(const std::uint8_t *Data, std::size_t Size) {
  const std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  const Checked<Manifest> Whole = parseManifest(Text);
  if (Whole.Value.has_value() != Whole.Faults.empty())
    std::abort();
  // A checked manifest survives its own text and can be published.
  if (Whole.Value) {
    if (parseManifest(manifestText(*Whole.Value)).Value != Whole.Value)
      std::abort();
    if (!parseIndex(splitManifest(*Whole.Value).Index, "service"))
      std::abort();
  }
  const Checked<Product> One = parseProduct(Text);
  if (One.Value && parseProduct(productText(*One.Value)).Value != One.Value)
    std::abort();
  return 0;
}
