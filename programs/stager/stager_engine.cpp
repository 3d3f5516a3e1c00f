// Staging, read-back, load orders and reports of the local model server.
#include "programs/stager/stager.hpp"

#include "marigoldyard/protocol/digest.hpp"
#include "marigoldyard/transport/clock.hpp"

#include <algorithm>
#include <utility>

namespace marigoldyard {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
/// Interval between report calls to the local server. A lost model or a changed
/// load is noticed within this time, in which only a few streams start. Calls
/// on the local machine cost nothing.
constexpr std::chrono::milliseconds ReportInterval{150};
/// The same interval while the server loads, so that it serves again sooner.
constexpr std::chrono::milliseconds LoadingReportInterval{40};

/// At least one in this many servers of the region must still serve the older
/// version, so that there is capacity for the streams that move.
constexpr std::size_t ContinueDivisor = 4;

/// Digest that identifies a version in the rollout decision.
Digest versionDigest(const std::string &Model, std::uint64_t Version) {
  return sha256Hex(Model + "\n" + std::to_string(Version));
}

std::vector<Digest> versionDigests(const std::vector<LoadedWeights> &Weights) {
  std::vector<Digest> Result;
  Result.reserve(Weights.size());
  for (const LoadedWeights &Each : Weights)
    Result.push_back(versionDigest(Each.Model, Each.Version));
  return Result;
}

} // namespace

void Stager::fetchReport() {
  const bool Loading =
      std::any_of(Versions.begin(), Versions.end(), [](const auto &Each) {
        return Each.second.Load.Stage >= LoadStage::Announced;
      });
  const Duration Interval = Loading ? LoadingReportInterval : ReportInterval;
  if (ReportPending || now() - ReportRequestedAt < Interval)
    return;
  ReportPending = true;
  ReportRequestedAt = now();
  EngineClient.call(platform::makeReportCall(addressText(Settings.Engine)),
                    [this](const HttpResult &Result) {
                      ReportPending = false;
                      const auto *Response = std::get_if<HttpResponse>(&Result);
                      if (Response == nullptr || Response->Status != StatusOk)
                        return;
                      auto Parsed = platform::parseEngineReport(Response->Body);
                      if (!Parsed)
                        return Node.Log.write("report_invalid", Parsed.error());
                      handleReport(std::move(*Parsed));
                    });
}

void Stager::handleReport(platform::EngineReport NewReport) {
  // A server that has some layers of a version serves none.
  if (LayerCount ? !isWholeModel(NewReport.Layers, *LayerCount)
                 : NewReport.Layers.has_value()) {
    if (LayerCount)
      checkReportedLayers(NewReport);
    NewReport.Weights.clear();
  }
  const bool Restarted = Report && NewReport.StartedAtMs > Report->StartedAtMs;
  const bool Changed =
      !Report || Restarted || Report->Weights != NewReport.Weights;
  Report = std::move(NewReport);
  ReportReceivedAt = now();
  ReportSentAt = ReportRequestedAt;
  if (Restarted)
    DoubtfulParts.clear();
  if (Restarted)
    for (auto &[Version, State] : Versions) {
      // A server that lost power has lost the staged chunks too, and any
      // restart forgets orders.
      restartStaging(State.Load, now());
      State.OrderUnresolved = State.AcceptedLate = false;
      State.StagingAreaRead = true;
      State.Part.reset();
    }
  if (Changed) {
    std::string Held;
    for (const LoadedWeights &Each : Report->Weights)
      Held += Each.Model + ":" + std::to_string(Each.Version) + " ";
    Node.Log.write({.Event = "server_state",
                    .At = Step::ReadBack,
                    .Peer = addressText(Settings.Engine),
                    .Fields = {{"weights", Held},
                               {"restarted", Restarted ? "yes" : "no"}}});
  }
  advanceVersions();
  if (Changed)
    announceStatus(true);
  else
    announceLoad();
}

