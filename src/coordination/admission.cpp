#include "marigoldyard/coordination/admission.hpp"

#include <algorithm>
#include <chrono>

namespace marigoldyard {

namespace {

/// Time at which the bucket is full again, in microseconds of the boot-time
/// clock. The later it is, the more used quota an eviction of the record would
/// restore.
std::int64_t refillTimeUs(const TokenBucket &Bucket,
                          const TokenBucketLimit &Limit) {
  TimePoint Full = Bucket.UpdatedAt + timeUntil(Bucket, Limit, Limit.Burst);
  return Full.time_since_epoch().count();
}

/// Whether a request changes the position of its record in the eviction order.
bool useChangesOrder(EvictionPolicy Policy, bool Admitted) {
  switch (Policy) {
  case EvictionPolicy::OldestInsertion:
    return false;
  case EvictionPolicy::OldestAdmittedUse:
    return Admitted;
  default:
    return true;
  }
}

void updateEvictionOrder(BucketTable &Table, const std::string &Name,
                         BucketTable::Entry &Entry,
                         const TokenBucketLimit &Limit) {
  Table.Order.erase({Entry.OrderKey, Name});
  Entry.OrderKey = Table.Policy == EvictionPolicy::EarliestRefill
                       ? refillTimeUs(Entry.Bucket, Limit)
                       : ++Table.UseCounter;
  Table.Order.emplace(Entry.OrderKey, Name);
}

BucketTable::Entry &insertRecord(BucketTable &Table, const std::string &Name,
                                 const TokenBucketLimit &Limit, TimePoint Now) {
  if (Table.Entries.size() >= Table.Capacity) {
    auto First = Table.Order.begin();
    Table.Entries.erase(First->second);
    Table.Order.erase(First);
    ++Table.Evicted;
  }
  BucketTable::Entry &Entry = Table.Entries[Name];
  Entry.Bucket = fullBucket(Limit, Now);
  updateEvictionOrder(Table, Name, Entry, Limit);
  return Entry;
}

} // namespace

BucketTable makeBucketTable(std::size_t Capacity, EvictionPolicy Policy) {
  BucketTable Table;
  Table.Capacity = std::max<std::size_t>(Capacity, 1);
  Table.Policy = Policy;
  return Table;
}

AdmissionDecision takeToken(BucketTable &Table, const std::string &Name,
                            const TokenBucketLimit &Limit, TimePoint Now) {
  auto Found = Table.Entries.find(Name);
  BucketTable::Entry &Entry = Found == Table.Entries.end()
                                  ? insertRecord(Table, Name, Limit, Now)
                                  : Found->second;
  AdmissionDecision Decision;
  Decision.Admitted = take(Entry.Bucket, Limit, 1.0, Now);
  if (!Decision.Admitted)
    Decision.RetryAfter = timeUntil(Entry.Bucket, Limit, 1.0);
  if (useChangesOrder(Table.Policy, Decision.Admitted))
    updateEvictionOrder(Table, Name, Entry, Limit);
  return Decision;
}

AdmissionDecision admitCaller(BucketTable &Table, std::string_view ProductName,
                              const Caller &Customer, TimePoint Now) {
  if (Customer.RequestsPerSecond <= 0.0)
    return {};
  TokenBucketLimit Limit{Customer.RequestsPerSecond,
                         std::max(Customer.Burst, 1.0)};
  // Names in a manifest contain no line feed, so the key is unambiguous.
  std::string Key = std::string(ProductName) + '\n' + Customer.Name;
  return takeToken(Table, Key, Limit, Now);
}

AdmissionDecision admitAuthentication(FailedAuthentications &Failures,
                                      const std::string &Address,
                                      TimePoint Now) {
  AdmissionDecision Decision;
  auto Found = Failures.Table.Entries.find(Address);
  if (Found == Failures.Table.Entries.end())
    return Decision;
  BucketTable::Entry &Entry = Found->second;
  refill(Entry.Bucket, FailedAuthenticationLimit, Now);
  Decision.Admitted = Entry.Bucket.Tokens >= 1.0;
  if (Decision.Admitted)
    return Decision;
  Decision.RetryAfter = timeUntil(Entry.Bucket, FailedAuthenticationLimit, 1.0);
  if (useChangesOrder(Failures.Table.Policy, Decision.Admitted))
    updateEvictionOrder(Failures.Table, Address, Entry,
                        FailedAuthenticationLimit);
  return Decision;
}

void recordFailedAuthentication(FailedAuthentications &Failures,
                                const std::string &Address, TimePoint Now) {
  takeToken(Failures.Table, Address, FailedAuthenticationLimit, Now);
}

AdmissionDecision admitByDeadline(const QueueEstimate &Estimate,
                                  Duration TimeLeft) {
  AdmissionDecision Decision;
  Decision.Reason = ErrorCode::DeadlineExceeded;
  if (TimeLeft <= Duration::zero()) {
    Decision.Admitted = false;
    return Decision;
  }
  if (Estimate.TokensPerSecond <= 0.0)
    return Decision;
  std::chrono::duration<double> CompletionTime(
      (static_cast<double>(Estimate.TokensAhead) +
       static_cast<double>(Estimate.OwnTokens)) /
      Estimate.TokensPerSecond);
  if (CompletionTime <= TimeLeft)
    return Decision;
  Decision.Admitted = false;
  std::chrono::duration<double> MaxRetryAfter = std::chrono::hours(1);
  std::chrono::duration<double> Excess = std::min(
      CompletionTime - std::chrono::duration<double>(TimeLeft), MaxRetryAfter);
  Decision.RetryAfter = std::chrono::ceil<Duration>(Excess);
  return Decision;
}

} // namespace marigoldyard
