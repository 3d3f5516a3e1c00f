#include "marigoldyard/coordination/server_table.hpp"

#include "marigoldyard/coordination/candidate_draw.hpp"
#include "marigoldyard/coordination/partial_load.hpp"

#include <algorithm>
#include <limits>

namespace marigoldyard {

namespace {

/// Number of slots assumed for a server that reports none.
constexpr std::uint32_t DefaultSlots = 8;
/// Largest exponent of the backoff, whose result MaxBackoff limits anyway.
constexpr std::uint32_t MaxDoublings = 8;
/// Added to the load of a server that was not drawn as a candidate, as a share
/// of its limit. It is used when no drawn one has room.
constexpr double NotDrawnPenalty = 1.0;
/// Added to the load of a server, as a share of its limit, that would crash by
/// one more request if it turned cold now. It is used when no other has room.
constexpr double ExhaustedSharePenalty = 2.0;

ServerState *findServer(ServerTable &Table, const std::string &Id) {
  const auto Found = Table.Servers.find(Id);
  return Found == Table.Servers.end() ? nullptr : &Found->second;
}

/// Merges a report of loaded weights into the known ones and keeps the newest
/// version of each model. Both must be from the same start of the server, so
/// that versions only grow.
void mergeWeights(std::vector<LoadedWeights> &Known,
                  const std::vector<LoadedWeights> &Reported) {
  for (const LoadedWeights &Loaded : Reported) {
    const auto Found =
        std::find_if(Known.begin(), Known.end(), [&](const LoadedWeights &Old) {
          return Old.Model == Loaded.Model;
        });
    if (Found == Known.end())
      Known.push_back(Loaded);
    else
      Found->Version = std::max(Found->Version, Loaded.Version);
  }
}

/// Divisor of the recent maximum of the start delay at each new measurement.
constexpr int StartDelayDecay = 2;

std::uint64_t requiredVersion(const ServerTable &Table,
                              std::string_view Model) {
  const auto Found = Table.RequiredVersions.find(Model);
  return Found == Table.RequiredVersions.end() ? 1 : Found->second;
}

/// Whether a request is expected to start before the version of the server goes
/// out of use. One that is withdrawn too late may still start, because the
/// withdrawal takes the same way.
bool startsInTime(const ServerTable &Table, const ServerState &Server,
                  std::string_view Model, std::uint64_t Version,
                  TimePoint Now) {
  const auto Deadlines = Table.StartDeadlines.find(Model);
  if (Deadlines == Table.StartDeadlines.end())
    return true;
  // Requests that have not started may wait behind each other.
  const auto Delay = std::chrono::duration_cast<Duration>(
      expectedStartDelay(Table, Server, Now) *
      static_cast<double>(Server.UnstartedSentAt.size() + 1) /
      Table.Settings.StartDelayShare);
  return std::none_of(
      Deadlines->second.upper_bound(Version), Deadlines->second.end(),
      [&](const auto &Each) { return Now + Delay > Each.second; });
}

bool hasWeights(const ServerTable &Table, const ServerState &Server,
                const ServerRequirements &Requirements, TimePoint Now) {
  if (!Server.Record.Weights || Requirements.Model.empty())
    return true;
  if (Now < Server.LoadingUntil || !Table.RequiredVersionsKnown)
    return false;
  const std::uint64_t Version = loadedVersion(Server, Requirements.Model);
  if (Requirements.ExactVersion && Version != *Requirements.ExactVersion)
    return false;
  return Version >= requiredVersion(Table, Requirements.Model) &&
         startsInTime(Table, Server, Requirements.Model, Version, Now);
}

/// Returns the mean failure rate of a pool. It is the reference for each
/// server, so that errors common to all servers of the pool penalize none of
/// them.
double poolFailureRate(const ServerTable &Table,
                       const std::set<std::string> &Ids) {
  double Sum = 0;
  for (const std::string &Id : Ids)
    Sum += Table.Servers.at(Id).FailureRate;
  return Ids.empty() ? 0 : Sum / static_cast<double>(Ids.size());
}

std::size_t serversInOwnRegion(const ServerTable &Table,
                               const std::set<std::string> &Ids) {
  return static_cast<std::size_t>(
      std::count_if(Ids.begin(), Ids.end(), [&](const std::string &Id) {
        return Table.Servers.at(Id).Region == Table.Settings.Region;
      }));
}

/// Returns whether the prompts at a server fill its next prefill passes.
bool prefillIsFull(const ServerTable &Table, const ServerState &Server,
                   const ServerRequirements &Requirements) {
  if (Requirements.TokensPerPass == 0 || Server.PrefillTokens == 0)
    return false;
  const double Limit = Table.Settings.PrefillPasses *
                       static_cast<double>(Requirements.TokensPerPass);
  return static_cast<double>(Server.PrefillTokens + Requirements.PromptTokens) >
         Limit;
}

std::uint32_t slotsOf(const ServerState &Server) {
  return Server.Record.Slots > 0 ? Server.Record.Slots : DefaultSlots;
}

std::uint32_t requestLimit(const ServerTable &Table, const ServerState &Server,
                           const ServerRequirements &Requirements) {
  const std::uint32_t Limit =
      Server.Record.Weights && !Requirements.MayQueueAtServer
          ? slotsOf(Server)
          : loadLimit(Table, Server);
  if (!Requirements.Late || !Server.Record.Weights)
    return Limit;
  return static_cast<std::uint32_t>(Limit * Table.Settings.LateRequestShare);
}

/// Returns the load score of a candidate; the lowest score is selected.
double loadScore(const ServerTable &Table, const ServerState &Server,
                 double MeanFailureRate) {
  const std::uint32_t Limit = std::max(1U, loadLimit(Table, Server));
  double Score = static_cast<double>(estimatedLoad(Table, Server)) / Limit;
  if (Server.Region != Table.Settings.Region)
    Score += otherRegionPenalty(Table.Settings.SharingGateways);
  // A failing server answers fast, and its low load would attract more
  // requests.
  Score += std::max(0.0, Server.FailureRate - MeanFailureRate);
  if (Server.FailureRate > MeanFailureRate + Table.Settings.FailureExcess)
    Score += 1.0;
  return Score;
}

/// Selects the server of an address among the records that name it: the one
/// that started last, and of several, the one that was put last. The others are
/// marked as replaced; the record of such a server expires after some missed
/// heartbeats.
void assignAddress(ServerTable &Table, const std::string &Address,
                   std::string_view LastPut) {
  const auto Ids = Table.IdsByAddress.find(Address);
  if (Ids == Table.IdsByAddress.end())
    return;
  const auto Rank = [&](const std::string &Id) {
    return std::pair(Table.Servers.at(Id).Record.StartedAtMs, Id == LastPut);
  };
  const std::string &Owner =
      *std::max_element(Ids->second.begin(), Ids->second.end(),
                        [&](const std::string &Left, const std::string &Right) {
                          return Rank(Left) < Rank(Right);
                        });
  for (const std::string &Id : Ids->second)
    Table.Servers.at(Id).Replaced = Id != Owner;
  Table.OwnerByAddress[Address] = Owner;
}

/// Removes a server from the indexes. Must be called before its record changes
/// or is removed.
void removeFromIndexes(ServerTable &Table, const ServerRecord &Record) {
  Table.ByPool[Record.Pool].erase(Record.Id);
  const auto Ids = Table.IdsByAddress.find(Record.Address);
  if (Ids == Table.IdsByAddress.end())
    return;
  Ids->second.erase(Record.Id);
  if (Ids->second.empty()) {
    Table.IdsByAddress.erase(Ids);
    Table.OwnerByAddress.erase(Record.Address);
  }
}

auto findAbsentServer(ServerTable &Table, const std::string &Id) {
  return std::find_if(Table.AbsentServers.begin(), Table.AbsentServers.end(),
                      [&](const AbsentServer &Each) { return Each.Id == Id; });
}

AbsentServer &addAbsentServer(ServerTable &Table, AbsentServer Server) {
  if (Table.AbsentServers.size() >= Table.Settings.MaxAbsentServers)
    Table.AbsentServers.pop_front();
  return Table.AbsentServers.emplace_back(std::move(Server));
}

/// Restores the notices of a server whose record returned.
void restoreNotices(ServerTable &Table, ServerState &Server,
                    const ServerRecord &Record) {
  const auto Found = findAbsentServer(Table, Record.Id);
  if (Found == Table.AbsentServers.end())
    return;
  Server.Availability = Found->Availability;
  Server.Availability.ProbeRunning = false;
  Server.Record.StartedAtMs = Found->StartedAtMs;
  if (Found->StartedAtMs != 0 && Record.StartedAtMs > Found->StartedAtMs)
    applyRestart(Server.Availability);
  Table.AbsentServers.erase(Found);
}

/// Forgets the failures before a restart.
void resetHealth(ServerState &Server) {
  Server.ConsecutiveFailures = 0;
  Server.FailureRate = 0;
  Server.BackoffUntil = {};
}

/// Duration of the backoff after a number of events in a row, at least one.
Duration backoffAfter(const ServerTableSettings &Settings,
                      std::uint32_t Events) {
  const std::uint32_t Doublings = std::min(Events - 1, MaxDoublings);
  return std::min(Settings.MaxBackoff,
                  Settings.InitialBackoff * (std::int64_t{1} << Doublings));
}

void endDoubts(ServerState &Server) {
  Server.Contradictions = 0;
  Server.DoubtedUntil = {};
}

bool isEvacuated(const ServerTable &Table, const ServerState &Server) {
  return Table.Evacuated.contains(Server.Record.FailureDomain);
}

/// Whether a request may go to a server at all, at any time.
bool isAllowed(const ServerTable &Table, const ServerState &Server,
               const ServerRequirements &Requirements) {
  return !isEvacuated(Table, Server) &&
         isRegionAllowed(Requirements.AllowedRegions, Server.Region);
}

/// Limit for cold servers of the server's pool; null when there is none.
const ColdLimit *coldLimit(const ServerTable &Table,
                           const ServerState &Server) {
  const auto Found = Table.ColdLimits.find(Server.Record.Pool);
  return Found == Table.ColdLimits.end() ? nullptr : &Found->second;
}

ColdStanding standingOf(const ServerTable &Table, const ServerState &Server,
                        TimePoint Now) {
  const ColdLimit *Limit = coldLimit(Table, Server);
  return Limit == nullptr ? ColdStanding::Open
                          : coldStanding(Table.Shares, *Limit, Server.Cold,
                                         Server.Record.Id, Now);
}

/// Whether the weights of a record are whole. A server that has some layers of
/// a version refuses requests.
bool hasWholeModel(const ServerTable &Table, const ServerRecord &Record) {
  const auto Layers = Table.LayersByPool.find(Record.Pool);
  return Layers == Table.LayersByPool.end() ||
         isWholeModel(Record.Layers, Layers->second);
}

/// Records that a server has started or may have turned cold.
void assumeCold(const ServerTable &Table, ServerState &Server, TimePoint Now) {
  if (const ColdLimit *Limit = coldLimit(Table, Server))
    recordColdStart(Server.Cold, *Limit, Now);
}

} // namespace

void putServer(ServerTable &Table, const ServerRecord &Record) {
  const bool New = !Table.Servers.contains(Record.Id);
  ServerState &Server = Table.Servers[Record.Id];
  const bool Restarted = !New && Server.Record.StartedAtMs != 0 &&
                         Record.StartedAtMs > Server.Record.StartedAtMs;
  const std::string AddressBefore = Server.Record.Address;
  if (!New)
    removeFromIndexes(Table, Server.Record);
  if (New || Restarted) {
    Server.Weights.clear();
    Server.ReportedLoad.reset();
    Server.LoadingUntil = {};
    applyRestart(Server.Availability);
    resetHealth(Server);
    endDoubts(Server);
  }
  if (New)
    restoreNotices(Table, Server, Record);
  // A record written before a restart must not hide the restart.
  const std::int64_t Started =
      std::max(Server.Record.StartedAtMs, Record.StartedAtMs);
  const bool Outdated = Record.StartedAtMs < Started;
  const bool IsEngine = Server.Record.Weights || Record.Weights;
  Server.Record = Record;
  Server.Record.StartedAtMs = Started;
  // A record without weights does not make a model server one that serves
  // every version.
  if (IsEngine && !Record.Weights)
    Server.Record.Weights.emplace();
  if (Record.Weights && !Outdated && hasWholeModel(Table, Record))
    mergeWeights(Server.Weights, *Record.Weights);
  const auto Region = Table.Settings.RegionOf.find(Record.FailureDomain);
  Server.Region = Region == Table.Settings.RegionOf.end() ? "" : Region->second;
  Table.ByPool[Record.Pool].insert(Record.Id);
  Table.IdsByAddress[Record.Address].insert(Record.Id);
  assignAddress(Table, Record.Address, Record.Id);
  if (AddressBefore != Record.Address)
    assignAddress(Table, AddressBefore, {});
}

void removeServer(ServerTable &Table, const std::string &Id) {
  const auto Found = Table.Servers.find(Id);
  if (Found == Table.Servers.end())
    return;
  const ServerRecord &Record = Found->second.Record;
  const ServerAvailability &Availability = Found->second.Availability;
  if (Availability.Leaving || Availability.RefusesUntil != TimePoint{})
    addAbsentServer(Table, {Id, Record.StartedAtMs, Availability});
  const std::string Address = Record.Address;
  removeFromIndexes(Table, Record);
  Table.Servers.erase(Found);
  assignAddress(Table, Address, {});
}

bool applyEngineStatus(ServerTable &Table,
                       const EngineStatusReport &EngineStatus, TimePoint Now) {
  const auto Id = Table.OwnerByAddress.find(EngineStatus.Address);
  ServerState *Server = Id == Table.OwnerByAddress.end()
                            ? nullptr
                            : findServer(Table, Id->second);
  if (Server == nullptr ||
      EngineStatus.StartedAtMs < Server->Record.StartedAtMs)
    return false;
  if (EngineStatus.StartedAtMs > Server->Record.StartedAtMs) {
    Server->Weights.clear();
    if (Server->Record.StartedAtMs != 0)
      applyRestart(Server->Availability);
    resetHealth(*Server);
    endDoubts(*Server);
    Server->Record.StartedAtMs = EngineStatus.StartedAtMs;
    assumeCold(Table, *Server, Now);
  }
  if (Now - Server->ContradictedAt >= Table.Settings.StatusDelay)
    endDoubts(*Server);
  Server->EngineReportedAt = Now;
  mergeWeights(Server->Weights, EngineStatus.Weights);
  Server->ReportedLoad = EngineStatus.Load;
  Server->StartedSinceReport = 0;
  Server->LoadingUntil = EngineStatus.Accepting
                             ? TimePoint{}
                             : Now + Table.Settings.LoadingTimeout;
  return true;
}

void requireVersion(ServerTable &Table, const DeclaredVersion &Required) {
  std::uint64_t &Lowest = Table.RequiredVersions[Required.Model];
  Lowest = std::max(Lowest, Required.Version);
}

std::string_view serverShortageName(ServerShortage Value) {
  switch (Value) {
  case ServerShortage::None:
    return "none";
  case ServerShortage::Full:
    return "full";
  case ServerShortage::Loading:
    return "loading";
  case ServerShortage::Refusing:
    return "refusing";
  case ServerShortage::Absent:
    return "absent";
  case ServerShortage::NotAllowed:
    return "not_allowed";
  }
  return "";
}

ServerChoice chooseServer(const ServerTable &Table,
                          const ServerRequirements &Requirements, TimePoint Now,
                          Random &Generator) {
  ServerChoice Choice;
  const auto Pool = Table.ByPool.find(Requirements.Pool);
  if (Pool == Table.ByPool.end())
    return Choice;
  const double MeanFailureRate = poolFailureRate(Table, Pool->second);
  double Best = std::numeric_limits<double>::max();
  std::uint32_t Ties = 0;
  auto Report = [&](ServerShortage Shortage) {
    if (Choice.Shortage != ServerShortage::None)
      Choice.Shortage = std::min(Choice.Shortage, Shortage);
  };
  std::bernoulli_distribution Draw(drawProbability(
      serversInOwnRegion(Table, Pool->second), Table.Settings.SharingGateways));
  for (const std::string &Id : Pool->second) {
    const ServerState &Server = Table.Servers.at(Id);
    if (Server.Record.Draining || Server.Replaced ||
        Requirements.Excluded.contains(Id) || Now < Server.BackoffUntil ||
        !mayReceive(Server.Availability, Now) ||
        !isAllowed(Table, Server, Requirements))
      continue;
    if (Now < Server.DoubtedUntil ||
        !hasWeights(Table, Server, Requirements, Now)) {
      Report(ServerShortage::Loading);
      continue;
    }
    // After a backoff one request at a time probes the server.
    const bool Probing =
        Server.ConsecutiveFailures > 0 || Server.Contradictions > 0;
    const std::uint32_t Limit =
        Probing ? 1 : requestLimit(Table, Server, Requirements);
    const std::uint32_t Load =
        Probing ? Server.InFlight : estimatedLoad(Table, Server);
    const bool Probed =
        Server.Availability.ProbeDue && Server.Availability.ProbeRunning;
    const ColdStanding Standing = standingOf(Table, Server, Now);
    const bool Reserved = Requirements.ReservedRegions.contains(Server.Region);
    if (Load >= Limit || Probed || Reserved ||
        Standing == ColdStanding::Closed ||
        prefillIsFull(Table, Server, Requirements)) {
      Choice.HeldByShare |= Load < Limit && Standing == ColdStanding::Closed;
      Report(ServerShortage::Full);
      continue;
    }
    const double Score =
        loadScore(Table, Server, MeanFailureRate) +
        (Draw(Generator) ? 0 : NotDrawnPenalty) +
        (Standing == ColdStanding::Exhausted ? ExhaustedSharePenalty : 0);
    Ties = Score == Best ? Ties + 1 : (Score < Best ? 1 : 0);
    if (Score < Best ||
        (Score == Best && std::uniform_int_distribution<std::uint32_t>(1, Ties)(
                              Generator) == 1)) {
      Best = Score;
      Choice.Id = Id;
      Choice.Shortage = ServerShortage::None;
    }
  }
  return Choice;
}

NoticeChange recordNotice(ServerTable &Table, const std::string &Id,
                          std::int64_t StartedAtMs, const ServerNotice &Notice,
                          TimePoint Now) {
  const auto Apply = [&](ServerAvailability &Availability,
                         std::int64_t LastStartMs) {
    ServerNotice Valid = Notice;
    Valid.Leaving = Notice.Leaving && StartedAtMs >= LastStartMs;
    return applyNotice(Availability, Valid, Now);
  };
  if (ServerState *Server = findServer(Table, Id))
    return Apply(Server->Availability, Server->Record.StartedAtMs);
  if (!Notice.Leaving && !Notice.RefusesFor)
    return NoticeChange::None;
  const auto Known = findAbsentServer(Table, Id);
  AbsentServer &Server = Known != Table.AbsentServers.end()
                             ? *Known
                             : addAbsentServer(Table, {Id, StartedAtMs, {}});
  return Apply(Server.Availability, Server.StartedAtMs);
}

bool mayReceive(const ServerTable &Table, const std::string &Id,
                TimePoint Now) {
  const auto Found = Table.Servers.find(Id);
  return Found != Table.Servers.end() && !Found->second.Record.Draining &&
         !Found->second.Replaced && !isEvacuated(Table, Found->second) &&
         mayReceive(Found->second.Availability, Now);
}

bool hasAllowedServer(const ServerTable &Table,
                      const ServerRequirements &Requirements) {
  const auto Pool = Table.ByPool.find(Requirements.Pool);
  if (Pool == Table.ByPool.end() || Pool->second.empty())
    return true;
  return std::any_of(
      Pool->second.begin(), Pool->second.end(), [&](const std::string &Id) {
        return isAllowed(Table, Table.Servers.at(Id), Requirements);
      });
}

bool setEvacuated(ServerTable &Table, const std::string &Domain,
                  bool IsEvacuated, TimePoint Now) {
  const bool Changed = IsEvacuated ? Table.Evacuated.insert(Domain).second
                                   : Table.Evacuated.erase(Domain) > 0;
  if (Changed)
    for (auto &[Id, Server] : Table.Servers)
      if (Server.Record.FailureDomain == Domain)
        assumeCold(Table, Server, Now);
  return Changed;
}

void recordServerColdness(ServerTable &Table, const ServerRecord &Record,
                          TimePoint Now) {
  ServerState *Server = findServer(Table, Record.Id);
  if (Server != nullptr && Record.StartedAtMs >= Server->Record.StartedAtMs)
    recordColdness(Server->Cold, Record.ColdFor, Now);
}

bool isCold(const ServerTable &Table, const std::string &Id, TimePoint Now) {
  const auto Found = Table.Servers.find(Id);
  return Found != Table.Servers.end() && Now < Found->second.Cold.ColdUntil;
}

void recordSend(ServerTable &Table, const std::string &Id, TimePoint Now) {
  ServerState *Server = findServer(Table, Id);
  if (Server != nullptr && coldLimit(Table, *Server) != nullptr)
    recordColdSend(Table.Shares, Server->Cold, Now);
}

bool isLeaving(const ServerTable &Table, const std::string &Id) {
  const auto Found = Table.Servers.find(Id);
  return Found != Table.Servers.end() &&
         (Found->second.Record.Draining || Found->second.Availability.Leaving);
}

std::optional<TimePoint> refusedUntil(const ServerTable &Table,
                                      const ServerRequirements &Requirements,
                                      TimePoint Now) {
  const auto Pool = Table.ByPool.find(Requirements.Pool);
  std::optional<TimePoint> Earliest;
  if (Pool == Table.ByPool.end())
    return Earliest;
  for (const std::string &Id : Pool->second) {
    const ServerState &Server = Table.Servers.at(Id);
    if (Server.Replaced)
      continue;
    const bool Excluded = Requirements.Excluded.contains(Id);
    const bool Leaving = Server.Record.Draining ||
                         Server.Availability.Leaving ||
                         !isAllowed(Table, Server, Requirements);
    if (Leaving || Now < Server.Availability.RefusesUntil) {
      const TimePoint End = Leaving || Excluded
                                ? TimePoint::max()
                                : Server.Availability.RefusesUntil;
      Earliest = std::min(Earliest.value_or(End), End);
    } else if (!Excluded) {
      return std::nullopt;
    }
  }
  return Earliest;
}

void recordRequestStart(ServerTable &Table, const std::string &Id,
                        std::uint64_t PromptTokens) {
  if (ServerState *Server = findServer(Table, Id)) {
    Server->PrefillTokens += PromptTokens;
    ++Server->InFlight;
    ++Server->StartedSinceReport;
    Server->Availability.ProbeRunning = Server->Availability.ProbeDue;
  }
}

void recordPrefillEnd(ServerTable &Table, const std::string &Id,
                      std::uint64_t PromptTokens) {
  if (ServerState *Server = findServer(Table, Id))
    Server->PrefillTokens -= std::min(Server->PrefillTokens, PromptTokens);
}

void recordRequestEnd(ServerTable &Table, const std::string &Id) {
  ServerState *Server = findServer(Table, Id);
  if (Server == nullptr || Server->InFlight == 0)
    return;
  --Server->InFlight;
  --Server->StartedSinceReport;
  // The request that ended may be an older one; then a second probe is sent.
  Server->Availability.ProbeRunning = false;
}

void recordReportedLoad(ServerTable &Table, const std::string &Id,
                        std::uint32_t Load) {
  if (ServerState *Server = findServer(Table, Id)) {
    Server->ReportedLoad = Load;
    Server->StartedSinceReport = 0;
  }
}

void recordServerOutcome(ServerTable &Table, const std::string &Id,
                         ServerOutcome Outcome, TimePoint Now) {
  ServerState *Server = findServer(Table, Id);
  if (Server == nullptr)
    return;
  const bool Failed = Outcome != ServerOutcome::Answered;
  const double Weight = Table.Settings.FailureWeight;
  Server->FailureRate =
      (1 - Weight) * Server->FailureRate + (Failed ? Weight : 0);
  if (Outcome == ServerOutcome::Answered ||
      Outcome == ServerOutcome::ServerError) {
    Server->ConsecutiveFailures = 0;
    Server->BackoffUntil = {};
    return;
  }
  if (Outcome == ServerOutcome::InvalidAnswer)
    return;
  ++Server->ConsecutiveFailures;
  Server->BackoffUntil =
      Now + backoffAfter(Table.Settings, Server->ConsecutiveFailures);
}

void recordContradiction(ServerTable &Table, const std::string &Id,
                         TimePoint Now) {
  ServerState *Server = findServer(Table, Id);
  if (Server == nullptr)
    return;
  // Requests that were sent before the first refusal tell nothing new.
  if (Now >= Server->DoubtedUntil)
    ++Server->Contradictions;
  Server->ContradictedAt = Now;
  Server->DoubtedUntil =
      Now + backoffAfter(Table.Settings, Server->Contradictions);
}

void recordServed(ServerTable &Table, const std::string &Id) {
  if (ServerState *Server = findServer(Table, Id))
    endDoubts(*Server);
}

void recordUnstarted(ServerTable &Table, const std::string &Id,
                     TimePoint SentAt) {
  if (ServerState *Server = findServer(Table, Id))
    Server->UnstartedSentAt.insert(SentAt);
}

void recordStarted(ServerTable &Table, const std::string &Id, TimePoint SentAt,
                   TimePoint Now) {
  ServerState *Server = findServer(Table, Id);
  if (Server == nullptr)
    return;
  const auto Sent = Server->UnstartedSentAt.find(SentAt);
  if (Sent == Server->UnstartedSentAt.end())
    return; // the record was gone meanwhile
  Server->UnstartedSentAt.erase(Sent);
  Server->StartDelay =
      std::max(Now - SentAt, Server->StartDelay / StartDelayDecay);
  Server->StartDelayAt = Now;
}

Duration expectedStartDelay(const ServerTable &Table, const ServerState &Server,
                            TimePoint Now) {
  const bool IsRecent =
      Now - Server.StartDelayAt < Table.Settings.StartDelayLifetime;
  const Duration Measured =
      IsRecent ? Server.StartDelay : Table.Settings.UnknownStartDelay;
  return Server.UnstartedSentAt.empty()
             ? Measured
             : std::max(Measured, Now - *Server.UnstartedSentAt.begin());
}

bool isBusy(const ServerTable &Table, const std::string &Id, TimePoint Now) {
  const auto Found = Table.Servers.find(Id);
  if (Found == Table.Servers.end())
    return false;
  const ServerState &Server = Found->second;
  return Server.ReportedLoad && *Server.ReportedLoad >= slotsOf(Server) &&
         Now - Server.EngineReportedAt < Table.Settings.StatusLifetime;
}

bool isAboutToLoad(const ServerTable &Table, const std::string &Id,
                   TimePoint Now) {
  const auto Found = Table.Servers.find(Id);
  return Found != Table.Servers.end() && Now < Found->second.LoadingUntil;
}

std::uint64_t loadedVersion(const ServerState &Server, std::string_view Model) {
  for (const LoadedWeights &Loaded : Server.Weights)
    if (Loaded.Model == Model)
      return Loaded.Version;
  return 0;
}

std::uint32_t estimatedLoad(const ServerTable &Table,
                            const ServerState &Server) {
  if (!Server.ReportedLoad)
    return Server.InFlight;
  const std::int64_t StartedSince =
      Server.StartedSinceReport > 0
          ? Server.StartedSinceReport * Table.Settings.SharingGateways
          : Server.StartedSinceReport;
  const std::int64_t Estimate = *Server.ReportedLoad + StartedSince;
  return std::max(Server.InFlight, static_cast<std::uint32_t>(
                                       std::max<std::int64_t>(0, Estimate)));
}

std::uint32_t loadLimit(const ServerTable &Table, const ServerState &Server) {
  const std::uint32_t Slots = slotsOf(Server);
  if (Server.Record.Weights)
    return Slots + Table.Settings.EngineQueueDepth;
  return 2 * Slots;
}

} // namespace marigoldyard
