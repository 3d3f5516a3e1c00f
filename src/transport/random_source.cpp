#include "marigoldyard/transport/random_source.hpp"

#include <array>

namespace marigoldyard {

Random makeRandom() {
  std::random_device Device;
  std::array<std::random_device::result_type, 8> Words{};
  for (auto &Word : Words)
    Word = Device();
  std::seed_seq Seed(Words.begin(), Words.end());
  return Random(Seed);
}

Incarnation makeIncarnation(std::chrono::microseconds Start, Random &Source) {
  auto Seconds = static_cast<Incarnation>(
      std::chrono::duration_cast<std::chrono::seconds>(Start).count());
  return Seconds << 32 | (Source() & 0xFFFFFFFFU);
}

} // namespace marigoldyard
