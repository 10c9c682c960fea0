#pragma once

#include "cassiashed/base/clock.h"
#include <cstdint>

namespace cassiashed::balancing {

/// What an engine says of a reservation.
enum class ReservationState : std::uint8_t {
  Unknown, ///< no answer, or the engine does not know it
  Waiting, ///< its memory is not free yet
  Held,    ///< no request uses its memory
  Used,
};

/// Age that an engine's report may have: it says of some hundred milliseconds
/// ago what it holds.
inline constexpr Duration OldestReport{1000};

/// Whether the request of a reservation still needs it. Load: the engine that
/// writes the answer goes dark; its node waits for an answer for seconds, and
/// renewals meanwhile would keep memory that no request uses.
///
/// ```cpp
/// Use.recordReport(ReservationState::Used, Now);
/// Use.recordReport(ReservationState::Held, Now + Renewal);
/// Use.isNoLongerNeeded(); // true
/// ```
class ReservationTracker {
public:
  /// The answer has begun, so the memory is in use since before `Now`.
  void recordAnswerStarted(TimePoint Now) {
    if (!Begun_)
      BegunAt_ = Now;
    Begun_ = true;
  }
  /// Takes in a report that was asked for at `AskedAt`.
  void recordReport(ReservationState State, TimePoint AskedAt) {
    WasUsed_ = WasUsed_ || State == ReservationState::Used;
    Begun_ = Begun_ || WasUsed_;
    Last_ = State;
    // A report may be older than the answer's beginning.
    const bool IsLater = WasUsed_ || AskedAt - BegunAt_ >= OldestReport;
    Over_ = Begun_ && IsLater && State == ReservationState::Held;
  }
  /// Whether the request may not have begun: it waits at the engine that
  /// writes its answer, or was lost with it.
  bool mayBeQueuedAtDecodeEngine() const {
    return !Begun_ && Last_ == ReservationState::Held;
  }
  void recordDecodeEngineUnresponsive() { Over_ = true; }
  bool isNoLongerNeeded() const { return Over_; }

private:
  bool Begun_ = false;
  TimePoint BegunAt_;
  bool WasUsed_ = false; ///< by a report
  bool Over_ = false;
  ReservationState Last_ = ReservationState::Unknown;
};

} // namespace cassiashed::balancing
