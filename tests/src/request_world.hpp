#pragma once

#include "throw_on_violation.hpp"

#include "marigoldyard/coordination/operation_table.hpp"
#include "marigoldyard/coordination/request.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace marigoldyard::test {

/// The first three are in the order of RequestKind.
enum class RequestMessageKind { Work, Open, Run, Cancel };

/// @brief Message of an entry to an agent.
struct RequestMessage {
  RequestMessageKind Kind = RequestMessageKind::Work;
  std::string Request;
  std::uint32_t Attempt = 0;
  std::string Operation;
  std::string Caller;
  Digest Weights;
};

/// @brief Message of an agent to an entry. Views of a piece or an end are set
/// to the strings when it arrives.
struct Reply {
  std::string Request;
  Digest Weights;
  std::string Text;
  RequestEvent Event;
};

/// @brief Work or an operation at a fake agent.
struct Job {
  std::size_t Entry = 0;
  RequestMessage Asked;
  StreamState Sent; ///< progress of a completion
  bool Started = false;
};

struct FakeAgent {
  std::string Name;
  Incarnation Own = 1;
  OperationTable Table;
  std::deque<Job> Jobs;
  Digest Weights = "w1";
  bool Frozen = false;
  bool Refusing = false;
};

struct FakeRequest {
  std::size_t Entry = 0;
  RequestState State;
  std::string Caller;
  std::string Delivered;
  std::string Answer; ///< text of FinishAnswer
  bool Answered = false;
  Outcome Result = Outcome::Unknown;
  std::uint64_t Starts = 0; ///< times that this request started a run
  bool AgentRefused =
      false; ///< the agent proved that the operation did not run
};

/// @brief Entries, agents and the links between them, in virtual time. Every
/// move is explicit, so that a test can place a fault between any two moves.
class World {
public:
  static constexpr std::size_t PiecesPerAnswer = 3;

  World(std::size_t Entries, std::size_t AgentCount,
        OperationLimits Limits = {})
      : EntryAlive(Entries, true), Budgets(Entries) {
    for (std::size_t I = 0; I < AgentCount; ++I) {
      FakeAgent Agent;
      Agent.Name = "agent-" + std::to_string(I);
      Agent.Table = makeOperationTable(Agent.Name, Agent.Own, Limits);
      Agents.push_back(std::move(Agent));
    }
  }

  std::string completion(std::size_t Entry, bool Idempotent, bool Streaming) {
    return begin(Entry, {.Idempotent = Idempotent, .Streaming = Streaming},
                 "caller");
  }

  std::string open(std::size_t Entry, const std::string &Caller) {
    return begin(Entry,
                 {.Kind = RequestKind::OperationOpen, .Streaming = false},
                 Caller);
  }

  std::string run(std::size_t Entry, const std::string &Caller,
                  const std::string &Operation) {
    return begin(Entry,
                 {.Kind = RequestKind::OperationRun,
                  .Idempotent = false,
                  .Streaming = false,
                  .Operation = Operation},
                 Caller);
  }

  /// The outbox of an entry hands its oldest letter to the link.
  bool leave(std::size_t Entry, std::size_t Agent) {
    Link &Used = link(Entry, Agent);
    if (Used.Outbox.empty() || !EntryAlive[Entry])
      return false;
    RequestMessage Message = Used.Outbox.front();
    Used.Outbox.pop_front();
    Used.Messages.push_back(Message);
    if (Message.Kind != RequestMessageKind::Cancel)
      feed(Message.Request, request_event::WorkSent{Message.Attempt});
    return true;
  }

  /// The oldest letter on the link arrives at the agent.
  bool arrive(std::size_t Entry, std::size_t Agent) {
    Link &Used = link(Entry, Agent);
    if (Used.Messages.empty() || Agents[Agent].Frozen)
      return false;
    RequestMessage Message = Used.Messages.front();
    Used.Messages.pop_front();
    receive(Entry, Agent, Message);
    return true;
  }

  /// The oldest job of an agent makes one step.
  bool work(std::size_t Agent) {
    FakeAgent &Target = Agents[Agent];
    if (Target.Frozen || Target.Jobs.empty())
      return false;
    Job &Next = Target.Jobs.front();
    if (!Next.Started) {
      Next.Started = true;
      ++Requests.at(Next.Asked.Request).Starts;
      if (Next.Asked.Kind == RequestMessageKind::Run)
        ++Runs[Next.Asked.Operation];
      return true;
    }
    if (Next.Asked.Kind == RequestMessageKind::Work)
      return stepCompletion(Agent);
    Job Done = std::move(Next);
    Target.Jobs.pop_front();
    runOperationJob(Agent, Done);
    return true;
  }

