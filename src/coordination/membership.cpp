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

/// Time from which silence of a linked member counts.
TimePoint silentSince(const MembershipState &State,
                      const MemberRecord &Record) {
  TimePoint Since = Record.LinkedSince;
  if (Record.LastHeard)
    Since = std::max(Since, *Record.LastHeard);
  if (State.VoidedAt)
    Since = std::max(Since, *State.VoidedAt);
  return Since;
}

bool isUnanswered(const MemberRecord &Record, TimePoint Now) {
  return Record.UnansweredAt &&
         Now - *Record.UnansweredAt < Record.UnansweredHold;
}

bool isSilent(const MembershipState &State, const MemberRecord &Record,
              TimePoint Now) {
  return Record.Linked &&
         Now - silentSince(State, Record) >= State.Settings.SuspectAfter;
}

/// Whether the member reports although it need not be listed yet or any more.
bool heardRecently(const MembershipState &State, const MemberRecord &Record,
                   TimePoint Now) {
  return Record.LastHeard && !Record.ConnectionLostAt &&
         Now - *Record.LastHeard < State.Settings.SuspectAfter;
}

/// Makes room for a member that only reports name by removing the unlisted one
/// that is silent for longest. The list may not lose a member to it.
bool makeRoomUnlisted(MembershipState &State, TimePoint Now) {
  std::size_t Unlisted = 0;
  RecordMap::iterator Oldest = State.Records.end();
  for (auto It = State.Records.begin(); It != State.Records.end(); ++It) {
    if (It->second.InList)
      continue;
    ++Unlisted;
    if (heardRecently(State, It->second, Now))
      continue;
    if (Oldest == State.Records.end() ||
        It->second.LastHeard < Oldest->second.LastHeard)
      Oldest = It;
  }
  const bool Full = Unlisted >= State.Settings.MaxUnlisted ||
                    State.Records.size() >= State.Settings.MaxMembers;
  if (!Full)
    return true;
  if (Oldest == State.Records.end())
    return false;
  State.Records.erase(Oldest);
  return true;
}

/// The list takes precedence over unlisted members when the table is full.
bool makeRoomListed(MembershipState &State) {
  if (State.Records.size() < State.Settings.MaxMembers)
    return true;
  const auto It =
      std::find_if(State.Records.begin(), State.Records.end(),
                   [](const auto &Entry) { return !Entry.second.InList; });
  if (It == State.Records.end())
    return false;
  State.Records.erase(It);
  return true;
}

void describe(MemberRecord &Record, const Member &Listed) {
  Record.Listed = Listed;
  Record.Described = true;
  Record.InList = true;
}

bool isVerified(const MembershipState &State, const MemberRecord &Record) {
  return !State.VoidedAt ||
         (Record.LastHeard && *Record.LastHeard >= *State.VoidedAt);
}

} // namespace

std::string_view memberStateName(MemberState Value) {
  switch (Value) {
  case MemberState::Live:
    return "live";
  case MemberState::Suspected:
    return "suspected";
  case MemberState::Leaving:
    return "leaving";
  case MemberState::Dead:
    return "dead";
  }
  return "";
}

void updateList(MembershipState &State, const std::vector<Member> &List,
                TimePoint Now) {
  std::set<std::string_view> Named;
  for (const Member &Each : List)
    Named.insert(Each.Name);
  for (auto &[Name, Record] : State.Records) {
    if (Record.InList && !Named.contains(Name)) {
      Record.InList = false;
      Record.UnlistedSince = Now;
    }
  }
  // Known members first: making room for a new one must not remove the record
  // and incarnation of one that the list names further down.
  for (const Member &Each : List)
    if (MemberRecord *Record = findRecord(State, Each.Name))
      describe(*Record, Each);
  for (const Member &Each : List) {
    if (State.Records.contains(Each.Name))
      continue;
    if (makeRoomListed(State))
      describe(State.Records[Each.Name], Each);
    else
      ++State.Refused;
  }
}

MessageEvidence messageReceived(MembershipState &State, std::string_view Name,
                                Incarnation Start, TimePoint Now) {
  MemberRecord *Record = findRecord(State, Name);
  if (!Record) {
    if (!makeRoomUnlisted(State, Now)) {
      ++State.Refused;
      return MessageEvidence::Refused;
    }
    Record = &State.Records[std::string(Name)];
    Record->Listed.Name = Name;
    Record->UnlistedSince = Now;
  }
  if (Start < Record->Start)
    return MessageEvidence::Outdated;
  MessageEvidence Evidence = MessageEvidence::Known;
  if (Start > Record->Start) {
    Evidence = Record->Start == 0 ? MessageEvidence::Joined
                                  : MessageEvidence::Restarted;
    Record->Start = Start;
    Record->ReportedLeaving = false;
    Record->UnansweredAt.reset();
  }
  Record->LastHeard = Now;
  Record->ConnectionLostAt.reset();
  return Evidence;
}

MessageEvidence reportReceived(MembershipState &State, std::string_view Name,
                               Incarnation Start, bool Leaving, TimePoint Now) {
  const MessageEvidence Evidence = messageReceived(State, Name, Start, Now);
  if (Leaving && Evidence != MessageEvidence::Outdated &&
      Evidence != MessageEvidence::Refused)
    findRecord(State, Name)->ReportedLeaving = true;
  return Evidence;
}

void connectionLost(MembershipState &State, std::string_view Name,
                    Incarnation Start, TimePoint Now) {
  MemberRecord *Record = findRecord(State, Name);
  if (Record && (Start == 0 || Start >= Record->Start))
    Record->ConnectionLostAt = Now;
}

