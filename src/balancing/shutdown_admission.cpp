#include "cassiashed/balancing/shutdown_admission.h"

#include <algorithm>

namespace cassiashed::balancing {
namespace {

/// A full batch and other prompts make a request take about twice as long as
/// alone.
constexpr double BusyFactor = 2;
/// Part of the grace period that stays free for requests that take longer
/// than expected.
constexpr int ReservedPart = 6;

} // namespace

Duration expectedDuration(const engine::EngineSpec &Spec, double PromptTokens,
                          double OutputTokens) {
  const double Ms =
      engine::prefillMs(Spec, 0, PromptTokens) + OutputTokens * Spec.StepMs;
  return Duration(static_cast<Duration::rep>(Ms * BusyFactor));
}

bool canFinishBeforeShutdown(Duration Expected, Duration SinceStop,
                             Duration Grace) {
  return SinceStop + Expected <= Grace - Grace / ReservedPart;
}

} // namespace cassiashed::balancing
