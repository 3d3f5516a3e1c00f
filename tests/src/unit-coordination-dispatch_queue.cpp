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
