#include "tests/standin/standin_common.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <cstdlib>
#include <fmt/format.h>

namespace marigoldyard {

namespace {

using Json = nlohmann::json;

/// Chunks are staged in one request body.
constexpr std::size_t MaxBodyBytes = 64UL << 20;
/// Enough for the long polls of the largest measured fleet.
constexpr std::size_t MaxConnections = 4096;

/// Limits are wide, because the faults of a stand-in are to be the only ones.
HttpServerOptions serverOptions(std::string Address, std::uint16_t Port) {
  HttpServerOptions Options;
  Options.Address = std::move(Address);
  Options.Port = Port;
  Options.MaxBodyBytes = MaxBodyBytes;
  Options.MaxConnections = MaxConnections;
  Options.MaxWaitingBytes = MaxBodyBytes;
  Options.IdleTime = std::chrono::minutes(2);
  Options.RequestTime = std::chrono::minutes(2);
  Options.WriteTime = std::chrono::minutes(2);
  return Options;
}

bool matches(std::string_view Pattern, std::string_view Path) {
  return Pattern.ends_with('/') ? Path.starts_with(Pattern) : Path == Pattern;
}

} // namespace

void reply(const Responder &Answer, unsigned Status, const Json &Body,
           HttpHeaders Headers) {
  Headers.emplace("Content-Type", "application/json");
  Answer.send({Status, std::move(Headers), Body.dump()});
}

void replyError(const Responder &Answer, unsigned Status, std::string_view Text,
                HttpHeaders Headers) {
  reply(Answer, Status, {{"error", Text}}, std::move(Headers));
}

StandinProgram::StandinProgram(const std::string &Name,
                               const std::string &Purpose,
                               std::set<std::string> Accepted)
    : Application(Purpose, Name), FaultNames(std::move(Accepted)) {
  FaultNames.insert({"down", "delay_ms"});
  Application.add_option("--listen", Listen, "Address to serve, IP:PORT")
      ->required();
  control("GET", "/healthz", [](const Call &C) {
    reply(C.Answer, 200, {{"healthy", true}});
  });
  control("GET", "/faults",
          [this](const Call &C) { reply(C.Answer, 200, Json(Faults)); });
  control("PUT", "/faults", [this](const Call &C) { changeFaults(C); });
}

void StandinProgram::platform(std::string Method, std::string Path,
                              StandinHandler Handle) {
  Routes.push_back(
      {std::move(Method), std::move(Path), true, std::move(Handle)});
}

void StandinProgram::control(std::string Method, std::string Path,
                             StandinHandler Handle) {
  Routes.push_back(
      {std::move(Method), std::move(Path), false, std::move(Handle)});
}

void StandinProgram::after(Duration Delay, std::function<void()> Action) {
  if (Delay <= Duration::zero())
    return Action();
  auto Timer = std::make_shared<boost::asio::steady_timer>(Context, Delay);
  Timer->async_wait(
      [Timer, Act = std::move(Action)](boost::system::error_code Failure) {
        if (!Failure)
          Act();
      });
}

void StandinProgram::hold(const Responder &Answer) {
  const std::uint64_t Number = ++LastHeld;
  Held.emplace(Number, Answer);
  onDisconnect(Answer, [this, Number] { Held.erase(Number); });
}

void StandinProgram::onDisconnect(const Responder &Answer,
                                  std::function<void()> Action) {
  Answer.onDisconnect(
      [this, Act = std::move(Action)] { boost::asio::post(Context, Act); });
}

void StandinProgram::onFaults(std::function<void()> Action) {
  FaultsChanged = std::move(Action);
}

double StandinProgram::faultNumber(std::string_view Fault) const {
  auto Found = Faults.find(Fault);
  return Found == Faults.end() ? 0.0 : Found->second;
}

Duration StandinProgram::faultTime(std::string_view Fault) const {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(faultNumber(Fault)));
}

// An unknown name is refused, so that a test never waits for a fault that is
// not injected.
void StandinProgram::changeFaults(const Call &Received) {
  const Json Changes = Received.json();
  for (const auto &[Key, Value] : Changes.get<Json::object_t>()) {
    const bool Valid = Value.is_null() || Value.is_boolean() ||
                       (Value.is_number() && Value >= 0);
    if (!FaultNames.contains(Key) || !Valid)
      return replyError(Received.Answer, 400, "invalid fault: " + Key);
  }
  for (const auto &[Key, Value] : Changes.items()) {
    if (Value.is_null() || Value == false)
      Faults.erase(Key);
    else
      Faults[Key] = Value == true ? 1.0 : Value.get<double>();
  }
  if (FaultsChanged)
    FaultsChanged();
  reply(Received.Answer, 200, Json(Faults));
}

void StandinProgram::dispatch(Call Received) {
  const HttpRequest &Request = Received.Request;
  auto Found =
      std::find_if(Routes.begin(), Routes.end(), [&](const Route &Candidate) {
        return Candidate.Method == Request.Method &&
               matches(Candidate.Path, Request.Path);
      });
  if (Found == Routes.end())
    return replyError(Received.Answer, 404, "no such path");
  if (Found->Platform && fault("down"))
    return replyError(Received.Answer, 503, "the fault down is set");
  Received.Key = Request.Path.substr(Found->Path.size());
  after(Found->Platform ? faultTime("delay_ms") : Duration::zero(),
        [&Handle = Found->Handle, Delayed = std::move(Received)] {
          try {
            Handle(Delayed);
          } catch (const std::exception &Failure) {
            replyError(Delayed.Answer, 400, Failure.what());
          }
        });
}

int StandinProgram::run(int Count, const char *const *Arguments) {
  try {
    Application.parse(Count, Arguments);
  } catch (const CLI::ParseError &Failure) {
    return Application.exit(Failure);
  }
  const std::size_t Colon = std::min(Listen.rfind(':'), Listen.size());
  const auto Port = static_cast<std::uint16_t>(
      std::strtoul(Listen.substr(Colon).erase(0, 1).c_str(), nullptr, 10));
  boost::asio::signal_set Signals(Context, SIGTERM, SIGINT);
  Signals.async_wait(
      [this](boost::system::error_code, int) { Context.stop(); });
  auto Server = HttpServer::open(
      serverOptions(Listen.substr(0, Colon), Port),
      [this](HttpRequest &&Request, Responder Answer) {
        boost::asio::post(Context,
                          [this, Received = Call{std::move(Request), "",
                                                 std::move(Answer)}]() mutable {
                            dispatch(std::move(Received));
                          });
      });
  if (!Server) {
    fmt::print(stderr, "{}\n", Server.error().message());
    return 1;
  }
  Context.run();
  return 0;
}

} // namespace marigoldyard
