#include "bench/policy_engine_common.hpp"

#include <algorithm>

namespace marigoldyard::bench {

namespace {

auto findStream(std::vector<Stream> &Streams, std::size_t Index) {
  return std::find_if(
      Streams.begin(), Streams.end(),
      [Index](const Stream &Item) { return Item.RequestIndex == Index; });
}

} // namespace

void addStream(Engine &Target, const Request &Source, std::size_t Index) {
  Target.Batch.push_back(
      {Index, Source.Priority, Source.PromptTokens, Source.AnswerTokens});
}

void pauseStream(Engine &Target, std::size_t Index) {
  auto At = findStream(Target.Batch, Index);
  Target.Paused.push_back(*At);
  Target.Batch.erase(At);
}

void resumeStream(Engine &Target, std::size_t Index, std::uint32_t Context) {
  constexpr std::uint32_t ContextPerReadToken = 10;
  auto At = findStream(Target.Paused, Index);
  At->PromptLeft += Context / ContextPerReadToken;
  Target.Batch.push_back(*At);
  Target.Paused.erase(At);
}

Duration beginStep(Engine &Target) {
  Target.Decoding.clear();
  Target.Prefilled.clear();
  std::uint32_t Budget = PrefillChunk;
  for (Rank Priority : AllRanks)
    for (Stream &Item : Target.Batch) {
      if (Item.Priority != Priority || Budget == 0 || Item.PromptLeft == 0)
        continue;
      const std::uint32_t Read = std::min(Budget, Item.PromptLeft);
      Budget -= Read;
      Item.PromptLeft -= Read;
      // The last part of the prompt yields the first token.
      if (Item.PromptLeft == 0)
        Target.Prefilled.push_back(Item.RequestIndex);
    }
  for (const Stream &Item : Target.Batch)
    if (Item.PromptLeft == 0 &&
        std::find(Target.Prefilled.begin(), Target.Prefilled.end(),
                  Item.RequestIndex) == Target.Prefilled.end())
      Target.Decoding.push_back(Item.RequestIndex);
  Target.Stepping = true;
  return StepBase +
         StepPerStream * static_cast<std::int64_t>(Target.Decoding.size()) +
         StepPerPromptToken * static_cast<std::int64_t>(PrefillChunk - Budget);
}

std::vector<StepOutput> endStep(Engine &Target) {
  std::vector<StepOutput> Result;
  Target.Stepping = false;
  for (const auto *Producing : {&Target.Prefilled, &Target.Decoding})
    for (std::size_t Index : *Producing) {
      // A stream that was paused during the step keeps its place but loses the
      // token of this step.
      auto At = findStream(Target.Batch, Index);
      if (At == Target.Batch.end())
        continue;
      if (At->AnswerLeft > 0)
        --At->AnswerLeft;
      const bool Ended = At->AnswerLeft == 0;
      Result.push_back({Index, Ended});
      if (Ended)
        Target.Batch.erase(At);
    }
  return Result;
}

} // namespace marigoldyard::bench
