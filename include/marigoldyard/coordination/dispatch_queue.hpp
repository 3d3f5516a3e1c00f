#pragma once

#include "marigoldyard/state/fleet.hpp"
#include "marigoldyard/state/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldyard {

/// @brief A queued request that waits for a server.
struct WaitingRequest {
  std::uint64_t Ticket = 0; ///< set by enqueue
  std::string Pool;
  std::string Customer;
  std::uint32_t Priority = 0; ///< 0 is the most urgent
  std::uint64_t Cost = 1; ///< estimated work, for fairness between customers
  TimePoint ArrivalTime;
  TimePoint
      TargetDeadline;  ///< latest start that still meets its latency target
  TimePoint ExpiresAt; ///< time at which it is refused if still queued
  RegionLimit AllowedRegions; ///< of the server
};

/// @brief Regions whose servers are left to requests that wait already.
using ReservedRegions = std::set<std::string, std::less<>>;

/// @brief Parameters of a dispatch queue.
struct DispatchSettings {
  std::size_t MaxWaiting = 4096; ///< limits the memory of the queue
  /// Time constant of the exponential decay of the work done for a customer.
  Duration UsageDecayTime = std::chrono::seconds(5);
};

/// @brief Requests that wait for a server, and the recent work done for each
/// customer.
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

/// @brief Adds a request to the queue.
/// @param Request the request; its Ticket is overwritten
/// @return the ticket, or an empty value when the queue is full
std::optional<std::uint64_t> enqueue(DispatchQueue &Queue,
                                     WaitingRequest Request);

/// @brief Returns the request of a pool that is dispatched next. Requests that
/// can still meet their latency target come first; then the order is by
/// priority, by the least recent work of the customer, and by arrival.
/// @param Reserved regions whose servers are left to requests that come before;
/// requests that may use no other region are passed over
/// @return the request, owned by the queue; null when none waits for the pool
/// @complexity linear in the number of waiting requests
const WaitingRequest *nextRequest(const DispatchQueue &Queue,
                                  std::string_view Pool, TimePoint Now,
                                  const ReservedRegions &Reserved = {});

/// @brief Removes a request that was dispatched, or whose caller disconnected.
/// @param Ticket ticket of the request; an unknown one has no effect
void dequeue(DispatchQueue &Queue, std::uint64_t Ticket);

/// @brief Adds work to the recent work done for a customer.
/// @param Cost estimated work, in the unit of WaitingRequest::Cost
void recordUsage(DispatchQueue &Queue, const std::string &Customer,
                 std::uint64_t Cost, TimePoint Now);

/// @brief Removes the requests that have waited until their expiry time.
/// @return tickets of the removed requests
/// @complexity linear in the number of waiting requests
std::vector<std::uint64_t> expireRequests(DispatchQueue &Queue, TimePoint Now);

/// @brief Returns whether requests that are at least as urgent as a new one
/// wait for any server of a pool.
/// @param Priority priority of the new request; 0 is the most urgent
/// @return true when the new request must be queued
bool mustWait(const DispatchQueue &Queue, std::string_view Pool,
              std::uint32_t Priority);

/// @brief Returns the regions in which requests that are at least as urgent as
/// a new one wait, because they may be served there only. A new request may
/// still use the servers of other regions.
/// @param Priority priority of the new request; 0 is the most urgent
/// @complexity linear in the number of waiting requests
ReservedRegions reservedRegions(const DispatchQueue &Queue,
                                std::string_view Pool, std::uint32_t Priority);

} // namespace marigoldyard
