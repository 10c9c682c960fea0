#pragma once

#include "cassiashed/base/clock.h"
#include <cstddef>
#include <optional>

namespace cassiashed::balancing {

/// A request that was sent and whose answer has not begun.
struct SentRequest {
  bool IsStream = false;
  Duration Predicted{0};   ///< until the first token; streams only
  std::size_t Engines = 1; ///< that read the prompt
  Duration Left{0};        ///< until the deadline
  bool CanRetryElsewhere = false;
};

/// How long a request waits for the first byte of its answer before another
/// endpoint is tried; nothing: until the deadline. Load: endpoints that take
/// requests and stay silent, beside engines that are late. Newer prompts delay
/// one that several engines read, beyond its prediction; giving it up loses
/// what was read of it, and its next attempt has less time.
///
/// ```cpp
/// firstByteTimeout({true, Duration(1000), 8, Duration(15000), true}); // 7.5 s
/// ```
std::optional<Duration> firstByteTimeout(const SentRequest &Sent);

} // namespace cassiashed::balancing
