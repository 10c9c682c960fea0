#include "cassiashed/balancing/dispatcher.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace cassiashed::balancing {
namespace {

using catalog::EndpointRef;

/// Retry delay when there is no endpoint at all: about the time in which a
/// replacement of a replica registers.
constexpr Duration NoEndpointRetry{1000};
/// Retry delay when only cold endpoints could serve the request.
constexpr Duration ColdRetry{500};
constexpr Duration BusyRetry{300};
/// Load that a suspicion of 1 counts as, in requests per slot.
constexpr double LoadPerSuspicion = 2;
/// Load that another zone counts as: a request there costs two more hops.
constexpr double OtherZoneLoad = 0.05;

} // namespace

std::string_view nameOf(DispatchFailure Failure) {
  static constexpr std::array<std::string_view, 6> Names = {
      "none",     "no_endpoint",  "all_cold",
      "all_busy", "costs_others", "stopping"};
  return Names[static_cast<std::size_t>(Failure)];
}

Dispatcher::Dispatcher(const catalog::EndpointDirectory &Directory,
                       FleetLoad &Load, const EndpointHealth &Health,
                       const ColdStartLimiter &Cold, DispatcherOptions Options)
    : Directory_(Directory), Load_(Load), Health_(Health), Cold_(Cold),
      Options_(std::move(Options)) {}

bool Dispatcher::canUseColdEndpoint(const DispatchRequest &Request,
                                    const catalog::KnownEndpoint &Endpoint,
                                    TimePoint Now) const {
  const int Sharers = Request.ColdStartSharers.value_or(NodeCount_);
  return Sharers > 0 &&
         Cold_.canSend(Endpoint.Number, Request.Target->ColdRequestsPerSecond,
                       Sharers, Now);
}

std::vector<EndpointRef>
Dispatcher::candidates(const DispatchRequest &Request, TimePoint Now,
                       DispatchFailure &Failure) const {
  Failure = DispatchFailure::NoEndpoint;
  std::vector<EndpointRef> Result;
  std::vector<EndpointRef> InBackoff;
  for (EndpointRef &Endpoint : Directory_.findUsable(Request.Target->Name)) {
    if (Request.Excluded.count(Endpoint->Number) != 0)
      continue;
    if (!Request.Regions.empty()) {
      const auto Region = Options_.RegionOfZone.find(Endpoint->Entry.Zone);
      if (Region == Options_.RegionOfZone.end() ||
          std::find(Request.Regions.begin(), Request.Regions.end(),
                    Region->second) == Request.Regions.end())
        continue;
    }
    if (Request.SentBy == Sender::ThisNode && Endpoint->PausedUntil > Now) {
      Failure = DispatchFailure::AllBusy;
      continue;
    }
    if (Endpoint->ColdUntil > Now &&
        !canUseColdEndpoint(Request, *Endpoint, Now)) {
      Failure = DispatchFailure::AllCold;
      continue;
    }
    if (Request.SentBy == Sender::ThisNode && AvailableConnections_ &&
        AvailableConnections_(*Endpoint) <= 0) {
      Failure = DispatchFailure::AllBusy;
      continue;
    }
    if (Health_.isInBackoff(Endpoint->Number, Now))
      InBackoff.push_back(std::move(Endpoint));
    else
      Result.push_back(std::move(Endpoint));
  }
  // An endpoint in backoff is better than refusing the request.
  return Result.empty() ? InBackoff : Result;
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
    return choosePlainEndpoint(Candidates, Now, Random);
  if (engine::isLongPrefill(*Request.Target->Engine, Request.Work.PromptTokens,
                            Request.Work.MaxTokenGapMs))
    return chooseEngines(Request, Candidates, Now);
  std::vector<EndpointRef> Sampled;
  std::sample(Candidates.begin(), Candidates.end(), std::back_inserter(Sampled),
              Options_.SampledEngines, Random);
  // Among equally good engines the first is chosen, so their order is random.
  std::shuffle(Sampled.begin(), Sampled.end(), Random);
  return chooseEngines(Request, Sampled, Now);
}

