#include "programs/fleet/fleet_main.hpp"
#include "programs/stager/stager.hpp"

int main(int Count, char **Arguments) {
  return marigoldyard::fleetMain<marigoldyard::Stager>(
      "marigold-stager", "Brings weights to the model server on its machine",
      &marigoldyard::parseStagerSettings, Count, Arguments);
}
