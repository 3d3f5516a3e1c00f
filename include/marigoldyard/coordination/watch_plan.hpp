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

/// @brief Times and bounds of the distribution of configurations.
struct WatchSettings {
  std::size_t WatchersPerRegion = 2;
  std::size_t FanOut = 8;
  /// Longest wait of one watch; a waiting watch counts as one call. Each answer
  /// is passed on as a confirmation.
  Duration WatchWait = std::chrono::seconds(4);
  /// A confirmation is passed on when it is newer by this than the last one.
  Duration ConfirmStep = std::chrono::seconds(3);
  /// Two answers of a watch and 500 ms for their way. After it a process asks
  /// peers and reads the service itself.
  Duration SilenceLimit = std::chrono::milliseconds(8500);
  /// Time between own reads of a process without confirmations. With
  /// SilenceLimit it stays below the 17 s for a revision to be in force.
  Duration FallbackInterval = std::chrono::seconds(5);
  /// Own reads of all processes of a region together; larger regions read less
  /// often for each process, so that calls do not grow with the fleet.
  double RegionReadsPerSecond = 50;
  /// A process that starts reads within this window, or a longer one in a large
  /// region, unless a peer tells it the configuration first.
  Duration FirstReadWindow = std::chrono::seconds(1);
  /// The window while the size of the region is not known.
  Duration UnknownRegionWindow = std::chrono::seconds(10);
  Duration RetryMinimum = std::chrono::milliseconds(500);
  Duration RetryMaximum = std::chrono::seconds(8);
  Duration PeerQuestionInterval = std::chrono::seconds(2);
  /// A process that starts asks peers this often for a newer revision, so that
  /// it meets one that was not restarted with it before it is ready.
  Duration StartQuestionInterval = std::chrono::milliseconds(300);
  Duration StartQuestionTime = std::chrono::seconds(3);
  /// Time between two questions for the values of a revision.
  Duration PeerValueInterval = std::chrono::milliseconds(700);
  /// After this time the values are read from the service: two questions.
  Duration PeerValueWait = std::chrono::milliseconds(1400);
  /// A process that knows of a newer revision and cannot get it from peers
  /// reads the index after this time.
  Duration BehindWait = std::chrono::seconds(3);
  /// Least time between two offers to, or two questions of, the same peer.
  Duration PeerInterval = std::chrono::seconds(1);
  double ReadTokens = 8; ///< calls in a row of one process
  double ReadTokensPerSecond = 2;
  std::size_t MaxPeers = 4096; ///< remembered peers
};

/// @brief What the process does next for its configuration.
enum class WatchActionKind : std::uint8_t {
  WatchIndex, ///< read the index, waiting up to Wait for another version
  ReadIndex,  ///< read the index at once
  ReadValues, ///< read Keys from the service
  Offer,      ///< send ConfigurationOffer with the whole index to Peers
  Confirm,    ///< send ConfigurationOffer with the revision only to Peers
  AskValues,  ///< send ConfigurationRequest for Keys to Peers
  AskNewer,   ///< send any message with the own revision to Peers: those that
              ///< hold a newer one offer it
};

/// @brief One action.
struct WatchAction {
  WatchActionKind Kind = WatchActionKind::ReadIndex;
  std::vector<std::string> Peers;
  std::vector<std::string> Keys;
  Duration Wait{}; ///< of WatchIndex
  Duration Age{};  ///< of Offer and Confirm: ConfigurationOffer::Age
};

/// @brief Actions that are due, and when to ask again.
struct WatchStep {
  std::vector<WatchAction> Actions;
  TimePoint Next;
};

/// @brief Position of the own process in one relay tree.
struct RelayPosition {
  std::string Parent; ///< empty for the root
  std::vector<std::string> Children;

  friend bool operator==(const RelayPosition &,
                         const RelayPosition &) = default;
};

/// @brief Number of relay trees in a region. The second tree has the reverse
/// order of the first, so that no process relays in both: every process is
/// reached when any one other is lost, and none has more than FanOut children.
inline constexpr std::size_t RelayTreeCount = 2;

/// @brief Values that are missing for the pending configuration. They are asked
/// of the peer that announced the revision and, after PeerValueWait or when the
/// service announced it, read from the service too: either may be behind.
struct ValueSearch {
  std::vector<std::string> Keys;
  std::string Peer; ///< empty when only the service announced the revision
  TimePoint NextQuestion;
  TimePoint NextRead;
  std::uint32_t Reads = 0;
};

/// @brief A newer revision that a peer holds.
struct NewerRevision {
  Revision Number = 0;
  std::string Peer;
};