void Stager::readStagedChunks(VersionState &State) {
  const DeclaredVersion Target = State.Load.Target;
  if (State.StagingAreaRead)
    return startTransfer(State);
  State.StagingAreaRead = true;
  EngineClient.call(
      platform::makeListStagedChunksCall(addressText(Settings.Engine),
                                         Target.Model),
      [this, Target](const HttpResult &Result) {
        const auto *Response = std::get_if<HttpResponse>(&Result);
        VersionState *Known = findVersion(Target);
        if (Known == nullptr || !Known->Descriptor)
          return;
        // Any other status means that nothing is staged.
        if (Response != nullptr && Response->Status == StatusOk) {
          if (auto Held = platform::parseStagedChunks(Response->Body))
            Known->StagedToRead.assign(Held->begin(), Held->end());
          else
            Node.Log.write("staged_list_invalid", Held.error());
        }
        readNextStagedChunk(Target);
      });
}

void Stager::readNextStagedChunk(const DeclaredVersion &Target) {
  VersionState *State = findVersion(Target);
  if (State == nullptr || !State->Descriptor)
    return;
  // Chunks beyond the manifest belong to another version.
  const auto &All = State->Descriptor->Chunks;
  while (!State->StagedToRead.empty() &&
         State->StagedToRead.back() >= All.size())
    State->StagedToRead.pop_back();
  if (State->StagedToRead.empty())
    return startTransfer(*State);
  const std::size_t Index = State->StagedToRead.back();
  State->StagedToRead.pop_back();
  EngineClient.call(
      platform::makeReadStagedChunkCall(addressText(Settings.Engine),
                                        Target.Model, Index, All[Index].Size),
      [this, Target, Index](HttpResult Result) {
        const VersionState *Known = findVersion(Target);
        auto *Response = std::get_if<HttpResponse>(&Result);
        if (Known != nullptr && Known->Descriptor && Response != nullptr &&
            Response->Status == StatusOk &&
            Index < Known->Descriptor->Chunks.size()) {
          // Corrupt chunks and those of another version count as
          // missing.
          const Digest &Chunk = Known->Descriptor->Chunks[Index].Id;
          if (sha256Hex(Response->Body) == Chunk)
            Chunks[Chunk] =
                std::make_shared<const std::string>(std::move(Response->Body));
        }
        readNextStagedChunk(Target);
      });
}

bool Stager::isLoadDoubtful(const VersionState &State) {
  return State.AcceptedLate && !State.CorruptSinceOrder &&
         !(isStaged(State.Staged) &&
           oldestRead(State.Staged) >= *State.AcceptedBy);
}

std::optional<TimePoint> Stager::rereadBefore(const VersionState &State) const {
  if (isLoadDoubtful(State))
    return State.AcceptedBy;
  switch (State.Load.Stage) {
  case LoadStage::Staging:
    return State.OrderUnresolved ? State.Load.StageEnteredAt : TimePoint::min();
  case LoadStage::Announced:
    return now() - State.Staged.Settings.RefreshAge;
  case LoadStage::Waiting: // the order may come soon, without a turn
    if (servesNoVersion(State.Load.Target) || closesSoon(State.Load.Target))
      return now() - State.Staged.Settings.RefreshAge;
    return std::nullopt;
  case LoadStage::Fetching:
    // Without a limit on repeated reads, slow ones would never end.
    if (State.Part && !State.Part->Ordered && !isComplete(State))
      return isStaged(State.Staged) ? now() - State.Staged.Settings.RefreshAge
                                    : TimePoint::min();
    return std::nullopt;
  case LoadStage::Loading:
  case LoadStage::Serving:
    return std::nullopt;
  }
  return std::nullopt;
}

void Stager::makeStagingCall(VersionState &State, TimePoint RereadBefore) {
  const auto Next = nextStagingCall(State.Staged, RereadBefore, now());
  if (!Next)
    return;
  if (Next->Kind == StagingCallKind::Write)
    writeStagedChunk(State, Next->Index);
  else
    readStagedChunkBack(State, Next->Index);
}

void Stager::writeStagedChunk(VersionState &State, std::size_t Index) {
  const DeclaredVersion Target = State.Load.Target;
  const auto Bytes = Chunks.find(State.Descriptor->Chunks[Index].Id);
  if (Bytes == Chunks.end())
    return restartStaging(State.Load, now());
  ++StagingCallsPending;
  EngineClient.call(platform::makeStageChunkCall(addressText(Settings.Engine),
                                                 Target.Model, Index,
                                                 *Bytes->second),
                    [this, Target, Index](const HttpResult &Result) {
                      --StagingCallsPending;
                      handleStagedChunk(Target, Index, Result);
                    });
}

