#include "marigoldyard/protocol/detail/message_mac.hpp"

#include <memory>
#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>
#include <stdexcept>
#include <vector>

namespace marigoldyard::detail {

namespace {

/// Contexts that a thread keeps; a process has one key, and two during a
/// rotation.
constexpr std::size_t MaxPrepared = 4;

struct FreeContext {
  void operator()(EVP_MAC_CTX *Context) const { EVP_MAC_CTX_free(Context); }
};

struct Prepared {
  std::string Secret;
  std::unique_ptr<EVP_MAC_CTX, FreeContext> Context;
};

void require(bool Holds) {
  if (!Holds)
    throw std::runtime_error("HMAC-SHA-256 is not available");
}

const unsigned char *keyBytes(const std::string &Secret) {
  // data() is not null even for an empty secret, which would mean "same key".
  return reinterpret_cast<const unsigned char *>(Secret.data());
}

Prepared prepare(const std::string &Secret) {
  static EVP_MAC *const Algorithm = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
  require(Algorithm != nullptr);
  char Hash[] = "SHA256";
  OSSL_PARAM Parameters[] = {
      OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, Hash, 0),
      OSSL_PARAM_construct_end()};
  Prepared Result{Secret, std::unique_ptr<EVP_MAC_CTX, FreeContext>(
                              EVP_MAC_CTX_new(Algorithm))};
  require(Result.Context && EVP_MAC_init(Result.Context.get(), keyBytes(Secret),
                                         Secret.size(), Parameters) == 1);
  return Result;
}

EVP_MAC_CTX *contextOf(const std::string &Secret) {
  thread_local std::vector<Prepared> Known;
  for (Prepared &Entry : Known)
    if (Entry.Secret == Secret)
      return Entry.Context.get();
  if (Known.size() >= MaxPrepared)
    Known.erase(Known.begin());
  return Known.emplace_back(prepare(Secret)).Context.get();
}

} // namespace

std::array<std::uint8_t, 32> messageMac(const std::string &Secret,
                                        std::span<const std::uint8_t> Bytes) {
  std::array<std::uint8_t, 32> Code{};
  std::size_t Size = 0;
  EVP_MAC_CTX *Context = contextOf(Secret);
  // Without a key the context starts again with the one it has.
  require(EVP_MAC_init(Context, nullptr, 0, nullptr) == 1 &&
          EVP_MAC_update(Context, Bytes.data(), Bytes.size()) == 1 &&
          EVP_MAC_final(Context, Code.data(), &Size, Code.size()) == 1 &&
          Size == Code.size());
  return Code;
}

bool macMatches(const std::string &Secret, std::span<const std::uint8_t> Bytes,
                std::span<const std::uint8_t> Received) {
  const auto Expected = messageMac(Secret, Bytes);
  return Received.size() <= Expected.size() &&
         CRYPTO_memcmp(Expected.data(), Received.data(), Received.size()) == 0;
}

} // namespace marigoldyard::detail
