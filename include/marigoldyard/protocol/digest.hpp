#pragma once

#include "marigoldyard/state/manifest.hpp"
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

/// @brief Digest that identifies a version by its model, name and chunks, for
/// platforms that name none.
/// @param Descriptor the version; its Id is not used
/// @return SHA-256 of the content
/// @complexity linear in the number of chunks
Digest descriptorDigest(const VersionDescriptor &Descriptor);

} // namespace marigoldyard
