// Takes the local model server out of use when its version has been replaced
// for too long and no newer version is whole yet.
#include "programs/stager/stager.hpp"

#include "marigoldyard/transport/clock.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace marigoldyard {

namespace {

/// Time before the order in which chunks are staged and read back.
constexpr std::chrono::milliseconds StagingLeadTime{700};
/// Interval of questions about the age of a declaration.
constexpr std::chrono::milliseconds AgeQuestionInterval{700};
/// Pause after an order that the server refused.
constexpr std::chrono::milliseconds RefusalPause{300};
/// Gateways that are asked at once.
constexpr std::size_t AskedGateways = 3;

} // namespace

void Stager::askDeclarationAges() {
  if (AgeQuestionsLeft == 0 || now() < NextAgeQuestionAt)
    return;
  std::set<std::string> Known = localRegionGateways();
  if (Known.empty())
    Known = Node.gatewayAddresses();
  std::vector<std::string> Chosen(Known.begin(), Known.end());
  std::shuffle(Chosen.begin(), Chosen.end(), Node.Generator);
  Chosen.resize(std::min(Chosen.size(), AskedGateways));
  if (Chosen.empty())
    return;
  --AgeQuestionsLeft;
  NextAgeQuestionAt = now() + AgeQuestionInterval;
  const VersionQuestion Question{Node.Generator()};
  recordQuestion(Questions, Question.Number, now());
  for (const std::string &Gateway : Chosen)
    Node.send(Gateway, Question);
}

void Stager::handleVersionAnswer(const VersionAnswer &Answer) {
  for (const DeclarationAge &Each : Answer.Recent)
    if (const auto At = answeredBound(Questions, Answer.Number, Each.Age))
      recordAcknowledgedAfter(Declarations, {Each.Model, Each.Version}, *At,
                              now());
  // A required version is past its bound.
  const auto Past =
      answeredBound(Questions, Answer.Number,
                    std::chrono::duration_cast<std::chrono::milliseconds>(
                        Settings.Process.VersionLimit));
  for (const LoadedWeights &Each : Answer.Required)
    if (Past)
      recordAcknowledgedAfter(Declarations, {Each.Model, Each.Version}, *Past,
                              now());
}

std::optional<TimePoint>
Stager::closesAt(const DeclaredVersion &Version) const {
  VersionBoundSettings Bound;
  Bound.Limit = Settings.Process.VersionLimit;
  return closingTime(Bound, Declarations, Version.Model, Version.Version);
}

bool Stager::isOutOfUse(const DeclaredVersion &Version) const {
  const auto ClosesAt = closesAt(Version);
  return ClosesAt && now() >= *ClosesAt;
}

bool Stager::closesSoon(const DeclaredVersion &Target) const {
  return Report &&
         std::any_of(Report->Weights.begin(), Report->Weights.end(),
                     [&](const LoadedWeights &Loaded) {
                       const auto At = closesAt({Loaded.Model, Loaded.Version});
                       return Loaded.Model == Target.Model && At &&
                              now() >= *At - StagingLeadTime;
                     });
}

void Stager::removeVersionsOutOfUse() {
  const std::size_t Removed = std::erase_if(Versions, [this](const auto &Each) {
    const auto &[Version, State] = Each;
    // The newest version is never out of use.
    if (State.Load.Stage != LoadStage::Fetching || !isOutOfUse(Version))
      return false;
    Node.Log.write({.Event = "version_out_of_use",
                    .At = Step::ChunkRequest,
                    .Fields = {{"model", Version.Model},
                               {"version", std::to_string(Version.Version)}}});
    return true;
  });
  if (Removed == 0 || !Transfer)
    return;
  setWantedVersions(*Transfer, wantedVersions(), now());
  PlanDue = true;
}

void Stager::closeOutdatedServer() {
  // A report from before the end of an order does not show its effect.
  if (!Report || Report->Loading || LayerCount.value_or(0) == 0 ||
      ReportSentAt <= PartialOrderEndedAt || now() < NextPartialOrderAt)
    return;
  for (const LoadedWeights &Loaded : Report->Weights) {
    const auto ClosesAt = closesAt({Loaded.Model, Loaded.Version});
    if (!ClosesAt || now() < *ClosesAt - StagingLeadTime)
      continue;
    // Orders whose results were lost had no effect on this server.
    std::erase_if(DoubtfulParts, [&](const DeclaredVersion &Each) {
      return Each.Model == Loaded.Model && Each.Version > Loaded.Version;
    });
    VersionState *Next = versionForPartialLoad(Loaded);
    if (Next == nullptr)
      continue;
    if (const auto RereadBefore = rereadBefore(*Next))
      makeStagingCall(*Next, *RereadBefore);
    if (now() >= *ClosesAt && isStaged(Next->Staged) &&
        now() < orderDeadline(Next->Staged))
      return sendPartialLoadOrder(*Next);
  }
}

