// Reads facts about the stager's pool from gateways or the store.
#include "marigoldyard/coordination/pool_facts.hpp"
#include "marigoldyard/transport/clock.hpp"
#include "platform/store_format.hpp"
#include "programs/stager/stager.hpp"

#include <algorithm>
#include <utility>

namespace marigoldyard {

namespace {

/// Interval between queries to a gateway. Changes in between also arrive in
/// status messages of the other stagers.
constexpr std::chrono::seconds GatewayQueryInterval{5};
/// Interval between queries while the last one has no response.
constexpr std::chrono::milliseconds QueryRetryInterval{600};
/// Interval between queries until the first response. It is short because the
/// server cannot serve before.
constexpr std::chrono::milliseconds StartupQueryInterval{100};
/// Number of gateways queried at once until the first response, since seeds may
/// be down.
constexpr std::size_t StartupQueryCount = 3;
/// Time to wait for the first response of a gateway before the store is read: a
/// few round trips. When a whole fleet starts, the first connections fail.
constexpr std::chrono::milliseconds StartupFactsTimeout{120};
/// The store is read again after this long without a response of any gateway.
/// This allows for several unanswered queries.
constexpr std::chrono::seconds FactsTimeout{8};
/// Interval between reads of the server list in the store.
constexpr std::chrono::seconds PeerFetchInterval{5};
/// Interval between attempts to read the configuration until it is known.
constexpr std::chrono::milliseconds ConfigurationRetryInterval{500};
/// A stager that has sent nothing for this long is not used as a source of
/// chunks.
constexpr std::chrono::seconds PeerTimeout{10};
constexpr unsigned StatusOk = 200;
constexpr std::uint64_t FirstVersion = 1;

} // namespace

void Stager::refreshPoolFacts() {
  const TimePoint Now = now();
  const bool HasResponse = FactsReceivedAt != TimePoint{};
  const bool Unresponsive = HasResponse ? Now - FactsReceivedAt > FactsTimeout
                                        : Now - StartedAt > StartupFactsTimeout;
  if (Unresponsive != std::exchange(GatewaysUnresponsive, Unresponsive))
    Node.Log.write(
        {.Level = Unresponsive ? LogLevel::Warning : LogLevel::Info,
         .Event = Unresponsive ? "gateways_silent" : "gateways_answer",
         .At = Step::MemberList,
         .Number = FactsRevision});
  if (Unresponsive && OriginAddress.empty() && Now >= NextConfigurationFetchAt)
    fetchConfiguration();
  if (Unresponsive && Now >= NextPeerFetchAt)
    fetchPeers();
  if (Now >= NextQueryAt)
    queryGateways(HasResponse);
}

void Stager::queryGateways(bool HasResponse) {
  NextQueryAt =
      now() + (HasResponse ? QueryRetryInterval : StartupQueryInterval);
  std::set<std::string> Known = localRegionGateways();
  if (Known.empty())
    Known = Node.gatewayAddresses();
  std::vector<std::string> Chosen(Known.begin(), Known.end());
  std::shuffle(Chosen.begin(), Chosen.end(), Node.Generator);
  Chosen.resize(std::min(Chosen.size(), HasResponse ? 1 : StartupQueryCount));
  for (const std::string &Gateway : Chosen)
    Node.send(Gateway, PoolQuestion{Node.self(), Settings.Pool});
}

void Stager::applyPoolFacts(const PoolConfiguration &Facts) {
  if (Facts.Pool != Settings.Pool)
    return;
  if (!Facts.Members.empty()) {
    FactsReceivedAt = now();
    NextQueryAt = FactsReceivedAt + GatewayQueryInterval;
    PeersKnown = true;
    for (const PoolMember &Member : Facts.Members)
      recordPeer(hostPart(Member.Address), Member.Region);
    updateTransferMembers();
  }
  // A configuration without the pool states no layers; a model keeps its own.
  if (Facts.ConfigRevision >= FactsRevision &&
      (Facts.Layers > 0 || !LayerCount))
    LayerCount = Facts.Layers;
  // A gateway whose requests the store rejects may have an older configuration.
  if (Facts.ConfigRevision >= FactsRevision && !Facts.OriginAddress.empty()) {
    if (Facts.ConfigRevision > FactsRevision)
      Node.Log.write(
          {.Event = "pool_facts",
           .At = Step::ConfigurationAccept,
           .Number = Facts.ConfigRevision,
           .Fields = {{"origin", Facts.OriginAddress},
                      {"peers", std::to_string(Peers.size())},
                      {"resumable", Facts.StreamsResumable ? "yes" : "no"}}});
    FactsRevision = Facts.ConfigRevision;
    OriginAddress = Facts.OriginAddress;
    StreamsCanResume = Facts.StreamsResumable;
    const auto Region =
        Settings.Process.RegionOf.find(Facts.OriginFailureDomain);
    if (!Transfer)
      makeTransferState(
          Region == Settings.Process.RegionOf.end() ? "" : Region->second);
    // Versions begin at 1; only later ones are declared. The first version is
    // not fetched beside a later one, which would then come later.
    for (const std::string &Model : Facts.Models)
      if (std::none_of(
              Facts.Declared.begin(), Facts.Declared.end(),
              [&](const LoadedWeights &Each) { return Each.Model == Model; }))
        handleVersionDeclaration({Model, FirstVersion});
  }
  for (const LoadedWeights &Each : Facts.Declared)
    handleVersionDeclaration({Each.Model, Each.Version});
}

void Stager::recordPeer(const std::string &Host, const std::string &Region) {
  if (Host == Settings.Process.Address)
    return;
  // A peer refuses requests from processes that it does not know.
  if (!Peers.contains(Host))
    Node.send(Host, Hello{Node.self()});
  PeerState &Peer = Peers[Host];
  Peer.LastReceivedAt = now();
  if (!Region.empty())
    Peer.Region = Region;
}

void Stager::fetchConfiguration() {
  NextConfigurationFetchAt = now() + ConfigurationRetryInterval;
  Node.Client.call(platform::makeListCall(addressText(Node.Settings.Store),
                                          platform::configurationKey(), {},
                                          true),
                   [this](const HttpResult &Result) {
                     const auto *Response = std::get_if<HttpResponse>(&Result);
                     if (Response == nullptr || Response->Status != StatusOk)
                       return;
                     const auto Answer = platform::readStoreResponse(*Response);
                     if (Answer && !Answer->Items.empty())
                       handleConfiguration(Answer->Items.front().Value);
                   });
}

void Stager::handleConfiguration(const std::string &Text) {
  auto Parsed = platform::parseFleetConfiguration(Text);
  if (!Parsed) {
    Node.Log.write("configuration_refused", Parsed.error());
    return;
  }
  applyPoolFacts(poolFacts(*Parsed, Settings.Pool));
}

void Stager::fetchPeers() {
  NextPeerFetchAt = now() + PeerFetchInterval;
  Node.Client.call(
      platform::makeListCall(addressText(Node.Settings.Store),
                             platform::serverKeyPrefix(), {}, true),
      [this](const HttpResult &Result) {
        const auto *Response = std::get_if<HttpResponse>(&Result);
        if (Response == nullptr || Response->Status != StatusOk)
          return;
        const auto Answer = platform::readStoreResponse(*Response);
        if (!Answer)
          return Node.Log.write("store_answer_invalid", Answer.error());
        PeersKnown = true;
        for (const StoreItem &Item : Answer->Items) {
          const auto Record = platform::parseServerRecord(Item.Key, Item.Value);
          if (!Record || !Record->Weights)
            continue;
          const auto Region =
              Settings.Process.RegionOf.find(Record->FailureDomain);
          recordPeer(hostPart(Record->Address),
                     Region == Settings.Process.RegionOf.end()
                         ? std::string()
                         : Region->second);
        }
        updateTransferMembers();
      });
}

void Stager::updateTransferMembers() {
  std::erase_if(Peers, [](const auto &Each) {
    return now() - Each.second.LastReceivedAt > PeerTimeout;
  });
  if (!Transfer)
    return;
  std::vector<TransferPeer> Members{
      {Settings.Process.Address, Settings.Process.Region, false}};
  for (const auto &[Address, Peer] : Peers)
    Members.push_back({Address, Peer.Region, false});
  setTransferPeers(*Transfer, Members, now(), PeersKnown);
  PlanDue = true;
}

} // namespace marigoldyard
