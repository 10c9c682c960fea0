#pragma once

#include "cassiashed/scheduling/share.h"

#include <cstdint>

/// Limit on the concurrent requests of an endpoint that has just started.
namespace cassiashed::scheduling {

struct ColdStartOptions {
  /// Requests that a cold endpoint can handle at the same time.
  std::uint32_t ColdRequests = 2;
  /// The limit grows by one per completed answer up to this value. Above it,
  /// the limit doubles each time this many more answers are completed.
  std::uint32_t LinearUpTo = 8;
};

/// Limits the concurrent requests of an endpoint until it reports warm, since a
/// cold one handles only a few at a time. The limit grows with completed
/// answers and is reset when the endpoint restarts (new incarnation).
class ColdStart {
public:
  explicit ColdStart(ColdStartOptions Options) : Options_(Options) {}

  void reset() {
    Completed_ = 0;
    Warm_ = false;
  }
  void addCompleted() { ++Completed_; }
  void setWarm(bool Warm) { Warm_ = Warm; }

  bool cold() const { return !Warm_; }
  /// Limit for all nodes together; the largest value if the endpoint is warm.
  std::uint64_t limit() const;
  /// Whether one more request may run in addition to `Own` requests of this
  /// node and `Foreign` requests of others.
  bool allows(std::uint64_t Own, std::uint64_t Foreign, Share NodeShare) const;

private:
  ColdStartOptions Options_;
  std::uint64_t Completed_ = 0;
  bool Warm_ = false;
};

} // namespace cassiashed::scheduling
