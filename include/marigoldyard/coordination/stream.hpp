#pragma once

#include "marigoldyard/coordination/detail/text_hash.hpp"
#include "marigoldyard/state/error.hpp"
#include "marigoldyard/state/types.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marigoldyard {

/// @brief A received piece of an answer. The views need to be valid only during
/// the call that they are passed to.
struct PieceView {
  std::string_view Request;
  std::uint32_t Attempt = 0;
  std::string_view Weights;
  std::uint64_t Sequence = 0; ///< consecutive, from 0
  std::string_view Text;
};

/// @brief A received end-of-stream marker.
struct StreamEndView {
  std::string_view Request;
  std::uint32_t Attempt = 0;
  std::string_view Weights;
  std::uint64_t Count = 0; ///< number of pieces sent
  std::optional<std::uint64_t>
      Checksum; ///< XXH3-64 of the text; empty from engines
};

/// @brief Why a piece or an end of stream is not a valid part of the answer.
enum class StreamFault : std::uint8_t {
  None,
  OlderAttempt, ///< delayed piece of an abandoned attempt
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

/// @brief All stream faults, for property-based tests.
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
/// @return the name in snake_case
std::string_view streamFaultName(StreamFault Fault);

/// @brief How to handle a piece or an end of stream.
enum class StreamVerdict : std::uint8_t {
  Accept, ///< it continues or completes the answer
  Ignore, ///< it belongs to an abandoned attempt; drop and count it
  Fail,   ///< the stream can no longer become complete
};

/// @brief Result of checking a piece or an end of stream.
struct StreamCheckResult {
  StreamVerdict Verdict = StreamVerdict::Accept;
  StreamFault Fault = StreamFault::None;
};

/// @brief Maximum length of an answer in bytes. It bounds the memory and the
/// traffic of one stream.
inline constexpr std::uint64_t MaxAnswerBytes = 8ULL * 1024 * 1024;

/// @brief Progress of the stream of one attempt.
///
/// All pieces of a stream arrive in order over one connection, so a piece out
/// of order indicates a fault of the sender or of the connection. The stream
/// then fails immediately instead of buffering pieces, because a missing piece
/// cannot arrive later.
struct StreamState {
  std::string Request;
  std::uint32_t Attempt = 0;
  Digest Weights;
  std::string Peer;               ///< sender, reported in errors
  std::uint64_t NextSequence = 0; ///< expected sequence of the next piece
  std::uint64_t AcceptedBytes = 0;
  bool Ended = false;
  bool Failed = false;
  detail::TextHash Hash; ///< running hash of the accepted text
  std::uint64_t MisroutedPieces =
      0; ///< accepted from another request or attempt
  std::uint64_t OutOfOrderPieces = 0; ///< accepted with an unexpected sequence
};

/// @brief Creates the state to check the stream of an attempt.
/// @param Request id of the request
/// @param Attempt number of the attempt
/// @param Weights digest of the weights that the request is pinned to
/// @param Peer sender of the pieces
/// @return the state before the first piece
/// @complexity constant
StreamState makeStreamState(std::string Request, std::uint32_t Attempt,
                            Digest Weights, std::string Peer);

/// @brief Checks a piece and, if it is accepted, adds it to the stream.
/// @param State progress of the stream
/// @param Piece the received piece
/// @return the verdict; after Fail, the stream remains failed
/// @complexity linear in the length of the text
StreamCheckResult checkPiece(StreamState &State, const PieceView &Piece);

/// @brief Checks the end of the stream. Accept means that the accepted pieces
/// form the complete answer.
/// @param State progress of the stream
/// @param End the received end of stream
/// @return the verdict; after Fail, the stream remains failed
/// @complexity constant
StreamCheckResult checkEnd(StreamState &State, const StreamEndView &End);

/// @brief Returns the checksum of the accepted text that the agent sends with
/// the end of stream.
/// @param State progress of the stream
/// @return XXH3-64 of the concatenated text
/// @complexity constant
std::uint64_t streamChecksum(const StreamState &State);

/// @brief Converts the fault of a failed check to an error.
/// @param State progress of the stream
/// @param Fault fault that the check returned
/// @return an error with code StreamCorrupt, step Stream and the sender as peer
/// @complexity constant
Error streamError(const StreamState &State, StreamFault Fault);

} // namespace marigoldyard
