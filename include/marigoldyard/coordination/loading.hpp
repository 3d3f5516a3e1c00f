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

/// @brief Timeouts for loading models on one endpoint.
struct LoadingSettings {
  /// No order may be sent when the last pause check is older than this; half of
  /// the 1 s lease within which a dead process is detected.
  Duration MaxPauseCheckAge = std::chrono::milliseconds(500);
  Duration OrderTimeout =
      std::chrono::seconds(120); ///< longest wait for the response to an order
  Duration ReadBackTimeout = std::chrono::seconds(5);
  Duration ReconcileInterval =
      std::chrono::seconds(5); ///< time between read-backs without changes
  Duration BackoffBase = std::chrono::seconds(1);
  Duration BackoffMax = std::chrono::seconds(60);
};

/// @brief A model version that the endpoint runs according to the
/// configuration.
struct DesiredModel {
  std::string Product;
  std::string Model;
  std::string Version;
  Digest Weights;

  friend bool operator==(const DesiredModel &, const DesiredModel &) = default;
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

/// @brief Progress of loading one desired model.
enum class LoadPhase : std::uint8_t {
  WaitingForChunks,
  WaitingForTurn,
  Draining, ///< waits for running requests on the replaced weights
  Ordered,
  ReadingBack,
  Ready,
  Failed, ///< retried after a backoff
};
inline constexpr LoadPhase AllLoadPhases[] = {LoadPhase::WaitingForChunks,
                                              LoadPhase::WaitingForTurn,
                                              LoadPhase::Draining,
                                              LoadPhase::Ordered,
                                              LoadPhase::ReadingBack,
                                              LoadPhase::Ready,
                                              LoadPhase::Failed};

/// @brief Name of a phase for logs and /status.
/// @return name in snake_case
std::string_view loadPhaseName(LoadPhase Phase);

/// @brief Kind of command sent to the engine.
enum class OrderAction : std::uint8_t { Load, Unload };

/// @brief A command to the engine to load or unload one model version.
struct Order {
  OrderAction Action = OrderAction::Load;
  LoadedModel Target;
  std::vector<Digest> Chunks; ///< in descriptor order; empty for Unload
  Fence FencingToken;
  TimePoint ValidUntil; ///< exclusive: latest time at which it may be sent
};

/// @brief Requests the list of loaded models from the engine; the caller passes
/// the response to handleEngineReport.
struct ReadBack {};

/// @brief Announces the complete, changed list of weights that are ready.
struct AnnounceReady {
  std::vector<Digest> ReadyWeights;
};

/// @brief An action that the agent carries out for the endpoint.
using LoadingAction = std::variant<Order, ReadBack, AnnounceReady>;

namespace detail {

struct ModelProgress {
  DesiredModel Desired;
  LoadPhase Phase = LoadPhase::WaitingForChunks;
  std::uint32_t FailureCount = 0;
  TimePoint RetryAt;
};

struct OutstandingOrder {
  Order SentOrder;
  TimePoint Deadline;
};

} // namespace detail

/// @brief State of model loading on the agent's endpoint. At most one order is
/// outstanding.
struct LoadingState {
  LoadingSettings Settings;
  std::string Endpoint; ///< endpoint name used in error messages
  Incarnation AgentIncarnation = 0;
  Revision ConfigRevision = 0;
  std::uint64_t LastOrderSequence = 0; ///< of the newest order
  std::vector<detail::ModelProgress> Models;
  /// Chunks in descriptor order by weights whose chunks are all held and
  /// verified.
  std::map<Digest, std::vector<Digest>> VerifiedChunks;
  /// Models reported by the newest read-back; empty when unknown.
  std::optional<std::vector<LoadedModel>> EngineModels;
  TimePoint EngineModelsReadAt;
  TimePoint LastOrderEndedAt; ///< read-backs sent before it are ignored
  TimePoint
      NextReadBackAt; ///< earliest next read-back after the engine was lost
  std::optional<TimePoint>
      ReadBackDeadline; ///< set while a read-back is in flight
  bool ReadBackNeeded = true;
  std::optional<detail::OutstandingOrder> Outstanding;
  std::set<Digest> DrainingWeights; ///< weights that accept no new requests
  std::set<Digest> AnnouncedWeights;
};

/// @brief Observations on which planLoading decides.
struct LoadingInput {
  TimePoint Now;
  /// Latest check that the process was not paused for longer than a lease.
  TimePoint LastPauseCheck;
  /// Whether the rollout allows the endpoint to load the weights now.
  std::map<Digest, bool> HasTurnByWeights;
  /// Number of requests that run on the endpoint, by weights.
  std::map<Digest, std::uint32_t> RunningRequests;
};

/// @brief Creates the loading state of an endpoint.
/// @param Endpoint endpoint name used in error messages
/// @param Issuer incarnation of the agent, part of every fencing token
/// @return state in which the loaded models are unknown until the first
/// read-back
LoadingState makeLoading(std::string Endpoint, Incarnation Issuer,
                         LoadingSettings Settings = {});

/// @brief Replaces the set of desired models. Unchanged models keep their
/// progress.
/// @param NewRevision configuration revision; the call is ignored when it is
/// lower than the current one
/// @param Wanted models of all products of the endpoint's pool
/// @complexity quadratic in the number of models, which is small
void setDesiredModels(LoadingState &State, Revision NewRevision,
                      std::vector<DesiredModel> Wanted);

/// @brief Records that all chunks of a version are held and verified.
/// @param Weights digest of the version's weights
/// @param Chunks digests of the chunks in descriptor order
void addVerifiedWeights(LoadingState &State, const Digest &Weights,
                        std::vector<Digest> Chunks);

/// @brief Records that chunks of a version are no longer held.
/// @param Weights digest of the version's weights
void removeVerifiedWeights(LoadingState &State, const Digest &Weights);

/// @brief Handles the response to ReadBack.
/// @param Loaded models that the engine runs
/// @param ReadAt time at which the read was sent; the response is ignored when
/// it was sent before the newest order ended, because it can't confirm that
/// order
void handleEngineReport(LoadingState &State, std::vector<LoadedModel> Loaded,
                        TimePoint ReadAt, TimePoint Now);

/// @brief Handles a read-back without a response or a closed connection.
void handleEngineLoss(LoadingState &State, TimePoint Now);

/// @brief Handles the engine's response to an order.
/// @param Token fencing token of the order; other tokens are ignored
/// @param Accepted whether the engine carried out the order
/// @return the error when the engine refused the order, otherwise empty
std::optional<Error> handleOrderResponse(LoadingState &State,
                                         const Fence &Token, bool Accepted,
                                         TimePoint Now);

/// @brief Handles an order that was not sent because ValidUntil had passed.
/// @param Token fencing token of the order; other tokens are ignored
void handleExpiredOrder(LoadingState &State, const Fence &Token);

/// @brief Discards the known engine state until the next read-back. Called when
/// the process was paused for longer than a lease.
void invalidateEngineState(LoadingState &State);

/// @brief Computes the next actions for the endpoint.
/// @return actions in the sequence in which they must be carried out
/// @complexity quadratic in the number of models, which is small
std::vector<LoadingAction> planLoading(LoadingState &State,
                                       const LoadingInput &Input);

/// @brief Whether an order may still be sent; checked right before sending.
/// @return false after ValidUntil, when the process may have been paused since
/// the order was created
bool isOrderValid(const Order &ToSend, TimePoint Now);

/// @brief Whether the endpoint accepts new requests for the given weights.
/// @return true when the engine reported the weights and they are not being
/// replaced
bool acceptsRequests(const LoadingState &State, const Digest &Weights);

/// @brief Time of the next call of planLoading unless an event occurs earlier.
/// @return time that is not before Now
TimePoint nextLoadingPlanTime(const LoadingState &State, TimePoint Now);

} // namespace marigoldyard
