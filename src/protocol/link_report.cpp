#include "marigoldyard/protocol/link_report.hpp"

#include "marigoldyard/protocol/detail/message_mac.hpp"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace marigoldyard {

namespace {

using Json = nlohmann::json;

/// First byte of a compact report; other messages begin with their own format
/// version.
constexpr std::uint8_t CompactVersion = 2;
/// Version byte and the lower half of the sender's incarnation, which differs
/// between senders: milliseconds of the start and 22 random bits.
constexpr std::size_t NumberBytes = 4;
constexpr std::size_t HeadBytes = 1 + NumberBytes;
/// Sequence, tokens by rank, running requests, rate.
constexpr std::size_t FieldCount = 3 + RankCount;
/// Six numbers of at most 9 bytes, with the head of the array.
constexpr std::size_t MaxCompactBytes =
    HeadBytes + 1 + FieldCount * 9 + MacBytes;

std::uint32_t linkNumber(Incarnation Sender) {
  return static_cast<std::uint32_t>(Sender);
}

/// Whether two reports differ in nothing that a compact report leaves out. The
/// bindings name every member, so that a new one cannot be forgotten here.
bool sameExceptLoad(const LoadReport &First, const LoadReport &Second) {
  const auto &[TokensA, RunningA, SlotsA, RateA, ReadyA, LeavingA, WeightsA] =
      First;
  const auto &[TokensB, RunningB, SlotsB, RateB, ReadyB, LeavingB, WeightsB] =
      Second;
  return SlotsA == SlotsB && ReadyA == ReadyB && LeavingA == LeavingB &&
         WeightsA == WeightsB;
}

/// Whether a compact report can tell the new report to who has the base.
bool fitsBase(const Message &Base, const Message &Fresh) {
  const Header &A = Base.Head;
  const Header &B = Fresh.Head;
  return A.Sender == B.Sender && A.Receiver == B.Receiver &&
         A.SenderIncarnation == B.SenderIncarnation &&
         A.SenderRevision == B.SenderRevision &&
         sameExceptLoad(std::get<Report>(Base.Content).Load,
                        std::get<Report>(Fresh.Content).Load);
}

/// The bytes that are signed: those on the wire and what both sides know. The
/// sequence of the base makes sure that both mean the same one.
std::vector<std::uint8_t> signedBytes(std::span<const std::uint8_t> Wire,
                                      const Header &Base) {
  std::vector<std::uint8_t> Bytes(Wire.begin(), Wire.end());
  Json::to_msgpack(Json::array({Base.Sender, Base.SenderIncarnation,
                                Base.Receiver, Base.Sequence}),
                   Bytes);
  return Bytes;
}

std::vector<std::uint8_t> encodeCompact(const Message &Base,
                                        const Message &Content,
                                        const KeyRing &Keys) {
  const LoadReport &Load = std::get<Report>(Content.Content).Load;
  std::vector<std::uint8_t> Bytes{CompactVersion};
  Bytes.reserve(MaxCompactBytes);
  const std::uint32_t Number = linkNumber(Content.Head.SenderIncarnation);
  for (std::size_t I = 0; I < NumberBytes; ++I)
    Bytes.push_back(static_cast<std::uint8_t>(Number >> (8 * I)));
  Json::to_msgpack(Json::array({Content.Head.Sequence, Load.QueuedTokens[0],
                                Load.QueuedTokens[1], Load.QueuedTokens[2],
                                Load.Running, Load.TokensPerSecond}),
                   Bytes);
  auto Code = detail::messageMac(Keys.Keys.front().Secret,
                                 signedBytes(Bytes, Base.Head));
  Bytes.insert(Bytes.end(), Code.begin(), Code.begin() + MacBytes);
  return Bytes;
}

/// Takes the numbers of a compact report into a copy of the base.
bool readFields(std::span<const std::uint8_t> Payload, Message &Target) {
  const Json Fields =
      Json::from_msgpack(Payload.begin(), Payload.end(), true, false);
  if (!Fields.is_array() || Fields.size() != FieldCount ||
      !std::all_of(Fields.begin(), Fields.end(),
                   [](const Json &Each) { return Each.is_number_unsigned(); }))
    return false;
  constexpr auto Largest = std::numeric_limits<std::uint32_t>::max();
  const auto Running = Fields[1 + RankCount].get<std::uint64_t>();
  const auto Rate = Fields[2 + RankCount].get<std::uint64_t>();
  if (Running > Largest || Rate > Largest)
    return false;
  Target.Head.Sequence = Fields[0].get<std::uint64_t>();
  LoadReport &Load = std::get<Report>(Target.Content).Load;
  for (std::size_t I = 0; I < RankCount; ++I)
    Load.QueuedTokens[I] = Fields[1 + I].get<std::uint64_t>();
  Load.Running = static_cast<std::uint32_t>(Running);
  Load.TokensPerSecond = static_cast<std::uint32_t>(Rate);
  return true;
}

Error refused(ErrorCode Code, std::string Peer, std::string Detail) {
  return {Code, Step::Authenticate, std::move(Peer), std::move(Detail)};
}

} // namespace

