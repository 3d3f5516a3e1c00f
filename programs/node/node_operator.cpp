// Operator pages of a node.
#include "programs/node/node.hpp"

namespace marigoldyard {

namespace {

constexpr std::size_t MaxOperatorConnections = 64;

HttpResponse textResponse(unsigned Status, std::string Text,
                          const char *Type = "text/plain; charset=utf-8") {
  HttpResponse Response;
  Response.Status = Status;
  Response.Headers["content-type"] = Type;
  Response.Body = std::move(Text);
  return Response;
}

} // namespace

std::optional<Error> Node::openOperatorServer() {
  HttpServerOptions Options;
  Options.Address = Settings.Address;
  Options.Port = Settings.OperatorPort;
  Options.MaxConnections = MaxOperatorConnections;
  Options.MaxWaitingBytes = 16UL << 20;
  auto Opened = HttpServer::open(
      Options, [this](HttpRequest &&Request, const Responder &Answer) {
        answerOperator(std::move(Request), Answer);
      });
  if (!Opened)
    return Opened.error();
  Operator = std::move(*Opened);
  return std::nullopt;
}

void Node::answerOperator(HttpRequest &&Request, const Responder &Answer) {
  if (Request.Method != "GET") {
    Answer.send(textResponse(405, "only GET is supported\n"));
  } else if (Request.Path == "/healthz") {
    Answer.send(textResponse(200, "ok\n"));
  } else if (Request.Path == "/readyz") {
    const bool Ready = ReadyNow.load();
    Answer.send(
        textResponse(Ready ? 200 : 503, Ready ? "ready\n" : "not ready\n"));
  } else if (Request.Path == "/metrics") {
    Answer.send(textResponse(200, Numbers.render(),
                             "text/plain; version=0.0.4; charset=utf-8"));
  } else if (Request.Path == "/timeline") {
    Answer.send(
        textResponse(200, Events.json(queryParameter(Request.Query, "request")),
                     "application/json"));
  } else if (Request.Path == "/status") {
    if (!Loop.tryPost([this, Answer] {
          Answer.send(textResponse(200, statusText(), "application/json"));
        }))
      Answer.send(textResponse(503, "core thread is busy\n"));
  } else {
    Answer.send(textResponse(404, "unknown page\n"));
  }
}

std::string Node::statusText() {
  nlohmann::json Page;
  Page["name"] = Settings.Name;
  Page["address"] = Settings.Address;
  Page["region"] = Settings.Region;
  Page["failure_domain"] = Settings.FailureDomain;
  Page["incarnation"] = Number;
  Page["ready"] = ready();
  Page["revision"] = activeRevision(Configuration);
  Page["watching"] = Watch.Watching;
  const MailboxCounters Counts = Messages->counters();
  Page["links"] = {{"peers", NamesByAddress.size()},
                   {"sent", Counts.Sent},
                   {"sent_bytes", Counts.SentBytes},
                   {"received", Counts.Received},
                   {"received_bytes", Counts.ReceivedBytes},
                   {"unauthenticated", Counts.Unauthenticated},
                   {"replayed", Counts.Replayed},
                   {"refused", Counts.Refused}};
  nlohmann::json Listing = nlohmann::json::array();
  for (const auto &[Name, Record] : Members.Records)
    Listing.push_back(
        {{"name", Name},
         {"kind",
          Record.Description.Kind == MemberKind::Entry ? "entry" : "endpoint"},
         {"pool", Record.Description.Pool},
         {"region", Record.Description.Region},
         {"failure_domain", Record.Description.FailureDomain},
         {"state", memberStateName(memberState(Members, Record, Loop.turn()))},
         {"linked", Record.ExpectsReports}});
  Page["members"] = std::move(Listing);
  if (Handlers.Status)
    Handlers.Status(Page);
  return Page.dump();
}

} // namespace marigoldyard
