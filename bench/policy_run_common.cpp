#include "bench/policy_run_common.hpp"

#include "bench/policy_engine_common.hpp"

#include "marigoldyard/coordination/routing.hpp"
#include "marigoldyard/coordination/scheduler.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <queue>

namespace marigoldyard::bench {

namespace {

constexpr Duration NetworkDelay = std::chrono::milliseconds(1);
constexpr Duration ReportInterval = std::chrono::milliseconds(450);
constexpr Duration SuspectAfter = 2 * ReportInterval + ReportInterval / 2;
constexpr Duration DeathDetection = std::chrono::seconds(1);
constexpr Duration ExpireInterval = std::chrono::milliseconds(100);
constexpr std::uint32_t MaxAttempts = 3;
constexpr std::uint32_t LateBindingAhead = 1; ///< waiting work at an agent
const Digest OnlyWeights = "w";

struct Agent {
  SchedulerState Scheduler;
  Engine Model;
  bool Dead = false;
  std::size_t NextEntry = 0; ///< of a credit
};

struct Entry {
  std::vector<EndpointView> Views;
  SchedulerState Queue; ///< late binding
  std::map<std::array<std::size_t, 3>, std::uint64_t>
      Backlogs; ///< tokens by caller, rank and agent
};

struct Event {
  TimePoint At;
  std::uint64_t Order = 0;
  std::function<void()> Run;

