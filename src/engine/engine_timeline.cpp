#include "cassiashed/engine/engine_timeline.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cassiashed::engine {
namespace {

/// Passes simulated ahead before a job counts as not started.
constexpr int MaxForecastPasses = 400;
/// A forecast ends this long after the watched job started, since what comes
/// later is governed by work that has not arrived yet.
constexpr double ForecastTailMs = 400;
/// Below the first share of its limit a first token or a pause is surely on
/// time, above SurelyLate surely late. First tokens are also delayed by prompts
/// that have not arrived yet, so their range is wider.
constexpr double FirstTokenOnTime = 0.7;
constexpr double PauseOnTime = 0.85;
constexpr double SurelyLate = 1.05;
/// A request that has produced this part of its expected output is expected to
/// produce as much again as the factor says: lengths are spread widely.
constexpr double OverdueFrom = 0.8;
constexpr double OverdueFactor = 1.3;
/// Time over which the share of long reads is averaged: some of them arrive in
/// it even when they are rare, and the mix changes within some of it.
constexpr double LongReadMemoryMs = 3000;
/// Callers leave a stream after this silence, or after this many of its
/// longest pauses if that is longer.
constexpr double LeastPatienceMs = 2000;
constexpr double PatiencePauses = 8;
/// Forecast of a first token that no simulated pass produced, in ms.
constexpr double Never = 1e9;

double toMs(TimePoint When) {
  return std::chrono::duration<double, std::milli>(When.time_since_epoch())
      .count();
}

} // namespace

double EngineTimeline::nextArrival(const std::vector<Running> &Jobs,
                                   double After) {
  double Next = std::numeric_limits<double>::infinity();
  for (const Running &Entry : Jobs)
    if (Entry.ArrivesAt > After)
      Next = std::min(Next, Entry.ArrivesAt);
  return Next;
}

void EngineTimeline::insertInOrder(std::vector<Running> &Jobs,
                                   const Running &Entry) {
  // Parts of prompts of other engines come first, the newest one before the
  // others; then urgent requests.
  const auto Rank = [](const Running &Each) {
    if (Each.Job.OutputTokens <= 0)
      return 0;
    return Each.Job.Urgent ? 1 : 2;
  };
  const auto Place =
      std::find_if(Jobs.begin(), Jobs.end(), [&](const Running &Other) {
        if (Other.Decoding)
          return false;
        if (Rank(Entry) == 0)
          return true;
        // A prompt that is partly read keeps its place, except for parts.
        return Other.Prefilled <= 0 && Rank(Other) > Rank(Entry);
      });
  Jobs.insert(Place, Entry);
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
  const double PatienceMs =
      std::max(LeastPatienceMs, Objective.MaxTokenGapMs * PatiencePauses);
  if (GapMs > PatienceMs)
    return Objective.FailLoss;
  // Each interruption uses up a part of the time that the stream has.
  return Objective.TotalMs > 0
             ? Objective.FailLoss * PrefillMs / Objective.TotalMs
             : 0;
}

double EngineTimeline::prefillCost(const Running &Entry, double Begin,
                                   double End) const {
  const double Whole = Entry.Job.WholePromptTokens;
  if (Whole <= Entry.Job.PromptTokens)
    return prefillMs(Spec_, Begin, End);
  // A part has its share of the pairs of the whole prompt.
  return (End - Begin) / Whole * prefillMs(Spec_, 0, Whole);
}

