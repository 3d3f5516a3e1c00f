#include "marigoldyard/coordination/concurrent_attempts.hpp"

#include <algorithm>

namespace marigoldyard {

void addAttempt(ConcurrentAttempts &Attempts, std::uint32_t Number) {
  Attempts.Candidates.push_back(Number);
}

void beginMove(ConcurrentAttempts &Attempts, TimePoint Until) {
  Attempts.Move = StreamMove{Attempts.Candidates.front(), Until};
}

void removeAttempt(ConcurrentAttempts &Attempts, std::uint32_t Number) {
  if (std::erase(Attempts.Candidates, Number) > 0)
    Attempts.Move.reset();
}

bool isCandidate(const ConcurrentAttempts &Attempts, std::uint32_t Number) {
  const auto &Candidates = Attempts.Candidates;
  return std::find(Candidates.begin(), Candidates.end(), Number) !=
         Candidates.end();
}

bool mayAddAttempt(const ConcurrentAttempts &Attempts) {
  return Attempts.Candidates.size() < MaxConcurrentAttempts;
}

bool chooseAttempt(ConcurrentAttempts &Attempts, std::uint32_t Number) {
  if (!isCandidate(Attempts, Number))
    return false;
  Attempts.Candidates = {Number};
  Attempts.Move.reset();
  return true;
}

EventUse useEvents(ConcurrentAttempts &Attempts, std::uint32_t Number,
                   std::uint32_t EventReads, TimePoint Now) {
  if (!isCandidate(Attempts, Number))
    return EventUse::Discard;
  const bool Leaves = Attempts.Move && Attempts.Move->From == Number;
  const bool MustWait =
      Leaves ? Now < Attempts.Move->Until : EventReads < EventReadsToBegin;
  if (Attempts.Candidates.size() > 1 && MustWait)
    return EventUse::Hold;
  chooseAttempt(Attempts, Number);
  return EventUse::Forward;
}

} // namespace marigoldyard
