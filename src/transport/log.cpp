#include "marigoldyard/transport/log.hpp"

#include "marigoldyard/transport/clock.hpp"

#include <cstdio>
#include <fmt/format.h>
#include <iterator>
#include <nlohmann/json.hpp>

namespace marigoldyard {

namespace {

/// Text as a JSON string; invalid UTF-8 is replaced, so that input from a peer
/// cannot break a line.
std::string jsonText(std::string_view Text) {
  return nlohmann::json(Text).dump(-1, ' ', false,
                                   nlohmann::json::error_handler_t::replace);
}

void writeToStandardError(std::string_view Line) {
  fmt::print(stderr, "{}\n", Line);
}

} // namespace

std::string formatSeconds(Duration Value) {
  return fmt::format("{:.3f}", std::chrono::duration<double>(Value).count());
}

std::string_view logLevelName(LogLevel Value) {
  static constexpr std::string_view Names[] = {"debug", "info", "warning",
                                               "error"};
  return Names[static_cast<std::size_t>(Value)];
}

Logger::Logger(LogOptions Settings, Sink Output)
    : Options(std::move(Settings)),
      Target(Output ? std::move(Output) : Sink(&writeToStandardError)) {}

std::optional<std::uint64_t> Logger::admit(const LogEvent &Event) {
  std::string Kind = fmt::format("{}\n{}", Event.Event, Event.Peer);
  TimePoint Time = now();
  auto Found = Kinds.find(Kind);
  if (Found == Kinds.end()) {
    // Starting over costs at most one more burst of each kind.
    if (Kinds.size() >= Options.MaxKinds)
      Kinds.clear();
    Found = Kinds.emplace(std::move(Kind), Repeats{Time}).first;
  }
  Repeats &Count = Found->second;
  if (Time - Count.WindowStart >= Options.Window) {
    Count.WindowStart = Time;
    Count.Written = 0;
  }
  if (Count.Written >= Options.Burst) {
    ++Count.Suppressed;
    return std::nullopt;
  }
  ++Count.Written;
  return std::exchange(Count.Suppressed, 0);
}

void Logger::write(const LogEvent &Event) {
  if (Event.Level < Options.Lowest)
    return;
  std::lock_guard Lock(Mutex);
  auto Suppressed = admit(Event);
  if (!Suppressed)
    return;
  fmt::memory_buffer Line;
  auto Out = std::back_inserter(Line);
  fmt::format_to(
      Out,
      R"({{"time_us":{},"level":"{}","event":{},"process":{},"incarnation":{})",
      wallTime().count(), logLevelName(Event.Level), jsonText(Event.Event),
      jsonText(Options.Process), Options.Number);
  if (Event.At)
    fmt::format_to(Out, R"(,"step":"{}")", stepName(*Event.At));
  if (!Event.Peer.empty())
    fmt::format_to(Out, R"(,"peer":{})", jsonText(Event.Peer));
  if (!Event.Request.empty())
    fmt::format_to(Out, R"(,"request_id":{})", jsonText(Event.Request));
  if (Event.Number)
    fmt::format_to(Out, R"(,"revision":{})", *Event.Number);
  for (const auto &[Name, Value] : Event.Fields)
    fmt::format_to(Out, ",{}:{}", jsonText(Name), jsonText(Value));
  if (*Suppressed > 0)
    fmt::format_to(Out, R"(,"suppressed":{})", *Suppressed);
  fmt::format_to(Out, "}}");
  Target({Line.data(), Line.size()});
}

void Logger::write(std::string_view Kind, const Error &Failure,
                   std::string_view Request) {
  LogEvent Event;
  Event.Level = LogLevel::Warning;
  Event.Event = Kind;
  Event.At = Failure.At;
  Event.Peer = Failure.Peer;
  Event.Request = Request;
  Event.Fields = {{"error_id", std::to_string(Failure.Code.value())},
                  {"error", Failure.Code.message()}};
  if (!Failure.Detail.empty())
    Event.Fields.emplace_back("detail", Failure.Detail);
  write(Event);
}

} // namespace marigoldyard
