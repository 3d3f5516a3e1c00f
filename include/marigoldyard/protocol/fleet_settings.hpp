#pragma once

#include "marigoldyard/protocol/settings.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldyard {

/// @brief Settings that gateways and stagers share.
struct FleetProcessSettings {
  std::string Name;
  std::string Address; ///< own IP address without port
  std::string Region;
  std::string FailureDomain;
  std::uint16_t PeerPort = 0;     ///< messages between processes
  std::uint16_t BulkPort = 0;     ///< chunks between processes
  std::uint16_t OperatorPort = 0; ///< metrics and status
  ServerAddress Store;
  std::vector<std::string> Seeds; ///< IP addresses of gateways
  std::map<std::string, std::string, std::less<>>
      RegionOf; ///< failure domain to region
  std::vector<MessageKey> Keys;
  /// Time from the declaration of a version until no request may begin on an
  /// older one.
  std::chrono::milliseconds VersionLimit{};
  std::chrono::milliseconds DrainLimit{}; ///< between SIGTERM and exit
  double LinkBitsPerSecond = 0;
};

/// @brief Settings of a gateway.
struct GatewaySettings {
  FleetProcessSettings Process;
  ServerAddress Callers;
  ServerAddress Readiness;
  ServerAddress Directory;
  std::chrono::seconds DirectoryTime{}; ///< callers may keep an answer
  double RetryShare = 0;   ///< repeats as a share of requests, of all gateways
  double RetryReserve = 0; ///< repeats besides, of all gateways
  /// Requests that a cold server may get in a second from all gateways, as a
  /// multiple of what its pool's configuration tolerates, and besides.
  double ColdOvershoot = 1;
  double ColdReserve = 0;
  /// Of the machine; sizes what is held for callers.
  double MemoryMegabytes = 512;
  std::size_t MaxDescriptors = 4096; ///< that the process may have open
};

/// @brief Settings of a stager.
struct StagerSettings {
  FleetProcessSettings Process;
  ServerAddress Engine;
  std::string Pool; ///< that the server belongs to
};

/// @brief Parses and checks the settings of a gateway.
/// @param Text JSON with comments
/// @return the settings, or all faults
Checked<GatewaySettings> parseGatewaySettings(std::string_view Text);

/// @brief Parses and checks the settings of a stager.
/// @param Text JSON with comments
/// @return the settings, or all faults
Checked<StagerSettings> parseStagerSettings(std::string_view Text);

/// @brief Reference of all settings as Markdown.
std::string fleetSettingsReference();

/// @brief "host:port" of an address.
/// @param Address the address
std::string addressText(const ServerAddress &Address);

} // namespace marigoldyard
