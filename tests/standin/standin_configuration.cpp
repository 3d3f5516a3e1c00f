// Configuration service: values that can be read and watched.

#include "marigoldyard/transport/clock.hpp"
#include "tests/standin/standin_common.hpp"

#include <algorithm>
#include <chrono>

namespace marigoldyard {

namespace {

/// Largest value of the service.
constexpr std::size_t MaxValueBytes = 1UL << 20;
constexpr std::size_t MaxKeys = 10000;
constexpr std::uint64_t MaxWaitMilliseconds = 60000;

struct Value {
  std::string Text;
  std::uint64_t Version = 0;
};
using Values = std::map<std::string, Value, std::less<>>;

/// A read that waits for another version of its key.
struct Watch {
  std::string Key;
  std::uint64_t After = 0;
  Responder Answer;
};

struct ConfigurationService {
  Values Current;
  Values Old; ///< values at the time at which stale or flap was set
  bool Frozen = false;
  bool FlapToOld = false;
  /// Versions start at the wall time, so that a restarted service does not use
  /// a version again for another value.
  std::uint64_t FirstVersion = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(wallTime())
          .count());
  std::uint64_t Calls = 0;
  std::uint64_t LastWatch = 0;
  std::map<std::uint64_t, Watch> Watches;
};

const Value *visible(const ConfigurationService &Service,
                     const StandinProgram &Program, const std::string &Key) {
  const bool UseOld =
      Program.fault("stale") || (Program.fault("flap") && Service.FlapToOld);
  const Values &From = UseOld ? Service.Old : Service.Current;
  auto Found = From.find(Key);
  return Found == From.end() ? nullptr : &Found->second;
}

/// A key without a value has version 0.
std::uint64_t versionOf(const Value *Found) {
  return Found ? Found->Version : 0;
}

void replyValue(const Responder &Answer, const Value *Found) {
  if (!Found)
    return replyError(Answer, 404, "no such key");
  Answer.send({200,
               {{"Content-Type", "application/octet-stream"},
                {"X-Version", std::to_string(Found->Version)}},
               Found->Text});
}

void readValue(ConfigurationService &Service, StandinProgram &Program,
               const Call &C) {
  ++Service.Calls;
  Service.FlapToOld = !Service.FlapToOld;
  const Value *Found = visible(Service, Program, C.Key);
  const std::string Query = C.Request.Query;
  const std::string Known = queryParameter(Query, "after");
  if (Known.empty())
    return replyValue(C.Answer, Found);
  const std::uint64_t After = std::stoull(Known);
  if (versionOf(Found) != After)
    return replyValue(C.Answer, Found);
  const std::uint64_t Wait = std::stoull(queryParameter(Query, "wait_ms"));
  const std::uint64_t Number = ++Service.LastWatch;
  Service.Watches.emplace(Number, Watch{C.Key, After, C.Answer});
  Program.onDisconnect(C.Answer,
                       [&Service, Number] { Service.Watches.erase(Number); });
  const std::chrono::milliseconds Limit(std::min(Wait, MaxWaitMilliseconds));
  Program.after(Limit, [&Service, Number] {
    if (auto Ended = Service.Watches.extract(Number))
      Ended.mapped().Answer.send({304, {}, ""});
  });
}

/// Answers the waiting reads whose value changed; all of them when the service
/// went down.
void answerWatches(ConfigurationService &Service,
                   const StandinProgram &Program) {
  std::erase_if(Service.Watches, [&](const auto &Item) {
    const Watch &Waiting = Item.second;
    if (Program.fault("down")) {
      replyError(Waiting.Answer, 503, "the fault down is set");
      return true;
    }
    const Value *Found = visible(Service, Program, Waiting.Key);
    if (versionOf(Found) == Waiting.After)
      return false;
    replyValue(Waiting.Answer, Found);
    return true;
  });
}

void writeValue(ConfigurationService &Service, const StandinProgram &Program,
                const Call &C) {
  const bool Full =
      Service.Current.size() >= MaxKeys && !Service.Current.contains(C.Key);
  if (C.Request.Body.size() > MaxValueBytes || Full)
    return replyError(C.Answer, 413, "value too large or too many keys");
  Value &Target = Service.Current[C.Key];
  Target.Version =
      Target.Version == 0 ? Service.FirstVersion : Target.Version + 1;
  Target.Text = C.Request.Body;
  reply(C.Answer, 200, {{"version", Target.Version}});
  answerWatches(Service, Program);
}

} // namespace

} // namespace marigoldyard

int main(int Count, char **Arguments) {
  using namespace marigoldyard;
  StandinProgram Program("standin_configuration",
                         "Stand-in of the configuration service",
                         {"stale", "flap"});
  ConfigurationService Service;
  Program.platform("GET", "/values/",
                   [&](const Call &C) { readValue(Service, Program, C); });
  Program.control("PUT", "/values/",
                  [&](const Call &C) { writeValue(Service, Program, C); });
  Program.control("GET", "/state", [&](const Call &C) {
    reply(C.Answer, 200,
          {{"calls", Service.Calls}, {"watching", Service.Watches.size()}});
  });
  Program.onFaults([&] {
    const bool Freeze = Program.fault("stale") || Program.fault("flap");
    if (Freeze && !Service.Frozen)
      Service.Old = Service.Current;
    Service.Frozen = Freeze;
    answerWatches(Service, Program);
  });
  return Program.run(Count, Arguments);
}
