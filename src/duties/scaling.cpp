#include "cassiashed/duties/scaling.h"

#include <algorithm>
#include <cmath>

namespace cassiashed::duties {
namespace {

constexpr Duration BinLength{500};
/// The rate of work is averaged over this long: shorter times show single long
/// prompts, longer ones hide the begin of a burst.
constexpr Duration RateWindow{3000};
/// Share of an engine's time that arriving work may take. Above, requests queue
/// behind long prompts and miss the objective of their first token. On 60
/// engines a burst of long prompts that took about 0.8 of their time left 95 %
/// of the requests within their objectives.
constexpr double TargetUse = 0.8;
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

void ReplicaPlanner::recordWork(double EngineMs, TimePoint Now) {
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

std::optional<double> ReplicaPlanner::wanted(const ScalingLimits &Limits,
                                             TimePoint Now) {
  const Duration Hold = holdTime(Limits);
  while (!Bins_.empty() && Now - Bins_.front().Start > Hold + RateWindow)
    Bins_.pop_front();
  if (!FirstWorkAt_ || Now - *FirstWorkAt_ < RateWindow)
    return std::nullopt;
  // The largest rate of any interval of RateWindow that ends within the hold
  // time.
  double Peak = 0;
  double Sum = 0;
  std::size_t First = 0;
  for (std::size_t Last = 0; Last < Bins_.size(); ++Last) {
    Sum += Bins_[Last].EngineMs;
    while (Bins_[Last].Start + BinLength - Bins_[First].Start > RateWindow) {
      Sum -= Bins_[First].EngineMs;
      ++First;
    }
    Peak = std::max(Peak, Sum);
  }
  return Peak / static_cast<double>(RateWindow.count()) / TargetUse;
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
  const bool SeenWholeHold = Now - *FirstWorkAt_ >= holdTime(Limits);
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
