#pragma once

#include "cassiashed/scheduling/fair_share.h"
#include "cassiashed/scheduling/grant.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

/// Requests that wait for one endpoint.
namespace cassiashed::scheduling {

struct WaitQueueOptions {
  /// A waiter is promoted to the next shorter class each time it has waited
  /// for this long.
  Duration PromoteAfter = std::chrono::seconds(4);
  /// A waiter that has waited for this long is overdue. `WaitQueue` says which
  /// later requests may still overtake it.
  Duration MaxBypass = std::chrono::seconds(8);
};

struct Waiter {
  TimePoint Since;
  std::uint64_t Key = 0; ///< hash of request id and attempt
  std::uint64_t Tokens = 0;
  WorkspaceUse *Use = nullptr;
  LengthClass Class = LengthClass::Short;
  /// Set if the waiter is overdue and does not fit: the time at which enough
  /// memory is predicted to be free. Short requests that end before this time
  /// may still overtake it.
  std::optional<TimePoint> PredictedFitTime;
  std::unique_ptr<GrantRequest> Request;
};

/// Order of service: shorter class first (after promotion by age), then the
/// workspace with the lowest use for its weight, then arrival. A waiter that
/// does not fit is overtaken by one that does, until it is overdue. From then
/// on no later request may take the memory that the waiter needs:
/// - an overdue short or medium request is not overtaken;
/// - an overdue long or huge prompt is not overtaken by long or huge ones.
///   Shorter ones may overtake it while together they use no more than the
///   part that long prompts leave to them (40 %, less if the prompt alone needs
///   more than 60 %), or if they are predicted to end before there is room for
///   the prompt (`PredictedFitTime`).
/// A waiter therefore waits at most `MaxBypass` plus the time until the
/// requests granted before it was overdue, and the waiters that arrived before
/// it, have freed enough memory. If overdue prompts blocked all later requests,
/// short ones would wait as long as long ones: in a simulation of one endpoint
/// at 70 % load the p99 time to first token of short requests was 49 s.
///
/// The queue is a plain array in order of arrival, since it is short (256
/// entries) and the class of a waiter changes with its age: a scan takes about
/// 1 µs.
class WaitQueue {
public:
  using Condition = std::function<bool(const Waiter &)>;

  explicit WaitQueue(WaitQueueOptions Options) : Options_(Options) {}

  void add(Waiter NewWaiter);
  Waiter take(std::size_t Index);

  std::size_t size() const { return Waiters_.size(); }
  const Waiter &at(std::size_t Index) const { return Waiters_[Index]; }
  void setPredictedFitTime(std::size_t Index, TimePoint When) {
    Waiters_[Index].PredictedFitTime = When;
  }
  std::optional<std::size_t> find(std::uint64_t Key) const;
  std::uint32_t count(LengthClass Class) const {
    return Count_[static_cast<std::size_t>(Class)];
  }
  /// Tokens that the waiters of this class and of shorter classes need.
  std::uint64_t tokensUpTo(LengthClass Class) const;

  bool overdue(const Waiter &Candidate, TimePoint Now) const {
    return Now - Candidate.Since >= Options_.MaxBypass;
  }
  /// The oldest overdue waiter for which the condition holds.
  std::optional<std::size_t> oldestOverdue(TimePoint Now,
                                           const Condition &CanFit) const;
  /// The next waiter in order of service for which the condition holds.
  std::optional<std::size_t>
  next(TimePoint Now, const std::function<bool(std::size_t)> &Fits) const;
  /// The latest waiter of the workspace with the highest demand.
  std::size_t mostDemanding(double Scale) const;
  /// Whether the workspace of another waiter has a lower demand than the
  /// workspace of this one.
  bool exceedsAnotherDemand(std::size_t Index, double Scale) const;

private:
  /// The class after promotion by age.
  int effectiveClass(const Waiter &Candidate, TimePoint Now) const;

  WaitQueueOptions Options_;
  std::vector<Waiter> Waiters_;
  std::array<std::uint32_t, LengthClassCount> Count_{};
  std::array<std::uint64_t, LengthClassCount> Tokens_{};
};

} // namespace cassiashed::scheduling
