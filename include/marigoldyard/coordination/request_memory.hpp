#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace marigoldyard {

/// @brief What a process may hold for callers.
struct CallerLimits {
  std::size_t Bytes = 128UL << 20; ///< of requests and responses together
  /// Part of Bytes that only small requests may use.
  std::size_t SmallReserve = 32UL << 20;
  /// Size up to which a request is small. A head of the maximum size, its
  /// unparsed bytes and a small body fit into it.
  std::size_t SmallRequest = 96UL << 10;
  std::size_t Connections = 1948;
};

/// @brief Limits for a machine.
/// @param MemoryBytes memory of the machine in bytes
/// @param Descriptors descriptors that the process may have open
CallerLimits callerLimits(std::size_t MemoryBytes, std::size_t Descriptors);

/// @brief State of a caller's connection.
enum class CallerState {
  Idle,    ///< no byte of a request has arrived
  Reading, ///< a part of a request has arrived
  Serving, ///< a whole request is being served
  Writing, ///< a response waits for the caller to read
  Closing, ///< rejected; holds no request any more
};

/// @brief Connection of a caller.
struct CallerConnection {
  CallerState State = CallerState::Idle;
  std::size_t Bytes = 0; ///< held for the caller
  /// Whether a whole request has arrived on the connection.
  bool HadRequest = false;
  std::uint64_t StateSince = 0;   ///< value of RequestMemory::Events
  std::uint64_t ProgressAt = 0;   ///< value of RequestMemory::Events
  std::uint64_t ProgressByte = 0; ///< value of RequestMemory::Progress
};

/// @brief What a process holds for callers. Connections are compared by counts
/// of events and bytes, so that no clock is needed.
struct RequestMemory {
  CallerLimits Limits;
  std::map<std::uint64_t, CallerConnection> Connections; ///< by ticket
  std::size_t Used = 0;       ///< bytes of all connections
  std::size_t UsedLarge = 0;  ///< bytes of those over Limits.SmallRequest
  std::uint64_t Events = 0;   ///< changes of state and progress so far
  std::uint64_t Progress = 0; ///< bytes by which connections have grown so far
  std::uint64_t LastTicket = 0;
};

/// @brief Adds an idle connection.
/// @param Memory state of the process
/// @return ticket of the connection
std::uint64_t addConnection(RequestMemory &Memory);

/// @brief Removes a connection and releases what it holds.
/// @param Memory state of the process
/// @param Ticket an unknown one has no effect
void removeConnection(RequestMemory &Memory, std::uint64_t Ticket);

/// @brief Changes the state of a connection. One that is closing stays so.
/// @param Memory state of the process
/// @param Ticket an unknown one has no effect
/// @param State the new state; Closing releases the bytes
void setState(RequestMemory &Memory, std::uint64_t Ticket, CallerState State);

/// @brief Records progress and the bytes that are held for a connection, and
/// chooses the connections to reject when the limits are exceeded. Those are in
/// state Closing afterwards. Among unfinished large requests and responses,
/// one that stalls goes first: it had no progress while the others grew by
/// Limits.Bytes. If there is none, the newest goes. Small ones follow, the one
/// longest without progress first. What is being served is never chosen.
/// @param Memory state of the process
/// @param Ticket an unknown one, or one that is closing, has no effect
/// @param Bytes size in bytes
/// @return tickets of the connections to reject, possibly with Ticket
/// @complexity linear in the number of connections for each one returned,
/// otherwise logarithmic
std::vector<std::uint64_t> resizeConnection(RequestMemory &Memory,
                                            std::uint64_t Ticket,
                                            std::size_t Bytes);

/// @brief Whether another connection needs one to be closed first.
/// @param Memory state of the process
bool isFull(const RequestMemory &Memory);

/// @brief Chooses the connection to close for a new one: a rejected one, then
/// one without a whole request so far, then an idle one; among equal ones the
/// one longest without progress.
/// @param Memory state of the process
/// @return its ticket; empty when all are being served
/// @complexity linear in the number of connections
std::optional<std::uint64_t> connectionToClose(const RequestMemory &Memory);

} // namespace marigoldyard
