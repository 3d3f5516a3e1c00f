#pragma once

#include "marigoldyard/coordination/loading.hpp"
#include "throw_on_violation.hpp"

#include <algorithm>
#include <optional>
#include <vector>

namespace marigoldyard::test {

/// Engine that carries out orders at once. It may ignore fences or fail loads.
struct FakeEngine {
  std::vector<LoadedModel> Loaded;
  Fence Newest;
  bool IgnoresFence = false;
  bool FailsLoad = false;

  bool carryOut(const Order &Content) {
    if (!IgnoresFence && Content.FencingToken <= Newest)
      return false;
    Newest = std::max(Newest, Content.FencingToken);
    if (Content.Action == OrderAction::Load && FailsLoad)
      return false;
    std::erase(Loaded, Content.Target);
    if (Content.Action == OrderAction::Load)
      Loaded.push_back(Content.Target);
    return true;
  }
};

inline const LoadedModel VersionOne{"model", "1", "digest-1"};
inline const LoadedModel VersionTwo{"model", "2", "digest-2"};

inline DesiredModel wantedFrom(const LoadedModel &Loaded) {
  return {"product", Loaded.Model, Loaded.Version, Loaded.Weights};
}

/// One agent's endpoint that answers each action before the next plan.
struct LoadingFixture {
  LoadingState State = makeLoading("engine-1", 7);
  FakeEngine Engine;
  LoadingInput Input{TimePoint{} + std::chrono::hours(1)};
  std::vector<Order> Orders;
  std::vector<std::vector<Digest>> Announcements;
  bool HoldsAnswers = false; ///< orders wait at the engine

  void step() {
    Input.Now += std::chrono::seconds(1);
    Input.LastPauseCheck = Input.Now;
    for (LoadingAction &Action : planLoading(State, Input)) {
      if (auto *Sent = std::get_if<Order>(&Action)) {
        Orders.push_back(*Sent);
        if (!HoldsAnswers)
          handleOrderResponse(State, Sent->FencingToken, Engine.carryOut(*Sent),
                              Input.Now);
      } else if (std::holds_alternative<ReadBack>(Action)) {
        handleEngineReport(State, Engine.Loaded, Input.Now, Input.Now);
      } else if (auto *Ready = std::get_if<AnnounceReady>(&Action)) {
        Announcements.push_back(Ready->ReadyWeights);
      }
    }
  }

  void steps(int Count) {
    for (int Step = 0; Step < Count; ++Step)
      step();
  }

  void want(Revision Number, const LoadedModel &Model, bool Complete = true) {
    setDesiredModels(State, Number, {wantedFrom(Model)});
    Input.HasTurnByWeights[Model.Weights] = true;
    if (Complete)
      addVerifiedWeights(State, Model.Weights, {"chunk-" + Model.Version});
  }
};

/// Runs Act with a handler that throws; returns whether an invariant failed.
template <typename Action>
std::optional<InvariantViolation> violationOf(Action Act) {
  const test::ThrowOnViolation Handler;
  try {
    Act();
  } catch (const test::Violated &Found) {
    return Found.Violation;
  }
  return std::nullopt;
}

} // namespace marigoldyard::test
