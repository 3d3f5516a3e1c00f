#pragma once

#include "marigoldyard/coordination/load_plan.hpp"
#include "marigoldyard/coordination/manifest_check.hpp"
#include "marigoldyard/coordination/manifest_search.hpp"
#include "marigoldyard/coordination/partial_load.hpp"
#include "marigoldyard/coordination/rollout.hpp"
#include "marigoldyard/coordination/staged_chunks.hpp"
#include "marigoldyard/coordination/transfer.hpp"
#include "marigoldyard/coordination/version_bound.hpp"
#include "platform/engine_format.hpp"
#include "programs/fleet/fleet_main.hpp"
#include "programs/fleet/fleet_node.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marigoldyard {

/// @brief Transfers weights to the model server on its machine and orders it to
/// load them, taking turns with the other servers of its region.
class Stager {
public:
  /// @param Settings validated settings
  /// @param File settings file, reread while the process runs
  Stager(StagerSettings Settings, SettingsFile<StagerSettings> File);

  /// @brief Opens the sockets and starts the periodic tasks.
  /// @return an error if a socket cannot be opened
  std::optional<Error> start();

  /// @return the functions shared with gateways; owned by the stager
  FleetNode &node() { return Node; }

private:
  using ChunkBytes = std::shared_ptr<const std::string>;

  /// Load of some layers of a version. It takes the older version out of use at
  /// its bound.
  struct PartialLoad {
    LayerRange Layers;
    ChunkRange Needed;            ///< chunks of the layers
    std::vector<Digest> Chunks;   ///< their digests
    std::int64_t ServerStart = 0; ///< of the server to which it was ordered
    bool Ordered = false;
  };

  /// Transfer and load progress of a declared version. An older version is
  /// still loaded while a newer one is incomplete, since it can serve until
  /// then.
  struct VersionState {
    LoadState Load;
    std::optional<VersionDescriptor> Descriptor;
    ManifestSearch Manifest;
    ManifestCheck Check;
    /// Bytes that the origin repeated in place of those expected.
    ChunkBytes RepeatedBytes;
    bool StagingAreaRead = false;          ///< read, or no longer needed
    std::vector<std::size_t> StagedToRead; ///< staged chunks to read at startup
    StagedChunks Staged;
    /// An order was sent, and the server may have accepted it or may still.
    bool OrderUnresolved = false;
    TimePoint OldestReadAtOrder{}; ///< of the first unresolved order
    /// Latest time at which the order may have been accepted, once known.
    std::optional<TimePoint> AcceptedBy;
    /// The order may have been accepted after chunks became corrupt; reads
    /// after AcceptedBy decide.
    bool AcceptedLate = false;
    bool CorruptSinceOrder = false; ///< a read since the order was corrupt
    std::optional<PartialLoad> Part;
    RolloutState Rollout;
  };

  /// State of another stager of the pool.
  struct PeerState {
    std::string Region;
    TimePoint LastReceivedAt{};
    std::vector<LoadedWeights> Weights;
    bool Accepting = true;
  };

  // Pool members and configuration.
  void handleStoreChange(const ChangedKeys &Keys);
  void handleVersionDeclaration(const DeclaredVersion &Version);
  void handleOutageQuestion(const std::string &Gateway,
                            const OutageQuestion &Question);
  /// Stops fetching older versions whose remaining chunks would only delay a
  /// newer one.
  void skipOutdatedVersions(LoadState &Newer);
  /// Queries gateways for the pool facts, and reads the store while no gateway
  /// responds.
  void refreshPoolFacts();
  /// @param HasResponse whether a gateway has responded since startup
  void queryGateways(bool HasResponse);
  void applyPoolFacts(const PoolConfiguration &Facts);
  void recordPeer(const std::string &Host, const std::string &Region);
  void fetchConfiguration();
  void handleConfiguration(const std::string &Text);
  void fetchPeers();
  void updateTransferMembers();
  void handleMessage(const Message &Incoming);
  void recordPeerContact(const std::string &Peer, const std::string &Region);
  void handleEngineStatus(const std::string &Peer, const EngineStatus &Status);

