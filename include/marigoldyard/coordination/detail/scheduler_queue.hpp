#pragma once

#include "marigoldyard/coordination/scheduler.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace marigoldyard::detail {

/// Converts seconds to a duration, clamped to the range from 0 to one hour.
Duration fromSeconds(double Seconds);

double toSeconds(Duration Value);

RankQueue &queueForRank(SchedulerState &State, Rank Priority);

/// Cost per second that the endpoint processes in all slots; 0 when unknown.
double endpointRate(const SchedulerState &State);

/// Expected run time of the work; zero when the rate is unknown.
Duration serviceTime(const SchedulerState &State, const QueuedWork &Work);

/// Cost of the prompt and of the answer tokens produced so far.
std::uint64_t currentCost(const WorkRecord &Record);

/// Number of slots in use.
std::uint32_t runningCount(const SchedulerState &State);

/// Whether a rank has work that needs a slot: waiting, or paused.
bool hasBacklog(const SchedulerState &State, Rank Priority);

/// Cost that a rank lacks to reach its guaranteed share; negative when it has
/// received more.
double floorDeficit(const SchedulerState &State, Rank Priority);

/// Decays the served cost of all ranks exponentially up to the given time.
void decayService(SchedulerState &State, TimePoint Now);

/// Sets the total cost that a record is charged to its caller and its rank.
void setChargedCost(SchedulerState &State, WorkRecord &Record,
                    std::uint64_t Cost);

/// Removes waiting work from the queue of its caller; the record stays.
void removeWaiting(SchedulerState &State, const WorkRecord &Record);

/// Removes waiting work and its record; checks that it was not started.
Refusal refuseWaiting(SchedulerState &State, const std::string &Id,
                      ErrorCode Reason, Duration RetryAfter);

/// Clamps a Retry-After to the range from 100 ms to 10 s.
Duration clampRetryAfter(Duration Value);

/// Returns the flow of the work's caller and creates it if needed. At the limit
/// of callers, the flow without work that has the lowest virtual finish time is
/// evicted, so that heavy callers keep their record. Returns null when every
/// flow has work.
CallerFlow *findOrAddFlow(SchedulerState &State, const QueuedWork &Work);

/// Evicts the work that would be served last until the rank has room; returns
/// whether the new work may be queued. The guaranteed waiting requests of a
/// caller are exempt from the limit of the queue time, so that a caller within
/// its guarantee is not refused because its request is large.
bool evictForNewWork(SchedulerState &State, const QueuedWork &Work,
                     std::uint64_t Cost, std::vector<Refusal> &Evicted);

/// Whether work that starts after the given wait is expected to finish by its
/// deadline.
bool canMeetDeadline(const SchedulerState &State, const QueuedWork &Work,
                     TimePoint Now, Duration Wait);

} // namespace marigoldyard::detail