  friend bool operator>(const Event &A, const Event &B) {
    return std::tie(A.At, A.Order) > std::tie(B.At, B.Order);
  }
};

struct Simulation {
  const Trace &Source;
  const RunOptions &Options;
  RunResult Result;
  std::vector<Agent> Agents;
  std::vector<Entry> Entries;
  std::vector<std::vector<std::string>> Tried; ///< by request
  std::vector<std::size_t> SentTo;             ///< agent, by request
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events;
  std::uint64_t EventCount = 0;
  TimePoint Now;
  Random Generator;
};

void schedule(Simulation &Sim, TimePoint At, std::function<void()> Run) {
  Sim.Events.push({At, ++Sim.EventCount, std::move(Run)});
}

void routeRequest(Simulation &Sim, std::size_t Index);
void dispatch(Simulation &Sim, std::size_t AgentIndex);

std::string agentName(std::size_t Index) {
  return "agent-" + std::to_string(Index);
}

std::size_t requestOf(const std::string &Id) {
  return std::stoul(Id.substr(0, Id.find('/')));
}

std::uint64_t estimatedCost(const Request &Source) {
  return tokenCost(Source.PromptTokens, Source.EstimatedAnswer);
}

QueuedWork queuedWork(const Simulation &Sim, std::size_t Index) {
  const Request &Source = Sim.Result.Requests[Index];
  QueuedWork Work;
  Work.Id = std::to_string(Index) + "/" +
            std::to_string(Sim.Result.Records[Index].Generation);
  Work.Priority = Source.Priority;
  Work.PromptTokens = Source.PromptTokens;
  Work.AnswerTokens = Source.EstimatedAnswer;
  Work.Deadline =
      TimePoint(Source.Arrival) + Deadlines[rankIndex(Source.Priority)];
  // Both simpler policies are special cases of the scheduler: one rank or one
  // caller for all work.
  if (Sim.Options.Order == Policy::Fifo)
    Work.Priority = Rank::Standard;
  Work.Caller = Sim.Options.Order == Policy::RankedFair
                    ? std::to_string(Source.CallerIndex)
                    : "all";
  return Work;
}

/// Tokens of a request's caller and rank at the agent that got the request.
std::uint64_t &backlogOf(Simulation &Sim, std::size_t Index) {
  const Request &Source = Sim.Result.Requests[Index];
  return Sim.Entries[Source.Entry].Backlogs[{
      Source.CallerIndex, rankIndex(Source.Priority), Sim.SentTo[Index]}];
}

/// Frees the load that the entry counted for an attempt.
void endAttempt(Simulation &Sim, std::size_t Index) {
  const Request &Source = Sim.Result.Requests[Index];
  recordEnded(Sim.Entries[Source.Entry].Views[Sim.SentTo[Index]],
              Source.Priority, estimatedCost(Source));
  backlogOf(Sim, Index) -= estimatedCost(Source);
  ++Sim.Result.Records[Index].Generation;
}

/// A refusal or a failure reaches the entry, which may try elsewhere.
void attemptLost(Simulation &Sim, std::size_t Index, std::uint64_t Generation) {
  RequestRecord &Record = Sim.Result.Records[Index];
  if (Record.Generation != Generation || Record.Done >= Duration::zero())
    return;
  endAttempt(Sim, Index);
  if (Record.FirstToken >= Duration::zero() || Record.Attempts >= MaxAttempts)
    return;
  routeRequest(Sim, Index);
}

void sendRefusals(Simulation &Sim, const std::vector<Refusal> &Refusals) {
  for (const Refusal &Item : Refusals) {
    const std::size_t Index = requestOf(Item.Id);
    const std::uint64_t Generation = Sim.Result.Records[Index].Generation;
    schedule(Sim, Sim.Now + NetworkDelay, [&Sim, Index, Generation] {
      attemptLost(Sim, Index, Generation);
    });
  }
}

void finishStep(Simulation &Sim, std::size_t AgentIndex) {
  Agent &At = Sim.Agents[AgentIndex];
  if (At.Dead)
    return;
  for (const StepOutput &Output : endStep(At.Model)) {
    const std::size_t Index = Output.RequestIndex;
    const Request &Source = Sim.Result.Requests[Index];
    RequestRecord &Record = Sim.Result.Records[Index];
    ++Record.Produced;
    const Duration Seen = Sim.Now + NetworkDelay - TimePoint{};
    if (Record.FirstToken < Duration::zero())
      Record.FirstToken = Seen;
    const std::string Id = queuedWork(Sim, Index).Id;
    if (!Output.Ended) {
      updateProgress(At.Scheduler, Id, Record.Produced);
      continue;
    }
    finish(At.Scheduler, Id, Record.Produced, Sim.Now);
    if (Sim.Options.Bind == Binding::Late)
      finish(Sim.Entries[Source.Entry].Queue, Id, Record.Produced, Sim.Now);
    Record.Done = Seen;
    endAttempt(Sim, Index);
  }
  dispatch(Sim, AgentIndex);
}

void stepEngine(Simulation &Sim, std::size_t AgentIndex) {
  Agent &At = Sim.Agents[AgentIndex];
  if (At.Model.Stepping || At.Model.Batch.empty() || At.Dead)
    return;
  schedule(Sim, Sim.Now + beginStep(At.Model),
           [&Sim, AgentIndex] { finishStep(Sim, AgentIndex); });
}

/// Starts all work for which the agent has slots.
void startWork(Simulation &Sim, std::size_t AgentIndex) {
  Agent &At = Sim.Agents[AgentIndex];
  while (true) {
    const ScheduleResult Next = scheduleNext(At.Scheduler, Sim.Now);
    sendRefusals(Sim, Next.Refused);
    if (!Next.Command)
      break;
    if (Next.Command->PauseFirst) {
      pauseStream(At.Model, requestOf(*Next.Command->PauseFirst));
      ++Sim.Result.Pauses;
    }
    const std::size_t Index = requestOf(Next.Command->Id);
    const Request &Source = Sim.Result.Requests[Index];
    if (Sim.Result.Records[Index].Started < Duration::zero())
      Sim.Result.Records[Index].Started = Sim.Now - TimePoint{};
    if (Next.Command->Resume)
      resumeStream(At.Model, Index,
                   Source.PromptTokens + Sim.Result.Records[Index].Produced);
    else
      addStream(At.Model, Source, Index);
  }
}

void receiveWork(Simulation &Sim, std::size_t AgentIndex, std::size_t Index) {
  Agent &At = Sim.Agents[AgentIndex];
  const std::uint64_t Generation = Sim.Result.Records[Index].Generation;
  if (At.Dead) {
    schedule(Sim, Sim.Now + DeathDetection, [&Sim, Index, Generation] {
      attemptLost(Sim, Index, Generation);
    });
    return;
  }
  EnqueueResult Enqueued =
      enqueue(At.Scheduler, queuedWork(Sim, Index), Sim.Now);
  if (Enqueued.Refused)
    Enqueued.Evicted.push_back(*Enqueued.Refused);
  sendRefusals(Sim, Enqueued.Evicted);
  startWork(Sim, AgentIndex);
  stepEngine(Sim, AgentIndex);
}

void sendWork(Simulation &Sim, std::size_t AgentIndex, std::size_t Index) {
  const Request &Source = Sim.Result.Requests[Index];
  ++Sim.Result.Records[Index].Attempts;
  Sim.Result.Records[Index].Produced = 0;
  Sim.SentTo[Index] = AgentIndex;
  recordSent(Sim.Entries[Source.Entry].Views[AgentIndex], Source.Priority,
             estimatedCost(Source));
  backlogOf(Sim, Index) += estimatedCost(Source);
  const Duration Delay = Sim.Options.Bind == Binding::Late
                             ? 2 * NetworkDelay // credit and work
                             : NetworkDelay;
  schedule(Sim, Sim.Now + Delay,
           [&Sim, AgentIndex, Index] { receiveWork(Sim, AgentIndex, Index); });
}

/// Late binding: whether an agent can take more work of a rank.
bool hasCredit(const Agent &At, bool Urgent) {
  const SchedulerState &State = At.Scheduler;
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  for (const auto &Queue : State.Ranks) {
    Running += Queue.Running;
    Waiting += Queue.Waiting;
  }
  if (At.Dead || Waiting >= LateBindingAhead)
    return false;
  return Urgent || Running < State.Settings.Slots;
}

/// Late binding: grants credits to the entries with the most urgent work.
void grantCredits(Simulation &Sim, std::size_t AgentIndex) {
  Agent &At = Sim.Agents[AgentIndex];
  for (std::uint32_t Granted = 0; Granted < LateBindingAhead; ++Granted) {
    Entry *Best = nullptr;
    std::size_t BestRank = RankCount;
    for (std::size_t I = 0; I < EntryCount; ++I) {
      Entry &Candidate = Sim.Entries[(At.NextEntry + I) % EntryCount];
      for (std::size_t R = 0; R < BestRank; ++R)
        if (Candidate.Queue.Ranks[R].Waiting > 0) {
          Best = &Candidate;
          BestRank = R;
        }
    }
    At.NextEntry = (At.NextEntry + 1) % EntryCount;
    if (!Best || !hasCredit(At, BestRank == rankIndex(Rank::Urgent)))
      return;
    const ScheduleResult Next = scheduleNext(Best->Queue, Sim.Now);
    sendRefusals(Sim, Next.Refused);
    if (!Next.Command)
      return;
    sendWork(Sim, AgentIndex, requestOf(Next.Command->Id));
  }
}

void dispatch(Simulation &Sim, std::size_t AgentIndex) {
  startWork(Sim, AgentIndex);
  if (Sim.Options.Bind == Binding::Late)
    grantCredits(Sim, AgentIndex);
  stepEngine(Sim, AgentIndex);
}

/// Suspects endpoints without recent reports, but at most half of them.
void updateSuspicion(Simulation &Sim, Entry &From) {
  std::size_t Suspected = 0;
  for (EndpointView &View : From.Views) {
    const Duration Limit = SuspectAfter + Sim.Source.ReportLag;
    View.Suspected = View.ReportedAt && Sim.Now - *View.ReportedAt > Limit;
    Suspected += View.Suspected;
  }
  if (2 * Suspected > From.Views.size())
    for (EndpointView &View : From.Views)
      View.Suspected = false;
}

void queueAtEntry(Simulation &Sim, std::size_t Index) {
  Entry &From = Sim.Entries[Sim.Result.Requests[Index].Entry];
  EnqueueResult Enqueued = enqueue(From.Queue, queuedWork(Sim, Index), Sim.Now);
  // Refused work is lost in this model: no other queue exists for it.
  if (!Enqueued.Accepted)
    return;
  std::vector<std::size_t> Order(ServerCount);
  for (std::size_t I = 0; I < ServerCount; ++I)
    Order[I] = I;
  std::shuffle(Order.begin(), Order.end(), Sim.Generator);
  for (std::size_t AgentIndex : Order)
    grantCredits(Sim, AgentIndex);
}

void routeRequest(Simulation &Sim, std::size_t Index) {
  if (Sim.Options.Bind == Binding::Late) {
    queueAtEntry(Sim, Index);
    return;
  }
  const Request &Source = Sim.Result.Requests[Index];
  Entry &From = Sim.Entries[Source.Entry];
  updateSuspicion(Sim, From);
  RoutingRequest Wanted;
  Wanted.Priority =
      Sim.Options.Order == Policy::Fifo ? Rank::Batch : Source.Priority;
  Wanted.Weights = OnlyWeights;
  Wanted.EstimatedTokens = estimatedCost(Source);
  Wanted.Tried = Sim.Tried[Index];
  for (std::size_t I = 0; I < ServerCount; ++I)
    Wanted.Backlogs.push_back(
        {agentName(I),
         From.Backlogs[{Source.CallerIndex, rankIndex(Source.Priority), I}]});
  const RoutingChoice Choice =
      route(Wanted, From.Views, RoutingSettings{}, Sim.Now, Sim.Generator);
  if (!Choice.Chosen)
    return;
  Sim.Tried[Index].push_back(*Choice.Chosen);
  const auto View = std::find_if(
      From.Views.begin(), From.Views.end(),
      [&](const EndpointView &Item) { return Item.Name == *Choice.Chosen; });
  sendWork(Sim, static_cast<std::size_t>(View - From.Views.begin()), Index);
}

void report(Simulation &Sim, std::size_t AgentIndex) {
  Agent &At = Sim.Agents[AgentIndex];
  if (At.Dead)
    return;
  LoadReport Load = loadReport(At.Scheduler);
  Load.ReadyWeights = {OnlyWeights};
  for (std::size_t I = 0; I < EntryCount; ++I)
    if (!std::bernoulli_distribution(Sim.Source.ReportLoss)(Sim.Generator))
      schedule(Sim, Sim.Now + Sim.Source.ReportLag,
               [&Sim, AgentIndex, I, Load] {
                 recordReport(Sim.Entries[I].Views[AgentIndex], Load, Sim.Now);
               });
  schedule(Sim, Sim.Now + ReportInterval,
           [&Sim, AgentIndex] { report(Sim, AgentIndex); });
}

void expireRepeatedly(Simulation &Sim, std::size_t AgentIndex) {
  Agent &At = Sim.Agents[AgentIndex];
  if (At.Dead)
    return;
  sendRefusals(Sim, expireWaiting(At.Scheduler, Sim.Now));
  dispatch(Sim, AgentIndex);
  schedule(Sim, Sim.Now + ExpireInterval,
           [&Sim, AgentIndex] { expireRepeatedly(Sim, AgentIndex); });
}

void killAgent(Simulation &Sim, std::size_t AgentIndex) {
  Agent &At = Sim.Agents[AgentIndex];
  At.Dead = true;
  for (const auto &[Id, Record] : At.Scheduler.Records) {
    const std::size_t Index = requestOf(Id);
    const std::uint64_t Generation = Sim.Result.Records[Index].Generation;
    schedule(Sim, Sim.Now + DeathDetection, [&Sim, Index, Generation] {
      attemptLost(Sim, Index, Generation);
    });
  }
  schedule(Sim, Sim.Now + DeathDetection, [&Sim, AgentIndex] {
    for (Entry &Each : Sim.Entries)
      Each.Views[AgentIndex].Live = false;
  });
}

SchedulerSettings agentSettings(const RunOptions &Options) {
  SchedulerSettings Settings;
  Settings.Slots = EngineSlots;
  Settings.CanPause = Options.CanPause && Options.Order != Policy::Fifo;
  Settings.UrgentReserve = Options.UrgentReserve;
  Settings.Floors = Options.Order == Policy::RankedFair
                        ? Options.Floors
                        : std::array<double, RankCount>{};
  return Settings;
}

void buildFleet(Simulation &Sim) {
  const SchedulerSettings Settings = agentSettings(Sim.Options);
  for (std::size_t I = 0; I < ServerCount; ++I)
    Sim.Agents.push_back({makeScheduler(Settings), {}, false, I});
  // An entry holds a quarter of the waiting work, but may use all slots.
  SchedulerSettings Queue = Settings;
  Queue.Slots = EngineSlots * ServerCount;
  Queue.CanPause = false;
  for (Duration &Limit : Queue.MaxQueueTime)
    Limit /= static_cast<int>(EntryCount);
  Sim.Entries.resize(EntryCount);
  for (Entry &Each : Sim.Entries) {
    Each.Queue = makeScheduler(Queue);
    Each.Views.resize(ServerCount);
    for (std::size_t I = 0; I < ServerCount; ++I) {
      EndpointView &View = Each.Views[I];
      View.Name = agentName(I);
      View.Live = View.Linked = View.Load.Ready = true;
      View.Load.ReadyWeights = {OnlyWeights};
    }
  }
}

void scheduleInputs(Simulation &Sim) {
  for (std::size_t I = 0; I < Sim.Result.Requests.size(); ++I)
    schedule(Sim, TimePoint(Sim.Result.Requests[I].Arrival) + NetworkDelay,
             [&Sim, I] { routeRequest(Sim, I); });
  for (std::size_t I = 0; I < ServerCount; ++I) {
    // Reports are spread evenly over the interval.
    const TimePoint First(ReportInterval * static_cast<int>(I) /
                          static_cast<int>(ServerCount));
    schedule(Sim, First, [&Sim, I] { report(Sim, I); });
    schedule(Sim, First, [&Sim, I] { expireRepeatedly(Sim, I); });
  }
  for (std::size_t I = 0; I < Sim.Source.ServersLost; ++I)
    schedule(Sim, TimePoint(Sim.Source.EventFrom),
             [&Sim, I] { killAgent(Sim, I); });
}

} // namespace

RunResult runTrace(const Trace &Source, const RunOptions &Options) {
  Simulation Sim{Source, Options, {}, {}, {}, {}, {}, {}, 0, {}, {}};
  Sim.Generator.seed(Options.Seed);
  Sim.Result.Requests = drawRequests(Source, Options.Seed);
  Sim.Result.Records.resize(Sim.Result.Requests.size());
  Sim.Tried.resize(Sim.Result.Requests.size());
  Sim.SentTo.resize(Sim.Result.Requests.size());
  buildFleet(Sim);
  scheduleInputs(Sim);
  const TimePoint End(Source.Length);
  while (!Sim.Events.empty() && Sim.Events.top().At <= End) {
    const Event Next = Sim.Events.top();
    Sim.Events.pop();
    Sim.Now = Next.At;
    Next.Run();
  }
  return std::move(Sim.Result);
}

} // namespace marigoldyard::bench
