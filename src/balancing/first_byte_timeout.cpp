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

} // namespace

std::optional<Duration> firstByteTimeout(const SentRequest &Sent) {
  const auto MaxWait = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, Duration::period>(
          static_cast<double>(Sent.Remaining.count()) * MaxWaitFraction));
  if (!Sent.IsStream)
    return Sent.CanRetryElsewhere ? std::optional(MaxWait) : std::nullopt;
  const Duration Expected =
      FirstTokenSlack +
      std::chrono::duration_cast<Duration>(
          std::chrono::duration<double, Duration::period>(
              static_cast<double>(Sent.PredictedFirstToken.count()) *
              FirstTokenFactor));
  return Sent.PrefillEngines > 1 ? std::max(Expected, MaxWait) : Expected;
}

} // namespace cassiashed::balancing
