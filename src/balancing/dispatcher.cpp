#include "cassiashed/balancing/dispatcher.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace cassiashed::balancing {
namespace {

using catalog::EndpointRef;

/// When a request should come back that found no endpoint at all: about the
/// time in which a replaced replica registers.
constexpr Duration NoEndpointRetry{1000};
/// When a request should come back that only cold endpoints could serve.
constexpr Duration ColdRetry{500};
constexpr Duration BusyRetry{300};
/// Load that one unit of doubt about an endpoint counts as, in requests per
/// slot.
constexpr double DoubtAsLoad = 2;

} // namespace

std::string_view nameOf(DispatchFailure Failure) {
  static constexpr std::array<std::string_view, 5> Names = {
      "none", "no_endpoint", "all_cold", "all_busy", "costs_others"};
  return Names[static_cast<std::size_t>(Failure)];
}

Dispatcher::Dispatcher(const catalog::EndpointDirectory &Directory,
                       FleetLoad &Load, const EndpointHealth &Health,
                       const ColdStartLimiter &Cold, DispatcherOptions Options)
    : Directory_(Directory), Load_(Load), Health_(Health), Cold_(Cold),
      Options_(std::move(Options)) {}

bool Dispatcher::mayUseCold(const DispatchRequest &Request,
                            const catalog::KnownEndpoint &Which,
                            TimePoint Now) const {
  const int Sharers = Request.ColdStartSharers.value_or(NodeCount_);
  return Sharers > 0 &&
         Cold_.canSend(Which.Number, Request.Target->ColdRequestsPerSecond,
                       Sharers, Now);
}

std::vector<EndpointRef>
Dispatcher::candidates(const DispatchRequest &Request, TimePoint Now,
                       DispatchFailure &Failure) const {
  Failure = DispatchFailure::NoEndpoint;
  std::vector<EndpointRef> Result;
  std::vector<EndpointRef> Paused;
  for (EndpointRef &Each : Directory_.findUsable(Request.Target->Name)) {
    if (Request.Excluded.count(Each->Number) != 0)
      continue;
    if (!Request.Regions.empty()) {
      const auto Region = Options_.RegionOfZone.find(Each->Entry.Zone);
      if (Region == Options_.RegionOfZone.end() ||
          std::find(Request.Regions.begin(), Request.Regions.end(),
                    Region->second) == Request.Regions.end())
        continue;
    }
    if (Each->ColdUntil > Now && !mayUseCold(Request, *Each, Now)) {
      Failure = DispatchFailure::AllCold;
      continue;
    }
    if (Request.SentBy == Sender::ThisNode && Room_ && Room_(*Each) <= 0) {
      Failure = DispatchFailure::AllBusy;
      continue;
    }
    if (Health_.isInBackoff(Each->Number, Now))
      Paused.push_back(std::move(Each));
    else
      Result.push_back(std::move(Each));
  }
  // With nothing else left, an endpoint in doubt is better than a refusal.
  return Result.empty() ? Paused : Result;
}

Dispatch Dispatcher::choose(const DispatchRequest &Request, TimePoint Now,
                            std::mt19937_64 &Random) {
  Dispatch Result;
  const std::vector<EndpointRef> Candidates =
      candidates(Request, Now, Result.Failure);
  if (Candidates.empty()) {
    Result.RetryAfter = Result.Failure == DispatchFailure::NoEndpoint
                            ? NoEndpointRetry
                            : ColdRetry;
    return Result;
  }
  if (!Request.Target->Engine)
    return choosePlain(Candidates, Now, Random);
  if (engine::isLongPrefill(*Request.Target->Engine, Request.Work.PromptTokens,
                            Request.Work.MaxTokenGapMs))
    return chooseEngines(Request, Candidates, Now);
  std::vector<EndpointRef> Sampled;
  std::sample(Candidates.begin(), Candidates.end(), std::back_inserter(Sampled),
              Options_.SampledEngines, Random);
  // Of equally good ones the first is taken.
  std::shuffle(Sampled.begin(), Sampled.end(), Random);
  return chooseEngines(Request, Sampled, Now);
}

