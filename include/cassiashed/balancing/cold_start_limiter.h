#pragma once

#include "cassiashed/base/clock.h"
#include <cstdint>
#include <unordered_map>

namespace cassiashed::balancing {

struct ColdStartLimiterOptions {
  double Overage = 1.5; ///< factor on what a cold endpoint bears per second
  double Slack = 5;     ///< requests per second on top
};

/// This node's share of what a cold endpoint bears. Load: an endpoint that has
/// just started, or a whole zone that returns cold, under full traffic.
///
/// Each node spaces its sends so that all nodes together stay within the
/// bound in any second, whether they hear of each other or not. Not
/// thread-safe.
class ColdStartLimiter {
public:
  explicit ColdStartLimiter(ColdStartLimiterOptions Options = {})
      : Options_(Options) {}

  void setOptions(ColdStartLimiterOptions Options) { Options_ = Options; }

  /// Whether a request may be sent to the cold endpoint `Number` now.
  bool canSend(std::uint32_t Number, double ColdRequestsPerSecond,
               int NodeCount, TimePoint Now) const;
  void recordSent(std::uint32_t Number, TimePoint Now);
  void remove(std::uint32_t Number) { LastSent_.erase(Number); }

private:
  ColdStartLimiterOptions Options_;
  std::unordered_map<std::uint32_t, TimePoint> LastSent_;
};

} // namespace cassiashed::balancing
