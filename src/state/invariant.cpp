#include "marigoldyard/state/invariant.hpp"

#include "marigoldyard/state/fault_switch.hpp"

#include <atomic>
#include <cstdio>
#include <exception>
#include <iterator>

namespace marigoldyard {

namespace {

void printViolation(const InvariantViolation &Violation) {
  std::fprintf(
      stderr,
      R"({"level":"fatal","event":"invariant_violated","invariant":"%s","step":"%s","peer":"%s"})"
      "\n",
      std::string(invariantName(Violation.Which)).c_str(),
      std::string(stepName(Violation.At)).c_str(), Violation.Peer.c_str());
}

std::atomic<InvariantHandler> CurrentHandler{&printViolation};

} // namespace

std::string_view invariantName(Invariant Value) {
  static constexpr std::string_view Names[] = {
      "unmixed_weights",     "whole_answer",          "not_run_proof",
      "at_most_once",        "no_work_while_leaving", "no_cut_on_shutdown",
      "revision_never_lower"};
  static_assert(std::size(Names) == std::size(AllInvariants));
  return Names[static_cast<std::size_t>(Value)];
}

InvariantHandler installInvariantHandler(InvariantHandler Handler) {
  return CurrentHandler.exchange(Handler);
}

void checkInvariant(bool Condition, Invariant Which, Step At,
                    std::string_view Peer) {
  if (Condition)
    return;
  CurrentHandler.load()({Which, At, std::string(Peer)});
  std::terminate();
}

#ifdef MARIGOLDYARD_FAULT_SWITCHES
namespace {
bool DisabledMechanisms[std::size(AllInvariants)] = {};
} // namespace

bool isFaultEnabled(Invariant Which) {
  return DisabledMechanisms[static_cast<std::size_t>(Which)];
}
ScopedFault::ScopedFault(Invariant Target) : Which(Target) {
  DisabledMechanisms[static_cast<std::size_t>(Which)] = true;
}
ScopedFault::~ScopedFault() {
  DisabledMechanisms[static_cast<std::size_t>(Which)] = false;
}
#endif

} // namespace marigoldyard
