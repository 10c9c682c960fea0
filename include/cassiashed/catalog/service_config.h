#pragma once

#include "cassiashed/base/clock.h"
#include "cassiashed/engine/engine_spec.h"
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// The operators' configuration: routes, services, workspaces and limits. Each
/// new version replaces the previous one as a whole.
namespace cassiashed::catalog {

/// Determines whether a request may be executed more than once.
enum class CallKind { Idempotent, NonIdempotent, Stream };
std::string_view nameOf(CallKind Kind);

struct WeightedService {
  std::string Service;
  double Weight = 1;
};

/// One rule that maps a host and path prefix to services.
struct Route {
  std::string Name;
  std::string Host;
  std::string PathPrefix; ///< begins and ends with a slash
  CallKind Kind = CallKind::NonIdempotent;
  Duration Timeout{0};          ///< 0: none
  Duration FirstByteTarget{0};  ///< latency objective of the first byte
  Duration TokenGapTarget{0};   ///< objective of gaps between stream events
  int Priority = 0;             ///< 0 is the most urgent
  int MaxAttempts = 1;          ///< endpoints tried per request
  bool AllowsAnonymous = false; ///< needs no workspace key
  bool Resumable = false;       ///< a stream may continue at another endpoint
  std::vector<WeightedService> Services;
  std::vector<std::string> Regions; ///< allowed regions; empty: all

  /// Whether a request may be executed more than once.
  bool isRetryable() const {
    return Kind == CallKind::Idempotent ||
           (Kind == CallKind::Stream && Resumable);
  }
};

/// Limits of the number of replicas that may be ordered, in each zone.
struct ServiceScaling {
  int Minimum = 0;
  int Maximum = 0;
  Duration Boot{0}; ///< from the order until a new replica serves
};

struct Service {
  std::string Name;
  std::string HealthPath;
  int ConnectionLimit = 0;          ///< total over all nodes; 0: unknown
  Duration ColdStart{0};            ///< duration of a replica's warm-up
  double ColdRequestsPerSecond = 0; ///< limit of a cold replica; 0: none
  std::optional<engine::EngineSpec> Engine; ///< none: not a model engine
  std::optional<ServiceScaling> Scaling;    ///< none: replicas are not ordered
};

struct Workspace {
  std::string Name;
  std::optional<int> Priority; ///< takes precedence over the route's
  std::vector<std::string> Regions;
};

/// Limits on what callers send.
struct CallerLimits {
  std::size_t HeadBytes = 16 * 1024;
  std::size_t BodyBytes = 4 * 1024 * 1024;
  Duration HeadTimeout{3000};
  Duration IdleTimeout{15000};
};

struct ServiceConfig {
  std::uint64_t Version = 0;
  std::vector<Route> Routes;
  std::unordered_map<std::string, Service> Services;
  std::vector<Workspace> Workspaces;
  /// API key to index in Workspaces.
  std::unordered_map<std::string, std::size_t> WorkspaceOfKey;
  bool HasWorkspaces = false; ///< requests need an API key
  CallerLimits Limits;

  /// Builds the index for `findRoute`. Call it after the last change to Routes.
  void indexRoutes();
  /// The route of `Host` with the longest prefix of `Path`, or null.
  const Route *findRoute(std::string_view Host, std::string_view Path) const;
  const Workspace *findWorkspace(const std::string &Key) const;
  const Service *findService(const std::string &Name) const;

private:
  std::unordered_map<std::string, std::vector<std::size_t>> RoutesOfHost_;
};

} // namespace cassiashed::catalog
