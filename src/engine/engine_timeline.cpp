#include "cassiashed/engine/engine_timeline.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cassiashed::engine {
namespace {

/// Most passes of one forecast; a job that starts later gets no first token.
constexpr int MaxForecastPasses = 400;
/// A forecast ends this long after the observed job started: later passes
/// depend mostly on requests that have not arrived yet.
constexpr double ForecastTailMs = 400;
/// The probability that a token is late rises from 0 at the on-time share of
/// its limit to 1 at SurelyLate. First tokens are also delayed by prompts that
/// have not arrived yet, so their range is wider than that of token gaps.
constexpr double FirstTokenOnTime = 0.7;
constexpr double TokenGapOnTime = 0.85;
constexpr double SurelyLate = 1.05;
/// Output lengths vary widely. Once a request has produced OverdueFrom of its
/// expected output, the total is taken as OverdueFactor times what it produced.
constexpr double OverdueFrom = 0.8;
constexpr double OverdueFactor = 1.3;
/// Averaging time of the share of long prefills: long enough to include some of
/// them when they are rare, short enough to follow changes of the mix.
constexpr double LongPrefillAveragingMs = 3000;
/// Callers disconnect from a stream after a token gap of this length, or of
/// this many times their token gap limit if that is longer.
constexpr double MinDisconnectGapMs = 2000;
constexpr double DisconnectGapFactor = 8;
/// Forecast when no simulated pass produced the first token.
constexpr double NoFirstTokenMs = 1e9;

double toMs(TimePoint When) {
  return std::chrono::duration<double, std::milli>(When.time_since_epoch())
      .count();
}

} // namespace

double EngineTimeline::nextArrival(const std::vector<JobState> &Jobs,
                                   double After) {
  double Next = std::numeric_limits<double>::infinity();
  for (const JobState &State : Jobs)
    if (State.ArrivesAt > After)
      Next = std::min(Next, State.ArrivesAt);
  return Next;
}

void EngineTimeline::insertInOrder(std::vector<JobState> &Jobs,
                                   const JobState &State) {
  // Order: parts of split prefills (the newest first), urgent requests, others.
  const auto Rank = [](const JobState &Ranked) {
    if (Ranked.Job.OutputTokens <= 0)
      return 0;
    return Ranked.Job.Urgent ? 1 : 2;
  };
  const auto Position =
      std::find_if(Jobs.begin(), Jobs.end(), [&](const JobState &Other) {
        if (Other.Decoding)
          return false;
        if (Rank(State) == 0)
          return true;
        // Only parts go ahead of a prompt whose prefill has begun.
        return Other.Prefilled <= 0 && Rank(Other) > Rank(State);
      });
  Jobs.insert(Position, State);
}

double EngineTimeline::lateProbability(double AtMs, double LimitMs,
                                       double OnTimeShare) {
  if (LimitMs <= 0)
    return 0;
  return std::clamp((AtMs / LimitMs - OnTimeShare) / (SurelyLate - OnTimeShare),
                    0.0, 1.0);
}

double EngineTimeline::interruptionLoss(const LatencyObjective &Objective,
                                        double PrefillMs, double GapMs) {
  const double DisconnectGapMs = std::max(
      MinDisconnectGapMs, Objective.MaxTokenGapMs * DisconnectGapFactor);
  if (GapMs > DisconnectGapMs)
    return Objective.FailLoss;
  // Each interruption uses up a part of the time until the stream's limit.
  return Objective.TotalMs > 0
             ? Objective.FailLoss * PrefillMs / Objective.TotalMs
             : 0;
}

double EngineTimeline::prefillCost(const JobState &State, double Begin,
                                   double End) const {
  const double WholeTokens = State.Job.WholePromptTokens;
  if (WholeTokens <= State.Job.PromptTokens)
    return prefillMs(Spec_, Begin, End);
  // The attention cost of the whole prompt is shared in proportion to length.
  return (End - Begin) / WholeTokens * prefillMs(Spec_, 0, WholeTokens);
}

