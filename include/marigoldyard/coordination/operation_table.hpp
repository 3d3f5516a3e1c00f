#pragma once

#include "marigoldyard/state/error.hpp"
#include "marigoldyard/state/types.hpp"

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace marigoldyard {

/// @brief Id of an operation, printed as `AGENT.INCARNATION.COUNTER`.
struct OperationId {
  std::string Agent;
  Incarnation Issuer = 0;
  std::uint64_t Counter = 0; ///< 1, 2, 3, ...

  friend bool operator==(const OperationId &, const OperationId &) = default;
};

/// @brief Longest text of an operation id in bytes.
inline constexpr std::size_t MaxOperationIdBytes = 160;

/// @brief Prints an operation id.
/// @param Id the id
/// @return `AGENT.INCARNATION.COUNTER` with decimal numbers
/// @complexity linear in the length of the text
std::string printOperationId(const OperationId &Id);

/// @brief Parses an operation id. Numbers have no sign, no leading zero and are
/// not 0; the agent's name may contain dots.
/// @param Text the printed id
/// @return the id, or nothing when the text is malformed
/// @complexity linear in the length of the text
std::optional<OperationId> parseOperationId(std::string_view Text);

/// @brief State of a record.
enum class OperationState : std::uint8_t { Open, Running, Done };

/// @brief All states, for generated tests.
inline constexpr OperationState AllOperationStates[] = {
    OperationState::Open, OperationState::Running, OperationState::Done};

/// @brief Recorded result of an operation.
struct OperationAnswer {
  Outcome Result = Outcome::Unknown;
  std::uint32_t Status = 0; ///< HTTP status of the service when complete
  std::string Body;
  ErrorCode Reason = ErrorCode::OperationUnknown; ///< valid unless complete

  friend bool operator==(const OperationAnswer &,
                         const OperationAnswer &) = default;
};

/// @brief A request that waits for the result of a running operation.
struct OperationWaiter {
  std::string Entry;
  std::string Request;

  friend bool operator==(const OperationWaiter &,
                         const OperationWaiter &) = default;
};

/// @brief Bounds of an operation table.
struct OperationLimits {
  std::size_t Records = 16384;
  std::size_t AnswerBytes = 32ULL * 1024 * 1024; ///< of all recorded bodies
  std::size_t Waiters = 16; ///< requests that wait for one operation
  /// A repeat makes the record its caller's youngest, so that a caller that
  /// keeps asking finds its result; measured in docs/decisions/operations.md.
  bool RefreshOnRepeat = true;
};

/// @brief One operation.
struct OperationRecord {
  std::string Caller;
  std::string Service;
  OperationState State = OperationState::Open;
  std::uint32_t Starts = 0; ///< times the run was handed to the service
  OperationAnswer Answer;   ///< valid when Done
  std::vector<OperationWaiter> Waiters;
  std::list<std::uint64_t>::iterator Place; ///< valid unless Running
};

/// @brief Records of one caller that can be evicted.
struct OperationShare {
  std::list<std::uint64_t> Order; ///< counters, oldest first
  std::size_t AnswerBytes = 0;
};

/// @brief Operations that one incarnation of an agent opened.
///
/// Records that can be evicted are in their caller's share. Running records are
/// in no share: evicting one would lose its result.
struct OperationTable {
  std::string Agent;
  Incarnation Own = 0;
  OperationLimits Limits;
  std::uint64_t LastCounter = 0;
  std::uint64_t Watermark = 0; ///< highest evicted counter
  std::uint64_t Evicted = 0;
  std::size_t AnswerBytes = 0; ///< of all recorded bodies
  std::size_t Running = 0;
  std::unordered_map<std::uint64_t, OperationRecord> Records;
  std::map<std::string, OperationShare> Shares; ///< by caller
  std::set<std::pair<std::size_t, std::string>>
      ByRecords; ///< callers by number of evictable records
  std::set<std::pair<std::size_t, std::string>>
      ByBytes; ///< callers by bytes of recorded bodies
};

/// @brief Starts an empty table.
/// @param Agent name of the agent
/// @param Own incarnation of the agent; not 0
/// @param Limits bounds of the table
/// @return the table
/// @complexity constant
OperationTable beginOperationTable(std::string Agent, Incarnation Own,
                                   OperationLimits Limits = {});

/// @brief Opens an operation.
/// @param Table the table
/// @param Caller caller that may run it
/// @param Service service that runs it
/// @return the printed id; QueueFull when every record is running
/// @complexity logarithmic in the number of callers
Expected<std::string> openOperation(OperationTable &Table,
                                    const std::string &Caller,
                                    const std::string &Service);

/// @brief What to do about a request to run an operation.
enum class RunAction : std::uint8_t {
  Start,  ///< hand it to the service; the record is now Running
  Wait,   ///< it runs; the waiter is answered when it finishes
  Answer, ///< return the recorded or refusing answer
};

/// @brief Decision about a request to run an operation.
struct RunDecision {
  RunAction Action = RunAction::Answer;
  std::string Service;    ///< valid for Start
  OperationAnswer Answer; ///< valid for Answer
};

/// @brief Decides about a request to run an operation. Only a record in state
/// Open is started.
/// @param Table the table
/// @param Id printed id
/// @param Caller caller of the request
/// @param Waiter whom to answer when the operation finishes
/// @param RefuseStart why nothing new may start now, as when the agent leaves
/// or its queue is full; recorded results are still answered
/// @return start, wait, or an answer; NotRun is answered only for an id that
/// this agent never issued or for a record that was not started
/// @complexity logarithmic in the number of callers
RunDecision runOperation(OperationTable &Table, std::string_view Id,
                         std::string_view Caller, OperationWaiter Waiter,
                         std::optional<ErrorCode> RefuseStart = std::nullopt);

/// @brief Records the result of a running operation.
/// @param Table the table
/// @param Id printed id
/// @param Answer the result; NotRun returns the record to state Open, because
/// the service proved that it was not run
/// @return the waiters to answer; empty when the operation is not running
/// @complexity logarithmic in the number of callers, plus evictions
std::vector<OperationWaiter> finishOperation(OperationTable &Table,
                                             std::string_view Id,
                                             OperationAnswer Answer);

} // namespace marigoldyard