void Stager::readStagedChunkBack(const VersionState &State, std::size_t Index) {
  const DeclaredVersion Target = State.Load.Target;
  ++StagingCallsPending;
  EngineClient.call(
      platform::makeReadStagedChunkCall(addressText(Settings.Engine),
                                        Target.Model, Index,
                                        State.Descriptor->Chunks[Index].Size),
      [this, Target, Index, SentAt = now()](const HttpResult &Result) {
        --StagingCallsPending;
        handleReadBack(Target, Index, SentAt, Result);
      });
}

void Stager::handleStagedChunk(const DeclaredVersion &Target, std::size_t Index,
                               const HttpResult &Result) {
  VersionState *State = findVersion(Target);
  if (State == nullptr)
    return;
  const auto *Response = std::get_if<HttpResponse>(&Result);
  recordWrite(State->Staged, Index,
              Response != nullptr && Response->Status / 100 == 2, now());
  advanceVersion(*State);
}

void Stager::handleReadBack(const DeclaredVersion &Target, std::size_t Index,
                            TimePoint SentAt, const HttpResult &Result) {
  VersionState *State = findVersion(Target);
  if (State == nullptr || !State->Descriptor)
    return;
  const auto *Response = std::get_if<HttpResponse>(&Result);
  ReadResult Read = ReadResult::None;
  // A shorter manifest may have replaced the one of the call.
  if (Response != nullptr && Index < State->Descriptor->Chunks.size()) {
    const bool Matches =
        Response->Status == StatusOk &&
        sha256Hex(Response->Body) == State->Descriptor->Chunks[Index].Id;
    Read = Matches ? ReadResult::Sound : ReadResult::Corrupt;
  }
  recordRead(State->Staged, Index, SentAt, Read, now());
  if (Read == ReadResult::Corrupt) {
    const bool HasContent =
        Response->Status == StatusOk || Response->Status == StatusNotFound;
    State->CorruptSinceOrder |= State->OrderUnresolved && HasContent;
    Node.Log.write({.Level = LogLevel::Warning,
                    .Event = "staged_piece_bad",
                    .At = Step::ReadBack,
                    .Peer = addressText(Settings.Engine),
                    .Fields = {{"piece", std::to_string(Index)}}});
  }
  advanceVersion(*State);
}

bool Stager::isComplete(const VersionState &State) const {
  return State.Descriptor && Transfer &&
         versionComplete(*Transfer, State.Descriptor->Id);
}

bool Stager::servesNoVersion(const DeclaredVersion &Target) const {
  return Report && std::none_of(Report->Weights.begin(), Report->Weights.end(),
                                [&](const LoadedWeights &Each) {
                                  return Each.Model == Target.Model;
                                });
}

LoadConditions Stager::loadConditions(VersionState &State) {
  LoadConditions Conditions;
  const DeclaredVersion &Target = State.Load.Target;
  Conditions.Complete = isComplete(State);
  Conditions.Complete =
      Conditions.Complete &&
      (State.Load.Stage != LoadStage::Fetching || canStage(Target)) &&
      !isOutOfUse(Target) && !isPartDoubtful(State);
  Conditions.Staged = isStaged(State.Staged) &&
                      (!State.OrderUnresolved ||
                       oldestRead(State.Staged) >= State.Load.StageEnteredAt);
  Conditions.ReadsRecent = now() < orderDeadline(State.Staged);
  Conditions.LoadDoubtful = isLoadDoubtful(State);
  if (Report) {
    const auto Held = std::find_if(
        Report->Weights.begin(), Report->Weights.end(),
        [&](const LoadedWeights &Each) { return Each.Model == Target.Model; });
    Conditions.Loaded =
        Held != Report->Weights.end() && Held->Version >= Target.Version;
    Conditions.NoVersionServed = servesNoVersion(Target);
    Conditions.ServedOutOfUse = Held != Report->Weights.end() &&
                                !Conditions.Loaded &&
                                isOutOfUse({Held->Model, Held->Version});
    Conditions.Busy = Report->Loading;
    Conditions.Idle = Report->Running + Report->Waiting == 0;
  }
  if (State.Load.Stage == LoadStage::Announced)
    Conditions.StreamsCanMove = StreamsCanResume && canContinueStreams(Target);
  if (State.Load.Stage == LoadStage::Waiting)
    Conditions.HasTurn = hasRolloutTurn(State);
  return Conditions;
}

