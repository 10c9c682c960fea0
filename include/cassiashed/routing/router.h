#pragma once

#include "cassiashed/base/clock.h"
#include "cassiashed/routing/fleet_view.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

/// Choice of endpoints for one request.
namespace cassiashed::routing {

/// `LengthAware` is the production policy; the others are baselines for
/// measurements. `FirstComeByTokens` takes the endpoint with the fewest tokens
/// in use and leaves the order of arrival unchanged.
enum class RoutingPolicy {
  LengthAware,
  RoundRobin,
  LeastOutstanding,
  FirstComeByTokens,
};

std::string_view nameOf(RoutingPolicy Policy);
std::optional<RoutingPolicy> parseRoutingPolicy(std::string_view Name);

struct RouterOptions {
  RoutingPolicy Policy = RoutingPolicy::LengthAware;
  std::string HomeZone;
  /// Added for an endpoint outside the home zone: one round trip at 1.5 ms
  /// one-way.
  std::chrono::microseconds OtherZonePenalty{3'000};
  /// Penalties of zones that differ from `OtherZonePenalty`, for example in
  /// another region.
  std::vector<std::pair<std::string, std::chrono::microseconds>> ZonePenalties;
  /// Age at which a hint has a weight of one half; the model's typical wait has
  /// the other half. Grant replies refresh hints, that is every 1 to 4 s for an
  /// endpoint that a node uses at 14 requests/s.
  std::chrono::milliseconds HintHalfLife{2'000};
  /// Fraction of the backlog of longer prompts that delays a shorter request.
  /// The engine runs the shorter request first, but its batches also contain
  /// longer ones.
  double LongerBacklogWeight = 0.25;
  /// Expected hit rate at the prefix-affinity endpoint while no cache event
  /// confirms it.
  double AffinityHitRate = 0.5;
};

/// An endpoint that probably holds a prefix of the prompt.
struct CachedPrefix {
  std::string Endpoint;
  std::uint64_t Tokens = 0;
  bool Confirmed = false; ///< if not, half of `Tokens` counts
};

struct RouteRequest {
  std::string Model;
  std::uint64_t PromptTokens = 0;
  std::uint64_t ReservedTokens = 0; ///< prompt and predicted output
  std::uint64_t PrefixHash = 0;     ///< of the first 1,024 tokens; 0: none
  std::uint64_t PrefixTokens = 0;   ///< at most 1,024
  std::vector<CachedPrefix> CachedAt;
  std::vector<std::string> Tried;      ///< endpoints that are excluded
  std::vector<std::string> AvoidZones; ///< endpoints there are ranked last
};

struct Candidate {
  std::string Endpoint;
  std::uint64_t Incarnation = 0;
  /// Predicted time to first token, including the zone penalty.
  std::chrono::microseconds TimeToFirstToken{0};
  std::uint64_t CachedTokens = 0; ///< expected; not confirmed
  /// Whether the request fits into the total memory of the endpoint.
  bool Fits = true;
};

/// At most this many candidates are returned.
inline constexpr std::size_t MaxCandidates = 4;

/// Selects the endpoints that a node asks for capacity when a request arrives
/// or is retried.
class Router {
public:
  virtual ~Router() = default;

  /// Endpoints for a request, best first, at most `MaxCandidates`. Empty only
  /// if no endpoint in service runs the model or all were tried. Endpoints on
  /// which the request fits come before the others.
  virtual std::vector<Candidate> choose(const RouteRequest &Request,
                                        const FleetView &Fleet, TimePoint Now,
                                        std::mt19937_64 &Random) = 0;
};

/// ```cpp
/// auto Router = makeRouter({RoutingPolicy::LengthAware, "zone-a"});
/// for (const Candidate &Next : Router->choose(Request, Fleet, Now, Random))
///   ...
/// ```
std::unique_ptr<Router> makeRouter(RouterOptions Options);

} // namespace cassiashed::routing
