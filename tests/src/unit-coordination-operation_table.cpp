#include "marigoldyard/coordination/operation_table.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;

namespace {

std::string runOne(OperationTable &Table, const std::string &Caller,
                   const std::string &Body = "ok") {
  std::string Id = *openOperation(Table, Caller, "ledger");
  CHECK(runOperation(Table, Id, Caller, {"e", Id}).Action == RunAction::Start);
  finishOperation(Table, Id, {Outcome::Complete, 200, Body});
  return Id;
}

Outcome repeat(OperationTable &Table, const std::string &Id,
               const std::string &Caller) {
  RunDecision Decision = runOperation(Table, Id, Caller, {"e", "repeat"});
  CHECK(Decision.Action == RunAction::Answer);
  return Decision.Answer.Result;
}

} // namespace

TEST_CASE("ids print and parse back, and malformed ids are refused") {
  OperationId Id{"agent.3", 18446744073709551615ULL, 7};
  CHECK(parseOperationId(printOperationId(Id)) == Id);
  for (const char *Text :
       {"", ".", "..", "a", "a.1", "a.1.", "a..1", ".1.1", "a.1.1x", "a.-1.1",
        "a.+1.1", "a.01.1", "a.0.1", "a.1.0", "a.1.18446744073709551616"})
    CHECK_FALSE(parseOperationId(Text));
  CHECK_FALSE(parseOperationId(std::string(200, 'a') + ".1.1"));
}

TEST_CASE("only what is provably not run is answered with not_run") {
  OperationTable Table = makeOperationTable("a", 5, {.Records = 1});
  std::string Evicted = runOne(Table, "c");
  std::string Kept = runOne(Table, "c");
  CHECK(Table.Watermark == 1);
  CHECK(repeat(Table, Evicted, "c") == Outcome::Unknown);
  CHECK(repeat(Table, Kept, "other") == Outcome::Unknown);
  CHECK(repeat(Table, "a.4.1", "c") == Outcome::Unknown);
  CHECK(repeat(Table, "b.5.1", "c") == Outcome::Unknown);
  CHECK(repeat(Table, "a.5.3", "c") == Outcome::NotRun);
  CHECK(repeat(Table, "nonsense", "c") == Outcome::NotRun);
}

TEST_CASE("a flood of ids or of large results evicts the flooder's own "
          "records") {
  OperationTable Table =
      makeOperationTable("a", 1, {.Records = 8, .AnswerBytes = 100});
  std::string Small = runOne(Table, "small");
  for (int I = 0; I < 100; ++I)
    runOne(Table, "many");
  CHECK(repeat(Table, Small, "small") == Outcome::Complete);
  for (int I = 0; I < 100; ++I)
    runOne(Table, "large", std::string(60, 'x'));
  CHECK(repeat(Table, Small, "small") == Outcome::Complete);
  CHECK(Table.Records.size() <= 8);
  CHECK(Table.AnswerBytes <= 100);
}

TEST_CASE("a full table of running operations refuses new ids instead of "
          "losing results") {
  OperationTable Table = makeOperationTable("a", 1, {.Records = 1});
  std::string Id = *openOperation(Table, "c", "ledger");
  runOperation(Table, Id, "c", {"e", "r"});
  CHECK_FALSE(openOperation(Table, "c", "ledger"));
  CHECK(finishOperation(Table, Id, {Outcome::Complete, 200, ""}).size() == 1);
  CHECK(finishOperation(Table, Id, {Outcome::Failed, 500, ""}).empty());
  CHECK(Table.Running == 0);
  CHECK(repeat(Table, Id, "c") == Outcome::Complete);
}

TEST_CASE("an operation that the service proved not run can be run once") {
  OperationTable Table = makeOperationTable("a", 1);
  std::string Id = *openOperation(Table, "c", "ledger");
  runOperation(Table, Id, "c", {"e", "r"});
  finishOperation(Table, Id, {Outcome::NotRun, 0, "", ErrorCode::NotReady});
  CHECK(runOperation(Table, Id, "c", {"e", "r"}).Action == RunAction::Start);
}

TEST_CASE("waiters of one operation are bounded") {
  OperationTable Table = makeOperationTable("a", 1, {.Waiters = 2});
  std::string Id = *openOperation(Table, "c", "ledger");
  runOperation(Table, Id, "c", {"e", "1"});
  CHECK(runOperation(Table, Id, "c", {"e", "2"}).Action == RunAction::Wait);
  CHECK(runOperation(Table, Id, "c", {"e", "2"}).Action == RunAction::Wait);
  CHECK(repeat(Table, Id, "c") == Outcome::Unknown);
}
