#include "tests/src/weight_network.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <set>

using namespace marigoldyard;
using namespace marigoldyard::test;

namespace {

const TimePoint StartCommand = TimePoint{} + std::chrono::hours(1);
const VersionDescriptor One{"v1", "m", "1", {{"a", 100}, {"b", 100}}};
const VersionDescriptor Two{"v2", "m", "2", {{"b", 100}, {"c", 100}}};

TransferState agentWith(const std::vector<TransferPeer> &Peers) {
  TransferSettings Settings;
  Settings.Self = "self";
  Settings.Region = "r0";
  Settings.StoreRegion = "r0";
  Settings.UploadBytesPerSecond = 1000;
  Settings.RegionLinkBytesPerSecond = 1000;
  Settings.BufferBytes = 300;
  TransferState State = makeTransfer(Settings);
  setTransferPeers(State, Peers, StartCommand);
  setWantedVersions(State, {"v1"}, StartCommand);
  return State;
}

template <typename Wanted>
std::vector<Wanted> plan(TransferState &State, TimePoint Now) {
  Random Source(1);
  std::vector<Wanted> Result;
  for (TransferAction &Action : planTransfer(State, Now, Source))
    if (auto *Found = std::get_if<Wanted>(&Action))
      Result.push_back(*Found);
  return Result;
}

void obtain(TransferState &State, const VersionDescriptor &Version) {
  chunkReceived(State, Version.Id, "", true, StartCommand);
  descriptorReceived(State, Version, StartCommand);
  for (const Chunk &Part : Version.Chunks)
    chunkReceived(State, Part.Id, "", true, StartCommand);
}

} // namespace

TEST_CASE("a single agent draws the descriptor first, then each chunk once") {
  TransferState State = agentWith({});
  auto Draws = plan<FetchFromStore>(State, StartCommand);
  REQUIRE(Draws.size() == 1);
  CHECK(Draws[0].IsDescriptor);
  CHECK(chunkReceived(State, "v1", "", true, StartCommand));
  CHECK_FALSE(descriptorReceived(State, One, StartCommand).has_value());
  CHECK(plan<FetchFromStore>(State, StartCommand).size() == 2);
  CHECK(plan<FetchFromStore>(State, StartCommand).empty());
  CHECK(chunkReceived(State, "a", "", true, StartCommand));
  CHECK_FALSE(chunkReceived(State, "a", "", true, StartCommand));
  CHECK_FALSE(versionComplete(State, "v1"));
  CHECK(chunkReceived(State, "b", "", true, StartCommand));
  CHECK(versionComplete(State, "v1"));
}

TEST_CASE("a corrupt chunk is not kept and its sender is banned when it "
          "repeats, so that a bad peer cannot stop a transfer") {
  TransferState State = agentWith({{"bad", "r0"}});
  VersionDescriptor Many{"v1", "m", "1", {}};
  for (int Index = 0; Index < 20; ++Index)
    Many.Chunks.push_back({"chunk-" + std::to_string(Index), 10});
  chunkReceived(State, "v1", "", true, StartCommand);
  descriptorReceived(State, Many, StartCommand);
  std::size_t Bad = 0;
  for (int Second = 1; Second <= 20; ++Second) {
    const TimePoint Now = StartCommand + std::chrono::seconds(Second);
    chunkMapReceived(State, "bad", "v1", std::vector<bool>(20, true), Now);
    for (const RequestFromPeer &Asked : plan<RequestFromPeer>(State, Now)) {
      ++Bad;
      CHECK_FALSE(chunkReceived(State, Asked.Chunk, "bad", false, Now));
    }
  }
  // Requests already in flight when the ban begins are answered too.
  CHECK(Bad >= State.Settings.CorruptLimit);
  CHECK(Bad <= State.Settings.MaxPerPeer);
  CHECK_FALSE(versionComplete(State, "v1"));
}

