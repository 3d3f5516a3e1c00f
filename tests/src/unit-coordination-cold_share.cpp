#include "marigoldyard/coordination/cold_share.hpp"
#include "marigoldyard/coordination/server_table.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;
using namespace std::chrono_literals;

namespace {

const TimePoint Start = TimePoint{} + 1h;
const TimePoint Later = Start + 10s; // after the startup time
/// 17 x 1.5 + 5 = 30.5 requests a second
const ColdLimit Limit{17, 3s};
constexpr std::uint32_t Bound = 30;

std::string gatewayName(int Number) {
  return "10.0." + std::to_string(Number) + ".1";
}

ColdShares sharesOf(int Self, const std::vector<int> &Known) {
  ColdShares Result;
  Result.Settings.Overshoot = 1.5;
  Result.Settings.Reserve = 5;
  Result.Self = gatewayName(Self);
  Result.StartedAt = Start;
  for (const int Number : Known)
    recordGateway(Result, gatewayName(Number), Start);
  return Result;
}

std::vector<int> firstGateways(int Count) {
  std::vector<int> Result(static_cast<std::size_t>(Count));
  for (int I = 0; I < Count; ++I)
    Result[static_cast<std::size_t>(I)] = I;
  return Result;
}

std::vector<ColdShares> fleetOf(const std::vector<int> &Known) {
  std::vector<ColdShares> Result;
  Result.reserve(Known.size() + 1);
  for (const int Self : Known)
    Result.push_back(sharesOf(Self, Known));
  return Result;
}

/// Requests that each of the gateways sends when it sends all it may.
std::uint32_t sendsInOneSecond(const std::vector<ColdShares> &Fleet,
                               const ColdServerState &Known) {
  std::uint32_t Sends = 0;
  for (const ColdShares &Gateway : Fleet) {
    ColdServerState Server = Known;
    while (coldStanding(Gateway, Limit, Server, "s1", Later) ==
           ColdStanding::Open) {
      recordColdSend(Gateway, Server, Later);
      ++Sends;
    }
  }
  return Sends;
}

ColdServerState coldServer() {
  ColdServerState Result;
  recordColdStart(Result, Limit, Later);
  return Result;
}

} // namespace

TEST_CASE("all gateways that press on one cold server stay below its bound") {
  for (const int Count : {1, 2, 7, 16, 28, 33, 45, 390}) {
    CAPTURE(Count);
    const std::vector<int> Known = firstGateways(Count);
    const std::vector<ColdShares> Fleet = fleetOf(Known);
    const std::uint32_t Sends = sendsInOneSecond(Fleet, coldServer());
    CHECK(Sends <= Bound);
    CHECK(Sends >= Bound * 3 / 4);
  }
}

TEST_CASE("both sides of a partition keep the shares of the whole fleet") {
  const std::vector<int> Known = firstGateways(16);
  std::vector<ColdShares> Fleet = fleetOf(Known);
  for (const int Self : Known) {
    ColdShares &Each = Fleet[static_cast<std::size_t>(Self)];
    // Each side hears of its own half only.
    for (const int Peer : Known)
      if (Peer / 8 == Self / 8)
        recordGateway(Each, gatewayName(Peer), Start + 5min);
    forgetGateways(Each, Start + 5min);
  }
  CHECK(sendsInOneSecond(Fleet, coldServer()) <= Bound);
}

TEST_CASE("a gateway that is not known to the others stays in the margin") {
  const std::vector<int> Known = firstGateways(16);
  std::vector<ColdShares> Fleet = fleetOf(Known);
  Fleet.push_back(sharesOf(99, Known));
  CHECK(sendsInOneSecond(Fleet, coldServer()) <= Bound);
}

TEST_CASE("a gateway sends nothing to any server that may be cold at first") {
  ColdShares Shares = sharesOf(0, firstGateways(4));
  const ColdServerState Warm;
  CHECK(coldStanding(Shares, Limit, Warm, "s1", Start + 1s) ==
        ColdStanding::Closed);
  CHECK(coldStanding(Shares, Limit, Warm, "s1", Start + 3s) ==
        ColdStanding::Open);
  CHECK(coldStanding(Shares, ColdLimit{}, Warm, "s1", Start) ==
        ColdStanding::Open);
}

