#pragma once

#include "cassiashed/base/clock.h"
#include "cassiashed/engine/engine_spec.h"
#include <cstdint>
#include <vector>

/// Prediction of what one engine does with the work that it holds.
namespace cassiashed::engine {

/// What a request expects, and what is lost when it is late.
struct LatencyObjective {
  TimePoint FirstTokenBy;   ///< latest first token that is on time
  double MaxTokenGapMs = 0; ///< longest pause between events; 0: any
  double LateLoss = 0;      ///< value lost when late
  double FailLoss = 0;      ///< value lost beyond that when it does not end
  double TotalMs = 0;       ///< time in which it has to end; 0: any
};

/// Work of one request at one engine.
struct EngineJob {
  std::uint64_t Id = 0;
  double PromptTokens = 0; ///< tokens that this engine prefills
  /// Length of the whole prompt if this engine prefills only a part of it.
  double WholePromptTokens = 0;
  double OutputTokens = 0; ///< expected; 0: the engine only prefills
  double MemoryTokens = 0; ///< KV cache held at this engine
  /// Whether the engine admits it before waiting jobs that are not urgent.
  bool Urgent = true;
  LatencyObjective Objective;
};

/// Value that a prompt which several engines read would lose.
struct SplitPrefillLoss {
  std::uint64_t Id = 0;
  double Loss = 0;
};

/// Outcome of adding a job.
struct Forecast {
  double FirstTokenMs = 0; ///< from now
  /// Value that requests already there would lose, other than prompts that
  /// several engines read.
  double LossToOthers = 0;
  /// The latter, each with the loss of its first token. Engines that delay the
  /// same prompt name the same loss.
  std::vector<SplitPrefillLoss> LossToSplitPrefills;
};

/// Simulates the passes of one engine. Time is an argument; not thread-safe.
///
/// ```cpp
/// EngineTimeline Engine(Spec);
/// Engine.add(Job, Now);
/// const Forecast Next = Engine.forecast(Other, Now);
/// ```
class EngineTimeline {
public:
  explicit EngineTimeline(const EngineSpec &Spec) : Spec_(Spec) {}

  /// Work that reaches the engine after `TransitMs`.
  void add(const EngineJob &Job, TimePoint Now, double TransitMs = 0);
  void remove(std::uint64_t Id, TimePoint Now);
  /// The request produced its first token, whatever the prediction says.
  void markFirstToken(std::uint64_t Id, TimePoint Now);

  /// Brings the state to `Now`.
  void advance(TimePoint Now);

  Forecast forecast(const EngineJob &Job, TimePoint Now, double TransitMs = 0);

  std::size_t jobCount() const { return Jobs_.size(); }
  /// Whether this engine has yet to read its part of a request.
  bool isPrefilling(std::uint64_t Id) const;
  /// Requests that are written here, other than long reads.
  int shortStreamCount() const;
  /// Share of recent time that long reads took, about 0 to 1.
  double longPrefillShare(TimePoint Now) const;
  double memoryInUse() const;

private:
  struct Running {
    EngineJob Job;
    double ArrivesAt = 0; ///< ms since the epoch of the timeline
    double Prefilled = 0;
    double Produced = 0;
    double LastEventAt = 0;
    bool Decoding = false;
    bool Late = false; ///< already late; more delay costs nothing
  };

  double prefillCost(const Running &Entry, double Begin, double End) const;
  /// What a simulated pass reports besides its end.
  struct PassWatch {
    std::uint64_t Id = 0;     ///< job whose first token is watched
    double FirstTokenAt = -1; ///< ms since the epoch of the timeline
    double Loss = 0;          ///< value lost by late first tokens and pauses
    /// Value lost by late first tokens of prompts that several engines read.
    std::vector<SplitPrefillLoss> SplitPrefillLosses;
  };
  /// Runs one pass that begins at `Begin`; returns its end, or `Begin` if
  /// nothing can run.
  double runPass(std::vector<Running> &Jobs, double Begin,
                 PassWatch *Watch) const;
  /// When the next job that has not arrived at `After` does; infinity if there
  /// is none.
  static double nextArrival(const std::vector<Running> &Jobs, double After);
  static void insertInOrder(std::vector<Running> &Jobs, const Running &Entry);
  /// Value lost by a stream whose pass also prefills.
  static double interruptionLoss(const LatencyObjective &Objective,
                                 double PrefillMs, double GapMs);
  /// Probability that an event is late.
  static double lateProbability(double AtMs, double LimitMs,
                                double OnTimeShare);
  /// Runs passes until the watched job and all that waits now have begun.
  void runAhead(std::vector<Running> Jobs, double Begin,
                PassWatch &Watch) const;

  EngineSpec Spec_;
  std::vector<Running> Jobs_;
  double PassEndsAt_ = 0;
  /// Losses without a new job, until the state changes.
  PassWatch Baseline_;
  bool BaselineIsKnown_ = false;
  double LongReadMs_ = 0; ///< decays with LongReadMemoryMs
  double LongReadAt_ = 0;
};

} // namespace cassiashed::engine
