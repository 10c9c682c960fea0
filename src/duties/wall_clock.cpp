#include "cassiashed/duties/wall_clock.h"

#include <algorithm>
#include <vector>

namespace cassiashed::duties {
namespace {

/// Older statements do not count: one of the two clocks may have been set
/// since.
constexpr Duration MaxAge{3000};

std::int64_t msOf(BootTime Time) {
  return std::chrono::duration_cast<Duration>(Time.time_since_epoch()).count();
}

} // namespace

void WallClock::recordPeer(const std::string &Node, std::int64_t TheirUnixMs,
                           BootTime Now) {
  std::erase_if(Offsets_, [Now](const auto &Entry) {
    return Now - Entry.second.HeardAt > MaxAge;
  });
  Offsets_[Node] = {TheirUnixMs - msOf(Now), Now};
}

std::int64_t WallClock::estimate(std::int64_t OwnUnixMs, BootTime Now) const {
  std::vector<std::int64_t> All{OwnUnixMs - msOf(Now)};
  for (const auto &[Node, Heard] : Offsets_)
    if (Now - Heard.HeardAt <= MaxAge)
      All.push_back(Heard.Ms);
  // Two clocks have no majority: this node's own stays.
  if (All.size() < 3)
    return OwnUnixMs;
  const auto Middle = All.begin() + static_cast<std::ptrdiff_t>(All.size() / 2);
  std::nth_element(All.begin(), Middle, All.end());
  return msOf(Now) + *Middle;
}

} // namespace cassiashed::duties
