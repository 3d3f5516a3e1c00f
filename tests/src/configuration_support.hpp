#pragma once

#include "bench/configuration_fleet.hpp"
#include "marigoldyard/state/fault_switch.hpp"
#include "marigoldyard/state/invariant.hpp"

#include <stdexcept>
#include <string>
#include <vector>

namespace marigoldyard::test {

/// @brief Thrown instead of ending the process when an invariant is violated.
struct ViolationThrown : std::runtime_error {
  explicit ViolationThrown(const InvariantViolation &Found)
      : std::runtime_error(std::string(invariantName(Found.Which))),
        Which(Found.Which) {}
  Invariant Which;
};

/// @brief Makes violations throw for the lifetime of the object.
class ThrowOnViolation {
public:
  ThrowOnViolation()
      : Previous(installInvariantHandler([](const InvariantViolation &Found) {
          throw ViolationThrown(Found);
        })) {}
  ~ThrowOnViolation() { installInvariantHandler(Previous); }
  ThrowOnViolation(const ThrowOnViolation &) = delete;
  ThrowOnViolation &operator=(const ThrowOnViolation &) = delete;

private:
  InvariantHandler Previous;
};

/// @brief Valid values for all keys of an index.
inline std::vector<CheckedValue> valuesFor(const ConfigurationIndex &Index) {
  std::vector<CheckedValue> Values;
  for (const auto &[Key, Id] : Index.Values)
    Values.push_back(fleet::makeValue(Key, Id));
  return Values;
}

/// @brief A value with the wanted digest whose content does not parse.
inline CheckedValue invalidValue(const std::string &Key, const Digest &Id) {
  return {Key, Id, Id,
          Error{make_error_code(ErrorCode::InvalidManifest),
                Step::ConfigurationAccept, "", "/ranks: is empty"}};
}

/// @brief Offers an index and all of its values.
inline AcceptanceResult acceptAll(ConfigurationState &State,
                                  const ConfigurationIndex &Index,
                                  std::string_view Source = ServiceSource) {
  const AcceptanceResult First = receiveIndex(State, Index, Source);
  return First.Action == AcceptanceAction::NeedValues
             ? receiveValues(State, valuesFor(Index), Source)
             : First;
}

} // namespace marigoldyard::test
