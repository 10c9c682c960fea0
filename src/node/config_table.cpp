#include "node/config_table.h"

namespace cassiashed {
namespace {

template <typename Map>
typename Map::mapped_type findIn(const Map &Entries, std::string_view Name) {
  const auto Found = Entries.find(Name);
  return Found == Entries.end() ? nullptr : Found->second;
}

} // namespace

ConfigInForce::ConfigInForce(std::uint64_t Version, std::string Text,
                             Deployment Content, std::uint64_t Revision)
    : Version_(Version), Revision_(Revision), Text_(std::move(Text)),
      Content_(std::move(Content)) {
  for (const WorkspaceConfig &Entry : Content_.Workspaces)
    WorkspacesByKey_.emplace(Entry.Key, &Entry);
  for (const ModelConfig &Entry : Content_.Models)
    Models_.emplace(Entry.Name, &Entry);
  for (const ServiceConfig &Entry : Content_.Services)
    Services_.emplace(Entry.Name, &Entry);
  for (const EndpointConfig &Entry : Content_.Endpoints)
    Endpoints_.emplace(Entry.Name, &Entry);
  for (const ZoneConfig &Entry : Content_.Zones)
    Zones_.emplace(Entry.Name, &Entry);
}

const WorkspaceConfig *
ConfigInForce::findWorkspaceByKey(std::string_view Key) const {
  return findIn(WorkspacesByKey_, Key);
}

const ModelConfig *ConfigInForce::findModel(std::string_view Name) const {
  return findIn(Models_, Name);
}

const ServiceConfig *ConfigInForce::findService(std::string_view Name) const {
  return findIn(Services_, Name);
}

const EndpointConfig *ConfigInForce::findEndpoint(std::string_view Name) const {
  return findIn(Endpoints_, Name);
}

bool ConfigInForce::isInService(const EndpointConfig &Endpoint) const {
  const ZoneConfig *Zone = findIn(Zones_, Endpoint.Zone);
  return Zone && Zone->State == ZoneState::In &&
         Endpoint.State == EndpointState::In;
}

std::shared_ptr<const ConfigInForce> ConfigTable::current() const {
  const std::lock_guard Lock(Mutex_);
  return Current_;
}

bool ConfigTable::replace(std::shared_ptr<const ConfigInForce> Next) {
  const std::lock_guard Lock(Mutex_);
  if (Current_ && std::pair(Current_->version(), Current_->revision()) >=
                      std::pair(Next->version(), Next->revision()))
    return false;
  Current_ = std::move(Next);
  return true;
}

} // namespace cassiashed