TEST_CASE("a change of version and back reuses equal chunks") {
  TransferState State = agentWith({});
  obtain(State, One);
  setWantedVersions(State, {"v2"}, StartCommand);
  CHECK(droppableChunks(State).size() == 3);
  chunkReceived(State, "v2", "", true, StartCommand);
  descriptorReceived(State, Two, StartCommand);
  const auto Draws = plan<FetchFromStore>(State, StartCommand);
  REQUIRE(Draws.size() == 1);
  CHECK(Draws[0].Chunk == "c");
  setWantedVersions(State, {"v1"}, StartCommand);
  CHECK(versionComplete(State, "v1"));
}

TEST_CASE("unwanted chunks are dropped when the buffer needs the space, wanted "
          "ones never") {
  TransferState State = agentWith({});
  obtain(State, One);
  setWantedVersions(State, {"v2"}, StartCommand);
  obtain(State, Two);
  CHECK(plan<DropChunk>(State, StartCommand).empty());
  const VersionDescriptor Three{"v3", "m", "3", {{"b", 100}, {"d", 150}}};
  setWantedVersions(State, {"v3"}, StartCommand);
  obtain(State, Three);
  CHECK_FALSE(plan<DropChunk>(State, StartCommand).empty());
  CHECK(versionComplete(State, "v3"));
  CHECK(State.HeldBytes <= 300);
}

TEST_CASE("live requests keep their share of a link between regions, however "
          "many chunks a peer asks for") {
  TransferState State = agentWith({{"far", "r1"}});
  obtain(State, One);
  double Bytes = 0;
  for (int Step = 0; Step < 1000; ++Step) {
    const TimePoint Now = StartCommand + std::chrono::milliseconds(100 * Step);
    uploadRequested(State, "far", Step % 2 == 0 ? "a" : "b", Now);
    Bytes += 100 * static_cast<double>(plan<SendChunk>(State, Now).size());
  }
  CHECK(Bytes <= 0.7 * 1000 * 100 + 200);
  CHECK(Bytes >= 0.6 * 1000 * 100);
}

TEST_CASE("uploads and refusals stay bounded, so that a flood of requests "
          "cannot exhaust memory") {
  TransferState State = agentWith({{"near", "r0"}});
  obtain(State, One);
  for (int Step = 0; Step < 1000; ++Step) {
    uploadRequested(State, "near", "unknown-" + std::to_string(Step),
                    StartCommand);
    uploadRequested(State, "stranger-" + std::to_string(Step), "a",
                    StartCommand);
  }
  CHECK(plan<RefuseChunk>(State, StartCommand).size() <= 64);
  CHECK(State.Requesters.size() <= 8);
}

TEST_CASE("a map that does not fit the descriptor is an error with its peer") {
  TransferState State = agentWith({{"near", "r0"}});
  obtain(State, One);
  const auto Failure =
      chunkMapReceived(State, "near", "v1", {true}, StartCommand);
  REQUIRE(Failure.has_value());
  CHECK(Failure->Peer == "near");
}

TEST_CASE("an unchanged member list keeps the stall timers, so that frequent "
          "reads of the list do not delay a takeover") {
  TransferState State = agentWith({{"far", "r1"}, {"near", "r0"}});
  const TimePoint Before = State.Regions[1].LastProgressAt;
  setTransferPeers(State, {{"far", "r1"}, {"near", "r0"}},
                   StartCommand + std::chrono::seconds(5));
  CHECK(State.Regions[1].LastProgressAt == Before);
}

TEST_CASE("two versions that fit the buffer only one at a time are refused, so "
          "that memory stays bounded") {
  TransferState State = agentWith({});
  obtain(State, One);
  setWantedVersions(State, {"v1", "big"}, StartCommand);
  const VersionDescriptor Big{"big", "m", "3", {{"d", 150}}};
  const auto Failure = descriptorReceived(State, Big, StartCommand);
  REQUIRE(Failure.has_value());
  CHECK(Failure->At == Step::DescriptorFetch);
}

TEST_CASE("the cost of a decision stays small at 290 replicas") {
  NetworkOptions Options;
  Options.Replicas = 290;
  Options.Chunks = 4000;
  WeightNetwork Net(Options);
  Net.publishMembers();
  CHECK(Net.Nodes[0]->State.Neighbours.size() <= 16);
}

