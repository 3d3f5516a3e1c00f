#include "marigoldyard/coordination/request.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;
namespace event = request_event;
namespace action = request_action;

namespace {

constexpr TimePoint StartCommand{};
constexpr TimePoint Deadline = StartCommand + std::chrono::seconds(1);

/// A request and what it did last.
struct Driven {
  RequestState State;
  RetryBudget Budget;
  std::vector<RequestAction> Last;

  explicit Driven(RequestKind Kind = RequestKind::Completion) {
    State.Id = "r";
    State.Kind = Kind;
    State.Operation = "a.1.1";
    State.Deadline = Deadline;
    feed(event::RequestAdmitted{});
    feed(event::EndpointChosen{"a", "w"});
  }
  void feed(const RequestEvent &Event, TimePoint Now = StartCommand) {
    Last = step(State, Event, Budget, Now);
  }
  template <typename T> const T &last() const {
    return std::get<T>(Last.back());
  }
};

} // namespace

TEST_CASE("a lost try is repeated elsewhere until a piece was delivered") {
  Driven Fresh;
  Fresh.feed(event::WorkSent{1});
  Fresh.feed(event::PeerLost{"a"});
  CHECK(Fresh.last<action::ChooseEndpoint>().Avoid ==
        std::vector<std::string>{"a"});
  Driven Delivered;
  Delivered.feed(event::PieceArrived{"a", {"r", 1, "w", 0, "x"}});
  CHECK(Delivered.last<action::DeliverPiece>().Text == "x");
  Delivered.feed(event::PeerLost{"a"});
  CHECK(Delivered.last<action::AbortStream>().Result == Outcome::Failed);
}

TEST_CASE(
    "work that the daemon withdrew by itself is tried elsewhere, since an "
    "empty error is not retryable") {
  Driven Withdrawn;
  Withdrawn.feed(event::WorkWithdrawn{1});
  CHECK(Withdrawn.last<action::ChooseEndpoint>().Avoid ==
        std::vector<std::string>{"a"});
  Withdrawn.feed(event::EndpointUnavailable{ErrorCode::NoEndpoint});
  CHECK(Withdrawn.last<action::AnswerOutcome>().Result == Outcome::NotRun);
}

TEST_CASE("at the deadline the proof of the agent decides between not_run and "
          "unknown") {
  Driven Proved;
  Proved.feed(event::Accepted{"a", 1});
  Proved.feed(event::TimerFired{}, Deadline);
  CHECK(Proved.last<action::CancelAttempt>().Peer == "a");
  Proved.feed(event::Refused{"a", 1, ErrorCode::Cancelled}, Deadline);
  CHECK(Proved.last<action::AnswerOutcome>().Result == Outcome::NotRun);
  Driven Unproved;
  Unproved.feed(event::Accepted{"a", 1});
  Unproved.feed(event::TimerFired{}, Deadline);
  CHECK(nextTimer(Unproved.State) == Deadline + ClosingGrace);
  Unproved.feed(event::TimerFired{}, Deadline + ClosingGrace);
  CHECK(Unproved.last<action::AnswerOutcome>().Result == Outcome::Unknown);
  CHECK(Unproved.last<action::AnswerOutcome>().Reason.Peer == "a");
  CHECK_FALSE(nextTimer(Unproved.State));
}

TEST_CASE("a late refusal of a lost try makes not_run provable") {
  Driven Lost;
  Lost.feed(event::WorkSent{1});
  Lost.feed(event::PeerLost{"a"});
  Lost.feed(event::Refused{"a", 1, ErrorCode::Cancelled});
  Lost.feed(event::EndpointUnavailable{});
  CHECK(Lost.last<action::AnswerOutcome>().Result == Outcome::NotRun);
}

TEST_CASE("what contradicts an earlier message proves nothing") {
  Driven Ran;
  Ran.feed(event::PieceArrived{"a", {"r", 1, "w", 0, "x"}});
  Ran.feed(event::Refused{"a", 1});
  CHECK(Ran.last<action::AbortStream>().Result == Outcome::Failed);
  Driven Failed;
  Failed.feed(event::Failed{"a", 1});
  Failed.feed(event::Refused{"a", 1});
  Failed.feed(event::EndpointUnavailable{});
  CHECK(Failed.last<action::AnswerOutcome>().Result == Outcome::Failed);
  Driven Left;
  Left.feed(event::WorkSent{1});
  Left.feed(event::WorkWithdrawn{1});
  CHECK(Left.State.Phase == RequestPhase::Sent);
}

// Guards against a default error, which is not retryable, as the reason.
TEST_CASE("work that could not be sent is repeated elsewhere with its reason") {
  Driven Unsent;
  Unsent.feed(event::WorkWithdrawn{1});
  CHECK(Unsent.last<action::ChooseEndpoint>().Avoid ==
        std::vector<std::string>{"a"});
  CHECK(Unsent.State.LastError.Code == ErrorCode::PeerUnreachable);
  CHECK(Unsent.State.LastError.Peer == "a");
}

TEST_CASE("work that leaves after it was given up is cancelled") {
  Driven Late;
  Late.feed(event::PeerLost{"a"});
  Late.feed(event::TimerFired{}, StartCommand + ClosingGrace);
  CHECK(Late.last<action::ChooseEndpoint>().Avoid.size() == 1);
  Late.feed(event::WorkSent{1});
  CHECK(Late.last<action::CancelAttempt>().Attempt == 1);
}

TEST_CASE("messages of other peers and of settled tries change nothing") {
  Driven Current;
  Current.feed(event::Refused{"b", 1});
  CHECK(Current.Last.empty());
  Current.feed(event::PieceArrived{"b", {"r", 1, "w", 0, "x"}});
  CHECK(Current.Last.empty());
  Current.feed(event::Failed{"a", 2});
  CHECK(Current.Last.empty());
  CHECK(Current.State.Phase == RequestPhase::Queued);
  Driven Operation(RequestKind::OperationRun);
  Operation.feed(event::OperationAnswered{"a", "a.1.2", {Outcome::Complete}});
  CHECK(Operation.Last.empty());
}

TEST_CASE("the endpoint and its reason reach the caller with the time to come "
          "back") {
  Driven Full;
  Full.Budget.Tokens = 0.0;
  Full.feed(event::Refused{"a", 1, ErrorCode::QueueFull,
                           std::chrono::milliseconds(40)});
  const auto &Answer = Full.last<action::AnswerOutcome>();
  CHECK(Answer.Result == Outcome::NotRun);
  CHECK(Answer.RetryAfter == std::chrono::milliseconds(40));
  CHECK(Answer.Reason.message().ends_with("no retry: no_budget"));
}

TEST_CASE("an operation that was not sent is unknown, since it may have run "
          "through another entry") {
  Driven Withdrawn(RequestKind::OperationRun);
  Withdrawn.feed(event::PeerLost{"a"});
  CHECK(Withdrawn.last<action::WithdrawWork>().Peer == "a");
  Withdrawn.feed(event::WorkWithdrawn{1});
  CHECK(Withdrawn.last<action::AnswerOutcome>().Result == Outcome::Unknown);
}
