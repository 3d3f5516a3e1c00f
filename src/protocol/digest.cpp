#include "marigoldyard/protocol/digest.hpp"

#include <algorithm>
#include <openssl/evp.h>
#include <stdexcept>

namespace marigoldyard {

Digest sha256Hex(std::span<const std::uint8_t> Bytes) {
  static constexpr char Digits[] = "0123456789abcdef";
  unsigned char Hash[EVP_MAX_MD_SIZE];
  unsigned int Size = 0;
  if (EVP_Digest(Bytes.data(), Bytes.size(), Hash, &Size, EVP_sha256(),
                 nullptr) != 1)
    throw std::runtime_error("SHA-256 is not available");
  Digest Text;
  Text.reserve(2UL * Size);
  for (unsigned int I = 0; I < Size; ++I) {
    Text += Digits[Hash[I] >> 4];
    Text += Digits[Hash[I] & 0xF];
  }
  return Text;
}

Digest sha256Hex(std::string_view Text) {
  return sha256Hex(std::span(
      reinterpret_cast<const std::uint8_t *>(Text.data()), Text.size()));
}

bool isDigest(std::string_view Text) {
  return Text.size() == 64 && std::all_of(Text.begin(), Text.end(), [](char C) {
           return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'f');
         });
}

Digest descriptorDigest(const VersionDescriptor &Descriptor) {
  std::string Content = Descriptor.Model + "\n" + Descriptor.Version;
  for (const Chunk &Each : Descriptor.Chunks)
    Content += "\n" + Each.Id;
  return sha256Hex(Content);
}

} // namespace marigoldyard
