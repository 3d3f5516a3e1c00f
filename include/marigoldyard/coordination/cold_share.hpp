#pragma once

#include "marigoldyard/state/time.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldyard {

/// @brief Cold servers of a pool.
struct ColdLimit {
  double RequestsPerSecond = 0; ///< that a cold server tolerates; 0: no limit
  Duration Time{};              ///< for which a server is cold after its start
};

/// @brief Parameters of the requests to cold servers.
struct ColdShareSettings {
  double Overshoot = 1; ///< factor of ColdLimit::RequestsPerSecond
  double Reserve = 0;   ///< requests a second besides
  /// Part of the bound that the known gateways share. The rest is for a gateway
  /// that is not known to all others yet.
  double SharedFraction = 0.9;
  /// Time over which the requests of a gateway are counted: the second of the
  /// bound, and the longest time between the choice of a server and the moment
  /// at which the request is on its way.
  Duration Window = std::chrono::milliseconds(1500);
  /// A gateway that was not heard of for this long is forgotten. Until then
  /// both sides of a partition compute the same shares.
  Duration GatewayLifetime = std::chrono::minutes(10);
  /// After its start a process does not know what its predecessor sent in the
  /// last second.
  Duration ClosedTime = std::chrono::seconds(1);
  /// Nor does it know which gateways there are, and which servers are cold. It
  /// sends no server more than the share among UnknownGateways. Nothing at all
  /// for so long would turn away the callers of a fleet that was restarted.
  Duration StartupTime = std::chrono::seconds(3);
  std::size_t MaxGateways = 1024; ///< limits the memory of the table
  /// Number of gateways that a process assumes which has not heard of any.
  std::size_t UnknownGateways = 32;
  /// Regions of the deployment. Each is taken to have as many gateways as the
  /// largest that is known, since a process may start without contact to them.
  std::size_t Regions = 1;
  /// Time after a pause of this process in which every server may be cold.
  Duration PauseUncertainty = std::chrono::seconds(2);
};

/// @brief The gateways among which the bound of a cold server is divided.
///
/// No counter is shared, so each gateway computes its own part from the names
/// of all known gateways, in which all parts add up to the bound.
struct ColdShares {
  /// A gateway that runs, or did until recently.
  struct KnownGateway {
    std::uint64_t NameHash = 0;
    TimePoint LastHeardAt{};
    std::string Region; ///< empty until it has sent a message
  };

  ColdShareSettings Settings;
  std::string Self;
  TimePoint StartedAt{};
  std::string Region; ///< of this process
  /// By name; without this process.
  std::map<std::string, KnownGateway, std::less<>> Others;
  TimePoint LastMessageAt{};  ///< of any gateway
  TimePoint UncertainUntil{}; ///< every server may be cold until then
};

/// @brief Requests of this process to one server.
struct ColdServerState {
  TimePoint ColdUntil{};       ///< as far as is known
  std::deque<TimePoint> Sends; ///< within the window, oldest first
};

/// @brief Whether this process may send one more request to a server.
enum class ColdStanding : std::uint8_t {
  Open,      ///< the share is not used up, or there is none
  Exhausted, ///< it is used up, and the server may turn cold at any moment
  Closed,    ///< it is used up, and the server is cold
};

/// @brief Records that a gateway runs, or that another one has heard of it.
/// @param Name a new one is left out when the table is full
/// @param Region of a gateway that has sent a message; empty when another one
/// has told of it
/// @complexity logarithmic in the number of gateways
void recordGateway(ColdShares &Shares, const std::string &Name,
                   std::string_view Region, TimePoint Now);

/// @brief Records that this process stood still. What it knows of the servers
/// is older than it seems.
void recordPause(ColdShares &Shares, TimePoint Now);

/// @brief Returns the number of gateways among which a bound is divided: those
/// that are known, or more if regions may be missing.
/// @complexity linear in the number of gateways
std::size_t sharingGateways(const ColdShares &Shares);

/// @brief Forgets the gateways that were not heard of for long while others
/// were. A process that hears of nobody keeps its list.
/// @complexity linear in the number of gateways
void forgetGateways(ColdShares &Shares);

/// @brief Returns the part of this process in the requests to a cold server.
/// @param Limit of the pool
/// @param Server id of the server
/// @param Now shortly after the start of this process the share is smaller
/// @return requests in each window
/// @complexity linear in the number of gateways
std::uint32_t coldShare(const ColdShares &Shares, const ColdLimit &Limit,
                        std::string_view Server, TimePoint Now);

/// @brief Records how long a server stays cold, as it says itself.
/// @param Remaining zero when it is not cold
void recordColdness(ColdServerState &State, Duration Remaining, TimePoint Now);

/// @brief Records that a server has started or may have turned cold.
/// @param Limit of the pool
void recordColdStart(ColdServerState &State, const ColdLimit &Limit,
                     TimePoint Now);

/// @brief Records a request that is sent to a server.
/// @complexity amortized constant
void recordColdSend(const ColdShares &Shares, ColdServerState &State,
                    TimePoint Now);

/// @brief Returns whether one more request may be sent to a server now.
///
/// A server may turn cold at any moment, and this becomes known some seconds
/// later, so that the share is counted for servers that are not cold too. After
/// a server was cold, at most twice its share is sent for a time that differs
/// between servers, so that not all of a domain are released at once.
/// @param Limit of the pool
/// @param Server id of the server
/// @complexity linear in the number of gateways
ColdStanding coldStanding(const ColdShares &Shares, const ColdLimit &Limit,
                          const ColdServerState &State, std::string_view Server,
                          TimePoint Now);

} // namespace marigoldyard
