#include "marigoldyard/coordination/retry_share.hpp"

#include <algorithm>
#include <utility>

namespace marigoldyard {

namespace {

/// Fraction of the retries per first attempt that is used. Earned retries may
/// be spent up to EarnedRetryDecayTime later, in another window.
constexpr double RatioFraction = 0.7;
/// Fraction of the reserve that is used. All processes may restart twice within
/// a window, and each time they get a reserve.
constexpr double ReserveFraction = 0.3;

double reserveOf(const RetryShare &Share) {
  return ReserveFraction * Share.Limit.Reserve /
         static_cast<double>(1 + Share.MostPeers);
}

} // namespace

void recordPeers(RetryShare &Share, std::size_t LivePeers) {
  Share.MostPeers = std::max(Share.MostPeers, LivePeers);
}

RetryBudget makeRetryBudget(const RetryShare &Share, TimePoint Now) {
  RetryBudget Budget;
  Budget.ChargeRefusals = true;
  Budget.Tokens = 0;
  updateRetryBudget(Share, Budget, Now);
  return Budget;
}

void updateRetryBudget(const RetryShare &Share, RetryBudget &Budget,
                       TimePoint Now) {
  Budget.RetryRatio = RatioFraction * Share.Limit.Ratio;
  Budget.Reserve = reserveOf(Share);
  if (Now - Share.StartedAt >= PeerSearchTime &&
      !std::exchange(Budget.ReserveGranted, true))
    Budget.Tokens += Budget.Reserve;
}

} // namespace marigoldyard
