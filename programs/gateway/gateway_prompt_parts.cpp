#include "programs/gateway/gateway.hpp"

#include "marigoldyard/transport/clock.hpp"
#include "marigoldyard/transport/endpoint.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>
#include <utility>

namespace marigoldyard {

namespace net = boost::asio;
using Tcp = net::ip::tcp;
using boost::system::error_code;

namespace {

/// A process that has ended refuses connections at once; a server that is only
/// slow does not matter here.
constexpr std::chrono::milliseconds CrashProbeTimeout{100};
/// Pause before the second probe: a process that ends may close its
/// connections before its listening socket.
constexpr std::chrono::milliseconds CrashProbePause{50};
} // namespace

void Gateway::handlePartReport(const std::string &Peer,
                               const PromptPartReport &News) {
  const TimePoint Now = now();
  if (!News.CrashedServer.empty())
    recordServerCrash(Suspects, News.CrashedServer, News.Suspected, Now);
  for (const std::string &Part : News.Blocked)
    if (blockPart(Suspects, Part, Now))
      logPartBlocked(Part, Peer);
  for (const std::string &Part : News.Begun)
    clearPart(Suspects, Part);
  blockSuspectParts();
}

void Gateway::recordBegun(const std::vector<std::string> &Parts) {
  PromptPartReport News;
  News.Begun = recordRequestBegun(Suspects, Parts);
  if (!News.Begun.empty())
    sendToGateways(News);
}

net::awaitable<bool> Gateway::refusesConnections(const std::string &Address) {
  const auto Endpoint = parseEndpoint(Address);
  if (!Endpoint)
    co_return false;
  error_code Failure;
  Tcp::socket Socket(Node.Context);
  Timeout Limit(Node.Timeouts, [&Socket] {
    error_code Ignored;
    Socket.close(Ignored);
  });
  Limit.expiresAt(now() + CrashProbeTimeout);
  co_await Socket.async_connect(
      *Endpoint, net::redirect_error(net::use_awaitable, Failure));
  Limit.clear();
  co_return Failure == net::error::connection_refused;
}

net::awaitable<bool> Gateway::checkForCrash(LostRequest Lost) {
  if (co_await refusesConnections(Lost.Server)) {
    recordCrash(Lost);
    co_return true;
  }
  // A retry of a suspect request may crash one more server, so it waits for the
  // second probe.
  if (isSuspect(Suspects, Lost.Parts) ||
      Crashing.Requests.contains(Lost.Content)) {
    const bool Crashed = co_await probeAgain(Lost);
    co_return Crashed;
  }
  net::co_spawn(
      Node.Context,
      [this, Request = std::move(Lost)]() -> net::awaitable<void> {
        co_await probeAgain(Request);
      },
      net::detached);
  co_return false;
}

net::awaitable<bool> Gateway::probeAgain(const LostRequest &Lost) {
  net::steady_timer Pause(Node.Context, CrashProbePause);
  error_code Ignored;
  co_await Pause.async_wait(net::redirect_error(net::use_awaitable, Ignored));
  const bool Crashed = co_await refusesConnections(Lost.Server);
  if (Crashed)
    recordCrash(Lost);
  else
    watchForRestart(Lost);
  co_return Crashed;
}

void Gateway::recordCrash(const LostRequest &Lost) {
  Node.Log.write(
      {.Event = "server_crashed",
       .At = Step::Send,
       .Peer = Lost.Server,
       .Request = Lost.Id,
       .Fields = {{"parts", fmt::format("{}", fmt::join(Lost.Parts, ","))},
                  {"content", Lost.Content},
                  {"server_run", Lost.ServerRun}}});
  Node.ProcessMetrics
      .counter("marigoldyard_crash_requests_total",
               "Requests that were lost at a server that crashed")
      .add();
  const TimePoint Now = now();
  if (recordRequestCrash(Crashing, Lost.Content, Lost.ServerRun,
                         {Lost.Server, Lost.SentAt, Now}))
    logRequestBlocked(Lost.Content, Settings.Process.Address);
  sendCrashChanges();
  if (Lost.Parts.empty())
    return;
  PromptPartReport News;
  News.CrashedServer = Lost.Server;
  News.Suspected = Lost.Parts;
  recordServerCrash(Suspects, Lost.Server, Lost.Parts, Now);
  sendToGateways(News);
  blockSuspectParts();
}

void Gateway::blockSuspectParts() {
  PromptPartReport News;
  News.Blocked = blockSuspects(
      Suspects, now(), [this](const std::vector<ServerCrash> &Crashes) {
        return areExplainedByRequests(Crashing, Crashes);
      });
  if (News.Blocked.empty())
    return;
  for (const std::string &Part : News.Blocked)
    logPartBlocked(Part, Settings.Process.Address);
  sendToGateways(News);
}

void Gateway::logPartBlocked(const std::string &Part,
                             const std::string &Source) {
  std::string CrashedServers;
  const SuspectPart &Blocked = Suspects.Suspects.at(Part);
  for (const ServerCrash &Each : Blocked.Crashes)
    CrashedServers += (CrashedServers.empty() ? "" : ",") + Each.Server;
  const auto TimeLeft = Blocked.BlockedUntil.value_or(now()) - now();
  Node.Log.write(
      {.Level = LogLevel::Warning,
       .Event = "prompt_part_blocked",
       .At = Step::Admission,
       .Peer = Source,
       .Fields = {
           {"part", Part},
           {"crashes", std::to_string(Blocked.Crashes.size())},
           {"servers", CrashedServers},
           {"times_blocked", std::to_string(Blocked.TimesBlocked)},
           {"seconds",
            std::to_string(
                std::chrono::duration_cast<std::chrono::seconds>(TimeLeft)
                    .count())}}});
  Node.ProcessMetrics
      .counter("marigoldyard_blocked_parts_total",
               "Prompt parts blocked because servers crashed on them")
      .add();
}

void Gateway::recordBlockedRequest(const std::string &RequestId,
                                   const std::string &Cause) {
  Node.Log.write({.Event = "request_blocked",
                  .At = Step::Admission,
                  .Request = RequestId,
                  .Fields = {{"cause", Cause}}});
  Node.ProcessMetrics
      .counter("marigoldyard_blocked_requests_total",
               "Requests rejected because servers crash on them")
      .add();
}

} // namespace marigoldyard
