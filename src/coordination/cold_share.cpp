#include "marigoldyard/coordination/cold_share.hpp"

#include "marigoldyard/coordination/detail/rendezvous.hpp"

#include <algorithm>

namespace marigoldyard {

namespace {

/// Requests in a window that all known gateways together may send to a cold
/// server.
std::uint32_t sharedBound(const ColdShareSettings &Settings,
                          const ColdLimit &Limit) {
  const double Bound =
      Limit.RequestsPerSecond * Settings.Overshoot + Settings.Reserve;
  return static_cast<std::uint32_t>(
      std::max(1.0, Bound * Settings.SharedFraction));
}

/// Number of gateways that come before this process in the rendezvous order of
/// a server.
std::size_t ownRank(const ColdShares &Shares, std::uint64_t ServerHash) {
  const std::uint64_t OwnHash = detail::nameHash(Shares.Self);
  const auto Own =
      std::make_pair(detail::rendezvousScore(ServerHash, OwnHash), OwnHash);
  return static_cast<std::size_t>(std::count_if(
      Shares.Others.begin(), Shares.Others.end(), [&](const auto &Each) {
        const std::uint64_t Hash = Each.second.NameHash;
        return Own <
               std::make_pair(detail::rendezvousScore(ServerHash, Hash), Hash);
      }));
}

/// Time after a cold phase in which a server gets more requests, but not yet
/// any number: a half to the whole of the cold time, by the server's name.
Duration releaseTime(const ColdLimit &Limit, std::uint64_t ServerHash) {
  constexpr std::uint64_t Steps = 16;
  return Limit.Time / 2 + Limit.Time / 2 *
                              static_cast<Duration::rep>(ServerHash % Steps) /
                              static_cast<Duration::rep>(Steps);
}

std::size_t sendsInWindow(const ColdShares &Shares,
                          const ColdServerState &State, TimePoint Now) {
  const auto First = std::upper_bound(State.Sends.begin(), State.Sends.end(),
                                      Now - Shares.Settings.Window);
  return static_cast<std::size_t>(State.Sends.end() - First);
}

} // namespace

void recordGateway(ColdShares &Shares, const std::string &Name,
                   std::string_view Region, TimePoint Now) {
  if (Name == Shares.Self)
    return;
  if (!Region.empty())
    Shares.LastMessageAt = std::max(Shares.LastMessageAt, Now);
  auto Known = Shares.Others.find(Name);
  if (Known == Shares.Others.end()) {
    if (Shares.Others.size() >= Shares.Settings.MaxGateways)
      return;
    Known = Shares.Others.emplace(Name, ColdShares::KnownGateway{}).first;
    Known->second.NameHash = detail::nameHash(Name);
  }
  Known->second.LastHeardAt = std::max(Known->second.LastHeardAt, Now);
  if (!Region.empty())
    Known->second.Region = Region;
}

void recordPause(ColdShares &Shares, TimePoint Now) {
  Shares.UncertainUntil = Now + Shares.Settings.PauseUncertainty;
}

std::size_t sharingGateways(const ColdShares &Shares) {
  std::map<std::string_view, std::size_t> ByRegion{{Shares.Region, 1}};
  for (const auto &[Name, Each] : Shares.Others)
    if (!Each.Region.empty())
      ++ByRegion[Each.Region];
  std::size_t Largest = 0;
  for (const auto &[Region, Count] : ByRegion)
    Largest = std::max(Largest, Count);
  const bool HasHeard = Shares.LastMessageAt != TimePoint{};
  return std::max({Shares.Others.size() + 1, Largest * Shares.Settings.Regions,
                   HasHeard ? 0 : Shares.Settings.UnknownGateways});
}

void forgetGateways(ColdShares &Shares) {
  std::erase_if(Shares.Others, [&](const auto &Each) {
    return Shares.LastMessageAt - Each.second.LastHeardAt >
           Shares.Settings.GatewayLifetime;
  });
}

std::uint32_t coldShare(const ColdShares &Shares, const ColdLimit &Limit,
                        std::string_view Server, TimePoint Now) {
  const Duration Age = Now - Shares.StartedAt;
  if (Age < Shares.Settings.ClosedTime)
    return 0;
  const std::uint32_t Bound = sharedBound(Shares.Settings, Limit);
  std::size_t Sharing = sharingGateways(Shares);
  if (Age < Shares.Settings.StartupTime)
    Sharing = std::max(Sharing, Shares.Settings.UnknownGateways);
  const auto Gateways = static_cast<std::uint32_t>(Sharing);
  const bool GetsRemainder =
      ownRank(Shares, detail::nameHash(Server)) < Bound % Gateways;
  return Bound / Gateways + (GetsRemainder ? 1 : 0);
}

void recordColdness(ColdServerState &State, Duration Remaining, TimePoint Now) {
  State.ColdUntil = Remaining > Duration::zero()
                        ? Now + Remaining
                        : std::min(State.ColdUntil, Now);
}

void recordColdStart(ColdServerState &State, const ColdLimit &Limit,
                     TimePoint Now) {
  State.ColdUntil = std::max(State.ColdUntil, Now + Limit.Time);
}

void recordColdSend(const ColdShares &Shares, ColdServerState &State,
                    TimePoint Now) {
  while (!State.Sends.empty() &&
         State.Sends.front() <= Now - Shares.Settings.Window)
    State.Sends.pop_front();
  State.Sends.push_back(Now);
}

ColdStanding coldStanding(const ColdShares &Shares, const ColdLimit &Limit,
                          const ColdServerState &State, std::string_view Server,
                          TimePoint Now) {
  if (Limit.RequestsPerSecond <= 0)
    return ColdStanding::Open;
  const std::size_t Sends = sendsInWindow(Shares, State, Now);
  const std::uint32_t Share = coldShare(Shares, Limit, Server, Now);
  if (Sends < Share)
    return ColdStanding::Open;
  const bool IsStarting = Now - Shares.StartedAt < Shares.Settings.StartupTime;
  if (Now < State.ColdUntil || Now < Shares.UncertainUntil || IsStarting)
    return ColdStanding::Closed;
  const TimePoint ReleasedAt =
      State.ColdUntil + releaseTime(Limit, detail::nameHash(Server));
  const std::size_t ReleaseShare = 2 * std::size_t{Share} + 1;
  return Now < ReleasedAt && Sends >= ReleaseShare ? ColdStanding::Closed
                                                   : ColdStanding::Exhausted;
}

} // namespace marigoldyard
