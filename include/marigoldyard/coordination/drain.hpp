#pragma once

#include "marigoldyard/state/error.hpp"
#include "marigoldyard/state/time.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace marigoldyard {

/// @brief Stage of draining a process.
enum class DrainStage : std::uint8_t {
  Serving,   ///< not draining
  Lingering, ///< draining, but still accepts requests from callers that
             ///< were directed here before
  Finishing, ///< refuses new requests, finishes running requests
  Done,      ///< the process may exit
};

/// @brief All stages, for property-based tests.
inline constexpr DrainStage AllDrainStages[] = {
    DrainStage::Serving, DrainStage::Lingering, DrainStage::Finishing,
    DrainStage::Done};

/// @brief Drain state of an entry or agent.
struct DrainState {
  std::string Process; ///< name of the process, reported in errors
  DrainStage Stage = DrainStage::Serving;
  TimePoint LingerUntil{};
  TimePoint Deadline{};
  std::uint64_t Running = 0;
  std::uint64_t Refused = 0;         ///< requests refused while draining
  std::uint64_t AbortedRequests = 0; ///< requests still running at the deadline
};

/// @brief Starts draining. Has no effect if draining has already started.
/// @param State drain state of the process
/// @param Linger how long new requests are still accepted: 0 for an agent, the
/// max_age of directory responses for an entry
/// @param Limit maximum time until the process exits
/// @param Now the current time
/// @complexity constant
void beginDrain(DrainState &State, Duration Linger, Duration Limit,
                TimePoint Now);

/// @brief Restarts the time limit of a process that has drained earlier and is
/// now told to exit. Has no effect before beginDrain and in stage Done.
/// @param State drain state of the process
/// @param Limit maximum time until the process exits
/// @param Now the current time
/// @complexity constant
void restartDeadline(DrainState &State, Duration Limit, TimePoint Now);

/// @brief Accepts a request and counts it as running, or refuses it.
/// @param State drain state of the process
/// @param Now the current time
/// @return nothing when accepted, otherwise EndpointLeaving
/// @complexity constant
std::optional<Error> admitWork(DrainState &State, TimePoint Now);

/// @brief Removes an accepted request from the running requests.
/// @param State drain state of the process
/// @complexity constant
void recordWorkFinished(DrainState &State);

/// @brief Advances the stage according to the time and the number of running
/// requests.
/// @param State drain state of the process
/// @param Now the current time
/// @return the stage; in Done, AbortedRequests is the number of requests that
/// were still running at the deadline
/// @complexity constant
DrainStage updateDrain(DrainState &State, TimePoint Now);

/// @brief Time at which updateDrain must be called even if no request finishes.
/// @param State drain state of the process
/// @return the time, or nothing in the stages Serving and Done
/// @complexity constant
std::optional<TimePoint> nextDrainUpdate(const DrainState &State);

} // namespace marigoldyard
