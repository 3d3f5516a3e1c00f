#pragma once

#include "marigoldyard/coordination/load_plan.hpp"
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

  /// One model: the newest version and how far it is.
  struct ModelState {
    LoadState Load;
    std::optional<VersionDescriptor> Descriptor;
    bool ManifestAsked = false; ///< a call or a question is out
    TimePoint ManifestAt{};     ///< when it is asked for next
    std::size_t ManifestFailures = 0;
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
  void readConfiguration();
  void configurationRead(const std::string &Text);
  void readPeers();
  void updateTransferMembers();
  void received(const Message &Incoming);
  void peerHeard(const std::string &Peer, const std::string &Region);
  void engineStatus(const std::string &Peer, const EngineStatus &Status);

  // Transfer.
  void makeTransferState(const std::string &StoreRegion);
  void readManifest(ModelState &Model);
  void manifestKnown(const std::string &Model, VersionDescriptor Descriptor);
  void wantVersion(ModelState &Model);
  void manifestFailed(const std::string &Model, const std::string &Cause);
  void descriptorMessage(const std::string &Peer, const Body &Content);
  void plan();
  void perform(const TransferAction &Action);
  void drawChunk(const Digest &Chunk);
  void chunkArrived(const Digest &Chunk, const std::string &From,
                    std::string Bytes);

  // Server on the own machine.
  void readReport();
  void reportRead(const platform::EngineReport &Report);
  void readStaged(ModelState &Model);
  void readNextStaged(const std::string &Model);
  void stagePieces(ModelState &Model);
  void pieceStaged(const std::string &Model, std::size_t Index,
                   const HttpResult &Result);
  void pieceChecked(const std::string &Model, std::size_t Index,
                    const HttpResult &Result);
  void stepModels();
  void stepModel(ModelState &Model);
  LoadFacts loadFacts(ModelState &Model);
  bool mayBeUnready(ModelState &Model);
  bool othersContinue(const DeclaredVersion &Target) const;
  void giveOrder(ModelState &Model);
  void announceStatus();
  ModelState *findModel(const std::string &Model);

  void tick();
  void rereadSettings();

  StagerSettings Settings;
  SettingsFile<StagerSettings> File;
  FleetNode Base;
  HttpClient EngineClient; ///< kept apart so that origin calls never wait
  std::optional<WeightOrigin> Origin;
  std::map<std::string, ModelState> Models;
  std::map<std::string, PeerState> Peers; ///< by IP address
  std::optional<TransferState> Transfer;
  std::unordered_map<Digest, ChunkBytes> Chunks;
  /// Where a chunk is found at the origin.
  std::unordered_map<Digest, std::pair<DeclaredVersion, std::size_t>> Places;
  std::optional<platform::EngineReport> Report;
  bool Accepting = true;
  bool StreamsResume = false; ///< on all routes to the own pool
  bool PlanDue = false;
  bool ReportOut = false;
  TimePoint StartedAt{};
  TimePoint ReportAt{};
  TimePoint StatusAt{};
  TimePoint PeersAt{};
  TimePoint ConfigurationAt{};
  TimePoint MaintenanceAt{};
};

} // namespace marigoldyard