void connectionOpened(MembershipState &State, std::string_view Name) {
  if (MemberRecord *Record = findRecord(State, Name))
    Record->ConnectionLostAt.reset();
}

void workUnanswered(MembershipState &State, std::string_view Name,
                    TimePoint Now) {
  MemberRecord *Record = findRecord(State, Name);
  // Work that was sent before the first piece went unanswered is the same
  // fault.
  if (!Record || isUnanswered(*Record, Now))
    return;
  const MembershipSettings &Limits = State.Settings;
  Record->UnansweredHold =
      Record->UnansweredAt
          ? std::min(Record->UnansweredHold * 2,
                     std::max(Limits.ListLag, Limits.UnansweredHold))
          : Limits.UnansweredHold;
  Record->UnansweredAt = Now;
}

void workAnswered(MembershipState &State, std::string_view Name,
                  TimePoint Now) {
  MemberRecord *Record = findRecord(State, Name);
  if (!Record)
    return;
  Record->UnansweredAt.reset();
  Record->ConnectionLostAt.reset();
  Record->LastHeard = Now;
}

void setLinked(MembershipState &State, std::string_view Name, bool Linked,
               TimePoint Now) {
  MemberRecord *Record = findRecord(State, Name);
  if (!Record || Record->Linked == Linked)
    return;
  Record->Linked = Linked;
  Record->LinkedSince = Now;
}

void voidViews(MembershipState &State, TimePoint Now) { State.VoidedAt = Now; }

std::vector<std::string> removeDeadMembers(MembershipState &State,
                                           TimePoint Now) {
  std::vector<std::string> Removed;
  for (auto It = State.Records.begin(); It != State.Records.end();) {
    const MemberRecord &Record = It->second;
    const bool Expired =
        !Record.InList && Now - Record.UnlistedSince >= State.Settings.ListLag;
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
  if (!Record.InList && !heardRecently(State, Record, Now))
    return MemberState::Dead;
  if (Silent && Now - silentSince(State, Record) >= State.Settings.ListLag)
    return MemberState::Dead;
  if (Record.ReportedLeaving || (Record.InList && Record.Listed.Leaving))
    return MemberState::Leaving;
  return Silent || Lost || isUnanswered(Record, Now) ? MemberState::Suspected
                                                     : MemberState::Live;
}

std::vector<RoutableMember> routableMembers(const MembershipState &State,
                                            std::string_view Pool,
                                            TimePoint Now) {
  const bool Verifying =
      State.VoidedAt && Now - *State.VoidedAt < State.Settings.SuspectAfter;
  std::vector<RoutableMember> Result;
  std::vector<const MemberRecord *> Weak;
  std::size_t Candidates = 0;
  for (const auto &[Name, Record] : State.Records) {
    if (!Record.Linked || Record.Listed.Pool != Pool)
      continue;
    const MemberState Current = memberState(State, Record, Now);
    const bool Excluded =
        Current == MemberState::Dead || Current == MemberState::Leaving;
    if (Current == MemberState::Leaving &&
        faultEnabled(Invariant::NoWorkWhileLeaving))
      Result.push_back({Name, false});
    if (Excluded || Record.ConnectionLostAt)
      continue;
    ++Candidates;
    if (Verifying && !isVerified(State, Record))
      continue;
    if (Current == MemberState::Live)
      Result.push_back({Name, false});
    else
      Weak.push_back(&Record);
  }
  std::stable_sort(Weak.begin(), Weak.end(),
                   [](const MemberRecord *A, const MemberRecord *B) {
                     return A->LastHeard > B->LastHeard;
                   });
  const auto Removable = static_cast<std::size_t>(
      double(Candidates) * (1.0 - State.Settings.SuspicionFloor));
  for (const MemberRecord *Record : Weak)
    if (Result.size() < Candidates - Removable)
      Result.push_back({Record->Listed.Name, true});
  for (const RoutableMember &Each : Result)
    checkInvariant(memberState(State, State.Records.find(Each.Name)->second,
                               Now) != MemberState::Leaving,
                   Invariant::NoWorkWhileLeaving, Step::Routing, Each.Name);
  return Result;
}

std::vector<Member> presentMembers(const MembershipState &State,
                                   TimePoint Now) {
  std::vector<Member> Result;
  for (const auto &[Name, Record] : State.Records) {
    const MemberState Current = memberState(State, Record, Now);
    if (Record.Described &&
        (Current == MemberState::Live || Current == MemberState::Suspected))
      Result.push_back(Record.Listed);
  }
  return Result;
}

std::vector<std::string> servingEntries(const MembershipState &State,
                                        TimePoint Now) {
  std::vector<std::string> Names;
  for (const auto &[Name, Record] : State.Records)
    if (Record.Described && Record.Listed.Kind == MemberKind::Entry &&
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
    if (Record.Linked) {
      Consider(silentSince(State, Record) + State.Settings.SuspectAfter);
      Consider(silentSince(State, Record) + State.Settings.ListLag);
    }
    if (Record.UnansweredAt)
      Consider(*Record.UnansweredAt + Record.UnansweredHold);
    if (!Record.InList && Record.LastHeard)
      Consider(*Record.LastHeard + State.Settings.SuspectAfter);
  }
  return Next;
}

void describeMember(MembershipState &State, const Member &Description) {
  const auto Found = State.Records.find(Description.Name);
  if (Found == State.Records.end() || Found->second.InList)
    return;
  Found->second.Listed = Description;
  Found->second.Described = true;
}

} // namespace marigoldyard
