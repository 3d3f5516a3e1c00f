#pragma once

#include "bench/configuration_fleet.hpp"
#include "throw_on_violation.hpp"

#include <string>
#include <vector>

namespace marigoldyard::test {

/// @brief Valid values for all keys of an index.
inline std::vector<ParsedValue> valuesFor(const ConfigurationIndex &Index) {
  std::vector<ParsedValue> Values;
  for (const auto &[Key, Id] : Index.Values)
    Values.push_back(fleet::makeValue(Key, Id));
  return Values;
}

/// @brief A value with the wanted digest whose content does not parse.
inline ParsedValue invalidValue(const std::string &Key, const Digest &Id) {
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
