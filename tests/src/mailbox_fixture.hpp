#pragma once

#include "marigoldyard/transport/mailbox.hpp"
#include "marigoldyard/transport/ring.hpp"

#include <doctest/doctest.h>
#include <thread>

namespace marigoldyard::test {

/// Only bounds a test that would hang.
inline constexpr Duration Patience = std::chrono::seconds(20);

inline const KeyRing Ring{{{"k1", "secret"}}};

inline MailboxOptions optionsOf(std::string Name, std::uint16_t Port = 0) {
  MailboxOptions Options;
  Options.Name = std::move(Name);
  Options.Number = 1;
  Options.Address = "127.0.0.3";
  Options.Port = Port;
  Options.ReconnectHighest = std::chrono::milliseconds(200);
  return Options;
}

/// A mailbox whose callbacks fill rings.
struct Endpoint {
  BoundedRing<Message> Messages{10'000};
  BoundedRing<std::string> Opened{1000};
  BoundedRing<std::string> Lost{1000};
  std::unique_ptr<Mailbox> Box;

  explicit Endpoint(const MailboxOptions &Options, const KeyRing &Keys = Ring) {
    MailboxHandlers Handlers;
    Handlers.Received = [this](Message &&M) { Messages.tryPush(std::move(M)); };
    Handlers.ConnectionOpened = [this](const std::string &Address) {
      Opened.tryPush(std::string(Address));
    };
    Handlers.ConnectionLost = [this](const std::string &Address) {
      Lost.tryPush(std::string(Address));
    };
    // A port is free only some time after its listener closed.
    for (int Try = 0; !Box && Try < 1000; ++Try) {
      auto Result = Mailbox::open(Options, Keys, Handlers);
      if (Result)
        Box = std::move(*Result);
      else
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    REQUIRE(Box);
  }
  ~Endpoint() { Box.reset(); }
  std::string address() const {
    return "127.0.0.3:" + std::to_string(Box->port());
  }
};

inline Message cancelOf(const std::string &Request, std::string To) {
  Message M;
  M.Head.Receiver = std::move(To);
  M.Content = CancelWork{{Request, 0}};
  return M;
}

inline std::string requestOf(const Message &M) {
  return std::get<CancelWork>(M.Content).Id.Request;
}

/// Request id of the next message, or empty when none comes.
inline std::string nextRequest(Endpoint &To) {
  auto M = To.Messages.pop(Patience);
  return M ? requestOf(*M) : std::string();
}

/// Waits for a condition that another thread brings about.
template <typename F> bool eventually(F Holds) {
  for (int Try = 0; Try < 2000; ++Try) {
    if (Holds())
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

} // namespace marigoldyard::test
