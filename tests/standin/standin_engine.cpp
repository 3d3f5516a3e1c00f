// Model engine: staging, fenced orders and token streams.

#include "marigoldyard/protocol/digest.hpp"
#include "marigoldyard/protocol/platform_api.hpp"
#include "marigoldyard/transport/clock.hpp"
#include "tests/standin/standin_common.hpp"

#include <algorithm>
#include <deque>
#include <fmt/format.h>

namespace marigoldyard {

namespace {

using Json = nlohmann::json;

/// Newest records that GET /state returns; agents read it often.
constexpr std::size_t MaxOrders = 1000;
constexpr std::size_t MaxStarted = 4000;
constexpr std::size_t MaxStagedChunks = 100000;
constexpr std::uint64_t MaxTokens = 100000;

/// Only digest and size of a staged chunk are kept, so that hundreds of engines
/// fit into the memory of one test machine.
struct StagedChunk {
  Digest Actual;
  std::uint64_t Size = 0;
};

struct TokenStream {
  GenerateRequest Work;
  std::string Model;
  std::string PromptHash;
  std::uint64_t Next = 0; ///< number of the next piece
  TimePoint DueAt;
  Responder Answer;
  bool Paused = false;
  bool Stopped = false; ///< paused, and no next piece is planned
};

struct Engine {
  std::size_t Slots = 8;
  std::size_t MaxModels = 2;
  std::size_t TokenMicroseconds = 2000;
  std::size_t FirstTokenMicroseconds = 5000;
  std::map<Digest, StagedChunk> Staged;
  std::vector<VersionDescriptor> Loaded; ///< oldest first
  Fence Newest;
  std::deque<Json> Orders;
  std::uint64_t LastStream = 0;
  std::map<std::uint64_t, TokenStream> Streams;
  std::map<std::string, std::uint64_t> Started;
  std::deque<std::string> StartedOrder; ///< oldest first
  std::uint64_t Generated = 0;
  std::size_t MaxRunning = 0;
  std::uint64_t Pauses = 0;
};

struct OrderAnswer {
  unsigned Status = 200;
  std::string Result = "done";
};

/// Keeps memory bounded over many versions: once more is staged than max_models
/// versions of this size need, chunks of versions that are not loaded go.
void dropUnusedChunks(Engine &Target, std::uint64_t VersionBytes) {
  std::uint64_t Total = 0;
  std::set<Digest> Used;
  for (const auto &[Id, Part] : Target.Staged)
    Total += Part.Size;
  for (const VersionDescriptor &Version : Target.Loaded)
    for (const Chunk &Part : Version.Chunks)
      Used.insert(Part.Id);
  if (Total > Target.MaxModels * VersionBytes)
    std::erase_if(Target.Staged,
                  [&](const auto &Item) { return !Used.contains(Item.first); });
}

/// The loaded version with a digest, or null.
const VersionDescriptor *findLoaded(const Engine &Target, const Digest &Id) {
  for (const VersionDescriptor &Version : Target.Loaded)
    if (Version.Id == Id)
      return &Version;
  return nullptr;
}

/// Streams that take a slot.
std::size_t runningStreams(const Engine &Target) {
  return static_cast<std::size_t>(
      std::count_if(Target.Streams.begin(), Target.Streams.end(),
                    [](const auto &Item) { return !Item.second.Paused; }));
}

OrderAnswer load(Engine &Target, const EngineOrder &Order) {
  VersionDescriptor New{Order.Weights, Order.Model, Order.Version, {}};
  std::uint64_t Bytes = 0;
  for (const Digest &Id : Order.Chunks) {
    auto Found = Target.Staged.find(Id);
    if (Found == Target.Staged.end() || Found->second.Actual != Id)
      return {422, "chunk missing or corrupt: " + Id};
    New.Chunks.push_back({Id, Found->second.Size});
    Bytes += Found->second.Size;
  }
  if (sha256Hex(descriptorJson(New)) != New.Id)
    return {422, "the descriptor has another digest"};
  if (findLoaded(Target, New.Id))
    return {};
  if (Target.Loaded.size() >= Target.MaxModels)
    return {409, "too many models"};
  Target.Loaded.push_back(std::move(New));
  dropUnusedChunks(Target, Bytes);
  return {};
}

OrderAnswer execute(Engine &Target, const StandinProgram &Program,
                    const EngineOrder &Order) {
  if (Order.Number < Target.Newest && !Program.fault("ignore_fence"))
    return {409, "old fence"};
  Target.Newest = std::max(Target.Newest, Order.Number);
  if (Order.Action == OrderAction::Load)
    return Program.fault("fail_load") ? OrderAnswer{500, "load failed"}
                                      : load(Target, Order);
  const std::size_t Removed =
      std::erase_if(Target.Loaded, [&](const VersionDescriptor &Old) {
        return Old.Id == Order.Weights;
      });
  return {200, Removed > 0 ? "done" : "not loaded"};
}

void order(Engine &Target, const StandinProgram &Program, const Call &C) {
  const EngineOrder Order = valueOf(parseEngineOrder(C.Request.Body));
  const OrderAnswer Result = execute(Target, Program, Order);
  const Json Text = C.json();
  Target.Orders.push_back({{"fence", Text["fence"]},
                           {"action", Text["action"]},
                           {"weights", Order.Weights},
                           {"time_us", now().time_since_epoch().count()},
                           {"status", Result.Status},
                           {"result", Result.Result}});
  if (Target.Orders.size() > MaxOrders)
    Target.Orders.pop_front();
  reply(C.Answer, Result.Status, {{"result", Result.Result}});
}

void stage(Engine &Target, const Call &C) {
  if (Target.Staged.size() >= MaxStagedChunks)
    return replyError(C.Answer, 507, "too many staged chunks");
  Target.Staged[C.Key] = {sha256Hex(C.Request.Body), C.Request.Body.size()};
  reply(C.Answer, 200, {{"staged", Target.Staged.size()}});
}

/// Digest that the pieces of a stream carry now: another version of the same
/// model when the requested one was unloaded, empty when none is loaded.
Digest currentWeights(const Engine &Target, const TokenStream &Stream) {
  Digest Result;
  for (const VersionDescriptor &Version : Target.Loaded) {
    if (Version.Id == Stream.Work.Weights)
      return Version.Id;
    if (Version.Model == Stream.Model)
      Result = Version.Id;
  }
  return Result;
}

std::string pieceLine(const std::string &Request, const std::string &PromptHash,
                      std::uint64_t Number, const Digest &Weights) {
  return generateLineJson(
             {.Request = Request,
              .Weights = Weights,
              .Sequence = Number,
              .Text = fmt::format("w{}-{} ", Number, PromptHash)}) +
         "\n";
}

/// A piece of another request: of one that runs now, if there is any.
std::string crossedLine(const Engine &Target, const TokenStream &Stream) {
  for (const auto &[Number, Other] : Target.Streams)
    if (Other.Work.Request != Stream.Work.Request)
      return pieceLine(Other.Work.Request, Other.PromptHash, Stream.Next,
                       Other.Work.Weights);
  return pieceLine(Stream.Work.Request + "-other", "00000000", Stream.Next,
                   Stream.Work.Weights);
}

/// The lines for the next piece, with the faults that change lines.
std::string nextLines(const Engine &Target, const StandinProgram &Program,
                      const TokenStream &Stream, Digest Weights) {
  const std::uint64_t Middle = Stream.Work.MaxTokens / 2;
  std::uint64_t Number = Stream.Next;
  if (Program.fault("reorder") && Middle + 1 < Stream.Work.MaxTokens)
    Number = Number == Middle       ? Middle + 1
             : Number == Middle + 1 ? Middle
                                    : Number;
  if (Program.fault("wrong_weights") && Stream.Next >= Middle)
    Weights = sha256Hex(Weights);
  std::string Lines =
      pieceLine(Stream.Work.Request, Stream.PromptHash, Number, Weights);
  if (Program.fault("duplicate") && Stream.Next == Middle)
    Lines += Lines;
  if (Program.fault("cross") && Stream.Next % 2 == 0)
    Lines = crossedLine(Target, Stream) + Lines;
  return Lines;
}

/// Sends one piece or the end of a stream, and plans the next one. A stream
/// that is gone is ignored.
void advance(Engine &Target, StandinProgram &Program, std::uint64_t Number) {
  auto Found = Target.Streams.find(Number);
  if (Found == Target.Streams.end())
    return;
  TokenStream &Stream = Found->second;
  Stream.Stopped = Stream.Paused;
  if (Stream.Paused)
    return;
  const Digest Weights = currentWeights(Target, Stream);
  const bool AtMiddle = Stream.Next == Stream.Work.MaxTokens / 2;
  if (AtMiddle && Program.fault("stall"))
    return; // keeps its slot until the client leaves or cancels
  const bool Truncated = AtMiddle && Program.fault("truncate");
  const bool Complete = Stream.Next == Stream.Work.MaxTokens;
  if (Weights.empty()) {
    Stream.Answer.abort();
  } else if (Complete) {
    Stream.Answer.write(generateLineJson({.Request = Stream.Work.Request,
                                          .Weights = Weights,
                                          .End = true,
                                          .Count = Stream.Work.MaxTokens}) +
                        "\n");
  }
  if (Weights.empty() || Truncated || Complete ||
      !Stream.Answer.write(nextLines(Target, Program, Stream, Weights))) {
    Stream.Answer.finish();
    Target.Streams.erase(Found);
    return;
  }
  ++Stream.Next;
  ++Target.Generated;
  Stream.DueAt += std::chrono::microseconds(Target.TokenMicroseconds);
  Program.after(
      std::max(Stream.DueAt - now(), Duration(1)),
      [&Target, &Program, Number] { advance(Target, Program, Number); });
}

void countStart(Engine &Target, const std::string &Request) {
  if (++Target.Started[Request] > 1)
    return;
  Target.StartedOrder.push_back(Request);
  if (Target.StartedOrder.size() > MaxStarted) {
    Target.Started.erase(Target.StartedOrder.front());
    Target.StartedOrder.pop_front();
  }
}

void generate(Engine &Target, StandinProgram &Program, const Call &C) {
  const Responder &Answer = C.Answer;
  TokenStream New{
      valueOf(parseGenerateRequest(C.Request.Body)), {}, {}, 0, {}, Answer};
  if (New.Work.MaxTokens > MaxTokens)
    return replyError(Answer, 400, "max_tokens is out of range");
  const VersionDescriptor *const Found = findLoaded(Target, New.Work.Weights);
  if (!Found)
    return replyError(Answer, 404, "the weights are not loaded");
  if (runningStreams(Target) >= Target.Slots)
    return replyError(Answer, 429, "no slot is free", {{"Retry-After", "1"}});
  New.Model = Found->Model;
  New.PromptHash = sha256Hex(New.Work.Prompt).substr(0, 8);
  const std::chrono::microseconds First(Target.FirstTokenMicroseconds);
  New.DueAt = now() + First;
  countStart(Target, New.Work.Request);
  Answer.start({200, {{"Content-Type", "application/x-ndjson"}}, ""});
  const std::uint64_t Number = ++Target.LastStream;
  Target.Streams.emplace(Number, std::move(New));
  Target.MaxRunning = std::max(Target.MaxRunning, runningStreams(Target));
  Program.onDisconnect(Answer,
                       [&Target, Number] { Target.Streams.erase(Number); });
  Program.after(
      First, [&Target, &Program, Number] { advance(Target, Program, Number); });
}

/// Ends the streams of a request without an end line.
void cancel(Engine &Target, const Call &C) {
  const std::string Id = valueOf(parseCancel(C.Request.Body));
  const std::size_t Ended =
      std::erase_if(Target.Streams, [&](const auto &Item) {
        if (Item.second.Work.Request != Id)
          return false;
        Item.second.Answer.finish();
        return true;
      });
  reply(C.Answer, 200, {{"cancelled", Ended}});
}

TokenStream *findStream(Engine &Target, const std::string &Request) {
  for (auto &[Number, Stream] : Target.Streams)
    if (Stream.Work.Request == Request)
      return &Stream;
  return nullptr;
}

void pause(Engine &Target, const Call &C) {
  TokenStream *const Stream =
      findStream(Target, valueOf(parseCancel(C.Request.Body)));
  if (Stream == nullptr)
    return replyError(C.Answer, 404, "no such stream");
  Target.Pauses += Stream->Paused ? 0 : 1;
  Stream->Paused = true;
  reply(C.Answer, 200, {{"paused", true}});
}

void resume(Engine &Target, StandinProgram &Program, const Call &C) {
  const std::string Id = valueOf(parseCancel(C.Request.Body));
  TokenStream *const Stream = findStream(Target, Id);
  if (Stream == nullptr)
    return replyError(C.Answer, 404, "no such stream");
  if (Stream->Paused && runningStreams(Target) >= Target.Slots)
    return replyError(C.Answer, 429, "no slot is free");
  Stream->Paused = false;
  if (Stream->Stopped) {
    Stream->Stopped = false;
    Stream->DueAt = now();
    for (auto &[Number, Each] : Target.Streams)
      if (&Each == Stream)
        Program.after(Duration(1), [&Target, &Program, Key = Number] {
          advance(Target, Program, Key);
        });
  }
  reply(C.Answer, 200, {{"paused", false}});
}

Json stateJson(const Engine &Target) {
  Json Loaded = Json::array();
  for (const VersionDescriptor &Version : Target.Loaded)
    Loaded.push_back({{"model", Version.Model},
                      {"version", Version.Version},
                      {"weights", Version.Id}});
  return {{"loaded", Loaded},
          {"orders", Target.Orders},
          {"running", Target.Streams.size()},
          {"staged", Target.Staged.size()},
          {"generated", Target.Generated},
          {"started", Target.Started},
          {"pauses", Target.Pauses},
          {"max_running", Target.MaxRunning}};
}

/// The rate is that of an engine with all slots in use, because the rate of a
/// lightly used engine says nothing about its capacity.
Json loadJson(const Engine &Target) {
  return {{"running", Target.Streams.size()},
          {"slots", Target.Slots},
          {"tokens_per_second",
           Target.Slots * std::micro::den / Target.TokenMicroseconds}};
}

} // namespace

} // namespace marigoldyard

