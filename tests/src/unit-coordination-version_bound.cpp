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

// Guards against refusals of everything after an outage of the store for all:
// the bound counts only while the store works.
TEST_CASE("an outage that no other gateway saw through extends the bound") {
  DeclarationEvidence Evidence{Start + 9s, Start, Start + 8s, std::nullopt};
  CHECK(!wasInContact(Evidence));
  CHECK(versionDeadlines({}, Evidence).RequiredAt == Start + 8s + 7500ms);
}

// Guards against the use of old weights after a cut of one gateway from the
// store while the others were in contact.
TEST_CASE("a report of another gateway goes before an outage of this one") {
  DeclarationEvidence Evidence{Start + 9s, Start, Start + 8s, Start + 2s};
  CHECK(versionDeadlines({}, Evidence).RequiredAt ==
        Start + 2s - 300ms + 7500ms);
  // The own lower bound may be later than the reported one.
  Evidence.ConfirmedAt = Start + 3s;
  CHECK(versionDeadlines({}, Evidence).RequiredAt == Start + 3s + 7500ms);
}

TEST_CASE("an outage before the last response does not matter") {
  DeclarationEvidence Evidence{Start + 1s, Start, Start - 3s, std::nullopt};
  CHECK(wasInContact(Evidence));
  CHECK(versionDeadlines({}, Evidence).RequiredAt == Start + 7500ms);
}

// Guards against refusals of everything by a gateway whose calls were over the
// rate limit until after the declaration.
TEST_CASE("a report counts for a gateway without news from the store") {
  DeclarationEvidence Evidence{Start + 9s, Start, std::nullopt, Start + 8s};
  CHECK(versionDeadlines({}, Evidence).RequiredAt ==
        Start + 8s - 300ms + 7500ms);
  // The declaration is no younger than the own knowledge of it.
  Evidence.ReportedAt = Start + 12s;
  CHECK(versionDeadlines({}, Evidence).RequiredAt == Start + 9s + 7500ms);
}

// Guards against a bound that moves with each report that arrives late.
TEST_CASE("the least delayed report of each sender counts") {
  DeclarationReports Reports;
  addReport(Reports, "a", Start + 3s);
  CHECK(latestReport(Reports) == Start + 3s);
  addReport(Reports, "a", Start + 1s);
  addReport(Reports, "a", Start + 2s);
  CHECK(latestReport(Reports) == Start + 1s);
  addReport(Reports, "b", Start + 1500ms);
  CHECK(latestReport(Reports) == Start + 1500ms);
}

TEST_CASE("a process that has just started trusts reports, or little time") {
  DeclarationEvidence Evidence{Start, std::nullopt, std::nullopt, std::nullopt};
  CHECK(versionDeadlines({}, Evidence).RequiredAt == Start + 2500ms);
  CHECK(versionDeadlines({}, Evidence).StartBy == Start + 2500ms);
  Evidence.ReportedAt = Start - 1s;
  CHECK(versionDeadlines({}, Evidence).RequiredAt ==
        Start - 1s - 300ms + 7500ms);
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
