#pragma once

#include "cassiashed/balancing/admission.h"
#include "cassiashed/balancing/crash_history.h"
#include "cassiashed/balancing/dispatcher.h"
#include "cassiashed/balancing/retry_share.h"
#include "cassiashed/catalog/table_freshness.h"
#include "cassiashed/config/gateway_settings.h"
#include "gateway/endpoint_connection_pool.h"
#include "gateway/gateway_metrics.h"
#include "gateway/node_network.h"
#include "gateway/platform_protocol.h"
#include "gateway/rate_limited_log.h"
#include <memory>
#include <random>
#include <vector>

namespace cassiashed::gateway {

class SharedPlacement;

/// A content that was running on an endpoint when its connection broke. It
/// counts as a crash if the endpoint turns out to have ended.
struct InterruptedRun {
  std::uint64_t Content = 0;
  catalog::EndpointRef Endpoint;
  TimePoint At;
};

/// What all requests of a process share. A gateway runs on one thread: its
/// hosts have a fraction of one core, so workers would only add switches and
/// locks. Nothing here is thread-safe.
struct GatewayState {
  GatewayState(asio::io_context &Context, const GatewaySettings &Settings,
               const PlatformProtocol &Protocol);
  ~GatewayState();

  asio::io_context &Context;
  GatewaySettings Settings;
  const PlatformProtocol &Protocol;
  std::mt19937_64 Random;
  /// The configuration in force; null until the first one was read. Requests
  /// keep the one that they began with.
  std::shared_ptr<const catalog::ServiceConfig> Config;
  /// How current the operator's table is, keys included.
  catalog::TableFreshness OperatorFreshness;
  catalog::TableFreshness EndpointFreshness;
  catalog::EndpointDirectory Directory;
  balancing::FleetLoad Load;
  balancing::EndpointHealth Health;
  balancing::ColdStartLimiter Cold;
  balancing::RetryShare Retries;
  balancing::CrashHistory Crashes;
  balancing::Dispatcher Dispatcher;
  balancing::AdmissionControl Admission;
  EndpointConnectionPool Pool;
  std::unique_ptr<NodeNetwork> Nodes;
  std::unique_ptr<SharedPlacement> Placement;
  std::unique_ptr<GatewayMetrics> Metrics;
  RateLimitedLog Log;
  std::vector<InterruptedRun> InterruptedRuns;
  std::uint64_t NextWorkId = 0;
  std::size_t ActiveRequests = 0;
  bool Stopping = false;
  TimePoint StopBegan; ///< valid while Stopping

  TimePoint now() const { return std::chrono::steady_clock::now(); }
  /// Nodes among which limits are shared, at least one.
  int sharingNodes() const;
  /// Connections that this node may hold to an endpoint: its share of what the
  /// endpoint accepts from all nodes, at least one.
  int connectionShare(const catalog::KnownEndpoint &Which) const;
  /// A request was sent whose first token is predicted `FirstTokenMs` from now.
  void expectFirstToken(const catalog::KnownEndpoint &Which,
                        const balancing::PlacementRequest &Work,
                        double FirstTokenMs);
  /// A request ended at its endpoints.
  void finishWork(std::uint64_t Id);
  /// Takes in how an attempt at an endpoint ended, and tells the placers.
  void recordOutcome(const catalog::KnownEndpoint &Which,
                     balancing::EndpointOutcome Outcome);
  /// Whether this node knows which keys are valid: always, unless the
  /// deployment wants keys refused where that cannot be known.
  bool knowsKeys() const;
  /// Puts changed bounds of the settings into effect.
  void applyBounds();
  /// Confirms the broken runs of an endpoint that has ended as crashes.
  void confirmCrashes(const catalog::KnownEndpoint &Ended);
};

} // namespace cassiashed::gateway
