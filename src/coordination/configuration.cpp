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
    State.ServiceContacted = true;
  State.HighestKnownRevision = std::max(State.HighestKnownRevision, Number);
}

/// Copies active values whose digest is unchanged to the pending configuration.
void reuseActiveValues(const ConfigurationState &State,
                       PendingConfiguration &Pending) {
  if (!State.ActiveConfiguration)
    return;
  for (const Product &Known : State.ActiveConfiguration->Content.Products) {
    const std::string Key = productKey(Known.Name);
    const auto PendingDigest = Pending.Index.Values.find(Key);
    const auto ActiveDigest = State.ActiveConfiguration->Index.Values.find(Key);
    if (PendingDigest == Pending.Index.Values.end() ||
        ActiveDigest == State.ActiveConfiguration->Index.Values.end() ||
        PendingDigest->second != ActiveDigest->second)
      continue;
    Pending.Values.insert_or_assign(
        Key, ParsedValue{Key, ActiveDigest->second,
                         State.ActiveConfiguration->Texts.at(Key), Known});
  }
}

/// Moves values of the previous pending index that the new index also contains.
void reusePendingValues(PendingConfiguration &&Earlier,
                        PendingConfiguration &Pending) {
  for (auto &[Key, Value] : Earlier.Values) {
    const auto PendingDigest = Pending.Index.Values.find(Key);
    if (PendingDigest != Pending.Index.Values.end() &&
        PendingDigest->second == Value.ContentDigest)
      Pending.Values.insert_or_assign(Key, std::move(Value));
  }
}

AcceptedConfiguration buildConfiguration(PendingConfiguration &&Pending) {
  AcceptedConfiguration Result;
  Result.Content.ConfigRevision = Pending.Index.ConfigRevision;
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
  return refusedResult(std::move(Failure), State.LastRefused->ConfigRevision);
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
  checkInvariant(Next->Index.ConfigRevision > activeRevision(State),
                 Invariant::RevisionNeverLower, Step::ConfigurationAccept,
                 Source);
  State.ActiveConfiguration = std::move(Next);
  State.Pending.reset();
  ++State.Counters.Accepted;
  return {AcceptanceAction::Accepted, {}, std::nullopt, activeRevision(State)};
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

ConfigurationState makeConfigurationState(TimePoint Now,
                                          StartupTimeouts Timeouts) {
  ConfigurationState State;
  State.StartedAt = Now;
  State.Timeouts = Timeouts;
  return State;
}

Revision activeRevision(const ConfigurationState &State) {
  return State.ActiveConfiguration
             ? State.ActiveConfiguration->Index.ConfigRevision
             : 0;
}

AcceptanceResult receiveIndex(ConfigurationState &State,
                              const ConfigurationIndex &Index,
                              std::string_view Source) {
  if (Index.ConfigRevision == 0 || Index.Values.size() > MaxProducts)
    return receiveInvalidIndex(
        State,
        configurationError(ErrorCode::InvalidManifest, Step::ConfigurationRead,
                           Source,
                           "index has revision 0 or more values than the "
                           "maximum number of products"),
        Source);
  recordSource(State, Source, Index.ConfigRevision);
  if (Index.Values.empty()) // Only announces its revision.
    return {};
  const Revision Current = activeRevision(State);
  if (State.ActiveConfiguration && Index.ConfigRevision == Current)
    return Index == State.ActiveConfiguration->Index
               ? AcceptanceResult{}
               : refuseConflict(State, Index.ConfigRevision, Source);
  if (Index.ConfigRevision < Current &&
      !isFaultEnabled(Invariant::RevisionNeverLower)) {
    ++State.Counters.OlderIndexes;
    return {};
  }
  if (State.LastRefused && *State.LastRefused == Index)
    return refusedResult(
        configurationError(ErrorCode::InvalidManifest,
                           Step::ConfigurationAccept, Source,
                           "revision " + std::to_string(Index.ConfigRevision) +
                               " was already refused as invalid"),
        Index.ConfigRevision);
  PendingConfiguration Next{Index, {}};
  reuseActiveValues(State, Next);
  if (State.Pending) {
    if (State.Pending->Index.ConfigRevision > Index.ConfigRevision)
      return {AcceptanceAction::NeedValues, neededKeys(State), std::nullopt, 0};
    // This revision is not active here yet, so the latest index replaces the
    // pending one. The counter alerts the operator that the revision number was
    // published twice.
    if (State.Pending->Index.ConfigRevision == Index.ConfigRevision &&
        State.Pending->Index != Index)
      ++State.Counters.Conflicts;
    reusePendingValues(std::move(*State.Pending), Next);
  }
  State.Pending = std::move(Next);
  return completePending(State, Source);
}

AcceptanceResult receiveValues(ConfigurationState &State,
                               std::vector<ParsedValue> Values,
                               std::string_view Source) {
  recordSource(State, Source, 0);
  if (!State.Pending)
    return {};
  for (ParsedValue &Value : Values) {
    const auto ExpectedDigest = State.Pending->Index.Values.find(Value.Key);
    if (ExpectedDigest == State.Pending->Index.Values.end() ||
        ExpectedDigest->second != Value.ContentDigest) {
      ++State.Counters.DigestMismatches;
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

void recordPeerRevision(ConfigurationState &State, std::string_view Peer,
                        Revision Number) {
  recordSource(State, Peer, Number);
  if (Number > 0 && State.PeersContacted.size() < SufficientPeers)
    State.PeersContacted.emplace(Peer);
}

Revision advertisedRevision(const ConfigurationState &State, TimePoint Now) {
  return isConfigurationReady(State, Now) ? activeRevision(State) : 0;
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

bool isConfigurationReady(const ConfigurationState &State, TimePoint Now) {
  if (!State.ActiveConfiguration)
    return false;
  const Duration Waited = Now - State.StartedAt;
  const bool ServiceSatisfied =
      State.ServiceContacted ||
      State.PeersContacted.size() >= SufficientPeers ||
      Waited >= State.Timeouts.Service;
  const bool PeersSatisfied =
      !State.PeersContacted.empty() || Waited >= State.Timeouts.Peers;
  // Do not wait for a refused revision, because it never becomes active.
  const bool HighestRefused =
      State.LastRefused &&
      State.LastRefused->ConfigRevision >= State.HighestKnownRevision;
  const bool RevisionSatisfied =
      activeRevision(State) >= State.HighestKnownRevision || HighestRefused ||
      Waited >= State.Timeouts.CatchUp;
  return ServiceSatisfied && PeersSatisfied && RevisionSatisfied;
}

std::optional<std::map<std::string, std::string>>
valuesForPeer(const ConfigurationState &State, Revision Number,
              const std::vector<std::string> &Keys) {
  if (!State.ActiveConfiguration || Number > activeRevision(State))
    return std::nullopt;
  std::map<std::string, std::string> Result;
  for (const std::string &Key : Keys)
    if (const auto It = State.ActiveConfiguration->Texts.find(Key);
        It != State.ActiveConfiguration->Texts.end())
      Result.insert(*It);
  return Result;
}

} // namespace marigoldyard
