// What a stager learns of its pool, from gateways or from the store.
#include "marigoldyard/coordination/pool_facts.hpp"
#include "marigoldyard/transport/clock.hpp"
#include "platform/store_format.hpp"
#include "programs/stager/stager.hpp"

#include <algorithm>
#include <utility>

namespace marigoldyard {

namespace {

/// Interval of questions to a gateway; changes between them are also told by
/// status messages of the servers' stagers.
constexpr std::chrono::seconds AskInterval{5};
/// The same while the last question is not answered.
constexpr std::chrono::milliseconds AskAgain{600};
/// The same until the first answer: the server cannot serve before.
constexpr std::chrono::milliseconds FirstAskAgain{100};
/// Gateways asked at once until the first answer, since seeds may be down.
constexpr std::size_t FirstAsked = 3;
/// Wait for the first answer of a gateway before the store is read: some round
/// trips. When a whole fleet starts, the first connections fail.
constexpr std::chrono::milliseconds FirstFactsWait{120};
/// Silence of all gateways after which the store is read again: some questions.
constexpr std::chrono::seconds FactsLapse{8};
/// Interval of listings of the servers in the store.
constexpr std::chrono::seconds PeersInterval{5};
/// Interval of tries to read the configuration until it is known.
constexpr std::chrono::milliseconds ConfigurationInterval{500};
/// A stager that is silent for this long is no source of pieces.
constexpr std::chrono::seconds PeerForgetAfter{10};
constexpr unsigned StatusOk = 200;
constexpr std::uint64_t FirstVersion = 1;

} // namespace

void Stager::learnFacts() {
  const TimePoint Now = now();
  const bool Told = FactsAt != TimePoint{};
  const bool Silent =
      Told ? Now - FactsAt > FactsLapse : Now - StartedAt > FirstFactsWait;
  if (Silent != std::exchange(GatewaysSilent, Silent))
    Base.Log.write({.Level = Silent ? LogLevel::Warning : LogLevel::Info,
                    .Event = Silent ? "gateways_silent" : "gateways_answer",
                    .At = Step::MemberList,
                    .Number = FactsNumber});
  if (Silent && OriginAddress.empty() && Now >= ConfigurationAt)
    readConfiguration();
  if (Silent && Now >= PeersAt)
    readPeers();
  if (Now >= AskAt)
    askGateways(Told);
}

void Stager::askGateways(bool Told) {
  AskAt = now() + (Told ? AskAgain : FirstAskAgain);
  std::set<std::string> Known = gatewaysOfRegion();
  if (Known.empty())
    Known = Base.gatewayAddresses();
  std::vector<std::string> Chosen(Known.begin(), Known.end());
  std::shuffle(Chosen.begin(), Chosen.end(), Base.Source);
  Chosen.resize(std::min(Chosen.size(), Told ? 1 : FirstAsked));
  for (const std::string &Gateway : Chosen)
    Base.send(Gateway, PoolQuestion{Base.self(), Settings.Pool});
}

void Stager::useFacts(const PoolFacts &Facts) {
  if (Facts.Pool != Settings.Pool)
    return;
  if (!Facts.Members.empty()) {
    FactsAt = now();
    AskAt = FactsAt + AskInterval;
    PeersKnown = true;
    for (const PoolMember &Member : Facts.Members)
      usePeer(hostOf(Member.Address), Member.Region);
    updateTransferMembers();
  }
  // A gateway that the store turns away may know an older configuration.
  if (Facts.Number >= FactsNumber && !Facts.OriginAddress.empty()) {
    if (Facts.Number > FactsNumber)
      Base.Log.write(
          {.Event = "pool_facts",
           .At = Step::ConfigurationAccept,
           .Number = Facts.Number,
           .Fields = {{"origin", Facts.OriginAddress},
                      {"peers", std::to_string(Peers.size())},
                      {"resumable", Facts.StreamsResume ? "yes" : "no"}}});
    FactsNumber = Facts.Number;
    OriginAddress = Facts.OriginAddress;
    StreamsResume = Facts.StreamsResume;
    const auto Region =
        Settings.Process.RegionOf.find(Facts.OriginFailureDomain);
    if (!Transfer)
      makeTransferState(
          Region == Settings.Process.RegionOf.end() ? "" : Region->second);
    // Versions begin at 1; only later ones are declared.
    for (const std::string &Model : Facts.Models)
      versionDeclared({Model, FirstVersion});
  }
  for (const LoadedWeights &Each : Facts.Declared)
    versionDeclared({Each.Model, Each.Version});
}

void Stager::usePeer(const std::string &Host, const std::string &Region) {
  if (Host == Settings.Process.Address)
    return;
  // A peer refuses requests of processes that it does not know.
  if (!Peers.contains(Host))
    Base.send(Host, Hello{Base.self()});
  PeerState &Peer = Peers[Host];
  Peer.Heard = now();
  if (!Region.empty())
    Peer.Region = Region;
}

void Stager::readConfiguration() {
  ConfigurationAt = now() + ConfigurationInterval;
  Base.Client.call(platform::listCall(addressText(Base.Settings.Store),
                                      platform::configurationKey(), {}, true),
                   [this](const HttpResult &Result) {
                     const auto *Response = std::get_if<HttpResponse>(&Result);
                     if (Response == nullptr || Response->Status != StatusOk)
                       return;
                     const auto Answer =
                         platform::parseStoreAnswer(Response->Body);
                     if (Answer && !Answer->Items.empty())
                       configurationRead(Answer->Items.front().Value);
                   });
}

void Stager::configurationRead(const std::string &Text) {
  auto Parsed = platform::parseFleetConfiguration(Text);
  if (!Parsed) {
    Base.Log.write("configuration_refused", Parsed.error());
    return;
  }
  useFacts(poolFacts(*Parsed, Settings.Pool));
}

void Stager::readPeers() {
  PeersAt = now() + PeersInterval;
  Base.Client.call(
      platform::listCall(addressText(Base.Settings.Store),
                         platform::serverKeys(), {}, true),
      [this](const HttpResult &Result) {
        const auto *Response = std::get_if<HttpResponse>(&Result);
        if (Response == nullptr || Response->Status != StatusOk)
          return;
        const auto Answer = platform::parseStoreAnswer(Response->Body);
        if (!Answer)
          return Base.Log.write("store_answer_invalid", Answer.error());
        PeersKnown = true;
        for (const StoreItem &Item : Answer->Items) {
          const auto Record = platform::parseServerRecord(Item.Key, Item.Value);
          if (!Record || !Record->Weights)
            continue;
          const auto Region =
              Settings.Process.RegionOf.find(Record->FailureDomain);
          usePeer(hostOf(Record->Address),
                  Region == Settings.Process.RegionOf.end() ? std::string()
                                                            : Region->second);
        }
        updateTransferMembers();
      });
}

void Stager::updateTransferMembers() {
  std::erase_if(Peers, [](const auto &Each) {
    return now() - Each.second.Heard > PeerForgetAfter;
  });
  if (!Transfer)
    return;
  std::vector<TransferPeer> Members{
      {Settings.Process.Address, Settings.Process.Region, false}};
  for (const auto &[Address, Peer] : Peers)
    Members.push_back({Address, Peer.Region, false});
  transferMembers(*Transfer, Members, now(), PeersKnown);
  PlanDue = true;
}

} // namespace marigoldyard
