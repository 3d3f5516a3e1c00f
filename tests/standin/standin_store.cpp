// Weight store: versions of deterministic pseudo-random chunks.

#include "marigoldyard/protocol/digest.hpp"
#include "marigoldyard/protocol/platform_api.hpp"
#include "marigoldyard/transport/clock.hpp"
#include "tests/standin/standin_common.hpp"

#include <algorithm>
#include <cstring>
#include <random>

namespace marigoldyard {

namespace {

using Json = nlohmann::json;

constexpr std::uint64_t MaxStoredBytes = 2UL << 30;
/// Seed of the chunks that versions share.
constexpr std::uint64_t SharedSeed = 0;
/// Seed of the choice of corrupted chunks; fixed so that a run can be repeated.
constexpr std::uint64_t CorruptionSeed = 20240917;
const HttpHeaders RetryLater{{"Retry-After", "1"}};

struct Store {
  std::map<Digest, std::string> Descriptors;
  std::map<Digest, std::string> Chunks;
  std::uint64_t StoredBytes = 0;
  std::uint64_t BytesDrawn = 0;
  std::uint64_t Requests = 0;
  std::map<Digest, std::uint64_t> ByChunk; ///< deliveries
  TimePoint LinkFree; ///< when the rate-limited link has sent everything
  std::mt19937_64 Random{CorruptionSeed};
};

std::string makeChunk(std::uint64_t Seed, std::uint64_t Number,
                      std::size_t Size) {
  std::seed_seq Sequence{Seed & 0xFFFFFFFFU, Seed >> 32U, Number};
  std::mt19937_64 Source(Sequence);
  std::string Bytes(Size, '\0');
  for (std::size_t At = 0; At < Size; At += sizeof(std::uint64_t)) {
    const std::uint64_t Word = Source();
    std::memcpy(Bytes.data() + At, &Word, std::min(sizeof Word, Size - At));
  }
  return Bytes;
}

void addVersion(Store &Origin, const Call &C) {
  const Json Body = C.json();
  const auto Count = Body.at("chunks").get<std::uint64_t>();
  const auto Size = Body.at("chunk_bytes").get<std::uint64_t>();
  const auto Seed = Body.at("seed").get<std::uint64_t>();
  const auto Shared = Body.value("shared", std::uint64_t{0});
  if (Count == 0 || Size == 0 || Size > MaxChunkBytes ||
      Count > (MaxStoredBytes - Origin.StoredBytes) / Size)
    return replyError(C.Answer, 413, "version too large");
  VersionDescriptor Descriptor{"",
                               Body.at("model").get<std::string>(),
                               Body.at("version").get<std::string>(),
                               {}};
  for (std::uint64_t Number = 0; Number < Count; ++Number) {
    std::string Bytes =
        makeChunk(Number < Shared ? SharedSeed : Seed, Number, Size);
    const Digest Id = sha256Hex(Bytes);
    Descriptor.Chunks.push_back({Id, Size});
    if (Origin.Chunks.emplace(Id, std::move(Bytes)).second)
      Origin.StoredBytes += Size;
  }
  std::string Text = descriptorJson(Descriptor);
  const Digest Id = sha256Hex(Text);
  Origin.Descriptors.emplace(Id, std::move(Text));
  reply(C.Answer, 200, {{"digest", Id}});
}

/// Counts a request and answers it when the store refuses.
bool refused(Store &Origin, const StandinProgram &Program,
             const Responder &Answer) {
  ++Origin.Requests;
  if (Program.fault("refuse"))
    replyError(Answer, 429, "the store refuses", RetryLater);
  return Program.fault("refuse");
}

void readDescriptor(Store &Origin, StandinProgram &Program, const Call &C) {
  if (refused(Origin, Program, C.Answer))
    return;
  if (Program.fault("stall"))
    return Program.hold(C.Answer);
  auto Found = Origin.Descriptors.find(C.Key);
  if (Found == Origin.Descriptors.end())
    return replyError(C.Answer, 404, "no such version");
  C.Answer.send({200, {{"Content-Type", "application/json"}}, Found->second});
}

/// Time until the link has sent `Bytes` more, at bytes_per_second over all
/// readers.
Duration reserveLink(Store &Origin, const StandinProgram &Program,
                     std::size_t Bytes) {
  const double Rate = Program.faultNumber("bytes_per_second");
  if (Rate <= 0)
    return Duration::zero();
  const TimePoint Now = now();
  Origin.LinkFree =
      std::max(Origin.LinkFree, Now) +
      std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(static_cast<double>(Bytes) / Rate));
  return Origin.LinkFree - Now;
}

void readChunk(Store &Origin, StandinProgram &Program, const Call &C) {
  const Responder &Answer = C.Answer;
  if (refused(Origin, Program, Answer))
    return;
  auto Found = Origin.Chunks.find(C.Key);
  if (Found == Origin.Chunks.end())
    return replyError(Answer, 404, "no such chunk");
  std::string Bytes = Found->second;
  if (std::uniform_real_distribution<>(0, 1)(Origin.Random) <
      Program.faultNumber("corrupt"))
    Bytes[Origin.Random() % Bytes.size()] ^= '\x01';
  const HttpHeaders Type{{"Content-Type", "application/octet-stream"}};
  if (Program.fault("stall")) {
    Origin.BytesDrawn += Bytes.size() / 2;
    Answer.start({200, Type, ""});
    Answer.write(Bytes.substr(0, Bytes.size() / 2));
    return Program.hold(Answer);
  }
  const Duration Wait = reserveLink(Origin, Program, Bytes.size());
  Program.after(
      Wait, [&Origin, Answer, Type, Id = C.Key, Content = std::move(Bytes)] {
        if (Answer.disconnected())
          return;
        Origin.BytesDrawn += Content.size();
        ++Origin.ByChunk[Id];
        Answer.send({200, Type, Content});
      });
}

} // namespace

} // namespace marigoldyard

int main(int Count, char **Arguments) {
  using namespace marigoldyard;
  StandinProgram Program("standin_store", "Stand-in of the weight store",
                         {"corrupt", "stall", "refuse", "bytes_per_second"});
  Store Origin;
  Program.control("PUT", "/versions",
                  [&](const Call &C) { addVersion(Origin, C); });
  Program.platform("GET", "/versions/",
                   [&](const Call &C) { readDescriptor(Origin, Program, C); });
  Program.platform("GET", "/chunks/",
                   [&](const Call &C) { readChunk(Origin, Program, C); });
  Program.control("GET", "/state", [&](const Call &C) {
    reply(C.Answer, 200,
          {{"bytes_drawn", Origin.BytesDrawn},
           {"requests", Origin.Requests},
           {"by_chunk", Origin.ByChunk}});
  });
  return Program.run(Count, Arguments);
}
