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
  Completion,    ///< answered by a stream of pieces
  OperationOpen, ///< answered by an operation id
  OperationRun,  ///< bound to the agent that issued the operation id
};

/// @brief All kinds, for generated tests.
inline constexpr RequestKind AllRequestKinds[] = {RequestKind::Completion,
                                                  RequestKind::OperationOpen,
                                                  RequestKind::OperationRun};

/// @brief Phase of a request at its entry.
enum class RequestPhase : std::uint8_t {
  Choosing, ///< waits for an endpoint
  Queued,   ///< in the outbox; can be withdrawn
  Sent,     ///< may have reached the agent
  Closing, ///< withdrawal or cancel requested; waits for proof for a short time
  Done,    ///< answered or abandoned
};

/// @brief All phases, for generated tests.
inline constexpr RequestPhase AllRequestPhases[] = {
    RequestPhase::Choosing, RequestPhase::Queued, RequestPhase::Sent,
    RequestPhase::Closing, RequestPhase::Done};

/// @brief Name of a phase for logs and tests.
/// @param Phase the phase
/// @return a lower-case name
std::string_view requestPhaseName(RequestPhase Phase);

/// @brief How long an entry waits for the proof that withdrawn or cancelled
/// work was not run. Covers a round trip of a few milliseconds with margin;
/// callers wait this long beyond their deadline at most.
inline constexpr Duration ClosingGrace = std::chrono::milliseconds(50);

/// @brief One try of a request.
struct TryRecord {
  std::string Peer;
  TryFate Fate = TryFate::Running;
  bool MaySent = false; ///< the outbox handed it over, or the agent answered
  bool Proved =
      false; ///< the outbox or the agent proved that it did not run; set by
             ///< their messages only, so that claims can be checked against it
};

/// @brief A request at its entry.
struct RequestState {
  std::string Id;
  RequestKind Kind = RequestKind::Completion;
  bool Idempotent = true;
  bool Streaming = true; ///< pieces go to the caller as they arrive
  std::string Operation; ///< for OperationRun
  TimePoint Deadline{};

  RequestPhase Phase = RequestPhase::Choosing;
  TimePoint CloseBy{};    ///< valid in Closing
  bool Abandoned = false; ///< the caller left
  Digest Weights;         ///< pinned while text was delivered or collected
  std::vector<TryRecord> Tries; ///< at most MaxTries; the last is the current
  StreamState Stream;           ///< of the current try
  std::uint64_t DeliveredPieces = 0;
  std::uint32_t DeliveredAttempt = 0;
  Digest DeliveredWeights;
  std::string Collected; ///< text of the current try unless Streaming
  Error LastError;
  std::chrono::milliseconds RetryAfter{};
};

/// @brief Events of a request. Those with a peer name the sender; the daemon
/// drops messages of an older incarnation of it before.
namespace request_event {

/// @brief The request was admitted.
struct Begun {};
/// @brief The routing decision chose an endpoint.
struct EndpointChosen {
  std::string Peer;
  Digest Weights; ///< digest that is in force for the product
};
/// @brief No endpoint can take the request.
struct EndpointUnavailable {
  ErrorCode Reason = ErrorCode::NoEndpoint;
  std::chrono::milliseconds RetryAfter{};
};
/// @brief The outbox handed the work to the transport.
struct WorkLeft {
  std::uint32_t Attempt = 0;
};
/// @brief The outbox removed the work before any byte was sent.
struct WorkWithdrawn {
  std::uint32_t Attempt = 0;
};
/// @brief WorkAccepted arrived.
struct Accepted {
  std::string Peer;
  std::uint32_t Attempt = 0;
};
/// @brief WorkRefused arrived.
struct Refused {
  std::string Peer;
  std::uint32_t Attempt = 0;
  ErrorCode Reason = ErrorCode::NotReady;
  std::chrono::milliseconds RetryAfter{};
};
/// @brief WorkFailed arrived.
struct Failed {
  std::string Peer;
  std::uint32_t Attempt = 0;
  ErrorCode Reason = ErrorCode::EndpointFailed;
  Step At = Step::Generate;
};
/// @brief Piece arrived.
struct PieceArrived {
  std::string Peer;
  PieceView Piece;
};
/// @brief StreamEnd arrived.
struct EndArrived {
  std::string Peer;
  StreamEndView End;
};
/// @brief OperationOpened arrived.
struct Opened {
  std::string Peer;
  std::string Operation; ///< empty when refused
  ErrorCode Reason = ErrorCode::NotReady;
};
/// @brief OperationResult arrived.
struct OperationAnswered {
  std::string Peer;
  std::string Operation;
  OperationAnswer Answer;
};
/// @brief A connection closed, or the peer is suspected, dead or restarted.
struct PeerLost {
  std::string Peer;
};
/// @brief The caller closed its connection.
struct CallerLeft {};
/// @brief The time of nextTimer has come.
struct TimerFired {};

} // namespace request_event

