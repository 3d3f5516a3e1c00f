#include "marigoldyard/protocol/manifest_json.hpp"

#include "marigoldyard/protocol/detail/schema.hpp"
#include "marigoldyard/protocol/digest.hpp"

#include <algorithm>

namespace marigoldyard {
namespace {

using detail::KeyDescription;
using detail::ValueKind;
using nlohmann::json;

constexpr double MaxNameBytes = 128;
// JSON numbers above 2^53 lose precision in common tools.
constexpr double MaxRevision = 9'007'199'254'740'992.0;
constexpr double MaxDeadlineMs = 3'600'000;
constexpr double MaxEndpoints = 100'000;
constexpr double MaxRate = 1e6;
constexpr double MinWeight = 0.001;
constexpr double MaxWeight = 1000;

constexpr std::string_view RankNames[] = {"urgent", "standard", "batch"};

constexpr KeyDescription share(std::string_view Key, std::string_view Default,
                               std::string_view Help) {
  return {.Key = Key,
          .Kind = ValueKind::Number,
          .Unit = "share",
          .Minimum = 0,
          .Maximum = 1,
          .Default = Default,
          .Help = Help};
}

constexpr KeyDescription deadline(std::string_view Key,
                                  std::string_view Default) {
  return {.Key = Key,
          .Kind = ValueKind::Integer,
          .Unit = "ms",
          .Minimum = 1,
          .Maximum = MaxDeadlineMs,
          .Default = Default,
          .Help = "longest time from the request to its whole answer"};
}

constexpr KeyDescription name(std::string_view Key, std::string_view Help) {
  return {.Key = Key,
          .Kind = ValueKind::Name,
          .Maximum = MaxNameBytes,
          .Help = Help};
}

constexpr KeyDescription FloorMembers[] = {
    share("urgent", "0", "share of capacity"),
    share("standard", "0.2", "share of capacity"),
    share("batch", "0.05", "share of capacity"),
};

constexpr KeyDescription DeadlineMembers[] = {
    deadline("urgent", "30000"),
    deadline("standard", "60000"),
    deadline("batch", "600000"),
};

constexpr KeyDescription CallerMembers[] = {
    name("name", "name of the caller"),
    {.Key = "key_sha256",
     .Kind = ValueKind::Sha256,
     .Help = "SHA-256 of the bearer key"},
    {.Key = "highest_rank",
     .Kind = ValueKind::Choice,
     .Default = "\"standard\"",
     .Help = "most urgent rank that the caller may ask for",
     .Choices = RankNames},
    {.Key = "weight",
     .Kind = ValueKind::Number,
     .Unit = "share relative to other callers",
     .Minimum = MinWeight,
     .Maximum = MaxWeight,
     .Default = "1",
     .Help = "fair share of the product"},
    {.Key = "requests_per_second",
     .Kind = ValueKind::Number,
     .Unit = "requests/s, 0 for no limit",
     .Minimum = 0,
     .Maximum = MaxRate,
     .Default = "0",
     .Help = "limit at one entry"},
    {.Key = "burst",
     .Kind = ValueKind::Number,
     .Unit = "requests",
     .Minimum = 0,
     .Maximum = MaxRate,
     .Default = "0",
     .Help = "requests above the rate at once"},
};

constexpr KeyDescription ServiceMembers[] = {
    name("name", "name of the service"),
    name("pool", "pool of its endpoints"),
    {.Key = "idempotent",
     .Kind = ValueKind::Boolean,
     .Default = "false",
     .Help = "whether a call may be repeated"},
};

constexpr KeyDescription ProductMembers[] = {
    name("name", "name of the product; requests name it as model"),
    name("model", "model that the engines load"),
    name("pool", "pool of the engines"),
    name("version", "name of the version for people"),
    {.Key = "weights",
     .Kind = ValueKind::Sha256,
     .Help = "digest of the version descriptor"},
    {.Key = "adapters",
     .Kind = ValueKind::NameList,
     .Maximum = MaxNameBytes,
     .Default = "[]",
     .Help = "adapters of the model"},
    {.Key = "ranks",
     .Kind = ValueKind::ChoiceList,
     .Help = "ranks of work that the product accepts",
     .Choices = RankNames},
    {.Key = "floors",
     .Kind = ValueKind::Object,
     .Default = "{}",
     .Help = "guaranteed share of capacity by rank",
     .Members = FloorMembers},
    {.Key = "max_unavailable",
     .Kind = ValueKind::Integer,
     .Unit = "endpoints",
     .Minimum = 1,
     .Maximum = MaxEndpoints,
     .Default = "1",
     .Help = "endpoints of the pool that may be not ready during a rollout"},
    {.Key = "deadline_ms",
     .Kind = ValueKind::Object,
     .Default = "{}",
     .Help = "deadline by rank",
     .Members = DeadlineMembers},
    share("retry_budget", "0.1", "retries as a share of first attempts"),
    {.Key = "callers",
     .Kind = ValueKind::ObjectList,
     .Default = "[]",
     .Help = "callers of the product",
     .Members = CallerMembers,
     .UniqueKey = "name"},
    {.Key = "services",
     .Kind = ValueKind::ObjectList,
     .Default = "[]",
     .Help = "plain services of the product",
     .Members = ServiceMembers,
     .UniqueKey = "name"},
};

constexpr KeyDescription Revisions = {
    .Key = "revision",
    .Kind = ValueKind::Integer,
    .Minimum = 1,
    .Maximum = MaxRevision,
    .Help = "number of the configuration; each release raises it"};

constexpr KeyDescription ManifestMembers[] = {
    Revisions,
    {.Key = "products",
     .Kind = ValueKind::ObjectList,
     .Minimum = 1,
     .Help = "products",
     .Members = ProductMembers,
     .UniqueKey = "name"},
};

/// Whether the caller may use a rank of the product. Names that are not ranks
/// are reported elsewhere and count as allowed here.
bool allowsAnyRank(const json &Customer, const json &Ranks) {
  const auto Parse = [](const json &Name) {
    return Name.is_string() ? parseRank(Name.get_ref<const std::string &>())
                            : std::nullopt;
  };
  const auto Highest = Parse(Customer.value("highest_rank", json()));
  if (!Highest || Ranks.empty())
    return true;
  return std::any_of(Ranks.begin(), Ranks.end(), [&](const json &Name) {
    const auto Each = Parse(Name);
    return !Each || rankIndex(*Each) >= rankIndex(*Highest);
  });
}

/// Checks of one product that concern several of its keys. Only members of the
/// right type are looked at; the others are reported by checkObject().
void checkProduct(const json &Value, const std::string &Path,
                  std::vector<DocumentFault> &Faults) {
  if (!Value.is_object())
    return;
  double Total = 0;
  if (Value.contains("floors") && Value["floors"].is_object())
    for (const json &Floor : Value["floors"])
      Total += Floor.is_number() ? Floor.get<double>() : 0;
  if (Total > 1)
    Faults.push_back(
        {Path + "/floors", "floors add up to more than 1", "sum at most 1"});
  if (!Value.contains("callers") || !Value["callers"].is_array())
    return;
  const json Ranks = Value.value("ranks", json());
  std::map<json, std::size_t> Keys;
  for (std::size_t I = 0; I < Value["callers"].size(); ++I) {
    const json &Customer = Value["callers"][I];
    const std::string CallerPath = Path + "/callers/" + std::to_string(I);
    if (!Customer.is_object())
      continue;
    if (Customer.contains("key_sha256") &&
        !Keys.emplace(Customer["key_sha256"], I).second)
      Faults.push_back({CallerPath + "/key_sha256", "duplicate key",
                        "unique in the product"});
    if (Ranks.is_array() && !allowsAnyRank(Customer, Ranks))
      Faults.push_back({CallerPath + "/highest_rank",
                        "allows none of the product's ranks",
                        "a rank that the product accepts, or a higher one"});
    const json Rate = Customer.value("requests_per_second", json());
    const json Burst = Customer.value("burst", json());
    if (Rate.is_number() && Burst.is_number() && Rate.get<double>() > 0 &&
        Burst.get<double>() < 1)
      Faults.push_back({CallerPath + "/burst",
                        "is below 1 while requests_per_second is limited",
                        "requests, at least 1"});
  }
}

Rank rankOf(const json &Name) {
  return *parseRank(Name.get_ref<const std::string &>());
}

Product productOf(const json &Value) {
  Product Result;
  Result.Name = Value.at("name").get<std::string>();
  Result.Model = Value.at("model").get<std::string>();
  Result.Pool = Value.at("pool").get<std::string>();
  Result.Version = Value.at("version").get<std::string>();
  Result.Weights = Value.at("weights").get<std::string>();
  Result.Adapters = Value.at("adapters").get<std::vector<std::string>>();
  for (const json &Name : Value.at("ranks"))
    Result.Ranks.push_back(rankOf(Name));
  for (const Rank Each : AllRanks) {
    const std::string Name(rankName(Each));
    Result.Floors[rankIndex(Each)] = Value.at("floors").at(Name).get<double>();
    Result.Deadlines[rankIndex(Each)] = std::chrono::milliseconds(
        Value.at("deadline_ms").at(Name).get<std::int64_t>());
  }
  Result.MaxUnavailable = Value.at("max_unavailable").get<std::uint32_t>();
  Result.RetryBudget = Value.at("retry_budget").get<double>();
  for (const json &Each : Value.at("callers"))
    Result.Callers.push_back({Each.at("name").get<std::string>(),
                              Each.at("key_sha256").get<std::string>(),
                              rankOf(Each.at("highest_rank")),
                              Each.at("weight").get<double>(),
                              Each.at("requests_per_second").get<double>(),
                              Each.at("burst").get<double>()});
  for (const json &Each : Value.at("services"))
    Result.Services.push_back({Each.at("name").get<std::string>(),
                               Each.at("pool").get<std::string>(),
                               Each.at("idempotent").get<bool>()});
  return Result;
}

json jsonOf(const Product &Content) {
  json Floors = json::object();
  json Deadlines = json::object();
  for (const Rank Each : AllRanks) {
    const std::string Name(rankName(Each));
    Floors[Name] = Content.Floors[rankIndex(Each)];
    Deadlines[Name] = std::chrono::duration_cast<std::chrono::milliseconds>(
                          Content.Deadlines[rankIndex(Each)])
                          .count();
  }
  json Value = {{"name", Content.Name},
                {"model", Content.Model},
                {"pool", Content.Pool},
                {"version", Content.Version},
                {"weights", Content.Weights},
                {"adapters", Content.Adapters},
                {"ranks", json::array()},
                {"floors", Floors},
                {"max_unavailable", Content.MaxUnavailable},
                {"deadline_ms", Deadlines},
                {"retry_budget", Content.RetryBudget},
                {"callers", json::array()},
                {"services", json::array()}};
  for (const Rank Each : Content.Ranks)
    Value["ranks"].push_back(rankName(Each));
  for (const Caller &Each : Content.Callers)
    Value["callers"].push_back({{"name", Each.Name},
                                {"key_sha256", Each.KeySha256},
                                {"highest_rank", rankName(Each.HighestRank)},
                                {"weight", Each.Weight},
                                {"requests_per_second", Each.RequestsPerSecond},
                                {"burst", Each.Burst}});
  for (const Service &Each : Content.Services)
    Value["services"].push_back({{"name", Each.Name},
                                 {"pool", Each.Pool},
                                 {"idempotent", Each.Idempotent}});
  return Value;
}

Error manifestError(Step At, std::string_view Source, std::string Detail) {
  return Error{make_error_code(ErrorCode::InvalidManifest), At,
               std::string(Source), std::move(Detail)};
}

void checkIndexValues(const json &Values, std::vector<DocumentFault> &Faults) {
  constexpr KeyDescription DigestOfValue = {.Key = "digest",
                                            .Kind = ValueKind::Sha256};
  constexpr KeyDescription AnyName = {
      .Key = "name", .Kind = ValueKind::Name, .Maximum = MaxNameBytes};
  if (!Values.is_object() || Values.empty() || Values.size() > MaxProducts) {
    Faults.push_back(
        {"/values", "has the wrong type or size",
         "object of 1.." + std::to_string(MaxProducts) + " digests"});
    return;
  }
  for (const auto &[Key, Id] : Values.items()) {
    json Pair = {{"name", Key.starts_with(ProductKeyPrefix)
                              ? Key.substr(ProductKeyPrefix.size())
                              : ""},
                 {"digest", Id}};
    detail::checkObject(
        Pair, "/values/" + detail::escapePointer(Key),
        std::initializer_list<KeyDescription>{AnyName, DigestOfValue}, Faults);
  }
}

} // namespace

Checked<Manifest> parseManifest(std::string_view Text) {
  Checked<Manifest> Result;
  json Value = detail::parseDocument(Text, Result.Faults);
  if (Value.is_discarded())
    return Result;
  detail::checkObject(Value, "", ManifestMembers, Result.Faults);
  if (Value.is_object() && Value.contains("products") &&
      Value["products"].is_array())
    for (std::size_t I = 0; I < Value["products"].size(); ++I)
      checkProduct(Value["products"][I], "/products/" + std::to_string(I),
                   Result.Faults);
  if (!Result.Faults.empty())
    return Result;
  Manifest Content;
  Content.ConfigRevision = Value.at("revision").get<Revision>();
  for (const json &Each : Value.at("products"))
    Content.Products.push_back(productOf(Each));
  for (const ManifestConflict &Each : manifestConflicts(Content))
    Result.Faults.push_back(
        {"/products/" + std::to_string(Each.ProductIndex) + Each.Path,
         Each.Message, ""});
  if (Result.Faults.empty())
    Result.Value = std::move(Content);
  return Result;
}

Checked<Product> parseProduct(std::string_view Text) {
  Checked<Product> Result;
  json Value = detail::parseDocument(Text, Result.Faults);
  if (Value.is_discarded())
    return Result;
  detail::checkObject(Value, "", ProductMembers, Result.Faults);
  checkProduct(Value, "", Result.Faults);
  if (Result.Faults.empty())
    Result.Value = productOf(Value);
  return Result;
}

Expected<ConfigurationIndex> parseIndex(std::string_view Text,
                                        std::string_view Source) {
  std::vector<DocumentFault> Faults;
  json Value = detail::parseDocument(Text, Faults);
  if (!Value.is_discarded()) {
    constexpr KeyDescription Members[] = {
        Revisions,
        {.Key = "values", .Kind = ValueKind::Object, .Help = "digests by key"},
    };
    const json Values =
        Value.is_object() ? Value.value("values", json()) : Value;
    if (Value.is_object() && Values.is_object())
      Value["values"] = json::object();
    detail::checkObject(Value, "", Members, Faults);
    checkIndexValues(Values, Faults);
    if (Faults.empty())
      return ConfigurationIndex{Value.at("revision").get<Revision>(),
                                Values.get<std::map<std::string, Digest>>()};
  }
  return manifestError(Step::ConfigurationRead, Source, describeFaults(Faults));
}

ParsedValue checkValue(std::string Key, std::string Text,
                       std::string_view Source) {
  Checked<Product> Parsed = parseProduct(Text);
  Digest Id = sha256Hex(Text);
  Expected<Product> Content =
      Parsed.Value ? Expected<Product>(std::move(*Parsed.Value))
                   : Expected<Product>(manifestError(
                         Step::ConfigurationAccept, Source,
                         Key + ": " + describeFaults(Parsed.Faults)));
  return {std::move(Key), std::move(Id), std::move(Text), std::move(Content)};
}

PublishedManifest splitManifest(const Manifest &Content) {
  PublishedManifest Result;
  json Digests = json::object();
  for (const Product &Each : Content.Products) {
    std::string Text = productText(Each);
    Digests[productKey(Each.Name)] = sha256Hex(Text);
    Result.Values.emplace(productKey(Each.Name), std::move(Text));
  }
  Result.Index =
      json{{"revision", Content.ConfigRevision}, {"values", Digests}}.dump();
  return Result;
}

std::string productText(const Product &Content) {
  return jsonOf(Content).dump();
}

std::string manifestText(const Manifest &Content) {
  json Products = json::array();
  for (const Product &Each : Content.Products)
    Products.push_back(jsonOf(Each));
  return json{{"revision", Content.ConfigRevision}, {"products", Products}}
      .dump();
}

std::string manifestReference() {
  return "## Manifest\n\n" +
         detail::referenceTable("Manifest", ManifestMembers);
}

} // namespace marigoldyard