double EngineTimeline::runPass(std::vector<Running> &Jobs, double Begin,
                               PassWatch *Watch) const {
  int Admitted = 0;
  int Decoding = 0;
  double Context = 0;
  double Memory = 0;
  for (const Running &Entry : Jobs)
    if (Entry.Decoding) {
      ++Decoding;
      Context += Entry.Job.PromptTokens + Entry.Produced;
      Memory += Entry.Job.MemoryTokens;
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
    Running &Entry = Jobs[Index];
    if (Entry.Decoding || Entry.ArrivesAt > Begin)
      continue;
    const bool IsPart = Entry.Job.OutputTokens <= 0;
    if (!IsPart) {
      const bool Fits = Spec_.MemoryTokens <= 0 ||
                        Memory + Entry.Job.MemoryTokens <= Spec_.MemoryTokens;
      if (Admitted >= Spec_.Slots || !Fits)
        break;
      ++Admitted;
      Memory += Entry.Job.MemoryTokens;
    }
    const double Tokens =
        std::min(Budget, Entry.Job.PromptTokens - Entry.Prefilled);
    Duration += prefillCost(Entry, Entry.Prefilled, Entry.Prefilled + Tokens);
    Entry.Prefilled += Tokens;
    Budget -= Tokens;
    Prefills = true;
    if (Entry.Prefilled >= Entry.Job.PromptTokens)
      Finished.push_back(Index);
  }
  if (Decoding == 0 && !Prefills)
    return Begin;
  if (Decoding == 0)
    Duration += Spec_.StepMs;
  const double End = Begin + Duration;
  const double PrefillMs = Duration - DecodeMs;
  for (Running &Entry : Jobs) {
    if (!Entry.Decoding)
      continue;
    if (Watch)
      Watch->Loss += interruptionLoss(Entry.Job.Objective, PrefillMs,
                                      End - Entry.LastEventAt);
    if (Watch && !Entry.Late)
      Watch->Loss +=
          Entry.Job.Objective.LateLoss *
          lateProbability(End - Entry.LastEventAt,
                          Entry.Job.Objective.MaxTokenGapMs, PauseOnTime);
    Entry.Late =
        Entry.Late || (Entry.Job.Objective.MaxTokenGapMs > 0 &&
                       End - Entry.LastEventAt >
                           Entry.Job.Objective.MaxTokenGapMs * SurelyLate);
    Entry.LastEventAt = End;
    Entry.Produced += Steps;
  }
  for (const std::size_t Index : Finished) {
    Running &Entry = Jobs[Index];
    Entry.Decoding = true;
    Entry.LastEventAt = End;
    if (Watch && Entry.Job.Id == Watch->Id)
      Watch->FirstTokenAt = End;
    const double Limit =
        toMs(Entry.Job.Objective.FirstTokenBy) - Entry.ArrivesAt;
    if (!Watch || Entry.Late || Entry.Job.Objective.LateLoss <= 0)
      continue;
    const double WaitedMs = End - Entry.ArrivesAt;
    const double Loss =
        Entry.Job.Objective.LateLoss *
            lateProbability(WaitedMs, std::max(Limit, 1.0), FirstTokenOnTime) +
        Entry.Job.Objective.FailLoss *
            lateProbability(WaitedMs, Entry.Job.Objective.TotalMs,
                            FirstTokenOnTime);
    if (Entry.Job.WholePromptTokens <= 0)
      Watch->Loss += Loss;
    else if (Loss > 0)
      Watch->SplitPrefillLosses.push_back({Entry.Job.Id, Loss});
  }
  // A request that is only foreseen ends when its expected output is done. One
  // that runs ends when its node says so, since estimates are often too short.
  std::erase_if(Jobs, [Watch](const Running &Entry) {
    const bool IsPart = Entry.Job.OutputTokens <= 0;
    return Entry.Decoding &&
           (IsPart || (Watch && Entry.Produced >= Entry.Job.OutputTokens));
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
    BaselineIsKnown_ = false;
    if (End == PassEndsAt_) {
      // Nothing runs before the next arrival.
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
  Running Entry;
  Entry.Job = Job;
  Entry.ArrivesAt = toMs(Now) + TransitMs;
  if (Jobs_.empty())
    PassEndsAt_ = std::max(PassEndsAt_, Entry.ArrivesAt);
  insertInOrder(Jobs_, Entry);
  BaselineIsKnown_ = false;
  if (isLongPrefill(Spec_, std::max(Job.PromptTokens, Job.WholePromptTokens),
                    Job.Objective.MaxTokenGapMs)) {
    const double NowMs = toMs(Now);
    LongReadMs_ =
        LongReadMs_ * std::exp(-(NowMs - LongReadAt_) / LongReadMemoryMs) +
        prefillCost(Entry, 0, Job.PromptTokens);
    LongReadAt_ = NowMs;
  }
}

bool EngineTimeline::isPrefilling(std::uint64_t Id) const {
  return std::any_of(Jobs_.begin(), Jobs_.end(), [Id](const Running &Entry) {
    return Entry.Job.Id == Id && !Entry.Decoding;
  });
}

int EngineTimeline::shortStreamCount() const {
  return static_cast<int>(
      std::count_if(Jobs_.begin(), Jobs_.end(), [this](const Running &Entry) {
        return Entry.Job.OutputTokens > 0 &&
               !isLongPrefill(Spec_, Entry.Job.PromptTokens,
                              Entry.Job.Objective.MaxTokenGapMs);
      }));
}

double EngineTimeline::longPrefillShare(TimePoint Now) const {
  return LongReadMs_ * std::exp(-(toMs(Now) - LongReadAt_) / LongReadMemoryMs) /
         LongReadMemoryMs;
}

void EngineTimeline::remove(std::uint64_t Id, TimePoint Now) {
  advance(Now);
  std::erase_if(Jobs_,
                [Id](const Running &Entry) { return Entry.Job.Id == Id; });
  BaselineIsKnown_ = false;
}

void EngineTimeline::markFirstToken(std::uint64_t Id, TimePoint Now) {
  advance(Now);
  for (Running &Entry : Jobs_)
    if (Entry.Job.Id == Id && !Entry.Decoding) {
      Entry.Decoding = true;
      Entry.Prefilled = Entry.Job.PromptTokens;
      Entry.LastEventAt = toMs(Now);
      BaselineIsKnown_ = false;
    }
}

void EngineTimeline::runAhead(std::vector<Running> Jobs, double Begin,
                              PassWatch &Watch) const {
  for (Running &Entry : Jobs)
    if (Entry.Produced >= Entry.Job.OutputTokens * OverdueFrom)
      Entry.Job.OutputTokens = Entry.Produced * OverdueFactor;
  double At = Begin;
  double StopAt = -1;
  for (int Pass = 0; Pass < MaxForecastPasses; ++Pass) {
    if (Watch.FirstTokenAt >= 0 && StopAt < 0)
      StopAt = Watch.FirstTokenAt + ForecastTailMs;
    const bool Waiting =
        std::any_of(Jobs.begin(), Jobs.end(),
                    [](const Running &Entry) { return !Entry.Decoding; });
    // Prompts that several engines read are delayed beyond the watched job's
    // start, since the newest part is read first.
    const bool SplitWaits =
        std::any_of(Jobs.begin(), Jobs.end(), [](const Running &Entry) {
          return !Entry.Decoding && Entry.Job.WholePromptTokens > 0;
        });
    const bool TailIsOver = StopAt >= 0 && At > StopAt;
    if (!Waiting || (TailIsOver && !SplitWaits))
      break;
    const double End = runPass(Jobs, At, &Watch);
    if (End == At) {
      At = nextArrival(Jobs, At);
      if (std::isinf(At))
        break; // a prompt that does not fit
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
  if (!BaselineIsKnown_) {
    Baseline_ = {};
    runAhead(Jobs_, Begin, Baseline_);
    BaselineIsKnown_ = true;
  }
  std::vector<Running> With = Jobs_;
  Running Entry;
  Entry.Job = Job;
  Entry.Job.Objective.LateLoss = 0; // the caller weighs the new job itself
  Entry.ArrivesAt = NowMs + TransitMs;
  insertInOrder(With, Entry);
  PassWatch Watch;
  Watch.Id = Job.Id;
  runAhead(std::move(With), Begin, Watch);
  Forecast Result;
  Result.FirstTokenMs =
      Watch.FirstTokenAt < 0 ? Never : Watch.FirstTokenAt - NowMs;
  Result.LossToOthers = std::max(0.0, Watch.Loss - Baseline_.Loss);
  for (SplitPrefillLoss &Each : Watch.SplitPrefillLosses) {
    for (const SplitPrefillLoss &Before : Baseline_.SplitPrefillLosses)
      if (Before.Id == Each.Id)
        Each.Loss -= Before.Loss;
    if (Each.Loss > 0)
      Result.LossToSplitPrefills.push_back(Each);
  }
  return Result;
}

double EngineTimeline::memoryInUse() const {
  double Sum = 0;
  for (const Running &Entry : Jobs_)
    Sum += Entry.Job.MemoryTokens;
  return Sum;
}

} // namespace cassiashed::engine
