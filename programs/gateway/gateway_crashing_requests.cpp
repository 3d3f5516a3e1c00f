#include "programs/gateway/gateway.hpp"

#include "marigoldyard/transport/clock.hpp"

#include <algorithm>
#include <utility>

namespace marigoldyard {

namespace {

/// Time after a loss in which a start of the server shows that it crashed.
constexpr std::chrono::seconds RestartTime{10};
constexpr std::size_t MaxUnexplainedLosses = 256;
/// Difference between the times of day of two machines. A larger one hides a
/// crash.
constexpr std::chrono::milliseconds MaxClockSkew{500};

} // namespace

void Gateway::recordCompleted(const Digest &Request) {
  if (recordRequestCompleted(Crashing, Request, now()))
    sendCrashChanges();
}

bool Gateway::mayTryBlocked(const Digest &Request) const {
  // One gateway tries for all; which one need not be agreed on, since the
  // others learn of the trial.
  if (!marigoldyard::mayTryBlocked(Crashing, Request, now()))
    return false;
  const auto Live = Node.liveGateways();
  return Live.empty() || Settings.Process.Address < Live.begin()->first;
}

void Gateway::recordTrial(const Digest &Request) {
  marigoldyard::recordTrial(Crashing, Request, now());
  sendCrashChanges();
  Node.Log.write({.Event = "crashing_request_tried",
                  .At = Step::Admission,
                  .Fields = {{"content", Request}}});
}

void Gateway::watchForRestart(LostRequest Lost) {
  const TimePoint Now = now();
  while (!UnexplainedLosses.empty() &&
         (Now - UnexplainedLosses.front().At > RestartTime ||
          UnexplainedLosses.size() >= MaxUnexplainedLosses))
    UnexplainedLosses.pop_front();
  UnexplainedLosses.push_back({std::move(Lost), Now});
}

void Gateway::recordRestart(const std::string &Address,
                            std::int64_t StartedAtMs) {
  const TimePoint Now = now();
  std::vector<LostRequest> Crashed;
  std::erase_if(UnexplainedLosses, [&](const UnexplainedLoss &Each) {
    if (Each.Lost.Server != Address || Each.Lost.StartedAtMs >= StartedAtMs)
      return false;
    // News of a start before the request was sent tell nothing of it. A wrong
    // time of day on one machine hides a crash at most, as no decision relies
    // on it otherwise.
    const std::chrono::milliseconds StartedAt(StartedAtMs);
    if (Now - Each.At <= RestartTime &&
        StartedAt + MaxClockSkew >= Each.Lost.SentTime)
      Crashed.push_back(Each.Lost);
    return true;
  });
  // Not every request that was lost was at the server when it crashed, which
  // is too little evidence against a part of many prompts.
  for (LostRequest &Each : Crashed) {
    Each.Parts.clear();
    recordCrash(Each);
  }
}

CrashedRequestReport Gateway::makeCrashReport(CrashReportKind Kind) const {
  CrashedRequestReport Report;
  Report.Kind = Kind;
  Report.ContentHash = contentHash(Crashing);
  if (Kind != CrashReportKind::Summary)
    Report.Requests = allRequests(Crashing, now());
  return Report;
}

void Gateway::sendCrashChanges() {
  CrashedRequestReport News;
  News.Requests = takeChangedRequests(Crashing, now());
  if (!News.Requests.empty())
    sendToGateways(News);
}

void Gateway::sendCrashSummary(bool AllRegions) {
  if (!Crashing.Requests.empty())
    sendToGateways(makeCrashReport(CrashReportKind::Summary), AllRegions);
}

void Gateway::handleCrashReport(const std::string &Peer,
                                const CrashedRequestReport &Report) {
  const TimePoint Now = now();
  for (const ReportedRequest &Each : Report.Requests)
    if (mergeReportedRequest(Crashing, Each, Now))
      logRequestBlocked(Each.Request, Peer);
  // Reports may be lost, and a gateway that starts has none.
  const bool IsSummary = Report.Kind == CrashReportKind::Summary;
  const bool Asks = IsSummary || Report.Kind == CrashReportKind::Answer;
  if (Asks && Report.ContentHash != contentHash(Crashing))
    Node.send(Peer, makeCrashReport(IsSummary ? CrashReportKind::Answer
                                              : CrashReportKind::Rest));
}

void Gateway::logRequestBlocked(const Digest &Request,
                                const std::string &Source) {
  std::string ServerRuns;
  for (const auto &[ServerRun, Crash] : Crashing.Requests.at(Request).Crashes)
    ServerRuns += (ServerRuns.empty() ? "" : ",") + ServerRun;
  Node.Log.write(
      {.Level = LogLevel::Warning,
       .Event = "crashing_request_blocked",
       .At = Step::Admission,
       .Peer = Source,
       .Fields = {{"content", Request}, {"server_runs", ServerRuns}}});
  Node.ProcessMetrics
      .counter("marigoldyard_crashing_requests_total",
               "Whole requests blocked because servers crashed on them")
      .add();
}

} // namespace marigoldyard
