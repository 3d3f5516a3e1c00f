#include "programs/entry/answers.hpp"

#include <nlohmann/json.hpp>

namespace marigoldyard {

namespace {

HttpResponse jsonResponse(unsigned Status, std::string Text) {
  HttpResponse Response;
  Response.Status = Status;
  Response.Headers["content-type"] = "application/json";
  Response.Body = std::move(Text);
  return Response;
}

HttpResponse responseOf(const Problem &Value) {
  HttpResponse Response = jsonResponse(Value.Status, problemJson(Value));
  Response.Headers["content-type"] = ProblemMediaType;
  if (Value.RetryAfter)
    Response.Headers["retry-after"] = retryAfterSeconds(*Value.RetryAfter);
  return Response;
}

} // namespace

HttpResponse problemAnswer(Outcome Result, const Error &Cause,
                           std::chrono::milliseconds RetryAfter,
                           std::string Request) {
  Problem Value = makeProblem(Cause, Result);
  Value.Request = std::move(Request);
  if (RetryAfter.count() > 0)
    Value.RetryAfter = RetryAfter;
  return responseOf(Value);
}

HttpResponse notFoundAnswer(std::string Detail) {
  Problem Value = makeProblem(
      Error{ErrorCode::InvalidMessage, Step::Admission, {}, std::move(Detail)},
      Outcome::NotRun);
  Value.Status = 404;
  return responseOf(Value);
}

HttpResponse entriesAnswer(const EntryDirectory &Directory) {
  nlohmann::json Entries = nlohmann::json::array();
  for (const ListedEntry &Each : Directory.Entries)
    Entries.push_back(
        {{"address", Each.Address}, {"failure_domain", Each.FailureDomain}});
  return jsonResponse(200,
                      nlohmann::json{{"entries", std::move(Entries)},
                                     {"max_age_ms", Directory.MaxAge.count()}}
                          .dump());
}

HttpResponse modelsAnswer(const std::vector<std::string> &Products) {
  nlohmann::json Models = nlohmann::json::array();
  for (const std::string &Name : Products)
    Models.push_back({{"id", Name}, {"object", "model"}});
  return jsonResponse(
      200,
      nlohmann::json{{"object", "list"}, {"data", std::move(Models)}}.dump());
}

HttpResponse operationOpenedAnswer(std::string_view Operation) {
  return jsonResponse(201, operationJson(Operation));
}

HttpResponse operationAnswer(std::uint32_t Status, std::string Text) {
  return jsonResponse(Status == 0 ? 200 : Status, std::move(Text));
}

HttpResponse sseHead(Rank Priority) {
  HttpResponse Head;
  Head.Headers["content-type"] = SseMediaType;
  Head.Headers["cache-control"] = "no-store";
  Head.Headers["x-rank"] = rankName(Priority);
  return Head;
}

HttpResponse completionAnswer(const AnswerHead &Head, std::string_view Text,
                              const Digest &Weights, Rank Priority) {
  auto Body = nlohmann::json::parse(completionJson(Head, Text, "stop"));
  Body["weights"] = Weights;
  HttpResponse Response = jsonResponse(200, Body.dump());
  Response.Headers["x-rank"] = rankName(Priority);
  return Response;
}

} // namespace marigoldyard
