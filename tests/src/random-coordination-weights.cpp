#include "marigoldyard/coordination/rollout.hpp"
#include "marigoldyard/state/fault_switch.hpp"
#include "tests/src/fake_engine.hpp"

#include <cstdlib>
#include <doctest/doctest.h>
#include <map>
#include <rapidcheck.h>

using namespace marigoldyard;
using namespace marigoldyard::test;

namespace {

// A fixed seed, unless a soak run sets its own.
const int SeedSet =
    setenv("RC_PARAMS", "seed=20261204 max_success=300 max_size=400", 0);

enum class Event : std::uint8_t {
  Tick,
  ChangeVersion,
  ChunksArrive,
  ChunksDropped,
  RequestStarts,
  RequestEnds,
  EngineRestarts,
  EngineStalls,
  EngineAnswers,
  LateOrder,
  ForeignOrder,
  FailLoads,
  AgentPauses,
  ReportsArrive,
  Count,
};

constexpr std::size_t PoolSize = 4;
constexpr std::uint32_t MaxUnavailable = 2;

struct Agent {
  std::string Name;
  LoadingState State;
  RolloutState Rollout;
  FakeEngine Engine;
  std::vector<LoadingAction> Pending; ///< actions the engine has not answered
  std::vector<Order> Old;             ///< orders that may arrive again
  std::map<Digest, std::uint32_t> Running;
  std::set<Digest> Ready;          ///< announced
  std::vector<RolloutMember> View; ///< observed members
  std::optional<std::vector<LoadedModel>> LastRead;
  TimePoint Now;
  TimePoint Confirmed;
  bool Stalls = false;
};

struct Pool {
  TimePoint Now = TimePoint{} + std::chrono::hours(1);
  Revision Number = 0;
  LoadedModel Target;
  std::vector<Agent> Agents;

  Pool() {
    for (std::size_t Index = 0; Index < PoolSize; ++Index) {
      Agent Added;
      Added.Name = "agent-" + std::to_string(Index);
      Added.State = makeLoading("engine-" + std::to_string(Index), Index + 1);
      Added.Rollout = makeRollout(Added.Name);
      Added.Engine.IgnoresFence = Index % 2 == 0;
      Added.Confirmed = Now;
      Agents.push_back(std::move(Added));
    }
    changeVersion(1);
    for (Agent &One : Agents)
      shareReports(One);
  }

  void changeVersion(unsigned Version) {
    Target = {"model", std::to_string(Version),
              "digest-" + std::to_string(Version)};
    ++Number;
    for (Agent &One : Agents)
      setDesiredModels(One.State, Number, {wantedFrom(Target)});
  }

  /// One agent sees what the others announce now; the own state is always new.
  void shareReports(Agent &Viewer) {
    Viewer.View.clear();
    for (const Agent &One : Agents)
      Viewer.View.push_back(
          {One.Name, false, Now, {One.Ready.begin(), One.Ready.end()}});
  }

  std::vector<Digest> usable() const {
    return {"digest-0", "digest-1", "digest-2", "digest-3"};
  }

  void plan(Agent &One) {
    for (RolloutMember &Member : One.View)
      if (Member.Name == One.Name) {
        Member.ReadyWeights.assign(One.Ready.begin(), One.Ready.end());
        Member.LastReport = Now;
      }
    const RolloutDecision Turn = decideRollout(
        One.Rollout, Target.Weights, usable(), One.View, MaxUnavailable, Now);
    LoadingInput Input{
        Now, One.Confirmed, {{Target.Weights, Turn.HasTurn}}, One.Running};
    // A foreign digest does not serve the product, so it is no capacity.
    const std::vector<Digest> Serving = usable();
    const bool WasReady =
        std::any_of(Serving.begin(), Serving.end(), [&](const Digest &Weights) {
          return One.Ready.contains(Weights);
        });
    const bool Paused =
        Now - One.Confirmed >= One.State.Settings.MaxPauseCheckAge;
    const bool Knew = One.State.EngineModels.has_value();
    for (LoadingAction &Action : planLoading(One.State, Input)) {
      if (auto *Announced = std::get_if<AnnounceReady>(&Action)) {
        announce(One, *Announced);
        // Only a swap by choice is limited; a loss of the engine is not.
        if (WasReady && One.Ready.empty() && Knew && !Paused &&
            One.State.EngineModels && !One.State.EngineModels->empty())
          RC_ASSERT(Turn.OthersNotReady < MaxUnavailable);
        continue;
      }
      if (auto *Sent = std::get_if<Order>(&Action))
        checkOrder(One, *Sent);
      One.Pending.push_back(Action);
    }
    if (!One.Stalls)
      answer(One);
  }

  void announce(Agent &One, const AnnounceReady &Announced) {
    One.Ready = {Announced.ReadyWeights.begin(), Announced.ReadyWeights.end()};
    for (const Digest &Weights : One.Ready) {
      RC_ASSERT(One.LastRead.has_value());
      RC_ASSERT(std::any_of(One.LastRead->begin(), One.LastRead->end(),
                            [&](const LoadedModel &Loaded) {
                              return Loaded.Weights == Weights;
                            }));
    }
  }