Stager::VersionState *
Stager::versionForPartialLoad(const LoadedWeights &Loaded) {
  std::vector<VersionState *> Newer;
  for (auto &[Version, State] : Versions) {
    if (Version.Model != Loaded.Model || Version.Version <= Loaded.Version)
      continue;
    // The staging area holds one version, which loads as a whole soon.
    if (State.Load.Stage != LoadStage::Fetching)
      return nullptr;
    // A complete version loads as a whole once no staging call is pending.
    if (isComplete(State))
      return nullptr;
    if (State.Descriptor)
      Newer.push_back(&State);
  }
  for (VersionState *State : Newer)
    if (State->Part && !State->Part->Ordered)
      return State;
  // The newest one is the first that will be needed as a whole.
  for (auto State = Newer.rbegin(); State != Newer.rend(); ++State)
    if (beginPartialLoad(**State))
      return *State;
  return nullptr;
}

bool Stager::beginPartialLoad(VersionState &State) {
  const auto &All = State.Descriptor->Chunks;
  const auto Layer = firstHeldLayer(heldChunks(*State.Descriptor), *LayerCount);
  if (!Layer || StagingCallsPending > 0)
    return false;
  PartialLoad Part{*Layer,
                   chunksOfLayers(*Layer, *LayerCount, All.size()),
                   {},
                   Report->StartedAtMs,
                   false};
  for (std::size_t Index = Part.Needed.First; Index < Part.Needed.End; ++Index)
    Part.Chunks.push_back(All[Index].Id);
  State.Staged = makeStagedRange(Part.Needed);
  State.Part = std::move(Part);
  Node.Log.write(
      {.Event = "partial_load_staged",
       .At = Step::Order,
       .Peer = addressText(Settings.Engine),
       .Fields = {{"version", std::to_string(State.Load.Target.Version)},
                  {"layers", fmt::format("{}-{}", Layer->From, Layer->End)}}});
  return true;
}

void Stager::sendPartialLoadOrder(VersionState &State) {
  const DeclaredVersion Target = State.Load.Target;
  State.Part->Ordered = true;
  // Gateways may count a later bound than this process.
  if (std::exchange(Accepting, false))
    announceStatus(true);
  HttpCallRequest Order = platform::makeLoadCall(addressText(Settings.Engine),
                                                 Target, State.Part->Layers);
  Order.SendBefore = orderDeadline(State.Staged);
  // The staging area must not change before the order is accepted.
  ++StagingCallsPending;
  PartialOrderEndedAt = TimePoint::max();
  EngineClient.call(
      std::move(Order),
      [this, Target, OldestRead = oldestRead(State.Staged),
       ServerStart = State.Part->ServerStart](const HttpResult &Result) {
        --StagingCallsPending;
        PartialOrderEndedAt = now();
        handlePartialLoadResult(Target, OldestRead, ServerStart, Result);
      });
}

void Stager::handlePartialLoadResult(const DeclaredVersion &Target,
                                     TimePoint OldestRead,
                                     std::int64_t ServerStart,
                                     const HttpResult &Result) {
  const OrderResult Outcome =
      readOrderResult("partial_load_refused", "partial_load_ordered", Target,
                      OldestRead, Result);
  VersionState *State = findVersion(Target);
  if (Outcome.HadNoEffect) {
    if (State != nullptr)
      State->Part.reset(); // tried again
    NextPartialOrderAt = now() + RefusalPause;
    return;
  }
  // A server that has started since has loaded what lay there then.
  const bool SameServer = Report && Report->StartedAtMs == ServerStart;
  if (!Outcome.Answered || !SameServer ||
      now() - OldestRead >= StagedChunksSettings().MaxAgeWhenAccepted)
    DoubtfulParts.insert(Target);
}

void Stager::checkReportedLayers(const platform::EngineReport &NewReport) {
  for (const LoadedWeights &Each : NewReport.Weights) {
    const DeclaredVersion Version{Each.Model, Each.Version};
    const VersionState *State = findVersion(Version);
    const bool OwnOrder =
        State != nullptr && State->Part && State->Part->Ordered;
    if (OwnOrder || isOutOfUse(Version))
      continue;
    if (DoubtfulParts.insert(Version).second)
      Node.Log.write({.Level = LogLevel::Warning,
                      .Event = "partial_load_unknown",
                      .At = Step::ReadBack,
                      .Peer = addressText(Settings.Engine),
                      .Fields = {{"version", std::to_string(Each.Version)}}});
  }
}

bool Stager::isPartDoubtful(const VersionState &State) const {
  if (DoubtfulParts.contains(State.Load.Target))
    return true;
  if (!State.Part || !State.Part->Ordered || !State.Descriptor)
    return false;
  // The manifest may have been corrected since.
  const auto &All = State.Descriptor->Chunks;
  const ChunkRange &Needed = State.Part->Needed;
  return Needed.End > All.size() ||
         !std::equal(State.Part->Chunks.begin(), State.Part->Chunks.end(),
                     All.begin() + static_cast<std::ptrdiff_t>(Needed.First),
                     All.begin() + static_cast<std::ptrdiff_t>(Needed.End),
                     [](const Digest &Loaded, const Chunk &Expected) {
                       return Loaded == Expected.Id;
                     });
}

} // namespace marigoldyard
