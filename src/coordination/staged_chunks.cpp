#include "marigoldyard/coordination/staged_chunks.hpp"

#include <algorithm>

namespace marigoldyard {

namespace {

void forgetRead(StagedChunks &State, std::size_t Index) {
  const auto Known = State.SoundAt.find(Index);
  if (Known == State.SoundAt.end())
    return;
  State.ByReadTime.erase({Known->second, Index});
  State.SoundAt.erase(Known);
}

std::optional<std::size_t> takeFirst(std::set<std::size_t> &Source) {
  if (Source.empty())
    return std::nullopt;
  const std::size_t First = *Source.begin();
  Source.erase(Source.begin());
  return First;
}

/// Chunk with the oldest read before the given time and no call in progress.
std::optional<std::size_t> findOldRead(const StagedChunks &State,
                                       TimePoint RereadBefore) {
  for (const auto &[SentAt, Index] : State.ByReadTime) {
    if (SentAt >= RereadBefore)
      return std::nullopt;
    if (!State.Pending.contains(Index))
      return Index;
  }
  return std::nullopt;
}

} // namespace

StagedChunks makeStagedChunks(std::size_t Count,
                              StagedChunksSettings Settings) {
  return makeStagedRange({0, Count}, Settings);
}

StagedChunks makeStagedRange(const ChunkRange &Range,
                             StagedChunksSettings Settings) {
  StagedChunks State;
  State.Settings = Settings;
  State.Count = Range.End - Range.First;
  for (std::size_t Index = Range.First; Index < Range.End; ++Index)
    State.ToWrite.insert(State.ToWrite.end(), Index);
  return State;
}

std::optional<StagingCall>
nextStagingCall(StagedChunks &State, TimePoint RereadBefore, TimePoint Now) {
  if (Now < State.RetryAt)
    return std::nullopt;
  if (!State.Pending.empty() &&
      (State.Pending.size() >= State.Settings.MaxCalls ||
       Now - State.LastCallAt < State.Settings.SlowCall))
    return std::nullopt;
  StagingCall Next;
  if (const auto Unwritten = takeFirst(State.ToWrite)) {
    Next = {StagingCallKind::Write, *Unwritten};
    forgetRead(State, *Unwritten);
  } else if (const auto Unread = takeFirst(State.ToRead)) {
    Next = {StagingCallKind::Read, *Unread};
  } else if (const auto Old = findOldRead(State, RereadBefore)) {
    Next = {StagingCallKind::Read, *Old};
  } else {
    return std::nullopt;
  }
  State.Pending.insert(Next.Index);
  State.LastCallAt = Now;
  return Next;
}

void recordWrite(StagedChunks &State, std::size_t Index, bool Accepted,
                 TimePoint Now) {
  State.Pending.erase(Index);
  if (!Accepted)
    State.RetryAt = Now + State.Settings.RetryPause;
  (Accepted ? State.ToRead : State.ToWrite).insert(Index);
}

void recordRead(StagedChunks &State, std::size_t Index, TimePoint SentAt,
                ReadResult Result, TimePoint Now) {
  State.Pending.erase(Index);
  if (Result == ReadResult::None) {
    State.RetryAt = Now + State.Settings.RetryPause;
    if (!State.SoundAt.contains(Index))
      State.ToRead.insert(Index);
    return;
  }
  forgetRead(State, Index);
  if (Result == ReadResult::Corrupt) {
    State.ToWrite.insert(Index);
    return;
  }
  State.SoundAt.emplace(Index, SentAt);
  State.ByReadTime.emplace(SentAt, Index);
}

bool isStaged(const StagedChunks &State) {
  return State.SoundAt.size() == State.Count && State.ToWrite.empty();
}

TimePoint oldestRead(const StagedChunks &State) {
  return State.ByReadTime.empty() ? TimePoint::max()
                                  : State.ByReadTime.begin()->first;
}

TimePoint orderDeadline(const StagedChunks &State) {
  if (!isStaged(State))
    return TimePoint::min();
  const TimePoint Oldest = oldestRead(State);
  return Oldest == TimePoint::max() ? Oldest
                                    : Oldest + State.Settings.MaxReadAge;
}

} // namespace marigoldyard
