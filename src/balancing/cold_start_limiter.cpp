#include "cassiashed/balancing/cold_start_limiter.h"

#include <algorithm>

namespace cassiashed::balancing {
namespace {

/// Fraction of the limit that is used. Requests sent at equal intervals may
/// arrive closer together, and a window of one second can contain one more than
/// the average.
constexpr double UsedFraction = 0.6;

} // namespace

bool ColdStartLimiter::canSend(std::uint32_t Number,
                               double ColdRequestsPerSecond, int NodeCount,
                               TimePoint Now) const {
  if (ColdRequestsPerSecond <= 0)
    return true;
  const double Limit =
      (ColdRequestsPerSecond * Options_.Overage + Options_.Slack) *
      UsedFraction;
  const double SpacingMs = 1000.0 * std::max(1, NodeCount) / Limit;
  const auto Last = LastSent_.find(Number);
  return Last == LastSent_.end() ||
         std::chrono::duration<double, std::milli>(Now - Last->second)
                 .count() >= SpacingMs;
}

void ColdStartLimiter::recordSent(std::uint32_t Number, TimePoint Now) {
  LastSent_[Number] = Now;
}

} // namespace cassiashed::balancing
