#include "marigoldyard/coordination/admission.hpp"

#include <algorithm>
#include <chrono>

namespace marigoldyard {

namespace {

/// When the bucket is full again, in microseconds of the boot-time clock. The
/// later that is, the more of a name's limit is forgotten with its record.
std::int64_t recovery(const TokenBucket &Bucket,
                      const TokenBucketLimit &Limit) {
  TimePoint Full = Bucket.UpdatedAt + timeUntil(Bucket, Limit, Limit.Burst);
  return Full.time_since_epoch().count();
}

/// Whether a use moves its record in the order of eviction.
bool moves(EvictionRule Rule, bool Admitted) {
  switch (Rule) {
  case EvictionRule::OldestInsertion:
    return false;
  case EvictionRule::OldestAdmittedUse:
    return Admitted;
  default:
    return true;
  }
}

void place(BucketTable &Table, const std::string &Name,
           BucketTable::Entry &Entry, const TokenBucketLimit &Limit) {
  Table.Order.erase({Entry.Place, Name});
  Entry.Place = Table.Rule == EvictionRule::EarliestRecovery
                    ? recovery(Entry.Bucket, Limit)
                    : ++Table.Uses;
  Table.Order.emplace(Entry.Place, Name);
}

BucketTable::Entry &insert(BucketTable &Table, const std::string &Name,
                           const TokenBucketLimit &Limit, TimePoint Now) {
  if (Table.Entries.size() >= Table.Capacity) {
    auto First = Table.Order.begin();
    Table.Entries.erase(First->second);
    Table.Order.erase(First);
    ++Table.Evicted;
  }
  BucketTable::Entry &Entry = Table.Entries[Name];
  Entry.Bucket = fullBucket(Limit, Now);
  place(Table, Name, Entry, Limit);
  return Entry;
}

} // namespace

BucketTable beginBucketTable(std::size_t Capacity, EvictionRule Rule) {
  BucketTable Table;
  Table.Capacity = std::max<std::size_t>(Capacity, 1);
  Table.Rule = Rule;
  return Table;
}

AdmissionDecision takeFrom(BucketTable &Table, const std::string &Name,
                           const TokenBucketLimit &Limit, TimePoint Now) {
  auto Found = Table.Entries.find(Name);
  BucketTable::Entry &Entry = Found == Table.Entries.end()
                                  ? insert(Table, Name, Limit, Now)
                                  : Found->second;
  AdmissionDecision Decision;
  Decision.Admitted = take(Entry.Bucket, Limit, 1.0, Now);
  if (!Decision.Admitted)
    Decision.RetryAfter = timeUntil(Entry.Bucket, Limit, 1.0);
  if (moves(Table.Rule, Decision.Admitted))
    place(Table, Name, Entry, Limit);
  return Decision;
}

AdmissionDecision admitCaller(BucketTable &Table, std::string_view ProductName,
                              const Caller &Customer, TimePoint Now) {
  if (Customer.RequestsPerSecond <= 0.0)
    return {};
  TokenBucketLimit Limit{Customer.RequestsPerSecond,
                         std::max(Customer.Burst, 1.0)};
  // The separator cannot occur in names of the manifest.
  std::string Key = std::string(ProductName) + '\n' + Customer.Name;
  return takeFrom(Table, Key, Limit, Now);
}

AdmissionDecision mayAuthenticate(FailedAuthentications &Failures,
                                  const std::string &Address, TimePoint Now) {
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
  if (moves(Failures.Table.Rule, Decision.Admitted))
    place(Failures.Table, Address, Entry, FailedAuthenticationLimit);
  return Decision;
}

void noteFailedAuthentication(FailedAuthentications &Failures,
                              const std::string &Address, TimePoint Now) {
  takeFrom(Failures.Table, Address, FailedAuthenticationLimit, Now);
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
  std::chrono::duration<double> Needed(
      (static_cast<double>(Estimate.TokensAhead) +
       static_cast<double>(Estimate.OwnTokens)) /
      Estimate.TokensPerSecond);
  if (Needed <= TimeLeft)
    return Decision;
  Decision.Admitted = false;
  std::chrono::duration<double> Longest = std::chrono::hours(1);
  std::chrono::duration<double> Excess =
      std::min(Needed - std::chrono::duration<double>(TimeLeft), Longest);
  Decision.RetryAfter = std::chrono::ceil<Duration>(Excess);
  return Decision;
}

} // namespace marigoldyard
