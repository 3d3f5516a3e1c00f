#include "marigoldyard/coordination/membership.hpp"

#include "marigoldyard/state/fault_switch.hpp"
#include "marigoldyard/state/invariant.hpp"

#include <algorithm>
#include <set>

namespace marigoldyard {
namespace {

using RecordMap = std::map<std::string, MemberRecord, std::less<>>;

MemberRecord *findRecord(MembershipState &State, std::string_view Name) {
  const auto It = State.Records.find(Name);
  return It == State.Records.end() ? nullptr : &It->second;
}

/// Time since which a linked member has sent no message. Time before the link
/// was made or during a pause of this process does not count.
TimePoint silentSince(const MembershipState &State,
                      const MemberRecord &Record) {
  TimePoint Since = Record.ReportsExpectedSince;
  if (Record.LastReceived)
    Since = std::max(Since, *Record.LastReceived);
  if (State.LastPauseEndedAt)
    Since = std::max(Since, *State.LastPauseEndedAt);
  return Since;
}

Duration suspicionTimeout(const MembershipSettings &Settings,
                          const MemberRecord &Record) {
  const bool Remote =
      Record.HasDescription && Record.Description.Region != Settings.Region;
  return Remote && Settings.RemoteSuspicionTimeout > Duration::zero()
             ? Settings.RemoteSuspicionTimeout
             : Settings.SuspicionTimeout;
}

bool isUnanswered(const MemberRecord &Record, TimePoint Now) {
  return Record.UnansweredAt &&
         Now - *Record.UnansweredAt < Record.CurrentBackoff;
}

bool isSilent(const MembershipState &State, const MemberRecord &Record,
              TimePoint Now) {
  return Record.ExpectsReports && Now - silentSince(State, Record) >=
                                      suspicionTimeout(State.Settings, Record);
}

/// Whether messages of the member arrive, also while it is not listed yet or no
/// longer.
bool reportedRecently(const MembershipState &State, const MemberRecord &Record,
                      TimePoint Now) {
  return Record.LastReceived && !Record.ConnectionLostAt &&
         Now - *Record.LastReceived < suspicionTimeout(State.Settings, Record);
}

/// Makes room for an unlisted member by removing the unlisted member that has
/// sent no message for the longest time. Listed members are never removed for
/// it.
bool reserveUnlistedRecord(MembershipState &State, TimePoint Now) {
  std::size_t Unlisted = 0;
  RecordMap::iterator Oldest = State.Records.end();
  for (auto It = State.Records.begin(); It != State.Records.end(); ++It) {
    if (It->second.IsListed)
      continue;
    ++Unlisted;
    if (reportedRecently(State, It->second, Now))
      continue;
    if (Oldest == State.Records.end() ||
        It->second.LastReceived < Oldest->second.LastReceived)
      Oldest = It;
  }
  const bool Full = Unlisted >= State.Settings.MaxUnlistedMembers ||
                    State.Records.size() >= State.Settings.MaxMembers;
  if (!Full)
    return true;
  if (Oldest == State.Records.end())
    return false;
  State.Records.erase(Oldest);
  return true;
}

/// Makes room for a listed member. Removes an unlisted one if the table is
/// full, because listed members take precedence.
bool reserveListedRecord(MembershipState &State) {
  if (State.Records.size() < State.Settings.MaxMembers)
    return true;
  const auto It =
      std::find_if(State.Records.begin(), State.Records.end(),
                   [](const auto &Entry) { return !Entry.second.IsListed; });
  if (It == State.Records.end())
    return false;
  State.Records.erase(It);
  return true;
}

void applyListEntry(MemberRecord &Record, const Member &ListEntry) {
  Record.Description = ListEntry;
  Record.HasDescription = true;
  Record.IsListed = true;
}

bool receivedSincePause(const MembershipState &State,
                        const MemberRecord &Record) {
  return !State.LastPauseEndedAt ||
         (Record.LastReceived &&
          *Record.LastReceived >= *State.LastPauseEndedAt);
}

} // namespace

std::string_view memberStateName(MemberState StateToName) {
  switch (StateToName) {
  case MemberState::Live:
    return "live";
  case MemberState::Suspected:
    return "suspected";
  case MemberState::Draining:
    return "leaving";
  case MemberState::Dead:
    return "dead";
  }
  return "";
}

Duration remoteReportInterval(Duration Interval, std::size_t Members) {
  // Up to this number of members all get the reports at the same interval.
  constexpr std::size_t SmallFleet = 12;
  constexpr int MaxMultiple = 3;
  const Duration Grown = Interval * static_cast<Duration::rep>(Members) /
                         static_cast<Duration::rep>(SmallFleet);
  return std::clamp(Grown, Interval, MaxMultiple * Interval);
}

void mergeMemberList(MembershipState &State, const std::vector<Member> &List,
                     TimePoint Now) {
  std::set<std::string_view> ListedNames;
  for (const Member &Each : List)
    ListedNames.insert(Each.Name);
  for (auto &[Name, Record] : State.Records) {
    if (Record.IsListed && !ListedNames.contains(Name)) {
      Record.IsListed = false;
      Record.UnlistedSince = Now;
    }
  }
  // Known members are updated first; otherwise making room for a new member
  // could remove the record and incarnation of one that is listed further down.
  for (const Member &Each : List)
    if (MemberRecord *Record = findRecord(State, Each.Name))
      applyListEntry(*Record, Each);
  for (const Member &Each : List) {
    if (State.Records.contains(Each.Name))
      continue;
    if (reserveListedRecord(State))
      applyListEntry(State.Records[Each.Name], Each);
    else
      ++State.RejectedCount;
  }
}

MessageOutcome recordMessage(MembershipState &State, std::string_view Name,
                             Incarnation Start, TimePoint Now) {
  MemberRecord *Record = findRecord(State, Name);
  if (!Record) {
    if (!reserveUnlistedRecord(State, Now)) {
      ++State.RejectedCount;
      return MessageOutcome::TableFull;
    }
    Record = &State.Records[std::string(Name)];
    Record->Description.Name = Name;
    Record->UnlistedSince = Now;
  }
  if (Start < Record->CurrentIncarnation)
    return MessageOutcome::StaleIncarnation;
  MessageOutcome Evidence = MessageOutcome::Known;
  if (Start > Record->CurrentIncarnation) {
    Evidence = Record->CurrentIncarnation == 0 ? MessageOutcome::Joined
                                               : MessageOutcome::Restarted;
    Record->CurrentIncarnation = Start;
    Record->ReportedDraining = false;
    Record->UnansweredAt.reset();
  }
  Record->LastReceived = Now;
  Record->ConnectionLostAt.reset();
  return Evidence;
}

MessageOutcome recordMemberReport(MembershipState &State, std::string_view Name,
                                  Incarnation Start, bool Leaving,
                                  TimePoint Now) {
  const MessageOutcome Evidence = recordMessage(State, Name, Start, Now);
  if (Leaving && Evidence != MessageOutcome::StaleIncarnation &&
      Evidence != MessageOutcome::TableFull)
    findRecord(State, Name)->ReportedDraining = true;
  return Evidence;
}

void recordConnectionLoss(MembershipState &State, std::string_view Name,
                          Incarnation Start, TimePoint Now) {
  MemberRecord *Record = findRecord(State, Name);
  if (Record && (Start == 0 || Start >= Record->CurrentIncarnation))
    Record->ConnectionLostAt = Now;
}

void recordConnection(MembershipState &State, std::string_view Name) {
  if (MemberRecord *Record = findRecord(State, Name))
    Record->ConnectionLostAt.reset();
}

void recordUnansweredWork(MembershipState &State, std::string_view Name,
                          TimePoint Now) {
  MemberRecord *Record = findRecord(State, Name);
  // Further timeouts of work that was sent before the suspicion have the same
  // cause and must not double the backoff.
  if (!Record || isUnanswered(*Record, Now))
    return;
  const MembershipSettings &Limits = State.Settings;
  Record->CurrentBackoff =
      Record->UnansweredAt
          ? std::min(Record->CurrentBackoff * 2,
                     std::max(Limits.MaxListDelay, Limits.UnansweredBackoff))
          : Limits.UnansweredBackoff;
  Record->UnansweredAt = Now;
}

void recordAnsweredWork(MembershipState &State, std::string_view Name,
                        TimePoint Now) {
  MemberRecord *Record = findRecord(State, Name);
  if (!Record)
    return;
  Record->UnansweredAt.reset();
  Record->ConnectionLostAt.reset();
  Record->LastReceived = Now;
}

void setReportsExpected(MembershipState &State, std::string_view Name,
                        bool Linked, TimePoint Now) {
  MemberRecord *Record = findRecord(State, Name);
  if (!Record || Record->ExpectsReports == Linked)
    return;
  Record->ExpectsReports = Linked;
  Record->ReportsExpectedSince = Now;
}

void invalidateMemberStates(MembershipState &State, TimePoint Now) {
  State.LastPauseEndedAt = Now;
}

std::vector<std::string> removeDeadMembers(MembershipState &State,
                                           TimePoint Now) {
  std::vector<std::string> Removed;
  for (auto It = State.Records.begin(); It != State.Records.end();) {
    const MemberRecord &Record = It->second;
    const bool Expired = !Record.IsListed && Now - Record.UnlistedSince >=
                                                 State.Settings.MaxListDelay;
    if (Expired && memberState(State, Record, Now) == MemberState::Dead) {
      Removed.push_back(It->first);
      It = State.Records.erase(It);
    } else {
      ++It;
    }
  }
  return Removed;
}

MemberState memberState(const MembershipState &State,
                        const MemberRecord &Record, TimePoint Now) {
  const bool Silent = isSilent(State, Record, Now);
  const bool Lost = Record.ConnectionLostAt.has_value();
  if (!Record.IsListed && !reportedRecently(State, Record, Now))
    return MemberState::Dead;
  if (Silent && Now - silentSince(State, Record) >= State.Settings.MaxListDelay)
    return MemberState::Dead;
  if (Record.ReportedDraining ||
      (Record.IsListed && Record.Description.Draining))
    return MemberState::Draining;
  return Silent || Lost || isUnanswered(Record, Now) ? MemberState::Suspected
                                                     : MemberState::Live;
}

std::vector<RoutableMember> routableMembers(const MembershipState &State,
                                            std::string_view Pool,
                                            TimePoint Now) {
  const bool AwaitingReports =
      State.LastPauseEndedAt &&
      Now - *State.LastPauseEndedAt < State.Settings.SuspicionTimeout;
  std::vector<RoutableMember> Result;
  std::vector<const MemberRecord *> SuspectedRecords;
  std::size_t Candidates = 0;
  for (const auto &[Name, Record] : State.Records) {
    if (!Record.ExpectsReports || Record.Description.Pool != Pool)
      continue;
    const MemberState Current = memberState(State, Record, Now);
    const bool Excluded =
        Current == MemberState::Dead || Current == MemberState::Draining;
    if (Current == MemberState::Draining &&
        isFaultEnabled(Invariant::NoWorkWhileLeaving))
      Result.push_back({Name, false});
    if (Excluded || Record.ConnectionLostAt)
      continue;
    ++Candidates;
    if (AwaitingReports && !receivedSincePause(State, Record))
      continue;
    if (Current == MemberState::Live)
      Result.push_back({Name, false});
    else
      SuspectedRecords.push_back(&Record);
  }
  std::stable_sort(SuspectedRecords.begin(), SuspectedRecords.end(),
                   [](const MemberRecord *A, const MemberRecord *B) {
                     return A->LastReceived > B->LastReceived;
                   });
  const auto MaxRemovable = static_cast<std::size_t>(
      double(Candidates) * (1.0 - State.Settings.MinRoutableShare));
  for (const MemberRecord *Record : SuspectedRecords)
    if (Result.size() < Candidates - MaxRemovable)
      Result.push_back({Record->Description.Name, true});
  for (const RoutableMember &Each : Result)
    checkInvariant(memberState(State, State.Records.find(Each.Name)->second,
                               Now) != MemberState::Draining,
                   Invariant::NoWorkWhileLeaving, Step::Routing, Each.Name);
  return Result;
}

std::vector<Member> presentMembers(const MembershipState &State,
                                   TimePoint Now) {
  std::vector<Member> Result;
  for (const auto &[Name, Record] : State.Records) {
    const MemberState Current = memberState(State, Record, Now);
    if (Record.HasDescription &&
        (Current == MemberState::Live || Current == MemberState::Suspected))
      Result.push_back(Record.Description);
  }
  return Result;
}

std::vector<std::string> servingEntries(const MembershipState &State,
                                        TimePoint Now) {
  std::vector<std::string> Names;
  for (const auto &[Name, Record] : State.Records)
    if (Record.HasDescription && Record.Description.Kind == MemberKind::Entry &&
        memberState(State, Record, Now) != MemberState::Dead)
      Names.push_back(Name);
  return Names;
}

std::optional<TimePoint> nextMembershipChange(const MembershipState &State,
                                              TimePoint Now) {
  std::optional<TimePoint> Next;
  const auto Consider = [&](TimePoint At) {
    if (At > Now && (!Next || At < *Next))
      Next = At;
  };
  for (const auto &[Name, Record] : State.Records) {
    if (Record.ExpectsReports) {
      Consider(silentSince(State, Record) + State.Settings.SuspicionTimeout);
      Consider(silentSince(State, Record) + State.Settings.MaxListDelay);
    }
    if (Record.UnansweredAt)
      Consider(*Record.UnansweredAt + Record.CurrentBackoff);
    if (!Record.IsListed && Record.LastReceived)
      Consider(*Record.LastReceived + State.Settings.SuspicionTimeout);
  }
  return Next;
}

void describeMember(MembershipState &State, const Member &NewDescription) {
  const auto Found = State.Records.find(NewDescription.Name);
  if (Found == State.Records.end() || Found->second.IsListed)
    return;
  Found->second.Description = NewDescription;
  Found->second.HasDescription = true;
}

} // namespace marigoldyard
