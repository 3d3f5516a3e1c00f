#pragma once

#include "marigoldyard/state/fault_switch.hpp"

#include <stdexcept>
#include <string>

namespace marigoldyard::test {

/// @brief Thrown by the invariant handler of tests.
struct Violated : std::runtime_error {
  explicit Violated(const InvariantViolation &Found)
      : std::runtime_error(std::string(invariantName(Found.Which))),
        Which(Found.Which), Violation(Found) {}
  Invariant Which;
  InvariantViolation Violation;
};

/// @brief Turns invariant violations into exceptions for its lifetime.
class ThrowOnViolation {
public:
  ThrowOnViolation()
      : Previous(installInvariantHandler(
            [](const InvariantViolation &Seen) { throw Violated(Seen); })) {}
  ~ThrowOnViolation() { installInvariantHandler(Previous); }
  ThrowOnViolation(const ThrowOnViolation &) = delete;
  ThrowOnViolation &operator=(const ThrowOnViolation &) = delete;

private:
  InvariantHandler Previous;
};

} // namespace marigoldyard::test
