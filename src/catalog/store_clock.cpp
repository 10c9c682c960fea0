#include "cassiashed/catalog/store_clock.h"

#include <algorithm>

namespace cassiashed::catalog {
namespace {

/// Largest drift between two clocks that is allowed for, in parts of the time.
constexpr double MaxDrift = 1.5e-4;
/// Without a new measurement for this long the drift is a tenth of a second.
constexpr std::chrono::seconds LongestMemory{600};

BootTime::duration driftIn(BootTime::duration Time) {
  return std::chrono::ceil<BootTime::duration>(Time * MaxDrift);
}

} // namespace

BootTime StoreClock::note(BootTime SentAt, BootTime ReceivedAt,
                          Duration StoreTime) {
  const BootTime::duration CallDrift = driftIn(ReceivedAt - SentAt);
  const BootTime From = SentAt - StoreTime - CallDrift;
  const BootTime To = ReceivedAt - StoreTime + CallDrift;
  if (KnownAt_) {
    const BootTime::duration Drift = driftIn(ReceivedAt - *KnownAt_);
    EpochFrom_ -= Drift;
    EpochTo_ += Drift;
  }
  if (KnownAt_ && From <= EpochTo_ && To >= EpochFrom_) {
    EpochFrom_ = std::max(EpochFrom_, From);
    EpochTo_ = std::min(EpochTo_, To);
  } else {
    // The first answer, or the store's clock was set.
    EpochFrom_ = From;
    EpochTo_ = To;
  }
  KnownAt_ = ReceivedAt;
  return std::clamp<BootTime>(EpochFrom_ + StoreTime, SentAt, ReceivedAt);
}

std::optional<BootTime> StoreClock::earliest(Duration StoreTime,
                                             BootTime Now) const {
  if (!KnownAt_ || Now - *KnownAt_ > LongestMemory)
    return std::nullopt;
  const auto Drift = std::chrono::duration_cast<BootTime::duration>(
      (Now - *KnownAt_) * MaxDrift);
  const BootTime At = EpochFrom_ + StoreTime - Drift;
  if (At > Now)
    return std::nullopt;
  return At;
}

} // namespace cassiashed::catalog
