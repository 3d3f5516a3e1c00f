#pragma once

#include "marigoldyard/protocol/message.hpp"

namespace marigoldyard::detail {

/// @brief Marks a member that holds digests, which travel as 32 bytes.
template <typename T> struct DigestField { T &Value; };
template <typename T> DigestField<T> asDigest(T &Value) { return {Value}; }

/// @brief Order of the fields of each type on the wire. The same list serves
/// writing and reading: an archive gets references to all members.
template <typename T> struct Fields;

#define MARIGOLDYARD_FIELDS(Type, ...)                                         \
  template <> struct Fields<Type> {                                            \
    static void visit(auto &Archive, auto &M) { Archive.all(__VA_ARGS__); }    \
  };

MARIGOLDYARD_FIELDS(HybridTime, M.WallMicroseconds, M.Logical)
MARIGOLDYARD_FIELDS(Header, M.Sender, M.SenderIncarnation, M.Receiver,
                    M.Sequence, M.SenderRevision, M.SentAt)
MARIGOLDYARD_FIELDS(TryId, M.Request, M.Attempt)
MARIGOLDYARD_FIELDS(LoadReport, M.QueuedTokens[0], M.QueuedTokens[1],
                    M.QueuedTokens[2], M.Running, M.Slots, M.TokensPerSecond,
                    M.Ready, M.Draining, asDigest(M.ReadyWeights))
MARIGOLDYARD_FIELDS(ConfigurationIndex, M.ConfigRevision, asDigest(M.Values))
MARIGOLDYARD_FIELDS(Work, M.Id, M.Product, M.Caller, M.Priority,
                    asDigest(M.Weights), M.Prompt, M.MaxTokens,
                    M.EstimatedTokens, M.TimeLeft)
MARIGOLDYARD_FIELDS(WorkAccepted, M.Id)
MARIGOLDYARD_FIELDS(WorkRefused, M.Id, M.Reason, M.RetryAfter)
MARIGOLDYARD_FIELDS(Piece, M.Id, asDigest(M.Weights), M.Sequence, M.Text)
MARIGOLDYARD_FIELDS(StreamEnd, M.Id, asDigest(M.Weights), M.Count, M.Checksum)
MARIGOLDYARD_FIELDS(WorkFailed, M.Id, M.Reason, M.At)
MARIGOLDYARD_FIELDS(CancelWork, M.Id)
MARIGOLDYARD_FIELDS(OperationOpen, M.Request, M.Service, M.Caller)
MARIGOLDYARD_FIELDS(OperationOpened, M.Request, M.Operation, M.Reason)
MARIGOLDYARD_FIELDS(OperationRun, M.Request, M.Operation, M.Caller, M.Body,
                    M.TimeLeft)
MARIGOLDYARD_FIELDS(OperationResult, M.Request, M.Operation, M.Result, M.Status,
                    M.Body, M.Reason)
MARIGOLDYARD_FIELDS(Report, M.Load)
MARIGOLDYARD_FIELDS(ConfigurationOffer, M.Index, M.Age)
MARIGOLDYARD_FIELDS(ConfigurationRequest, M.Number, M.Keys)
MARIGOLDYARD_FIELDS(ConfigurationValues, M.Index, M.Values)
MARIGOLDYARD_FIELDS(ChunkMap, asDigest(M.Version), M.Held, M.HasDescriptor,
                    M.Asks)
MARIGOLDYARD_FIELDS(ChunkRequest, asDigest(M.Chunk))
MARIGOLDYARD_FIELDS(ChunkData, asDigest(M.Chunk), M.Bytes)
MARIGOLDYARD_FIELDS(ChunkRefused, asDigest(M.Chunk), M.RetryAfter)
MARIGOLDYARD_FIELDS(Member, M.Name, M.Address, M.Kind, M.Region,
                    M.FailureDomain, M.Pool, M.Draining)
MARIGOLDYARD_FIELDS(Hello, M.Sender)
MARIGOLDYARD_FIELDS(LoadedWeights, M.Model, M.Version)
MARIGOLDYARD_FIELDS(StorePosition, M.Era, M.Revision)
MARIGOLDYARD_FIELDS(StoreItem, M.Key, M.Value, M.ChangedRevision, M.Deleted,
                    M.Era)
MARIGOLDYARD_FIELDS(GatewayStatus, M.Sender, M.CallerAddress, M.Ready,
                    M.Leaving, M.KnownUpto, M.ConfigRevision, M.Required,
                    M.Gateways)
MARIGOLDYARD_FIELDS(EngineStatus, M.Sender, M.Server, M.StartedAtMs,
                    M.Accepting, M.Load, M.Weights)
MARIGOLDYARD_FIELDS(StoreRelayRequest, M.After, M.Prefix)
MARIGOLDYARD_FIELDS(StoreRelay, M.Items, M.Upto, M.CopiedUpTo)
MARIGOLDYARD_FIELDS(DescriptorRequest, M.Model, M.Version)
MARIGOLDYARD_FIELDS(DescriptorReply, M.Model, M.Version, M.ChunkBytes,
                    asDigest(M.Chunks))
MARIGOLDYARD_FIELDS(PoolMember, M.Address, M.Region)
MARIGOLDYARD_FIELDS(PoolConfiguration, M.Pool, M.ConfigRevision,
                    M.OriginAddress, M.OriginFailureDomain, M.Models,
                    M.StreamsResumable, M.Members, M.Declared, M.Layers)
MARIGOLDYARD_FIELDS(PoolQuestion, M.Sender, M.Pool)
MARIGOLDYARD_FIELDS(PoolAnswer, M.Facts)
MARIGOLDYARD_FIELDS(DeclarationAge, M.Model, M.Version, M.Age)
MARIGOLDYARD_FIELDS(VersionDeclarations, M.Recent)
MARIGOLDYARD_FIELDS(VersionQuestion, M.Number)
MARIGOLDYARD_FIELDS(VersionAnswer, M.Number, M.Informed, M.Recent, M.Required)
MARIGOLDYARD_FIELDS(OutageQuestion, M.Number, M.Model, M.Version)
MARIGOLDYARD_FIELDS(OutageAnswer, M.Number, M.Age)
MARIGOLDYARD_FIELDS(PromptPartReport, M.CrashedServer, M.Suspected, M.Begun,
                    M.Blocked)

MARIGOLDYARD_FIELDS(ReportedRequestCrash, M.ServerRun, M.Server, M.SentAge,
                    M.Age)
MARIGOLDYARD_FIELDS(ReportedRequest, asDigest(M.Request), M.Blocked, M.Trials,
                    M.Crashes, M.ClearedCrashes)
MARIGOLDYARD_FIELDS(CrashedRequestReport, M.Kind, M.ContentHash, M.Requests)

#undef MARIGOLDYARD_FIELDS

} // namespace marigoldyard::detail
