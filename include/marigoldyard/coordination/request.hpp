#pragma once

#include "marigoldyard/coordination/operation_table.hpp"
#include "marigoldyard/coordination/retry.hpp"
#include "marigoldyard/coordination/stream.hpp"
#include "marigoldyard/state/error.hpp"
#include "marigoldyard/state/types.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace marigoldyard {

/// @brief Kind of a caller's request.
enum class RequestKind : std::uint8_t {
  Completion,    ///< answered by a stream of pieces of text
  OperationOpen, ///< answered by an operation id
  OperationRun,  ///< must run on the agent that issued the operation id
};

/// @brief All request kinds, for property-based tests.
inline constexpr RequestKind AllRequestKinds[] = {RequestKind::Completion,
                                                  RequestKind::OperationOpen,
                                                  RequestKind::OperationRun};

/// @brief Phase of a request at the entry that received it.
enum class RequestPhase : std::uint8_t {
  Choosing, ///< waits for the routing decision
  Queued,   ///< in the outbox of the peer; can be withdrawn
  Sent,     ///< may have reached the agent
  Closing, ///< withdrawal or cancellation requested; waits at most ClosingGrace
           ///< for proof that the work was not run
  Done,    ///< answered or abandoned
};

/// @brief All request phases, for property-based tests.
inline constexpr RequestPhase AllRequestPhases[] = {
    RequestPhase::Choosing, RequestPhase::Queued, RequestPhase::Sent,
    RequestPhase::Closing, RequestPhase::Done};

/// @brief Returns the name of a phase for logs and tests.
/// @return the name in lower case
std::string_view requestPhaseName(RequestPhase Phase);

/// @brief Maximum time that an entry waits for the proof that withdrawn or
/// cancelled work was not run. It covers a round trip of a few milliseconds
/// with margin and is the longest time that callers wait beyond their deadline.
inline constexpr Duration ClosingGrace = std::chrono::milliseconds(50);

/// @brief One attempt to serve a request on an endpoint.
struct AttemptRecord {
  std::string Peer;
  AttemptStatus CurrentStatus = AttemptStatus::Running;
  bool MaybeSent = false;    ///< passed to the transport, or the agent answered
  bool ProvedNotRun = false; ///< the outbox or the agent proved that it did not
                             ///< run; set only by their messages, so that
                             ///< reported outcomes can be checked against it
};

/// @brief State of a request at the entry that received it.
struct RequestState {
  std::string Id;
  RequestKind Kind = RequestKind::Completion;
  bool Idempotent = true;
  bool Streaming = true; ///< pieces go to the caller as they arrive
  std::string Operation; ///< operation id; set for OperationRun only
  TimePoint Deadline{};

  RequestPhase Phase = RequestPhase::Choosing;
  TimePoint ClosingDeadline{}; ///< valid in the Closing phase only
  bool Abandoned = false;      ///< the caller closed its connection
  Digest Weights; ///< digest of the weights that the current attempt must use
  std::vector<AttemptRecord> Attempts; ///< up to MaxAttempts, current one last
  StreamState Stream;                  ///< of the current attempt
  std::uint64_t DeliveredPieces = 0;
  std::uint32_t DeliveredAttempt = 0;
  Digest DeliveredWeights;
  std::string Collected; ///< text of the current attempt when not Streaming
  Error LastError;
  std::chrono::milliseconds RetryAfter{};
};

