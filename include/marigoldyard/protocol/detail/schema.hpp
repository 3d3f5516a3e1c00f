#pragma once

#include "marigoldyard/protocol/fault_list.hpp"

#include <nlohmann/json.hpp>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldyard::detail {

/// @brief Type of the value of a key.
enum class ValueKind {
  Text,       ///< non-empty text of at most Maximum bytes
  Name,       ///< letters, digits, '-', '_' and '.', at most Maximum bytes
  Address,    ///< IP address without port
  HostPort,   ///< "address:port"
  Sha256,     ///< 64 lower-case hexadecimal digits
  Choice,     ///< one of Choices
  Integer,    ///< whole number from Minimum to Maximum
  Number,     ///< number from Minimum to Maximum
  Boolean,    ///< true or false
  NameList,   ///< list of distinct names
  ChoiceList, ///< non-empty list of distinct choices
  Object,     ///< object described by Members
  ObjectList, ///< list of objects described by Members
};

/// @brief Description of one key. Checks, defaults and the reference page are
/// all derived from it.
struct KeyDescription {
  std::string_view Key;
  ValueKind Kind = ValueKind::Text;
  std::string_view Unit;
  double Minimum = 0;
  double Maximum = 0;
  std::string_view Default; ///< JSON text; empty when the key is required
  std::string_view Help;
  std::span<const std::string_view> Choices;
  std::span<const KeyDescription> Members;
  std::string_view UniqueKey; ///< of ObjectList: member whose value is unique
};

/// @brief Parses JSON with comments. Keys that occur twice in one object are
/// reported as faults.
/// @param Text the document
/// @param Faults receives the faults
/// @return the document, or a discarded value when it is not JSON
/// @complexity O(n log n) in the length of the text
nlohmann::json parseDocument(std::string_view Text,
                             std::vector<DocumentFault> &Faults);

/// @brief Checks an object against its description and fills in defaults.
/// @param Value the object; defaults are added to it
/// @param Path JSON pointer of the object
/// @param Members description of its keys
/// @param Faults receives the faults
/// @complexity O(n log n) in the size of the object
void checkObject(nlohmann::json &Value, const std::string &Path,
                 std::span<const KeyDescription> Members,
                 std::vector<DocumentFault> &Faults);

/// @brief Escapes a key for a JSON pointer.
/// @param Key the key
/// @return the reference token
/// @complexity linear in the length of the key
std::string escapePointer(std::string_view Key);

/// @brief Expected type, unit and range of a key, as shown in faults.
/// @param Key the description
/// @return the text
std::string expectedUnit(const KeyDescription &Key);

/// @brief Reference table of an object and of the objects inside it.
/// @param Title heading of the table
/// @param Members description of the keys
/// @return Markdown
std::string referenceTable(std::string_view Title,
                           std::span<const KeyDescription> Members);

} // namespace marigoldyard::detail
