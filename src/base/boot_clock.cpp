#include "cassiashed/base/boot_clock.h"

#include <ctime>

namespace cassiashed {

BootTime BootClock::now() {
  timespec Value{};
  // Fails only for an unknown clock, and Linux has had this one since 2.6.39.
  clock_gettime(CLOCK_BOOTTIME, &Value);
  return time_point(std::chrono::seconds(Value.tv_sec) +
                    std::chrono::nanoseconds(Value.tv_nsec));
}

} // namespace cassiashed
