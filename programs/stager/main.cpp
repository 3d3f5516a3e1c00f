#include "programs/fleet/fleet_main.hpp"
#include "programs/stager/stager.hpp"

int main(int Count, char **Arguments) {
  return marigoldyard::runFleetProgram<marigoldyard::Stager>(
      "marigold-stager", "Loads weights into the model server on its machine",
      &marigoldyard::parseStagerSettings, Count, Arguments);
}
