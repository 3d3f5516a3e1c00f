#include "marigoldyard/coordination/server_notice.hpp"

#include <algorithm>

namespace marigoldyard {

std::string_view noticeChangeName(NoticeChange Value) {
  switch (Value) {
  case NoticeChange::None:
    return "none";
  case NoticeChange::Leaving:
    return "leaving";
  case NoticeChange::Refusing:
    return "refusing";
  }
  return "";
}

NoticeChange applyNotice(ServerAvailability &Availability,
                         const ServerNotice &Notice, TimePoint Now) {
  const bool Refused = Now < Availability.RefusesUntil;
  if (Notice.RefusesFor && *Notice.RefusesFor > Duration::zero()) {
    Availability.RefusesUntil =
        std::max(Availability.RefusesUntil, Now + *Notice.RefusesFor);
    Availability.ProbeDue = true;
  } else if (!Refused) {
    Availability.ProbeDue = false;
  }
  if (Notice.Leaving && !Availability.Leaving) {
    Availability.Leaving = true;
    return NoticeChange::Leaving;
  }
  return !Refused && Now < Availability.RefusesUntil ? NoticeChange::Refusing
                                                     : NoticeChange::None;
}

void applyRestart(ServerAvailability &Availability) {
  Availability.Leaving = false;
  Availability.ProbeRunning = false;
}

bool mayReceive(const ServerAvailability &Availability, TimePoint Now) {
  return !Availability.Leaving && Now >= Availability.RefusesUntil;
}

} // namespace marigoldyard
