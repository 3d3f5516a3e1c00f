#include "marigoldyard/coordination/startup_survey.hpp"

#include <algorithm>

namespace marigoldyard {

void recordSurveyAnswer(StartupSurvey &Survey, const std::string &Gateway,
                        bool Informed) {
  if (Informed)
    Survey.Complete = true;
  else
    Survey.Uninformed.insert(Gateway);
}

bool updateSurvey(StartupSurvey &Survey, const std::set<std::string> &Gateways,
                  TimePoint Now) {
  if (Survey.Complete)
    return false;
  Survey.Complete =
      Now - Survey.StartedAt >= Survey.Limit ||
      std::includes(Survey.Uninformed.begin(), Survey.Uninformed.end(),
                    Gateways.begin(), Gateways.end());
  return Survey.Complete;
}

} // namespace marigoldyard
