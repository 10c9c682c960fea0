#pragma once

#include <cstdint>

namespace cassiashed::balancing {

/// What an engine says of a reservation.
enum class ReservationState : std::uint8_t {
  Unknown, ///< no answer, or the engine does not know it
  Waiting, ///< its memory is not free yet
  Held,    ///< no request uses its memory
  Used,
};

/// Whether the request of a reservation still needs it. Load: the engine that
/// writes the answer goes dark; its node waits for an answer for seconds, and
/// renewals meanwhile would keep memory that no request uses.
///
/// ```cpp
/// Use.noteState(ReservationState::Used);
/// Use.noteState(ReservationState::Held);
/// Use.isOver(); // true
/// ```
class ReservationUse {
public:
  /// The answer has begun, so the memory is in use since before.
  void noteBegun() { Begun_ = true; }
  void noteState(ReservationState State) {
    if (State == ReservationState::Used)
      Begun_ = true;
    Last_ = State;
    Over_ = Begun_ && State == ReservationState::Held;
  }
  /// Whether the request may not have begun: it waits at the engine that
  /// writes its answer, or was lost with it.
  bool mayWaitAtWriter() const {
    return !Begun_ && Last_ == ReservationState::Held;
  }
  void noteWriterSilent() { Over_ = true; }
  bool isOver() const { return Over_; }

private:
  bool Begun_ = false;
  bool Over_ = false;
  ReservationState Last_ = ReservationState::Unknown;
};

} // namespace cassiashed::balancing