double EngineTimeline::runPass(std::vector<JobState> &Jobs, double Begin,
                               PassObserver *Observer) const {
  int Admitted = 0;
  int Decoding = 0;
  double Context = 0;
  double Memory = 0;
  for (const JobState &State : Jobs)
    if (State.Decoding) {
      ++Decoding;
      Context += State.Job.PromptTokens + State.Produced;
      Memory += State.Job.MemoryTokens;
    }
  Admitted = Decoding;
  const int Steps = Decoding > 0 ? Spec_.StepsPerPass : 1;
  double Duration = 0;
  if (Decoding > 0)
    Duration = Steps * (Spec_.StepMs + Decoding * Spec_.StepPerRequestMs +
                        Context / 1000 * Spec_.StepPerThousandContextMs);
  const double DecodeMs = Duration;
  double Budget = Steps * Spec_.PrefillTokensPerStep;
  bool Prefills = false;
  std::vector<std::size_t> Finished;
  for (std::size_t Index = 0; Index < Jobs.size() && Budget > 0; ++Index) {
    JobState &State = Jobs[Index];
    if (State.Decoding || State.ArrivesAt > Begin)
      continue;
    const bool IsPart = State.Job.OutputTokens <= 0;
    if (!IsPart) {
      const bool Fits = Spec_.MemoryTokens <= 0 ||
                        Memory + State.Job.MemoryTokens <= Spec_.MemoryTokens;
      if (Admitted >= Spec_.Slots || !Fits)
        break;
      ++Admitted;
      Memory += State.Job.MemoryTokens;
    }
    const double Tokens =
        std::min(Budget, State.Job.PromptTokens - State.Prefilled);
    Duration += prefillCost(State, State.Prefilled, State.Prefilled + Tokens);
    State.Prefilled += Tokens;
    Budget -= Tokens;
    Prefills = true;
    if (State.Prefilled >= State.Job.PromptTokens)
      Finished.push_back(Index);
  }
  if (Decoding == 0 && !Prefills)
    return Begin;
  if (Decoding == 0)
    Duration += Spec_.StepMs;
  const double End = Begin + Duration;
  const double PrefillMs = Duration - DecodeMs;
  for (JobState &State : Jobs) {
    if (!State.Decoding)
      continue;
    if (Observer)
      Observer->Loss += interruptionLoss(State.Job.Objective, PrefillMs,
                                         End - State.LastEventAt);
    if (Observer && !State.Late)
      Observer->Loss +=
          State.Job.Objective.LateLoss *
          lateProbability(End - State.LastEventAt,
                          State.Job.Objective.MaxTokenGapMs, TokenGapOnTime);
    State.Late =
        State.Late || (State.Job.Objective.MaxTokenGapMs > 0 &&
                       End - State.LastEventAt >
                           State.Job.Objective.MaxTokenGapMs * SurelyLate);
    State.LastEventAt = End;
    State.Produced += Steps;
  }
  for (const std::size_t Index : Finished) {
    JobState &State = Jobs[Index];
    State.Decoding = true;
    State.LastEventAt = End;
    if (Observer && State.Job.Id == Observer->Id)
      Observer->FirstTokenAt = End;
    const double Limit =
        toMs(State.Job.Objective.FirstTokenBy) - State.ArrivesAt;
    if (!Observer || State.Late || State.Job.Objective.LateLoss <= 0)
      continue;
    const double WaitedMs = End - State.ArrivesAt;
    const double Loss =
        State.Job.Objective.LateLoss *
            lateProbability(WaitedMs, std::max(Limit, 1.0), FirstTokenOnTime) +
        State.Job.Objective.FailLoss *
            lateProbability(WaitedMs, State.Job.Objective.TotalMs,
                            FirstTokenOnTime);
    if (State.Job.WholePromptTokens <= 0)
      Observer->Loss += Loss;
    else if (Loss > 0)
      Observer->SplitPrefillLosses.push_back({State.Job.Id, Loss});
  }
  // A forecast ends a request after its expected output. Otherwise it stays
  // until `remove` is called, since expected outputs are often too short.
  std::erase_if(Jobs, [Observer](const JobState &State) {
    const bool IsPart = State.Job.OutputTokens <= 0;
    return State.Decoding &&
           (IsPart || (Observer && State.Produced >= State.Job.OutputTokens));
  });
  return End;
}

void EngineTimeline::advance(TimePoint Now) {
  const double NowMs = toMs(Now);
  if (Jobs_.empty()) {
    PassEndsAt_ = std::max(PassEndsAt_, NowMs);
    return;
  }
  while (PassEndsAt_ <= NowMs && !Jobs_.empty()) {
    const double End = runPass(Jobs_, PassEndsAt_, nullptr);
    IsBaselineValid_ = false;
    if (End == PassEndsAt_) {
      // The engine is idle until the next arrival.
      const double Next = std::min(NowMs, nextArrival(Jobs_, PassEndsAt_));
      if (Next <= PassEndsAt_)
        break;
      PassEndsAt_ = Next;
      continue;
    }
    PassEndsAt_ = End;
  }
}

void EngineTimeline::add(const EngineJob &Job, TimePoint Now,
                         double TransitMs) {
  advance(Now);
  JobState State;
  State.Job = Job;
  State.ArrivesAt = toMs(Now) + TransitMs;
  if (Jobs_.empty())
    PassEndsAt_ = std::max(PassEndsAt_, State.ArrivesAt);
  insertInOrder(Jobs_, State);
  IsBaselineValid_ = false;
  if (isLongPrefill(Spec_, std::max(Job.PromptTokens, Job.WholePromptTokens),
                    Job.Objective.MaxTokenGapMs)) {
    const double NowMs = toMs(Now);
    LongPrefillMs_ =
        LongPrefillMs_ * std::exp(-(NowMs - LongPrefillUpdatedAt_) /
                                  LongPrefillAveragingMs) +
        prefillCost(State, 0, Job.PromptTokens);
    LongPrefillUpdatedAt_ = NowMs;
  }
}

