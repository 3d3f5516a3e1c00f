#include "random_seed.hpp"
#include "request_world.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace marigoldyard;
using namespace marigoldyard::test;

namespace {

/// How a piece or the end of a stream is damaged on its way.
enum class Damage {
  None,
  Drop,
  Repeat,
  SwapWithNext,
  ChangeText,
  OtherRequest,
  OlderAttempt,
  NewerAttempt,
  OtherWeights,
  WrongNumber, ///< sequence of a piece, count of an end
  Count,
};

/// A piece, or the end when Last.
struct Part {
  std::string Request = "r0";
  std::uint32_t Attempt = 1;
  Digest Weights = "w1";
  std::uint64_t Number = 0;
  std::string Text;
  std::uint64_t Checksum = 0;
  bool Last = false;
};

std::vector<Part> cleanParts(const std::vector<std::string> &Texts) {
  std::vector<Part> Parts;
  StreamState Sender = makeStreamState("r0", 1, "w1", "engine");
  for (const std::string &Text : Texts) {
    Parts.push_back({.Number = Parts.size(), .Text = Text});
    checkPiece(Sender, {"r0", 1, "w1", Parts.back().Number, Text});
  }
  Parts.push_back({.Number = Texts.size(),
                   .Checksum = streamChecksum(Sender),
                   .Last = true});
  return Parts;
}

void damage(std::vector<Part> &Parts, Damage Kind, std::size_t Place) {
  if (Parts.empty())
    return;
  Place %= Parts.size();
  Part &Target = Parts[Place];
  switch (Kind) {
  case Damage::Drop:
    Parts.erase(Parts.begin() + static_cast<std::ptrdiff_t>(Place));
    return;
  case Damage::Repeat:
    Parts.insert(Parts.begin() + static_cast<std::ptrdiff_t>(Place),
                 Part(Target));
    return;
  case Damage::SwapWithNext:
    return std::swap(Target, Parts[(Place + 1) % Parts.size()]);
  case Damage::ChangeText:
    Target.Text += "x";
    return;
  case Damage::OtherRequest:
    Target.Request = "r1";
    return;
  case Damage::OlderAttempt:
    Target.Attempt = 0;
    return;
  case Damage::NewerAttempt:
    Target.Attempt = 2;
    return;
  case Damage::OtherWeights:
    Target.Weights = "w2";
    return;
  case Damage::WrongNumber:
    Target.Number += 1 + Place;
    return;
  default:
    return;
  }
}

/// A request whose only try is at the agent.
RequestState sentRequest(RetryBudget &Budget, bool Streaming) {
  RequestState State;
  State.Id = "r0";
  State.Streaming = Streaming;
  State.Idempotent = false;
  State.Deadline = TimePoint{} + std::chrono::seconds(1);
  step(State, request_event::RequestAdmitted{}, Budget, TimePoint{});
  step(State, request_event::EndpointChosen{"agent-0", "w1"}, Budget,
       TimePoint{});
  step(State, request_event::WorkSent{1}, Budget, TimePoint{});
  return State;
}

struct Received {
  std::string Text;
  bool Finished = false;
};

Received receive(const std::vector<Part> &Parts, bool Streaming) {
  RetryBudget Budget;
  RequestState State = sentRequest(Budget, Streaming);
  Received Result;
  for (const Part &Next : Parts) {
    RequestEvent Event = request_event::PieceArrived{
        "agent-0",
        {Next.Request, Next.Attempt, Next.Weights, Next.Number, Next.Text}};
    if (Next.Last)
      Event =
          request_event::EndArrived{"agent-0",
                                    {Next.Request, Next.Attempt, Next.Weights,
                                     Next.Number, Next.Checksum}};
    for (const RequestAction &Action :
         step(State, Event, Budget, TimePoint{})) {
      if (const auto *Piece =
              std::get_if<request_action::DeliverPiece>(&Action)) {
        Result.Text += Piece->Text;
      } else if (const auto *End =
                     std::get_if<request_action::FinishAnswer>(&Action)) {
        Result.Finished = true;
        Result.Text += End->Text;
      }
    }
  }
  return Result;
}

using Damages = std::vector<std::pair<std::uint8_t, std::uint8_t>>;

std::vector<Part> damagedParts(const std::vector<std::string> &Texts,
                               const Damages &Chosen) {
  std::vector<Part> Parts = cleanParts(Texts);
  for (auto [Kind, Place] : Chosen)
    damage(Parts, static_cast<Damage>(Kind % static_cast<int>(Damage::Count)),
           Place);
  return Parts;
}

std::string join(const std::vector<std::string> &Texts) {
  std::string Whole;
  for (const std::string &Text : Texts)
    Whole += Text;
  return Whole;
}

} // namespace

TEST_CASE(
    "a damaged stream never finishes with anything but the whole answer") {
  ThrowOnViolation Handler;
  CHECK(rc::check([](const std::vector<std::string> &Texts,
                     const Damages &Chosen, bool Streaming) {
    Received Result = receive(damagedParts(Texts, Chosen), Streaming);
    std::string Whole = join(Texts);
    if (Result.Finished)
      RC_ASSERT(Result.Text == Whole);
  }));
}

TEST_CASE("an undamaged stream always finishes") {
  ThrowOnViolation Handler;
  CHECK(rc::check([](const std::vector<std::string> &Texts, bool Streaming) {
    Received Result = receive(cleanParts(Texts), Streaming);
    RC_ASSERT(Result.Finished);
    RC_ASSERT(Result.Text == join(Texts));
  }));
}

TEST_CASE("late pieces of an older try do not break the current one") {
  ThrowOnViolation Handler;
  CHECK(
      rc::check([](const std::vector<std::string> &Texts, std::uint8_t Place) {
        std::vector<Part> Parts = cleanParts(Texts);
        std::size_t Repeated = Place % Parts.size();
        damage(Parts, Damage::Repeat, Repeated);
        damage(Parts, Damage::OlderAttempt, Repeated);
        RC_ASSERT(receive(Parts, true).Finished);
      }));
}

TEST_CASE("each kind of damage to a piece keeps the stream from finishing") {
  ThrowOnViolation Handler;
  for (int Kind = 1; Kind < static_cast<int>(Damage::Count); ++Kind) {
    CAPTURE(Kind);
    std::vector<Part> Parts = cleanParts({"a", "b", "c"});
    damage(Parts, static_cast<Damage>(Kind), 1);
    CHECK_FALSE(receive(Parts, true).Finished);
  }
}

TEST_CASE("without the stream check the invariants of answers are reported as "
          "violated") {
  ThrowOnViolation Handler;
  auto Seen = [](Invariant Target, Damage Kind) {
    ScopedFault Fault(Target);
    std::vector<Part> Parts = cleanParts({"a", "b", "c"});
    damage(Parts, Kind, 1);
    try {
      receive(Parts, true);
    } catch (const Violated &Violation) {
      return Violation.Which == Target;
    }
    return false;
  };
  for (Damage Kind :
       {Damage::Drop, Damage::Repeat, Damage::SwapWithNext, Damage::ChangeText,
        Damage::OtherRequest, Damage::OlderAttempt, Damage::NewerAttempt,
        Damage::WrongNumber}) {
    CAPTURE(static_cast<int>(Kind));
    CHECK(Seen(Invariant::WholeAnswer, Kind));
  }
  CHECK(Seen(Invariant::UnmixedWeights, Damage::OtherWeights));
}
