#pragma once

#include "marigoldyard/state/crashed_request.hpp"
#include "marigoldyard/state/error.hpp"
#include "marigoldyard/state/fleet.hpp"
#include "marigoldyard/state/manifest.hpp"
#include "marigoldyard/state/store_item.hpp"
#include "marigoldyard/state/types.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace marigoldyard {

/// @brief Time of the hybrid logical clock; used by the time line only, never
/// by decisions.
struct HybridTime {
  std::int64_t WallMicroseconds = 0;
  std::uint32_t Logical = 0;

  // clang-tidy 14 reports names in the code that the compiler generates here.
  // NOLINTNEXTLINE(modernize-use-nullptr, readability-identifier-naming)
  friend auto operator<=>(const HybridTime &, const HybridTime &) = default;
};

/// @brief Header of every message between processes.
struct Header {
  std::string Sender;
  Incarnation SenderIncarnation = 0;
  std::string Receiver;
  std::uint64_t Sequence = 0; ///< strictly increasing for one (sender,
                              ///< incarnation, receiver, socket)
  Revision SenderRevision = 0;
  HybridTime SentAt;
};

/// @brief Identifies one try of a request.
struct TryId {
  std::string Request;
  std::uint32_t Attempt = 0;

  // clang-tidy 14 reports names in the code that the compiler generates here.
  // NOLINTNEXTLINE(modernize-use-nullptr, readability-identifier-naming)
  friend auto operator<=>(const TryId &, const TryId &) = default;
};

/// @brief Entry to agent: run a request.
struct Work {
  TryId Id;
  std::string Product;
  std::string Caller;
  Rank Priority = Rank::Batch;
  Digest Weights; ///< pinned for all tries of the request
  std::string Prompt;
  std::uint32_t MaxTokens = 0;
  std::uint32_t EstimatedTokens = 0;
  std::chrono::milliseconds TimeLeft{}; ///< until the deadline, at sending
};

/// @brief Agent to entry: the work is queued; from here on it may run.
struct WorkAccepted {
  TryId Id;
};

/// @brief Agent to entry: the work was not and will not be run.
struct WorkRefused {
  TryId Id;
  ErrorCode Reason = ErrorCode::NotReady;
  std::chrono::milliseconds RetryAfter{};
};

/// @brief Agent to entry: a part of the answer.
struct Piece {
  TryId Id;
  Digest Weights;
  std::uint64_t Sequence = 0; ///< 0, 1, 2, ...
  std::string Text;
};

/// @brief Agent to entry: the answer is complete.
struct StreamEnd {
  TryId Id;
  Digest Weights;
  std::uint64_t Count = 0;    ///< number of pieces
  std::uint64_t Checksum = 0; ///< XXH3-64 of the concatenated text
};

/// @brief Agent to entry: the work started and failed.
struct WorkFailed {
  TryId Id;
  ErrorCode Reason = ErrorCode::EndpointFailed;
  Step At = Step::Generate;
};

/// @brief Entry to agent: the caller left or another try took over.
struct CancelWork {
  TryId Id;
};

/// @brief Entry to agent: open an operation id.
struct OperationOpen {
  std::string Request;
  std::string Service;
  std::string Caller;
};

/// @brief Agent to entry: the operation id, or a refusal.
struct OperationOpened {
  std::string Request;
  std::string Operation;                  ///< empty when refused
  ErrorCode Reason = ErrorCode::NotReady; ///< valid when refused
};

/// @brief Entry to agent: run an operation at most once, or return its recorded
/// result.
struct OperationRun {
  std::string Request;
  std::string Operation;
  std::string Caller;
  std::string Body;
  std::chrono::milliseconds TimeLeft{};
};

/// @brief Agent to entry: result of an operation.
struct OperationResult {
  std::string Request;
  std::string Operation;
  Outcome Result = Outcome::Unknown;
  std::uint32_t Status = 0; ///< HTTP status of the service when complete
  std::string Body;
  ErrorCode Reason = ErrorCode::OperationUnknown; ///< valid unless complete
};

