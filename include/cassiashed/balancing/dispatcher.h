#pragma once

#include "cassiashed/balancing/cold_start_limiter.h"
#include "cassiashed/balancing/endpoint_health.h"
#include "cassiashed/balancing/fleet_load.h"
#include "cassiashed/balancing/load_estimate.h"
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
  PlacementRequest Work;            ///< `Id` is unique over all requests
  std::set<std::uint32_t> Excluded; ///< endpoints already tried, by number
  std::vector<std::string> Regions; ///< allowed regions; empty: all
  /// Limits on this node's connections apply only to `ThisNode`.
  Sender SentBy = Sender::ThisNode;
  /// Number of nodes that share the request limits of cold endpoints; 0: this
  /// request must not use a cold endpoint. Empty: all nodes.
  std::optional<int> ColdStartSharers;
};

enum class DispatchFailure {
  None,
  NoEndpoint,  ///< none is registered and in service
  AllCold,     ///< every cold endpoint is at its request limit
  AllBusy,     ///< no endpoint has free capacity in time
  CostsOthers, ///< others would lose more than the request gains
  ShuttingDown ///< this process ends before the request could finish
};
std::string_view nameOf(DispatchFailure Failure);

/// Endpoints chosen for a request, or why there are none.
struct Dispatch {
  std::vector<catalog::EndpointRef> Endpoints; ///< decode engine first
  std::vector<PromptPart> Parts;               ///< one per endpoint
  double FirstTokenMs = 0;                     ///< predicted; 0: unknown
  double LossToOthers = 0; ///< value that requests already there would lose
  double LossToLater = 0;  ///< value that requests still to come would lose
  /// Engines admit it before waiting requests that will be late.
  bool Urgent = true;
  DispatchFailure Failure = DispatchFailure::None;
  /// Why no engines could be chosen, with `AllBusy`.
  PlacementFailureReason PlacementFailure = PlacementFailureReason::None;
  /// Most free memory that one prompt could use, see `freeTokens`.
  double FreeTokens = 0;
  Duration RetryAfter{0}; ///< wait before a refused request is retried
};

/// Endpoints with at least this suspicion are not used as helpers.
inline constexpr double MaxHelperSuspicion = 0.3;

struct DispatcherOptions {
  std::string Zone; ///< of this node
  std::map<std::string, std::string> RegionOfZone;
  double OtherZoneMs = 1.5; ///< one-way delay to another zone
  /// Most requests per slot at an endpoint of a plain service (one without
  /// engines); each waits for about as many others.
  double MaxPerSlot = 4;
  /// Number of random engines among which a short request chooses. If every
  /// node compared all engines, they would choose the same one until their
  /// reports arrive.
  std::size_t SampledEngines = 20;
};

/// Chooses endpoints for requests of all services. Matters when some endpoints
/// are failing, cold or full, or when nodes choose at the same moment. Not
/// thread-safe.
class Dispatcher {
public:
  /// Number of further connections that this node may open to an endpoint.
  using AvailableConnections =
      std::function<int(const catalog::KnownEndpoint &)>;

  Dispatcher(const catalog::EndpointDirectory &Directory, FleetLoad &Load,
             const EndpointHealth &Health, const ColdStartLimiter &Cold,
             DispatcherOptions Options);

  void setAvailableConnections(AvailableConnections Available) {
    AvailableConnections_ = std::move(Available);
  }
  void setNodeCount(int Count) { NodeCount_ = Count; }
  /// Loads that endpoints of plain services state. Services whose endpoints
  /// state none are balanced by the known requests only.
  void setLoadEstimate(const LoadEstimate *Stated) { Stated_ = Stated; }

  Dispatch choose(const DispatchRequest &Request, TimePoint Now,
                  std::mt19937_64 &Random);

private:
  bool canUseColdEndpoint(const DispatchRequest &Request,
                          const catalog::KnownEndpoint &Endpoint,
                          TimePoint Now) const;
  std::vector<catalog::EndpointRef> candidates(const DispatchRequest &Request,
                                               TimePoint Now,
                                               DispatchFailure &Failure) const;
  Dispatch
  choosePlainEndpoint(const std::vector<catalog::EndpointRef> &Candidates,
                      TimePoint Now, std::mt19937_64 &Random) const;
  /// The endpoint that `chooseEvenly` chooses; null if no candidate has stated
  /// its load or all are full.
  catalog::EndpointRef
  chooseByStatedLoad(const std::vector<catalog::EndpointRef> &Candidates,
                     TimePoint Now, std::mt19937_64 &Random) const;
  Dispatch chooseEngines(const DispatchRequest &Request,
                         const std::vector<catalog::EndpointRef> &Candidates,
                         TimePoint Now);

  const catalog::EndpointDirectory &Directory_;
  FleetLoad &Load_;
  const EndpointHealth &Health_;
  const ColdStartLimiter &Cold_;
  DispatcherOptions Options_;
  AvailableConnections AvailableConnections_;
  const LoadEstimate *Stated_ = nullptr;
  int NodeCount_ = 1;
};

} // namespace cassiashed::balancing
