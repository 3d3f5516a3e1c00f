#include "marigoldyard/protocol/digest.hpp"
#include "marigoldyard/protocol/link_report.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <random>

using namespace marigoldyard;

namespace {

const KeyRing Ring{{{"k1", "first secret"}}};
const Digest Weights = sha256Hex(std::string_view("weights"));
/// Bytes of a report on the design page: 24 links x 50 B / 0.45 s = 2.7 KB/s.
constexpr std::size_t ReportBudgetBytes = 50;
constexpr double ReportsPerSecond = 1 / 0.45;
constexpr double Links = 24;
constexpr double ControlBytesPerSecond = 3000;
/// Average of the relay of configuration, see docs/decisions/configuration.md.
constexpr double RelayBytesPerSecond = 400;

Message reportOf(std::uint64_t Sequence) {
  LoadReport Load;
  Load.QueuedTokens[0] = 120;
  Load.QueuedTokens[1] = 40'000 + Sequence % 1000;
  Load.QueuedTokens[2] = 70'000;
  Load.Running = 7;
  Load.Slots = 8;
  Load.TokensPerSecond = 3'900;
  Load.Ready = true;
  Load.ReadyWeights = {Weights};
  return {{"agent-127",
           0x6A5B4C3D12345678,
           "entry-3/messages",
           Sequence,
           5'300,
           {1'790'000'000'000'000, 3}},
          Report{Load}};
}

/// A link whose next report is compact, and what the receiver knows.
struct Established {
  ReportLink Sender;
  ReportBases Receiver{16};
  std::uint64_t Sequence = 10'000'000;

  Established() {
    for (std::uint32_t I = 0; I < FullReportsAtStart; ++I)
      Receiver.remember(*decodeMessage(
          encodeOnLink(Sender, reportOf(++Sequence), Ring), Ring));
  }
  std::vector<std::uint8_t> next() {
    auto Bytes = encodeOnLink(Sender, reportOf(++Sequence), Ring);
    REQUIRE(isCompactReport(Bytes));
    return Bytes;
  }
};

void checkEqual(const Message &Got, const Message &Sent) {
  CHECK(Got.Head.Sender == Sent.Head.Sender);
  CHECK(Got.Head.SenderIncarnation == Sent.Head.SenderIncarnation);
  CHECK(Got.Head.Receiver == Sent.Head.Receiver);
  CHECK(Got.Head.Sequence == Sent.Head.Sequence);
  CHECK(Got.Head.SenderRevision == Sent.Head.SenderRevision);
  CHECK(std::get<Report>(Got.Content).Load ==
        std::get<Report>(Sent.Content).Load);
}

} // namespace

TEST_CASE("24 links stay within the bytes that control may use") {
  ReportLink Link;
  std::size_t Sum = 0;
  for (std::uint32_t I = 0; I < 10 * ReportsPerFull; ++I) {
    auto Bytes = encodeOnLink(Link, reportOf(10'000'000 + I), Ring);
    if (isCompactReport(Bytes))
      CHECK(Bytes.size() <= ReportBudgetBytes);
    Sum += Bytes.size();
  }
  const double Each = static_cast<double>(Sum) / (10.0 * ReportsPerFull);
  CHECK(Links * Each * ReportsPerSecond + RelayBytesPerSecond <=
        ControlBytesPerSecond);
}

TEST_CASE("a compact report is completed to the one that was sent, so that "
          "routing loses nothing") {
  Established Link;
  for (int I = 0; I < 5; ++I) {
    auto Bytes = Link.next();
    auto Got = Link.Receiver.complete(Bytes, Ring);
    REQUIRE(Got);
    checkEqual(*Got, reportOf(Link.Sequence));
  }
}

TEST_CASE("a change beyond the load is sent in full, so that a receiver never "
          "completes a report from outdated weights or readiness") {
  auto Changes = std::vector<std::function<void(Message &)>>{
      [](Message &M) { std::get<Report>(M.Content).Load.ReadyWeights.clear(); },
      [](Message &M) { std::get<Report>(M.Content).Load.Ready = false; },
      [](Message &M) { std::get<Report>(M.Content).Load.Draining = true; },
      [](Message &M) { std::get<Report>(M.Content).Load.Slots = 9; },
      [](Message &M) { M.Head.SenderRevision = 5'301; },
      [](Message &M) { M.Head.SenderIncarnation += 1ULL << 32; },
      [](Message &M) { M.Head.Receiver = "entry-4/messages"; },
      [](Message &M) { M.Head.Sender = "agent-128"; }};
  for (const auto &Change : Changes) {
    Established Link;
    Link.next();
    Message Changed = reportOf(++Link.Sequence);
    Change(Changed);
    CHECK_FALSE(isCompactReport(encodeOnLink(Link.Sender, Changed, Ring)));
  }
}

TEST_CASE("full reports are repeated, so that a receiver that lost the base "
          "recovers") {
  ReportLink Link;
  std::uint32_t SinceFull = 0;
  std::uint32_t Longest = 0;
  for (std::uint32_t I = 0; I < 5 * ReportsPerFull; ++I) {
    const bool Compact =
        isCompactReport(encodeOnLink(Link, reportOf(1 + I), Ring));
    CHECK((I >= FullReportsAtStart || !Compact));
    SinceFull = Compact ? SinceFull + 1 : 0;
    Longest = std::max(Longest, SinceFull);
  }
  CHECK(Longest == ReportsPerFull - 1);
  ReportLink Fresh; // a new connection
  CHECK_FALSE(isCompactReport(encodeOnLink(Fresh, reportOf(1000), Ring)));
}

TEST_CASE("a compact report is refused without its base or with another one") {
  Established Link;
  ReportBases Empty(16);
  const auto Bytes = Link.next();
  CHECK(Empty.complete(Bytes, Ring).error().Code == ErrorCode::Unauthenticated);
  const Message Base = reportOf(Link.Sequence - 1);
  for (int Field = 0; Field < 4; ++Field) {
    Message Other = Base;
    switch (Field) {
    case 0:
      Other.Head.Sequence += 5;
      break;
    case 1:
      Other.Head.Sender = "agent-128";
      break;
    case 2:
      Other.Head.Receiver = "entry-4/messages";
      break;
    default:
      Other.Head.SenderIncarnation += 1ULL << 32;
    }
    ReportBases Wrong(16);
    Wrong.remember(Other);
    CHECK(Wrong.complete(Bytes, Ring).error().Code ==
          ErrorCode::Unauthenticated);
  }
  CHECK(Link.Receiver.complete(Bytes, Ring));
}

TEST_CASE("altered, cut and foreign bytes of a compact report are refused and "
          "never throw") {
  Established Link;
  const auto Bytes = Link.next();
  for (std::size_t I = 0; I < Bytes.size(); ++I)
    for (std::uint8_t Bit = 0; Bit < 8; ++Bit) {
      auto Altered = Bytes;
      Altered[I] ^= static_cast<std::uint8_t>(1U << Bit);
      CHECK_FALSE(Link.Receiver.complete(Altered, Ring));
    }
  for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
    CHECK_FALSE(Link.Receiver.complete(std::span(Bytes).first(Size), Ring));
  const KeyRing Other{{{"k1", "another secret"}}};
  CHECK_FALSE(Link.Receiver.complete(Bytes, Other));
  std::mt19937_64 Source(7);
  for (int I = 0; I < 10'000; ++I) {
    std::vector<std::uint8_t> Noise(Source() % 96);
    for (auto &Byte : Noise)
      Byte = static_cast<std::uint8_t>(Source());
    if (!Noise.empty())
      Noise[0] = 2;
    CHECK_FALSE(Link.Receiver.complete(Noise, Ring));
  }
}

TEST_CASE("both keys are accepted during a rotation") {
  Established Link;
  const KeyRing Both{{{"k2", "second secret"}, {"k1", "first secret"}}};
  CHECK(Link.Receiver.complete(Link.next(), Both));
}

TEST_CASE("the table of bases is bounded and forgets the longest silent") {
  ReportBases Bases(2);
  for (std::uint64_t I = 1; I <= 3; ++I) {
    Message Full = reportOf(I);
    Full.Head.SenderIncarnation = I;
    Bases.remember(Full);
    CHECK(Bases.size() == std::min<std::uint64_t>(I, 2));
  }
  Message NoReport = reportOf(9);
  NoReport.Content = CancelWork{};
  NoReport.Head.SenderIncarnation = 9;
  Bases.remember(NoReport);
  CHECK(Bases.size() == 2);
}
