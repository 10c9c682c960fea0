#pragma once

#include "cassiashed/base/clock.h"
#include <cstdint>
#include <unordered_map>

namespace cassiashed::balancing {

struct ColdStartLimiterOptions {
  double Overage = 1.5; ///< factor on the rate that a cold endpoint can take
  double Slack = 5;     ///< requests per second added to that
};

/// Limits the rate at which this node sends to cold endpoints. Matters when an
/// endpoint has just started, or a whole zone comes back cold, under full
/// traffic.
///
/// Each node spaces its requests so that all nodes together stay within the
/// limit in any second, even if they cannot reach each other. Not thread-safe.
class ColdStartLimiter {
public:
  explicit ColdStartLimiter(ColdStartLimiterOptions Options = {})
      : Options_(Options) {}

  void setOptions(ColdStartLimiterOptions Options) { Options_ = Options; }

  /// Whether a request may be sent to the cold endpoint `Number` now.
  /// `ColdRequestsPerSecond` is the rate that it can take while cold; 0: no
  /// limit.
  bool canSend(std::uint32_t Number, double ColdRequestsPerSecond,
               int NodeCount, TimePoint Now) const;
  void recordSent(std::uint32_t Number, TimePoint Now);
  void remove(std::uint32_t Number) { LastSent_.erase(Number); }

private:
  ColdStartLimiterOptions Options_;
  std::unordered_map<std::uint32_t, TimePoint> LastSent_;
};

} // namespace cassiashed::balancing
