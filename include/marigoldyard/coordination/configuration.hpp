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

/// @brief Prefix of the keys that hold one product each.
inline constexpr std::string_view ProductKeyPrefix = "products/";

/// @brief Source name that stands for the configuration service; all other
/// sources are names of peers.
inline constexpr std::string_view ServiceSource = "configuration-service";

/// @brief Largest number of products in a configuration. It bounds the memory
/// that one index from the network can claim.
inline constexpr std::size_t MaxProducts = 1024;

/// @brief Key of the configuration service under which a product is published.
/// @param ProductName name of the product
/// @return the key
std::string productKey(std::string_view ProductName);

/// @brief One value of the service after parsing; the digest is computed over
/// the text by the protocol layer.
struct CheckedValue {
  std::string Key;
  Digest Id;                 ///< SHA-256 of Text
  std::string Text;          ///< as published, kept for relaying
  Expected<Product> Content; ///< the parsed product, or why it is invalid
};

/// @brief A caller together with its product.
struct CallerMatch {
  std::size_t ProductIndex = 0; ///< into Manifest::Products
  std::size_t CallerIndex = 0;  ///< into Product::Callers
};

/// @brief A configuration that was accepted. Immutable, so that other threads
/// can share it.
struct AcceptedConfiguration {
  ConfigurationIndex Index;
  Manifest Content;
  std::map<std::string, std::string> Texts; ///< by key, as published
  std::map<std::string, CallerMatch, std::less<>>
      CallersByKey; ///< by "product name/SHA-256 of the bearer key"
};

/// @brief An index that is newer than the configuration in force, with the
/// values that arrived for it so far.
struct PendingConfiguration {
  ConfigurationIndex Index;
  std::map<std::string, CheckedValue> Values; ///< by key, digests match Index
};

/// @brief Number of peers that stand for the service at the start of a process:
/// with this many the highest revision is known unless all of them lag.
inline constexpr std::size_t EnoughPeers = 3;

/// @brief Waiting times of a process that starts.
struct StartTimeouts {
  Duration Service = std::chrono::seconds(3);
  Duration Peers = std::chrono::seconds(3);
  /// Longest wait for a revision that was announced but not received. It is
  /// below the 17 s within which a revision is in force everywhere.
  Duration CatchUp = std::chrono::seconds(12);
};

/// @brief Counters of acceptance, for metrics and alarms.
struct ConfigurationCounters {
  std::uint64_t Accepted = 0;
  std::uint64_t Invalid = 0;   ///< refused as invalid
  std::uint64_t Conflicts = 0; ///< alarms: same revision with other digests
  std::uint64_t Older = 0;     ///< indices below the revision in force
  std::uint64_t Mismatches =
      0; ///< values whose digest differs from the pending index
};

/// @brief State of acceptance of one process.
struct ConfigurationState {
  std::shared_ptr<const AcceptedConfiguration> InForce; ///< null before any
  std::optional<PendingConfiguration> Pending;
  std::optional<ConfigurationIndex>
      LastRefused; ///< last invalid index, so that it is not read again
  TimePoint StartedAt;
  StartTimeouts Timeouts;
  bool ServiceHeard = false;
  std::set<std::string, std::less<>> PeersHeard; ///< at most EnoughPeers
  Revision HighestHeard = 0; ///< highest revision of any valid source
  ConfigurationCounters Counters;
};

/// @brief What follows from an event of acceptance.
enum class AcceptanceAction : std::uint8_t {
  Keep,       ///< nothing changes
  NeedValues, ///< read Needed; what is in force stays
  Accepted,   ///< a new configuration is in force
  Refused,    ///< Failure tells why; what is in force stays
};

/// @brief Result of an event of acceptance.
struct AcceptanceResult {
  AcceptanceAction Action = AcceptanceAction::Keep;
  std::vector<std::string> Needed;
  std::optional<Error> Failure;
  Revision Number = 0; ///< revision that was accepted or refused; 0 when an
                       ///< index without a usable revision was refused
};

/// @brief State of a process that starts.
/// @param Now time of the start
/// @param Timeouts waiting times before the process may be ready
/// @return the state, without a configuration
/// @complexity constant
ConfigurationState startConfiguration(TimePoint Now,
                                      StartTimeouts Timeouts = {});

/// @brief Revision in force.
/// @param State state of acceptance
/// @return the revision, or 0 before any
/// @complexity constant
Revision revisionInForce(const ConfigurationState &State);

/// @brief Handles an index read from the service or offered by a peer.
///
/// A strictly higher revision becomes pending and its missing values are
/// requested. An index with a different content under the revision in force is
/// refused with ConflictingRevision. An index without values is an announcement
/// of the revision only.
/// @param State state of acceptance
/// @param Index the index
/// @param Source ServiceSource or the name of the peer
/// @return NeedValues, Accepted (when all values are known already), Keep or
/// Refused
/// @complexity linear in the number of products
AcceptanceResult receiveIndex(ConfigurationState &State,
                              const ConfigurationIndex &Index,
                              std::string_view Source);

/// @brief Handles values read from the service or sent by a peer.
///
/// A value whose digest differs from the pending index is dropped and stays
/// needed: the service may publish an index before its keys. A value with the
/// right digest and invalid content refuses the whole revision.
/// @param State state of acceptance
/// @param Values the values
/// @param Source ServiceSource or the name of the peer
/// @return Accepted, NeedValues, Keep or Refused (InvalidManifest)
/// @complexity linear in the number of products and callers
AcceptanceResult receiveValues(ConfigurationState &State,
                               std::vector<CheckedValue> Values,
                               std::string_view Source);