  // Chunk transfer.
  void makeTransferState(const std::string &StoreRegion);
  void requestManifest(VersionState &State);
  void fetchManifest(const VersionState &State);
  /// Uses the first manifest of a version.
  void handleManifest(const DeclaredVersion &Target,
                      VersionDescriptor Descriptor);
  /// Corrects the known manifest by one that the origin returned later.
  /// @param Agreed whether the previous reading was the same
  void handleManifestReread(VersionState &State, const VersionDescriptor &Read,
                            bool Agreed);
  /// Uses another manifest. Chunks that are in both stay held.
  void replaceManifest(VersionState &State,
                       const VersionDescriptor &Replacement,
                       const std::string &Source);
  void offerCorrectedManifest(const VersionState &State);
  /// Compares the known manifest with that of another reader of the origin
  /// while no chunk arrives.
  void compareManifest(VersionState &State);
  /// Keeps the manifest of a peer that differs from the known one until the
  /// peer tells which of its chunks it holds.
  void handleOfferedManifest(VersionState &State, const std::string &Peer,
                             VersionDescriptor Offered);
  /// Sends the known manifest.
  void offerManifest(const VersionState &State, const std::string &Peer);
  /// Corrects known manifests by the one that the peer has offered.
  void adoptOfferedManifest(const std::string &Peer, const ChunkMap &Map);
  /// Restarts the transfer with corrected digests. Held chunks are kept.
  void applyCorrectedManifest(VersionState &State, const std::string &Source);
  std::vector<bool> heldChunks(const VersionDescriptor &Descriptor) const;
  void recordChunkLocations(const DeclaredVersion &Target,
                            const VersionDescriptor &Descriptor);
  void startTransfer(VersionState &State);
  /// @return descriptors of all versions whose manifest is known
  std::vector<Digest> wantedVersions() const;
  void handleManifestFailure(const DeclaredVersion &Target,
                             const std::string &Cause);
  void handleDescriptorMessage(const std::string &Peer, const Body &Content);
  void runTransferPlan();
  void performAction(const TransferAction &Action);
  void fetchChunk(const Digest &Chunk);
  void handleChunk(const Digest &Chunk, const std::string &From,
                   std::string Bytes);
  /// Reads the manifest again when the origin repeats bytes that do not match.
  void handleOriginMismatch(const Digest &Chunk, const Digest &Received,
                            std::string Bytes);

  // Model server on the local machine.
  void fetchReport();
  void handleReport(platform::EngineReport NewReport);
  void readStagedChunks(VersionState &State);
  void readNextStagedChunk(const DeclaredVersion &Target);
  /// Whether the weights of a late order are not yet known to be sound.
  static bool isLoadDoubtful(const VersionState &State);
  /// Reads that were sent before this are repeated; empty if no calls are
  /// needed.
  std::optional<TimePoint> rereadBefore(const VersionState &State) const;
  void makeStagingCall(VersionState &State, TimePoint RereadBefore);
  void writeStagedChunk(VersionState &State, std::size_t Index);
  void readStagedChunkBack(const VersionState &State, std::size_t Index);
  void handleStagedChunk(const DeclaredVersion &Target, std::size_t Index,
                         const HttpResult &Result);
  /// @param SentAt time at which the call was sent
  void handleReadBack(const DeclaredVersion &Target, std::size_t Index,
                      TimePoint SentAt, const HttpResult &Result);
  void advanceVersions();
  void advanceVersion(VersionState &State);
  LoadConditions loadConditions(VersionState &State);
  bool hasRolloutTurn(VersionState &State);
  bool servesNoVersion(const DeclaredVersion &Target) const;
  /// Whether all chunks of a version are held.
  bool isComplete(const VersionState &State) const;
  bool canStage(const DeclaredVersion &Target) const;
  void removeSupersededVersions();
  bool canContinueStreams(const DeclaredVersion &Target) const;
  void sendLoadOrder(VersionState &State);
  /// Result of a load order.
  struct OrderResult {
    bool Answered = false;
    bool Refused = false; ///< or not answered
    /// Without an answer the order may still have been accepted, which the next
    /// reports show.
    bool HadNoEffect = false;
  };
  /// Reads and logs the result of a load order.
  /// @param OldestRead oldestRead() when the order was sent
  OrderResult readOrderResult(std::string_view RefusedEvent,
                              std::string_view AcceptedEvent,
                              const DeclaredVersion &Target,
                              TimePoint OldestRead, const HttpResult &Result);
  /// @param OldestRead oldestRead() when the order was sent
  /// @param EarlierUnresolved whether an earlier order was unresolved then
  void handleOrderResult(const DeclaredVersion &Target, TimePoint OldestRead,
                         bool EarlierUnresolved, const HttpResult &Result);
  /// Records that the server has accepted the order by now.
  void recordAcceptance(VersionState &State);

