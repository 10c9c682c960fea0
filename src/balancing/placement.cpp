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

/// Numbers of engines that are tried for one prompt.
constexpr std::array<std::size_t, 10> SplitSizes = {1, 2,  3,  4,  6,
                                                    8, 10, 12, 14, 17};
/// Value of one second of earlier first token: a constant, and a part of the
/// request's value. Among engines that are all in time, or all late, those
/// that are done first leave more room for what comes next.
constexpr double EarlinessPerSecond = 0.2;
constexpr double EarlinessOfValue = 0.05;
/// Predicted first tokens, in parts of their limit, up to which a request is
/// surely on time and from which on it is surely late: half of the predictions
/// err by more than 20 percent, mostly since later work comes in between.
constexpr double OnTimeUpTo = 0.5;
constexpr double LateFrom = 1.1;
/// Value lost by later requests when an engine's slots fill up: grows with the
/// square of the load above the start, in requests per slot.
constexpr double CongestionCost = 0.6;
constexpr double CongestionFrom = 0.4;
/// Value lost by long reads when a short request is placed on an engine that
/// has no stream yet, while long reads take all the time of all engines: the
/// engine's reading then pauses a stream, which is about what a late short
/// request loses. It falls with the streams that are
/// paused anyway, by the factor e for this number of them.
constexpr double OpeningCost = 1;
constexpr double OpeningStreams = 3;

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
  return Request.Value * (1 - Options.LateShare) * Lateness +
         (EarlinessPerSecond + EarlinessOfValue * Request.Value) *
             FirstTokenMs / 1000;
}

double congestionLoss(const EngineCandidate &Candidate,
                      const EngineSpec &Spec) {
  const double PerSlot =
      static_cast<double>(Candidate.Timeline->jobCount() + 1) /
      std::max(1, Spec.Slots);
  const double Over = std::max(0.0, PerSlot - CongestionFrom);
  return CongestionCost * Over * Over;
}

double longPrefillShare(const std::vector<EngineCandidate> &Candidates,
                        TimePoint Now) {
  double Sum = 0;
  for (const EngineCandidate &Each : Candidates)
    Sum += Each.Timeline->longPrefillShare(Now);
  return std::min(1.0, Sum / static_cast<double>(Candidates.size()));
}

/// Value of an engine's second when long reads take all the time: about what
/// the short requests of a full engine are worth (slots / duration x value).
/// Below the second share of long reads later requests find other engines.
constexpr double ScarceSecond = 12;
constexpr double ScarceFrom = 0.3;

/// What using one engine means.
struct Assessment {
  std::size_t Candidate = 0;
  double FirstTokenMs = 0;
  double Loss = 0; ///< other than of prompts that several engines read
  std::vector<SplitPrefillLoss> SplitPrefillLosses;
  double SplitSum = 0; ///< of them
};

/// Value that prompts which several engines read lose on all engines of a
/// choice: a prompt that more than one of them delays is late once.
double splitLoss(const std::vector<Assessment> &Chosen) {
  std::unordered_map<std::uint64_t, double> Worst;
  for (const Assessment &Each : Chosen)
    for (const SplitPrefillLoss &Loss : Each.SplitPrefillLosses) {
      double &Known = Worst[Loss.Id];
      Known = std::max(Known, Loss.Loss);
    }
  double Sum = 0;
  for (const auto &[Id, Loss] : Worst)
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

/// Tokens below which a reservation is not worth its call.
constexpr double LeastReservation = 1000;

/// Distributes the memory of the request: reservations at the helpers, the
/// rest at the first engine. Returns false if it does not fit.
bool assignMemory(const PlacementRequest &Request,
                  const std::vector<EngineCandidate> &Candidates,
                  const EngineSpec &Spec, const PlacementOptions &Options,
                  std::vector<PromptPart> &Parts) {
  const double Needed = Request.PromptTokens + Request.OutputTokens;
  // The first engine waits for memory that is in use, so only what never
  // fits has to be reserved elsewhere; what does not fit now is preferred
  // elsewhere too.
  const double AtFirst =
      freeMemory(Candidates[Parts.front().Candidate], Spec, Options);
  double Rest = Needed;
  for (std::size_t Index = 1; Index < Parts.size() && Rest > AtFirst; ++Index) {
    const double Free = std::floor(
        freeMemory(Candidates[Parts[Index].Candidate], Spec, Options));
    if (Free < LeastReservation)
      continue;
    // Reservations are in whole tokens; a fraction would be left over.
    const double Taken =
        std::min(Free, std::max(LeastReservation, std::ceil(Rest - AtFirst)));
    Parts[Index].ReservedTokens = Taken;
    Parts[Index].MemoryTokens = Taken;
    Rest -= Taken;
  }
  Parts.front().MemoryTokens = Rest;
  return Spec.MemoryTokens <= 0 || Rest <= AtFirst ||
         (Parts.size() == 1 &&
          Rest <= Spec.MemoryTokens * Options.UsableMemory);
}

} // namespace

