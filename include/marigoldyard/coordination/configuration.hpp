#pragma once

#include "marigoldyard/state/error.hpp"
#include "marigoldyard/state/manifest.hpp"
#include "marigoldyard/state/time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marigoldyard {

/// @brief Prefix of the keys that each store one product.
inline constexpr std::string_view ProductKeyPrefix = "products/";

/// @brief Source name of the configuration service. All other source names are
/// those of peers.
inline constexpr std::string_view ServiceSource = "configuration-service";

/// @brief Maximum number of products in a configuration. It bounds the memory
/// that an index received from the network can allocate.
inline constexpr std::size_t MaxProducts = 1024;

/// @brief Key of the configuration service under which a product is published.
/// @param ProductName name of the product
/// @return the key
std::string productKey(std::string_view ProductName);

/// @brief A parsed value of the configuration service. The protocol layer
/// computes the digest of the text.
struct ParsedValue {
  std::string Key;
  Digest ContentDigest;      ///< SHA-256 of Text
  std::string Text;          ///< as published, kept to relay it to peers
  Expected<Product> Content; ///< the parsed product, or why it is invalid
};

/// @brief Indexes of a caller and its product in a manifest.
struct CallerMatch {
  std::size_t ProductIndex = 0; ///< into Manifest::Products
  std::size_t CallerIndex = 0;  ///< into Product::Callers
};

/// @brief An accepted configuration. Immutable, so that threads can share it.
struct AcceptedConfiguration {
  ConfigurationIndex Index;
  Manifest Content;
  std::map<std::string, std::string> Texts; ///< by key, as published
  std::map<std::string, CallerMatch, std::less<>>
      CallersByKey; ///< by "product name/SHA-256 of the bearer key"
};

/// @brief An index that is newer than the active configuration, with the values
/// received for it so far.
struct PendingConfiguration {
  ConfigurationIndex Index;
  std::map<std::string, ParsedValue> Values; ///< by key, digests match Index
};

/// @brief Number of peers whose messages replace contact with the configuration
/// service at startup. With this many, the highest revision is known unless all
/// of them lag behind.
inline constexpr std::size_t SufficientPeers = 3;

/// @brief Timeouts of a process at startup.
struct StartupTimeouts {
  Duration Service = std::chrono::seconds(3);
  Duration Peers = std::chrono::seconds(3);
  /// Maximum wait for a revision that was announced but not received. It is
  /// below the 17 s within which a revision becomes active everywhere.
  Duration CatchUp = std::chrono::seconds(12);
};

/// @brief Counters of received configurations, for metrics and alerts.
struct ConfigurationCounters {
  std::uint64_t Accepted = 0;
  std::uint64_t Invalid = 0;   ///< indexes and revisions refused as invalid
  std::uint64_t Conflicts = 0; ///< alert: same revision with different digests
  std::uint64_t OlderIndexes = 0; ///< indexes below the active revision
  std::uint64_t DigestMismatches =
      0; ///< values whose digest differs from the pending index
};

/// @brief Configuration state of one process.
struct ConfigurationState {
  std::shared_ptr<const AcceptedConfiguration>
      ActiveConfiguration; ///< null before the first
  std::optional<PendingConfiguration> Pending;
  std::optional<ConfigurationIndex>
      LastRefused; ///< last invalid index; its values are not read again
  TimePoint StartedAt;
  StartupTimeouts Timeouts;
  bool ServiceContacted = false;
  std::set<std::string, std::less<>>
      PeersContacted;                ///< at most SufficientPeers
  Revision HighestKnownRevision = 0; ///< highest valid revision received
  ConfigurationCounters Counters;
};

/// @brief Outcome of a configuration event.
enum class AcceptanceAction : std::uint8_t {
  Keep,       ///< nothing to do
  NeedValues, ///< read the values of Needed; no change yet
  Accepted,   ///< a new configuration is active
  Refused,    ///< see Failure; the active configuration is kept
};

/// @brief Result of a configuration event.
struct AcceptanceResult {
  AcceptanceAction Action = AcceptanceAction::Keep;
  std::vector<std::string> Needed;
  std::optional<Error> Failure;
  Revision Number = 0; ///< revision that was accepted or refused; 0 when an
                       ///< index without a usable revision was refused
};

/// @brief Creates the configuration state of a process at startup.
/// @param Now startup time
/// @param Timeouts how long readiness waits for sources and revisions
/// @return the state, without an active configuration
/// @complexity constant
ConfigurationState makeConfigurationState(TimePoint Now,
                                          StartupTimeouts Timeouts = {});

/// @brief Revision of the active configuration.
/// @param State configuration state
/// @return the revision, or 0 before the first configuration
/// @complexity constant
Revision activeRevision(const ConfigurationState &State);

/// @brief Handles an index from the configuration service or a peer.
///
/// An index with a higher revision becomes pending, and its missing values are
/// requested. An index with the active revision but different content is
/// refused with ConflictingRevision. An index without values only announces its
/// revision.
/// @param State configuration state
/// @param Index the received index
/// @param Source ServiceSource or the name of the peer
/// @return NeedValues, Accepted (if all values are already known), Keep or
/// Refused
/// @complexity linear in the number of products
AcceptanceResult receiveIndex(ConfigurationState &State,
                              const ConfigurationIndex &Index,
                              std::string_view Source);

