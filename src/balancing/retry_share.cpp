#include "cassiashed/balancing/retry_share.h"

#include <algorithm>

namespace cassiashed::balancing {
namespace {

/// Part of the budget that this process uses; the other half is for what an
/// earlier process on the same host may have spent in the same window.
constexpr double UsedPart = 0.5;

} // namespace

void RetryShare::dropOld(std::deque<TimePoint> &Times, TimePoint Now) const {
  while (!Times.empty() && Times.front() + Options_.Window < Now)
    Times.pop_front();
}

void RetryShare::recordFirstAttempt(const std::string &Service, TimePoint Now) {
  Window &Entry = Windows_[Service];
  dropOld(Entry.Firsts, Now);
  Entry.Firsts.push_back(Now);
}

bool RetryShare::tryConsume(const std::string &Service, int NodeCount,
                            TimePoint Now) {
  Window &Entry = Windows_[Service];
  dropOld(Entry.Firsts, Now);
  dropOld(Entry.Repeats, Now);
  const double Allowed =
      Options_.Ratio * static_cast<double>(Entry.Firsts.size()) * UsedPart +
      Options_.Slack / std::max(1, NodeCount) * UsedPart;
  if (static_cast<double>(Entry.Repeats.size()) + 1 > Allowed)
    return false;
  Entry.Repeats.push_back(Now);
  return true;
}

} // namespace cassiashed::balancing