EngineJob makeJob(const PlacementRequest &Request, const PromptPart &Part,
                  bool Writes, TimePoint Now, const PlacementOptions &Options) {
  EngineJob Job;
  Job.Id = Request.Id;
  Job.PromptTokens = Part.PromptTokens;
  if (Part.PromptTokens < Request.PromptTokens)
    Job.WholePromptTokens = Request.PromptTokens;
  Job.MemoryTokens = Part.MemoryTokens;
  Job.Urgent = Request.Urgent;
  Job.Objective.MaxTokenGapMs = Request.MaxTokenGapMs;
  // The first token follows the last part, so each part can make it late.
  Job.Objective.FirstTokenBy =
      Now +
      std::chrono::duration_cast<TimePoint::duration>(
          std::chrono::duration<double, std::milli>(Request.FirstTokenMs));
  Job.Objective.LateLoss = Request.Value * (1 - Options.LateShare);
  Job.Objective.FailLoss = Request.Value * Options.LateShare;
  Job.Objective.TotalMs = Request.DeadlineMs;
  if (Writes)
    Job.OutputTokens = std::max(1.0, Request.OutputTokens);
  return Job;
}

std::string_view nameOf(PlacementFailureReason PlacementReason) {
  static constexpr std::array<std::string_view, 5> Names = {
      "none", "helpers", "memory", "time", "length"};
  return Names[static_cast<std::size_t>(PlacementReason)];
}

bool couldRunWhenIdle(const PlacementRequest &Request, const EngineSpec &Spec,
                      std::size_t Engines, const PlacementOptions &Options) {
  if (Request.PromptTokens < Options.MinSplitTokens)
    Engines = std::min<std::size_t>(Engines, 1);
  const auto Used = static_cast<double>(std::min(Engines, Options.MaxEngines));
  const bool Fits = Spec.MemoryTokens <= 0 ||
                    Request.PromptTokens + Request.OutputTokens <=
                        Used * Spec.MemoryTokens * Options.UsableMemory;
  return Fits && engine::prefillMs(Spec, 0, Request.PromptTokens) <
                     Used * Request.DeadlineMs;
}

double freeTokens(const std::vector<EngineCandidate> &Candidates,
                  const EngineSpec &Spec, const PlacementOptions &Options) {
  std::vector<double> Free;
  for (const EngineCandidate &Each : Candidates)
    if (Each.CanHelp)
      Free.push_back(freeMemory(Each, Spec, Options));
  const std::size_t Used = std::min(Free.size(), Options.MaxEngines);
  std::partial_sort(Free.begin(), Free.begin() + static_cast<long>(Used),
                    Free.end(), std::greater<>());
  return std::accumulate(Free.begin(), Free.begin() + static_cast<long>(Used),
                         0.0);
}

