// Configuration duty of a node: reads, acceptance and relay.
#include "programs/node/node.hpp"

#include "marigoldyard/protocol/manifest_json.hpp"

namespace marigoldyard {

namespace {

constexpr std::size_t MaxValueBytes = 1UL << 20;
/// Time beyond the wait of a watch after which the read counts as failed.
constexpr Duration ReadMargin = std::chrono::seconds(3);

HttpCallRequest valueRequest(const ServerAddress &Service,
                             const std::string &Target, Duration Wait) {
  HttpCallRequest Request;
  Request.Address = Service.Host + ":" + std::to_string(Service.Port);
  Request.Target = Target;
  Request.At = Step::ConfigurationRead;
  Request.Peer = ServiceSource;
  Request.Limit = Wait + ReadMargin;
  Request.MaxBodyBytes = MaxValueBytes;
  return Request;
}

} // namespace

void Node::handleConfiguration(const Message &Incoming) {
  const std::string &Peer = Incoming.Head.Sender;
  const Revision Theirs = Incoming.Head.SenderRevision;
  recordPeerRevision(Configuration, Peer, Theirs);
  if (const auto *Offer = std::get_if<ConfigurationOffer>(&Incoming.Content)) {
    recordOffer(Watch, Offer->Age, Loop.turn());
    if (Offer->Index.ConfigRevision >
        0) // 0 only tells that the service was heard
      settle(receiveIndex(Configuration, Offer->Index, Peer), Peer);
  } else if (const auto *Asked =
                 std::get_if<ConfigurationRequest>(&Incoming.Content)) {
    if (auto Values = valuesForPeer(Configuration, Asked->Number, Asked->Keys))
      send(Peer, ConfigurationValues{Configuration.ActiveConfiguration->Index,
                                     std::move(*Values)});
  } else if (const auto *Given =
                 std::get_if<ConfigurationValues>(&Incoming.Content)) {
    settle(receiveIndex(Configuration, Given->Index, Peer), Peer);
    std::vector<ParsedValue> Values;
    for (const auto &[Key, Text] : Given->Values)
      Values.push_back(checkValue(Key, Text, Peer));
    if (!Values.empty())
      settle(receiveValues(Configuration, std::move(Values), Peer), Peer);
  }
  if (const auto Action = comparePeerRevision(
          Watch, Peer, Theirs, activeRevision(Configuration), Loop.turn()))
    perform(*Action);
}

void Node::settle(const AcceptanceResult &Result, const std::string &From) {
  switch (Result.Action) {
  case AcceptanceAction::Keep:
    return;
  case AcceptanceAction::NeedValues:
    updateMissingValues(Watch, From, Result.Needed, Loop.turn());
    runWatch();
    return;
  case AcceptanceAction::Refused:
    recordRefusedConfiguration(Watch, Result.Number,
                               Configuration.Pending.has_value());
    Log.write("configuration_refused", *Result.Failure);
    record("configuration_refused", {}, {}, {},
           {{"reason", Result.Failure->message()}, {"from", From}});
    return;
  case AcceptanceAction::Accepted:
    updateMissingValues(Watch, From, {}, Loop.turn());
    recordAcceptedConfiguration(Watch, activeRevision(Configuration));
    Log.write({.Event = "configuration_accepted",
               .At = Step::ConfigurationAccept,
               .Peer = From,
               .Number = activeRevision(Configuration)});
    record("configuration_accepted", {}, {}, {},
           {{"revision", std::to_string(activeRevision(Configuration))},
            {"from", From}});
    if (Handlers.ConfigurationChanged)
      Handlers.ConfigurationChanged();
    runWatch();
    return;
  }
}

void Node::runWatch() {
  const WatchStep Due = nextWatchStep(Watch, Loop.turn(), Source);
  for (const WatchAction &Action : Due.Actions)
    perform(Action);
}

void Node::sendToAll(const std::vector<std::string> &Peers,
                     const Body &Content) {
  for (const std::string &Peer : Peers)
    send(Peer, Content);
}

void Node::perform(const WatchAction &Action) {
  const Revision Own = activeRevision(Configuration);
  const auto Age = std::chrono::ceil<std::chrono::milliseconds>(Action.Age);
  switch (Action.Kind) {
  case WatchActionKind::WatchIndex:
    readIndex(Action.Wait);
    return;
  case WatchActionKind::ReadIndex:
    readIndex(Duration::zero());
    return;
  case WatchActionKind::ReadValues:
    for (const std::string &Key : Action.Keys)
      readValue(Key);
    return;
  case WatchActionKind::Offer:
    if (Configuration.ActiveConfiguration)
      sendToAll(
          Action.Peers,
          ConfigurationOffer{Configuration.ActiveConfiguration->Index, Age});
    return;
  case WatchActionKind::Confirm:
    sendToAll(Action.Peers, ConfigurationOffer{{Own, {}}, Age});
    return;
  case WatchActionKind::RequestValues:
    if (Configuration.Pending)
      sendToAll(Action.Peers,
                ConfigurationRequest{
                    Configuration.Pending->Index.ConfigRevision, Action.Keys});
    return;
  case WatchActionKind::QueryNewer:
    sendToAll(Action.Peers, ConfigurationRequest{Own, {}});
    return;
  }
}

void Node::readIndex(Duration Wait) {
  std::string Target = "/values/" + std::string(IndexKey);
  if (Wait > Duration::zero() && !IndexVersion.empty())
    Target += "?after=" + IndexVersion + "&wait_ms=" +
              std::to_string(
                  std::chrono::duration_cast<std::chrono::milliseconds>(Wait)
                      .count());
  Platform.call(
      valueRequest(Settings.ConfigurationService, Target, Wait),
      [this](HttpResult Result) {
        Loop.post([this, Result = std::move(Result)] { indexRead(Result); });
      });
}

void Node::indexRead(const HttpResult &Result) {
  const auto *Response = std::get_if<HttpResponse>(&Result);
  const bool Answered = Response != nullptr &&
                        (Response->Status == 200 || Response->Status == 304 ||
                         Response->Status == 404);
  recordIndexRead(Watch, Answered, Loop.turn(), Source);
  const std::string From(ServiceSource);
  if (!Answered) {
    settle(receiveReadFailure(Configuration), From);
  } else if (Response->Status == 200) {
    if (auto Version = Response->Headers.find("x-version");
        Version != Response->Headers.end())
      IndexVersion = Version->second;
    auto Index = parseIndex(Response->Body, ServiceSource);
    settle(Index ? receiveIndex(Configuration, *Index, From)
                 : receiveInvalidIndex(Configuration, Index.error(), From),
           From);
  }
  runWatch();
}

void Node::readValue(const std::string &Key) {
  if (!ValuesInFlight.insert(Key).second)
    return;
  Platform.call(valueRequest(Settings.ConfigurationService, "/values/" + Key,
                             Duration::zero()),
                [this, Key](HttpResult Result) {
                  Loop.post([this, Key, Result = std::move(Result)] {
                    valueRead(Key, Result);
                  });
                });
}

void Node::valueRead(const std::string &Key, const HttpResult &Result) {
  ValuesInFlight.erase(Key);
  const std::string From(ServiceSource);
  const auto *Response = std::get_if<HttpResponse>(&Result);
  if (Response == nullptr || Response->Status != 200) {
    settle(receiveReadFailure(Configuration), From);
    return;
  }
  std::vector<ParsedValue> Values;
  Values.push_back(checkValue(Key, Response->Body, From));
  settle(receiveValues(Configuration, std::move(Values), From), From);
}

} // namespace marigoldyard
