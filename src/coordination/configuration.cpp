#include "marigoldyard/coordination/configuration.hpp"

#include "marigoldyard/state/fault_switch.hpp"
#include "marigoldyard/state/invariant.hpp"

#include <algorithm>

namespace marigoldyard {
namespace {

Error configurationError(ErrorCode Code, Step FailedStep,
                         std::string_view Source, std::string Detail) {
  return Error{make_error_code(Code), FailedStep, std::string(Source),
               std::move(Detail)};
}

AcceptanceResult refusedResult(Error Failure, Revision Number) {
  return {AcceptanceAction::Refused, {}, std::move(Failure), Number};
}

void recordSource(ConfigurationState &State, std::string_view Source,
                  Revision Number) {
  if (Source == ServiceSource)
    State.ServiceHeard = true;
  State.HighestHeard = std::max(State.HighestHeard, Number);
}

/// Copies active values whose digest is unchanged to the pending configuration.
void reuseActiveValues(const ConfigurationState &State,
                       PendingConfiguration &Pending) {
  if (!State.InForce)
    return;
  for (const Product &Known : State.InForce->Content.Products) {
    const std::string Key = productKey(Known.Name);
    const auto PendingDigest = Pending.Index.Values.find(Key);
    const auto ActiveDigest = State.InForce->Index.Values.find(Key);
    if (PendingDigest == Pending.Index.Values.end() ||
        ActiveDigest == State.InForce->Index.Values.end() ||
        PendingDigest->second != ActiveDigest->second)
      continue;
    Pending.Values.insert_or_assign(
        Key, CheckedValue{Key, ActiveDigest->second,
                          State.InForce->Texts.at(Key), Known});
  }
}

/// Moves values of the previous pending index that the new index also contains.
void reusePendingValues(PendingConfiguration &&Earlier,
                        PendingConfiguration &Pending) {
  for (auto &[Key, Value] : Earlier.Values) {
    const auto PendingDigest = Pending.Index.Values.find(Key);
    if (PendingDigest != Pending.Index.Values.end() &&
        PendingDigest->second == Value.Id)
      Pending.Values.insert_or_assign(Key, std::move(Value));
  }
}

AcceptedConfiguration buildConfiguration(PendingConfiguration &&Pending) {
  AcceptedConfiguration Result;
  Result.Content.Number = Pending.Index.Number;
  for (auto &[Key, Value] : Pending.Values) {
    Result.Texts.emplace(Key, std::move(Value.Text));
    Result.Content.Products.push_back(std::move(*Value.Content));
  }
  Result.Index = std::move(Pending.Index);
  for (std::size_t P = 0; P < Result.Content.Products.size(); ++P) {
    const Product &Owner = Result.Content.Products[P];
    for (std::size_t C = 0; C < Owner.Callers.size(); ++C)
      Result.CallersByKey.emplace(Owner.Name + "/" + Owner.Callers[C].KeySha256,
                                  CallerMatch{P, C});
  }
  return Result;
}

AcceptanceResult refusePending(ConfigurationState &State, Error Failure) {
  ++State.Counters.Invalid;
  State.LastRefused = std::move(State.Pending->Index);
  State.Pending.reset();
  return refusedResult(std::move(Failure), State.LastRefused->Number);
}

/// Activates the pending configuration if it is complete and valid.
AcceptanceResult completePending(ConfigurationState &State,
                                 std::string_view Source) {
  std::vector<std::string> Needed = neededKeys(State);
  if (!Needed.empty())
    return {AcceptanceAction::NeedValues, std::move(Needed), std::nullopt, 0};
  auto Next = std::make_shared<AcceptedConfiguration>(
      buildConfiguration(PendingConfiguration(*State.Pending)));
  const std::vector<ManifestConflict> Conflicts =
      manifestConflicts(Next->Content);
  if (!Conflicts.empty())
    return refusePending(
        State,
        configurationError(
            ErrorCode::InvalidManifest, Step::ConfigurationAccept, Source,
            Next->Content.Products[Conflicts.front().ProductIndex].Name +
                Conflicts.front().Path + ": " + Conflicts.front().Message));
  checkInvariant(Next->Index.Number > revisionInForce(State),
                 Invariant::RevisionNeverLower, Step::ConfigurationAccept,
                 Source);
  State.InForce = std::move(Next);
  State.Pending.reset();
  ++State.Counters.Accepted;
  return {AcceptanceAction::Accepted, {}, std::nullopt, revisionInForce(State)};
}

AcceptanceResult refuseConflict(ConfigurationState &State, Revision Number,
                                std::string_view Source) {
  ++State.Counters.Conflicts;
  return refusedResult(
      configurationError(
          ErrorCode::ConflictingRevision, Step::ConfigurationAccept, Source,
          "revision " + std::to_string(Number) +
              " has other digests than the active configuration"),
      Number);
}

} // namespace

std::string productKey(std::string_view ProductName) {
  return std::string(ProductKeyPrefix) + std::string(ProductName);
}

ConfigurationState startConfiguration(TimePoint Now, StartTimeouts Timeouts) {
  ConfigurationState State;
  State.StartedAt = Now;
  State.Timeouts = Timeouts;
  return State;
}

Revision revisionInForce(const ConfigurationState &State) {
  return State.InForce ? State.InForce->Index.Number : 0;
}

AcceptanceResult receiveIndex(ConfigurationState &State,
                              const ConfigurationIndex &Index,
                              std::string_view Source) {
  if (Index.Number == 0 || Index.Values.size() > MaxProducts)
    return receiveInvalidIndex(
        State,
        configurationError(ErrorCode::InvalidManifest, Step::ConfigurationRead,
                           Source,
                           "index has revision 0 or more values than the "
                           "maximum number of products"),
        Source);
  recordSource(State, Source, Index.Number);
  if (Index.Values.empty()) // Only announces its revision.
    return {};
  const Revision Current = revisionInForce(State);
  if (State.InForce && Index.Number == Current)
    return Index == State.InForce->Index
               ? AcceptanceResult{}
               : refuseConflict(State, Index.Number, Source);
  if (Index.Number < Current && !faultEnabled(Invariant::RevisionNeverLower)) {
    ++State.Counters.Older;
    return {};
  }
  if (State.LastRefused && *State.LastRefused == Index)
    return refusedResult(
        configurationError(ErrorCode::InvalidManifest,
                           Step::ConfigurationAccept, Source,
                           "revision " + std::to_string(Index.Number) +
                               " was already refused as invalid"),
        Index.Number);
  PendingConfiguration Next{Index, {}};
  reuseActiveValues(State, Next);
  if (State.Pending) {
    if (State.Pending->Index.Number > Index.Number)
      return {AcceptanceAction::NeedValues, neededKeys(State), std::nullopt, 0};
    // This revision is not active here yet, so the latest index replaces the
    // pending one. The counter alerts the operator that the revision number was
    // published twice.
    if (State.Pending->Index.Number == Index.Number &&
        State.Pending->Index != Index)
      ++State.Counters.Conflicts;
    reusePendingValues(std::move(*State.Pending), Next);
  }
  State.Pending = std::move(Next);
  return completePending(State, Source);
}

AcceptanceResult receiveValues(ConfigurationState &State,
                               std::vector<CheckedValue> Values,
                               std::string_view Source) {
  recordSource(State, Source, 0);
  if (!State.Pending)
    return {};
  for (CheckedValue &Value : Values) {
    const auto ExpectedDigest = State.Pending->Index.Values.find(Value.Key);
    if (ExpectedDigest == State.Pending->Index.Values.end() ||
        ExpectedDigest->second != Value.Id) {
      ++State.Counters.Mismatches;
      continue;
    }
    if (!Value.Content)
      return refusePending(State, Value.Content.error());
    if (productKey(Value.Content->Name) != Value.Key)
      return refusePending(State,
                           configurationError(ErrorCode::InvalidManifest,
                                              Step::ConfigurationAccept, Source,
                                              Value.Key + " contains product " +
                                                  Value.Content->Name));
    std::string Key = Value.Key;
    State.Pending->Values.insert_or_assign(std::move(Key), std::move(Value));
  }
  return completePending(State, Source);
}

AcceptanceResult receiveInvalidIndex(ConfigurationState &State, Error Failure,
                                     std::string_view Source) {
  recordSource(State, Source, 0);
  ++State.Counters.Invalid;
  return refusedResult(std::move(Failure), 0);
}

AcceptanceResult receiveReadFailure(const ConfigurationState &State) {
  if (!State.Pending)
    return {};
  return {AcceptanceAction::NeedValues, neededKeys(State), std::nullopt, 0};
}

void notePeerRevision(ConfigurationState &State, std::string_view Peer,
                      Revision Number) {
  recordSource(State, Peer, Number);
  if (Number > 0 && State.PeersHeard.size() < EnoughPeers)
    State.PeersHeard.emplace(Peer);
}

Revision advertisedRevision(const ConfigurationState &State, TimePoint Now) {
  return configurationReady(State, Now) ? revisionInForce(State) : 0;
}

std::vector<std::string> neededKeys(const ConfigurationState &State) {
  std::vector<std::string> Keys;
  if (!State.Pending)
    return Keys;
  for (const auto &[Key, Id] : State.Pending->Index.Values)
    if (!State.Pending->Values.contains(Key))
      Keys.push_back(Key);
  return Keys;
}

bool configurationReady(const ConfigurationState &State, TimePoint Now) {
  if (!State.InForce)
    return false;
  const Duration Waited = Now - State.StartedAt;
  const bool ServiceSatisfied = State.ServiceHeard ||
                                State.PeersHeard.size() >= EnoughPeers ||
                                Waited >= State.Timeouts.Service;
  const bool PeersSatisfied =
      !State.PeersHeard.empty() || Waited >= State.Timeouts.Peers;
  // Do not wait for a refused revision, because it never becomes active.
  const bool HighestRefused =
      State.LastRefused && State.LastRefused->Number >= State.HighestHeard;
  const bool RevisionSatisfied = revisionInForce(State) >= State.HighestHeard ||
                                 HighestRefused ||
                                 Waited >= State.Timeouts.CatchUp;
  return ServiceSatisfied && PeersSatisfied && RevisionSatisfied;
}

std::optional<std::map<std::string, std::string>>
valuesForPeer(const ConfigurationState &State, Revision Number,
              const std::vector<std::string> &Keys) {
  if (!State.InForce || Number > revisionInForce(State))
    return std::nullopt;
  std::map<std::string, std::string> Result;
  for (const std::string &Key : Keys)
    if (const auto It = State.InForce->Texts.find(Key);
        It != State.InForce->Texts.end())
      Result.insert(*It);
  return Result;
}

} // namespace marigoldyard
