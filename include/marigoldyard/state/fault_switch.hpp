#pragma once

#include "marigoldyard/state/invariant.hpp"

namespace marigoldyard {

#ifdef MARIGOLDYARD_FAULT_SWITCHES
/// @brief Whether a test disabled the mechanism that maintains an invariant.
/// Compiled only into tests.
/// @param Which invariant that the mechanism maintains
/// @return true when the caller must skip the mechanism
bool isFaultEnabled(Invariant Which);

/// @brief Disables the mechanism that maintains an invariant for the lifetime
/// of the object.
class ScopedFault {
public:
  explicit ScopedFault(Invariant Target);
  ~ScopedFault();
  ScopedFault(const ScopedFault &) = delete;
  ScopedFault &operator=(const ScopedFault &) = delete;

private:
  Invariant Which;
};
#else
/// @brief Whether a test disabled the mechanism that maintains an invariant;
/// always false outside tests.
constexpr bool isFaultEnabled(Invariant) { return false; }
#endif

} // namespace marigoldyard
