#pragma once

#include "marigoldyard/state/error.hpp"
#include "marigoldyard/state/types.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace marigoldyard {

/// @brief Timeouts of the loading of one endpoint.
struct LoadingSettings {
  /// Oldest last confirmed pause check that still allows an order; half the
  /// lease of 1 s within which a death is detected.
  Duration PauseLimit = std::chrono::milliseconds(500);
  Duration OrderTimeout = std::chrono::seconds(120); ///< answer to an order
  Duration ReadBackTimeout = std::chrono::seconds(5);
  Duration ReconcileInterval =
      std::chrono::seconds(5); ///< between read-backs when nothing changes
  Duration BackoffBase = std::chrono::seconds(1);
  Duration BackoffMax = std::chrono::seconds(60);
};

/// @brief A model version that the configuration asks the endpoint to run.
struct WantedModel {
  std::string Product;
  std::string Model;
  std::string Version;
  Digest Weights;

  friend bool operator==(const WantedModel &, const WantedModel &) = default;
};

/// @brief A model version that the engine reports as loaded.
struct LoadedModel {
  std::string Model;
  std::string Version;
  Digest Weights;

  // clang-tidy 14 reports names in the code that the compiler generates here.
  // NOLINTNEXTLINE(modernize-use-nullptr, readability-identifier-naming)
  friend auto operator<=>(const LoadedModel &, const LoadedModel &) = default;
};

/// @brief Progress of one wanted model.
enum class LoadPhase : std::uint8_t {
  WaitingForChunks,
  WaitingForTurn,
  Draining, ///< requests on the replaced digest finish
  Ordered,
  ReadingBack,
  Ready,
  Failed, ///< waits for its backoff
};
inline constexpr LoadPhase AllLoadPhases[] = {LoadPhase::WaitingForChunks,
                                              LoadPhase::WaitingForTurn,
                                              LoadPhase::Draining,
                                              LoadPhase::Ordered,
                                              LoadPhase::ReadingBack,
                                              LoadPhase::Ready,
                                              LoadPhase::Failed};

/// @brief Name of a phase for logs and /status.
/// @param Phase the phase
/// @return a lower-case name with underscores
std::string_view loadPhaseName(LoadPhase Phase);

/// @brief Kind of an order to the engine.
enum class OrderAction : std::uint8_t { Load, Unload };

/// @brief An order to the engine.
struct Order {
  OrderAction Action = OrderAction::Load;
  LoadedModel Target;
  std::vector<Digest> Chunks; ///< in descriptor order; empty for Unload
  Fence Number;
  TimePoint ValidUntil; ///< the order must not be sent at or after this time
};

/// @brief Asks the daemon for the engine's state; the answer goes to
/// engineReported.
struct ReadBack {};

/// @brief The digests that may be announced as ready changed.
struct AnnounceReady {
  std::vector<Digest> ReadyWeights;
};

/// @brief What the daemon is to do for the endpoint.
using LoadingAction = std::variant<Order, ReadBack, AnnounceReady>;

namespace detail {

struct ModelProgress {
  WantedModel Wanted;
  LoadPhase Phase = LoadPhase::WaitingForChunks;
  std::uint32_t Failures = 0;
  TimePoint RetryAt;
};

struct OutstandingOrder {
  Order Content;
  TimePoint Deadline;
};

} // namespace detail

/// @brief What an agent remembers of its endpoint. At most one order is
/// outstanding.
struct LoadingState {
  LoadingSettings Settings;
  std::string Endpoint; ///< name used in errors
  Incarnation Issuer = 0;
  Revision Number = 0;
  std::uint64_t Sequence = 0; ///< of the newest order
  std::vector<detail::ModelProgress> Models;
  std::map<Digest, std::vector<Digest>> Complete; ///< verified sets and chunks
  std::optional<std::vector<LoadedModel>> Engine; ///< newest read-back; nothing
                                                  ///< when unknown
  TimePoint EngineReadAt;
  TimePoint OrderEndedAt;  ///< an older read-back confirms nothing
  TimePoint ReadBackAfter; ///< earliest next read-back while the engine is lost
  std::optional<TimePoint> ReadBackDeadline; ///< set while one is in flight
  bool ReadBackNeeded = true;
  std::optional<detail::OutstandingOrder> Outstanding;
  std::set<Digest> Draining; ///< digests that accept no new requests
  std::set<Digest> Announced;
};