  /// The oldest reply on the link arrives at the entry.
  bool answer(std::size_t Entry, std::size_t Agent) {
    Link &Used = link(Entry, Agent);
    if (Used.Replies.empty())
      return false;
    Reply Back = Used.Replies.front();
    Used.Replies.pop_front();
    if (auto *Piece = std::get_if<request_event::PieceArrived>(&Back.Event)) {
      Piece->Piece.Request = Back.Request;
      Piece->Piece.Weights = Back.Weights;
      Piece->Piece.Text = Back.Text;
    } else if (auto *End =
                   std::get_if<request_event::EndArrived>(&Back.Event)) {
      End->End.Request = Back.Request;
      End->End.Weights = Back.Weights;
    }
    feed(Back.Request, Back.Event);
    return true;
  }

  /// Makes all moves and timers until nothing is left to do.
  void settle() {
    for (bool Moved = true; Moved;) {
      Moved = false;
      for (std::size_t A = 0; A < Agents.size(); ++A) {
        for (std::size_t E = 0; E < EntryAlive.size(); ++E) {
          Moved = leave(E, A) || Moved;
          Moved = arrive(E, A) || Moved;
          Moved = answer(E, A) || Moved;
        }
        Moved = work(A) || Moved;
      }
      if (Moved)
        continue;
      for (const auto &[Id, Request] : Requests)
        Moved =
            Moved || (EntryAlive[Request.Entry] && nextTimer(Request.State));
      pass(std::chrono::seconds(2));
    }
  }

  /// The connection closes; letters and replies on it are lost.
  void cut(std::size_t Entry, std::size_t Agent) {
    link(Entry, Agent).Messages.clear();
    link(Entry, Agent).Replies.clear();
    // The agent cancels what it queued for the entry; what runs is stopped.
    std::erase_if(Agents[Agent].Jobs, [&](const Job &Waiting) {
      return Waiting.Entry == Entry &&
             Waiting.Asked.Kind == RequestMessageKind::Work;
    });
    suspect(Entry, Agent);
  }

  /// The entry suspects an agent whose connection stays open.
  void suspect(std::size_t Entry, std::size_t Agent) {
    for (auto &[Id, Request] : Requests)
      if (Request.Entry == Entry)
        feed(Id, request_event::PeerLost{Agents[Agent].Name});
  }

  void killEntry(std::size_t Entry) {
    EntryAlive[Entry] = false;
    for (std::size_t A = 0; A < Agents.size(); ++A) {
      link(Entry, A).Outbox.clear();
      cut(Entry, A);
    }
  }

  /// The agent starts anew with an empty table; what its endpoint runs runs on.
  void restartAgent(std::size_t Agent) {
    FakeAgent &Target = Agents[Agent];
    Target.Table =
        makeOperationTable(Target.Name, ++Target.Own, Target.Table.Limits);
    Target.Jobs.clear();
    Target.Frozen = false;
    for (std::size_t E = 0; E < EntryAlive.size(); ++E)
      cut(E, Agent);
  }

  void pass(Duration Time) {
    Now += Time;
    for (auto &[Id, Request] : Requests)
      feed(Id, request_event::TimerFired{});
  }

  void leaveCaller(const std::string &Request) {
    feed(Request, request_event::CallerDisconnected{});
  }

  /// Throws when an outcome or a count of runs contradicts what happened.
  void verify() const {
    auto Fail = [](const std::string &Text) { throw std::logic_error(Text); };
    for (const auto &[Operation, Count] : Runs)
      if (Count > 1)
        Fail(Operation + " ran more than once");
    for (const auto &[Id, Request] : Requests) {
      const RequestState &State = Request.State;
      if (!State.Idempotent && Request.Starts > 1)
        Fail(Id + " is not idempotent and started twice");
      if (!Request.Answered)
        continue;
      if (Request.Result == Outcome::NotRun && Request.Starts > 0)
        Fail(Id + " was reported as not_run and started");
      if (Request.Result == Outcome::NotRun &&
          State.Kind == RequestKind::OperationRun && !Request.AgentRefused)
        Fail(Id + " was reported as not_run without the proof of the agent");
      if (Request.Result == Outcome::Complete &&
          State.Kind == RequestKind::OperationRun &&
          Request.Answer != "result of " + State.Operation)
        Fail(Id + " got the result of another operation");
      if (State.Kind != RequestKind::Completion)
        continue;
      std::string Whole = wholeText(Id, State.Weights);
      if (Request.Result == Outcome::Complete && Request.Answer != Whole)
        Fail(Id + " completed with a text that is not its own");
      if (Whole.compare(0, Request.Delivered.size(), Request.Delivered) != 0)
        Fail(Id + " delivered a text that is not the start of its own");
    }
  }

