#pragma once

#include "marigoldyard/protocol/fault_list.hpp"
#include "marigoldyard/state/error.hpp"
#include "marigoldyard/transport/line_writer.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace marigoldyard {

/// @brief Command line of a daemon.
struct ProgramOptions {
  std::string SettingsPath;
  bool CheckOnly = false; ///< check the settings and exit
};

/// @brief Parses --help, --version, --settings FILE and --check.
/// @param Name name of the program
/// @param Purpose one line for --help
/// @param Count number of arguments
/// @param Arguments arguments of main
/// @param Target receives the options
/// @return nothing to go on, otherwise the exit status; help, version and
/// errors are printed
std::optional<int> parseProgramOptions(const std::string &Name,
                                       const std::string &Purpose, int Count,
                                       const char *const *Arguments,
                                       ProgramOptions &Target);

/// @brief Reads a whole file.
/// @param Path the file
/// @param MaxBytes largest accepted size
/// @return the content; ErrorCode::InvalidSettings when it cannot be read or is
/// too large
Expected<std::string> readFile(const std::string &Path, std::size_t MaxBytes);

/// @brief Reads a settings file.
/// @param Path the file
/// @return the content; nothing when it cannot be read, which is printed
std::optional<std::string> readSettingsText(const std::string &Path);

/// @brief Prints the faults of a document on standard error.
/// @param Faults the faults
void printFaults(const std::vector<DocumentFault> &Faults);

/// @brief Parses and checks settings.
/// @param Text JSON with comments
/// @param Parse parser of the settings
/// @return the settings; nothing when they have faults, which are printed
template <typename T>
std::optional<T> checkedSettings(std::string_view Text,
                                 Checked<T> (*Parse)(std::string_view)) {
  Checked<T> Settings = Parse(Text);
  printFaults(Settings.Faults);
  return std::move(Settings.Value);
}

/// @brief Reads, parses and checks a settings file.
/// @param Path the file
/// @param Parse parser of the settings
/// @return the settings; nothing when there are none, with the reasons printed
template <typename T>
std::optional<T> readSettings(const std::string &Path,
                              Checked<T> (*Parse)(std::string_view)) {
  const auto Text = readSettingsText(Path);
  return Text ? checkedSettings(*Text, Parse) : std::nullopt;
}

/// @brief Ends the process without closing its nng sockets: nng 1.5.2 may wait
/// for ever when a socket closes while its connections deliver messages. The
/// system closes them.
/// @param Output log output, written out before
/// @param Status exit status
[[noreturn]] void endProcess(LineWriter &Output, int Status);

/// @brief Delivers SIGINT, SIGTERM and SIGHUP to a callback on a thread of its
/// own, which waits with sigwait.
///
/// Create it in main before any other thread, because threads inherit the
/// signal mask. SIGPIPE is ignored as well: a closed connection is an error of
/// the write.
class SignalThread {
public:
  /// @param Handler gets the signal number; runs on the signal thread
  explicit SignalThread(std::function<void(int)> Handler);
  /// @brief Ends the thread; pending signals stay blocked.
  ~SignalThread();
  SignalThread(const SignalThread &) = delete;
  SignalThread &operator=(const SignalThread &) = delete;

private:
  std::thread Waiter;
};

} // namespace marigoldyard
