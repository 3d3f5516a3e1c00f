#include "programs/fleet/fleet_main.hpp"
#include "programs/gateway/gateway.hpp"

int main(int Count, char **Arguments) {
  return marigoldyard::runFleetProgram<marigoldyard::Gateway>(
      "marigold-gateway", "Serves callers of a shared model fleet",
      &marigoldyard::parseGatewaySettings, Count, Arguments);
}
