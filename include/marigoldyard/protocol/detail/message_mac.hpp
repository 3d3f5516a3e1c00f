#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <string>

namespace marigoldyard::detail {

/// @brief HMAC-SHA-256 of bytes.
///
/// Each thread keeps a few prepared contexts: preparing one costs five times as
/// much as the code of a short message.
/// @param Secret the key; may be empty
/// @param Bytes the content
/// @return the code
/// @throws std::runtime_error when the cryptographic library fails
/// @complexity linear in the number of bytes
std::array<std::uint8_t, 32> messageMac(const std::string &Secret,
                                        std::span<const std::uint8_t> Bytes);

} // namespace marigoldyard::detail