  std::map<std::string, FakeRequest> Requests;
  std::map<std::string, std::uint64_t> Runs; ///< by operation
  std::vector<FakeAgent> Agents;
  std::vector<bool> EntryAlive;
  TimePoint Now{};

  static std::string pieceText(const std::string &Request,
                               const Digest &Weights, std::uint64_t Number) {
    return Request + Weights + std::to_string(Number) + " ";
  }

  static std::string wholeText(const std::string &Request,
                               const Digest &Weights) {
    std::string Text;
    for (std::size_t I = 0; I < PiecesPerAnswer; ++I)
      Text += pieceText(Request, Weights, I);
    return Text;
  }

private:
  struct Link {
    std::deque<RequestMessage> Outbox;
    std::deque<RequestMessage> Messages;
    std::deque<Reply> Replies;
  };

  std::string begin(std::size_t Entry, RequestState State,
                    const std::string &Caller) {
    std::string Id = "r" + std::to_string(NextRequest++);
    State.Id = Id;
    State.Deadline = Now + std::chrono::seconds(1);
    FakeRequest &Request = Requests[Id];
    Request.Entry = Entry;
    Request.Caller = Caller;
    Request.State = std::move(State);
    feed(Id, request_event::RequestAdmitted{});
    return Id;
  }

  void feed(const std::string &Id, const RequestEvent &Event) {
    FakeRequest &Request = Requests.at(Id);
    if (!EntryAlive[Request.Entry])
      return;
    for (const RequestAction &Action :
         step(Request.State, Event, Budgets[Request.Entry], Now))
      perform(Id, Action);
  }

  void perform(const std::string &Id, const RequestAction &Action) {
    namespace action = request_action;
    FakeRequest &Request = Requests.at(Id);
    auto Outbox = [&](const std::string &Peer) -> std::deque<RequestMessage> & {
      return link(Request.Entry, agentIndex(Peer)).Outbox;
    };
    if (const auto *Choice = std::get_if<action::ChooseEndpoint>(&Action)) {
      choose(Id, *Choice);
    } else if (const auto *Send = std::get_if<action::SendWork>(&Action)) {
      Outbox(Send->Peer)
          .push_back({static_cast<RequestMessageKind>(Request.State.Kind), Id,
                      Send->Attempt, Request.State.Operation, Request.Caller,
                      Send->Weights});
    } else if (const auto *Back = std::get_if<action::WithdrawWork>(&Action)) {
      if (std::erase_if(Outbox(Back->Peer), [&](const RequestMessage &Waiting) {
            return Waiting.Request == Id && Waiting.Attempt == Back->Attempt;
          }) > 0)
        feed(Id, request_event::WorkWithdrawn{Back->Attempt});
    } else if (const auto *Stop = std::get_if<action::CancelAttempt>(&Action)) {
      Outbox(Stop->Peer)
          .push_back(
              {RequestMessageKind::Cancel, Id, Stop->Attempt, "", "", ""});
    } else if (const auto *Piece = std::get_if<action::DeliverPiece>(&Action)) {
      Request.Delivered += Piece->Text;
    } else {
      Request.Answered = true;
      if (const auto *End = std::get_if<action::FinishAnswer>(&Action)) {
        Request.Result = Outcome::Complete;
        Request.Answer = Request.Delivered + End->Text;
      } else if (const auto *Abort =
                     std::get_if<action::AbortStream>(&Action)) {
        Request.Result = Abort->Result;
      } else {
        Request.Result = std::get<action::AnswerOutcome>(Action).Result;
      }
    }
  }

  void choose(const std::string &Id,
              const request_action::ChooseEndpoint &Choice) {
    const RequestState &State = Requests.at(Id).State;
    if (State.Kind == RequestKind::OperationRun) {
      auto Parsed = parseOperationId(State.Operation);
      feed(Id, request_event::EndpointChosen{Parsed ? Parsed->Agent : "agent-0",
                                             ""});
      return;
    }
    for (std::size_t I = 0; I < Agents.size(); ++I) {
      const FakeAgent &Agent = Agents[NextAgent++ % Agents.size()];
      if (std::find(Choice.Avoid.begin(), Choice.Avoid.end(), Agent.Name) ==
          Choice.Avoid.end()) {
        feed(Id, request_event::EndpointChosen{Agent.Name, Agent.Weights});
        return;
      }
    }
    feed(Id, request_event::EndpointUnavailable{});
  }

