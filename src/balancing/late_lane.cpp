#include "cassiashed/balancing/late_lane.h"

namespace cassiashed::balancing {

LateStep decideLateStep(const Dispatch &Chosen, const PlacementRequest &Work,
                        double WaitedMs, double TotalMs,
                        const LateLaneOptions &Options) {
  const bool IsLate =
      Work.FirstTokenMs <= 0 || Chosen.FirstTokenMs > Work.FirstTokenMs;
  if (!IsLate || WaitedMs >= TotalMs * Options.MaxWaitPart)
    return LateStep::Send;
  const bool EnginesAreCalm =
      Chosen.LossToOthers <= Work.Value * Options.AllowedLoss;
  return EnginesAreCalm ? LateStep::Send : LateStep::Wait;
}

} // namespace cassiashed::balancing
