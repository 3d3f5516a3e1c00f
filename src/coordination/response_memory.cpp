#include "marigoldyard/coordination/response_memory.hpp"

namespace marigoldyard {

bool mayGrow(const ResponseMemory &Memory, std::size_t PresentSize,
             std::size_t NewSize) {
  if (NewSize <= PresentSize || NewSize <= Memory.GuaranteedSize)
    return true;
  const std::size_t UsedByOthers = Memory.Used - PresentSize;
  // The response may take at most half of what the others leave.
  return UsedByOthers < Memory.Limit &&
         NewSize <= (Memory.Limit - UsedByOthers) / 2;
}

ResponseReservation &
ResponseReservation::operator=(ResponseReservation &&Other) noexcept {
  if (this != &Other) {
    Owner->Used -= Size;
    Owner = Other.Owner;
    Size = std::exchange(Other.Size, 0);
  }
  return *this;
}

bool ResponseReservation::resize(std::size_t NewSize) {
  if (!mayGrow(*Owner, Size, NewSize))
    return false;
  Owner->Used = Owner->Used - Size + NewSize;
  Size = NewSize;
  return true;
}

} // namespace marigoldyard
