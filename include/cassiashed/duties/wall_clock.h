#pragma once

#include "cassiashed/base/boot_clock.h"
#include "cassiashed/base/clock.h"
#include <cstdint>
#include <map>
#include <string>

namespace cassiashed::duties {

/// Estimate of the time of day from the clocks of several nodes: the median.
/// Usage is counted in windows of true time, and the clock of a host may be off
/// by seconds. While more than half of the clocks that this node hears are
/// right, the estimate is off by at most the delay of messages between nodes.
class WallClock {
public:
  /// Records what a message of another node states.
  void recordPeer(const std::string &Node, std::int64_t TheirUnixMs,
                  BootTime Now);
  std::int64_t estimate(std::int64_t OwnUnixMs, BootTime Now) const;

private:
  struct Offset {
    std::int64_t Ms = 0; ///< from this host's boot clock, which never jumps
    BootTime HeardAt;
  };
  std::map<std::string, Offset> Offsets_;
};

} // namespace cassiashed::duties
