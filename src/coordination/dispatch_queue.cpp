#include "marigoldyard/coordination/dispatch_queue.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace marigoldyard {

namespace {

/// Maximum number of customers whose usage is tracked; the least active one is
/// evicted.
constexpr std::size_t MaxTrackedCustomers = 4096;

double decayedUsage(const DispatchQueue &Queue, std::string_view Customer,
                    TimePoint Now) {
  const auto Found = Queue.Usages.find(Customer);
  if (Found == Queue.Usages.end())
    return 0;
  const std::chrono::duration<double> Elapsed = Now - Found->second.At;
  return Found->second.Cost *
         std::exp(-Elapsed /
                  std::chrono::duration<double>(Queue.Settings.UsageDecayTime));
}

void evictLeastActive(DispatchQueue &Queue, TimePoint Now) {
  const auto Least =
      std::min_element(Queue.Usages.begin(), Queue.Usages.end(),
                       [&](const auto &Left, const auto &Right) {
                         return decayedUsage(Queue, Left.first, Now) <
                                decayedUsage(Queue, Right.first, Now);
                       });
  if (Least != Queue.Usages.end())
    Queue.Usages.erase(Least);
}

/// Whether a request may use no region beside the reserved ones.
bool isConfinedTo(const WaitingRequest &Request,
                  const ReservedRegions &Reserved) {
  return Request.AllowedRegions &&
         std::includes(Reserved.begin(), Reserved.end(),
                       Request.AllowedRegions->begin(),
                       Request.AllowedRegions->end());
}

} // namespace

std::optional<std::uint64_t> enqueue(DispatchQueue &Queue,
                                     WaitingRequest Request) {
  if (Queue.Waiting.size() >= Queue.Settings.MaxWaiting)
    return std::nullopt;
  Request.Ticket = ++Queue.LastTicket;
  const std::uint64_t Ticket = Request.Ticket;
  Queue.Waiting.emplace(Ticket, std::move(Request));
  return Ticket;
}

const WaitingRequest *nextRequest(const DispatchQueue &Queue,
                                  std::string_view Pool, TimePoint Now,
                                  const ReservedRegions &Reserved) {
  const WaitingRequest *Best = nullptr;
  auto SortKey = [&](const WaitingRequest &Each) {
    return std::make_tuple(Now > Each.TargetDeadline, Each.Priority,
                           decayedUsage(Queue, Each.Customer, Now),
                           Each.Ticket);
  };
  for (const auto &[Ticket, Request] : Queue.Waiting)
    if (Request.Pool == Pool && !isConfinedTo(Request, Reserved) &&
        (Best == nullptr || SortKey(Request) < SortKey(*Best)))
      Best = &Request;
  return Best;
}

void dequeue(DispatchQueue &Queue, std::uint64_t Ticket) {
  Queue.Waiting.erase(Ticket);
}

void recordUsage(DispatchQueue &Queue, const std::string &Customer,
                 std::uint64_t Cost, TimePoint Now) {
  const double Previous = decayedUsage(Queue, Customer, Now);
  if (!Queue.Usages.contains(Customer) &&
      Queue.Usages.size() >= MaxTrackedCustomers)
    evictLeastActive(Queue, Now);
  Queue.Usages[Customer] = {Previous + static_cast<double>(Cost), Now};
}

std::vector<std::uint64_t> expireRequests(DispatchQueue &Queue, TimePoint Now) {
  std::vector<std::uint64_t> Expired;
  std::erase_if(Queue.Waiting, [&](const auto &Each) {
    if (Now < Each.second.ExpiresAt)
      return false;
    Expired.push_back(Each.first);
    return true;
  });
  return Expired;
}

bool mustWait(const DispatchQueue &Queue, std::string_view Pool,
              std::uint32_t Priority) {
  return std::any_of(
      Queue.Waiting.begin(), Queue.Waiting.end(), [&](const auto &Each) {
        return Each.second.Pool == Pool && Each.second.Priority <= Priority &&
               !Each.second.AllowedRegions;
      });
}

ReservedRegions reservedRegions(const DispatchQueue &Queue,
                                std::string_view Pool, std::uint32_t Priority) {
  ReservedRegions Result;
  for (const auto &[Ticket, Each] : Queue.Waiting)
    if (Each.Pool == Pool && Each.Priority <= Priority && Each.AllowedRegions)
      Result.insert(Each.AllowedRegions->begin(), Each.AllowedRegions->end());
  return Result;
}

} // namespace marigoldyard
