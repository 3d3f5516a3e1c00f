#include "marigoldyard/protocol/http_api.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace marigoldyard;
using Json = nlohmann::json;

TEST_CASE("completion bodies are read in both forms") {
  auto Text = parseCompletionRequest(
      CompletionKind::Text,
      R"({"model":"m","prompt":"p","max_tokens":5,"stream":true,"temperature":0})");
  REQUIRE(Text);
  CHECK(Text->Model == "m");
  CHECK(Text->Prompt == "p");
  CHECK(Text->MaxTokens == 5);
  CHECK(Text->Stream);
  auto Chat = parseCompletionRequest(
      CompletionKind::Chat,
      R"({"model":"m","messages":[{"role":"system","content":"s"},
          {"role":"user","content":[{"type":"text","text":"u"}]}]})");
  REQUIRE(Chat);
  CHECK(Chat->Prompt == "system: s\nuser: u\nassistant:");
  CHECK(Chat->MaxTokens == DefaultMaxTokens);
  CHECK_FALSE(Chat->Stream);
}

TEST_CASE("bad bodies are refused with the member's name, so that a caller can "
          "correct them") {
  auto Fault = [](CompletionKind Kind, std::string_view Body) {
    auto Parsed = parseCompletionRequest(Kind, Body);
    REQUIRE_FALSE(Parsed);
    CHECK(makeProblem(Parsed.error(), Outcome::NotRun).Status == 400);
    return Parsed.error().Detail;
  };
  using enum CompletionKind;
  CHECK(Fault(Text, R"({"prompt":"p"})") == "model: expected a text");
  CHECK(Fault(Text, R"({"model":"m"})").starts_with("prompt:"));
  CHECK(Fault(Text, R"({"model":"m","prompt":["a","b"]})")
            .starts_with("prompt:"));
  CHECK(Fault(Text, R"({"model":"m","prompt":"p","max_tokens":0})")
            .starts_with("max_tokens:"));
  CHECK(Fault(Text, R"({"model":"m","prompt":"p","max_tokens":-1})")
            .starts_with("max_tokens:"));
  CHECK(Fault(Text, R"({"model":"m","prompt":"p","stream":1})")
            .starts_with("stream:"));
  CHECK(Fault(Text, R"({"model":"m","prompt":"p","n":2})").starts_with("n:"));
  CHECK(Fault(Chat, R"({"model":"m","messages":[]})").starts_with("messages:"));
  CHECK(Fault(Chat, R"({"model":"m","messages":[{"role":"x","content":""}]})")
            .starts_with("messages[0].role:"));
  CHECK(Fault(Chat, R"({"model":"m","messages":[{"role":"user"}]})")
            .starts_with("messages[0].content:"));
  for (const std::string &Body :
       {std::string(), std::string("{"), std::string("[]"), std::string("1"),
        std::string("\xFF\xFE"), std::string(100'000, '['),
        std::string(R"({"model":)")})
    CHECK_FALSE(Fault(Text, Body).empty());
  CHECK_FALSE(parseOperationRequest("{}"));
  CHECK(*parseOperationRequest(R"({"service":"s"})") == "s");
}

TEST_CASE("credentials and ranks are read from headers only in their form") {
  CHECK(parseBearer("Bearer abc") == "abc");
  CHECK(parseBearer("bearer  abc") == "abc");
  for (std::string_view Bad : {"", "Bearer", "Bearer ", "Basic abc", "abc"})
    CHECK_FALSE(parseBearer(Bad));
  CHECK(*parseRankHeader("urgent") == Rank::Urgent);
  CHECK(*parseRankHeader("") == std::nullopt);
  CHECK_FALSE(parseRankHeader("URGENT"));
}

TEST_CASE("a problem carries outcome, step, peer and error id") {
  Problem Value = makeProblem(
      {ErrorCode::RateLimited, Step::Admission, "entry-1", "bad \xFF byte"},
      Outcome::NotRun);
  Value.RetryAfter = std::chrono::milliseconds(1500);
  Json Parsed = Json::parse(problemJson(Value));
  CHECK(Parsed["status"] == 429);
  CHECK(Parsed["outcome"] == "not_run");
  CHECK(Parsed["step"] == "admission");
  CHECK(Parsed["peer"] == "entry-1");
  CHECK(Parsed["error_id"] == 304);
  for (const char *Name : {"type", "title", "detail"})
    CHECK(Parsed.contains(Name));
  CHECK(retryAfterSeconds(std::chrono::milliseconds(1500)) == "2");
  CHECK(retryAfterSeconds(std::chrono::milliseconds(0)) == "1");
}

TEST_CASE("answers have the customary shape, so that client libraries read "
          "them") {
  auto Event = [](const std::string &Text) {
    REQUIRE(Text.starts_with("data: "));
    REQUIRE(Text.ends_with("\n\n"));
    return Json::parse(Text.substr(6));
  };
  AnswerHead Chat{CompletionKind::Chat, "id-1", "m", std::chrono::seconds(9)};
  AnswerHead Plain{CompletionKind::Text, "id-1", "m", {}};
  Json Delta = Event(sseChunk(Chat, "line\nbreak"));
  CHECK(Delta["object"] == "chat.completion.chunk");
  CHECK(Delta["choices"][0]["delta"]["content"] == "line\nbreak");
  CHECK(Delta["choices"][0]["finish_reason"].is_null());
  Json Last = Event(sseChunk(Chat, "", "stop"));
  CHECK(Last["choices"][0]["finish_reason"] == "stop");
  CHECK(Event(sseChunk(Plain, "a"))["choices"][0]["text"] == "a");
  Json Whole = Json::parse(completionJson(Chat, "t", "length"));
  CHECK(Whole["object"] == "chat.completion");
  CHECK(Whole["choices"][0]["message"]["content"] == "t");
  CHECK(Whole["choices"][0]["finish_reason"] == "length");
  CHECK(Json::parse(completionJson(Plain, "t", "stop"))["choices"][0]["text"] ==
        "t");
  CHECK(Json::parse(operationJson("a.1.2"))["id"] == "a.1.2");
}
