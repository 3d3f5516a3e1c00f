#include "marigoldyard/protocol/codec.hpp"

#include "marigoldyard/protocol/detail/message_fields.hpp"
#include "marigoldyard/protocol/detail/message_mac.hpp"
#include "marigoldyard/protocol/digest.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <type_traits>

namespace marigoldyard {

namespace {

using Json = nlohmann::json;

/// First byte of every message; a change of the layout raises it.
constexpr std::uint8_t FormatVersion = 1;
/// Version byte and length of the key id.
constexpr std::size_t PrefixBytes = 2;
/// A message is an array that holds at most arrays of scalars or pairs.
constexpr std::size_t MaxDepth = 3;
/// Longest span of time in a message; keeps conversions to microseconds in
/// range.
constexpr std::int64_t MaxMilliseconds = 1'000'000'000'000;
constexpr std::size_t DigestBytes = 32;

// --- Writing ---------------------------------------------------------------

std::uint8_t hexValue(char C) {
  return static_cast<std::uint8_t>(C <= '9' ? C - '0' : C - 'a' + 10);
}

Json digestToJson(const Digest &Value) {
  if (!isDigest(Value))
    return Value; // the empty digest, or one that the receiver refuses
  std::vector<std::uint8_t> Bytes(DigestBytes);
  for (std::size_t I = 0; I < DigestBytes; ++I)
    Bytes[I] = static_cast<std::uint8_t>(hexValue(Value[2 * I]) << 4 |
                                         hexValue(Value[2 * I + 1]));
  return Json::binary(std::move(Bytes));
}

class Writer {
public:
  explicit Writer(Json::array_t &Elements) : Target(Elements) {}

  void all(const auto &...Members) { (field(Members), ...); }

private:
  void field(const std::string &V) { Target.emplace_back(V); }
  void field(bool V) { Target.emplace_back(V); }
  void field(std::uint32_t V) { Target.emplace_back(V); }
  void field(std::uint64_t V) { Target.emplace_back(V); }
  void field(std::int64_t V) { Target.emplace_back(V); }
  void field(std::chrono::milliseconds V) { Target.emplace_back(V.count()); }
  template <typename T>
  requires std::is_enum_v<T>
  void field(T V) { Target.emplace_back(static_cast<std::uint32_t>(V)); }
  void field(const std::vector<std::uint8_t> &V) {
    Target.emplace_back(Json::binary(V));
  }
  void field(const std::vector<std::string> &V) { Target.emplace_back(V); }
  void field(const std::vector<bool> &V) {
    std::vector<std::uint8_t> Bits((V.size() + 7) / 8);
    for (std::size_t I = 0; I < V.size(); ++I)
      if (V[I])
        Bits[I / 8] |= static_cast<std::uint8_t>(1U << (I % 8));
    Target.emplace_back(V.size());
    Target.emplace_back(Json::binary(std::move(Bits)));
  }
  void field(const std::map<std::string, std::string> &V) {
    Json::array_t Flat;
    for (const auto &[Name, Value] : V) {
      Flat.emplace_back(Name);
      Flat.emplace_back(Value);
    }
    Target.emplace_back(std::move(Flat));
  }
  void field(const detail::DigestField<const Digest> &V) {
    Target.push_back(digestToJson(V.Value));
  }
  void field(const detail::DigestField<const std::vector<Digest>> &V) {
    Json::array_t Digests;
    for (const Digest &Value : V.Value)
      Digests.push_back(digestToJson(Value));
    Target.emplace_back(std::move(Digests));
  }
  void
  field(const detail::DigestField<const std::map<std::string, Digest>> &V) {
    Json::array_t Flat;
    for (const auto &[Name, Value] : V.Value) {
      Flat.emplace_back(Name);
      Flat.push_back(digestToJson(Value));
    }
    Target.emplace_back(std::move(Flat));
  }
  template <typename T>
  requires requires { sizeof(detail::Fields<T>); }
  void field(const T &V) { detail::Fields<T>::visit(*this, V); }
  /// The members of all elements follow each other in one array.
  template <typename T>
  requires requires { sizeof(detail::Fields<T>); }
  void field(const std::vector<T> &V) {
    Json::array_t Flat;
    Writer Elements(Flat);
    for (const T &Each : V)
      Elements.field(Each);
    Target.emplace_back(std::move(Flat));
  }