TEST_CASE("a restarted agent obtains everything from its peers, so that "
          "restarts draw nothing from the store") {
  for (const std::size_t Replicas : {3, 15}) {
    CAPTURE(Replicas);
    NetworkOptions Options;
    Options.Replicas = Replicas;
    Options.Chunks = 64;
    WeightNetwork Net(Options);
    Net.publishMembers();
    Net.publish(Net.makeVersion("one", 0));
    REQUIRE(Net.run(Net.Now + std::chrono::hours(1)));
    for (std::size_t Index = 0; Index < 3; ++Index) {
      const std::uint64_t Before = Net.StoreBytes;
      Net.restart(Index);
      REQUIRE(Net.run(Net.Now + std::chrono::hours(1)));
      CHECK(Net.StoreBytes == Before);
    }
  }
}

TEST_CASE("a silent neighbour and a missing member list delay a draw only for "
          "a bounded time, so that a rollout starts without them") {
  TransferState State = makeTransfer({.Self = "self", .Region = "r0"});
  setWantedVersions(State, {"v1"}, StartCommand);
  CHECK(plan<FetchFromStore>(State, StartCommand).empty());
  setTransferPeers(State, {{"near", "r0"}}, StartCommand, false);
  const Duration Wait = State.Settings.MapWait;
  CHECK(plan<FetchFromStore>(State, StartCommand + Wait / 2).empty());
  const auto Asked = plan<AnnounceMap>(State, StartCommand + Wait);
  REQUIRE(Asked.size() == 1);
  CHECK(Asked[0].RequestsReply);
  CHECK_FALSE(Asked[0].HasDescriptor);
  setTransferPeers(State, {}, StartCommand + Wait);
  CHECK(plan<FetchFromStore>(State, StartCommand + 2 * Wait).size() == 1);
}

TEST_CASE("questions for maps are answered once and stay bounded, so that a "
          "flood of them cannot exhaust memory") {
  TransferState State = agentWith({{"near", "r0"}});
  obtain(State, One);
  for (int Step = 0; Step < 1000; ++Step) {
    mapRequested(State, "near", "v1");
    mapRequested(State, "near", "unknown-" + std::to_string(Step));
  }
  const auto Answers = plan<AnnounceMap>(State, StartCommand);
  CHECK(Answers.size() <= 70);
  CHECK(Answers[0].Held == std::vector<bool>{true, true});
  CHECK_FALSE(Answers[1].HasDescriptor);
}

TEST_CASE("a peer that restarts is an owner again at once, so that the next "
          "owner does not draw its chunks a second time") {
  TransferState State = agentWith({{"near", "r0"}});
  transferPeerLost(State, "near", StartCommand);
  CHECK(State.Peers[1].LostUntil > StartCommand);
  emptyMapReceived(State, "near", "v1");
  CHECK(State.Peers[1].LostUntil <= StartCommand);
}

TEST_CASE("with spread links every member carries a part of the chunks") {
  VersionDescriptor Large{"v1", "m", "1", {}};
  for (int I = 0; I < 64; ++I)
    Large.Chunks.push_back({"chunk-" + std::to_string(I), 100});
  std::vector<TransferPeer> Peers;
  for (const char *Region : {"r0", "r1"})
    for (int I = 0; I < 6; ++I)
      Peers.push_back({std::string(Region) + "-" + std::to_string(I), Region});
  std::size_t Drawn = 0;
  std::size_t Most = 0;
  for (int Self = 0; Self < 6; ++Self) {
    TransferSettings Settings;
    Settings.Self = "r0-" + std::to_string(Self);
    Settings.Region = Settings.StoreRegion = "r0";
    Settings.DistributeLinks = Settings.DirectImport = true;
    Settings.MaxStoreFetches = 64;
    Settings.MapWait = Duration::zero();
    TransferState State = makeTransfer(Settings);
    setTransferPeers(State, Peers, StartCommand);
    setWantedVersions(State, {"v1"}, StartCommand);
    chunkReceived(State, "v1", "", true, StartCommand);
    REQUIRE_FALSE(descriptorReceived(State, Large, StartCommand).has_value());
    const std::size_t Own =
        plan<FetchFromStore>(State, StartCommand + std::chrono::seconds(1))
            .size();
    Drawn += Own;
    Most = std::max(Most, Own);
  }
  CHECK(Drawn == 64); // each chunk has one owner
  CHECK(Most <= 64 / 6 * 2);
}

