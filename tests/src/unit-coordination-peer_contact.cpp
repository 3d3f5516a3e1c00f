// Connections between processes that go silent without a reset: processes that
// do not notice stay out of touch until they forget each other.
#include "marigoldyard/coordination/peer_contact.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;
using namespace std::chrono_literals;

namespace {

constexpr Duration Interval = 400ms;
constexpr Duration Limit = 1000ms;

/// Checks contacts every 50 ms, with reports of the peer "p" in between.
struct Exchange {
  PeerContacts State;
  std::map<std::string, Duration> Expected{{"p", Interval}};
  TimePoint Start{1h};
  TimePoint Now = Start;
  bool Reports = true; ///< whether the peer's reports arrive
  bool Hears = true;
  bool Leaving = false;
  std::vector<LostContact> Lost;
  std::vector<Duration> LostAfter; ///< since Start

  void run(Duration Time) {
    for (const TimePoint End = Now + Time; Now < End; Now += 50ms) {
      if (Reports && (Now - Start) % Interval == 0ms)
        recordPeerReport(State, "p", Hears, Now);
      for (LostContact &Each :
           takeLostContacts(State, Expected, Leaving, Now)) {
        Lost.push_back(Each);
        LostAfter.push_back(Now - Start);
      }
    }
  }
  void startAgain() {
    Start = Now;
    Lost.clear();
    LostAfter.clear();
  }
};

} // namespace

TEST_CASE("connections between peers that hear each other stay") {
  Exchange Both;
  Both.run(60s);
  CHECK(Both.Lost.empty());
}

TEST_CASE("a report that is lost, or a late one, replaces no connection") {
  Exchange Both;
  Both.run(2s);
  Both.Reports = false;
  Both.run(400ms); // one report is missing
  Both.Reports = true;
  Both.run(2s);
  CHECK(Both.Lost.empty());
}

TEST_CASE("the connection to a silent peer is replaced after one second, and "
          "every two seconds while the peer stays silent") {
  Exchange Both;
  Both.run(2s);
  Both.startAgain();
  Both.Reports = false;
  Both.run(10s);
  REQUIRE(Both.Lost.size() >= 3);
  CHECK(Both.Lost[0].Loss == ContactLoss::Silent);
  CHECK(Both.LostAfter[0] <= Limit);
  CHECK(Both.Lost[0].IsNew);
  CHECK_FALSE(Both.Lost[1].IsNew);
  for (std::size_t I = 1; I < Both.Lost.size(); ++I)
    CHECK(Both.LostAfter[I] - Both.LostAfter[I - 1] == 2 * Limit);
}

TEST_CASE("the connection to a peer that reports and hears nothing is replaced "
          "until it hears") {
  Exchange Both;
  Both.run(2s);
  Both.startAgain();
  Both.Hears = false;
  Both.run(500ms);
  REQUIRE(Both.Lost.size() == 1);
  CHECK(Both.Lost[0].Loss == ContactLoss::Unheard);
  CHECK(Both.Lost[0].IsNew);
  Both.run(2500ms);
  CHECK(Both.Lost.size() == 2);
  Both.startAgain();
  Both.Hears = true;
  Both.run(10s);
  CHECK(Both.Lost.empty());
}

TEST_CASE("a new connection is given time to be heard") {
  Exchange Both;
  Both.Hears = false; // until it has the first report of this process
  Both.run(800ms);
  Both.Hears = true;
  Both.run(5s);
  CHECK(Both.Lost.empty());
}

TEST_CASE(
    "a process that leaves is in no peer's list, and replaces nothing for "
    "it") {
  Exchange Both;
  Both.run(2s);
  Both.Hears = false;
  Both.Leaving = true;
  Both.run(10s);
  CHECK(Both.Lost.empty());
}

TEST_CASE("a process that stood still reads what arrived before it judges") {
  Exchange Both;
  Both.run(2s);
  Both.Now += 5s;
  Both.Reports = false;
  Both.run(900ms);
  CHECK(Both.Lost.empty());
  Both.run(200ms);
  CHECK(Both.Lost.size() == 1);
}

TEST_CASE("peers that report less often may be silent for longer") {
  Exchange Both;
  Both.Expected["p"] = 1200ms;
  Both.run(2s);
  Both.Reports = false;
  Both.run(2s);
  CHECK(Both.Lost.empty());
  Both.run(1s);
  CHECK(Both.Lost.size() == 1);
}

TEST_CASE("peers that are not expected are forgotten") {
  Exchange Both;
  Both.run(2s);
  Both.Expected.clear();
  Both.Reports = false;
  Both.run(5s);
  CHECK(Both.Lost.empty());
  CHECK(Both.State.Peers.empty());
}

TEST_CASE("a peer that has never reported is not announced as lost, though its "
          "connection is replaced, since it may hang") {
  Exchange Both;
  Both.Reports = false;
  Both.run(5s);
  REQUIRE(!Both.Lost.empty());
  CHECK_FALSE(Both.Lost[0].IsNew);
}
