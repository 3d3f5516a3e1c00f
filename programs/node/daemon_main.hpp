#pragma once

#include "marigoldyard/protocol/settings.hpp"
#include "marigoldyard/transport/program.hpp"
#include "programs/node/node.hpp"

#include <cstdio>
#include <string>
#include <string_view>

namespace marigoldyard {

/// @brief Name and purpose of a daemon for its command line.
struct DaemonDescription {
  std::string Name;
  std::string Purpose;
};

/// @brief main() of a daemon: command line, settings, signals, run.
/// @param Description name and purpose
/// @param Parse parser of its settings
/// @param Count number of arguments
/// @param Arguments arguments of main
/// @return exit status when the process cannot run; otherwise it ends here,
/// with status 0 after a drain that cut nothing off and 1 after another one
template <typename Daemon, typename T>
int daemonMain(const DaemonDescription &Description,
               Checked<T> (*Parse)(std::string_view), int Count,
               const char *const *Arguments) {
  ProgramOptions Options;
  if (auto Status = parseProgramOptions(Description.Name, Description.Purpose,
                                        Count, Arguments, Options))
    return *Status;
  auto Settings = readSettings<T>(Options.SettingsPath, Parse);
  if (!Settings)
    return 1;
  if (Options.CheckOnly)
    return 0;
  Node *Base = nullptr;
  std::atomic<bool> Started{false};
  SignalThread Signals([&](int Signal) {
    if (!Started.load())
      std::_Exit(1);
    Base->signalled(Signal, [&] {
      auto Fresh = readSettings<T>(Options.SettingsPath, Parse);
      return Fresh ? keyRing(Fresh->Process) : KeyRing{};
    });
  });
  Daemon Process(std::move(*Settings));
  Base = &Process.node();
  if (auto Failure = Process.start()) {
    Base->Log.write("start_failed", *Failure);
    return 1;
  }
  Started.store(true);
  const int Status = Process.run();
  endProcess(Base->Output, Status);
}

} // namespace marigoldyard
