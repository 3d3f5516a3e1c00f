#pragma once

#include "marigoldyard/coordination/detail/text_hash.hpp"
#include "marigoldyard/state/error.hpp"
#include "marigoldyard/state/types.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marigoldyard {

/// @brief A part of an answer as it arrived. Views stay valid during the call
/// they are passed to.
struct PieceView {
  std::string_view Request;
  std::uint32_t Attempt = 0;
  std::string_view Weights;
  std::uint64_t Sequence = 0; ///< 0, 1, 2, ...
  std::string_view Text;
};

/// @brief The end of an answer as it arrived.
struct StreamEndView {
  std::string_view Request;
  std::uint32_t Attempt = 0;
  std::string_view Weights;
  std::uint64_t Count = 0; ///< number of pieces
  std::optional<std::uint64_t>
      Checksum; ///< XXH3-64 of the text; engines send none
};

/// @brief Why a piece or an end does not belong to the whole answer.
enum class StreamFault : std::uint8_t {
  None,
  OlderAttempt, ///< late piece of a try that was given up
  OtherRequest,
  OtherAttempt,
  OtherWeights,
  Duplicate,
  Gap,
  WrongCount,
  WrongChecksum,
  AfterEnd,
  AfterFault,
  TooLong,
};

/// @brief All stream faults, for generated tests.
inline constexpr StreamFault AllStreamFaults[] = {
    StreamFault::None,          StreamFault::OlderAttempt,
    StreamFault::OtherRequest,  StreamFault::OtherAttempt,
    StreamFault::OtherWeights,  StreamFault::Duplicate,
    StreamFault::Gap,           StreamFault::WrongCount,
    StreamFault::WrongChecksum, StreamFault::AfterEnd,
    StreamFault::AfterFault,    StreamFault::TooLong,
};

/// @brief Name of a stream fault for logs and error details.
/// @param Fault the fault
/// @return a lower-case name with underscores
std::string_view streamFaultName(StreamFault Fault);

/// @brief What to do with a piece or an end.
enum class StreamVerdict : std::uint8_t {
  Accept, ///< the next part of the answer
  Ignore, ///< belongs to a try that was given up; drop and count it
  Fail,   ///< the stream can no longer become the whole answer
};

/// @brief Result of one check.
struct StreamStep {
  StreamVerdict Verdict = StreamVerdict::Accept;
  StreamFault Fault = StreamFault::None;
};

/// @brief Longest answer in bytes; bounds what one stream may hold or send.
inline constexpr std::uint64_t MaxAnswerBytes = 8ULL * 1024 * 1024;

/// @brief Progress of one stream of one try.
///
/// Pieces travel over one connection in order, so a piece out of order shows a
/// fault of the sender or of the connection. Such a stream fails at once
/// instead of holding pieces back: nothing could fill the gap later.
struct StreamState {
  std::string Request;
  std::uint32_t Attempt = 0;
  Digest Weights;
  std::string Peer;       ///< sender, for errors
  std::uint64_t Next = 0; ///< sequence of the next piece
  std::uint64_t Bytes = 0;
  bool Ended = false;
  bool Failed = false;
  detail::TextHash Hash;        ///< of the accepted text
  std::uint64_t Foreign = 0;    ///< accepted pieces that belong elsewhere
  std::uint64_t OutOfPlace = 0; ///< accepted pieces off their sequence
};

/// @brief Starts the check of a try's stream.
/// @param Request id of the request
/// @param Attempt number of the try
/// @param Weights pinned weight digest
/// @param Peer sender of the pieces
/// @return the state before the first piece
/// @complexity constant
StreamState beginStream(std::string Request, std::uint32_t Attempt,
                        Digest Weights, std::string Peer);

/// @brief Checks the next piece and records it when it is accepted.
/// @param State progress of the stream
/// @param Piece the piece
/// @return the verdict; after Fail the stream stays failed
/// @complexity linear in the length of the text
StreamStep checkPiece(StreamState &State, const PieceView &Piece);

/// @brief Checks the end of the stream. Accept means that the accepted pieces
/// are the whole answer.
/// @param State progress of the stream
/// @param End the end
/// @return the verdict; after Fail the stream stays failed
/// @complexity constant
StreamStep checkEnd(StreamState &State, const StreamEndView &End);

/// @brief Checksum of the accepted text, as the agent sends it in its end of
/// stream.
/// @param State progress of the stream
/// @return XXH3-64 of the concatenated text
/// @complexity constant
std::uint64_t streamChecksum(const StreamState &State);

/// @brief Describes a failed check as an error.
/// @param State the stream
/// @param Fault the fault that was found
/// @return an error with code StreamCorrupt, step Stream and the sender
/// @complexity constant
Error streamError(const StreamState &State, StreamFault Fault);

} // namespace marigoldyard
