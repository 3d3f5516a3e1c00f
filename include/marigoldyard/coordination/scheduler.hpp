#pragma once

#include "marigoldyard/state/error.hpp"
#include "marigoldyard/state/manifest.hpp"
#include "marigoldyard/state/types.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marigoldyard {

/// @brief Number of prompt tokens that cost as much as one answer token. An
/// engine processes prompt tokens in large parallel batches, but generates the
/// answer one token per step.
inline constexpr std::uint64_t PromptTokensPerAnswerToken = 8;

/// @brief Cost of a request in answer tokens, the unit of all shares, queue
/// lengths and reports of the scheduler.
/// @param PromptTokens prompt tokens that are not in the prefix cache
/// @param AnswerTokens estimated or produced answer tokens
/// @return the cost, at least 1
/// @complexity constant
constexpr std::uint64_t tokenCost(std::uint64_t PromptTokens,
                                  std::uint64_t AnswerTokens) {
  const std::uint64_t Cost =
      PromptTokens / PromptTokensPerAnswerToken + AnswerTokens;
  return Cost == 0 ? 1 : Cost;
}

/// @brief Limits and guaranteed shares of the scheduler of one endpoint.
struct SchedulerSettings {
  std::uint32_t Slots = 1;         ///< requests that run concurrently
  std::uint32_t UrgentReserve = 0; ///< slots reserved for urgent work; less
                                   ///< than Slots. For engines that cannot
                                   ///< resume a paused stream
  bool CanPause = false;           ///< the engine can resume a paused stream
  std::uint32_t MaxPaused = 12;    ///< streams that may be paused at a time
  std::array<double, RankCount> Floors = {
      0.0, 0.2, 0.05}; ///< guaranteed share of tokens by rank, 0 to 1; the sum
                       ///< is at most 1; the value of Urgent is ignored
  std::uint32_t MaxQueuedPerRank = 512; ///< waiting requests in one rank
  std::array<std::uint32_t, RankCount> GuaranteedPerCaller = {
      1, 2, 1}; ///< waiting requests guaranteed to a caller in a full queue,
                ///< by rank
  std::uint32_t MaxQueuedPerCaller =
      256;                        ///< waiting requests of a caller in a rank
  std::uint32_t MaxCallers = 256; ///< callers with a record in one rank
  std::array<Duration, RankCount> MaxQueueTime = {
      std::chrono::seconds(1), std::chrono::milliseconds(1000),
      std::chrono::seconds(1)};     ///< by rank: waiting tokens divided by the
                                    ///< token rate of the endpoint
  double AnswerTokensPerSecond = 0; ///< initial estimate of the rate of one
                                    ///< stream; 0 when unknown
};

/// @brief Scheduling parameters of a request.
struct QueuedWork {
  std::string Id;      ///< unique over all senders, attempts and incarnations
  std::string Caller;  ///< key made of the product and the caller's name
  double Weight = 1.0; ///< fair-queueing weight of the caller, above 0
  Rank Priority = Rank::Batch;
  std::uint64_t PromptTokens = 0; ///< prompt tokens not in the prefix cache
  std::uint64_t AnswerTokens = 1; ///< estimated length of the answer
  TimePoint Deadline;             ///< time by which the answer must be complete
};

/// @brief Rejection of work that was not run and will not be run.
struct Refusal {
  std::string Id;
  ErrorCode Reason = ErrorCode::QueueFull;
  Duration RetryAfter{}; ///< zero when a retry at this endpoint does not help
};

/// @brief Result of enqueue.
struct EnqueueResult {
  bool Accepted = false;  ///< the work was queued
  bool Duplicate = false; ///< the id is already waiting, running or paused;
                          ///< nothing changed and no refusal may be sent
  std::optional<Refusal> Refused; ///< set unless accepted or duplicate
  std::vector<Refusal> Evicted;   ///< waiting work removed to make room
};

/// @brief Command to the endpoint to start or resume a request.
struct StartCommand {
  std::string Id;
  Rank Priority = Rank::Batch;
  bool Resume = false;                   ///< continue a paused stream
  std::optional<std::string> PauseFirst; ///< stream to pause before the start
};

/// @brief Result of scheduleNext.
struct ScheduleResult {
  std::optional<StartCommand> Command; ///< empty when nothing can start
  std::vector<Refusal> Refused;        ///< dropped: the deadline cannot be met
};

/// @brief State of a request in the scheduler.
enum class WorkPhase : std::uint8_t { Waiting, Running, Paused };

namespace detail {

/// Exponentially decayed sums over finished work, from which the token rate of
/// the endpoint is estimated.
struct RateSums {
  double Cost = 0.0;
  double ProducedTokens = 0.0; ///< tokens
  double RunSeconds = 0.0;     ///< run time in seconds
  TimePoint MeasuredAt{};
};

/// Waiting, running or paused work.
struct WorkRecord {
  QueuedWork Work;
  WorkPhase Phase = WorkPhase::Waiting;
  std::uint64_t StartOrder = 0;
  TimePoint StartedAt;
  Duration RunTime{};     ///< before the latest resume
  std::uint64_t Cost = 1; ///< tokenCost of the estimate
  std::uint64_t ChargedCost = 0;
  std::uint64_t AnswerTokens = 0; ///< produced so far
};

/// Queue of one caller in a rank: a flow of weighted fair queueing.
struct CallerFlow {
  std::deque<std::string> Waiting;
  std::uint64_t WaitingCost = 0;
  std::uint32_t Active = 0; ///< running or paused requests
  double Weight = 1.0;
  double VirtualFinish = 0.0; ///< tokens per unit of weight
};

/// Weighted fair queue over the callers of one rank.
struct RankQueue {
  std::map<std::string, CallerFlow, std::less<>> Flows;
  double VirtualTime = 0.0;
  double ServedCost = 0.0; ///< exponentially decayed
  std::uint64_t WaitingCost = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t Running = 0;
  std::uint64_t RunningCost = 0; ///< charged cost of running work
};

} // namespace detail

