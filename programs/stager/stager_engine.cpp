// The model server on the own machine: staging, read-back, orders, reports.
#include "programs/stager/stager.hpp"

#include "marigoldyard/protocol/digest.hpp"
#include "marigoldyard/transport/clock.hpp"

#include <algorithm>

namespace marigoldyard {

namespace {

constexpr unsigned StatusOk = 200;
/// Interval of reports of the own server: a lost model is noticed within this
/// time. Reports of the own machine are free.
constexpr std::chrono::milliseconds ReportInterval{250};
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
  for (const LoadedWeights &Each : Weights)
    Result.push_back(versionMark(Each.Model, Each.Version));
  return Result;
}

} // namespace

void Stager::readReport() {
  const bool Loading =
      std::any_of(Models.begin(), Models.end(), [](const auto &Each) {
        return Each.second.Load.Stage >= LoadStage::Announced;
      });
  const Duration Interval = Loading ? LoadingReportInterval : ReportInterval;
  if (ReportOut || now() - ReportAt < Interval)
    return;
  ReportOut = true;
  ReportAt = now();
  EngineClient.call(
      platform::reportCall(addressText(Settings.Engine)),
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
  const bool Restarted =
      Report && Fresh.StartedAtMs > Report->StartedAtMs;
  const bool Changed =
      !Report || Restarted || Report->Weights != Fresh.Weights;
  Report = Fresh;
  if (Restarted)
    for (auto &[Name, Model] : Models) {
      // A server that lost power lost the staged pieces too.
      restage(Model.Load, now());
      Model.SeededFromStage = true;
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
  stepModels();
  if (Changed)
    announceStatus();
}

void Stager::readStaged(ModelState &Model) {
  const std::string Name = Model.Load.Target.Model;
  if (Model.SeededFromStage)
    return wantVersion(Model);
  Model.SeededFromStage = true;
  EngineClient.call(
      platform::stagedListCall(addressText(Settings.Engine), Name),
      [this, Name](const HttpResult &Result) {
        const auto *Response = std::get_if<HttpResponse>(&Result);
        ModelState *Known = findModel(Name);
        if (Known == nullptr || !Known->Descriptor)
          return;
        // Any other status says that nothing is staged.
        if (Response != nullptr && Response->Status == StatusOk) {
          if (auto Held = platform::parseStagedList(Response->Body))
            Known->ToSeed.assign(Held->begin(), Held->end());
          else
            Base.Log.write("staged_list_invalid", Held.error());
        }
        readNextStaged(Name);
      });
}

void Stager::readNextStaged(const std::string &Name) {
  ModelState *Model = findModel(Name);
  if (Model == nullptr || !Model->Descriptor)
    return;
  if (Model->ToSeed.empty())
    return wantVersion(*Model);
  const std::size_t Index = Model->ToSeed.back();
  Model->ToSeed.pop_back();
  EngineClient.call(
      platform::stagedPieceCall(addressText(Settings.Engine), Name, Index),
      [this, Name, Index](HttpResult Result) {
        const ModelState *Known = findModel(Name);
        auto *Response = std::get_if<HttpResponse>(&Result);
        if (Known != nullptr && Known->Descriptor && Response != nullptr &&
            Response->Status == StatusOk &&
            Index < Known->Descriptor->Chunks.size()) {
          // Pieces of another version and spoilt ones are as good as missing.
          const Digest &Chunk = Known->Descriptor->Chunks[Index].Id;
          if (sha256Hex(Response->Body) == Chunk)
            Chunks[Chunk] =
                std::make_shared<const std::string>(std::move(Response->Body));
        }
        readNextStaged(Name);
      });
}

void Stager::stagePieces(ModelState &Model) {
  if (Model.StageCallOut)
    return;
  const std::string Name = Model.Load.Target.Model;
  const std::string Server = addressText(Settings.Engine);
  if (!Model.ToStage.empty()) {
    const std::size_t Index = *Model.ToStage.begin();
    const auto Bytes = Chunks.find(Model.Descriptor->Chunks[Index].Id);
    if (Bytes == Chunks.end())
      return restage(Model.Load, now());
    Model.StageCallOut = true;
    EngineClient.call(
        platform::stagePieceCall(Server, Name, Index, *Bytes->second),
        [this, Name, Index](const HttpResult &Result) {
          pieceStaged(Name, Index, Result);
        });
  } else if (!Model.ToCheck.empty()) {
    const std::size_t Index = *Model.ToCheck.begin();
    Model.StageCallOut = true;
    EngineClient.call(platform::stagedPieceCall(Server, Name, Index),
                      [this, Name, Index](const HttpResult &Result) {
                        pieceChecked(Name, Index, Result);
                      });
  }
}

void Stager::pieceStaged(const std::string &Name, std::size_t Index,
                         const HttpResult &Result) {
  ModelState *Model = findModel(Name);
  if (Model == nullptr)
    return;
  Model->StageCallOut = false;
  const auto *Response = std::get_if<HttpResponse>(&Result);
  if (Response != nullptr && Response->Status / 100 == 2)
    Model->ToStage.erase(Index);
  stepModel(*Model);
}

void Stager::pieceChecked(const std::string &Name, std::size_t Index,
                          const HttpResult &Result) {
  ModelState *Model = findModel(Name);
  if (Model == nullptr || !Model->Descriptor)
    return;
  Model->StageCallOut = false;
  const auto *Response = std::get_if<HttpResponse>(&Result);
  if (Response == nullptr)
    return stepModel(*Model);
  const bool Good =
      Response->Status == StatusOk &&
      sha256Hex(Response->Body) == Model->Descriptor->Chunks[Index].Id;
  if (Good) {
    Model->ToCheck.erase(Index);
  } else {
    Base.Log.write({.Level = LogLevel::Warning,
                    .Event = "staged_piece_bad",
                    .At = Step::ReadBack,
                    .Peer = addressText(Settings.Engine),
                    .Fields = {{"piece", std::to_string(Index)}}});
    Model->ToStage.insert(Index);
  }
  stepModel(*Model);
}

LoadFacts Stager::loadFacts(ModelState &Model) {
  LoadFacts Facts;
  const DeclaredVersion &Target = Model.Load.Target;
  Facts.Complete = Model.Descriptor && Transfer &&
                   versionComplete(*Transfer, Model.Descriptor->Id);
  Facts.Staged = Model.ToStage.empty() && Model.ToCheck.empty();
  if (Report) {
    const auto Held = std::find_if(
        Report->Weights.begin(), Report->Weights.end(),
        [&](const LoadedWeights &Each) { return Each.Model == Target.Model; });
    Facts.Loaded = Held != Report->Weights.end() &&
                   Held->Version >= Target.Version;
    Facts.Empty = Held == Report->Weights.end();
    Facts.Busy = Report->Loading;
    Facts.Idle = Report->Running + Report->Waiting == 0;
  }
  if (Model.Load.Stage == LoadStage::Announced)
    Facts.MayCut = StreamsResume && othersContinue(Target);
  if (Model.Load.Stage == LoadStage::Waiting)
    Facts.MayBeUnready = mayBeUnready(Model);
  return Facts;
}

bool Stager::mayBeUnready(ModelState &Model) {
  const DeclaredVersion &Target = Model.Load.Target;
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
  return decideRollout(Model.Rollout, versionMark(Target.Model, Target.Version),
                       {Usable.begin(), Usable.end()}, Members,
                       unavailableLimit(Model.Load, Members.size(), now()), now())
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
    const bool Older = std::any_of(
        Peer.Weights.begin(), Peer.Weights.end(),
        [&](const LoadedWeights &Each) {
          return Each.Model == Target.Model && Each.Version < Target.Version;
        });
    Serving += Older && Peer.Accepting ? 1 : 0;
  }
  return Serving >= 1 && Serving * ContinueShare >= Region;
}

void Stager::stepModels() {
  for (auto &[Name, Model] : Models)
    stepModel(Model);
}

void Stager::stepModel(ModelState &Model) {
  if (!Report)
    return;
  while (stepLoad(Model.Load, loadFacts(Model), now())) {
    Base.Log.write(
        {.Event = "load_stage",
         .At = Step::Order,
         .Fields = {
             {"stage", std::string(loadStageName(Model.Load.Stage))},
             {"model", Model.Load.Target.Model},
             {"version", std::to_string(Model.Load.Target.Version)},
             {"since_declared_s",
              std::to_string(std::chrono::duration<double>(
                                 now() - Model.Load.DeclaredAt)
                                 .count())}}});
    switch (Model.Load.Stage) {
    case LoadStage::Staging:
      for (std::size_t I = 0; I < Model.Descriptor->Chunks.size(); ++I) {
        Model.ToStage.insert(I);
        Model.ToCheck.insert(I);
      }
      break;
    case LoadStage::Announced:
      Accepting = false;
      announceStatus();
      break;
    case LoadStage::Loading:
      giveOrder(Model);
      break;
    case LoadStage::Serving:
      Accepting = true;
      announceStatus();
      break;
    case LoadStage::Fetching:
    case LoadStage::Waiting:
      break;
    }
  }
  if (Model.Load.Stage == LoadStage::Staging)
    stagePieces(Model);
}

void Stager::giveOrder(ModelState &Model) {
  const DeclaredVersion Target = Model.Load.Target;
  EngineClient.call(
      platform::loadCall(addressText(Settings.Engine), Target,
                         Model.Load.CutRunning),
      [this, Target](const HttpResult &Result) {
        ModelState *Ordered = findModel(Target.Model);
        if (Ordered == nullptr || Ordered->Load.Target.Version != Target.Version)
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
                        {"status",
                         Response != nullptr ? std::to_string(Response->Status)
                                             : "none"}}});
        // Without an answer the order may have been accepted; the reports show
        // it.
        if (Response != nullptr && Refused)
          restage(Ordered->Load, now());
      });
}

} // namespace marigoldyard
