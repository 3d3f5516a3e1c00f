#include "marigoldyard/protocol/digest.hpp"

#include <openssl/sha.h>

namespace marigoldyard {

Digest sha256(std::string_view Bytes) {
  constexpr char Digits[] = "0123456789abcdef";
  unsigned char Hash[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char *>(Bytes.data()), Bytes.size(),
         Hash);
  Digest Text;
  Text.reserve(std::size_t(2) * SHA256_DIGEST_LENGTH);
  for (const unsigned char Byte : Hash) {
    Text += Digits[Byte >> 4U];
    Text += Digits[Byte & 0xFU];
  }
  return Text;
}

} // namespace marigoldyard
