#pragma once

#include "cassiashed/base/boot_clock.h"
#include "cassiashed/base/clock.h"
#include <optional>

namespace cassiashed::catalog {

/// Converts times of the store's steady clock to this node's boot clock. Each
/// response of the store narrows the possible offset between the two; clock
/// drift widens it again.
///
/// ```cpp
/// Clock.recordAnswer(SentAt, BootClock::now(), Answer.StoreTime);
/// if (const auto At = Clock.earliestTimeOf(OtherStoreTime, BootClock::now()))
///   useLowerBound(*At);
/// ```
class StoreClock {
public:
  /// Records the store's time as stated in a response. Returns the earliest
  /// local time at which the store can have sent it.
  BootTime recordAnswer(BootTime SentAt, BootTime ReceivedAt,
                        Duration StoreTime);

  /// Earliest local time at which the store's clock can have shown `StoreTime`.
  /// Nothing if the offset is unknown or its last measurement too old, or if
  /// the result is in the future, which means that the store's clock was set.
  std::optional<BootTime> earliestTimeOf(Duration StoreTime,
                                         BootTime Now) const;

private:
  /// Bounds of the local time at which the store's clock was zero.
  BootTime EarliestEpoch_;
  BootTime LatestEpoch_;
  std::optional<BootTime> MeasuredAt_;
};

} // namespace cassiashed::catalog
