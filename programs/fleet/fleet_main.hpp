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

/// @brief Settings file that is reread while the process runs.
/// @tparam T type of the parsed settings
template <typename T> class SettingsFile {
public:
  /// @param FilePath path of the settings file
  /// @param Parser function that parses and validates its text
  SettingsFile(std::string FilePath, Checked<T> (*Parser)(std::string_view))
      : Path(std::move(FilePath)), Parse(Parser) {}

  /// @brief Reads the file if its content changed since the last call.
  /// @return the settings; empty if the file is unchanged, unreadable or
  /// invalid. Faults are printed.
  std::optional<T> readIfChanged() {
    auto Text = readSettingsText(Path);
    if (!Text || *Text == LastContent)
      return std::nullopt;
    LastContent = std::move(*Text);
    return checkedSettings(LastContent, Parse);
  }

private:
  std::string Path;
  Checked<T> (*Parse)(std::string_view);
  std::string LastContent;
};

/// @brief Implements main() of a gateway or stager.
/// @param Name name of the program
/// @param Purpose one-line description for --help
/// @param Parse function that parses and validates the settings
/// @param Count number of arguments, argc of main
/// @param Arguments argv of main
/// @return exit status if the process did not start or had only to parse its
/// options and settings; otherwise endProcess() ends the process
template <typename Program, typename T>
int runFleetProgram(const std::string &Name, const std::string &Purpose,
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
      Process->node().handleSignal(Signal);
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
