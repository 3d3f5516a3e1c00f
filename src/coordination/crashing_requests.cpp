#include "marigoldyard/coordination/crashing_requests.hpp"

#include "marigoldyard/coordination/detail/text_hash.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace marigoldyard {

namespace {

using std::chrono::milliseconds;

/// Whether another request, which is blocked, was at a crash too.
bool isExplained(const CrashingRequests &State, const Digest &Request,
                 const std::string &ServerRun) {
  return std::any_of(State.Requests.begin(), State.Requests.end(),
                     [&](const auto &Entry) {
                       return Entry.second.Blocked && Entry.first != Request &&
                              Entry.second.Crashes.contains(ServerRun);
                     });
}

/// Whether a request was at a crash, which may have been seen at another time.
bool wasAtCrash(const CrashingRequests &State, const CrashedRequest &Record,
                const ServerCrash &Crash) {
  return std::any_of(Record.Crashes.begin(), Record.Crashes.end(),
                     [&](const auto &Entry) {
                       const RequestCrash &Each = Entry.second;
                       return isSameCrash({Each.Server, Each.At}, Crash,
                                          State.Settings.SameCrashTime);
                     });
}

/// Number of crashes that came one after the other. The crash that ends first
/// is chosen each time, which gives the longest sequence.
std::size_t countSuccessive(std::vector<RequestCrash> Crashes) {
  std::sort(Crashes.begin(), Crashes.end(),
            [](const RequestCrash &Left, const RequestCrash &Right) {
              return Left.At < Right.At;
            });
  std::size_t Count = 0;
  TimePoint LastAt{};
  for (const RequestCrash &Each : Crashes) {
    if (Count > 0 && Each.SentAt < LastAt)
      continue;
    ++Count;
    LastAt = Each.At;
  }
  return Count;
}

/// Blocks a request if the evidence suffices.
/// @return whether it was not blocked before
bool updateBlock(const CrashingRequests &State, const Digest &Request,
                 CrashedRequest &Record) {
  if (Record.Blocked)
    return false;
  std::vector<RequestCrash> Counted;
  for (const auto &[ServerRun, Crash] : Record.Crashes)
    if (!isExplained(State, Request, ServerRun))
      Counted.push_back(Crash);
  // Requests that were at the same crashes do not excuse each other.
  if (Counted.empty())
    for (const auto &[ServerRun, Crash] : Record.Crashes)
      Counted.push_back(Crash);
  Record.Blocked =
      Counted.size() >= State.Settings.CrashesToBlock &&
      countSuccessive(Counted) >= State.Settings.SuccessiveCrashesToBlock;
  return Record.Blocked;
}

/// Returns the record of a request; makes room for a new one.
CrashedRequest &recordOf(CrashingRequests &State, const Digest &Request) {
  const bool IsNew = !State.Requests.contains(Request);
  if (IsNew && State.Requests.size() >= State.Settings.MaxRequests)
    State.Requests.erase(std::min_element(
        State.Requests.begin(), State.Requests.end(),
        [](const auto &Left, const auto &Right) {
          const auto Weight = [](const CrashedRequest &Each) {
            return std::tuple(Each.Blocked, Each.Crashes.size(),
                              Each.ChangedAt);
          };
          return Weight(Left.second) < Weight(Right.second);
        }));
  return State.Requests[Request];
}

void markChanged(CrashedRequest &Record, TimePoint Now) {
  Record.ChangedAt = Now;
  Record.Unreported = true;
}

/// Adds a crash unless it is known or does not count any more. Of too many,
/// those with the lowest names stay, so that all processes keep the same.
bool addCrash(const CrashingRequests &State, CrashedRequest &Record,
              const std::string &ServerRun, RequestCrash Crash) {
  if (Record.ClearedCrashes.contains(ServerRun) ||
      !Record.Crashes.emplace(ServerRun, std::move(Crash)).second)
    return false;
  if (Record.Crashes.size() > State.Settings.MaxCrashes)
    Record.Crashes.erase(std::prev(Record.Crashes.end()));
  return Record.Crashes.contains(ServerRun);
}

/// Lets a crash count no longer.
/// @return whether it counted
bool clearCrash(const CrashingRequests &State, CrashedRequest &Record,
                const std::string &ServerRun) {
  if (Record.ClearedCrashes.size() >= State.Settings.MaxClearedCrashes)
    Record.ClearedCrashes.erase(Record.ClearedCrashes.begin());
  Record.ClearedCrashes.insert(ServerRun);
  return Record.Crashes.erase(ServerRun) > 0;
}

ReportedRequest reportOn(const Digest &Request, const CrashedRequest &Record,
                         TimePoint Now) {
  const auto Age = [Now](TimePoint At) {
    return std::chrono::duration_cast<milliseconds>(Now - At);
  };
  ReportedRequest Report;
  Report.Request = Request;
  Report.Blocked = Record.Blocked;
  Report.Trials = Record.Trials;
  for (const auto &[ServerRun, Crash] : Record.Crashes)
    Report.Crashes.push_back(
        {ServerRun, Crash.Server, Age(Crash.SentAt), Age(Crash.At)});
  Report.ClearedCrashes.assign(Record.ClearedCrashes.begin(),
                               Record.ClearedCrashes.end());
  return Report;
}

} // namespace