/// @brief Periodic load report of an agent; from an entry only the leaving flag
/// is meaningful.
struct Report {
  LoadReport Load;
};

/// @brief The sender has a newer configuration than the receiver.
struct ConfigurationOffer {
  ConfigurationIndex Index; ///< without values when only the revision is told
  /// Time since the configuration service was heard by the sender or by those
  /// that told it. Each process adds the time it held the news, so that news
  /// that circulates never looks fresh.
  std::chrono::milliseconds Age{};
};

/// @brief Asks for values of a revision.
struct ConfigurationRequest {
  Revision Number = 0;
  std::vector<std::string> Keys;
};

/// @brief Index and values of a configuration; values are the texts that the
/// service published.
struct ConfigurationValues {
  ConfigurationIndex Index;
  std::map<std::string, std::string> Values;
};

/// @brief Which chunks of a version the sender holds, one bit a chunk in
/// descriptor order. A process that starts to want a version asks its
/// neighbours for their maps before it draws chunks from the store.
struct ChunkMap {
  Digest Version;
  std::vector<bool> Held;
  bool HasDescriptor = true; ///< false: nothing of the version is held
  bool Asks = false;         ///< the receiver is to answer with its map
};

/// @brief Asks for a chunk on the bulk socket.
struct ChunkRequest {
  Digest Chunk;
};

/// @brief A chunk, sent on the bulk socket.
struct ChunkData {
  Digest Chunk;
  std::vector<std::uint8_t> Bytes;
};

/// @brief The chunk is not held or the upload limit is reached.
struct ChunkRefused {
  Digest Chunk;
  std::chrono::milliseconds RetryAfter{};
};

/// @brief First message on a connection: who the sender is. It lets a receiver
/// answer a process that its own VM list does not name yet.
struct Hello {
  Member Sender;
};

/// @brief Gateway to gateways and stagers: who serves callers. Addresses of
/// gateways name them, because the platform lists none.
struct GatewayStatus {
  Member Sender;
  std::string CallerAddress; ///< "host:port" for callers
  bool Ready = false;
  bool Leaving = false;
  StorePosition KnownUpto;             ///< of the store
  Revision ConfigRevision = 0;         ///< of the configuration in force
  std::vector<LoadedWeights> Required; ///< lowest versions that may be used
  std::vector<std::string> Gateways;   ///< live ones that the sender knows
};

/// @brief Stager to gateways and stagers: state of the server on its machine.
struct EngineStatus {
  Member Sender;
  std::string Server; ///< its address
  std::int64_t StartedAtMs = 0;
  bool Accepting = true;  ///< false while it is about to load or loads
  std::uint32_t Load = 0; ///< requests that run or wait there
  std::vector<LoadedWeights> Weights;
};

/// @brief Age of a declaration, as a gateway knows it.
struct DeclarationAge {
  std::string Model;
  std::uint64_t Version = 0;
  std::chrono::milliseconds Age{}; ///< upper bound
};

/// @brief Gateway to gateways: recent declarations of versions. No longer sent,
/// since the receiver cannot tell how old the message is; keeps its type
/// number.
struct VersionDeclarations {
  std::vector<DeclarationAge> Recent;
};

/// @brief Gateway to gateways: asks which versions were declared and required.
struct VersionQuestion {
  std::uint64_t Number = 0; ///< repeated in the answer
};

/// @brief Gateway to gateway: answer to a VersionQuestion.
struct VersionAnswer {
  std::uint64_t Number = 0; ///< of the question
  /// Whether the sender knows which versions are out of use; false if it has
  /// just started itself.
  bool Informed = false;
  std::vector<DeclarationAge> Recent;  ///< ages when the answer was made
  std::vector<LoadedWeights> Required; ///< lowest versions that may be used
};

