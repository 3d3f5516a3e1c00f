#include "marigoldyard/coordination/retry.hpp"
#include "marigoldyard/state/fault_switch.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;

TEST_CASE("not_run is claimed exactly when each try is proved not run") {
  for (TryFate Former : AllTryFates) {
    for (TryFate Latter : AllTryFates) {
      CAPTURE(tryFateName(Former));
      CAPTURE(tryFateName(Latter));
      TryFate Fates[] = {Former, Latter};
      CHECK((claimOutcome(Fates) == Outcome::NotRun) ==
            (provesNotRun(Former) && provesNotRun(Latter)));
    }
  }
  CHECK(claimOutcome({}) == Outcome::NotRun);
}

TEST_CASE("each reason against a retry is found") {
  RetryQuestion Good{.LastTry = TryFate::Failed,
                     .Reason = ErrorCode::EndpointFailed,
                     .Idempotent = true,
                     .MaybeRun = true,
                     .Tries = 1,
                     .TimeLeft = std::chrono::seconds(1)};
  auto Verdict = [&](auto Change) {
    RetryBudget Budget;
    RetryQuestion Question = Good;
    Change(Question, Budget);
    return decideRetry(Budget, Question, TimePoint{});
  };
  CHECK(Verdict([](auto &, auto &) {}) == RetryVerdict::Retry);
  CHECK(Verdict([](auto &Q, auto &) { Q.TimeLeft = Duration(0); }) ==
        RetryVerdict::NoTimeLeft);
  CHECK(Verdict([](auto &Q, auto &) { Q.Tries = MaxTries; }) ==
        RetryVerdict::TooManyTries);
  CHECK(Verdict([](auto &Q, auto &) { Q.Delivered = true; }) ==
        RetryVerdict::AlreadyDelivered);
  CHECK(Verdict([](auto &Q, auto &) { Q.Idempotent = false; }) ==
        RetryVerdict::NotIdempotent);
  CHECK(Verdict([](auto &Q, auto &) {
          Q.Reason = ErrorCode::DeadlineExceeded;
        }) == RetryVerdict::NotRetryable);
  CHECK(Verdict([](auto &, auto &B) { B.Tokens = 0.5; }) ==
        RetryVerdict::NoBudget);
  CHECK(Verdict([](auto &Q, auto &B) {
          Q.LastTry = TryFate::Withdrawn;
          B.Tokens = 0.0;
        }) == RetryVerdict::Retry);
}

TEST_CASE("a quiet time saves up no burst of retries") {
  RetryBudget Budget;
  for (int I = 0; I < 10'000; ++I)
    noteFirstTry(Budget, TimePoint{});
  noteFirstTry(Budget, TimePoint{} + std::chrono::minutes(1));
  CHECK(Budget.Tokens < RetryReserve + 1.0);
}

TEST_CASE("a larger reserve does not expire, and refusals may be charged") {
  const TimePoint Start = TimePoint{} + std::chrono::hours(1);
  RetryBudget Budget;
  Budget.Reserve = Budget.Tokens = 20;
  Budget.ChargeRefusals = true;
  Budget.UpdatedAt = Start;
  RetryQuestion Question{.LastTry = TryFate::Refused,
                         .Reason = ErrorCode::WrongWeights,
                         .Tries = 1,
                         .TimeLeft = std::chrono::seconds(1)};
  int Allowed = 0;
  while (decideRetry(Budget, Question, Start + std::chrono::minutes(1)) ==
         RetryVerdict::Retry)
    ++Allowed;
  CHECK(Allowed == 20);
  Budget.ChargeRefusals = false;
  CHECK(decideRetry(Budget, Question, Start + std::chrono::minutes(1)) ==
        RetryVerdict::Retry);
}
