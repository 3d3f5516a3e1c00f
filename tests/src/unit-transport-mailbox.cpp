#include "marigoldyard/transport/mailbox.hpp"
#include "marigoldyard/transport/ring.hpp"

#include <doctest/doctest.h>

using namespace marigoldyard;
using namespace std::chrono_literals;

namespace {

constexpr Duration Patience = 20s; ///< only bounds a hanging test

struct Receiver {
  BoundedRing<Message> Messages{1000};
  BoundedRing<std::string> Lost{100};
  BoundedRing<std::string> Opened{100};
  std::unique_ptr<Mailbox> Box;

  explicit Receiver(std::string Name, std::uint16_t Port = 0,
                    Incarnation Number = 1,
                    KeyRing Keys = {{{"k1", "secret"}}}) {
    MailboxOptions Options;
    Options.Name = std::move(Name);
    Options.Number = Number;
    Options.Address = "127.0.0.3";
    Options.Port = Port;
    MailboxHandlers Handlers;
    Handlers.Received = [this](Message &&M) { Messages.tryPush(std::move(M)); };
    Handlers.ConnectionLost = [this](const std::string &Address) {
      Lost.tryPush(std::string(Address));
    };
    Handlers.ConnectionOpened = [this](const std::string &Address) {
      Opened.tryPush(std::string(Address));
    };
    auto Result = Mailbox::open(Options, std::move(Keys), Handlers);
    REQUIRE(Result);
    Box = std::move(*Result);
  }
  std::string address() const {
    return "127.0.0.3:" + std::to_string(Box->port());
  }
};

Message cancelOf(const std::string &Request, std::string To) {
  Message M;
  M.Head.Receiver = std::move(To);
  M.Content = CancelWork{{Request, 0}};
  return M;
}

std::string requestOf(const Message &M) {
  return std::get<CancelWork>(M.Content).Id.Request;
}

} // namespace

TEST_CASE("messages of one sender arrive in order") {
  Receiver From("a"), To("b");
  for (int I = 0; I < 100; ++I)
    REQUIRE(From.Box->send(To.address(), cancelOf(std::to_string(I), "b")));
  for (int I = 0; I < 100; ++I) {
    auto M = To.Messages.pop(Patience);
    REQUIRE(M);
    CHECK(requestOf(*M) == std::to_string(I));
    CHECK(M->Head.Sender == "a");
  }
}
