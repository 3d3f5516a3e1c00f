#include "programs/gateway/gateway.hpp"

#include "marigoldyard/transport/clock.hpp"

namespace marigoldyard {

void Gateway::recordCompleted(const Digest &Request) {
  if (recordRequestCompleted(Crashing, Request, now()))
    sendCrashChanges();
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
  if (News.Requests.empty())
    return;
  News.ContentHash = contentHash(Crashing);
  for (const std::string &Address : Node.gatewayAddresses())
    Node.send(Address, News);
}

void Gateway::sendCrashSummary(bool AllRegions) {
  if (Crashing.Requests.empty())
    return;
  const CrashedRequestReport Summary =
      makeCrashReport(CrashReportKind::Summary);
  for (const std::string &Address : Node.gatewayAddresses())
    if (AllRegions || !Node.isInOtherRegion(Address))
      Node.send(Address, Summary);
}

void Gateway::handleCrashReport(const std::string &Peer,
                                const CrashedRequestReport &Report) {
  const TimePoint Now = now();
  for (const ReportedRequest &Each : Report.Requests)
    if (mergeReportedRequest(Crashing, Each, Now))
      logRequestBlocked(Each.Request, Peer);
  // Reports may be lost, and a gateway that starts has none.
  if (Report.ContentHash == contentHash(Crashing))
    return;
  if (Report.Kind == CrashReportKind::Summary)
    Node.send(Peer, makeCrashReport(CrashReportKind::Answer));
  else if (Report.Kind == CrashReportKind::Answer)
    Node.send(Peer, makeCrashReport(CrashReportKind::Rest));
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
