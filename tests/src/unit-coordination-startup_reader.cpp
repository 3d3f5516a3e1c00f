#include "marigoldyard/coordination/startup_reader.hpp"

#include <algorithm>
#include <doctest/doctest.h>

using namespace marigoldyard;
using namespace std::chrono_literals;

namespace {

const TimePoint Start = TimePoint{} + 1h;

std::string processName(std::size_t Number) {
  return "10.1." + std::to_string(Number / 250) + "." +
         std::to_string(Number % 250);
}

std::vector<StartupNeighbour> neighboursOf(std::size_t Self,
                                           std::size_t Count) {
  std::vector<StartupNeighbour> Result;
  for (std::size_t I = 0; I < Count; ++I)
    if (I != Self)
      Result.push_back({processName(I), false});
  return Result;
}

std::size_t readersAt(std::size_t Count, Duration SinceStart) {
  std::size_t Readers = 0;
  for (std::size_t I = 0; I < Count; ++I)
    Readers +=
        mayReadAll({}, "r1", processName(I), neighboursOf(I, Count), SinceStart)
            ? 1
            : 0;
  return Readers;
}

/// All processes of a region start at once behind one link to the store.
struct RegionStart {
  static constexpr Duration Step = 50ms;
  static constexpr Duration StatusInterval = 400ms;
  static constexpr double LinkBytesPerSecond = 3e6;    // 24 Mbit/s
  static constexpr double MachineBytesPerSecond = 5e6; // 40 Mbit/s

  struct Process {
    bool IsInformed = false;
    double Received = 0; ///< of the listing
    RelayRequests Requests;
    SentRelays Sent;
  };
  struct Transfer {
    std::size_t From = 0;
    std::size_t To = 0;
    double Left = 0;
  };

  std::vector<Process> Processes;
  std::vector<StartupNeighbour> Announced; ///< in the last status messages
  std::vector<Transfer> Transfers;
  double ContentBytes = 0;
  double LinkBytes = 0;
  TimePoint Now = Start;

  explicit RegionStart(std::size_t Count, double Bytes)
      : Processes(Count), Announced(neighboursOf(Count, Count)),
        ContentBytes(Bytes) {}

  void readFromStore() {
    std::vector<std::size_t> Readers;
    for (std::size_t I = 0; I < Processes.size(); ++I) {
      if (Processes[I].IsInformed)
        continue;
      if (mayReadAll({}, "r1", Announced[I].Name, Announced, Now - Start))
        Readers.push_back(I);
      else
        Processes[I].Received = 0;
    }
    const double Bytes =
        LinkBytesPerSecond * std::chrono::duration<double>(Step).count() /
        static_cast<double>(std::max<std::size_t>(1, Readers.size()));
    for (const std::size_t Reader : Readers) {
      LinkBytes += Bytes;
      Processes[Reader].Received += Bytes;
      Processes[Reader].IsInformed = Processes[Reader].Received >= ContentBytes;
    }
  }

  void requestRelays() {
    std::vector<RelaySource> Sources;
    for (std::size_t I = 0; I < Processes.size(); ++I)
      if (Announced[I].IsInformed)
        Sources.push_back({Announced[I].Name, {1, 1}, true});
    for (std::size_t I = 0; I < Processes.size(); ++I) {
      if (Processes[I].IsInformed)
        continue;
      const auto From = requestRelayFrom(Processes[I].Requests, Sources, {},
                                         false, Announced[I].Name, Now);
      if (!From)
        continue;
      std::size_t Source = 0;
      while (Announced[Source].Name != *From)
        ++Source;
      if (maySendRelay(Processes[Source].Sent, Announced[I].Name,
                       static_cast<std::size_t>(ContentBytes), Now))
        Transfers.push_back({Source, I, ContentBytes});
    }
  }

  void sendRelays() {
    std::vector<std::size_t> Sending(Processes.size());
    for (const Transfer &Each : Transfers)
      ++Sending[Each.From];
    for (Transfer &Each : Transfers) {
      Each.Left -= MachineBytesPerSecond *
                   std::chrono::duration<double>(Step).count() /
                   static_cast<double>(Sending[Each.From]);
      if (Each.Left <= 0)
        Processes[Each.To].IsInformed = true;
    }
    std::erase_if(Transfers,
                  [](const Transfer &Each) { return Each.Left <= 0; });
  }

  /// @return time until the last process knows the content
  Duration run() {
    for (; Now - Start < 60s; Now += Step) {
      readFromStore();
      if ((Now - Start) % StatusInterval < Step)
        for (std::size_t I = 0; I < Processes.size(); ++I)
          Announced[I].IsInformed = Processes[I].IsInformed;
      requestRelays();
      sendRelays();
      if (std::all_of(Processes.begin(), Processes.end(),
                      [](const Process &Each) { return Each.IsInformed; }))
        break;
    }
    return Now - Start;
  }
};

} // namespace

