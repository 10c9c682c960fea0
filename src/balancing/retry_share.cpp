#include "cassiashed/balancing/retry_share.h"

#include <algorithm>

namespace cassiashed::balancing {
namespace {

/// Fraction of the budget that this process uses. The rest covers what an
/// earlier process on the same host may have spent in the same window.
constexpr double UsedFraction = 0.5;

} // namespace

void RetryShare::dropExpired(std::deque<TimePoint> &Times,
                             TimePoint Now) const {
  while (!Times.empty() && Times.front() + Options_.Window < Now)
    Times.pop_front();
}

void RetryShare::recordFirstAttempt(const std::string &Service, TimePoint Now) {
  Window &Entry = Windows_[Service];
  dropExpired(Entry.FirstAttempts, Now);
  Entry.FirstAttempts.push_back(Now);
}

bool RetryShare::canSpendRetry(const std::string &Service, int NodeCount,
                               TimePoint Now) {
  Window &Entry = Windows_[Service];
  dropExpired(Entry.FirstAttempts, Now);
  dropExpired(Entry.Retries, Now);
  const double Allowed = Options_.Ratio *
                             static_cast<double>(Entry.FirstAttempts.size()) *
                             UsedFraction +
                         Options_.Slack / std::max(1, NodeCount) * UsedFraction;
  return static_cast<double>(Entry.Retries.size()) + 1 <= Allowed;
}

bool RetryShare::trySpendRetry(const std::string &Service, int NodeCount,
                               TimePoint Now) {
  if (!canSpendRetry(Service, NodeCount, Now))
    return false;
  Windows_[Service].Retries.push_back(Now);
  return true;
}

} // namespace cassiashed::balancing
