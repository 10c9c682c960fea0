#pragma once

#include <chrono>

namespace cassiashed {

/// Time since the machine started, suspended time included. The steady clock
/// stops while a machine is suspended, so it cannot tell how old knowledge is.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static time_point now();
};
using BootTime = BootClock::time_point;

} // namespace cassiashed
