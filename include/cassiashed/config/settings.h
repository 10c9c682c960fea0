#pragma once

#include "cassiashed/base/clock.h"
#include "cassiashed/config/host_port.h"
#include "cassiashed/config/problem.h"
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Settings of one node, read from an INI file when the process starts.
namespace cassiashed {

/// `[node]`
struct NodeSettings {
  std::string Name;
  std::string Zone;
  std::string Region;
  HostPort Listen;                 ///< callers
  HostPort Peer;                   ///< other nodes (nng)
  HostPort Operator;               ///< operator port
  std::optional<HostPort> Metrics; ///< none: metrics are not served
  std::uint32_t Workers = 2;       ///< threads that serve callers
};

/// A node that is known before any gossip.
struct Seed {
  std::string Name;
  HostPort Peer;
};

/// `[cluster]`
struct ClusterSettings {
  std::string Key;         ///< shared secret of nodes and operators
  std::string KeyFile;     ///< read by `loadSettings` into `Key`
  std::vector<Seed> Seeds; ///< also the witnesses of the configuration
};

/// `[platform]`
struct PlatformSettings {
  HostPort Address;
};

/// `[limits]`
struct LimitSettings {
  std::uint64_t HeadBytes = 16 * 1024;
  std::uint64_t BodyBytes = 8 * 1024 * 1024;
  std::uint64_t BodyMemoryBytes = 512 * 1024 * 1024; ///< all bodies together
  std::uint32_t MaxStreams = 10000;
  /// A caller that reads nothing for this time has its attempt cancelled.
  Duration SlowReaderStall = std::chrono::seconds(30);
  /// The same, if its engine memory is needed by waiting requests.
  Duration SlowReaderBehind = std::chrono::seconds(10);
};

/// `[lease]`
struct LeaseSettings {
  Duration Renewal = std::chrono::seconds(5);
  Duration Validity = std::chrono::seconds(15);
};

enum class RoutingPolicy {
  LengthAware,
  RoundRobin,
  LeastOutstanding,
  FirstComeByTokens,
};

std::string_view nameOf(RoutingPolicy Policy);

/// Options of one node with their defaults.
struct Settings {
  NodeSettings Node;
  ClusterSettings Cluster;
  PlatformSettings Platform;
  LimitSettings Limits;
  LeaseSettings Lease;
  RoutingPolicy Policy = RoutingPolicy::LengthAware; ///< `[routing] policy`
};

/// Parses the text of a settings file. On failure there is no result and
/// `Errors` names every problem; `FileName` only appears in them.
std::optional<Settings> parseSettings(std::string_view Text,
                                      const std::string &FileName,
                                      Problems &Errors);

/// Reads and parses a settings file and the key file that it names. A relative
/// `key_file` is relative to the directory of the settings file.
///
/// ```cpp
/// Problems Errors;
/// const auto Options = loadSettings("examples/node.ini", Errors);
/// ```
std::optional<Settings> loadSettings(const std::string &Path, Problems &Errors);

} // namespace cassiashed
