#pragma once

#include <algorithm>
#include <chrono>

/// Monotonic time, injected so that tests decide when it passes.
namespace cassiashed {

using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::milliseconds;

/// Largest time that `durationFromMs` returns, about 30 years. Such times can
/// be added to a TimePoint without overflow.
inline constexpr double MaxDurationMs = 1e12;

/// Converts a number that a peer sent. Numbers out of range are replaced by the
/// nearest limit, and what is no number by 0.
inline Duration durationFromMs(double Ms) {
  if (!(Ms == Ms))
    return Duration(0);
  return Duration(static_cast<Duration::rep>(
      std::clamp(Ms, -MaxDurationMs, MaxDurationMs)));
}

/// Source of monotonic time.
class Clock {
public:
  virtual ~Clock() = default;
  virtual TimePoint now() const = 0;
};

/// The process's monotonic clock.
class SteadyClock : public Clock {
public:
  TimePoint now() const override { return std::chrono::steady_clock::now(); }
};

/// A clock that moves only when it is told to.
///
/// ```cpp
/// ManualClock Time;
/// Time.advance(std::chrono::seconds(15));
/// ```
class ManualClock : public Clock {
public:
  TimePoint now() const override { return Now_; }
  void advance(std::chrono::nanoseconds Step) {
    Now_ += std::chrono::duration_cast<TimePoint::duration>(Step);
  }

private:
  TimePoint Now_{std::chrono::hours(1)};
};

} // namespace cassiashed
