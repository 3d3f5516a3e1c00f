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

/// Removes a caller from the orders by size. Must be called before its
/// evictable records change.
void removeFromSizeOrders(OperationTable &Table, const std::string &Caller,
                          const EvictableRecords &Share) {
  Table.CallersByRecordCount.erase({Share.Order.size(), Caller});
  Table.CallersByBodyBytes.erase({Share.AnswerBytes, Caller});
}

void addToSizeOrders(OperationTable &Table, const std::string &Caller,
                     const EvictableRecords &Share) {
  Table.CallersByRecordCount.emplace(Share.Order.size(), Caller);
  Table.CallersByBodyBytes.emplace(Share.AnswerBytes, Caller);
}

void addEvictable(OperationTable &Table, std::uint64_t Counter,
                  OperationRecord &Record) {
  EvictableRecords &Share = Table.EvictableByCaller[Record.Caller];
  removeFromSizeOrders(Table, Record.Caller, Share);
  Share.Order.push_back(Counter);
  Share.AnswerBytes += Record.Answer.Body.size();
  Record.OrderPosition = std::prev(Share.Order.end());
  addToSizeOrders(Table, Record.Caller, Share);
}

void removeEvictable(OperationTable &Table, const OperationRecord &Record) {
  auto Found = Table.EvictableByCaller.find(Record.Caller);
  EvictableRecords &Share = Found->second;
  removeFromSizeOrders(Table, Record.Caller, Share);
  Share.Order.erase(Record.OrderPosition);
  Share.AnswerBytes -= Record.Answer.Body.size();
  if (Share.Order.empty())
    Table.EvictableByCaller.erase(Found);
  else
    addToSizeOrders(Table, Record.Caller, Share);
}

/// Evicts the oldest record of the caller that is last in the given order, the
/// one with the largest size, so that a flood of requests of one caller evicts
/// its own records. Returns false when there is no evictable record.
bool evictFromLargest(
    OperationTable &Table,
    const std::set<std::pair<std::size_t, std::string>> &BySize) {
  if (BySize.empty())
    return false;
  std::uint64_t Counter =
      Table.EvictableByCaller.at(BySize.rbegin()->second).Order.front();
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

/// Returns the refusal for an id without a record: NotRun if it is certain that
/// the id was never issued, otherwise Unknown.
RunDecision refuseWithoutRecord(const OperationTable &Table,
                                const OperationId &Id) {
  bool IssuedHere =
      Id.Agent == Table.Agent && Id.Issuer == Table.OwnIncarnation;
  bool NeverIssued = IssuedHere && Id.Counter > Table.LastCounter;
  if (NeverIssued)
    return refuse(Outcome::NotRun, ErrorCode::OperationNotFound);
  return refuse(Outcome::Unknown, ErrorCode::OperationUnknown);
}

RunDecision startOperation(OperationTable &Table, OperationRecord &Record,
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

/// Adds a waiter to a running operation unless the same request already waits.
RunDecision addWaiter(const OperationTable &Table, OperationRecord &Record,
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
  std::size_t CounterDot = Text.rfind('.');
  if (CounterDot == std::string_view::npos || CounterDot == 0)
    return std::nullopt;
  std::size_t IssuerDot = Text.rfind('.', CounterDot - 1);
  if (IssuerDot == std::string_view::npos || IssuerDot == 0 ||
      CounterDot == IssuerDot + 1 || CounterDot + 1 == Text.size())
    return std::nullopt;
  auto Issuer =
      parseNumber(Text.substr(IssuerDot + 1, CounterDot - IssuerDot - 1));
  auto Counter = parseNumber(Text.substr(CounterDot + 1));
  if (!Issuer || !Counter)
    return std::nullopt;
  return OperationId{std::string(Text.substr(0, IssuerDot)), *Issuer, *Counter};
}

OperationTable makeOperationTable(std::string Agent, Incarnation OwnIncarnation,
                                  OperationLimits Limits) {
  OperationTable Table;
  Table.Agent = std::move(Agent);
  Table.OwnIncarnation = OwnIncarnation;
  Table.Limits = Limits;
  return Table;
}

Expected<std::string> openOperation(OperationTable &Table,
                                    const std::string &Caller,
                                    const std::string &Service) {
  if (Table.Records.size() >= Table.Limits.Records &&
      !evictFromLargest(Table, Table.CallersByRecordCount))
    return Error{
        ErrorCode::QueueFull, Step::OperationOpen, Table.Agent,
        "operation table is full and every operation in it is running"};
  std::uint64_t Counter = ++Table.LastCounter;
  OperationRecord &Record = Table.Records[Counter];
  Record.Caller = Caller;
  Record.Service = Service;
  addEvictable(Table, Counter, Record);
  return printOperationId({Table.Agent, Table.OwnIncarnation, Counter});
}

RunDecision runOperation(OperationTable &Table, std::string_view Id,
                         std::string_view Caller, OperationWaiter Waiter,
                         std::optional<ErrorCode> RefuseStart) {
  auto Parsed = parseOperationId(Id);
  if (!Parsed)
    return refuse(Outcome::NotRun, ErrorCode::OperationNotFound);
  auto Found = Table.Records.find(Parsed->Counter);
  if (Parsed->Agent != Table.Agent || Parsed->Issuer != Table.OwnIncarnation ||
      Found == Table.Records.end())
    return refuseWithoutRecord(Table, *Parsed);
  OperationRecord &Record = Found->second;
  // The answer must not reveal anything about operations of other callers, not
  // even whether they ran.
  if (Record.Caller != Caller)
    return refuse(Outcome::Unknown, ErrorCode::OperationWrongCaller);
  if (Record.State == OperationState::Open && RefuseStart)
    return refuse(Outcome::NotRun, *RefuseStart);
  if (Record.State == OperationState::Open ||
      isFaultEnabled(Invariant::AtMostOnce))
    return startOperation(Table, Record, std::move(Waiter));
  if (Record.State == OperationState::Running)
    return addWaiter(Table, Record, std::move(Waiter));
  if (Table.Limits.RefreshOnRepeat) {
    std::list<std::uint64_t> &Order =
        Table.EvictableByCaller.at(Record.Caller).Order;
    Order.splice(Order.end(), Order, Record.OrderPosition);
  }
  RunDecision Decision;
  Decision.Answer = Record.Answer;
  return Decision;
}

std::vector<OperationWaiter> finishOperation(OperationTable &Table,
                                             std::string_view Id,
                                             OperationAnswer Answer) {
  auto Parsed = parseOperationId(Id);
  if (!Parsed || Parsed->Agent != Table.Agent ||
      Parsed->Issuer != Table.OwnIncarnation)
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
         evictFromLargest(Table, Table.CallersByBodyBytes)) {
  }
  return Waiters;
}

} // namespace marigoldyard
