#pragma once

#include "marigoldyard/coordination/load_plan.hpp"
#include "marigoldyard/coordination/manifest_search.hpp"
#include "marigoldyard/coordination/rollout.hpp"
#include "marigoldyard/coordination/transfer.hpp"
#include "platform/engine_format.hpp"
#include "programs/fleet/fleet_main.hpp"
#include "programs/fleet/fleet_node.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace marigoldyard {

/// @brief Brings weights to the model server on its machine and orders it to
/// load them, in turns with the servers of its region.
class Stager {
public:
  /// @param Settings checked settings
  /// @param File the settings file, read again while the process runs
  Stager(StagerSettings Settings, SettingsFile<StagerSettings> File);

  /// @brief Opens the sockets and starts the duties.
  /// @return an error when a socket cannot be opened
  std::optional<Error> start();

  /// @return the shared duties
  FleetNode &node() { return Base; }

private:
  using ChunkBytes = std::shared_ptr<const std::string>;

  /// One declared version and how far it is. An older version is still loaded
  /// while a newer one is not complete, since it may serve until then.
  struct VersionState {
    LoadState Load;
    std::optional<VersionDescriptor> Descriptor;
    ManifestSearch Manifest;
    bool SeededFromStage = false; ///< the staging area was read after a start
    std::vector<std::size_t> ToSeed; ///< staged pieces to be read at the start
    bool StageCallOut = false;
    std::set<std::size_t> ToStage; ///< pieces to be written
    std::set<std::size_t> ToCheck; ///< pieces to be read back
    RolloutState Rollout;
  };

  /// Another stager of the pool.
  struct PeerState {
    std::string Region;
    TimePoint Heard{};
    std::vector<LoadedWeights> Weights;
    bool Accepting = true;
  };

  // Members and configuration.
  void storeChanged(const ChangedKeys &Keys);
  void versionDeclared(const DeclaredVersion &Version);
  /// Forgets older versions whose pieces would only delay a newer one.
  void dropUnpromising(LoadState &Newer);
  /// Learns the facts about the pool from gateways, or from the store while
  /// none answers.
  void learnFacts();
  /// @param Told whether one answered since the start
  void askGateways(bool Told);
  void useFacts(const PoolFacts &Facts);
  void usePeer(const std::string &Host, const std::string &Region);
  void readConfiguration();
  void configurationRead(const std::string &Text);
  void readPeers();
  void updateTransferMembers();
  void received(const Message &Incoming);
  void peerHeard(const std::string &Peer, const std::string &Region);
  void engineStatus(const std::string &Peer, const EngineStatus &Status);

  // Transfer.
  void makeTransferState(const std::string &StoreRegion);
  void readManifest(VersionState &State);
  void readOrigin(const VersionState &State);
  void manifestKnown(const DeclaredVersion &Target,
                     VersionDescriptor Descriptor);
  void wantVersion(VersionState &State);
  void manifestFailed(const DeclaredVersion &Target, const std::string &Cause);
  void descriptorMessage(const std::string &Peer, const Body &Content);
  void plan();
  void perform(const TransferAction &Action);
  void drawChunk(const Digest &Chunk);
  void chunkArrived(const Digest &Chunk, const std::string &From,
                    std::string Bytes);

  // Server on the own machine.
  void readReport();
  void reportRead(const platform::EngineReport &Report);
  void readStaged(VersionState &State);
  void readNextStaged(const DeclaredVersion &Target);
  void stagePieces(VersionState &State);
  void pieceStaged(const DeclaredVersion &Target, std::size_t Index,
                   const HttpResult &Result);
  void pieceChecked(const DeclaredVersion &Target, std::size_t Index,
                    const HttpResult &Result);
  void stepVersions();
  void stepVersion(VersionState &State);
  LoadFacts loadFacts(VersionState &State);
  bool mayBeUnready(VersionState &State);
  bool mayStage(const DeclaredVersion &Target) const;
  void dropSuperseded();
  bool othersContinue(const DeclaredVersion &Target) const;
  void giveOrder(VersionState &State);
  EngineStatus ownStatus() const;
  /// Tells the gateways of the own region a changed load.
  void announceLoad();
  /// Gateways of the own region that were heard.
  std::set<std::string> gatewaysOfRegion() const;
  /// @param Everywhere also tells gateways of other regions
  void announceStatus(bool Everywhere);
  VersionState *findVersion(const DeclaredVersion &Target);

  void tick();
  void rereadSettings();

  StagerSettings Settings;
  SettingsFile<StagerSettings> File;
  FleetNode Base;
  HttpClient EngineClient;   ///< kept apart so that origin calls never wait
  std::string OriginAddress; ///< empty until it is known
  Revision FactsNumber = 0;  ///< of the configuration of the facts
  std::map<DeclaredVersion, VersionState> Versions; ///< older ones first
  std::map<std::string, PeerState> Peers;           ///< by IP address
  std::optional<TransferState> Transfer;
  std::unordered_map<Digest, ChunkBytes> Chunks;
  /// Where a chunk is found at the origin.
  std::unordered_map<Digest, std::pair<DeclaredVersion, std::size_t>> Places;
  std::optional<platform::EngineReport> Report;
  bool Accepting = true;
  std::uint32_t LoadTold = 0;
  bool StreamsResume = false; ///< on all routes to the own pool
  bool PlanDue = false;
  bool ReportOut = false;
  TimePoint StartedAt{};
  TimePoint ReportAt{};
  TimePoint StatusAt{};
  TimePoint FarStatusAt{};
  TimePoint AskAt{};   ///< gateways are asked next
  TimePoint FactsAt{}; ///< a gateway answered last
  bool GatewaysSilent = false;
  TimePoint PeersAt{};
  bool PeersKnown = false; ///< listed at least once
  TimePoint ConfigurationAt{};
  TimePoint MaintenanceAt{};
};

} // namespace marigoldyard