  void checkOrder(Agent &One, const Order &Sent) {
    if (Sent.Action == OrderAction::Load) {
      RC_ASSERT(One.State.VerifiedChunks.contains(Sent.Target.Weights));
      RC_ASSERT(!Sent.Chunks.empty());
    }
    // A load waits for requests on the versions it replaces, an unload for
    // those on its own.
    for (const auto &[Weights, Count] : One.Running) {
      const bool Untouched =
          Sent.Action == OrderAction::Load
              ? Weights == Sent.Target.Weights || !isLoaded(One, Weights)
              : Weights != Sent.Target.Weights;
      RC_ASSERT(Count == 0 || Untouched);
    }
    if (!One.Old.empty())
      RC_ASSERT(One.Old.back().FencingToken < Sent.FencingToken);
    One.Old.push_back(Sent);
  }

  static bool isLoaded(const Agent &One, const Digest &Weights) {
    return One.LastRead &&
           std::any_of(One.LastRead->begin(), One.LastRead->end(),
                       [&](const LoadedModel &Loaded) {
                         return Loaded.Weights == Weights;
                       });
  }

  void answer(Agent &One) {
    for (LoadingAction &Action : std::exchange(One.Pending, {})) {
      if (auto *Sent = std::get_if<Order>(&Action)) {
        if (!isOrderValid(*Sent, Now))
          handleExpiredOrder(One.State, Sent->FencingToken);
        else
          handleOrderResponse(One.State, Sent->FencingToken,
                              One.Engine.carryOut(*Sent), Now);
      } else {
        One.LastRead = One.Engine.Loaded;
        handleEngineReport(One.State, One.Engine.Loaded, Now, Now);
      }
    }
  }

  void startRequest(Agent &One) {
    for (const Digest &Weights : One.Ready)
      if (acceptsRequests(One.State, Weights) && isLoaded(One, Weights))
        ++One.Running[Weights];
  }

  void apply(Event What, std::size_t Which, unsigned Value) {
    Agent &One = Agents[Which % PoolSize];
    Now += std::chrono::milliseconds(200);
    switch (What) {
    case Event::ChangeVersion:
      changeVersion(Value % 4);
      break;
    case Event::ChunksArrive:
      addVerifiedWeights(One.State, Target.Weights, {"chunk"});
      break;
    case Event::ChunksDropped:
      removeVerifiedWeights(One.State, Target.Weights);
      break;
    case Event::RequestStarts:
      startRequest(One);
      break;
    case Event::RequestEnds:
      One.Running.clear();
      break;
    case Event::EngineRestarts:
      One.Engine.Loaded.clear();
      One.Running.clear();
      handleEngineLoss(One.State, Now);
      break;
    case Event::EngineStalls:
      One.Stalls = true;
      break;
    case Event::EngineAnswers:
      One.Stalls = false;
      answer(One);
      break;
    case Event::LateOrder:
      if (!One.Old.empty())
        One.Engine.carryOut(One.Old[Value % One.Old.size()]);
      break;
    case Event::ForeignOrder:
      One.Engine.Loaded = {{"model", "9", "digest-9"}};
      break;
    case Event::FailLoads:
      One.Engine.FailsLoad = Value % 2 == 0;
      break;
    case Event::AgentPauses:
      Now += std::chrono::seconds(3);
      break;
    case Event::ReportsArrive:
      shareReports(One);
      break;
    case Event::Tick:
    case Event::Count:
      break;
    }
    // All processes but a pausing one confirm that they run.
    for (Agent &Other : Agents)
      if (What != Event::AgentPauses || &Other != &One)
        Other.Confirmed = Now;
    plan(One);
    One.Confirmed = Now;
  }

  void settle() {
    for (Agent &One : Agents) {
      One.Stalls = One.Engine.FailsLoad = false;
      One.Running.clear();
      addVerifiedWeights(One.State, Target.Weights, {"chunk"});
    }
    for (int Round = 0; Round < 4000; ++Round)
      for (Agent &One : Agents) {
        if (Round % 2 == 0)
          shareReports(One);
        apply(Event::Tick, static_cast<std::size_t>(&One - Agents.data()), 0);
      }
  }
};

} // namespace

TEST_CASE("no interleaving orders an incomplete set, announces before the "
          "read-back, mixes digests or exceeds max_unavailable") {
  CHECK(rc::check("loading and rollout", [] {
    Pool Fleet;
    const auto Events = *rc::gen::container<
        std::vector<std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>>>(
        rc::gen::arbitrary<
            std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>>());
    for (const auto &[What, Which, Value] : Events)
      Fleet.apply(
          static_cast<Event>(What % static_cast<std::uint8_t>(Event::Count)),
          Which, Value);
    Fleet.settle();
    for (const Agent &One : Fleet.Agents)
      RC_ASSERT(One.Ready == std::set<Digest>{Fleet.Target.Weights});
  }));
}

TEST_CASE("with the mechanism disabled random interleavings violate unmixed "
          "weights") {
  const ScopedFault Disabled(Invariant::UnmixedWeights);
  const auto Found = violationOf([] {
    Pool Fleet;
    for (std::size_t Step = 0; Step < 100; ++Step)
      Fleet.apply(Event::Tick, Step, 0);
  });
  REQUIRE(Found.has_value());
  CHECK(Found->Which == Invariant::UnmixedWeights);
}