TEST_CASE("pieces of an earlier version are asked for first") {
  TransferSettings Settings;
  Settings.Self = "self";
  Settings.Region = Settings.StoreRegion = "r0";
  Settings.MaxInFlight = 1;
  TransferState State = makeTransfer(Settings);
  setTransferPeers(State, {{"peer", "r0"}}, StartCommand);
  const VersionDescriptor Early{"v1", "m", "1", {{"a", 100}, {"b", 100}}};
  const VersionDescriptor Late{"v2", "m", "2", {{"c", 100}, {"d", 100}}};
  TimePoint Now = StartCommand;
  for (const VersionDescriptor &Each : {Early, Late}) {
    setWantedVersions(State,
                      Each.Id == "v1" ? std::vector<Digest>{"v1"}
                                      : std::vector<Digest>{"v1", "v2"},
                      Now);
    chunkReceived(State, Each.Id, "", true, Now);
    REQUIRE_FALSE(descriptorReceived(State, Each, Now).has_value());
    Now += std::chrono::milliseconds(1);
  }
  chunkMapReceived(State, "peer", "v2", {true, true}, Now);
  chunkMapReceived(State, "peer", "v1", {true, true}, Now);
  for (int I = 0; I < 2; ++I) {
    const auto Asked = plan<RequestFromPeer>(State, Now);
    REQUIRE(Asked.size() == 1);
    CHECK((Asked[0].Chunk == "a" || Asked[0].Chunk == "b"));
    chunkReceived(State, Asked[0].Chunk, "peer", true, Now);
  }
}

TEST_CASE("failed draws of an earlier version precede those of a later one") {
  TransferState State = agentWith({});
  State.Settings.MaxStoreFetches = 1;
  State.Settings.BufferBytes = 0;
  chunkReceived(State, "v1", "", true, StartCommand);
  descriptorReceived(State, One, StartCommand);
  const auto First = plan<FetchFromStore>(State, StartCommand);
  REQUIRE(First.size() == 1);
  // The store goes away while the later version becomes known.
  setWantedVersions(State, {"v1", "v2"},
                    StartCommand + std::chrono::seconds(1));
  chunkReceived(State, "v2", "", true, StartCommand + std::chrono::seconds(1));
  VersionDescriptor Later{"v2", "m", "2", {}};
  for (int Index = 0; Index < 8; ++Index)
    Later.Chunks.push_back({"later-" + std::to_string(Index), 100});
  descriptorReceived(State, Later, StartCommand + std::chrono::seconds(1));
  storeFetchFailed(State, First[0].Chunk, {},
                   StartCommand + std::chrono::seconds(1));
  std::set<Digest> Drawn;
  for (int Second = 10; Second < 12; ++Second)
    for (const FetchFromStore &Draw : plan<FetchFromStore>(
             State, StartCommand + std::chrono::seconds(Second))) {
      Drawn.insert(Draw.Chunk);
      chunkReceived(State, Draw.Chunk, "", true,
                    StartCommand + std::chrono::seconds(Second));
    }
  CHECK(Drawn == std::set<Digest>{"a", "b"});
}

TEST_CASE("the progress of a version counts own chunks and those of peers") {
  TransferState State = agentWith({{"peer", "r0"}});
  CHECK(transferProgress(State, "v1").Chunks == 0);
  chunkReceived(State, "v1", "", true, StartCommand);
  descriptorReceived(State, One, StartCommand);
  chunkReceived(State, "a", "", true, StartCommand);
  TransferProgress Progress = transferProgress(State, "v1");
  CHECK(Progress.Held == 1);
  CHECK(Progress.HeldOrAvailable == 1);
  CHECK(Progress.Chunks == 2);
  chunkMapReceived(State, "peer", "v1", {true, true}, StartCommand);
  Progress = transferProgress(State, "v1");
  CHECK(Progress.Held == 1);
  CHECK(Progress.HeldOrAvailable == 2);
}

