#pragma once

#include "cassiashed/base/clock.h"
#include <cstddef>
#include <optional>

namespace cassiashed::balancing {

/// A request that was sent and whose answer has not started.
struct SentRequest {
  bool IsStream = false;
  Duration PredictedFirstToken{0}; ///< until the first token; streams only
  std::size_t PrefillEngines = 1;  ///< that prefill the prompt
  Duration Remaining{0};           ///< until the deadline
  bool CanRetryElsewhere = false;
};

/// How long a request waits for the first byte of its answer before another
/// endpoint is tried; empty: until the deadline. Matters when some endpoints
/// accept requests and are unresponsive while others are only late. A split
/// prefill gets more time: newer prompts delay it beyond its prediction, and a
/// retry loses the prefill done so far and has less time.
///
/// ```cpp
/// firstByteTimeout({true, Duration(1000), 8, Duration(15000), true}); // 7.5 s
/// ```
std::optional<Duration> firstByteTimeout(const SentRequest &Sent);

/// How long a stream that has started may be silent before it is resumed at
/// another endpoint. An engine that ran out of memory reads the whole prompt
/// again before the stream goes on, so long prompts get more time. `Prefill`:
/// time to read the prompt alone.
Duration streamIdleTimeout(Duration TokenGapTarget, Duration Prefill);

} // namespace cassiashed::balancing
