#include "marigoldyard/coordination/retry.hpp"

#include "marigoldyard/state/fault_switch.hpp"

#include <algorithm>

namespace marigoldyard {

namespace {

/// First tries whose earned retries are kept. Bounds the burst of retries after
/// a quiet time: 1,000 first tries are about a tenth of a second at the target
/// load of the fleet.
constexpr double EarningWindow = 1000.0;

double depth(double Share) { return RetryReserve + Share * EarningWindow; }

/// Whether another endpoint may answer otherwise.
bool worthRetrying(ErrorCode Reason) {
  switch (Reason) {
  case ErrorCode::NoEndpoint:
  case ErrorCode::QueueFull:
  case ErrorCode::StaleRevision:
  case ErrorCode::EndpointLeaving:
  case ErrorCode::WrongWeights:
  case ErrorCode::NotReady:
  case ErrorCode::PeerUnreachable:
  case ErrorCode::PeerTimeout:
  case ErrorCode::EndpointFailed:
  case ErrorCode::StreamIncomplete:
  case ErrorCode::StreamCorrupt:
    return true;
  default:
    return false;
  }
}

/// Whether a try adds no load that grows with overload, so that its repetition
/// is not taken from the budget. A change of configuration or a departure
/// refuses many requests at once, and each of them soon finds its place.
bool isFree(const RetryQuestion &Question) {
  if (Question.LastTry == TryFate::NeverSent ||
      Question.LastTry == TryFate::Withdrawn)
    return true;
  return Question.LastTry == TryFate::Refused &&
         Question.Reason != ErrorCode::QueueFull;
}

RetryVerdict judge(const RetryQuestion &Question) {
  if (Question.Delivered)
    return RetryVerdict::AlreadyDelivered;
  if (!Question.Idempotent && Question.MaybeRun &&
      !faultEnabled(Invariant::AtMostOnce))
    return RetryVerdict::NotIdempotent;
  if (!worthRetrying(Question.Reason))
    return RetryVerdict::NotRetryable;
  if (Question.Tries >= MaxTries)
    return RetryVerdict::TooManyTries;
  if (Question.TimeLeft <= Duration::zero())
    return RetryVerdict::NoTimeLeft;
  return RetryVerdict::Retry;
}

} // namespace

std::string_view tryFateName(TryFate Fate) {
  switch (Fate) {
  case TryFate::NeverSent:
    return "never_sent";
  case TryFate::Withdrawn:
    return "withdrawn";
  case TryFate::Refused:
    return "refused";
  case TryFate::Running:
    return "running";
  case TryFate::Failed:
    return "failed";
  case TryFate::Lost:
    return "lost";
  case TryFate::Completed:
    return "completed";
  }
  return "";
}

Outcome claimOutcome(std::span<const TryFate> Fates) {
  auto Has = [&](TryFate Fate) {
    return std::find(Fates.begin(), Fates.end(), Fate) != Fates.end();
  };
  if (Has(TryFate::Completed))
    return Outcome::Complete;
  if (faultEnabled(Invariant::NotRunProof))
    return Outcome::NotRun;
  if (Has(TryFate::Lost) || Has(TryFate::Running))
    return Outcome::Unknown;
  if (Has(TryFate::Failed))
    return Outcome::Failed;
  return Outcome::NotRun;
}

RetryBudget beginRetryBudget(double Share) {
  RetryBudget Budget;
  updateRetryShare(Budget, Share);
  return Budget;
}

void updateRetryShare(RetryBudget &Budget, double Share) {
  Budget.Share = std::max(Share, 0.0);
  Budget.Depth = depth(Budget.Share);
  Budget.Tokens = std::min(Budget.Tokens, Budget.Depth);
}

void noteFirstTry(RetryBudget &Budget) {
  ++Budget.FirstTries;
  Budget.Tokens = std::min(Budget.Tokens + Budget.Share, Budget.Depth);
}

std::string_view retryVerdictName(RetryVerdict Verdict) {
  switch (Verdict) {
  case RetryVerdict::Retry:
    return "retry";
  case RetryVerdict::NoTimeLeft:
    return "no_time_left";
  case RetryVerdict::TooManyTries:
    return "too_many_tries";
  case RetryVerdict::AlreadyDelivered:
    return "already_delivered";
  case RetryVerdict::NotIdempotent:
    return "not_idempotent";
  case RetryVerdict::NotRetryable:
    return "not_retryable";
  case RetryVerdict::NoBudget:
    return "no_budget";
  }
  return "";
}

RetryVerdict decideRetry(RetryBudget &Budget, const RetryQuestion &Question) {
  RetryVerdict Verdict = judge(Question);
  if (Verdict != RetryVerdict::Retry)
    return Verdict;
  if (!isFree(Question)) {
    if (Budget.Tokens < 1.0) {
      ++Budget.Denied;
      return RetryVerdict::NoBudget;
    }
    Budget.Tokens -= 1.0;
  }
  ++Budget.Retries;
  return RetryVerdict::Retry;
}

} // namespace marigoldyard
