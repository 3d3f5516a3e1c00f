#include "marigoldyard/protocol/detail/json_object.hpp"

#include "marigoldyard/protocol/digest.hpp"

namespace marigoldyard::detail {

using Json = nlohmann::json;

Expected<Json> parseJson(std::string_view Text, Step At) {
  auto Failed = [&](std::string Detail) {
    return Error{ErrorCode::InvalidMessage, At, {}, std::move(Detail)};
  };
  bool TooDeep = false;
  try {
    Json Value =
        Json::parse(Text, [&](int Depth, Json::parse_event_t, const Json &) {
          if (Depth > MaxJsonDepth)
            TooDeep = true;
          return !TooDeep; // discards what is nested deeper
        });
    if (TooDeep)
      return Failed("JSON is nested too deeply");
    return Value;
  } catch (const std::exception &Failure) {
    return Failed(Failure.what());
  }
}

std::string jsonText(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

JsonObject::JsonObject(const Json &Object, std::string Name)
    : Value(Object), Path(std::move(Name)) {
  if (!Value.is_object())
    Fault = (Path.empty() ? "value" : Path) + ": expected an object";
}

void JsonObject::fail(std::string_view Name, std::string_view Expected) {
  if (!valid())
    return;
  Fault = Path.empty() ? "" : Path + ".";
  Fault += Name;
  Fault += ": expected ";
  Fault += Expected;
}

void JsonObject::adopt(const JsonObject &Nested) {
  if (valid())
    Fault = Nested.Fault;
}

const Json *JsonObject::find(std::string_view Name) const {
  if (!Value.is_object())
    return nullptr;
  auto Found = Value.find(Name);
  return Found == Value.end() ? nullptr : &*Found;
}

std::string JsonObject::text(std::string_view Name, bool Required) {
  const Json *Member = find(Name);
  if (Member && Member->is_string())
    return Member->get<std::string>();
  if (Member || Required)
    fail(Name, "a text");
  return {};
}

std::string JsonObject::digest(std::string_view Name) {
  std::string Text = text(Name);
  if (valid() && !isDigest(Text))
    fail(Name, "64 lower-case hexadecimal digits");
  return Text;
}

std::uint64_t JsonObject::number(std::string_view Name, std::uint64_t Lowest,
                                 std::uint64_t Highest,
                                 const std::uint64_t *Default) {
  const Json *Member = find(Name);
  if (!Member && Default)
    return *Default;
  if (Member && Member->is_number_unsigned()) {
    auto Number = Member->get<std::uint64_t>();
    if (Number >= Lowest && Number <= Highest)
      return Number;
  }
  fail(Name, "a whole number from " + std::to_string(Lowest) + " to " +
                 std::to_string(Highest));
  return Lowest;
}

bool JsonObject::boolean(std::string_view Name, bool Default) {
  const Json *Member = find(Name);
  if (!Member)
    return Default;
  if (!Member->is_boolean()) {
    fail(Name, "true or false");
    return Default;
  }
  return Member->get<bool>();
}

const Json &JsonObject::array(std::string_view Name, std::size_t MaxSize) {
  static const Json Empty = Json::array();
  const Json *Member = find(Name);
  if (Member && Member->is_array() && Member->size() <= MaxSize)
    return *Member;
  fail(Name, "an array of at most " + std::to_string(MaxSize) + " elements");
  return Empty;
}

} // namespace marigoldyard::detail
