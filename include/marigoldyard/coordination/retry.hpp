#pragma once

#include "marigoldyard/state/error.hpp"
#include "marigoldyard/state/types.hpp"

#include <chrono>
#include <cstdint>
#include <span>
#include <string_view>

namespace marigoldyard {

/// @brief What an entry knows about the progress of one attempt.
enum class AttemptStatus : std::uint8_t {
  NeverSent, ///< no byte was passed to the transport
  Withdrawn, ///< removed from the outbox before sending
  Refused,   ///< the agent proved that it was not run
  Running,   ///< sent; not ended yet
  Failed,    ///< started and ended without a complete answer
  Lost,      ///< possibly sent; result unknown
  Completed, ///< returned the complete answer
};

/// @brief All attempt statuses, for property-based tests.
inline constexpr AttemptStatus AllAttemptStatuses[] = {
    AttemptStatus::NeverSent, AttemptStatus::Withdrawn, AttemptStatus::Refused,
    AttemptStatus::Running,   AttemptStatus::Failed,    AttemptStatus::Lost,
    AttemptStatus::Completed,
};

/// @brief Returns the name of a status for logs and tests.
/// @return the name in snake case
std::string_view attemptStatusName(AttemptStatus Status);

/// @brief Returns whether a status proves that the attempt was not run.
/// @return true for NeverSent, Withdrawn and Refused
constexpr bool provesNotRun(AttemptStatus Status) {
  return Status == AttemptStatus::NeverSent ||
         Status == AttemptStatus::Withdrawn || Status == AttemptStatus::Refused;
}

/// @brief Derives the outcome that is reported to the caller from the attempts.
/// @param Statuses status of each attempt of the request; empty when nothing
/// was sent
/// @return Complete if an attempt completed; otherwise Unknown if one is lost
/// or still runs; otherwise Failed if one failed; NotRun only if every attempt
/// is proved not to have run
/// @complexity linear in the number of attempts
Outcome deriveOutcome(std::span<const AttemptStatus> Statuses);

/// @brief Maximum number of attempts of one request, including the first one.
inline constexpr std::uint32_t MaxAttempts = 4;

/// @brief Retries that a product may make before first attempts have earned
/// any, so that a product with little traffic can retry a request. Each entry
/// has its own reserve, so it is small compared with the attempts of a few
/// seconds.
inline constexpr double RetryReserve = 2.0;

/// @brief Time constant of the exponential decay of unused earned retries. It
/// is long enough to retry the requests that an endpoint had in progress when
/// it failed, and short enough that old traffic cannot fund a burst of retries.
inline constexpr Duration EarnedRetryDecayTime = std::chrono::seconds(2);

/// @brief Retry budget of a product: each first attempt earns a fraction of a
/// retry.
struct RetryBudget {
  double RetryRatio = 0.1;       ///< retries earned per first attempt
  double Reserve = RetryReserve; ///< retries that do not decay while unused
  double Tokens = RetryReserve;  ///< retries available now
  /// Whether every retry after a refusal is charged. False exempts refusals
  /// because of a changed configuration or an endpoint that is leaving.
  bool ChargeRefusals = false;
  bool ReserveGranted =
      false; ///< with a share in a reserve of several processes
  TimePoint UpdatedAt{};
  std::uint64_t FirstAttempts = 0;
  std::uint64_t Retries = 0;
  std::uint64_t Denied = 0;
};

/// @brief Counts a first attempt and adds the fraction of a retry that it
/// earns.
/// @param Budget budget of the product
/// @complexity constant
void recordFirstAttempt(RetryBudget &Budget, TimePoint Now);

/// @brief Inputs of the decision whether to make another attempt.
struct RetryInputs {
  AttemptStatus LastAttempt = AttemptStatus::NeverSent;
  ErrorCode Reason = ErrorCode::PeerUnreachable; ///< why the last attempt ended
  bool Idempotent = false;
  bool Delivered = false; ///< a piece of the answer reached the caller
  bool MayHaveRun =
      false; ///< at least one attempt is not proved not to have run
  std::uint32_t Attempts = 0; ///< attempts made so far
  Duration TimeLeft{};        ///< until the deadline
};

/// @brief Decision whether to retry, with the reason against it.
enum class RetryDecision : std::uint8_t {
  Retry,
  NoTimeLeft,
  TooManyAttempts,
  AlreadyDelivered,
  NotIdempotent,
  NotRetryable, ///< another endpoint would give the same answer
  NoBudget,
};

/// @brief All retry decisions, for property-based tests.
inline constexpr RetryDecision AllRetryDecisions[] = {
    RetryDecision::Retry,           RetryDecision::NoTimeLeft,
    RetryDecision::TooManyAttempts, RetryDecision::AlreadyDelivered,
    RetryDecision::NotIdempotent,   RetryDecision::NotRetryable,
    RetryDecision::NoBudget,
};

/// @brief Returns the name of a decision for logs and error details.
/// @return the name in snake case
std::string_view retryDecisionName(RetryDecision Decision);

/// @brief Decides whether another attempt may be made, and charges the budget
/// for it.
/// @param Budget budget of the product; unchanged unless the request is
/// eligible for a retry
/// @return Retry, or the first reason against a retry
/// @complexity constant
RetryDecision decideRetry(RetryBudget &Budget, const RetryInputs &Inputs,
                          TimePoint Now);

/// @brief Returns what decideRetry() would decide, and charges nothing.
/// @param Budget budget of the product
/// @return Retry, or the first reason against a retry
/// @complexity constant
RetryDecision previewRetry(RetryBudget Budget, const RetryInputs &Inputs,
                           TimePoint Now);

} // namespace marigoldyard