/// @brief Handles values from the configuration service or a peer.
///
/// A value whose digest differs from the pending index is dropped and is still
/// needed: the service may publish an index before its values. If a value has
/// the expected digest but invalid content, the whole revision is refused.
/// @param State configuration state
/// @param Values the received values
/// @param Source ServiceSource or the name of the peer
/// @return Accepted, NeedValues, Keep or Refused (InvalidManifest)
/// @complexity linear in the number of products and callers
AcceptanceResult receiveValues(ConfigurationState &State,
                               std::vector<ParsedValue> Values,
                               std::string_view Source);

/// @brief Handles an invalid index. The active configuration is kept.
/// @param State configuration state
/// @param Failure why the index is invalid
/// @param Source ServiceSource or the name of the peer
/// @return Refused with the failure
/// @complexity constant
AcceptanceResult receiveInvalidIndex(ConfigurationState &State, Error Failure,
                                     std::string_view Source);

/// @brief Handles a failed read. The active and the pending configuration are
/// kept.
/// @param State configuration state
/// @return NeedValues if a revision is pending, otherwise Keep
/// @complexity linear in the number of products
AcceptanceResult receiveReadFailure(const ConfigurationState &State);

/// @brief Records the revision in a message of a peer. For the readiness of
/// this process, only peers that advertise a revision count as contacted.
/// @param State configuration state
/// @param Peer name of the sender
/// @param Number revision of the sender; 0 while it is not ready
/// @complexity constant
void recordPeerRevision(ConfigurationState &State, std::string_view Peer,
                        Revision Number);

/// @brief Revision that this process advertises in its messages. A process that
/// is not ready advertises none. Otherwise, two processes that restart while
/// the service is stale would confirm the old revision to each other.
/// @param State configuration state
/// @param Now current time
/// @return the active revision, or 0 while not ready
/// @complexity constant
Revision advertisedRevision(const ConfigurationState &State, TimePoint Now);

/// @brief Keys of the pending index whose values have not been received.
/// @param State configuration state
/// @return the keys, sorted; empty when nothing is pending
/// @complexity linear in the number of products
std::vector<std::string> neededKeys(const ConfigurationState &State);

/// @brief Whether the configuration allows the process to serve.
///
/// A configuration must be active. At startup, the service and one peer, or
/// SufficientPeers peers, must have been contacted or their timeouts have
/// expired. The highest announced revision must be active or refused, or its
/// timeout have expired.
/// @param State configuration state
/// @param Now current time
/// @return true when ready
/// @complexity constant
bool isConfigurationReady(const ConfigurationState &State, TimePoint Now);

/// @brief Active values that a peer requested.
/// @param State configuration state
/// @param Number revision that the peer requested
/// @param Keys keys that the peer requested; empty if it requested only the
/// index
/// @return texts of the known keys, by key, or nothing when Number is above the
/// active revision
/// @complexity linear in the number of keys
std::optional<std::map<std::string, std::string>>
valuesForPeer(const ConfigurationState &State, Revision Number,
              const std::vector<std::string> &Keys);

/// @brief A conflict between products of one manifest.
struct ManifestConflict {
  std::size_t ProductIndex = 0;
  std::string Path; ///< JSON pointer below the product, e.g. "/services/0/pool"
  std::string Message;
};

/// @brief Finds conflicts between products: duplicate product names, services
/// with differing definitions, and pools used for both engines and plain
/// services.
/// @param Content the manifest
/// @return one element per conflict; empty when there is none
/// @complexity O(n log n) in the number of products and services
std::vector<ManifestConflict> manifestConflicts(const Manifest &Content);

/// @brief Finds a product by name.
/// @param Content the manifest
/// @param Name name of the product
/// @return the product, or null
/// @complexity linear in the number of products
const Product *findProduct(const Manifest &Content, std::string_view Name);

/// @brief Finds the products that the endpoints of a pool serve.
/// @param Content the manifest
/// @param Pool name of the pool
/// @return pointers into Content, in its order
/// @complexity linear in the number of products
std::vector<const Product *> productsOfPool(const Manifest &Content,
                                            std::string_view Pool);

/// @brief Finds a plain service of a product by name.
/// @param Owner the product
/// @param Name name of the service
/// @return the service, or null
/// @complexity linear in the number of services
const Service *findService(const Product &Owner, std::string_view Name);

/// @brief Finds the plain services that the endpoints of a pool offer.
/// @param Content the manifest
/// @param Pool name of the pool
/// @return pairs of product and service, pointers into Content
/// @complexity linear in the number of services
std::vector<std::pair<const Product *, const Service *>>
servicesOfPool(const Manifest &Content, std::string_view Pool);

/// @brief Finds a caller of a product by the SHA-256 of its bearer key.
/// @param Accepted active configuration
/// @param ProductName name of the product
/// @param KeySha256 64 lower-case hexadecimal digits
/// @return the caller, or null when the key is unknown for this product
/// @complexity logarithmic in the number of callers
const Caller *findCaller(const AcceptedConfiguration &Accepted,
                         std::string_view ProductName,
                         std::string_view KeySha256);

/// @brief Finds the products that the owner of a bearer key may use.
/// @param Accepted active configuration
/// @param KeySha256 64 lower-case hexadecimal digits
/// @return pointers into the configuration
/// @complexity O(p log c) for p products and c callers
std::vector<const Product *>
productsOfCaller(const AcceptedConfiguration &Accepted,
                 std::string_view KeySha256);

/// @brief Whether a caller may use a rank of a product.
/// @param Owner the product
/// @param Customer the caller
/// @param Wanted the requested rank
/// @return true when the product serves the rank and it is not more urgent than
/// the caller's highest rank
/// @complexity constant
bool isRankAllowed(const Product &Owner, const Caller &Customer, Rank Wanted);

} // namespace marigoldyard
