#pragma once

#include "cassiashed/base/clock.h"
#include "cassiashed/config/host_port.h"
#include "cassiashed/config/problem.h"
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The declarative configuration of the whole deployment: zones, workspaces,
/// models, endpoints and services. Every node holds one version of it.
namespace cassiashed {

enum class ZoneState { In, Out };
enum class EndpointKind { Model, Service };
enum class EndpointState { In, Leaving };

std::string_view nameOf(ZoneState State);
std::string_view nameOf(EndpointKind Kind);
std::string_view nameOf(EndpointState State);

/// `[zone NAME]`
struct ZoneConfig {
  std::string Name;
  std::string Region;
  ZoneState State = ZoneState::In;
};

/// `[workspace NAME]`
struct WorkspaceConfig {
  std::string Name;
  std::string Key; ///< API key, unique
  double Weight = 1;
  std::uint32_t MaxStreams = 64;
};

/// `[model NAME]`
struct ModelConfig {
  std::string Name;
  std::uint32_t MaxTokens = 1024; ///< used if a request names no max_tokens
  Duration FirstTokenTarget = std::chrono::milliseconds(1500);
};

/// `[endpoint NAME]`
struct EndpointConfig {
  std::string Name;
  HostPort Address;
  std::string Zone;
  EndpointKind Kind = EndpointKind::Model;
  std::vector<std::string> Models;          ///< kind=model
  std::uint64_t CapacityTokens = 0;         ///< kind=model
  std::uint64_t PrefillTokensPerSecond = 0; ///< kind=model
  std::uint32_t ColdRequests = 2;           ///< first limit after a cold start
  bool HonoursFencing = false; ///< refuses orders with an old epoch
  EndpointState State = EndpointState::In;
};

/// `[service NAME]`. A path is `/exact` or `/prefix/*`.
struct ServiceConfig {
  std::string Name;
  std::vector<std::string> Endpoints;
  std::vector<std::string> IdempotentPaths;
  std::vector<std::string> NonIdempotentPaths;
};

/// One version of the configuration. All lists are in the order of the file.
struct Deployment {
  std::uint64_t Replaces = 0; ///< version that this one replaces; 0: none
  std::string Note;
  std::vector<ZoneConfig> Zones;
  std::vector<WorkspaceConfig> Workspaces;
  std::vector<ModelConfig> Models;
  std::vector<EndpointConfig> Endpoints;
  std::vector<ServiceConfig> Services;
};

/// Parses and cross-checks a deployment file. On failure there is no result
/// and `Errors` names every problem; `FileName` only appears in them.
std::optional<Deployment> parseDeployment(std::string_view Text,
                                          const std::string &FileName,
                                          Problems &Errors);

/// Writes a deployment in a form that `parseDeployment` reads back to the same
/// value. Comments of an original file are not kept.
std::string formatDeployment(const Deployment &Config);

/// Whether a request to `Path` (with its leading slash) may run twice. The
/// longest matching pattern decides; a path that no pattern names is not
/// idempotent.
bool isIdempotentPath(const ServiceConfig &Service, std::string_view Path);

ZoneConfig *findZone(Deployment &Config, std::string_view Name);

} // namespace cassiashed
