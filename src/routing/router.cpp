#include "cassiashed/routing/router.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <unordered_map>

namespace cassiashed::routing {
namespace {

struct PolicyName {
  RoutingPolicy Policy;
  std::string_view Name;
};
constexpr std::array<PolicyName, 4> PolicyNames = {{
    {RoutingPolicy::LengthAware, "length-aware"},
    {RoutingPolicy::RoundRobin, "round-robin"},
    {RoutingPolicy::LeastOutstanding, "least-outstanding"},
    {RoutingPolicy::FirstComeByTokens, "first-come-by-tokens"},
}};

/// From this length class on, requests are spread over the three best
/// endpoints. All nodes see the same best one, and two 100k prompts at one
/// endpoint delay each other by seconds.
constexpr std::size_t FirstSpreadClass = 2;
constexpr std::size_t SpreadWidth = 3;

bool contains(const std::vector<std::string> &Names, const std::string &Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

bool isEligible(const RouteRequest &Request, const EndpointView &View) {
  return View.acceptsNewRequests() &&
         !contains(Request.Tried, View.Config.Name);
}

std::uint64_t mixBits(std::uint64_t Value) {
  Value ^= Value >> 33;
  Value *= 0xff51afd7ed558ccdULL;
  Value ^= Value >> 33;
  Value *= 0xc4ceb9fe1a85ec53ULL;
  return Value ^ (Value >> 33);
}

/// The request and the values that are the same for all endpoints.
struct ScoringContext {
  const RouterOptions &Options;
  const RouteRequest &Request;
  TimePoint Now;
  double TypicalWaitUs;
  std::size_t Class;
  std::uint64_t ReservedTokens;
};

struct ScoredEndpoint {
  const EndpointView *View = nullptr;
  double FirstTokenUs = 0;
  std::uint64_t CachedTokens = 0;
  bool Fits = true;
  bool Avoided = false;
};

/// Ties are left to a stable sort: the endpoint found first stays first.
bool isPreferred(const ScoredEndpoint &Left, const ScoredEndpoint &Right) {
  if (Left.Avoided != Right.Avoided)
    return Right.Avoided;
  if (Left.Fits != Right.Fits)
    return Left.Fits;
  return Left.FirstTokenUs < Right.FirstTokenUs;
}

double zonePenaltyUs(const RouterOptions &Options, const std::string &Zone) {
  if (Zone == Options.HomeZone)
    return 0;
  for (const auto &[Name, Penalty] : Options.ZonePenalties)
    if (Name == Zone)
      return static_cast<double>(Penalty.count());
  return static_cast<double>(Options.OtherZonePenalty.count());
}

std::uint64_t expectedCachedTokens(const ScoringContext &Context,
                                   const EndpointView &View, bool Affinity) {
  std::uint64_t Tokens = 0;
  for (const CachedPrefix &Cached : Context.Request.CachedAt)
    if (Cached.Endpoint == View.Config.Name)
      Tokens = std::max(Tokens,
                        Cached.Confirmed ? Cached.Tokens : Cached.Tokens / 2);
  if (Affinity)
    Tokens = std::max(Tokens,
                      static_cast<std::uint64_t>(
                          Context.Options.AffinityHitRate *
                          static_cast<double>(Context.Request.PrefixTokens)));
  return std::min(Tokens, Context.Request.PromptTokens);
}

ScoredEndpoint score(const ScoringContext &Context, const EndpointView &View,
                     bool Affinity) {
  ScoredEndpoint Result;
  Result.View = &View;
  Result.CachedTokens = expectedCachedTokens(Context, View, Affinity);
  Result.Fits = Context.ReservedTokens <= View.Config.CapacityTokens;
  Result.Avoided = !Context.Request.AvoidZones.empty() &&
                   contains(Context.Request.AvoidZones, View.Config.Zone);
  const double TokensPerUs =
      std::max(View.Config.PrefillTokensPerSecond, 1.0) / 1e6;

  double WaitUs = Context.TypicalWaitUs;
  BacklogByClass Backlog = View.PromptTokensSinceHint;
  double FreeTokens = static_cast<double>(View.Config.CapacityTokens);
  double Freshness = 0;
  double AgeUs = 0;
  if (View.Hint) {
    AgeUs = std::max(0.0, std::chrono::duration<double, std::micro>(
                              Context.Now - View.Hint->MeasuredAt)
                              .count());
    Freshness = std::exp2(
        -AgeUs /
        (1e3 * static_cast<double>(Context.Options.HintHalfLife.count())));
    double StartUs =
        static_cast<double>(View.Hint->predictedWaitOf(Context.Class).count());
    if (View.Hint->StartDelay) {
      const auto Longest =
          static_cast<double>(View.Hint->StartDelay->back().count());
      StartUs += Context.Options.LongerBacklogWeight *
                 std::max(0.0, Longest - StartUs);
    }
    WaitUs = Freshness * std::max(0.0, StartUs - AgeUs) +
             (1 - Freshness) * Context.TypicalWaitUs;
    FreeTokens = static_cast<double>(View.Hint->FreeTokens);
    if (!View.Hint->StartDelay)
      for (std::size_t Class = 0; Class < Backlog.size(); ++Class)
        Backlog[Class] += View.Hint->PrefillBacklog[Class];
  }
  double BacklogTokens = 0;
  for (std::size_t Class = 0; Class < Backlog.size(); ++Class)
    BacklogTokens +=
        static_cast<double>(Backlog[Class]) *
        (Class <= Context.Class ? 1.0 : Context.Options.LongerBacklogWeight);
  // The endpoint has processed part of its backlog since the measurement.
  const double BacklogUs = std::max(0.0, BacklogTokens / TokensPerUs - AgeUs);

  // Memory is freed about as fast as prompts fill it, so a shortage delays
  // the start by the time to prefill the missing tokens.
  FreeTokens -= static_cast<double>(View.ReservedTokensSinceHint);
  const double MissingTokens =
      std::max(0.0, static_cast<double>(Context.ReservedTokens) - FreeTokens);
  const double MemoryWaitUs = Freshness * MissingTokens / TokensPerUs;

  const double PrefillUs =
      static_cast<double>(Context.Request.PromptTokens - Result.CachedTokens) /
      TokensPerUs;
  Result.FirstTokenUs = WaitUs + BacklogUs + MemoryWaitUs + PrefillUs +
                        zonePenaltyUs(Context.Options, View.Config.Zone);
  return Result;
}

ScoringContext makeScoringContext(const RouterOptions &Options,
                                  const RouteRequest &Request,
                                  const FleetView &Fleet, TimePoint Now) {
  const std::size_t Class = backlogClassOf(Request.PromptTokens);
  return {Options,
          Request,
          Now,
          static_cast<double>(Fleet.typicalWait(Request.Model, Class).count()),
          Class,
          std::max(Request.ReservedTokens, Request.PromptTokens)};
}

Candidate toCandidate(const ScoredEndpoint &Scored) {
  return {
      Scored.View->Config.Name, Scored.View->Incarnation,
      std::chrono::microseconds(static_cast<std::int64_t>(Scored.FirstTokenUs)),
      Scored.CachedTokens, Scored.Fits};
}

class LengthAwareRouter : public Router {
public:
  explicit LengthAwareRouter(RouterOptions Options)
      : Options_(std::move(Options)) {}

  std::vector<Candidate> choose(const RouteRequest &Request,
                                const FleetView &Fleet, TimePoint Now,
                                std::mt19937_64 &Random) override {
    const ScoringContext Context =
        makeScoringContext(Options_, Request, Fleet, Now);
    Selected_.clear();
    addAffinity(Context, Fleet);
    addCached(Context, Fleet);
    addBestKnown(Context, Fleet, Random);
    addRandom(Context, Fleet, Random);
    std::stable_sort(Selected_.begin(), Selected_.end(), isPreferred);
    std::vector<Candidate> Result;
    Result.reserve(MaxCandidates);
    for (const ScoredEndpoint &Scored : Selected_) {
      if (Result.size() == MaxCandidates)
        break;
      Result.push_back(toCandidate(Scored));
    }
    return Result;
  }

private:
  bool isSelected(const EndpointView &View) const {
    return std::any_of(
        Selected_.begin(), Selected_.end(),
        [&](const ScoredEndpoint &Scored) { return Scored.View == &View; });
  }

  /// Adds the endpoint of highest rank for the prefix (rendezvous hashing), so
  /// that all nodes send a prefix to the same endpoint.
  void addAffinity(const ScoringContext &Context, const FleetView &Fleet) {
    if (Context.Request.PrefixHash == 0)
      return;
    const EndpointView *Best = nullptr;
    std::uint64_t HighestRank = 0;
    for (const std::uint32_t Position :
         Fleet.endpointsOfModel(Context.Request.Model)) {
      const EndpointView &View = Fleet.endpoints()[Position];
      const std::uint64_t Rank =
          mixBits(View.NameHash ^ mixBits(Context.Request.PrefixHash));
      if ((!Best || Rank > HighestRank) && isEligible(Context.Request, View)) {
        Best = &View;
        HighestRank = Rank;
      }
    }
    if (Best)
      Selected_.push_back(score(Context, *Best, true));
  }

  /// Adds the endpoint that probably caches the longest prefix.
  void addCached(const ScoringContext &Context, const FleetView &Fleet) {
    const CachedPrefix *Longest = nullptr;
    const EndpointView *Holder = nullptr;
    for (const CachedPrefix &Cached : Context.Request.CachedAt) {
      const EndpointView *View = Fleet.find(Cached.Endpoint);
      if (View && isEligible(Context.Request, *View) &&
          contains(View->Config.Models, Context.Request.Model) &&
          (!Longest || Cached.Tokens > Longest->Tokens)) {
        Longest = &Cached;
        Holder = View;
      }
    }
    if (Holder && !isSelected(*Holder))
      Selected_.push_back(score(Context, *Holder, false));
  }

  /// Adds the best endpoint by recent hints, or one of the `SpreadWidth` best
  /// for long prompts.
  void addBestKnown(const ScoringContext &Context, const FleetView &Fleet,
                    std::mt19937_64 &Random) {
    std::array<ScoredEndpoint, SpreadWidth> Best;
    std::size_t Count = 0;
    const std::size_t Width =
        Context.Class >= FirstSpreadClass ? SpreadWidth : 1;
    for (const std::uint32_t Position :
         Fleet.recentlyHinted(Context.Request.Model)) {
      const EndpointView &View = Fleet.endpoints()[Position];
      if (!isEligible(Context.Request, View) || isSelected(View))
        continue;
      ScoredEndpoint Next = score(Context, View, false);
      if (Count < Width)
        Best[Count++] = Next;
      else if (isPreferred(Next, Best[Count - 1]))
        Best[Count - 1] = Next;
      else
        continue;
      for (std::size_t Slot = Count - 1;
           Slot > 0 && isPreferred(Best[Slot], Best[Slot - 1]); --Slot)
        std::swap(Best[Slot], Best[Slot - 1]);
    }
    if (Count > 0)
      Selected_.push_back(Best[Count == 1 ? 0 : Random() % Count]);
  }

  /// Adds two random endpoints, or more if there are fewer than
  /// `MaxCandidates`. If random draws find too few, for example because most
  /// zones are out of service, the endpoints are scanned from a random
  /// position. Endpoints that fit and are not in a zone to avoid come first.
  void addRandom(const ScoringContext &Context, const FleetView &Fleet,
                 std::mt19937_64 &Random) {
    const auto &Positions = Fleet.endpointsOfModel(Context.Request.Model);
    if (Positions.empty())
      return;
    const std::size_t TargetCount =
        std::max(Selected_.size() + 2, MaxCandidates);
    for (int Draw = 0; Draw < 8 && Selected_.size() < TargetCount; ++Draw)
      addIfUsable(Context, Fleet, Positions[Random() % Positions.size()], true);
    const std::size_t Start = Random() % Positions.size();
    for (const bool PreferredOnly : {true, false})
      for (std::size_t Step = 0;
           Step < Positions.size() && Selected_.size() < TargetCount; ++Step)
        addIfUsable(Context, Fleet,
                    Positions[(Start + Step) % Positions.size()],
                    PreferredOnly);
  }

  void addIfUsable(const ScoringContext &Context, const FleetView &Fleet,
                   std::uint32_t Position, bool PreferredOnly) {
    const EndpointView &View = Fleet.endpoints()[Position];
    if (!isEligible(Context.Request, View) || isSelected(View))
      return;
    const ScoredEndpoint Next = score(Context, View, false);
    if (!PreferredOnly || (Next.Fits && !Next.Avoided))
      Selected_.push_back(Next);
  }

  RouterOptions Options_;
  std::vector<ScoredEndpoint> Selected_; ///< a member to reuse its memory
};

/// Sorts the endpoints by rank, lowest first; equal ranks are used round-robin.
class RankingRouter : public Router {
public:
  using Rank = std::uint64_t (*)(const EndpointView &);

  RankingRouter(RouterOptions Options, Rank RankOf)
      : Options_(std::move(Options)), RankOf_(RankOf) {}

  std::vector<Candidate> choose(const RouteRequest &Request,
                                const FleetView &Fleet, TimePoint Now,
                                std::mt19937_64 & /*Random*/) override {
    const ScoringContext Context =
        makeScoringContext(Options_, Request, Fleet, Now);
    const auto &Positions = Fleet.endpointsOfModel(Request.Model);
    const std::size_t Start =
        Positions.empty() ? 0
                          : NextPosition_[Request.Model]++ % Positions.size();
    std::vector<const EndpointView *> Eligible;
    for (std::size_t Step = 0; Step < Positions.size(); ++Step) {
      const EndpointView &View =
          Fleet.endpoints()[Positions[(Start + Step) % Positions.size()]];
      if (isEligible(Request, View))
        Eligible.push_back(&View);
    }
    std::stable_sort(Eligible.begin(), Eligible.end(),
                     [&](const EndpointView *Left, const EndpointView *Right) {
                       return RankOf_(*Left) < RankOf_(*Right);
                     });
    std::vector<ScoredEndpoint> Ranked;
    Ranked.reserve(Eligible.size());
    for (const EndpointView *View : Eligible)
      Ranked.push_back(score(Context, *View, false));
    std::stable_partition(
        Ranked.begin(), Ranked.end(),
        [](const ScoredEndpoint &Scored) { return Scored.Fits; });
    std::vector<Candidate> Result;
    for (const ScoredEndpoint &Scored : Ranked) {
      if (Result.size() == MaxCandidates)
        break;
      Result.push_back(toCandidate(Scored));
    }
    return Result;
  }

private:
  RouterOptions Options_;
  Rank RankOf_;
  std::unordered_map<std::string, std::size_t> NextPosition_;
};

std::uint64_t rankEqual(const EndpointView & /*View*/) { return 0; }

std::uint64_t rankByRequests(const EndpointView &View) {
  return View.OutstandingRequests;
}

std::uint64_t rankByTokens(const EndpointView &View) {
  if (!View.Hint)
    return View.OutstandingTokens;
  const std::uint64_t UsedTokens =
      View.Config.CapacityTokens -
      std::min(View.Config.CapacityTokens, View.Hint->FreeTokens);
  return std::max(View.OutstandingTokens,
                  UsedTokens + View.ReservedTokensSinceHint);
}

} // namespace

std::string_view nameOf(RoutingPolicy Policy) {
  return PolicyNames[static_cast<std::size_t>(Policy)].Name;
}

std::optional<RoutingPolicy> parseRoutingPolicy(std::string_view Name) {
  for (const PolicyName &Entry : PolicyNames)
    if (Entry.Name == Name)
      return Entry.Policy;
  return std::nullopt;
}

std::unique_ptr<Router> makeRouter(RouterOptions Options) {
  switch (Options.Policy) {
  case RoutingPolicy::LengthAware:
    break;
  case RoutingPolicy::RoundRobin:
    return std::make_unique<RankingRouter>(std::move(Options), rankEqual);
  case RoutingPolicy::LeastOutstanding:
    return std::make_unique<RankingRouter>(std::move(Options), rankByRequests);
  case RoutingPolicy::FirstComeByTokens:
    return std::make_unique<RankingRouter>(std::move(Options), rankByTokens);
  }
  return std::make_unique<LengthAwareRouter>(std::move(Options));
}

} // namespace cassiashed::routing
