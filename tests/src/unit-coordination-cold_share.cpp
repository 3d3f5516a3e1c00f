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
    recordGateway(Result, gatewayName(Number), "r1", Start);
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
    std::vector<ColdShares> Fleet = fleetOf(Known);
    if (Count == 1) // the settings name no other gateway
      Fleet.front().Settings.UnknownGateways = 1;
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
        recordGateway(Each, gatewayName(Peer), "r1", Start + 5min);
    forgetGateways(Each);
  }
  CHECK(sendsInOneSecond(Fleet, coldServer()) <= Bound);
}

TEST_CASE("a gateway that is not known to the others stays in the margin") {
  const std::vector<int> Known = firstGateways(16);
  std::vector<ColdShares> Fleet = fleetOf(Known);
  Fleet.push_back(sharesOf(99, Known));
  CHECK(sendsInOneSecond(Fleet, coldServer()) <= Bound);
}

TEST_CASE("a gateway that has just started takes every server as cold") {
  ColdShares Shares = sharesOf(0, firstGateways(4));
  ColdServerState Warm;
  CHECK(coldStanding(Shares, Limit, Warm, "s1", Start + 999ms) ==
        ColdStanding::Closed);
  CHECK(coldShare(Shares, Limit, "s1", Start + 1s) <= 1);
  recordColdSend(Shares, Warm, Start + 1s);
  CHECK(coldStanding(Shares, Limit, Warm, "s1", Start + 1s) ==
        ColdStanding::Closed);
  CHECK(coldShare(Shares, Limit, "s1", Start + 3s) >= 6);
  CHECK(coldStanding(Shares, Limit, Warm, "s1", Start + 3s) ==
        ColdStanding::Open);
  CHECK(coldStanding(Shares, ColdLimit{}, Warm, "s1", Start) ==
        ColdStanding::Open);
}

// Guards against a fleet that is restarted at once and exceeds the bound before
// its gateways know each other.
TEST_CASE("gateways that all start at once stay below the bound") {
  std::vector<ColdShares> Fleet;
  Fleet.reserve(28);
  for (int Self = 0; Self < 28; ++Self)
    Fleet.push_back(sharesOf(Self, {}));
  std::uint32_t Sends = 0;
  for (const ColdShares &Each : Fleet)
    Sends += coldShare(Each, Limit, "s1", Start + 1s);
  CHECK(Sends <= Bound);
  CHECK(Sends > 0);
}

TEST_CASE("after a cold phase the limit is released in steps") {
  const ColdShares Shares = sharesOf(0, firstGateways(9));
  const std::uint32_t Share = coldShare(Shares, Limit, "s1", Later);
  ColdServerState Server = coldServer();
  const auto FillTo = [&](ColdStanding End, TimePoint Now) {
    std::uint32_t Sends = 0;
    for (; coldStanding(Shares, Limit, Server, "s1", Now) < End; ++Sends)
      recordColdSend(Shares, Server, Now);
    return Sends;
  };
  CHECK(FillTo(ColdStanding::Closed, Later) == Share);
  CHECK(FillTo(ColdStanding::Closed, Later + 1s) == 0); // within the window
  CHECK(FillTo(ColdStanding::Closed, Later + 1501ms) == Share);
  // Beyond the share, the server is used when no other has room.
  CHECK(FillTo(ColdStanding::Exhausted, Later + 3100ms) == Share);
  CHECK(FillTo(ColdStanding::Closed, Later + 3100ms) == Share + 1);
  CHECK(coldStanding(Shares, Limit, Server, "s1", Later + 4s) ==
        ColdStanding::Closed);
  CHECK(FillTo(ColdStanding::Exhausted, Later + 6100ms) == Share);
  for (std::uint32_t I = 0; I < 3 * Share; ++I)
    recordColdSend(Shares, Server, Later + 6100ms);
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
  recordGateway(Shares, gatewayName(1), "r1", Start + 10min);
  forgetGateways(Shares);
  CHECK(Shares.Others.size() == 3);
  recordGateway(Shares, gatewayName(1), "r1", Start + 11min);
  forgetGateways(Shares);
  CHECK(Shares.Others.size() == 1);
  Shares.Settings.MaxGateways = 2;
  for (const int Number : firstGateways(5))
    recordGateway(Shares, gatewayName(Number), "r1", Start);
  CHECK(Shares.Others.size() == 2);
}

// Guards against a gateway that takes the whole bound because it is cut off
// from the others, or has stood still for long.
TEST_CASE("a gateway that hears of nobody does not take the whole bound") {
  const ColdShares Alone = sharesOf(0, {});
  CHECK(sharingGateways(Alone) == 32);
  CHECK(coldShare(Alone, Limit, "s1", Later) <= 1);
  ColdShares Shares = sharesOf(0, firstGateways(16));
  forgetGateways(Shares); // nobody was heard of for long, as after a pause
  CHECK(sharingGateways(Shares) == 16);
}

// Guards against regions that start without contact to each other and divide
// the bound among their own gateways only.
TEST_CASE("regions that start without contact stay below the bound together") {
  std::vector<ColdShares> Fleet;
  Fleet.reserve(15);
  for (int Region = 0; Region < 3; ++Region)
    for (int Self = 0; Self < 5; ++Self) {
      ColdShares Each = sharesOf(100 * Region + Self, {});
      Each.Region = "r" + std::to_string(Region);
      Each.Settings.Regions = 3;
      for (int Peer = 0; Peer < 5; ++Peer)
        recordGateway(Each, gatewayName(100 * Region + Peer), Each.Region,
                      Start);
      CHECK(sharingGateways(Each) == 15);
      Fleet.push_back(std::move(Each));
    }
  CHECK(sendsInOneSecond(Fleet, coldServer()) <= Bound);
}

// Guards against a gateway that takes servers for warm which turned cold while
// it stood still.
TEST_CASE("after a pause every server may be cold") {
  ColdShares Shares = sharesOf(0, firstGateways(9));
  recordPause(Shares, Later);
  ColdServerState Server;
  for (std::uint32_t I = coldShare(Shares, Limit, "s1", Later); I > 0; --I)
    recordColdSend(Shares, Server, Later);
  CHECK(coldStanding(Shares, Limit, Server, "s1", Later) ==
        ColdStanding::Closed);
  CHECK(coldStanding(Shares, Limit, Server, "s1", Later + 1499ms) ==
        ColdStanding::Closed);
  CHECK(coldStanding(Shares, Limit, Server, "s1", Later + 1501ms) ==
        ColdStanding::Open);
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
