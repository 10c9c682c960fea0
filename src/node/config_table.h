#pragma once

#include "cassiashed/config/deployment.h"
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>

namespace cassiashed {

/// One version of the configuration with its look-up tables. Immutable.
class ConfigInForce {
public:
  /// `Revision` counts the zone orders that were laid over the version.
  ConfigInForce(std::uint64_t Version, std::string Text, Deployment Content,
                std::uint64_t Revision = 0);

  std::uint64_t version() const { return Version_; }
  std::uint64_t revision() const { return Revision_; }
  const std::string &text() const { return Text_; }
  const Deployment &content() const { return Content_; }

  /// All return null if there is no such entry.
  const WorkspaceConfig *findWorkspaceByKey(std::string_view Key) const;
  const ModelConfig *findModel(std::string_view Name) const;
  const ServiceConfig *findService(std::string_view Name) const;
  const EndpointConfig *findEndpoint(std::string_view Name) const;

  /// Whether the endpoint and its zone take new work.
  bool isInService(const EndpointConfig &Endpoint) const;

private:
  template <typename Entry>
  using Index = std::unordered_map<std::string_view, const Entry *>;

  std::uint64_t Version_;
  std::uint64_t Revision_;
  std::string Text_;
  Deployment Content_;
  Index<WorkspaceConfig> WorkspacesByKey_;
  Index<ModelConfig> Models_;
  Index<ServiceConfig> Services_;
  Index<EndpointConfig> Endpoints_;
  Index<ZoneConfig> Zones_;
};

/// The version in force. Its mutex is held only while the pointer is copied.
class ConfigTable {
public:
  /// Null until the first version is in force.
  std::shared_ptr<const ConfigInForce> current() const;

  /// Puts a version in force unless the same or a newer one already is. The
  /// revision decides between equal versions.
  bool replace(std::shared_ptr<const ConfigInForce> Next);

private:
  mutable std::mutex Mutex_;
  std::shared_ptr<const ConfigInForce> Current_;
};

} // namespace cassiashed