  // Closing of a server whose version goes out of use.
  /// Asks gateways for the ages of recent declarations.
  void askDeclarationAges();
  void handleVersionAnswer(const VersionAnswer &Answer);
  /// @return time from which the server may start nothing on a version; empty
  /// if there is no newer one
  std::optional<TimePoint> closesAt(const DeclaredVersion &Version) const;
  /// Whether a version may serve nothing any more.
  bool isOutOfUse(const DeclaredVersion &Version) const;
  /// Whether the server is about to be closed, or is closed, for a newer
  /// version of the model.
  bool closesSoon(const DeclaredVersion &Target) const;
  /// Ends the transfer of versions that would only be loaded out of use.
  void removeVersionsOutOfUse();
  /// Orders some layers of a newer version when the loaded version goes out of
  /// use before a newer one is whole. The server accepts no requests from then
  /// on, also none that are still on their way.
  void closeOutdatedServer();
  /// @return version to load layers of; null while a load is in progress or no
  /// layer can be loaded
  VersionState *versionForPartialLoad(const LoadedWeights &Loaded);
  bool beginPartialLoad(VersionState &State);
  void sendPartialLoadOrder(VersionState &State);
  /// @param OldestRead oldestRead() when the order was sent
  /// @param ServerStart start of the server to which the order was sent
  void handlePartialLoadResult(const DeclaredVersion &Target,
                               TimePoint OldestRead, std::int64_t ServerStart,
                               const HttpResult &Result);
  /// Whether the layers that closed the server are not known to be sound.
  bool isPartDoubtful(const VersionState &State) const;
  /// Records doubts about layers that this process has not ordered.
  void checkReportedLayers(const platform::EngineReport &NewReport);

  EngineStatus localStatus() const;
  /// Sends a changed load to gateways of the local region, to some of them at a
  /// time and in turn.
  void announceLoad();
  bool isRolloutPending() const;
  /// Gateways of the local region that have sent a status.
  std::set<std::string> localRegionGateways() const;
  /// @param AllRegions whether to include gateways of other regions
  void announceStatus(bool AllRegions);
  VersionState *findVersion(const DeclaredVersion &Target);

  void tick();
  void reloadSettings();

  StagerSettings Settings;
  SettingsFile<StagerSettings> File;
  FleetNode Node;
  HttpClient EngineClient; ///< separate, so that origin calls never wait for it
  std::string OriginAddress;  ///< empty until known
  Revision FactsRevision = 0; ///< configuration revision of the facts
  std::map<DeclaredVersion, VersionState> Versions; ///< oldest first
  /// Contact with the store before each version was learned.
  std::map<DeclaredVersion, StoreContact> ContactBefore;
  /// Versions of which the server may have layers that were loaded from corrupt
  /// chunks, since its start. They are not completed, since a server with some
  /// layers serves nothing, whatever other processes know.
  std::set<DeclaredVersion> DoubtfulParts;
  DeclarationHistory Declarations;
  AgeQuestions Questions;
  TimePoint NextAgeQuestionAt{};
  std::size_t AgeQuestionsLeft = 0;
  std::optional<std::uint32_t> LayerCount; ///< of a model, once known
  std::map<std::string, PeerState> Peers;  ///< by IP address
  std::optional<TransferState> Transfer;
  std::unordered_map<Digest, ChunkBytes> Chunks;
  /// Version and index under which the origin serves a chunk.
  std::unordered_map<Digest, std::pair<DeclaredVersion, std::size_t>>
      ChunkLocations;
  std::optional<platform::EngineReport> Report;
  /// Writes, reads and partial loads in progress, of all versions.
  std::size_t StagingCallsPending = 0;
  TimePoint PartialOrderEndedAt{};
  TimePoint NextPartialOrderAt{}; ///< after a refusal
  bool Accepting = true;
  std::map<std::string, std::uint32_t> ReportedLoads; ///< by gateway
  std::string LastLoadReceiver;
  bool StreamsCanResume = false; ///< on all routes to the local pool
  bool PlanDue = false;
  TimePoint NextPlanAt{}; ///< of the transfer, if no event causes one earlier
  bool ReportPending = false;
  TimePoint StartedAt{};
  TimePoint ReportRequestedAt{};
  TimePoint ReportSentAt{}; ///< request time of Report
  TimePoint ReportReceivedAt{};
  TimePoint NextStatusAt{};
  TimePoint NextRemoteStatusAt{};
  TimePoint NextPeerStatusAt{}; ///< to stagers of the local region
  TimePoint NextQueryAt{};      ///< of a query to gateways
  TimePoint FactsReceivedAt{};  ///< last response of a gateway
  bool GatewaysUnresponsive = false;
  TimePoint NextPeerFetchAt{};
  bool PeersKnown = false; ///< received at least once
  TimePoint NextConfigurationFetchAt{};
  TimePoint NextMaintenanceAt{};
};

} // namespace marigoldyard
