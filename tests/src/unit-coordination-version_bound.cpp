#include "marigoldyard/coordination/version_bound.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{100s};

/// Evidence of a gateway that was in contact with the store.
DeclarationEvidence evidenceInContact(Duration Delay) {
  return {Start + Delay, Start, std::nullopt, std::nullopt};
}

} // namespace

// Guards against refusals up to two watches too early while nothing changes in
// the store.
TEST_CASE("a watch without changes confirms the time of its wait") {
  CHECK(confirmedByWatch(Start, Start + 1520ms, 1500ms, false) ==
        Start + 1500ms);
  // A late response says nothing about the time after the wait.
  CHECK(confirmedByWatch(Start, Start + 3s, 1500ms, false) == Start + 1500ms);
  // A change may have been acknowledged just after the watch was sent.
  CHECK(confirmedByWatch(Start, Start + 1520ms, 1500ms, true) == Start);
  // A response without changes before the end of the wait is unexpected.
  CHECK(confirmedByWatch(Start, Start + 200ms, 1500ms, false) == Start);
}

// Guards against a bound that counts from when the gateway learned of a
// declaration: a late response of the store extended the use of old weights.
TEST_CASE("the bound does not move when a gateway learns late") {
  const VersionBoundSettings Settings;
  for (Duration Delay : {Duration(0ms), Duration(2s), Duration(6s)}) {
    const auto Deadlines = versionDeadlines(Settings, evidenceInContact(Delay));
    CHECK(Deadlines.RequiredAt == Start + 7500ms);
    CHECK(Deadlines.StartBy == Start + 7700ms);
  }
}

// Guards against late starts after a delay longer than the whole bound.
TEST_CASE("a declaration that is learned after its bound is required at once") {
  const auto Deadlines = versionDeadlines({}, evidenceInContact(9s));
  CHECK(Deadlines.RequiredAt < Start + 9s);
  CHECK(Deadlines.StartBy < Start + 9s);
}

// Guards against the use of old weights while the store turns away gateways
// and serves the operator: what one gateway cannot see is no outage for all.
TEST_CASE("a time without contact does not extend the bound, and an outage "
          "that others saw does") {
  DeclarationEvidence Evidence{Start + 9s, Start, std::nullopt, std::nullopt};
  CHECK(versionDeadlines({}, Evidence).RequiredAt == Start + 7500ms);
  Evidence.OutageEndedAt = Start + 7s;
  CHECK(versionDeadlines({}, Evidence).RequiredAt == Start + 7s + 7500ms);
}

// Guards against refusals of everything after an outage for all, and against
// the use of old weights after one that some did not see.
TEST_CASE("an outage counts as far as others saw it") {
  CHECK(sawOutage({Start, Start + 8s}));
  CHECK_FALSE(sawOutage({Start, Start - 8s}));
  CHECK_FALSE(sawOutage({std::nullopt, Start}));
  OutageInquiry Inquiry{17, Start + 9s, Start + 8s, 4, {}};
  Inquiry.ClosesAt = Start + 10s;
  CHECK_FALSE(sharedOutageEnd(Inquiry));
  recordOutageAnswer(Inquiry, "10.0.0.1", 700ms);
  recordOutageAnswer(Inquiry, "10.0.0.1", 700ms);
  CHECK_FALSE(sharedOutageEnd(Inquiry));
  recordOutageAnswer(Inquiry, "10.0.0.2", 1200ms);
  CHECK(sharedOutageEnd(Inquiry) == Start + 7800ms);
  recordOutageAnswer(Inquiry, "10.0.0.3", 0ms);
  CHECK(sharedOutageEnd(Inquiry) == Start + 7800ms);
  CHECK(isOpen(Inquiry, Start + 9999ms));
  CHECK_FALSE(isOpen(Inquiry, Start + 10s));
  // This one had contact in the middle.
  recordOutageAnswer(Inquiry, "10.0.0.4", 5s);
  CHECK_FALSE(isOpen(Inquiry, Start + 9s));
  CHECK(sharedOutageEnd(Inquiry) == Start + 4s);
  CHECK_FALSE(sharedOutageEnd({17, Start + 9s, Start + 8s, 0, {}}));
}

// Guards against refusals by a gateway that was cut off from the store while
// the others were in contact.
TEST_CASE("the latest lower bound counts, whoever knows it") {
  DeclarationEvidence Evidence{Start + 9s, Start, Start + 2s, std::nullopt};
  CHECK(versionDeadlines({}, Evidence).RequiredAt == Start + 2s + 7500ms);
  Evidence.ConfirmedAt = Start + 3s;
  CHECK(versionDeadlines({}, Evidence).RequiredAt == Start + 3s + 7500ms);
  // The declaration is no younger than the own knowledge of it.
  Evidence.ReportedAt = Start + 12s;
  CHECK(versionDeadlines({}, Evidence).RequiredAt == Start + 9s + 7500ms);
}

// Guards against a bound that moves by the time that a message waited, on its
// way or before a process that stood still.
TEST_CASE("an age counts from when its question was sent") {
  AgeQuestions Questions;
  recordQuestion(Questions, 17, Start);
  recordQuestion(Questions, 18, Start + 1s);
  CHECK(answeredBound(Questions, 17, 400ms) == Start - 400ms);
  CHECK(answeredBound(Questions, 18, 0ms) == Start + 1s);
  CHECK(answeredBound(Questions, 18, -5s) == Start + 1s);
  // An answer to an earlier process has a number that is not known.
  CHECK_FALSE(answeredBound(Questions, 19, 400ms));
}

TEST_CASE("old questions are forgotten") {
  AgeQuestions Questions;
  for (std::uint64_t Number = 1; Number <= 1000; ++Number)
    recordQuestion(Questions, Number, Start);
  CHECK(Questions.Recent.size() <= 64);
  CHECK_FALSE(answeredBound(Questions, 1, 0ms));
  CHECK(answeredBound(Questions, 1000, 0ms));
}

TEST_CASE("a process that has just started trusts reports, or little time") {
  DeclarationEvidence Evidence{Start, std::nullopt, std::nullopt, std::nullopt};
  CHECK(versionDeadlines({}, Evidence).RequiredAt == Start + 2500ms);
  CHECK(versionDeadlines({}, Evidence).StartBy == Start + 2500ms);
  Evidence.ReportedAt = Start - 1s;
  CHECK(versionDeadlines({}, Evidence).RequiredAt == Start - 1s + 7500ms);
}

TEST_CASE("margins take up a limited part of short bounds") {
  VersionBoundSettings Settings;
  Settings.Limit = 2s;
  const auto Deadlines = versionDeadlines(Settings, evidenceInContact(0ms));
  CHECK(Deadlines.RequiredAt == Start + 1700ms);
  CHECK(Deadlines.StartBy == Start + 1700ms);
  Settings.Limit = 1s;
  const DeclarationEvidence Unknown{Start, {}, {}, {}};
  CHECK(versionDeadlines(Settings, Unknown).RequiredAt <= Start + 1s);
}
