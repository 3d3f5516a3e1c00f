#pragma once

#include "bench/policy_trace_common.hpp"

#include <cstdint>
#include <vector>

namespace marigoldyard::bench {

/// @brief A request in the batch of an engine.
struct Stream {
  std::size_t RequestIndex = 0;
  Rank Priority = Rank::Batch;
  std::uint32_t PromptLeft = 0;
  std::uint32_t AnswerLeft = 0;
};

/// @brief A model engine that batches continuously and honours priorities.
struct Engine {
  std::vector<Stream> Batch;
  std::vector<Stream> Paused;
  std::vector<std::size_t> Decoding;  ///< streams of the present step, by
                                      ///< request
  std::vector<std::size_t> Prefilled; ///< their prompt ends with this step
  bool Stepping = false;
};

/// @brief Adds a request to the batch.
/// @param Target the engine
/// @param Source the request
/// @param Index its index
void addStream(Engine &Target, const Request &Source, std::size_t Index);

/// @brief Moves a stream out of the batch; its progress is kept.
/// @param Target the engine
/// @param Index of the request
void pauseStream(Engine &Target, std::size_t Index);

/// @brief Moves a paused stream back; a tenth of its context is read again.
/// @param Target the engine
/// @param Index of the request
/// @param Context tokens of prompt and answer so far
void resumeStream(Engine &Target, std::size_t Index, std::uint32_t Context);

/// @brief Plans a step: prefill by priority up to PrefillChunk tokens, and one
/// token for every stream whose prompt is done.
/// @param Target the engine, with a batch
/// @return length of the step
Duration beginStep(Engine &Target);

/// @brief A stream after a step.
struct StepOutput {
  std::size_t RequestIndex = 0;
  bool Ended = false;
};

/// @brief Ends a step.
/// @param Target the engine
/// @return the streams that produced a token
std::vector<StepOutput> endStep(Engine &Target);

} // namespace marigoldyard::bench
