#include "marigoldyard/coordination/load_plan.hpp"

#include <algorithm>
#include <cmath>

namespace marigoldyard {

namespace {

LoadStage nextStage(const LoadState &State, const LoadConditions &Conditions,
                    TimePoint Now) {
  if (Conditions.Loaded)
    return Conditions.LoadDoubtful ? State.Stage : LoadStage::Serving;
  switch (State.Stage) {
  case LoadStage::Serving:
  case LoadStage::Fetching:
    return Conditions.Complete ? LoadStage::Staging : LoadStage::Fetching;
  case LoadStage::Staging:
    return Conditions.Staged ? LoadStage::Waiting : LoadStage::Staging;
  case LoadStage::Waiting:
    if (Conditions.Busy)
      return LoadStage::Waiting;
    // No gateway sends requests to the server.
    if (Conditions.NoVersionServed || Conditions.ServedOutOfUse)
      return Conditions.ReadsRecent ? LoadStage::Loading : LoadStage::Waiting;
    return Conditions.HasTurn ? LoadStage::Announced : LoadStage::Waiting;
  case LoadStage::Announced: {
    const Duration Elapsed = Now - State.StageEnteredAt;
    if (Elapsed < State.Settings.AnnounceLeadTime || !Conditions.ReadsRecent)
      return LoadStage::Announced;
    const bool Drained = Conditions.Idle || Conditions.ServedOutOfUse ||
                         Elapsed >= State.Settings.DrainTimeout;
    return Drained || !Conditions.StreamsCanMove ? LoadStage::Loading
                                                 : LoadStage::Announced;
  }
  case LoadStage::Loading:
    // The order is lost when the server restarts.
    return !Conditions.Busy &&
                   Now - State.StageEnteredAt >= State.Settings.OrderTimeout
               ? LoadStage::Staging
               : LoadStage::Loading;
  }
  return State.Stage;
}

} // namespace

std::string_view loadStageName(LoadStage StageToName) {
  static constexpr std::string_view Names[] = {
      "serving", "fetching", "staging", "waiting", "announced", "loading"};
  return Names[static_cast<std::size_t>(StageToName)];
}

LoadState makeLoad(LoadPlanSettings Settings, DeclaredVersion Target,
                   TimePoint Now) {
  LoadState State;
  State.Settings = Settings;
  State.Target = std::move(Target);
  State.DeclaredAt = Now;
  State.OutdatedSince = Now;
  State.StageEnteredAt = Now;
  return State;
}

bool advanceLoad(LoadState &State, const LoadConditions &Conditions,
                 TimePoint Now) {
  const LoadStage Next = nextStage(State, Conditions, Now);
  if (Next == State.Stage)
    return false;
  State.Stage = Next;
  State.StageEnteredAt = Now;
  return true;
}

void returnToAnnounced(LoadState &State, TimePoint Now) {
  State.Stage = LoadStage::Announced;
  State.StageEnteredAt = Now;
}

void restartStaging(LoadState &State, TimePoint Now) {
  State.Stage = LoadStage::Fetching;
  State.StageEnteredAt = Now;
}

bool shouldFinishLoad(const LoadState &State, const TransferProgress &Progress,
                      TimePoint NewerDeclaredAt) {
  const auto SkipPeriod = std::chrono::duration_cast<Duration>(
      State.Settings.OldVersionDeadline * State.Settings.SkipPeriodShare);
  if (NewerDeclaredAt - State.OutdatedSince > SkipPeriod)
    return true;
  return Progress.Chunks > 0 &&
         static_cast<double>(Progress.HeldOrAvailable) >=
             State.Settings.MinHeldShare * static_cast<double>(Progress.Chunks);
}

std::uint32_t maxUnavailableServers(const LoadState &State,
                                    std::size_t ServerCount, TimePoint Now) {
  const auto StaggeredPeriod = std::chrono::duration_cast<Duration>(
      State.Settings.OldVersionDeadline * State.Settings.StaggeredShare);
  if (Now - State.DeclaredAt >= StaggeredPeriod)
    return static_cast<std::uint32_t>(std::max<std::size_t>(1, ServerCount));
  const double Allowed =
      static_cast<double>(ServerCount) * State.Settings.MaxUnavailableShare;
  return static_cast<std::uint32_t>(std::max(1.0, std::floor(Allowed)));
}

} // namespace marigoldyard
