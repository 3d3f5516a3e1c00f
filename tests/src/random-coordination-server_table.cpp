#include "random_seed.hpp"

#include "marigoldyard/coordination/server_table.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <rapidcheck.h>
#include <vector>

using namespace marigoldyard;

namespace {

constexpr int Ids = 4;
constexpr int Addresses = 3;
constexpr int Pools = 2;

std::string anyAddress() {
  return "10.0.0." + std::to_string(*rc::gen::inRange(0, Addresses)) + ":80";
}

std::int64_t anyStart() {
  return *rc::gen::inRange<std::int64_t>(0, 20) * 1000;
}

ServerRecord anyRecord() {
  ServerRecord Record;
  Record.Id = "i-" + std::to_string(*rc::gen::inRange(0, Ids));
  Record.Address = anyAddress();
  Record.Pool = "pool-" + std::to_string(*rc::gen::inRange(0, Pools));
  Record.FailureDomain = "d";
  Record.StartedAtMs = anyStart();
  return Record;
}

/// Each server is a member of its pool only.
void checkPools(const ServerTable &Table) {
  std::size_t Members = 0;
  for (const auto &[Pool, PoolIds] : Table.ByPool) {
    Members += PoolIds.size();
    for (const std::string &Id : PoolIds) {
      RC_ASSERT(Table.Servers.contains(Id));
      RC_ASSERT(Table.Servers.at(Id).Record.Pool == Pool);
    }
  }
  RC_ASSERT(Members == Table.Servers.size());
}

/// Of the servers that name an address, the one that started last has it, and
/// gets the reports of the stager there.
void checkAddresses(const ServerTable &Table, TimePoint Now) {
  std::map<std::string, std::vector<std::string>> IdsByAddress;
  for (const auto &[Id, Server] : Table.Servers)
    IdsByAddress[Server.Record.Address].push_back(Id);
  for (const auto &[Address, Named] : IdsByAddress) {
    std::int64_t LastStart = 0;
    for (const std::string &Id : Named)
      LastStart = std::max(LastStart, Table.Servers.at(Id).Record.StartedAtMs);
    ServerTable Reported = Table;
    RC_ASSERT(
        applyEngineStatus(Reported, {Address, LastStart, true, 0, {}}, Now));
    std::size_t Owners = 0;
    for (const std::string &Id : Named) {
      const ServerState &Server = Reported.Servers.at(Id);
      Owners += Server.Replaced ? 0 : 1;
      RC_ASSERT(Server.Replaced || Server.Record.StartedAtMs == LastStart);
      RC_ASSERT((Server.EngineReportedAt == Now) == !Server.Replaced);
    }
    RC_ASSERT(Owners == 1U);
  }
  ServerTable Reported = Table;
  for (int I = 0; I < Addresses; ++I) {
    const std::string Address = "10.0.0." + std::to_string(I) + ":80";
    RC_ASSERT(
        IdsByAddress.contains(Address) ||
        !applyEngineStatus(Reported, {Address, 99'000, true, 0, {}}, Now));
  }
}

void anyInterleaving() {
  ServerTable Table;
  TimePoint Now = TimePoint{} + std::chrono::hours(1);
  const int Events = *rc::gen::inRange(0, 60);
  for (int I = 0; I < Events; ++I) {
    Now += std::chrono::milliseconds(100);
    switch (*rc::gen::inRange(0, 5)) {
    case 0:
    case 1:
    case 2:
      putServer(Table, anyRecord());
      break;
    case 3:
      removeServer(Table, anyRecord().Id);
      break;
    default:
      applyEngineStatus(Table, {anyAddress(), anyStart(), true, 0, {}}, Now);
    }
    checkPools(Table);
    checkAddresses(Table, Now);
  }
}

} // namespace

// Guards against indexes that name a server which moved, was replaced or left.
TEST_CASE("each address has the server that started last, whatever servers "
          "move, restart and leave") {
  CHECK(rc::check(anyInterleaving));
}
