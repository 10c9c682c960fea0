#pragma once

#include "cassiashed/balancing/dispatcher.h"

namespace cassiashed::balancing {

/// What a request that cannot be on time does next.
enum class LateStep {
  Send, ///< on time, or the engines have room for it
  Wait, ///< look again after a moment
};

struct LateLaneOptions {
  /// Part of its value that a late request may cost others.
  double AllowedLoss = 0.05;
  /// Part of the time until its deadline that a request waits at most.
  double MaxWaitPart = 0.35;
};

/// Lets requests that will be late anyway wait at the node while engines are
/// busy, so that those which arrive now are served on time. Load: more work
/// than the engines can do for some seconds; without it, a queue that is a
/// little longer than the target makes every request late until it has drained.
///
/// `WaitedMs` is how long the request has waited, `TotalMs` the time that it
/// had when it arrived.
LateStep decideLateStep(const Dispatch &Chosen, const PlacementRequest &Work,
                        double WaitedMs, double TotalMs,
                        const LateLaneOptions &Options = {});

} // namespace cassiashed::balancing
