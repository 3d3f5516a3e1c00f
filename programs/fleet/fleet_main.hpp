#pragma once

#include "marigoldyard/protocol/fault_list.hpp"
#include "marigoldyard/transport/program.hpp"

#include <atomic>
#include <cstdlib>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace marigoldyard {

/// @brief A settings file that is read again while the process runs.
template <typename T> class SettingsFile {
public:
  /// @param Source the file
  /// @param Parser its parser
  SettingsFile(std::string Source, Checked<T> (*Parser)(std::string_view))
      : Path(std::move(Source)), Parse(Parser) {}

  /// @brief Reads the file if its content changed since the last call.
  /// @return the settings; nothing when it did not change or has faults, which
  /// are printed
  std::optional<T> readIfChanged() {
    auto Text = readSettingsText(Path);
    if (!Text || *Text == Last)
      return std::nullopt;
    Last = std::move(*Text);
    return checkedSettings(Last, Parse);
  }

private:
  std::string Path;
  Checked<T> (*Parse)(std::string_view);
  std::string Last;
};

/// @brief main() of a gateway or stager.
/// @param Name name of the program
/// @param Purpose one line for --help
/// @param Parse parser of its settings
/// @param Count number of arguments
/// @param Arguments arguments of main
/// @return exit status
template <typename Program, typename T>
int fleetMain(const std::string &Name, const std::string &Purpose,
              Checked<T> (*Parse)(std::string_view), int Count,
              const char *const *Arguments) {
  ProgramOptions Options;
  if (auto Status =
          parseProgramOptions(Name, Purpose, Count, Arguments, Options))
    return *Status;
  SettingsFile<T> File(Options.SettingsPath, Parse);
  auto Settings = File.readIfChanged();
  if (!Settings)
    return EXIT_FAILURE;
  if (Options.CheckOnly)
    return EXIT_SUCCESS;
  std::atomic<Program *> Running{nullptr};
  SignalThread Signals([&](int Signal) {
    if (Program *Process = Running.load())
      Process->node().signalled(Signal);
    else
      std::_Exit(EXIT_FAILURE);
  });
  Program Process(std::move(*Settings), std::move(File));
  if (auto Failure = Process.start()) {
    Process.node().Log.write("start_failed", *Failure);
    return EXIT_FAILURE;
  }
  Running.store(&Process);
  Process.node().run();
  Running.store(nullptr);
  endProcess(Process.node().Output, EXIT_SUCCESS);
}

} // namespace marigoldyard
