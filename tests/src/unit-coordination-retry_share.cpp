// Retry storm after restarts: gateways that retry everything keep the sum of
// their retries under the limit of the fleet in every window.
#include "marigoldyard/coordination/retry_share.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <string>
#include <vector>

using namespace marigoldyard;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds Step{20};
constexpr milliseconds RunTime{60'000};
constexpr milliseconds Window{10'000};
/// A gateway learns of the others this long after its start.
constexpr milliseconds DiscoveryTime{800};
constexpr FleetRetryLimit Limit{0.2, 100};

constexpr std::size_t stepsOf(milliseconds Time) {
  return static_cast<std::size_t>(Time / Step);
}

struct GatewayModel {
  explicit GatewayModel(milliseconds Start = {})
      : Share{Limit, TimePoint(Start), 0},
        Budget(makeRetryBudget(Share, TimePoint(Start))), StartedAt(Start) {}

  RetryShare Share;
  RetryBudget Budget;
  milliseconds StartedAt;
};

/// One run in virtual time. The first attempt of each request is refused by a
/// full server, so that every gateway retries as often as it may.
struct RetryModel {
  std::vector<GatewayModel> Gateways;
  double RequestsPerSecond = 0;
  bool Parted = false; ///< the two halves do not see each other
  std::vector<double> Requests;
  std::vector<double> Retries;

  void restart(std::size_t Index, milliseconds Now) {
    Gateways[Index] = GatewayModel(Now);
  }

  void discoverPeers(milliseconds Now) {
    const auto Found = [&](const GatewayModel &Each) {
      return Now - Each.StartedAt >= DiscoveryTime;
    };
    const std::size_t Half = Gateways.size() / 2;
    std::size_t Live[2] = {0, 0};
    for (std::size_t I = 0; I < Gateways.size(); ++I)
      Live[I < Half ? 0 : 1] += Found(Gateways[I]) ? 1 : 0;
    for (std::size_t I = 0; I < Gateways.size(); ++I) {
      if (!Found(Gateways[I]))
        continue;
      const std::size_t Seen =
          Parted ? Live[I < Half ? 0 : 1] : Live[0] + Live[1];
      recordPeers(Gateways[I].Share, Seen - 1);
      updateRetryBudget(Gateways[I].Share, Gateways[I].Budget, TimePoint(Now));
    }
  }

  bool retryRefused(GatewayModel &Gateway, TimePoint Now) {
    RetryInputs Inputs;
    Inputs.LastAttempt = AttemptStatus::Refused;
    Inputs.Reason = ErrorCode::QueueFull;
    Inputs.Attempts = 1;
    Inputs.TimeLeft = std::chrono::seconds(5);
    return decideRetry(Gateway.Budget, Inputs, Now) == RetryDecision::Retry;
  }

  void run(const std::function<void(RetryModel &, milliseconds)> &Trouble) {
    double Due = 0;
    std::size_t Next = 0;
    for (milliseconds Now{0}; Now < RunTime; Now += Step) {
      Trouble(*this, Now);
      discoverPeers(Now);
      Requests.push_back(0);
      Retries.push_back(0);
      for (Due +=
           RequestsPerSecond * std::chrono::duration<double>(Step).count();
           Due >= 1; --Due) {
        GatewayModel &Gateway = Gateways[Next++ % Gateways.size()];
        const TimePoint At{Now};
        recordFirstAttempt(Gateway.Budget, At);
        Requests.back() += 1;
        Retries.back() += retryRefused(Gateway, At) ? 1 : 0;
      }
    }
  }

  static double sum(const std::vector<double> &Values, std::ptrdiff_t Begin,
                    std::ptrdiff_t End) {
    const auto At = [&](std::ptrdiff_t Index) {
      return Values.begin() +
             std::clamp<std::ptrdiff_t>(Index, 0, std::ssize(Values));
    };
    double Sum = 0;
    for (auto Each = At(Begin); Each != At(End); ++Each)
      Sum += *Each;
    return Sum;
  }

  /// Largest number of retries in a window beyond what the limit allows. The
  /// requests are those of the window, of the one before it or of the one half
  /// a window before it, whichever are most.
  double worstExcess() const {
    const std::ptrdiff_t Size = stepsOf(Window);
    double Worst = -Limit.Reserve;
    for (std::ptrdiff_t Begin = 0; Begin + Size <= std::ssize(Retries);
         ++Begin) {
      const double Most =
          std::max({sum(Requests, Begin, Begin + Size),
                    sum(Requests, Begin - Size, Begin),
                    sum(Requests, Begin - Size / 2, Begin + Size / 2)});
      Worst = std::max(Worst, sum(Retries, Begin, Begin + Size) -
                                  Limit.Ratio * Most - Limit.Reserve);
    }
    return Worst;
  }
};

bool isAt(milliseconds Now, milliseconds Time) { return Now == Time; }

void restartAll(RetryModel &Model, milliseconds Now) {
  for (std::size_t I = 0; I < Model.Gateways.size(); ++I)
    Model.restart(I, Now);
}

/// Restarts one gateway after the other, beginning at a time.
void restartInTurn(RetryModel &Model, milliseconds Now, milliseconds Begin,
                   milliseconds Pause) {
  if (Now < Begin || (Now - Begin) % Pause != milliseconds{0})
    return;
  const auto Index = static_cast<std::size_t>((Now - Begin) / Pause);
  if (Index < Model.Gateways.size())
    Model.restart(Index, Now);
}

void checkAllSizes(
    const std::function<void(RetryModel &, milliseconds)> &Trouble) {
  for (const std::size_t Size : {4U, 18U, 60U})
    for (const double Rate : {40.0, 150.0, 1300.0}) {
      RetryModel Model;
      Model.Gateways.resize(Size);
      Model.RequestsPerSecond = Rate;
      Model.run(Trouble);
      CAPTURE(Size);
      CAPTURE(Rate);
      CHECK(Model.worstExcess() <= 0);
      // A limit that is kept by hardly retrying at all would be of no use. A
      // gateway needs some requests to earn a retry.
      if (Rate < static_cast<double>(Size))
        continue;
      const double Share = Model.sum(Model.Retries, 0, 3000) /
                           Model.sum(Model.Requests, 0, 3000);
      CHECK(Share > Limit.Ratio / 2);
    }
}

} // namespace

TEST_CASE("gateways that start together keep the retry limit of the fleet") {
  checkAllSizes([](RetryModel &, milliseconds) {});
}

TEST_CASE("gateways that are killed together twice keep the retry limit") {
  checkAllSizes([](RetryModel &Model, milliseconds Now) {
    if (isAt(Now, milliseconds(30'000)) || isAt(Now, milliseconds(33'000)))
      restartAll(Model, Now);
  });
}

TEST_CASE("gateways that restart one after the other keep the retry limit") {
  for (const milliseconds Pause :
       {milliseconds(100), milliseconds(500), milliseconds(1000)})
    checkAllSizes([Pause](RetryModel &Model, milliseconds Now) {
      restartInTurn(Model, Now, milliseconds(15'000), Pause);
    });
}

TEST_CASE("gateways killed together during restarts keep the retry limit") {
  checkAllSizes([](RetryModel &Model, milliseconds Now) {
    restartInTurn(Model, Now, milliseconds(19'000), milliseconds(1000));
    if (isAt(Now, milliseconds(34'000)))
      restartAll(Model, Now);
  });
}

TEST_CASE("two halves that do not see each other keep the retry limit") {
  checkAllSizes([](RetryModel &Model, milliseconds Now) {
    Model.Parted = Now >= milliseconds(10'000) && Now < milliseconds(40'000);
  });
  checkAllSizes([](RetryModel &Model, milliseconds Now) {
    Model.Parted = Now < milliseconds(40'000);
  });
}

TEST_CASE(
    "the part of the reserve stays when other gateways are out of sight") {
  RetryShare Share{Limit, {}, 0};
  const TimePoint Now = TimePoint{} + PeerSearchTime;
  recordPeers(Share, 9);
  const double Reserve = makeRetryBudget(Share, Now).Reserve;
  recordPeers(Share, 0);
  CHECK(makeRetryBudget(Share, Now).Reserve == doctest::Approx(Reserve));
  recordPeers(Share, 19);
  CHECK(makeRetryBudget(Share, Now).Reserve == doctest::Approx(Reserve / 2));
}

TEST_CASE("a gateway with few requests may retry once it had time to find the "
          "others") {
  RetryShare Share{Limit, {}, 0};
  TimePoint Now{};
  RetryBudget Budget = makeRetryBudget(Share, Now);
  CHECK(Budget.Tokens < 1);
  recordPeers(Share, 3);
  Now += PeerSearchTime;
  updateRetryBudget(Share, Budget, Now);
  CHECK(Budget.Tokens >= 1);
  const double Granted = Budget.Tokens;
  updateRetryBudget(Share, Budget, Now);
  CHECK(Budget.Tokens == Granted);
  CHECK(makeRetryBudget(Share, Now).Tokens == Granted);
}
