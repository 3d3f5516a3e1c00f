#pragma once

#include "marigoldyard/state/time.hpp"
#include "marigoldyard/state/types.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldyard {

/// @brief Intervals and limits of the distribution of configurations.
struct WatchSettings {
  std::size_t WatchersPerRegion = 2;
  std::size_t FanOut = 8;
  /// Longest wait of one watch request. The service counts a waiting request as
  /// one call. Each response is relayed as a confirmation.
  Duration WatchTimeout = std::chrono::seconds(4);
  /// A confirmation is relayed when it is at least this much newer than the
  /// last relayed one.
  Duration ConfirmationInterval = std::chrono::seconds(3);
  /// Two watch responses plus 500 ms for their transfer. Without a confirmation
  /// for this long a process queries peers and reads from the service itself.
  Duration ConfirmationTimeout = std::chrono::milliseconds(8500);
  /// Time between reads of a process without confirmations. Together with
  /// ConfirmationTimeout it stays below the 17 s within which a revision must
  /// become active.
  Duration FallbackReadInterval = std::chrono::seconds(5);
  /// Limit for the fallback reads of all processes of a region together. In
  /// larger regions each process reads less often, so that the number of calls
  /// does not grow with the fleet.
  double RegionReadsPerSecond = 50;
  /// A starting process reads at a random time within this window, unless a
  /// peer sends it the configuration first. The window is longer in large
  /// regions.
  Duration FirstReadWindow = std::chrono::seconds(1);
  /// Replaces FirstReadWindow while the size of the region is unknown.
  Duration UnknownRegionWindow = std::chrono::seconds(10);
  Duration MinRetryDelay = std::chrono::milliseconds(500);
  Duration MaxRetryDelay = std::chrono::seconds(8);
  Duration PeerQueryInterval = std::chrono::seconds(2);
  /// Interval at which a starting process queries peers for a newer revision,
  /// so that it reaches a peer that was not restarted with it before it is
  /// ready.
  Duration StartupQueryInterval = std::chrono::milliseconds(300);
  Duration StartupQueryPeriod = std::chrono::seconds(3);
  /// Time between two requests to a peer for the values of a revision.
  Duration PeerValueRequestInterval = std::chrono::milliseconds(700);
  /// After this time, two requests, the values are also read from the service.
  Duration PeerValueTimeout = std::chrono::milliseconds(1400);
  /// A process that knows of a newer revision but does not get it from peers
  /// reads the index after this time.
  Duration OutdatedReadDelay = std::chrono::seconds(3);
  /// Least time between two offers or queries to the same peer.
  Duration MinPeerContactInterval = std::chrono::seconds(1);
  double ReadBurst = 8; ///< token bucket size: calls of one process in a burst
  double ReadTokensPerSecond = 2;
  std::size_t MaxPeers = 4096; ///< limit for the entries of LastContact
};

/// @brief Kind of a WatchAction.
enum class WatchActionKind : std::uint8_t {
  WatchIndex,    ///< read the index, waiting up to Wait for another version
  ReadIndex,     ///< read the index without waiting
  ReadValues,    ///< read Keys from the service
  Offer,         ///< send ConfigurationOffer with the whole index to Peers
  Confirm,       ///< send ConfigurationOffer with only the revision to Peers
  RequestValues, ///< send ConfigurationRequest for Keys to Peers
  QueryNewer, ///< send any message with the own revision to Peers; peers with a
              ///< newer revision respond with an offer
};

/// @brief An action that the caller carries out to update the configuration.
struct WatchAction {
  WatchActionKind Kind = WatchActionKind::ReadIndex;
  std::vector<std::string> Peers;
  std::vector<std::string> Keys;
  Duration Wait{}; ///< for WatchIndex: longest wait
  Duration Age{};  ///< for Offer and Confirm: value of ConfigurationOffer::Age
};

/// @brief Actions that are due and the time of the next call.
struct WatchStep {
  std::vector<WatchAction> Actions;
  TimePoint NextCall;
};

/// @brief Position of this process in one relay tree.
struct RelayPosition {
  std::string Parent; ///< empty for the root or outside the tree
  std::vector<std::string> Children;

  friend bool operator==(const RelayPosition &,
                         const RelayPosition &) = default;
};

/// @brief Number of relay trees in a region. The second tree reverses the order
/// of the first, so that no process relays in both. Every process is therefore
/// reached when any other one fails, and none has more than FanOut children.
inline constexpr std::size_t RelayTreeCount = 2;

/// @brief Fetch of the values that are missing for the pending configuration.
/// They are requested from the peer that announced the revision. After
/// PeerValueTimeout, or when the service announced the revision, they are read
/// from the service too, because either source may be outdated.
struct ValueFetch {
  std::vector<std::string> Keys;
  std::string Peer; ///< empty when only the service announced the revision
  TimePoint NextRequest;
  TimePoint NextRead;
  std::uint32_t Reads = 0;
};