/// @brief An event of a request.
using RequestEvent =
    std::variant<request_event::Begun, request_event::EndpointChosen,
                 request_event::EndpointUnavailable, request_event::WorkLeft,
                 request_event::WorkWithdrawn, request_event::Accepted,
                 request_event::Refused, request_event::Failed,
                 request_event::PieceArrived, request_event::EndArrived,
                 request_event::Opened, request_event::OperationAnswered,
                 request_event::PeerLost, request_event::CallerLeft,
                 request_event::TimerFired>;

/// @brief Actions that the daemon performs in the given order.
namespace request_action {

/// @brief Choose an endpoint and report EndpointChosen or EndpointUnavailable.
struct ChooseEndpoint {
  std::vector<std::string> Avoid; ///< peers of earlier tries
};
/// @brief Put the request (Work, OperationOpen or OperationRun) in a peer's
/// outbox, and report WorkLeft when it is handed to the transport.
struct SendWork {
  std::string Peer;
  std::uint32_t Attempt = 0;
  Digest Weights;
  Duration TimeLeft{};
};
/// @brief Remove the work from the outbox and report WorkWithdrawn, or do
/// nothing when it left already.
struct WithdrawWork {
  std::string Peer;
  std::uint32_t Attempt = 0;
};
/// @brief Send CancelWork.
struct CancelTry {
  std::string Peer;
  std::uint32_t Attempt = 0;
};
/// @brief Send a piece to the caller.
struct DeliverPiece {
  std::string Text;
};
/// @brief End the caller's answer normally.
struct FinishAnswer {
  std::string Text; ///< the whole text unless Streaming, the operation id, or
                    ///< the body of an operation's answer
  std::uint32_t Status = 0; ///< HTTP status of the service; 0 otherwise
};
/// @brief Break off a stream of which pieces were delivered.
struct AbortStream {
  Outcome Result = Outcome::Failed;
  Error Reason;
};
/// @brief Answer with an outcome other than complete.
struct AnswerOutcome {
  Outcome Result = Outcome::Unknown;
  Error Reason;
  std::chrono::milliseconds RetryAfter{}; ///< 0 when a retry does not help
};

} // namespace request_action

/// @brief An action of a request.
using RequestAction =
    std::variant<request_action::ChooseEndpoint, request_action::SendWork,
                 request_action::WithdrawWork, request_action::CancelTry,
                 request_action::DeliverPiece, request_action::FinishAnswer,
                 request_action::AbortStream, request_action::AnswerOutcome>;

/// @brief Advances a request by one event. Events of settled tries and of other
/// peers change nothing, except that a late proof of a lost try is noted.
/// @param State the request
/// @param Event what happened
/// @param Budget retry budget of the product
/// @param Now the current time
/// @return the actions to perform, in order
/// @complexity linear in the length of the event's text and in the number of
/// tries
std::vector<RequestAction> step(RequestState &State, const RequestEvent &Event,
                                RetryBudget &Budget, TimePoint Now);

/// @brief When TimerFired is due.
/// @param State the request
/// @return the time, or nothing when the request is done
/// @complexity constant
std::optional<TimePoint> nextTimer(const RequestState &State);

} // namespace marigoldyard
