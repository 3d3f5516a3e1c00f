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

/// @brief Id of an operation, formatted as `AGENT.INCARNATION.COUNTER`.
struct OperationId {
  std::string Agent;
  Incarnation Issuer = 0;
  std::uint64_t Counter = 0; ///< consecutive, from 1

  friend bool operator==(const OperationId &, const OperationId &) = default;
};

/// @brief Maximum length of a formatted operation id in bytes.
inline constexpr std::size_t MaxOperationIdBytes = 160;

/// @brief Formats an operation id.
/// @param Id the id
/// @return `AGENT.INCARNATION.COUNTER` with decimal numbers
/// @complexity linear in the length of the text
std::string printOperationId(const OperationId &Id);

/// @brief Parses an operation id. Numbers must be positive, without a sign or
/// leading zeros; the name of the agent may contain dots.
/// @param Text the formatted id
/// @return the id, or nothing when the text is malformed
/// @complexity linear in the length of the text
std::optional<OperationId> parseOperationId(std::string_view Text);

/// @brief State of an operation.
enum class OperationState : std::uint8_t { Open, Running, Done };

/// @brief All states, for property-based tests.
inline constexpr OperationState AllOperationStates[] = {
    OperationState::Open, OperationState::Running, OperationState::Done};

/// @brief Recorded result of an operation.
struct OperationAnswer {
  Outcome Result = Outcome::Unknown;
  std::uint32_t Status = 0; ///< HTTP status of the service; valid when complete
  std::string Body;
  ErrorCode Reason =
      ErrorCode::OperationUnknown; ///< error code; valid unless complete

  friend bool operator==(const OperationAnswer &,
                         const OperationAnswer &) = default;
};

/// @brief A request that is answered when a running operation finishes.
struct OperationWaiter {
  std::string Entry;
  std::string Request;

  friend bool operator==(const OperationWaiter &,
                         const OperationWaiter &) = default;
};

/// @brief Size limits of an operation table.
struct OperationLimits {
  std::size_t Records = 16384;
  std::size_t AnswerBytes = 32ULL * 1024 * 1024; ///< of all recorded bodies
  std::size_t Waiters = 16; ///< waiting requests of one operation
  /// A repeated request moves the record to the end of its caller's eviction
  /// order, so that a caller that polls still finds its result; see
  /// docs/decisions/operations.md for the measurement.
  bool RefreshOnRepeat = true;
};

/// @brief State and result of one operation.
struct OperationRecord {
  std::string Caller;
  std::string Service;
  OperationState State = OperationState::Open;
  std::uint32_t Starts = 0; ///< times that the service was called
  OperationAnswer Answer;   ///< valid in state Done
  std::vector<OperationWaiter> Waiters;
  std::list<std::uint64_t>::iterator
      OrderPosition; ///< in EvictableRecords::Order; valid unless Running
};

/// @brief Evictable records of one caller.
struct EvictableRecords {
  std::list<std::uint64_t> Order; ///< counters, oldest first
  std::size_t AnswerBytes = 0;
};

/// @brief Table of the operations that one incarnation of an agent opened.
///
/// Every record that is not running is in the list of evictable records of its
/// caller. Running records are not evictable, because their result would be
/// lost.
struct OperationTable {
  std::string Agent;
  Incarnation OwnIncarnation = 0;
  OperationLimits Limits;
  std::uint64_t LastCounter = 0;
  std::uint64_t Watermark = 0; ///< highest counter that was evicted
  std::uint64_t Evicted = 0;
  std::size_t AnswerBytes = 0; ///< of all recorded bodies
  std::size_t Running = 0;
  std::unordered_map<std::uint64_t, OperationRecord> Records;
  std::map<std::string, EvictableRecords> EvictableByCaller; ///< by caller
  std::set<std::pair<std::size_t, std::string>>
      CallersByRecordCount; ///< by number of evictable records
  std::set<std::pair<std::size_t, std::string>>
      CallersByBodyBytes; ///< by total size of the recorded bodies
};

/// @brief Creates an empty table.
/// @param Agent name of the agent
/// @param OwnIncarnation incarnation of the agent; not 0
/// @param Limits size limits of the table
/// @return the empty table
/// @complexity constant
OperationTable makeOperationTable(std::string Agent, Incarnation OwnIncarnation,
                                  OperationLimits Limits = {});

/// @brief Opens an operation. Evicts a record if the table is full.
/// @param Table table of operations
/// @param Caller the only caller that may run the operation
/// @param Service service that runs the operation
/// @return the formatted id; QueueFull when the table is full and every record
/// is running
/// @complexity logarithmic in the number of callers
Expected<std::string> openOperation(OperationTable &Table,
                                    const std::string &Caller,
                                    const std::string &Service);

/// @brief How to handle a request to run an operation.
enum class RunAction : std::uint8_t {
  Start,  ///< call the service; the record is now Running
  Wait,   ///< already running; the waiter was added to the record
  Answer, ///< reply with the recorded result or the refusal
};

/// @brief Result of runOperation.
struct RunDecision {
  RunAction Action = RunAction::Answer;
  std::string Service;    ///< valid for Start
  OperationAnswer Answer; ///< valid for Answer
};

/// @brief Handles a request to run an operation. Only an operation in state
/// Open is started, so that each runs at most once.
/// @param Table table of operations
/// @param Id formatted id
/// @param Caller caller of the request
/// @param Waiter request to answer when the operation finishes
/// @param RefuseStart why no operation may start now, for example because the
/// agent drains or its queue is full; recorded results are still returned
/// @return Start, Wait, or an answer. The answer is NotRun only for a malformed
/// id, an id that this incarnation has not issued, or an operation that was not
/// started
/// @complexity logarithmic in the number of callers
RunDecision runOperation(OperationTable &Table, std::string_view Id,
                         std::string_view Caller, OperationWaiter Waiter,
                         std::optional<ErrorCode> RefuseStart = std::nullopt);

/// @brief Records the result of a running operation.
/// @param Table table of operations
/// @param Id formatted id
/// @param Answer the result; NotRun resets the operation to state Open, because
/// the service has proved that it did not run it
/// @return the requests to answer; empty when the operation is not running
/// @complexity logarithmic in the number of callers, plus evictions
std::vector<OperationWaiter> finishOperation(OperationTable &Table,
                                             std::string_view Id,
                                             OperationAnswer Answer);

} // namespace marigoldyard
