#include "mailbox_fixture.hpp"
#include "marigoldyard/protocol/link_report.hpp"
#include "marigoldyard/protocol/message_frames.hpp"
#include "marigoldyard/protocol/replay_filter.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

using namespace marigoldyard;
using namespace marigoldyard::test;

TEST_CASE("messages of one sender arrive in order with their header") {
  Endpoint From(optionsOf("a")), To(optionsOf("b"));
  for (int I = 0; I < 100; ++I)
    REQUIRE(From.Box->send(To.address(), cancelOf(std::to_string(I), "b")));
  for (int I = 0; I < 100; ++I) {
    auto M = To.Messages.pop(Patience);
    REQUIRE(M);
    CHECK(requestOf(*M) == std::to_string(I));
    CHECK(M->Head.Sender == "a");
    CHECK(M->Head.SenderIncarnation == 1);
  }
  CHECK(From.Box->counters().Sent == 100);
}

TEST_CASE("withdrawn messages are never delivered, which proves not_run") {
  Endpoint From(optionsOf("a"));
  auto To = std::make_unique<Endpoint>(optionsOf("b"));
  std::string Address = To->address();
  std::uint16_t Port = To->Box->port();
  To.reset();
  for (int I = 0; I < 10; ++I)
    REQUIRE(From.Box->send(Address, cancelOf(std::to_string(I), "b")));
  CHECK(From.Box->outboxSize(Address) == 10);
  auto IsOdd = [](const Message &M) {
    return std::stoi(requestOf(M)) % 2 == 1;
  };
  CHECK(From.Box->withdraw(Address, IsOdd) == 5);
  CHECK(From.Box->withdraw(Address, IsOdd) == 0);
  To = std::make_unique<Endpoint>(optionsOf("b", Port));
  for (int I = 0; I < 10; I += 2)
    CHECK(nextRequest(*To) == std::to_string(I));
  REQUIRE(From.Box->send(Address, cancelOf("last", "b")));
  CHECK(nextRequest(*To) == "last");
  // What was handed to nng cannot be withdrawn.
  CHECK(From.Box->withdraw(Address, [](const Message &) { return true; }) == 0);
}