  Json::array_t &Target;
};

// --- Reading ---------------------------------------------------------------

Digest digestFromBytes(const std::vector<std::uint8_t> &Bytes) {
  static constexpr char Digits[] = "0123456789abcdef";
  Digest Text;
  Text.reserve(2 * DigestBytes);
  for (std::uint8_t Byte : Bytes) {
    Text += Digits[Byte >> 4];
    Text += Digits[Byte & 0xF];
  }
  return Text;
}

bool readDigest(const Json &Source, Digest &V) {
  if (Source.is_binary() && Source.get_binary().size() == DigestBytes) {
    V = digestFromBytes(Source.get_binary());
    return true;
  }
  V.clear();
  return Source.is_string() && Source.get_ref<const std::string &>().empty();
}

/// Takes the members of a message from an array. A missing element or a wrong
/// type clears valid() and leaves the rest of the members as they are.
class Reader {
public:
  explicit Reader(Json::array_t &Elements) : Source(Elements) {}

  bool valid() const { return Valid; }
  bool atEnd() const { return Next == Source.size(); }
  void all(auto &&...Members) { (field(Members), ...); }

private:
  Json *take() {
    if (Valid && Next < Source.size())
      return &Source[Next++];
    Valid = false;
    return nullptr;
  }
  Json *takeIf(bool (Json::*Holds)() const noexcept) {
    Json *Element = take();
    if (Element && !(Element->*Holds)()) {
      Valid = false;
      return nullptr;
    }
    return Element;
  }

