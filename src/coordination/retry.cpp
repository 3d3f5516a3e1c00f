#include "marigoldyard/coordination/retry.hpp"

#include "marigoldyard/state/fault_switch.hpp"

#include <algorithm>
#include <cmath>

namespace marigoldyard {

namespace {

/// Lets earned retries above the reserve expire.
void expireEarned(RetryBudget &Budget, TimePoint Now) {
  if (Now <= Budget.UpdatedAt)
    return;
  double Earned = std::max(Budget.Tokens - Budget.Reserve, 0.0);
  std::chrono::duration<double> Passed = Now - Budget.UpdatedAt;
  double Left =
      std::exp(-Passed / std::chrono::duration<double>(RetryEarningTime));
  Budget.Tokens -= Earned * (1.0 - Left);
  Budget.UpdatedAt = Now;
}

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

/// Whether the repetition of a try is not taken from the budget: the try
/// reached no endpoint, or a change of configuration or a departure refused it.
/// Such a change refuses many requests at once and each soon finds its place.
/// Refusals of full or failed endpoints are charged, since they last.
bool isFree(const RetryBudget &Budget, const RetryQuestion &Question) {
  switch (Question.LastTry) {
  case TryFate::NeverSent:
  case TryFate::Withdrawn:
    return true;
  case TryFate::Refused:
    return !Budget.ChargeRefusals &&
           (Question.Reason == ErrorCode::StaleRevision ||
            Question.Reason == ErrorCode::EndpointLeaving ||
            Question.Reason == ErrorCode::WrongWeights);
  default:
    return false;
  }
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

void noteFirstTry(RetryBudget &Budget, TimePoint Now) {
  expireEarned(Budget, Now);
  ++Budget.FirstTries;
  Budget.Tokens += Budget.Share;
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

RetryVerdict decideRetry(RetryBudget &Budget, const RetryQuestion &Question,
                         TimePoint Now) {
  RetryVerdict Verdict = judge(Question);
  if (Verdict != RetryVerdict::Retry)
    return Verdict;
  expireEarned(Budget, Now);
  if (!isFree(Budget, Question)) {
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
