#include "marigoldyard/protocol/detail/schema.hpp"

#include "marigoldyard/protocol/detail/json_object.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <set>

#include <arpa/inet.h>

namespace marigoldyard {

std::string describeFault(const DocumentFault &Fault) {
  std::string Text =
      (Fault.Path.empty() ? "/" : Fault.Path) + ": " + Fault.Message;
  if (!Fault.Unit.empty())
    Text += " (expected: " + Fault.Unit + ")";
  return Text;
}

std::string describeFaults(const std::vector<DocumentFault> &Faults) {
  std::string Text;
  for (const DocumentFault &Fault : Faults)
    Text += (Text.empty() ? "" : "; ") + describeFault(Fault);
  return Text;
}

namespace detail {
namespace {

using nlohmann::json;

constexpr std::size_t Sha256Digits = 64;
constexpr std::size_t MaxListItems = 100'000;

bool isAddress(const std::string &Text) {
  in_addr V4{};
  in6_addr V6{};
  return inet_pton(AF_INET, Text.c_str(), &V4) == 1 ||
         inet_pton(AF_INET6, Text.c_str(), &V6) == 1;
}

bool isHostPort(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return false;
  std::string Host = Text.substr(0, Colon);
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  unsigned Port = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Status] =
      std::from_chars(Text.data() + Colon + 1, End, Port);
  return isAddress(Host) && Status == std::errc() && Rest == End && Port > 0 &&
         Port <= 65535;
}

bool isNameCharacter(char C) {
  return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
         (C >= '0' && C <= '9') || C == '-' || C == '_' || C == '.';
}

bool isSha256(const std::string &Text) {
  return Text.size() == Sha256Digits &&
         std::all_of(Text.begin(), Text.end(), [](char C) {
           return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'f');
         });
}

std::string childPath(const std::string &Path, std::string_view Key) {
  std::string Text = Path;
  Text += '/';
  Text += escapePointer(Key);
  return Text;
}

std::string numberText(double Value) {
  return std::floor(Value) == Value ? std::to_string(std::int64_t(Value))
                                    : json(Value).dump();
}

std::string joinChoices(std::span<const std::string_view> Choices) {
  std::string Text;
  for (std::string_view Choice : Choices)
    Text += (Text.empty() ? "" : ", ") + std::string(Choice);
  return Text;
}

/// Message for a text value that is not acceptable; empty when it is.
std::string textProblem(const std::string &Text, const KeyDescription &Key) {
  switch (Key.Kind) {
  case ValueKind::Address:
    return isAddress(Text) ? "" : "is not an IP address";
  case ValueKind::HostPort:
    return isHostPort(Text) ? "" : "is not an IP address with a port";
  case ValueKind::Sha256:
    return isSha256(Text) ? "" : "is not a SHA-256 digest";
  case ValueKind::Choice:
  case ValueKind::ChoiceList:
    return std::find(Key.Choices.begin(), Key.Choices.end(), Text) !=
                   Key.Choices.end()
               ? ""
               : "unknown value '" + Text + "'";
  default:
    break;
  }
  if (double(Text.size()) < std::max(Key.Minimum, 1.0))
    return Text.empty() ? "is empty" : "is too short";
  if (Key.Maximum > 0 && double(Text.size()) > Key.Maximum)
    return "is too long";
  if (Key.Kind != ValueKind::Text &&
      !std::all_of(Text.begin(), Text.end(), isNameCharacter))
    return "contains a character that names may not have";
  return "";
}

std::string numberProblem(const json &Value, const KeyDescription &Key) {
  if (Key.Kind == ValueKind::Integer && !Value.is_number_integer())
    return Value.is_number() ? "is not a whole number" : "has the wrong type";
  if (!Value.is_number())
    return "has the wrong type";
  const double Number = Value.get<double>();
  return Number >= Key.Minimum && Number <= Key.Maximum ? ""
                                                        : "is out of range";
}

void checkTextList(const json &Value, const std::string &Path,
                   const KeyDescription &Key,
                   std::vector<DocumentFault> &Faults) {
  std::set<std::string> Seen;
  for (std::size_t I = 0; I < Value.size(); ++I) {
    const std::string ItemPath = childPath(Path, std::to_string(I));
    if (!Value[I].is_string()) {
      Faults.push_back({ItemPath, "has the wrong type", expectedUnit(Key)});
      continue;
    }
    const auto &Text = Value[I].get_ref<const std::string &>();
    std::string Problem = textProblem(Text, Key);
    if (Problem.empty() && !Seen.insert(Text).second)
      Problem = "duplicate '" + Text + "'";
    if (!Problem.empty())
      Faults.push_back({ItemPath, std::move(Problem), expectedUnit(Key)});
  }
  if (Key.Kind == ValueKind::ChoiceList && Value.empty())
    Faults.push_back({Path, "is empty", expectedUnit(Key)});
}

void checkObjectList(json &Value, const std::string &Path,
                     const KeyDescription &Key,
                     std::vector<DocumentFault> &Faults) {
  if (double(Value.size()) < Key.Minimum || Value.size() > MaxListItems)
    Faults.push_back(
        {Path, "has the wrong number of items", expectedUnit(Key)});
  std::set<json> Seen;
  const std::string Unique(Key.UniqueKey);
  for (std::size_t I = 0; I < Value.size(); ++I) {
    const std::string ItemPath = childPath(Path, std::to_string(I));
    checkObject(Value[I], ItemPath, Key.Members, Faults);
    if (Unique.empty() || !Value[I].is_object() || !Value[I].contains(Unique))
      continue;
    if (!Seen.insert(Value[I][Unique]).second)
      Faults.push_back({childPath(ItemPath, Unique),
                        "duplicate " + Value[I][Unique].dump(),
                        "unique in the list"});
  }
}

void checkValue(json &Value, const std::string &Path, const KeyDescription &Key,
                std::vector<DocumentFault> &Faults) {
  const bool IsList = Key.Kind == ValueKind::NameList ||
                      Key.Kind == ValueKind::ChoiceList ||
                      Key.Kind == ValueKind::ObjectList;
  std::string Problem;
  if (Key.Kind == ValueKind::Object)
    return checkObject(Value, Path, Key.Members, Faults);
  if (IsList && Value.is_array())
    return Key.Kind == ValueKind::ObjectList
               ? checkObjectList(Value, Path, Key, Faults)
               : checkTextList(Value, Path, Key, Faults);
  if (IsList)
    Problem = "has the wrong type";
  else if (Key.Kind == ValueKind::Integer || Key.Kind == ValueKind::Number)
    Problem = numberProblem(Value, Key);
  else if (Key.Kind == ValueKind::Boolean)
    Problem = Value.is_boolean() ? "" : "has the wrong type";
  else
    Problem = Value.is_string()
                  ? textProblem(Value.get_ref<const std::string &>(), Key)
                  : "has the wrong type";
  if (!Problem.empty())
    Faults.push_back({Path, std::move(Problem), expectedUnit(Key)});
}

std::string_view kindName(ValueKind Kind) {
  switch (Kind) {
  case ValueKind::Text:
    return "text";
  case ValueKind::Name:
    return "name";
  case ValueKind::Address:
    return "IP address";
  case ValueKind::HostPort:
    return "IP address:port";
  case ValueKind::Sha256:
    return "SHA-256";
  case ValueKind::Choice:
    return "choice";
  case ValueKind::Integer:
    return "integer";
  case ValueKind::Number:
    return "number";
  case ValueKind::Boolean:
    return "boolean";
  case ValueKind::NameList:
    return "list of names";
  case ValueKind::ChoiceList:
    return "list of choices";
  case ValueKind::Object:
    return "object";
  case ValueKind::ObjectList:
    return "list of objects";
  }
  return "";
}

} // namespace

