#include "marigoldyard/coordination/version_bound.hpp"

#include <algorithm>

namespace marigoldyard {

namespace {

/// Number of questions whose answers may still arrive.
constexpr std::size_t MaxQuestions = 64;

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

std::optional<TimePoint>
acknowledgedAfter(const DeclarationEvidence &Evidence) {
  // An empty optional is less than any time.
  const auto Own = std::max(Evidence.ConfirmedAt, Evidence.OutageEndedAt);
  return Evidence.ReportedAt
             ? std::max(Own, std::optional(std::min(*Evidence.ReportedAt,
                                                    Evidence.LearnedAt)))
             : Own;
}

bool sawOutage(const StoreContact &Contact) {
  return Contact.ConfirmedAt && Contact.UnavailableAt > Contact.ConfirmedAt;
}

void recordOutageAnswer(OutageInquiry &Inquiry, const std::string &Stager,
                        Duration Age) {
  Inquiry.Answers[Stager] = Inquiry.AskedAt - std::max(Duration::zero(), Age);
}

bool isOpen(const OutageInquiry &Inquiry, TimePoint Now) {
  return Now < Inquiry.ClosesAt && Inquiry.Answers.size() < Inquiry.Asked;
}

std::optional<TimePoint> sharedOutageEnd(const OutageInquiry &Inquiry) {
  if (Inquiry.Answers.empty() || 2 * Inquiry.Answers.size() < Inquiry.Asked)
    return std::nullopt;
  TimePoint End = Inquiry.SeenUntil;
  for (const auto &[Stager, Until] : Inquiry.Answers)
    End = std::min(End, Until);
  return End;
}

void recordQuestion(AgeQuestions &Questions, std::uint64_t Number,
                    TimePoint Now) {
  if (Questions.Recent.size() >= MaxQuestions)
    Questions.Recent.pop_front();
  Questions.Recent.push_back({Number, Now});
}

std::optional<TimePoint> answeredBound(const AgeQuestions &Questions,
                                       std::uint64_t Number, Duration Age) {
  const auto Found =
      std::find_if(Questions.Recent.begin(), Questions.Recent.end(),
                   [Number](const AgeQuestions::Sent &Each) {
                     return Each.Number == Number;
                   });
  if (Found == Questions.Recent.end())
    return std::nullopt;
  return Found->At - std::max(Duration::zero(), Age);
}

VersionDeadlines versionDeadlines(const VersionBoundSettings &Settings,
                                  const DeclarationEvidence &Evidence) {
  const auto Bound = acknowledgedAfter(Evidence);
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
