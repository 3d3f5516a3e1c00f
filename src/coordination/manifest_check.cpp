#include "marigoldyard/coordination/manifest_check.hpp"

#include <algorithm>

namespace marigoldyard {

bool recordReading(ManifestCheck &Check, const VersionDescriptor &Read) {
  ++Check.Reads;
  if (Check.LastRead == Read)
    return true;
  Check.LastRead = Read;
  return false;
}

bool differsAsWhole(const VersionDescriptor &Current,
                    const VersionDescriptor &Other) {
  if (Current.Chunks.size() != Other.Chunks.size())
    return true;
  return !Current.Chunks.empty() &&
         Current.Chunks.front().Size != Other.Chunks.front().Size;
}

bool isProvenByPeer(const VersionDescriptor &Current,
                    const VersionDescriptor &Offered,
                    const std::vector<bool> &PeerHeld) {
  return Offered.Chunks.size() != Current.Chunks.size() &&
         PeerHeld.size() == Offered.Chunks.size() &&
         std::find(PeerHeld.begin(), PeerHeld.end(), false) == PeerHeld.end();
}

bool adoptVerifiedSize(VersionDescriptor &Current, std::size_t Index,
                       std::uint64_t Bytes) {
  if (Index + 1 >= Current.Chunks.size() || Current.Chunks[Index].Size == Bytes)
    return false;
  for (Chunk &Each : Current.Chunks)
    Each.Size = Bytes;
  return true;
}

bool recordMismatch(ManifestCheck &Check, std::size_t Index,
                    const Digest &Received) {
  const auto [Found, New] = Check.Mismatches.try_emplace(Index, Received);
  if (New)
    return false;
  const bool Repeated = Found->second == Received;
  Found->second = Received;
  return Repeated;
}

bool adoptReadDigests(ManifestCheck &Check, VersionDescriptor &Current,
                      const VersionDescriptor &Read) {
  if (Read.Chunks.size() != Current.Chunks.size())
    return false;
  bool Changed = false;
  std::erase_if(Check.Mismatches, [&](const auto &Each) {
    const auto &[Index, Received] = Each;
    if (Index >= Current.Chunks.size() || Read.Chunks[Index].Id != Received)
      return false;
    // A peer may have corrected the digest meanwhile.
    Changed |= Current.Chunks[Index].Id != Received;
    Current.Chunks[Index].Id = Received;
    return true;
  });
  return Changed;
}

bool adoptHeldDigests(VersionDescriptor &Current, const std::vector<bool> &Held,
                      const VersionDescriptor &Offered,
                      const std::vector<bool> &PeerHeld) {
  const std::size_t Count = Current.Chunks.size();
  if (Held.size() != Count || Offered.Chunks.size() != Count ||
      PeerHeld.size() != Count)
    return false;
  bool Changed = false;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    if (Held[Index] || !PeerHeld[Index] ||
        Current.Chunks[Index].Id == Offered.Chunks[Index].Id)
      continue;
    Current.Chunks[Index].Id = Offered.Chunks[Index].Id;
    Changed = true;
  }
  return Changed;
}

bool isManifestComparisonDue(ManifestCheck &Check, std::size_t Held,
                             TimePoint Now) {
  const bool Progress =
      Held != Check.Held || Check.NextCompareAt == TimePoint::max();
  if (Progress) {
    Check.Held = Held;
    Check.CompareDelay = Check.Settings.CompareInterval;
    Check.NextCompareAt = Now + Check.CompareDelay;
    return false;
  }
  if (Now < Check.NextCompareAt)
    return false;
  Check.CompareDelay =
      std::min(2 * Check.CompareDelay, Check.Settings.MaxCompareInterval);
  Check.NextCompareAt = Now + Check.CompareDelay;
  return true;
}

} // namespace marigoldyard
