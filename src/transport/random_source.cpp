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

namespace {

/// Bits below the second and below the millisecond. 10 bits hold the 1,000
/// milliseconds of a second. Finer time would leave fewer random bits to tell
/// processes apart that start at the same moment: compact reports name their
/// sender by the lower 32 bits alone.
constexpr unsigned SecondShift = 32;
constexpr unsigned MillisecondShift = 22;
constexpr Incarnation RandomMask = (Incarnation{1} << MillisecondShift) - 1;

} // namespace

Incarnation makeIncarnation(std::chrono::microseconds Start, Random &Source) {
  const auto Second = std::chrono::floor<std::chrono::seconds>(Start);
  const auto Fraction =
      std::chrono::floor<std::chrono::milliseconds>(Start - Second);
  return static_cast<Incarnation>(Second.count()) << SecondShift |
         static_cast<Incarnation>(Fraction.count()) << MillisecondShift |
         (Source() & RandomMask);
}

} // namespace marigoldyard
