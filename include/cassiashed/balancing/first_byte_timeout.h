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

} // namespace cassiashed::balancing
