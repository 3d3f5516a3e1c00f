#include "marigoldyard/coordination/token_bucket.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace marigoldyard {

namespace {

/// Upper bound of the waiting time for limits with a rate near zero.
constexpr Duration MaxWait = std::chrono::hours(1);

} // namespace

TokenBucket fullBucket(const TokenBucketLimit &Limit, TimePoint Now) {
  return {Limit.Burst, Now};
}

void refill(TokenBucket &Bucket, const TokenBucketLimit &Limit, TimePoint Now) {
  if (Now > Bucket.UpdatedAt) {
    std::chrono::duration<double> Elapsed = Now - Bucket.UpdatedAt;
    Bucket.Tokens += Elapsed.count() * Limit.PerSecond;
    Bucket.UpdatedAt = Now;
  }
  Bucket.Tokens = std::min(Bucket.Tokens, Limit.Burst);
}

bool take(TokenBucket &Bucket, const TokenBucketLimit &Limit, double Amount,
          TimePoint Now) {
  refill(Bucket, Limit, Now);
  if (Bucket.Tokens < Amount)
    return false;
  Bucket.Tokens -= Amount;
  return true;
}

Duration timeUntil(const TokenBucket &Bucket, const TokenBucketLimit &Limit,
                   double Amount) {
  double Missing = Amount - Bucket.Tokens;
  if (Missing <= 0.0)
    return Duration::zero();
  std::chrono::duration<double> MaxSeconds = MaxWait;
  if (Limit.PerSecond <= 0.0 || Missing / Limit.PerSecond >= MaxSeconds.count())
    return MaxWait;
  return std::chrono::ceil<Duration>(
      std::chrono::duration<double>(Missing / Limit.PerSecond));
}

} // namespace marigoldyard
