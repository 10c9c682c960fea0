#include "cassiashed/balancing/placement_retry_pacer.h"

#include <algorithm>

namespace cassiashed::balancing {

Duration PlacementRetryPacer::next(TimePoint Now) {
  const auto Spacing = std::chrono::duration_cast<TimePoint::duration>(
      std::chrono::duration<double>(1 / Options_.PerSecond));
  NextFree_ = std::clamp<TimePoint>(
      NextFree_ + Spacing, Now + Options_.Shortest, Now + Options_.Longest);
  return std::chrono::duration_cast<Duration>(NextFree_ - Now);
}

} // namespace cassiashed::balancing
