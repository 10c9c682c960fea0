#include "cassiashed/catalog/store_clock.h"

#include <algorithm>

namespace cassiashed::catalog {
namespace {

/// Assumed maximum drift between the two clocks, as a fraction of elapsed time.
constexpr double MaxDriftRate = 1.5e-4;
/// Age from which a measurement is not used: the drift may reach 0.1 s.
constexpr std::chrono::seconds MaxMeasurementAge{600};

BootTime::duration driftIn(BootTime::duration Time) {
  return std::chrono::ceil<BootTime::duration>(Time * MaxDriftRate);
}

} // namespace

BootTime StoreClock::recordAnswer(BootTime SentAt, BootTime ReceivedAt,
                                  Duration StoreTime) {
  const BootTime::duration CallDrift = driftIn(ReceivedAt - SentAt);
  const BootTime From = SentAt - StoreTime - CallDrift;
  const BootTime To = ReceivedAt - StoreTime + CallDrift;
  if (MeasuredAt_) {
    const BootTime::duration Drift = driftIn(ReceivedAt - *MeasuredAt_);
    EarliestEpoch_ -= Drift;
    LatestEpoch_ += Drift;
  }
  if (MeasuredAt_ && From <= LatestEpoch_ && To >= EarliestEpoch_) {
    EarliestEpoch_ = std::max(EarliestEpoch_, From);
    LatestEpoch_ = std::min(LatestEpoch_, To);
  } else {
    // This is the first response, or the store's clock was set.
    EarliestEpoch_ = From;
    LatestEpoch_ = To;
  }
  MeasuredAt_ = ReceivedAt;
  return std::clamp<BootTime>(EarliestEpoch_ + StoreTime, SentAt, ReceivedAt);
}

std::optional<BootTime> StoreClock::earliestTimeOf(Duration StoreTime,
                                                   BootTime Now) const {
  if (!MeasuredAt_ || Now - *MeasuredAt_ > MaxMeasurementAge)
    return std::nullopt;
  const auto Drift = std::chrono::duration_cast<BootTime::duration>(
      (Now - *MeasuredAt_) * MaxDriftRate);
  const BootTime At = EarliestEpoch_ + StoreTime - Drift;
  if (At > Now)
    return std::nullopt;
  return At;
}

} // namespace cassiashed::catalog
