#pragma once

#include "cassiashed/balancing/cold_start_limiter.h"
#include "cassiashed/balancing/endpoint_health.h"
#include "cassiashed/balancing/fleet_load.h"
#include "cassiashed/catalog/endpoint_directory.h"
#include "cassiashed/catalog/service_config.h"
#include <functional>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cassiashed::balancing {

/// Who sends a request to the endpoint.
enum class Sender { ThisNode, OtherNode };

/// A request that needs an endpoint.
struct DispatchRequest {
  const catalog::Service *Target = nullptr;
  PlacementRequest Work;            ///< prompt, goal and value; `Id` unique
  std::set<std::uint32_t> Excluded; ///< endpoints already tried, by number
  std::vector<std::string> Regions; ///< allowed regions; empty: all
  /// Another node uses connections of its own.
  Sender SentBy = Sender::ThisNode;
  /// Nodes that share what cold endpoints bear; 0: none of it is left for this
  /// request. Empty: all nodes.
  std::optional<int> ColdStartSharers;
};

enum class DispatchFailure {
  None,
  NoEndpoint, ///< none is registered and in service
  AllCold,    ///< the share of every cold endpoint is used up
  AllBusy,    ///< no engine has room in time
  CostsOthers ///< others would lose more than the request gains
};
std::string_view nameOf(DispatchFailure Failure);

struct Dispatch {
  std::vector<catalog::EndpointRef> Endpoints; ///< the first writes the answer
  std::vector<PromptPart> Parts;               ///< one per endpoint
  double FirstTokenMs = 0;                     ///< predicted; 0: unknown
  double LossToOthers = 0; ///< value that requests already there would lose
  double LossToLater = 0;  ///< value that requests still to come would lose
  /// Engines admit it before waiting requests that will be late.
  bool Urgent = true;
  DispatchFailure Failure = DispatchFailure::None;
  /// What stood against engines, with `AllBusy`.
  PlacementFailureReason PlacementReason = PlacementFailureReason::None;
  /// Memory that the engines with the most of it have free for one prompt.
  double FreeTokens = 0;
  Duration RetryAfter{0}; ///< when a refused request should come back
};

/// Doubt above which an endpoint does not help with prompts of others.
inline constexpr double MaxHelperSuspicion = 0.3;

struct DispatcherOptions {
  std::string Zone; ///< of this node
  std::map<std::string, std::string> RegionOfZone;
  double OtherZoneMs = 1.5; ///< one way to an endpoint of another zone
  /// Requests per slot of a plain service beyond which no more are sent: each
  /// waits for as many runs.
  double MaxPerSlot = 4;
  /// Engines among which a short request chooses. Nodes that all compare every
  /// engine choose the same one until they hear of each other's choice.
  std::size_t SampledEngines = 20;
};

/// Chooses endpoints for requests of all services. Load: the fleet's normal
/// mix, failing, cold and full endpoints. Not thread-safe.
class Dispatcher {
public:
  /// How many connections more this node may open to an endpoint.
  using AvailableConnections =
      std::function<int(const catalog::KnownEndpoint &)>;

  Dispatcher(const catalog::EndpointDirectory &Directory, FleetLoad &Load,
             const EndpointHealth &Health, const ColdStartLimiter &Cold,
             DispatcherOptions Options);

  void setAvailableConnections(AvailableConnections Room) {
    Room_ = std::move(Room);
  }
  void setNodeCount(int Count) { NodeCount_ = Count; }

  Dispatch choose(const DispatchRequest &Request, TimePoint Now,
                  std::mt19937_64 &Random);

private:
  bool mayUseCold(const DispatchRequest &Request,
                  const catalog::KnownEndpoint &Which, TimePoint Now) const;
  std::vector<catalog::EndpointRef> candidates(const DispatchRequest &Request,
                                               TimePoint Now,
                                               DispatchFailure &Failure) const;
  Dispatch choosePlain(const std::vector<catalog::EndpointRef> &Candidates,
                       TimePoint Now, std::mt19937_64 &Random) const;
  Dispatch chooseEngines(const DispatchRequest &Request,
                         const std::vector<catalog::EndpointRef> &Candidates,
                         TimePoint Now);

  const catalog::EndpointDirectory &Directory_;
  FleetLoad &Load_;
  const EndpointHealth &Health_;
  const ColdStartLimiter &Cold_;
  DispatcherOptions Options_;
  AvailableConnections Room_;
  int NodeCount_ = 1;
};

} // namespace cassiashed::balancing
