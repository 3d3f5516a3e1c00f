#include "marigoldyard/protocol/http_api.hpp"

#include "marigoldyard/protocol/detail/json_object.hpp"

#include <algorithm>

namespace marigoldyard {

namespace {

using Json = nlohmann::json;
using detail::JsonObject;

Error invalidBody(std::string Detail) {
  return {ErrorCode::InvalidMessage, Step::Admission, {}, std::move(Detail)};
}

/// Text of a prompt or of a message's content: a text, or an array of texts or
/// of parts {"type":"text","text":...}.
std::optional<std::string> joinedText(const Json &Value) {
  if (Value.is_string())
    return Value.get<std::string>();
  if (!Value.is_array())
    return std::nullopt;
  std::string Joined;
  for (const Json &Part : Value) {
    const Json *Text = &Part;
    if (Part.is_object()) {
      auto Found = Part.find("text");
      if (Found == Part.end() || Part.value("type", Json()) != "text")
        return std::nullopt;
      Text = &*Found;
    }
    if (!Text->is_string())
      return std::nullopt;
    Joined += Text->get_ref<const std::string &>();
  }
  return Joined;
}

std::string chatPrompt(JsonObject &Body) {
  std::string Prompt;
  const Json &Messages = Body.array("messages", MaxChatMessages);
  if (Messages.empty())
    Body.fail("messages", "at least one message");
  for (std::size_t I = 0; I < Messages.size(); ++I) {
    JsonObject Message(Messages[I], "messages[" + std::to_string(I) + "]");
    std::string Role = Message.text("role");
    if (Role != "system" && Role != "developer" && Role != "user" &&
        Role != "assistant")
      Message.fail("role", "system, developer, user or assistant");
    const Json *Content = Message.find("content");
    auto Text = Content ? joinedText(*Content) : std::nullopt;
    if (!Text)
      Message.fail("content", "a text or an array of text parts");
    Body.adopt(Message);
    if (!Body.valid())
      return {};
    Prompt += Role + ": " + *Text + "\n";
  }
  return Prompt + "assistant:";
}

std::string textPrompt(JsonObject &Body) {
  const Json *Prompt = Body.find("prompt");
  auto Text = Prompt ? joinedText(*Prompt) : std::nullopt;
  if (!Text || (Prompt->is_array() && Prompt->size() != 1))
    Body.fail("prompt", "one text");
  return Text.value_or("");
}

unsigned statusOf(ErrorCode Code) {
  switch (Code) {
  case ErrorCode::InvalidMessage:
  case ErrorCode::InvalidManifest:
  case ErrorCode::InvalidSettings:
    return 400;
  case ErrorCode::Unauthenticated:
    return 401;
  case ErrorCode::OperationWrongCaller:
    return 403;
  case ErrorCode::OperationNotFound:
    return 404;
  case ErrorCode::RateLimited:
    return 429;
  case ErrorCode::PeerUnreachable:
  case ErrorCode::EndpointFailed:
  case ErrorCode::StreamIncomplete:
  case ErrorCode::StreamCorrupt:
  case ErrorCode::OperationUnknown:
    return 502;
  case ErrorCode::DeadlineExceeded:
  case ErrorCode::PeerTimeout:
    return 504;
  default:
    return 503;
  }
}

Json answer(const AnswerHead &Head, std::string_view Object, Json Choice) {
  return {{"id", Head.Id},
          {"object", Object},
          {"created", Head.Created.count()},
          {"model", Head.Model},
          {"choices", Json::array({std::move(Choice)})}};
}

Json reasonOrNull(std::string_view FinishReason) {
  return FinishReason.empty() ? Json() : Json(FinishReason);
}

} // namespace

Expected<CompletionRequest> parseCompletionRequest(CompletionKind Kind,
                                                   std::string_view Text) {
  auto Parsed = detail::parseJson(Text, Step::Admission);
  if (!Parsed)
    return Parsed.error();
  JsonObject Body(*Parsed);
  CompletionRequest Result;
  Result.Kind = Kind;
  Result.Model = Body.text("model");
  Result.Prompt =
      Kind == CompletionKind::Chat ? chatPrompt(Body) : textPrompt(Body);
  std::uint64_t Default = DefaultMaxTokens;
  Default = Body.number("max_completion_tokens", 1, MaxTokensLimit, &Default);
  Result.MaxTokens = static_cast<std::uint32_t>(
      Body.number("max_tokens", 1, MaxTokensLimit, &Default));
  Result.Stream = Body.boolean("stream", false);
  std::uint64_t One = 1;
  Body.number("n", 1, 1, &One);
  if (!Body.valid())
    return invalidBody(Body.fault());
  return Result;
}

Expected<std::string> parseOperationRequest(std::string_view Text) {
  auto Parsed = detail::parseJson(Text, Step::OperationOpen);
  if (!Parsed)
    return Parsed.error();
  JsonObject Body(*Parsed);
  std::string Service = Body.text("service");
  if (!Body.valid())
    return invalidBody(Body.fault());
  return Service;
}

std::string operationJson(std::string_view Operation) {
  return detail::jsonText({{"id", Operation}});
}

std::optional<std::string_view> parseBearer(std::string_view Value) {
  static constexpr std::string_view Scheme = "bearer ";
  if (Value.size() <= Scheme.size() ||
      !std::equal(Scheme.begin(), Scheme.end(), Value.begin(),
                  [](char Lower, char C) {
                    return (C >= 'A' && C <= 'Z' ? C - 'A' + 'a' : C) == Lower;
                  }))
    return std::nullopt;
  Value.remove_prefix(Scheme.size());
  Value.remove_prefix(std::min(Value.find_first_not_of(' '), Value.size()));
  if (Value.empty())
    return std::nullopt;
  return Value;
}

Expected<std::optional<Rank>> parseRankHeader(std::string_view Value) {
  if (Value.empty())
    return std::optional<Rank>();
  if (auto Parsed = parseRank(Value))
    return Parsed;
  return invalidBody("X-Rank: expected urgent, standard or batch");
}

Problem makeProblem(Error Cause, Outcome Result) {
  Problem Value;
  Value.Status = Cause.Code.category() == errorCategory()
                     ? statusOf(static_cast<ErrorCode>(Cause.Code.value()))
                     : 500;
  Value.Result = Result;
  Value.Cause = std::move(Cause);
  return Value;
}

std::string problemJson(const Problem &Value) {
  std::string Id = std::to_string(Value.Cause.Code.value());
  Json Object{{"type", "urn:marigoldyard:error:" + Id},
              {"title", Value.Cause.Code.message()},
              {"status", Value.Status},
              {"detail", Value.Cause.Detail},
              {"outcome", outcomeName(Value.Result)},
              {"step", stepName(Value.Cause.At)},
              {"peer", Value.Cause.Peer},
              {"error_id", Value.Cause.Code.value()}};
  if (!Value.Request.empty())
    Object["request_id"] = Value.Request;
  if (Value.RetryAfter)
    Object["retry_after_ms"] = Value.RetryAfter->count();
  return detail::jsonText(Object);
}

std::string retryAfterSeconds(std::chrono::milliseconds Delay) {
  auto Seconds = std::chrono::ceil<std::chrono::seconds>(Delay);
  return std::to_string(std::max<std::int64_t>(1, Seconds.count()));
}

std::string sseChunk(const AnswerHead &Head, std::string_view Text,
                     std::string_view FinishReason) {
  bool Chat = Head.Kind == CompletionKind::Chat;
  Json Choice{{"index", 0}, {"finish_reason", reasonOrNull(FinishReason)}};
  if (!Chat)
    Choice["text"] = Text;
  else if (Text.empty())
    Choice["delta"] = Json::object();
  else
    Choice["delta"] = {{"content", Text}};
  Json Event = answer(Head, Chat ? "chat.completion.chunk" : "text_completion",
                      std::move(Choice));
  return "data: " + detail::jsonText(Event) + "\n\n";
}

std::string sseProblem(const Problem &Value) {
  return "event: error\ndata: " + problemJson(Value) + "\n\n";
}

std::string completionJson(const AnswerHead &Head, std::string_view Text,
                           std::string_view FinishReason) {
  bool Chat = Head.Kind == CompletionKind::Chat;
  Json Choice{{"index", 0}, {"finish_reason", reasonOrNull(FinishReason)}};
  if (Chat)
    Choice["message"] = {{"role", "assistant"}, {"content", Text}};
  else
    Choice["text"] = Text;
  return detail::jsonText(answer(
      Head, Chat ? "chat.completion" : "text_completion", std::move(Choice)));
}

} // namespace marigoldyard
