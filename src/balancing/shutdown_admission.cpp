#include "cassiashed/balancing/shutdown_admission.h"

#include <algorithm>

namespace cassiashed::balancing {
namespace {

/// A request takes about twice as long on an engine with a full batch and other
/// prefills as on an idle one.
constexpr double BusyFactor = 2;
/// A sixth of the grace period is reserved for requests that take longer than
/// expected.
constexpr int ReservedDivisor = 6;

} // namespace

Duration expectedDuration(const engine::EngineSpec &Spec, double PromptTokens,
                          double OutputTokens) {
  const double Ms =
      engine::prefillMs(Spec, 0, PromptTokens) + OutputTokens * Spec.StepMs;
  return Duration(static_cast<Duration::rep>(Ms * BusyFactor));
}

bool canFinishBeforeShutdown(Duration Expected, Duration SinceShutdown,
                             Duration GracePeriod) {
  return SinceShutdown + Expected <=
         GracePeriod - GracePeriod / ReservedDivisor;
}

} // namespace cassiashed::balancing
