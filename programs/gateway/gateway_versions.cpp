#include "programs/gateway/gateway.hpp"

#include "marigoldyard/transport/clock.hpp"
#include "platform/store_format.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace marigoldyard {

using std::chrono::milliseconds;

namespace {

/// Reported declarations that are kept; older ones are dropped first.
constexpr std::size_t MaxReportedDeclarations = 256;
/// Time for which other gateways are asked for the age of a declaration. Those
/// that learn of it later know no more about its age.
constexpr milliseconds AgeQuestionPeriod{1500};
/// Time for which requests to model servers are held for the answers of others,
/// when a declaration is learned after its bound.
constexpr milliseconds AnswerTime{300};
/// Stagers that are asked about an outage. More would not tell more.
constexpr std::size_t MaxOutageWitnesses = 16;
/// A stager that sent nothing for this long may not run.
constexpr std::chrono::seconds WitnessTimeout{5};
/// Interval of questions after the start; a message may be lost.
constexpr milliseconds SurveyInterval{100};

} // namespace

void Gateway::recordDeclaredVersion(const StoreItem &Item) {
  const auto Version = platform::parseDeclaredVersion(Item.Value);
  if (!Version) {
    Node.Log.write("version_refused", Version.error());
    return;
  }
  // After a restore of the store, declarations are written again.
  std::uint64_t &Newest = DeclaredVersions[Version->Model];
  if (Version->Version <= Newest)
    return;
  const std::uint64_t KnownBefore = std::exchange(Newest, Version->Version);
  sendPoolDescriptions();
  DeclarationEvidence Evidence{now(), Node.Store.confirmedAt(), std::nullopt,
                               std::nullopt};
  // A declaration from before a restore may have been acknowledged long before
  // the contact with the restored store.
  if (Item.Era < Node.Store.mirror().Position.Era)
    Evidence.ConfirmedAt.reset();
  // The store holds the newest declaration only. Those between were also made
  // since the last contact.
  if (KnownBefore != 0 && Version->Version > KnownBefore + 1)
    addPending({{Version->Model, Version->Version - 1},
                Evidence,
                Version->Version > KnownBefore + 2});
  addPending({*Version, Evidence});
  askLiveGateways();
  enforceVersions();
}

void Gateway::addPending(PendingVersion Pending) {
  if (const auto Report = ReportedDeclarations.find(Pending.Declared);
      Report != ReportedDeclarations.end() && !Pending.CoversSeveral)
    Pending.Evidence.ReportedAt = Report->second;
  askAboutOutage(Pending);
  PendingVersions.push_back(std::move(Pending));
  logDeclaration("version_declared", PendingVersions.back());
}

void Gateway::askAboutOutage(PendingVersion &Pending) {
  const StoreContact Contact{Pending.Evidence.ConfirmedAt,
                             Node.Store.unavailableAt()};
  if (!sawOutage(Contact))
    return;
  const OutageQuestion Question{Node.Generator(), Pending.Declared.Model,
                                Pending.Declared.Version};
  const TimePoint Now = now();
  Pending.Outage = OutageInquiry{Question.Number, Now, *Contact.UnavailableAt};
  Pending.Outage->ClosesAt = Now + AnswerTime;
  for (const auto &[Address, Stager] : Stagers) {
    if (Now - Stager.LastMessageAt > WitnessTimeout)
      continue;
    Node.send(Address, Question);
    if (++Pending.Outage->Asked == MaxOutageWitnesses)
      return;
  }
}

void Gateway::handleOutageAnswer(const std::string &Stager,
                                 const OutageAnswer &Answer) {
  for (PendingVersion &Each : PendingVersions) {
    if (!Each.Outage || Each.Outage->Number != Answer.Number)
      continue;
    recordOutageAnswer(*Each.Outage, Stager, Answer.Age);
    const bool First = !Each.Evidence.OutageEndedAt;
    Each.Evidence.OutageEndedAt = sharedOutageEnd(*Each.Outage);
    if (First && Each.Evidence.OutageEndedAt)
      logDeclaration("version_outage_shared", Each);
  }
}

void Gateway::logDeclaration(std::string_view Event,
                             const PendingVersion &Pending) {
  const auto Ago = [Now = now()](const std::optional<TimePoint> &At) {
    return At ? formatSeconds(Now - *At) : std::string();
  };
  const VersionDeadlines Deadlines =
      versionDeadlines(versionBound(), Pending.Evidence);
  Node.Log.write(
      {.Event = std::string(Event),
       .At = Step::ConfigurationAccept,
       .Fields = {
           {"model", Pending.Declared.Model},
           {"version", std::to_string(Pending.Declared.Version)},
           {"learned_s_ago", Ago(Pending.Evidence.LearnedAt)},
           {"confirmed_s_ago", Ago(Pending.Evidence.ConfirmedAt)},
           {"reported_s_ago", Ago(Pending.Evidence.ReportedAt)},
           {"outage_ended_s_ago", Ago(Pending.Evidence.OutageEndedAt)},
           {"required_in_s", formatSeconds(Deadlines.RequiredAt - now())}}});
}

