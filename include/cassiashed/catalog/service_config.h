#pragma once

#include "cassiashed/base/clock.h"
#include "cassiashed/engine/engine_spec.h"
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// What operators configured: routes, services, workspaces and limits. One
/// value is one version; it is replaced as a whole.
namespace cassiashed::catalog {

/// What may be repeated.
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
  Duration FirstByteTarget{0};  ///< answers within it are on time
  Duration TokenGapTarget{0};   ///< longest pause between events of a stream
  int Priority = 0;             ///< 0 is the most urgent
  int MaxAttempts = 1;          ///< endpoints that one request may reach
  bool AllowsAnonymous = false; ///< needs no workspace key
  bool Resumable = false;       ///< a broken stream may go on elsewhere
  std::vector<WeightedService> Services;
  std::vector<std::string> Regions; ///< allowed regions; empty: all

  /// Whether a request may run more than once.
  bool isRetryable() const {
    return Kind == CallKind::Idempotent ||
           (Kind == CallKind::Stream && Resumable);
  }
};

struct Service {
  std::string Name;
  std::string HealthPath;
  int ConnectionLimit = 0;          ///< connections of all nodes; 0: unknown
  Duration ColdStart{0};            ///< how long a replica stays cold
  double ColdRequestsPerSecond = 0; ///< what a cold replica bears; 0: any
  std::optional<engine::EngineSpec> Engine; ///< none for a plain service
};

struct Workspace {
  std::string Name;
  std::optional<int> Priority; ///< takes precedence over the route's
  std::vector<std::string> Regions;
};

/// What a caller may send.
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
  /// Position in Workspaces of each key's workspace.
  std::unordered_map<std::string, std::size_t> WorkspaceOfKey;
  bool HasWorkspaces = false; ///< keys are required
  CallerLimits Limits;

  /// Fills the index of routes; call it once all routes are there.
  void indexRoutes();
  /// The route of `Host` whose prefix is the longest that begins `Path`.
  const Route *findRoute(std::string_view Host, std::string_view Path) const;
  const Workspace *findWorkspace(const std::string &Key) const;
  const Service *findService(const std::string &Name) const;

private:
  std::unordered_map<std::string, std::vector<std::size_t>> RoutesOfHost_;
};

} // namespace cassiashed::catalog
