#include "marigoldyard/coordination/request_memory.hpp"

#include <algorithm>
#include <doctest/doctest.h>

using namespace marigoldyard;

namespace {

constexpr std::size_t Megabyte = 1UL << 20;
constexpr std::size_t Step = 16UL << 10;
constexpr std::size_t Descriptors = 4096;

RequestMemory makeMemory(std::size_t MemoryMegabytes = 64) {
  RequestMemory Memory;
  Memory.Limits = callerLimits(MemoryMegabytes * Megabyte, Descriptors);
  return Memory;
}

std::uint64_t beginRequest(RequestMemory &Memory) {
  const std::uint64_t Ticket = addConnection(Memory);
  setState(Memory, Ticket, CallerState::Reading);
  return Ticket;
}

/// Reads a request up to a size.
/// @return whether it was not rejected
bool readUpTo(RequestMemory &Memory, std::uint64_t Ticket, std::size_t Size) {
  for (std::size_t Bytes = Step; Bytes < Size + Step; Bytes += Step)
    resizeConnection(Memory, Ticket, std::min(Bytes, Size));
  return Memory.Connections.at(Ticket).State != CallerState::Closing;
}

} // namespace

// Guards against memory that grows with the number of unfinished bodies.
TEST_CASE("10, 100 and 1,000 unfinished bodies of 8 MB stay within the limit") {
  for (const std::size_t Count : {10UL, 100UL, 1000UL}) {
    RequestMemory Memory = makeMemory();
    for (std::size_t I = 0; I < Count; ++I) {
      readUpTo(Memory, beginRequest(Memory), 8 * Megabyte);
      CHECK(Memory.Used <= Memory.Limits.Bytes);
    }
    CHECK(Memory.UsedLarge <= Memory.Limits.Bytes - Memory.Limits.SmallReserve);
  }
}

// Guards against a limit that an ordinary caller reaches alone. The least
// memory that the settings allow is used; the body counts twice.
TEST_CASE("a single body of 4 MB is read") {
  RequestMemory Memory = makeMemory();
  CHECK(readUpTo(Memory, beginRequest(Memory), 8 * Megabyte + 5 * Step));
}

// Guards against small requests that find no room beside large ones.
TEST_CASE("a small request is read beside 100 unfinished bodies") {
  RequestMemory Memory = makeMemory();
  for (int I = 0; I < 100; ++I)
    readUpTo(Memory, beginRequest(Memory), 8 * Megabyte);
  CHECK(readUpTo(Memory, beginRequest(Memory), Memory.Limits.SmallRequest));
}

// Guards against small requests without an end that fill the reserve.
TEST_CASE("a small request is read beside 5,000 unfinished small ones") {
  RequestMemory Memory = makeMemory();
  for (int I = 0; I < 5000; ++I) {
    readUpTo(Memory, beginRequest(Memory), Memory.Limits.SmallRequest);
    CHECK(Memory.Used <= Memory.Limits.Bytes);
  }
  CHECK(readUpTo(Memory, beginRequest(Memory), Memory.Limits.SmallRequest));
}

// Guards against stalled bodies that hold the memory while others are rejected.
TEST_CASE("a body that stalls goes before one that arrives") {
  RequestMemory Memory = makeMemory();
  const std::uint64_t Stalled = beginRequest(Memory);
  REQUIRE(readUpTo(Memory, Stalled, 8 * Megabyte));
  for (int I = 0; I < 4; ++I)
    readUpTo(Memory, beginRequest(Memory), 8 * Megabyte);
  CHECK(Memory.Connections.at(Stalled).State == CallerState::Closing);
}

// Guards against callers that win memory from others by coming back.
TEST_CASE("a body that makes progress stays beside 200 that begin anew") {
  RequestMemory Memory = makeMemory();
  const std::uint64_t Steady = beginRequest(Memory);
  for (int I = 1; I <= 200; ++I) {
    resizeConnection(Memory, Steady, 1000UL * I);
    const std::uint64_t Again = beginRequest(Memory);
    readUpTo(Memory, Again, 8 * Megabyte);
    removeConnection(Memory, Again);
  }
  CHECK(Memory.Connections.at(Steady).State == CallerState::Reading);
}

// Guards against requests that end without an answer because of others.
TEST_CASE("what is being served is never rejected") {
  RequestMemory Memory = makeMemory();
  const std::uint64_t Served = beginRequest(Memory);
  readUpTo(Memory, Served, 8 * Megabyte);
  setState(Memory, Served, CallerState::Serving);
  for (int I = 0; I < 50; ++I)
    readUpTo(Memory, beginRequest(Memory), 8 * Megabyte);
  CHECK(Memory.Connections.at(Served).State == CallerState::Serving);
  CHECK(Memory.Connections.at(Served).Bytes == 8 * Megabyte);
}

// Guards against bytes that stay counted after their connections have ended.
TEST_CASE("removed and rejected connections hold nothing") {
  RequestMemory Memory = makeMemory();
  for (int I = 0; I < 20; ++I)
    readUpTo(Memory, beginRequest(Memory), 3 * Megabyte);
  while (!Memory.Connections.empty())
    removeConnection(Memory, Memory.Connections.begin()->first);
  CHECK(Memory.Used == 0);
  CHECK(Memory.UsedLarge == 0);
  removeConnection(Memory, 1);
}

// Guards against descriptors that run out, and against ordinary connections
// that are closed for those that never send a request.
TEST_CASE(
    "connections are closed in order: rejected, without a request, idle") {
  RequestMemory Memory = makeMemory();
  const std::uint64_t Kept = beginRequest(Memory);
  setState(Memory, Kept, CallerState::Serving);
  CHECK(!connectionToClose(Memory));
  setState(Memory, Kept, CallerState::Idle);
  const std::uint64_t Silent = addConnection(Memory);
  const std::uint64_t HalfRead = beginRequest(Memory);
  const std::uint64_t Rejected = beginRequest(Memory);
  setState(Memory, Rejected, CallerState::Closing);
  for (const std::uint64_t Expected : {Rejected, Silent, HalfRead, Kept}) {
    CHECK(connectionToClose(Memory) == Expected);
    removeConnection(Memory, Expected);
  }
  CHECK(!connectionToClose(Memory));
}

// Guards against limits that leave no descriptors for servers, or no memory.
TEST_CASE("limits for machines of 64 to 512 MB and 300 to 10,660 descriptors") {
  for (const std::size_t MemoryMegabytes : {64UL, 160UL, 512UL})
    for (const std::size_t Each : {300UL, 4100UL, 10660UL}) {
      const CallerLimits Limits =
          callerLimits(MemoryMegabytes * Megabyte, Each);
      CHECK(Limits.Bytes == MemoryMegabytes * Megabyte / 4);
      CHECK(Limits.Connections <= (Each - 200) / 2);
      CHECK(Limits.Connections * (16UL << 10) <=
            MemoryMegabytes * Megabyte / 8);
      CHECK(Limits.Connections >= 16);
    }
}
