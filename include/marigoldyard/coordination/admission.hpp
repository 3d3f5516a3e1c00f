#pragma once

#include "marigoldyard/coordination/token_bucket.hpp"
#include "marigoldyard/state/error.hpp"
#include "marigoldyard/state/manifest.hpp"
#include "marigoldyard/state/types.hpp"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace marigoldyard {

/// @brief Which record is evicted from a full bucket table.
enum class EvictionPolicy : std::uint8_t {
  OldestInsertion,   ///< the record inserted first
  OldestAdmittedUse, ///< the record with the oldest admitted request
  OldestUse,         ///< the record with the oldest request, admitted or not
  EarliestRefill,    ///< the record whose bucket is full again first
};

/// @brief All policies, for benchmarks.
inline constexpr EvictionPolicy AllEvictionPolicies[] = {
    EvictionPolicy::OldestInsertion, EvictionPolicy::OldestAdmittedUse,
    EvictionPolicy::OldestUse, EvictionPolicy::EarliestRefill};

/// @brief Token buckets by name in a table of bounded size.
///
/// A client could bypass its limit by evicting its own record with requests
/// under new names; the article "Fixing our rate limiter's memory leak almost
/// created a way to bypass it" describes this. The default policy evicts the
/// record whose bucket is full again first, so that neither such a flood nor a
/// break during the flood restores a quota. See docs/decisions/operations.md
/// for the measurement.
struct BucketTable {
  struct Entry {
    TokenBucket Bucket;
    std::int64_t OrderKey = 0; ///< key of the record in Order
  };
  std::size_t Capacity = 1;
  EvictionPolicy Policy = EvictionPolicy::EarliestRefill;
  std::int64_t UseCounter = 0;
  std::unordered_map<std::string, Entry> Entries;
  std::set<std::pair<std::int64_t, std::string>>
      Order; ///< names by eviction order; the first is evicted next
  std::uint64_t Evicted = 0;
};

/// @brief Creates an empty table.
/// @param Capacity maximum number of records; 0 counts as 1
/// @param Policy which record is evicted when the table is full
/// @return the empty table
/// @complexity constant
BucketTable
makeBucketTable(std::size_t Capacity,
                EvictionPolicy Policy = EvictionPolicy::EarliestRefill);

/// @brief Result of an admission check.
struct AdmissionDecision {
  bool Admitted = true;
  ErrorCode Reason = ErrorCode::RateLimited; ///< valid when not admitted
  Duration RetryAfter{};                     ///< valid when not admitted
};

/// @brief Takes one token from the bucket of a name. A name without a record
/// starts with a full bucket.
/// @param Table table of buckets
/// @param Name key of the bucket
/// @param Limit refill rate in tokens per second, and depth in tokens
/// @param Now the current time
/// @return admitted, or RateLimited with the time until the next token
/// @complexity logarithmic in the capacity
AdmissionDecision takeToken(BucketTable &Table, const std::string &Name,
                            const TokenBucketLimit &Limit, TimePoint Now);

/// @brief Maximum number of callers in the admission table of an entry.
inline constexpr std::size_t MaxAdmissionRecords = 4096;

/// @brief Applies the rate limit that the manifest sets for a caller.
/// @param Table admission table of the entry
/// @param ProductName product that the request addresses
/// @param Customer the caller; a rate of 0 means no limit
/// @param Now the current time
/// @return admitted, or RateLimited with the time until the next token
/// @complexity logarithmic in the capacity
AdmissionDecision admitCaller(BucketTable &Table, std::string_view ProductName,
                              const Caller &Customer, TimePoint Now);

/// @brief Maximum number of addresses whose failed authentications an entry
/// tracks.
inline constexpr std::size_t MaxFailedAuthenticationRecords = 4096;

/// @brief Limit of failed authentications for one address: a burst of 10, then
/// one every 2 s. A person who mistypes a key stays below it.
inline constexpr TokenBucketLimit FailedAuthenticationLimit{0.5, 10.0};

/// @brief Token buckets of failed authentications, by remote address.
struct FailedAuthentications {
  BucketTable Table = makeBucketTable(MaxFailedAuthenticationRecords);
};

/// @brief Checks whether an address may attempt to authenticate. Takes no
/// token.
/// @param Failures failed authentications by address
/// @param Address remote address without port
/// @param Now the current time
/// @return admitted, or RateLimited with the time until the next attempt is
/// allowed
/// @complexity logarithmic in the capacity
AdmissionDecision admitAuthentication(FailedAuthentications &Failures,
                                      const std::string &Address,
                                      TimePoint Now);

/// @brief Takes a token of an address for a failed authentication.
/// @param Failures failed authentications by address
/// @param Address remote address without port
/// @param Now the current time
/// @complexity logarithmic in the capacity
void recordFailedAuthentication(FailedAuthentications &Failures,
                                const std::string &Address, TimePoint Now);

/// @brief Estimated load that must be processed before a request finishes.
struct QueueEstimate {
  std::uint64_t TokensAhead = 0; ///< queued in the same or a more urgent rank
  double TokensPerSecond = 0.0;  ///< rate of the endpoint; 0 if unknown
  std::uint64_t OwnTokens = 0;   ///< estimated cost of the request
};

/// @brief Rejects a request that cannot meet its deadline before it is queued.
/// @param Estimate load of the best endpoint
/// @param TimeLeft time until the deadline
/// @return admitted, or DeadlineExceeded with the time, at most one hour, after
/// which the queue is short enough. With an unknown rate, admitted while
/// TimeLeft is above zero
/// @complexity constant
AdmissionDecision admitByDeadline(const QueueEstimate &Estimate,
                                  Duration TimeLeft);

} // namespace marigoldyard
