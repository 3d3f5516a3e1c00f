#pragma once

#include "marigoldyard/protocol/message.hpp"
#include "marigoldyard/state/error.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace marigoldyard {

/// @brief Longest key id in bytes.
inline constexpr std::size_t MaxKeyIdBytes = 64;

/// @brief Bytes of the message authentication code: HMAC-SHA-256 truncated to
/// 128 bits, the shortest length that RFC 2104 recommends, so that a report
/// stays below 120 bytes.
inline constexpr std::size_t MacBytes = 16;

/// @brief A secret that processes of a fleet share.
struct Key {
  std::string Id; ///< at most MaxKeyIdBytes bytes
  std::string Secret;
};

/// @brief Keys of a process. The first signs and all verify, so that keys can
/// be rotated without a restart.
struct KeyRing {
  std::vector<Key> Keys;
};

/// @brief Encodes and signs a message.
/// @param Content the message; every Digest must be empty or 64 lower-case
/// hexadecimal digits, otherwise receivers refuse it
/// @param Keys at least one key
/// @return the bytes on the wire
/// @throws std::invalid_argument when there is no key or its id is too long
/// @complexity linear in the size of the message
std::vector<std::uint8_t> encodeMessage(const Message &Content,
                                        const KeyRing &Keys);

/// @brief Verifies and decodes a message. The MAC is checked before anything
/// is parsed.
/// @param Bytes the bytes on the wire
/// @param Keys keys that are accepted
/// @return the message; ErrorCode::Unauthenticated for an unknown key id or a
/// wrong MAC, ErrorCode::InvalidMessage for malformed content. Nothing is
/// thrown for any input.
/// @complexity linear in the number of bytes; memory is at most a constant
/// multiple of it
Expected<Message> decodeMessage(std::span<const std::uint8_t> Bytes,
                                const KeyRing &Keys);

} // namespace marigoldyard
