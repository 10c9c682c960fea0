#pragma once

#include "cassiashed/base/clock.h"

namespace cassiashed::balancing {

struct PlacementRetryPacerOptions {
  /// Looks per second for all waiting requests together: a look at a long
  /// prompt forecasts every engine.
  double PerSecond = 120;
  Duration Shortest{50}; ///< between two looks of one request
  Duration Longest{500}; ///< so that a freed engine does not stay idle
};

/// Spaces the looks that waiting requests take at the engines, so that a queue
/// of late requests does not use up the time of the node that places them.
/// Load: seconds with several times the long prompts that engines can read.
class PlacementRetryPacer {
public:
  explicit PlacementRetryPacer(PlacementRetryPacerOptions Options = {})
      : Options_(Options) {}

  /// When a request that waits now should look again, from now.
  Duration next(TimePoint Now);

private:
  PlacementRetryPacerOptions Options_;
  TimePoint NextFree_;
};

} // namespace cassiashed::balancing
