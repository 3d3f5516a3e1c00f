#pragma once

#include "marigoldyard/state/error.hpp"
#include "marigoldyard/state/types.hpp"

#include <chrono>
#include <cstdint>
#include <span>
#include <string_view>

namespace marigoldyard {

/// @brief What is known about a try.
enum class TryFate : std::uint8_t {
  NeverSent, ///< no byte left the process
  Withdrawn, ///< taken back from the outbox before sending
  Refused,   ///< the agent proved that it was not run
  Running,   ///< sent; not settled yet
  Failed,    ///< known to have started and to have ended without an answer
  Lost,      ///< may have been sent; what became of it is not known
  Completed, ///< gave the whole answer
};

/// @brief All fates, for generated tests.
inline constexpr TryFate AllTryFates[] = {
    TryFate::NeverSent, TryFate::Withdrawn, TryFate::Refused,
    TryFate::Running,   TryFate::Failed,    TryFate::Lost,
    TryFate::Completed,
};

/// @brief Name of a fate for logs and tests.
/// @param Fate the fate
/// @return a lower-case name with underscores
std::string_view tryFateName(TryFate Fate);

/// @brief Whether a fate proves that the try was not run.
/// @param Fate the fate
/// @return true for NeverSent, Withdrawn and Refused
constexpr bool provesNotRun(TryFate Fate) {
  return Fate == TryFate::NeverSent || Fate == TryFate::Withdrawn ||
         Fate == TryFate::Refused;
}

/// @brief Outcome that may be told to the caller after these tries.
/// @param Fates fate of each try of the request; none means that nothing was
/// sent
/// @return Complete if a try completed; Unknown if a try is lost or still runs;
/// Failed if a try failed; NotRun only if each try is proved not run
/// @complexity linear in the number of tries
Outcome claimOutcome(std::span<const TryFate> Fates);

/// @brief Tries of one request at most, the first one included.
inline constexpr std::uint32_t MaxTries = 4;

/// @brief Retries a product may make before first tries have earned any. Lets a
/// product with little traffic repeat a request. Each entry holds its own
/// reserve, so it is small beside the tries of a few seconds.
inline constexpr double RetryReserve = 2.0;

/// @brief Time constant with which unused earned retries expire. Covers the
/// requests that an endpoint had in progress when it died, and keeps a quiet
/// time from saving up a burst of retries.
inline constexpr Duration RetryEarningTime = std::chrono::seconds(2);

/// @brief Retry allowance per product: each first try earns a share of a retry.
struct RetryBudget {
  double Share = 0.1;            ///< retries as a share of first tries
  double Reserve = RetryReserve; ///< unspent part that does not expire
  double Tokens = RetryReserve;
  /// Every refusal that reached an endpoint is taken from the budget; false
  /// exempts refusals for a changed configuration or a departure.
  bool ChargeRefusals = false;
  TimePoint UpdatedAt{};
  std::uint64_t FirstTries = 0;
  std::uint64_t Retries = 0;
  std::uint64_t Denied = 0;
};

/// @brief Counts a first try and earns its share of a retry.
/// @param Budget the budget
/// @param Now the current time
/// @complexity constant
void noteFirstTry(RetryBudget &Budget, TimePoint Now);

/// @brief What decides about another try.
struct RetryQuestion {
  TryFate LastTry = TryFate::NeverSent;
  ErrorCode Reason = ErrorCode::PeerUnreachable; ///< why the last try ended
  bool Idempotent = false;
  bool Delivered = false;  ///< a piece of the answer reached the caller
  bool MaybeRun = false;   ///< some try so far is not proved not run
  std::uint32_t Tries = 0; ///< tries made so far
  Duration TimeLeft{};     ///< until the deadline
};

/// @brief Why there is no further try.
enum class RetryVerdict : std::uint8_t {
  Retry,
  NoTimeLeft,
  TooManyTries,
  AlreadyDelivered,
  NotIdempotent,
  NotRetryable, ///< another endpoint would answer the same
  NoBudget,
};

/// @brief All verdicts, for generated tests.
inline constexpr RetryVerdict AllRetryVerdicts[] = {
    RetryVerdict::Retry,         RetryVerdict::NoTimeLeft,
    RetryVerdict::TooManyTries,  RetryVerdict::AlreadyDelivered,
    RetryVerdict::NotIdempotent, RetryVerdict::NotRetryable,
    RetryVerdict::NoBudget,
};

/// @brief Name of a verdict for logs and error details.
/// @param Verdict the verdict
/// @return a lower-case name with underscores
std::string_view retryVerdictName(RetryVerdict Verdict);

/// @brief Decides whether another try may be made and takes it from the budget.
/// @param Budget the product's budget
/// @param Question state of the request
/// @param Now the current time
/// @return Retry, or the first reason against it
/// @complexity constant
RetryVerdict decideRetry(RetryBudget &Budget, const RetryQuestion &Question,
                         TimePoint Now);

} // namespace marigoldyard