VersionBoundSettings Gateway::versionBound() const {
  VersionBoundSettings Bound;
  Bound.Limit = Settings.Process.VersionLimit;
  return Bound;
}

void Gateway::addReported(const DeclaredVersion &Declared) {
  const auto Required = Servers.RequiredVersions.find(Declared.Model);
  const bool IsRequired = Required != Servers.RequiredVersions.end() &&
                          Required->second >= Declared.Version;
  const bool IsKnown = std::any_of(
      PendingVersions.begin(), PendingVersions.end(),
      [&](const PendingVersion &Each) { return Each.Declared == Declared; });
  // A newer declaration hides this one from a process that has just started.
  const auto Newest = DeclaredVersions.find(Declared.Model);
  if (!IsRequired && !IsKnown && Newest != DeclaredVersions.end() &&
      Newest->second > Declared.Version)
    addPending({Declared, {now(), std::nullopt, std::nullopt, std::nullopt}});
}

void Gateway::handleVersionQuestion(const std::string &Sender,
                                    const VersionQuestion &Question) {
  VersionAnswer Answer;
  Answer.Number = Question.Number;
  Answer.Informed = Survey.Complete && Node.Store.isInitialized();
  const TimePoint Now = now();
  for (const PendingVersion &Each : PendingVersions)
    if (const auto Bound = acknowledgedAfter(Each.Evidence);
        Bound && !Each.CoversSeveral &&
        !(Each.Outage && isOpen(*Each.Outage, Now)))
      Answer.Recent.push_back({Each.Declared.Model, Each.Declared.Version,
                               std::chrono::ceil<milliseconds>(Now - *Bound)});
  for (const auto &[Model, Version] : Servers.RequiredVersions)
    Answer.Required.push_back({Model, Version});
  Node.send(Sender, std::move(Answer));
}

void Gateway::handleVersionAnswer(const std::string &Sender,
                                  const VersionAnswer &Answer) {
  for (const LoadedWeights &Each : Answer.Required)
    requireReported({Each.Model, Each.Version});
  for (const DeclarationAge &Each : Answer.Recent)
    if (const auto At = answeredBound(Questions, Answer.Number, Each.Age))
      recordReported({Each.Model, Each.Version}, *At);
  if (!Survey.Complete)
    recordSurveyAnswer(Survey, Sender, Answer.Informed);
}

void Gateway::recordReported(const DeclaredVersion &Declared, TimePoint At) {
  TimePoint &Known =
      ReportedDeclarations.try_emplace(Declared, At).first->second;
  Known = std::max(Known, At);
  addReported(Declared);
  for (PendingVersion &Pending : PendingVersions) {
    if (Pending.Declared != Declared || Pending.CoversSeveral)
      continue;
    const bool FirstReport = !Pending.Evidence.ReportedAt;
    Pending.Evidence.ReportedAt = Known;
    if (FirstReport)
      logDeclaration("version_age_reported", Pending);
  }
  if (ReportedDeclarations.size() > MaxReportedDeclarations)
    ReportedDeclarations.erase(std::min_element(
        ReportedDeclarations.begin(), ReportedDeclarations.end(),
        [](const auto &A, const auto &B) { return A.second < B.second; }));
}

void Gateway::askVersions(const std::set<std::string> &Gateways) {
  if (Gateways.empty())
    return;
  const VersionQuestion Question{Node.Generator()};
  recordQuestion(Questions, Question.Number, now());
  for (const std::string &Address : Gateways)
    Node.send(Address, Question);
}

void Gateway::askLiveGateways() {
  const TimePoint Now = now();
  if (std::none_of(PendingVersions.begin(), PendingVersions.end(),
                   [Now](const PendingVersion &Each) {
                     return Now - Each.Evidence.LearnedAt < AgeQuestionPeriod;
                   }))
    return;
  std::set<std::string> Live;
  for (const auto &[Address, Other] : Node.liveGateways())
    Live.insert(Address);
  askVersions(Live);
}

void Gateway::runSurvey() {
  if (SurveyEnded)
    return;
  const TimePoint Now = now();
  const std::set<std::string> Gateways = Node.gatewayAddresses();
  updateSurvey(Survey, Gateways, Now);
  if (Survey.Complete) {
    SurveyEnded = true;
    Node.Log.write(
        {.Event = "versions_surveyed",
         .At = Step::ConfigurationAccept,
         .Fields = {{"gateways", std::to_string(Gateways.size())},
                    {"uninformed", std::to_string(Survey.Uninformed.size())},
                    {"waited_s", formatSeconds(Now - Survey.StartedAt)}}});
    logReadinessChange();
    return;
  }
  if (Now - LastSurveyQuestionAt < SurveyInterval)
    return;
  LastSurveyQuestionAt = Now;
  askVersions(Gateways);
}

