#pragma once

#include "cassiashed/base/clock.h"
#include "gateway/http_wire.h"
#include <optional>
#include <string>

namespace cassiashed::gateway {

/// Why a request was not read, and what its caller is told.
struct ReadRefusal {
  int Status = 0; ///< 0: the caller is gone
  std::string Reason;
  std::optional<Duration> RetryAfter;
};

/// Status for a request that could not be read; 0 if the caller disconnected.
int statusOfReadFailure(const Code &Failure, bool TimedOut);

} // namespace cassiashed::gateway