/// @brief State of the scheduler of one endpoint. Only the functions below
/// modify it.
struct SchedulerState {
  SchedulerSettings Settings;
  bool Draining = false;
  std::uint64_t Starts = 0;
  TimePoint DecayedAt; ///< time of the latest decay of the served cost
  detail::RateSums Rates;
  std::unordered_map<std::string, detail::WorkRecord> Records;
  std::array<detail::RankQueue, RankCount> Ranks;
  std::deque<std::string> Paused; ///< oldest first
};

/// @brief Guaranteed shares of an endpoint that serves several products: the
/// maximum of each rank, scaled down when the sum exceeds 1.
/// @param Products products that the endpoint serves
/// @return the shares by rank, 0 to 1
/// @complexity linear in the number of products
std::array<double, RankCount>
combinedFloors(std::span<const Product *const> Products);

/// @brief Creates a scheduler without work.
/// @param Settings limits and guaranteed shares
/// @return the initial state
/// @complexity constant
SchedulerState makeScheduler(const SchedulerSettings &Settings);

/// @brief Adds work to the queue of its rank and caller, or refuses it. When
/// the rank is full, the newest waiting work of the caller with the longest
/// queue relative to its weight is evicted.
/// @param State the scheduler
/// @param Work the work to queue
/// @param Now the current time
/// @return accepted, duplicate, or refused with EndpointLeaving, QueueFull or
/// DeadlineExceeded; and the work evicted to make room
/// @complexity linear in the recorded callers of the rank
EnqueueResult enqueue(SchedulerState &State, QueuedWork Work, TimePoint Now);

/// @brief Selects the work that starts next and marks it as running. Call it
/// repeatedly until it returns no command.
///
/// Ranks below their guaranteed share come first, then the most urgent rank.
/// Within a rank, the caller with the least service relative to its weight
/// comes first.
/// @param State the scheduler
/// @param Now the current time
/// @return the work to start, if a slot is free or can be freed, and the
/// waiting work dropped because its deadline cannot be met
/// @complexity linear in the recorded callers and the running work
ScheduleResult scheduleNext(SchedulerState &State, TimePoint Now);

/// @brief Updates the number of tokens that started work has produced, so that
/// work that exceeds its estimate is charged before it finishes.
/// @param State the scheduler
/// @param Id id of the work; ignored if unknown or still waiting
/// @param AnswerTokens answer tokens produced so far
/// @complexity constant on average, logarithmic in the callers of the rank
void updateProgress(SchedulerState &State, std::string_view Id,
                    std::uint64_t AnswerTokens);

/// @brief Removes finished work and replaces its estimated cost by the actual
/// cost.
/// @param State the scheduler
/// @param Id id of the work
/// @param AnswerTokens answer tokens produced in total
/// @param Now the current time
/// @return true if the work was running or paused
/// @complexity constant on average, logarithmic in the callers of the rank
bool finish(SchedulerState &State, std::string_view Id,
            std::uint64_t AnswerTokens, TimePoint Now);

/// @brief Removes work in any phase.
/// @param State the scheduler
/// @param Id id of the work
/// @return the phase before the removal, or nothing when the id is unknown. For
/// Running and Paused, the endpoint must be notified
/// @complexity linear in the waiting work of the caller
std::optional<WorkPhase> cancel(SchedulerState &State, std::string_view Id);

/// @brief Excludes a pause of this process from the run time of all running
/// work, so that it does not lower the measured rate of the endpoint.
/// @param State the scheduler
/// @param Pause length of the pause
/// @complexity linear in all work
void excludePause(SchedulerState &State, Duration Pause);

/// @brief Drops waiting work whose deadline cannot be met. Started work is
/// never dropped. While there is no work, an outdated rate is reset to the
/// initial estimate.
/// @param State the scheduler
/// @param Now the current time
/// @return the dropped work
/// @complexity linear in all work
std::vector<Refusal> expireWaiting(SchedulerState &State, TimePoint Now);

/// @brief Starts draining: refuses all waiting work and starts no new work from
/// then on. Running work continues to its end, and paused work is resumed.
/// @param State the scheduler
/// @return the refused work
/// @complexity linear in all work
std::vector<Refusal> startDraining(SchedulerState &State);

/// @brief Replaces the settings and keeps all work.
/// @param State the scheduler
/// @param Settings the new limits and guaranteed shares
/// @complexity constant
void changeSettings(SchedulerState &State, const SchedulerSettings &Settings);

/// @brief Estimates the queueing delay of new work from the work ahead of it.
/// @param State the scheduler
/// @param Work the new work
/// @return the estimate; zero while a slot is free or the rate of the endpoint
/// is unknown
/// @complexity linear in the recorded callers of the rank
Duration estimatedWait(const SchedulerState &State, const QueuedWork &Work);

/// @brief Fills the scheduler's part of the load report: tokens by rank,
/// running work, slots, rate and whether the endpoint drains.
/// @param State the scheduler
/// @return the report; Ready is true unless draining, ReadyWeights is empty
/// @complexity constant
LoadReport loadReport(const SchedulerState &State);

/// @brief Whether no work is running or paused, so that the process may exit.
/// @param State the scheduler
/// @return true when there is no started work; waiting work does not count
/// @complexity constant
bool isIdle(const SchedulerState &State);

} // namespace marigoldyard
