#include "marigoldyard/coordination/load_plan.hpp"

#include <algorithm>
#include <cmath>

namespace marigoldyard {

namespace {

LoadStage nextStage(const LoadState &State, const LoadFacts &Conditions,
                    TimePoint Now) {
  if (Conditions.Loaded)
    return LoadStage::Serving;
  switch (State.Stage) {
  case LoadStage::Serving:
  case LoadStage::Fetching:
    return Conditions.Complete ? LoadStage::Staging : LoadStage::Fetching;
  case LoadStage::Staging:
    return Conditions.Staged ? LoadStage::Waiting : LoadStage::Staging;
  case LoadStage::Waiting:
    if (Conditions.Busy)
      return LoadStage::Waiting;
    if (Conditions.Empty) // no gateway sends requests to the server
      return LoadStage::Loading;
    return Conditions.MayBeUnready ? LoadStage::Announced : LoadStage::Waiting;
  case LoadStage::Announced: {
    const Duration Elapsed = Now - State.Since;
    if (Elapsed < State.Settings.AnnounceLeadTime)
      return LoadStage::Announced;
    const bool Drained =
        Conditions.Idle || Elapsed >= State.Settings.DrainLimit;
    return Drained || !Conditions.MayCut ? LoadStage::Loading
                                         : LoadStage::Announced;
  }
  case LoadStage::Loading:
    // The order is lost when the server restarts.
    return !Conditions.Busy && Now - State.Since >= State.Settings.OrderLimit
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

LoadState beginLoad(LoadPlanSettings Settings, DeclaredVersion Target,
                    TimePoint Now) {
  LoadState State;
  State.Settings = Settings;
  State.Target = std::move(Target);
  State.DeclaredAt = Now;
  State.NewestSince = Now;
  State.Since = Now;
  return State;
}

bool stepLoad(LoadState &State, const LoadFacts &Conditions, TimePoint Now) {
  const LoadStage Next = nextStage(State, Conditions, Now);
  if (Next == State.Stage)
    return false;
  State.Stage = Next;
  State.Since = Now;
  State.CutRunning =
      Next == LoadStage::Loading && Conditions.MayCut && !Conditions.Idle;
  return true;
}

void restage(LoadState &State, TimePoint Now) {
  State.Stage = LoadStage::Fetching;
  State.Since = Now;
}

bool worthFinishing(const LoadState &State, const TransferProgress &Progress,
                    TimePoint NewerDeclaredAt) {
  const auto SkipPeriod = std::chrono::duration_cast<Duration>(
      State.Settings.VersionLimit * State.Settings.SkipPeriodShare);
  if (NewerDeclaredAt - State.NewestSince > SkipPeriod)
    return true;
  return Progress.Chunks > 0 &&
         static_cast<double>(Progress.Near) >=
             State.Settings.MinHeldShare * static_cast<double>(Progress.Chunks);
}

std::uint32_t unavailableLimit(const LoadState &State, std::size_t ServerCount,
                               TimePoint Now) {
  const auto StaggeredPeriod = std::chrono::duration_cast<Duration>(
      State.Settings.VersionLimit * State.Settings.StaggeredShare);
  if (Now - State.DeclaredAt >= StaggeredPeriod)
    return static_cast<std::uint32_t>(std::max<std::size_t>(1, ServerCount));
  const double Allowed =
      static_cast<double>(ServerCount) * State.Settings.MaxUnavailableShare;
  return static_cast<std::uint32_t>(std::max(1.0, std::floor(Allowed)));
}

} // namespace marigoldyard
