// Time to encode and decode a typical piece of an answer, and sizes on the
// wire.
#include "marigoldyard/protocol/codec.hpp"
#include "marigoldyard/protocol/digest.hpp"

#include <chrono>
#include <fmt/format.h>

using namespace marigoldyard;

namespace {

constexpr int Rounds = 200'000;

double microsecondsPerRound(auto Action) {
  auto Start = std::chrono::steady_clock::now();
  for (int I = 0; I < Rounds; ++I)
    Action();
  std::chrono::duration<double, std::micro> Spent =
      std::chrono::steady_clock::now() - Start;
  return Spent.count() / Rounds;
}

} // namespace

int main() {
  KeyRing Ring{{{"k1", "first secret"}}};
  Digest Weights = sha256Hex(std::string_view("weights"));
  Message Example{{"agent-127",
                   0x6A5B4C3D12345678,
                   "entry-3",
                   123'456,
                   5'300,
                   {1'790'000'000'000'000, 3}},
                  Piece{{"entry-3.1a2b3c4d.77", 0}, Weights, 17, " word"}};
  auto Bytes = encodeMessage(Example, Ring);
  std::size_t Sum = 0;
  double Encode =
      microsecondsPerRound([&] { Sum += encodeMessage(Example, Ring).size(); });
  double Decode =
      microsecondsPerRound([&] { Sum += decodeMessage(Bytes, Ring) ? 1 : 0; });
  fmt::print(R"({{"piece_bytes":{},"encode_us":{:.2f},"decode_us":{:.2f}}})"
             "\n",
             Bytes.size(), Encode, Decode);
  return Sum > 0 ? 0 : 1;
}