TEST_CASE("after a cold phase the limit is released in steps") {
  const ColdShares Shares = sharesOf(0, firstGateways(9));
  const std::uint32_t Share = coldShare(Shares, Limit, "s1", Later);
  ColdServerState Server = coldServer();
  const auto Fill = [&](TimePoint Now) {
    std::uint32_t Sends = 0;
    while (coldStanding(Shares, Limit, Server, "s1", Now) ==
           ColdStanding::Open) {
      recordColdSend(Shares, Server, Now);
      ++Sends;
    }
    return Sends;
  };
  CHECK(Fill(Later) == Share);
  CHECK(Fill(Later + 1s) == 0); // the window is not over
  CHECK(Fill(Later + 1501ms) == Share);
  CHECK(Fill(Later + 3100ms) == 2 * Share + 1);
  // A server that may turn cold again is used beyond the share when no other
  // has room.
  CHECK(coldStanding(Shares, Limit, Server, "s1", Later + 4s) ==
        ColdStanding::Closed);
  CHECK(coldStanding(Shares, Limit, Server, "s1", Later + 6100ms) ==
        ColdStanding::Open);
  CHECK(Fill(Later + 6100ms) == Share);
  CHECK(coldStanding(Shares, Limit, Server, "s1", Later + 6100ms) ==
        ColdStanding::Exhausted);
}

TEST_CASE("what a server says ends its cold phase") {
  ColdServerState Server = coldServer();
  recordColdness(Server, 0s, Later + 1s);
  CHECK(Server.ColdUntil == Later + 1s);
  recordColdness(Server, 2500ms, Later + 1s);
  CHECK(Server.ColdUntil == Later + 3500ms);
}

TEST_CASE("gateways are forgotten after their lifetime, and their number is "
          "limited") {
  ColdShares Shares = sharesOf(0, firstGateways(4));
  CHECK(Shares.Others.size() == 3);
  forgetGateways(Shares, Start + 10min);
  CHECK(Shares.Others.size() == 3);
  forgetGateways(Shares, Start + 11min);
  CHECK(Shares.Others.empty());
  Shares.Settings.MaxGateways = 2;
  for (const int Number : firstGateways(5))
    recordGateway(Shares, gatewayName(Number), Start);
  CHECK(Shares.Others.size() == 2);
}

TEST_CASE("a zone that comes back cold gets its share, and waiting requests "
          "the rest later") {
  ServerTable Table;
  Table.Settings.RegionOf = {{"d1", "r1"}};
  Table.Shares = sharesOf(0, firstGateways(16));
  Table.ColdLimits["engines"] = Limit;
  ServerRecord Record;
  Record.Id = "1";
  Record.Address = "10.0.0.1:80";
  Record.Pool = "engines";
  Record.FailureDomain = "d1";
  Record.Slots = 12;
  putServer(Table, Record);
  setEvacuated(Table, "d1", true, Later);
  setEvacuated(Table, "d1", false, Later);
  Random Source(1);
  ServerRequirements Wanted;
  Wanted.Pool = "engines";
  std::uint32_t Sends = 0;
  ServerChoice Choice = chooseServer(Table, Wanted, Later, Source);
  for (; Choice.Shortage == ServerShortage::None; ++Sends) {
    recordRequestStart(Table, Choice.Id, 0);
    recordSend(Table, Choice.Id, Later);
    Choice = chooseServer(Table, Wanted, Later, Source);
  }
  CHECK(Sends == coldShare(Table.Shares, Limit, "1", Later));
  CHECK(Choice.Shortage == ServerShortage::Full);
  CHECK(Choice.HeldByShare);
  CHECK(chooseServer(Table, Wanted, Later + 1501ms, Source).Shortage ==
        ServerShortage::None);
  // A record from before a restart does not end the cold phase.
  Table.Servers.at("1").Record.StartedAtMs = 7;
  Record.StartedAtMs = 6;
  recordServerColdness(Table, Record, Later);
  CHECK(isCold(Table, "1", Later + 1s));
  Record.StartedAtMs = 7;
  recordServerColdness(Table, Record, Later);
  CHECK_FALSE(isCold(Table, "1", Later + 1s));
}