/// @brief Gateway to stager: asks whether the stager saw the outage of the
/// store before a declaration too.
struct OutageQuestion {
  std::uint64_t Number = 0; ///< repeated in the answer
  std::string Model;
  std::uint64_t Version = 0;
};

/// @brief Stager to gateway: answer to an OutageQuestion.
struct OutageAnswer {
  std::uint64_t Number = 0; ///< of the question
  /// Upper bound of the time since the stager's last contact with the store
  /// without the declaration, or since it last saw the store unavailable.
  std::chrono::milliseconds Age{};
};

/// @brief Asks a gateway for what the platform's store holds.
struct StoreRelayRequest {
  StorePosition After; ///< everything up to here is known
  std::string Prefix;  ///< of the keys
};

/// @brief Items of the platform's store that the asking process lacks.
struct StoreRelay {
  std::vector<StoreItem> Items;
  /// Everything up to here that the sender was asked for is contained, but not
  /// removals from before the sender started.
  StorePosition Upto;
  /// For each era, the position up to which its items may be from the copy from
  /// which the store was restored.
  std::vector<StorePosition> CopiedUpTo;
};

/// @brief Stager to stager: asks for the chunks of a version, because the
/// origin does not answer.
struct DescriptorRequest {
  std::string Model;
  std::uint64_t Version = 0;
};

/// @brief The chunks of a version in order.
struct DescriptorReply {
  std::string Model;
  std::uint64_t Version = 0;
  std::uint64_t ChunkBytes = 0;
  std::vector<Digest> Chunks;
};

/// @brief Stager to gateway: asks for the facts about its pool.
struct PoolQuestion {
  Member Sender;
  std::string Pool;
};

/// @brief Gateway to stager: the facts about its pool, asked for or because a
/// version was declared.
struct PoolAnswer {
  PoolConfiguration Facts;
};

/// @brief Gateway to gateway: news about prompt parts that may crash servers.
struct PromptPartReport {
  std::string CrashedServer;          ///< address; empty: no crash to report
  std::vector<std::string> Suspected; ///< in a request that had not begun there
  std::vector<std::string> Begun;     ///< cleared, because a request began
  std::vector<std::string> Blocked;   ///< not sent to servers any more
};

/// @brief Why a CrashedRequestReport is sent.
enum class CrashReportKind : std::uint8_t {
  Changes, ///< has what changed at the sender
  Summary, ///< has no requests, only the hash of what the sender knows
  Answer,  ///< has all that the sender knows, and asks for what it lacks
  Rest,    ///< has all that the sender knows
};
inline constexpr std::size_t CrashReportKindCount = 4;

/// @brief Gateway to gateway: requests that were at crashed servers.
struct CrashedRequestReport {
  CrashReportKind Kind = CrashReportKind::Changes;
  /// Of all that the sender knows; not set in Changes.
  std::uint64_t ContentHash = 0;
  std::vector<ReportedRequest> Requests;
};

/// @brief Body of a message. The position in the list is the type number on the
/// wire: append only.
using Body =
    std::variant<Work, WorkAccepted, WorkRefused, Piece, StreamEnd, WorkFailed,
                 CancelWork, OperationOpen, OperationOpened, OperationRun,
                 OperationResult, Report, ConfigurationOffer,
                 ConfigurationRequest, ConfigurationValues, ChunkMap,
                 ChunkRequest, ChunkData, ChunkRefused, Hello, GatewayStatus,
                 EngineStatus, StoreRelayRequest, StoreRelay, DescriptorRequest,
                 DescriptorReply, PoolQuestion, PoolAnswer, VersionDeclarations,
                 PromptPartReport, VersionQuestion, VersionAnswer,
                 OutageQuestion, OutageAnswer, CrashedRequestReport>;

/// @brief A message between two processes of the system.
struct Message {
  Header Head;
  Body Content;
};

} // namespace marigoldyard
