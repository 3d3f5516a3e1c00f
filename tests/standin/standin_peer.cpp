// Peers of a process that send it valid messages without pause.
#include "marigoldyard/transport/mailbox.hpp"

#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace marigoldyard {

namespace {

/// Pause between two rounds of messages, so that the outboxes do not overflow.
constexpr std::chrono::milliseconds RoundPause{1};

struct PeerOptions {
  std::string Target;
  std::uint16_t Port = 0;
  std::string KeyId;
  std::string Secret;
  std::size_t Peers = 8;
  std::chrono::seconds Time{10};
};

std::unique_ptr<Mailbox> openPeer(const PeerOptions &Options,
                                  std::size_t Index) {
  MailboxOptions Box;
  Box.Name = "127.0.0.1#" + std::to_string(Index);
  Box.Number = Index + 1;
  Box.Address = "127.0.0.1";
  Box.Channel = "peer";
  auto Opened = Mailbox::open(Box, {{{Options.KeyId, Options.Secret}}},
                              {.Received = [](Message &&) {}});
  return Opened ? std::move(*Opened) : nullptr;
}

int flood(const PeerOptions &Options) {
  std::vector<std::unique_ptr<Mailbox>> Peers;
  for (std::size_t I = 0; I < Options.Peers; ++I) {
    Peers.push_back(openPeer(Options, I));
    if (!Peers.back())
      return 1;
  }
  const std::string Address =
      Options.Target + ":" + std::to_string(Options.Port);
  const auto Until = std::chrono::steady_clock::now() + Options.Time;
  while (std::chrono::steady_clock::now() < Until) {
    for (const auto &Peer : Peers) {
      Message Outgoing;
      Outgoing.Head.Receiver = Options.Target;
      Outgoing.Content = Hello{};
      Peer->send(Address, std::move(Outgoing));
    }
    std::this_thread::sleep_for(RoundPause);
  }
  return 0;
}

} // namespace

} // namespace marigoldyard

int main(int Count, char **Arguments) {
  marigoldyard::PeerOptions Options;
  std::size_t Seconds = 10;
  CLI::App Application("Sends valid messages without pause", "standin_peer");
  Application.add_option("--target", Options.Target, "IP address")->required();
  Application.add_option("--port", Options.Port, "Peer port")->required();
  Application.add_option("--key-id", Options.KeyId, "Id of the key")
      ->required();
  Application.add_option("--secret", Options.Secret, "The key")->required();
  Application.add_option("--peers", Options.Peers, "Number of peers");
  Application.add_option("--seconds", Seconds, "Time after which it ends");
  CLI11_PARSE(Application, Count, Arguments);
  Options.Time = std::chrono::seconds(Seconds);
  return marigoldyard::flood(Options);
}
