#include "marigoldyard/protocol/fleet_settings.hpp"

#include "marigoldyard/protocol/detail/settings_parts.hpp"

namespace marigoldyard {
namespace {

using detail::KeyDescription;
using detail::MaxNameBytes;
using detail::MaxPort;
using detail::MessageKeyMembers;
using detail::serverAddress;
using detail::ValueKind;
using nlohmann::json;

constexpr double MaxTimeMs = 3'600'000;
constexpr double MaxDrainSeconds = 3600;
constexpr double MaxRepeats = 1e6;
constexpr double MaxColdFactor = 1e3;
constexpr double MaxMemoryMb = 1 << 20;
constexpr double MaxDescriptors = 1 << 20;
constexpr double MaxLinkMbps = 1e6;
constexpr double BitsPerMegabit = 1e6;

constexpr KeyDescription SeedMembers[] = {
    {.Key = "address",
     .Kind = ValueKind::HostPort,
     .Help = "any address of a gateway; its port is not used"},
};

constexpr KeyDescription DomainMembers[] = {
    {.Key = "failure_domain",
     .Kind = ValueKind::Name,
     .Maximum = MaxNameBytes,
     .Help = "failure domain"},
    {.Key = "region",
     .Kind = ValueKind::Name,
     .Maximum = MaxNameBytes,
     .Help = "region it belongs to"},
};

constexpr KeyDescription ProcessMembers[] = {
    {.Key = "name",
     .Kind = ValueKind::Name,
     .Maximum = MaxNameBytes,
     .Help = "name of the VM, for logs"},
    {.Key = "address",
     .Kind = ValueKind::Address,
     .Help = "own address; the ports below are opened on it"},
    {.Key = "region",
     .Kind = ValueKind::Name,
     .Maximum = MaxNameBytes,
     .Help = "region of the VM"},
    {.Key = "failure_domain",
     .Kind = ValueKind::Name,
     .Maximum = MaxNameBytes,
     .Help = "failure domain of the VM"},
    {.Key = "peer_port",
     .Kind = ValueKind::Integer,
     .Unit = "port",
     .Minimum = 1,
     .Maximum = MaxPort,
     .Help = "messages between processes"},
    {.Key = "bulk_port",
     .Kind = ValueKind::Integer,
     .Unit = "port",
     .Minimum = 1,
     .Maximum = MaxPort,
     .Help = "chunks between processes"},
    {.Key = "operator_port",
     .Kind = ValueKind::Integer,
     .Unit = "port",
     .Minimum = 1,
     .Maximum = MaxPort,
     .Help = "HTTP for operators"},
    {.Key = "store", .Kind = ValueKind::HostPort, .Help = "platform's store"},
    {.Key = "seeds",
     .Kind = ValueKind::ObjectList,
     .Help = "gateways that are asked first; they may be down",
     .Members = SeedMembers},
    {.Key = "domains",
     .Kind = ValueKind::ObjectList,
     .Help = "failure domains and their regions",
     .Members = DomainMembers,
     .UniqueKey = "failure_domain"},
    {.Key = "keys",
     .Kind = ValueKind::ObjectList,
     .Minimum = 1,
     .Help = "keys of messages; the first signs, all verify",
     .Members = MessageKeyMembers,
     .UniqueKey = "id"},
    {.Key = "version_limit_ms",
     .Kind = ValueKind::Integer,
     .Unit = "ms",
     .Minimum = 1,
     .Maximum = MaxTimeMs,
     .Default = "8000",
     .Help = "time after which no request begins on an older version"},
    {.Key = "drain_limit_s",
     .Kind = ValueKind::Number,
     .Unit = "s",
     .Minimum = 0.1,
     .Maximum = MaxDrainSeconds,
     .Default = "8",
     .Help = "longest time between SIGTERM and exit"},
    {.Key = "link_mbps",
     .Kind = ValueKind::Number,
     .Unit = "Mbit/s",
     .Minimum = 0.001,
     .Maximum = MaxLinkMbps,
     .Help = "rate of the VM's link"},
};

constexpr KeyDescription GatewayMembers[] = {
    {.Key = "callers",
     .Kind = ValueKind::HostPort,
     .Help = "address for callers"},
    {.Key = "readiness",
     .Kind = ValueKind::HostPort,
     .Help = "address for readiness checks"},
    {.Key = "directory",
     .Kind = ValueKind::HostPort,
     .Help = "address for questions which gateways to use"},
    {.Key = "directory_time_s",
     .Kind = ValueKind::Integer,
     .Unit = "s",
     .Minimum = 1,
     .Maximum = 3600,
     .Default = "2",
     .Help = "how long callers may keep an answer of the directory"},
    {.Key = "retry_share",
     .Kind = ValueKind::Number,
     .Unit = "repeats a request",
     .Minimum = 0,
     .Maximum = 1,
     .Default = "0.1",
     .Help = "repeats that all gateways may send, as a share of requests"},
    {.Key = "retry_reserve",
     .Kind = ValueKind::Number,
     .Unit = "repeats",
     .Minimum = 0,
     .Maximum = MaxRepeats,
     .Default = "10",
     .Help = "repeats that all gateways may send besides"},
    {.Key = "cold_overshoot",
     .Kind = ValueKind::Number,
     .Unit = "requests a request",
     .Minimum = 0,
     .Maximum = MaxColdFactor,
     .Default = "1",
     .Help = "requests a second that all gateways may send to a cold server, "
             "as a multiple of the rate in the pool's configuration"},
    {.Key = "cold_reserve",
     .Kind = ValueKind::Number,
     .Unit = "requests/s",
     .Minimum = 0,
     .Maximum = MaxRepeats,
     .Default = "0",
     .Help = "requests a second that all gateways may send to a cold server "
             "besides"},
    {.Key = "memory_mb",
     .Kind = ValueKind::Number,
     .Unit = "MB",
     .Minimum = 1,
     .Maximum = MaxMemoryMb,
     .Default = "512",
     .Help = "memory of the VM; a quarter, and at least 16 MB, may be used for "
             "requests of callers and for responses that they read slowly"},
    {.Key = "max_fds",
     .Kind = ValueKind::Integer,
     .Unit = "descriptors",
     .Minimum = 1,
     .Maximum = MaxDescriptors,
     .Default = "4096",
     .Help = "descriptors that the process may have open; half of them beyond "
             "200, and at least 16, are for connections of callers"},
};

constexpr KeyDescription StagerMembers[] = {
    {.Key = "engine",
     .Kind = ValueKind::HostPort,
     .Help = "model server on the same VM"},
    {.Key = "pool",
     .Kind = ValueKind::Name,
     .Maximum = MaxNameBytes,
     .Help = "pool that the server belongs to"},
};

std::chrono::milliseconds milliseconds(const json &Value) {
  return std::chrono::milliseconds(Value.get<std::int64_t>());
}

FleetProcessSettings processSettings(const json &Value) {
  FleetProcessSettings Result;
  Result.Name = Value.at("name").get<std::string>();
  Result.Address = Value.at("address").get<std::string>();
  Result.Region = Value.at("region").get<std::string>();
  Result.FailureDomain = Value.at("failure_domain").get<std::string>();
  Result.PeerPort = Value.at("peer_port").get<std::uint16_t>();
  Result.BulkPort = Value.at("bulk_port").get<std::uint16_t>();
  Result.OperatorPort = Value.at("operator_port").get<std::uint16_t>();
  Result.Store = serverAddress(Value.at("store"));
  for (const json &Seed : Value.at("seeds"))
    Result.Seeds.push_back(serverAddress(Seed.at("address")).Host);
  for (const json &Domain : Value.at("domains"))
    Result.RegionOf[Domain.at("failure_domain").get<std::string>()] =
        Domain.at("region").get<std::string>();
  Result.Keys = detail::messageKeys(Value.at("keys"));
  Result.VersionLimit = milliseconds(Value.at("version_limit_ms"));
  Result.DrainLimit = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::duration<double>(Value.at("drain_limit_s").get<double>()));
  Result.LinkBitsPerSecond =
      Value.at("link_mbps").get<double>() * BitsPerMegabit;
  return Result;
}

/// Parses and checks a document; the value is discarded when there are faults.
json checkedDocument(std::string_view Text, std::span<const KeyDescription> Own,
                     std::vector<DocumentFault> &Faults) {
  json Value = detail::parseDocument(Text, Faults);
  if (Value.is_discarded())
    return Value;
  std::vector<KeyDescription> Members(std::begin(ProcessMembers),
                                      std::end(ProcessMembers));
  Members.insert(Members.end(), Own.begin(), Own.end());
  detail::checkObject(Value, "", Members, Faults);
  return Value;
}

} // namespace