/// @brief Observations that a decision needs.
struct LoadingInput {
  TimePoint Now;
  TimePoint LastConfirmed; ///< last time at which the process is known not to
                           ///< have been paused for longer than a lease
  std::map<Digest, bool> Turn; ///< rollout decision by wanted digest
  std::map<Digest, std::uint32_t>
      InProgress; ///< requests that run on the endpoint by digest
};

/// @brief Creates the state of an endpoint.
/// @param Endpoint name used in errors
/// @param Issuer incarnation of the agent
/// @param Settings timeouts
/// @return the state; the engine's state is unknown until read
LoadingState makeLoading(std::string Endpoint, Incarnation Issuer,
                         LoadingSettings Settings = {});

/// @brief Replaces the wanted set. Models that stay keep their progress.
/// @param State the endpoint
/// @param Number revision in force; a lower one than before is ignored
/// @param Wanted the models of the products of the pool
/// @complexity quadratic in the number of models, which is small
void wantModels(LoadingState &State, Revision Number,
                std::vector<WantedModel> Wanted);

/// @brief All chunks of a version are held and verified.
/// @param State the endpoint
/// @param Weights digest of the version
/// @param Chunks its chunks in descriptor order
void weightsComplete(LoadingState &State, const Digest &Weights,
                     std::vector<Digest> Chunks);

/// @brief Chunks of a version are no longer all held.
/// @param State the endpoint
/// @param Weights digest of the version
void weightsIncomplete(LoadingState &State, const Digest &Weights);

/// @brief Answer to ReadBack.
/// @param State the endpoint
/// @param Loaded what the engine runs
/// @param ReadAt time at which the read was sent; an answer older than the
/// newest order is not taken as its confirmation
/// @param Now the time
void engineReported(LoadingState &State, std::vector<LoadedModel> Loaded,
                    TimePoint ReadAt, TimePoint Now);

/// @brief The engine did not answer ReadBack or closed its connection.
/// @param State the endpoint
/// @param Now the time
void engineLost(LoadingState &State, TimePoint Now);

/// @brief The engine answered an order.
/// @param State the endpoint
/// @param Number fence of the order
/// @param Accepted whether the engine carried it out
/// @param Now the time
/// @return the failure with step and peer, or nothing
std::optional<Error> orderAnswered(LoadingState &State, const Fence &Number,
                                   bool Accepted, TimePoint Now);

/// @brief The order was not sent because ValidUntil had passed.
/// @param State the endpoint
/// @param Number fence of the order
void orderNotSent(LoadingState &State, const Fence &Number);

/// @brief The process was paused for longer than a lease: everything known of
/// the engine is void until it is read again.
/// @param State the endpoint
void pauseDetected(LoadingState &State);

/// @brief Decides what to do for the endpoint.
/// @param State the endpoint
/// @param Input observations
/// @return the actions in the order in which they are to be carried out
/// @complexity quadratic in the number of models, which is small
std::vector<LoadingAction> planLoading(LoadingState &State,
                                       const LoadingInput &Input);

/// @brief Whether an order may be sent; asked right before sending.
/// @param Content the order
/// @param Now the time
/// @return false when the process may have been paused since the decision
bool maySend(const Order &Content, TimePoint Now);

/// @brief Whether new requests on a digest may start on the endpoint.
/// @param State the endpoint
/// @param Weights digest of the request
/// @return true when the digest was read back and is not being replaced
bool acceptsWork(const LoadingState &State, const Digest &Weights);

/// @brief Time at which planLoading is to be called if nothing happens before.
/// @param State the endpoint
/// @param Now the time
/// @return the time
TimePoint nextLoadingPlan(const LoadingState &State, TimePoint Now);

} // namespace marigoldyard
