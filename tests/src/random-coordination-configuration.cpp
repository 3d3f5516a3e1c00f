#include "configuration_support.hpp"

#include <cstdlib>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace marigoldyard;
using namespace marigoldyard::test;

namespace {

// RapidCheck reads its parameters once; a seed from outside takes precedence.
const int FixedSeed =
    setenv("RC_PARAMS", "seed=20261204 max_success=300 max_size=200", 0);

constexpr Revision MaxRevision = 6;

/// Index of a revision; a variant other than 0 has another content under the
/// same number.
ConfigurationIndex variantOf(Revision Number, int Variant) {
  ConfigurationIndex Index = fleet::makeIndex(Number, 3);
  if (Variant != 0)
    Index.Values["products/p0"] += "/variant-" + std::to_string(Variant);
  return Index;
}

ConfigurationIndex anyIndex() {
  return variantOf(*rc::gen::inRange<Revision>(0, MaxRevision + 1),
                   *rc::gen::weightedElement<int>({{6, 0}, {1, 1}, {1, 2}}));
}

std::string anySource() {
  return *rc::gen::elementOf(std::vector<std::string>{
      std::string(ServiceSource), "peer-1", "peer-2", "peer-3"});
}

/// Some values of an index: missing, mismatching, misplaced or invalid ones
/// among them.
std::vector<ParsedValue> anyValues(const ConfigurationIndex &Index) {
  std::vector<ParsedValue> Values;
  for (ParsedValue &Each : valuesFor(Index)) {
    switch (*rc::gen::inRange(0, 12)) {
    case 0:
      break;
    case 1:
      Values.push_back(invalidValue(Each.Key, Each.ContentDigest));
      break;
    case 2:
      Values.push_back(fleet::makeValue(Each.Key, "mismatch"));
      break;
    case 3:
      Each.Key = "products/p9";
      Values.push_back(Each);
      break;
    default:
      Values.push_back(Each);
    }
  }
  return Values;
}

void applyAnyEvent(ConfigurationState &State) {
  switch (*rc::gen::inRange(0, 8)) {
  case 0:
  case 1:
  case 2:
    receiveIndex(State, anyIndex(), anySource());
    break;
  case 3:
    receiveInvalidIndex(State, Error{}, anySource());
    break;
  case 4:
    recordPeerRevision(State, anySource(), *rc::gen::inRange<Revision>(0, 9));
    break;
  case 5:
    receiveReadFailure(State);
    break;
  default:
    receiveValues(State,
                  anyValues(State.Pending ? State.Pending->Index : anyIndex()),
                  anySource());
  }
}

/// What is in force is exactly what its index names, and all of it is valid.
void checkWhole(const AcceptedConfiguration &InForce) {
  RC_ASSERT(InForce.Content.ConfigRevision == InForce.Index.ConfigRevision);
  RC_ASSERT(InForce.Texts.size() == InForce.Index.Values.size());
  RC_ASSERT(InForce.Content.Products.size() == InForce.Index.Values.size());
  for (const Product &Each : InForce.Content.Products)
    RC_ASSERT(InForce.Index.Values.at(productKey(Each.Name)) == Each.Version);
}

void anyInterleaving() {
  ConfigurationState State = makeConfigurationState(TimePoint{});
  std::map<Revision, ConfigurationIndex> Seen;
  Revision Highest = 0;
  const int Events = *rc::gen::inRange(0, 120);
  for (int I = 0; I < Events; ++I) {
    applyAnyEvent(State);
    const Revision Now = activeRevision(State);
    RC_ASSERT(Now >= Highest);
    Highest = Now;
    RC_ASSERT(State.PeersContacted.size() <= SufficientPeers);
    if (State.Pending)
      RC_ASSERT(State.Pending->Index.ConfigRevision > Now);
    if (!State.ActiveConfiguration)
      continue;
    checkWhole(*State.ActiveConfiguration);
    // The content of a revision in force never changes.
    const auto [It, New] = Seen.emplace(Now, State.ActiveConfiguration->Index);
    RC_ASSERT(It->second == State.ActiveConfiguration->Index);
  }
  // Whatever happened, a higher valid revision comes into force.
  acceptAll(State, variantOf(MaxRevision + 3, 0));
  RC_ASSERT(activeRevision(State) == MaxRevision + 3);
}

} // namespace

TEST_CASE("no interleaving of reads, offers and faults lowers, mixes or blocks "
          "the configuration in force") {
  ThrowOnViolation Guard;
  CHECK(rc::check(anyInterleaving));
}

TEST_CASE("the interleavings find a revision that is lowered") {
  ThrowOnViolation Guard;
  ScopedFault Off(Invariant::RevisionNeverLower);
  Random Randomness(20261204);
  ConfigurationState State = makeConfigurationState(TimePoint{});
  CHECK_THROWS_AS(
      [&] {
        for (int I = 0; I < 1000; ++I)
          acceptAll(State, variantOf(Randomness() % MaxRevision + 1, 0));
      }(),
      Violated);
}
