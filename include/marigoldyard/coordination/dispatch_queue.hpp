#pragma once

#include "marigoldyard/state/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldyard {

/// @brief A request that waits for a server.
struct WaitingRequest {
  std::uint64_t Ticket = 0; ///< set by enqueue
  std::string Pool;
  std::string Customer;
  std::uint32_t Priority = 0; ///< 0 first
  std::uint64_t Cost = 1;     ///< work that it causes, for fairness
  TimePoint Arrived;
  TimePoint OnTimeUntil; ///< begun later, it misses its target
  TimePoint HoldUntil;   ///< it is refused then
};

/// @brief Limits of a queue.
struct DispatchSettings {
  std::size_t MaxWaiting = 4096; ///< memory bound
  /// Time constant with which the work done for a customer is forgotten.
  Duration UsageTime = std::chrono::seconds(5);
};

/// @brief Requests that wait for a server, and the work done for customers.
struct DispatchQueue {
  DispatchSettings Settings;
  std::uint64_t LastTicket = 0;
  std::map<std::uint64_t, WaitingRequest> Waiting; ///< by ticket
  struct Usage {
    double Cost = 0;
    TimePoint At;
  };
  std::map<std::string, Usage, std::less<>> Usages; ///< by customer
};

/// @brief Adds a request.
/// @param Queue the queue
/// @param Request the request
/// @return its ticket, or nothing when the queue is full
std::optional<std::uint64_t> enqueue(DispatchQueue &Queue,
                                     WaitingRequest Request);

/// @brief The request of a pool that is to be begun next: those that can still
/// meet their target first, then by priority, then the customer with the least
/// work done, then by arrival.
/// @param Queue the queue
/// @param Pool the pool
/// @param Now the time
/// @return the request, or null
/// @complexity linear in the waiting requests
const WaitingRequest *nextRequest(const DispatchQueue &Queue,
                                  std::string_view Pool, TimePoint Now);

/// @brief Removes a request that is begun, or whose caller left.
/// @param Queue the queue
/// @param Ticket its ticket
void dequeue(DispatchQueue &Queue, std::uint64_t Ticket);

/// @brief Counts work that is done for a customer.
/// @param Queue the queue
/// @param Customer the customer
/// @param Cost the work
/// @param Now the time
void noteUsage(DispatchQueue &Queue, const std::string &Customer,
               std::uint64_t Cost, TimePoint Now);

/// @brief Removes the requests whose hold is over.
/// @param Queue the queue
/// @param Now the time
/// @return their tickets
/// @complexity linear in the waiting requests
std::vector<std::uint64_t> expireRequests(DispatchQueue &Queue, TimePoint Now);

/// @brief Whether requests that are at least as urgent wait for a pool.
/// @param Queue the queue
/// @param Pool the pool
/// @param Priority priority of a new request
/// @return true when a new request has to wait behind another one
bool mustWait(const DispatchQueue &Queue, std::string_view Pool,
              std::uint32_t Priority);

} // namespace marigoldyard
