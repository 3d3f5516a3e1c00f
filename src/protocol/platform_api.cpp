#include "marigoldyard/protocol/platform_api.hpp"

#include "marigoldyard/protocol/detail/json_object.hpp"
#include "marigoldyard/protocol/digest.hpp"

#include <set>

namespace marigoldyard {

namespace {

using Json = nlohmann::json;
using detail::JsonObject;
using detail::jsonText;

constexpr std::uint32_t MaxUint32 = std::numeric_limits<std::uint32_t>::max();

/// Parses a text and lets Read take the members of the object.
template <typename T, typename F>
Expected<T> parseObject(std::string_view Text, Step At, F Read) {
  auto Parsed = detail::parseJson(Text, At);
  if (!Parsed)
    return Parsed.error();
  JsonObject Source(*Parsed);
  T Result = Read(Source);
  if (!Source.valid())
    return Error{ErrorCode::InvalidMessage, At, {}, Source.fault()};
  return Result;
}

/// Reads each element of an array member as an object.
template <typename F>
void forEachObject(JsonObject &Source, std::string_view Name,
                   std::size_t MaxSize, F Read) {
  const Json &List = Source.array(Name, MaxSize);
  for (std::size_t I = 0; I < List.size() && Source.valid(); ++I) {
    JsonObject Item(List[I], std::string(Name) + "[" + std::to_string(I) + "]");
    Read(Item);
    Source.adopt(Item);
  }
}

/// Reads a member that names one of two values.
bool isFirstOf(JsonObject &Source, std::string_view Name,
               std::string_view First, std::string_view Second) {
  std::string Text = Source.text(Name);
  if (Text != First && Text != Second)
    Source.fail(Name, std::string(First) + " or " + std::string(Second));
  return Text == First;
}

LoadedModel readLoadedModel(JsonObject &Item) {
  return {Item.text("model"), Item.text("version"), Item.digest("weights")};
}

} // namespace

Expected<std::vector<Member>> parseVmList(std::string_view Text) {
  using Members = std::vector<Member>;
  return parseObject<Members>(Text, Step::MemberList, [](JsonObject &Source) {
    Members Result;
    std::set<std::string> Names;
    forEachObject(Source, "vms", MaxVms, [&](JsonObject &Item) {
      Member Vm;
      Vm.Name = Item.text("name");
      Vm.Address = Item.text("address");
      Vm.Kind = isFirstOf(Item, "kind", "entry", "endpoint")
                    ? MemberKind::Entry
                    : MemberKind::Endpoint;
      Vm.Region = Item.text("region");
      Vm.FailureDomain = Item.text("failure_domain");
      Vm.Pool = Item.text("pool", Vm.Kind == MemberKind::Endpoint);
      Vm.Draining = isFirstOf(Item, "state", "leaving", "live");
      if (!Names.insert(Vm.Name).second)
        Item.fail("name", "a name that no other VM has");
      Result.push_back(std::move(Vm));
    });
    return Result;
  });
}

std::string vmListJson(const std::vector<Member> &Members) {
  Json List = Json::array();
  for (const Member &Vm : Members)
    List.push_back(
        {{"name", Vm.Name},
         {"address", Vm.Address},
         {"kind", Vm.Kind == MemberKind::Entry ? "entry" : "endpoint"},
         {"region", Vm.Region},
         {"failure_domain", Vm.FailureDomain},
         {"pool", Vm.Pool},
         {"state", Vm.Draining ? "leaving" : "live"}});
  return jsonText({{"vms", std::move(List)}});
}

Expected<VersionDescriptor> parseDescriptor(std::string_view Text,
                                            const Digest &Id) {
  if (sha256Hex(Text) != Id)
    return Error{ErrorCode::ChunkCorrupt,
                 Step::DescriptorFetch,
                 {},
                 "descriptor does not match its digest"};
  return parseObject<VersionDescriptor>(
      Text, Step::DescriptorFetch, [&](JsonObject &Source) {
        VersionDescriptor Result;
        Result.Id = Id;
        Result.Model = Source.text("model");
        Result.Version = Source.text("version");
        forEachObject(Source, "chunks", MaxChunks, [&](JsonObject &Item) {
          Result.Chunks.push_back(
              {Item.digest("digest"), Item.number("size", 1, MaxChunkBytes)});
        });
        return Result;
      });
}

std::string descriptorJson(const VersionDescriptor &Descriptor) {
  Json Chunks = Json::array();
  for (const Chunk &Part : Descriptor.Chunks)
    Chunks.push_back({{"digest", Part.Id}, {"size", Part.Size}});
  return jsonText({{"model", Descriptor.Model},
                   {"version", Descriptor.Version},
                   {"chunks", std::move(Chunks)}});
}

std::string engineOrderJson(const EngineOrder &Order) {
  return jsonText(
      {{"action", Order.Action == OrderAction::Load ? "load" : "unload"},
       {"model", Order.Model},
       {"version", Order.Version},
       {"weights", Order.Weights},
       {"chunks", Order.Chunks},
       {"fence",
        {{"revision", Order.Number.ConfigurationRevision},
         {"incarnation", Order.Number.IssuerIncarnation},
         {"sequence", Order.Number.Sequence}}}});
}

Expected<EngineOrder> parseEngineOrder(std::string_view Text) {
  return parseObject<EngineOrder>(Text, Step::Order, [](JsonObject &Source) {
    EngineOrder Result;
    Result.Action = isFirstOf(Source, "action", "load", "unload")
                        ? OrderAction::Load
                        : OrderAction::Unload;
    Result.Model = Source.text("model");
    Result.Version = Source.text("version");
    Result.Weights = Source.digest("weights");
    for (const Json &Id : Source.array("chunks", MaxChunks)) {
      if (!Id.is_string() || !isDigest(Id.get_ref<const std::string &>())) {
        Source.fail("chunks", "an array of digests");
        break;
      }
      Result.Chunks.push_back(Id.get<std::string>());
    }
    static const Json Absent;
    const Json *Found = Source.find("fence");
    JsonObject Number(Found ? *Found : Absent, "fence");
    Result.Number = {Number.number("revision"), Number.number("incarnation"),
                     Number.number("sequence")};
    Source.adopt(Number);
    return Result;
  });
}

Expected<std::vector<LoadedModel>> parseEngineState(std::string_view Text) {
  using Models = std::vector<LoadedModel>;
  return parseObject<Models>(Text, Step::ReadBack, [](JsonObject &Source) {
    Models Result;
    forEachObject(Source, "loaded", MaxLoadedModels, [&](JsonObject &Item) {
      Result.push_back(readLoadedModel(Item));
    });
    return Result;
  });
}

std::string engineStateJson(const std::vector<LoadedModel> &Loaded) {
  Json List = Json::array();
  for (const LoadedModel &Model : Loaded)
    List.push_back({{"model", Model.Model},
                    {"version", Model.Version},
                    {"weights", Model.Weights}});
  return jsonText({{"loaded", std::move(List)}});
}

std::string generateRequestJson(const GenerateRequest &Request) {
  return jsonText({{"request_id", Request.Request},
                   {"weights", Request.Weights},
                   {"prompt", Request.Prompt},
                   {"max_tokens", Request.MaxTokens},
                   {"priority", rankIndex(Request.Priority)}});
}

Expected<GenerateRequest> parseGenerateRequest(std::string_view Text) {
  return parseObject<GenerateRequest>(
      Text, Step::Generate, [](JsonObject &Source) {
        GenerateRequest Result;
        Result.Request = Source.text("request_id");
        Result.Weights = Source.digest("weights");
        Result.Prompt = Source.text("prompt");
        Result.MaxTokens = static_cast<std::uint32_t>(
            Source.number("max_tokens", 1, MaxUint32));
        Result.Priority =
            static_cast<Rank>(Source.number("priority", 0, RankCount - 1));
        return Result;
      });
}

std::string generateLineJson(const GenerateLine &Line) {
  if (Line.End)
    return jsonText({{"request_id", Line.Request},
                     {"end", true},
                     {"count", Line.Count},
                     {"weights", Line.Weights}});
  return jsonText({{"request_id", Line.Request},
                   {"sequence", Line.Sequence},
                   {"text", Line.Text},
                   {"weights", Line.Weights}});
}

Expected<GenerateLine> parseGenerateLine(std::string_view Text) {
  return parseObject<GenerateLine>(Text, Step::Stream, [](JsonObject &Source) {
    GenerateLine Result;
    Result.Request = Source.text("request_id");
    Result.Weights = Source.digest("weights");
    Result.End = Source.boolean("end", false);
    if (Result.End) {
      Result.Count = Source.number("count");
    } else {
      Result.Sequence = Source.number("sequence");
      Result.Text = Source.text("text");
    }
    return Result;
  });
}

std::string cancelJson(std::string_view Request) {
  return jsonText({{"request_id", Request}});
}

Expected<std::string> parseCancel(std::string_view Text) {
  return parseObject<std::string>(Text, Step::Generate, [](JsonObject &Source) {
    return Source.text("request_id");
  });
}

std::string engineLoadJson(const EngineLoad &Load) {
  return jsonText({{"running", Load.Running},
                   {"slots", Load.Slots},
                   {"tokens_per_second", Load.TokensPerSecond}});
}

Expected<EngineLoad> parseEngineLoad(std::string_view Text) {
  return parseObject<EngineLoad>(Text, Step::Queue, [](JsonObject &Source) {
    auto Optional = [&](std::string_view Name) {
      static constexpr std::uint64_t Zero = 0;
      return static_cast<std::uint32_t>(
          Source.number(Name, 0, MaxUint32, &Zero));
    };
    return EngineLoad{Optional("running"), Optional("slots"),
                      Optional("tokens_per_second")};
  });
}

std::string serviceRunJson(const ServiceRun &Run) {
  auto Body = detail::parseJson(Run.Body, Step::OperationRun);
  return jsonText({{"operation_id", Run.Operation},
                   {"body", Body ? *Body : Json(Run.Body)}});
}

Expected<ServiceRun> parseServiceRun(std::string_view Text) {
  return parseObject<ServiceRun>(
      Text, Step::OperationRun, [](JsonObject &Source) {
        ServiceRun Result;
        Result.Operation = Source.text("operation_id");
        const Json *Body = Source.find("body");
        if (!Body)
          Source.fail("body", "the body of the operation");
        else
          Result.Body =
              Body->is_string() ? Body->get<std::string>() : jsonText(*Body);
        return Result;
      });
}

} // namespace marigoldyard
