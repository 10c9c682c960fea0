#pragma once

#include "cassiashed/base/clock.h"

namespace cassiashed::balancing {

struct PlacementRetryPacerOptions {
  /// Retries per second of all waiting requests together. A retry of a long
  /// prompt computes a forecast for every engine.
  double RetriesPerSecond = 120;
  Duration MinDelay{50};  ///< between two retries of one request
  Duration MaxDelay{500}; ///< limits how long a freed engine stays idle
};

/// Spaces the placement retries of waiting requests, so that a queue of late
/// requests does not use up the CPU time of the node that places them. Matters
/// when several times more long prompts arrive than the engines can prefill.
class PlacementRetryPacer {
public:
  explicit PlacementRetryPacer(PlacementRetryPacerOptions Options = {})
      : Options_(Options) {}

  /// Delay until a request that waits now should retry its placement.
  Duration nextDelay(TimePoint Now);

private:
  PlacementRetryPacerOptions Options_;
  TimePoint NextRetryAt_;
};

} // namespace cassiashed::balancing