/// @brief Handles an index that could not be parsed. What is in force stays.
/// @param State state of acceptance
/// @param Failure why the index is invalid
/// @param Source ServiceSource or the name of the peer
/// @return Refused with the failure
/// @complexity constant
AcceptanceResult receiveInvalidIndex(ConfigurationState &State, Error Failure,
                                     std::string_view Source);

/// @brief Handles a failed read. What is in force and what is pending stay.
/// @param State state of acceptance
/// @return NeedValues when a revision is pending, or Keep
/// @complexity linear in the number of products
AcceptanceResult receiveReadFailure(const ConfigurationState &State);

/// @brief Notes the revision that a peer's message carries. Only a peer that
/// advertises one counts as heard for the own readiness.
/// @param State state of acceptance
/// @param Peer sender
/// @param Number the sender's revision; 0 while it is not ready
/// @complexity constant
void notePeerRevision(ConfigurationState &State, std::string_view Peer,
                      Revision Number);

/// @brief Revision to put on messages. A process that is not ready advertises
/// none: two processes that restarted while the service is stale would
/// otherwise confirm the old revision to each other.
/// @param State state of acceptance
/// @param Now current time
/// @return the revision in force, or 0 while not ready
/// @complexity constant
Revision advertisedRevision(const ConfigurationState &State, TimePoint Now);

/// @brief Keys of the pending index whose values are missing.
/// @param State state of acceptance
/// @return the keys, sorted; empty when nothing is pending
/// @complexity linear in the number of products
std::vector<std::string> neededKeys(const ConfigurationState &State);

/// @brief Whether the process may serve.
///
/// A configuration must be in force. During the start, the service and one
/// peer, or EnoughPeers peers, must have been heard or have timed out, and the
/// highest announced revision must be in force or its waiting time be over.
/// @param State state of acceptance
/// @param Now current time
/// @return true when ready
/// @complexity constant
bool configurationReady(const ConfigurationState &State, TimePoint Now);

/// @brief Values in force for a peer that asks for them.
/// @param State state of acceptance
/// @param Number revision that the peer asked for
/// @param Keys keys that the peer asked for; empty asks for the index only
/// @return texts of known keys by key, or nothing when Number is above the
/// revision in force
/// @complexity linear in the number of keys
std::optional<std::map<std::string, std::string>>
valuesForPeer(const ConfigurationState &State, Revision Number,
              const std::vector<std::string> &Keys);

/// @brief Contradiction between products of one manifest.
struct ManifestConflict {
  std::size_t ProductIndex = 0;
  std::string Path; ///< JSON pointer below the product, e.g. "/services/0/pool"
  std::string Message;
};

/// @brief Contradictions between products: names and services that are defined
/// twice, and pools that are used for both engines and plain services.
/// @param Content the manifest
/// @return one entry for each contradiction; empty when there is none
/// @complexity O(n log n) in the number of products and services
std::vector<ManifestConflict> manifestConflicts(const Manifest &Content);

/// @brief Finds a product by name.
/// @param Content the manifest
/// @param Name name of the product
/// @return the product, or null
/// @complexity linear in the number of products
const Product *findProduct(const Manifest &Content, std::string_view Name);

/// @brief Products that the endpoints of a pool serve.
/// @param Content the manifest
/// @param Pool name of the pool
/// @return pointers into Content, in its order
/// @complexity linear in the number of products
std::vector<const Product *> productsOfPool(const Manifest &Content,
                                            std::string_view Pool);

/// @brief Plain service of a product.
/// @param Owner the product
/// @param Name name of the service
/// @return the service, or null
/// @complexity linear in the number of services
const Service *findService(const Product &Owner, std::string_view Name);

/// @brief Services that the endpoints of a pool offer.
/// @param Content the manifest
/// @param Pool name of the pool
/// @return pairs of product and service, pointers into Content
/// @complexity linear in the number of services
std::vector<std::pair<const Product *, const Service *>>
servicesOfPool(const Manifest &Content, std::string_view Pool);

/// @brief Caller of a product by the SHA-256 of its bearer key.
/// @param Accepted configuration in force
/// @param ProductName name of the product
/// @param KeySha256 64 lower-case hexadecimal digits
/// @return the caller, or null when the key is unknown for this product
/// @complexity logarithmic in the number of callers
const Caller *findCaller(const AcceptedConfiguration &Accepted,
                         std::string_view ProductName,
                         std::string_view KeySha256);

/// @brief Products that a bearer key may use.
/// @param Accepted configuration in force
/// @param KeySha256 64 lower-case hexadecimal digits
/// @return pointers into the configuration
/// @complexity O(p log c) for p products and c callers
std::vector<const Product *>
productsOfCaller(const AcceptedConfiguration &Accepted,
                 std::string_view KeySha256);

/// @brief Whether a caller may use a rank of a product.
/// @param Owner the product
/// @param Customer the caller
/// @param Wanted the rank
/// @return true when the product serves the rank and it is not above the
/// caller's highest
/// @complexity constant
bool rankAllowed(const Product &Owner, const Caller &Customer, Rank Wanted);

} // namespace marigoldyard
