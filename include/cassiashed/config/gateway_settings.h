#pragma once

#include "cassiashed/base/clock.h"
#include "cassiashed/config/host_port.h"
#include "cassiashed/config/problem.h"
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Settings of a gateway process, an INI file.
namespace cassiashed {

struct GatewayIdentity {
  std::string Name;
  std::string Zone;
  std::string Region;
  HostPort Listen;                 ///< callers
  HostPort Readiness;              ///< the balancer's check
  HostPort Internal;               ///< other nodes: UDP messages and TCP reads
  std::optional<HostPort> Metrics; ///< none: not served
};

struct GatewayCluster {
  /// Addresses of other nodes; their IP is used with the port of `internal`.
  std::vector<HostPort> Seeds;
  std::map<std::string, std::string> RegionOfZone;
};

struct GatewayLimits {
  double CpuShare = 1; ///< cores that the process may use
  int MemoryMb = 256;  ///< the process is killed above it
  int FileDescriptors = 1024;
  double LinkMbps = 20; ///< of the host's own link, in Mbit/s
};

/// Bounds that the deployment promises; each holds over all nodes.
struct GatewayBounds {
  Duration Drain{2000}; ///< from a leaving notice to the last new request
  /// From a change by the operator until it is in force everywhere.
  Duration ConfigApply{2000};
  Duration Grace{8000}; ///< from SIGTERM to SIGKILL
  Duration RetryWindow{10000};
  double RetryRatio = 0.2;        ///< repeats per first attempt
  double RetrySlack = 100;        ///< repeats besides, in a window
  double ColdOverage = 1.5;       ///< factor on what a cold endpoint bears
  double ColdSlack = 5;           ///< requests per second on top
  Duration ReservationMax{20000}; ///< longest reservation at an engine
  Duration ReservationFree{4000}; ///< unused memory must be free after it
  /// Whether a node that does not know which keys are valid refuses them.
  bool RevokeFailClosed = false;
  /// From the acknowledgement that a key is taken away to the last request
  /// with it that runs.
  Duration Revoke{5000};
};

/// Duties that the deployment wants, see GatewayDuties.
struct GatewayDutySet {
  bool UsageReporting = false;
  bool Scaling = false;
};

/// Calls to the platform's API that one node at a time makes for all.
struct GatewayDuties {
  HostPort Api;
  GatewayDutySet Carried;
  double CallsPerSecond = 1; ///< from all nodes
  /// In this time holders must not act in the order A, B, A.
  Duration Lease{3000};
  Duration UsageWindow{5000};
  /// From the end of a window until its report must have arrived.
  Duration UsageLate{10000};
};

struct GatewaySettings {
  GatewayIdentity Gateway;
  HostPort Store;
  GatewayCluster Cluster;
  GatewayLimits Limits;
  GatewayBounds Bounds;
  std::optional<GatewayDuties> Duties; ///< none: the platform has no such API
};

/// Parses a settings file. Returns nothing and adds every error to `Errors`
/// if the file is not valid.
std::optional<GatewaySettings> parseGatewaySettings(std::string_view Text,
                                                    const std::string &FileName,
                                                    Problems &Errors);
std::optional<GatewaySettings> loadGatewaySettings(const std::string &Path,
                                                   Problems &Errors);

} // namespace cassiashed
