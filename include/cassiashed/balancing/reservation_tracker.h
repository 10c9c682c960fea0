#pragma once

#include "cassiashed/base/clock.h"
#include <cstdint>

namespace cassiashed::balancing {

/// State of a memory reservation as reported by its engine.
enum class ReservationState : std::uint8_t {
  Unknown, ///< no answer, or the engine does not know it
  Waiting, ///< for memory to become free
  Held,    ///< reserved; no request uses its memory
  Used,    ///< a request uses its memory
};

/// Oldest state that an engine may report: reports lag by some hundred
/// milliseconds.
inline constexpr Duration MaxReportAge{1000};

/// Tracks whether a request still needs its memory reservation at an engine.
/// Matters when the decode engine becomes unresponsive: its node waits for the
/// answer for seconds, and renewals would keep memory that no request uses.
///
/// ```cpp
/// Tracker.recordReport(ReservationState::Used, Now);
/// Tracker.recordReport(ReservationState::Held, Now + RenewalInterval);
/// Tracker.isNoLongerNeeded(); // true
/// ```
class ReservationTracker {
public:
  /// Records that the answer has started: the memory is in use by `Now`.
  void recordAnswerStarted(TimePoint Now) {
    if (!HasStarted_)
      StartedAt_ = Now;
    HasStarted_ = true;
  }
  /// Records the answer to a state query that was sent at `AskedAt`.
  void recordReport(ReservationState State, TimePoint AskedAt) {
    WasReportedUsed_ = WasReportedUsed_ || State == ReservationState::Used;
    HasStarted_ = HasStarted_ || WasReportedUsed_;
    LastState_ = State;
    // The reported state may be older than the start of the answer.
    const bool IsAfterStart =
        WasReportedUsed_ || AskedAt - StartedAt_ >= MaxReportAge;
    IsNoLongerNeeded_ =
        HasStarted_ && IsAfterStart && State == ReservationState::Held;
  }
  /// Whether the request may not have started: it is queued at the decode
  /// engine, or was lost with it.
  bool mayBeQueuedAtDecodeEngine() const {
    return !HasStarted_ && LastState_ == ReservationState::Held;
  }
  void recordDecodeEngineUnresponsive() { IsNoLongerNeeded_ = true; }
  bool isNoLongerNeeded() const { return IsNoLongerNeeded_; }

private:
  bool HasStarted_ = false;
  TimePoint StartedAt_;
  bool WasReportedUsed_ = false;
  bool IsNoLongerNeeded_ = false;
  ReservationState LastState_ = ReservationState::Unknown;
};

} // namespace cassiashed::balancing
