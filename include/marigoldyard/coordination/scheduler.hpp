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

/// @brief Prompt tokens that cost as much as one answer token. A prompt is
/// processed in large parallel steps, an answer one step a token.
inline constexpr std::uint64_t PromptTokensPerAnswerToken = 8;

/// @brief Cost of a request in answer tokens, the unit of all shares, queue
/// lengths and reports of the scheduler.
/// @param PromptTokens of the request, without those in the prefix cache
/// @param AnswerTokens estimated or produced
/// @return the cost, at least 1
/// @complexity constant
constexpr std::uint64_t tokenCost(std::uint64_t PromptTokens,
                                  std::uint64_t AnswerTokens) {
  const std::uint64_t Cost =
      PromptTokens / PromptTokensPerAnswerToken + AnswerTokens;
  return Cost == 0 ? 1 : Cost;
}

/// @brief Limits and shares of one endpoint's scheduler.
struct SchedulerSettings {
  std::uint32_t Slots = 1;         ///< requests that the endpoint runs at once
  std::uint32_t UrgentReserve = 0; ///< slots that only urgent work may take;
                                   ///< below Slots. For engines that cannot
                                   ///< resume a stream
  bool CanPause = false;           ///< the engine resumes a paused stream
  std::uint32_t MaxPaused = 12;    ///< streams that are paused at once
  std::array<double, RankCount> Floors = {
      0.0, 0.2, 0.05}; ///< guaranteed share of tokens by rank, 0 to 1; the sum
                       ///< is at most 1; the floor of Urgent is ignored
  std::uint32_t MaxQueuedPerRank = 512; ///< waiting requests
  std::array<std::uint32_t, RankCount> GuaranteedPerCaller = {
      1, 2, 1}; ///< waiting requests that a caller may have in a full queue
  std::uint32_t MaxQueuedPerCaller = 256; ///< waiting requests in one rank
  std::uint32_t MaxCallers = 256;         ///< callers remembered in one rank
  std::array<Duration, RankCount> MaxQueueTime = {
      std::chrono::seconds(1), std::chrono::milliseconds(1000),
      std::chrono::seconds(1)}; ///< waiting tokens divided by the token rate of
                                ///< the endpoint
  double AnswerTokensPerSecond = 0; ///< first estimate of the rate of one
                                    ///< stream; 0 when unknown
};

/// @brief A request as the scheduler sees it.
struct QueuedWork {
  std::string Id;      ///< unique over all senders, tries and incarnations
  std::string Caller;  ///< product and caller
  double Weight = 1.0; ///< of the caller, above 0
  Rank Priority = Rank::Batch;
  std::uint64_t PromptTokens = 0; ///< without those in the prefix cache
  std::uint64_t AnswerTokens = 1; ///< estimate
  TimePoint Deadline;             ///< by which the answer must be complete
};

/// @brief Work that was not and will not be run.
struct Refusal {
  std::string Id;
  ErrorCode Reason = ErrorCode::QueueFull;
  Duration RetryAfter{}; ///< zero when another try here does not help
};

/// @brief Answer to enqueue.
struct EnqueueResult {
  bool Accepted = false;  ///< the work waits
  bool Duplicate = false; ///< the id waits or runs already; nothing changed and
                          ///< no refusal may be sent
  std::optional<Refusal> Refused; ///< set unless accepted or duplicate
  std::vector<Refusal> Evicted;   ///< waiting work that made room
};

/// @brief An order to the endpoint.
struct Start {
  std::string Id;
  Rank Priority = Rank::Batch;
  bool Resume = false;                   ///< continue a paused stream
  std::optional<std::string> PauseFirst; ///< running stream to pause before
};

/// @brief Answer to next.
struct NextResult {
  std::optional<Start> Begin;   ///< empty when nothing can start
  std::vector<Refusal> Refused; ///< work whose deadline cannot be met
};

/// @brief Progress of a request at the scheduler.
enum class WorkPhase : std::uint8_t { Waiting, Running, Paused };

namespace detail {

/// Sums over finished work; older work counts less.
struct RateSums {
  double Cost = 0.0;
  double Answer = 0.0; ///< tokens
  double Time = 0.0;   ///< seconds that the work ran
  TimePoint MeasuredAt{};
};

struct WorkRecord {
  QueuedWork Work;
  WorkPhase Phase = WorkPhase::Waiting;
  std::uint64_t StartOrder = 0;
  TimePoint StartedAt;
  Duration RunTime{};     ///< of earlier periods, before pauses
  std::uint64_t Cost = 1; ///< tokenCost of the estimate
  std::uint64_t Charged = 0;
  std::uint64_t AnswerTokens = 0; ///< produced so far
};

struct CallerFlow {
  std::deque<std::string> Waiting;
  std::uint64_t WaitingCost = 0;
  std::uint32_t Active = 0; ///< running or paused requests
  double Weight = 1.0;
  double VirtualFinish = 0.0; ///< tokens per unit of weight
};

struct RankQueue {
  std::map<std::string, CallerFlow, std::less<>> Flows;
  double VirtualTime = 0.0;
  double Served = 0.0; ///< cost, older service counts less
  std::uint64_t WaitingCost = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t Running = 0;
  std::uint64_t RunningCost = 0; ///< charged and not yet finished
};

} // namespace detail

