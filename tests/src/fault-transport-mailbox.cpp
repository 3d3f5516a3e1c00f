#include "mailbox_fixture.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/push.h>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>
#include <set>
#include <sys/socket.h>
#include <unistd.h>

using namespace marigoldyard;
using namespace marigoldyard::test;

namespace {

/// A PUSH socket that sends any bytes, as a hostile or faulty peer could.
struct RawPush {
  nng_socket Socket = NNG_SOCKET_INITIALIZER;

  explicit RawPush(const std::string &Address) {
    REQUIRE(nng_push0_open(&Socket) == 0);
    REQUIRE(nng_dial(Socket, ("tcp://" + Address).c_str(), nullptr, 0) == 0);
  }
  ~RawPush() { nng_close(Socket); }
  void send(std::vector<std::uint8_t> Bytes) const {
    REQUIRE(nng_send(Socket, Bytes.data(), Bytes.size(), 0) == 0);
  }
  void send(const Message &Content, const KeyRing &Keys = Ring) const {
    send(encodeMessage(Content, Keys));
  }
};

/// A peer whose connection goes silent without being closed.
struct SilentListener {
  int Listener = ::socket(AF_INET, SOCK_STREAM, 0);
  int Accepted = -1;
  std::uint16_t Port = 0;

  SilentListener() {
    const int On = 1;
    ::setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = ::inet_addr("127.0.0.3");
    socklen_t Size = sizeof Address;
    auto *Name = reinterpret_cast<sockaddr *>(&Address);
    REQUIRE(::bind(Listener, Name, Size) == 0);
    REQUIRE(::listen(Listener, 8) == 0);
    REQUIRE(::getsockname(Listener, Name, &Size) == 0);
    Port = ntohs(Address.sin_port);
  }
  ~SilentListener() {
    stopListening();
    ::close(Accepted);
  }
  SilentListener(const SilentListener &) = delete;
  SilentListener &operator=(const SilentListener &) = delete;
  /// Accepts one connection, with or without the handshake of a PULL socket,
  /// and never reads from it.
  void accept(bool WithHandshake) {
    Accepted = ::accept(Listener, nullptr, nullptr);
    REQUIRE(Accepted >= 0);
    const std::uint8_t Handshake[] = {0, 'S', 'P', 0, 0, 0x51, 0, 0};
    if (WithHandshake)
      REQUIRE(::send(Accepted, Handshake, sizeof Handshake, 0) ==
              sizeof Handshake);
  }
  void stopListening() {
    if (Listener >= 0)
      ::close(Listener);
    Listener = -1;
  }
  std::string address() const { return "127.0.0.3:" + std::to_string(Port); }
};

Message from(Incarnation Number, std::uint64_t Sequence, const char *Request,
             std::string To = "b") {
  Message M = cancelOf(Request, std::move(To));
  M.Head.Sender = "a";
  M.Head.SenderIncarnation = Number;
  M.Head.Sequence = Sequence;
  return M;
}

nng_socket openRep(const std::string &Url) {
  nng_socket Socket;
  REQUIRE(nng_rep0_open(&Socket) == 0);
  REQUIRE(eventually(
      [&] { return nng_listen(Socket, Url.c_str(), nullptr, 0) == 0; }));
  nng_socket_set_ms(Socket, NNG_OPT_RECVTIMEO, 20'000);
  return Socket;
}

std::string receiveText(nng_socket Socket) {
  char Bytes[64];
  std::size_t Size = sizeof Bytes;
  return nng_recv(Socket, Bytes, &Size, 0) == 0 ? std::string(Bytes, Size)
                                                : std::string();
}

} // namespace

TEST_CASE("forged, misdirected, replayed and outdated messages are dropped") {
  Endpoint To(optionsOf("b"));
  RawPush Raw(To.address());
  Raw.send(from(5, 10, "first"));
  Raw.send(from(5, 11, "forged"), {{{"k1", "wrong"}}});
  Raw.send(from(5, 12, "misdirected", "c"));
  Raw.send(from(5, 10, "replayed"));
  Raw.send(from(4, 99, "older incarnation"));
  Raw.send(std::vector<std::uint8_t>{});
  Raw.send(std::vector<std::uint8_t>(1000, 0xFF));
  Raw.send(from(5, 13, "second"));
  CHECK(nextRequest(To) == "first");
  CHECK(nextRequest(To) == "second");
  MailboxCounters Counters = To.Box->counters();
  CHECK(Counters.Received == 2);
  CHECK(Counters.Unauthenticated == 1);
  CHECK(Counters.WrongReceiver == 1);
  CHECK(Counters.Replayed == 2);
  CHECK(Counters.Malformed == 2);
}

TEST_CASE("a message for one mailbox of a process is refused by its other one, "
          "so that work cannot be replayed there") {
  auto Options = optionsOf("b");
  Options.Channel = "bulk";
  Endpoint To(Options);
  RawPush Raw(To.address());
  Raw.send(from(1, 1, "for messages"));
  Raw.send(from(1, 2, "for bulk", "b/bulk"));
  auto M = To.Messages.pop(Patience);
  REQUIRE(M);
  CHECK(requestOf(*M) == "for bulk");
  CHECK(M->Head.Receiver == "b");
  CHECK(To.Box->counters().WrongReceiver == 1);
}

TEST_CASE("a message over the size limit only closes its connection") {
  auto Options = optionsOf("b");
  Options.MaxMessageBytes = 10'000;
  Endpoint To(Options);
  RawPush Large(To.address());
  Large.send(std::vector<std::uint8_t>(20'000));
  RawPush Small(To.address());
  Small.send(from(1, 1, "small"));
  CHECK(nextRequest(To) == "small");
  CHECK(To.Box->counters().ReceivedBytes < 10'000);
}

TEST_CASE("connections over the limit are refused until others close") {
  auto Options = optionsOf("b");
  Options.MaxConnections = 1;
  Endpoint To(Options);
  Endpoint First(optionsOf("a")), Second(optionsOf("c"));
  REQUIRE(First.Box->send(To.address(), cancelOf("1", "b")));
  CHECK(nextRequest(To) == "1");
  REQUIRE(Second.Box->send(To.address(), cancelOf("2", "b")));
  CHECK(eventually([&] { return To.Box->counters().ConnectionsRefused > 0; }));
  First.Box->removePeer(To.address());
  CHECK(eventually([&] {
    Second.Box->send(To.address(), cancelOf("3", "b"));
    auto M = To.Messages.pop(std::chrono::milliseconds(10));
    return M && M->Head.Sender == "c";
  }));
}

TEST_CASE("PUSH delivers no message twice when the receiver restarts") {
  Endpoint From(optionsOf("a"));
  auto To = std::make_unique<Endpoint>(optionsOf("b"));
  std::string Address = To->address();
  std::uint16_t Port = To->Box->port();
  for (int Round = 0; Round < 5; ++Round) {
    for (int I = 0; I < 20; ++I)
      REQUIRE(From.Box->send(Address, cancelOf("old", "b")));
    for (int I = 0; I < 20; ++I)
      REQUIRE(nextRequest(*To) == "old");
    To.reset();
    REQUIRE(From.Lost.pop(Patience));
    // The new receiver remembers no sequence, so a repeat would be delivered.
    To = std::make_unique<Endpoint>(optionsOf("b", Port));
    REQUIRE(From.Box->send(Address, cancelOf("new", "b")));
    CHECK(nextRequest(*To) == "new");
    CHECK(To->Box->counters().ReceivedBytes < 200);
  }
}

TEST_CASE("a connection that went silent is replaced, and what still waited is "
          "delivered on the new one") {
  SilentListener Silent;
  const std::string Target = Silent.address();
  Endpoint From(optionsOf("a"));
  REQUIRE(From.Box->addPeer(Target));
  SUBCASE("before the handshake") { Silent.accept(false); }
  SUBCASE("while a send is in progress") {
    Silent.accept(true);
    REQUIRE(eventually([&] { return From.Box->connected(Target); }));
    // More than the socket buffers of both ends hold.
    const std::string Large(500'000, 'x');
    REQUIRE(eventually([&] {
      From.Box->send(Target, cancelOf(Large, "b"));
      return From.Box->outboxSize(Target) >= 3;
    }));
  }
  Silent.stopListening(); // new connections reach the next listener
  REQUIRE(From.Box->send(Target, cancelOf("last", "b")));
  Endpoint To(optionsOf("b", Silent.Port));
  CHECK_FALSE(To.Messages.pop(std::chrono::milliseconds(500)));

  From.Box->reconnect(Target);
  std::string Request;
  CHECK(eventually([&] {
    auto M = To.Messages.pop(std::chrono::milliseconds(10));
    return M && (Request = requestOf(*M)) == "last";
  }));
  REQUIRE(From.Box->send(Target, cancelOf("next", "b")));
  CHECK(nextRequest(To) == "next");
}

TEST_CASE("connections that are replaced while messages are sent deliver none "
          "twice and go on to deliver") {
  constexpr int Rounds = 20, PerRound = 10;
  Endpoint From(optionsOf("a")), To(optionsOf("b"));
  for (int Round = 0; Round < Rounds; ++Round) {
    for (int I = 0; I < PerRound; ++I)
      REQUIRE(From.Box->send(
          To.address(), cancelOf(std::to_string(Round * PerRound + I), "b")));
    From.Box->reconnect(To.address());
  }
  std::multiset<std::string> Requests;
  CHECK(eventually([&] {
    From.Box->send(To.address(), cancelOf("last", "b"));
    auto M = To.Messages.pop(std::chrono::milliseconds(50));
    if (M && requestOf(*M) != "last")
      Requests.insert(requestOf(*M));
    return M && requestOf(*M) == "last";
  }));
  CHECK(!Requests.empty());
  for (const std::string &Request : Requests)
    CHECK(Requests.count(Request) == 1);
}

TEST_CASE("REQ sends a request again after a lost connection unless its resend "
          "time is infinite, which is why work does not use it") {
  const std::string Url = "tcp://127.0.0.3:";
  Endpoint Free(optionsOf("x"));
  std::string Address = Url + std::to_string(Free.Box->port());
  Free.Box.reset();
  for (bool Infinite : {false, true}) {
    nng_socket Rep = openRep(Address), Req;
    REQUIRE(nng_req0_open(&Req) == 0);
    if (Infinite)
      nng_socket_set_ms(Req, NNG_OPT_REQ_RESENDTIME, NNG_DURATION_INFINITE);
    nng_socket_set_ms(Req, NNG_OPT_RECVTIMEO, 20'000);
    REQUIRE(nng_dial(Req, Address.c_str(), nullptr, 0) == 0);
    char First[] = "first", Second[] = "second";
    REQUIRE(nng_send(Req, First, 5, 0) == 0);
    REQUIRE(receiveText(Rep) == "first");
    nng_close(Rep);
    Rep = openRep(Address);
    if (Infinite) {
      nng_msg *Answer = nullptr;
      CHECK(nng_recvmsg(Req, &Answer, 0) == NNG_ECONNRESET);
      REQUIRE(nng_send(Req, Second, 6, 0) == 0);
      CHECK(receiveText(Rep) == "second");
    } else {
      CHECK(receiveText(Rep) == "first");
    }
    nng_close(Req);
    nng_close(Rep);
  }
}
