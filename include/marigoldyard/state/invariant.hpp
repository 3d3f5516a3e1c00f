#pragma once

#include "marigoldyard/state/error.hpp"

#include <string>
#include <string_view>

namespace marigoldyard {

/// @brief Properties that always hold; checked in release builds too.
enum class Invariant {
  UnmixedWeights,     ///< an answer comes from one complete, verified set of
                      ///< weights
  WholeAnswer,        ///< a caller receives the whole answer to its own request
  NotRunProof,        ///< a request reported as not run was not run
  AtMostOnce,         ///< a non-idempotent operation runs at most once
  NoWorkWhileLeaving, ///< a leaving endpoint receives no new work
  NoCutOnShutdown,    ///< a graceful shutdown cuts off no request in progress
  RevisionNeverLower, ///< the revision in force never decreases
};

/// @brief All invariants, for generated tests.
inline constexpr Invariant AllInvariants[] = {
    Invariant::UnmixedWeights,     Invariant::WholeAnswer,
    Invariant::NotRunProof,        Invariant::AtMostOnce,
    Invariant::NoWorkWhileLeaving, Invariant::NoCutOnShutdown,
    Invariant::RevisionNeverLower,
};

/// @brief Name of an invariant for logs.
/// @param Value the invariant
/// @return a lower-case name with underscores
std::string_view invariantName(Invariant Value);

/// @brief Description of a violated invariant.
struct InvariantViolation {
  Invariant Which = Invariant::WholeAnswer;
  Step At = Step::Settings;
  std::string Peer;
};

/// @brief Called on a violation. A handler that returns lets the process
/// terminate; tests install one that throws.
using InvariantHandler = void (*)(const InvariantViolation &);

/// @brief Installs the handler; the default prints one JSON line to standard
/// error.
/// @param Handler the new handler; must not be null
/// @return the previous handler
InvariantHandler installInvariantHandler(InvariantHandler Handler);

/// @brief Checks a property and terminates the process through the handler when
/// it does not hold. A wrong answer costs callers more than a restart.
/// @param Holds the checked condition
/// @param Which the invariant it belongs to
/// @param At step at which it is checked
/// @param Peer the other party, or empty
/// @complexity constant when the condition holds
void checkInvariant(bool Holds, Invariant Which, Step At,
                    std::string_view Peer);

} // namespace marigoldyard
