#include "marigoldyard/transport/program.hpp"
#include "programs/entry/entry.hpp"
#include "programs/node/daemon_main.hpp"

int main(int Count, char **Arguments) {
  return marigoldyard::daemonMain<marigoldyard::Entry>(
      {"marigold-entry", "HTTP for callers, admission, routing and retries"},
      &marigoldyard::parseEntrySettings, Count, Arguments);
}
