#include "marigoldyard/coordination/peer_contact.hpp"

#include <algorithm>

namespace marigoldyard {

namespace {

std::optional<ContactLoss> contactLoss(const PeerContact &Contact,
                                       Duration Limit, bool Leaving,
                                       TimePoint Now) {
  const TimePoint ReportedAt = Contact.ReportedAt.value_or(Contact.OpenedAt);
  if (Now - std::max(Contact.OpenedAt, ReportedAt) >= Limit)
    return ContactLoss::Silent;
  // A peer that reports soon after the connection was opened may not have had
  // a report over it yet.
  if (!Contact.HearsThisProcess && !Leaving &&
      ReportedAt - Contact.OpenedAt >= Limit)
    return ContactLoss::Unheard;
  return std::nullopt;
}

} // namespace

std::string contactLossName(ContactLoss Loss) {
  return Loss == ContactLoss::Silent ? "silent" : "unheard";
}

void recordPeerReport(PeerContacts &State, const std::string &Peer,
                      bool HearsThisProcess, TimePoint Now) {
  const auto [Found, New] = State.Peers.try_emplace(Peer);
  PeerContact &Contact = Found->second;
  if (New)
    Contact.OpenedAt = Now;
  Contact.ReportedAt = Now;
  Contact.HearsThisProcess = HearsThisProcess;
  if (HearsThisProcess)
    Contact.Replacements = 0;
}

std::vector<LostContact>
takeLostContacts(PeerContacts &State,
                 const std::map<std::string, Duration> &Expected, bool Leaving,
                 TimePoint Now) {
  const bool Paused = Now - State.CheckedAt > State.Settings.OwnPause;
  State.CheckedAt = Now;
  std::erase_if(State.Peers, [&](const auto &Each) {
    return !Expected.contains(Each.first);
  });
  std::vector<LostContact> Result;
  for (const auto &[Peer, Interval] : Expected) {
    const auto [Found, New] = State.Peers.try_emplace(Peer);
    PeerContact &Contact = Found->second;
    if (New || Paused) {
      Contact.OpenedAt = Now;
      continue;
    }
    const int Backoff =
        std::min(1 + Contact.Replacements, State.Settings.MaxBackoff);
    const Duration Limit = Backoff * (2 * Interval + State.Settings.Tolerance);
    const auto Loss = contactLoss(Contact, Limit, Leaving, Now);
    if (!Loss)
      continue;
    Result.push_back(
        {Peer, *Loss,
         Contact.ReportedAt.has_value() && Contact.Replacements == 0});
    Contact.OpenedAt = Now;
    // The next report must show that the new connection works.
    Contact.HearsThisProcess = false;
    Contact.Replacements =
        std::min(1 + Contact.Replacements, State.Settings.MaxBackoff);
  }
  return Result;
}

} // namespace marigoldyard
