#include "programs/ctl/reports.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace marigoldyard {

namespace {

using Json = nlohmann::json;

constexpr std::size_t ShownDigestDigits = 12;

std::string shortDigest(const std::string &Weights) {
  return Weights.substr(0, ShownDigestDigits);
}

/// Array member of an object; empty when it is absent.
const Json &list(const Json &Source, const char *Key) {
  static const Json Empty = Json::array();
  const auto Found = Source.find(Key);
  return Found == Source.end() || !Found->is_array() ? Empty : *Found;
}

/// Progress of the models of an agent, e.g. "cup-helper v2 ready 32/32".
std::string modelProgress(const Json &Page) {
  std::string Result;
  std::vector<std::string> Shown;
  for (const Json &Model : list(Page, "models")) {
    std::string Line =
        fmt::format("{} {} {} {}/{}", memberText(Model, "model"),
                    memberText(Model, "version"), memberText(Model, "phase"),
                    Model.value("held", 0), Model.value("chunks", 0));
    if (std::find(Shown.begin(), Shown.end(), Line) != Shown.end())
      continue;
    Result += (Result.empty() ? "" : "; ") + Line;
    Shown.push_back(std::move(Line));
  }
  return Result;
}

/// Hybrid logical time of an event: microseconds, then the logical counter.
std::pair<std::int64_t, std::uint32_t> timeOf(const Json &Event) {
  return {Event.value("wall_us", std::int64_t{0}), Event.value("logical", 0U)};
}

/// Widths of the columns of the status table whose content has no limit.
struct ColumnWidths {
  std::size_t Name = std::string_view("name").size();
  std::size_t FailureDomain = std::string_view("failure domain").size();
};

ColumnWidths widthsOf(const std::vector<OperatorPage> &Pages) {
  ColumnWidths Widths;
  for (const OperatorPage &Page : Pages) {
    Widths.Name = std::max(Widths.Name, Page.From.Name.size());
    if (Page.Failure.empty())
      Widths.FailureDomain =
          std::max(Widths.FailureDomain,
                   memberText(Page.Content, "failure_domain").size());
  }
  return Widths;
}

std::string statusLine(const OperatorPage &Page, const ColumnWidths &Widths) {
  if (!Page.Failure.empty())
    return fmt::format("{:<{}} {:<22} unreachable: {}\n", Page.From.Name,
                       Widths.Name, Page.From.Address, Page.Failure);
  const Json &Status = Page.Content;
  return fmt::format("{:<{}} {:<6} {:<{}} {:<5} {:>8} {:>7} {}\n",
                     Page.From.Name, Widths.Name, memberText(Status, "kind"),
                     memberText(Status, "failure_domain"), Widths.FailureDomain,
                     Status.value("ready", false) ? "yes" : "no",
                     memberText(Status, "revision"),
                     memberText(Status, "running"), modelProgress(Status));
}

bool matches(const Json &Event, const TimelineFilter &Filter) {
  return (Filter.Request.empty() ||
          memberText(Event, "request_id") == Filter.Request) &&
         (Filter.Endpoint.empty() ||
          memberText(Event, "endpoint") == Filter.Endpoint) &&
         (Filter.Version.empty() ||
          memberText(Event, "version").starts_with(Filter.Version));
}

} // namespace

std::string memberText(const Json &Source, const char *Key) {
  const auto Found = Source.find(Key);
  if (Found == Source.end() || Found->is_null())
    return {};
  return Found->is_string() ? Found->get<std::string>() : Found->dump();
}

std::string statusTable(const std::vector<OperatorPage> &Pages) {
  const ColumnWidths Widths = widthsOf(Pages);
  std::string Result =
      fmt::format("{:<{}} {:<6} {:<{}} {:<5} {:>8} {:>7} {}\n", "name",
                  Widths.Name, "kind", "failure domain", Widths.FailureDomain,
                  "ready", "revision", "running", "models");
  for (const OperatorPage &Page : Pages)
    Result += statusLine(Page, Widths);
  return Result;
}

std::vector<Json> mergeTimeline(const std::vector<OperatorPage> &Pages,
                                const TimelineFilter &Filter) {
  std::vector<Json> Events;
  for (const OperatorPage &Page : Pages) {
    if (!Page.Failure.empty())
      continue;
    for (Json Event : list(Page.Content, "events")) {
      if (!matches(Event, Filter))
        continue;
      Event["process"] = memberText(Page.Content, "process");
      Events.push_back(std::move(Event));
    }
  }
  std::stable_sort(Events.begin(), Events.end(),
                   [](const Json &Left, const Json &Right) {
                     return timeOf(Left) < timeOf(Right);
                   });
  return Events;
}

std::string timelineLine(const Json &Event) {
  const auto [Wall, Logical] = timeOf(Event);
  std::string Line =
      fmt::format("{}.{:<3} {:<12} {:<24}", Wall, Logical,
                  memberText(Event, "process"), memberText(Event, "event"));
  for (const char *Key : {"request_id", "endpoint"})
    if (const std::string Value = memberText(Event, Key); !Value.empty())
      Line += fmt::format(" {}={}", Key, Value);
  if (const std::string Version = memberText(Event, "version");
      !Version.empty())
    Line += " version=" + shortDigest(Version);
  const auto Fields = Event.find("fields");
  if (Fields == Event.end())
    return Line;
  for (const auto &[Key, Value] : Fields->items())
    Line += fmt::format(" {}={}", Key,
                        Value.is_string() ? Value.get<std::string>()
                                          : Value.dump());
  return Line;
}

std::string explainRequest(const std::vector<Json> &Events) {
  if (Events.empty())
    return "no process remembers this request\n";
  std::string Result;
  for (const Json &Event : Events)
    Result += timelineLine(Event) + "\n";
  return Result;
}

std::string explainEndpoint(const OperatorPage &Page) {
  if (!Page.Failure.empty())
    return fmt::format("{} cannot be read: {}\n", Page.From.Name, Page.Failure);
  const Json &Status = Page.Content;
  std::string Result = fmt::format(
      "{} serves pool {} under revision {}\n", memberText(Status, "name"),
      memberText(Status, "pool"), memberText(Status, "revision"));
  for (const Json &Model : list(Status, "models"))
    Result += fmt::format(
        "  product {} wants {} {} ({}): {}, {} of {} chunks, {} failures\n",
        memberText(Model, "product"), memberText(Model, "model"),
        memberText(Model, "version"), shortDigest(memberText(Model, "weights")),
        memberText(Model, "phase"), Model.value("held", 0),
        Model.value("chunks", 0), Model.value("failures", 0));
  for (const Json &Weights : list(Status, "ready_weights"))
    Result += fmt::format("  announces {}\n",
                          shortDigest(Weights.get<std::string>()));
  return Result;
}

} // namespace marigoldyard
