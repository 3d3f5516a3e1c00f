#pragma once

#include "marigoldyard/state/types.hpp"

#include <cstdint>
#include <span>
#include <string_view>

namespace marigoldyard {

/// @brief SHA-256 of bytes.
/// @param Bytes the content
/// @return 64 lower-case hexadecimal digits
/// @complexity linear in the number of bytes
Digest sha256Hex(std::span<const std::uint8_t> Bytes);

/// @brief SHA-256 of a text.
/// @param Text the content
/// @return 64 lower-case hexadecimal digits
/// @complexity linear in the length of the text
Digest sha256Hex(std::string_view Text);

/// @brief Whether a text has the form of a digest.
/// @param Text the text
/// @return true for exactly 64 lower-case hexadecimal digits
/// @complexity constant
bool isDigest(std::string_view Text);

} // namespace marigoldyard
