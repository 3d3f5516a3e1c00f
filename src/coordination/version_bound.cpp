#include "marigoldyard/coordination/version_bound.hpp"

#include <algorithm>

namespace marigoldyard {

namespace {

/// Returns the latest valid lower bound of the acknowledgement; empty if
/// nothing is known.
std::optional<TimePoint> latestBound(const VersionBoundSettings &Settings,
                                     const DeclarationEvidence &Evidence) {
  // An outage that another gateway did not see was one of this VM alone and
  // says nothing about the declaration.
  if (Evidence.ReportedAt)
    return std::max(
        Evidence.ConfirmedAt,
        std::optional(std::min(*Evidence.ReportedAt - Settings.ReportDelay,
                               Evidence.LearnedAt)));
  return std::max(Evidence.ConfirmedAt, Evidence.UnavailableAt);
}

Duration margin(const VersionBoundSettings &Settings, Duration Value) {
  return std::min(Value, std::chrono::duration_cast<Duration>(
                             Settings.Limit * Settings.MarginShare));
}

} // namespace

TimePoint confirmedByWatch(TimePoint SentAt, TimePoint AnsweredAt,
                           Duration Wait, bool HasChanges) {
  const bool WaitedInFull = !HasChanges && AnsweredAt - SentAt >= Wait;
  return WaitedInFull ? SentAt + Wait : SentAt;
}

void addReport(DeclarationReports &Reports, const std::string &Sender,
               TimePoint At) {
  const auto [Known, New] = Reports.BySender.try_emplace(Sender, At);
  Known->second = std::min(Known->second, At);
}

TimePoint latestReport(const DeclarationReports &Reports) {
  TimePoint Latest = TimePoint::min();
  for (const auto &[Sender, At] : Reports.BySender)
    Latest = std::max(Latest, At);
  return Latest;
}

bool wasInContact(const DeclarationEvidence &Evidence) {
  return Evidence.ConfirmedAt && Evidence.UnavailableAt.value_or(
                                     TimePoint::min()) <= *Evidence.ConfirmedAt;
}

VersionDeadlines versionDeadlines(const VersionBoundSettings &Settings,
                                  const DeclarationEvidence &Evidence) {
  const auto Bound = latestBound(Settings, Evidence);
  if (!Bound) {
    const TimePoint RequiredAt =
        Evidence.LearnedAt + std::min(Settings.UnknownAgeLimit, Settings.Limit);
    return {RequiredAt, RequiredAt};
  }
  const TimePoint End = *Bound + Settings.Limit;
  return {End - margin(Settings, Settings.SendMargin),
          End - margin(Settings, Settings.StartMargin)};
}

} // namespace marigoldyard
