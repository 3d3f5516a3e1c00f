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

/// @brief Compares a received code, which may be truncated, in constant time.
/// @param Secret the key; may be empty
/// @param Bytes the content
/// @param Received the code, at most 32 bytes
/// @return whether it is the code of the content
/// @throws std::runtime_error when the cryptographic library fails
/// @complexity linear in the number of bytes
bool macMatches(const std::string &Secret, std::span<const std::uint8_t> Bytes,
                std::span<const std::uint8_t> Received);

} // namespace marigoldyard::detail
