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
#include "http/memory_account.h"
#include <memory>
#include <random>
#include <set>
#include <vector>

namespace cassiashed::gateway {

class Exchange;
class DutyRunner;
class SharedPlacement;

/// Content that was running on an endpoint when its connection broke. It counts
/// as the cause of a crash if the endpoint turns out to have terminated.
struct InterruptedRun {
  std::uint64_t Content = 0;
  catalog::EndpointRef Endpoint;
  TimePoint At;
};

/// State that all requests of a gateway process share. Not thread-safe: a
/// gateway runs on one thread, since its hosts have a fraction of one core and
/// more threads would only add context switches and locks.
struct GatewayState {
  GatewayState(asio::io_context &Context, const GatewaySettings &Settings,
               const PlatformProtocol &Protocol);
  ~GatewayState();

  asio::io_context &Context;
  GatewaySettings Settings;
  const PlatformProtocol &Protocol;
  std::mt19937_64 Random;
  /// Of callers and nodes: what they send, and the answers that they read.
  http::MemoryAccount Memory;
  /// The configuration in force; null until the first one was read. Requests
  /// keep the one that they started with.
  std::shared_ptr<const catalog::ServiceConfig> Config;
  /// Of the copy of the operator's table, which includes the keys.
  catalog::TableFreshness OperatorFreshness;
  catalog::TableFreshness EndpointFreshness;
  catalog::EndpointDirectory Directory;
  balancing::FleetLoad Load;
  balancing::EndpointHealth Health;
  balancing::LoadEstimate Stated;
  balancing::ColdStartLimiter Cold;
  balancing::RetryShare Retries;
  balancing::CrashHistory Crashes;
  balancing::Dispatcher Dispatcher;
  balancing::AdmissionControl Admission;
  EndpointConnectionPool Pool;
  std::unique_ptr<NodeNetwork> Nodes;
  std::unique_ptr<SharedPlacement> Placement;
  std::unique_ptr<DutyRunner> Duties; ///< null: the deployment has none
  std::unique_ptr<GatewayMetrics> Metrics;
  RateLimitedLog Log;
  std::vector<InterruptedRun> InterruptedRuns;
  std::uint64_t NextWorkId = 0;
  std::set<Exchange *> ActiveRequests; ///< that are being served
  bool Stopping = false;
  TimePoint StoppingSince; ///< valid while Stopping

  TimePoint now() const { return std::chrono::steady_clock::now(); }
  /// Number of nodes that share limits, at least one.
  int sharingNodes() const;
  /// Connections that this node may hold to an endpoint: its share of what the
  /// endpoint accepts from all nodes, at least one.
  int connectionShare(const catalog::KnownEndpoint &Endpoint) const;
  /// Records that a request was sent and its first token is predicted in
  /// `FirstTokenMs`.
  void expectFirstToken(const catalog::KnownEndpoint &Endpoint,
                        const balancing::PlacementRequest &Request,
                        double FirstTokenMs);
  /// Records that a request ended at its endpoints.
  void finishWork(std::uint64_t Id);
  /// Records how an attempt at an endpoint ended, and reports it to other
  /// nodes.
  void recordOutcome(const catalog::KnownEndpoint &Endpoint,
                     balancing::EndpointOutcome Outcome);
  /// Records the load that an endpoint stated in an answer, and passes it on
  /// with the next message to other nodes.
  void recordStatedLoad(const catalog::KnownEndpoint &Endpoint,
                        const balancing::StatedLoad &Answered);
  /// Whether this node's copy of the keys may be used. Always true unless the
  /// deployment requires that keys are refused while the copy of the operator's
  /// table is too old.
  bool knowsKeys() const;
  /// Applies changed bounds of the settings.
  void applyBounds();
  /// Applies changed limits of the host.
  void applyLimits();
  /// Counts the interrupted runs of an endpoint that has terminated as crashes.
  void confirmCrashes(const catalog::KnownEndpoint &Ended);
};

} // namespace cassiashed::gateway
