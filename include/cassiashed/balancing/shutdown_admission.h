#pragma once

#include "cassiashed/base/clock.h"
#include "cassiashed/engine/engine_spec.h"

namespace cassiashed::balancing {

/// Time that a request of this length takes on a busy engine.
Duration expectedDuration(const engine::EngineSpec &Spec, double PromptTokens,
                          double OutputTokens);

/// Whether a node that is shutting down still accepts a request. Matters when
/// callers stay connected to a node that the load balancer no longer selects: a
/// request that cannot end before the process is killed is refused, so that the
/// caller retries at another node instead of losing its answer.
///
/// `Expected` is how long the request takes, `SinceShutdown` the time since the
/// shutdown began, `GracePeriod` the time from then to the kill.
bool canFinishBeforeShutdown(Duration Expected, Duration SinceShutdown,
                             Duration GracePeriod);

} // namespace cassiashed::balancing