// The staging area holds one version of a model and a load takes the server out
// of service, so only one version is staged at a time. A write in progress may
// still replace a chunk.
bool Stager::canStage(const DeclaredVersion &Target) const {
  return StagingCallsPending == 0 &&
         std::none_of(Versions.begin(), Versions.end(), [&](const auto &Each) {
           const LoadStage Stage = Each.second.Load.Stage;
           return Each.first.Model == Target.Model && Each.first != Target &&
                  Stage != LoadStage::Serving && Stage != LoadStage::Fetching;
         });
}

// A version is superseded when a newer one is loaded, or when a newer one is
// complete and the server has not yet left service to load the older one.
void Stager::removeSupersededVersions() {
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

bool Stager::hasRolloutTurn(VersionState &State) {
  const DeclaredVersion &Target = State.Load.Target;
  std::vector<RolloutMember> Members;
  std::set<Digest> ServedVersions;
  auto Add = [&](const std::string &Name, TimePoint LastReceivedAt,
                 const std::vector<LoadedWeights> &Weights, bool Serving) {
    RolloutMember Member{Name, false, LastReceivedAt, {}};
    if (Serving)
      Member.ReadyWeights = versionDigests(Weights);
    ServedVersions.insert(Member.ReadyWeights.begin(),
                          Member.ReadyWeights.end());
    Members.push_back(std::move(Member));
  };
  Add(Settings.Process.Address, now(), Report->Weights, true);
  for (const auto &[Address, Peer] : Peers)
    if (Peer.Region == Settings.Process.Region)
      Add(Address, Peer.LastReceivedAt, Peer.Weights, Peer.Accepting);
  return decideRollout(
             State.Rollout, versionDigest(Target.Model, Target.Version),
             {ServedVersions.begin(), ServedVersions.end()}, Members,
             maxUnavailableServers(State.Load, Members.size(), now()), now())
      .HasTurn;
}

// Streams can continue only on the weights that they started with.
bool Stager::canContinueStreams(const DeclaredVersion &Target) const {
  std::size_t RegionServers = 1;
  std::size_t OlderServers = 0;
  for (const auto &[Address, Peer] : Peers) {
    if (Peer.Region != Settings.Process.Region)
      continue;
    ++RegionServers;
    const bool Older = std::any_of(Peer.Weights.begin(), Peer.Weights.end(),
                                   [&](const LoadedWeights &Each) {
                                     return Each.Model == Target.Model &&
                                            Each.Version < Target.Version;
                                   });
    OlderServers += Older && Peer.Accepting ? 1 : 0;
  }
  return OlderServers >= 1 && OlderServers * ContinueDivisor >= RegionServers;
}

void Stager::advanceVersions() {
  for (auto &[Version, State] : Versions)
    advanceVersion(State);
}

void Stager::advanceVersion(VersionState &State) {
  if (!Report)
    return;
  if (State.OrderUnresolved && loadConditions(State).Loaded)
    recordAcceptance(State);
  while (advanceLoad(State.Load, loadConditions(State), now())) {
    Node.Log.write(
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
      for (auto &[Other, Each] : Versions) // the staging area changes
        if (Each.Part && !Each.Part->Ordered)
          Each.Part.reset();
      // An order without an answer may still be accepted. What it would load
      // is read, not overwritten.
      if (!State.OrderUnresolved)
        State.Staged = makeStagedChunks(State.Descriptor->Chunks.size());
      break;
    case LoadStage::Announced:
      Accepting = false;
      announceStatus(true);
      break;
    case LoadStage::Loading:
      // Gateways may learn of the weights before it is known whether the order
      // was accepted in time.
      if (std::exchange(Accepting, false))
        announceStatus(true);
      sendLoadOrder(State);
      break;
    case LoadStage::Serving:
      // A server takes a version only once, so only the next one replaces
      // corrupt weights.
      Accepting = !(State.AcceptedLate && State.CorruptSinceOrder);
      State.OrderUnresolved = State.AcceptedLate = false;
      announceStatus(true);
      break;
    case LoadStage::Fetching:
    case LoadStage::Waiting:
      break;
    }
  }
  if (const auto RereadBefore = rereadBefore(State))
    makeStagingCall(State, *RereadBefore);
}

void Stager::sendLoadOrder(VersionState &State) {
  const DeclaredVersion Target = State.Load.Target;
  const TimePoint OldestRead = oldestRead(State.Staged);
  const bool EarlierUnresolved = std::exchange(State.OrderUnresolved, true);
  if (!EarlierUnresolved) {
    State.OldestReadAtOrder = OldestRead;
    State.CorruptSinceOrder = false;
  }
  State.AcceptedBy.reset();
  State.AcceptedLate = false;
  HttpCallRequest Order =
      platform::makeLoadCall(addressText(Settings.Engine), Target);
  Order.SendBefore = orderDeadline(State.Staged);
  EngineClient.call(
      std::move(Order),
      [this, Target, OldestRead, EarlierUnresolved](const HttpResult &Result) {
        handleOrderResult(Target, OldestRead, EarlierUnresolved, Result);
      });
}

Stager::OrderResult Stager::readOrderResult(std::string_view RefusedEvent,
                                            std::string_view AcceptedEvent,
                                            const DeclaredVersion &Target,
                                            TimePoint OldestRead,
                                            const HttpResult &Result) {
  const auto *Response = std::get_if<HttpResponse>(&Result);
  const auto *Failure = std::get_if<HttpFailure>(&Result);
  const bool Refused =
      Response == nullptr || platform::parseOrderStatus(Response->Status) ==
                                 platform::OrderStatus::Refused;
  Node.Log.write(
      {.Level = Refused ? LogLevel::Warning : LogLevel::Info,
       .Event = std::string(Refused ? RefusedEvent : AcceptedEvent),
       .At = Step::Order,
       .Peer = addressText(Settings.Engine),
       .Fields = {{"version", std::to_string(Target.Version)},
                  {"status", Response != nullptr
                                 ? std::to_string(Response->Status)
                                 : "none"},
                  {"detail", Failure != nullptr ? Failure->Cause.Detail : ""},
                  {"oldest_read_s", formatSeconds(now() - OldestRead)}}});
  return {Response != nullptr, Refused,
          Failure != nullptr ? !Failure->RequestBytesSent : Refused};
}

void Stager::handleOrderResult(const DeclaredVersion &Target,
                               TimePoint OldestRead, bool EarlierUnresolved,
                               const HttpResult &Result) {
  VersionState *State = findVersion(Target);
  if (State == nullptr)
    return;
  const OrderResult Outcome = readOrderResult("order_refused", "order_given",
                                              Target, OldestRead, Result);
  const auto *Response = std::get_if<HttpResponse>(&Result);
  const auto *Failure = std::get_if<HttpFailure>(&Result);
  if (Outcome.HadNoEffect && State->OrderUnresolved)
    State->OrderUnresolved = EarlierUnresolved;
  if (State->Load.Stage != LoadStage::Loading)
    return; // the order timed out, or a report came first
  if (Failure != nullptr && Failure->SendExpired)
    return returnToAnnounced(State->Load, now());
  if (Failure != nullptr)
    return;
  if (Outcome.Refused)
    return restartStaging(State->Load, now());
  // Any other status than Started may tell of an earlier order.
  if (platform::parseOrderStatus(Response->Status) ==
      platform::OrderStatus::Started)
    State->OldestReadAtOrder = OldestRead;
  recordAcceptance(*State);
}

void Stager::recordAcceptance(VersionState &State) {
  if (State.AcceptedBy)
    return;
  State.AcceptedBy = now();
  State.AcceptedLate = *State.AcceptedBy - State.OldestReadAtOrder >=
                       State.Staged.Settings.MaxAgeWhenAccepted;
  if (State.AcceptedLate)
    Node.Log.write({.Level = LogLevel::Warning,
                    .Event = "order_accepted_late",
                    .At = Step::Order,
                    .Peer = addressText(Settings.Engine),
                    .Fields = {{"oldest_read_s",
                                formatSeconds(*State.AcceptedBy -
                                              State.OldestReadAtOrder)}}});
}

} // namespace marigoldyard