bool EngineTimeline::isPrefilling(std::uint64_t Id) const {
  return std::any_of(Jobs_.begin(), Jobs_.end(), [Id](const JobState &State) {
    return State.Job.Id == Id && !State.Decoding;
  });
}

int EngineTimeline::shortStreamCount() const {
  return static_cast<int>(
      std::count_if(Jobs_.begin(), Jobs_.end(), [this](const JobState &State) {
        return State.Job.OutputTokens > 0 &&
               !isLongPrefill(Spec_, State.Job.PromptTokens,
                              State.Job.Objective.MaxTokenGapMs);
      }));
}

double EngineTimeline::longPrefillShare(TimePoint Now) const {
  return LongPrefillMs_ *
         std::exp(-(toMs(Now) - LongPrefillUpdatedAt_) /
                  LongPrefillAveragingMs) /
         LongPrefillAveragingMs;
}

void EngineTimeline::remove(std::uint64_t Id, TimePoint Now) {
  advance(Now);
  std::erase_if(Jobs_,
                [Id](const JobState &State) { return State.Job.Id == Id; });
  IsBaselineValid_ = false;
}

void EngineTimeline::markFirstToken(std::uint64_t Id, TimePoint Now) {
  advance(Now);
  for (JobState &State : Jobs_)
    if (State.Job.Id == Id && !State.Decoding) {
      State.Decoding = true;
      State.Prefilled = State.Job.PromptTokens;
      State.LastEventAt = toMs(Now);
      IsBaselineValid_ = false;
    }
}

void EngineTimeline::simulateAhead(std::vector<JobState> Jobs, double Begin,
                                   PassObserver &Observer) const {
  for (JobState &State : Jobs)
    if (State.Produced >= State.Job.OutputTokens * OverdueFrom)
      State.Job.OutputTokens = State.Produced * OverdueFactor;
  double At = Begin;
  double StopAt = -1;
  for (int Pass = 0; Pass < MaxForecastPasses; ++Pass) {
    if (Observer.FirstTokenAt >= 0 && StopAt < 0)
      StopAt = Observer.FirstTokenAt + ForecastTailMs;
    const bool IsAnyWaiting =
        std::any_of(Jobs.begin(), Jobs.end(),
                    [](const JobState &State) { return !State.Decoding; });
    // The newest part is prefilled first, so older parts may be delayed until
    // long after the observed job started.
    const bool IsSplitWaiting =
        std::any_of(Jobs.begin(), Jobs.end(), [](const JobState &State) {
          return !State.Decoding && State.Job.WholePromptTokens > 0;
        });
    const bool IsTailOver = StopAt >= 0 && At > StopAt;
    if (!IsAnyWaiting || (IsTailOver && !IsSplitWaiting))
      break;
    const double End = runPass(Jobs, At, &Observer);
    if (End == At) {
      At = nextArrival(Jobs, At);
      if (std::isinf(At))
        break; // the next prompt does not fit into the memory
      continue;
    }
    At = End;
  }
}

Forecast EngineTimeline::forecast(const EngineJob &Job, TimePoint Now,
                                  double TransitMs) {
  advance(Now);
  const double NowMs = toMs(Now);
  const double Begin = std::max(PassEndsAt_, NowMs);
  if (!IsBaselineValid_) {
    Baseline_ = {};
    simulateAhead(Jobs_, Begin, Baseline_);
    IsBaselineValid_ = true;
  }
  std::vector<JobState> JobsWithNew = Jobs_;
  JobState State;
  State.Job = Job;
  // The caller computes the loss of the new job.
  State.Job.Objective.LateLoss = 0;
  State.ArrivesAt = NowMs + TransitMs;
  insertInOrder(JobsWithNew, State);
  PassObserver Observer;
  Observer.Id = Job.Id;
  simulateAhead(std::move(JobsWithNew), Begin, Observer);
  Forecast Result;
  Result.FirstTokenMs = Observer.FirstTokenAt < 0
                            ? NoFirstTokenMs
                            : Observer.FirstTokenAt - NowMs;
  Result.LossToOthers = std::max(0.0, Observer.Loss - Baseline_.Loss);
  for (SplitPrefillLoss &Delayed : Observer.SplitPrefillLosses) {
    for (const SplitPrefillLoss &Before : Baseline_.SplitPrefillLosses)
      if (Before.Id == Delayed.Id)
        Delayed.Loss -= Before.Loss;
    if (Delayed.Loss > 0)
      Result.LossToSplitPrefills.push_back(Delayed);
  }
  return Result;
}

double EngineTimeline::memoryInUse() const {
  double Sum = 0;
  for (const JobState &State : Jobs_)
    Sum += State.Job.MemoryTokens;
  return Sum;
}

} // namespace cassiashed::engine
