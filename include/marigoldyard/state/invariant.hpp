#pragma once

#include "marigoldyard/state/error.hpp"

#include <string>
#include <string_view>

namespace marigoldyard {

/// @brief Safety properties, which release builds check too.
enum class Invariant {
  UnmixedWeights,     ///< a response comes from one complete, verified set of
                      ///< weights
  WholeAnswer,        ///< a caller receives the complete response to its own
                      ///< request
  NotRunProof,        ///< a request reported as not run was not run
  AtMostOnce,         ///< a non-idempotent operation runs at most once
  NoWorkWhileLeaving, ///< a draining endpoint receives no new work
  NoCutOnShutdown,    ///< a graceful shutdown aborts no request in progress
  RevisionNeverLower, ///< the active revision never decreases
};

/// @brief All invariants, for property-based tests.
inline constexpr Invariant AllInvariants[] = {
    Invariant::UnmixedWeights,     Invariant::WholeAnswer,
    Invariant::NotRunProof,        Invariant::AtMostOnce,
    Invariant::NoWorkWhileLeaving, Invariant::NoCutOnShutdown,
    Invariant::RevisionNeverLower,
};

/// @brief Name of an invariant for logs.
/// @return a lower-case name with underscores
std::string_view invariantName(Invariant Value);

/// @brief Violated invariant and where the violation was detected.
struct InvariantViolation {
  Invariant Which = Invariant::WholeAnswer;
  Step At = Step::Settings;
  std::string Peer;
};

/// @brief Called on a violation. The process terminates when the handler
/// returns; tests install a handler that throws.
using InvariantHandler = void (*)(const InvariantViolation &);

/// @brief Replaces the handler. The default prints one JSON line to standard
/// error.
/// @param Handler the new handler; must not be null
/// @return the previous handler
InvariantHandler installInvariantHandler(InvariantHandler Handler);

/// @brief Calls the handler and terminates the process when a condition is
/// false: a wrong response costs callers more than a restart.
/// @param Condition true when the invariant holds
/// @param Which invariant to report
/// @param At step to report
/// @param Peer peer to report; empty when there is none
/// @complexity constant when the condition holds
void checkInvariant(bool Condition, Invariant Which, Step At,
                    std::string_view Peer);

} // namespace marigoldyard
