#pragma once

#include "marigoldyard/state/error.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>

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
