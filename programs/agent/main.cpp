#include "programs/agent/agent.hpp"
#include "programs/node/daemon_main.hpp"

int main(int Count, char **Arguments) {
  return marigoldyard::daemonMain<marigoldyard::Agent>(
      {"marigold-agent", "The only path to the endpoint of its VM"},
      &marigoldyard::parseAgentSettings, Count, Arguments);
}
