#include "marigoldyard/coordination/request_memory.hpp"

#include <algorithm>
#include <tuple>

namespace marigoldyard {
namespace {

/// Part of the machine's memory for requests and slow responses. The rest is
/// for incomplete responses of servers, the configuration and messages.
constexpr std::size_t MemoryParts = 4;
/// Holds a body of 4 MB and its copy beside the reserve for small requests.
constexpr std::size_t MinBytes = 16UL << 20;
/// Part of Bytes that is reserved for small requests.
constexpr std::size_t ReserveParts = 4;
/// Part of the machine's memory for connections as such.
constexpr std::size_t ConnectionParts = 8;
/// Read buffer, timers and coroutine frames of an idle connection.
constexpr std::size_t ConnectionBytes = 16UL << 10;
/// Descriptors that the platform reserves on each machine.
constexpr std::size_t ReservedDescriptors = 200;
/// A request that is served needs a connection to a server besides.
constexpr std::size_t DescriptorsPerCaller = 2;
constexpr std::size_t MinConnections = 16;

using Entry = std::map<std::uint64_t, CallerConnection>::value_type;

bool isLarge(const RequestMemory &Memory, const CallerConnection &Each) {
  return Each.Bytes > Memory.Limits.SmallRequest;
}

bool isUnfinished(const CallerConnection &Each) {
  return Each.State == CallerState::Reading ||
         Each.State == CallerState::Writing;
}

void setBytes(RequestMemory &Memory, CallerConnection &Connection,
              std::size_t Bytes) {
  if (isLarge(Memory, Connection))
    Memory.UsedLarge -= Connection.Bytes;
  Memory.Used -= Connection.Bytes;
  Connection.Bytes = Bytes;
  Memory.Used += Bytes;
  if (isLarge(Memory, Connection))
    Memory.UsedLarge += Bytes;
}

/// Unfinished connection that is rejected next; empty when there is none.
std::optional<std::uint64_t> nextToReject(const RequestMemory &Memory) {
  // Larger ranks go first.
  const auto Rank = [&](const CallerConnection &Each) {
    const std::uint64_t Age = Memory.Events - Each.ProgressAt;
    if (!isLarge(Memory, Each))
      return std::tuple(0, Age);
    const bool Stalls =
        Memory.Progress - Each.ProgressByte >= Memory.Limits.Bytes;
    return Stalls ? std::tuple(2, Age) : std::tuple(1, Each.StateSince);
  };
  const Entry *Chosen = nullptr;
  for (const Entry &Each : Memory.Connections)
    if (isUnfinished(Each.second) && Each.second.Bytes > 0 &&
        (!Chosen || Rank(Each.second) > Rank(Chosen->second)))
      Chosen = &Each;
  return Chosen ? std::optional(Chosen->first) : std::nullopt;
}

bool isExceeded(const RequestMemory &Memory, bool LargeRemain) {
  return Memory.Used > Memory.Limits.Bytes ||
         (LargeRemain &&
          Memory.UsedLarge > Memory.Limits.Bytes - Memory.Limits.SmallReserve);
}

} // namespace

CallerLimits callerLimits(std::size_t MemoryBytes, std::size_t Descriptors) {
  CallerLimits Result;
  Result.Bytes = std::max(MinBytes, MemoryBytes / MemoryParts);
  Result.SmallReserve = Result.Bytes / ReserveParts;
  const std::size_t Usable =
      Descriptors > ReservedDescriptors ? Descriptors - ReservedDescriptors : 0;
  Result.Connections =
      std::max(MinConnections,
               std::min(Usable / DescriptorsPerCaller,
                        MemoryBytes / ConnectionParts / ConnectionBytes));
  return Result;
}

std::uint64_t addConnection(RequestMemory &Memory) {
  const std::uint64_t Ticket = ++Memory.LastTicket;
  CallerConnection &Added = Memory.Connections[Ticket];
  Added.StateSince = Added.ProgressAt = ++Memory.Events;
  Added.ProgressByte = Memory.Progress;
  return Ticket;
}

void removeConnection(RequestMemory &Memory, std::uint64_t Ticket) {
  const auto Found = Memory.Connections.find(Ticket);
  if (Found == Memory.Connections.end())
    return;
  setBytes(Memory, Found->second, 0);
  Memory.Connections.erase(Found);
}

void setState(RequestMemory &Memory, std::uint64_t Ticket, CallerState State) {
  const auto Found = Memory.Connections.find(Ticket);
  if (Found == Memory.Connections.end() ||
      Found->second.State == CallerState::Closing)
    return;
  CallerConnection &Connection = Found->second;
  Connection.State = State;
  Connection.HadRequest |= State == CallerState::Serving;
  Connection.StateSince = Connection.ProgressAt = ++Memory.Events;
  Connection.ProgressByte = Memory.Progress;
  if (State == CallerState::Closing)
    setBytes(Memory, Connection, 0);
}

std::vector<std::uint64_t> resizeConnection(RequestMemory &Memory,
                                            std::uint64_t Ticket,
                                            std::size_t Bytes) {
  std::vector<std::uint64_t> Rejected;
  const auto Found = Memory.Connections.find(Ticket);
  if (Found == Memory.Connections.end() ||
      Found->second.State == CallerState::Closing)
    return Rejected;
  CallerConnection &Connection = Found->second;
  if (Bytes > Connection.Bytes)
    Memory.Progress += Bytes - Connection.Bytes;
  Connection.ProgressAt = ++Memory.Events;
  Connection.ProgressByte = Memory.Progress;
  setBytes(Memory, Connection, Bytes);
  for (bool LargeRemain = true; isExceeded(Memory, LargeRemain);) {
    const auto Next = nextToReject(Memory);
    if (!Next)
      break;
    // Without an unfinished large one, the large ones in use are being served
    // and the small ones are not to blame.
    LargeRemain = isLarge(Memory, Memory.Connections.at(*Next));
    if (!LargeRemain && !isExceeded(Memory, LargeRemain))
      break;
    setState(Memory, *Next, CallerState::Closing);
    Rejected.push_back(*Next);
  }
  return Rejected;
}

bool isFull(const RequestMemory &Memory) {
  return Memory.Connections.size() >= Memory.Limits.Connections;
}

std::optional<std::uint64_t> connectionToClose(const RequestMemory &Memory) {
  const auto Rank = [&](const CallerConnection &Each) {
    const std::uint64_t Age = Memory.Events - Each.ProgressAt;
    if (Each.State == CallerState::Closing)
      return std::tuple(3, Age);
    return std::tuple(Each.HadRequest ? 1 : 2, Age);
  };
  const Entry *Chosen = nullptr;
  for (const Entry &Each : Memory.Connections) {
    const CallerConnection &Connection = Each.second;
    const bool MayClose = Connection.State == CallerState::Closing ||
                          Connection.State == CallerState::Idle ||
                          Connection.State == CallerState::Reading;
    if (MayClose && (!Chosen || Rank(Connection) > Rank(Chosen->second)))
      Chosen = &Each;
  }
  return Chosen ? std::optional(Chosen->first) : std::nullopt;
}

} // namespace marigoldyard