  void receive(std::size_t Entry, std::size_t Agent,
               const RequestMessage &Message) {
    FakeAgent &Target = Agents[Agent];
    auto Answer = [&](const RequestEvent &Event) {
      reply(Entry, Agent, Message.Request, Event);
    };
    if (Message.Kind == RequestMessageKind::Cancel) {
      cancel(Entry, Agent, Message);
    } else if (Message.Kind == RequestMessageKind::Open) {
      auto Id = openOperation(Target.Table, Message.Caller, "ledger");
      Answer(request_event::Opened{Target.Name, Id ? *Id : ""});
    } else if (Message.Kind == RequestMessageKind::Run) {
      RunDecision Decision = runOperation(
          Target.Table, Message.Operation, Message.Caller,
          {std::to_string(Entry), Message.Request},
          Target.Refusing ? std::optional(ErrorCode::NotReady) : std::nullopt);
      if (Decision.Action == RunAction::Answer &&
          Decision.Answer.Result == Outcome::NotRun) {
        Requests.at(Message.Request).AgentRefused = true;
        if (Runs.count(Message.Operation) > 0)
          throw std::logic_error("the agent reports not_run after a run");
      }
      if (Decision.Action == RunAction::Start)
        Target.Jobs.push_back({Entry, Message, {}, false});
      else if (Decision.Action == RunAction::Answer)
        Answer(request_event::OperationAnswered{Target.Name, Message.Operation,
                                                Decision.Answer});
    } else if (Target.Refusing || Message.Weights != Target.Weights) {
      Answer(request_event::Refused{Target.Name, Message.Attempt});
    } else {
      Answer(request_event::Accepted{Target.Name, Message.Attempt});
      Target.Jobs.push_back({Entry, Message, {}, false});
    }
  }

  void reply(std::size_t Entry, std::size_t Agent, const std::string &Request,
             const RequestEvent &Event) {
    link(Entry, Agent).Replies.push_back({Request, "", "", Event});
  }

  void cancel(std::size_t Entry, std::size_t Agent,
              const RequestMessage &Message) {
    std::deque<Job> &Jobs = Agents[Agent].Jobs;
    auto Found =
        std::find_if(Jobs.begin(), Jobs.end(), [&](const Job &Waiting) {
          return Waiting.Asked.Request == Message.Request &&
                 Waiting.Asked.Attempt == Message.Attempt;
        });
    if (Found == Jobs.end())
      return;
    const std::string &Name = Agents[Agent].Name;
    RequestEvent Proof =
        request_event::Refused{Name, Message.Attempt, ErrorCode::Cancelled};
    RequestEvent Failure =
        request_event::Failed{Name, Message.Attempt, ErrorCode::Cancelled};
    reply(Entry, Agent, Message.Request, Found->Started ? Failure : Proof);
    Jobs.erase(Found);
  }

  void runOperationJob(std::size_t Agent, const Job &Done) {
    OperationAnswer Result{Outcome::Complete, 200,
                           "result of " + Done.Asked.Operation};
    for (const OperationWaiter &Waiter :
         finishOperation(Agents[Agent].Table, Done.Asked.Operation, Result))
      reply(std::stoul(Waiter.Entry), Agent, Waiter.Request,
            request_event::OperationAnswered{Agents[Agent].Name,
                                             Done.Asked.Operation, Result});
  }

  /// Sends the next piece or the end. The engine stamps what it has loaded.
  bool stepCompletion(std::size_t Agent) {
    FakeAgent &Target = Agents[Agent];
    Job &Next = Target.Jobs.front();
    const RequestMessage &Asked = Next.Asked;
    Reply Back{Asked.Request, Target.Weights, "",
               request_event::RequestAdmitted{}};
    bool Last = Next.Sent.NextSequence == PiecesPerAnswer;
    if (Last) {
      Back.Event = request_event::EndArrived{
          Target.Name,
          {"", Asked.Attempt, "", PiecesPerAnswer, streamChecksum(Next.Sent)}};
    } else {
      Back.Text =
          pieceText(Asked.Request, Target.Weights, Next.Sent.NextSequence);
      Back.Event = request_event::PieceArrived{
          Target.Name, {"", Asked.Attempt, "", Next.Sent.NextSequence++, ""}};
      Next.Sent.Hash.add(Back.Text);
    }
    link(Next.Entry, Agent).Replies.push_back(std::move(Back));
    if (Last)
      Target.Jobs.pop_front();
    return true;
  }

  static std::size_t agentIndex(const std::string &Name) {
    return std::stoul(Name.substr(Name.rfind('-') + 1));
  }

  Link &link(std::size_t Entry, std::size_t Agent) {
    return Links[{Entry, Agent}];
  }

  std::map<std::pair<std::size_t, std::size_t>, Link> Links;
  std::vector<RetryBudget> Budgets;
  std::size_t NextRequest = 0;
  std::size_t NextAgent = 0;
};

} // namespace marigoldyard::test
