#include "marigoldyard/coordination/startup_survey.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{100s};
const std::set<std::string> Others{"10.0.0.1", "10.0.0.2"};

StartupSurvey makeSurvey() {
  StartupSurvey Survey;
  Survey.StartedAt = Start;
  return Survey;
}

} // namespace

// Guards against a gateway that sends requests to versions which the others
// know to be out of use, because it has just started.
TEST_CASE("a started gateway waits for one that knows") {
  StartupSurvey Survey = makeSurvey();
  CHECK_FALSE(updateSurvey(Survey, Others, Start + 10ms));
  recordSurveyAnswer(Survey, "10.0.0.1", false);
  CHECK_FALSE(updateSurvey(Survey, Others, Start + 20ms));
  CHECK_FALSE(Survey.Complete);
  recordSurveyAnswer(Survey, "10.0.0.2", true);
  CHECK(Survey.Complete);
}

TEST_CASE("gateways that start together do not wait for each other") {
  StartupSurvey Survey = makeSurvey();
  recordSurveyAnswer(Survey, "10.0.0.1", false);
  recordSurveyAnswer(Survey, "10.0.0.1", false);
  CHECK_FALSE(updateSurvey(Survey, Others, Start + 20ms));
  recordSurveyAnswer(Survey, "10.0.0.2", false);
  CHECK(updateSurvey(Survey, Others, Start + 30ms));
  CHECK_FALSE(updateSurvey(Survey, Others, Start + 40ms));
}

TEST_CASE("a gateway that is alone, or gets no answer, serves all the same") {
  StartupSurvey Survey = makeSurvey();
  CHECK(updateSurvey(Survey, {}, Start));
  Survey = makeSurvey();
  CHECK_FALSE(updateSurvey(Survey, Others, Start + 999ms));
  CHECK(updateSurvey(Survey, Others, Start + 1s));
}