std::string serverRunName(const std::string &Server, std::int64_t StartedAtMs) {
  return Server + "@" + std::to_string(StartedAtMs);
}

bool recordRequestCrash(CrashingRequests &State, const Digest &Request,
                        const std::string &ServerRun,
                        const RequestCrash &Crash) {
  CrashedRequest &Record = recordOf(State, Request);
  // The start of a server may not be known yet when it crashes again. What was
  // sent after a crash did not go to the run that ended.
  std::string Name = ServerRun;
  for (auto Found = Record.Crashes.find(Name);
       Found != Record.Crashes.end() && Crash.SentAt >= Found->second.At;
       Found = Record.Crashes.find(Name))
    Name += "+";
  if (!addCrash(State, Record, Name, Crash))
    return false;
  markChanged(Record, Crash.At);
  return updateBlock(State, Request, Record);
}

bool recordRequestCompleted(CrashingRequests &State, const Digest &Request,
                            TimePoint Now) {
  const auto Found = State.Requests.find(Request);
  if (Found == State.Requests.end() || Found->second.Crashes.empty())
    return false;
  CrashedRequest &Record = Found->second;
  while (!Record.Crashes.empty()) {
    const std::string ServerRun = Record.Crashes.begin()->first;
    clearCrash(State, Record, ServerRun);
  }
  Record.Blocked = false;
  markChanged(Record, Now);
  return true;
}

bool mayRepeatAfterCrash(const CrashingRequests &State, const Digest &Request) {
  const auto Found = State.Requests.find(Request);
  return Found == State.Requests.end() || Found->second.Crashes.size() <= 1;
}

bool isRequestBlocked(const CrashingRequests &State, const Digest &Request) {
  const auto Found = State.Requests.find(Request);
  return Found != State.Requests.end() && Found->second.Blocked;
}

bool mayTryBlocked(const CrashingRequests &State, const Digest &Request,
                   TimePoint Now) {
  const auto Found = State.Requests.find(Request);
  if (Found == State.Requests.end() || !Found->second.Blocked)
    return false;
  const CrashedRequest &Record = Found->second;
  if (Record.Trials >= State.Settings.TrialDelays.size())
    return false;
  TimePoint LastAt = Record.TriedAt;
  for (const auto &[ServerRun, Crash] : Record.Crashes)
    LastAt = std::max(LastAt, Crash.At);
  return Now - LastAt >= State.Settings.TrialDelays[Record.Trials];
}

