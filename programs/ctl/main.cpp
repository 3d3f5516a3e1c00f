#include "marigoldyard/protocol/fleet_settings.hpp"
#include "marigoldyard/protocol/manifest_json.hpp"
#include "marigoldyard/protocol/settings.hpp"
#include "marigoldyard/transport/program.hpp"
#include "programs/ctl/log_files.hpp"
#include "programs/ctl/reports.hpp"

#include <CLI/CLI.hpp>
#include <fmt/core.h>
#include <functional>
#include <map>

using namespace marigoldyard;

namespace {

constexpr std::size_t MaxManifestBytes = 16UL << 20;
constexpr std::uint16_t DefaultOperatorPort = 8081;

/// Options of all commands.
struct Options {
  std::string File;
  std::string Output;
  std::string SettingsPath;
  bool CheckOnly = false;
  std::string VmList;
  std::uint16_t OperatorPort = 0; ///< 0 when not given
  bool AsJson = false;
  TimelineFilter Filter;
  std::string Target;
  std::string Document = "manifest"; ///< what FILE of `check` holds
  std::vector<std::string> Logs;     ///< collected logs
};

int checkManifest(const Options &Given) {
  auto Text = readFile(Given.File, MaxManifestBytes);
  if (!Text) {
    fmt::print(stderr, "{}\n", Text.error().message());
    return 1;
  }
  const Checked<Manifest> Result = parseManifest(*Text);
  for (const DocumentFault &Fault : Result.Faults)
    fmt::print("{}\n", describeFault(Fault));
  if (!Result.Value)
    return 1;
  fmt::print("{}: revision {}, {} products, no faults\n", Given.File,
             Result.Value->ConfigRevision, Result.Value->Products.size());
  return 0;
}

/// Names every fault of a settings file.
template <typename T>
int checkSettings(const std::string &Path,
                  Checked<T> (*Parse)(std::string_view)) {
  const auto Text = readSettingsText(Path);
  if (!Text)
    return 1;
  const Checked<T> Result = Parse(*Text);
  for (const DocumentFault &Fault : Result.Faults)
    fmt::print("{}\n", describeFault(Fault));
  if (!Result.Value)
    return 1;
  fmt::print("{}: no faults\n", Path);
  return 0;
}

using CheckFunction = int (*)(const Options &);

/// Documents that `check` knows.
const std::map<std::string, CheckFunction> Checks = {
    {"manifest", checkManifest},
    {"entry",
     [](const Options &Given) {
       return checkSettings(Given.File, parseEntrySettings);
     }},
    {"agent",
     [](const Options &Given) {
       return checkSettings(Given.File, parseAgentSettings);
     }},
    {"gateway",
     [](const Options &Given) {
       return checkSettings(Given.File, parseGatewaySettings);
     }},
    {"stager",
     [](const Options &Given) {
       return checkSettings(Given.File, parseStagerSettings);
     }},
    {"ctl", [](const Options &Given) {
       return checkSettings(Given.File, parseCtlSettings);
     }}};

int checkDocument(const Options &Given) {
  return Checks.at(Given.Document)(Given);
}

int planManifest(const Options &Given) {
  auto Text = readFile(Given.File, MaxManifestBytes);
  const Checked<Manifest> Result =
      Text ? parseManifest(*Text) : Checked<Manifest>{};
  if (!Result.Value)
    return checkManifest(Given);
  const PublishedManifest Published = splitManifest(*Result.Value);
  nlohmann::json Keys = nlohmann::json::array();
  for (const auto &[Key, Value] : Published.Values)
    Keys.push_back({{"key", Key}, {"value", Value}});
  Keys.push_back({{"key", IndexKey}, {"value", Published.Index}});
  fmt::print("{}\n", Keys.dump(2));
  return 0;
}

int printReference(const Options &) {
  fmt::print("{}\n{}\n{}", settingsReference(), fleetSettingsReference(),
             manifestReference());
  return 0;
}

/// Settings of the file, if one is given, replaced by those of the command
/// line. Prints all faults.
std::optional<CtlSettings> settingsOf(const Options &Given) {
  CtlSettings Result{{}, DefaultOperatorPort};
  if (!Given.SettingsPath.empty()) {
    const auto Read = readSettings(Given.SettingsPath, parseCtlSettings);
    if (!Read)
      return std::nullopt;
    Result = *Read;
  }
  if (Given.OperatorPort != 0)
    Result.OperatorPort = Given.OperatorPort;
  return Result;
}

/// Address of the VM list: that of the command line or of the settings.
std::string vmListOf(const Options &Given, const CtlSettings &Settings) {
  if (!Given.VmList.empty() || Settings.VmList.Host.empty())
    return Given.VmList;
  const std::string &Host = Settings.VmList.Host;
  const bool IsVersion6 = Host.find(':') != std::string::npos;
  return fmt::format("{}:{}", IsVersion6 ? "[" + Host + "]" : Host,
                     Settings.VmList.Port);
}

std::optional<std::vector<OperatorAddress>> daemonsOf(const Options &Given) {
  const auto Settings = settingsOf(Given);
  if (!Settings)
    return std::nullopt;
  const std::string VmList = vmListOf(Given, *Settings);
  if (VmList.empty()) {
    fmt::print(stderr, "--vm-list or --settings is required\n");
    return std::nullopt;
  }
  auto Members = readMembers(VmList);
  if (!Members) {
    fmt::print(stderr, "{}\n", Members.error().message());
    return std::nullopt;
  }
  return operatorAddresses(*Members, Settings->OperatorPort);
}

int showStatus(const Options &Given) {
  const auto Daemons = daemonsOf(Given);
  if (!Daemons)
    return 1;
  const auto Pages = readPages(*Daemons, "/status");
  if (!Given.AsJson) {
    fmt::print("{}", statusTable(Pages));
    return 0;
  }
  nlohmann::json Result = nlohmann::json::array();
  for (const OperatorPage &Page : Pages)
    Result.push_back(Page.Failure.empty()
                         ? Page.Content
                         : nlohmann::json{{"name", Page.From.Name},
                                          {"failure", Page.Failure}});
  fmt::print("{}\n", Result.dump());
  return 0;
}

/// Logs of the command line; prints why they cannot be read, and how many lines
/// were skipped.
std::optional<CollectedLogs> logsOf(const Options &Given) {
  auto Logs = readLogs(Given.Logs);
  if (!Logs) {
    fmt::print(stderr, "{}\n", Logs.error().message());
    return std::nullopt;
  }
  if (Logs->Skipped > 0)
    fmt::print(stderr, "{} lines are no log lines\n", Logs->Skipped);
  return std::move(*Logs);
}

void printTimeline(const std::vector<OperatorPage> &Pages,
                   const Options &Given) {
  for (const nlohmann::json &Event : mergeTimeline(Pages, Given.Filter))
    fmt::print("{}\n", Given.AsJson ? Event.dump() : timelineLine(Event));
}

int showTimeline(const Options &Given) {
  if (!Given.Logs.empty()) {
    const auto Logs = logsOf(Given);
    if (Logs)
      printTimeline(Logs->Pages, Given);
    return Logs ? 0 : 1;
  }
  const auto Daemons = daemonsOf(Given);
  if (!Daemons)
    return 1;
  printTimeline(readPages(*Daemons, "/timeline"), Given);
  return 0;
}

int explainLogged(const Options &Given) {
  const auto Logs = logsOf(Given);
  if (!Logs)
    return 1;
  const std::string Text = explainFromLogs(*Logs, Given.Target);
  if (Text.empty())
    fmt::print("no log line names this request\n");
  fmt::print("{}", Text);
  return Text.empty() ? 1 : 0;
}

int explain(const Options &Given) {
  if (!Given.Logs.empty())
    return explainLogged(Given);
  const auto Daemons = daemonsOf(Given);
  if (!Daemons)
    return 1;
  for (const OperatorAddress &Each : *Daemons)
    if (Each.Name == Given.Target) {
      fmt::print("{}", explainEndpoint(readPages({Each}, "/status").front()));
      return 0;
    }
  const auto Events =
      mergeTimeline(readPages(*Daemons, "/timeline"), {Given.Target, {}, {}});
  fmt::print("{}", explainRequest(Events));
  return Events.empty() ? 1 : 0;
}

void addFleetOptions(CLI::App &Command, Options &Given) {
  Command.add_option("--vm-list", Given.VmList, "host:port of the VM list");
  Command.add_option("--operator-port", Given.OperatorPort,
                     "operator port of the daemons (default 8081)");
  Command.add_option("--logs", Given.Logs,
                     "collected logs to read instead of the daemons");
}

using CommandFunction = int (*)(const Options &);

void addManifestCommands(
    const std::function<CLI::App *(const char *, const char *, CommandFunction)>
        &Add,
    Options &Given) {
  CLI::App *Check =
      Add("check", "name every fault of a manifest or settings file",
          checkDocument);
  Check->add_option("FILE", Given.File, "manifest or settings")->required();
  Check->add_option("--as", Given.Document, "what FILE holds")
      ->check(CLI::IsMember(Checks))
      ->capture_default_str();
  Add("plan", "print the keys to publish for a manifest, in order",
      planManifest)
      ->add_option("FILE", Given.File, "manifest")
      ->required();
  Add("reference", "print the reference of settings and manifest",
      printReference);
}

} // namespace