/// @brief State of watching and relaying in one process.
struct WatchState {
  WatchSettings Settings;
  std::string Self;
  std::string Region;
  bool Watching = false;
  std::size_t RegionSize = 1; ///< members of the own region, with itself
  std::array<RelayPosition, RelayTreeCount> Trees;
  std::vector<std::string> RegionPeers; ///< without itself, sorted
  std::vector<std::string> OtherPeers;  ///< members of other regions, sorted

  TimePoint StartedAt;
  double Phase = 0; ///< 0 to 1; spreads the reads of a region
  bool RegionKnown = false;
  /// Latest time at which the service was heard, by the process itself or by
  /// those that told it.
  std::optional<TimePoint> ConfirmedAt;
  std::optional<TimePoint> ConfirmSent; ///< value of ConfirmedAt passed on last
  bool ReadInFlight = false;            ///< an index read or a watch
  TimePoint NextRead;
  Duration Retry{}; ///< 0 after a successful read
  TimePoint NextQuestion;
  bool OfferDue = false;
  std::optional<ValueSearch> Search;
  std::optional<NewerRevision> Newer; ///< not yet received
  Revision Settled = 0; ///< highest revision that was accepted or refused
  double Tokens = 0;
  TimePoint TokensAt;
  std::map<std::string, TimePoint, std::less<>> LastContact; ///< bounded
};

/// @brief Watch state of a process that starts. Its first own read is jittered
/// so that a fleet that starts at once stays under the service's limit.
/// @param Self own name
/// @param Region own region
/// @param Now current time
/// @param Randomness source of randomness
/// @param Settings times and bounds
/// @return the state
/// @complexity constant
WatchState startWatch(std::string Self, std::string Region, TimePoint Now,
                      Random &Randomness, WatchSettings Settings = {});

/// @brief Watchers of a region.
/// @param Region the region
/// @param Names members of the region
/// @param Count how many watch
/// @return the names, the root of the first relay tree first
/// @complexity O(n log n)
std::vector<std::string> watchersOfRegion(std::string_view Region,
                                          std::vector<std::string> Names,
                                          std::size_t Count);

/// @brief Computes the own place in the plan from the present members.
/// @param State the state
/// @param Present members that are neither leaving nor dead
/// @param Now current time
/// @complexity O(n log n) in the number of members
void updateWatchMembers(WatchState &State, const std::vector<Member> &Present,
                        TimePoint Now);

/// @brief Records the end of a watch or of an index read. The owner reports
/// each one, also after its own timeout; there is at most one at a time.
/// @param State the state
/// @param Success whether the service answered
/// @param Now current time
/// @param Randomness source of randomness, for the jitter
/// @complexity constant
void indexReadFinished(WatchState &State, bool Success, TimePoint Now,
                       Random &Randomness);

/// @brief Records a ConfigurationOffer. When it is fresh it stands for an own
/// read and is passed on to the children.
/// @param State the state
/// @param Age age of the offer
/// @param Now current time
/// @complexity constant
void offerReceived(WatchState &State, Duration Age, TimePoint Now);

/// @brief Records that a configuration came into force; it is offered to all
/// children.
/// @param State the state
/// @param Number its revision
/// @complexity constant
void configurationAccepted(WatchState &State, Revision Number);

/// @brief Records that a revision was refused, so that it is not sought again.
/// @param State the state
/// @param Number the revision
/// @param StillPending whether another revision is pending; the search for its
/// values goes on
/// @complexity constant
void configurationRefused(WatchState &State, Revision Number,
                          bool StillPending);

/// @brief Records the keys that acceptance still needs.
/// @param State the state
/// @param Source who announced the revision, ServiceSource or a peer
/// @param Keys the missing keys; empty ends the search
/// @param Now current time
/// @complexity linear in the number of keys
void valuesNeeded(WatchState &State, std::string_view Source,
                  std::vector<std::string> Keys, TimePoint Now);

/// @brief Compares revisions on any message of a peer.
/// @param State the state
/// @param Peer sender
/// @param PeerRevision revision that the message carries
/// @param OwnRevision revision in force
/// @param Now current time
/// @return an offer to a peer that is behind, a question to one that is ahead,
/// or nothing when they are equal or the peer was contacted recently
/// @complexity logarithmic in the number of remembered peers
std::optional<WatchAction>
peerRevisionSeen(WatchState &State, std::string_view Peer,
                 Revision PeerRevision, Revision OwnRevision, TimePoint Now);

/// @brief Actions that are due now.
/// @param State the state
/// @param Now current time
/// @param Randomness source of randomness, for jitter and choice of peers
/// @return the actions and the time of the next call; an event may come first
/// @complexity linear in the number of children and missing keys
WatchStep nextWatchStep(WatchState &State, TimePoint Now, Random &Randomness);

} // namespace marigoldyard
