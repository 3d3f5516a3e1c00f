#include "marigoldyard/coordination/startup_reader.hpp"

#include "marigoldyard/coordination/detail/rendezvous.hpp"

#include <algorithm>
#include <tuple>

namespace marigoldyard {

namespace {

/// Doublings after which every process of a region reads.
constexpr Duration::rep MaxDoublings = 16;

std::uint64_t order(std::string_view Key, std::string_view Name) {
  return detail::rendezvousScore(detail::nameHash(Key), detail::nameHash(Name));
}

bool isLate(const RelayRequests &Requests, TimePoint Now) {
  return Now - Requests.RequestedAt >= Requests.Wait;
}

} // namespace

bool mayReadAll(const StartupReaderSettings &Settings, std::string_view Region,
                std::string_view Self,
                const std::vector<StartupNeighbour> &Neighbours,
                Duration SinceStart) {
  if (SinceStart < Settings.Patience)
    return true;
  const std::uint64_t Own = order(Region, Self);
  const auto Before = std::count_if(
      Neighbours.begin(), Neighbours.end(), [&](const StartupNeighbour &Each) {
        return Each.IsInformed || order(Region, Each.Name) > Own;
      });
  const Duration::rep Doublings =
      std::min(MaxDoublings,
               (SinceStart - Settings.Patience) / Settings.WideningInterval);
  return static_cast<std::size_t>(Before) < Settings.Readers << Doublings;
}

std::optional<std::string>
requestRelayFrom(RelayRequests &Requests,
                 const std::vector<RelaySource> &Sources, StorePosition Known,
                 bool MayUseLink, std::string_view Self, TimePoint Now) {
  const bool IsOnItsWay = !Requests.Pending.empty();
  if (IsOnItsWay && !isLate(Requests, Now))
    return std::nullopt;
  if (!IsOnItsWay && Now - Requests.RequestedAt < Requests.Settings.Interval)
    return std::nullopt;
  const RelaySource *Best = nullptr;
  // The newest content of another region, since it crosses the link once; the
  // gateways of the own region are as good as each other, and are taken in an
  // order that differs between those that ask.
  const auto Rank = [&](const RelaySource &Each) {
    return std::make_tuple(
        Each.Name != (IsOnItsWay ? Requests.Pending : Requests.Failed),
        Each.IsInOwnRegion,
        Each.IsInOwnRegion ? StorePosition{} : Each.Position,
        order(Self, Each.Name));
  };
  for (const RelaySource &Each : Sources)
    if (Each.Position > Known && (Each.IsInOwnRegion || MayUseLink) &&
        (Best == nullptr || Rank(Each) > Rank(*Best)))
      Best = &Each;
  if (Best == nullptr)
    return std::nullopt;
  const RelaySettings &Settings = Requests.Settings;
  Requests.Wait = IsOnItsWay ? std::min(Settings.MaxWait, 2 * Requests.Wait)
                             : Settings.MinWait;
  Requests.Failed = IsOnItsWay ? Requests.Pending : std::string();
  Requests.Pending = Best->Name;
  Requests.RequestedAt = Now;
  return Best->Name;
}

void recordRelayArrived(RelayRequests &Requests, std::string_view Source) {
  if (Requests.Pending == Source)
    Requests.Pending.clear();
}

bool maySendRelay(SentRelays &Sent, const std::string &Receiver,
                  std::size_t Bytes, TimePoint Now) {
  if (Bytes < Sent.Settings.LargeBytes)
    return true;
  std::erase_if(Sent.LargeSentAt, [&](const auto &Each) {
    return Now - Each.second >= Sent.Settings.LargeInterval;
  });
  return Sent.LargeSentAt.size() < Sent.Settings.MaxLargeRelays &&
         Sent.LargeSentAt.emplace(Receiver, Now).second;
}

} // namespace marigoldyard
