// Requests of callers: authentication, limits and the directory of entries.
#include "programs/entry/entry.hpp"

#include "marigoldyard/coordination/entry_directory.hpp"
#include "marigoldyard/coordination/scheduler.hpp"
#include "marigoldyard/protocol/digest.hpp"
#include "marigoldyard/transport/clock.hpp"
#include "programs/entry/answers.hpp"

#include <algorithm>

namespace marigoldyard {

namespace {

/// Requests in progress at one entry; bounds its memory.
constexpr std::size_t MaxRequests = 16384;
constexpr std::string_view OperationsPath = "/v1/operations";
constexpr Duration OpenLimit = std::chrono::seconds(5);

Error admissionError(ErrorCode Code, std::string Detail) {
  return Error{Code, Step::Admission, {}, std::move(Detail)};
}

std::string addressOf(const std::string &Peer) {
  return Peer.substr(0, Peer.rfind(':'));
}

/// Cost of the prompt, at four bytes a token, and of the longest answer.
std::uint32_t estimatedTokens(const CompletionRequest &Request) {
  constexpr std::size_t BytesPerToken = 4;
  return static_cast<std::uint32_t>(
      tokenCost(Request.Prompt.size() / BytesPerToken, Request.MaxTokens));
}

/// The rank asked for, lowered to the highest that the caller may use.
Rank permittedRank(const Product &Owner, const Caller &Sender, Rank Wanted) {
  for (const Rank Each : AllRanks)
    if (rankIndex(Each) >= rankIndex(Wanted) &&
        isRankAllowed(Owner, Sender, Each))
      return Each;
  return Sender.HighestRank;
}

} // namespace

void Entry::accept(HttpRequest &&Request, const Responder &Answer) {
  auto Shared = std::make_shared<HttpRequest>(std::move(Request));
  if (!Base.Loop.tryPost([this, Shared, Answer] { dispatch(*Shared, Answer); }))
    Answer.send(problemAnswer(
        Outcome::NotRun, admissionError(ErrorCode::QueueFull, "entry is busy"),
        std::chrono::seconds(1)));
}

void Entry::dispatch(const HttpRequest &Request, const Responder &Answer) {
  const std::string &Path = Request.Path;
  const std::string RunPrefix = std::string(OperationsPath) + "/";
  if (Request.Method == "GET" && Path == "/v1/entries")
    listEntriesFor(Answer);
  else if (Request.Method == "GET" && Path == "/v1/models")
    listModels(Request, Answer);
  else if (Request.Method == "POST" && Path == "/v1/completions")
    beginCompletion(Request, Answer, CompletionKind::Text);
  else if (Request.Method == "POST" && Path == "/v1/chat/completions")
    beginCompletion(Request, Answer, CompletionKind::Chat);
  else if (Request.Method == "POST" && Path == OperationsPath)
    beginOpen(Request, Answer);
  else if (Request.Method == "PUT" && Path.starts_with(RunPrefix))
    beginRun(Request, Answer);
  else
    Answer.send(notFoundAnswer("unknown path or method"));
}

void Entry::listEntriesFor(const Responder &Answer) {
  std::vector<EntryView> Known;
  bool OwnLeaving = Departure.Stage != DrainStage::Serving;
  for (const auto &[Name, Record] : Base.Members.Records) {
    if (Name == Settings.Process.Name)
      OwnLeaving = OwnLeaving || Record.Description.Draining;
    if (Record.Description.Kind != MemberKind::Entry ||
        !Record.HasDescription || Name == Settings.Process.Name)
      continue;
    const MemberState Current = memberState(Base.Members, Record, Base.turn());
    if (Current == MemberState::Dead)
      continue;
    Known.push_back(
        {Name,
         Record.Description.Address + ":" + std::to_string(Settings.CallerPort),
         Record.Description.Region, Record.Description.FailureDomain,
         Current == MemberState::Draining, Current == MemberState::Suspected});
  }
  Known.push_back(
      {Settings.Process.Name,
       Settings.Process.Address + ":" + std::to_string(Settings.CallerPort),
       Settings.Process.Region, Settings.Process.FailureDomain, OwnLeaving,
       false});
  Answer.send(
      entriesAnswer(listEntries(Known, Settings.Process.Region, Base.Source)));
}

void Entry::refuse(const Responder &Answer, const Error &Reason,
                   std::chrono::milliseconds RetryAfter) {
  Base.Numbers
      .counter("marigoldyard_refused_total", "Requests refused at admission",
               {{"error_id", std::to_string(Reason.Code.value())}})
      .add();
  Answer.send(problemAnswer(Outcome::NotRun, Reason, RetryAfter));
}

std::optional<Identity> Entry::authenticate(const HttpRequest &Request,
                                            const Responder &Answer) {
  const std::string Address = addressOf(Request.Peer);
  const AdmissionDecision Allowed =
      admitAuthentication(Failures, Address, now());
  if (!Allowed.Admitted) {
    refuse(Answer,
           admissionError(Allowed.Reason, "too many failed authentications"),
           std::chrono::ceil<std::chrono::milliseconds>(Allowed.RetryAfter));
    return std::nullopt;
  }
  const AcceptedConfiguration *InForce = Base.configuration();
  if (InForce == nullptr || !Base.ready()) {
    // A leaving entry still serves those whom it told to come here.
    if (InForce == nullptr || Departure.Stage == DrainStage::Serving) {
      refuse(Answer, admissionError(ErrorCode::NotReady, "no configuration"),
             std::chrono::seconds(1));
      return std::nullopt;
    }
  }
  const auto Key = parseBearer(Request.header("authorization"));
  if (Key) {
    std::string KeySha256 = sha256Hex(*Key);
    if (!productsOfCaller(*InForce, KeySha256).empty())
      return Identity{InForce, std::move(KeySha256)};
  }
  recordFailedAuthentication(Failures, Address, now());
  refuse(Answer,
         admissionError(ErrorCode::Unauthenticated, "unknown bearer key"));
  return std::nullopt;
}

void Entry::listModels(const HttpRequest &Request, const Responder &Answer) {
  const auto Sender = authenticate(Request, Answer);
  if (!Sender)
    return;
  std::vector<std::string> Names;
  for (const Product *Each :
       productsOfCaller(*Sender->Configuration, Sender->KeySha256))
    Names.push_back(Each->Name);
  Answer.send(modelsAnswer(Names));
}

std::string Entry::newRequestId() {
  return Settings.Process.Name + "-" + std::to_string(Base.Number) + "-" +
         std::to_string(++LastRequest);
}

bool Entry::admit(ActiveRequest &Active, const Product &Owner,
                  const Caller &Sender) {
  if (Requests.size() >= MaxRequests) {
    refuse(Active.Answer,
           admissionError(ErrorCode::QueueFull, "too many requests"),
           std::chrono::seconds(1));
    return false;
  }
  AdmissionDecision Decision =
      admitCaller(Admissions, Owner.Name, Sender, now());
  if (Decision.Admitted && Active.State.Kind == RequestKind::Completion)
    Decision = admitByDeadline(queueEstimate(Active, Owner),
                               Active.State.Deadline - now());
  if (!Decision.Admitted) {
    refuse(Active.Answer, admissionError(Decision.Reason, Sender.Name),
           std::chrono::ceil<std::chrono::milliseconds>(Decision.RetryAfter));
    return false;
  }
  if (auto Leaving = admitWork(Departure, now())) {
    refuse(Active.Answer, *Leaving);
    return false;
  }
  return true;
}

void Entry::beginCompletion(const HttpRequest &Request, const Responder &Answer,
                            CompletionKind Kind) {
  const auto Sender = authenticate(Request, Answer);
  if (!Sender)
    return;
  auto Parsed = parseCompletionRequest(Kind, Request.Body);
  const auto Wanted = parseRankHeader(Request.header("x-rank"));
  if (!Parsed || !Wanted) {
    refuse(Answer, Parsed ? Wanted.error() : Parsed.error());
    return;
  }
  const AcceptedConfiguration &InForce = *Sender->Configuration;
  const Product *Owner = findProduct(InForce.Content, Parsed->Model);
  const Caller *Customer =
      findCaller(InForce, Parsed->Model, Sender->KeySha256);
  if (Owner == nullptr || Customer == nullptr) {
    Answer.send(notFoundAnswer("unknown product"));
    return;
  }
  ActiveRequest Active;
  Active.Answer = Answer;
  Active.Product = Owner->Name;
  Active.Caller = Customer->Name;
  Active.Pool = Owner->Pool;
  Active.Priority =
      permittedRank(*Owner, *Customer, (*Wanted).value_or(Rank::Standard));
  Active.Completion = std::move(*Parsed);
  Active.EstimatedTokens = estimatedTokens(Active.Completion);
  Active.ArrivedAt = now();
  Active.State.Id = newRequestId();
  Active.State.Kind = RequestKind::Completion;
  Active.State.Streaming = Active.Completion.Stream;
  Active.State.Deadline = now() + Owner->Deadlines[rankIndex(Active.Priority)];
  if (admit(Active, *Owner, *Customer))
    begin(std::move(Active));
}

void Entry::beginOpen(const HttpRequest &Request, const Responder &Answer) {
  const auto Sender = authenticate(Request, Answer);
  if (!Sender)
    return;
  auto Wanted = parseOperationRequest(Request.Body);
  if (!Wanted) {
    refuse(Answer, Wanted.error());
    return;
  }
  const AcceptedConfiguration &InForce = *Sender->Configuration;
  for (const Product *Owner : productsOfCaller(InForce, Sender->KeySha256)) {
    const Service *Target = findService(*Owner, *Wanted);
    if (Target == nullptr)
      continue;
    const Caller *Customer =
        findCaller(InForce, Owner->Name, Sender->KeySha256);
    ActiveRequest Active;
    Active.Answer = Answer;
    Active.Product = Owner->Name;
    Active.Caller = Sender->KeySha256;
    Active.Pool = Target->Pool;
    Active.Service = Target->Name;
    Active.Priority = Customer->HighestRank;
    Active.ArrivedAt = now();
    Active.State.Id = newRequestId();
    Active.State.Kind = RequestKind::OperationOpen;
    Active.State.Streaming = false;
    Active.State.Deadline = now() + OpenLimit;
    if (admit(Active, *Owner, *Customer))
      begin(std::move(Active));
    return;
  }
  Answer.send(notFoundAnswer("unknown service"));
}

void Entry::beginRun(const HttpRequest &Request, const Responder &Answer) {
  const auto Sender = authenticate(Request, Answer);
  if (!Sender)
    return;
  const std::string Operation = Request.Path.substr(OperationsPath.size() + 1);
  if (!parseOperationId(Operation) || !nlohmann::json::accept(Request.Body)) {
    const bool BadId = !parseOperationId(Operation);
    refuse(Answer,
           admissionError(
               BadId ? ErrorCode::OperationNotFound : ErrorCode::InvalidMessage,
               BadId ? "malformed operation id" : "body is not JSON"));
    return;
  }
  const AcceptedConfiguration &InForce = *Sender->Configuration;
  // The id does not name the product. It only decides limits here; the agent
  // compares the key that opened the operation.
  const auto Products = productsOfCaller(InForce, Sender->KeySha256);
  const auto Found =
      std::find_if(Products.begin(), Products.end(),
                   [](const Product *Each) { return !Each->Services.empty(); });
  const Product &Owner = Found == Products.end() ? *Products.front() : **Found;
  const Caller *Customer = findCaller(InForce, Owner.Name, Sender->KeySha256);
  ActiveRequest Active;
  Active.Answer = Answer;
  Active.Product = Owner.Name;
  Active.Caller = Sender->KeySha256;
  Active.Priority = Customer->HighestRank;
  Active.RunBody = Request.Body;
  Active.ArrivedAt = now();
  Active.State.Id = newRequestId();
  Active.State.Kind = RequestKind::OperationRun;
  Active.State.Idempotent = false;
  Active.State.Streaming = false;
  Active.State.Operation = Operation;
  Active.State.Deadline = now() + Owner.Deadlines[rankIndex(Active.Priority)];
  if (admit(Active, Owner, *Customer))
    begin(std::move(Active));
}

} // namespace marigoldyard
