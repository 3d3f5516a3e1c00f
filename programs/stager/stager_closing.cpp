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
  --AgeQuestionsLeft;
  NextAgeQuestionAt = now() + AgeQuestionInterval;
  std::set<std::string> Known = localRegionGateways();
  if (Known.empty())
    Known = Node.gatewayAddresses();
  std::vector<std::string> Chosen(Known.begin(), Known.end());
  std::shuffle(Chosen.begin(), Chosen.end(), Node.Generator);
  Chosen.resize(std::min(Chosen.size(), AskedGateways));
  const VersionQuestion Question{Node.Generator()};
  recordQuestion(Questions, Question.Number, now());
  for (const std::string &Gateway : Chosen)
    Node.send(Gateway, Question);
}

void Stager::handleVersionAnswer(const VersionAnswer &Answer) {
  for (const DeclarationAge &Each : Answer.Recent)
    if (const auto At = answeredBound(Questions, Answer.Number, Each.Age))
      recordAcknowledgedAfter(Declarations, {Each.Model, Each.Version}, *At);
  // A required version is past its bound.
  const auto Past =
      answeredBound(Questions, Answer.Number,
                    std::chrono::duration_cast<std::chrono::milliseconds>(
                        Settings.Process.VersionLimit));
  for (const LoadedWeights &Each : Answer.Required)
    if (Past)
      recordAcknowledgedAfter(Declarations, {Each.Model, Each.Version}, *Past);
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
  std::erase_if(Versions, [this](const auto &Each) {
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
  const auto Run = longestHeldRun(heldChunks(*State.Descriptor), *LayerCount);
  if (!Run || StagingCallsPending > 0)
    return false;
  const ChunkRange Needed = chunksOfLayers(*Run, *LayerCount, All.size());
  State.Part = PartialLoad{*Run, {}, false};
  for (std::size_t Index = Needed.First; Index < Needed.End; ++Index)
    State.Part->Chunks.push_back(All[Index].Id);
  State.Staged = makeStagedRange(Needed);
  Node.Log.write(
      {.Event = "partial_load_staged",
       .At = Step::Order,
       .Peer = addressText(Settings.Engine),
       .Fields = {{"version", std::to_string(State.Load.Target.Version)},
                  {"layers", fmt::format("{}-{}", Run->From, Run->End)}}});
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
  EngineClient.call(std::move(Order),
                    [this, Target, OldestRead = oldestRead(State.Staged)](
                        const HttpResult &Result) {
                      --StagingCallsPending;
                      PartialOrderEndedAt = now();
                      handlePartialLoadResult(Target, OldestRead, Result);
                    });
}

void Stager::handlePartialLoadResult(const DeclaredVersion &Target,
                                     TimePoint OldestRead,
                                     const HttpResult &Result) {
  const auto *Response = std::get_if<HttpResponse>(&Result);
  const auto *Failure = std::get_if<HttpFailure>(&Result);
  const bool Refused =
      Response == nullptr || platform::parseOrderStatus(Response->Status) ==
                                 platform::OrderStatus::Refused;
  Node.Log.write(
      {.Level = Refused ? LogLevel::Warning : LogLevel::Info,
       .Event = Refused ? "partial_load_refused" : "partial_load_ordered",
       .At = Step::Order,
       .Peer = addressText(Settings.Engine),
       .Fields = {{"version", std::to_string(Target.Version)},
                  {"status", Response != nullptr
                                 ? std::to_string(Response->Status)
                                 : "none"},
                  {"detail", Failure != nullptr ? Failure->Cause.Detail : ""},
                  {"oldest_read_s", formatSeconds(now() - OldestRead)}}});
  VersionState *State = findVersion(Target);
  if (State == nullptr || !State->Part)
    return;
  const bool HadNoEffect =
      Failure != nullptr ? !Failure->RequestBytesSent : Refused;
  if (HadNoEffect) {
    State->Part.reset(); // tried again
    NextPartialOrderAt = now() + RefusalPause;
  } else {
    State->PartDoubtful |=
        Failure != nullptr ||
        now() - OldestRead >= State->Staged.Settings.MaxAgeWhenAccepted;
  }
}

bool Stager::isPartDoubtful(const VersionState &State) const {
  if (!State.Part || !State.Descriptor)
    return State.PartDoubtful;
  // The manifest may have been corrected since.
  const auto &All = State.Descriptor->Chunks;
  const ChunkRange Needed =
      chunksOfLayers(State.Part->Layers, LayerCount.value_or(1), All.size());
  return State.PartDoubtful ||
         !std::equal(State.Part->Chunks.begin(), State.Part->Chunks.end(),
                     All.begin() + static_cast<std::ptrdiff_t>(Needed.First),
                     All.begin() + static_cast<std::ptrdiff_t>(Needed.End),
                     [](const Digest &Loaded, const Chunk &Expected) {
                       return Loaded == Expected.Id;
                     });
}

} // namespace marigoldyard
