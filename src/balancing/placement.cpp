#include "cassiashed/balancing/placement.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <numeric>
#include <unordered_map>
#include <utility>

namespace cassiashed::balancing {
namespace {

using engine::EngineJob;
using engine::EngineSpec;
using engine::Forecast;
using engine::SplitPrefillLoss;

/// Numbers of engines to try for one prompt.
constexpr std::array<std::size_t, 10> EngineCounts = {1, 2,  3,  4,  6,
                                                      8, 10, 12, 14, 17};
/// Loss per second until the first token: a constant, plus a share of the
/// request's value. Among engines that are all in time, or all late, those that
/// finish first leave more capacity for later requests.
constexpr double DelayLossPerSecond = 0.2;
constexpr double DelayLossShare = 0.05;
/// A predicted first token counts as surely on time up to OnTimeUpTo of its
/// limit, and as surely late from LateFrom on. The range is wide since
/// predictions are uncertain, mostly because later requests delay the first
/// token.
constexpr double OnTimeUpTo = 0.5;
constexpr double LateFrom = 1.1;
/// Value lost by later requests when an engine's slots fill up: CongestionCost
/// times the square of the requests per slot above CongestionFrom.
constexpr double CongestionCost = 0.6;
constexpr double CongestionFrom = 0.4;
/// Loss when a short request is the first stream of an engine while long
/// prefills take all the time of all engines: each long prefill there now
/// interrupts a stream, which costs about as much as one late short request.
/// Falls by the factor e for each FirstStreamDecay streams that the engine
/// already has, since these are interrupted anyway.
constexpr double FirstStreamCost = 1;
constexpr double FirstStreamDecay = 3;

double ownLoss(const PlacementRequest &Request, double FirstTokenMs,
               const PlacementOptions &Options) {
  if (FirstTokenMs >= Request.DeadlineMs)
    return Request.Value;
  const double Lateness =
      Request.FirstTokenMs <= 0
          ? 1
          : std::clamp((FirstTokenMs / Request.FirstTokenMs - OnTimeUpTo) /
                           (LateFrom - OnTimeUpTo),
                       0.0, 1.0);
  return Request.Value * (1 - Options.LateValueFraction) * Lateness +
         (DelayLossPerSecond + DelayLossShare * Request.Value) * FirstTokenMs /
             1000;
}

double congestionLoss(const EngineCandidate &Candidate,
                      const EngineSpec &Spec) {
  const double PerSlot =
      static_cast<double>(Candidate.Timeline->jobCount() + 1) /
      std::max(1, Spec.Slots);
  const double Over = std::max(0.0, PerSlot - CongestionFrom);
  return CongestionCost * Over * Over;
}

double meanLongPrefillShare(const std::vector<EngineCandidate> &Candidates,
                            TimePoint Now) {
  double Sum = 0;
  for (const EngineCandidate &Candidate : Candidates)
    Sum += Candidate.Timeline->longPrefillShare(Now);
  return std::min(1.0, Sum / static_cast<double>(Candidates.size()));
}

/// Value of one second of an engine when long prefills take all the time: about
/// the value of the short requests of a full engine (slots / duration x value).
constexpr double ScarceSecondValue = 12;
/// Up to this share of long prefills, later requests find other engines.
constexpr double ScarceFromShare = 0.3;

/// Predicted effect of using one engine.
struct Assessment {
  std::size_t Candidate = 0;
  double FirstTokenMs = 0;
  double Loss = 0; ///< without split prefills
  std::vector<SplitPrefillLoss> SplitPrefillLosses;
  double SplitLossSum = 0;
};

/// Value that split prefills lose on all chosen engines. The loss of a prompt
/// counts once, even if several of the engines delay it.
double splitLoss(const std::vector<Assessment> &Chosen) {
  std::unordered_map<std::uint64_t, double> LargestById;
  for (const Assessment &Engine : Chosen)
    for (const SplitPrefillLoss &Loss : Engine.SplitPrefillLosses) {
      double &Largest = LargestById[Loss.Id];
      Largest = std::max(Largest, Loss.Loss);
    }
  double Sum = 0;
  for (const auto &[Id, Loss] : LargestById)
    Sum += Loss;
  return Sum;
}

double freeMemory(const EngineCandidate &Candidate, const EngineSpec &Spec,
                  const PlacementOptions &Options) {
  if (Spec.MemoryTokens <= 0)
    return 1e18;
  return std::max(0.0, Spec.MemoryTokens - Candidate.Timeline->memoryInUse()) *
         Options.UsableMemory;
}

/// Smaller reservations are not worth their call.
constexpr double MinReservationTokens = 1000;

/// Distributes the memory of the request over the engines: reservations at the
/// helpers, the remainder at the decode engine. Returns false if it does not
/// fit.
bool assignMemory(const PlacementRequest &Request,
                  const std::vector<EngineCandidate> &Candidates,
                  const EngineSpec &Spec, const PlacementOptions &Options,
                  std::vector<PromptPart> &Parts) {
  const double Needed = Request.PromptTokens + Request.OutputTokens;
  // A single engine may wait for memory that is in use. With helpers, what does
  // not fit into the free memory of the decode engine is reserved at them.
  const double FreeAtDecodeEngine =
      freeMemory(Candidates[Parts.front().Candidate], Spec, Options);
  double Remaining = Needed;
  for (std::size_t Index = 1;
       Index < Parts.size() && Remaining > FreeAtDecodeEngine; ++Index) {
    const double Free = std::floor(
        freeMemory(Candidates[Parts[Index].Candidate], Spec, Options));
    if (Free < MinReservationTokens)
      continue;
    // Reservations are in whole tokens; a fraction would remain unreserved.
    const double Reserved =
        std::min(Free, std::max(MinReservationTokens,
                                std::ceil(Remaining - FreeAtDecodeEngine)));
    Parts[Index].ReservedTokens = Reserved;
    Parts[Index].MemoryTokens = Reserved;
    Remaining -= Reserved;
  }
  Parts.front().MemoryTokens = Remaining;
  return Spec.MemoryTokens <= 0 || Remaining <= FreeAtDecodeEngine ||
         (Parts.size() == 1 &&
          Remaining <= Spec.MemoryTokens * Options.UsableMemory);
}

} // namespace

EngineJob makeJob(const PlacementRequest &Request, const PromptPart &Part,
                  bool IsDecodeEngine, TimePoint Now,
                  const PlacementOptions &Options) {
  EngineJob Job;
  Job.Id = Request.Id;
  Job.PromptTokens = Part.PromptTokens;
  if (Part.PromptTokens < Request.PromptTokens)
    Job.WholePromptTokens = Request.PromptTokens;
  Job.MemoryTokens = Part.MemoryTokens;
  Job.Urgent = Request.Urgent;
  Job.Objective.MaxTokenGapMs = Request.MaxTokenGapMs;
  // The first token needs all parts, so each part gets its latency limit.
  Job.Objective.FirstTokenBy =
      Now +
      std::chrono::duration_cast<TimePoint::duration>(
          std::chrono::duration<double, std::milli>(Request.FirstTokenMs));
  Job.Objective.LateLoss = Request.Value * (1 - Options.LateValueFraction);
  Job.Objective.FailLoss = Request.Value * Options.LateValueFraction;
  Job.Objective.TotalMs = Request.DeadlineMs;
  if (IsDecodeEngine)
    Job.OutputTokens = std::max(1.0, Request.OutputTokens);
  return Job;
}

std::string_view nameOf(PlacementFailureReason Reason) {
  static constexpr std::array<std::string_view, 5> Names = {
      "none", "helpers", "memory", "time", "length"};
  return Names[static_cast<std::size_t>(Reason)];
}

bool couldRunWhenIdle(const PlacementRequest &Request, const EngineSpec &Spec,
                      std::size_t EngineCount,
                      const PlacementOptions &Options) {
  if (Request.PromptTokens < Options.MinSplitTokens)
    EngineCount = std::min<std::size_t>(EngineCount, 1);
  const auto Used =
      static_cast<double>(std::min(EngineCount, Options.MaxEngines));
  const bool Fits = Spec.MemoryTokens <= 0 ||
                    Request.PromptTokens + Request.OutputTokens <=
                        Used * Spec.MemoryTokens * Options.UsableMemory;
  return Fits && engine::prefillMs(Spec, 0, Request.PromptTokens) <
                     Used * Request.DeadlineMs;
}

double freeTokens(const std::vector<EngineCandidate> &Candidates,
                  const EngineSpec &Spec, const PlacementOptions &Options) {
  std::vector<double> Free;
  for (const EngineCandidate &Candidate : Candidates)
    if (Candidate.CanHelp)
      Free.push_back(freeMemory(Candidate, Spec, Options));
  const std::size_t Used = std::min(Free.size(), Options.MaxEngines);
  std::partial_sort(Free.begin(), Free.begin() + static_cast<long>(Used),
                    Free.end(), std::greater<>());
  return std::accumulate(Free.begin(), Free.begin() + static_cast<long>(Used),
                         0.0);
}

namespace {

/// Inputs of one call of `choosePlacement`.
struct PlacementContext {
  const PlacementRequest &Request;
  const std::vector<EngineCandidate> &Candidates;
  const EngineSpec &Spec;
  TimePoint Now;
  const PlacementOptions &Options;
  double FirstStreamLoss = 0; ///< of the first stream on an engine
};

PlacementContext makeContext(const PlacementRequest &Request,
                             const std::vector<EngineCandidate> &Candidates,
                             const EngineSpec &Spec, TimePoint Now,
                             const PlacementOptions &Options,
                             double LongPrefillShare) {
  const bool IsLong =
      engine::isLongPrefill(Spec, Request.PromptTokens, Request.MaxTokenGapMs);
  return {Request, Candidates, Spec,
          Now,     Options,    IsLong ? 0 : FirstStreamCost * LongPrefillShare};
}

Assessment assess(const PlacementContext &Context, std::size_t Index,
                  const PromptPart &Part, bool IsDecodeEngine) {
  const EngineCandidate &Candidate = Context.Candidates[Index];
  Forecast Predicted = Candidate.Timeline->forecast(
      makeJob(Context.Request, Part, IsDecodeEngine, Context.Now,
              Context.Options),
      Context.Now, Candidate.TransitMs);
  Assessment Result;
  Result.Candidate = Index;
  Result.FirstTokenMs = Predicted.FirstTokenMs;
  Result.Loss = Predicted.LossToOthers + Candidate.SuspicionPenalty +
                congestionLoss(Candidate, Context.Spec);
  Result.Loss +=
      Context.FirstStreamLoss *
      std::exp(-Candidate.Timeline->shortStreamCount() / FirstStreamDecay);
  for (const SplitPrefillLoss &Loss : Predicted.LossToSplitPrefills)
    Result.SplitLossSum += Loss.Loss;
  Result.SplitPrefillLosses = std::move(Predicted.LossToSplitPrefills);
  return Result;
}

/// The `EngineCount` engines that cost the least, or fewer if too few can help.
/// The first one is the decode engine.
std::vector<Assessment> cheapestEngines(const PlacementContext &Context,
                                        std::size_t EngineCount,
                                        const PromptPart &Part) {
  std::vector<Assessment> Ranked;
  Ranked.reserve(Context.Candidates.size());
  // With several engines all are assessed as helpers at first.
  for (std::size_t Index = 0; Index < Context.Candidates.size(); ++Index)
    Ranked.push_back(assess(Context, Index, Part, EngineCount == 1));
  const auto Cost = [&](const Assessment &Engine) {
    return Engine.Loss + Engine.SplitLossSum +
           ownLoss(Context.Request, Engine.FirstTokenMs, Context.Options);
  };
  std::sort(Ranked.begin(), Ranked.end(),
            [&](const Assessment &Left, const Assessment &Right) {
              return Cost(Left) < Cost(Right);
            });
  std::vector<Assessment> Chosen;
  for (Assessment &Engine : Ranked) {
    if (Chosen.size() == EngineCount)
      break;
    if (EngineCount == 1 || Context.Candidates[Engine.Candidate].CanHelp)
      Chosen.push_back(std::move(Engine));
  }
  if (EngineCount == 1 || Chosen.size() < EngineCount)
    return Chosen;
  // The engine with the most free memory becomes the decode engine.
  const auto Free = [&](const Assessment &Engine) {
    return freeMemory(Context.Candidates[Engine.Candidate], Context.Spec,
                      Context.Options);
  };
  const auto MostFree =
      std::max_element(Chosen.begin(), Chosen.end(),
                       [&](const Assessment &Left, const Assessment &Right) {
                         return Free(Left) < Free(Right);
                       });
  std::iter_swap(Chosen.begin(), MostFree);
  Chosen.front() = assess(Context, Chosen.front().Candidate, Part, true);
  return Chosen;
}

} // namespace

std::optional<Placement>
choosePlacement(const PlacementRequest &Request,
                const std::vector<EngineCandidate> &Candidates,
                const EngineSpec &Spec, TimePoint Now,
                const PlacementOptions &Options,
                PlacementFailureReason *FailureReason) {
  PlacementFailureReason LastFailure = PlacementFailureReason::None;
  std::optional<Placement> Best;
  const double Share = meanLongPrefillShare(Candidates, Now);
  const PlacementContext Context =
      makeContext(Request, Candidates, Spec, Now, Options, Share);
  const double PrefillSeconds =
      engine::prefillMs(Spec, 0, Request.PromptTokens) / 1000;
  const double LossToLater =
      PrefillSeconds * ScarceSecondValue *
      std::clamp((Share - ScarceFromShare) / (1 - ScarceFromShare), 0.0, 1.0);
  for (const std::size_t EngineCount : EngineCounts) {
    if (EngineCount > Options.MaxEngines || EngineCount > Candidates.size())
      break;
    if (EngineCount > 1 && Request.PromptTokens < Options.MinSplitTokens)
      break;
    PromptPart Part;
    Part.PromptTokens = Request.PromptTokens / static_cast<double>(EngineCount);
    Part.MemoryTokens =
        EngineCount > 1 ? 0 : Request.PromptTokens + Request.OutputTokens;
    const std::vector<Assessment> Chosen =
        cheapestEngines(Context, EngineCount, Part);
    if (Chosen.size() < EngineCount) {
      LastFailure = PlacementFailureReason::Helpers;
      continue;
    }
    Placement Option;
    for (const Assessment &Engine : Chosen) {
      PromptPart Placed;
      Placed.Candidate = Engine.Candidate;
      Placed.PromptTokens = Part.PromptTokens;
      Option.Parts.push_back(Placed);
      Option.FirstTokenMs = std::max(Option.FirstTokenMs, Engine.FirstTokenMs);
      Option.Loss += Engine.Loss;
    }
    Option.Loss += splitLoss(Chosen);
    if (!assignMemory(Request, Candidates, Spec, Options, Option.Parts)) {
      LastFailure = PlacementFailureReason::Memory;
      continue;
    }
    Option.LossToOthers = Option.Loss;
    Option.LossToLater = LossToLater;
    Option.Loss += ownLoss(Request, Option.FirstTokenMs, Options) +
                   Request.Value * Options.HelperCost *
                       static_cast<double>(EngineCount - 1);
    // Admission decides later whether the request is worth its cost.
    if (!Best ||
        std::pair(Option.FirstTokenMs >= Request.DeadlineMs, Option.Loss) <
            std::pair(Best->FirstTokenMs >= Request.DeadlineMs, Best->Loss))
      Best = std::move(Option);
  }
  if (FailureReason)
    *FailureReason = Best ? PlacementFailureReason::None : LastFailure;
  return Best;
}

} // namespace cassiashed::balancing
