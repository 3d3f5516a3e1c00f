#include "marigoldyard/coordination/admission.hpp"

#include <algorithm>
#include <chrono>

namespace marigoldyard {

namespace {

BucketTable::Entry *find(BucketTable &Table, const std::string &Name) {
  auto Found = Table.Index.find(Name);
  return Found == Table.Index.end() ? nullptr : &*Found->second;
}

void refresh(BucketTable &Table, const std::string &Name) {
  Table.Order.splice(Table.Order.end(), Table.Order, Table.Index.at(Name));
}

BucketTable::Entry &insert(BucketTable &Table, const std::string &Name,
                           const TokenBucketLimit &Limit, TimePoint Now) {
  if (Table.Index.size() >= Table.Capacity && !Table.Order.empty()) {
    Table.Index.erase(Table.Order.front().Name);
    Table.Order.pop_front();
    ++Table.Evicted;
  }
  Table.Order.push_back({Name, fullBucket(Limit, Now)});
  Table.Index[Name] = std::prev(Table.Order.end());
  return Table.Order.back();
}

} // namespace

BucketTable beginBucketTable(std::size_t Capacity, RefreshRule Rule) {
  BucketTable Table;
  Table.Capacity = std::max<std::size_t>(Capacity, 1);
  Table.Rule = Rule;
  return Table;
}

AdmissionDecision takeFrom(BucketTable &Table, const std::string &Name,
                           const TokenBucketLimit &Limit, TimePoint Now) {
  BucketTable::Entry *Entry = find(Table, Name);
  if (!Entry)
    Entry = &insert(Table, Name, Limit, Now);
  AdmissionDecision Decision;
  Decision.Admitted = take(Entry->Bucket, Limit, 1.0, Now);
  if (!Decision.Admitted)
    Decision.RetryAfter = timeUntil(Entry->Bucket, Limit, 1.0);
  if (Table.Rule == RefreshRule::OnAnyUse ||
      (Table.Rule == RefreshRule::OnAdmittedUse && Decision.Admitted))
    refresh(Table, Name);
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
  BucketTable::Entry *Entry = find(Failures.Table, Address);
  if (!Entry)
    return Decision;
  refill(Entry->Bucket, FailedAuthenticationLimit, Now);
  Decision.Admitted = Entry->Bucket.Tokens >= 1.0;
  if (Decision.Admitted)
    return Decision;
  Decision.RetryAfter =
      timeUntil(Entry->Bucket, FailedAuthenticationLimit, 1.0);
  if (Failures.Table.Rule == RefreshRule::OnAnyUse)
    refresh(Failures.Table, Address);
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
