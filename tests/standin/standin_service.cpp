// Plain service: counts the executions of each operation.

#include "marigoldyard/protocol/platform_api.hpp"
#include "tests/standin/standin_common.hpp"

namespace marigoldyard {

namespace {

using Json = nlohmann::json;
using Executions = std::map<std::string, std::uint64_t>;

/// Further ids are refused instead of forgetting one, because a test proves
/// at-most-once execution by these counts.
constexpr std::size_t MaxOperations = 200000;
const HttpHeaders NotRun{{"X-Not-Run", "1"}};

void run(Executions &Counts, const StandinProgram &Program, const Call &C) {
  const Responder &Answer = C.Answer;
  if (Program.fault("drop_before"))
    return Answer.abort();
  if (Program.fault("refuse"))
    return replyError(Answer, 503, "the fault refuse is set", NotRun);
  const std::string Operation =
      valueOf(parseServiceRun(C.Request.Body)).Operation;
  if (!Counts.contains(Operation) && Counts.size() >= MaxOperations)
    return replyError(Answer, 503, "too many operations", NotRun);
  const std::uint64_t Recorded = ++Counts[Operation];
  if (Program.fault("drop_after"))
    return Answer.abort();
  reply(Answer, 200,
        {{"operation_id", Operation},
         {"recorded", Recorded},
         {"echo", C.json()["body"]}});
}

} // namespace

} // namespace marigoldyard

int main(int Count, char **Arguments) {
  using namespace marigoldyard;
  StandinProgram Program("standin_service", "Stand-in of a plain service",
                         {"refuse", "drop_before", "drop_after"});
  Executions Counts;
  Program.platform("POST", "/run",
                   [&](const Call &C) { run(Counts, Program, C); });
  Program.control("GET", "/executions",
                  [&](const Call &C) { reply(C.Answer, 200, Json(Counts)); });
  return Program.run(Count, Arguments);
}