void Gateway::requireReported(const DeclaredVersion &Required) {
  const auto Known = Servers.RequiredVersions.find(Required.Model);
  if (Known != Servers.RequiredVersions.end() &&
      Known->second >= Required.Version)
    return;
  // A gateway that lost the store may require a version early; one that knows a
  // bound need not follow it.
  if (std::any_of(PendingVersions.begin(), PendingVersions.end(),
                  [&](const PendingVersion &Each) {
                    return Each.Declared == Required &&
                           acknowledgedAfter(Each.Evidence);
                  }))
    return;
  std::uint64_t &Newest = DeclaredVersions[Required.Model];
  Newest = std::max(Newest, Required.Version);
  requireVersion(Servers, Required);
  Node.Log.write({.Event = "version_required",
                  .At = Step::ConfigurationAccept,
                  .Fields = {{"model", Required.Model},
                             {"version", std::to_string(Required.Version)},
                             {"source", "gateway"}}});
  sendPoolDescriptions();
}

void Gateway::enforceVersions() {
  const TimePoint Now = now();
  withdrawUnstarted(Now);
  bool AwaitsAnswers = false;
  std::erase_if(PendingVersions, [&](PendingVersion &Each) {
    const VersionDeadlines Deadlines =
        versionDeadlines(versionBound(), Each.Evidence);
    const bool IsOver = Now >= Deadlines.RequiredAt;
    if (IsOver && !Each.Required &&
        Now - Each.Evidence.LearnedAt < AnswerTime) {
      AwaitsAnswers = true;
      return false;
    }
    if (IsOver && !std::exchange(Each.Required, true)) {
      requireVersion(Servers, Each.Declared);
      logDeclaration("version_required", Each);
    }
    return Now >= Deadlines.StartBy && Each.Required;
  });
  Servers.RequiredVersionsKnown = Survey.Complete && !AwaitsAnswers;
  Servers.StartDeadlines.clear();
  for (const PendingVersion &Each : PendingVersions)
    Servers.StartDeadlines[Each.Declared.Model][Each.Declared.Version] =
        versionDeadlines(versionBound(), Each.Evidence).StartBy;
}

std::optional<TimePoint> Gateway::startDeadline(const std::string &Model,
                                                std::uint64_t Version) const {
  std::optional<TimePoint> Earliest;
  for (const PendingVersion &Each : PendingVersions) {
    if (Each.Declared.Model != Model || Each.Declared.Version <= Version)
      continue;
    const TimePoint StartBy =
        versionDeadlines(versionBound(), Each.Evidence).StartBy;
    Earliest = std::min(Earliest.value_or(StartBy), StartBy);
  }
  const auto Required = Servers.RequiredVersions.find(Model);
  if (!Earliest && Required != Servers.RequiredVersions.end() &&
      Version < Required->second)
    return TimePoint::min();
  return Earliest;
}

std::uint64_t Gateway::watchStart(UnstartedRequest Watched) {
  recordUnstarted(Servers, Watched.Server, Watched.SentAt);
  UnstartedRequests.emplace(++LastStartTicket, std::move(Watched));
  return LastStartTicket;
}

void Gateway::endStartWatch(std::uint64_t Ticket) {
  const auto Found = UnstartedRequests.find(Ticket);
  if (Found == UnstartedRequests.end())
    return;
  recordStarted(Servers, Found->second.Server, Found->second.SentAt, now());
  UnstartedRequests.erase(Found);
}

void Gateway::withdrawUnstarted(TimePoint Now) {
  if (PendingVersions.empty())
    return; // outdated servers get no requests any more
  for (const auto &[Ticket, Each] : UnstartedRequests) {
    const auto Server = Servers.Servers.find(Each.Server);
    // The record of a server that still runs may be gone.
    const std::uint64_t Version =
        Server == Servers.Servers.end()
            ? Each.Version
            : loadedVersion(Server->second, Each.Model);
    const auto StartBy = startDeadline(Each.Model, Version);
    if (StartBy && Now >= *StartBy)
      Each.Withdraw();
  }
}

void Gateway::recordStart(const std::string &Request, const std::string &Server,
                          const std::string &Model, std::uint64_t Version) {
  const auto StartBy = startDeadline(Model, Version);
  if (!StartBy || now() < *StartBy)
    return;
  const auto Known = Servers.Servers.find(Server);
  const std::uint64_t KnownVersion =
      Known == Servers.Servers.end() ? 0 : loadedVersion(Known->second, Model);
  Node.Log.write({.Level = LogLevel::Warning,
                  .Event = "started_on_old_version",
                  .At = Step::Routing,
                  .Request = Request,
                  .Fields = {{"server", Server},
                             {"model", Model},
                             {"version", std::to_string(Version)},
                             {"known_version", std::to_string(KnownVersion)}}});
  Node.ProcessMetrics
      .counter("marigoldyard_late_starts_total",
               "Requests that started on an older version after its bound", {})
      .add();
}

} // namespace marigoldyard
