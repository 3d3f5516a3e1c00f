#pragma once

#include "marigoldyard/state/types.hpp"

#include <string_view>

namespace marigoldyard {

/// @brief SHA-256 of bytes.
/// @param Bytes the bytes
/// @return 64 lower-case hexadecimal digits
/// @complexity linear in the number of bytes
Digest sha256(std::string_view Bytes);

} // namespace marigoldyard
