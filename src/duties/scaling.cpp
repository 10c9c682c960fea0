#include "cassiashed/duties/scaling.h"

#include <algorithm>
#include <cmath>

namespace cassiashed::duties {
namespace {

constexpr Duration BinLength{500};
/// Shortest time over which the rate of work is averaged; shorter ones show
/// single long prompts.
constexpr Duration MinRateWindow{3000};
/// Share of an engine's time that lasting work may take. Above, requests queue
/// behind long prompts; the headroom keeps first tokens in their objective.
constexpr double TargetUse = 0.8;
/// Share above which engines fall behind within seconds: replicas are ordered
/// before the rate has lasted for the boot of one.
constexpr double SaturatedUse = 1;
/// Fewer replicas are ordered only if the peak of the hold time allows it.
constexpr Duration MinHold{8000};
constexpr double HoldPerBoot = 1.25;
/// Time before an order that was not confirmed is sent again.
constexpr Duration RetryPause{1000};
/// A confirmed order is repeated if the table does not follow in this time
/// after the boot of a replica.
constexpr Duration FollowSlack{6000};
/// Above any limit, and small enough for an int.
constexpr double MaxNeeded = 1e6;

/// Smaller reductions are not ordered, so that small waves of the load do not
/// stop and boot replicas in turn.
int leastStep(int Current) { return std::max(1, Current / 10); }

} // namespace

double engineTimeMs(const engine::EngineSpec &Spec, double PromptTokens,
                    double OutputTokens) {
  const double Batch = std::max(1.0, static_cast<double>(Spec.Slots));
  const double StepMs =
      Spec.StepMs / Batch + Spec.StepPerRequestMs +
      Spec.StepPerThousandContextMs * (PromptTokens + OutputTokens / 2) / 1000;
  return engine::prefillMs(Spec, 0, PromptTokens) + OutputTokens * StepMs;
}

void ReplicaPlanner::recordWork(double EngineMs, const ScalingLimits &Limits,
                                TimePoint Now) {
  // Here as well as before orders: most nodes never order.
  discardOld(Limits, Now);
  if (!FirstWorkAt_)
    FirstWorkAt_ = Now;
  if (Bins_.empty() || Now - Bins_.back().Start >= BinLength)
    Bins_.push_back({Now, 0});
  Bins_.back().EngineMs += EngineMs;
}

Duration ReplicaPlanner::holdTime(const ScalingLimits &Limits) {
  return std::max(
      MinHold, std::chrono::duration_cast<Duration>(Limits.Boot * HoldPerBoot));
}

Duration ReplicaPlanner::rateWindow(const ScalingLimits &Limits) {
  // A peak shorter than a boot is over before a replica that it calls for
  // serves.
  return std::max(MinRateWindow, Limits.Boot);
}

void ReplicaPlanner::discardOld(const ScalingLimits &Limits, TimePoint Now) {
  while (!Bins_.empty() &&
         Now - Bins_.front().Start > holdTime(Limits) + rateWindow(Limits))
    Bins_.pop_front();
}

double ReplicaPlanner::peakUse(Duration Window) const {
  double Peak = 0;
  double Sum = 0;
  std::size_t First = 0;
  for (const Bin &Last : Bins_) {
    Sum += Last.EngineMs;
    while (Last.Start + BinLength - Bins_[First].Start > Window) {
      Sum -= Bins_[First].EngineMs;
      ++First;
    }
    Peak = std::max(Peak, Sum);
  }
  return Peak / static_cast<double>(Window.count());
}

std::optional<double> ReplicaPlanner::wanted(const ScalingLimits &Limits,
                                             TimePoint Now) {
  const Duration Window = rateWindow(Limits);
  discardOld(Limits, Now);
  if (!FirstWorkAt_ || Now - *FirstWorkAt_ < MinRateWindow)
    return std::nullopt;
  return std::max(peakUse(Window) / TargetUse,
                  peakUse(MinRateWindow) / SaturatedUse);
}

std::vector<ReplicaOrder>
ReplicaPlanner::dueOrders(const std::vector<ZoneReplicas> &Zones,
                          const ScalingLimits &Limits, TimePoint Now) {
  std::vector<ReplicaOrder> Result;
  const auto InService =
      std::count_if(Zones.begin(), Zones.end(),
                    [](const ZoneReplicas &State) { return State.InService; });
  const std::optional<double> Wanted = wanted(Limits, Now);
  if (!Wanted || InService == 0)
    return Result;
  const int Needed = static_cast<int>(
      std::min(std::ceil(*Wanted / static_cast<double>(InService)), MaxNeeded));
  const int PerZone = std::clamp(Needed, Limits.Minimum, Limits.Maximum);
  const bool SeenWholeHold =
      Now - std::max(*FirstWorkAt_, GapAt_) >= holdTime(Limits);
  for (const ZoneReplicas &State : Zones) {
    // The replicas of a zone out of service are needed when it comes back.
    if (!State.InService)
      continue;
    ZoneOrderState &Order = Orders_[State.Zone];
    const int Current = Order.Ordered.value_or(State.Registered);
    if (PerZone < Current && !SeenWholeHold)
      continue;
    if (Order.HasSent && Now - Order.SentAt < RetryPause)
      continue;
    const bool Follows = State.Registered == Current ||
                         Now - Order.SentAt < Limits.Boot + FollowSlack;
    // The platform keeps its limits only in orders. A zone that has fewer
    // replicas than the minimum is left as it is while the load does not ask
    // for more.
    const bool IsHigher = Needed > Current && PerZone > Current;
    const bool IsLower =
        PerZone < Current && Current - PerZone >= leastStep(Current);
    if (Order.IsUnclear || IsHigher || IsLower || (Order.Ordered && !Follows))
      Result.push_back({State.Zone, IsHigher || IsLower
                                        ? PerZone
                                        : std::clamp(Current, Limits.Minimum,
                                                     Limits.Maximum)});
  }
  return Result;
}

void ReplicaPlanner::recordOrder(const ReplicaOrder &Order, bool Accepted,
                                 TimePoint Now) {
  ZoneOrderState &State = Orders_[Order.Zone];
  State.HasSent = true;
  State.SentAt = Now;
  // After an unclear answer the order may hold or not: it is sent again.
  State.IsUnclear = !Accepted;
  if (Accepted)
    State.Ordered = Order.Count;
}

void ReplicaPlanner::beginTerm() { Orders_.clear(); }

} // namespace cassiashed::duties
