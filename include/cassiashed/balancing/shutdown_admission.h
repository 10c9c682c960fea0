#pragma once

#include "cassiashed/base/clock.h"
#include "cassiashed/engine/engine_spec.h"

namespace cassiashed::balancing {

/// Time that a request takes on a busy engine whose first token is predicted in
/// `FirstTokenMs`.
Duration expectedDuration(const engine::EngineSpec &Spec, double FirstTokenMs,
                          double OutputTokens);

/// A request at a node that is shutting down.
struct RequestAtShutdown {
  Duration Expected{0};      ///< until its answer is complete; a prediction
  Duration Remaining{0};     ///< until its deadline, when it ends at the latest
  Duration SinceShutdown{0}; ///< since the shutdown began
};

/// Whether a node that is shutting down still accepts a request. Matters when
/// callers still reach a node that the load balancer is about to remove, or has
/// removed: a request that cannot end before the process is killed is refused,
/// so that the caller retries at another node instead of losing its answer.
///
/// Predictions count only early in the shutdown, while the load balancer still
/// selects the node, since engines may turn out to be busier than predicted.
/// Later, only requests are accepted whose deadline passes before the kill.
///
/// `GracePeriod`: time from the begin of the shutdown to the kill.
bool canFinishBeforeShutdown(const RequestAtShutdown &Request,
                             Duration GracePeriod);

} // namespace cassiashed::balancing
