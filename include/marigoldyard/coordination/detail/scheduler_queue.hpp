#pragma once

#include "marigoldyard/coordination/scheduler.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace marigoldyard::detail {

/// Converts seconds, limited to 0 to one hour.
Duration fromSeconds(double Seconds);

double toSeconds(Duration Value);

RankQueue &queueOf(SchedulerState &State, Rank Priority);

/// Cost per second of the whole endpoint; 0 when unknown.
double endpointRate(const SchedulerState &State);

/// Expected time from start to end of work; zero when unknown.
Duration serviceTime(const SchedulerState &State, const QueuedWork &Work);

/// Cost of the prompt and of the answer tokens produced so far.
std::uint64_t costSoFar(const WorkRecord &Record);

/// Slots in use.
std::uint32_t runningCount(const SchedulerState &State);

/// Work that waits for a slot: new, or paused before its end.
bool backlogged(const SchedulerState &State, Rank Priority);

/// Cost that a rank lacks to its floor; negative when it is above.
double floorDeficit(const SchedulerState &State, Rank Priority);

/// Lowers the weight of earlier service in the comparison with the floors.
void decayService(SchedulerState &State, TimePoint Now);

/// Sets the cost charged for a record to its caller and its rank.
void chargeTo(SchedulerState &State, WorkRecord &Record, std::uint64_t Cost);

/// Takes a waiting id out of its caller's queue; its record stays.
void removeWaiting(SchedulerState &State, const WorkRecord &Record);

/// Drops waiting work; checks that it was not started.
Refusal refuseWaiting(SchedulerState &State, const std::string &Id,
                      ErrorCode Reason, Duration RetryAfter);

/// Limits a Retry-After to a range that helps the sender.
Duration clampRetry(Duration Value);

/// Caller record of a rank; makes room by forgetting an idle caller with the
/// least service, so that a caller that used much keeps its record.
CallerFlow *flowFor(SchedulerState &State, const QueuedWork &Work);

/// Evicts the work that would be served last until the rank has room. The
/// guaranteed places of a caller are beyond the limit of queue time, so that a
/// caller within its share isn't refused because its request is large.
bool makeRoom(SchedulerState &State, const QueuedWork &Work, std::uint64_t Cost,
              std::vector<Refusal> &Evicted);

/// Whether work that starts after a wait is expected to end in time.
bool canMeetDeadline(const SchedulerState &State, const QueuedWork &Work,
                     TimePoint Now, Duration Wait);

} // namespace marigoldyard::detail
