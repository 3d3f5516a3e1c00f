// Cost of single decisions and of memory at the size of the target, for
// docs/CAPACITY.md. Fixed work and seeds, no arguments; times depend on the
// machine.
#include "marigoldyard/coordination/admission.hpp"
#include "marigoldyard/coordination/membership.hpp"
#include "marigoldyard/coordination/routing.hpp"
#include "marigoldyard/coordination/scheduler.hpp"
#include "marigoldyard/coordination/subset.hpp"
#include "marigoldyard/protocol/digest.hpp"
#include "marigoldyard/protocol/link_report.hpp"
#include "marigoldyard/transport/mailbox.hpp"

#include <chrono>
#include <fmt/format.h>
#include <fstream>
#include <malloc.h>
#include <memory>
#include <string>

using namespace marigoldyard;

namespace {

constexpr int Entries = 390;
constexpr int Endpoints = 1100;
constexpr int FailureDomains = 22;

template <typename Work> double microseconds(int Repeats, Work &&Do) {
  const auto Begin = std::chrono::steady_clock::now();
  for (int I = 0; I < Repeats; ++I)
    Do(I);
  const std::chrono::duration<double, std::micro> Span =
      std::chrono::steady_clock::now() - Begin;
  return Span.count() / Repeats;
}

/// Bytes in use on the heap; unlike resident memory they do not hide memory
/// that was freed before and is used again.
double heapBytes() { return static_cast<double>(mallinfo2().uordblks); }

double residentBytes() {
  std::ifstream Source("/proc/self/statm");
  double Total = 0;
  double Resident = 0;
  Source >> Total >> Resident;
  constexpr double PageBytes = 4096;
  return Resident * PageBytes;
}

void row(const std::string &Name, double Value, const char *Unit) {
  fmt::print("| {} | {:.2f} | {} |\n", Name, Value, Unit);
}

void measureSubsets() {
  std::vector<std::string> Names;
  Names.reserve(Entries);
  for (int I = 0; I < Entries; ++I)
    Names.push_back("entry-" + std::to_string(I));
  for (int Pool : {15, 73, 290, Endpoints}) {
    std::vector<SubsetEndpoint> Targets;
    Targets.reserve(static_cast<std::size_t>(Pool));
    for (int I = 0; I < Pool; ++I)
      Targets.push_back({"agent-" + std::to_string(I),
                         "domain-" + std::to_string(I % FailureDomains)});
    std::size_t Sum = 0;
    const double Cost = microseconds(Pool > 100 ? 3 : 20, [&](int I) {
      Sum += entriesOfEndpoint("agent-" + std::to_string(I), Names, Targets)
                 .size();
    });
    row(fmt::format("entriesOfEndpoint, {} entries, {} endpoints", Entries,
                    Pool),
        Cost / 1000, "ms");
    row("links of that endpoint",
        double(entriesOfEndpoint("agent-0", Names, Targets).size()), "");
    if (Sum == 0)
      fmt::print("no links\n");
  }
}

MembershipState fleetMembers() {
  MembershipState State;
  std::vector<Member> List;
  for (int I = 0; I < Entries + Endpoints; ++I) {
    Member Each;
    Each.Name = "member-" + std::to_string(I);
    Each.Address =
        "10.0." + std::to_string(I / 250) + "." + std::to_string(I % 250);
    Each.Kind = I < Entries ? MemberKind::Entry : MemberKind::Endpoint;
    Each.Region = "region-" + std::to_string(I % 7);
    Each.FailureDomain = "domain-" + std::to_string(I % FailureDomains);
    if (I >= Entries)
      Each.Pool = "pool-" + std::to_string(I % 15);
    List.push_back(std::move(Each));
  }
  mergeMemberList(State, List, TimePoint{});
  return State;
}

void measureMembers() {
  const double Before = heapBytes();
  auto State = std::make_unique<MembershipState>(fleetMembers());
  const double After = heapBytes();
  row("memory for one member", (After - Before) / (Entries + Endpoints), "B");
  std::size_t Sum = 0;
  row("presentMembers, 1,490 members",
      microseconds(
          200, [&](int) { Sum += presentMembers(*State, TimePoint{}).size(); }),
      "us");
  row("memberState of all, 1,490 members",
      microseconds(2000,
                   [&](int) {
                     for (const auto &[Name, Record] : State->Records)
                       Sum += memberState(*State, Record, TimePoint{}) ==
                              MemberState::Live;
                   }),
      "us");
  if (Sum == 0)
    fmt::print("no members\n");
}

void measureRouting() {
  const Digest Weights = sha256Hex(std::string_view("weights"));
  for (int Count : {24, 48, 96}) {
    std::vector<EndpointView> Views;
    for (int I = 0; I < Count; ++I) {
      EndpointView View;
      View.Name = "agent-" + std::to_string(I);
      View.Live = View.Linked = true;
      View.ReportedAt = TimePoint{};
      View.Load.Ready = true;
      View.Load.Slots = 8;
      View.Load.TokensPerSecond = 3900;
      View.Load.ReadyWeights = {Weights};
      Views.push_back(std::move(View));
    }
    RoutingRequest Request;
    Request.Weights = Weights;
    Request.EstimatedTokens = 400;
    Random Source(1);
    std::size_t Sum = 0;
    row(fmt::format("route, {} views", Count),
        microseconds(
            20'000,
            [&](int) {
              Sum += route(Request, Views, {}, TimePoint{}, Source).Candidates;
            }),
        "us");
    if (Sum == 0)
      fmt::print("no candidates\n");
  }
}

QueuedWork workOf(int I, int Callers) {
  QueuedWork Work;
  Work.Id = "request-" + std::to_string(I);
  Work.Caller = "caller-" + std::to_string(I % Callers);
  Work.Priority = AllRanks[static_cast<std::size_t>(I) % RankCount];
  Work.PromptTokens = 100;
  Work.AnswerTokens = 400;
  Work.Deadline = TimePoint{} + std::chrono::hours(1);
  return Work;
}

void measureScheduler() {
  for (int Callers : {10, 100, 250}) {
    constexpr int Offered = 1400;
    SchedulerSettings Settings;
    Settings.Slots = 8;
    // Queues are bounded by requests here, not by time.
    Settings.MaxQueueTime.fill(std::chrono::hours(1));
    Settings.AnswerTokensPerSecond = 1e6;
    const double Before = heapBytes();
    auto State = std::make_unique<SchedulerState>(makeScheduler(Settings));
    int Number = 0;
    const double Enqueue = microseconds(Offered, [&](int) {
      enqueue(*State, workOf(Number++, Callers), TimePoint{});
    });
    const std::size_t Waiting = State->Records.size();
    row(fmt::format("memory for one of {} waiting requests", Waiting),
        (heapBytes() - Before) / static_cast<double>(Waiting), "B");
    // One request leaves and one arrives, so that the queue stays as long.
    const double Turn = microseconds(5000, [&](int) {
      if (auto Begun = scheduleNext(*State, TimePoint{}).Command)
        finish(*State, Begun->Id, 400, TimePoint{});
      enqueue(*State, workOf(Number++, Callers), TimePoint{});
    });
    row(fmt::format("enqueue, {} callers", Callers), Enqueue, "us");
    row(fmt::format("next, finish and enqueue, {} callers and {} waiting "
                    "requests",
                    Callers, State->Records.size()),
        Turn, "us");
  }
}

Message reportMessage() {
  LoadReport Load;
  Load.QueuedTokens[1] = 40'000;
  Load.Running = 7;
  Load.TokensPerSecond = 3900;
  Load.ReadyWeights = {sha256Hex(std::string_view("weights"))};
  return {{"agent-127",
           0x6A5B4C3D12345678,
           "entry-3/messages",
           10'000'000,
           5'300,
           {1'790'000'000'000'000, 3}},
          Report{Load}};
}

void measureReports() {
  const KeyRing Keys{{{"k1", "secret"}}};
  Message Sent = reportMessage();
  ReportLink Link;
  ReportBases Bases(16);
  const auto Full = encodeOnLink(Link, Sent, Keys);
  Bases.remember(*decodeMessage(Full, Keys));
  std::vector<std::uint8_t> Compact;
  std::size_t Bytes = 0;
  // The last report is a compact one.
  constexpr int Rounds = 63'990;
  row("encodeOnLink of a report",
      microseconds(Rounds,
                   [&](int) {
                     ++Sent.Head.Sequence;
                     auto Wire = encodeOnLink(Link, Sent, Keys);
                     Bytes += Wire.size();
                     if (isCompactReport(Wire))
                       Compact = std::move(Wire);
                     else
                       Bases.remember(*decodeMessage(Wire, Keys));
                   }),
      "us");
  std::size_t Accepted = 0;
  row("completing a compact report",
      microseconds(
          Rounds,
          [&](int) { Accepted += Bases.complete(Compact, Keys) ? 1 : 0; }),
      "us");
  row("bytes of a full report", double(Full.size()), "B");
  row("bytes of a compact report", double(Compact.size()), "B");
  row("bytes of a report on average", double(Bytes) / Rounds, "B");
  row("24 links, a report each 450 ms", 24 / 0.45 * double(Bytes) / Rounds,
      "B/s");
  if (Accepted != Rounds)
    fmt::print("only {} of {} compact reports were accepted\n", Accepted,
               Rounds);
}

/// Memory of both ends of connections between two mailboxes of one process.
void measureConnections() {
  constexpr int Peers = 200;
  constexpr int ReceiverCount = 8;
  const KeyRing Keys{{{"k1", "secret"}}};
  const auto Open = [&](std::string Name) {
    MailboxOptions Options;
    Options.Name = std::move(Name);
    Options.Address = "127.0.0.3";
    return std::move(*Mailbox::open(Options, Keys, {}));
  };
  std::vector<std::unique_ptr<Mailbox>> Receivers;
  Receivers.reserve(ReceiverCount);
  for (int I = 0; I < ReceiverCount; ++I)
    Receivers.push_back(Open("receiver"));
  const double Before = residentBytes();
  std::vector<std::unique_ptr<Mailbox>> Senders;
  Senders.reserve(Peers / ReceiverCount);
  int Connected = 0;
  for (int I = 0; I < Peers / ReceiverCount; ++I) {
    Senders.push_back(Open("sender-" + std::to_string(I)));
    for (auto &Each : Receivers)
      Connected +=
          Senders.back()->addPeer("127.0.0.3:" + std::to_string(Each->port()));
  }
  row("memory for one connection, both ends and an eighth of a mailbox",
      (residentBytes() - Before) / Connected / 1024, "KB");
}

} // namespace

int main() {
  fmt::print("| slope | value | unit |\n|---|---|---|\n");
  measureMembers();
  measureScheduler();
  measureSubsets();
  measureRouting();
  measureReports();
  measureConnections();
}
