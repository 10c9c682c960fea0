#include "cassiashed/balancing/shutdown_admission.h"

#include <algorithm>

namespace cassiashed::balancing {
namespace {

/// A request takes about twice as long on an engine with a full batch and other
/// prefills as on an idle one.
constexpr double BusyFactor = 2;
/// Keeps counts of tokens that a caller made up within `Duration`.
constexpr double MaxExpectedMs = 1e9;
/// A sixth of the grace period is reserved for requests that take longer than
/// expected.
constexpr int ReservedDivisor = 6;
/// The load balancer removes a node that is not ready within 3 s. A node
/// notices the begin of its shutdown late if it is slow.
constexpr Duration PredictionPeriod{2750};

} // namespace

Duration expectedDuration(const engine::EngineSpec &Spec, double FirstTokenMs,
                          double OutputTokens) {
  const double Ms = (FirstTokenMs + OutputTokens * Spec.StepMs) * BusyFactor;
  return Duration(static_cast<Duration::rep>(std::min(Ms, MaxExpectedMs)));
}

bool canFinishBeforeShutdown(const RequestAtShutdown &Request,
                             Duration GracePeriod) {
  const Duration Longest = Request.SinceShutdown <= PredictionPeriod
                               ? std::min(Request.Expected, Request.Remaining)
                               : Request.Remaining;
  return Request.SinceShutdown + Longest <=
         GracePeriod - GracePeriod / ReservedDivisor;
}

} // namespace cassiashed::balancing