Checked<GatewaySettings> parseGatewaySettings(std::string_view Text) {
  Checked<GatewaySettings> Result;
  const json Value = checkedDocument(Text, GatewayMembers, Result.Faults);
  if (!Result.Faults.empty())
    return Result;
  GatewaySettings Settings;
  Settings.Process = processSettings(Value);
  Settings.Callers = serverAddress(Value.at("callers"));
  Settings.Readiness = serverAddress(Value.at("readiness"));
  Settings.Directory = serverAddress(Value.at("directory"));
  Settings.DirectoryTime =
      std::chrono::seconds(Value.at("directory_time_s").get<std::int64_t>());
  Settings.RetryShare = Value.at("retry_share").get<double>();
  Settings.RetryReserve = Value.at("retry_reserve").get<double>();
  Settings.ColdOvershoot = Value.at("cold_overshoot").get<double>();
  Settings.ColdReserve = Value.at("cold_reserve").get<double>();
  Settings.MemoryMegabytes = Value.at("memory_mb").get<double>();
  Settings.MaxDescriptors = Value.at("max_fds").get<std::size_t>();
  Result.Value = std::move(Settings);
  return Result;
}

Checked<StagerSettings> parseStagerSettings(std::string_view Text) {
  Checked<StagerSettings> Result;
  const json Value = checkedDocument(Text, StagerMembers, Result.Faults);
  if (Result.Faults.empty())
    Result.Value = StagerSettings{processSettings(Value),
                                  serverAddress(Value.at("engine")),
                                  Value.at("pool").get<std::string>()};
  return Result;
}

std::string fleetSettingsReference() {
  return "## Settings on the platform\n\n" +
         detail::referenceTable("Gateways and stagers", ProcessMembers) + "\n" +
         detail::referenceTable("Gateways", GatewayMembers) + "\n" +
         detail::referenceTable("Stagers", StagerMembers);
}

std::string addressText(const ServerAddress &Address) {
  return Address.Host + ":" + std::to_string(Address.Port);
}

} // namespace marigoldyard
