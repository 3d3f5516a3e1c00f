// Membership duty of a node: messages, connections and the VM list.
#include "programs/node/node.hpp"

#include "marigoldyard/protocol/digest.hpp"
#include "marigoldyard/protocol/platform_api.hpp"

#include <algorithm>
#include <random>

namespace marigoldyard {

namespace {

/// 1,490 processes make 298 calls a second with it.
constexpr Duration MemberListInterval = std::chrono::seconds(5);
constexpr Duration MemberListRetry = std::chrono::milliseconds(500);
constexpr std::size_t MaxMemberListBytes = 4UL << 20;

/// Spreads reads of many processes over time.
Duration jittered(Duration Interval, Random &Source) {
  std::uniform_real_distribution<double> Factor(0.75, 1.25);
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(Interval.count()) * Factor(Source)));
}

} // namespace

void Node::receiveOnThread(Message &&Incoming) {
  auto Shared = std::make_shared<Message>(std::move(Incoming));
  if (auto *Chunk = std::get_if<ChunkData>(&Shared->Content)) {
    const bool Verified = sha256Hex(Chunk->Bytes) == Chunk->Chunk;
    Loop.post([this, Shared, Chunk, Verified] {
      if (admitMessage(*Shared) && Handlers.ChunkArrived)
        Handlers.ChunkArrived(Shared->Head.Sender, std::move(*Chunk), Verified);
    });
    return;
  }
  Loop.post([this, Shared] { receive(*Shared); });
}

bool Node::admitMessage(const Message &Incoming) {
  const std::string &Peer = Incoming.Head.Sender;
  const auto *Load = std::get_if<Report>(&Incoming.Content);
  const MessageOutcome Evidence =
      Load != nullptr
          ? recordMemberReport(Members, Peer, Incoming.Head.SenderIncarnation,
                               Load->Load.Draining, Loop.turn())
          : recordMessage(Members, Peer, Incoming.Head.SenderIncarnation,
                          Loop.turn());
  if (Evidence == MessageOutcome::StaleIncarnation ||
      Evidence == MessageOutcome::TableFull)
    return false;
  if (Evidence == MessageOutcome::Restarted && Handlers.PeerLost)
    Handlers.PeerLost(Peer);
  return true;
}

void Node::receive(const Message &Incoming) {
  if (!admitMessage(Incoming))
    return;
  const std::string &Peer = Incoming.Head.Sender;
  if (const auto *Greeting = std::get_if<Hello>(&Incoming.Content)) {
    if (Greeting->Sender.Name == Peer)
      describeMember(Members, Greeting->Sender);
    return;
  }
  handleConfiguration(Incoming);
  if (Handlers.Received)
    Handlers.Received(Incoming);
}

void Node::lose(const std::string &Address) {
  const auto Found = NamesByAddress.find(Address);
  if (Found == NamesByAddress.end())
    return;
  const std::string Peer = Found->second;
  recordConnectionLoss(Members, Peer, 0, Loop.turn());
  record("connection_lost", {}, Peer);
  if (Handlers.PeerLost)
    Handlers.PeerLost(Peer);
}

// Each link that keeps trying to reach a VM that is gone costs a place in the
// bounded table of peers; about 360 VMs are replaced a day.
void Node::forgetPeer(const std::string &Peer) {
  std::erase_if(NamesByAddress, [&](const auto &Item) {
    if (Item.second != Peer)
      return false;
    Messages->removePeer(Item.first);
    Bulk->removePeer(Item.first);
    return true;
  });
}

void Node::checkMembers() {
  ReadyNow.store(ready());
  bool Changed = false;
  for (const auto &[Name, Record] : Members.Records) {
    const MemberState Current = memberState(Members, Record, Loop.turn());
    auto [Known, Inserted] = LastStates.try_emplace(Name, Current);
    if (!Inserted && Known->second == Current)
      continue;
    Changed = true;
    Known->second = Current;
    if (Inserted)
      continue;
    record("member_state", {}, Name, {},
           {{"state", std::string(memberStateName(Current))}});
    const bool Lost =
        Current == MemberState::Suspected || Current == MemberState::Dead;
    if (Lost && Handlers.PeerLost)
      Handlers.PeerLost(Name);
  }
  for (const std::string &Name : removeDeadMembers(Members, Loop.turn())) {
    LastStates.erase(Name);
    forgetPeer(Name);
    Changed = true;
  }
  if (!Changed)
    return;
  updateWatchMembers(Watch, presentMembers(Members, Loop.turn()), Loop.turn());
  if (Handlers.MembersChanged)
    Handlers.MembersChanged();
}

void Node::readMemberList() {
  HttpCallRequest Request;
  Request.Address =
      Settings.VmList.Host + ":" + std::to_string(Settings.VmList.Port);
  Request.Target = "/vms";
  Request.At = Step::MemberList;
  Request.MaxBodyBytes = MaxMemberListBytes;
  Platform.call(std::move(Request), [this](HttpResult Result) {
    Loop.post([this, Result = std::move(Result)] { memberListRead(Result); });
  });
}

void Node::memberListRead(const HttpResult &Result) {
  Duration Next = MemberListInterval;
  const auto *Response = std::get_if<HttpResponse>(&Result);
  if (Response != nullptr && Response->Status == 200) {
    auto List = parseVmList(Response->Body);
    if (List) {
      MemberListKnown = true;
      mergeMemberList(Members, *List, Loop.turn());
      updateWatchMembers(Watch, presentMembers(Members, Loop.turn()),
                         Loop.turn());
      if (Handlers.MembersChanged)
        Handlers.MembersChanged();
    } else {
      Log.write("member_list_invalid", List.error());
    }
  } else {
    Next = MemberListRetry;
    Log.write({.Level = LogLevel::Warning,
               .Event = "member_list_unavailable",
               .At = Step::MemberList,
               .Peer = "vm-list"});
  }
  Loop.at(Loop.turn() + jittered(Next, Source), [this] { readMemberList(); });
}

} // namespace marigoldyard