int main(int Count, char **Arguments) {
  CLI::App App("Checks manifests and shows what a fleet does", "marigoldctl");
  App.set_version_flag("--version", "marigoldctl " MARIGOLDYARD_VERSION);
  App.require_subcommand(0, 1);
  Options Given;
  App.add_option("--settings", Given.SettingsPath,
                 "File with the settings (JSON with comments)");
  App.add_flag("--check", Given.CheckOnly, "Check the settings and exit")
      ->needs("--settings");
  int Status = 0;
  const auto Add = [&](const char *Name, const char *Help,
                       CommandFunction Run) {
    CLI::App *Command = App.add_subcommand(Name, Help);
    Command->callback([&Status, &Given, Run] { Status = Run(Given); });
    return Command;
  };
  addManifestCommands(Add, Given);
  CLI::App *StatusCommand = Add("status", "show all daemons", showStatus);
  addFleetOptions(*StatusCommand, Given);
  StatusCommand->add_flag("--json", Given.AsJson, "print JSON");
  CLI::App *Timeline =
      Add("timeline", "merge the events of all daemons", showTimeline);
  addFleetOptions(*Timeline, Given);
  Timeline->add_option("--request", Given.Filter.Request, "request id");
  Timeline->add_option("--endpoint", Given.Filter.Endpoint, "endpoint");
  Timeline->add_option("--version", Given.Filter.Version,
                       "start of a weight digest");
  Timeline->add_flag("--json", Given.AsJson, "print JSON lines");
  CLI::App *Explain =
      Add("explain",
          "why a request went where it did, or why an endpoint runs "
          "what it runs",
          explain);
  addFleetOptions(*Explain, Given);
  Explain->add_option("TARGET", Given.Target, "request id or name of an agent")
      ->required();
  CLI11_PARSE(App, Count, Arguments);
  if (Given.CheckOnly)
    return settingsOf(Given) ? 0 : 1;
  if (App.get_subcommands().empty()) {
    fmt::print(stderr, "a command is required; see marigoldctl --help\n");
    return 1;
  }
  return Status;
}
