#pragma once

#include "marigoldyard/state/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace marigoldyard {

/// @brief Maximum number of attempts of one request that run at the same time:
/// one at a server that is silent or about to load, one at the server that may
/// replace it.
inline constexpr std::size_t MaxConcurrentAttempts = 2;

/// @brief Reads with events after which a stream counts as begun: a server may
/// crash or refuse just after its first event.
inline constexpr std::uint32_t EventReadsToBegin = 2;

/// @brief Move of a stream from a sound server to another one.
struct StreamMove {
  std::uint32_t From = 0; ///< number of the attempt that the stream leaves
  TimePoint Until{};      ///< from then on the stream stays there
};

/// @brief Attempts of one request that may still answer it.
struct ConcurrentAttempts {
  std::vector<std::uint32_t> Candidates; ///< numbers of attempts, oldest first
  std::optional<StreamMove> Move;        ///< set while both servers may go on
};

/// @brief Adds an attempt that begins.
/// @param Attempts attempts of the request
/// @param Number number of the attempt; unique within the request
void addAttempt(ConcurrentAttempts &Attempts, std::uint32_t Number);

/// @brief Begins to move a stream away from the only candidate. Its events are
/// held until the attempt that is added next has begun, so that this one
/// continues exactly what the caller has.
/// @param Attempts attempts of the request, with one candidate
/// @param Until time at which the stream stays if the other attempt has not
/// begun
void beginMove(ConcurrentAttempts &Attempts, TimePoint Until);

/// @brief Removes an attempt that has ended, so that another one may begin.
/// @param Attempts attempts of the request
/// @param Number number of the attempt; has no effect if it was superseded
void removeAttempt(ConcurrentAttempts &Attempts, std::uint32_t Number);

/// @brief Returns whether an attempt may still answer the request.
/// @param Attempts attempts of the request
/// @param Number number of the attempt
/// @return false after another attempt was chosen, or after it ended
bool isCandidate(const ConcurrentAttempts &Attempts, std::uint32_t Number);

/// @brief Returns whether a further attempt may begin beside those that run.
/// @param Attempts attempts of the request
/// @return false while MaxConcurrentAttempts may answer the request
bool mayAddAttempt(const ConcurrentAttempts &Attempts);

/// @brief Chooses the attempt that answers the request, and supersedes the
/// others.
/// @param Attempts attempts of the request
/// @param Number number of the attempt
/// @return false when the attempt was superseded itself
bool chooseAttempt(ConcurrentAttempts &Attempts, std::uint32_t Number);

/// @brief How events of an attempt are used.
enum class EventUse : std::uint8_t {
  Forward, ///< the attempt is the only one, or was chosen now
  Hold,    ///< another attempt may still answer
  Discard, ///< it was superseded
};

/// @brief Decides how events are used that were read from an attempt, and
/// chooses the attempt when it has begun.
/// @param Attempts attempts of the request
/// @param Number number of the attempt
/// @param EventReads reads with events in this attempt, with this one
/// @param Now time of the read
/// @return how the events of this read are used
EventUse useEvents(ConcurrentAttempts &Attempts, std::uint32_t Number,
                   std::uint32_t EventReads, TimePoint Now);

} // namespace marigoldyard