  void field(std::string &V) {
    if (Json *E = takeIf(&Json::is_string))
      V = std::move(E->get_ref<std::string &>());
  }
  void field(bool &V) {
    if (Json *E = takeIf(&Json::is_boolean))
      V = E->get<bool>();
  }
  template <typename T>
  requires std::is_unsigned_v<T>
  void field(T &V) {
    Json *E = takeIf(&Json::is_number_unsigned);
    if (!E)
      return;
    auto Wide = E->get<std::uint64_t>();
    if (Wide > std::numeric_limits<T>::max())
      Valid = false;
    else
      V = static_cast<T>(Wide);
  }
  void field(std::int64_t &V) {
    Json *E = takeIf(&Json::is_number_integer);
    if (!E)
      return;
    if (E->is_number_unsigned() &&
        E->get<std::uint64_t>() > std::numeric_limits<std::int64_t>::max())
      Valid = false;
    else
      V = E->get<std::int64_t>();
  }
  void field(std::chrono::milliseconds &V) {
    std::int64_t Count = 0;
    field(Count);
    if (Count > MaxMilliseconds || Count < -MaxMilliseconds)
      Valid = false;
    else
      V = std::chrono::milliseconds(Count);
  }
  void field(Rank &V) { enumeration(V, RankCount); }
  void field(MemberKind &V) { enumeration(V, 2); }
  void field(Outcome &V) { enumeration(V, std::size(AllOutcomes)); }
  void field(CrashReportKind &V) { enumeration(V, CrashReportKindCount); }
  void field(Step &V) { enumeration(V, std::size(AllSteps)); }
  // A newer sender may use an id that this process does not know; it is only
  // passed on and logged.
  void field(ErrorCode &V) { enumeration(V, 1000); }
  template <typename T> void enumeration(T &V, std::size_t Count) {
    std::uint32_t Number = 0;
    field(Number);
    if (Number >= Count)
      Valid = false;
    else
      V = static_cast<T>(Number);
  }
  void field(std::vector<std::uint8_t> &V) {
    if (Json *E = takeIf(&Json::is_binary))
      V = std::move(static_cast<std::vector<std::uint8_t> &>(E->get_binary()));
  }
  void field(std::vector<std::string> &V) {
    Json *E = takeIf(&Json::is_array);
    if (!E)
      return;
    for (Json &Item : *E) {
      if (!Item.is_string()) {
        Valid = false;
        return;
      }
      V.push_back(std::move(Item.get_ref<std::string &>()));
    }
  }
  void field(std::vector<bool> &V) {
    std::uint64_t Count = 0;
    std::vector<std::uint8_t> Bits;
    field(Count);
    field(Bits);
    if (!Valid || Count > Bits.size() * 8 || Bits.size() != (Count + 7) / 8) {
      Valid = false;
      return;
    }
    V.resize(Count);
    for (std::size_t I = 0; I < V.size(); ++I)
      V[I] = (Bits[I / 8] >> (I % 8) & 1U) != 0;
  }
  void field(std::map<std::string, std::string> &V) {
    pairs(V, [](Json &Element, std::string &Value) {
      if (!Element.is_string())
        return false;
      Value = std::move(Element.get_ref<std::string &>());
      return true;
    });
  }
  void field(detail::DigestField<Digest> V) {
    if (Json *E = take())
      Valid = readDigest(*E, V.Value);
  }
  void field(detail::DigestField<std::vector<Digest>> V) {
    Json *E = takeIf(&Json::is_array);
    if (!E)
      return;
    for (const Json &Item : *E)
      Valid = Valid && readDigest(Item, V.Value.emplace_back());
  }
  void field(detail::DigestField<std::map<std::string, Digest>> V) {
    pairs(V.Value, [](Json &Element, Digest &Value) {
      return readDigest(Element, Value);
    });
  }
  void pairs(std::map<std::string, std::string> &V, auto ReadValue) {
    Json *E = takeIf(&Json::is_array);
    if (!E)
      return;
    Valid = E->size() % 2 == 0;
    for (std::size_t I = 0; Valid && I < E->size(); I += 2) {
      Json &Name = (*E)[I];
      Valid = Name.is_string() &&
              ReadValue((*E)[I + 1], V[Name.get_ref<std::string &>()]);
    }
  }
  template <typename T>
  requires requires { sizeof(detail::Fields<T>); }
  void field(T &V) { detail::Fields<T>::visit(*this, V); }
  template <typename T>
  requires requires { sizeof(detail::Fields<T>); }
  void field(std::vector<T> &V) {
    Json *E = takeIf(&Json::is_array);
    if (!E)
      return;
    Reader Elements(E->get_ref<Json::array_t &>());
    while (Elements.Valid && !Elements.atEnd())
      Elements.field(V.emplace_back());
    Valid = Elements.Valid;
  }

  Json::array_t &Source;
  std::size_t Next = 0;
  bool Valid = true;
};

/// Builds the value while it is parsed and stops at nested content that no
/// message has, because the library's parser recurses for each level.
class LimitedBuilder final : public nlohmann::json_sax<Json> {
public:
  Json Root;

  bool null() override { return false; }
  bool boolean(bool V) override { return add(V); }
  bool number_integer(std::int64_t V) override { return add(V); }
  bool number_unsigned(std::uint64_t V) override { return add(V); }
  bool number_float(double, const std::string &) override { return false; }
  bool string(std::string &V) override { return add(std::move(V)); }
  bool binary(Json::binary_t &V) override {
    return !V.has_subtype() && add(Json(std::move(V)));
  }
  bool start_object(std::size_t) override { return false; }
  bool key(std::string &) override { return false; }
  bool end_object() override { return false; }
  bool start_array(std::size_t) override {
    if (Open.size() == MaxDepth)
      return false;
    if (Open.empty()) {
      Root = Json::array();
      Open.push_back(&Root);
      return true;
    }
    Json &Parent = *Open.back();
    Parent.push_back(Json::array());
    Open.push_back(&Parent.back());
    return true;
  }
  bool end_array() override {
    Open.pop_back();
    return true;
  }
  bool parse_error(std::size_t, const std::string &,
                   const Json::exception &) override {
    return false;
  }

private:
  bool add(Json V) {
    if (Open.empty())
      return false;
    Open.back()->get_ref<Json::array_t &>().push_back(std::move(V));
    return true;
  }

