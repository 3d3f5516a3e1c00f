#pragma once

#include "marigoldyard/state/time.hpp"

namespace marigoldyard {

/// @brief Rate and depth of a token bucket.
struct TokenBucketLimit {
  double PerSecond = 0.0; ///< tokens that flow in each second
  double Burst = 1.0;     ///< tokens held at most
};

/// @brief Level of a token bucket at an instant.
struct TokenBucket {
  double Tokens = 0.0;
  TimePoint UpdatedAt{};
};

/// @brief A full bucket.
/// @param Limit rate and depth
/// @param Now the current time
/// @return a bucket that holds Limit.Burst tokens
/// @complexity constant
TokenBucket fullBucket(const TokenBucketLimit &Limit, TimePoint Now);

/// @brief Adds the tokens that flowed in since the last update. A time before
/// the last update adds nothing.
/// @param Bucket the bucket
/// @param Limit rate and depth
/// @param Now the current time
/// @complexity constant
void refill(TokenBucket &Bucket, const TokenBucketLimit &Limit, TimePoint Now);

/// @brief Takes tokens when the bucket holds enough of them.
/// @param Bucket the bucket
/// @param Limit rate and depth
/// @param Amount tokens to take
/// @param Now the current time
/// @return true when the tokens were taken
/// @complexity constant
bool take(TokenBucket &Bucket, const TokenBucketLimit &Limit, double Amount,
          TimePoint Now);

/// @brief Time until the bucket holds an amount, at most one hour.
/// @param Bucket a bucket that was refilled at the current time
/// @param Limit rate and depth
/// @param Amount tokens wanted
/// @return zero when the bucket holds the amount already
/// @complexity constant
Duration timeUntil(const TokenBucket &Bucket, const TokenBucketLimit &Limit,
                   double Amount);

} // namespace marigoldyard
