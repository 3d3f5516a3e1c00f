#include "programs/entry/entry.hpp"

#include "marigoldyard/coordination/entry_directory.hpp"
#include "marigoldyard/transport/clock.hpp"

namespace marigoldyard {

namespace {

constexpr Duration DrainCheckInterval = std::chrono::milliseconds(20);
constexpr std::size_t MaxCallerConnections = 4096;

} // namespace

Entry::Entry(EntrySettings Checked)
    : Settings(std::move(Checked)),
      Base(Settings.Process, selfMember(Settings.Process, MemberKind::Entry)),
      Admissions(makeBucketTable(MaxAdmissionRecords)) {
  Departure.Process = Settings.Process.Name;
}

std::optional<Error> Entry::start() {
  NodeHandlers Handlers;
  Handlers.Received = [this](const Message &Incoming) { receive(Incoming); };
  Handlers.PeerLost = [this](const std::string &Peer) { peerLost(Peer); };
  Handlers.ConfigurationChanged = [this] { configurationChanged(); };
  Handlers.MembersChanged = [this] { membersChanged(); };
  Handlers.DrainRequested = [this] { drain(); };
  Handlers.Status = [this](nlohmann::json &Page) { status(Page); };
  Handlers.Ready = [this] { return Departure.Stage == DrainStage::Serving; };
  if (auto Failure = Base.start(std::move(Handlers)))
    return Failure;
  HttpServerOptions Options;
  Options.Address = Settings.Process.Address;
  Options.Port = Settings.CallerPort;
  Options.MaxConnections = MaxCallerConnections;
  auto Opened = HttpServer::open(
      Options, [this](HttpRequest &&Request, const Responder &Answer) {
        accept(std::move(Request), Answer);
      });
  if (!Opened)
    return Opened.error();
  Callers = std::move(*Opened);
  return std::nullopt;
}

int Entry::run() {
  Base.run();
  Callers.reset();
  return Departure.AbortedRequests == 0 ? 0 : 1;
}

void Entry::drain() {
  if (Departure.Stage != DrainStage::Serving)
    return;
  beginDrain(Departure, DirectoryMaxAge, Settings.Process.DrainDeadline, now());
  Base.record("leaving");
  membersChanged();
  Base.Loop.every(DrainCheckInterval, [this] { drainTurn(); });
}

void Entry::drainTurn() {
  if (updateDrain(Departure, now()) != DrainStage::Done)
    return;
  Base.record("left", {}, {}, {},
              {{"cut", std::to_string(Departure.AbortedRequests)}});
  Base.Log.write(
      {.Event = "left",
       .At = Step::Drain,
       .Fields = {{"cut", std::to_string(Departure.AbortedRequests)}}});
  Base.stop();
}

} // namespace marigoldyard
