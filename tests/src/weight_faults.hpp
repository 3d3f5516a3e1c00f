#pragma once

#include "tests/src/weight_network.hpp"

namespace marigoldyard::test {

/// Faults of a weight transfer as listed on the design page.
enum class WeightFault {
  CorruptPeer,
  CorruptStore,
  LyingPeer,
  StalledPeer,
  OwnerDead,
  ImporterDead,
  StoreRefusing,
  StoreStalled,
  VersionChanged,
  VersionChangedBack,
  LateJoin,
  HalfRegionLost,
  Partition,
  Frozen,
};

struct NamedFault {
  WeightFault Fault;
  const char *Name;
};

inline constexpr NamedFault AllWeightFaults[] = {
    {WeightFault::CorruptPeer, "corrupt peer"},
    {WeightFault::CorruptStore, "corrupt store"},
    {WeightFault::LyingPeer, "lying peer"},
    {WeightFault::StalledPeer, "stalled link"},
    {WeightFault::OwnerDead, "owner dead"},
    {WeightFault::ImporterDead, "importer dead"},
    {WeightFault::StoreRefusing, "store refuses"},
    {WeightFault::StoreStalled, "store stalls"},
    {WeightFault::VersionChanged, "version changed"},
    {WeightFault::VersionChangedBack, "changed and back"},
    {WeightFault::LateJoin, "VM joins late"},
    {WeightFault::HalfRegionLost, "half region lost"},
    {WeightFault::Partition, "partition, heal"},
    {WeightFault::Frozen, "freeze, resume"},
};

inline constexpr Duration FaultLength = std::chrono::seconds(30);

/// First live agent of the last region that has more than one agent, so that
/// its loss leaves others; the importer of a link when there are several
/// regions.
inline WeightNetwork::Node &importerOf(WeightNetwork &Net) {
  for (auto &One : Net.Nodes)
    for (const auto &Region : One->State.Regions)
      if (!One->Dead && !Region.ImportedChunks.Words.empty())
        return *One;
  return *Net.Nodes.back();
}

inline std::size_t indexOf(const WeightNetwork &Net,
                           const WeightNetwork::Node &Wanted) {
  std::size_t Index = 0;
  while (Net.Nodes[Index].get() != &Wanted)
    ++Index;
  return Index;
}

inline void killHalf(WeightNetwork &Net, std::size_t Region) {
  std::vector<std::size_t> Live;
  for (std::size_t Index = 0; Index < Net.Nodes.size(); ++Index)
    if (Net.Nodes[Index]->Region == Region && !Net.Nodes[Index]->Dead)
      Live.push_back(Index);
  for (std::size_t Place = 0; Place < Live.size() / 2; ++Place)
    Net.kill(Live[Place]);
}

inline void cutRegion(WeightNetwork &Net, std::size_t Region, bool Value) {
  for (std::size_t Other = 0; Other < Net.Options.Regions; ++Other)
    if (Other != Region)
      Net.Cut[Region][Other] = Net.Cut[Other][Region] = Value;
}

/// Starts a fault; those with an end last FaultLength.
inline void beginFault(WeightNetwork &Net, WeightFault Fault) {
  WeightNetwork::Node &Peer = *Net.Nodes[0];
  const auto Later = [&](auto Run) { Net.at(Net.Now + FaultLength, Run); };
  switch (Fault) {
  case WeightFault::CorruptPeer:
    Peer.CorruptsSends = true;
    return;
  case WeightFault::CorruptStore:
    Net.StoreCorrupts = 5;
    return;
  case WeightFault::LyingPeer:
    importerOf(Net).Lies = true;
    return;
  case WeightFault::StalledPeer:
    Peer.Stalled = true;
    return Later([&Peer] { Peer.Stalled = false; });
  case WeightFault::OwnerDead:
    return Net.kill(Peer.Dead ? Net.Options.Regions : 0);
  case WeightFault::ImporterDead:
    return Net.kill(indexOf(Net, importerOf(Net)));
  case WeightFault::StoreRefusing:
    Net.StoreRefuses = true;
    return Later([&Net] { Net.StoreRefuses = false; });
  case WeightFault::StoreStalled:
    Net.StoreStalls = true;
    return Later([&Net] { Net.StoreStalls = false; });
  case WeightFault::VersionChanged:
    return Net.publish(Net.makeVersion("two", Net.Options.Chunks / 2));
  case WeightFault::VersionChangedBack:
    Net.publish(Net.makeVersion("two", Net.Options.Chunks / 2));
    return Later([&Net] {
      Net.publish(Net.makeVersion("one", Net.Options.Chunks / 2));
    });
  case WeightFault::LateJoin:
    return Net.join();
  case WeightFault::HalfRegionLost:
    return killHalf(Net, Net.Options.Regions - 1);
  case WeightFault::Partition:
    cutRegion(Net, 0, true);
    return Later([&Net] { cutRegion(Net, 0, false); });
  case WeightFault::Frozen:
    Peer.FrozenUntil = Net.Now + FaultLength;
    return;
  }
}

struct FaultResult {
  bool Complete = false;
  double Seconds = 0;
  double OriginCopies = 0;
};

/// Runs a transfer of a first version with a fault at a share of the physical
/// limit, and the same fault again a fault length later if Twice.
inline FaultResult runWithFault(const NetworkOptions &Options,
                                WeightFault Fault, double Share, bool Twice) {
  WeightNetwork Net(Options);
  Net.publishMembers();
  Net.publish(Net.makeVersion("one", Options.Chunks / 2));
  const TimePoint Start = Net.Now;
  const TimePoint First = Start + std::chrono::milliseconds(static_cast<long>(
                                      Net.physicalLimit() * Share * 1000));
  const TimePoint Second = First + 2 * FaultLength;
  Net.at(First, [&] { beginFault(Net, Fault); });
  if (Twice)
    Net.at(Second, [&] { beginFault(Net, Fault); });
  Net.HoldUntil = (Twice ? Second : First) + 2 * FaultLength;
  FaultResult Result;
  Result.Complete = Net.run(Start + std::chrono::hours(1));
  TimePoint Last = Start;
  for (const auto &One : Net.Nodes)
    if (!One->Dead)
      Last = std::max(Last, One->CompleteAt);
  Result.Seconds = std::chrono::duration<double>(Last - Start).count();
  Result.OriginCopies = Net.originCopies();
  return Result;
}

} // namespace marigoldyard::test
