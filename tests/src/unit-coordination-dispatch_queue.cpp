#include "marigoldyard/coordination/dispatch_queue.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;
using namespace std::chrono_literals;

namespace {

const TimePoint StartCommand = TimePoint{} + 1h;

WaitingRequest request(std::uint32_t Priority, std::string Customer = "c",
                       Duration OnTime = 100ms) {
  WaitingRequest Result;
  Result.Pool = "engines";
  Result.Customer = std::move(Customer);
  Result.Priority = Priority;
  Result.ArrivalTime = StartCommand;
  Result.TargetDeadline = StartCommand + OnTime;
  Result.ExpiresAt = StartCommand + 1s;
  return Result;
}

} // namespace

TEST_CASE("requests that can be on time go first, then the most urgent") {
  DispatchQueue Queue;
  const auto Less = enqueue(Queue, request(2));
  const auto Urgent = enqueue(Queue, request(0, "c", 10ms));
  const auto Middle = enqueue(Queue, request(1));
  CHECK(nextRequest(Queue, "engines", StartCommand)->Ticket == Urgent);
  // The urgent one has missed its target.
  CHECK(nextRequest(Queue, "engines", StartCommand + 50ms)->Ticket == Middle);
  dequeue(Queue, *Middle);
  CHECK(nextRequest(Queue, "engines", StartCommand + 50ms)->Ticket == Less);
  CHECK(nextRequest(Queue, "other", StartCommand) == nullptr);
}

TEST_CASE("a customer that got much work waits behind one that got little") {
  DispatchQueue Queue;
  recordUsage(Queue, "large", 1000, StartCommand);
  recordUsage(Queue, "small", 10, StartCommand);
  enqueue(Queue, request(1, "large"));
  const auto Small = enqueue(Queue, request(1, "small"));
  CHECK(nextRequest(Queue, "engines", StartCommand)->Ticket == Small);
  const auto Urgent = enqueue(Queue, request(0, "large"));
  CHECK(nextRequest(Queue, "engines", StartCommand)->Ticket == Urgent);
}

TEST_CASE("refused work also counts as usage only when it is done") {
  DispatchQueue Queue;
  enqueue(Queue, request(1, "a"));
  CHECK(Queue.Usages.empty());
}

TEST_CASE("requests are given up when their hold is over") {
  DispatchQueue Queue;
  const auto First = enqueue(Queue, request(1));
  WaitingRequest Longer = request(1);
  Longer.ExpiresAt = StartCommand + 2s;
  enqueue(Queue, Longer);
  CHECK(expireRequests(Queue, StartCommand + 999ms).empty());
  CHECK(expireRequests(Queue, StartCommand + 1s) == std::vector{*First});
  CHECK(Queue.Waiting.size() == 1);
}

TEST_CASE("a new request waits behind those that are at least as urgent") {
  DispatchQueue Queue;
  CHECK_FALSE(mustWait(Queue, "engines", 1));
  enqueue(Queue, request(1));
  CHECK(mustWait(Queue, "engines", 1));
  CHECK(mustWait(Queue, "engines", 2));
  CHECK_FALSE(mustWait(Queue, "engines", 0));
  CHECK_FALSE(mustWait(Queue, "plain", 1));
}

TEST_CASE("the queue and the table of customers are bounded") {
  DispatchQueue Queue;
  Queue.Settings.MaxWaiting = 2;
  CHECK(enqueue(Queue, request(1)));
  CHECK(enqueue(Queue, request(1)));
  CHECK_FALSE(enqueue(Queue, request(0)));
  recordUsage(Queue, "active", 1'000'000, StartCommand);
  for (int I = 0; I < 5000; ++I)
    recordUsage(Queue, "c" + std::to_string(I), 1, StartCommand);
  CHECK(Queue.Usages.size() <= 4096);
  // An active customer cannot clear its record by flooding with others.
  CHECK(Queue.Usages.contains("active"));
}

TEST_CASE("a full home region holds up no request that may go elsewhere") {
  DispatchQueue Queue;
  WaitingRequest AtHome = request(0);
  AtHome.AllowedRegions.emplace().insert("home");
  const auto Urgent = enqueue(Queue, AtHome);
  const auto Second = enqueue(Queue, AtHome);
  const auto Anywhere = enqueue(Queue, request(2));
  CHECK(nextRequest(Queue, "engines", StartCommand)->Ticket == Urgent);
  // The home region is full: its requests keep their places there.
  const ReservedRegions Full{"home"};
  CHECK(nextRequest(Queue, "engines", StartCommand, Full)->Ticket == Anywhere);
  dequeue(Queue, *Anywhere);
  CHECK(nextRequest(Queue, "engines", StartCommand, Full) == nullptr);
  CHECK(nextRequest(Queue, "engines", StartCommand)->Ticket == Urgent);
  dequeue(Queue, *Urgent);
  CHECK(nextRequest(Queue, "engines", StartCommand)->Ticket == Second);
}

TEST_CASE("a new request leaves the regions of more urgent ones to them") {
  DispatchQueue Queue;
  WaitingRequest AtHome = request(1);
  AtHome.AllowedRegions.emplace().insert({"home", "near"});
  enqueue(Queue, AtHome);
  CHECK_FALSE(mustWait(Queue, "engines", 1));
  CHECK(reservedRegions(Queue, "engines", 1) ==
        ReservedRegions{"home", "near"});
  CHECK(reservedRegions(Queue, "engines", 0).empty());
  CHECK(reservedRegions(Queue, "other", 1).empty());
  enqueue(Queue, request(1));
  CHECK(mustWait(Queue, "engines", 1));
}

TEST_CASE("a request that no region may serve is passed over") {
  DispatchQueue Queue;
  WaitingRequest Nowhere = request(0);
  Nowhere.AllowedRegions.emplace();
  enqueue(Queue, Nowhere);
  const auto Anywhere = enqueue(Queue, request(2));
  CHECK(nextRequest(Queue, "engines", StartCommand)->Ticket == Anywhere);
}