/// @brief Events of a request. Peer is the sender of the message; the daemon
/// drops messages of earlier incarnations of a peer before they get here.
namespace request_event {

/// @brief The request was admitted.
struct RequestAdmitted {};
/// @brief The routing decision chose an endpoint.
struct EndpointChosen {
  std::string Peer;
  Digest Weights; ///< current digest of the weights of the product
};
/// @brief The routing decision found no usable endpoint.
struct EndpointUnavailable {
  ErrorCode Reason = ErrorCode::NoEndpoint;
  std::chrono::milliseconds RetryAfter{};
};
/// @brief The outbox passed the work to the transport.
struct WorkSent {
  std::uint32_t Attempt = 0;
};
/// @brief The outbox removed the work before any byte was sent.
struct WorkWithdrawn {
  std::uint32_t Attempt = 0;
};
/// @brief A WorkAccepted message was received.
struct Accepted {
  std::string Peer;
  std::uint32_t Attempt = 0;
};
/// @brief A WorkRefused message was received.
struct Refused {
  std::string Peer;
  std::uint32_t Attempt = 0;
  ErrorCode Reason = ErrorCode::NotReady;
  std::chrono::milliseconds RetryAfter{};
};
/// @brief A WorkFailed message was received.
struct Failed {
  std::string Peer;
  std::uint32_t Attempt = 0;
  ErrorCode Reason = ErrorCode::EndpointFailed;
  Step At = Step::Generate;
};
/// @brief A Piece message was received.
struct PieceArrived {
  std::string Peer;
  PieceView Piece;
};
/// @brief A StreamEnd message was received.
struct EndArrived {
  std::string Peer;
  StreamEndView End;
};
/// @brief An OperationOpened message was received.
struct Opened {
  std::string Peer;
  std::string Operation; ///< empty when refused
  ErrorCode Reason = ErrorCode::NotReady;
};
/// @brief An OperationResult message was received.
struct OperationAnswered {
  std::string Peer;
  std::string Operation;
  OperationAnswer Answer;
};
/// @brief The connection closed, or the peer is suspected, dead or restarted.
struct PeerLost {
  std::string Peer;
};
/// @brief The caller closed its connection.
struct CallerDisconnected {};
/// @brief The time that nextTimer returned has been reached.
struct TimerFired {};

} // namespace request_event

/// @brief Any event of a request.
using RequestEvent =
    std::variant<request_event::RequestAdmitted, request_event::EndpointChosen,
                 request_event::EndpointUnavailable, request_event::WorkSent,
                 request_event::WorkWithdrawn, request_event::Accepted,
                 request_event::Refused, request_event::Failed,
                 request_event::PieceArrived, request_event::EndArrived,
                 request_event::Opened, request_event::OperationAnswered,
                 request_event::PeerLost, request_event::CallerDisconnected,
                 request_event::TimerFired>;

/// @brief Actions that the daemon performs in the order in which step returns
/// them.
namespace request_action {

/// @brief Choose an endpoint and report EndpointChosen or EndpointUnavailable.
struct ChooseEndpoint {
  std::vector<std::string> Avoid; ///< peers of earlier attempts
};
/// @brief Put the request (Work, OperationOpen or OperationRun) in the outbox
/// of a peer, and report WorkSent when it is passed to the transport.
struct SendWork {
  std::string Peer;
  std::uint32_t Attempt = 0;
  Digest Weights;
  Duration TimeLeft{}; ///< until the deadline of the request
};
/// @brief Remove the work from the outbox and report WorkWithdrawn; do nothing
/// when it was already passed to the transport.
struct WithdrawWork {
  std::string Peer;
  std::uint32_t Attempt = 0;
};
/// @brief Send a CancelWork message to the agent.
struct CancelAttempt {
  std::string Peer;
  std::uint32_t Attempt = 0;
};
/// @brief Send a piece of the answer to the caller.
struct DeliverPiece {
  std::string Text;
};
/// @brief Complete the answer to the caller.
struct FinishAnswer {
  std::string Text; ///< the whole text when not Streaming, the operation id, or
                    ///< the body of an operation's answer
  std::uint32_t HttpStatus = 0; ///< HTTP status of an operation; otherwise 0
};
/// @brief Abort a stream after some pieces were delivered.
struct AbortStream {
  Outcome Result = Outcome::Failed;
  Error Reason;
};
/// @brief Answer with an outcome other than Complete, before any piece was
/// delivered.
struct AnswerOutcome {
  Outcome Result = Outcome::Unknown;
  Error Reason;
  std::chrono::milliseconds RetryAfter{}; ///< 0 to advise against a retry
};

} // namespace request_action

/// @brief Any action of a request.
using RequestAction =
    std::variant<request_action::ChooseEndpoint, request_action::SendWork,
                 request_action::WithdrawWork, request_action::CancelAttempt,
                 request_action::DeliverPiece, request_action::FinishAnswer,
                 request_action::AbortStream, request_action::AnswerOutcome>;

/// @brief Applies one event to the state machine of a request. Events of
/// finished attempts and of other peers have no effect, except that a late
/// proof that a lost attempt was not run is recorded.
/// @param State state to update
/// @param Budget retry budget of the product; charged for a retry
/// @return the actions to perform, in order
/// @complexity linear in the length of the event's text and in the number of
/// attempts
std::vector<RequestAction> step(RequestState &State, const RequestEvent &Event,
                                RetryBudget &Budget, TimePoint Now);

/// @brief Returns when TimerFired is due.
/// @return the time, or an empty value when the request is done
/// @complexity constant
std::optional<TimePoint> nextTimer(const RequestState &State);

} // namespace marigoldyard