std::string escapePointer(std::string_view Key) {
  std::string Text;
  for (char C : Key)
    Text += C == '~' ? "~0" : C == '/' ? "~1" : std::string(1, C);
  return Text;
}

std::string expectedUnit(const KeyDescription &Key) {
  std::string Text(kindName(Key.Kind));
  if (!Key.Unit.empty())
    Text += ", " + std::string(Key.Unit);
  if (Key.Kind == ValueKind::Integer || Key.Kind == ValueKind::Number)
    Text += ", " + numberText(Key.Minimum) + ".." + numberText(Key.Maximum);
  else if (Key.Kind == ValueKind::ObjectList && Key.Minimum > 0)
    Text += ", at least " + numberText(Key.Minimum);
  else if (!Key.Choices.empty())
    Text += ": " + joinChoices(Key.Choices);
  else if (Key.Maximum > 0)
    Text += ", at most " + numberText(Key.Maximum) + " bytes";
  return Text;
}

json parseDocument(std::string_view Text, std::vector<DocumentFault> &Faults) {
  std::vector<std::set<std::string>> Open;
  bool TooDeep = false;
  const json::parser_callback_t NoteKeys =
      [&](int Depth, json::parse_event_t Event, json &Parsed) {
        // Deeper values are discarded, because a value is destroyed
        // recursively.
        TooDeep |= Depth > MaxJsonDepth;
        if (TooDeep)
          return false;
        if (Event == json::parse_event_t::object_start)
          Open.emplace_back();
        else if (Event == json::parse_event_t::object_end)
          Open.pop_back();
        else if (Event == json::parse_event_t::key &&
                 !Open.back().insert(Parsed.get<std::string>()).second)
          Faults.push_back(
              {"", "key " + Parsed.dump() + " occurs twice in one object",
               "distinct keys"});
        return true;
      };
  try {
    json Value = json::parse(Text, NoteKeys, /*allow_exceptions=*/true,
                             /*ignore_comments=*/true);
    if (!TooDeep)
      return Value;
    Faults.push_back({"", "is nested too deeply", "JSON, comments allowed"});
  } catch (const json::parse_error &Failure) {
    Faults.push_back({"", "is not JSON: byte " + std::to_string(Failure.byte),
                      "JSON, comments allowed"});
  } catch (const json::exception &Failure) { // such as a number too large
    Faults.push_back({"", std::string("is not JSON: ") + Failure.what(),
                      "JSON, comments allowed"});
  }
  return json(json::value_t::discarded);
}