void recordTrial(CrashingRequests &State, const Digest &Request,
                 TimePoint Now) {
  CrashedRequest &Record = recordOf(State, Request);
  ++Record.Trials;
  Record.TriedAt = Now;
  markChanged(Record, Now);
}

bool areExplainedByRequests(const CrashingRequests &State,
                            const std::vector<ServerCrash> &Crashes) {
  std::vector<ServerCrash> Rest;
  for (const ServerCrash &Crash : Crashes)
    if (std::none_of(State.Requests.begin(), State.Requests.end(),
                     [&](const auto &Entry) {
                       return Entry.second.Blocked &&
                              wasAtCrash(State, Entry.second, Crash);
                     }))
      Rest.push_back(Crash);
  return Rest.empty() ||
         std::any_of(State.Requests.begin(), State.Requests.end(),
                     [&](const auto &Entry) {
                       return std::all_of(Rest.begin(), Rest.end(),
                                          [&](const ServerCrash &Crash) {
                                            return wasAtCrash(
                                                State, Entry.second, Crash);
                                          });
                     });
}

bool mergeReportedRequest(CrashingRequests &State,
                          const ReportedRequest &Reported, TimePoint Now) {
  if (Reported.Crashes.empty() && !State.Requests.contains(Reported.Request))
    return false;
  CrashedRequest &Record = recordOf(State, Reported.Request);
  bool Changed = false;
  bool Cleared = false;
  for (const std::string &ServerRun : Reported.ClearedCrashes)
    Cleared = clearCrash(State, Record, ServerRun) || Cleared;
  if (Cleared)
    Record.Blocked = false;
  bool SenderMissedCompletion = false;
  for (const ReportedRequestCrash &Each : Reported.Crashes) {
    SenderMissedCompletion = SenderMissedCompletion ||
                             Record.ClearedCrashes.contains(Each.ServerRun);
    Changed = addCrash(State, Record, Each.ServerRun,
                       {Each.Server, Now - Each.SentAge, Now - Each.Age}) ||
              Changed;
  }
  if (Reported.Trials > Record.Trials) {
    Record.Trials = Reported.Trials;
    Record.TriedAt = Now;
  }
  if (Changed || Cleared)
    Record.ChangedAt = Now;
  if (updateBlock(State, Reported.Request, Record))
    return true;
  if (Reported.Blocked && !SenderMissedCompletion && !Record.Crashes.empty())
    return !std::exchange(Record.Blocked, true);
  return false;
}

std::vector<ReportedRequest> takeChangedRequests(CrashingRequests &State,
                                                 TimePoint Now) {
  std::vector<ReportedRequest> Changed;
  for (auto &[Request, Record] : State.Requests)
    if (std::exchange(Record.Unreported, false))
      Changed.push_back(reportOn(Request, Record, Now));
  return Changed;
}

std::vector<ReportedRequest> allRequests(const CrashingRequests &State,
                                         TimePoint Now) {
  std::vector<ReportedRequest> All;
  for (const auto &[Request, Record] : State.Requests)
    All.push_back(reportOn(Request, Record, Now));
  return All;
}

void forgetCompletedRequests(CrashingRequests &State, TimePoint Now) {
  std::erase_if(State.Requests, [&](const auto &Entry) {
    return Entry.second.Crashes.empty() &&
           Now - Entry.second.ChangedAt > State.Settings.CompletedTime;
  });
}

std::uint64_t contentHash(const CrashingRequests &State) {
  detail::TextHash Hash;
  bool IsEmpty = true;
  for (const auto &[Request, Record] : State.Requests) {
    if (Record.Crashes.empty())
      continue;
    IsEmpty = false;
    Hash.add(Request);
    Hash.add(Record.Blocked ? "\n!" : "\n");
    Hash.add(std::to_string(Record.Trials));
    for (const auto &[ServerRun, Crash] : Record.Crashes) {
      Hash.add(ServerRun);
      Hash.add("\n");
    }
  }
  return IsEmpty ? 0 : Hash.value();
}

} // namespace marigoldyard
