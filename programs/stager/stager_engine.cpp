// The model server on the own machine: staging, read-back, orders, reports.
#include "programs/stager/stager.hpp"

#include "marigoldyard/protocol/digest.hpp"
#include "marigoldyard/transport/clock.hpp"

#include <algorithm>

namespace marigoldyard {

namespace {

constexpr unsigned StatusOk = 200;
/// Interval of reports of the own server: a lost model and a changed load are
/// noticed within this time, about that of a few streams' starts. Reports of
/// the own machine are free.
constexpr std::chrono::milliseconds ReportInterval{150};
/// The same while the server loads, so that it serves again soon.
constexpr std::chrono::milliseconds LoadingReportInterval{40};

/// At least one in this many servers of the region must still serve the older
/// version, so that there is room for the streams that are cut.
constexpr std::size_t ContinueShare = 4;

/// Name of a version for the rollout decision, which compares digests.
Digest versionMark(const std::string &Model, std::uint64_t Version) {
  return sha256Hex(Model + "\n" + std::to_string(Version));
}

std::vector<Digest> versionMarks(const std::vector<LoadedWeights> &Weights) {
  std::vector<Digest> Result;
  Result.reserve(Weights.size());
  for (const LoadedWeights &Each : Weights)
    Result.push_back(versionMark(Each.Model, Each.Version));
  return Result;
}

} // namespace

void Stager::readReport() {
  const bool Loading =
      std::any_of(Versions.begin(), Versions.end(), [](const auto &Each) {
        return Each.second.Load.Stage >= LoadStage::Announced;
      });
  const Duration Interval = Loading ? LoadingReportInterval : ReportInterval;
  if (ReportOut || now() - ReportAt < Interval)
    return;
  ReportOut = true;
  ReportAt = now();
  EngineClient.call(platform::reportCall(addressText(Settings.Engine)),
                    [this](const HttpResult &Result) {
                      ReportOut = false;
                      const auto *Response = std::get_if<HttpResponse>(&Result);
                      if (Response == nullptr || Response->Status != StatusOk)
                        return;
                      auto Parsed = platform::parseEngineReport(Response->Body);
                      if (!Parsed)
                        return Base.Log.write("report_invalid", Parsed.error());
                      reportRead(*Parsed);
                    });
}

void Stager::reportRead(const platform::EngineReport &Fresh) {
  const bool Restarted = Report && Fresh.StartedAtMs > Report->StartedAtMs;
  const bool Changed = !Report || Restarted || Report->Weights != Fresh.Weights;
  Report = Fresh;
  if (Restarted)
    for (auto &[Version, State] : Versions) {
      // A server that lost power lost the staged pieces too.
      restage(State.Load, now());
      State.SeededFromStage = true;
    }
  if (Changed) {
    std::string Held;
    for (const LoadedWeights &Each : Fresh.Weights)
      Held += Each.Model + ":" + std::to_string(Each.Version) + " ";
    Base.Log.write({.Event = "server_state",
                    .At = Step::ReadBack,
                    .Peer = addressText(Settings.Engine),
                    .Fields = {{"weights", Held},
                               {"restarted", Restarted ? "yes" : "no"}}});
  }
  stepVersions();
  if (Changed)
    announceStatus(true);
  else
    announceLoad();
}

void Stager::readStaged(VersionState &State) {
  const DeclaredVersion Target = State.Load.Target;
  if (State.SeededFromStage)
    return wantVersion(State);
  State.SeededFromStage = true;
  EngineClient.call(
      platform::stagedListCall(addressText(Settings.Engine), Target.Model),
      [this, Target](const HttpResult &Result) {
        const auto *Response = std::get_if<HttpResponse>(&Result);
        VersionState *Known = findVersion(Target);
        if (Known == nullptr || !Known->Descriptor)
          return;
        // Any other status says that nothing is staged.
        if (Response != nullptr && Response->Status == StatusOk) {
          if (auto Held = platform::parseStagedList(Response->Body))
            Known->ToSeed.assign(Held->begin(), Held->end());
          else
            Base.Log.write("staged_list_invalid", Held.error());
        }
        readNextStaged(Target);
      });
}

void Stager::readNextStaged(const DeclaredVersion &Target) {
  VersionState *State = findVersion(Target);
  if (State == nullptr || !State->Descriptor)
    return;
  if (State->ToSeed.empty())
    return wantVersion(*State);
  const std::size_t Index = State->ToSeed.back();
  State->ToSeed.pop_back();
  EngineClient.call(platform::stagedPieceCall(addressText(Settings.Engine),
                                              Target.Model, Index),
                    [this, Target, Index](HttpResult Result) {
                      const VersionState *Known = findVersion(Target);
                      auto *Response = std::get_if<HttpResponse>(&Result);
                      if (Known != nullptr && Known->Descriptor &&
                          Response != nullptr && Response->Status == StatusOk &&
                          Index < Known->Descriptor->Chunks.size()) {
                        // Pieces of another version and spoilt ones are as good
                        // as missing.
                        const Digest &Chunk =
                            Known->Descriptor->Chunks[Index].Id;
                        if (sha256Hex(Response->Body) == Chunk)
                          Chunks[Chunk] = std::make_shared<const std::string>(
                              std::move(Response->Body));
                      }
                      readNextStaged(Target);
                    });
}

void Stager::stagePieces(VersionState &State) {
  if (State.StageCallOut)
    return;
  const DeclaredVersion Target = State.Load.Target;
  const std::string Server = addressText(Settings.Engine);
  if (!State.ToStage.empty()) {
    const std::size_t Index = *State.ToStage.begin();
    const auto Bytes = Chunks.find(State.Descriptor->Chunks[Index].Id);
    if (Bytes == Chunks.end())
      return restage(State.Load, now());
    State.StageCallOut = true;
    EngineClient.call(
        platform::stagePieceCall(Server, Target.Model, Index, *Bytes->second),
        [this, Target, Index](const HttpResult &Result) {
          pieceStaged(Target, Index, Result);
        });
  } else if (!State.ToCheck.empty()) {
    const std::size_t Index = *State.ToCheck.begin();
    State.StageCallOut = true;
    EngineClient.call(platform::stagedPieceCall(Server, Target.Model, Index),
                      [this, Target, Index](const HttpResult &Result) {
                        pieceChecked(Target, Index, Result);
                      });
  }
}

void Stager::pieceStaged(const DeclaredVersion &Target, std::size_t Index,
                         const HttpResult &Result) {
  VersionState *State = findVersion(Target);
  if (State == nullptr)
    return;
  State->StageCallOut = false;
  const auto *Response = std::get_if<HttpResponse>(&Result);
  if (Response != nullptr && Response->Status / 100 == 2)
    State->ToStage.erase(Index);
  stepVersion(*State);
}

void Stager::pieceChecked(const DeclaredVersion &Target, std::size_t Index,
                          const HttpResult &Result) {
  VersionState *State = findVersion(Target);
  if (State == nullptr || !State->Descriptor)
    return;
  State->StageCallOut = false;
  const auto *Response = std::get_if<HttpResponse>(&Result);
  if (Response == nullptr)
    return stepVersion(*State);
  const bool Good =
      Response->Status == StatusOk &&
      sha256Hex(Response->Body) == State->Descriptor->Chunks[Index].Id;
  if (Good) {
    State->ToCheck.erase(Index);
  } else {
    Base.Log.write({.Level = LogLevel::Warning,
                    .Event = "staged_piece_bad",
                    .At = Step::ReadBack,
                    .Peer = addressText(Settings.Engine),
                    .Fields = {{"piece", std::to_string(Index)}}});
    State->ToStage.insert(Index);
  }
  stepVersion(*State);
}

LoadFacts Stager::loadFacts(VersionState &State) {
  LoadFacts Facts;
  const DeclaredVersion &Target = State.Load.Target;
  Facts.Complete = State.Descriptor && Transfer &&
                   versionComplete(*Transfer, State.Descriptor->Id);
  Facts.Complete = Facts.Complete && (State.Load.Stage != LoadStage::Fetching ||
                                      mayStage(Target));
  Facts.Staged = State.ToStage.empty() && State.ToCheck.empty();
  if (Report) {
    const auto Held = std::find_if(
        Report->Weights.begin(), Report->Weights.end(),
        [&](const LoadedWeights &Each) { return Each.Model == Target.Model; });
    Facts.Loaded =
        Held != Report->Weights.end() && Held->Version >= Target.Version;
    Facts.Empty = Held == Report->Weights.end();
    Facts.Busy = Report->Loading;
    Facts.Idle = Report->Running + Report->Waiting == 0;
  }
  if (State.Load.Stage == LoadStage::Announced)
    Facts.MayCut = StreamsResume && othersContinue(Target);
  if (State.Load.Stage == LoadStage::Waiting)
    Facts.MayBeUnready = mayBeUnready(State);
  return Facts;
}

// The staging area holds one version of a model, and a load takes the server
// out of service, so one version at a time is staged.
bool Stager::mayStage(const DeclaredVersion &Target) const {
  return std::none_of(Versions.begin(), Versions.end(), [&](const auto &Each) {
    const LoadStage Stage = Each.second.Load.Stage;
    return Each.first.Model == Target.Model && Each.first != Target &&
           Stage != LoadStage::Serving && Stage != LoadStage::Fetching;
  });
}

// A version is not loaded any more when a newer one is loaded, or complete
// while the server is not yet taken out of service for the older one.
void Stager::dropSuperseded() {
  for (auto Older = Versions.begin(); Older != Versions.end();) {
    const bool Superseded =
        std::any_of(std::next(Older), Versions.end(), [&](const auto &Newer) {
          if (Newer.first.Model != Older->first.Model)
            return false;
          const VersionState &State = Newer.second;
          const bool Complete =
              State.Descriptor && Transfer &&
              versionComplete(*Transfer, State.Descriptor->Id);
          return State.Load.Stage == LoadStage::Serving ||
                 (Complete && Older->second.Load.Stage < LoadStage::Announced);
        });
    Older = Superseded ? Versions.erase(Older) : std::next(Older);
  }
}

bool Stager::mayBeUnready(VersionState &State) {
  const DeclaredVersion &Target = State.Load.Target;
  std::vector<RolloutMember> Members;
  std::set<Digest> Usable;
  auto Add = [&](const std::string &Name, TimePoint Heard,
                 const std::vector<LoadedWeights> &Weights, bool Serving) {
    RolloutMember Member{Name, false, Heard, {}};
    if (Serving)
      Member.ReadyWeights = versionMarks(Weights);
    Usable.insert(Member.ReadyWeights.begin(), Member.ReadyWeights.end());
    Members.push_back(std::move(Member));
  };
  Add(Settings.Process.Address, now(), Report->Weights, true);
  for (const auto &[Address, Peer] : Peers)
    if (Peer.Region == Settings.Process.Region)
      Add(Address, Peer.Heard, Peer.Weights, Peer.Accepting);
  return decideRollout(State.Rollout, versionMark(Target.Model, Target.Version),
                       {Usable.begin(), Usable.end()}, Members,
                       unavailableLimit(State.Load, Members.size(), now()),
                       now())
      .MayBeUnready;
}

// Streams continue only on the weights that they began with.
bool Stager::othersContinue(const DeclaredVersion &Target) const {
  std::size_t Region = 1;
  std::size_t Serving = 0;
  for (const auto &[Address, Peer] : Peers) {
    if (Peer.Region != Settings.Process.Region)
      continue;
    ++Region;
    const bool Older = std::any_of(Peer.Weights.begin(), Peer.Weights.end(),
                                   [&](const LoadedWeights &Each) {
                                     return Each.Model == Target.Model &&
                                            Each.Version < Target.Version;
                                   });
    Serving += Older && Peer.Accepting ? 1 : 0;
  }
  return Serving >= 1 && Serving * ContinueShare >= Region;
}

void Stager::stepVersions() {
  for (auto &[Version, State] : Versions)
    stepVersion(State);
}

void Stager::stepVersion(VersionState &State) {
  if (!Report)
    return;
  while (stepLoad(State.Load, loadFacts(State), now())) {
    Base.Log.write(
        {.Event = "load_stage",
         .At = Step::Order,
         .Fields = {{"stage", std::string(loadStageName(State.Load.Stage))},
                    {"model", State.Load.Target.Model},
                    {"version", std::to_string(State.Load.Target.Version)},
                    {"since_declared_s",
                     std::to_string(std::chrono::duration<double>(
                                        now() - State.Load.DeclaredAt)
                                        .count())}}});
    switch (State.Load.Stage) {
    case LoadStage::Staging:
      for (std::size_t I = 0; I < State.Descriptor->Chunks.size(); ++I) {
        State.ToStage.insert(I);
        State.ToCheck.insert(I);
      }
      break;
    case LoadStage::Announced:
      Accepting = false;
      announceStatus(true);
      break;
    case LoadStage::Loading:
      giveOrder(State);
      break;
    case LoadStage::Serving:
      Accepting = true;
      announceStatus(true);
      break;
    case LoadStage::Fetching:
    case LoadStage::Waiting:
      break;
    }
  }
  if (State.Load.Stage == LoadStage::Staging)
    stagePieces(State);
}

void Stager::giveOrder(VersionState &State) {
  const DeclaredVersion Target = State.Load.Target;
  EngineClient.call(
      platform::loadCall(addressText(Settings.Engine), Target,
                         State.Load.CutRunning),
      [this, Target](const HttpResult &Result) {
        VersionState *Ordered = findVersion(Target);
        if (Ordered == nullptr)
          return;
        const auto *Response = std::get_if<HttpResponse>(&Result);
        const bool Refused =
            Response == nullptr || platform::orderAnswer(Response->Status) ==
                                       platform::OrderAnswer::Refused;
        Base.Log.write(
            {.Level = Refused ? LogLevel::Warning : LogLevel::Info,
             .Event = Refused ? "order_refused" : "order_given",
             .At = Step::Order,
             .Peer = addressText(Settings.Engine),
             .Fields = {{"version", std::to_string(Target.Version)},
                        {"status", Response != nullptr
                                       ? std::to_string(Response->Status)
                                       : "none"}}});
        // Without an answer the order may have been accepted; the reports show
        // it.
        if (Response != nullptr && Refused)
          restage(Ordered->Load, now());
      });
}

} // namespace marigoldyard
