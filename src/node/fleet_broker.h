#pragma once

#include "cassiashed/routing/router.h"
#include "node/config_table.h"
#include "node/crash_guard.h"
#include "node/grant_broker.h"
#include "node/metrics.h"
#include "node/owner_client.h"
#include <memory>
#include <string>

namespace cassiashed {

struct FleetBrokerOptions {
  routing::RouterOptions Routing;
  std::uint64_t Seed = 1;
  /// How long a request waits while owners change, before it is refused.
  Duration OwnerChangePatience = std::chrono::seconds(20);
};

/// The entry node's side of grants: ranks endpoints, asks their owners in
/// turn, and learns from their answers. Safe for use by several threads.
class FleetBroker : public GrantBroker {
public:
  virtual void configure(const ConfigInForce &Config) = 0;
};

std::unique_ptr<FleetBroker> makeFleetBroker(FleetBrokerOptions Options,
                                             OwnerClient &Owners,
                                             CrashGuard &Crashes,
                                             Metrics &Counters);

} // namespace cassiashed
