#pragma once

#include "marigoldyard/state/error.hpp"
#include "marigoldyard/state/time.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace marigoldyard {

/// @brief Stage of a process that leaves.
enum class DrainStage : std::uint8_t {
  Serving,   ///< not leaving
  Lingering, ///< leaving, still accepts what callers were told to send here
  Finishing, ///< accepts nothing, finishes what runs
  Done,      ///< may exit
};

/// @brief All stages, for generated tests.
inline constexpr DrainStage AllDrainStages[] = {
    DrainStage::Serving, DrainStage::Lingering, DrainStage::Finishing,
    DrainStage::Done};

/// @brief Departure of an entry or agent.
struct DrainState {
  std::string Process; ///< own name, for errors
  DrainStage Stage = DrainStage::Serving;
  TimePoint LingerUntil{};
  TimePoint Deadline{};
  std::uint64_t Running = 0;
  std::uint64_t Refused = 0; ///< since leaving began
  std::uint64_t Cut = 0;     ///< requests in progress at the deadline
};

/// @brief Begins to leave; a second call changes nothing.
/// @param State the process
/// @param Linger how long new work is still accepted: 0 for an agent, the
/// max_age of directory answers for an entry
/// @param Limit time until exit at the latest
/// @param Now the current time
/// @complexity constant
void beginDrain(DrainState &State, Duration Linger, Duration Limit,
                TimePoint Now);

/// @brief Starts the time until exit again, for a process that already left
/// service and is told to exit only now. Changes nothing before beginDrain and
/// at Done.
/// @param State the process
/// @param Limit time until exit at the latest
/// @param Now the current time
/// @complexity constant
void restartDeadline(DrainState &State, Duration Limit, TimePoint Now);

/// @brief Accepts a request and counts it as running, or refuses it.
/// @param State the process
/// @param Now the current time
/// @return nothing when accepted, else EndpointLeaving
/// @complexity constant
std::optional<Error> admitWork(DrainState &State, TimePoint Now);

/// @brief Counts an accepted request as finished.
/// @param State the process
/// @complexity constant
void noteWorkFinished(DrainState &State);

/// @brief Moves on to the stage that the time and the running requests call
/// for.
/// @param State the process
/// @param Now the current time
/// @return the stage; at Done, Cut is the number of requests cut off by the
/// deadline
/// @complexity constant
DrainStage drainStep(DrainState &State, TimePoint Now);

/// @brief When drainStep is due even if nothing finishes.
/// @param State the process
/// @return the time, or nothing when the process serves or is done
/// @complexity constant
std::optional<TimePoint> nextDrainStep(const DrainState &State);

} // namespace marigoldyard
