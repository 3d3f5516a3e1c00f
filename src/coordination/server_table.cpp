#include "marigoldyard/coordination/server_table.hpp"

#include <algorithm>
#include <limits>

namespace marigoldyard {

namespace {

/// Slots assumed for a server that tells none.
constexpr std::uint32_t DefaultSlots = 8;
/// Longest exponent of the pause, which is bounded by LongestPause anyway.
constexpr std::uint32_t MaxDoublings = 8;
/// Load that sends to another region must save, as a share of a server's
/// limit: such a send uses the narrow link between regions.
constexpr double RemotePenalty = 0.25;

ServerState *find(ServerTable &Table, const std::string &Id) {
  const auto Found = Table.Servers.find(Id);
  return Found == Table.Servers.end() ? nullptr : &Found->second;
}

/// Whether two views of loaded weights can be ordered by version: they are of
/// the same start of the server.
void mergeWeights(std::vector<LoadedWeights> &Known,
                  const std::vector<LoadedWeights> &Told) {
  for (const LoadedWeights &Each : Told) {
    const auto Found =
        std::find_if(Known.begin(), Known.end(), [&](const LoadedWeights &Old) {
          return Old.Model == Each.Model;
        });
    if (Found == Known.end())
      Known.push_back(Each);
    else
      Found->Version = std::max(Found->Version, Each.Version);
  }
}

std::uint64_t requiredVersion(const ServerTable &Table,
                              std::string_view Model) {
  const auto Found = Table.RequiredVersions.find(Model);
  return Found == Table.RequiredVersions.end() ? 1 : Found->second;
}

bool hasWeights(const ServerTable &Table, const ServerState &Server,
                const ServerQuestion &Question, TimePoint Now) {
  if (!Server.Record.Weights || Question.Model.empty())
    return true;
  if (Now < Server.LoadingUntil)
    return false;
  const std::uint64_t Version = loadedVersion(Server, Question.Model);
  if (Question.ExactVersion)
    return Version == *Question.ExactVersion &&
           Version >= requiredVersion(Table, Question.Model);
  return Version >= requiredVersion(Table, Question.Model);
}

/// Mean failure rate of a pool, so that errors that all servers of a pool give
/// alike do not count against one of them.
double poolFailureRate(const ServerTable &Table,
                       const std::set<std::string> &Ids) {
  double Sum = 0;
  for (const std::string &Id : Ids)
    Sum += Table.Servers.at(Id).FailureRate;
  return Ids.empty() ? 0 : Sum / static_cast<double>(Ids.size());
}

/// Whether the prompts at a server fill its next passes of reading.
bool readsEnough(const ServerTable &Table, const ServerState &Server,
                 const ServerQuestion &Question) {
  if (Question.TokensAtOnce == 0 || Server.ReadingTokens == 0)
    return false;
  const double Limit =
      Table.Settings.ReadingPasses * static_cast<double>(Question.TokensAtOnce);
  return static_cast<double>(Server.ReadingTokens + Question.PromptTokens) >
         Limit;
}

std::uint32_t requestLimit(const ServerTable &Table, const ServerState &Server,
                           const ServerQuestion &Question) {
  const std::uint32_t Limit = loadLimit(Table, Server);
  if (!Question.Late || !Server.Record.Weights)
    return Limit;
  return static_cast<std::uint32_t>(Limit * Table.Settings.LateShare);
}

/// Preference of a candidate; the lowest wins.
double loadScore(const ServerTable &Table, const ServerState &Server,
                 double MeanFailures) {
  const std::uint32_t Limit = std::max(1U, loadLimit(Table, Server));
  double Score = static_cast<double>(estimatedLoad(Table, Server)) / Limit;
  if (Server.Region != Table.Settings.Region)
    Score += RemotePenalty;
  // A failing server answers fast and would attract work by its low load.
  Score += std::max(0.0, Server.FailureRate - MeanFailures);
  if (Server.FailureRate > MeanFailures + Table.Settings.FailureExcess)
    Score += 1.0;
  return Score;
}

/// Of two servers at one address the one that started later is there now; the
/// record of the other one lapses after some heartbeats.
void claimAddress(ServerTable &Table, ServerState &Server) {
  const auto [Named, New] =
      Table.IdByAddress.emplace(Server.Record.Address, Server.Record.Id);
  Server.Replaced = false;
  if (New || Named->second == Server.Record.Id)
    return;
  ServerState &Other = Table.Servers.at(Named->second);
  if (Other.Record.StartedAtMs > Server.Record.StartedAtMs) {
    Server.Replaced = true;
    return;
  }
  Other.Replaced = true;
  Named->second = Server.Record.Id;
}

void pause(const ServerTableSettings &Settings, ServerState &Server,
           TimePoint Now) {
  const std::uint32_t Doublings =
      std::min(Server.FailuresInRow - 1, MaxDoublings);
  Server.PausedUntil =
      Now + std::min(Settings.LongestPause,
                     Settings.FirstPause * (std::int64_t{1} << Doublings));
}

} // namespace

void putServer(ServerTable &Table, const ServerRecord &Record) {
  const bool New = !Table.Servers.contains(Record.Id);
  ServerState &Server = Table.Servers[Record.Id];
  const bool Restarted = !New && Server.Record.StartedAtMs != 0 &&
                         Record.StartedAtMs > Server.Record.StartedAtMs;
  if (!New && Server.Record.Pool != Record.Pool)
    Table.ByPool[Server.Record.Pool].erase(Record.Id);
  if (New || Restarted) {
    Server.Weights.clear();
    Server.ToldLoad.reset();
    Server.FailuresInRow = 0;
    Server.FailureRate = 0;
    Server.PausedUntil = {};
    Server.LoadingUntil = {};
  }
  // A record written before a restart must not hide the restart.
  const std::int64_t Started =
      std::max(Server.Record.StartedAtMs, Record.StartedAtMs);
  const bool Outdated = Record.StartedAtMs < Started;
  Server.Record = Record;
  Server.Record.StartedAtMs = Started;
  if (Record.Weights && !Outdated)
    mergeWeights(Server.Weights, *Record.Weights);
  const auto Region = Table.Settings.RegionOf.find(Record.FailureDomain);
  Server.Region = Region == Table.Settings.RegionOf.end() ? "" : Region->second;
  Table.ByPool[Record.Pool].insert(Record.Id);
  claimAddress(Table, Server);
}

void removeServer(ServerTable &Table, const std::string &Id) {
  const auto Found = Table.Servers.find(Id);
  if (Found == Table.Servers.end())
    return;
  const ServerRecord &Record = Found->second.Record;
  Table.ByPool[Record.Pool].erase(Id);
  const auto Named = Table.IdByAddress.find(Record.Address);
  if (Named != Table.IdByAddress.end() && Named->second == Id)
    Table.IdByAddress.erase(Named);
  Table.Servers.erase(Found);
}

bool noteEngineNews(ServerTable &Table, const EngineNews &News, TimePoint Now) {
  const auto Id = Table.IdByAddress.find(News.Address);
  ServerState *Server =
      Id == Table.IdByAddress.end() ? nullptr : find(Table, Id->second);
  if (Server == nullptr || News.StartedAtMs < Server->Record.StartedAtMs)
    return false;
  if (News.StartedAtMs > Server->Record.StartedAtMs) {
    Server->Weights.clear();
    Server->Record.StartedAtMs = News.StartedAtMs;
  }
  mergeWeights(Server->Weights, News.Weights);
  Server->ToldLoad = News.Load;
  Server->BegunSince = 0;
  Server->LoadingUntil =
      News.Accepting ? TimePoint{} : Now + Table.Settings.LoadingHold;
  return true;
}

void requireVersion(ServerTable &Table, const DeclaredVersion &Required) {
  std::uint64_t &Known = Table.RequiredVersions[Required.Model];
  Known = std::max(Known, Required.Version);
}

std::string_view serverShortageName(ServerShortage Value) {
  switch (Value) {
  case ServerShortage::None:
    return "none";
  case ServerShortage::Full:
    return "full";
  case ServerShortage::Loading:
    return "loading";
  case ServerShortage::Absent:
    return "absent";
  }
  return "";
}

ServerChoice chooseServer(const ServerTable &Table,
                          const ServerQuestion &Question, TimePoint Now,
                          Random &Source) {
  ServerChoice Choice;
  const auto Pool = Table.ByPool.find(Question.Pool);
  if (Pool == Table.ByPool.end())
    return Choice;
  const double MeanFailures = poolFailureRate(Table, Pool->second);
  double Best = std::numeric_limits<double>::max();
  std::uint32_t Ties = 0;
  auto Report = [&](ServerShortage Shortage) {
    if (Choice.Shortage != ServerShortage::None)
      Choice.Shortage = std::min(Choice.Shortage, Shortage);
  };
  for (const std::string &Id : Pool->second) {
    const ServerState &Server = Table.Servers.at(Id);
    if (Server.Record.Draining || Server.Replaced ||
        Question.Excluded.contains(Id) || Now < Server.PausedUntil)
      continue;
    if (!hasWeights(Table, Server, Question, Now)) {
      Report(ServerShortage::Loading);
      continue;
    }
    // After a pause one request at a time tests the server.
    const std::uint32_t Limit =
        Server.FailuresInRow > 0 ? 1 : requestLimit(Table, Server, Question);
    const std::uint32_t Load = Server.FailuresInRow > 0
                                   ? Server.InFlight
                                   : estimatedLoad(Table, Server);
    if (Load >= Limit || readsEnough(Table, Server, Question)) {
      Report(ServerShortage::Full);
      continue;
    }
    const double Score = loadScore(Table, Server, MeanFailures);
    Ties = Score == Best ? Ties + 1 : (Score < Best ? 1 : 0);
    if (Score < Best ||
        (Score == Best &&
         std::uniform_int_distribution<std::uint32_t>(1, Ties)(Source) == 1)) {
      Best = Score;
      Choice = {Id, ServerShortage::None};
    }
  }
  return Choice;
}

void noteBegun(ServerTable &Table, const std::string &Id,
               std::uint64_t PromptTokens) {
  if (ServerState *Server = find(Table, Id)) {
    Server->ReadingTokens += PromptTokens;
    ++Server->InFlight;
    ++Server->BegunSince;
  }
}

void noteRead(ServerTable &Table, const std::string &Id,
              std::uint64_t PromptTokens) {
  if (ServerState *Server = find(Table, Id))
    Server->ReadingTokens -= std::min(Server->ReadingTokens, PromptTokens);
}

void noteEnded(ServerTable &Table, const std::string &Id) {
  ServerState *Server = find(Table, Id);
  if (Server == nullptr || Server->InFlight == 0)
    return;
  --Server->InFlight;
  --Server->BegunSince;
}

void noteLoad(ServerTable &Table, const std::string &Id, std::uint32_t Load) {
  if (ServerState *Server = find(Table, Id)) {
    Server->ToldLoad = Load;
    Server->BegunSince = 0;
  }
}

void noteOutcome(ServerTable &Table, const std::string &Id,
                 ServerOutcome Outcome, TimePoint Now) {
  ServerState *Server = find(Table, Id);
  if (Server == nullptr)
    return;
  const bool Failed = Outcome != ServerOutcome::Answered;
  const double Weight = Table.Settings.FailureWeight;
  Server->FailureRate =
      (1 - Weight) * Server->FailureRate + (Failed ? Weight : 0);
  if (Outcome == ServerOutcome::Answered || Outcome == ServerOutcome::Erred) {
    Server->FailuresInRow = 0;
    Server->PausedUntil = {};
    return;
  }
  if (Outcome == ServerOutcome::Broken)
    return;
  ++Server->FailuresInRow;
  pause(Table.Settings, *Server, Now);
}

std::uint64_t loadedVersion(const ServerState &Server, std::string_view Model) {
  for (const LoadedWeights &Each : Server.Weights)
    if (Each.Model == Model)
      return Each.Version;
  return 0;
}

std::uint32_t estimatedLoad(const ServerTable &Table,
                            const ServerState &Server) {
  if (!Server.ToldLoad)
    return Server.InFlight;
  const std::int64_t Begun = Server.BegunSince > 0
                                 ? Server.BegunSince * Table.Settings.Sharers
                                 : Server.BegunSince;
  const std::int64_t Estimate = *Server.ToldLoad + Begun;
  return std::max(Server.InFlight, static_cast<std::uint32_t>(
                                       std::max<std::int64_t>(0, Estimate)));
}

std::uint32_t loadLimit(const ServerTable &Table, const ServerState &Server) {
  const std::uint32_t Slots =
      Server.Record.Slots > 0 ? Server.Record.Slots : DefaultSlots;
  if (Server.Record.Weights)
    return Slots + Table.Settings.WaitingAtEngine;
  return 2 * Slots;
}

} // namespace marigoldyard
