#include "marigoldyard/coordination/load_plan.hpp"

#include <algorithm>
#include <cmath>

namespace marigoldyard {

namespace {

LoadStage nextStage(const LoadState &State, const LoadFacts &Facts,
                    TimePoint Now) {
  if (Facts.Loaded)
    return LoadStage::Serving;
  switch (State.Stage) {
  case LoadStage::Serving:
  case LoadStage::Fetching:
    return Facts.Complete ? LoadStage::Staging : LoadStage::Fetching;
  case LoadStage::Staging:
    return Facts.Staged ? LoadStage::Waiting : LoadStage::Staging;
  case LoadStage::Waiting:
    if (Facts.Busy)
      return LoadStage::Waiting;
    if (Facts.Empty) // no gateway sends anything that could be disturbed
      return LoadStage::Loading;
    return Facts.MayBeUnready ? LoadStage::Announced : LoadStage::Waiting;
  case LoadStage::Announced: {
    const Duration Passed = Now - State.Since;
    if (Passed < State.Settings.AnnounceLead)
      return LoadStage::Announced;
    const bool Drained = Facts.Idle || Passed >= State.Settings.DrainLimit;
    return Drained || !Facts.MayCut ? LoadStage::Loading : LoadStage::Announced;
  }
  case LoadStage::Loading:
    // The server may have restarted and forgotten the order.
    return !Facts.Busy && Now - State.Since >= State.Settings.OrderLimit
               ? LoadStage::Staging
               : LoadStage::Loading;
  }
  return State.Stage;
}

} // namespace

std::string_view loadStageName(LoadStage Value) {
  static constexpr std::string_view Names[] = {
      "serving", "fetching", "staging", "waiting", "announced", "loading"};
  return Names[static_cast<std::size_t>(Value)];
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

bool stepLoad(LoadState &State, const LoadFacts &Facts, TimePoint Now) {
  const LoadStage Next = nextStage(State, Facts, Now);
  if (Next == State.Stage)
    return false;
  State.Stage = Next;
  State.Since = Now;
  State.CutRunning = Next == LoadStage::Loading && Facts.MayCut && !Facts.Idle;
  return true;
}

void restage(LoadState &State, TimePoint Now) {
  State.Stage = LoadStage::Fetching;
  State.Since = Now;
}

bool worthFinishing(const LoadState &State, const TransferProgress &Progress,
                    TimePoint NewerDeclaredAt) {
  const auto SkipUntil = std::chrono::duration_cast<Duration>(
      State.Settings.VersionLimit * State.Settings.SkipShare);
  if (NewerDeclaredAt - State.NewestSince > SkipUntil)
    return true;
  return Progress.Chunks > 0 &&
         static_cast<double>(Progress.Near) >=
             State.Settings.FinishShare * static_cast<double>(Progress.Chunks);
}

std::uint32_t unavailableLimit(const LoadState &State, std::size_t Servers,
                               TimePoint Now) {
  const auto TurnsUntil = std::chrono::duration_cast<Duration>(
      State.Settings.VersionLimit * State.Settings.TurnShare);
  if (Now - State.DeclaredAt >= TurnsUntil)
    return static_cast<std::uint32_t>(std::max<std::size_t>(1, Servers));
  const double Share =
      static_cast<double>(Servers) * State.Settings.UnavailableShare;
  return static_cast<std::uint32_t>(std::max(1.0, std::floor(Share)));
}

} // namespace marigoldyard
