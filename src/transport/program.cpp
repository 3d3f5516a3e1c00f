#include "marigoldyard/transport/program.hpp"

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <fmt/core.h>
#include <fstream>
#include <pthread.h>

namespace marigoldyard {

namespace {

constexpr std::size_t MaxSettingsBytes = 1UL << 20;

/// Ends the signal thread; sent only to that thread.
constexpr int EndSignal = SIGUSR1;

sigset_t handledSignals() {
  sigset_t Set;
  sigemptyset(&Set);
  for (int Signal : {SIGINT, SIGTERM, SIGHUP, EndSignal})
    sigaddset(&Set, Signal);
  return Set;
}

} // namespace

std::optional<int> parseProgramOptions(const std::string &Name,
                                       const std::string &Purpose, int Count,
                                       const char *const *Arguments,
                                       ProgramOptions &Target) {
  CLI::App Application(Purpose, Name);
  Application.set_version_flag("--version", Name + " " MARIGOLDYARD_VERSION);
  Application
      .add_option("--settings", Target.SettingsPath,
                  "File with the settings (JSON with comments)")
      ->envname("MARIGOLDYARD_CONFIG")
      ->required();
  Application.add_flag("--check", Target.CheckOnly,
                       "Check the settings and exit");
  try {
    Application.parse(Count, Arguments);
  } catch (const CLI::ParseError &Failure) {
    return Application.exit(Failure);
  }
  return std::nullopt;
}

Expected<std::string> readFile(const std::string &Path, std::size_t MaxBytes) {
  auto Failed = [&](std::string Detail) {
    return Error{ErrorCode::InvalidSettings, Step::Settings, Path,
                 std::move(Detail)};
  };
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return Failed("file cannot be opened");
  std::string Content;
  char Block[4096];
  while (File.read(Block, sizeof Block) || File.gcount() > 0) {
    Content.append(Block, static_cast<std::size_t>(File.gcount()));
    if (Content.size() > MaxBytes)
      return Failed("file is larger than " + std::to_string(MaxBytes) +
                    " bytes");
  }
  if (File.bad())
    return Failed("file cannot be read");
  return Content;
}

std::optional<std::string> readSettingsText(const std::string &Path) {
  auto Text = readFile(Path, MaxSettingsBytes);
  if (Text)
    return std::move(*Text);
  fmt::print(stderr, "{}\n", Text.error().message());
  return std::nullopt;
}

void printFaults(const std::vector<DocumentFault> &Faults) {
  for (const DocumentFault &Fault : Faults)
    fmt::print(stderr, "{}\n", describeFault(Fault));
}

void endProcess(LineWriter &Output, int Status) {
  Output.finish();
  std::_Exit(Status);
}

SignalThread::SignalThread(std::function<void(int)> Handler) {
  sigset_t Set = handledSignals();
  pthread_sigmask(SIG_BLOCK, &Set, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  Waiter = std::thread([Set, Handle = std::move(Handler)] {
    for (;;) {
      int Signal = 0;
      if (sigwait(&Set, &Signal) != 0 || Signal == EndSignal)
        return;
      Handle(Signal);
    }
  });
}

SignalThread::~SignalThread() {
  pthread_kill(Waiter.native_handle(), EndSignal);
  Waiter.join();
}

} // namespace marigoldyard