TEST_CASE("outbox and table of peers are bounded, so that a dead peer does not "
          "exhaust memory") {
  auto Options = optionsOf("a");
  Options.OutboxMessages = 3;
  Options.MaxPeers = 2;
  Options.MaxMessageBytes = 10'000;
  Options.OutboxBytes = 12'000;
  Endpoint From(Options);
  for (int I = 0; I < 3; ++I)
    CHECK(From.Box->send("127.0.0.3:1", cancelOf("x", "b")));
  CHECK_FALSE(From.Box->send("127.0.0.3:1", cancelOf("x", "b")));
  Message Large = cancelOf("x", "b");
  Large.Content = ChunkData{{}, std::vector<std::uint8_t>(9'000)};
  CHECK(From.Box->send("127.0.0.3:2", Large));
  CHECK_FALSE(From.Box->send("127.0.0.3:2", Large));
  Large.Content = ChunkData{{}, std::vector<std::uint8_t>(11'000)};
  From.Box->removePeer("127.0.0.3:2");
  CHECK_FALSE(From.Box->send("127.0.0.3:2", Large));
  CHECK_FALSE(From.Box->addPeer("127.0.0.3:3"));
  From.Box->removePeer("127.0.0.3:1");
  CHECK(From.Box->addPeer("127.0.0.3:3"));
  CHECK_FALSE(From.Box->addPeer("not an address"));
  CHECK(From.Box->counters().Refused == 3);
  CHECK(From.Box->counters().Discarded == 4);
}

TEST_CASE("a peer that is removed and added again is still understood") {
  Endpoint From(optionsOf("a")), To(optionsOf("b"));
  for (int I = 0; I < 5; ++I) {
    REQUIRE(From.Box->send(To.address(), cancelOf(std::to_string(I), "b")));
    CHECK(nextRequest(To) == std::to_string(I));
    From.Box->removePeer(To.address());
  }
  CHECK(To.Box->counters().Replayed == 0);
}

TEST_CASE("opened and lost connections are told, so that a dead peer is "
          "noticed at once") {
  Endpoint From(optionsOf("a"));
  auto To = std::make_unique<Endpoint>(optionsOf("b"));
  std::string Address = To->address();
  std::uint16_t Port = To->Box->port();
  REQUIRE(From.Box->addPeer(Address));
  CHECK(From.Opened.pop(Patience) == Address);
  CHECK(From.Box->connected(Address));
  To.reset();
  CHECK(From.Lost.pop(Patience) == Address);
  CHECK_FALSE(From.Box->connected(Address));
  To = std::make_unique<Endpoint>(optionsOf("b", Port));
  CHECK(From.Opened.pop(Patience) == Address);
}

TEST_CASE("keys are replaced without a restart") {
  Endpoint From(optionsOf("a")), To(optionsOf("b"));
  KeyRing New{{{"k2", "other"}}};
  From.Box->replaceKeys(New);
  To.Box->replaceKeys({{{"k1", "secret"}, {"k2", "other"}}});
  REQUIRE(From.Box->send(To.address(), cancelOf("1", "b")));
  CHECK(nextRequest(To) == "1");
  From.Box->replaceKeys({}); // ignored: without a key nothing can be signed
  REQUIRE(From.Box->send(To.address(), cancelOf("2", "b")));
  CHECK(nextRequest(To) == "2");
}

TEST_CASE("an address that is taken is an error, not a crash") {
  Endpoint To(optionsOf("b"));
  auto Result =
      Mailbox::open(optionsOf("c", To.Box->port()), Ring, MailboxHandlers{});
  REQUIRE_FALSE(Result);
  CHECK(Result.error().Code == ErrorCode::InvalidSettings);
  CHECK_FALSE(Mailbox::open(optionsOf("c"), {}, MailboxHandlers{}));
}

namespace {

Message reportTo(std::string To, std::uint64_t Tokens) {
  Message M;
  M.Head.Receiver = std::move(To);
  LoadReport Load;
  Load.QueuedTokens[0] = Tokens;
  Load.ReadyWeights = {Digest(64, 'a')};
  M.Content = Report{Load};
  return M;
}

std::uint64_t nextTokens(Endpoint &To) {
  auto M = To.Messages.pop(Patience);
  REQUIRE(M);
  const LoadReport &Load = std::get<Report>(M->Content).Load;
  CHECK(Load.ReadyWeights.size() == 1);
  CHECK(M->Head.Sender == "a");
  CHECK(M->Head.Receiver == "b");
  return Load.QueuedTokens[0];
}

} // namespace

TEST_CASE("reports are short on an established connection and whole on a new "
          "one, so that a restarted receiver misses none") {
  Endpoint From(optionsOf("a"));
  auto To = std::make_unique<Endpoint>(optionsOf("b"));
  const std::string Address = To->address();
  const std::uint16_t Port = To->Box->port();
  for (std::uint64_t I = 0; I < 10; ++I) {
    REQUIRE(From.Box->send(Address, reportTo("b", I)));
    CHECK(nextTokens(*To) == I);
  }
  const std::uint64_t Before = From.Box->counters().SentBytes;
  REQUIRE(From.Box->send(Address, reportTo("b", 10)));
  CHECK(nextTokens(*To) == 10);
  CHECK(From.Box->counters().SentBytes - Before <= 50);
  To.reset();
  REQUIRE(From.Lost.pop(Patience) == Address);
  To = std::make_unique<Endpoint>(optionsOf("b", Port));
  for (std::uint64_t I = 0; I < 5; ++I) {
    REQUIRE(From.Box->send(Address, reportTo("b", I)));
    CHECK(nextTokens(*To) == I);
  }
  CHECK(To->Box->counters().Unauthenticated == 0);
}

TEST_CASE("a repeated short report is dropped, so that a recorded one does not "
          "keep a dead agent live") {
  ReplayFilter Replays(4);
  ReportBases Bases(4);
  ReportLink Link;
  Message Sent = reportTo("b", 1);
  Sent.Head.Sender = "a";
  Sent.Head.SenderIncarnation = 1;
  std::vector<std::uint8_t> Bytes;
  for (std::uint32_t I = 0; I <= FullReportsAtStart; ++I) {
    Sent.Head.Sequence = I + 1;
    Bytes = encodeOnLink(Link, Sent, Ring);
    if (!isCompactReport(Bytes)) {
      auto Full = decodeMessage(Bytes, Ring);
      CHECK(Replays.check(Full->Head) == ReplayVerdict::Accepted);
      Bases.remember(*Full);
    }
  }
  REQUIRE(isCompactReport(Bytes));
  for (ReplayVerdict Expected :
       {ReplayVerdict::Accepted, ReplayVerdict::RepeatedSequence}) {
    auto Got = Bases.complete(Bytes, Ring);
    REQUIRE(Got);
    CHECK(Replays.check(Got->Head) == Expected);
  }
}

// Guards against messages that exceed what a receiver sets aside for a
// connection without a key.
TEST_CASE("messages of several frames arrive whole and in their order") {
  Endpoint From(optionsOf("a"));
  Endpoint To(optionsOf("b"));
  for (const std::size_t Size : {100'000UL, 10UL, 16'300UL, 1'000'000UL}) {
    Message Large = cancelOf("x", "b");
    Large.Content = ChunkData{{}, std::vector<std::uint8_t>(Size, 7)};
    REQUIRE(From.Box->send(To.address(), Large));
    REQUIRE(From.Box->send(To.address(), cancelOf(std::to_string(Size), "b")));
  }
  for (const std::size_t Size : {100'000UL, 10UL, 16'300UL, 1'000'000UL}) {
    const auto Large = To.Messages.pop(Patience);
    REQUIRE(Large);
    CHECK(std::get<ChunkData>(Large->Content).Bytes ==
          std::vector<std::uint8_t>(Size, 7));
    CHECK(nextRequest(To) == std::to_string(Size));
  }
  CHECK(To.Box->counters().Malformed == 0);
}

// Guards against strangers that keep processes with a key out.
TEST_CASE("connections without a message make room for new ones") {
  auto Narrow = optionsOf("b");
  Narrow.MaxUnprovenConnections = 2;
  Endpoint To(Narrow);
  Endpoint Known(optionsOf("a"));
  REQUIRE(Known.Box->send(To.address(), cancelOf("first", "b")));
  CHECK(nextRequest(To) == "first");
  std::vector<std::unique_ptr<Endpoint>> Silent;
  for (int Number = 0; Number < 6; ++Number) {
    auto Options = optionsOf("s" + std::to_string(Number));
    Options.ReconnectLowest = Options.ReconnectHighest = std::chrono::hours(1);
    Silent.push_back(std::make_unique<Endpoint>(Options));
    REQUIRE(Silent.back()->Box->addPeer(To.address()));
    REQUIRE(Silent.back()->Opened.pop(Patience));
  }
  CHECK(eventually([&] { return To.Box->counters().ConnectionsRefused >= 4; }));
  REQUIRE(Known.Box->send(To.address(), cancelOf("second", "b")));
  CHECK(nextRequest(To) == "second");
  CHECK(Known.Box->connected(To.address()));
}

// Guards against frames that are received after the end of their connection
// and stay accounted for ever, so that no long message is accepted any more.
TEST_CASE("connections that end in mid-message leave room for long messages") {
  namespace net = boost::asio;
  Endpoint To(optionsOf("b"));
  const auto First =
      splitMessage(std::vector<std::uint8_t>(4'000'000, 1), Ring).front();
  // Handshake of PUSH over TCP, and the length of the frame.
  std::vector<std::uint8_t> Bytes{0, 'S', 'P', 0, 0, 0x50, 0, 0};
  for (int Shift = 56; Shift >= 0; Shift -= 8)
    Bytes.push_back(static_cast<std::uint8_t>(First.size() >> Shift));
  Bytes.insert(Bytes.end(), First.begin(), First.end());
  net::io_context Context;
  for (int Number = 0; Number < 200; ++Number) {
    net::ip::tcp::socket Socket(Context);
    Socket.connect({net::ip::make_address("127.0.0.3"), To.Box->port()});
    net::write(Socket, net::buffer(Bytes));
  }
  Endpoint Known(optionsOf("a"));
  REQUIRE(eventually([&] {
    Message Large = cancelOf("x", "b");
    Large.Content = ChunkData{{}, std::vector<std::uint8_t>(100'000, 7)};
    REQUIRE(Known.Box->send(To.address(), Large));
    return To.Messages.pop(std::chrono::milliseconds(200)).has_value();
  }));
  for (int Number = 0; Number < 5; ++Number) {
    Message Large = cancelOf("x", "b");
    Large.Content = ChunkData{{}, std::vector<std::uint8_t>(3'000'000, 7)};
    REQUIRE(Known.Box->send(To.address(), Large));
    REQUIRE(To.Messages.pop(Patience));
  }
}