TEST_CASE("a region that starts at once goes on with few readers") {
  for (const std::size_t Count : {1UL, 2UL, 30UL, 300UL}) {
    CAPTURE(Count);
    CHECK(readersAt(Count, 0ms) == Count);
    CHECK(readersAt(Count, 300ms) == std::min<std::size_t>(2, Count));
  }
}

TEST_CASE("readers that do not get the content are joined by more") {
  CHECK(readersAt(30, 1799ms) == 2);
  CHECK(readersAt(30, 1800ms) == 4);
  CHECK(readersAt(30, 3300ms) == 8);
  CHECK(readersAt(30, 1min) == 30);
}

TEST_CASE("a process that knows nobody reads") {
  CHECK(mayReadAll({}, "r1", "a", {}, 1s));
}

TEST_CASE("informed neighbours take the places of the readers") {
  CHECK_FALSE(mayReadAll({}, "r1", "a", {{"b", true}, {"c", true}}, 1s));
  CHECK(mayReadAll({}, "r1", "a", {{"b", true}, {"c", true}}, 2s));
}

TEST_CASE("a whole region starts behind a narrow link with a large "
          "configuration") {
  constexpr double ContentBytes = 0.75e6;
  for (const std::size_t Count : {30UL, 100UL, 300UL, 1000UL}) {
    CAPTURE(Count);
    RegionStart Region(Count, ContentBytes);
    const Duration Took = Region.run();
    const double Copies = Region.LinkBytes / ContentBytes;
    MESSAGE(Count << " processes: "
                  << std::chrono::duration<double>(Took).count() << " s, "
                  << Copies << " copies over the link");
    // A quarter of the requests has to be served 15 s after such a start.
    CHECK(Took < 15s);
    // Each of the two readers, and what the others read before they stopped.
    CHECK(Copies < 8);
  }
}

TEST_CASE("one relay at a time is requested, of a neighbour first") {
  RelayRequests Requests;
  const std::vector<RelaySource> Sources{
      {"far", {1, 9}, false}, {"near", {1, 5}, true}, {"behind", {1, 2}, true}};
  const StorePosition Known{1, 3};
  const auto Ask = [&](TimePoint Now, bool MayUseLink = true) {
    return requestRelayFrom(Requests, Sources, Known, MayUseLink, "self", Now);
  };
  CHECK(Ask(Start) == "near");
  CHECK_FALSE(Ask(Start + 900ms)); // it is on its way
  recordRelayArrived(Requests, "far");
  CHECK_FALSE(Ask(Start + 900ms));
  recordRelayArrived(Requests, "near");
  CHECK(Ask(Start + 900ms) == "near");
}

TEST_CASE("a relay that does not come is requested of another gateway") {
  RelayRequests Requests;
  const std::vector<RelaySource> Sources{{"far", {1, 9}, false},
                                         {"near", {1, 5}, true}};
  CHECK(requestRelayFrom(Requests, Sources, {}, true, "self", Start) == "near");
  CHECK(requestRelayFrom(Requests, Sources, {}, true, "self", Start + 1s) ==
        "far");
  // The wait has doubled.
  CHECK_FALSE(
      requestRelayFrom(Requests, Sources, {}, true, "self", Start + 2900ms));
  CHECK(requestRelayFrom(Requests, Sources, {}, true, "self", Start + 3s) ==
        "near");
}

TEST_CASE("only processes that may use the link ask other regions") {
  RelayRequests Requests;
  const std::vector<RelaySource> Sources{{"a", {1, 4}, false},
                                         {"b", {1, 9}, false}};
  CHECK_FALSE(requestRelayFrom(Requests, Sources, {}, false, "self", Start));
  CHECK(requestRelayFrom(Requests, Sources, {}, true, "self", Start) == "b");
}

TEST_CASE("a large relay is not queued twice for one receiver") {
  SentRelays Sent;
  CHECK(maySendRelay(Sent, "a", 1 << 20, Start));
  CHECK_FALSE(maySendRelay(Sent, "a", 1 << 20, Start + 800ms));
  CHECK(maySendRelay(Sent, "a", 1 << 10, Start + 800ms));
  CHECK(maySendRelay(Sent, "b", 1 << 20, Start));
  CHECK(maySendRelay(Sent, "c", 1 << 20, Start));
  CHECK(maySendRelay(Sent, "d", 1 << 20, Start));
  CHECK_FALSE(maySendRelay(Sent, "e", 1 << 20, Start));
  CHECK(maySendRelay(Sent, "e", 1 << 20, Start + 1s));
}
