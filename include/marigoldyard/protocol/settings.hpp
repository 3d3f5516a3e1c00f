#pragma once

#include "marigoldyard/protocol/fault_list.hpp"
#include "marigoldyard/state/time.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldyard {

/// @brief One key that authenticates messages between processes.
struct MessageKey {
  std::string Id;
  std::string Secret;
};

/// @brief Address of a server.
struct ServerAddress {
  std::string Host; ///< IP address
  std::uint16_t Port = 0;

  friend bool operator==(const ServerAddress &,
                         const ServerAddress &) = default;
};

/// @brief Settings that entries and agents share.
struct ProcessSettings {
  std::string Name;
  std::string Address; ///< own IP address without port
  std::string Region;
  std::string FailureDomain;
  std::uint16_t OperatorPort = 0;
  std::uint16_t PeerPort = 0;
  std::uint16_t BulkPort = 0;
  ServerAddress ConfigurationService;
  ServerAddress VmList;
  std::vector<MessageKey> Keys; ///< the first signs, all verify
  std::chrono::milliseconds DrainDeadline{};
  std::chrono::milliseconds ListLag{};
};

/// @brief Settings of marigold-entry.
struct EntrySettings {
  ProcessSettings Process;
  std::uint16_t CallerPort = 0;
};

/// @brief What an agent stands beside.
enum class EndpointKind : std::uint8_t { Engine, Service };

/// @brief Settings of marigold-agent.
struct AgentSettings {
  ProcessSettings Process;
  std::string Pool;
  ServerAddress Endpoint;
  EndpointKind Kind = EndpointKind::Engine;
  ServerAddress Store;
  std::string StoreRegion;
  std::uint32_t Slots = 0;   ///< concurrent requests
  bool ResumeStreams = true; ///< the engine pauses and resumes streams
  std::uint64_t WeightsBufferBytes = 0;
  std::uint64_t UploadBytesPerSecond = 0;
  std::uint64_t RegionLinkBytesPerSecond = 0;
};

/// @brief Settings of marigoldctl. Options of its command line replace them.
struct CtlSettings {
  ServerAddress VmList;
  std::uint16_t OperatorPort = 0; ///< of all daemons
};

/// @brief Parses and checks the settings of marigold-entry.
/// @param Text JSON with comments
/// @return the settings, or all faults
/// @complexity O(n log n) in the length of the text
Checked<EntrySettings> parseEntrySettings(std::string_view Text);

/// @brief Parses and checks the settings of marigold-agent.
/// @param Text JSON with comments
/// @return the settings, or all faults
/// @complexity O(n log n) in the length of the text
Checked<AgentSettings> parseAgentSettings(std::string_view Text);

/// @brief Parses and checks the settings of marigoldctl.
/// @param Text JSON with comments
/// @return the settings, or all faults
/// @complexity O(n log n) in the length of the text
Checked<CtlSettings> parseCtlSettings(std::string_view Text);

/// @brief Reference page of the settings of all programs.
/// @return Markdown
std::string settingsReference();

} // namespace marigoldyard
