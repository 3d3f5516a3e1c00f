#pragma once

#include <cstddef>
#include <utility>

namespace marigoldyard {

/// @brief Memory that incomplete responses of servers use in this process.
struct ResponseMemory {
  std::size_t Limit = 32UL << 20; ///< for all responses together, in bytes
  /// Size up to which a response is always accepted, in bytes.
  std::size_t GuaranteedSize = 64UL << 10;
  std::size_t Used = 0; ///< in bytes
};

/// @brief Returns whether a response may grow to a size. A response may use as
/// much as it leaves free, so that few may be large, and many large ones at
/// once are cut off long before small ones.
/// @param Memory the memory in use, with the present size of the response
/// @param PresentSize present size of the response in bytes
/// @param NewSize size that it is to grow to in bytes
/// @complexity constant
bool mayGrow(const ResponseMemory &Memory, std::size_t PresentSize,
             std::size_t NewSize);

/// @brief Memory of one response; returned when the reservation ends.
class ResponseReservation {
public:
  /// @param Memory must outlive the reservation
  explicit ResponseReservation(ResponseMemory &Memory) : Owner(&Memory) {}
  ResponseReservation(ResponseReservation &&Other) noexcept
      : Owner(Other.Owner), Size(std::exchange(Other.Size, 0)) {}
  ResponseReservation &operator=(ResponseReservation &&Other) noexcept;
  ResponseReservation(const ResponseReservation &) = delete;
  ResponseReservation &operator=(const ResponseReservation &) = delete;
  ~ResponseReservation() { Owner->Used -= Size; }

  /// @brief Changes the size of the reservation.
  /// @param NewSize size of the response in bytes
  /// @return false, without a change, when the response must not grow
  bool resize(std::size_t NewSize);

private:
  ResponseMemory *Owner;
  std::size_t Size = 0;
};

} // namespace marigoldyard