  std::vector<Json *> Open;
};

template <std::size_t... I>
bool emplaceBody(Body &Target, std::size_t Type, std::index_sequence<I...>) {
  return ((Type == I ? (Target.emplace<I>(), true) : false) || ...);
}

Error invalidMessage(std::string Peer, std::string Detail) {
  return {ErrorCode::InvalidMessage, Step::Authenticate, std::move(Peer),
          std::move(Detail)};
}

// --- Envelope --------------------------------------------------------------

Expected<Message> parsePayload(std::span<const std::uint8_t> Payload) {
  LimitedBuilder Builder;
  if (!Json::sax_parse(Payload.begin(), Payload.end(), &Builder,
                       Json::input_format_t::msgpack) ||
      !Builder.Root.is_array())
    return invalidMessage({}, "payload is not an array in MessagePack");
  auto &Elements = Builder.Root.get_ref<Json::array_t &>();
  if (Elements.empty() || !Elements[0].is_number_unsigned())
    return invalidMessage({}, "message type is missing");
  auto Type = Elements[0].get<std::size_t>();
  Message Result;
  if (!emplaceBody(Result.Content, Type,
                   std::make_index_sequence<std::variant_size_v<Body>>()))
    return invalidMessage({}, "unknown message type " + std::to_string(Type));
  Reader Source(Elements);
  std::uint64_t TypeAgain = 0;
  Source.all(TypeAgain, Result.Head);
  std::visit([&](auto &Content) { Source.all(Content); }, Result.Content);
  if (!Source.valid() || !Source.atEnd())
    return invalidMessage(Result.Head.Sender,
                          "wrong fields in a message of type " +
                              std::to_string(Type));
  return Result;
}

} // namespace

std::vector<std::uint8_t> encodeMessage(const Message &Content,
                                        const KeyRing &Keys) {
  if (Keys.Keys.empty() || Keys.Keys.front().Id.size() > MaxKeyIdBytes)
    throw std::invalid_argument("no usable key to sign a message with");
  const Key &Signer = Keys.Keys.front();
  Json::array_t Elements;
  Elements.reserve(20);
  Writer Target(Elements);
  Target.all(static_cast<std::uint64_t>(Content.Content.index()), Content.Head);
  std::visit([&](const auto &Part) { Target.all(Part); }, Content.Content);

  std::vector<std::uint8_t> Bytes{FormatVersion,
                                  static_cast<std::uint8_t>(Signer.Id.size())};
  Bytes.reserve(128);
  Bytes.insert(Bytes.end(), Signer.Id.begin(), Signer.Id.end());
  Json::to_msgpack(Json(std::move(Elements)), Bytes);
  auto Code = detail::messageMac(Signer.Secret, Bytes);
  Bytes.insert(Bytes.end(), Code.begin(), Code.begin() + MacBytes);
  return Bytes;
}

Expected<Message> decodeMessage(std::span<const std::uint8_t> Bytes,
                                const KeyRing &Keys) {
  if (Bytes.size() < PrefixBytes + MacBytes || Bytes[0] != FormatVersion)
    return invalidMessage({}, "not a message of this format version");
  std::size_t HeadBytes = PrefixBytes + Bytes[1];
  if (Bytes[1] > MaxKeyIdBytes || Bytes.size() < HeadBytes + MacBytes)
    return invalidMessage({}, "message is shorter than its envelope");
  std::string Id(Bytes.begin() + PrefixBytes,
                 Bytes.begin() + static_cast<std::ptrdiff_t>(HeadBytes));
  auto Signed = Bytes.first(Bytes.size() - MacBytes);
  auto Received = Bytes.last(MacBytes);
  try {
    if (std::none_of(Keys.Keys.begin(), Keys.Keys.end(), [&](const Key &K) {
          return K.Id == Id && detail::macMatches(K.Secret, Signed, Received);
        }))
      return Error{ErrorCode::Unauthenticated,
                   Step::Authenticate,
                   {},
                   "unknown key id or wrong message authentication code"};
    return parsePayload(Signed.subspan(HeadBytes));
  } catch (const std::exception &Failure) {
    return invalidMessage({}, Failure.what());
  }
}

} // namespace marigoldyard
