#include "marigoldyard/coordination/stream.hpp"

#include "marigoldyard/state/fault_switch.hpp"
#include "marigoldyard/state/invariant.hpp"

#include <utility>

namespace marigoldyard {

namespace {

/// Checks that a piece or an end of stream belongs to this stream and that the
/// stream is still open.
StreamFault classifyStream(const StreamState &State, std::string_view Request,
                           std::uint32_t Attempt, std::string_view Weights) {
  if (!isFaultEnabled(Invariant::WholeAnswer)) {
    if (Request != State.Request)
      return StreamFault::OtherRequest;
    if (Attempt < State.Attempt)
      return StreamFault::OlderAttempt;
    if (Attempt > State.Attempt)
      return StreamFault::OtherAttempt;
  }
  if (Weights != State.Weights && !isFaultEnabled(Invariant::UnmixedWeights))
    return StreamFault::OtherWeights;
  if (State.Failed)
    return StreamFault::AfterFault;
  if (State.Ended)
    return StreamFault::AfterEnd;
  return StreamFault::None;
}

StreamFault classifyPiece(const StreamState &State, const PieceView &Piece) {
  StreamFault Fault =
      classifyStream(State, Piece.Request, Piece.Attempt, Piece.Weights);
  if (Fault != StreamFault::None)
    return Fault;
  if (Piece.Text.size() > MaxAnswerBytes - State.AcceptedBytes)
    return StreamFault::TooLong;
  if (isFaultEnabled(Invariant::WholeAnswer))
    return StreamFault::None;
  if (Piece.Sequence < State.NextSequence)
    return StreamFault::Duplicate;
  if (Piece.Sequence > State.NextSequence)
    return StreamFault::Gap;
  return StreamFault::None;
}

StreamFault classifyEnd(const StreamState &State, const StreamEndView &End) {
  StreamFault Fault =
      classifyStream(State, End.Request, End.Attempt, End.Weights);
  if (Fault != StreamFault::None || isFaultEnabled(Invariant::WholeAnswer))
    return Fault;
  if (End.Count != State.NextSequence)
    return StreamFault::WrongCount;
  if (End.Checksum && *End.Checksum != State.Hash.value())
    return StreamFault::WrongChecksum;
  return StreamFault::None;
}

StreamCheckResult applyFault(StreamState &State, StreamFault Fault) {
  if (Fault == StreamFault::None)
    return {StreamVerdict::Accept, Fault};
  if (Fault == StreamFault::OlderAttempt)
    return {StreamVerdict::Ignore, Fault};
  State.Failed = true;
  return {StreamVerdict::Fail, Fault};
}

} // namespace

std::string_view streamFaultName(StreamFault Fault) {
  switch (Fault) {
  case StreamFault::None:
    return "none";
  case StreamFault::OlderAttempt:
    return "older_attempt";
  case StreamFault::OtherRequest:
    return "other_request";
  case StreamFault::OtherAttempt:
    return "other_attempt";
  case StreamFault::OtherWeights:
    return "other_weights";
  case StreamFault::Duplicate:
    return "duplicate";
  case StreamFault::Gap:
    return "gap";
  case StreamFault::WrongCount:
    return "wrong_count";
  case StreamFault::WrongChecksum:
    return "wrong_checksum";
  case StreamFault::AfterEnd:
    return "after_end";
  case StreamFault::AfterFault:
    return "after_fault";
  case StreamFault::TooLong:
    return "too_long";
  }
  return "";
}

StreamState makeStreamState(std::string Request, std::uint32_t Attempt,
                            Digest Weights, std::string Peer) {
  StreamState State;
  State.Request = std::move(Request);
  State.Attempt = Attempt;
  State.Weights = std::move(Weights);
  State.Peer = std::move(Peer);
  return State;
}

StreamCheckResult checkPiece(StreamState &State, const PieceView &Piece) {
  StreamCheckResult Result = applyFault(State, classifyPiece(State, Piece));
  if (Result.Verdict != StreamVerdict::Accept)
    return Result;
  checkInvariant(Piece.Weights == State.Weights, Invariant::UnmixedWeights,
                 Step::Stream, State.Peer);
  if (Piece.Request != State.Request || Piece.Attempt != State.Attempt)
    ++State.MisroutedPieces;
  if (Piece.Sequence != State.NextSequence)
    ++State.OutOfOrderPieces;
  ++State.NextSequence;
  State.AcceptedBytes += Piece.Text.size();
  State.Hash.add(Piece.Text);
  return Result;
}

StreamCheckResult checkEnd(StreamState &State, const StreamEndView &End) {
  StreamCheckResult Result = applyFault(State, classifyEnd(State, End));
  if (Result.Verdict != StreamVerdict::Accept)
    return Result;
  State.Ended = true;
  checkInvariant(End.Weights == State.Weights, Invariant::UnmixedWeights,
                 Step::Stream, State.Peer);
  bool Complete =
      State.MisroutedPieces == 0 && State.OutOfOrderPieces == 0 &&
      End.Request == State.Request && End.Attempt == State.Attempt &&
      End.Count == State.NextSequence &&
      End.Checksum.value_or(State.Hash.value()) == State.Hash.value();
  checkInvariant(Complete, Invariant::WholeAnswer, Step::Stream, State.Peer);
  return Result;
}

std::uint64_t streamChecksum(const StreamState &State) {
  return State.Hash.value();
}

Error streamError(const StreamState &State, StreamFault Fault) {
  return {ErrorCode::StreamCorrupt, Step::Stream, State.Peer,
          "stream fault " + std::string(streamFaultName(Fault)) + " at piece " +
              std::to_string(State.NextSequence)};
}

} // namespace marigoldyard
