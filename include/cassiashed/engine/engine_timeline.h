#pragma once

#include "cassiashed/base/clock.h"
#include "cassiashed/engine/engine_spec.h"
#include <cstdint>
#include <vector>

namespace cassiashed::engine {

/// Latency limits of a request, and the value lost when it misses them.
struct LatencyObjective {
  TimePoint FirstTokenBy;   ///< deadline of the first token
  double MaxTokenGapMs = 0; ///< 0: unlimited
  double LateLoss = 0;      ///< value lost when a token is late
  double FailLoss = 0;      ///< further value lost if it does not complete
  double TotalMs = 0;       ///< time in which it must complete; 0: any
};

/// Work of one request at one engine.
struct EngineJob {
  std::uint64_t Id = 0;
  double PromptTokens = 0; ///< tokens that this engine prefills
  /// Length of the whole prompt if this engine prefills only a part of it.
  double WholePromptTokens = 0;
  double OutputTokens = 0; ///< expected; 0: the engine only prefills
  double MemoryTokens = 0; ///< KV cache in use at this engine
  /// Admitted before waiting jobs that are not urgent.
  bool Urgent = true;
  LatencyObjective Objective;
};

/// Value that a split prefill (a prompt that several engines prefill) loses.
struct SplitPrefillLoss {
  std::uint64_t Id = 0;
  double Loss = 0;
};

/// Predicted effect of adding a job to an engine.
struct Forecast {
  double FirstTokenMs = 0; ///< from now
  /// Value lost by requests that the engine already has, without split
  /// prefills.
  double LossToOthers = 0;
  /// Loss of each split prefill whose first token is delayed. If several
  /// engines delay the same prompt, each reports the same loss: count it once.
  std::vector<SplitPrefillLoss> LossToSplitPrefills;
};

/// Simulates the batches of one engine to predict when a new request gets its
/// first token, and how much it delays the requests that are there already. Not
/// thread-safe.
///
/// ```cpp
/// EngineTimeline Engine(Spec);
/// Engine.add(Job, Now);
/// const Forecast Next = Engine.forecast(Other, Now);
/// ```
class EngineTimeline {
public:
  explicit EngineTimeline(const EngineSpec &Spec) : Spec_(Spec) {}

  /// Adds a job that reaches the engine after `TransitMs`.
  void add(const EngineJob &Job, TimePoint Now, double TransitMs = 0);
  void remove(std::uint64_t Id, TimePoint Now);
  /// Records that the request produced its first token; overrides the
  /// simulation.
  void markFirstToken(std::uint64_t Id, TimePoint Now);

  /// Simulates up to `Now`.
  void advance(TimePoint Now);

  Forecast forecast(const EngineJob &Job, TimePoint Now, double TransitMs = 0);

  std::size_t jobCount() const { return Jobs_.size(); }
  /// Whether this engine still has to prefill its part of the request.
  bool isPrefilling(std::uint64_t Id) const;
  /// Requests whose answers this engine produces, without those with long
  /// prefills.
  int shortStreamCount() const;
  /// Share of recent time spent on long prefills, about 0 to 1.
  double longPrefillShare(TimePoint Now) const;
  double memoryInUse() const;

private:
  struct JobState {
    EngineJob Job;
    double ArrivesAt = 0; ///< ms since the clock's epoch
    double Prefilled = 0;
    double Produced = 0;
    double LastEventAt = 0;
    bool Decoding = false;
    bool Late = false; ///< already late; more delay costs nothing more
  };

  double prefillCost(const JobState &State, double Begin, double End) const;
  /// Collects the results of simulated passes.
  struct PassObserver {
    std::uint64_t Id = 0;     ///< job whose first token is observed
    double FirstTokenAt = -1; ///< ms since the clock's epoch
    double Loss = 0;          ///< value lost by late tokens and disconnects
    /// Value lost by late first tokens of split prefills.
    std::vector<SplitPrefillLoss> SplitPrefillLosses;
  };
  /// Simulates one pass from `Begin`; returns its end, or `Begin` if nothing
  /// can run.
  double runPass(std::vector<JobState> &Jobs, double Begin,
                 PassObserver *Observer) const;
  /// Time of the first arrival later than `After`; infinity if there is none.
  static double nextArrival(const std::vector<JobState> &Jobs, double After);
  static void insertInOrder(std::vector<JobState> &Jobs, const JobState &State);
  /// Value lost by a stream in a pass that also prefills for `PrefillMs`.
  static double interruptionLoss(const LatencyObjective &Objective,
                                 double PrefillMs, double GapMs);
  /// Probability that a token predicted after `AtMs` misses `LimitMs`.
  static double lateProbability(double AtMs, double LimitMs,
                                double OnTimeShare);
  /// Simulates passes until the observed job has started and the delays that it
  /// causes are known.
  void simulateAhead(std::vector<JobState> Jobs, double Begin,
                     PassObserver &Observer) const;

  EngineSpec Spec_;
  std::vector<JobState> Jobs_;
  double PassEndsAt_ = 0;
  /// Losses without a new job; valid until the state changes.
  PassObserver Baseline_;
  bool IsBaselineValid_ = false;
  double LongPrefillMs_ = 0;        ///< exponentially decaying sum
  double LongPrefillUpdatedAt_ = 0; ///< ms since the clock's epoch
};

} // namespace cassiashed::engine
