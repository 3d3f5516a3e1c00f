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
bool isExemptFromBudget(const RetryBudget &Budget, const RetryInputs &Inputs) {
  switch (Inputs.LastAttempt) {
  case AttemptStatus::NeverSent:
  case AttemptStatus::Withdrawn:
    return true;
  case AttemptStatus::Refused:
    return !Budget.ChargeRefusals &&
           (Inputs.Reason == ErrorCode::StaleRevision ||
            Inputs.Reason == ErrorCode::EndpointLeaving ||
            Inputs.Reason == ErrorCode::WrongWeights);
  default:
    return false;
  }
}

RetryDecision checkRetryConditions(const RetryInputs &Inputs) {
  if (Inputs.Delivered)
    return RetryDecision::AlreadyDelivered;
  if (!Inputs.Idempotent && Inputs.MayHaveRun &&
      !isFaultEnabled(Invariant::AtMostOnce))
    return RetryDecision::NotIdempotent;
  if (!isRetryable(Inputs.Reason))
    return RetryDecision::NotRetryable;
  if (Inputs.Attempts >= MaxAttempts)
    return RetryDecision::TooManyAttempts;
  if (Inputs.TimeLeft <= Duration::zero())
    return RetryDecision::NoTimeLeft;
  return RetryDecision::Retry;
}

} // namespace

std::string_view attemptStatusName(AttemptStatus Status) {
  switch (Status) {
  case AttemptStatus::NeverSent:
    return "never_sent";
  case AttemptStatus::Withdrawn:
    return "withdrawn";
  case AttemptStatus::Refused:
    return "refused";
  case AttemptStatus::Running:
    return "running";
  case AttemptStatus::Failed:
    return "failed";
  case AttemptStatus::Lost:
    return "lost";
  case AttemptStatus::Completed:
    return "completed";
  }
  return "";
}

Outcome deriveOutcome(std::span<const AttemptStatus> Statuses) {
  auto Contains = [&](AttemptStatus Status) {
    return std::find(Statuses.begin(), Statuses.end(), Status) !=
           Statuses.end();
  };
  if (Contains(AttemptStatus::Completed))
    return Outcome::Complete;
  if (isFaultEnabled(Invariant::NotRunProof))
    return Outcome::NotRun;
  if (Contains(AttemptStatus::Lost) || Contains(AttemptStatus::Running))
    return Outcome::Unknown;
  if (Contains(AttemptStatus::Failed))
    return Outcome::Failed;
  return Outcome::NotRun;
}

void recordFirstAttempt(RetryBudget &Budget, TimePoint Now) {
  expireEarnedRetries(Budget, Now);
  ++Budget.FirstAttempts;
  Budget.Tokens += Budget.RetryRatio;
}

std::string_view retryDecisionName(RetryDecision Decision) {
  switch (Decision) {
  case RetryDecision::Retry:
    return "retry";
  case RetryDecision::NoTimeLeft:
    return "no_time_left";
  case RetryDecision::TooManyAttempts:
    return "too_many_tries";
  case RetryDecision::AlreadyDelivered:
    return "already_delivered";
  case RetryDecision::NotIdempotent:
    return "not_idempotent";
  case RetryDecision::NotRetryable:
    return "not_retryable";
  case RetryDecision::NoBudget:
    return "no_budget";
  }
  return "";
}

RetryDecision decideRetry(RetryBudget &Budget, const RetryInputs &Inputs,
                          TimePoint Now) {
  RetryDecision Decision = checkRetryConditions(Inputs);
  if (Decision != RetryDecision::Retry)
    return Decision;
  expireEarnedRetries(Budget, Now);
  if (!isExemptFromBudget(Budget, Inputs)) {
    if (Budget.Tokens < 1.0) {
      ++Budget.Denied;
      return RetryDecision::NoBudget;
    }
    Budget.Tokens -= 1.0;
  }
  ++Budget.Retries;
  return RetryDecision::Retry;
}

RetryDecision previewRetry(RetryBudget Budget, const RetryInputs &Inputs,
                           TimePoint Now) {
  return decideRetry(Budget, Inputs, Now);
}

} // namespace marigoldyard
