#pragma once

#include "marigoldyard/state/time.hpp"

#include <set>
#include <string>

namespace marigoldyard {

/// @brief Questions of a gateway that has started to the others: which versions
/// are out of use.
///
/// The store holds the newest version of a model only, not when it and those
/// before it were declared. A gateway that has just started must not use what
/// the others know to be out of use.
struct StartupSurvey {
  /// Longest time for which requests to model servers wait for an answer.
  Duration Limit = std::chrono::seconds(1);
  TimePoint StartedAt{};
  /// Gateways that have answered without knowing more than the store.
  std::set<std::string> Uninformed;
  bool Complete = false;
};

/// @brief Records the answer of another gateway.
/// @param Gateway its IP address
/// @param Informed whether its own survey is complete, so that it knows which
/// versions are out of use
void recordSurveyAnswer(StartupSurvey &Survey, const std::string &Gateway,
                        bool Informed);

/// @brief Completes a survey when an informed gateway has answered, all have
/// answered, or its time is over.
/// @param Gateways IP addresses of the other gateways that may run
/// @return whether it became complete now
bool updateSurvey(StartupSurvey &Survey, const std::set<std::string> &Gateways,
                  TimePoint Now);

} // namespace marigoldyard
