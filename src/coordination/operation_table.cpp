#include "marigoldyard/coordination/operation_table.hpp"

#include "marigoldyard/state/fault_switch.hpp"
#include "marigoldyard/state/invariant.hpp"

#include <algorithm>
#include <charconv>

namespace marigoldyard {

namespace {

std::optional<std::uint64_t> parseNumber(std::string_view Text) {
  std::uint64_t Value = 0;
  auto [End, Status] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Status != std::errc() || End != Text.data() + Text.size() ||
      Text.front() == '0')
    return std::nullopt;
  return Value;
}

/// Takes a caller out of the orders by size while its share changes.
void unlist(OperationTable &Table, const std::string &Caller,
            const OperationShare &Share) {
  Table.ByRecords.erase({Share.Order.size(), Caller});
  Table.ByBytes.erase({Share.AnswerBytes, Caller});
}

void list(OperationTable &Table, const std::string &Caller,
          const OperationShare &Share) {
  Table.ByRecords.emplace(Share.Order.size(), Caller);
  Table.ByBytes.emplace(Share.AnswerBytes, Caller);
}

void addEvictable(OperationTable &Table, std::uint64_t Counter,
                  OperationRecord &Record) {
  OperationShare &Share = Table.Shares[Record.Caller];
  unlist(Table, Record.Caller, Share);
  Share.Order.push_back(Counter);
  Share.AnswerBytes += Record.Answer.Body.size();
  Record.Place = std::prev(Share.Order.end());
  list(Table, Record.Caller, Share);
}

void removeEvictable(OperationTable &Table, const OperationRecord &Record) {
  auto Found = Table.Shares.find(Record.Caller);
  OperationShare &Share = Found->second;
  unlist(Table, Record.Caller, Share);
  Share.Order.erase(Record.Place);
  Share.AnswerBytes -= Record.Answer.Body.size();
  if (Share.Order.empty())
    Table.Shares.erase(Found);
  else
    list(Table, Record.Caller, Share);
}

/// Evicts the oldest record of the caller that is largest in the given order,
/// so that a flood of one caller pushes out its own records.
bool evictOne(OperationTable &Table,
              const std::set<std::pair<std::size_t, std::string>> &BySize) {
  if (BySize.empty())
    return false;
  std::uint64_t Counter =
      Table.Shares.at(BySize.rbegin()->second).Order.front();
  auto Found = Table.Records.find(Counter);
  Table.AnswerBytes -= Found->second.Answer.Body.size();
  removeEvictable(Table, Found->second);
  Table.Records.erase(Found);
  Table.Watermark = std::max(Table.Watermark, Counter);
  ++Table.Evicted;
  return true;
}

RunDecision refuse(Outcome Result, ErrorCode Reason) {
  RunDecision Decision;
  Decision.Answer.Result = Result;
  Decision.Answer.Reason = Reason;
  return Decision;
}

/// Answers for an id without a record.
RunDecision refuseMissing(const OperationTable &Table, const OperationId &Id) {
  bool Ours = Id.Agent == Table.Agent && Id.Issuer == Table.Own;
  bool NeverIssued = Ours && Id.Counter > Table.LastCounter;
  if (NeverIssued)
    return refuse(Outcome::NotRun, ErrorCode::OperationNotFound);
  return refuse(Outcome::Unknown, ErrorCode::OperationUnknown);
}

RunDecision start(OperationTable &Table, OperationRecord &Record,
                  OperationWaiter Waiter) {
  if (Record.State != OperationState::Running) {
    removeEvictable(Table, Record);
    ++Table.Running;
  }
  Record.State = OperationState::Running;
  Record.Waiters.push_back(std::move(Waiter));
  ++Record.Starts;
  checkInvariant(Record.Starts == 1, Invariant::AtMostOnce, Step::OperationRun,
                 Record.Service);
  RunDecision Decision;
  Decision.Action = RunAction::Start;
  Decision.Service = Record.Service;
  return Decision;
}

/// Adds a waiter to a running operation; a repeat of a waiting request changes
/// nothing.
RunDecision wait(const OperationTable &Table, OperationRecord &Record,
                 OperationWaiter Waiter) {
  RunDecision Decision;
  Decision.Action = RunAction::Wait;
  if (std::find(Record.Waiters.begin(), Record.Waiters.end(), Waiter) !=
      Record.Waiters.end())
    return Decision;
  if (Record.Waiters.size() >= Table.Limits.Waiters)
    return refuse(Outcome::Unknown, ErrorCode::QueueFull);
  Record.Waiters.push_back(std::move(Waiter));
  return Decision;
}

} // namespace

