#include "marigoldyard/protocol/message_frames.hpp"

#include "marigoldyard/protocol/detail/message_mac.hpp"

#include <algorithm>
#include <stdexcept>

namespace marigoldyard {

namespace {

/// First bytes of frames; the codec and compact reports use lower ones.
constexpr std::uint8_t FirstFrame = 3;
constexpr std::uint8_t NextFrame = 4;
/// First byte and size of the whole message, most significant byte first.
constexpr std::size_t SizeBytes = 4;
constexpr std::size_t FirstHeadBytes = 1 + SizeBytes;
constexpr unsigned BitsPerByte = 8;

void appendSize(std::vector<std::uint8_t> &Target, std::size_t Size) {
  for (std::size_t Byte = SizeBytes; Byte-- > 0;)
    Target.push_back(static_cast<std::uint8_t>(Size >> (BitsPerByte * Byte)));
}

std::size_t readSize(std::span<const std::uint8_t> Bytes) {
  std::size_t Result = 0;
  for (const std::uint8_t Byte : Bytes.first(SizeBytes))
    Result = Result << BitsPerByte | Byte;
  return Result;
}

Error invalid(std::string Detail) {
  return {ErrorCode::InvalidMessage, Step::Authenticate, {}, std::move(Detail)};
}

/// Checks the first frame of a message; its code stands at the end.
std::optional<Error> checkFirst(const FrameAssembly &State,
                                std::span<const std::uint8_t> Frame,
                                const KeyRing &Keys) {
  if (Frame.size() <= FirstHeadBytes + MacBytes)
    return invalid("first frame is too short");
  const auto Signed = Frame.first(Frame.size() - MacBytes);
  const auto Code = Frame.last(MacBytes);
  if (std::none_of(Keys.Keys.begin(), Keys.Keys.end(), [&](const Key &Each) {
        return detail::macMatches(Each.Secret, Signed, Code);
      }))
    return Error{ErrorCode::Unauthenticated,
                 Step::Authenticate,
                 {},
                 "no key has signed the first frame"};
  const std::size_t Total = readSize(Frame.subspan(1));
  if (Total > State.MaxMessageBytes || State.Bytes + Total > State.MaxBytes)
    return invalid("message of " + std::to_string(Total) +
                   " bytes exceeds the limit");
  return std::nullopt;
}

} // namespace

std::vector<std::vector<std::uint8_t>>
splitMessage(std::vector<std::uint8_t> Bytes, const KeyRing &Keys) {
  std::vector<std::vector<std::uint8_t>> Frames;
  if (Bytes.size() <= MaxFrameBytes) {
    Frames.push_back(std::move(Bytes));
    return Frames;
  }
  if (Keys.Keys.empty())
    throw std::invalid_argument("no key to sign with");
  std::span<const std::uint8_t> Rest(Bytes);
  const auto Take = [&](std::vector<std::uint8_t> &Target, std::size_t Most) {
    const auto Part = Rest.first(std::min(Most, Rest.size()));
    Target.insert(Target.end(), Part.begin(), Part.end());
    Rest = Rest.subspan(Part.size());
  };
  std::vector<std::uint8_t> First{FirstFrame};
  appendSize(First, Bytes.size());
  Take(First, MaxFrameBytes - FirstHeadBytes - MacBytes);
  const auto Code = detail::messageMac(Keys.Keys.front().Secret, First);
  First.insert(First.end(), Code.begin(), Code.begin() + MacBytes);
  Frames.push_back(std::move(First));
  while (!Rest.empty()) {
    std::vector<std::uint8_t> Next{NextFrame};
    Take(Next, MaxFrameBytes - 1);
    Frames.push_back(std::move(Next));
  }
  return Frames;
}

bool isFrame(std::span<const std::uint8_t> Bytes) {
  return !Bytes.empty() && (Bytes[0] == FirstFrame || Bytes[0] == NextFrame);
}

Expected<std::optional<std::vector<std::uint8_t>>>
addFrame(FrameAssembly &State, std::uint32_t Connection,
         std::span<const std::uint8_t> Frame, const KeyRing &Keys) {
  std::span<const std::uint8_t> Content = Frame.subspan(1);
  if (Frame[0] == FirstFrame) {
    dropFrames(State, Connection);
    if (auto Failure = checkFirst(State, Frame, Keys))
      return *Failure;
    const std::size_t Total = readSize(Content);
    Content = Content.subspan(SizeBytes);
    Content = Content.first(Content.size() - MacBytes);
    State.Messages[Connection].Total = Total;
    State.Bytes += Total;
  }
  const auto Found = State.Messages.find(Connection);
  if (Found == State.Messages.end())
    return invalid("frame without a first one");
  FrameAssembly::Message &Message = Found->second;
  if (Content.size() > Message.Total - Message.Bytes.size()) {
    dropFrames(State, Connection);
    return invalid("frames exceed the size of their message");
  }
  Message.Bytes.insert(Message.Bytes.end(), Content.begin(), Content.end());
  if (Message.Bytes.size() < Message.Total)
    return std::optional<std::vector<std::uint8_t>>();
  std::optional<std::vector<std::uint8_t>> Whole = std::move(Message.Bytes);
  dropFrames(State, Connection);
  return Whole;
}

void dropFrames(FrameAssembly &State, std::uint32_t Connection) {
  const auto Found = State.Messages.find(Connection);
  if (Found == State.Messages.end())
    return;
  State.Bytes -= Found->second.Total;
  State.Messages.erase(Found);
}

} // namespace marigoldyard
