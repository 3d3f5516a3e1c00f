#include "marigoldyard/coordination/crash_suspects.hpp"

#include <algorithm>

namespace marigoldyard {

namespace {

/// Crashes kept for each part.
constexpr std::size_t MaxCrashesPerPart = 16;
/// Largest exponent of the block time, which MaxBlockTime limits anyway.
constexpr std::uint32_t MaxDoublings = 8;

bool isBlocked(const SuspectPart &Part, TimePoint Now) {
  return Part.BlockedUntil && Now < *Part.BlockedUntil;
}

bool hasBegun(const CrashSuspects &State, const std::string &Part) {
  return State.BegunParts.contains(Part) ||
         State.OlderBegunParts.contains(Part);
}

/// Whether a part was at a crash, reported by this or another process.
bool wasAtCrash(const CrashSuspects &State, const SuspectPart &Part,
                const std::string &Server, TimePoint At) {
  return std::any_of(
      Part.Crashes.begin(), Part.Crashes.end(), [&](const ServerCrash &Each) {
        return isSameCrash(Each, {Server, At}, State.Settings.SameCrashTime);
      });
}

/// Counts crashes, where servers that crash together count once. Crashes before
/// the end of the last block led to it or were sent before it.
std::size_t countCrashes(const CrashSuspects &State, const SuspectPart &Part) {
  std::size_t Count = 0;
  TimePoint Start{};
  for (const ServerCrash &Each : Part.Crashes) {
    if (Part.BlockedUntil && Each.At < *Part.BlockedUntil)
      continue;
    if (Count == 0 || Each.At - Start >= State.Settings.CommonCauseTime) {
      ++Count;
      Start = Each.At;
    }
  }
  return Count;
}

std::size_t crashesToBlock(const CrashSuspects &State,
                           const SuspectPart &Part) {
  if (Part.TimesBlocked > 0)
    return 1; // the first crash after the end of a block
  return Part.BegunBefore ? State.Settings.CrashesToBlockKnown
                          : State.Settings.CrashesToBlock;
}

/// Whether some blocked part explains a crash.
bool isExplained(const CrashSuspects &State, const std::string &Server,
                 TimePoint At) {
  return std::any_of(State.Suspects.begin(), State.Suspects.end(),
                     [&](const auto &Each) {
                       return isBlocked(Each.second, At) &&
                              wasAtCrash(State, Each.second, Server, At);
                     });
}

void forgetOldCrashes(CrashSuspects &State, TimePoint Now) {
  for (auto &[Id, Part] : State.Suspects)
    if (!isBlocked(Part, Now))
      std::erase_if(Part.Crashes, [&](const ServerCrash &Each) {
        return Now - Each.At > State.Settings.CrashMemory;
      });
  std::erase_if(State.Suspects, [&](const auto &Entry) {
    const SuspectPart &Part = Entry.second;
    const bool BlockedRecently =
        Part.BlockedUntil &&
        Now - *Part.BlockedUntil <= State.Settings.MaxBlockTime;
    return Part.Crashes.empty() && !BlockedRecently;
  });
}

/// Removes the suspect with the fewest crashes when there are too many.
void makeRoom(CrashSuspects &State, TimePoint Now) {
  if (State.Suspects.size() < State.Settings.MaxSuspects)
    return;
  const auto Weakest = std::min_element(
      State.Suspects.begin(), State.Suspects.end(),
      [&](const auto &A, const auto &B) {
        const auto Strength = [&](const SuspectPart &Part) {
          return Part.Crashes.size() +
                 (isBlocked(Part, Now) ? MaxCrashesPerPart : 0);
        };
        return Strength(A.second) < Strength(B.second);
      });
  State.Suspects.erase(Weakest);
}

void addCrash(CrashSuspects &State, const std::string &Part,
              const ServerCrash &Crash) {
  if (!State.Suspects.contains(Part)) {
    makeRoom(State, Crash.At);
    State.Suspects[Part].BegunBefore = hasBegun(State, Part);
  }
  SuspectPart &Suspect = State.Suspects[Part];
  if (wasAtCrash(State, Suspect, Crash.Server, Crash.At))
    return;
  if (Suspect.Crashes.size() >= MaxCrashesPerPart)
    Suspect.Crashes.erase(Suspect.Crashes.begin());
  Suspect.Crashes.push_back(Crash);
}

/// Removes the crashes that a blocked part explains from all other parts.
void removeExplained(CrashSuspects &State, const SuspectPart &Blocked,
                     TimePoint Now) {
  for (auto &[Id, Part] : State.Suspects)
    if (&Part != &Blocked && !isBlocked(Part, Now))
      std::erase_if(Part.Crashes, [&](const ServerCrash &Each) {
        return wasAtCrash(State, Blocked, Each.Server, Each.At);
      });
}

void block(CrashSuspects &State, SuspectPart &Part, TimePoint Now) {
  const Duration Wanted =
      State.Settings.BlockTime *
      (std::int64_t{1} << std::min(Part.TimesBlocked, MaxDoublings));
  Part.BlockedUntil = Now + std::min(State.Settings.MaxBlockTime, Wanted);
  ++Part.TimesBlocked;
}

struct LeadingSuspects {
  std::size_t Crashes = 0;
  std::vector<std::string> Parts; ///< that were at this many crashes
};

/// Returns the parts with the most crashes among those with enough of them.
/// Parts with which requests began before come last.
LeadingSuspects leadingSuspects(
    const CrashSuspects &State, TimePoint Now,
    const std::function<bool(const std::vector<ServerCrash> &)> &IsExplained) {
  LeadingSuspects Result;
  bool AnyNew = false;
  for (const auto &[Id, Part] : State.Suspects) {
    const std::size_t Count = countCrashes(State, Part);
    if (isBlocked(Part, Now) || Count == 0 ||
        Count < crashesToBlock(State, Part) || Count < Result.Crashes)
      continue;
    if (IsExplained && Part.TimesBlocked == 0 && IsExplained(Part.Crashes))
      continue;
    if (Count > Result.Crashes) {
      Result = {Count, {}};
      AnyNew = false;
    }
    Result.Parts.push_back(Id);
    AnyNew = AnyNew || !Part.BegunBefore;
  }
  if (AnyNew)
    std::erase_if(Result.Parts, [&](const std::string &Id) {
      return State.Suspects.at(Id).BegunBefore;
    });
  return Result;
}

/// Whether a part was at a crash together with another one of a list.
bool sharesCrash(const CrashSuspects &State, const std::string &Id,
                 const std::vector<std::string> &Others) {
  const SuspectPart &Part = State.Suspects.at(Id);
  return std::any_of(
      Others.begin(), Others.end(), [&](const std::string &Other) {
        return Other != Id &&
               std::any_of(Part.Crashes.begin(), Part.Crashes.end(),
                           [&](const ServerCrash &Each) {
                             return wasAtCrash(State, State.Suspects.at(Other),
                                               Each.Server, Each.At);
                           });
      });
}

/// Whether requests with a part have had time to begin since the last crash.
bool hadTimeToBegin(const CrashSuspects &State, const SuspectPart &Part,
                    TimePoint Now) {
  return Part.TimesBlocked > 0 ||
         Now - Part.Crashes.back().At >= State.Settings.ClearanceTime;
}

} // namespace

bool isSameCrash(const ServerCrash &Left, const ServerCrash &Right,
                 Duration SameCrashTime) {
  const Duration Apart =
      Left.At > Right.At ? Left.At - Right.At : Right.At - Left.At;
  return Left.Server == Right.Server && Apart < SameCrashTime;
}

std::vector<std::string>
recordRequestBegun(CrashSuspects &State,
                   const std::vector<std::string> &Parts) {
  std::vector<std::string> Cleared;
  for (const std::string &Part : Parts) {
    if (State.BegunParts.size() >= State.Settings.MaxBegunParts) {
      State.OlderBegunParts = std::move(State.BegunParts);
      State.BegunParts.clear();
    }
    State.BegunParts.insert(Part);
    if (clearPart(State, Part))
      Cleared.push_back(Part);
  }
  return Cleared;
}

bool clearPart(CrashSuspects &State, const std::string &Part) {
  return State.Suspects.erase(Part) > 0;
}

void recordServerCrash(CrashSuspects &State, const std::string &Server,
                       const std::vector<std::string> &Parts, TimePoint Now) {
  forgetOldCrashes(State, Now);
  bool HasBlocked = false;
  for (const std::string &Part : Parts) {
    const auto Found = State.Suspects.find(Part);
    if (Found != State.Suspects.end() && isBlocked(Found->second, Now)) {
      addCrash(State, Part, {Server, Now});
      removeExplained(State, State.Suspects.at(Part), Now);
      HasBlocked = true;
    }
  }
  if (HasBlocked || isExplained(State, Server, Now))
    return;
  for (const std::string &Part : Parts)
    addCrash(State, Part, {Server, Now});
}

std::vector<std::string> blockSuspects(
    CrashSuspects &State, TimePoint Now,
    const std::function<bool(const std::vector<ServerCrash> &)> &IsExplained) {
  std::vector<std::string> Blocked;
  for (;;) {
    const LeadingSuspects Leading = leadingSuspects(State, Now, IsExplained);
    std::vector<std::string> Ready;
    for (const std::string &Id : Leading.Parts)
      if (Leading.Crashes >= State.Settings.CrashesToBlockTied ||
          (!sharesCrash(State, Id, Leading.Parts) &&
           hadTimeToBegin(State, State.Suspects.at(Id), Now)))
        Ready.push_back(Id);
    if (Ready.empty())
      return Blocked;
    for (const std::string &Id : Ready)
      block(State, State.Suspects.at(Id), Now);
    for (const std::string &Id : Ready) {
      removeExplained(State, State.Suspects.at(Id), Now);
      Blocked.push_back(Id);
    }
  }
}

bool blockPart(CrashSuspects &State, const std::string &Part, TimePoint Now) {
  if (!State.Suspects.contains(Part))
    makeRoom(State, Now);
  SuspectPart &Suspect = State.Suspects[Part];
  if (isBlocked(Suspect, Now))
    return false;
  block(State, Suspect, Now);
  removeExplained(State, Suspect, Now);
  return true;
}

std::optional<BlockedPart>
findBlockedPart(const CrashSuspects &State,
                const std::vector<std::string> &Parts, TimePoint Now) {
  if (State.Suspects.empty())
    return std::nullopt;
  for (const std::string &Part : Parts) {
    const auto Found = State.Suspects.find(Part);
    if (Found != State.Suspects.end() && isBlocked(Found->second, Now))
      return BlockedPart{Part, *Found->second.BlockedUntil - Now,
                         Found->second.Crashes.size()};
  }
  return std::nullopt;
}

bool isSuspect(const CrashSuspects &State,
               const std::vector<std::string> &Parts) {
  return std::any_of(Parts.begin(), Parts.end(), [&](const std::string &Part) {
    return State.Suspects.contains(Part);
  });
}

bool mayRetryAfterCrash(const CrashSuspects &State,
                        const std::vector<std::string> &Parts) {
  return std::none_of(Parts.begin(), Parts.end(), [&](const std::string &Part) {
    const auto Found = State.Suspects.find(Part);
    return Found != State.Suspects.end() &&
           countCrashes(State, Found->second) >=
               crashesToBlock(State, Found->second);
  });
}

std::vector<std::string> blockedParts(const CrashSuspects &State,
                                      TimePoint Now) {
  std::vector<std::string> Result;
  for (const auto &[Id, Part] : State.Suspects)
    if (isBlocked(Part, Now))
      Result.push_back(Id);
  return Result;
}

} // namespace marigoldyard
