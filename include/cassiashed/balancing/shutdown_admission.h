#pragma once

#include "cassiashed/base/clock.h"
#include "cassiashed/engine/engine_spec.h"

namespace cassiashed::balancing {

/// Time that a request of this size takes on a busy engine.
Duration expectedDuration(const engine::EngineSpec &Spec, double PromptTokens,
                          double OutputTokens);

/// Whether a stopping node still takes a request. Load: callers whose
/// connections stay with a node after it has left the balancer's rotation.
/// What cannot end before the process is killed is refused, so that the caller
/// goes to another node instead of losing its answer.
///
/// `Expected` is how long the request takes, `SinceStop` the time since the
/// stop began, `Grace` the time from then to the kill.
bool canFinishBeforeShutdown(Duration Expected, Duration SinceStop,
                             Duration Grace);

} // namespace cassiashed::balancing
