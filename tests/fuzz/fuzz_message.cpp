// Message bytes from a peer. Most inputs would fail at the MAC, so the input is
// also signed and decoded as the payload of a peer that has the key.
#include "marigoldyard/protocol/codec.hpp"
#include "marigoldyard/protocol/detail/message_mac.hpp"

#include <cstdlib>

using namespace marigoldyard;

// The name is given by libFuzzer.
extern "C" int // NOLINTNEXTLINE(readability-identifier-naming)
LLVMFuzzerTestOneInput(const std::uint8_t *Data, std::size_t Size) {
  static const KeyRing Ring{{{"k1", "fuzzing secret"}}};
  const std::span<const std::uint8_t> Input(Data, Size);
  (void)decodeMessage(Input, Ring);

  std::vector<std::uint8_t> Bytes{1, 2, 'k', '1'};
  Bytes.insert(Bytes.end(), Input.begin(), Input.end());
  const auto Code = detail::messageMac("fuzzing secret", Bytes);
  Bytes.insert(Bytes.end(), Code.begin(), Code.begin() + MacBytes);
  const auto Decoded = decodeMessage(Bytes, Ring);
  // What was accepted can be written and read again.
  if (Decoded && !decodeMessage(encodeMessage(*Decoded, Ring), Ring))
    std::abort();
  return 0;
}
