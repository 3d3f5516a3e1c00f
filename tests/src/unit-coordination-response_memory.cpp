#include "marigoldyard/coordination/response_memory.hpp"

#include <doctest/doctest.h>
#include <vector>

using namespace marigoldyard;

namespace {

constexpr std::size_t Step = 16UL << 10;

/// Lets responses grow in turns until none may grow further.
std::vector<std::size_t> growAll(std::vector<ResponseReservation> &Responses) {
  std::vector<std::size_t> Sizes(Responses.size());
  for (bool Grown = true; Grown;) {
    Grown = false;
    for (std::size_t I = 0; I < Responses.size(); ++I)
      if (Responses[I].resize(Sizes[I] + Step)) {
        Sizes[I] += Step;
        Grown = true;
      }
  }
  return Sizes;
}

} // namespace

// Guards against memory that grows with the number of responses without end.
TEST_CASE("many responses without end stay within the limit together") {
  for (const std::size_t Count : {1UL, 10UL, 500UL}) {
    ResponseMemory Memory;
    {
      std::vector<ResponseReservation> Responses;
      Responses.reserve(Count);
      for (std::size_t I = 0; I < Count; ++I)
        Responses.emplace_back(Memory);
      growAll(Responses);
      CHECK(Memory.Used <= Memory.Limit);
      CHECK(Memory.Used >= Memory.Limit / 4);
    }
    CHECK(Memory.Used == 0);
  }
}

TEST_CASE("small responses are accepted while large ones fill the memory") {
  ResponseMemory Memory;
  std::vector<ResponseReservation> Large;
  Large.reserve(100);
  for (int I = 0; I < 100; ++I)
    Large.emplace_back(Memory);
  growAll(Large);
  std::vector<ResponseReservation> Small;
  Small.reserve(100);
  for (int I = 0; I < 100; ++I) {
    Small.emplace_back(Memory);
    CHECK(Small.back().resize(Memory.GuaranteedSize));
  }
  CHECK_FALSE(Large.front().resize(16UL << 20));
}

TEST_CASE("a response that ends gives its memory back once") {
  ResponseMemory Memory;
  ResponseReservation First(Memory);
  CHECK(First.resize(Step));
  ResponseReservation Second(std::move(First));
  CHECK(Memory.Used == Step);
  Second = ResponseReservation(Memory);
  CHECK(Memory.Used == 0);
}
