/// Cost of the request decisions on one core: time for a piece and for a
/// request at the entry, and time and memory for operations at the agent.
/// Fixed work, no arguments; times depend on the machine.

#include "marigoldyard/coordination/admission.hpp"
#include "marigoldyard/coordination/request.hpp"

#include <chrono>
#include <cstdio>
#include <fstream>
#include <string>

using namespace marigoldyard;

namespace {

constexpr std::size_t Requests = 20'000;
constexpr std::size_t PiecesPerRequest = 100;
constexpr std::size_t Operations = 200'000;
constexpr std::size_t BodyBytes = 1024;
/// Stated target: tokens a second through one entry.
constexpr double TokensPerSecond = 11'000.0;

using Stopwatch = std::chrono::steady_clock;

double seconds(Stopwatch::time_point Since) {
  return std::chrono::duration<double>(Stopwatch::now() - Since).count();
}

/// Resident memory of this process in bytes.
std::size_t residentBytes() {
  std::ifstream Source("/proc/self/statm");
  std::size_t Total = 0;
  std::size_t Resident = 0;
  Source >> Total >> Resident;
  constexpr std::size_t PageBytes = 4096;
  return Resident * PageBytes;
}

/// Serves one streamed completion.
/// @return actions that the daemon would perform
std::size_t serve(RetryBudget &Budget, const std::string &Text) {
  RequestState State;
  State.Id = "request";
  State.Deadline = TimePoint{} + std::chrono::seconds(1);
  std::size_t Actions = 0;
  auto Feed = [&](const RequestEvent &Event) {
    Actions += step(State, Event, Budget, TimePoint{}).size();
  };
  Feed(request_event::RequestAdmitted{});
  Feed(request_event::EndpointChosen{"agent", "weights"});
  Feed(request_event::WorkSent{1});
  Feed(request_event::Accepted{"agent", 1});
  for (std::size_t I = 0; I < PiecesPerRequest; ++I)
    Feed(request_event::PieceArrived{"agent",
                                     {"request", 1, "weights", I, Text}});
  Feed(request_event::EndArrived{"agent",
                                 {"request", 1, "weights", PiecesPerRequest,
                                  streamChecksum(State.Stream)}});
  return Actions;
}

void measureRequests() {
  RetryBudget Budget;
  std::string Text = "token ";
  std::size_t Actions = 0;
  auto Start = Stopwatch::now();
  for (std::size_t I = 0; I < Requests; ++I)
    Actions += serve(Budget, Text);
  double PerPiece = seconds(Start) / (Requests * PiecesPerRequest);
  std::printf("request: %.0f ns a piece (%zu actions), %.2f %% of a core at "
              "%.0f tokens/s\n",
              PerPiece * 1e9, Actions, PerPiece * TokensPerSecond * 100.0,
              TokensPerSecond);
}

void measureOperations() {
  std::size_t Before = residentBytes();
  OperationTable Table = makeOperationTable("agent", 1);
  auto Start = Stopwatch::now();
  for (std::size_t I = 0; I < Operations; ++I) {
    std::string Caller = "caller-" + std::to_string(I % 10);
    std::string Id = *openOperation(Table, Caller, "ledger");
    runOperation(Table, Id, Caller, {"entry", "request"});
    finishOperation(Table, Id,
                    {Outcome::Complete, 200, std::string(BodyBytes, 'x')});
  }
  double Each = seconds(Start) / Operations;
  std::printf("operation: %.2f us from open to result, %zu records of %zu "
              "bytes, %.1f MB resident\n",
              Each * 1e6, Table.Records.size(), BodyBytes,
              static_cast<double>(residentBytes() - Before) / 1e6);
}

void measureAdmission() {
  FailedAuthentications Failures;
  auto Start = Stopwatch::now();
  for (std::size_t I = 0; I < Operations; ++I)
    recordFailedAuthentication(Failures, "192.0.2." + std::to_string(I),
                               TimePoint{} + std::chrono::microseconds(I));
  std::printf("failed authentication: %.2f us with a full table of %zu\n",
              seconds(Start) / Operations * 1e6, Failures.Table.Entries.size());
}

} // namespace

int main() {
  measureRequests();
  measureOperations();
  measureAdmission();
  return 0;
}
