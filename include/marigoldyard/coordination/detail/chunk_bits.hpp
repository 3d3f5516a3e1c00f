#pragma once

#include <algorithm>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace marigoldyard::detail {

/// @brief Index of a chunk in the chunk table of an agent. It has no meaning in
/// other processes.
using ChunkIndex = std::uint32_t;

/// @brief Set of chunk indices, stored as a bit vector that grows on demand.
struct ChunkBits {
  static constexpr std::size_t WordBits = 64;
  std::vector<std::uint64_t> Words;

  bool test(ChunkIndex Index) const {
    const std::size_t Word = Index / WordBits;
    return Word < Words.size() &&
           ((Words[Word] >> (Index % WordBits)) & 1) != 0;
  }
  void set(ChunkIndex Index, bool Value = true) {
    const std::size_t Word = Index / WordBits;
    if (Word >= Words.size()) {
      if (!Value)
        return;
      Words.resize(Word + 1, 0);
    }
    const std::uint64_t Mask = std::uint64_t{1} << (Index % WordBits);
    Words[Word] = Value ? Words[Word] | Mask : Words[Word] & ~Mask;
  }
};

/// @brief Calls Visit for the members of the intersection of all sets until it
/// returns false. The iteration starts at a given word and wraps around.
/// @param StartWord first word to visit, modulo the number of words
/// @param Visit takes a ChunkIndex and returns false to stop
/// @param First first set
/// @param Others further sets
/// @complexity linear in the number of words plus visited members
template <typename Visitor, typename... Sets>
void visitIntersection(std::size_t StartWord, Visitor Visit,
                       const ChunkBits &First, const Sets &...Others) {
  const std::size_t Count =
      std::min({First.Words.size(), Others.Words.size()...});
  for (std::size_t Step = 0; Step < Count; ++Step) {
    const std::size_t Word = (StartWord + Step) % Count;
    std::uint64_t Common = (First.Words[Word] & ... & Others.Words[Word]);
    while (Common != 0) {
      const auto Bit = static_cast<std::size_t>(std::countr_zero(Common));
      if (!Visit(static_cast<ChunkIndex>(Word * ChunkBits::WordBits + Bit)))
        return;
      Common &= Common - 1;
    }
  }
}

} // namespace marigoldyard::detail