std::string printOperationId(const OperationId &Id) {
  return Id.Agent + '.' + std::to_string(Id.Issuer) + '.' +
         std::to_string(Id.Counter);
}

std::optional<OperationId> parseOperationId(std::string_view Text) {
  if (Text.size() > MaxOperationIdBytes)
    return std::nullopt;
  std::size_t Second = Text.rfind('.');
  if (Second == std::string_view::npos || Second == 0)
    return std::nullopt;
  std::size_t First = Text.rfind('.', Second - 1);
  if (First == std::string_view::npos || First == 0 || Second == First + 1 ||
      Second + 1 == Text.size())
    return std::nullopt;
  auto Issuer = parseNumber(Text.substr(First + 1, Second - First - 1));
  auto Counter = parseNumber(Text.substr(Second + 1));
  if (!Issuer || !Counter)
    return std::nullopt;
  return OperationId{std::string(Text.substr(0, First)), *Issuer, *Counter};
}

OperationTable beginOperationTable(std::string Agent, Incarnation Own,
                                   OperationLimits Limits) {
  OperationTable Table;
  Table.Agent = std::move(Agent);
  Table.Own = Own;
  Table.Limits = Limits;
  return Table;
}

Expected<std::string> openOperation(OperationTable &Table,
                                    const std::string &Caller,
                                    const std::string &Service) {
  if (Table.Records.size() >= Table.Limits.Records &&
      !evictOne(Table, Table.ByRecords))
    return Error{ErrorCode::QueueFull, Step::OperationOpen, Table.Agent,
                 "every operation record is running"};
  std::uint64_t Counter = ++Table.LastCounter;
  OperationRecord &Record = Table.Records[Counter];
  Record.Caller = Caller;
  Record.Service = Service;
  addEvictable(Table, Counter, Record);
  return printOperationId({Table.Agent, Table.Own, Counter});
}

RunDecision runOperation(OperationTable &Table, std::string_view Id,
                         std::string_view Caller, OperationWaiter Waiter,
                         std::optional<ErrorCode> RefuseStart) {
  auto Parsed = parseOperationId(Id);
  if (!Parsed)
    return refuse(Outcome::NotRun, ErrorCode::OperationNotFound);
  auto Found = Table.Records.find(Parsed->Counter);
  if (Parsed->Agent != Table.Agent || Parsed->Issuer != Table.Own ||
      Found == Table.Records.end())
    return refuseMissing(Table, *Parsed);
  OperationRecord &Record = Found->second;
  // A caller learns nothing about the operations of others, not even whether
  // they ran.
  if (Record.Caller != Caller)
    return refuse(Outcome::Unknown, ErrorCode::OperationWrongCaller);
  if (Record.State == OperationState::Open && RefuseStart)
    return refuse(Outcome::NotRun, *RefuseStart);
  if (Record.State == OperationState::Open ||
      faultEnabled(Invariant::AtMostOnce))
    return start(Table, Record, std::move(Waiter));
  if (Record.State == OperationState::Running)
    return wait(Table, Record, std::move(Waiter));
  if (Table.Limits.RefreshOnRepeat) {
    std::list<std::uint64_t> &Order = Table.Shares.at(Record.Caller).Order;
    Order.splice(Order.end(), Order, Record.Place);
  }
  RunDecision Decision;
  Decision.Answer = Record.Answer;
  return Decision;
}

std::vector<OperationWaiter> finishOperation(OperationTable &Table,
                                             std::string_view Id,
                                             OperationAnswer Answer) {
  auto Parsed = parseOperationId(Id);
  if (!Parsed || Parsed->Agent != Table.Agent || Parsed->Issuer != Table.Own)
    return {};
  auto Found = Table.Records.find(Parsed->Counter);
  if (Found == Table.Records.end() ||
      Found->second.State != OperationState::Running)
    return {};
  OperationRecord &Record = Found->second;
  std::vector<OperationWaiter> Waiters = std::move(Record.Waiters);
  Record.Waiters.clear();
  if (Answer.Result == Outcome::NotRun) {
    Record.State = OperationState::Open;
    Record.Starts = 0;
  } else {
    Record.State = OperationState::Done;
    Record.Answer = std::move(Answer);
    Table.AnswerBytes += Record.Answer.Body.size();
  }
  --Table.Running;
  addEvictable(Table, Parsed->Counter, Record);
  while (Table.AnswerBytes > Table.Limits.AnswerBytes &&
         evictOne(Table, Table.ByBytes)) {
  }
  return Waiters;
}

} // namespace marigoldyard
