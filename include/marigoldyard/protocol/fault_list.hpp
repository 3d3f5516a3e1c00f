#pragma once

#include <optional>
#include <string>
#include <vector>

namespace marigoldyard {

/// @brief One fault of a JSON document.
struct DocumentFault {
  std::string Path; ///< JSON pointer, e.g. "/products/0/ranks/1"
  std::string Message;
  std::string Unit; ///< expected type and unit, e.g. "integer, ms, 1..3600000"

  friend bool operator==(const DocumentFault &,
                         const DocumentFault &) = default;
};

/// @brief A checked document: its value, or all of its faults.
template <typename T> struct Checked {
  std::optional<T> Value; ///< set exactly when Faults is empty
  std::vector<DocumentFault> Faults;
};

/// @brief One line for people: path, message and expected unit.
/// @param Fault the fault
/// @return the text, without a line break
/// @complexity linear in the length of the text
std::string describeFault(const DocumentFault &Fault);

/// @brief All faults in one text, for the detail of an Error.
/// @param Faults the faults
/// @return the descriptions, joined with "; "
/// @complexity linear in the length of the text
std::string describeFaults(const std::vector<DocumentFault> &Faults);

} // namespace marigoldyard