std::vector<std::uint8_t> encodeOnLink(ReportLink &Link, const Message &Content,
                                       const KeyRing &Keys) {
  if (!std::holds_alternative<Report>(Content.Content))
    return encodeMessage(Content, Keys);
  const std::uint32_t Position = Link.Sent++;
  if (Position >= FullReportsAtStart && Position % ReportsPerFull != 0 &&
      Link.Base && fitsBase(*Link.Base, Content))
    return encodeCompact(*Link.Base, Content, Keys);
  Link.Base = Content;
  return encodeMessage(Content, Keys);
}

bool isCompactReport(std::span<const std::uint8_t> Bytes) {
  return !Bytes.empty() && Bytes[0] == CompactVersion;
}

ReportBases::ReportBases(std::size_t MaxSenders)
    : Capacity(std::max<std::size_t>(1, MaxSenders)) {}

void ReportBases::remember(const Message &Accepted) {
  if (!std::holds_alternative<Report>(Accepted.Content))
    return;
  const std::uint32_t Number = linkNumber(Accepted.Head.SenderIncarnation);
  if (auto Found = ByNumber.find(Number); Found != ByNumber.end()) {
    *Found->second = Accepted;
    Bases.splice(Bases.begin(), Bases, Found->second);
    return;
  }
  if (Bases.size() >= Capacity) {
    ByNumber.erase(linkNumber(Bases.back().Head.SenderIncarnation));
    Bases.pop_back();
  }
  Bases.push_front(Accepted);
  ByNumber.emplace(Number, Bases.begin());
}

Expected<Message> ReportBases::complete(std::span<const std::uint8_t> Bytes,
                                        const KeyRing &Keys) {
  if (!isCompactReport(Bytes) || Bytes.size() < HeadBytes + MacBytes ||
      Bytes.size() > MaxCompactBytes)
    return refused(ErrorCode::InvalidMessage, {}, "not a compact report");
  std::uint32_t Number = 0;
  for (std::size_t I = 0; I < NumberBytes; ++I)
    Number |= static_cast<std::uint32_t>(Bytes[1 + I]) << (8 * I);
  const auto Found = ByNumber.find(Number);
  if (Found == ByNumber.end())
    return refused(ErrorCode::Unauthenticated, {},
                   "compact report without a full one before it");
  Message Result = *Found->second;
  const auto Wire = Bytes.first(Bytes.size() - MacBytes);
  try {
    const auto Signed = signedBytes(Wire, Result.Head);
    if (std::none_of(Keys.Keys.begin(), Keys.Keys.end(), [&](const Key &Each) {
          return detail::macMatches(Each.Secret, Signed, Bytes.last(MacBytes));
        }))
      return refused(ErrorCode::Unauthenticated, {},
                     "compact report with a wrong message authentication code "
                     "or another base");
    if (!readFields(Wire.subspan(HeadBytes), Result))
      return refused(ErrorCode::InvalidMessage, Result.Head.Sender,
                     "wrong fields in a compact report");
  } catch (const std::exception &Failure) {
    return refused(ErrorCode::InvalidMessage, Result.Head.Sender,
                   Failure.what());
  }
  Bases.splice(Bases.begin(), Bases, Found->second);
  return Result;
}

} // namespace marigoldyard
