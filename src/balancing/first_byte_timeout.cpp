#include "cassiashed/balancing/first_byte_timeout.h"

#include <algorithm>

namespace cassiashed::balancing {
namespace {

/// A stream of one engine times out after its predicted time multiplied by the
/// factor, plus the slack.
constexpr double FirstTokenFactor = 3;
constexpr Duration FirstTokenSlack{1500};
/// Fraction of the remaining time to wait for the first byte of one endpoint.
constexpr double MaxWaitFraction = 0.5;
/// Silence of a running stream, in multiples of the route's token gap target.
constexpr double IdleTimeoutInTokenGaps = 3;
/// Engines whose work depends on a lost engine stall for 1.5 s before they
/// report it.
constexpr Duration StallTime{1500};
constexpr Duration MinStreamIdleTimeout{2500};
/// Other requests of the engine delay a prompt that it reads again.
constexpr double PrefillFactor = 1.25;

Duration scaled(Duration Value, double Factor) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, Duration::period>(
          static_cast<double>(Value.count()) * Factor));
}

} // namespace

std::optional<Duration> firstByteTimeout(const SentRequest &Sent) {
  if (!Sent.CanRetryElsewhere)
    return std::nullopt;
  const Duration MaxWait = scaled(Sent.Remaining, MaxWaitFraction);
  if (!Sent.IsStream)
    return MaxWait;
  const Duration Expected =
      FirstTokenSlack + scaled(Sent.PredictedFirstToken, FirstTokenFactor);
  return Sent.PrefillEngines > 1 ? std::max(Expected, MaxWait) : Expected;
}

Duration streamIdleTimeout(Duration TokenGapTarget, Duration Prefill) {
  return std::max({MinStreamIdleTimeout,
                   scaled(TokenGapTarget, IdleTimeoutInTokenGaps),
                   StallTime + scaled(Prefill, PrefillFactor)});
}

} // namespace cassiashed::balancing