namespace {

/// One search for engines.
struct Search {
  const PlacementRequest &Request;
  const std::vector<EngineCandidate> &Candidates;
  const EngineSpec &Spec;
  TimePoint Now;
  const PlacementOptions &Options;
  double OpeningLoss = 0; ///< of a stream on an engine that has none
};

Search makeSearch(const PlacementRequest &Request,
                  const std::vector<EngineCandidate> &Candidates,
                  const EngineSpec &Spec, TimePoint Now,
                  const PlacementOptions &Options, double LongReads) {
  const bool IsLong =
      engine::isLongPrefill(Spec, Request.PromptTokens, Request.MaxTokenGapMs);
  return {Request, Candidates, Spec,
          Now,     Options,    IsLong ? 0 : OpeningCost * LongReads};
}

Assessment assess(const Search &For, std::size_t Index, const PromptPart &Part,
                  bool Writes) {
  const EngineCandidate &Each = For.Candidates[Index];
  Forecast Next = Each.Timeline->forecast(
      makeJob(For.Request, Part, Writes, For.Now, For.Options), For.Now,
      Each.TransitMs);
  Assessment Result;
  Result.Candidate = Index;
  Result.FirstTokenMs = Next.FirstTokenMs;
  Result.Loss = Next.LossToOthers + Each.SuspicionPenalty +
                congestionLoss(Each, For.Spec);
  Result.Loss += For.OpeningLoss *
                 std::exp(-Each.Timeline->shortStreamCount() / OpeningStreams);
  for (const SplitPrefillLoss &Loss : Next.LossToSplitPrefills)
    Result.SplitSum += Loss.Loss;
  Result.SplitPrefillLosses = std::move(Next.LossToSplitPrefills);
  return Result;
}

/// The `Size` engines that cost the least; fewer if too few may help. The first
/// one writes the answer.
std::vector<Assessment> cheapestEngines(const Search &For, std::size_t Size,
                                        const PromptPart &Part) {
  std::vector<Assessment> Ranked;
  Ranked.reserve(For.Candidates.size());
  // All but one of several engines only help.
  for (std::size_t Index = 0; Index < For.Candidates.size(); ++Index)
    Ranked.push_back(assess(For, Index, Part, Size == 1));
  const auto Cost = [&](const Assessment &Each) {
    return Each.Loss + Each.SplitSum +
           ownLoss(For.Request, Each.FirstTokenMs, For.Options);
  };
  std::sort(Ranked.begin(), Ranked.end(),
            [&](const Assessment &Left, const Assessment &Right) {
              return Cost(Left) < Cost(Right);
            });
  std::vector<Assessment> Chosen;
  for (Assessment &Each : Ranked) {
    if (Chosen.size() == Size)
      break;
    if (Size == 1 || For.Candidates[Each.Candidate].CanHelp)
      Chosen.push_back(std::move(Each));
  }
  if (Size == 1 || Chosen.size() < Size)
    return Chosen;
  // The engine with the most free memory keeps the prompt.
  const auto Free = [&](const Assessment &Each) {
    return freeMemory(For.Candidates[Each.Candidate], For.Spec, For.Options);
  };
  const auto Roomiest =
      std::max_element(Chosen.begin(), Chosen.end(),
                       [&](const Assessment &Left, const Assessment &Right) {
                         return Free(Left) < Free(Right);
                       });
  std::iter_swap(Chosen.begin(), Roomiest);
  Chosen.front() = assess(For, Chosen.front().Candidate, Part, true);
  return Chosen;
}

} // namespace

std::optional<Placement>
choosePlacement(const PlacementRequest &Request,
                const std::vector<EngineCandidate> &Candidates,
                const EngineSpec &Spec, TimePoint Now,
                const PlacementOptions &Options,
                PlacementFailureReason *PlacementReason) {
  PlacementFailureReason Last = PlacementFailureReason::None;
  std::optional<Placement> Best;
  const double Share = longPrefillShare(Candidates, Now);
  const Search For = makeSearch(Request, Candidates, Spec, Now, Options, Share);
  const double ReadSeconds =
      engine::prefillMs(Spec, 0, Request.PromptTokens) / 1000;
  const double LossToLater =
      ReadSeconds * ScarceSecond *
      std::clamp((Share - ScarceFrom) / (1 - ScarceFrom), 0.0, 1.0);
  for (const std::size_t Size : SplitSizes) {
    if (Size > Options.MaxEngines || Size > Candidates.size())
      break;
    if (Size > 1 && Request.PromptTokens < Options.MinSplitTokens)
      break;
    PromptPart Part;
    Part.PromptTokens = Request.PromptTokens / static_cast<double>(Size);
    Part.MemoryTokens =
        Size > 1 ? 0 : Request.PromptTokens + Request.OutputTokens;
    const std::vector<Assessment> Chosen = cheapestEngines(For, Size, Part);
    if (Chosen.size() < Size) {
      Last = PlacementFailureReason::Helpers;
      continue;
    }
    Placement Option;
    for (const Assessment &Each : Chosen) {
      PromptPart Placed;
      Placed.Candidate = Each.Candidate;
      Placed.PromptTokens = Part.PromptTokens;
      Option.Parts.push_back(Placed);
      Option.FirstTokenMs = std::max(Option.FirstTokenMs, Each.FirstTokenMs);
      Option.Loss += Each.Loss;
    }
    Option.Loss += splitLoss(Chosen);
    if (!assignMemory(Request, Candidates, Spec, Options, Option.Parts)) {
      Last = PlacementFailureReason::Memory;
      continue;
    }
    Option.LossToOthers = Option.Loss;
    Option.LossToLater = LossToLater;
    Option.Loss +=
        ownLoss(Request, Option.FirstTokenMs, Options) +
        Request.Value * Options.HelperCost * static_cast<double>(Size - 1);
    // Whether the request is worth its place is for the admission to say.
    if (!Best ||
        std::pair(Option.FirstTokenMs >= Request.DeadlineMs, Option.Loss) <
            std::pair(Best->FirstTokenMs >= Request.DeadlineMs, Best->Loss))
      Best = std::move(Option);
  }
  if (PlacementReason)
    *PlacementReason = Best ? PlacementFailureReason::None : Last;
  return Best;
}

} // namespace cassiashed::balancing
