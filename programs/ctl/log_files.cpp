#include "programs/ctl/log_files.hpp"

#include "programs/ctl/reports.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <set>

namespace marigoldyard {

namespace {

using Json = nlohmann::json;

/// What a process learned in this time before a request's first line may have
/// decided it; the longest bound of the platform on news of a server is 3 s.
constexpr std::int64_t ContextMicroseconds = 3'000'000;
/// Context lines shown; the newest ones are kept.
constexpr std::size_t MaxContextLines = 20;

/// Members of a log line that every event has; the rest are its fields.
const std::set<std::string> CommonMembers = {"time_us", "event", "process",
                                             "request_id"};

/// Event of a log line; null when the line is none.
Json eventOf(const std::string &Line) {
  const std::size_t Begin = Line.find('{');
  if (Begin == std::string::npos)
    return nullptr;
  const Json Parsed = Json::parse(Line.substr(Begin), nullptr, false);
  if (!Parsed.is_object() || memberText(Parsed, "event").empty())
    return nullptr;
  const auto Time = Parsed.find("time_us");
  if (Time == Parsed.end() || !Time->is_number_integer())
    return nullptr;
  Json Event = {{"wall_us", *Time},
                {"event", Parsed["event"]},
                {"process", memberText(Parsed, "process")},
                {"fields", Json::object()}};
  if (const std::string Request = memberText(Parsed, "request_id");
      !Request.empty())
    Event["request_id"] = Request;
  if (const std::string Server = memberText(Parsed, "server"); !Server.empty())
    Event["endpoint"] = Server;
  if (const std::string Version = memberText(Parsed, "version");
      !Version.empty())
    Event["version"] = Version;
  for (const auto &[Key, Value] : Parsed.items())
    if (!CommonMembers.contains(Key))
      Event["fields"][Key] = Value;
  return Event;
}

OperatorPage &pageOf(CollectedLogs &Logs, const std::string &Process) {
  for (OperatorPage &Page : Logs.Pages)
    if (Page.From.Name == Process)
      return Page;
  Logs.Pages.push_back(
      {{Process, ""},
       {{"process", Process}, {"dropped", 0}, {"events", Json::array()}},
       ""});
  return Logs.Pages.back();
}

/// Whether an event without a request may have decided one of a process: news
/// of the same process, or of one of the servers.
bool isContext(const Json &Event, const std::set<std::string> &Processes,
               const std::set<std::string> &Servers) {
  if (Event.contains("request_id"))
    return false;
  return Processes.contains(memberText(Event, "process")) ||
         Servers.contains(memberText(Event, "endpoint"));
}

} // namespace

Expected<CollectedLogs> readLogs(const std::vector<std::string> &Paths) {
  CollectedLogs Logs;
  for (const std::string &Path : Paths) {
    std::ifstream File(Path);
    if (!File)
      return Error{ErrorCode::InvalidSettings, Step::Settings, Path,
                   "file cannot be opened"};
    std::string Line;
    while (std::getline(File, Line)) {
      Json Event = eventOf(Line);
      if (Event.is_null()) {
        ++Logs.Skipped;
        continue;
      }
      pageOf(Logs, memberText(Event, "process"))
          .Content["events"]
          .push_back(std::move(Event));
    }
    if (File.bad())
      return Error{ErrorCode::InvalidSettings, Step::Settings, Path,
                   "file cannot be read"};
  }
  return Logs;
}

std::string explainFromLogs(const CollectedLogs &Logs,
                            const std::string &Request) {
  const std::vector<Json> Own = mergeTimeline(Logs.Pages, {Request, {}, {}});
  if (Own.empty())
    return {};
  std::string Result = explainRequest(Own);
  std::set<std::string> Processes;
  std::set<std::string> Servers;
  for (const Json &Event : Own) {
    Processes.insert(memberText(Event, "process"));
    if (const std::string Server = memberText(Event, "endpoint");
        !Server.empty())
      Servers.insert(Server);
  }
  const auto Earliest =
      Own.front().value("wall_us", std::int64_t{0}) - ContextMicroseconds;
  const auto Latest = Own.back().value("wall_us", std::int64_t{0});
  std::vector<std::string> Context;
  for (const Json &Event : mergeTimeline(Logs.Pages, {}))
    if (const auto At = Event.value("wall_us", std::int64_t{0});
        At >= Earliest && At <= Latest && isContext(Event, Processes, Servers))
      Context.push_back(timelineLine(Event));
  const std::size_t Left =
      Context.size() > MaxContextLines ? Context.size() - MaxContextLines : 0;
  Result += fmt::format("\nlearned in the 3 s before ({} earlier lines are "
                        "left out):\n",
                        Left);
  for (std::size_t I = Left; I < Context.size(); ++I)
    Result += Context[I] + "\n";
  return Result;
}

} // namespace marigoldyard
