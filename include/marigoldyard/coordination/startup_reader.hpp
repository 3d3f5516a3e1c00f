#pragma once

#include "marigoldyard/state/store_item.hpp"
#include "marigoldyard/state/time.hpp"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldyard {

/// @brief Parameters of the choice which processes read the whole store.
struct StartupReaderSettings {
  /// Processes of a region that go on reading a long listing. One may fail.
  std::size_t Readers = 2;
  /// A listing that takes longer is long, or its link is full. Until then each
  /// process reads, so that a short listing waits for nobody.
  Duration Patience = std::chrono::milliseconds(300);
  /// Time after which the number of readers doubles, because those before may
  /// not reach the store although they run.
  Duration WideningInterval = std::chrono::milliseconds(1500);
};

/// @brief A live process of the same region.
struct StartupNeighbour {
  std::string Name;
  bool IsInformed = false; ///< it has the content of the store
};

/// @brief Whether a process without content reads the whole store. All of a
/// region share a link, so that only few of them may read a long listing at the
/// same time; the others are told by these.
/// @param Region name of the region
/// @param Self name of this process
/// @param Neighbours live processes of the region, without this one; those not
/// known yet are left out, which only adds readers
/// @param SinceStart time since this process first wanted to read
/// @complexity linear in the number of neighbours
bool mayReadAll(const StartupReaderSettings &Settings, std::string_view Region,
                std::string_view Self,
                const std::vector<StartupNeighbour> &Neighbours,
                Duration SinceStart);

/// @brief A gateway that can relay content of the store.
struct RelaySource {
  std::string Name;
  StorePosition Position; ///< up to which it knows the store
  bool IsInOwnRegion = true;
};

/// @brief Parameters of relay requests.
struct RelaySettings {
  /// Shortest time between two requests.
  Duration Interval = std::chrono::milliseconds(300);
  /// A relay that did not arrive in this time is requested again, of another
  /// gateway where there is one. The second wait and those after it are longer,
  /// since a large relay takes long on a full link, and a second copy would
  /// make it longer.
  Duration MinWait = std::chrono::milliseconds(1000);
  Duration MaxWait = std::chrono::milliseconds(2000);
  /// A relay of more bytes is sent to the same process only once in this time.
  Duration LargeInterval = std::chrono::milliseconds(900);
  std::size_t LargeBytes = 64UL << 10;
  /// Large relays that a process sends in LargeInterval. Those that ask in vain
  /// find more gateways that know the content when they ask again, which is
  /// sooner than the end of a long queue at the first one.
  std::size_t MaxLargeRelays = 4;
};

/// @brief Relay requests of one process.
struct RelayRequests {
  RelaySettings Settings;
  std::string Pending; ///< gateway that was asked; empty: none
  std::string Failed;  ///< gateway that did not answer in time
  TimePoint RequestedAt{};
  Duration Wait{};
};

/// @brief Chooses the gateway that is asked for a relay, and records the
/// request.
/// @param Sources gateways that are live
/// @param Known position up to which this process knows the store
/// @param MayUseLink whether a gateway of another region may be asked when none
/// of the own one knows more
/// @param Self name of this process, which spreads requests over the gateways
/// of the region
/// @return the gateway; empty while a relay is on its way, too soon after the
/// last request, or when no gateway knows more
/// @complexity linear in the number of sources
std::optional<std::string>
requestRelayFrom(RelayRequests &Requests,
                 const std::vector<RelaySource> &Sources, StorePosition Known,
                 bool MayUseLink, std::string_view Self, TimePoint Now);

/// @brief Records that a relay arrived.
/// @param Source gateway that sent it
void recordRelayArrived(RelayRequests &Requests, std::string_view Source);

/// @brief Relays that this process sent, so that a process that asks again does
/// not get a second copy of a large one.
struct SentRelays {
  RelaySettings Settings;
  std::map<std::string, TimePoint, std::less<>> LargeSentAt; ///< by receiver
};

/// @brief Whether a relay is sent, and records it if so. A large one is left
/// out after one to the same receiver, or after several to others.
/// @param Receiver process that asked for it
/// @param Bytes size of the relay
/// @complexity linear in the number of receivers of large relays
bool maySendRelay(SentRelays &Sent, const std::string &Receiver,
                  std::size_t Bytes, TimePoint Now);

} // namespace marigoldyard
