#pragma once

#include "marigoldyard/coordination/transfer.hpp"

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace marigoldyard::test {

/// Size and rates of a fake network. The defaults follow the design page: in
/// 300 s the store's link carries four copies and a VM's link two; a link
/// between regions has 20 Mbit/s, of which live requests use 30 %.
struct NetworkOptions {
  std::size_t Replicas = 3;
  std::size_t Regions = 1;
  std::size_t Chunks = 1000;
  std::uint64_t CopyBytes = 500'000'000;
  double AllowedSeconds = 300;
  double LinkBytesPerSecond = 2'500'000;
  bool DirectImport = false;
  std::uint64_t Seed = 1;
  /// Rates in bytes per second; 0 means the rate that AllowedSeconds implies.
  double VmBytesPerSecond = 0;
  double StoreBytesPerSecond = 0;
  /// Settings of the agents other than names and rates.
  TransferSettings Transfer;
  /// Interval at which an agent plans; zero means after each event.
  Duration PlanInterval{};
  /// Whether an agent has the descriptor as soon as it wants a version.
  bool KnowsDescriptors = false;
};

/// Transfers of all agents in virtual time, with one FIFO queue for each link.
class WeightNetwork {
public:
  struct Node {
    std::string Name;
    std::size_t Region = 0;
    TransferState State;
    Random Source;
    bool Listed = true;
    bool Dead = false;
    bool CorruptsSends = false;
    bool Lies = false;    ///< claims every chunk and refuses every request
    bool Stalled = false; ///< its chunks never arrive
    TimePoint FrozenUntil;
    TimePoint UpFree;
    TimePoint DownFree;
    TimePoint CompleteAt;
    TimePoint PlannedAt = TimePoint::max();
  };

  explicit WeightNetwork(const NetworkOptions &Given) : Options(Given) {
    VmRate = Options.VmBytesPerSecond > 0
                 ? Options.VmBytesPerSecond
                 : static_cast<double>(Options.CopyBytes) * 2 /
                       Options.AllowedSeconds;
    StoreRate = Options.StoreBytesPerSecond > 0 ? Options.StoreBytesPerSecond
                                                : VmRate * 2;
    LinkFree.assign(Options.Regions, std::vector<TimePoint>(Options.Regions));
    LinkBytes.assign(Options.Regions,
                     std::vector<std::uint64_t>(Options.Regions));
    Cut.assign(Options.Regions, std::vector<bool>(Options.Regions));
    for (std::size_t Index = 0; Index < Options.Replicas; ++Index)
      addNode();
  }

  void addNode() {
    auto Added = std::make_unique<Node>();
    Added->Name = "agent-" + std::to_string(Nodes.size());
    Added->Region = Nodes.size() % Options.Regions;
    Added->Source.seed(Options.Seed * 1000 + Nodes.size());
    TransferSettings Settings = Options.Transfer;
    Settings.Self = Added->Name;
    Settings.Region = regionName(Added->Region);
    Settings.StoreRegion = regionName(0);
    Settings.UploadBytesPerSecond = static_cast<std::uint64_t>(VmRate);
    Settings.RegionLinkBytesPerSecond =
        static_cast<std::uint64_t>(Options.LinkBytesPerSecond);
    Settings.DirectImport |= Options.DirectImport;
    Added->State = makeTransfer(Settings);
    Nodes.push_back(std::move(Added));
  }

  /// A version whose chunks from First on are new and the others are shared.
  VersionDescriptor makeVersion(const std::string &Name, std::size_t First) {
    VersionDescriptor Version{Name, "model", Name, {}};
    for (std::size_t Index = 0; Index < Options.Chunks; ++Index)
      Version.Chunks.push_back(
          {(Index < First ? "base" : Name) + "-chunk-" + std::to_string(Index),
           Options.CopyBytes / Options.Chunks});
    return Version;
  }

  /// Makes all agents want a version from now on.
  void publish(const VersionDescriptor &Version) {
    Published = Version;
    CompleteCount = 0;
    for (auto &One : Nodes) {
      One->CompleteAt = TimePoint{};
      wake(*One, [this](Node &Target) {
        setWantedVersions(Target.State, {Published.Id}, Now);
        if (Options.KnowsDescriptors)
          receive(Target, Published.Id, "", true);
      });
    }
  }

  /// Adds an agent to a running fleet.
  void join() {
    addNode();
    publishMembers();
    wake(*Nodes.back(), [this](Node &Target) {
      setWantedVersions(Target.State, {Published.Id}, Now);
    });
  }

  /// Replaces an agent by one that has just started, like a restarted process:
  /// it learns the wanted version first and the members a little later.
  void restart(std::size_t Index) {
    Node &Target = *Nodes[Index];
    Target.State = makeTransfer(TransferSettings(Target.State.Settings));
    Target.CompleteAt = TimePoint{};
    --CompleteCount;
    for (std::size_t Other = 0; Other < Nodes.size(); ++Other)
      if (Other != Index)
        wake(*Nodes[Other], [this, &Target](Node &Peer) {
          transferPeerLost(Peer.State, Target.Name, Now);
        });
    wake(Target, [this](Node &Fresh) {
      setWantedVersions(Fresh.State, {Published.Id}, Now);
    });
    at(Now + std::chrono::milliseconds(200), [this] { publishMembers(); });
  }

  /// Tells the member list to all agents that run.
  void publishMembers() {
    std::vector<TransferPeer> Peers;
    for (const auto &One : Nodes)
      if (One->Listed)
        Peers.push_back({One->Name, regionName(One->Region)});
    for (auto &One : Nodes)
      wake(*One, [this, Peers](Node &Target) {
        setTransferPeers(Target.State, Peers, Now);
      });
  }

  /// Ends an agent. The others see it after a second; the list lags further.
  void kill(std::size_t Index) {
    Nodes[Index]->Dead = true;
    at(Now + std::chrono::seconds(1), [this, Index] {
      for (auto &One : Nodes)
        wake(*One, [this, Index](Node &Target) {
          transferPeerLost(Target.State, Nodes[Index]->Name, Now);
        });
    });
    at(Now + std::chrono::seconds(60), [this, Index] {
      Nodes[Index]->Listed = false;
      publishMembers();
    });
  }

  void at(TimePoint Time, std::function<void()> Run) {
    Queue.push({Time, ++QueueSequence, std::move(Run)});
  }

  /// Runs until all live agents are complete and no action is pending.
  /// @return whether that was reached before the limit
  bool run(TimePoint Limit) {
    while (!Queue.empty() && Queue.top().Time <= Limit) {
      auto Next = std::move(const_cast<Entry &>(Queue.top()));
      Queue.pop();
      Now = Next.Time;
      Next.Run();
      if (HoldUntil <= Now && allComplete())
        return true;
    }
    return false;
  }

  bool allComplete() const {
    return std::all_of(Nodes.begin(), Nodes.end(), [&](const auto &One) {
      return One->Dead || One->CompleteAt != TimePoint{};
    });
  }

  /// Physical limit of a run without faults, in seconds.
  double physicalLimit() const {
    const auto Copy = static_cast<double>(Options.CopyBytes);
    const std::size_t Used = std::min(Options.Regions, Options.Replicas);
    double Limit = std::max(Copy / VmRate, Copy / StoreRate);
    if (Used > 1)
      Limit =
          std::max(Limit, Copy / static_cast<double>(Used - 1) / linkRate());
    return Limit;
  }

  double originCopies() const {
    return static_cast<double>(StoreBytes) /
           static_cast<double>(Options.CopyBytes);
  }

  double linkRate() const { return Options.LinkBytesPerSecond * 0.7; }

  static std::string regionName(std::size_t Index) {
    return "region-" + std::to_string(Index);
  }

  NetworkOptions Options;
  double VmRate = 0;
  double StoreRate = 0;
  TimePoint Now = TimePoint{} + std::chrono::hours(1);
  TimePoint HoldUntil; ///< a run does not end before, so that faults happen
  std::vector<std::unique_ptr<Node>> Nodes;
  VersionDescriptor Published;
  std::vector<std::vector<TimePoint>> LinkFree;
  std::vector<std::vector<std::uint64_t>> LinkBytes;
  std::vector<std::vector<bool>> Cut; ///< from region to region
  bool StoreRefuses = false;
  bool StoreStalls = false;
  std::size_t StoreCorrupts = 0; ///< number of next draws that are corrupt
  std::uint64_t StoreBytes = 0;
  std::uint64_t MapBytes = 0;
  std::uint64_t MapMessages = 0;
  std::uint64_t Plans = 0;
  std::size_t CompleteCount = 0;

private:
  struct Entry {
    TimePoint Time;
    std::uint64_t Sequence;
    std::function<void()> Run;
    bool operator<(const Entry &Other) const {
      return std::tie(Other.Time, Other.Sequence) < std::tie(Time, Sequence);
    }
  };

  static Duration seconds(double Value) {
    return Duration(static_cast<Duration::rep>(Value * 1e6));
  }

  Node *find(const std::string &Name) {
    return Nodes[static_cast<std::size_t>(std::stoul(Name.substr(6)))].get();
  }

  /// Runs an event on a node, now or when it resumes, and plans afterwards.
  template <typename Event> void wake(Node &Target, Event Run) {
    if (Target.Dead)
      return;
    if (Target.FrozenUntil > Now) {
      at(Target.FrozenUntil, [this, &Target, Run] { wake(Target, Run); });
      return;
    }
    Run(Target);
    schedule(Target, nextPlanTime());
  }

  TimePoint nextPlanTime() const {
    if (Options.PlanInterval == Duration::zero())
      return Now;
    const auto Late = Now.time_since_epoch() % Options.PlanInterval;
    return Late == Duration::zero() ? Now : Now + Options.PlanInterval - Late;
  }

  void schedule(Node &Target, TimePoint Time) {
    if (Target.PlannedAt <= Time)
      return;
    Target.PlannedAt = Time;
    at(Time, [this, &Target, Time] {
      if (Target.PlannedAt == Time)
        plan(Target);
    });
  }

  void plan(Node &Target) {
    Target.PlannedAt = TimePoint::max();
    if (Target.Dead)
      return;
    if (Target.FrozenUntil > Now)
      return schedule(Target, Target.FrozenUntil);
    ++Plans;
    for (TransferAction &Action :
         planTransfer(Target.State, Now, Target.Source))
      std::visit([&](auto &One) { carryOut(Target, One); }, Action);
    schedule(Target, std::max(nextTransferPlanTime(Target.State, Now),
                              Now + std::chrono::milliseconds(1)));
  }

  /// Delivers a message after the latency unless a partition drops it.
  template <typename Event>
  void message(Node &From, Node &To, TimePoint Time, Event Run) {
    if (Cut[From.Region][To.Region])
      return;
    const auto Latency =
        std::chrono::milliseconds(From.Region == To.Region ? 1 : 2);
    at(Time + Latency, [this, &From, &To, Run] {
      if (!Cut[From.Region][To.Region])
        wake(To, Run);
    });
  }

  /// Time at which bytes have passed all links on their way.
  TimePoint pass(TimePoint *Sender, double SenderRate, std::size_t FromRegion,
                 Node &To, std::uint64_t Bytes) {
    const auto Size = static_cast<double>(Bytes);
    TimePoint Start = std::max(Now, *Sender);
    *Sender = Start + seconds(Size / SenderRate);
    TimePoint End = *Sender;
    if (FromRegion != To.Region) {
      TimePoint &Link = LinkFree[FromRegion][To.Region];
      Start = std::max(Start, Link);
      Link = Start + seconds(Size / linkRate());
      End = std::max(End, Link);
      LinkBytes[FromRegion][To.Region] += Bytes;
    }
    Start = std::max(Start, To.DownFree);
    To.DownFree = Start + seconds(Size / VmRate);
    return std::max(End, To.DownFree);
  }

  std::uint64_t sizeOf(const Digest &Id) const {
    return Id.find("-chunk-") == std::string::npos
               ? Options.Chunks * 40
               : Options.CopyBytes / Options.Chunks;
  }

  void carryOut(Node &From, FetchFromStore &Action) {
    if (StoreRefuses || Cut[0][From.Region]) {
      at(Now + std::chrono::milliseconds(2), [this, &From, Id = Action.Chunk] {
        wake(From, [this, Id](Node &Target) {
          storeFetchFailed(Target.State, Id, Duration{}, Now);
        });
      });
      return;
    }
    if (StoreStalls)
      return;
    const bool Corrupt = StoreCorrupts > 0;
    StoreCorrupts -= Corrupt ? 1 : 0;
    const std::uint64_t Bytes = sizeOf(Action.Chunk);
    StoreBytes += Bytes;
    // The bytes occupy the receiver's link only once the store sends them.
    const TimePoint Start = std::max(Now, StoreFree);
    StoreFree = Start + seconds(static_cast<double>(Bytes) / StoreRate);
    at(Start, [this, &From, Bytes, Id = Action.Chunk, Corrupt] {
      TimePoint Sender = Now;
      at(pass(&Sender, StoreRate, 0, From, Bytes), [this, &From, Id, Corrupt] {
        wake(From, [this, Id, Corrupt](Node &Target) {
          receive(Target, Id, "", !Corrupt);
        });
      });
    });
  }

  void carryOut(Node &From, RequestFromPeer &Action) {
    message(From, *find(Action.Peer), Now,
            [this, Id = Action.Chunk, Name = From.Name](Node &Target) {
              if (!Target.Lies)
                return uploadRequested(Target.State, Name, Id, Now);
              RefuseChunk Answer{Id, Name, std::chrono::seconds(1)};
              carryOut(Target, Answer);
            });
  }

  void carryOut(Node &From, SendChunk &Action) {
    Node &To = *find(Action.Peer);
    const TimePoint Arrival =
        pass(&From.UpFree, VmRate, From.Region, To, sizeOf(Action.Chunk));
    if (From.Stalled)
      return;
    message(From, To, Arrival,
            [this, Id = Action.Chunk, Name = From.Name,
             Verified = !From.CorruptsSends](Node &Target) {
              receive(Target, Id, Name, Verified);
            });
  }

  void carryOut(Node &From, RefuseChunk &Action) {
    message(From, *find(Action.Peer), Now,
            [this, Id = Action.Chunk, Name = From.Name,
             RetryAfter = Action.RetryAfter](Node &Target) {
              chunkRefused(Target.State, Id, Name, RetryAfter, Now);
            });
  }

  void carryOut(Node &From, AnnounceMap &Action) {
    std::vector<bool> Held = Action.Held;
    if (From.Lies)
      Held.assign(Held.size(), true);
    for (const std::string &Peer : Action.Peers) {
      MapBytes += Held.size() / 8;
      ++MapMessages;
      message(From, *find(Peer), Now,
              [this, Version = Action.Version, Held,
               HasDescriptor = Action.HasDescriptor,
               Asks = Action.RequestsReply, Name = From.Name](Node &Target) {
                if (HasDescriptor)
                  chunkMapReceived(Target.State, Name, Version, Held, Now);
                else
                  emptyMapReceived(Target.State, Name, Version);
                if (Asks)
                  mapRequested(Target.State, Name, Version);
              });
    }
  }

  void carryOut(Node &, DropChunk &) {}

  void receive(Node &Target, const Digest &Id, const std::string &From,
               bool Verified) {
    if (chunkReceived(Target.State, Id, From, Verified, Now) &&
        Id == Published.Id)
      descriptorReceived(Target.State, Published, Now);
    if (Target.CompleteAt == TimePoint{} &&
        versionComplete(Target.State, Published.Id)) {
      Target.CompleteAt = Now;
      ++CompleteCount;
    }
  }

  TimePoint StoreFree;
  std::priority_queue<Entry> Queue;
  std::uint64_t QueueSequence = 0;
};

} // namespace marigoldyard::test