/// @brief State of the scheduler of one endpoint. Changed only by the functions
/// below.
struct SchedulerState {
  SchedulerSettings Settings;
  bool Leaving = false;
  std::uint64_t Starts = 0;
  TimePoint DecayedAt; ///< of the service that floors compare
  detail::RateSums Rates;
  std::unordered_map<std::string, detail::WorkRecord> Records;
  std::array<detail::RankQueue, RankCount> Ranks;
  std::deque<std::string> Paused; ///< oldest first
};

/// @brief Floors of an endpoint that serves several products: the highest of
/// each rank, scaled down when their sum exceeds the capacity.
/// @param Products products that the endpoint serves
/// @return the floors by rank
/// @complexity linear in the number of products
std::array<double, RankCount>
combinedFloors(std::span<const Product *const> Products);

/// @brief A scheduler without work.
/// @param Settings limits and shares
/// @return the state
/// @complexity constant
SchedulerState makeScheduler(const SchedulerSettings &Settings);

/// @brief Puts work into the queue of its rank and caller, or refuses it. When
/// the rank is full, the caller with the longest queue for its weight loses its
/// newest waiting work.
/// @param State the scheduler
/// @param Work the work
/// @param Now the present time
/// @return accepted, duplicate or refused with reason: EndpointLeaving,
/// QueueFull or DeadlineExceeded; and work evicted in favour of this one
/// @complexity linear in the remembered callers of the rank
EnqueueResult enqueue(SchedulerState &State, QueuedWork Work, TimePoint Now);

/// @brief Chooses the work that starts next and marks it running. To be called
/// again until it returns nothing.
///
/// A rank below its floor goes first, then the most urgent rank. Within a rank
/// the caller with the least service for its weight goes first.
/// @param State the scheduler
/// @param Now the present time
/// @return the work to start, if a slot is free or can be freed, and waiting
/// work that is dropped because its deadline cannot be met
/// @complexity linear in the remembered callers and the running work
NextResult next(SchedulerState &State, TimePoint Now);

/// @brief Notes the tokens that running work used so far, so that work beyond
/// its estimate is charged before it ends.
/// @param State the scheduler
/// @param Id the work; an unknown id is ignored
/// @param AnswerTokens produced so far
/// @complexity constant on average, logarithmic in the callers of the rank
void correct(SchedulerState &State, std::string_view Id,
             std::uint64_t AnswerTokens);

/// @brief Ends work that ran and replaces its estimated by its actual cost.
/// @param State the scheduler
/// @param Id the work
/// @param AnswerTokens produced
/// @param Now the present time
/// @return whether the work was running or paused
/// @complexity constant on average, logarithmic in the callers of the rank
bool finish(SchedulerState &State, std::string_view Id,
            std::uint64_t AnswerTokens, TimePoint Now);

/// @brief Removes work.
/// @param State the scheduler
/// @param Id the work
/// @return the phase it was in (Running and Paused: the endpoint must be told),
/// or nothing when the id is unknown
/// @complexity linear in the waiting work of the caller
std::optional<WorkPhase> cancel(SchedulerState &State, std::string_view Id);

/// @brief Leaves a pause of the own process out of the running time of work, so
/// that it does not lower the measured rate of the endpoint.
/// @param State the scheduler
/// @param Pause length of the pause
/// @complexity linear in all work
void excludePause(SchedulerState &State, Duration Pause);

/// @brief Drops waiting work whose deadline cannot be met. Work that started is
/// never dropped. Without work, an old measured rate is forgotten.
/// @param State the scheduler
/// @param Now the present time
/// @return the dropped work
/// @complexity linear in all work
std::vector<Refusal> expire(SchedulerState &State, TimePoint Now);

/// @brief Begins leaving: all waiting work is refused and no work is started
/// from here on. Running work ends, and paused work is resumed.
/// @param State the scheduler
/// @return the refused work
/// @complexity linear in all work
std::vector<Refusal> leave(SchedulerState &State);

/// @brief Replaces the settings; waiting work is kept.
/// @param State the scheduler
/// @param Settings the new settings
/// @complexity constant
void changeSettings(SchedulerState &State, const SchedulerSettings &Settings);

/// @brief Time that new work of a caller would wait, from the work ahead of it.
/// @param State the scheduler
/// @param Work the work
/// @return the estimate; zero while the rate of the endpoint is unknown
/// @complexity linear in the remembered callers of the rank
Duration estimatedWait(const SchedulerState &State, const QueuedWork &Work);

/// @brief The scheduler's part of the load report: tokens by rank, running
/// work, slots, rate and the leaving flag.
/// @param State the scheduler
/// @return the report; Ready is true unless leaving, ReadyWeights is empty
/// @complexity constant
LoadReport loadReport(const SchedulerState &State);

/// @brief Whether nothing runs or is paused, so that the process may exit.
/// @param State the scheduler
/// @return true when no started work is left
/// @complexity constant
bool idle(const SchedulerState &State);

} // namespace marigoldyard
