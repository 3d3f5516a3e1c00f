#include "marigoldyard/coordination/concurrent_attempts.hpp"

#include <algorithm>

namespace marigoldyard {

void addAttempt(ConcurrentAttempts &Attempts, std::uint32_t Number) {
  Attempts.Candidates.push_back(Number);
}

void removeAttempt(ConcurrentAttempts &Attempts, std::uint32_t Number) {
  std::erase(Attempts.Candidates, Number);
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
  return true;
}

EventUse useEvents(ConcurrentAttempts &Attempts, std::uint32_t Number,
                   std::uint32_t EventReads) {
  if (!isCandidate(Attempts, Number))
    return EventUse::Discard;
  if (Attempts.Candidates.size() > 1 && EventReads < EventReadsToBegin)
    return EventUse::Hold;
  chooseAttempt(Attempts, Number);
  return EventUse::Forward;
}

} // namespace marigoldyard
