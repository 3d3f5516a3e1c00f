// Completions: queue, engine streams and their checks.
#include "programs/agent/agent.hpp"

#include "marigoldyard/protocol/platform_api.hpp"
#include "marigoldyard/state/invariant.hpp"
#include "marigoldyard/transport/clock.hpp"

namespace marigoldyard {

namespace {

constexpr std::size_t BytesPerToken = 4;
/// Longest time without a line of a running stream; far above the 0.61 s to the
/// first token and the 47 ms between tokens that 95 in 100 stay below.
constexpr Duration EngineSilenceLimit = std::chrono::seconds(3);
constexpr std::size_t MaxLineBytes = 64UL << 10;
constexpr std::chrono::milliseconds NotReadyRetryAfter{500};

std::chrono::milliseconds milliseconds(Duration Value) {
  return std::chrono::ceil<std::chrono::milliseconds>(Value);
}

std::string keyOf(const TryId &Id) {
  return Id.Request + "#" + std::to_string(Id.Attempt);
}

} // namespace

double Agent::weightOf(const std::string &Product,
                       const std::string &Caller) const {
  const AcceptedConfiguration *InForce = Base.configuration();
  const auto *Owner =
      InForce != nullptr ? findProduct(InForce->Content, Product) : nullptr;
  if (Owner != nullptr)
    for (const auto &Each : Owner->Callers)
      if (Each.Name == Caller)
        return Each.Weight;
  return 1.0;
}

std::optional<ErrorCode> Agent::objection(const Message &Incoming,
                                          const Work &Content) const {
  if (leaving())
    return ErrorCode::EndpointLeaving;
  const AcceptedConfiguration *InForce = Base.configuration();
  if (InForce == nullptr || Settings.Kind != EndpointKind::Engine)
    return ErrorCode::NotReady;
  if (Incoming.Head.SenderRevision < InForce->Index.ConfigRevision)
    return ErrorCode::StaleRevision;
  if (!acceptsRequests(Loading, Content.Weights))
    return ErrorCode::WrongWeights;
  return std::nullopt;
}

void Agent::workArrived(const Message &Incoming, const Work &Content) {
  const std::string Key = keyOf(Content.Id);
  const std::string &Peer = Incoming.Head.Sender;
  if (const auto Reason = objection(Incoming, Content)) {
    Base.send(Peer, WorkRefused{Content.Id, *Reason, NotReadyRetryAfter});
    return;
  }
  QueuedWork Item;
  Item.Id = Key;
  Item.Caller = Content.Product + "/" + Content.Caller;
  Item.Weight = weightOf(Content.Product, Content.Caller);
  Item.Priority = Content.Priority;
  Item.PromptTokens = Content.Prompt.size() / BytesPerToken;
  Item.AnswerTokens = std::max<std::uint64_t>(1, Content.MaxTokens);
  Item.Deadline = now() + Content.TimeLeft;
  const EnqueueResult Result = enqueue(Scheduler, Item, now());
  if (Result.Duplicate)
    return;
  if (!Result.Accepted) {
    Base.send(Peer, WorkRefused{Content.Id, Result.Refused->Reason,
                                milliseconds(Result.Refused->RetryAfter)});
    return;
  }
  AgentWork Task;
  Task.Entry = Peer;
  Task.Content = Content;
  Task.Stream =
      makeStreamState(Content.Id.Request, Content.Id.Attempt, Content.Weights,
                      Settings.Process.Name + "-endpoint");
  Works.emplace(Key, std::move(Task));
  Base.send(Peer, WorkAccepted{Content.Id});
  refuseAll(Result.Evicted);
  pump();
}

void Agent::refuseAll(const std::vector<Refusal> &Refused) {
  for (const Refusal &Each : Refused)
    refuse(Each.Id, Each.Reason, Each.RetryAfter);
}

void Agent::refuse(const std::string &Key, ErrorCode Reason,
                   Duration RetryAfter) {
  if (const auto Found = Works.find(Key); Found != Works.end()) {
    checkInvariant(!Found->second.Running, Invariant::NotRunProof, Step::Queue,
                   Found->second.Entry);
    Base.send(Found->second.Entry, WorkRefused{Found->second.Content.Id, Reason,
                                               milliseconds(RetryAfter)});
    Works.erase(Found);
  } else if (const auto Run = Runs.find(Key); Run != Runs.end()) {
    const std::string Operation = Run->second.Operation;
    Runs.erase(Run);
    finishRun(Operation, {Outcome::NotRun, 0, {}, Reason});
  }
}

void Agent::pump() {
  for (;;) {
    ScheduleResult Result = scheduleNext(Scheduler, now());
    refuseAll(Result.Refused);
    if (!Result.Command)
      return;
    const StartCommand Chosen = *Result.Command;
    // The slot is free only once the engine has paused the other stream.
    if (Chosen.PauseFirst)
      pauseWork(*Chosen.PauseFirst, [this, Chosen] { begin(Chosen); });
    else
      begin(Chosen);
  }
}

void Agent::begin(const StartCommand &Chosen) {
  if (Runs.contains(Chosen.Id)) {
    startRun(Chosen.Id);
  } else if (!Works.contains(Chosen.Id)) {
    return; // cancelled while the other stream was being paused
  } else if (Chosen.Resume) {
    resumeWork(Chosen.Id);
  } else if (leaving()) {
    cancel(Scheduler, Chosen.Id);
    refuse(Chosen.Id, ErrorCode::EndpointLeaving, Duration::zero());
  } else {
    startWork(Chosen.Id);
  }
}

void Agent::pauseWork(const std::string &Key, std::function<void()> Done) {
  if (const auto Found = Works.find(Key); Found != Works.end()) {
    Found->second.Paused = true;
    Base.record("work_paused", Found->second.Content.Id.Request,
                Settings.Process.Name);
  }
  callEndpoint(
      endpointRequest("POST", "/pause", cancelJson(Key), Step::Generate),
      [Done = std::move(Done)](const HttpResult &) { Done(); });
}

void Agent::resumeWork(const std::string &Key) {
  AgentWork &Task = Works.at(Key);
  Task.Paused = false;
  Task.HeardAt = now();
  Base.record("work_resumed", Task.Content.Id.Request, Settings.Process.Name);
  callEndpoint(
      endpointRequest("POST", "/resume", cancelJson(Key), Step::Generate),
      [this, Key](const HttpResult &Result) {
        const auto *Response = std::get_if<HttpResponse>(&Result);
        if (Response == nullptr || Response->Status / 100 != 2)
          failWork(Key, ErrorCode::EndpointFailed, Step::Generate);
      });
}

void Agent::failSilentWork() {
  std::vector<std::string> Silent;
  for (const auto &[Key, Task] : Works)
    if (Task.Running && !Task.Paused &&
        now() - Task.HeardAt > EngineSilenceLimit)
      Silent.push_back(Key);
  for (const std::string &Key : Silent)
    failWork(Key, ErrorCode::PeerTimeout, Step::Generate);
}

void Agent::startWork(const std::string &Key) {
  AgentWork &Task = Works.at(Key);
  checkInvariant(!leaving(), Invariant::NoWorkWhileLeaving, Step::Generate,
                 Task.Entry);
  Task.Running = true;
  Task.HeardAt = now();
  admitWork(Departure, now());
  GenerateRequest Request;
  Request.Request = Key;
  Request.Weights = Task.Content.Weights;
  Request.Prompt = Task.Content.Prompt;
  Request.MaxTokens = Task.Content.MaxTokens;
  Request.Priority = Task.Content.Priority;
  HttpCallRequest Call = endpointRequest(
      "POST", "/generate", generateRequestJson(Request), Step::Generate);
  Call.MaxBodyBytes = MaxLineBytes;
  Call.Limit = std::max<Duration>(Task.Content.TimeLeft, Duration(1));
  Base.record("work_started", Task.Content.Id.Request, Settings.Process.Name,
              Task.Content.Weights);
  Task.Call = Endpoint.stream(
      std::move(Call),
      [this, Key](std::string_view Line) {
        return Base.Loop.post(
            [this, Key, Line = std::string(Line)] { engineLine(Key, Line); });
      },
      [this, Key](HttpResult Result) {
        Base.Loop.post([this, Key, Result = std::move(Result)] {
          engineEnded(Key, Result);
        });
      });
}

void Agent::engineLine(const std::string &Key, const std::string &Line) {
  const auto Found = Works.find(Key);
  if (Found == Works.end())
    return;
  AgentWork &Task = Found->second;
  Task.HeardAt = now();
  const TryId &Id = Task.Content.Id;
  const auto Parsed = parseGenerateLine(Line);
  if (!Parsed) {
    failWork(Key, ErrorCode::StreamCorrupt, Step::Stream);
    return;
  }
  // The engine knows a try by its key; a line of another one is a crossed
  // answer.
  const std::string_view Request =
      Parsed->Request == Key ? std::string_view(Id.Request) : Parsed->Request;
  StreamCheckResult Verdict;
  if (Parsed->End)
    Verdict = checkEnd(Task.Stream, {Request, Id.Attempt, Parsed->Weights,
                                     Parsed->Count, std::nullopt});
  else
    Verdict = checkPiece(Task.Stream, {Request, Id.Attempt, Parsed->Weights,
                                       Parsed->Sequence, Parsed->Text});
  if (Verdict.Verdict == StreamVerdict::Fail) {
    Base.Log.write("stream_corrupt", streamError(Task.Stream, Verdict.Fault),
                   Id.Request);
    failWork(Key, ErrorCode::StreamCorrupt, Step::Stream);
  } else if (Verdict.Verdict == StreamVerdict::Accept && Parsed->End) {
    // The time line orders an event before what the message about it causes.
    Base.record("work_complete", Id.Request, Settings.Process.Name,
                Parsed->Weights);
    Base.send(Task.Entry, StreamEnd{Id, Parsed->Weights, Parsed->Count,
                                    streamChecksum(Task.Stream)});
    endWork(Key);
  } else if (Verdict.Verdict == StreamVerdict::Accept) {
    updateProgress(Scheduler, Key, ++Task.Produced);
    Base.send(Task.Entry,
              Piece{Id, Parsed->Weights, Parsed->Sequence, Parsed->Text});
  }
}

void Agent::engineEnded(const std::string &Key, const HttpResult &Result) {
  const auto Found = Works.find(Key);
  if (Found == Works.end())
    return;
  constexpr unsigned TooManyRequests = 429;
  constexpr unsigned NotFound = 404;
  const auto *Response = std::get_if<HttpResponse>(&Result);
  const auto *Failure = std::get_if<HttpFailure>(&Result);
  const bool Refused =
      Response != nullptr &&
      (Response->Status == TooManyRequests || Response->Status == NotFound);
  const bool NeverSent = Failure != nullptr && !Failure->RequestBytesSent;
  if ((Refused || NeverSent) && Found->second.Produced == 0) {
    Base.send(Found->second.Entry,
              WorkRefused{Found->second.Content.Id,
                          Refused && Response->Status == NotFound
                              ? ErrorCode::WrongWeights
                              : ErrorCode::NotReady,
                          NotReadyRetryAfter});
    dropWork(Key);
    if (NeverSent)
      handleEngineLoss(Loading, now());
    return;
  }
  failWork(Key, ErrorCode::EndpointFailed, Step::Generate);
}

void Agent::failWork(const std::string &Key, ErrorCode Reason, Step At) {
  const auto Found = Works.find(Key);
  if (Found == Works.end())
    return;
  const TryId &Id = Found->second.Content.Id;
  Base.record("work_failed", Id.Request, Settings.Process.Name, {},
              {{"reason", make_error_code(Reason).message()}});
  Base.send(Found->second.Entry, WorkFailed{Id, Reason, At});
  Found->second.Call.cancel();
  dropWork(Key);
}

void Agent::dropWork(const std::string &Key) {
  // Work that did not end says nothing about the rate of the endpoint.
  cancel(Scheduler, Key);
  removeWork(Key);
}

void Agent::endWork(const std::string &Key) {
  const auto Found = Works.find(Key);
  finish(Scheduler, Key, Found->second.Produced, now());
  removeWork(Key);
}

void Agent::removeWork(const std::string &Key) {
  recordWorkFinished(Departure);
  Works.erase(Key);
  pump();
}

void Agent::cancelWork(const std::string &Key) {
  const auto Found = Works.find(Key);
  if (Found == Works.end())
    return;
  if (!Found->second.Running) {
    cancel(Scheduler, Key);
    refuse(Key, ErrorCode::Cancelled, Duration::zero());
    return;
  }
  callEndpoint(
      endpointRequest("POST", "/cancel", cancelJson(Key), Step::Generate),
      [](const HttpResult &) {});
  failWork(Key, ErrorCode::Cancelled, Step::Generate);
}

} // namespace marigoldyard
