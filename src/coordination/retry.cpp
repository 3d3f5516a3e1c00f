#include "marigoldyard/coordination/retry.hpp"

#include "marigoldyard/state/fault_switch.hpp"

#include <algorithm>
#include <cmath>

namespace marigoldyard {

namespace {

/// Decays the earned retries above the reserve.
void expireEarnedRetries(RetryBudget &Budget, TimePoint Now) {
  if (Now <= Budget.UpdatedAt)
    return;
  double Earned = std::max(Budget.Tokens - Budget.Reserve, 0.0);
  std::chrono::duration<double> Elapsed = Now - Budget.UpdatedAt;
  double RemainingShare =
      std::exp(-Elapsed / std::chrono::duration<double>(EarnedRetryDecayTime));
  Budget.Tokens -= Earned * (1.0 - RemainingShare);
  Budget.UpdatedAt = Now;
}

/// Returns whether another endpoint may give a different answer.
bool isRetryable(ErrorCode Reason) {
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

/// Returns whether a retry is not charged to the budget: the last attempt
/// reached no endpoint, or was refused because of a configuration change or an
/// endpoint that is leaving. Such a change refuses many requests at once, and
/// each of them soon succeeds elsewhere. Refusals by full or failed endpoints
/// are charged, because those conditions last.
bool isExemptFromBudget(const RetryBudget &Budget,
                        const RetryQuestion &Inputs) {
  switch (Inputs.LastTry) {
  case TryFate::NeverSent:
  case TryFate::Withdrawn:
    return true;
  case TryFate::Refused:
    return !Budget.ChargeRefusals &&
           (Inputs.Reason == ErrorCode::StaleRevision ||
            Inputs.Reason == ErrorCode::EndpointLeaving ||
            Inputs.Reason == ErrorCode::WrongWeights);
  default:
    return false;
  }
}

RetryVerdict checkRetryConditions(const RetryQuestion &Inputs) {
  if (Inputs.Delivered)
    return RetryVerdict::AlreadyDelivered;
  if (!Inputs.Idempotent && Inputs.MaybeRun &&
      !faultEnabled(Invariant::AtMostOnce))
    return RetryVerdict::NotIdempotent;
  if (!isRetryable(Inputs.Reason))
    return RetryVerdict::NotRetryable;
  if (Inputs.Tries >= MaxTries)
    return RetryVerdict::TooManyTries;
  if (Inputs.TimeLeft <= Duration::zero())
    return RetryVerdict::NoTimeLeft;
  return RetryVerdict::Retry;
}

} // namespace

std::string_view tryFateName(TryFate Status) {
  switch (Status) {
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

Outcome claimOutcome(std::span<const TryFate> Statuses) {
  auto Contains = [&](TryFate Status) {
    return std::find(Statuses.begin(), Statuses.end(), Status) !=
           Statuses.end();
  };
  if (Contains(TryFate::Completed))
    return Outcome::Complete;
  if (faultEnabled(Invariant::NotRunProof))
    return Outcome::NotRun;
  if (Contains(TryFate::Lost) || Contains(TryFate::Running))
    return Outcome::Unknown;
  if (Contains(TryFate::Failed))
    return Outcome::Failed;
  return Outcome::NotRun;
}

void noteFirstTry(RetryBudget &Budget, TimePoint Now) {
  expireEarnedRetries(Budget, Now);
  ++Budget.FirstAttempts;
  Budget.Tokens += Budget.Share;
}

std::string_view retryVerdictName(RetryVerdict Decision) {
  switch (Decision) {
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

RetryVerdict decideRetry(RetryBudget &Budget, const RetryQuestion &Inputs,
                         TimePoint Now) {
  RetryVerdict Decision = checkRetryConditions(Inputs);
  if (Decision != RetryVerdict::Retry)
    return Decision;
  expireEarnedRetries(Budget, Now);
  if (!isExemptFromBudget(Budget, Inputs)) {
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
