#pragma once

#include "marigoldyard/state/error.hpp"

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace marigoldyard::detail {

/// @brief Deepest nesting that is accepted in JSON from other parties.
inline constexpr int MaxJsonDepth = 64;

/// @brief Parses JSON from another party.
/// @param Text the text
/// @param At step named in the error
/// @return the value; ErrorCode::InvalidMessage for malformed or too deeply
/// nested text. Nothing is thrown.
/// @complexity linear in the length of the text
Expected<nlohmann::json> parseJson(std::string_view Text, Step At);

/// @brief JSON text of a value; invalid UTF-8 is replaced.
std::string jsonText(const nlohmann::json &Value);

/// @brief Reads members of a JSON object and remembers the first fault, so that
/// a parser checks once at the end. Members that are not asked for are ignored.
class JsonObject {
public:
  /// @param Value must outlive the reader
  /// @param Path path of the value in error texts, such as "vms[3]"
  explicit JsonObject(const nlohmann::json &Value, std::string Path = {});

  /// @return whether all reads succeeded
  bool valid() const { return Fault.empty(); }
  /// @return the first fault with its path, or an empty text
  const std::string &fault() const { return Fault; }
  /// @brief Records a fault of a member.
  void fail(std::string_view Name, std::string_view Expected);
  /// @brief Takes over the fault of a nested reader.
  void adopt(const JsonObject &Nested);

  /// @brief A text member.
  /// @param Name name of the member
  /// @param Required whether its absence is a fault
  std::string text(std::string_view Name, bool Required = true);
  /// @brief A member with a digest.
  std::string digest(std::string_view Name);
  /// @brief A whole number from Lowest to Highest; the default makes the member
  /// optional.
  std::uint64_t
  number(std::string_view Name, std::uint64_t Lowest = 0,
         std::uint64_t Highest = std::numeric_limits<std::uint64_t>::max(),
         const std::uint64_t *Default = nullptr);
  /// @brief An optional boolean member.
  bool boolean(std::string_view Name, bool Default);
  /// @brief A member that is an array.
  /// @return the array, or an empty one after a fault
  const nlohmann::json &array(std::string_view Name, std::size_t MaxSize);
  /// @brief A member of any type.
  /// @return the member, or null when absent
  const nlohmann::json *find(std::string_view Name) const;

private:
  const nlohmann::json &Value;
  std::string Path;
  std::string Fault;
};

} // namespace marigoldyard::detail
