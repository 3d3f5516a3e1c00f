#include "marigoldyard/coordination/retry.hpp"
#include "marigoldyard/state/fault_switch.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;

TEST_CASE("not_run is claimed exactly when each try is proved not run") {
  for (AttemptStatus Former : AllAttemptStatuses) {
    for (AttemptStatus Latter : AllAttemptStatuses) {
      CAPTURE(attemptStatusName(Former));
      CAPTURE(attemptStatusName(Latter));
      AttemptStatus Fates[] = {Former, Latter};
      CHECK((deriveOutcome(Fates) == Outcome::NotRun) ==
            (provesNotRun(Former) && provesNotRun(Latter)));
    }
  }
  CHECK(deriveOutcome({}) == Outcome::NotRun);
}

TEST_CASE("each reason against a retry is found") {
  RetryInputs Good{.LastAttempt = AttemptStatus::Failed,
                   .Reason = ErrorCode::EndpointFailed,
                   .Idempotent = true,
                   .MayHaveRun = true,
                   .Attempts = 1,
                   .TimeLeft = std::chrono::seconds(1)};
  auto Verdict = [&](auto Change) {
    RetryBudget Budget;
    RetryInputs Question = Good;
    Change(Question, Budget);
    return decideRetry(Budget, Question, TimePoint{});
  };
  CHECK(Verdict([](auto &, auto &) {}) == RetryDecision::Retry);
  CHECK(Verdict([](auto &Q, auto &) { Q.TimeLeft = Duration(0); }) ==
        RetryDecision::NoTimeLeft);
  CHECK(Verdict([](auto &Q, auto &) { Q.Attempts = MaxAttempts; }) ==
        RetryDecision::TooManyAttempts);
  CHECK(Verdict([](auto &Q, auto &) { Q.Delivered = true; }) ==
        RetryDecision::AlreadyDelivered);
  CHECK(Verdict([](auto &Q, auto &) { Q.Idempotent = false; }) ==
        RetryDecision::NotIdempotent);
  CHECK(Verdict([](auto &Q, auto &) {
          Q.Reason = ErrorCode::DeadlineExceeded;
        }) == RetryDecision::NotRetryable);
  CHECK(Verdict([](auto &, auto &B) { B.Tokens = 0.5; }) ==
        RetryDecision::NoBudget);
  CHECK(Verdict([](auto &Q, auto &B) {
          Q.LastAttempt = AttemptStatus::Withdrawn;
          B.Tokens = 0.0;
        }) == RetryDecision::Retry);
}

TEST_CASE("a quiet time saves up no burst of retries") {
  RetryBudget Budget;
  for (int I = 0; I < 10'000; ++I)
    recordFirstAttempt(Budget, TimePoint{});
  recordFirstAttempt(Budget, TimePoint{} + std::chrono::minutes(1));
  CHECK(Budget.Tokens < RetryReserve + 1.0);
}

TEST_CASE("a larger reserve does not expire, and refusals may be charged") {
  const TimePoint Start = TimePoint{} + std::chrono::hours(1);
  RetryBudget Budget;
  Budget.Reserve = Budget.Tokens = 20;
  Budget.ChargeRefusals = true;
  Budget.UpdatedAt = Start;
  RetryInputs Question{.LastAttempt = AttemptStatus::Refused,
                       .Reason = ErrorCode::WrongWeights,
                       .Attempts = 1,
                       .TimeLeft = std::chrono::seconds(1)};
  int Allowed = 0;
  while (decideRetry(Budget, Question, Start + std::chrono::minutes(1)) ==
         RetryDecision::Retry)
    ++Allowed;
  CHECK(Allowed == 20);
  Budget.ChargeRefusals = false;
  CHECK(decideRetry(Budget, Question, Start + std::chrono::minutes(1)) ==
        RetryDecision::Retry);
}
