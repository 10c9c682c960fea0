#include "cassiashed/balancing/first_byte_timeout.h"

#include <algorithm>

namespace cassiashed::balancing {
namespace {

/// A stream of one engine is given up after its predicted time by this factor
/// and slack.
constexpr double FirstTokenFactor = 3;
constexpr Duration FirstTokenSlack{1500};
/// Part of the time left that one endpoint may use up silently.
constexpr double SilencePart = 0.5;

} // namespace

std::optional<Duration> firstByteTimeout(const SentRequest &Sent) {
  const auto Share = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, Duration::period>(
          static_cast<double>(Sent.Left.count()) * SilencePart));
  if (!Sent.IsStream)
    return Sent.CanRetryElsewhere ? std::optional(Share) : std::nullopt;
  const Duration Expected =
      FirstTokenSlack +
      std::chrono::duration_cast<Duration>(
          std::chrono::duration<double, Duration::period>(
              static_cast<double>(Sent.Predicted.count()) * FirstTokenFactor));
  return Sent.Engines > 1 ? std::max(Expected, Share) : Expected;
}

} // namespace cassiashed::balancing
