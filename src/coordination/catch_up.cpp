#include "marigoldyard/coordination/catch_up.hpp"

namespace marigoldyard {

bool isLeftBehind(CatchUp &State, Revision Own, Revision Reported,
                  TimePoint Now) {
  if (State.Missing <= Own)
    State.Missing = 0;
  if (Reported <= Own)
    return false;
  if (State.Missing == 0) {
    State.Missing = Reported;
    State.MissingSince = Now;
  }
  return Now - State.MissingSince >= State.Limit;
}

} // namespace marigoldyard