TEST_CASE("only the limited number of readers draws from the store, and they "
          "draw all") {
  // Guards against an origin that serves all members at once and none in time.
  constexpr std::size_t Readers = 3;
  constexpr int Count = 12;
  std::vector<TransferPeer> Members;
  Members.reserve(Count);
  for (int I = 0; I < Count; ++I)
    Members.push_back({"m" + std::to_string(I), "r0"});
  VersionDescriptor Version{"v1", "m", "1", {}};
  constexpr int Chunks = 64;
  Version.Chunks.reserve(Chunks);
  for (int I = 0; I < Chunks; ++I)
    Version.Chunks.push_back({"chunk-" + std::to_string(I), 100});
  std::size_t Drawers = 0;
  std::set<Digest> Drawn;
  for (const TransferPeer &Self : Members) {
    TransferSettings Settings;
    Settings.Self = Self.Name;
    Settings.Region = Settings.StoreRegion = "r0";
    Settings.DistributeLinks = Settings.DirectImport = true;
    Settings.MaxStoreReaders = Readers;
    Settings.MaxStoreFetches = Version.Chunks.size();
    TransferState State = makeTransfer(Settings);
    setTransferPeers(State, Members, StartCommand);
    setWantedVersions(State, {"v1"}, StartCommand);
    chunkReceived(State, "v1", {}, true, StartCommand);
    descriptorReceived(State, Version, StartCommand);
    plan<FetchFromStore>(State,
                         StartCommand); // asks for maps, which nobody answers
    const auto Draws =
        plan<FetchFromStore>(State, StartCommand + 2 * Settings.MapWait);
    Drawers += Draws.empty() ? 0 : 1;
    for (const FetchFromStore &Draw : Draws)
      Drawn.insert(Draw.Chunk);
    const std::vector<std::string> Named = storeReaders(State);
    CHECK(Named.size() == Readers);
    CHECK(Draws.empty() ==
          (std::find(Named.begin(), Named.end(), Self.Name) == Named.end()));
  }
  CHECK(Drawers == Readers);
  CHECK(Drawn.size() == Version.Chunks.size());
}

TEST_CASE("a peer that did not answer is asked again within the limit") {
  TransferState State = agentWith({{"near", "r0"}});
  State.Settings.MaxStoreFetches = 0;
  State.Settings.StallTimeout = std::chrono::milliseconds(800);
  State.Settings.MaxLostTime = std::chrono::milliseconds(1600);
  chunkReceived(State, "v1", {}, true, StartCommand);
  descriptorReceived(State, One, StartCommand);
  chunkMapReceived(State, "near", "v1", {true, true}, StartCommand);
  TimePoint Now = StartCommand;
  for (int Loss = 0; Loss < 10; ++Loss) {
    transferPeerLost(State, "near", Now);
    CHECK(plan<RequestFromPeer>(State, Now).empty());
    Now += std::chrono::milliseconds(1600);
    CHECK_FALSE(plan<RequestFromPeer>(State, Now).empty());
  }
}

TEST_CASE("chunks of an earlier version are drawn first, whichever descriptor "
          "came first") {
  // Guards against two versions that share the origin's link, so that the
  // earlier one arrives only after its deadline.
  TransferState State = agentWith({});
  State.Settings.BufferBytes = 0;
  State.Settings.MaxStoreFetches = 1;
  setWantedVersions(State, {"v1", "v2"}, StartCommand + Duration(1));
  for (const VersionDescriptor &Each : {Two, One}) {
    chunkReceived(State, Each.Id, "", true, StartCommand);
    descriptorReceived(State, Each, StartCommand);
  }
  const TimePoint Now = StartCommand + std::chrono::seconds(2);
  std::vector<Digest> Drawn;
  for (int I = 0; I < 3; ++I) {
    const auto Draws = plan<FetchFromStore>(State, Now);
    REQUIRE(Draws.size() == 1);
    Drawn.push_back(Draws[0].Chunk);
    chunkReceived(State, Draws[0].Chunk, "", true, Now);
  }
  CHECK(Drawn.back() == "c");
}