Dispatch
Dispatcher::choosePlainEndpoint(const std::vector<EndpointRef> &Candidates,
                                TimePoint Now, std::mt19937_64 &Random) const {
  Dispatch Result;
  if (const EndpointRef Even = chooseByStatedLoad(Candidates, Now, Random)) {
    Result.Endpoints = {Even};
    Result.Parts = {PromptPart{}};
    return Result;
  }
  std::uniform_real_distribution<double> Jitter(0, 0.1);
  double Best = 0;
  for (const EndpointRef &Endpoint : Candidates) {
    const double PerSlot =
        Load_.outstanding(Endpoint->Entry.Id) /
        static_cast<double>(std::max(1, Endpoint->Entry.Slots));
    if (PerSlot >= Options_.MaxPerSlot)
      continue;
    const double Load =
        PerSlot + Health_.suspicion(Endpoint->Number, Now) * LoadPerSuspicion +
        (Endpoint->Entry.Zone == Options_.Zone ? 0 : OtherZoneLoad) +
        Jitter(Random);
    if (Result.Endpoints.empty() || Load < Best) {
      Best = Load;
      Result.Endpoints = {Endpoint};
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

EndpointRef
Dispatcher::chooseByStatedLoad(const std::vector<EndpointRef> &Candidates,
                               TimePoint Now, std::mt19937_64 &Random) const {
  if (!Stated_)
    return nullptr;
  std::vector<LoadedEndpoint> Loads;
  std::vector<EndpointRef> Usable;
  bool IsAnyStated = false;
  for (const bool UseHeld : {false, true}) {
    for (const EndpointRef &Endpoint : Candidates) {
      if (!UseHeld && Stated_->isHeld(Endpoint->Number, Now))
        continue;
      LoadedEndpoint Load;
      Load.Slots = std::max(1, Endpoint->Entry.Slots);
      Load.KnownRequests = Load_.outstanding(Endpoint->Entry.Id);
      if (Load.KnownRequests / Load.Slots >= Options_.MaxPerSlot)
        continue;
      Load.PenaltyPerSlot =
          Health_.suspicion(Endpoint->Number, Now) * LoadPerSuspicion +
          (Endpoint->Entry.Zone == Options_.Zone ? 0 : OtherZoneLoad);
      Load.Unknown = Stated_->unknownRequests(Endpoint->Number, Now);
      Load.Taken = Stated_->duration(Endpoint->Number);
      IsAnyStated = IsAnyStated || Load.Unknown.IsStated;
      Loads.push_back(Load);
      Usable.push_back(Endpoint);
    }
    if (!Usable.empty())
      break;
  }
  if (!IsAnyStated)
    return nullptr;
  return Usable[chooseEvenly(Loads, Random)];
}

Dispatch Dispatcher::chooseEngines(const DispatchRequest &Request,
                                   const std::vector<EndpointRef> &Candidates,
                                   TimePoint Now) {
  Dispatch Result;
  const engine::EngineSpec &Spec = *Request.Target->Engine;
  std::vector<EngineCandidate> Engines;
  Engines.reserve(Candidates.size());
  for (const EndpointRef &Endpoint : Candidates) {
    EngineCandidate Engine;
    Engine.Timeline = &Load_.timeline(Endpoint->Entry.Id, Spec);
    Engine.TransitMs =
        Endpoint->Entry.Zone == Options_.Zone ? 0.2 : Options_.OtherZoneMs;
    const double Suspicion = Health_.suspicion(Endpoint->Number, Now);
    Engine.SuspicionPenalty = Suspicion * Request.Work.Value;
    Engine.CanHelp =
        Suspicion < MaxHelperSuspicion && Endpoint->ColdUntil <= Now;
    Engines.push_back(Engine);
  }
  Result.FreeTokens = freeTokens(Engines, Spec);
  PlacementRequest Work = Request.Work;
  Work.Urgent = true;
  auto Chosen =
      choosePlacement(Work, Engines, Spec, Now, {}, &Result.PlacementFailure);
  if (Chosen && Chosen->FirstTokenMs > Work.FirstTokenMs) {
    // Engines admit late requests last, so predict again without urgency.
    Work.Urgent = false;
    Chosen =
        choosePlacement(Work, Engines, Spec, Now, {}, &Result.PlacementFailure);
  }
  if (!Chosen || Chosen->FirstTokenMs >= Request.Work.DeadlineMs) {
    Result.Failure = DispatchFailure::AllBusy;
    if (Chosen) {
      Result.PlacementFailure = PlacementFailureReason::Time;
      Result.FirstTokenMs = Chosen->FirstTokenMs;
    }
    const auto HelperCount = std::count_if(
        Engines.begin(), Engines.end(),
        [](const EngineCandidate &Engine) { return Engine.CanHelp; });
    if (!couldRunWhenIdle(Work, Spec, static_cast<std::size_t>(HelperCount)))
      Result.PlacementFailure = PlacementFailureReason::Length;
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
