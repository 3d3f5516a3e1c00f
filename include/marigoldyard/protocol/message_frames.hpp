#pragma once

#include "marigoldyard/protocol/codec.hpp"
#include "marigoldyard/state/error.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace marigoldyard {

/// @brief Largest unit on the wire between processes. A receiver sets aside as
/// much for a connection before it has seen any key on it.
inline constexpr std::size_t MaxFrameBytes = 16UL << 10;

/// @brief Splits an encoded message into frames. One that fits into a frame
/// stays as it is. The first of several frames is signed, so that only a
/// process with a key makes the receiver keep the others.
/// @param Bytes an encoded message, of less than 4 GB
/// @param Keys at least one key
/// @return the frames in the order in which they are to be sent on one
/// connection
/// @complexity linear in the number of bytes
std::vector<std::vector<std::uint8_t>>
splitMessage(std::vector<std::uint8_t> Bytes, const KeyRing &Keys);

/// @brief Whether bytes are a frame of a split message, by their first byte.
bool isFrame(std::span<const std::uint8_t> Bytes);

/// @brief Messages of which some frames have arrived, by connection.
struct FrameAssembly {
  struct Message {
    std::vector<std::uint8_t> Bytes;
    std::size_t Total = 0; ///< size of the whole message
  };

  std::size_t MaxMessageBytes = 0;
  /// Limit on what is kept for all connections.
  std::size_t MaxBytes = 0;
  std::size_t Bytes = 0; ///< sum of the announced sizes
  std::unordered_map<std::uint32_t, Message> Messages;
};

/// @brief Adds a frame.
/// @param State frames so far
/// @param Connection number of the connection on which the frame arrived
/// @param Frame bytes for which isFrame() holds
/// @param Keys keys that are accepted
/// @return the encoded message when it is whole, otherwise empty;
/// ErrorCode::Unauthenticated for a first frame that no key has signed,
/// ErrorCode::InvalidMessage for one that exceeds a limit or follows none.
/// What was kept for the connection is dropped after an error.
/// @complexity linear in the size of the frame
Expected<std::optional<std::vector<std::uint8_t>>>
addFrame(FrameAssembly &State, std::uint32_t Connection,
         std::span<const std::uint8_t> Frame, const KeyRing &Keys);

/// @brief Drops what is kept for a connection.
/// @param Connection an unknown one has no effect
void dropFrames(FrameAssembly &State, std::uint32_t Connection);

} // namespace marigoldyard
