#include "marigoldyard/transport/event_log.hpp"

#include "marigoldyard/transport/clock.hpp"

#include <nlohmann/json.hpp>

namespace marigoldyard {

EventLog::EventLog(std::string Name, std::size_t Capacity)
    : Process(std::move(Name)), MaxEvents(Capacity) {}

HybridTime EventLog::advance() {
  std::int64_t Wall = wallTime().count();
  if (Wall > Latest.WallMicroseconds)
    Latest = {Wall, 0};
  else
    ++Latest.Logical;
  return Latest;
}

void EventLog::record(TimelineEvent Event) {
  std::lock_guard Lock(Mutex);
  Event.At = advance();
  if (Events.size() >= MaxEvents) {
    ++Dropped;
    if (!Events.empty())
      Events.pop_front();
  }
  if (MaxEvents > 0)
    Events.push_back(std::move(Event));
}

HybridTime EventLog::tick() {
  std::lock_guard Lock(Mutex);
  return advance();
}

void EventLog::observe(HybridTime Received) {
  std::lock_guard Lock(Mutex);
  if (Received > Latest)
    Latest = Received;
  advance();
}

std::string EventLog::json(std::string_view Request) const {
  nlohmann::json List = nlohmann::json::array();
  std::lock_guard Lock(Mutex);
  for (const TimelineEvent &Event : Events) {
    if (!Request.empty() && Event.Request != Request)
      continue;
    nlohmann::json Item{
        {"wall_us", Event.At.WallMicroseconds},
        {"logical", Event.At.Logical},
        {"event", Event.Kind},
    };
    if (!Event.Request.empty())
      Item["request_id"] = Event.Request;
    if (!Event.Endpoint.empty())
      Item["endpoint"] = Event.Endpoint;
    if (!Event.Version.empty())
      Item["version"] = Event.Version;
    if (!Event.Fields.empty())
      Item["fields"] = Event.Fields;
    List.push_back(std::move(Item));
  }
  nlohmann::json Result{
      {"process", Process}, {"dropped", Dropped}, {"events", std::move(List)}};
  return Result.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace marigoldyard