int main(int Count, char **Arguments) {
  using namespace marigoldyard;
  StandinProgram Program("standin_engine", "Stand-in of a model engine",
                         {"truncate", "cross", "duplicate", "reorder",
                          "ignore_fence", "fail_load", "wrong_weights",
                          "stall"});
  Engine Target;
  auto Option = [&](const char *Name, std::size_t &Value, const char *Text) {
    Program.arguments()
        .add_option(Name, Value, Text)
        ->check(CLI::Range(1, 1 << 30));
  };
  Option("--slots", Target.Slots, "Requests at once");
  Option("--token-us", Target.TokenMicroseconds,
         "Time per token and stream, us");
  Option("--first-token-us", Target.FirstTokenMicroseconds,
         "Time to the first token, us");
  Option("--max-models", Target.MaxModels, "Versions at once");
  Program.platform("PUT", "/staging/",
                   [&](const Call &C) { stage(Target, C); });
  Program.platform("POST", "/orders",
                   [&](const Call &C) { order(Target, Program, C); });
  Program.platform("POST", "/generate",
                   [&](const Call &C) { generate(Target, Program, C); });
  Program.platform("POST", "/cancel",
                   [&](const Call &C) { cancel(Target, C); });
  Program.platform("POST", "/pause", [&](const Call &C) { pause(Target, C); });
  Program.platform("POST", "/resume",
                   [&](const Call &C) { resume(Target, Program, C); });
  Program.platform("GET", "/load", [&](const Call &C) {
    reply(C.Answer, 200, loadJson(Target));
  });
  Program.platform("GET", "/state", [&](const Call &C) {
    reply(C.Answer, 200, stateJson(Target));
  });
  return Program.run(Count, Arguments);
}