void checkObject(json &Value, const std::string &Path,
                 std::span<const KeyDescription> Members,
                 std::vector<DocumentFault> &Faults) {
  if (!Value.is_object()) {
    Faults.push_back({Path, "has the wrong type", "object"});
    return;
  }
  for (const auto &[Key, Item] : Value.items()) {
    const auto Known = std::find_if(
        Members.begin(), Members.end(),
        [&Name = Key](const KeyDescription &M) { return M.Key == Name; });
    if (Known == Members.end())
      Faults.push_back({childPath(Path, Key), "unknown key", ""});
  }
  for (const KeyDescription &Member : Members) {
    const std::string Key(Member.Key);
    const std::string MemberPath = childPath(Path, Key);
    if (Value.contains(Key))
      checkValue(Value[Key], MemberPath, Member, Faults);
    else if (Member.Default.empty())
      Faults.push_back({MemberPath, "is missing", expectedUnit(Member)});
    else {
      Value[Key] = json::parse(Member.Default);
      if (Member.Kind == ValueKind::Object)
        checkObject(Value[Key], MemberPath, Member.Members, Faults);
    }
  }
}

std::string referenceTable(std::string_view Title,
                           std::span<const KeyDescription> Members) {
  std::string Text = "### " + std::string(Title) +
                     "\n\n| key | value | default | meaning |\n"
                     "|---|---|---|---|\n";
  for (const KeyDescription &Member : Members)
    Text += "| `" + std::string(Member.Key) + "` | " + expectedUnit(Member) +
            " | " +
            (Member.Default.empty() ? std::string("required")
                                    : "`" + std::string(Member.Default) + "`") +
            " | " + std::string(Member.Help) + " |\n";
  for (const KeyDescription &Member : Members)
    if (!Member.Members.empty())
      Text += "\n" + referenceTable("`" + std::string(Member.Key) + "`",
                                    Member.Members);
  return Text;
}

} // namespace detail
} // namespace marigoldyard