/// @brief A newer revision that a peer holds.
struct NewerRevision {
  Revision Number = 0;
  std::string Peer;
};

/// @brief State of configuration watching and relaying in one process.
struct WatchState {
  WatchSettings Settings;
  std::string Self;
  std::string Region;
  bool Watching = false;
  std::size_t RegionSize = 1; ///< members of the own region including itself
  std::array<RelayPosition, RelayTreeCount> Trees;
  std::vector<std::string> RegionPeers; ///< without itself, sorted
  std::vector<std::string> OtherPeers;  ///< members of other regions, sorted

  TimePoint StartedAt;
  double JitterFraction =
      0; ///< 0 to 1, random; spreads the reads of a region over time
  bool RegionKnown = false;
  /// Latest time at which this process, or a process whose offer it received,
  /// received a response from the service.
  std::optional<TimePoint> ConfirmedAt;
  std::optional<TimePoint> LastConfirmationSent; ///< last relayed ConfirmedAt
  bool ReadInFlight = false;                     ///< index read or watch
  TimePoint NextRead;
  Duration RetryDelay{}; ///< 0 after a successful read
  TimePoint NextPeerQuery;
  bool OfferDue = false;
  std::optional<ValueFetch> MissingValues;
  std::optional<NewerRevision>
      NewerOnPeer;                  ///< empty when no newer one is known
  Revision LastDecidedRevision = 0; ///< highest accepted or refused revision
  double Tokens = 0;
  TimePoint TokensRefilledAt;
  std::map<std::string, TimePoint, std::less<>>
      LastContact; ///< at most MaxPeers
};

/// @brief Creates the watch state of a starting process. Its first read is
/// jittered, so that a fleet that starts at once stays below the service's rate
/// limit.
/// @param Self name of this process
/// @param Region region of this process
/// @param Randomness used for the jitter
/// @complexity constant
WatchState makeWatch(std::string Self, std::string Region, TimePoint Now,
                     Random &Randomness, WatchSettings Settings = {});

/// @brief Selects the processes of a region that watch the service.
/// @param Names members of the region
/// @param Count largest number of watchers
/// @return names of the watchers, starting with the root of the first relay
/// tree
/// @complexity O(n log n)
std::vector<std::string> watchersOfRegion(std::string_view Region,
                                          std::vector<std::string> Names,
                                          std::size_t Count);

/// @brief Computes whether this process watches and its positions in the relay
/// trees.
/// @param Present members of all regions that are neither leaving nor dead
/// @complexity O(n log n) in the number of members
void updateWatchMembers(WatchState &State, const std::vector<Member> &Present,
                        TimePoint Now);

/// @brief Records the end of a watch or of an index read. The caller reports
/// each of them, also after its own timeout; at most one runs at a time.
/// @param Success whether the service responded
/// @param Randomness used for the jitter
/// @complexity constant
void recordIndexRead(WatchState &State, bool Success, TimePoint Now,
                     Random &Randomness);

/// @brief Records a ConfigurationOffer. A recent offer replaces a read of this
/// process and is relayed to the children.
/// @param Age time since the service's response behind the offer; negative
/// values count as 0
/// @complexity constant
void recordOffer(WatchState &State, Duration Age, TimePoint Now);

/// @brief Records that a configuration became active and schedules its offer
/// to all children.
/// @param Number revision of the configuration
/// @complexity constant
void recordAcceptedConfiguration(WatchState &State, Revision Number);

/// @brief Records that a revision was refused, so that it is not requested
/// again.
/// @param Number the refused revision
/// @param StillPending whether another revision is pending, whose values are
/// still fetched
/// @complexity constant
void recordRefusedConfiguration(WatchState &State, Revision Number,
                                bool StillPending);

/// @brief Records the keys whose values the pending configuration lacks.
/// @param Source announcer of the revision, ServiceSource or a peer's name
/// @param Keys the missing keys; empty ends the fetch
/// @complexity linear in the number of keys
void updateMissingValues(WatchState &State, std::string_view Source,
                         std::vector<std::string> Keys, TimePoint Now);

/// @brief Compares the revision in a peer's message with the own active one.
/// @param Peer sender of the message
/// @param PeerRevision revision in the message
/// @param OwnRevision active revision of this process
/// @return an offer to a peer with an older revision or a query to a peer with
/// a newer one; empty when the revisions are equal, the newer one was already
/// accepted or refused, or the peer was contacted recently
/// @complexity logarithmic in the size of LastContact
std::optional<WatchAction>
comparePeerRevision(WatchState &State, std::string_view Peer,
                    Revision PeerRevision, Revision OwnRevision, TimePoint Now);

/// @brief Computes the actions that are due now.
/// @param Randomness used for the jitter and the choice of peers
/// @return the actions and the time of the next call unless an event occurs
/// earlier
/// @complexity linear in the number of children and missing keys
WatchStep nextWatchStep(WatchState &State, TimePoint Now, Random &Randomness);

} // namespace marigoldyard
