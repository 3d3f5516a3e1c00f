#include "marigoldyard/protocol/settings.hpp"

#include "marigoldyard/protocol/detail/settings_parts.hpp"

#include <array>
#include <map>

namespace marigoldyard {
namespace {

using detail::KeyDescription;
using detail::MaxNameBytes;
using detail::MaxPort;
using detail::MessageKeyMembers;
using detail::serverAddress;
using detail::ValueKind;
using nlohmann::json;

constexpr double MaxDrainMs = 3'600'000;
constexpr double MaxSlots = 4096;
constexpr double MaxBytes = 1e12;

constexpr std::string_view EndpointKinds[] = {"engine", "service"};

constexpr KeyDescription ProcessMembers[] = {
    {.Key = "name",
     .Kind = ValueKind::Name,
     .Maximum = MaxNameBytes,
     .Help = "name of the VM as in the VM list"},
    {.Key = "address",
     .Kind = ValueKind::Address,
     .Help = "own address; all ports are opened on it"},
    {.Key = "region",
     .Kind = ValueKind::Name,
     .Maximum = MaxNameBytes,
     .Help = "region of the VM"},
    {.Key = "failure_domain",
     .Kind = ValueKind::Name,
     .Maximum = MaxNameBytes,
     .Help = "failure domain of the VM"},
    {.Key = "operator_port",
     .Kind = ValueKind::Integer,
     .Unit = "port",
     .Minimum = 1,
     .Maximum = MaxPort,
     .Default = "8081",
     .Help = "HTTP for operators"},
    {.Key = "peer_port",
     .Kind = ValueKind::Integer,
     .Unit = "port",
     .Minimum = 1,
     .Maximum = MaxPort,
     .Default = "8082",
     .Help = "messages between processes"},
    {.Key = "bulk_port",
     .Kind = ValueKind::Integer,
     .Unit = "port",
     .Minimum = 1,
     .Maximum = MaxPort,
     .Default = "8083",
     .Help = "chunks between processes"},
    {.Key = "configuration_service",
     .Kind = ValueKind::HostPort,
     .Help = "configuration service"},
    {.Key = "vm_list", .Kind = ValueKind::HostPort, .Help = "VM list"},
    {.Key = "keys",
     .Kind = ValueKind::ObjectList,
     .Minimum = 1,
     .Help = "keys of messages; the first signs, all verify",
     .Members = MessageKeyMembers,
     .UniqueKey = "id"},
    {.Key = "drain_deadline_ms",
     .Kind = ValueKind::Integer,
     .Unit = "ms",
     .Minimum = 1,
     .Maximum = MaxDrainMs,
     .Default = "30000",
     .Help = "longest time between SIGTERM and exit"},
    {.Key = "vm_list_lag_ms",
     .Kind = ValueKind::Integer,
     .Unit = "ms",
     .Minimum = 1,
     .Maximum = MaxDrainMs,
     .Default = "60000",
     .Help = "how long the VM list lags; a silent member is forgotten after "
             "twice this time"},
};

constexpr KeyDescription EntryMembers[] = {
    {.Key = "caller_port",
     .Kind = ValueKind::Integer,
     .Unit = "port",
     .Minimum = 1,
     .Maximum = MaxPort,
     .Default = "8080",
     .Help = "HTTP for callers"},
};

constexpr KeyDescription AgentMembers[] = {
    {.Key = "pool",
     .Kind = ValueKind::Name,
     .Maximum = MaxNameBytes,
     .Help = "pool of the endpoint"},
    {.Key = "endpoint",
     .Kind = ValueKind::HostPort,
     .Help = "engine or plain service beside the agent"},
    {.Key = "endpoint_kind",
     .Kind = ValueKind::Choice,
     .Default = "\"engine\"",
     .Help = "what stands at the endpoint",
     .Choices = EndpointKinds},
    {.Key = "store",
     .Kind = ValueKind::HostPort,
     .Help = "weight store, the origin"},
    {.Key = "store_region",
     .Kind = ValueKind::Name,
     .Maximum = MaxNameBytes,
     .Help = "region of the weight store"},
    {.Key = "slots",
     .Kind = ValueKind::Integer,
     .Unit = "concurrent requests",
     .Minimum = 1,
     .Maximum = MaxSlots,
     .Default = "8",
     .Help = "requests that run at once"},
    {.Key = "resume_streams",
     .Kind = ValueKind::Boolean,
     .Default = "true",
     .Help = "the engine pauses and resumes streams, so that urgent work need "
             "not wait for a batch stream"},
    {.Key = "weights_buffer_bytes",
     .Kind = ValueKind::Integer,
     .Unit = "bytes",
     .Minimum = 1,
     .Maximum = MaxBytes,
     .Default = "134217728",
     .Help = "memory for chunks that are served to peers"},
    {.Key = "upload_bytes_per_second",
     .Kind = ValueKind::Integer,
     .Unit = "bytes/s",
     .Minimum = 1,
     .Maximum = MaxBytes,
     .Default = "12500000",
     .Help = "upload of chunks to peers"},
    {.Key = "region_link_bytes_per_second",
     .Kind = ValueKind::Integer,
     .Unit = "bytes/s",
     .Minimum = 1,
     .Maximum = MaxBytes,
     .Default = "2500000",
     .Help = "capacity of the link between regions in each direction"},
};

constexpr KeyDescription CtlMembers[] = {
    {.Key = "vm_list", .Kind = ValueKind::HostPort, .Help = "VM list"},
    {.Key = "operator_port",
     .Kind = ValueKind::Integer,
     .Unit = "port",
     .Minimum = 1,
     .Maximum = MaxPort,
     .Default = "8081",
     .Help = "operator port of all daemons"},
};

std::vector<KeyDescription>
withProcessMembers(std::span<const KeyDescription> Own) {
  std::vector<KeyDescription> Members(std::begin(ProcessMembers),
                                      std::end(ProcessMembers));
  Members.insert(Members.end(), Own.begin(), Own.end());
  return Members;
}

/// Reports ports that are used twice on the address of one process.
void checkPorts(const json &Value, std::vector<DocumentFault> &Faults) {
  std::map<json, std::string> Seen;
  for (const char *Key :
       {"caller_port", "operator_port", "peer_port", "bulk_port"}) {
    if (!Value.contains(Key) || !Value[Key].is_number_integer())
      continue;
    const auto [It, New] = Seen.emplace(Value[Key], Key);
    if (!New)
      Faults.push_back(
          {"/" + std::string(Key),
           "duplicate port " + Value[Key].dump() + ", also in /" + It->second,
           "distinct ports"});
  }
}

json checkedDocument(std::string_view Text,
                     std::span<const KeyDescription> Members,
                     std::vector<DocumentFault> &Faults) {
  json Value = detail::parseDocument(Text, Faults);
  if (Value.is_discarded())
    return Value;
  detail::checkObject(Value, "", Members, Faults);
  if (Value.is_object())
    checkPorts(Value, Faults);
  return Value;
}

ProcessSettings processSettings(const json &Value) {
  ProcessSettings Result;
  Result.Name = Value.at("name").get<std::string>();
  Result.Address = Value.at("address").get<std::string>();
  Result.Region = Value.at("region").get<std::string>();
  Result.FailureDomain = Value.at("failure_domain").get<std::string>();
  Result.OperatorPort = Value.at("operator_port").get<std::uint16_t>();
  Result.PeerPort = Value.at("peer_port").get<std::uint16_t>();
  Result.BulkPort = Value.at("bulk_port").get<std::uint16_t>();
  Result.ConfigurationService =
      serverAddress(Value.at("configuration_service"));
  Result.VmList = serverAddress(Value.at("vm_list"));
  Result.Keys = detail::messageKeys(Value.at("keys"));
  Result.DrainDeadline = std::chrono::milliseconds(
      Value.at("drain_deadline_ms").get<std::int64_t>());
  Result.ListLag =
      std::chrono::milliseconds(Value.at("vm_list_lag_ms").get<std::int64_t>());
  return Result;
}

} // namespace

ServerAddress detail::serverAddress(const json &Value) {
  const std::string Text = Value.get<std::string>();
  const std::size_t Colon = Text.rfind(':');
  std::string Host = Text.substr(0, Colon);
  if (Host.front() == '[')
    Host = Host.substr(1, Host.size() - 2);
  return {Host, static_cast<std::uint16_t>(std::stoul(Text.substr(Colon + 1)))};
}

std::vector<MessageKey> detail::messageKeys(const json &Value) {
  std::vector<MessageKey> Keys;
  for (const json &Key : Value)
    Keys.push_back(
        {Key.at("id").get<std::string>(), Key.at("secret").get<std::string>()});
  return Keys;
}

Checked<EntrySettings> parseEntrySettings(std::string_view Text) {
  Checked<EntrySettings> Result;
  const json Value =
      checkedDocument(Text, withProcessMembers(EntryMembers), Result.Faults);
  if (Result.Faults.empty())
    Result.Value = EntrySettings{processSettings(Value),
                                 Value.at("caller_port").get<std::uint16_t>()};
  return Result;
}

Checked<AgentSettings> parseAgentSettings(std::string_view Text) {
  Checked<AgentSettings> Result;
  const json Value =
      checkedDocument(Text, withProcessMembers(AgentMembers), Result.Faults);
  if (!Result.Faults.empty())
    return Result;
  AgentSettings Settings;
  Settings.Process = processSettings(Value);
  Settings.Pool = Value.at("pool").get<std::string>();
  Settings.Endpoint = serverAddress(Value.at("endpoint"));
  Settings.Kind = Value.at("endpoint_kind") == "engine" ? EndpointKind::Engine
                                                        : EndpointKind::Service;
  Settings.Store = serverAddress(Value.at("store"));
  Settings.StoreRegion = Value.at("store_region").get<std::string>();
  Settings.Slots = Value.at("slots").get<std::uint32_t>();
  Settings.ResumeStreams = Value.at("resume_streams").get<bool>();
  Settings.WeightsBufferBytes =
      Value.at("weights_buffer_bytes").get<std::uint64_t>();
  Settings.UploadBytesPerSecond =
      Value.at("upload_bytes_per_second").get<std::uint64_t>();
  Settings.RegionLinkBytesPerSecond =
      Value.at("region_link_bytes_per_second").get<std::uint64_t>();
  Result.Value = std::move(Settings);
  return Result;
}

Checked<CtlSettings> parseCtlSettings(std::string_view Text) {
  Checked<CtlSettings> Result;
  const json Value = checkedDocument(Text, CtlMembers, Result.Faults);
  if (Result.Faults.empty())
    Result.Value = CtlSettings{serverAddress(Value.at("vm_list")),
                               Value.at("operator_port").get<std::uint16_t>()};
  return Result;
}

std::string settingsReference() {
  return "## Settings\n\n" +
         detail::referenceTable("Entries and agents", ProcessMembers) + "\n" +
         detail::referenceTable("Entries", EntryMembers) + "\n" +
         detail::referenceTable("Agents", AgentMembers) + "\n" +
         detail::referenceTable("marigoldctl", CtlMembers);
}

} // namespace marigoldyard
