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

/// @brief Which record a full table of buckets evicts.
enum class EvictionRule : std::uint8_t {
  OldestInsertion,   ///< the first one inserted
  OldestAdmittedUse, ///< the one not admitted for the longest time
  OldestUse,         ///< the one neither admitted nor refused for the longest
  EarliestRecovery,  ///< the one whose bucket is full again first
};

/// @brief All rules, for measurements.
inline constexpr EvictionRule AllEvictionRules[] = {
    EvictionRule::OldestInsertion, EvictionRule::OldestAdmittedUse,
    EvictionRule::OldestUse, EvictionRule::EarliestRecovery};

/// @brief Token buckets by name in a table of bounded size.
///
/// The article "Fixing our rate limiter's memory leak almost created a way to
/// bypass it" describes how an offender pushes out its own record with fresh
/// names. A record is evicted by the time its limit recovers, so that neither
/// such a flood nor a rest during it restores a quota; see
/// docs/decisions/operations.md for the measurement.
struct BucketTable {
  struct Entry {
    TokenBucket Bucket;
    std::int64_t Place = 0; ///< key in Order
  };
  std::size_t Capacity = 1;
  EvictionRule Rule = EvictionRule::EarliestRecovery;
  std::int64_t Uses = 0;
  std::unordered_map<std::string, Entry> Entries;
  std::set<std::pair<std::int64_t, std::string>>
      Order; ///< names by place; the first is evicted first
  std::uint64_t Evicted = 0;
};

/// @brief Starts an empty table.
/// @param Capacity records held at most; 0 counts as 1
/// @param Rule which record is evicted
/// @return the table
/// @complexity constant
BucketTable
beginBucketTable(std::size_t Capacity,
                 EvictionRule Rule = EvictionRule::EarliestRecovery);

/// @brief Decision about one request.
struct AdmissionDecision {
  bool Admitted = true;
  ErrorCode Reason = ErrorCode::RateLimited; ///< valid when not admitted
  Duration RetryAfter{};                     ///< valid when not admitted
};

/// @brief Takes one token from a name's bucket. A name without a record starts
/// with a full bucket.
/// @param Table the table
/// @param Name the name
/// @param Limit rate and depth
/// @param Now the current time
/// @return admitted, or refused with the time until the next token
/// @complexity logarithmic in the capacity
AdmissionDecision takeFrom(BucketTable &Table, const std::string &Name,
                           const TokenBucketLimit &Limit, TimePoint Now);

/// @brief Callers that the admission table of an entry holds at most.
inline constexpr std::size_t MaxAdmissionRecords = 4096;

/// @brief Admits a request under its caller's limit from the manifest.
/// @param Table the table of the entry
/// @param ProductName product of the request
/// @param Customer the caller; a rate of 0 means no limit
/// @param Now the current time
/// @return admitted, or RateLimited with the time until the next token
/// @complexity logarithmic in the capacity
AdmissionDecision admitCaller(BucketTable &Table, std::string_view ProductName,
                              const Caller &Customer, TimePoint Now);

/// @brief Addresses whose failed authentications an entry remembers at most.
inline constexpr std::size_t MaxFailedAuthenticationRecords = 4096;

/// @brief Failed authentications allowed to one address: 10 at once, then one
/// each 2 s. A person who mistypes a key stays below it.
inline constexpr TokenBucketLimit FailedAuthenticationLimit{0.5, 10.0};

/// @brief Failed authentications by address.
struct FailedAuthentications {
  BucketTable Table = beginBucketTable(MaxFailedAuthenticationRecords);
};

/// @brief Whether an address may try to authenticate.
/// @param Failures the table
/// @param Address the remote address without port
/// @param Now the current time
/// @return admitted, or RateLimited with the time until the next try
/// @complexity logarithmic in the capacity
AdmissionDecision mayAuthenticate(FailedAuthentications &Failures,
                                  const std::string &Address, TimePoint Now);

/// @brief Counts a failed authentication of an address.
/// @param Failures the table
/// @param Address the remote address without port
/// @param Now the current time
/// @complexity logarithmic in the capacity
void noteFailedAuthentication(FailedAuthentications &Failures,
                              const std::string &Address, TimePoint Now);

/// @brief Estimate of the queue in front of a request.
struct QueueEstimate {
  std::uint64_t TokensAhead = 0; ///< of the same or a more urgent rank
  double TokensPerSecond = 0.0;  ///< rate of the endpoint; 0 means not known
  std::uint64_t OwnTokens = 0;   ///< estimated cost of the request
};

/// @brief Decides early whether a request can meet its deadline.
/// @param Estimate queue in front of the best endpoint
/// @param TimeLeft until the deadline
/// @return admitted, or DeadlineExceeded with the time until the queue is short
/// enough; an unknown rate admits while time is left
/// @complexity constant
AdmissionDecision admitByDeadline(const QueueEstimate &Estimate,
                                  Duration TimeLeft);

} // namespace marigoldyard