Dispatch Dispatcher::choosePlain(const std::vector<EndpointRef> &Candidates,
                                 TimePoint Now, std::mt19937_64 &Random) const {
  Dispatch Result;
  std::uniform_real_distribution<double> Jitter(0, 0.1);
  double Best = 0;
  for (const EndpointRef &Each : Candidates) {
    const double PerSlot = Load_.outstanding(Each->Entry.Id) /
                           static_cast<double>(std::max(1, Each->Entry.Slots));
    if (PerSlot >= Options_.MaxPerSlot)
      continue;
    const double Load =
        PerSlot + Health_.suspicion(Each->Number, Now) * DoubtAsLoad +
        (Each->Entry.Zone == Options_.Zone ? 0 : 0.05) + Jitter(Random);
    if (Result.Endpoints.empty() || Load < Best) {
      Best = Load;
      Result.Endpoints = {Each};
    }
  }
  if (Result.Endpoints.empty()) {
    Result.Failure = DispatchFailure::AllBusy;
    Result.RetryAfter = BusyRetry;
    return Result;
  }
  Result.Parts = {PromptPart{}};
  return Result;
}

Dispatch Dispatcher::chooseEngines(const DispatchRequest &Request,
                                   const std::vector<EndpointRef> &Candidates,
                                   TimePoint Now) {
  Dispatch Result;
  const engine::EngineSpec &Spec = *Request.Target->Engine;
  std::vector<EngineCandidate> Engines;
  Engines.reserve(Candidates.size());
  for (const EndpointRef &Each : Candidates) {
    EngineCandidate Entry;
    Entry.Timeline = &Load_.timeline(Each->Entry.Id, Spec);
    Entry.TransitMs =
        Each->Entry.Zone == Options_.Zone ? 0.2 : Options_.OtherZoneMs;
    const double Doubt = Health_.suspicion(Each->Number, Now);
    Entry.SuspicionPenalty = Doubt * Request.Work.Value;
    Entry.CanHelp = Doubt < MaxHelperSuspicion && Each->ColdUntil <= Now;
    Engines.push_back(Entry);
  }
  Result.FreeTokens = freeTokens(Engines, Spec);
  PlacementRequest Work = Request.Work;
  Work.Urgent = true;
  auto Chosen =
      choosePlacement(Work, Engines, Spec, Now, {}, &Result.PlacementReason);
  if (Chosen && Chosen->FirstTokenMs > Work.FirstTokenMs) {
    // Late ones are admitted last, so their place is predicted that way too.
    Work.Urgent = false;
    Chosen =
        choosePlacement(Work, Engines, Spec, Now, {}, &Result.PlacementReason);
  }
  if (!Chosen || Chosen->FirstTokenMs >= Request.Work.DeadlineMs) {
    Result.Failure = DispatchFailure::AllBusy;
    if (Chosen) {
      Result.PlacementReason = PlacementFailureReason::Time;
      Result.FirstTokenMs = Chosen->FirstTokenMs;
    }
    const auto Helping =
        std::count_if(Engines.begin(), Engines.end(),
                      [](const EngineCandidate &Each) { return Each.CanHelp; });
    if (!couldRunWhenIdle(Work, Spec, static_cast<std::size_t>(Helping)))
      Result.PlacementReason = PlacementFailureReason::Length;
    Result.RetryAfter = BusyRetry;
    return Result;
  }
  for (const PromptPart &Part : Chosen->Parts)
    Result.Endpoints.push_back(Candidates[Part.Candidate]);
  Result.Parts = Chosen->Parts;
  Result.Urgent = Work.Urgent;
  Result.FirstTokenMs = Chosen->FirstTokenMs;
  Result.LossToOthers = Chosen->LossToOthers;
  Result.LossToLater = Chosen->LossToLater;
  return Result;
}

} // namespace cassiashed::balancing
