#pragma once

#include "marigoldyard/state/time.hpp"

namespace marigoldyard {

/// @brief Refill rate and capacity of a token bucket.
struct TokenBucketLimit {
  double PerSecond = 0.0; ///< tokens added per second
  double Burst = 1.0;     ///< capacity in tokens
};

/// @brief Number of tokens in a bucket at the time of its last update.
struct TokenBucket {
  double Tokens = 0.0;
  TimePoint UpdatedAt{};
};

/// @brief Creates a full bucket.
/// @param Limit refill rate and capacity
/// @param Now time of the first update
/// @return a bucket that holds Limit.Burst tokens
/// @complexity constant
TokenBucket fullBucket(const TokenBucketLimit &Limit, TimePoint Now);

/// @brief Adds the tokens for the time since the last update, up to the
/// capacity.
/// @param Limit refill rate and capacity
/// @param Now the current time; a time before the last update adds nothing
/// @complexity constant
void refill(TokenBucket &Bucket, const TokenBucketLimit &Limit, TimePoint Now);

/// @brief Refills the bucket and takes tokens when it holds enough of them.
/// @param Limit refill rate and capacity
/// @param Amount tokens to take
/// @return true when the tokens were taken; false leaves them all in the bucket
/// @complexity constant
bool take(TokenBucket &Bucket, const TokenBucketLimit &Limit, double Amount,
          TimePoint Now);

/// @brief Returns the time until the bucket holds an amount, at most one hour.
/// @param Bucket bucket that was refilled at the current time
/// @param Limit refill rate and capacity
/// @param Amount required tokens
/// @return the time; zero when the bucket already holds the amount
/// @complexity constant
Duration timeUntil(const TokenBucket &Bucket, const TokenBucketLimit &Limit,
                   double Amount);

} // namespace marigoldyard
