#include "cassiashed/balancing/placement_retry_pacer.h"

#include <algorithm>

namespace cassiashed::balancing {

Duration PlacementRetryPacer::nextDelay(TimePoint Now) {
  const auto Spacing = std::chrono::duration_cast<TimePoint::duration>(
      std::chrono::duration<double>(1 / Options_.RetriesPerSecond));
  NextRetryAt_ = std::clamp<TimePoint>(
      NextRetryAt_ + Spacing, Now + Options_.MinDelay, Now + Options_.MaxDelay);
  return std::chrono::duration_cast<Duration>(NextRetryAt_ - Now);
}

} // namespace cassiashed::balancing
