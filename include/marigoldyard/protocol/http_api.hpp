#pragma once

#include "marigoldyard/state/error.hpp"
#include "marigoldyard/state/types.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marigoldyard {

/// @brief Most tokens that one request may ask for.
inline constexpr std::uint32_t MaxTokensLimit = 32'768;
/// @brief Tokens of a request that names no limit.
inline constexpr std::uint32_t DefaultMaxTokens = 256;
/// @brief Most messages of one chat request.
inline constexpr std::size_t MaxChatMessages = 1024;

/// @brief Which of the two completion interfaces a caller uses.
enum class CompletionKind : std::uint8_t { Text, Chat };

/// @brief Body of /v1/completions or /v1/chat/completions.
struct CompletionRequest {
  CompletionKind Kind = CompletionKind::Text;
  std::string Model; ///< names the product
  std::string Prompt;
  std::uint32_t MaxTokens = DefaultMaxTokens;
  bool Stream = false;
};

/// @brief Parses a completion request. Members that the system does not use,
/// such as temperature, are ignored.
/// @param Kind interface of the request
/// @param Text the body
/// @return the request; a chat is joined to one prompt of lines "role: text"
/// that ends with "assistant:". ErrorCode::InvalidMessage names the member and
/// what it must be.
/// @complexity linear in the length of the body
Expected<CompletionRequest> parseCompletionRequest(CompletionKind Kind,
                                                   std::string_view Text);

/// @brief Parses the body of POST /v1/operations.
/// @param Text the body
/// @return the name of the service, or ErrorCode::InvalidMessage
Expected<std::string> parseOperationRequest(std::string_view Text);

/// @brief Answer to POST /v1/operations.
/// @param Operation the new operation id
/// @return the JSON text
std::string operationJson(std::string_view Operation);

/// @brief Parses an Authorization header.
/// @param Value value of the header
/// @return the key, or nothing when the header is absent or of another form
std::optional<std::string_view> parseBearer(std::string_view Value);

/// @brief Parses an X-Rank header.
/// @param Value value of the header; empty when it is absent
/// @return the rank, nothing for an absent header, or
/// ErrorCode::InvalidMessage for an unknown rank
Expected<std::optional<Rank>> parseRankHeader(std::string_view Value);

/// @brief Content of an application/problem+json answer.
struct Problem {
  unsigned Status = 500; ///< HTTP status
  Outcome Result = Outcome::Failed;
  Error Cause;
  std::string Request; ///< request id, or empty
  std::optional<std::chrono::milliseconds> RetryAfter;
};

/// @brief Media type of a problem.
inline constexpr std::string_view ProblemMediaType = "application/problem+json";

/// @brief Builds a problem with the HTTP status that fits the error.
/// @param Cause the error
/// @param Result outcome of the request
/// @return the problem without RetryAfter
/// @complexity constant
Problem makeProblem(Error Cause, Outcome Result);

/// @brief JSON text of a problem.
/// @param Value the problem
/// @return an object with type, title, status, detail, outcome, step, peer and
/// error_id
std::string problemJson(const Problem &Value);

/// @brief Value of a Retry-After header.
/// @param Delay the delay
/// @return whole seconds, rounded up, at least 1
std::string retryAfterSeconds(std::chrono::milliseconds Delay);

/// @brief Parts that all answers to one completion request share.
struct AnswerHead {
  CompletionKind Kind = CompletionKind::Text;
  std::string Id;
  std::string Model;
  std::chrono::seconds Created{}; ///< since 1970-01-01 UTC
};

/// @brief Media type of a streamed answer.
inline constexpr std::string_view SseMediaType = "text/event-stream";
/// @brief Last event of a whole streamed answer.
inline constexpr std::string_view SseDone = "data: [DONE]\n\n";

/// @brief One event of a streamed answer.
/// @param Head shared parts
/// @param Text piece of the answer; may be empty
/// @param FinishReason "stop" or "length" on the last one, otherwise empty
/// @return the event with its empty line
std::string sseChunk(const AnswerHead &Head, std::string_view Text,
                     std::string_view FinishReason = {});

/// @brief Event that ends a streamed answer that failed after it had started.
/// @param Value the problem
/// @return the event with its empty line; no SseDone follows it
std::string sseProblem(const Problem &Value);

/// @brief Body of an answer that is not streamed.
/// @param Head shared parts
/// @param Text the whole answer
/// @param FinishReason "stop" or "length"
/// @return the JSON text
std::string completionJson(const AnswerHead &Head, std::string_view Text,
                           std::string_view FinishReason);

} // namespace marigoldyard
