#pragma once

#include "cassiashed/base/boot_clock.h"
#include "cassiashed/base/clock.h"
#include <optional>

namespace cassiashed::catalog {

/// What the store's own steady clock shows, by this node's boot clock. Every
/// answer of the store bounds the relation between the two.
///
/// ```cpp
/// Clock.note(SentAt, BootClock::now(), Answer.StoreTime);
/// if (const auto At = Clock.earliest(OtherStoreTime, BootClock::now()))
///   useLowerBound(*At);
/// ```
class StoreClock {
public:
  /// The store answered a call and stated its time. Returns the earliest time
  /// at which it can have answered.
  BootTime note(BootTime SentAt, BootTime ReceivedAt, Duration StoreTime);

  /// Earliest time at which the store's clock can have shown `StoreTime`.
  /// Nothing if the relation is not known, was not measured for long, or puts
  /// that time into the future: the store's clock was set.
  std::optional<BootTime> earliest(Duration StoreTime, BootTime Now) const;

private:
  /// Local time at which the store's clock was zero lies between these.
  BootTime EpochFrom_;
  BootTime EpochTo_;
  std::optional<BootTime> KnownAt_;
};

} // namespace cassiashed::catalog
